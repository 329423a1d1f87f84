/*!
One entry VM: the state machine that the daemon drives.

A [`Node`] receives events with their time and returns the actions to take.
It never blocks: a request to the platform, a peer or a target is an
[`Action`], and its end comes back as an [`Event`]. All entry VMs run the
same code; what a VM does follows from the contracts that it holds.

Each part of the node has a module:

* `view` keeps the newest known versions of the platform's values,
* `claims` takes contracts over, hands them over and enrols their targets,
* `routing` routes calls to the holder of a contract with a free slot,
* `held_calls` runs the executors of the call contracts that this VM holds,
* `held_tasks` runs the tasks of the data centre, if this VM holds that
  contract.
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
use crate::store::{Key, StoredEntry, Write, WriteResult};
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
    /// The monotonic clock, in milliseconds since an arbitrary start.
    pub mono: Millis,
    /// The wall clock, in milliseconds since 1970.
    pub wall: Millis,
}

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeConfig {
    /// The name of the VM, unique to this run of the daemon.
    pub vm: VmId,
    /// The data centre of the VM.
    pub dc: DcName,
    /// The number of call contracts to create if the data centre has no
    /// contracts yet.
    pub call_scopes: u16,
    /// How long a member counts as alive after its last sign of life, in
    /// milliseconds.
    pub member_ttl: Millis,
    /// How long the assignment of contracts to members must have been
    /// unchanged before a contract is handed over, in milliseconds.
    pub rebalance_after: Millis,
    /// How long successive readings of the VM list must lack a target before
    /// it counts as gone, in milliseconds.
    pub gone_after: Millis,
    /// The limits of the idempotency key tables.
    pub keys: KeyTableConfig,
}

impl NodeConfig {
    /// Creates a configuration with the usual times.
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

/// The kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A target that answers calls.
    Executor,
    /// A target that runs tasks.
    Worker,
}

/// A target in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedTarget {
    /// The name of the target.
    pub id: TargetId,
    /// The kind of the target.
    pub kind: TargetKind,
    /// The data centre of the target.
    pub dc: DcName,
    /// Whether the target is leaving.
    pub leaving: bool,
}

/// Entries of the VM list that could not be read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct UnreadableEntries {
    /// The targets that these entries name.
    pub targets: BTreeSet<TargetId>,
    /// The number of entries that name no target, so that each may belong to
    /// any target.
    pub unidentified: usize,
}

impl UnreadableEntries {
    /// Whether one of the entries may belong to this target.
    pub fn may_include(&self, target: &TargetId) -> bool {
        self.unidentified > 0 || self.targets.contains(target)
    }
}

/// An executor's report of its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExecutorInfo {
    /// The highest epoch that the executor had seen before this request.
    pub previous: Epoch,
    /// The number of calls that the executor can run at once.
    pub slots: u32,
    /// The running requests, by the id they were sent with.
    pub running: Vec<String>,
    /// Whether the executor accepts no new work.
    pub leaving: bool,
}

/// Why a request to a target failed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TargetError {
    /// The target has seen this higher epoch.
    Stale(Epoch),
    /// The target could not be reached, or gave no usable answer.
    Unreachable,
}

/// The end of an attempt to run a call at an executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// The complete answer has arrived.
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// The executor refused the epoch because it has seen this higher one.
    Stale(Epoch),
    /// The executor refused the call without running it.
    Refused,
    /// The connection was lost, or the answer was truncated.
    Lost,
}

/// A call that a caller or a peer has sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Call {
    /// The caller.
    pub caller: CallerId,
    /// The name of the call's class.
    pub class: String,
    /// The time until the deadline, in milliseconds.
    pub remaining: Millis,
    /// The idempotency key, if the call must not run twice.
    pub key: Option<IdempotencyKey>,
}

/// What a VM tells its peers about itself, every second.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Summary {
    /// The VM.
    pub vm: VmId,
    /// The data centre of the VM.
    pub dc: DcName,
    /// Whether the VM is about to stop.
    pub draining: bool,
    /// Whether the VM can reach the platform.
    pub platform: bool,
    /// The revision of the operators' file in force on the VM.
    pub config: Revision,
    /// The revisions of the contracts that the VM knows, by data centre.
    pub maps: BTreeMap<DcName, Revision>,
    /// The highest epochs that the VM knows for its data centre.
    pub epochs: BTreeMap<Scope, Epoch>,
    /// The free capacity under the contracts that the VM holds.
    pub loads: BTreeMap<Scope, Load>,
    /// The targets of its data centre that the VM knows to be leaving.
    pub leaving: BTreeSet<TargetId>,
}

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Everything in the platform's service was read at a revision.
    Snapshot {
        /// The revision of the read.
        revision: Revision,
        /// The values that were read.
        stored: Vec<StoredEntry>,
    },
    /// The watch has reported changes.
    Changed {
        /// The revision of the last change.
        revision: Revision,
        /// Values that were written.
        stored: Vec<StoredEntry>,
        /// Keys that were deleted or whose lease has expired.
        deleted: Vec<Key>,
    },
    /// The platform has renewed the lease of this member.
    Renewed {
        /// When the renewal was sent.
        sent_at: Millis,
    },
    /// The lease of this member has expired.
    LeaseLost,
    /// A write has ended.
    Written {
        /// The key.
        key: Key,
        /// The result of the write.
        result: WriteResult,
    },
    /// The VM list was read completely.
    Listed(Vec<ListedTarget>),
    /// The VM list was read, except for some entries.
    ListedPartially(Vec<ListedTarget>, UnreadableEntries),
    /// A peer has sent its summary.
    SummaryReceived(Summary),
    /// A peer has sent the platform's values that it knows.
    ValuesReceived(Vec<StoredEntry>),
    /// A caller has sent a call.
    Call(CallId, Call),
    /// A peer has forwarded a call to run under a contract.
    Hop(CallId, Scope, Call),
    /// The caller has disconnected.
    Abandoned(CallId),
    /// A forwarded call has ended.
    HopEnded(CallId, Outcome),
    /// Forwarding a call has failed.
    HopFailed {
        /// The call.
        id: CallId,
        /// Whether any byte may have reached the peer.
        sent: bool,
    },
    /// An attempt at an executor has ended.
    AttemptEnded(CallId, Attempt),
    /// The query of an executor's state has ended.
    ExecutorReplied {
        /// The executor.
        target: TargetId,
        /// The epoch that was presented.
        epoch: Epoch,
        /// The executor's report, or why there is none.
        result: Result<ExecutorInfo, TargetError>,
    },
    /// A sync with a worker has ended.
    SyncEnded {
        /// The worker.
        target: TargetId,
        /// The epoch of the sync.
        epoch: Epoch,
        /// The sequence number of the sync.
        seq: u64,
        /// The worker's reply, or why there is none.
        result: Result<SyncReply, TargetError>,
    },
    /// The holder of a contract has passed its state on to this VM before
    /// giving the contract up.
    HandoverReceived {
        /// The contract.
        scope: Scope,
        /// The epoch of the previous holder.
        epoch: Epoch,
        /// The idempotency keys of the previous holder.
        memory: KeySnapshot,
    },
    /// The successor has acknowledged a handover, or has failed to.
    HandoverEnded {
        /// The contract.
        scope: Scope,
        /// Whether the successor has received the state.
        acknowledged: bool,
    },
    /// The VM is to stop, and must give up its contracts.
    Drain,
}

/// An output of the state machine, for the daemon to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Make a compare-and-swap in the platform's service.
    Write(Write),
    /// Read everything in the platform's service.
    Read,
    /// Write this VM's member entry under its lease.
    Register {
        /// Whether the VM is about to stop.
        draining: bool,
    },
    /// Present the epoch to an executor and query its state.
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
        /// The epoch under which to send the call.
        epoch: Epoch,
    },
    /// Forward a call to the holder of a contract.
    Forward {
        /// The call.
        id: CallId,
        /// The holder.
        vm: VmId,
        /// The contract.
        scope: Scope,
        /// The call to forward.
        call: Call,
    },
    /// Answer a caller or a forwarding peer.
    Answer {
        /// The call.
        id: CallId,
        /// The outcome of the call.
        outcome: Outcome,
    },
    /// Ask a peer for the platform's values that it knows.
    Fetch {
        /// The peer.
        vm: VmId,
    },
    /// Pass this VM's state on to the successor of a contract.
    SendHandover {
        /// The successor.
        vm: VmId,
        /// The contract.
        scope: Scope,
        /// The epoch of this VM.
        epoch: Epoch,
        /// The idempotency keys of this VM.
        memory: KeySnapshot,
    },
    /// A new revision of the operators' file is in force.
    ConfigApplied(Revision),
}

/// Event counts since the start of the node.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct Counters {
    /// Calls received from callers.
    pub calls: u64,
    /// Calls received from peers.
    pub hops: u64,
    /// Calls from callers that were answered.
    pub answered: u64,
    /// Refused calls, by reason.
    pub refused: BTreeMap<Reason, u64>,
    /// Calls that may have run, by reason.
    pub unknown: BTreeMap<Reason, u64>,
    /// Retries, by the reason why the attempt before failed.
    pub retries: BTreeMap<Reason, u64>,
    /// Contracts taken over.
    pub claims: u64,
    /// Contracts handed over.
    pub handovers: u64,
    /// Writes that failed because another writer came first.
    pub writes_lost: u64,
    /// Writes whose answer was lost, so that their result is unknown.
    pub writes_unknown: u64,
    /// Writes that were not made because the platform could not be asked.
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
    /// The times at which calls need attention.
    timers: BTreeSet<(Millis, CallId)>,
    /// Credit for retries; each retry costs `RETRY_COST`.
    retry_credit: u64,
    counters: Counters,
    draining: bool,
    actions: Vec<Action>,
}

impl Node {
    /// Creates a node that knows nothing yet.
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

    /// The platform's values as far as this VM knows them.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The event counts.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The placer of the data centre's tasks, if this VM holds that contract.
    pub fn placer(&self) -> Option<&Placer> {
        self.placer.as_deref()
    }

    /// Handles an event and returns the actions to take.
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
                self.claims.receive_handover(scope, epoch, memory);
            }
            Event::HandoverEnded { scope, acknowledged } => {
                self.on_handover_ended(now, scope, acknowledged);
            }
            Event::Drain => self.on_drain(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Detects that this VM was paused. It has then missed what others sent
    /// in the meantime, so its state of the executors is outdated.
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

    /// Whether the platform has renewed this member's lease within the time
    /// to live of a member.
    pub fn platform_is_reachable(&self, now: Now) -> bool {
        self.claims.lease_renewed_within(now, self.config.member_ttl)
    }

    /// The summary that this VM sends to its peers.
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

    fn count_outcome(&mut self, outcome: &Outcome) {
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
