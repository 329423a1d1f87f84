/*!
Gangs: all members of a step start together, or none.

A gang that fits but lacks tickets keeps its room while it asks for them. One
that does not fit gets the executors on which it fits soonest; others may use
them only if they should end before. Single tasks that take up much of an
executor get the same.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::{JobId, Step, StepKey};
use crate::jobs::scheduler::fit::{fit_count, weighted_leftover};
use crate::jobs::scheduler::placement::{
    AdvanceReservations, PlacementContext,
};
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::Scheduler;

/// Tickets are asked for this long before the room should be free, beside
/// the time of the call.
const LEAD: Millis = 50;
/// More executors than a gang needs are asked about, by this much.
const SPARES: usize = 2;

/// How many members of a gang go to which executors.
pub(super) type Plan = Vec<(ExecutorIndex, u32)>;

/// Where some members of a gang have room.
#[derive(Clone, Copy)]
pub(super) struct MemberCapacity {
    pub at: ExecutorIndex,
    /// What is free there for the gang.
    free: Resources,
    /// How many members that holds.
    count: u32,
}

/// Whether all members of a gang have room there.
fn hold(rooms: &[MemberCapacity], step: &Step) -> bool {
    let total: u64 = rooms.iter().map(|room| u64::from(room.count)).sum();
    total >= u64::from(step.count)
}

/// Tasks of a step that wait for room.
#[derive(Clone, Copy)]
pub(super) struct Waiting<'a> {
    pub key: StepKey,
    pub step: &'a Step,
    pub count: u32,
}

impl Scheduler {
    /// Places all members of a gang, or none. Returns whether it is placed.
    pub(super) fn place_gang(
        &mut self,
        key: StepKey,
        kept: &mut AdvanceReservations,
        keep: bool,
        urgent: bool,
        now: Millis,
    ) -> bool {
        if self.lacks_advice(key, now) {
            return true;
        }
        if !keep && !urgent && self.clearly_lacks_capacity(key, now) {
            self.wait_unreserved(key, now);
            return false;
        }
        if self.postpone_trial(key.task(0), now) {
            self.unreserve(key);
            return true;
        }
        let Some(opening) = self.placement_context(key, now) else {
            return true;
        };
        let open = self.eligible_candidates(&opening, kept, urgent, now);
        let PlacementContext { step, failed_on, candidates, .. } = opening;
        let state = self.step_state(key);
        if state.is_none_or(|s| s.waiting.len() as u32 != step.count) {
            return true;
        }
        let open: Vec<ExecutorIndex> = open
            .into_iter()
            .filter(|(at, _)| !self.is_closed_by_trial(*at, now))
            .map(|(at, _)| at)
            .collect();
        let open = self.trial_candidates(key, open, now);
        self.placement_stats.add_executors(open.len());
        let suspect = self.suspected_losses(key.task(0)).cloned();
        let again = |at: ExecutorIndex| {
            failed_on.contains(&at)
                || self.is_inconclusive_trial(at, suspect.as_ref())
        };
        let holds = |at: ExecutorIndex| {
            let found = candidates.binary_search_by_key(&at, |(at, _)| *at);
            found.is_ok_and(|found| candidates[found].1)
        };
        let rooms = self.member_capacities(key, &step, &open);
        let plan = self.plan_by_speed(key, &step, &rooms, again, holds, now);
        if let Some((plan, fresh)) = plan {
            if fresh {
                self.unreserve(key);
                self.start_gang(key, &plan, now);
                return true;
            }
            // Tickets are too old: keep the room, and ask anew.
            self.reserve(key, &step, &plan);
            let asked = plan.iter().map(|(at, _)| *at).collect();
            self.request_advice(key, asked, now);
            return false;
        }
        if self.is_preempting(key, now) {
            return false;
        }
        self.note_no_capacity(key);
        self.unreserve(key);
        let waiting = Waiting { key, step: &step, count: step.count };
        let displaces = keep && self.is_enabled(Mechanism::GangPreemption);
        if displaces && self.preempt_for_gang(&waiting, &open, now)
            || urgent && self.preempt_for_urgent(&waiting, &open, now)
        {
            return false;
        }
        let all: Vec<ExecutorIndex> =
            candidates.iter().map(|(at, _)| *at).collect();
        self.widen_advice(key, now);
        let scarce = self.advice_scarce();
        if keep {
            self.reserve_in_advance(&waiting, &all, !scarce, kept, now);
        }
        if !scarce || !self.could_fit(&step, &all) {
            self.request_more_advice(key, now);
        }
        false
    }

    /// Whether all that is free on the executors that may run a gang is too
    /// little, whether they take work now or not. Most gangs that wait in a
    /// full cell are done with by this.
    fn clearly_lacks_capacity(&self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return false;
        };
        let step = &live.job.steps[key.step as usize];
        // Its own room is free to it, and a trial has others asked.
        let special = self.reservations.contains_key(&key)
            || now < state.trial_wait_until
            || state.waiting.len() as u32 != step.count;
        if special || live.queue.advice.is_none() {
            return false;
        }
        let room = step.footprint();
        let mut left = u64::from(step.count);
        let good = state.advice.tickets.keys();
        for executor in good.filter_map(|at| self.executors.get(at)) {
            if executor.free.fits(&room) {
                let count = fit_count(&executor.free, &room);
                left = left.saturating_sub(u64::from(count));
            }
            if left == 0 {
                return false;
            }
        }
        true
    }

    /// A gang has no room, and none is kept for it.
    fn wait_unreserved(&mut self, key: StepKey, now: Millis) {
        if self.is_preempting(key, now) {
            return;
        }
        self.note_no_capacity(key);
        self.widen_advice(key, now);
        let scarce = self.advice_scarce();
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

    /// How many members of a gang have room on each of these executors, if
    /// all together have.
    fn member_capacities(
        &self,
        key: StepKey,
        step: &Step,
        executors: &[ExecutorIndex],
    ) -> Vec<MemberCapacity> {
        let rooms = executors.iter().filter_map(|&at| {
            let free = self.executors.get(&at)?.free_for(&key);
            let mut count = fit_count(&free, &step.footprint());
            if step.max_per_executor > 0 {
                count = count.min(step.max_per_executor);
            }
            (count > 0).then_some(MemberCapacity { at, free, count })
        });
        let rooms: Vec<MemberCapacity> = rooms.collect();
        if hold(&rooms, step) {
            rooms
        } else {
            Vec::new()
        }
    }

    /// How to spread a gang over executors that are alike, where its tickets
    /// hold, or else over all, if it fits; and whether its tickets hold there.
    fn plan_by_speed(
        &self,
        key: StepKey,
        step: &Step,
        rooms: &[MemberCapacity],
        again: impl Fn(ExecutorIndex) -> bool,
        holds: impl Fn(ExecutorIndex) -> bool,
        now: Millis,
    ) -> Option<(Plan, bool)> {
        if rooms.is_empty() {
            return None;
        }
        let plan_on = |rooms: &[MemberCapacity]| {
            let plan = self.plan(step, rooms, &again, &holds)?;
            let fresh = plan.iter().all(|(at, _)| holds(*at));
            Some((plan, fresh))
        };
        let groups =
            self.speed_groups(rooms, self.needs_fast_executor(key, now));
        let mut on_alike = groups.iter().filter_map(|group| plan_on(group));
        on_alike.find(|(_, fresh)| *fresh).or_else(|| plan_on(rooms))
    }

    /// How to spread a gang over these executors, if it fits. Those where it
    /// should not start again come last, and those where a ticket holds first:
    /// while others are asked about, the best change, and the gang would never
    /// have all tickets at one time.
    fn plan(
        &self,
        step: &Step,
        rooms: &[MemberCapacity],
        again: impl Fn(ExecutorIndex) -> bool,
        holds: impl Fn(ExecutorIndex) -> bool,
    ) -> Option<Plan> {
        if !hold(rooms, step) {
            return None;
        }
        let fits =
            rooms.iter().filter_map(|&MemberCapacity { at, free, count }| {
                let used = step.footprint().times(count.min(step.count));
                let executor = self.executors.get(&at)?;
                let left = weighted_leftover(
                    &free.minus(&used),
                    &executor.info.capacity,
                );
                Some(((again(at), !holds(at), left), at, count))
            });
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
        // Ends are reckoned by the slowest: it comes first.
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

    /// Gives back what is kept on an executor for one task of a step.
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
        let Some(kept) = executor.reserved.get(&key).copied() else { return };
        let left = kept.minus(&step.footprint());
        if left.fits(&step.footprint()) {
            executor.reserve(key, left);
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

    /// Whether these executors could hold a whole step if nothing else ran
    /// there.
    pub(super) fn could_fit(
        &self,
        step: &Step,
        executors: &[ExecutorIndex],
    ) -> bool {
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        let room = known.map(|executor| {
            let count = fit_count(&executor.info.capacity, &step.footprint());
            match step.max_per_executor {
                0 => u64::from(count),
                most => u64::from(count.min(most)),
            }
        });
        room.sum::<u64>() >= u64::from(step.count)
    }

    /// Finds when `count` tasks of a step should fit on which executors, and
    /// keeps others off them. Asks for tickets in time, if it may.
    pub(super) fn reserve_in_advance(
        &mut self,
        waiting: &Waiting<'_>,
        executors: &[ExecutorIndex],
        may_ask: bool,
        kept: &mut AdvanceReservations,
        now: Millis,
    ) {
        let Waiting { key, step, count } = *waiting;
        let mut ends: Vec<(Millis, ExecutorIndex, Resources)> = Vec::new();
        let mut free: BTreeMap<ExecutorIndex, Resources> = BTreeMap::new();
        for &at in executors {
            if kept.contains_key(&at) {
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
        let mut total: u64 = free
            .values()
            .map(|room| u64::from(fit_count(room, &step.footprint())))
            .sum();
        let mut when = now;
        for (end, at, need) in ends {
            if total >= u64::from(count) {
                break;
            }
            let Some(room) = free.get_mut(&at) else { continue };
            total -= u64::from(fit_count(room, &step.footprint()));
            *room = room.plus(&need);
            total += u64::from(fit_count(room, &step.footprint()));
            when = end;
        }
        if total < u64::from(count) {
            return;
        }
        let mut most: Vec<(u32, ExecutorIndex)> = free
            .iter()
            .map(|(at, room)| (fit_count(room, &step.footprint()), *at))
            .filter(|(count, _)| *count > 0)
            .collect();
        most.sort_unstable_by_key(|&(count, at)| (u32::MAX - count, at));
        let mut left = count;
        let mut chosen = Vec::new();
        let mut spares = SPARES;
        for (there, at) in most {
            if left == 0 {
                if spares == 0 {
                    break;
                }
                spares -= 1;
            } else {
                kept.insert(at, when);
            }
            left = left.saturating_sub(there);
            chosen.push(at);
        }
        if may_ask && self.is_enabled(Mechanism::TicketsAhead) {
            self.prefetch_tickets(key, chosen, when, now);
        }
    }

    /// Asks for tickets if those at hand won't hold when they are needed.
    fn prefetch_tickets(
        &mut self,
        key: StepKey,
        executors: Vec<ExecutorIndex>,
        when: Millis,
        now: Millis,
    ) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(cost) = live.queue.advice else { return };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        let call = cost.of(executors.len());
        if when > now + call + LEAD {
            return;
        }
        let old = executors.iter().any(|at| {
            let good = state.advice.tickets.get(at);
            good.is_none_or(|ticket| ticket.valid_until < when.max(now + call))
        });
        if old {
            self.request_advice(key, executors, now);
        }
    }
}
