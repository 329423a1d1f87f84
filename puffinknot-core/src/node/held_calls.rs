//! The contracts for calls that this VM holds: their executors and keys.

use std::collections::{BTreeMap, BTreeSet};

use crate::calls::{CallId, Condition, Dequeued, Load, Pool};
use crate::config::Policy;
use crate::contract::Scope;
use crate::idempotency::{KeySnapshot, KeyTable, KeyTableConfig};
use crate::ids::{Epoch, Millis, TargetId};
use crate::outcome::{Outcome, Reason};
use crate::term::Term;

use super::routing::Place;
use super::{Action, ExecutorInfo, Node, Now, TargetError};

/// An executor that has not accepted the epoch is asked again after this.
const ASK_AGAIN: Millis = 300;
/// An executor that runs calls of earlier tenures is asked this often.
const ASK_OLDER: Millis = 500;
/// Any other executor is asked this often whether it is leaving.
const ASK_READY: Millis = 2_000;
/// A request to an executor is given up after this time.
const ASK_TIMEOUT: Millis = 1_000;

/// What is known of the questions that an executor was asked.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Asked {
    /// When it was asked last; `None` if it should be at once.
    at: Option<Millis>,
    /// Whether that question has yet to be answered.
    waiting: bool,
    /// Questions that have not ended, those given up among them.
    open: u32,
    /// Some of these may be older than the loss of a call there.
    before_loss: bool,
}

impl Asked {
    /// A question has ended. Returns whether it is surely younger than every
    /// loss of a call. Answers overtake each other, so that none is before
    /// all questions have ended that were open at the loss.
    fn ended(&mut self, now: Now) -> bool {
        let younger = !self.before_loss;
        self.at = Some(now.mono);
        self.waiting = false;
        self.open = self.open.saturating_sub(1);
        self.before_loss &= self.open > 0;
        younger
    }
}

/// One contract for calls, while this VM holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Home {
    pub(super) tenure: Term,
    pub(super) pool: Pool,
    pub(super) keys: KeyTable,
    /// The epoch of the holder that passed its keys on.
    heir_of: Option<Epoch>,
    targets: BTreeSet<TargetId>,
    asked: BTreeMap<TargetId, Asked>,
}

impl Home {
    pub(super) fn new(tenure: Term, keys: &KeyTableConfig) -> Home {
        let policy = Policy::default();
        Home {
            tenure,
            pool: Pool::new((&policy).into()),
            keys: KeyTable::new(keys.clone()),
            heir_of: None,
            targets: BTreeSet::new(),
            asked: BTreeMap::new(),
        }
    }

    pub(super) fn configure(&mut self, policy: &Policy) {
        self.pool.configure(policy.into());
    }

    /// Takes the keys of the holder before.
    pub(super) fn inherit(&mut self, epoch: Epoch, memory: KeySnapshot) {
        self.keys.adopt(memory);
        self.heir_of = Some(epoch);
    }

    /// How much room there is; none before work may be started.
    pub(super) fn load(&self) -> Load {
        if self.tenure.may_start() {
            self.pool.load()
        } else {
            Load::default()
        }
    }

    pub(super) fn settle_if_done(&mut self, now: Now) {
        if self.tenure.takeover_complete() {
            self.keys.complete_takeover(now.wall);
        }
    }

    /// The contract names these targets now.
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
            self.asked.remove(&target);
            self.tenure.epoch_accepted(&target);
        }
        self.targets = targets.clone();
        self.settle_if_done(now);
    }

    /// The executors whose state should be asked for now.
    fn due(&self, now: Now) -> Vec<TargetId> {
        let due = |target: &&TargetId| {
            let Some(asked) = self.asked.get(*target) else { return true };
            let Some(at) = asked.at else { return true };
            let wait = if asked.waiting {
                ASK_TIMEOUT
            } else if self.pool.condition(target) == Condition::Absent {
                ASK_AGAIN
            } else if self.pool.older(target) > 0 {
                ASK_OLDER
            } else {
                ASK_READY
            };
            at + wait <= now.mono
        };
        self.targets.iter().filter(due).cloned().collect()
    }

    /// An executor could not be connected to, or refused a call. It gets no
    /// more before it has said how it is.
    pub(super) fn executor_failed(&mut self, target: &TargetId) {
        self.pool.set_condition(target, Condition::Absent);
    }

    /// After a pause, nothing that was known of the executors counts.
    pub(super) fn forget_executors(&mut self) {
        for target in &self.targets {
            self.pool.set_condition(target, Condition::Absent);
        }
        for asked in self.asked.values_mut() {
            asked.at = None;
            asked.waiting = false;
        }
    }

    /// The connection to a call's executor was lost.
    pub(super) fn lose(&mut self, target: &TargetId, id: CallId) {
        self.pool.lose(id);
        if let Some(asked) = self.asked.get_mut(target) {
            asked.before_loss = asked.open > 0;
        }
    }

    /// An executor has answered. Returns the slots that count as used by
    /// calls that are not this tenure's, or lost; it named `foreign`.
    fn answered(&mut self, now: Now, target: &TargetId, foreign: u32) -> u32 {
        let asked = self.asked.entry(target.clone()).or_default();
        if asked.ended(now) {
            return foreign;
        }
        // What it said may have been true before a call that was lost had
        // arrived there, so it frees nothing.
        foreign.max(self.pool.older(target))
    }

    /// Whether what was inherited is all there is. Had another VM served
    /// the contract in between, every executor would have seen its epoch.
    fn check_heritage(&mut self, previous: &Epoch) {
        let expected = self.heir_of.as_ref();
        let known =
            expected == Some(previous) || *previous == self.tenure.epoch;
        if self.heir_of.is_some() && !known {
            self.heir_of = None;
            self.keys.distrust();
        }
    }
}

impl Node {
    pub(super) fn tend_homes(&mut self, now: Now) {
        let scopes: Vec<Scope> = self.homes.keys().copied().collect();
        for scope in scopes {
            self.ask_executors(now, scope);
            self.pump(now, scope);
            if let Some(home) = self.homes.get_mut(&scope) {
                home.keys.expire(now.wall);
            }
        }
    }

    fn ask_executors(&mut self, now: Now, scope: Scope) {
        let Some(home) = self.homes.get_mut(&scope) else { return };
        for target in home.due(now) {
            let asked = home.asked.entry(target.clone()).or_default();
            asked.at = Some(now.mono);
            asked.open += 1;
            if std::mem::replace(&mut asked.waiting, true) {
                // No answer is no reason to believe that it takes work.
                home.executor_failed(&target);
            }
            let epoch = home.tenure.epoch.clone();
            self.out.push(Action::QueryExecutor { target, epoch });
        }
    }

    /// Starts waiting calls of a contract while there is room.
    pub(super) fn pump(&mut self, now: Now, scope: Scope) {
        if self.claims.frozen(scope) {
            return;
        }
        let Some(home) = self.homes.get_mut(&scope) else { return };
        for dequeued in home.pool.pump(now.mono) {
            match dequeued {
                Dequeued::Start(id, target) => {
                    self.dispatch(id, scope, target);
                }
                Dequeued::Expired(id) => {
                    self.forget_key(scope, id);
                    let wait = Outcome::not_run(Reason::Expired, 1_000);
                    self.end(now, id, wait);
                }
            }
        }
    }

    pub(super) fn on_executor(
        &mut self,
        now: Now,
        target: TargetId,
        epoch: Epoch,
        result: Result<ExecutorInfo, TargetError>,
    ) {
        let found = self.homes.iter().find(|(_, home)| {
            home.tenure.epoch == epoch && home.targets.contains(&target)
        });
        let Some(scope) = found.map(|(scope, _)| *scope) else { return };
        match result {
            Ok(info) => self.executor_reported(now, scope, &target, &info),
            Err(error) => {
                let home = self.homes.get_mut(&scope);
                if let Some(home) = home {
                    home.asked.entry(target.clone()).or_default().ended(now);
                    home.pool.set_condition(&target, Condition::Absent);
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
        let condition = self.condition_of(target, info.leaving);
        let mine = |id: &CallId| self.request_id(*id);
        let Some(home) = self.homes.get(&scope) else { return };
        let own: BTreeSet<String> =
            home.pool.running_at(target).map(|id| mine(&id)).collect();
        let foreign = info.running.iter().filter(|id| !own.contains(*id));
        let foreign = foreign.count() as u32;
        let Some(home) = self.homes.get_mut(&scope) else { return };
        let older = home.answered(now, target, foreign);
        home.check_heritage(&info.previous);
        home.pool.report(target, condition, info.slots, older);
        home.tenure.epoch_accepted(target);
        home.settle_if_done(now);
        self.pump(now, scope);
    }

    /// A target has seen a higher epoch than this VM's.
    pub(super) fn superseded(
        &mut self,
        now: Now,
        scope: Scope,
        highest: &Epoch,
    ) {
        let dc = self.config.dc.clone();
        if self.view.note_epoch(&dc, scope, highest) {
            self.after_change(now);
        }
    }

    /// Takes every waiting call of a contract out of its queue and looks
    /// for another place for it.
    pub(super) fn requeue_waiting(
        &mut self,
        now: Now,
        scope: Scope,
        reason: Reason,
    ) {
        let Some(home) = self.homes.get_mut(&scope) else { return };
        for id in home.pool.withdraw_all() {
            self.forget_key(scope, id);
            if let Some(state) = self.calls.get_mut(&id) {
                state.place = Place::Nowhere;
            }
            let refusal = Outcome::not_run(reason, 100);
            self.refused(now, id, refusal);
        }
    }

    /// A call certainly did not run, so that its key may be used again.
    pub(super) fn forget_key(&mut self, scope: Scope, id: CallId) {
        let Some(state) = self.calls.get(&id) else { return };
        let Some(home) = self.homes.get_mut(&scope) else { return };
        if let Some(key) = &state.call.key {
            home.keys.forget(key);
        }
    }
}
