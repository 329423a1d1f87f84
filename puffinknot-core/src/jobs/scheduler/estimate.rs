/*!
How long runs take and when they should end: the one estimate that all
decisions share.
*/

use crate::ids::Millis;
use crate::jobs::executor::RunOn;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::Scheduler;

/// A run that has overstayed its guess should end within this time.
pub(super) const OVERSTAY: Millis = 500;

/// When a run should end. One that has overstayed may do so for a while.
pub(super) fn expected_end(run: &RunOn, now: Millis) -> Millis {
    if run.ends <= now {
        now + OVERSTAY
    } else {
        run.ends
    }
}

impl Scheduler {
    /// How long a task of a step should run on an executor, in milliseconds.
    pub(super) fn run_time(&self, key: StepKey, _at: ExecutorIndex) -> Millis {
        self.usual_run_time(key)
    }

    /// How long a task of a step should run on the usual executor of its
    /// service, in milliseconds.
    pub(super) fn usual_run_time(&self, key: StepKey) -> Millis {
        self.step(key).map_or(0, |step| step.estimate)
    }

    /// How long the chain of a job should take from a step on, in
    /// milliseconds.
    pub(super) fn chain_left(&self, key: StepKey) -> Millis {
        let live = self.jobs.get(&key.job);
        live.map_or(0, |live| live.job.chain_from(key.step))
    }
}
