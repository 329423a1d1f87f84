//! The call contracts that this VM holds: their executors and their
//! idempotency keys.

use std::collections::{BTreeMap, BTreeSet};

use crate::calls::{CallId, Dequeued, ExecutorState, Load, Pool};
use crate::config::Policy;
use crate::contract::Scope;
use crate::idempotency::{KeySnapshot, KeyTable, KeyTableConfig};
use crate::ids::{Epoch, Millis, TargetId};
use crate::outcome::{Outcome, Reason};
use crate::term::Term;

use super::routing::Location;
use super::{Action, ExecutorInfo, Node, Now, TargetError};

/// The interval of queries to an executor that has not accepted the epoch.
const QUERY_RETRY_INTERVAL: Millis = 300;
/// The interval of queries to an executor that runs calls of earlier terms, or
/// calls whose connection was lost.
const QUERY_UNTRACKED_INTERVAL: Millis = 500;
/// The interval of queries to any other executor, which may be leaving.
const QUERY_READY_INTERVAL: Millis = 2_000;
/// A query that gets no answer is given up after this time.
const QUERY_TIMEOUT: Millis = 1_000;

/// The queries of one executor's state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct QueryState {
    /// When the last query was sent or ended; `None` makes the next one due
    /// at once.
    last_at: Option<Millis>,
    /// Whether the last query has not been answered yet.
    unanswered: bool,
    /// Queries that have not ended, including those given up.
    outstanding: u32,
    /// Whether an outstanding query may predate the loss of a call's
    /// connection.
    predates_loss: bool,
}

impl QueryState {
    /// Records the end of a query. Returns whether the query was certainly
    /// sent after every loss of a call's connection. Answers can overtake each
    /// other, so this holds only once all queries have ended that were
    /// outstanding at the loss.
    fn finish(&mut self, now: Now) -> bool {
        let after_losses = !self.predates_loss;
        self.last_at = Some(now.mono);
        self.unanswered = false;
        self.outstanding = self.outstanding.saturating_sub(1);
        self.predates_loss &= self.outstanding > 0;
        after_losses
    }
}

/// A call contract that this VM holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HeldContract {
    pub(super) term: Term,
    pub(super) pool: Pool,
    pub(super) keys: KeyTable,
    /// The epoch of the holder that handed over its keys.
    inherited_from: Option<Epoch>,
    targets: BTreeSet<TargetId>,
    queries: BTreeMap<TargetId, QueryState>,
}

impl HeldContract {
    pub(super) fn new(term: Term, keys: &KeyTableConfig) -> HeldContract {
        let policy = Policy::default();
        HeldContract {
            term,
            pool: Pool::new((&policy).into()),
            keys: KeyTable::new(keys.clone()),
            inherited_from: None,
            targets: BTreeSet::new(),
            queries: BTreeMap::new(),
        }
    }

    pub(super) fn configure(&mut self, policy: &Policy) {
        self.pool.configure(policy.into());
    }

    /// Imports the keys of the previous holder.
    pub(super) fn inherit_keys(&mut self, epoch: Epoch, memory: KeySnapshot) {
        self.keys.import(memory);
        self.inherited_from = Some(epoch);
    }

    /// The free capacity; none before work may be started.
    pub(super) fn load(&self) -> Load {
        if self.term.may_start() {
            self.pool.load()
        } else {
            Load::default()
        }
    }

    pub(super) fn check_takeover(&mut self, now: Now) {
        if self.term.takeover_complete() {
            self.keys.complete_takeover(now.wall);
        }
    }

    /// Applies the current targets of the contract.
    pub(super) fn set_targets(
        &mut self,
        now: Now,
        targets: &BTreeSet<TargetId>,
    ) {
        if self.targets == *targets {
            return;
        }
        let gone: Vec<TargetId> =
            self.targets.difference(targets).cloned().collect();
        for target in gone {
            self.pool.remove(&target);
            self.queries.remove(&target);
            self.term.epoch_accepted(&target);
        }
        self.targets = targets.clone();
        self.check_takeover(now);
    }

    /// The executors that are due for a query.
    fn due_queries(&self, now: Now) -> Vec<TargetId> {
        let due = |target: &&TargetId| {
            let Some(query) = self.queries.get(*target) else { return true };
            let Some(at) = query.last_at else { return true };
            let wait = if query.unanswered {
                QUERY_TIMEOUT
            } else if self.pool.state(target) == ExecutorState::Unavailable {
                QUERY_RETRY_INTERVAL
            } else if self.pool.untracked(target) > 0 {
                QUERY_UNTRACKED_INTERVAL
            } else {
                QUERY_READY_INTERVAL
            };
            at + wait <= now.mono
        };
        self.targets.iter().filter(due).cloned().collect()
    }

    /// Records that an executor could not be connected to, or refused a
    /// call. It gets no calls until it has reported its state.
    pub(super) fn executor_failed(&mut self, target: &TargetId) {
        self.pool.set_state(target, ExecutorState::Unavailable);
    }

    /// Discards what is known of the executors, after a pause of this VM.
    pub(super) fn mark_executors_unavailable(&mut self) {
        for target in &self.targets {
            self.pool.set_state(target, ExecutorState::Unavailable);
        }
        for query in self.queries.values_mut() {
            query.last_at = None;
            query.unanswered = false;
        }
    }

    /// Records that the connection to a call's executor was lost.
    pub(super) fn connection_lost(&mut self, target: &TargetId, id: CallId) {
        self.pool.connection_lost(id);
        if let Some(query) = self.queries.get_mut(target) {
            query.predates_loss = query.outstanding > 0;
        }
    }

    /// Records an executor's answer, in which `foreign` requests are not
    /// calls of this term. Returns the number of slots that count as used by
    /// calls of other terms, or by calls whose connection was lost.
    fn record_answer(
        &mut self,
        now: Now,
        target: &TargetId,
        foreign: u32,
    ) -> u32 {
        let query = self.queries.entry(target.clone()).or_default();
        if query.finish(now) {
            return foreign;
        }
        // The answer may predate the arrival of a call whose connection was
        // lost, so it frees no slot.
        foreign.max(self.pool.untracked(target))
    }

    /// Checks that no other VM held the contract between the handover and
    /// this term: such a holder would have presented its epoch to every
    /// executor. Otherwise the inherited keys may be incomplete.
    fn verify_inherited_keys(&mut self, previous: &Epoch) {
        let expected = self.inherited_from.as_ref();
        let unchanged =
            expected == Some(previous) || *previous == self.term.epoch;
        if self.inherited_from.is_some() && !unchanged {
            self.inherited_from = None;
            self.keys.invalidate();
        }
    }
}

impl Node {
    pub(super) fn update_held_calls(&mut self, now: Now) {
        let scopes: Vec<Scope> = self.held_contracts.keys().copied().collect();
        for scope in scopes {
            self.query_executors(now, scope);
            self.start_waiting(now, scope);
            if let Some(held) = self.held_contracts.get_mut(&scope) {
                held.keys.expire(now.wall);
            }
        }
    }

    fn query_executors(&mut self, now: Now, scope: Scope) {
        let Some(held) = self.held_contracts.get_mut(&scope) else { return };
        for target in held.due_queries(now) {
            let query = held.queries.entry(target.clone()).or_default();
            query.last_at = Some(now.mono);
            query.outstanding += 1;
            if std::mem::replace(&mut query.unanswered, true) {
                // Without an answer, nothing shows that it accepts work.
                held.executor_failed(&target);
            }
            let epoch = held.term.epoch.clone();
            self.actions.push(Action::QueryExecutor { target, epoch });
        }
    }

    /// Starts waiting calls of a contract while it has free slots for them.
    pub(super) fn start_waiting(&mut self, now: Now, scope: Scope) {
        if self.claims.is_handing_over(scope) {
            return;
        }
        let Some(held) = self.held_contracts.get_mut(&scope) else { return };
        for dequeued in held.pool.start_waiting(now.mono) {
            match dequeued {
                Dequeued::Start(id, target) => {
                    self.dispatch(id, scope, target);
                }
                Dequeued::Expired(id) => {
                    self.forget_key(scope, id);
                    let outcome = Outcome::not_run(Reason::Expired, 1_000);
                    self.finish_call(now, id, outcome);
                }
            }
        }
    }

    pub(super) fn on_executor_replied(
        &mut self,
        now: Now,
        target: TargetId,
        epoch: Epoch,
        result: Result<ExecutorInfo, TargetError>,
    ) {
        let matching = self.held_contracts.iter().find(|(_, held)| {
            held.term.epoch == epoch && held.targets.contains(&target)
        });
        let Some(scope) = matching.map(|(scope, _)| *scope) else { return };
        match result {
            Ok(info) => self.executor_reported(now, scope, &target, &info),
            Err(error) => {
                let held = self.held_contracts.get_mut(&scope);
                if let Some(held) = held {
                    held.queries
                        .entry(target.clone())
                        .or_default()
                        .finish(now);
                    held.pool.set_state(&target, ExecutorState::Unavailable);
                }
                if let TargetError::Stale(highest) = error {
                    self.superseded(now, scope, &highest);
                }
            }
        }
    }

    fn executor_reported(
        &mut self,
        now: Now,
        scope: Scope,
        target: &TargetId,
        info: &ExecutorInfo,
    ) {
        if info.leaving {
            self.view.leaving.insert(target.clone());
        }
        let state = self.executor_state(target, info.leaving);
        let request_id = |id: &CallId| self.request_id(*id);
        let Some(held) = self.held_contracts.get(&scope) else { return };
        let own: BTreeSet<String> =
            held.pool.running_at(target).map(|id| request_id(&id)).collect();
        let foreign = info.running.iter().filter(|id| !own.contains(*id));
        let foreign = foreign.count() as u32;
        let Some(held) = self.held_contracts.get_mut(&scope) else { return };
        let untracked = held.record_answer(now, target, foreign);
        held.verify_inherited_keys(&info.previous);
        held.pool.report(target, state, info.slots, untracked);
        held.term.epoch_accepted(target);
        held.check_takeover(now);
        self.start_waiting(now, scope);
    }

    /// Records that a target has seen a higher epoch than this VM's.
    pub(super) fn superseded(
        &mut self,
        now: Now,
        scope: Scope,
        highest: &Epoch,
    ) {
        let dc = self.config.dc.clone();
        if self.view.record_epoch(&dc, scope, highest) {
            self.on_view_changed(now);
        }
    }

    /// Removes every waiting call of a contract from its queue and routes it
    /// again.
    pub(super) fn reroute_waiting(
        &mut self,
        now: Now,
        scope: Scope,
        reason: Reason,
    ) {
        let Some(held) = self.held_contracts.get_mut(&scope) else { return };
        for id in held.pool.withdraw_all() {
            self.forget_key(scope, id);
            if let Some(state) = self.calls.get_mut(&id) {
                state.location = Location::Unassigned;
            }
            let refusal = Outcome::not_run(reason, 100);
            self.handle_refusal(now, id, refusal);
        }
    }

    /// Removes the key of a call that certainly did not run, so that the key
    /// may be used again.
    pub(super) fn forget_key(&mut self, scope: Scope, id: CallId) {
        let Some(state) = self.calls.get(&id) else { return };
        let Some(held) = self.held_contracts.get_mut(&scope) else { return };
        if let Some(key) = &state.call.key {
            held.keys.forget(key);
        }
    }
}
