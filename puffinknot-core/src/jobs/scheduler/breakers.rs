/*!
Feeds the circuit breakers of executors with the ends of their runs, see
[`crate::jobs::circuit_breaker`].
*/

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{EndKind, EndReport, ExecutorIndex};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::Scheduler;

/// At most one executor of a service in this many has a tripped breaker. If
/// more of them fail, the cause is more likely in what they run, and their
/// capacity is needed.
const MAX_TRIPPED_FRACTION: usize = 4;

impl Scheduler {
    /// Updates the circuit breaker of an executor with the end of a run.
    pub(super) fn record_run_end(
        &mut self,
        index: ExecutorIndex,
        end: &EndReport,
        now: Millis,
    ) {
        if !self.is_enabled(Mechanism::Breaker) {
            return;
        }
        match end.how {
            EndKind::Done => {
                if let Some(executor) = self.executors.get_mut(&index) {
                    executor.breaker.record_success();
                }
            }
            EndKind::Failed if !self.is_failure_expected(end.task) => {
                if !self.may_trip(index) {
                    return;
                }
                let executor = self.executors.get_mut(&index);
                if executor.is_some_and(|e| e.breaker.record_failure(now)) {
                    self.count("executors_tripped");
                }
            }
            _ => {}
        }
    }

    /// Whether a failure of the task says nothing about its executor: the task
    /// has failed before, or it may fail at any time.
    fn is_failure_expected(&self, task: TaskKey) -> bool {
        let Some(live) = self.jobs.get(&task.step.job) else { return true };
        let step_key = (task.step.time, task.step.step);
        let Some(state) = live.steps.get(&step_key) else { return true };
        let step = &live.job.steps[task.step.step as usize];
        let representative = step.representative(task.index);
        step.lasting || state.failed.contains_key(&representative)
    }

    /// Whether the breaker of an executor is tripped, or may trip without
    /// exceeding the limit for its service.
    fn may_trip(&self, index: ExecutorIndex) -> bool {
        let Some(executor) = self.executors.get(&index) else { return false };
        let service = &executor.info.service;
        let same_service =
            self.executors.values().filter(|e| e.info.service == *service);
        let (mut total, mut tripped) = (0, 0);
        for executor in same_service {
            total += 1;
            tripped += usize::from(executor.breaker.is_open());
        }
        executor.breaker.is_open()
            || (tripped + 1) * MAX_TRIPPED_FRACTION <= total
    }
}
