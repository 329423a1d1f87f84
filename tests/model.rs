//! Model checking: an exhaustive breadth-first search through all orders of
//! events in a small model, which uses the real transition functions.
//!
//! Each model is as small as the checked property allows, and its bounds are
//! defined beside it. If an invariant is violated, the shortest sequence of
//! events that leads there is printed.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use pathfinding::directed::bfs::bfs;
use puffinknot_core::config::{Config, Resources};
use puffinknot_core::contract::Scope;
use puffinknot_core::ids::{Epoch, Millis, TargetId, VmId};
use puffinknot_core::node::Event;
use puffinknot_core::tasks::{
    Placer, PlacerConfig, Progress, SyncReply, SyncRequest, WorkerInfo,
};
use puffinknot_core::term::Term;
use puffinknot_standin::worker::{Refusal, WorkerState};

use crate::cell::{Cell as SmallCell, Message};

/// A state of a model.
trait World: Clone + Hash {
    /// All states that can follow, each with the event that leads to it.
    fn successors(&self) -> Vec<(String, Self)>;
    /// The invariant that this state violates, if any.
    fn fault(&self) -> Option<String>;
}

/// A state in the search. States are compared by a fingerprint of 128 bits, so
/// that the state itself can be dropped once its successors are known.
#[derive(Clone)]
struct SearchNode<W> {
    fingerprint: (u64, u64),
    event: Rc<str>,
    fault: Option<Rc<str>>,
    world: Rc<RefCell<Option<W>>>,
}

impl<W: World> SearchNode<W> {
    fn new(event: &str, world: W) -> SearchNode<W> {
        SearchNode {
            fingerprint: (fingerprint(0, &world), fingerprint(1, &world)),
            event: event.into(),
            fault: world.fault().map(Into::into),
            world: Rc::new(RefCell::new(Some(world))),
        }
    }
}

impl<W> PartialEq for SearchNode<W> {
    fn eq(&self, other: &SearchNode<W>) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl<W> Eq for SearchNode<W> {}

impl<W> Hash for SearchNode<W> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint.hash(hasher);
    }
}

fn fingerprint<T: Hash>(salt: u64, value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    salt.hash(&mut hasher);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Visits all reachable states and returns their number. Panics if there are
/// more than `max_states`, or if one of them violates an invariant.
fn search<W: World>(start: W, max_states: usize) -> usize {
    let seen = Cell::new(0_usize);
    let path = bfs(
        &SearchNode::new("start", start),
        |node| {
            seen.set(seen.get() + 1);
            assert!(seen.get() <= max_states, "the bounds are too wide");
            let world = node.world.borrow_mut().take();
            let next = world.map_or(Vec::new(), |w| w.successors());
            next.into_iter()
                .map(|(event, world)| SearchNode::new(&event, world))
        },
        |node| node.fault.is_some(),
    );
    if let Some(path) = path {
        let steps: Vec<&str> = path.iter().map(|node| &*node.event).collect();
        let fault = path.last().and_then(|node| node.fault.clone());
        panic!("{fault:?} after {steps:#?}");
    }
    seen.get()
}

const TASK_FILE: &str = r#"
    cell = "model"
    data_centres = ["goya"]
    [[team]]
    name = "crops"
    quota = { cpu_millis = 64000, memory_mb = 64000 }
    [[service]]
    name = "api"
    team = "crops"
    data_centre = "goya"
    tasks = 1
    need = { cpu_millis = 1000, memory_mb = 1000 }
    [policy]
    task_lease_ms = 1000
"#;

/// The duration of a tick; the task lease is two and a half ticks.
const STEP: Millis = 400;

/// A message between a contract holder and a worker, given by their indices.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum SyncMessage {
    Sync(usize, usize, DebugOrdered<SyncRequest>),
    Reply(usize, usize, u64, DebugOrdered<Result<SyncReply, Refusal>>),
}

impl SyncMessage {
    fn is_reply(&self) -> bool {
        matches!(self, SyncMessage::Reply(..))
    }

    fn name(&self) -> String {
        match self {
            SyncMessage::Sync(holder, worker, DebugOrdered(request)) => {
                format!("sync {} of {holder} at {worker}", request.seq)
            }
            SyncMessage::Reply(holder, worker, seq, _) => {
                format!("reply {seq} of {worker} at {holder}")
            }
        }
    }
}

/// A value that is ordered by its debug text, so that equal sets of messages
/// have the same representation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DebugOrdered<T>(T);

impl<T: std::fmt::Debug + Eq> PartialOrd for DebugOrdered<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T: std::fmt::Debug + Eq> Ord for DebugOrdered<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        format!("{:?}", self.0).cmp(&format!("{:?}", other.0))
    }
}

/// A model of two holders and two workers. The second holder may take over at
/// any time without the first one's knowledge. Messages may be delayed, lost,
/// duplicated and reordered; holders may pause.
#[derive(Clone, Hash)]
struct Tasks {
    now: Millis,
    /// The number of ticks left.
    ticks: u32,
    holders: [Option<Placer>; 2],
    workers: [WorkerState; 2],
    net: Vec<SyncMessage>,
    /// The number of messages that may still be delivered twice.
    duplicates: u32,
}

impl Tasks {
    /// The most messages in transit; a tick drops the first of any more.
    const NET: usize = 2;

    fn new(ticks: u32, duplicates: u32) -> Tasks {
        let info = WorkerInfo {
            capacity: Resources {
                cpu_millis: 4_000,
                memory_mb: 8_000,
                accelerators: 0,
            },
            rack: "rack".into(),
            leaving: false,
        };
        let mut world = Tasks {
            now: 1_000,
            ticks: 100,
            holders: [None, None],
            workers: [WorkerState::new(info.clone()), WorkerState::new(info)],
            net: Vec::new(),
            duplicates,
        };
        world.holders[0] = Some(Tasks::placer(1, &[]));
        // Lets the first holder start the task on one of the workers.
        for reach in [Some(0), Some(1), Some(0), Some(1)] {
            world.tick([reach, None]);
            while !world.net.is_empty() {
                world = world.delivered(0, false);
            }
        }
        world.ticks = ticks;
        world
    }

    fn placer(number: u64, unseen: &[TargetId]) -> Placer {
        let config = Config::parse(TASK_FILE).expect("a file in order");
        let epoch = Epoch { number, holder: VmId(format!("vm{number}")) };
        let targets = unseen.iter().cloned().collect();
        let term = Term::new(epoch, 1, true, targets);
        let mut placer = Placer::new(
            PlacerConfig::default(),
            "goya".into(),
            term,
            Some(&config),
            Progress::default(),
        );
        placer.apply_config(&config);
        for worker in 0..2 {
            placer.add_worker(1, &Tasks::worker(worker));
        }
        placer
    }

    fn worker(n: usize) -> TargetId {
        TargetId(format!("w{n}"))
    }

    /// Advances time. Each holder either pauses or takes a step and reaches
    /// one of the workers; its messages to the other are lost.
    fn tick(&mut self, reach: [Option<usize>; 2]) {
        self.now += STEP;
        self.ticks -= 1;
        for worker in &mut self.workers {
            worker.tick(self.now);
        }
        for (n, holder) in self.holders.iter_mut().enumerate() {
            let (Some(holder), Some(reached)) = (holder, reach[n]) else {
                continue;
            };
            for (target, request) in holder.step(self.now) {
                let worker = usize::from(target == Tasks::worker(1));
                if worker == reached {
                    let message =
                        SyncMessage::Sync(n, worker, DebugOrdered(request));
                    self.net.push(message);
                }
            }
        }
        while self.net.len() > Tasks::NET {
            self.net.remove(0);
        }
        self.net.sort();
    }

    fn delivered(&self, index: usize, keep: bool) -> Tasks {
        let mut next = self.clone();
        let message = next.net[index].clone();
        if keep {
            next.duplicates -= 1;
        } else {
            next.net.remove(index);
        }
        match message {
            SyncMessage::Sync(holder, worker, DebugOrdered(request)) => {
                let result = next.workers[worker].sync(next.now, &request);
                let reply = DebugOrdered(result);
                let message =
                    SyncMessage::Reply(holder, worker, request.seq, reply);
                next.net.push(message);
            }
            SyncMessage::Reply(holder, worker, seq, DebugOrdered(result)) => {
                let target = Tasks::worker(worker);
                let Some(placer) = &mut next.holders[holder] else {
                    return next;
                };
                match result {
                    Ok(reply) => placer.sync_replied(next.now, &target, reply),
                    Err(Refusal::Old) => placer.sync_failed(&target, seq),
                    // The node drops a superseded placer.
                    Err(Refusal::Stale(_)) => next.holders[holder] = None,
                }
            }
        }
        next.net.sort();
        next
    }

    /// The state after the platform confirms the current holder.
    fn confirmed(&self) -> Option<Tasks> {
        let mut next = self.clone();
        let holder = usize::from(self.taken_over());
        let now = self.now;
        next.holders[holder].as_mut()?.confirm_contract(now);
        Some(next)
    }

    fn taken_over(&self) -> bool {
        self.holders[1].is_some()
    }

    fn claimed(&self) -> Tasks {
        let mut next = self.clone();
        let unseen = [Tasks::worker(0), Tasks::worker(1)];
        next.holders[1] = Some(Tasks::placer(2, &unseen));
        next
    }
}

impl World for Tasks {
    fn successors(&self) -> Vec<(String, Tasks)> {
        let mut all = Vec::new();
        for (index, message) in self.net.iter().enumerate() {
            let name = message.name();
            let delivered = self.delivered(index, false);
            if let SyncMessage::Sync(..) = message {
                // The reply arrives at once, or is lost.
                let mut lost = delivered.clone();
                let mut answered = delivered;
                let last = answered.net.len() - 1;
                let reply =
                    answered.net.iter().position(SyncMessage::is_reply);
                let reply = reply.unwrap_or(last);
                lost.net.remove(reply);
                answered = answered.delivered(reply, false);
                all.push((format!("{name}, answer lost"), lost));
                all.push((name.clone(), answered));
            }
            if self.duplicates > 0 {
                let mut kept = self.delivered(index, true);
                kept.net.retain(|message| !message.is_reply());
                all.push((format!("{name}, kept"), kept));
            }
        }
        let confirmed = self.confirmed();
        all.extend(confirmed.map(|next| ("confirm".into(), next)));
        if !self.taken_over() {
            all.push(("claim".into(), self.claimed()));
        }
        if self.ticks > 0 {
            let reaches = [None, Some(0), Some(1)];
            for a in reaches {
                for b in reaches {
                    let mut next = self.clone();
                    next.tick([a, b]);
                    all.push((format!("tick {a:?} {b:?}"), next));
                }
            }
        }
        all
    }

    fn fault(&self) -> Option<String> {
        let [a, b] = &self.workers;
        let both = a.running().find(|id| b.running().any(|o| o == *id));
        both.map(|id| format!("{id} runs in two places"))
    }
}

#[test]
fn no_task_runs_in_two_places_in_any_order_of_events() {
    for (ticks, duplicates) in [(3, 0), (2, 1)] {
        let states = search(Tasks::new(ticks, duplicates), 900_000);
        println!("{ticks} ticks, {duplicates} duplicates: {states} states");
        assert!(states > 1_000, "only {states} states: nothing happens");
    }
}

const CALL_FILE: &str = include_str!("../testdata/fuzz.toml");

/// A model of two entry VMs, two executors with one slot each, and one call
/// with a key that is sent once through each VM. The first VM's lease has
/// lapsed without its knowledge. Either VM may pause, and messages arrive in
/// any order.
#[derive(Clone, Hash)]
struct Calls {
    cell: SmallCell,
    vms: [VmId; 2],
    key: Option<puffinknot_core::idempotency::IdempotencyKey>,
    /// Whether the call may still be sent through each VM.
    sends: [bool; 2],
    ticks: u32,
}

impl Calls {
    const TICKS: u32 = 2;
    const STEP: Millis = 1_100;

    fn new(overlap: bool) -> Calls {
        let mut cell = SmallCell::new(CALL_FILE);
        for n in 0..2 {
            cell.add_executor(&format!("x{n}"), "goya", 1);
        }
        cell.run_ms = 1_000;
        let vms = ["vm0", "vm1"].map(|name| cell.start(name, "goya"));
        cell.run_in_order(8_000);
        let home = cell.holder("goya", Scope::Calls(0)).expect("a home");
        let [a, b] = vms;
        let vms = if a == home { [a, b] } else { [b, a] };
        // The home of the key loses its contract and can't learn of it. Each
        // VM reaches one executor; with `overlap`, the home reaches both.
        cell.cut(vms[0].as_str(), vms[1].as_str(), true);
        cell.cut(vms[1].as_str(), "x0", true);
        if !overlap {
            cell.cut(vms[0].as_str(), "x1", true);
        }
        cell.cut_platform(&vms[0], true);
        cell.platform.lapse(&vms[0]);
        // The other VM takes the contract over and presents its epoch to the
        // executors that it reaches.
        for _ in 0..4 {
            cell.advance_clock(50);
            cell.housekeep(&vms[1]);
            while let Some(index) = cell.next_useful() {
                cell.deliver(index);
            }
        }
        assert_eq!(
            cell.holder("goya", Scope::Calls(0)).as_ref(),
            Some(&vms[1])
        );
        Calls { cell, vms, key: None, sends: [true, true], ticks: 0 }
    }

    fn sent(&self, through: usize) -> Calls {
        let mut next = self.clone();
        let key = next.key.clone();
        let key = key.unwrap_or_else(|| next.cell.new_key("coop"));
        next.key = Some(key.clone());
        let vm = next.vms[through].clone();
        next.cell.call(&vm, "coop", "vent-check", Some(key));
        next.sends[through] = false;
        next
    }

    /// Delivers all messages whose order does not matter: all but calls in
    /// transit, their ends, and epochs that reach an executor.
    fn deliver_at_once(&mut self) {
        let matters = |cell: &SmallCell, message: &Message| match message {
            Message::Ask(vm, target, _) => {
                !cell.is_cut(vm.as_str(), target.as_str())
            }
            Message::Dispatch(..) => true,
            Message::Event(_, event) => {
                matches!(event, Event::Call(..) | Event::AttemptEnded(..))
            }
            _ => false,
        };
        loop {
            let cell = &self.cell;
            let next = (0..cell.net.len()).find(|index| {
                let message = &cell.net[*index];
                cell.useful(message) && !matters(cell, message)
            });
            let Some(index) = next else { return };
            self.cell.deliver(index);
        }
    }

    fn ticked(&self, awake: [bool; 2]) -> Calls {
        let mut next = self.clone();
        next.cell.advance_clock(Calls::STEP);
        for (vm, awake) in next.vms.clone().iter().zip(awake) {
            if awake {
                next.cell.housekeep(vm);
            }
        }
        next.ticks += 1;
        next
    }
}

impl World for Calls {
    fn successors(&self) -> Vec<(String, Calls)> {
        let mut all = Vec::new();
        for index in 0..self.cell.net.len() {
            let message = &self.cell.net[index];
            if !self.cell.useful(message) {
                continue;
            }
            let mut next = self.clone();
            next.cell.deliver(index);
            all.push((format!("deliver {message:?}"), next));
        }
        for through in [0, 1] {
            if self.sends[through] {
                let name = format!("send through {through}");
                all.push((name, self.sent(through)));
            }
        }
        if self.ticks < Calls::TICKS {
            for awake in [[true, true], [true, false], [false, true]] {
                all.push((format!("tick {awake:?}"), self.ticked(awake)));
            }
        }
        for (_, next) in &mut all {
            next.deliver_at_once();
            next.cell.check();
            // States that differ only in the order of sending are the same.
            next.cell.net.sort_by_cached_key(|m| format!("{m:?}"));
            next.cell.net.dedup();
        }
        all
    }

    fn fault(&self) -> Option<String> {
        self.cell.faults.first().cloned()
    }
}

#[test]
fn no_call_with_a_key_runs_twice_in_any_order_of_events() {
    for overlap in [false, true] {
        let states = search(Calls::new(overlap), 200_000);
        println!("{states} states");
        assert!(states > 1_000, "only {states} states: nothing happens");
    }
}
