/*!
Estimates of how long runs take and when they should end, shared by all
decisions of the scheduler.
*/

use crate::ids::Millis;
use crate::jobs::executor::PlacedRun;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::speed::StepTimes;

/// The time within which a run that has exceeded its estimate should end.
pub(super) const OVERRUN_GRACE: Millis = 500;

/// When a run should end. A run that has exceeded its estimate is given
/// [`OVERRUN_GRACE`] from now.
pub(super) fn expected_end(run: &PlacedRun, now: Millis) -> Millis {
    if run.expected_end <= now {
        now + OVERRUN_GRACE
    } else {
        run.expected_end
    }
}

/// How long tasks of a step should run, by the slowness of the executor.
pub(super) struct RunTimes {
    nominal: Millis,
    /// For a gang, the greatest slowness among executors that already run a
    /// member.
    max_slowness: Option<f64>,
}

impl RunTimes {
    /// How long a task should run on an executor of this slowness, see
    /// [`Scheduler::slowness`].
    pub fn on(&self, slowness: f64) -> Millis {
        // A gang ends when its slowest member does.
        let slowness = self.max_slowness.map_or(slowness, |s| s.max(slowness));
        if slowness == 0.0 {
            return self.nominal;
        }
        (self.nominal as f64 * slowness.exp()) as Millis
    }
}

impl Scheduler {
    /// How long a task of a step should run on an executor.
    pub(super) fn run_time(&self, key: StepKey, at: ExecutorIndex) -> Millis {
        self.run_times(key).on(self.slowness(at))
    }

    /// How long tasks of a step should run.
    pub(super) fn run_times(&self, key: StepKey) -> RunTimes {
        let gang = self.step(key).is_some_and(|step| step.gang);
        RunTimes {
            nominal: self.nominal_run_time(key),
            max_slowness: gang.then(|| self.max_slowness(key)).flatten(),
        }
    }

    /// How long a task of a step should run on an executor of the nominal
    /// speed of its service, by the estimate that came with the job and by
    /// earlier runs.
    pub(super) fn nominal_run_time(&self, key: StepKey) -> Millis {
        let Some(live) = self.jobs.get(&key.job) else { return 0 };
        let Some(step) = live.job.steps.get(key.step as usize) else {
            return 0;
        };
        if !self.is_enabled(Mechanism::Speeds) {
            return step.estimate;
        }
        let estimate_error = self.estimate_errors.of(&live.job.queue, step);
        match live.steps.get(&(key.time, key.step)) {
            Some(state) => {
                estimate_error.run_time(step.estimate, &state.times)
            }
            None => {
                estimate_error.run_time(step.estimate, &StepTimes::default())
            }
        }
    }

    /// How long the critical path of a job should take from a step on.
    pub(super) fn remaining_critical_path(&self, key: StepKey) -> Millis {
        let live = self.jobs.get(&key.job);
        live.map_or(0, |live| {
            let time_of =
                |step| self.nominal_run_time(StepKey { step, ..key });
            live.job.critical_path_from(key.step, time_of)
        })
    }
}
