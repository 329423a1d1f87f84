/*!
Which task starts where.

Steps are taken in order: urgent queues first, then those whose objective
ends first. A gang that does not fit gets the executors on which it fits
soonest; what comes after it may use them only if it should end before.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::executor::Executor;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::{JobId, Step, StepKey};
use crate::jobs::scheduler::live::{Live, StepRun};
use crate::jobs::scheduler::Scheduler;

/// Gangs that wait get room kept for them, up to this many at a time.
const MAX_PLANS: usize = 8;
/// Tickets are asked for this long before the room should be free, beside
/// the time of the call.
const LEAD: Millis = 50;
/// A run that has overstayed its guess should end within this time.
const OVERSTAY: Millis = 500;
/// An executor on which a run of the step has failed is as bad as so many
/// thousandths of an executor left over.
const FAILED_THERE: u64 = 6_000;
/// The same for one on which most runs fail.
const SUSPECT: u64 = 8_000;
/// If more steps than this wait that are not urgent, they are looked at only
/// so often.
const FEW_WAIT: usize = 8;
/// The time between two looks at them, in milliseconds.
const PLACE_GAP: Millis = 20;
/// The most tickets that are asked for anew in one call.
const MOST_RENEWED: usize = 40;
/// More executors than a gang needs are asked about, by this much.
const SPARES: usize = 2;

/// The executors that are kept for a gang, and from when it needs them.
type Kept = BTreeMap<ExecutorIndex, Millis>;

/// How many members of a gang go to which executors.
type Plan = Vec<(ExecutorIndex, u32)>;

impl Scheduler {
    /// Starts what can be started. Urgent steps are looked at each time;
    /// while many others wait, those are looked at less often.
    pub(super) fn place(&mut self, now: Millis) {
        let mut order: Vec<((u32, bool, Millis, u64), StepKey)> = self
            .ready
            .iter()
            .filter_map(|key| {
                let live = self.jobs.get(&key.job)?;
                Some((rank(live, now), *key))
            })
            .collect();
        let patient = order.iter().filter(|(rank, _)| rank.0 > 0).count();
        let all = patient <= FEW_WAIT || now >= self.placed_all + PLACE_GAP;
        if all {
            self.placed_all = now;
        } else {
            order.retain(|(rank, _)| rank.0 == 0);
        }
        order.sort_unstable();
        let mut kept = Kept::new();
        let mut plans = 0;
        for (rank, key) in order {
            let urgent = rank.0 == 0;
            if !self.may_place(key) {
                continue;
            }
            let gang = self.step(key).is_some_and(|s| s.gang && s.count > 1);
            if gang {
                let keep = !urgent && plans < MAX_PLANS;
                if !self.place_gang(key, &mut kept, keep, urgent, now) {
                    plans += 1;
                }
            } else {
                self.place_tasks(key, &kept, urgent, now);
            }
        }
    }

    fn step(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.job.steps.get(key.step as usize)
    }

    /// Whether tasks of the step may be started at all. Steps with nothing
    /// left to start are taken off the list.
    fn may_place(&mut self, key: StepKey) -> bool {
        let Some(live) = self.jobs.get(&key.job) else {
            self.ready.remove(&key);
            return false;
        };
        let state = live.steps.get(&(key.time, key.step));
        let startable =
            |s: &StepRun| s.released && !s.breaking && !s.waiting.is_empty();
        if !state.is_some_and(startable) {
            self.ready.remove(&key);
            return false;
        }
        let unsettled = live.inherited && self.unsettled.is_some();
        live.written && !unsettled
    }

    /// The executors that may run the step, and whether a ticket holds there.
    fn candidates(
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
        let may = |executor: &Executor| {
            executor.usable()
                && executor.info.service == live.queue.service
                && label.is_none_or(|label| executor.has_label(label))
        };
        if live.queue.advice.is_none() {
            let all = self.executors.iter();
            return all
                .filter(|(_, executor)| may(executor))
                .map(|(index, _)| (*index, true))
                .collect();
        }
        let good = state.advice.good.iter();
        good.filter(|(index, _)| self.executors.get(index).is_some_and(may))
            .map(|(index, ticket)| (*index, ticket.until > now))
            .collect()
    }

    /// The ticket of a step for an executor; empty if it needs none.
    fn ticket(&self, key: StepKey, at: ExecutorIndex) -> String {
        let live = self.jobs.get(&key.job);
        let state = live.and_then(|l| l.steps.get(&(key.time, key.step)));
        let ticket = state.and_then(|state| state.advice.good.get(&at));
        ticket.map(|ticket| ticket.text.clone()).unwrap_or_default()
    }

    /// Whether the step has to wait for its first advice.
    fn lacks_advice(&mut self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        if live.queue.advice.is_none() {
            return false;
        }
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return true;
        };
        if state.advice.known {
            return false;
        }
        self.ask_all(key, now);
        true
    }

    /// Places the tasks of a step one by one.
    fn place_tasks(
        &mut self,
        key: StepKey,
        kept: &Kept,
        urgent: bool,
        now: Millis,
    ) {
        if self.lacks_advice(key, now) {
            return;
        }
        let Some(live) = self.jobs.get(&key.job) else { return };
        let step = live.job.steps[key.step as usize].clone();
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        let waiting: Vec<u32> = state.waiting.iter().copied().collect();
        let mut on: BTreeMap<ExecutorIndex, u32> = BTreeMap::new();
        for (index, _) in state.places.values() {
            *on.entry(*index).or_default() += 1;
        }
        let failed_on = state.failed_on.clone();
        let candidates = self.candidates(key, now);
        let ends = now + step.estimate;
        let mut stale = false;
        for index in waiting {
            let fits = candidates.iter().filter(|(at, _)| {
                let Some(executor) = self.executors.get(at) else {
                    return false;
                };
                let most = step.max_per_executor;
                let open = urgent || kept.get(at).is_none_or(|&t| ends <= t);
                open && executor.free.fits(&step.room())
                    && (most == 0 || on.get(at).copied().unwrap_or(0) < most)
            });
            let mut best: Option<(u64, ExecutorIndex)> = None;
            for (at, holds) in fits {
                if !holds {
                    stale = true;
                    continue;
                }
                // Where it has failed it may fail again.
                let again =
                    if failed_on.contains(at) { FAILED_THERE } else { 0 };
                let score = self.leftover(*at, &step) + again;
                if best.is_none_or(|(other, _)| score < other) {
                    best = Some((score, *at));
                }
            }
            let Some((_, at)) = best else { break };
            let run = self.new_run();
            let ticket = self.ticket(key, at);
            *on.entry(at).or_default() += 1;
            self.start(at, key.task(index), run, ticket, now);
        }
        let left = self.jobs.get(&key.job).and_then(|live| {
            let state = live.steps.get(&(key.time, key.step))?;
            Some(state.waiting.len())
        });
        if left.unwrap_or(0) == 0 {
            return;
        }
        if stale {
            // The room may be gone when the answer comes, and be elsewhere.
            let aged = candidates.iter().filter(|(_, holds)| !holds);
            let aged = aged.map(|(at, _)| *at).take(MOST_RENEWED).collect();
            return self.ask(key, aged, now);
        }
        let known: Vec<ExecutorIndex> =
            candidates.iter().map(|(at, _)| *at).collect();
        if !self.advice_scarce() || !self.could_hold(&step, &known) {
            self.ask_all(key, now);
        }
    }

    /// What would be left on an executor: less is better, so that large
    /// tasks find room elsewhere. The wrong rack counts as much as a whole
    /// executor.
    fn leftover(&self, at: ExecutorIndex, step: &Step) -> u64 {
        let Some(executor) = self.executors.get(&at) else { return u64::MAX };
        let left = executor.free.minus(&step.room());
        let whole = executor.info.capacity;
        let part = |left: u32, whole: u32| {
            u64::from(left) * 1_000 / u64::from(whole.max(1))
        };
        let far = match &step.near {
            Some(rack) if !executor.has_label(rack) => 2_000,
            _ => 0,
        };
        let suspect = if executor.suspect() { SUSPECT } else { 0 };
        suspect
            + part(left.cpu_millis, whole.cpu_millis)
            + part(left.memory_mb, whole.memory_mb)
            + far
    }

    /// Places all members of a gang, or none. Returns whether it is placed.
    fn place_gang(
        &mut self,
        key: StepKey,
        kept: &mut Kept,
        keep: bool,
        urgent: bool,
        now: Millis,
    ) -> bool {
        if self.lacks_advice(key, now) {
            return true;
        }
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let step = live.job.steps[key.step as usize].clone();
        let state = live.steps.get(&(key.time, key.step));
        if state.is_none_or(|s| s.waiting.len() as u32 != step.count) {
            return true;
        }
        let candidates = self.candidates(key, now);
        let ends = now + step.estimate;
        let open: Vec<ExecutorIndex> = candidates
            .iter()
            .filter(|(at, _)| {
                urgent || kept.get(at).is_none_or(|&t| ends <= t)
            })
            .map(|(at, _)| *at)
            .collect();
        let holds: BTreeMap<ExecutorIndex, bool> =
            candidates.into_iter().collect();
        let reserved = |executor: &Executor| {
            let own = executor.reserved.get(&key);
            executor.free.plus(&own.copied().unwrap_or_default())
        };
        let free = |at: ExecutorIndex| {
            self.executors.get(&at).map(reserved).unwrap_or_default()
        };
        if let Some(plan) = self.plan(&step, &open, &holds, free) {
            let fresh = plan.iter().all(|(at, _)| holds[at]);
            if fresh {
                self.unreserve(key);
                self.start_gang(key, &plan, now);
                return true;
            }
            // Tickets are too old: keep the room, and ask anew.
            self.reserve(key, &step, &plan);
            let asked = plan.iter().map(|(at, _)| *at).collect();
            self.ask(key, asked, now);
            return false;
        }
        self.unreserve(key);
        let all: Vec<ExecutorIndex> = holds.keys().copied().collect();
        let scarce = self.advice_scarce();
        if keep {
            self.keep_for(key, &step, &all, !scarce, kept, now);
        }
        if !scarce || !self.could_hold(&step, &all) {
            self.ask_all(key, now);
        }
        false
    }

    /// How to spread a gang over these executors, if it fits. Those where a
    /// ticket holds come first: while others are asked about, the best
    /// change, and the gang would never have all tickets at one time.
    fn plan(
        &self,
        step: &Step,
        executors: &[ExecutorIndex],
        holds: &BTreeMap<ExecutorIndex, bool>,
        free: impl Fn(ExecutorIndex) -> Resources,
    ) -> Option<Plan> {
        let mut fits: Vec<((bool, bool, u64), ExecutorIndex, u32)> = executors
            .iter()
            .filter_map(|&at| {
                let room = free(at);
                let mut count = times(&room, &step.room());
                if step.max_per_executor > 0 {
                    count = count.min(step.max_per_executor);
                }
                let left = room.minus(&step.room().times(count));
                let executor = self.executors.get(&at);
                let suspect = executor.is_some_and(Executor::suspect);
                let stale = !holds.get(&at).copied().unwrap_or(false);
                let order = (suspect, stale, u64::from(left.cpu_millis));
                (count > 0).then_some((order, at, count))
            })
            .collect();
        let total: u64 = fits.iter().map(|f| u64::from(f.2)).sum();
        if total < u64::from(step.count) {
            return None;
        }
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
        let run = self.new_run();
        let mut index = 0;
        for (at, count) in plan {
            let ticket = self.ticket(key, *at);
            for _ in 0..*count {
                self.start(*at, key.task(index), run, ticket.clone(), now);
                index += 1;
            }
        }
        self.count("gangs");
    }

    fn reserve(&mut self, key: StepKey, step: &Step, plan: &Plan) {
        self.unreserve(key);
        for (at, count) in plan {
            if let Some(executor) = self.executors.get_mut(at) {
                executor.reserve(key, step.room().times(*count));
            }
        }
        self.reserved.insert(key);
    }

    fn unreserve(&mut self, key: StepKey) {
        if !self.reserved.remove(&key) {
            return;
        }
        for executor in self.executors.values_mut() {
            executor.unreserve(&key);
        }
    }

    pub(super) fn drop_reservations(&mut self, job: JobId) {
        let of_job = self.reserved.iter().filter(|key| key.job == job);
        let steps: Vec<StepKey> = of_job.copied().collect();
        for step in steps {
            self.unreserve(step);
        }
    }

    /// Whether these executors could hold a whole step if nothing else ran
    /// there.
    fn could_hold(&self, step: &Step, executors: &[ExecutorIndex]) -> bool {
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        let room = known.map(|executor| {
            let count = times(&executor.info.capacity, &step.room());
            match step.max_per_executor {
                0 => u64::from(count),
                most => u64::from(count.min(most)),
            }
        });
        room.sum::<u64>() >= u64::from(step.count)
    }

    /// Finds when a gang should fit on which executors, and keeps others off
    /// them. Asks for tickets in time, if it may.
    fn keep_for(
        &mut self,
        key: StepKey,
        step: &Step,
        executors: &[ExecutorIndex],
        may_ask: bool,
        kept: &mut Kept,
        now: Millis,
    ) {
        let mut ends: Vec<(Millis, ExecutorIndex, Resources)> = Vec::new();
        let mut free: BTreeMap<ExecutorIndex, Resources> = BTreeMap::new();
        for &at in executors {
            if kept.contains_key(&at) {
                continue;
            }
            let Some(executor) = self.executors.get(&at) else { continue };
            free.insert(at, executor.free);
            for run in executor.runs.values() {
                let end = run.ends.max(now + OVERSTAY);
                ends.push((end, at, run.need));
            }
        }
        ends.sort_unstable_by_key(|(end, at, _)| (*end, *at));
        let mut total: u64 = free
            .values()
            .map(|room| u64::from(times(room, &step.room())))
            .sum();
        let mut when = now;
        for (end, at, need) in ends {
            if total >= u64::from(step.count) {
                break;
            }
            let Some(room) = free.get_mut(&at) else { continue };
            total -= u64::from(times(room, &step.room()));
            *room = room.plus(&need);
            total += u64::from(times(room, &step.room()));
            when = end;
        }
        if total < u64::from(step.count) {
            return;
        }
        let mut most: Vec<(u32, ExecutorIndex)> = free
            .iter()
            .map(|(at, room)| (times(room, &step.room()), *at))
            .filter(|(count, _)| *count > 0)
            .collect();
        most.sort_unstable_by_key(|&(count, at)| (u32::MAX - count, at));
        let mut left = step.count;
        let mut chosen = Vec::new();
        let mut spares = SPARES;
        for (count, at) in most {
            if left == 0 {
                if spares == 0 {
                    break;
                }
                spares -= 1;
            } else {
                kept.insert(at, when);
            }
            left = left.saturating_sub(count);
            chosen.push(at);
        }
        if may_ask {
            self.refresh_ahead(key, chosen, when, now);
        }
    }

    /// Asks for tickets if those at hand won't hold when they are needed.
    fn refresh_ahead(
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
            let good = state.advice.good.get(at);
            good.is_none_or(|ticket| ticket.until < when.max(now + call))
        });
        if old {
            self.ask(key, executors, now);
        }
    }
}

/// How often `need` fits into `room`.
pub(super) fn times(room: &Resources, need: &Resources) -> u32 {
    let fit =
        |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
    fit(room.cpu_millis, need.cpu_millis)
        .min(fit(room.memory_mb, need.memory_mb))
        .min(fit(room.accelerators, need.accelerators))
        .min(100_000)
}

/// The order of steps: urgent queues, then objectives that can be met, then
/// the others; each by the end of its objective.
fn rank(live: &Live, now: Millis) -> (u32, bool, Millis, u64) {
    let urgency = live.queue.priority.min(1);
    let late = live.deadline < now;
    (urgency, late, live.deadline, live.arrival)
}
