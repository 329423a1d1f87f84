/*!
What runs tell of executors and of guesses, see [`crate::jobs::speed`], and
what follows for placing.

Runs that began from the start and are done are noted with their step; once
all of it is done, they are compared. The members of a gang end together, by
the slowest, and tell of guesses only. A run that goes on far beyond what it
should tells of its executor before it ends.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::executor::{Executor, Phase};
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

/// A run that goes on for this many times what it should is noted: two of
/// three guesses are within 1.6, nearly all within the square of that.
const OVERDUE: Millis = 3;
/// An urgent step needs a quick executor if it would miss its objective by
/// taking this many times as long as it should: guesses are off by as much.
/// Others do only if they would miss it by taking what they should.
const TIGHT: Millis = 2;
/// The time until a client is told of an end, in milliseconds: the end has to
/// be reported, written and asked for. Short steps have little else to spare.
const TOLD: Millis = 500;
/// For steps that need a quick executor, a logarithm of run time counts as so
/// many thousandths of an executor left over: one that is quicker by a third
/// goes before the best fit.
const BY_SPEED: f64 = 4_000.0;
/// An executor that is slower by more than this logarithm, a factor of two, is
/// the last for all: patient objectives allow for twice the time, about.
const VERY_SLOW: f64 = 0.69;
/// The same as [`BY_SPEED`] for other steps, by what an executor is slower
/// beyond that: they would hold room there for long.
const OFF_SLOW: f64 = 4_000.0;
/// The same for other steps on executors that are quick, which are left to
/// those that need them: about as much as a good fit is worth.
const OFF_QUICK: f64 = 600.0;
/// What is known fades, and is kept, so often, in milliseconds. All shards are
/// looked at within sixteen times this.
const REFRESH: Millis = 1_000;
/// What the store keeps is written again once it is off by so many parts, see
/// [`Speed::kept`]: a quarter of a run time.
const MATERIAL: i32 = 8;

/// The error of guesses by queue, of single tasks and of gangs.
#[derive(Debug, Default)]
pub(super) struct EstimateErrors {
    by_queue: BTreeMap<String, [EstimateError; 2]>,
    unknown: EstimateError,
    refreshed: Millis,
    /// The shard whose executors were looked at last.
    shard: u8,
}

impl EstimateErrors {
    /// The error of the guesses of a queue.
    pub fn of(&self, queue: &str, step: &Step) -> &EstimateError {
        let known = self.by_queue.get(queue);
        known.map_or(&self.unknown, |both| &both[usize::from(step.gang)])
    }

    fn of_mut(&mut self, queue: &str, step: &Step) -> &mut EstimateError {
        let both = self.by_queue.entry(queue.to_string()).or_default();
        &mut both[usize::from(step.gang)]
    }
}

/// Whether a run of a step there would tell of its executor.
pub(super) fn is_informative(
    step: &Step,
    at: &Executor,
    checkpoint: &str,
) -> bool {
    let far = step.near.as_ref().is_some_and(|rack| !at.has_label(rack));
    let split = step.gang && step.same_rack;
    checkpoint.is_empty() && !far && !split && !step.lasting && !step.fills
}

impl Scheduler {
    /// How much longer runs take on an executor than on the usual one, as a
    /// natural logarithm.
    pub(super) fn slowness(&self, at: ExecutorIndex) -> f64 {
        let executor = self.executors.get(&at);
        executor.map_or(0.0, |executor| executor.speed.slowness())
    }

    /// The slowness of the slowest executor on which a step runs.
    pub(super) fn max_slowness(&self, key: StepKey) -> Option<f64> {
        let places = self.step_state(key)?.placements.values();
        places.map(|(at, _)| self.slowness(*at)).max_by(f64::total_cmp)
    }

    /// Takes in what the end of a run tells.
    pub(super) fn learn_from_end(
        &mut self,
        index: ExecutorIndex,
        end: &EndReport,
        given: &ReportTiming,
        now: Millis,
    ) {
        // Ends that wait for the store are heard of late.
        let late = self.commits.is_stalled(now);
        if end.how != EndKind::Done
            || late
            || !self.is_enabled(Mechanism::Speeds)
        {
            return;
        }
        let key = end.task.step;
        let Some(executor) = self.executors.get(&index) else { return };
        let Some(on) = executor.runs.get(&end.task) else { return };
        if on.run != end.run {
            return;
        }
        let time = given.duration(on).filter(|_| on.measures_speed);
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

    /// All runs of a step are done.
    fn learn_from_step(&mut self, key: StepKey, now: Millis) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        if step.estimate == 0 {
            return;
        }
        let error = self.estimate_errors.of_mut(&live.job.queue, step);
        let expected = (step.estimate as f64).ln() + error.mean();
        let speed_of = |at: ExecutorIndex| {
            self.executors.get(&at).map(|e| e.speed).unwrap_or_default()
        };
        let mut findings = Vec::new();
        if !step.gang {
            findings = compare(&state.times, speed_of, error, expected);
            let thought = findings.iter().map(|f| speed_of(f.at).mean());
            let thought: Vec<f64> = thought.collect();
            error.note_uneven(&findings, &thought);
        }
        error.note(step.estimate, &state.times);
        for finding in findings {
            self.update_speed(finding.at, |speed| {
                speed.note(finding.longer, finding.variance, now);
            });
        }
    }

    /// Changes what is known of an executor, and says so if it differs from
    /// now on, or does no more.
    fn update_speed(
        &mut self,
        at: ExecutorIndex,
        change: impl FnOnce(&mut Speed),
    ) {
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let before = executor.speed.slowness();
        change(&mut executor.speed);
        let after = executor.speed.slowness();
        let kind = |slowness: f64| (slowness * 1e6) as i64;
        if kind(before).signum() == kind(after).signum() {
            return;
        }
        let id = executor.info.id.clone();
        let percent = (after.exp() * 100.0) as u32;
        self.count(match kind(after).signum() {
            -1 => "executors_found_quick",
            1 => "executors_found_slow",
            _ => "executors_usual_again",
        });
        self.actions.push(Action::ExecutorSpeed { id, percent });
        self.needs_placement = true;
    }

    /// Looks for runs on an executor that go on far beyond what they should.
    pub(super) fn check_overdue_runs(
        &mut self,
        index: ExecutorIndex,
        given: &ReportTiming,
        now: Millis,
    ) {
        if !self.is_enabled(Mechanism::Speeds) {
            return;
        }
        let Some(executor) = self.executors.get(&index) else { return };
        let overdue = executor.runs.iter().filter(|(_, on)| {
            let should = on.expected_end.saturating_sub(on.placed_at);
            on.measures_speed
                && on.phase == Phase::Running
                && should > 0
                && given.elapsed(on) > OVERDUE * should
        });
        let overdue = overdue.map(|(task, on)| (*task, given.elapsed(on)));
        let overdue: Vec<(TaskKey, Millis)> = overdue.collect();
        let mut noted: Option<StepKey> = None;
        for (task, ran) in overdue {
            self.count("runs_overdue");
            let again = noted == Some(task.step);
            self.handle_overdue_run(index, task, ran, again, now);
            noted = Some(task.step);
        }
    }

    /// A run is overdue; `again`, if another of its step there is as well.
    fn handle_overdue_run(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        ran: Millis,
        again: bool,
        now: Millis,
    ) {
        let key = task.step;
        let usual = self.nominal_run_time(key);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(on) = executor.runs.get_mut(&task) else { return };
        // Its end would be the same evidence once more.
        on.measures_speed = false;
        self.actions.push(Action::RunOverdue {
            executor: executor.info.id.clone(),
            task,
            run: on.run,
            ran,
            should: on.expected_end.saturating_sub(on.placed_at),
        });
        let Some(live) = self.jobs.get(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        let error = self.estimate_errors.of(&live.job.queue, step);
        let ended = state.times.len();
        // A gang waits for its slowest. While no other run of its step has
        // ended, the work may be hard, for all that are there.
        if usual == 0 || step.gang || (again && ended == 0) {
            return;
        }
        let by = match ended {
            0 => error.spread(),
            ended => error.uneven() / ended as f64,
        };
        let variance = by + error.uneven();
        let longer = (ran as f64 / usual as f64).ln();
        self.update_speed(index, |speed| speed.overdue(longer, variance, now));
    }

    /// Lets what is known of executors fade, and has the store keep what has
    /// changed materially, a shard at a time.
    pub(super) fn refresh_speeds(&mut self, now: Millis) {
        let due = now >= self.estimate_errors.refreshed + REFRESH;
        if !due || !self.is_enabled(Mechanism::Speeds) {
            return;
        }
        self.estimate_errors.refreshed = now;
        let queues = &self.queues;
        self.estimate_errors
            .by_queue
            .retain(|name, _| queues.contains_key(name));
        self.estimate_errors.shard =
            (self.estimate_errors.shard + 1) % SHARD_COUNT;
        let shard = self.estimate_errors.shard;
        let mut fades = Vec::new();
        let mut changed = None;
        for (at, executor) in self.executors.iter() {
            if executor.speed.slowness() != 0.0 {
                fades.push(*at);
            }
            let kept = i32::from(executor.speed.kept());
            let off = kept - i32::from(executor.kept_speed);
            if executor.shard == shard && off.abs() >= MATERIAL {
                changed = Some(executor.info.id.clone());
            }
        }
        for at in fades {
            self.update_speed(at, |speed| speed.refresh(now));
        }
        if let Some(id) = changed {
            self.commits.executor_changed(&id);
            self.count("speeds_kept");
        }
    }

    /// Whether a step may miss its objective unless it runs quickly.
    pub(super) fn needs_fast_executor(
        &self,
        key: StepKey,
        now: Millis,
    ) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let rank = self.rank(key, now);
        let urgent =
            rank.is_some_and(|rank| rank.class == PriorityClass::Urgent);
        let missed = live.deadline < now && !urgent;
        let times = if urgent { TIGHT } else { 1 };
        let late = times * self.remaining_critical_path(key) + TOLD;
        let misses = live.deadline < now + late;
        misses && !missed && !live.over_rate
    }

    /// What the speed of an executor adds to what is left over there, for a
    /// step that is tight or not.
    pub(super) fn speed_cost(&self, at: ExecutorIndex, tight: bool) -> i64 {
        let slowness = self.slowness(at);
        let cost = match (tight, slowness < 0.0) {
            (true, _) => slowness * BY_SPEED,
            (false, true) => -slowness * OFF_QUICK,
            (false, false) => (slowness - VERY_SLOW).max(0.0) * OFF_SLOW,
        };
        cost as i64
    }

    /// The groups of executors of about the same speed that a gang should be
    /// tried on, in this order, before it is on all: its slowest member ends
    /// it, so that quick ones would be wasted beside others.
    pub(super) fn speed_groups(
        &self,
        rooms: &[MemberCapacity],
        tight: bool,
    ) -> Vec<Vec<MemberCapacity>> {
        if rooms.iter().all(|room| self.slowness(room.at) == 0.0) {
            return Vec::new();
        }
        let group = |belongs: fn(f64) -> bool| {
            let all = rooms.iter().copied();
            all.filter(|room| belongs(self.slowness(room.at))).collect()
        };
        let first = match tight {
            true => group(|slowness| slowness < 0.0),
            false => group(|slowness| (0.0..VERY_SLOW).contains(&slowness)),
        };
        vec![first, group(|slowness| slowness < VERY_SLOW)]
    }
}
