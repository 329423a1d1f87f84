/*!
The repetitions of repeating jobs, and when they are released.

All times of a job may be due at once, and a release gives each step a state of
its own. A repetition that is due and has no turn yet is therefore only counted,
and so is one that is done. Each job has a window: the next repetition is
released while few steps of the job wait. The windows of all jobs share one
limit, so that a placement round examines a bounded number of such steps, and
each job has at least one repetition released unless its tasks don't fit, see
[`super::task_room`].
*/

use std::collections::BTreeSet;
use std::ops::Range;

use crate::ids::Millis;
use crate::jobs::model::{JobId, StepKey};
use crate::jobs::number_set::NumberSet;
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::Scheduler;

/// A job's further repetitions are not released while at least this many of
/// its steps wait.
const MAX_WINDOW_STEPS: usize = 32;
/// The windows of all jobs together, in steps.
const MAX_RELEASED_STEPS: usize = 2_048;

/// Which repetitions of a job are due, released and done.
#[derive(Clone, Debug, Default)]
pub(super) struct Repetitions {
    /// The number of repetitions that have become due so far.
    pub due: u32,
    /// All repetitions below this are released or done. Others may be, if a
    /// predecessor has released them.
    next: u32,
    /// Those that are done. They have no step states.
    done: NumberSet,
}

impl Repetitions {
    /// Whether a repetition is done.
    pub fn is_done(&self, time: u32) -> bool {
        self.done.contains(time)
    }

    /// Adds repetitions that are done.
    pub fn add_done(&mut self, times: Range<u32>) {
        self.done.insert(times);
    }

    /// The repetitions that are done.
    pub fn done(&self) -> Vec<Range<u32>> {
        self.done.ranges().collect()
    }

    /// The number of repetitions that are done.
    pub fn done_count(&self) -> usize {
        self.done.count_in(&(0..u32::MAX)) as usize
    }

    /// The number of repetitions that are due and neither released in order
    /// nor done.
    pub fn unreleased(&self) -> u32 {
        let rest = self.next..self.due;
        (rest.len() as u32).saturating_sub(self.done.count_in(&rest))
    }

    /// The next repetition to release, if one is due.
    fn next_due(&mut self) -> Option<u32> {
        if let Some(times) = self.done.range_of(self.next) {
            self.next = times.end;
        }
        (self.next < self.due).then_some(self.next)
    }
}

impl Scheduler {
    /// Releases the repetitions of all repeating jobs that are due, as far as
    /// their windows and the room for waiting tasks allow.
    pub(super) fn release_due(&mut self, now: Millis) {
        let repeating = self.jobs.iter().filter(|(_, live)| {
            let due_later = live.repetitions.due < live.job.repetitions();
            let unreleased = live.repetitions.next < live.repetitions.due;
            live.job.repeats.is_some() && (due_later || unreleased)
        });
        let jobs: Vec<JobId> = repeating.map(|(id, _)| *id).collect();
        self.repeating_jobs = jobs.len();
        for job in jobs {
            self.release_due_of(job, now);
        }
    }

    /// Releases the repetitions of a job that are due, as far as its window
    /// and the room for waiting tasks allow.
    pub(super) fn release_due_of(&mut self, job: JobId, now: Millis) {
        self.update_due(job, now);
        let window = MAX_RELEASED_STEPS / self.repeating_jobs.max(1);
        let window = window.clamp(1, MAX_WINDOW_STEPS);
        let Some(live) = self.jobs.get(&job) else { return };
        let repeats = live.job.repeats.is_some();
        let waiting = live
            .steps
            .values()
            .filter(|state| state.released && !state.waiting.is_empty());
        let mut waiting = if repeats { waiting.count() } else { 0 };
        while waiting < window {
            let Some(live) = self.jobs.get_mut(&job) else { return };
            let Some(time) = live.repetitions.next_due() else { return };
            if repeats && !self.has_room_for_repetition(job) {
                return self.count("repetitions_put_off");
            }
            if let Some(live) = self.jobs.get_mut(&job) {
                live.repetitions.next = time + 1;
            }
            waiting += self.release(job, time);
        }
    }

    /// Updates how many repetitions of a job are due. Releases those of them
    /// that a predecessor has released.
    fn update_due(&mut self, job: JobId, now: Millis) {
        let wall = (now as i64 + self.wall_offset).max(0) as Millis;
        let Some(live) = self.jobs.get_mut(&job) else { return };
        let due = match live.job.repeats {
            None => 1,
            Some(r) if wall < r.first => 0,
            Some(r) => {
                let past = (wall - r.first) / r.every.max(1);
                (past + 1).min(r.times.into()) as u32
            }
        };
        let before = live.repetitions.due;
        if due <= before {
            return;
        }
        live.repetitions.due = due;
        let known = live.steps.range((before, 0)..(due, 0));
        let known: BTreeSet<u32> = known.map(|((time, _), _)| *time).collect();
        for time in known {
            self.release(job, time);
        }
    }

    /// Releases the steps of a repetition whose dependencies are done. Returns
    /// the number of steps that begin to wait.
    pub(super) fn release(&mut self, job: JobId, time: u32) -> usize {
        let Some(live) = self.jobs.get_mut(&job) else { return 0 };
        if live.ended.is_some() || time >= live.repetitions.due {
            return 0;
        }
        let released = live.release(time);
        for &number in &released {
            let state = live.steps.get(&(time, number));
            let waiting = state.map_or(0, |state| state.waiting.len());
            self.task_room.add_step(waiting);
            if live.written {
                self.ready.insert(StepKey { job, time, step: number });
                self.needs_placement = true;
            }
        }
        released.len()
    }
}

impl LiveJob {
    /// Drops the step states of a repetition if all of its steps are done.
    pub fn complete_repetition(&mut self, time: u32) {
        let steps = self.job.steps.len();
        let states = self.steps.range((time, 0)..(time + 1, 0));
        let done = states.filter(|((_, number), state)| {
            state.is_complete(&self.job.steps[*number as usize])
        });
        if done.count() < steps {
            return;
        }
        for number in 0..steps as u32 {
            self.steps.remove(&(time, number));
        }
        self.repetitions.add_done(time..time + 1);
    }
}
