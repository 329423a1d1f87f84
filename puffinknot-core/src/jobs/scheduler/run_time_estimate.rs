/*!
How long runs take and when they should end: the one estimate that all
decisions share.
*/

use crate::ids::Millis;
use crate::jobs::executor::PlacedRun;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::speed::StepTimes;

/// A run that has overstayed its guess should end within this time.
pub(super) const OVERRUN_GRACE: Millis = 500;

/// When a run should end. One that has overstayed may do so for a while.
pub(super) fn expected_end(run: &PlacedRun, now: Millis) -> Millis {
    if run.expected_end <= now {
        now + OVERRUN_GRACE
    } else {
        run.expected_end
    }
}

/// How long tasks of a step should run, by executors.
pub(super) struct RunTimes {
    usual: Millis,
    /// The slowest executor that has a member already, of a gang.
    slowest: Option<f64>,
}

impl RunTimes {
    /// How long one should run on an executor of this slowness, in
    /// milliseconds.
    pub fn on(&self, slowness: f64) -> Millis {
        // A gang ends with its slowest member.
        let slowness = self.slowest.map_or(slowness, |s| s.max(slowness));
        if slowness == 0.0 {
            return self.usual;
        }
        (self.usual as f64 * slowness.exp()) as Millis
    }
}

impl Scheduler {
    /// How long a task of a step should run on an executor, in milliseconds.
    pub(super) fn run_time(&self, key: StepKey, at: ExecutorIndex) -> Millis {
        self.run_times(key).on(self.slowness(at))
    }

    /// How long tasks of a step should run.
    pub(super) fn run_times(&self, key: StepKey) -> RunTimes {
        let gang = self.step(key).is_some_and(|step| step.gang);
        RunTimes {
            usual: self.nominal_run_time(key),
            slowest: gang.then(|| self.slowest(key)).flatten(),
        }
    }

    /// How long a task of a step should run on the usual executor of its
    /// service, in milliseconds.
    pub(super) fn nominal_run_time(&self, key: StepKey) -> Millis {
        let Some(live) = self.jobs.get(&key.job) else { return 0 };
        let Some(step) = live.job.steps.get(key.step as usize) else {
            return 0;
        };
        if !self.is_enabled(Mechanism::Speeds) {
            return step.estimate;
        }
        let error = self.estimate_errors.of(&live.job.queue, step);
        match live.steps.get(&(key.time, key.step)) {
            Some(state) => error.run_time(step.estimate, &state.times),
            None => error.run_time(step.estimate, &StepTimes::default()),
        }
    }

    /// How long the chain of a job should take from a step on, in
    /// milliseconds.
    pub(super) fn remaining_chain_time(&self, key: StepKey) -> Millis {
        let live = self.jobs.get(&key.job);
        live.map_or(0, |live| {
            let time_of =
                |step| self.nominal_run_time(StepKey { step, ..key });
            live.job.critical_path_from(key.step, time_of)
        })
    }
}
