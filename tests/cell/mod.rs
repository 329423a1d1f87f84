//! A simulated cell for fuzzing and model checking. It joins the real nodes
//! and the real worker state with fakes of the platform, the executors and
//! the network. Time passes and messages arrive only when a test says so.

mod platform;

use std::collections::{BTreeMap, BTreeSet};

use puffinknot_core::calls::CallId;
use puffinknot_core::config::{Config, Resources};
use puffinknot_core::contract::Scope;
use puffinknot_core::idempotency::IdempotencyKey as CallKey;
use puffinknot_core::idempotency::KeySnapshot;
use puffinknot_core::ids::{
    DcName, Epoch, Millis, Revision, TargetId, TaskId, VmId,
};
use puffinknot_core::node::{
    Action, Attempt, Call, Event, ExecutorInfo, ListedTarget, Node,
    NodeConfig, Now, Summary, TargetError, TargetKind,
};
use puffinknot_core::outcome::Outcome;
use puffinknot_core::store::{
    Key, Member, StoredEntry, Value, Write, WriteResult,
};
use puffinknot_core::tasks::{SyncReply, SyncRequest, WorkerInfo};
use puffinknot_standin::worker::{Refusal, WorkerState};

use self::platform::Platform;

/// The wall clock's time when the simulated clock is zero, in milliseconds
/// since the Unix epoch.
pub const EPOCH_WALL: Millis = 1_700_000_000_000;
/// The interval of the nodes' tick events.
const TICK: Millis = 50;
/// The length of a member's lease.
const LEASE: Millis = 3_000;

/// A message in transit. The first VM is the sender, except in `Event`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Writes a value to the platform.
    Write(VmId, Write),
    /// Reads all values from the platform.
    Read(VmId),
    /// Delivers an event to a node, from a caller, the platform, a target or
    /// a peer.
    Event(VmId, Event),
    /// Presents an epoch to an executor and asks what it runs.
    Ask(VmId, TargetId, Epoch),
    /// Sends a call to an executor, with the time of sending.
    Dispatch(VmId, CallId, TargetId, Epoch, Millis),
    /// Sends a sync request to a worker.
    Sync(VmId, TargetId, SyncRequest),
    /// Forwards a call to a peer.
    Forward(VmId, CallId, VmId, Scope, Call),
    /// Returns the outcome of a forwarded call to a peer.
    Ended(VmId, VmId, CallId, Outcome),
    /// Sends a node's summary to a peer.
    Summary(VmId, VmId, Summary),
    /// Sends the known values of the platform to a peer.
    Learned(VmId, VmId, Vec<StoredEntry>),
    /// Hands a contract's idempotency keys over to a peer.
    Bequest(VmId, VmId, Scope, Epoch, KeySnapshot),
}

/// A node and the simulated state of its VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Vm {
    pub node: Node,
    pub paused: bool,
    /// Whether the VM is isolated from the platform.
    pub cut: bool,
    /// The revision up to which the watch has delivered changes; `None` if
    /// the VM has to read all values first.
    watched: Option<Revision>,
    /// Whether the VM has ever had a lease.
    lease: bool,
    /// The time of the last lease renewal; zero forces the next one.
    renewed: Millis,
    draining: bool,
    /// The latest revision of the configuration that the node has applied.
    config_revision: Revision,
}

/// A fake of an executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Executor {
    /// The highest epoch presented to the executor.
    pub highest: Epoch,
    pub slots: u32,
    pub running: BTreeMap<String, Run>,
    pub leaving: bool,
    /// When the executor started to leave.
    pub left_at: Option<Millis>,
    /// Calls that arrived while all slots were in use.
    pub overcommitted: u32,
}

/// A call that runs on an executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    vm: VmId,
    id: CallId,
    ends: Millis,
}

/// The state of a call as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallState {
    pub key: Option<CallKey>,
    pub answers: Vec<Outcome>,
    /// How often the key had already run when the caller sent the call.
    pub ran_before: u32,
    pub entry: VmId,
    pub waiting: bool,
}

/// The state of the whole simulation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    pub now: Millis,
    pub vms: BTreeMap<VmId, Vm>,
    pub platform: Platform,
    pub executors: BTreeMap<TargetId, Executor>,
    pub workers: BTreeMap<TargetId, WorkerState>,
    /// The VM list's current entries of targets.
    pub listed: BTreeMap<TargetId, ListedTarget>,
    /// The entries that the nodes read; updated once a second.
    pub list_seen: BTreeMap<TargetId, ListedTarget>,
    /// Messages in transit, in the order they were sent.
    pub net: Vec<Message>,
    pub calls: BTreeMap<CallId, CallState>,
    /// The number of runs of each call key.
    pub runs: BTreeMap<CallKey, u32>,
    /// Pairs that can't reach each other: two VMs, or a VM and a target.
    pub cuts: BTreeSet<(String, String)>,
    /// Forwarded calls: the sender and its call, to the receiver and its
    /// call.
    hops: BTreeMap<(VmId, CallId), (VmId, CallId)>,
    next_call: u64,
    next_vm: u64,
    /// VMs whose messages to targets and peers are delayed.
    pub delayed: BTreeSet<VmId>,
    /// The number of call contracts per data centre.
    pub call_scopes: u16,
    /// How long a call runs.
    pub run_ms: Millis,
    /// Violated invariants.
    pub faults: Vec<String>,
}

impl Cell {
    /// Creates a cell without VMs and targets that uses this configuration.
    pub fn new(file: &str) -> Cell {
        let mut platform = Platform::default();
        platform.put(Key::Config, Value::Config(file.to_string()));
        Cell {
            now: 1_000_000,
            vms: BTreeMap::new(),
            platform,
            executors: BTreeMap::new(),
            workers: BTreeMap::new(),
            listed: BTreeMap::new(),
            list_seen: BTreeMap::new(),
            net: Vec::new(),
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            cuts: BTreeSet::new(),
            hops: BTreeMap::new(),
            next_call: 0,
            next_vm: 0,
            delayed: BTreeSet::new(),
            call_scopes: 1,
            run_ms: 100,
            faults: Vec::new(),
        }
    }

    pub fn clocks(&self) -> Now {
        Now { mono: self.now, wall: EPOCH_WALL + self.now }
    }

    /// Starts a VM and returns its id.
    pub fn start(&mut self, name: &str, dc: &str) -> VmId {
        self.next_vm += 1;
        let id = VmId(format!("{name}.{}", self.next_vm));
        let mut config = NodeConfig::new(id.clone(), DcName::from(dc));
        config.call_scopes = self.call_scopes;
        let vm = Vm {
            node: Node::new(config),
            paused: false,
            cut: false,
            watched: None,
            lease: false,
            renewed: 0,
            draining: false,
            config_revision: 0,
        };
        self.vms.insert(id.clone(), vm);
        id
    }

    pub fn add_executor(&mut self, id: &str, dc: &str, slots: u32) {
        let executor = Executor {
            highest: Epoch::default(),
            slots,
            running: BTreeMap::new(),
            leaving: false,
            left_at: None,
            overcommitted: 0,
        };
        self.executors.insert(id.into(), executor);
        self.list(id, dc, TargetKind::Executor);
    }

    pub fn add_worker(&mut self, id: &str, dc: &str, cpu_millis: u32) {
        let info = WorkerInfo {
            capacity: Resources {
                cpu_millis,
                memory_mb: 64_000,
                accelerators: 0,
            },
            rack: format!("rack-{id}"),
            leaving: false,
        };
        self.workers.insert(id.into(), WorkerState::new(info));
        self.list(id, dc, TargetKind::Worker);
    }

    fn list(&mut self, id: &str, dc: &str, kind: TargetKind) {
        let id = TargetId::from(id);
        let dc = DcName::from(dc);
        let leaving = false;
        let listed = ListedTarget { id: id.clone(), kind, dc, leaving };
        self.listed.insert(id, listed);
    }

    /// Ends a VM abruptly.
    pub fn kill(&mut self, vm: &VmId) {
        self.vms.remove(vm);
        self.net.retain(|message| match message {
            Message::Event(to, _) => to != vm,
            Message::Ended(_, to, ..) | Message::Summary(_, to, _) => to != vm,
            _ => true,
        });
        let broken: Vec<_> = self.hops.clone().into_iter().collect();
        for ((from, id), (to, remote)) in broken {
            if to == *vm {
                self.hops.remove(&(from.clone(), id));
                let event = Event::HopFailed { id, sent: true };
                self.net.push(Message::Event(from, event));
            } else if from == *vm {
                self.hops.remove(&(from, id));
                let event = Event::Abandoned(remote);
                self.net.push(Message::Event(to, event));
            }
        }
        for state in self.calls.values_mut() {
            if state.entry == *vm && state.waiting {
                // The caller's connection is closed.
                state.waiting = false;
            }
        }
    }

    pub fn is_cut(&self, a: &str, b: &str) -> bool {
        let (a, b) = if a < b { (a, b) } else { (b, a) };
        self.cuts.contains(&(a.to_string(), b.to_string()))
    }

    /// Breaks the link between two VMs, or a VM and a target, or repairs it.
    pub fn cut(&mut self, a: &str, b: &str, cut: bool) {
        let (a, b) = if a < b { (a, b) } else { (b, a) };
        let pair = (a.to_string(), b.to_string());
        if !cut {
            self.cuts.remove(&pair);
            return;
        }
        self.cuts.insert(pair);
        let hops: Vec<_> = self.hops.clone().into_iter().collect();
        for ((from, id), (to, _)) in hops {
            if self.is_cut(from.as_str(), to.as_str()) {
                self.hops.remove(&(from.clone(), id));
                let event = Event::HopFailed { id, sent: true };
                self.net.push(Message::Event(from, event));
            }
        }
        let mut lost = Vec::new();
        for (target, executor) in &self.executors {
            for run in executor.running.values() {
                if self.is_cut(run.vm.as_str(), target.as_str()) {
                    lost.push((run.vm.clone(), run.id));
                }
            }
        }
        for (vm, id) in lost {
            let event = Event::AttemptEnded(id, Attempt::Lost);
            self.net.push(Message::Event(vm, event));
        }
    }

    pub fn pause(&mut self, vm: &VmId, paused: bool) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.paused = paused;
        }
    }

    pub fn cut_platform(&mut self, vm: &VmId, cut: bool) {
        if let Some(vm) = self.vms.get_mut(vm) {
            vm.cut = cut;
            vm.watched = None;
        }
    }

    /// Creates a call key with the current time.
    pub fn new_key(&mut self, caller: &str) -> CallKey {
        self.next_call += 1;
        let stamp = u128::from(EPOCH_WALL + self.now) << 80;
        let uuid = stamp | (7 << 76) | u128::from(self.next_call);
        CallKey { uuid, caller: caller.into() }
    }

    /// Sends a call to an entry VM.
    pub fn call(
        &mut self,
        entry: &VmId,
        caller: &str,
        class: &str,
        key: Option<CallKey>,
    ) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        let ran = key.as_ref().and_then(|key| self.runs.get(key));
        let state = CallState {
            ran_before: ran.copied().unwrap_or(0),
            key: key.clone(),
            answers: Vec::new(),
            entry: entry.clone(),
            waiting: true,
        };
        self.calls.insert(id, state);
        let call = Call {
            caller: caller.into(),
            class: class.into(),
            remaining: 60_000,
            key,
        };
        let event = Event::Call(id, call);
        self.net.push(Message::Event(entry.clone(), event));
        id
    }

    /// Passes an event to a node and performs the resulting actions.
    pub fn handle_event(&mut self, vm: &VmId, event: Event) {
        let now = self.clocks();
        let Some(state) = self.vms.get_mut(vm) else { return };
        let actions = state.node.handle(now, event);
        for action in actions {
            self.act(vm, action);
        }
    }

    fn act(&mut self, vm: &VmId, action: Action) {
        let from = vm.clone();
        match action {
            Action::Write(write) => {
                self.net.push(Message::Write(from, write));
            }
            Action::Read => self.net.push(Message::Read(from)),
            Action::Register { draining } => self.register(vm, draining),
            Action::QueryExecutor { target, epoch } => {
                self.net.push(Message::Ask(from, target, epoch));
            }
            Action::Sync { target, request } => {
                self.net.push(Message::Sync(from, target, request));
            }
            Action::Dispatch { id, target, epoch } => {
                let now = self.now;
                self.net.push(Message::Dispatch(from, id, target, epoch, now));
            }
            Action::Forward { id, vm, scope, call } => {
                self.net.push(Message::Forward(from, id, vm, scope, call));
            }
            Action::Answer { id, outcome } => self.answer(vm, id, outcome),
            Action::Fetch { vm } => {
                let peer = self.vms.get(&vm);
                let known = peer.map(|peer| peer.node.view().export());
                if let Some(known) = known.filter(|_| self.linked(&from, &vm))
                {
                    self.net.push(Message::Learned(vm, from, known));
                }
            }
            Action::SendHandover { vm, scope, epoch, memory } => {
                let message = Message::Bequest(from, vm, scope, epoch, memory);
                self.net.push(message);
            }
            Action::ConfigApplied(revision) => {
                let Some(state) = self.vms.get_mut(vm) else { return };
                if revision <= state.config_revision {
                    self.faults.push(format!(
                        "{vm} went back to configuration {revision}"
                    ));
                }
                state.config_revision = revision;
            }
        }
    }

    fn linked(&self, a: &VmId, b: &VmId) -> bool {
        self.vms.contains_key(a)
            && self.vms.contains_key(b)
            && !self.is_cut(a.as_str(), b.as_str())
    }

    fn register(&mut self, vm: &VmId, draining: bool) {
        if let Some(state) = self.vms.get_mut(vm) {
            state.draining = draining;
            // The next renewal writes the entry.
            state.renewed = 0;
        }
    }

    fn answer(&mut self, vm: &VmId, id: CallId, outcome: Outcome) {
        if let Some(state) = self.calls.get_mut(&id) {
            if state.entry == *vm {
                state.waiting = false;
                state.answers.push(outcome.clone());
                let state = state.clone();
                self.check_answer(id, &state, &outcome);
                return;
            }
        }
        let waiting =
            self.hops.iter().find(|(_, hop)| **hop == (vm.clone(), id));
        if let Some(((to, their_id), _)) = waiting {
            let (to, their_id) = (to.clone(), *their_id);
            self.hops.remove(&(to.clone(), their_id));
            let message = Message::Ended(vm.clone(), to, their_id, outcome);
            self.net.push(message);
        }
    }

    fn check_answer(
        &mut self,
        id: CallId,
        state: &CallState,
        outcome: &Outcome,
    ) {
        if state.answers.len() > 1 {
            self.faults.push(format!("{id:?} was answered twice"));
        }
        let not_run = matches!(outcome, Outcome::NotRun { .. });
        if not_run && state.ran_before > 0 {
            self.faults.push(format!("{id:?} ran, but {outcome:?}"));
        }
        if *outcome == Outcome::Answered {
            let key = state.key.as_ref();
            let ran = key.is_none_or(|key| self.runs.contains_key(key));
            if !ran {
                self.faults.push(format!("{id:?} answered without a run"));
            }
        }
    }

    /// Whether the receiver of a message is not paused.
    pub fn deliverable(&self, message: &Message) -> bool {
        let running = |vm: &VmId| self.vms.get(vm).is_none_or(|vm| !vm.paused);
        match message {
            Message::Event(to, _) => running(to),
            Message::Forward(_, _, to, ..) => running(to),
            Message::Ended(_, to, ..)
            | Message::Summary(_, to, _)
            | Message::Learned(_, to, _)
            | Message::Bequest(_, to, ..) => running(to),
            _ => true,
        }
    }

    /// Delivers one message.
    pub fn deliver(&mut self, index: usize) {
        let message = self.net.remove(index);
        self.dispatch_message(message);
    }

    fn dispatch_message(&mut self, message: Message) {
        match message {
            Message::Event(to, event) => self.handle_event(&to, event),
            Message::Write(vm, write) => self.write(vm, write),
            Message::Read(vm) => self.read(vm),
            Message::Ask(vm, target, epoch) => self.ask(vm, target, epoch),
            Message::Dispatch(vm, id, target, epoch, sent) => {
                let before = self.calls_at(&target);
                self.dispatch(vm, id, target.clone(), epoch);
                if self.calls_at(&target) > before {
                    self.check_leaving(&target, sent);
                }
            }
            Message::Sync(vm, target, request) => {
                self.sync(vm, target, request);
            }
            Message::Forward(from, id, to, scope, call) => {
                self.forward(from, id, to, scope, call);
            }
            Message::Ended(from, to, id, outcome) => {
                if self.linked(&from, &to) {
                    self.handle_event(&to, Event::HopEnded(id, outcome));
                } else {
                    let event = Event::HopFailed { id, sent: true };
                    self.handle_event(&to, event);
                }
            }
            Message::Summary(from, to, summary) => {
                if !self.is_cut(from.as_str(), to.as_str()) {
                    self.handle_event(&to, Event::SummaryReceived(summary));
                }
            }
            Message::Learned(from, to, stored) => {
                if !self.is_cut(from.as_str(), to.as_str()) {
                    self.handle_event(&to, Event::ValuesReceived(stored));
                }
            }
            Message::Bequest(from, to, scope, epoch, memory) => {
                let acknowledged = self.linked(&from, &to);
                if acknowledged {
                    self.handle_event(
                        &to,
                        Event::HandoverReceived { scope, epoch, memory },
                    );
                }
                let event = Event::HandoverEnded { scope, acknowledged };
                self.net.push(Message::Event(from, event));
            }
        }
    }

    fn platform_answers(&self, vm: &VmId) -> bool {
        let cut = self.vms.get(vm).is_none_or(|vm| vm.cut);
        !cut && !self.platform.down
    }

    fn write(&mut self, vm: VmId, write: Write) {
        let key = write.key.clone();
        let result = if self.platform_answers(&vm) {
            self.platform.write(write)
        } else {
            WriteResult::Failed
        };
        let event = Event::Written { key, result };
        self.net.push(Message::Event(vm, event));
    }

    fn read(&mut self, vm: VmId) {
        if !self.platform_answers(&vm) {
            // The daemon retries until it succeeds.
            if self.vms.contains_key(&vm) {
                self.net.push(Message::Read(vm));
            }
            return;
        }
        let (revision, stored) = self.platform.read();
        let event = Event::Snapshot { revision, stored };
        self.net.push(Message::Event(vm, event));
    }

    fn ask(&mut self, vm: VmId, target: TargetId, epoch: Epoch) {
        let reachable = !self.is_cut(vm.as_str(), target.as_str());
        let executor = self.executors.get_mut(&target).filter(|_| reachable);
        let result = match executor {
            None => Err(TargetError::Unreachable),
            Some(executor) => executor.ask(&epoch),
        };
        let event = Event::ExecutorReplied { target, epoch, result };
        self.net.push(Message::Event(vm, event));
    }

    fn dispatch(
        &mut self,
        vm: VmId,
        id: CallId,
        target: TargetId,
        epoch: Epoch,
    ) {
        let reachable = !self.is_cut(vm.as_str(), target.as_str());
        let ends = self.now + self.run_ms;
        let key = self.key_of(&vm, id);
        let executor = self.executors.get_mut(&target).filter(|_| reachable);
        let ended = match executor {
            None => Some(Attempt::NotSent),
            Some(executor) => {
                let run = Run { vm: vm.clone(), id, ends };
                executor.begin(run, &epoch).err()
            }
        };
        match (ended, key) {
            (Some(attempt), _) => {
                let event = Event::AttemptEnded(id, attempt);
                self.net.push(Message::Event(vm, event));
            }
            (None, Some(key)) => {
                let runs = self.runs.entry(key).or_default();
                *runs += 1;
                if *runs > 1 {
                    self.faults.push(format!("{id:?} ran {runs} times"));
                }
            }
            (None, None) => {}
        }
    }

    fn calls_at(&self, target: &TargetId) -> usize {
        self.executors.get(target).map_or(0, |e| e.running.len())
    }

    /// Checks that an executor that accepted a call was not leaving for too
    /// long. The time of sending counts, since the sender can't control the
    /// time in transit.
    fn check_leaving(&mut self, target: &TargetId, sent: Millis) {
        let Some(executor) = self.executors.get(target) else { return };
        let Some(left) = executor.left_at else { return };
        if left + GRACE < sent {
            let fault = format!("{target} left at {left}, call sent {sent}");
            self.faults.push(fault);
        }
    }

    /// The key of a call, also if peers forwarded it.
    fn key_of(&self, vm: &VmId, id: CallId) -> Option<CallKey> {
        let mut at = (vm.clone(), id);
        while let Some(((from, from_id), _)) =
            self.hops.iter().find(|(_, to)| **to == at)
        {
            at = (from.clone(), *from_id);
        }
        self.calls.get(&at.1)?.key.clone()
    }

    fn sync(&mut self, vm: VmId, target: TargetId, request: SyncRequest) {
        let reachable = !self.is_cut(vm.as_str(), target.as_str());
        let now = self.now;
        let worker = self.workers.get_mut(&target).filter(|_| reachable);
        let result: Result<SyncReply, TargetError> = match worker {
            None => Err(TargetError::Unreachable),
            Some(worker) => match worker.sync(now, &request) {
                Ok(reply) => Ok(reply),
                Err(Refusal::Stale(e)) => Err(TargetError::Stale(e)),
                Err(Refusal::Old) => Err(TargetError::Unreachable),
            },
        };
        let (epoch, seq) = (request.epoch, request.seq);
        let event = Event::SyncEnded { target, epoch, seq, result };
        self.net.push(Message::Event(vm, event));
    }

    fn forward(
        &mut self,
        from: VmId,
        id: CallId,
        to: VmId,
        scope: Scope,
        call: Call,
    ) {
        if !self.linked(&from, &to) {
            let event = Event::HopFailed { id, sent: false };
            self.net.push(Message::Event(from, event));
            return;
        }
        self.next_call += 1;
        let remote = CallId(self.next_call);
        let state = CallState {
            key: call.key.clone(),
            answers: Vec::new(),
            ran_before: 0,
            entry: VmId::default(),
            waiting: false,
        };
        self.calls.insert(remote, state);
        self.hops.insert((from, id), (to.clone(), remote));
        self.handle_event(&to, Event::Hop(remote, scope, call));
    }

    /// Advances the clock. Leases lapse, and calls and workers make progress.
    pub fn advance_clock(&mut self, span: Millis) {
        self.now += span;
        self.platform.expire(self.now);
        let mut ended = Vec::new();
        for (target, executor) in &mut self.executors {
            let now = self.now;
            let ended_ids: Vec<String> = executor
                .running
                .iter()
                .filter(|(_, run)| run.ends <= now)
                .map(|(id, _)| id.clone())
                .collect();
            for id in ended_ids {
                if let Some(run) = executor.running.remove(&id) {
                    ended.push((target.clone(), run));
                }
            }
        }
        for (target, run) in ended {
            if !self.is_cut(run.vm.as_str(), target.as_str()) {
                let event = Event::AttemptEnded(run.id, Attempt::Answered);
                self.net.push(Message::Event(run.vm, event));
            }
        }
        for worker in self.workers.values_mut() {
            worker.tick(self.now);
        }
    }

    /// Performs a daemon's periodic work: lease renewal, watch and tick.
    pub fn housekeep(&mut self, vm: &VmId) {
        let Some(state) = self.vms.get(vm) else { return };
        if state.paused {
            return;
        }
        if self.platform_answers(vm) {
            self.renew(vm);
            self.watch(vm);
        }
        self.handle_event(vm, Event::Tick);
    }

    /// Performs a daemon's work of every second: it sends its summary to the
    /// peers and reads the VM list.
    pub fn gossip(&mut self, vm: &VmId) {
        let now = self.clocks();
        let Some(state) = self.vms.get(vm) else { return };
        if state.paused {
            return;
        }
        let summary = state.node.summary(now);
        let peers: Vec<VmId> =
            self.vms.keys().filter(|peer| *peer != vm).cloned().collect();
        for peer in peers {
            let message = Message::Summary(vm.clone(), peer, summary.clone());
            self.net.push(message);
        }
        let listed = self.list_seen.values().cloned().collect();
        self.handle_event(vm, Event::Listed(listed));
    }

    fn renew(&mut self, vm: &VmId) {
        let now = self.now;
        let Some(state) = self.vms.get_mut(vm) else { return };
        if state.renewed + LEASE / 3 > now {
            return;
        }
        state.renewed = now;
        let dc = state.node.dc().clone();
        let member = Member {
            dc: dc.clone(),
            addr: String::new(),
            admin: String::new(),
            draining: state.draining,
        };
        let had_lease = state.lease;
        state.lease = true;
        let alive = self.platform.renew(vm, now + LEASE);
        if had_lease && !alive {
            self.handle_event(vm, Event::LeaseLost);
        }
        self.platform.put_member(dc, vm.clone(), member, now + LEASE);
        self.handle_event(vm, Event::Renewed { sent_at: now });
    }

    /// Delivers the platform's pending changes to a VM.
    pub fn watch(&mut self, vm: &VmId) {
        let revision = self.platform.revision;
        let Some(state) = self.vms.get_mut(vm) else { return };
        let event = match state.watched {
            None => {
                let (revision, stored) = self.platform.read();
                Event::Snapshot { revision, stored }
            }
            Some(seen) if seen < revision => self.platform.since(seen),
            Some(_) => return,
        };
        state.watched = Some(revision);
        self.handle_event(vm, event);
    }

    /// Advances time tick by tick and delivers all messages of a tick. Of `n`
    /// deliverable messages, the one at index `pick(n)` is next. Stops at a
    /// violated invariant.
    pub fn run(&mut self, span: Millis, mut pick: impl FnMut(usize) -> usize) {
        let until = self.now + span;
        while self.now < until {
            self.advance_clock(TICK);
            let vms: Vec<VmId> = self.vms.keys().cloned().collect();
            for vm in &vms {
                self.housekeep(vm);
            }
            if self.now % 1_000 == 0 {
                self.list_seen = self.listed.clone();
                for vm in &vms {
                    self.gossip(vm);
                }
            }
            self.deliver_all(&mut pick);
            self.check();
            if !self.faults.is_empty() {
                return;
            }
        }
    }

    fn deliver_all(&mut self, pick: &mut impl FnMut(usize) -> usize) {
        // A read that can't succeed now is sent again, so the number of
        // deliveries is bounded.
        for _ in 0..MAX_DELIVERIES {
            let ready: Vec<usize> = (0..self.net.len())
                .filter(|i| self.deliverable(&self.net[*i]))
                .filter(|i| self.useful(&self.net[*i]))
                .collect();
            if ready.is_empty() {
                return;
            }
            let index = ready[pick(ready.len())];
            self.deliver(index);
        }
    }

    /// The index of the oldest message that can be delivered.
    pub fn next_useful(&self) -> Option<usize> {
        let mut all = self.net.iter();
        all.position(|m| self.deliverable(m) && self.useful(m))
    }

    /// Whether delivering a message has an effect: reads that would fail and
    /// messages of delayed VMs wait.
    pub fn useful(&self, message: &Message) -> bool {
        match message {
            Message::Read(vm) => {
                !self.vms.contains_key(vm) || self.platform_answers(vm)
            }
            Message::Ask(vm, ..)
            | Message::Dispatch(vm, ..)
            | Message::Sync(vm, ..)
            | Message::Forward(vm, ..)
            | Message::Bequest(vm, ..) => !self.delayed.contains(vm),
            _ => true,
        }
    }

    /// Checks the invariants of targets and tasks.
    pub fn check(&mut self) {
        let mut places: BTreeMap<&TaskId, &TargetId> = BTreeMap::new();
        for (target, worker) in &self.workers {
            if worker.overcommitted > 0 {
                self.faults.push(format!("{target} is overcommitted"));
            }
            for task in worker.running() {
                if let Some(other) = places.insert(task, target) {
                    let fault = format!("{task} on {other} and {target}");
                    self.faults.push(fault);
                }
            }
        }
        for (target, executor) in &self.executors {
            if executor.overcommitted > 0 {
                self.faults.push(format!("{target} is overcommitted"));
            }
        }
    }

    /// The number of running tasks.
    pub fn tasks_running(&self) -> usize {
        self.workers.values().map(|w| w.running().count()).sum()
    }

    /// The holder of a contract according to the platform.
    pub fn holder(&self, dc: &str, scope: Scope) -> Option<VmId> {
        let key = Key::Contracts(dc.into());
        let (_, stored) = self.platform.read();
        let map = stored.into_iter().find(|s| s.key == key)?;
        let Value::Contracts(map) = map.value else { return None };
        map.epoch(scope).map(|epoch| epoch.holder.clone())
    }

    /// Runs for a time and delivers messages in the order they were sent.
    pub fn run_in_order(&mut self, span: Millis) {
        self.run(span, |_| 0);
    }

    /// The last answer to a call.
    pub fn answer_to(&self, id: CallId) -> Option<&Outcome> {
        self.calls[&id].answers.last()
    }

    /// The calls whose callers still wait for an answer.
    pub fn waiting(&self) -> Vec<CallId> {
        let waits = self.calls.iter().filter(|(_, state)| state.waiting);
        waits.map(|(id, _)| *id).collect()
    }

    /// Applies a configuration, as an operator does. Returns whether it was
    /// accepted.
    pub fn apply(&mut self, file: &str) -> bool {
        if self.platform.down || Config::parse(file).is_err() {
            return false;
        }
        self.platform.put(Key::Config, Value::Config(file.to_string()));
        true
    }

    /// Ends all outages, broken links, delays and pauses.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.delayed.clear();
        self.platform.set_down(false, self.now);
        self.platform.lose_answers = 0;
        for vm in self.vms.values_mut() {
            vm.paused = false;
            if vm.cut {
                vm.cut = false;
                vm.watched = None;
            }
        }
    }
}

/// How long a leaving target may still get calls.
const GRACE: Millis = 4_000;
/// The most messages that are delivered in one tick.
const MAX_DELIVERIES: usize = 100_000;

impl Executor {
    fn ask(&mut self, epoch: &Epoch) -> Result<ExecutorInfo, TargetError> {
        if *epoch < self.highest {
            return Err(TargetError::Stale(self.highest.clone()));
        }
        let previous = std::mem::replace(&mut self.highest, epoch.clone());
        Ok(ExecutorInfo {
            previous,
            slots: self.slots,
            running: self.running.keys().cloned().collect(),
            leaving: self.leaving,
        })
    }

    fn begin(&mut self, run: Run, epoch: &Epoch) -> Result<(), Attempt> {
        if *epoch < self.highest {
            return Err(Attempt::Stale(self.highest.clone()));
        }
        self.highest = epoch.clone();
        if self.running.len() as u32 >= self.slots {
            self.overcommitted += 1;
            return Err(Attempt::Refused);
        }
        let id = format!("{}:{}", run.vm, run.id.0);
        self.running.insert(id, run);
        Ok(())
    }
}
