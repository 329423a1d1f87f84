/*!
One entry VM: the state machine that the daemon drives.

A [`Node`] is told what happened, with the time, and answers with what is to
be done. It never waits: a request to the platform, a peer or a target is an
[`Action`], and its end comes back as an [`Event`]. All entry VMs run the
same code; what one does follows from the contracts that it holds.

The parts of the node each have a module:

* `view` keeps the newest that is known of the platform's values,
* `claims` takes contracts over, hands them over and names their targets,
* `routing` leads calls to the holder of a slot,
* `homes` runs the slots of the contracts that this VM holds,
* `work` runs the tasks of the data centre, if this VM holds that contract.
*/

mod claims;
mod held_calls;
mod held_tasks;
mod routing;
mod status;
mod view;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::calls::{CallId, ExecutorState, Load};
use crate::contract::Scope;
use crate::idempotency::{IdempotencyKey, KeySnapshot, KeyTableConfig};
use crate::ids::{CallerId, DcName, Epoch, Millis, Revision, TargetId, VmId};
use crate::outcome::{Outcome, Reason};
use crate::store::{Key, Stored, Write, WriteResult};
use crate::tasks::{Placer, SyncReply, SyncRequest};

use self::claims::Claims;
use self::held_calls::HeldContract;
use self::held_tasks::ProgressWrite;
use self::routing::CallState;
pub use self::status::{ContractStatus, JobStatus, NodeStatus, TargetStatus};
pub use self::view::View;

/// A moment on the clocks of this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Now {
    /// The monotonic clock, in milliseconds since any start.
    pub mono: Millis,
    /// The wall clock, in milliseconds since 1970.
    pub wall: Millis,
}

/// What a node is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeConfig {
    /// The name of this run of the daemon.
    pub vm: VmId,
    /// The data centre.
    pub dc: DcName,
    /// The number of call contracts, if this VM is the first of its data
    /// centre.
    pub call_scopes: u16,
    /// How long a member counts as alive without word, in milliseconds.
    pub member_ttl: Millis,
    /// How long contracts stay where they are after a member has come.
    pub rebalance_after: Millis,
    /// For how long readings of the VM list must lack a target that is gone.
    pub gone_after: Millis,
    /// The limits of the memory for keys.
    pub keys: KeyTableConfig,
}

impl NodeConfig {
    /// The usual times for a VM in a data centre.
    pub fn new(vm: VmId, dc: DcName) -> NodeConfig {
        NodeConfig {
            vm,
            dc,
            call_scopes: 1,
            member_ttl: 3_000,
            rebalance_after: 2_000,
            gone_after: 3_000,
            keys: KeyTableConfig::default(),
        }
    }
}

/// Which kind a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// It answers calls.
    Executor,
    /// It runs tasks.
    Worker,
}

/// A target in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedTarget {
    /// Its name.
    pub id: TargetId,
    /// What it is.
    pub kind: TargetKind,
    /// Its data centre.
    pub dc: DcName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Entries of the VM list that could not be read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnreadableEntries {
    /// The targets that they name.
    pub targets: BTreeSet<TargetId>,
    /// How many name no target, so that they may be anybody's.
    pub unidentified: usize,
}

impl UnreadableEntries {
    /// Whether an entry of this target may be among them.
    pub fn may_include(&self, target: &TargetId) -> bool {
        self.unidentified > 0 || self.targets.contains(target)
    }
}

/// An executor's word on itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExecutorInfo {
    /// The highest epoch it had seen before it was asked.
    pub previous: Epoch,
    /// The calls it can run at once.
    pub slots: u32,
    /// The requests that run, by the id they were sent with.
    pub running: Vec<String>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Why a target did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TargetError {
    /// It has seen this higher epoch.
    Stale(Epoch),
    /// It could not be asked, or gave no usable answer.
    Unreachable,
}

/// How the attempt to run a call at an executor ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// The whole answer is there.
    Answered,
    /// No byte of the request left.
    NotSent,
    /// The executor refused the epoch; it has seen this higher one.
    Stale(Epoch),
    /// The executor refused the call without running it.
    Refused,
    /// The connection was lost, or the answer was cut.
    Lost,
}

/// A call as it comes from a caller or over a hop.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Call {
    /// Whose it is.
    pub caller: CallerId,
    /// Its class.
    pub class: String,
    /// How long its answer is worth waiting for, in milliseconds.
    pub remaining: Millis,
    /// Its key, if it must not be repeated.
    pub key: Option<IdempotencyKey>,
}

/// What a VM tells its peers of itself, every second.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Summary {
    /// Whose summary it is.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcName,
    /// Whether it is about to stop.
    pub draining: bool,
    /// Whether the platform answers it.
    pub platform: bool,
    /// The revision of the operators' file that it has in force.
    pub config: Revision,
    /// The revisions of the contracts it knows, by data centre.
    pub maps: BTreeMap<DcName, Revision>,
    /// The highest epochs it knows for its data centre.
    pub epochs: BTreeMap<Scope, Epoch>,
    /// The room under the contracts it holds.
    pub loads: BTreeMap<Scope, Load>,
    /// Targets that it knows to be leaving.
    pub leaving: BTreeSet<TargetId>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Everything in the platform's service, read at a revision.
    Snapshot {
        /// The revision of the read.
        revision: Revision,
        /// The values.
        stored: Vec<Stored>,
    },
    /// The watch has seen changes.
    Changed {
        /// The revision of the last change.
        revision: Revision,
        /// Values that were put.
        stored: Vec<Stored>,
        /// Keys that were deleted or whose lease has lapsed.
        deleted: Vec<Key>,
    },
    /// The lease of this member was renewed by a request sent at this time.
    Renewed {
        /// When the request was sent.
        sent_at: Millis,
    },
    /// The lease of this member has lapsed.
    LeaseLost,
    /// A write has ended.
    Written {
        /// The key.
        key: Key,
        /// How it ended.
        result: WriteResult,
    },
    /// The VM list was read.
    Listed(Vec<ListedTarget>),
    /// The VM list was read, but for some entries.
    ListedPartially(Vec<ListedTarget>, UnreadableEntries),
    /// A peer has sent its summary.
    SummaryReceived(Summary),
    /// A peer has sent what it knows of the platform's values.
    ValuesReceived(Vec<Stored>),
    /// A caller wants an answer.
    Call(CallId, Call),
    /// A peer wants a call run under a contract.
    Hop(CallId, Scope, Call),
    /// The caller has gone away.
    Abandoned(CallId),
    /// A forwarded call has ended.
    HopEnded(CallId, Outcome),
    /// A call could not be forwarded. `sent` tells whether any byte may
    /// have reached the peer.
    HopFailed {
        /// The call.
        id: CallId,
        /// Whether any byte may have reached the peer.
        sent: bool,
    },
    /// An attempt at an executor has ended.
    AttemptEnded(CallId, Attempt),
    /// An executor was asked for its state under an epoch.
    ExecutorReplied {
        /// The executor.
        target: TargetId,
        /// The epoch that was presented.
        epoch: Epoch,
        /// Its word.
        result: Result<ExecutorInfo, TargetError>,
    },
    /// A sync with a worker has ended.
    SyncEnded {
        /// The worker.
        target: TargetId,
        /// The epoch of the sync.
        epoch: Epoch,
        /// The number of the sync.
        seq: u64,
        /// The worker's word.
        result: Result<SyncReply, TargetError>,
    },
    /// A holder passes on what it knows before it gives a contract up.
    HandoverReceived {
        /// The contract.
        scope: Scope,
        /// The holder's epoch.
        epoch: Epoch,
        /// The keys it remembers.
        memory: KeySnapshot,
    },
    /// The successor has taken note of a bequest, or has not.
    HandoverEnded {
        /// The contract.
        scope: Scope,
        /// Whether the successor has it.
        acknowledged: bool,
    },
    /// The VM is to stop: it gives up its contracts.
    Drain,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Make a compare-and-swap.
    Write(Write),
    /// Read everything in the platform's service again.
    Read,
    /// Write this VM's entry under its lease.
    Register {
        /// Whether the VM is about to stop.
        draining: bool,
    },
    /// Present the epoch to an executor and ask for its state.
    QueryExecutor {
        /// The executor.
        target: TargetId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Send a sync to a worker.
    Sync {
        /// The worker.
        target: TargetId,
        /// The request.
        request: SyncRequest,
    },
    /// Send a call to an executor.
    Dispatch {
        /// The call.
        id: CallId,
        /// The executor.
        target: TargetId,
        /// The epoch to send it under.
        epoch: Epoch,
    },
    /// Send a call to the holder of a contract.
    Forward {
        /// The call.
        id: CallId,
        /// The holder.
        vm: VmId,
        /// The contract.
        scope: Scope,
        /// What is sent.
        call: Call,
    },
    /// Answer a call.
    Answer {
        /// The call.
        id: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Ask a peer for what it knows of the platform's values.
    Fetch {
        /// The peer.
        vm: VmId,
    },
    /// Pass on what this VM knows to the successor of a contract.
    SendHandover {
        /// The successor.
        vm: VmId,
        /// The contract.
        scope: Scope,
        /// The epoch of this VM.
        epoch: Epoch,
        /// The keys it remembers.
        memory: KeySnapshot,
    },
    /// A new revision of the operators' file is in force.
    ConfigApplied(Revision),
}

/// How often things happened.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct Counters {
    /// Calls that came from callers.
    pub calls: u64,
    /// Calls that came from peers.
    pub hops: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Refusals, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Ends without knowledge of whether the call ran, by reason.
    pub unknown: BTreeMap<Reason, u64>,
    /// Retries, by the reason of the refusal before.
    pub retries: BTreeMap<Reason, u64>,
    /// Contracts taken over.
    pub claims: u64,
    /// Contracts handed over.
    pub handovers: u64,
    /// Writes that another writer was faster with.
    pub writes_lost: u64,
    /// Writes whose answer was lost.
    pub writes_unknown: u64,
    /// Writes that the platform could not be asked for.
    pub writes_not_made: u64,
    /// Values from the platform that could not be used.
    pub bad_values: u64,
}

/// The state of one entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    config: NodeConfig,
    view: View,
    claims: Claims,
    held_contracts: BTreeMap<Scope, HeldContract>,
    placer: Option<Box<Placer>>,
    progress_write: Option<ProgressWrite>,
    calls: BTreeMap<CallId, CallState>,
    /// Calls by the time at which something has to be done about them.
    timers: BTreeSet<(Millis, CallId)>,
    /// How many retries may still be made, in hundredths.
    retry_credit: u64,
    counters: Counters,
    draining: bool,
    actions: Vec<Action>,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(config: NodeConfig) -> Node {
        Node {
            config,
            view: View::default(),
            claims: Claims::default(),
            held_contracts: BTreeMap::new(),
            placer: None,
            progress_write: None,
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            retry_credit: routing::INITIAL_RETRY_CREDIT,
            counters: Counters::default(),
            draining: false,
            actions: Vec::new(),
        }
    }

    /// The name of this VM.
    pub fn vm(&self) -> &VmId {
        &self.config.vm
    }

    /// The data centre of this VM.
    pub fn dc(&self) -> &DcName {
        &self.config.dc
    }

    /// What this VM knows of the platform's values.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// How often things happened.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The tasks of the data centre, if this VM places them.
    pub fn placer(&self) -> Option<&Placer> {
        self.placer.as_deref()
    }

    /// Takes note of an event and says what is to be done.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.detect_pause(now);
        match event {
            Event::Tick => self.tick(now),
            Event::Snapshot { revision, stored } => {
                self.on_snapshot(now, revision, stored);
            }
            Event::Changed { revision, stored, deleted } => {
                self.on_changed(now, revision, stored, deleted);
            }
            Event::Renewed { sent_at } => self.on_renewed(now, sent_at),
            Event::LeaseLost => self.on_lease_lost(),
            Event::Written { key, result } => {
                self.on_written(now, key, result);
            }
            Event::Listed(listed) => {
                self.on_listed(now, listed, &UnreadableEntries::default());
            }
            Event::ListedPartially(listed, unread) => {
                self.on_listed(now, listed, &unread);
            }
            Event::SummaryReceived(summary) => self.on_summary(now, summary),
            Event::ValuesReceived(stored) => self.on_values(now, stored),
            Event::Call(id, call) => self.on_call(now, id, call),
            Event::Hop(id, scope, call) => self.on_hop(now, id, scope, call),
            Event::Abandoned(id) => self.on_abandoned(now, id),
            Event::HopEnded(id, outcome) => {
                self.on_hop_ended(now, id, outcome);
            }
            Event::HopFailed { id, sent } => self.on_hop_failed(now, id, sent),
            Event::AttemptEnded(id, attempt) => {
                self.on_attempt_ended(now, id, attempt);
            }
            Event::ExecutorReplied { target, epoch, result } => {
                self.on_executor_replied(now, target, epoch, result);
            }
            Event::SyncEnded { target, epoch, seq, result } => {
                self.on_sync_ended(now, target, epoch, seq, result);
            }
            Event::HandoverReceived { scope, epoch, memory } => {
                self.claims.inherit(scope, epoch, memory);
            }
            Event::HandoverEnded { scope, acknowledged } => {
                self.on_handover_ended(now, scope, acknowledged);
            }
            Event::Drain => self.on_drain(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// A VM that was paused has missed what others said in the meantime.
    fn detect_pause(&mut self, now: Now) {
        if self.claims.detect_pause(now, self.config.member_ttl) {
            for held in self.held_contracts.values_mut() {
                held.mark_executors_unavailable();
            }
        }
    }

    fn tick(&mut self, now: Now) {
        self.view.update_silent_peers(now, self.config.member_ttl);
        self.fire_timers(now);
        self.update_held_calls(now);
        self.update_placer(now);
        self.update_claims(now);
    }

    fn on_drain(&mut self, now: Now) {
        if !self.draining {
            self.draining = true;
            self.actions.push(Action::Register { draining: true });
        }
        self.update_claims(now);
    }

    /// Whether nothing depends on this VM any more, so that it may stop.
    pub fn is_drained(&self) -> bool {
        self.draining
            && self.calls.is_empty()
            && self.held_contracts.is_empty()
            && self.placer.is_none()
    }

    /// Whether the platform has answered within the time that a member
    /// counts as alive.
    pub fn platform_is_reachable(&self, now: Now) -> bool {
        self.claims.lease_renewed_within(now, self.config.member_ttl)
    }

    /// What this VM tells its peers.
    pub fn summary(&self, now: Now) -> Summary {
        let loads = self
            .held_contracts
            .iter()
            .map(|(scope, held)| (*scope, held.load()));
        Summary {
            vm: self.config.vm.clone(),
            dc: self.config.dc.clone(),
            draining: self.draining,
            platform: self.platform_is_reachable(now),
            config: self.view.config_revision(),
            maps: self.view.map_revisions(),
            epochs: self.view.epochs(&self.config.dc),
            loads: loads.collect(),
            leaving: self.view.leaving_here(&self.config.dc),
        }
    }

    /// The id under which an executor knows a call of this VM.
    pub fn request_id(&self, id: CallId) -> String {
        format!("{}:{}", self.config.vm, id.0)
    }

    fn count_end(&mut self, outcome: &Outcome) {
        let counters = &mut self.counters;
        match *outcome {
            Outcome::Answered => counters.answered += 1,
            Outcome::NotRun { reason, .. } => {
                *counters.refused.entry(reason).or_default() += 1;
            }
            Outcome::Unknown { reason, .. } => {
                *counters.unknown.entry(reason).or_default() += 1;
            }
        }
    }

    fn executor_state(
        &self,
        target: &TargetId,
        info_leaving: bool,
    ) -> ExecutorState {
        if info_leaving || self.view.is_leaving(target) {
            ExecutorState::Leaving
        } else {
            ExecutorState::Ready
        }
    }
}
