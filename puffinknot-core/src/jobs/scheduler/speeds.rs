/*!
Learning the speed of executors and the error of run time estimates from runs,
see [`crate::jobs::speed`], and using both in placement.

The times of completed runs that did not resume from a checkpoint are recorded
with their step, and compared once the whole step is done. The members of a
gang end together, when the slowest does, so their times tell only about the
error of the estimate. A run that takes far longer than expected tells about
its executor before it ends.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::executor::{Executor, RunPhase};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, EndKind, EndReport, ExecutorIndex};
use crate::jobs::model::{Step, StepKey, TaskKey};
use crate::jobs::record::SHARD_COUNT;
use crate::jobs::scheduler::event_lag::ReportTiming;
use crate::jobs::scheduler::gangs::MemberCapacity;
use crate::jobs::scheduler::live_job::StepState;
use crate::jobs::scheduler::ranking::PriorityClass;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::speed::{compare, EstimateError, Speed};

/// A run is overdue if it takes more than this many times its expected run
/// time. Two of three estimates are within a factor of 1.6 of the run time,
/// and nearly all are within the square of that.
const OVERDUE_FACTOR: Millis = 3;
/// An urgent step needs a fast executor if it would miss its objective by
/// taking this many times its expected run time, since estimates are off by as
/// much. Other steps need one only if they would miss it by taking the
/// expected run time.
const URGENT_TIME_FACTOR: Millis = 2;
/// The time until a client learns that a run has ended: the end has to be
/// reported, written and queried. Short steps have little other slack.
const END_NOTICE_DELAY: Millis = 500;
/// The fit cost per unit of [`Scheduler::slowness`] for steps that need a fast
/// executor, in thousandths of an executor left over. An executor that is
/// faster by a third is preferred to the best fit.
const FAST_NEEDED_WEIGHT: f64 = 4_000.0;
/// The slowness, a factor of two, above which an executor is the last choice
/// for every step: objectives of steps that are not urgent allow for about
/// twice the run time.
const VERY_SLOW: f64 = 0.69;
/// The fit cost per unit of slowness above [`VERY_SLOW`] for other steps: they
/// would hold capacity there for a long time.
const VERY_SLOW_WEIGHT: f64 = 4_000.0;
/// The fit cost for other steps per unit by which an executor is faster than
/// nominal, so that fast executors are left to the steps that need them. It is
/// worth about as much as a good fit.
const KEEP_FAST_FREE_WEIGHT: f64 = 600.0;
/// The time between two refreshes. Each lets evidence fade and checks one
/// shard for speeds to store, so that all shards are checked within sixteen
/// times this.
const REFRESH_INTERVAL: Millis = 1_000;
/// The stored speed of an executor is written again once it is off by this
/// many units of [`Speed::kept`], a quarter of a run time.
const MIN_STORED_CHANGE: i32 = 8;

/// The error of run time estimates by queue, for single tasks and for gangs.
#[derive(Debug, Default)]
pub(super) struct EstimateErrors {
    by_queue: BTreeMap<String, [EstimateError; 2]>,
    unknown: EstimateError,
    refreshed_at: Millis,
    /// The shard whose executors were checked last.
    shard: u8,
}

impl EstimateErrors {
    /// The error of a queue's estimates for steps like this one.
    pub fn of(&self, queue: &str, step: &Step) -> &EstimateError {
        let known = self.by_queue.get(queue);
        known.map_or(&self.unknown, |both| &both[usize::from(step.gang)])
    }

    fn of_mut(&mut self, queue: &str, step: &Step) -> &mut EstimateError {
        let both = self.by_queue.entry(queue.to_string()).or_default();
        &mut both[usize::from(step.gang)]
    }
}

/// Whether the time that a run of a step takes on an executor measures the
/// executor's speed.
pub(super) fn measures_speed(
    step: &Step,
    at: &Executor,
    checkpoint: &str,
) -> bool {
    let outside_rack =
        step.near.as_ref().is_some_and(|rack| !at.has_label(rack));
    let rack_gang = step.gang && step.same_rack;
    checkpoint.is_empty()
        && !outside_rack
        && !rack_gang
        && !step.lasting
        && !step.fills
}

impl Scheduler {
    /// How much longer runs take on an executor than on one of nominal speed,
    /// as a natural logarithm. Negative values mean that it is faster.
    pub(super) fn slowness(&self, at: ExecutorIndex) -> f64 {
        let executor = self.executors.get(&at);
        executor.map_or(0.0, |executor| executor.speed.slowness())
    }

    /// The slowness of the slowest executor that runs members of a gang, if
    /// any does.
    pub(super) fn max_slowness(&self, gang: StepKey) -> Option<f64> {
        let executors = self.step_state(gang)?.placements.gang_executors();
        executors.map(|at| self.slowness(at)).max_by(f64::total_cmp)
    }

    /// Learns from the end of a run.
    pub(super) fn learn_from_end(
        &mut self,
        index: ExecutorIndex,
        end: &EndReport,
        timing: &ReportTiming,
        now: Millis,
    ) {
        // While writes to the store are stalled, ends are reported late, which
        // makes run times appear longer.
        let late = self.commits.is_stalled(now);
        if end.how != EndKind::Done
            || late
            || !self.is_enabled(Mechanism::Speeds)
        {
            return;
        }
        let key = end.task.step;
        let Some(executor) = self.executors.get(&index) else { return };
        let Some(placed) = executor.runs.get(&end.task) else { return };
        if placed.run != end.run {
            return;
        }
        let time = timing.duration(placed).filter(|_| placed.measures_speed);
        let gang = self.step(key).is_some_and(|step| step.gang);
        let done = |run: &StepState| run.done.contains(&end.task.index);
        if self.step_state(key).is_some_and(done) {
            return;
        }
        let slowness = match gang {
            true => self.max_slowness(key).unwrap_or(0.0),
            false => executor.speed.slowness(),
        };
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let Some(step) = live.job.steps.get(key.step as usize) else { return };
        let count = step.count as usize;
        let Some(state) = live.steps.get_mut(&(key.time, key.step)) else {
            return;
        };
        if let Some(time) = time {
            state.times.add(index, time, slowness);
        }
        if gang || state.done.len() + 1 >= count {
            self.learn_from_step(key, now);
        }
    }

    /// Learns from the run times of a step that is done.
    fn learn_from_step(&mut self, key: StepKey, now: Millis) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        if step.estimate == 0 {
            return;
        }
        let estimate_error =
            self.estimate_errors.of_mut(&live.job.queue, step);
        let expected = (step.estimate as f64).ln() + estimate_error.mean();
        let speed_of = |at: ExecutorIndex| {
            self.executors.get(&at).map(|e| e.speed).unwrap_or_default()
        };
        let mut samples = Vec::new();
        if !step.gang {
            samples =
                compare(&state.times, speed_of, estimate_error, expected);
            let prior_means =
                samples.iter().map(|sample| speed_of(sample.executor).mean());
            let prior_means: Vec<f64> = prior_means.collect();
            estimate_error.observe_task_variance(&samples, &prior_means);
        }
        estimate_error.observe_step(step.estimate, &state.times);
        for sample in samples {
            self.update_speed(sample.executor, |speed| {
                speed.observe(sample.log_ratio, sample.variance, now);
            });
        }
    }

    /// Updates the speed of an executor, and reports it if the executor is now
    /// known to be faster or slower than nominal and was not before, or the
    /// reverse.
    fn update_speed(
        &mut self,
        at: ExecutorIndex,
        change: impl FnOnce(&mut Speed),
    ) {
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let before = executor.speed.slowness();
        change(&mut executor.speed);
        let after = executor.speed.slowness();
        let micros = |slowness: f64| (slowness * 1e6) as i64;
        if micros(before).signum() == micros(after).signum() {
            return;
        }
        let id = executor.info.id.clone();
        let percent = (after.exp() * 100.0) as u32;
        self.count(match micros(after).signum() {
            -1 => "executors_found_quick",
            1 => "executors_found_slow",
            _ => "executors_usual_again",
        });
        self.actions.push(Action::ExecutorSpeed { id, percent });
        self.needs_placement = true;
    }

    /// Looks for overdue runs on an executor.
    pub(super) fn check_overdue_runs(
        &mut self,
        index: ExecutorIndex,
        timing: &ReportTiming,
        now: Millis,
    ) {
        if !self.is_enabled(Mechanism::Speeds) {
            return;
        }
        let Some(executor) = self.executors.get(&index) else { return };
        let overdue = executor.runs.iter().filter(|(_, placed)| {
            let expected =
                placed.expected_end.saturating_sub(placed.placed_at);
            placed.measures_speed
                && placed.phase == RunPhase::Running
                && expected > 0
                && timing.elapsed(placed) > OVERDUE_FACTOR * expected
        });
        let overdue =
            overdue.map(|(task, placed)| (*task, timing.elapsed(placed)));
        let overdue: Vec<(TaskKey, Millis)> = overdue.collect();
        let mut previous_step: Option<StepKey> = None;
        for (task, ran) in overdue {
            self.count("runs_overdue");
            let same_step = previous_step == Some(task.step);
            self.handle_overdue_run(index, task, ran, same_step, now);
            previous_step = Some(task.step);
        }
    }

    /// Learns from an overdue run. `same_step` is set if the overdue run
    /// handled just before it on this executor is of the same step.
    fn handle_overdue_run(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        ran: Millis,
        same_step: bool,
        now: Millis,
    ) {
        let key = task.step;
        let nominal = self.nominal_run_time(key);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(placed) = executor.runs.get_mut(&task) else { return };
        // When the run ends, it must not count as evidence a second time.
        placed.measures_speed = false;
        self.actions.push(Action::RunOverdue {
            executor: executor.info.id.clone(),
            task,
            run: placed.run,
            ran,
            should: placed.expected_end.saturating_sub(placed.placed_at),
        });
        let Some(live) = self.jobs.get(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        let estimate_error = self.estimate_errors.of(&live.job.queue, step);
        let ended = state.times.len();
        // A gang waits for its slowest member, so its runs say nothing about
        // this executor. While no other run of the step has ended, its tasks
        // may all be longer than estimated, so only the first of them on this
        // executor counts.
        if nominal == 0 || step.gang || (same_step && ended == 0) {
            return;
        }
        let estimate_variance = match ended {
            0 => estimate_error.estimate_variance(),
            ended => estimate_error.task_variance() / ended as f64,
        };
        let variance = estimate_variance + estimate_error.task_variance();
        let longer = (ran as f64 / nominal as f64).ln();
        self.update_speed(index, |speed| {
            speed.observe_overdue(longer, variance, now)
        });
    }

    /// Lets the evidence on executors of other than nominal speed fade, and
    /// has speeds that differ enough from the stored ones written, one shard
    /// at a time.
    pub(super) fn refresh_speeds(&mut self, now: Millis) {
        let due = now >= self.estimate_errors.refreshed_at + REFRESH_INTERVAL;
        if !due || !self.is_enabled(Mechanism::Speeds) {
            return;
        }
        self.estimate_errors.refreshed_at = now;
        let queues = &self.queues;
        self.estimate_errors
            .by_queue
            .retain(|name, _| queues.get(name).is_some());
        self.estimate_errors.shard =
            (self.estimate_errors.shard + 1) % SHARD_COUNT;
        let shard = self.estimate_errors.shard;
        let mut to_refresh = Vec::new();
        let mut changed = None;
        for (at, executor) in self.executors.iter() {
            if executor.speed.slowness() != 0.0 {
                to_refresh.push(*at);
            }
            let kept = i32::from(executor.speed.to_stored());
            let difference = kept - i32::from(executor.stored_speed);
            if executor.shard == shard && difference.abs() >= MIN_STORED_CHANGE
            {
                changed = Some(executor.info.id.clone());
            }
        }
        for at in to_refresh {
            self.update_speed(at, |speed| speed.refresh(now));
        }
        if let Some(id) = changed {
            self.commits.executor_changed(&id);
            self.count("speeds_kept");
        }
    }

    /// Whether a step may miss its objective unless it runs on a fast
    /// executor. False for a step that is not urgent and has missed it
    /// already, and for jobs over their account's rate.
    pub(super) fn needs_fast_executor(
        &self,
        key: StepKey,
        now: Millis,
    ) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let rank = self.rank(key, now);
        let urgent =
            rank.is_some_and(|rank| rank.class == PriorityClass::Urgent);
        let missed_objective = live.deadline < now && !urgent;
        let factor = if urgent { URGENT_TIME_FACTOR } else { 1 };
        let needed =
            factor * self.remaining_critical_path(key) + END_NOTICE_DELAY;
        let would_miss = live.deadline < now + needed;
        would_miss && !missed_objective && !live.over_rate
    }

    /// What the speed of an executor adds to the fit cost there, for a step
    /// that needs a fast executor or does not.
    pub(super) fn speed_cost(
        &self,
        at: ExecutorIndex,
        needs_fast: bool,
    ) -> i64 {
        let slowness = self.slowness(at);
        let cost = match (needs_fast, slowness < 0.0) {
            (true, _) => slowness * FAST_NEEDED_WEIGHT,
            (false, true) => -slowness * KEEP_FAST_FREE_WEIGHT,
            (false, false) => {
                (slowness - VERY_SLOW).max(0.0) * VERY_SLOW_WEIGHT
            }
        };
        cost as i64
    }

    /// The groups of executors of similar speed on which to try to place a
    /// gang, in this order, before all executors are considered. A gang ends
    /// with its slowest member, so fast executors are wasted beside slow ones.
    /// Empty if all executors are of nominal speed.
    pub(super) fn speed_groups(
        &self,
        capacities: &[MemberCapacity],
        needs_fast: bool,
    ) -> Vec<Vec<MemberCapacity>> {
        if capacities.iter().all(|capacity| self.slowness(capacity.at) == 0.0)
        {
            return Vec::new();
        }
        let group = |belongs: fn(f64) -> bool| {
            let all = capacities.iter().copied();
            all.filter(|capacity| belongs(self.slowness(capacity.at)))
                .collect()
        };
        let first = match needs_fast {
            true => group(|slowness| slowness < 0.0),
            false => group(|slowness| (0.0..VERY_SLOW).contains(&slowness)),
        };
        vec![first, group(|slowness| slowness < VERY_SLOW)]
    }
}
