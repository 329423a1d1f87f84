/*!
Placement: which task starts on which executor.

A placement round goes over the waiting steps in the order of
[`super::ranking`]. Each task goes to the executor with the least fit cost, see
[`super::fit`], which leaves large blocks of capacity free for gangs, see
[`super::gangs`].
*/

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::ids::Millis;
use crate::jobs::executor::{DescriptionSource, Executor, MAX_OPEN_STARTS};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, ExecutorIndex};
use crate::jobs::model::{Step, StepKey};
use crate::jobs::scheduler::advice::Coverage;
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::gangs::WaitingTasks;
use crate::jobs::scheduler::ledger::LimitReservations;
use crate::jobs::scheduler::live_job::{LiveJob, StepState};
use crate::jobs::scheduler::ranking::Rank;
use crate::jobs::scheduler::round_budget::{RoundBudget, Turn};
use crate::jobs::scheduler::run_room::Starts;
use crate::jobs::scheduler::Scheduler;

/// Once this many gangs and wide steps of a round are left waiting, no more
/// capacity is reserved in advance.
const MAX_ADVANCE_RESERVATIONS: usize = 8;
/// What a failed run of the step on an executor adds to the fit cost there, in
/// thousandths of an executor left over.
const PRIOR_FAILURE_COST: u64 = 6_000;
/// A task is wide if no executor can hold more than this many of its step.
const MAX_WIDE_PER_EXECUTOR: u32 = 2;
/// If more steps than this wait that are not urgent, rounds that include them
/// are at least [`FULL_ROUND_INTERVAL`] apart.
const FEW_NORMAL_STEPS: usize = 8;
/// Every this many waiting steps delay the round after a full one, also for
/// urgent steps, by [`FULL_ROUND_INTERVAL`], and by [`MAX_BACKLOG_PAUSE`] at
/// most. Otherwise capacity that becomes free goes to urgent steps one at a
/// time, before other steps within their share are considered.
const BACKLOG_UNIT: usize = 256;
/// The longest delay for the sake of a backlog. Urgent callers can tolerate it.
const MAX_BACKLOG_PAUSE: Millis = 200;
/// The time between two full rounds, which consider all steps.
const FULL_ROUND_INTERVAL: Millis = 20;
/// The maximum number of expired tickets that one call for advice renews.
const MAX_TICKETS_PER_REFRESH: usize = 40;

/// The executors that are reserved for waiting steps, and when those steps
/// need them. Other steps may use them until then.
pub(super) type AdvanceReservations = BTreeMap<ExecutorIndex, Millis>;

/// The inputs for the placement of one step.
pub(super) struct PlacementContext {
    pub key: StepKey,
    pub step: Step,
    /// Executors on which runs of the step have failed.
    pub failed_on: BTreeSet<ExecutorIndex>,
    /// Executors that may run the step, in ascending order, and whether it
    /// has a valid ticket there.
    pub candidates: Vec<(ExecutorIndex, bool)>,
    /// The client account that the step is charged to.
    pub account: Option<AccountIndex>,
}

impl Scheduler {
    /// Starts all tasks that can be started. Every round considers urgent
    /// steps; while more than a few others wait, only some rounds consider
    /// those. A round that comes too soon is deferred, see
    /// [`super::placement_rounds`].
    pub(super) fn place(&mut self, now: Millis) {
        self.placement_stats.rounds += 1;
        self.place_round(now);
        self.export_placement_stats();
    }

    fn place_round(&mut self, now: Millis) {
        let units = (self.ready.len() / BACKLOG_UNIT) as Millis;
        let gap = (FULL_ROUND_INTERVAL * units).min(MAX_BACKLOG_PAUSE);
        if !self.placement_rounds.may_begin(now)
            || now < self.last_full_round + gap
        {
            self.needs_placement = true;
            self.placement_stats.deferred += 1;
            return;
        }
        self.update_fair_shares(now);
        let ready = self.ready.iter();
        let ready =
            ready.filter_map(|key| Some((self.rank(*key, now)?, *key)));
        let mut order: Vec<(Rank, StepKey)> = ready.collect();
        self.boost_late_steps(&mut order, now);
        let normal =
            order.iter().filter(|(rank, _)| !rank.is_urgent()).count();
        let due = normal <= FEW_NORMAL_STEPS
            || now >= self.last_full_round + FULL_ROUND_INTERVAL;
        let full = due && self.placement_rounds.may_begin_full(now);
        self.placement_rounds.begin(full);
        if full {
            self.last_full_round = now;
        } else {
            order.retain(|(rank, _)| rank.is_urgent());
        }
        self.begin_placement_pass(full);
        self.reset_preemption_searches();
        if full {
            self.update_urgent_slots(&order, now);
        }
        self.update_unseen();
        self.update_run_room(full);
        let mut limit_reservations = LimitReservations::default();
        let mut reserved_from = AdvanceReservations::new();
        let mut waiting_count = 0;
        self.placement_stats.steps += order.len() as u64;
        let mut order: BinaryHeap<Reverse<(Rank, StepKey)>> =
            order.into_iter().map(Reverse).collect();
        let mut budget = RoundBudget::new(self.placement_stats);
        while let Some(Reverse((rank, key))) = order.pop() {
            if let Some(demoted) = self.demoted_rank(key, &rank) {
                if full || demoted.is_urgent() {
                    order.push(Reverse((demoted, key)));
                }
                continue;
            }
            let turn = budget.turn(
                key,
                &self.examined_steps,
                self.placement_stats,
                self.run_room.started(),
            );
            match turn {
                Turn::Examine => {}
                Turn::Skip => continue,
                Turn::Cut => break,
            }
            let urgent = rank.is_urgent();
            if !self.may_place(key)
                || self.is_at_limit(key, &mut limit_reservations, now)
            {
                continue;
            }
            let gang = self.step(key).is_some_and(|s| s.gang && s.count > 1);
            let may_reserve = !urgent
                && waiting_count < MAX_ADVANCE_RESERVATIONS
                && self.is_enabled(Mechanism::GangReservations);
            if gang {
                if !self.place_gang(
                    key,
                    &mut reserved_from,
                    may_reserve,
                    urgent,
                    now,
                ) {
                    waiting_count += 1;
                }
            } else if !self.place_tasks(
                key,
                &mut reserved_from,
                may_reserve,
                urgent,
                now,
            ) {
                waiting_count += 1;
            }
        }
        if budget.end(full, &mut self.examined_steps) {
            self.needs_placement = true;
            self.count("place_rounds_cut");
        }
        self.record_usage(now);
    }

    pub(super) fn step(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.job.steps.get(key.step as usize)
    }

    /// The state of a step, once there is any.
    pub(super) fn step_state(&self, key: StepKey) -> Option<&StepState> {
        self.jobs.get(&key.job)?.steps.get(&(key.time, key.step))
    }

    /// Whether tasks of the step may be started now. A step with nothing to
    /// start is removed from the ready set, and its reservations are released.
    fn may_place(&mut self, key: StepKey) -> bool {
        let Some(live) = self.jobs.get(&key.job) else {
            self.ready.remove(&key);
            return false;
        };
        let state = live.steps.get(&(key.time, key.step));
        let startable = |s: &StepState| {
            s.released && !s.stopping_gang && !s.waiting.is_empty()
        };
        if !state.is_some_and(startable) {
            self.ready.remove(&key);
            self.unreserve(key);
            return false;
        }
        let taking_over = live.inherited && self.takeover_deadline.is_some();
        live.written && !taking_over
    }

    /// The executors that may run the step, in ascending order, and whether it
    /// has a valid ticket there. Steps of queues without advice need none.
    pub(super) fn candidates(
        &self,
        key: StepKey,
        now: Millis,
    ) -> Vec<(ExecutorIndex, bool)> {
        let Some(live) = self.jobs.get(&key.job) else { return Vec::new() };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return Vec::new();
        };
        let step = &live.job.steps[key.step as usize];
        let label = step.label.as_deref();
        let eligible = |executor: &Executor| {
            executor.usable()
                && (executor.description == DescriptionSource::Entry
                    || self.entries_read)
                && executor.breaker.admits(now)
                && executor.info.service == live.queue.service
                && label.is_none_or(|label| executor.has_label(label))
        };
        if live.queue.advice.is_none() {
            let all = self.executors.iter();
            return all
                .filter(|(_, executor)| eligible(executor))
                .map(|(index, _)| (*index, true))
                .collect();
        }
        let tickets = state.advice.tickets.iter();
        tickets
            .filter(|(index, _)| {
                self.executors.get(index).is_some_and(eligible)
            })
            .map(|(index, ticket)| (*index, ticket.valid_until > now))
            .collect()
    }

    /// The text of a step's ticket for an executor; empty if it has none.
    pub(super) fn ticket(&self, key: StepKey, at: ExecutorIndex) -> String {
        let state = self.step_state(key);
        let ticket = state.and_then(|state| state.advice.tickets.get(&at));
        ticket.map(|ticket| ticket.text.clone()).unwrap_or_default()
    }

    /// Whether the step has to wait for its first advice, which is requested
    /// if it has.
    pub(super) fn lacks_advice(&mut self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        if live.queue.advice.is_none() {
            return false;
        }
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return true;
        };
        if state.advice.answered {
            return false;
        }
        self.request_more_advice(key, now);
        true
    }

    /// The inputs for the placement of a step, unless the step has to wait for
    /// its first advice.
    pub(super) fn placement_context(
        &mut self,
        key: StepKey,
        now: Millis,
    ) -> Option<PlacementContext> {
        if self.lacks_advice(key, now) {
            return None;
        }
        let live = self.jobs.get(&key.job)?;
        let step = live.job.steps[key.step as usize].clone();
        let state = live.steps.get(&(key.time, key.step))?;
        let failed_on = if self.is_enabled(Mechanism::FailedThere) {
            state.failed_on.clone()
        } else {
            BTreeSet::new()
        };
        let candidates = self.candidates(key, now);
        self.placement_stats.add_executors(candidates.len());
        let account = live.account;
        Some(PlacementContext { key, step, failed_on, candidates, account })
    }

    /// Places the tasks of a step one by one. If wide tasks are left and
    /// `may_reserve` is set, reserves capacity for them in advance. Returns
    /// whether no such reservation was attempted.
    fn place_tasks(
        &mut self,
        key: StepKey,
        reserved_from: &mut AdvanceReservations,
        may_reserve: bool,
        urgent: bool,
        now: Millis,
    ) -> bool {
        let Some(context) = self.placement_context(key, now) else {
            return true;
        };
        let Some(state) = self.step_state(key) else { return true };
        let is_suspect = |index: &u32| state.trial_evidence(*index).is_some();
        let suspects = match state.crash_evidence.is_empty() {
            true => Vec::new(),
            false => {
                state.waiting.iter().copied().filter(is_suspect).collect()
            }
        };
        let open =
            self.eligible_candidates(&context, reserved_from, urgent, now);
        // No more than this can be started at once.
        let most = open.len() * MAX_OPEN_STARTS + 1;
        let waiting: Vec<u32> = state
            .waiting
            .iter()
            .copied()
            .filter(|index| !is_suspect(index))
            .take(most)
            .collect();
        let may_use = |at: ExecutorIndex| {
            open.binary_search_by_key(&at, |(at, _)| *at).is_ok()
        };
        let mut expired_tickets =
            self.place_suspects(key, &context, suspects, may_use, now);
        let PlacementContext { step, failed_on, candidates, account, .. } =
            context;
        let Some(state) = self.step_state(key) else { return true };
        let prefer_fast = self.needs_fast_executor(key, now);
        let leave_slots = !urgent && self.must_leave_urgent_slots(key, now);
        let mut held_back = false;
        let mut first = self.jobs.get(&key.job).is_some_and(LiveJob::is_idle);
        // Whether tasks wait for the outcomes of other starts, or for the ends
        // of other runs.
        let mut awaits_others = false;
        let mut per_executor: BTreeMap<ExecutorIndex, u32> = BTreeMap::new();
        if step.max_per_executor > 0 {
            for (index, _) in state.placements.values() {
                *per_executor.entry(*index).or_default() += 1;
            }
        }
        for index in waiting {
            if !self.ledger.remaining(account).fits(&step.need) {
                break;
            }
            let starts = Starts { step: key, tasks: 1, first, urgent };
            if !self.run_room.admits(&starts) {
                self.count("starts_without_run_room");
                awaits_others = true;
                break;
            }
            self.placement_stats.add_executors(open.len());
            let fits = open.iter().filter(|(at, _)| {
                let Some(executor) = self.executors.get(at) else {
                    return false;
                };
                let most = step.max_per_executor;
                !executor.is_closed_by_trial(now)
                    && executor.free_for(&key).fits(&step.footprint())
                    && executor.breaker.admits(now)
                    && (most == 0
                        || per_executor.get(at).copied().unwrap_or(0) < most)
            });
            let mut best: Option<(i64, ExecutorIndex)> = None;
            for (at, has_ticket) in fits {
                if leave_slots
                    && !self.leaves_urgent_slots(*at, &step.footprint())
                {
                    held_back = true;
                    continue;
                }
                if !has_ticket {
                    expired_tickets = true;
                    continue;
                }
                let executor = self.executors.get(at);
                if !executor.is_some_and(|e| e.may_order_start(first)) {
                    awaits_others = true;
                    continue;
                }
                // A step that failed on an executor may fail there again.
                let penalty = if failed_on.contains(at) {
                    PRIOR_FAILURE_COST
                } else {
                    0
                };
                let cost = (self.fit_cost(*at, &step) + penalty) as i64
                    + self.speed_cost(*at, prefer_fast);
                if best.is_none_or(|(other, _)| cost < other) {
                    best = Some((cost, *at));
                }
            }
            let Some((_, at)) = best else { break };
            let run = self.new_run_number();
            let ticket = self.ticket(key, at);
            *per_executor.entry(at).or_default() += 1;
            self.unreserve_one(key, at, &step);
            self.start(at, key.task(index), run, ticket, now);
            first = false;
        }
        if held_back {
            self.record_deferral(key);
        }
        let left = self.step_state(key).map(|state| state.waiting.len());
        let count = left.unwrap_or(0) as u32;
        let count =
            count.min(fit_count(&self.ledger.remaining(account), &step.need));
        if count == 0 {
            self.unreserve(key);
            return true;
        }
        if awaits_others {
            return true;
        }
        self.request_further_advice(key, now);
        if expired_tickets {
            // By the time the advice arrives, the free capacity may have moved
            // to other executors, so all expired tickets are renewed.
            let expired =
                candidates.iter().filter(|(_, has_ticket)| !has_ticket);
            let expired = expired
                .map(|(at, _)| *at)
                .take(MAX_TICKETS_PER_REFRESH)
                .collect();
            self.request_advice(key, expired, Coverage::Sufficient, now);
            return true;
        }
        self.note_no_capacity(key);
        let waiting = WaitingTasks { key, step: &step, count };
        if urgent {
            let with_ticket = open.iter().filter(|(at, has_ticket)| {
                *has_ticket && !self.is_closed_by_trial(*at, now)
            });
            let with_ticket: Vec<ExecutorIndex> =
                with_ticket.map(|(at, _)| *at).collect();
            if self.preempt_for_urgent(&waiting, &with_ticket, now) {
                return true;
            }
        }
        let known: Vec<ExecutorIndex> =
            candidates.iter().map(|(at, _)| *at).collect();
        !self.wait_for_capacity(
            &waiting,
            &known,
            may_reserve,
            reserved_from,
            now,
        )
    }

    /// Reserves capacity in advance for tasks that found none, if they are
    /// wide and `may_reserve` is set. Requests advice on more executors,
    /// unless advice is scarce and the known ones could hold the step. Returns
    /// whether a reservation was attempted.
    fn wait_for_capacity(
        &mut self,
        waiting: &WaitingTasks<'_>,
        known: &[ExecutorIndex],
        may_reserve: bool,
        reserved_from: &mut AdvanceReservations,
        now: Millis,
    ) -> bool {
        let reserves = may_reserve && self.is_wide(waiting.step, known);
        if reserves {
            let may_request = !self.are_advisors_scarce();
            self.reserve_in_advance(
                waiting,
                known,
                may_request,
                reserved_from,
                now,
            );
        }
        if !self.are_advisors_scarce() || !self.could_fit(waiting.step, known)
        {
            self.request_more_advice(waiting.key, now);
        }
        reserves
    }

    /// Whether executors can hold hardly more than one task of a step. Without
    /// a reservation, smaller tasks take the capacity that becomes free, and
    /// such a task is never placed.
    fn is_wide(&self, step: &Step, executors: &[ExecutorIndex]) -> bool {
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        let most = known
            .map(|e| fit_count(&e.info.capacity, &step.footprint()))
            .max();
        most.is_some_and(|most| most <= MAX_WIDE_PER_EXECUTOR)
    }
}
