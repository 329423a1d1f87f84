/*!
Judges executors by how the runs there end, see [`crate::jobs::circuit_breaker`].
*/

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{EndKind, EndReport, ExecutorIndex};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::Scheduler;

/// At most one executor of a service in so many is kept from running. If more
/// fail, the cause is rather in what they run, and the room is needed.
const MOST_TRIPPED: usize = 4;

impl Scheduler {
    /// Takes in what the end of a run says about its executor.
    pub(super) fn judge(
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
            EndKind::Failed if !self.fails_by_itself(end.task) => {
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

    /// Whether the task is known to fail whatever its executor does: it has
    /// failed before, or it may fail at any time.
    fn fails_by_itself(&self, task: TaskKey) -> bool {
        let Some(live) = self.jobs.get(&task.step.job) else { return true };
        let place = (task.step.time, task.step.step);
        let Some(state) = live.steps.get(&place) else { return true };
        let step = &live.job.steps[task.step.step as usize];
        let counted = step.representative(task.index);
        step.lasting || state.failed.contains_key(&counted)
    }

    /// Whether another executor of this one's service may be kept from
    /// running.
    fn may_trip(&self, index: ExecutorIndex) -> bool {
        let Some(executor) = self.executors.get(&index) else { return false };
        let service = &executor.info.service;
        let of_service =
            self.executors.values().filter(|e| e.info.service == *service);
        let (mut all, mut tripped) = (0, 0);
        for executor in of_service {
            all += 1;
            tripped += usize::from(executor.breaker.is_open());
        }
        executor.breaker.is_open() || (tripped + 1) * MOST_TRIPPED <= all
    }
}
