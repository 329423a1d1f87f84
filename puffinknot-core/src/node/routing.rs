//! Call routing: to an executor slot on this VM, or over a hop to the holder
//! of another contract.
//!
//! A call with an idempotency key goes to the home of its key. Any other
//! call goes where a slot is free: first under a contract of this VM, then
//! under another one of the data centre, then, if its class allows it, in
//! another data centre. A call is retried only if it certainly did not run,
//! or if its class allows it to run twice.
//!
//! *Not run* is a statement about the call, not about a single attempt. For a
//! call with a key, only the home of the key can make it, because an earlier
//! attempt through another entry VM may have run. A VM that can't ask the
//! home answers *unknown*.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::calls::{Admission, CallId, CallSpec, Load};
use crate::config::{Class, ClassKind, Repeat};
use crate::contract::Scope;
use crate::ids::{DcName, Epoch, Millis, TargetId, VmId};
use crate::outcome::{Outcome, Reason};

use super::{Action, Attempt, Call, Node, Now};

/// The delay of the next attempt for a waiting call whose contract has no
/// reachable holder.
const HOLDER_RETRY_DELAY: Millis = 100;
/// After this many refused attempts, a call is not routed again at once.
const MAX_ATTEMPTS: u32 = 6;
/// The credit that a retry costs. Each call earns the policy's percentage.
const RETRY_COST: u64 = 100;
/// The credit of a node at its start.
pub(super) const INITIAL_RETRY_CREDIT: u64 = 10 * RETRY_COST;
/// The maximum credit of a node.
const MAX_RETRY_CREDIT: u64 = 100 * RETRY_COST;
/// The default `retry_after` of a refusal.
const RETRY_AFTER: Millis = 1_000;

/// The sender of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// A peer, which has forwarded the call to run under this contract.
    Hop(Scope),
}

/// The place where a call runs or waits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Location {
    /// Nowhere: the call has not been routed, or its last attempt has ended.
    Unassigned,
    /// In the queue of a contract.
    Queued(Scope),
    /// At an executor, under an epoch.
    Running(Scope, TargetId, Epoch),
    /// At a peer, under a contract.
    Forwarded(DcName, Scope),
}

/// A call that this VM has to answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallState {
    pub(super) call: Call,
    pub(super) origin: Origin,
    pub(super) location: Location,
    kind: ClassKind,
    may_repeat: bool,
    may_leave_dc: bool,
    deadline: Millis,
    tried: BTreeSet<(DcName, Scope)>,
    attempts: u32,
    answered: bool,
    /// Whether the last outcome comes from a peer, which has already checked
    /// that it may be reported.
    from_peer: bool,
}

/// A contract under which to try a call.
enum Candidate {
    Local(Scope),
    Peer(VmId, DcName, Scope),
}

impl Node {
    pub(super) fn on_call(&mut self, now: Now, id: CallId, call: Call) {
        self.counters.calls += 1;
        self.admit(now, id, Origin::Caller, call);
    }

    pub(super) fn on_hop(
        &mut self,
        now: Now,
        id: CallId,
        scope: Scope,
        call: Call,
    ) {
        self.counters.hops += 1;
        self.admit(now, id, Origin::Hop(scope), call);
    }

    fn admit(&mut self, now: Now, id: CallId, origin: Origin, call: Call) {
        let config = &self.view.config.value;
        let Some(class) = config.class(&call.class).cloned() else {
            let outcome = Outcome::not_run(Reason::NoConfig, RETRY_AFTER);
            self.actions.push(Action::Answer { id, outcome });
            return;
        };
        let percent = u64::from(config.policy.retry_percent);
        self.retry_credit =
            (self.retry_credit + percent).min(MAX_RETRY_CREDIT);
        let Class { kind, repeat, deadline_ms, .. } = class;
        let deadline = now.mono + call.remaining.min(deadline_ms);
        let state = CallState {
            call,
            origin,
            location: Location::Unassigned,
            kind,
            may_repeat: repeat == Repeat::Allowed,
            may_leave_dc: class.other_data_centres,
            deadline,
            tried: BTreeSet::new(),
            attempts: 0,
            answered: false,
            from_peer: false,
        };
        self.calls.insert(id, state);
        self.timers.insert((deadline, id));
        self.route(now, id);
    }

    /// Routes a call. Candidates on this VM are tried at once.
    fn route(&mut self, now: Now, id: CallId) {
        let mut refusal = Outcome::not_run(Reason::NoHolder, RETRY_AFTER);
        while let Some(next) = self.next_candidate(id) {
            match next {
                Candidate::Local(scope) => {
                    match self.admit_locally(now, id, scope) {
                        Ok(()) => return,
                        Err(outcome) => refusal = outcome,
                    }
                }
                Candidate::Peer(vm, dc, scope) => {
                    self.forward(now, id, vm, dc, scope);
                    return;
                }
            }
        }
        self.wait_or_finish(now, id, refusal);
    }

    fn next_candidate(&self, id: CallId) -> Option<Candidate> {
        let state = self.calls.get(&id)?;
        let here = &self.config.dc;
        if let Origin::Hop(scope) = state.origin {
            let new = !state.tried.contains(&(here.clone(), scope));
            let held = self.held_contracts.contains_key(&scope);
            return (new && held).then_some(Candidate::Local(scope));
        }
        if state.call.key.is_some() {
            return self.candidate_for_key(state);
        }
        let mut best: Option<(CandidateRank, Candidate)> = None;
        for (dc, map) in &self.view.maps {
            if dc != here && !state.may_leave_dc {
                continue;
            }
            for scope in map.value.contracts.keys() {
                let Some((rank, next)) = self.rank(state, dc, *scope) else {
                    continue;
                };
                if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                    best = Some((rank, next));
                }
            }
        }
        best.map(|(_, next)| next)
    }

    /// The only candidate for a call with an idempotency key.
    fn candidate_for_key(&self, state: &CallState) -> Option<Candidate> {
        let key = state.call.key.as_ref()?;
        let caller = self.view.config.value.caller(&state.call.caller)?;
        let dc = &caller.data_centre;
        let scope = self.view.contract_map(dc)?.scope_for_key(key.uuid);
        if state.tried.contains(&(dc.clone(), scope)) {
            return None;
        }
        let holder = self.view.holder(dc, scope)?;
        if *holder == self.config.vm {
            return Some(Candidate::Local(scope));
        }
        Some(Candidate::Peer(holder.clone(), dc.clone(), scope))
    }

    /// Ranks a contract as a candidate for a call; the lowest rank is best.
    fn rank(
        &self,
        state: &CallState,
        dc: &DcName,
        scope: Scope,
    ) -> Option<(CandidateRank, Candidate)> {
        if !matches!(scope, Scope::Calls(_)) {
            return None;
        }
        if state.tried.contains(&(dc.clone(), scope)) {
            return None;
        }
        let remote_dc = *dc != self.config.dc;
        let held = self.held_contracts.get(&scope).filter(|_| !remote_dc);
        if let Some(held) = held {
            let load = held.load();
            let rank = CandidateRank::new(state.kind, load, remote_dc, false);
            return Some((rank, Candidate::Local(scope)));
        }
        let holder = self.view.holder(dc, scope)?;
        if *holder == self.config.vm {
            return None;
        }
        let load = self.view.loads.get(&(dc.clone(), scope)).copied();
        let load = load.filter(|_| !self.view.is_silent(holder));
        let load = load.unwrap_or_default();
        let rank = CandidateRank::new(state.kind, load, remote_dc, true);
        Some((rank, Candidate::Peer(holder.clone(), dc.clone(), scope)))
    }

    /// Tries to start or queue a call under a contract of this VM.
    fn admit_locally(
        &mut self,
        now: Now,
        id: CallId,
        scope: Scope,
    ) -> Result<(), Outcome> {
        let dc = self.config.dc.clone();
        let spec = self.call_spec(id);
        let handing_over = self.claims.is_handing_over(scope);
        let Some(state) = self.calls.get_mut(&id) else { return Ok(()) };
        state.tried.insert((dc, scope));
        let not_holder =
            Outcome::not_run(Reason::NotHolder, HOLDER_RETRY_DELAY);
        let Some(held) = self.held_contracts.get_mut(&scope) else {
            return Err(not_holder);
        };
        if let Some(key) = &state.call.key {
            held.keys.check(key, now.wall)?;
        }
        if handing_over {
            return Err(Outcome::not_run(
                Reason::Draining,
                HOLDER_RETRY_DELAY,
            ));
        }
        if !held.term.may_start() {
            return Err(Outcome::not_run(Reason::BeforeTenure, RETRY_AFTER));
        }
        let admission = held.pool.admit(now.mono, id, &spec);
        if let Admission::Refused(outcome) = admission {
            return Err(outcome);
        }
        if let Some(key) = &state.call.key {
            held.keys.mark_started(key);
        }
        match admission {
            Admission::Start(target) => self.dispatch(id, scope, target),
            _ => state.location = Location::Queued(scope),
        }
        Ok(())
    }

    fn call_spec(&self, id: CallId) -> CallSpec {
        let state = &self.calls[&id];
        let config = &self.view.config.value;
        let caller = config.caller(&state.call.caller);
        CallSpec {
            caller: state.call.caller.clone(),
            kind: state.kind,
            deadline: state.deadline,
            share_percent: caller.map_or(1, |c| c.share_percent),
            queue: caller.map_or(0, |c| c.queue),
        }
    }

    pub(super) fn dispatch(
        &mut self,
        id: CallId,
        scope: Scope,
        target: TargetId,
    ) {
        let Some(held) = self.held_contracts.get(&scope) else { return };
        let epoch = held.term.epoch.clone();
        if let Some(state) = self.calls.get_mut(&id) {
            state.location =
                Location::Running(scope, target.clone(), epoch.clone());
        }
        self.actions.push(Action::Dispatch { id, target, epoch });
    }

    fn forward(
        &mut self,
        now: Now,
        id: CallId,
        vm: VmId,
        dc: DcName,
        scope: Scope,
    ) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        state.tried.insert((dc.clone(), scope));
        state.from_peer = false;
        state.location = Location::Forwarded(dc, scope);
        let mut call = state.call.clone();
        call.remaining = state.deadline.saturating_sub(now.mono);
        self.actions.push(Action::Forward { id, vm, scope, call });
    }

    pub(super) fn on_hop_ended(
        &mut self,
        now: Now,
        id: CallId,
        outcome: Outcome,
    ) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        let Location::Forwarded(dc, scope) = state.location.clone() else {
            return;
        };
        state.location = Location::Unassigned;
        state.from_peer = true;
        if let Outcome::NotRun { reason: Reason::NoSlot, .. } = outcome {
            self.view.loads.insert((dc, scope), Load::default());
        }
        self.attempt_ended(now, id, outcome);
    }

    pub(super) fn on_hop_failed(&mut self, now: Now, id: CallId, sent: bool) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        let Location::Forwarded(dc, scope) = state.location.clone() else {
            return;
        };
        state.location = Location::Unassigned;
        self.view.loads.insert((dc, scope), Load::default());
        let outcome = if sent {
            Outcome::unknown(Reason::PeerLost, RETRY_AFTER)
        } else {
            Outcome::not_run(Reason::PeerUnreachable, RETRY_AFTER)
        };
        self.attempt_ended(now, id, outcome);
    }

    /// Handles the end of an attempt at a peer or an executor.
    fn attempt_ended(&mut self, now: Now, id: CallId, outcome: Outcome) {
        match outcome {
            Outcome::Answered => self.finish_call(now, id, outcome),
            Outcome::NotRun { .. } => self.handle_refusal(now, id, outcome),
            Outcome::Unknown { reason, .. } => {
                let connection_lost = matches!(
                    reason,
                    Reason::ConnectionLost | Reason::PeerLost
                );
                let state = self.calls.get(&id);
                if connection_lost
                    && state.is_some_and(|state| state.may_repeat)
                {
                    self.handle_refusal(now, id, outcome);
                } else {
                    self.finish_call(now, id, outcome);
                }
            }
        }
    }

    /// Handles the refusal of a call. The call is retried if a candidate, an
    /// attempt and retry credit are left.
    pub(super) fn handle_refusal(
        &mut self,
        now: Now,
        id: CallId,
        outcome: Outcome,
    ) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        if state.answered {
            self.calls.remove(&id);
            return;
        }
        state.attempts += 1;
        let attempts = state.attempts;
        if attempts >= MAX_ATTEMPTS || self.next_candidate(id).is_none() {
            self.wait_or_finish(now, id, outcome);
            return;
        }
        if self.retry_credit < RETRY_COST {
            let no_credit = Outcome::not_run(Reason::RetryBudget, RETRY_AFTER);
            self.count_outcome(&no_credit);
            self.finish_call(now, id, outcome);
            return;
        }
        self.retry_credit -= RETRY_COST;
        if let Some(reason) = outcome.reason() {
            *self.counters.retries.entry(reason).or_default() += 1;
        }
        self.route(now, id);
    }

    /// Handles a call without further candidates. A waiting call is retried
    /// after a short delay if the refusal is likely due to a change of
    /// holder; any other call ends at once.
    fn wait_or_finish(&mut self, now: Now, id: CallId, outcome: Outcome) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        let transient = matches!(
            outcome.reason(),
            Some(
                Reason::NoHolder
                    | Reason::NotHolder
                    | Reason::Draining
                    | Reason::StaleEpoch
                    | Reason::PeerUnreachable
            )
        );
        let may_wait = state.kind == ClassKind::Waiting
            && state.origin == Origin::Caller
            && matches!(outcome, Outcome::NotRun { .. });
        let retry_at = now.mono + HOLDER_RETRY_DELAY;
        if transient && may_wait && retry_at < state.deadline {
            state.tried.clear();
            state.location = Location::Unassigned;
            self.timers.insert((retry_at, id));
            return;
        }
        self.finish_call(now, id, outcome);
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Now,
        id: CallId,
        attempt: Attempt,
    ) {
        let Some(state) = self.calls.get_mut(&id) else { return };
        let Location::Running(scope, target, epoch) = state.location.clone()
        else {
            return;
        };
        state.location = Location::Unassigned;
        // Another executor of the same contract may accept the call.
        let here = self.config.dc.clone();
        state.tried.remove(&(here, scope));
        let key = state.call.key.clone();
        let held = self.held_contracts.get_mut(&scope);
        if let Some(held) = held.filter(|h| h.term.epoch == epoch) {
            match attempt {
                Attempt::Answered => held.pool.finish(now.mono, id),
                Attempt::Lost => held.connection_lost(&target, id),
                _ => held.pool.start_failed(id),
            }
            match (&key, &attempt) {
                (Some(key), Attempt::Answered) => held.keys.mark_answered(key),
                (None, _) | (_, Attempt::Lost) => {}
                (Some(key), _) => held.keys.forget(key),
            }
            if matches!(attempt, Attempt::NotSent | Attempt::Refused) {
                held.executor_failed(&target);
            }
        }
        if let Attempt::Stale(highest) = &attempt {
            self.superseded(now, scope, highest);
        }
        let outcome = match attempt {
            Attempt::Answered => Outcome::Answered,
            Attempt::NotSent => {
                Outcome::not_run(Reason::Unreachable, RETRY_AFTER)
            }
            Attempt::Stale(_) => {
                Outcome::not_run(Reason::StaleEpoch, HOLDER_RETRY_DELAY)
            }
            Attempt::Refused => {
                Outcome::not_run(Reason::TargetRefused, HOLDER_RETRY_DELAY)
            }
            Attempt::Lost => {
                Outcome::unknown(Reason::ConnectionLost, RETRY_AFTER)
            }
        };
        self.attempt_ended(now, id, outcome);
        self.start_waiting(now, scope);
    }

    /// Ends a call and answers it, unless it has been answered before.
    pub(super) fn finish_call(
        &mut self,
        now: Now,
        id: CallId,
        outcome: Outcome,
    ) {
        let lease_valid = self.lease_is_certainly_valid(now);
        let Some(state) = self.calls.get_mut(&id) else { return };
        let keyed = state.call.key.is_some();
        let authoritative = state.from_peer || lease_valid;
        let outcome = if keyed {
            restrict_refusal(outcome, authoritative)
        } else {
            outcome
        };
        let origin = state.origin;
        let unanswered = !state.answered;
        state.answered = true;
        let running = matches!(state.location, Location::Running(..));
        if !running {
            self.timers.remove(&(state.deadline, id));
            self.calls.remove(&id);
        }
        if !unanswered {
            return;
        }
        if origin == Origin::Caller {
            self.count_outcome(&outcome);
        }
        self.actions.push(Action::Answer { id, outcome });
    }

    /// Handles the disconnection of a caller. A running call goes on, and
    /// its answer is dropped.
    pub(super) fn on_abandoned(&mut self, now: Now, id: CallId) {
        self.withdraw(id);
        let Some(state) = self.calls.get_mut(&id) else { return };
        state.answered = true;
        self.finish_call(now, id, Outcome::unknown(Reason::CallerGone, 0));
    }

    /// Removes a call from the queue in which it waits. Returns whether it
    /// was queued.
    fn withdraw(&mut self, id: CallId) -> bool {
        let Some(state) = self.calls.get_mut(&id) else { return false };
        let Location::Queued(scope) = state.location else { return false };
        state.location = Location::Unassigned;
        self.forget_key(scope, id);
        let held = self.held_contracts.get_mut(&scope);
        held.is_some_and(|held| held.pool.withdraw(id))
    }

    pub(super) fn fire_timers(&mut self, now: Now) {
        while let Some((at, id)) = self.timers.first().copied() {
            if at > now.mono {
                break;
            }
            self.timers.pop_first();
            self.fire_timer(now, id);
        }
    }

    fn fire_timer(&mut self, now: Now, id: CallId) {
        let Some(state) = self.calls.get(&id) else { return };
        if state.deadline > now.mono {
            if state.location == Location::Unassigned {
                self.route(now, id);
            }
            return;
        }
        let outcome = match state.location {
            Location::Running(..) | Location::Forwarded(..) => {
                Outcome::unknown(Reason::LateAnswer, RETRY_AFTER)
            }
            Location::Queued(_) => {
                Outcome::not_run(Reason::Expired, RETRY_AFTER)
            }
            Location::Unassigned => {
                Outcome::not_run(Reason::NoHolder, RETRY_AFTER)
            }
        };
        self.withdraw(id);
        self.finish_call(now, id, outcome);
    }
}

/// The rank of a candidate; fields are compared in the order of declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    full: bool,
    remote_dc: bool,
    wait: Millis,
    hop: bool,
    room: Reverse<u32>,
}

impl CandidateRank {
    fn new(
        kind: ClassKind,
        load: Load,
        remote_dc: bool,
        hop: bool,
    ) -> CandidateRank {
        let (full, wait, room) = load.cost(kind);
        CandidateRank { full, remote_dc, wait, hop, room }
    }
}

/// The outcome that may be reported for a call with an idempotency key. Only
/// the home of the key knows of earlier attempts, and a home may have been
/// superseded without knowing. The refusal stays *not run* only if it comes
/// from the home and that is `authoritative`; otherwise it becomes *unknown*.
fn restrict_refusal(outcome: Outcome, authoritative: bool) -> Outcome {
    let Outcome::NotRun { reason, retry_after } = outcome else {
        return outcome;
    };
    let from_home = matches!(
        reason,
        Reason::NoSlot
            | Reason::CallerLimit
            | Reason::QueueFull
            | Reason::WaitTooLong
            | Reason::Expired
            | Reason::KeysFull
            | Reason::KeyTooNew
            | Reason::Unreachable
            | Reason::TargetRefused
            | Reason::Draining
    );
    if from_home && authoritative {
        Outcome::NotRun { reason, retry_after }
    } else {
        Outcome::Unknown { reason, retry_after }
    }
}
