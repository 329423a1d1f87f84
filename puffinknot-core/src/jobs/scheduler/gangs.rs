/*!
Gangs: the members of a step start together or not at all.

A gang that fits but lacks valid tickets reserves the capacity while it
requests them. For a gang that does not fit, the executors on which it should
fit soonest are reserved in advance: until then, other steps may use them only
for tasks that should end in time. Wide tasks get the same reservations.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::{JobId, Step, StepKey};
use crate::jobs::scheduler::advice::Coverage;
use crate::jobs::scheduler::fit::{fit_count, weighted_leftover};
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::placement::{
    AdvanceReservations, PlacementContext,
};
use crate::jobs::scheduler::run_room::Starts;
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::Scheduler;

/// How long before the capacity should be free tickets are requested, in
/// addition to the duration of the call for advice.
const TICKET_LEAD_TIME: Millis = 50;
/// The number of executors for which tickets are requested beyond those that
/// a gang needs.
const SPARE_EXECUTORS: usize = 2;

/// How many members of a gang, or tasks of a step, go to which executors.
pub(super) type Plan = Vec<(ExecutorIndex, u32)>;

/// An executor that has capacity for some members of a gang.
#[derive(Clone, Copy)]
pub(super) struct MemberCapacity {
    pub at: ExecutorIndex,
    /// The capacity that is free there for the gang.
    free: Resources,
    /// How many members fit into it.
    count: u32,
}

/// Whether all members of a gang fit.
fn fits_gang(capacities: &[MemberCapacity], step: &Step) -> bool {
    let total_fitting: u64 =
        capacities.iter().map(|capacity| u64::from(capacity.count)).sum();
    total_fitting >= u64::from(step.count)
}

/// Tasks of a step that wait for capacity.
#[derive(Clone, Copy)]
pub(super) struct WaitingTasks<'a> {
    pub key: StepKey,
    pub step: &'a Step,
    pub count: u32,
}

impl Scheduler {
    /// Starts all members of a gang or none. Returns false if the gang waits
    /// for capacity or for tickets, and true if it started or cannot start
    /// for another reason.
    pub(super) fn place_gang(
        &mut self,
        key: StepKey,
        reserved_from: &mut AdvanceReservations,
        may_reserve: bool,
        urgent: bool,
        now: Millis,
    ) -> bool {
        if self.lacks_advice(key, now) {
            return true;
        }
        if !may_reserve && !urgent && self.clearly_lacks_capacity(key, now) {
            self.wait_unreserved(key, now);
            return false;
        }
        if self.postpone_trial(key.task(0), now) {
            self.unreserve(key);
            return true;
        }
        let Some(context) = self.placement_context(key, now) else {
            return true;
        };
        let open =
            self.eligible_candidates(&context, reserved_from, urgent, now);
        let PlacementContext { step, failed_on, candidates, .. } = context;
        let state = self.step_state(key);
        if state.is_none_or(|s| s.waiting.len() as u32 != step.count) {
            return true;
        }
        let first = self.jobs.get(&key.job).is_some_and(LiveJob::is_idle);
        let tasks = step.count as usize;
        let starts = Starts { step: key, tasks, first, urgent };
        if !self.run_room.admits(&starts) {
            self.run_room.gang_lacks_room(key);
            self.count("gangs_without_run_room");
            self.unreserve(key);
            return true;
        }
        let open: Vec<ExecutorIndex> = open
            .into_iter()
            .filter(|(at, _)| !self.is_closed_by_trial(*at, now))
            .map(|(at, _)| at)
            .collect();
        let (open, busy): (Vec<ExecutorIndex>, Vec<ExecutorIndex>) =
            open.into_iter().partition(|at| {
                let executor = self.executors.get(at);
                executor.is_some_and(|e| e.may_order_start(true))
            });
        let open = self.trial_candidates(key, open, now);
        self.placement_stats.add_executors(open.len());
        let suspect = self.trial_evidence(key.task(0)).cloned();
        let avoid = |at: ExecutorIndex| {
            failed_on.contains(&at)
                || self.is_inconclusive_trial(at, suspect.as_ref())
        };
        let has_ticket = |at: ExecutorIndex| {
            let found = candidates.binary_search_by_key(&at, |(at, _)| *at);
            found.is_ok_and(|found| candidates[found].1)
        };
        let capacities = self.member_capacities(key, &step, &open);
        let plan = self.plan_by_speed(
            key,
            &step,
            &capacities,
            avoid,
            has_ticket,
            now,
        );
        if let Some((plan, tickets_valid)) = plan {
            if tickets_valid {
                self.unreserve(key);
                self.start_gang(key, &plan, now);
                return true;
            }
            // Some tickets have expired. Hold the capacity while new ones are
            // requested.
            self.reserve(key, &step, &plan);
            let requested = plan.iter().map(|(at, _)| *at).collect();
            self.request_advice(key, requested, Coverage::All, now);
            return false;
        }
        if self.is_preempting(key, now) {
            return false;
        }
        if !busy.is_empty() {
            return true;
        }
        self.note_no_capacity(key);
        self.unreserve(key);
        let waiting = WaitingTasks { key, step: &step, count: step.count };
        let may_preempt_gang =
            may_reserve && self.is_enabled(Mechanism::GangPreemption);
        if may_preempt_gang && self.preempt_for_gang(&waiting, &open, now)
            || urgent && self.preempt_for_urgent(&waiting, &open, now)
        {
            return false;
        }
        let all: Vec<ExecutorIndex> =
            candidates.iter().map(|(at, _)| *at).collect();
        self.request_further_advice(key, now);
        let scarce = self.are_advisors_scarce();
        if may_reserve {
            self.reserve_in_advance(
                &waiting,
                &all,
                !scarce,
                reserved_from,
                now,
            );
        }
        if !scarce || !self.could_fit(&step, &all) {
            self.request_more_advice(key, now);
        }
        false
    }

    /// Whether the free capacity of all executors with a ticket for the gang,
    /// usable or not, is too small for it. In a full cell, this cheap check
    /// settles most waiting gangs.
    fn clearly_lacks_capacity(&self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return false;
        };
        let step = &live.job.steps[key.step as usize];
        // Capacity that is reserved for the gang is free to it, and a gang
        // that waits for a trial has other executors asked about.
        let unsuited = self.reservations.contains_key(&key)
            || now < state.trial_wait_until
            || state.waiting.len() as u32 != step.count;
        if unsuited || live.queue.advice.is_none() {
            return false;
        }
        let footprint = step.footprint();
        let mut left = u64::from(step.count);
        let with_ticket = state.advice.tickets.keys();
        for executor in with_ticket.filter_map(|at| self.executors.get(at)) {
            if executor.free.fits(&footprint) {
                let count = fit_count(&executor.free, &footprint);
                left = left.saturating_sub(u64::from(count));
            }
            if left == 0 {
                return false;
            }
        }
        true
    }

    /// Leaves a gang waiting that has no capacity and gets no reservation, and
    /// requests more advice if that can help.
    fn wait_unreserved(&mut self, key: StepKey, now: Millis) {
        if self.is_preempting(key, now) {
            return;
        }
        self.note_no_capacity(key);
        self.request_further_advice(key, now);
        let scarce = self.are_advisors_scarce();
        if !scarce || !self.could_fit_all(key, now) {
            self.request_more_advice(key, now);
        }
    }

    fn could_fit_all(&self, key: StepKey, now: Millis) -> bool {
        let candidates = self.candidates(key, now);
        let all: Vec<ExecutorIndex> =
            candidates.iter().map(|(at, _)| *at).collect();
        self.step(key).is_some_and(|step| self.could_fit(step, &all))
    }

    /// How many members of a gang fit on each of these executors; empty if
    /// not all members fit on them together.
    fn member_capacities(
        &self,
        key: StepKey,
        step: &Step,
        executors: &[ExecutorIndex],
    ) -> Vec<MemberCapacity> {
        let capacities = executors.iter().filter_map(|&at| {
            let free = self.executors.get(&at)?.free_for(&key);
            let mut count = fit_count(&free, &step.footprint());
            if step.max_per_executor > 0 {
                count = count.min(step.max_per_executor);
            }
            (count > 0).then_some(MemberCapacity { at, free, count })
        });
        let capacities: Vec<MemberCapacity> = capacities.collect();
        if fits_gang(&capacities, step) {
            capacities
        } else {
            Vec::new()
        }
    }

    /// How to spread a gang over executors of similar speed for which it has
    /// valid tickets. If there is no such plan, how to spread it over all
    /// executors, if it fits. Also returns whether all tickets of the plan
    /// are valid.
    fn plan_by_speed(
        &self,
        key: StepKey,
        step: &Step,
        capacities: &[MemberCapacity],
        avoid: impl Fn(ExecutorIndex) -> bool,
        has_ticket: impl Fn(ExecutorIndex) -> bool,
        now: Millis,
    ) -> Option<(Plan, bool)> {
        if capacities.is_empty() {
            return None;
        }
        let plan_on = |capacities: &[MemberCapacity]| {
            let plan = self.plan(step, capacities, &avoid, &has_ticket)?;
            let tickets_valid = plan.iter().all(|(at, _)| has_ticket(*at));
            Some((plan, tickets_valid))
        };
        let groups =
            self.speed_groups(capacities, self.needs_fast_executor(key, now));
        let mut by_group = groups.iter().filter_map(|group| plan_on(group));
        by_group
            .find(|(_, tickets_valid)| *tickets_valid)
            .or_else(|| plan_on(capacities))
    }

    /// How to spread a gang over these executors, if it fits. Executors on
    /// which it should not start again come last. Among the others, those with
    /// a valid ticket come first: the best fit changes while tickets are
    /// requested, and a gang that followed it would never have all of its
    /// tickets valid at the same time.
    fn plan(
        &self,
        step: &Step,
        capacities: &[MemberCapacity],
        avoid: impl Fn(ExecutorIndex) -> bool,
        has_ticket: impl Fn(ExecutorIndex) -> bool,
    ) -> Option<Plan> {
        if !fits_gang(capacities, step) {
            return None;
        }
        let fits = capacities.iter().filter_map(
            |&MemberCapacity { at, free, count }| {
                let used = step.footprint().times(count.min(step.count));
                let executor = self.executors.get(&at)?;
                let left = weighted_leftover(
                    &free.minus(&used),
                    &executor.info.capacity,
                );
                Some(((avoid(at), !has_ticket(at), left), at, count))
            },
        );
        let mut fits: Vec<((bool, bool, u64), ExecutorIndex, u32)> =
            fits.collect();
        fits.sort_unstable();
        let mut plan = Plan::new();
        let mut left = step.count;
        for (_, at, count) in fits {
            if left == 0 {
                break;
            }
            let taken = count.min(left);
            left -= taken;
            plan.push((at, taken));
        }
        Some(plan)
    }

    fn start_gang(&mut self, key: StepKey, plan: &Plan, now: Millis) {
        let run = self.new_run_number();
        let mut index = 0;
        // A member's expected end takes the slowest executor used so far into
        // account, so members on the slowest one start first.
        let mut plan = plan.clone();
        plan.sort_by(|one, other| {
            self.slowness(other.0).total_cmp(&self.slowness(one.0))
        });
        for (at, count) in &plan {
            let ticket = self.ticket(key, *at);
            for _ in 0..*count {
                self.start(*at, key.task(index), run, ticket.clone(), now);
                index += 1;
            }
        }
        if let Some(live) = self.jobs.get_mut(&key.job) {
            if let Some(state) = live.step_state(key.time, key.step) {
                state.executor_count = plan.len() as u32;
            }
        }
        self.count("gangs");
    }

    /// Reserves capacity for a step as planned, in place of any earlier
    /// reservations.
    pub(super) fn reserve(&mut self, key: StepKey, step: &Step, plan: &Plan) {
        self.unreserve(key);
        for (at, count) in plan {
            if let Some(executor) = self.executors.get_mut(at) {
                executor.reserve(key, step.footprint().times(*count));
            }
        }
        let at = plan.iter().map(|(at, _)| *at);
        self.reservations.insert(key, at.collect());
    }

    pub(super) fn unreserve(&mut self, key: StepKey) {
        for at in self.reservations.remove(&key).into_iter().flatten() {
            if let Some(executor) = self.executors.get_mut(&at) {
                executor.unreserve(&key);
            }
        }
    }

    /// Releases what is reserved on an executor for one task of a step.
    pub(super) fn unreserve_one(
        &mut self,
        key: StepKey,
        at: ExecutorIndex,
        step: &Step,
    ) {
        if !self.reservations.contains_key(&key) {
            return;
        }
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let Some(reserved) = executor.reserved.get(&key).copied() else {
            return;
        };
        let remaining = reserved.minus(&step.footprint());
        if remaining.fits(&step.footprint()) {
            executor.reserve(key, remaining);
        } else {
            executor.unreserve(&key);
        }
    }

    pub(super) fn drop_reservations(&mut self, job: JobId) {
        let of_job = self.reservations.keys().filter(|key| key.job == job);
        let steps: Vec<StepKey> = of_job.copied().collect();
        for step in steps {
            self.unreserve(step);
        }
    }

    /// Whether all tasks of a step would fit on these executors if nothing
    /// else ran there.
    pub(super) fn could_fit(
        &self,
        step: &Step,
        executors: &[ExecutorIndex],
    ) -> bool {
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        let counts = known.map(|executor| {
            let count = fit_count(&executor.info.capacity, &step.footprint());
            match step.max_per_executor {
                0 => u64::from(count),
                most => u64::from(count.min(most)),
            }
        });
        counts.sum::<u64>() >= u64::from(step.count)
    }

    /// Predicts when and on which executors the waiting tasks of a step should
    /// fit, and reserves those executors from then on. If `may_request` is
    /// set, requests tickets in time for that.
    pub(super) fn reserve_in_advance(
        &mut self,
        waiting: &WaitingTasks<'_>,
        executors: &[ExecutorIndex],
        may_request: bool,
        reserved_from: &mut AdvanceReservations,
        now: Millis,
    ) {
        let WaitingTasks { key, step, count } = *waiting;
        let mut ends: Vec<(Millis, ExecutorIndex, Resources)> = Vec::new();
        let mut free: BTreeMap<ExecutorIndex, Resources> = BTreeMap::new();
        for &at in executors {
            if reserved_from.contains_key(&at) {
                continue;
            }
            let Some(executor) = self.executors.get(&at) else { continue };
            free.insert(at, executor.free);
            for run in executor.runs.values() {
                ends.push((expected_end(run, now), at, run.need));
            }
        }
        self.placement_stats.add_executors(executors.len());
        self.placement_stats.add_runs(ends.len());
        ends.sort_unstable_by_key(|(end, at, _)| (*end, *at));
        let mut total_fitting: u64 = free
            .values()
            .map(|available| {
                u64::from(fit_count(available, &step.footprint()))
            })
            .sum();
        let mut available_at = now;
        for (end, at, need) in ends {
            if total_fitting >= u64::from(count) {
                break;
            }
            let Some(available) = free.get_mut(&at) else { continue };
            total_fitting -=
                u64::from(fit_count(available, &step.footprint()));
            *available = available.plus(&need);
            total_fitting +=
                u64::from(fit_count(available, &step.footprint()));
            available_at = end;
        }
        if total_fitting < u64::from(count) {
            return;
        }
        let mut largest: Vec<(u32, ExecutorIndex)> = free
            .iter()
            .map(|(at, available)| {
                (fit_count(available, &step.footprint()), *at)
            })
            .filter(|(count, _)| *count > 0)
            .collect();
        largest.sort_unstable_by_key(|&(count, at)| (u32::MAX - count, at));
        let mut left = count;
        let mut chosen = Vec::new();
        let mut spares = SPARE_EXECUTORS;
        for (fitting, at) in largest {
            if left == 0 {
                if spares == 0 {
                    break;
                }
                spares -= 1;
            } else {
                reserved_from.insert(at, available_at);
            }
            left = left.saturating_sub(fitting);
            chosen.push(at);
        }
        if may_request && self.is_enabled(Mechanism::TicketsAhead) {
            self.prefetch_tickets(key, chosen, available_at, now);
        }
    }

    /// Requests tickets if they will be needed soon and some of those at hand
    /// will have expired by then.
    fn prefetch_tickets(
        &mut self,
        key: StepKey,
        executors: Vec<ExecutorIndex>,
        available_at: Millis,
        now: Millis,
    ) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(advice_cost) = live.queue.advice else { return };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        let call = advice_cost.call_time(executors.len());
        if available_at > now + call + TICKET_LEAD_TIME {
            return;
        }
        let expired = executors.iter().any(|at| {
            let ticket = state.advice.tickets.get(at);
            ticket.is_none_or(|ticket| {
                ticket.valid_until < available_at.max(now + call)
            })
        });
        if expired {
            self.request_advice(key, executors, Coverage::All, now);
        }
    }
}
