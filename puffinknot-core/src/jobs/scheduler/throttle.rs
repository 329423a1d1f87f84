/*!
Throttling of best-effort tasks that run beside serving tasks.

A best-effort task uses only processor time that other tasks leave. A serving
task has a target for its tail latency, and its executor reports the current
tail latency. While that is near or over the target, the best-effort tasks on
the executor are throttled. Throttling is multiplicative, since the serving
task suffers within seconds; unthrottling proceeds in small steps once the
latency is low again.
*/

use crate::ids::Millis;
use crate::jobs::executor::RunPhase;
use crate::jobs::message::{Action, ExecutorIndex, OrderFailure, RunReport};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::Scheduler;

/// Best-effort tasks are throttled while the tail latency of a serving task
/// is over this fraction of its target.
const THROTTLE_ABOVE: f64 = 0.9;
/// Best-effort tasks are unthrottled while the tail latencies of all serving
/// tasks are under this fraction of their targets.
const UNTHROTTLE_BELOW: f64 = 0.7;
/// One throttling step multiplies the share of processor time by this.
const THROTTLE_FACTOR: f64 = 0.4;
/// Shares below this are set to zero.
const MIN_PERCENT: u32 = 10;
/// One unthrottling step adds this to the share of processor time.
const UNTHROTTLE_STEP_PERCENT: u32 = 15;
/// The least time between two changes on an executor.
const MIN_CHANGE_INTERVAL: Millis = 700;
/// The share of a task that is not throttled.
pub(super) const FULL_PERCENT: u32 = 100;

impl Scheduler {
    /// Throttles or unthrottles the best-effort tasks on an executor by the
    /// tail latencies that it reports.
    pub(super) fn throttle(
        &mut self,
        index: ExecutorIndex,
        running: &[RunReport],
        now: Millis,
    ) {
        let Some(executor) = self.executors.get(&index) else { return };
        if now < executor.throttled_at + MIN_CHANGE_INTERVAL {
            return;
        }
        let mut highest: Option<f64> = None;
        let mut best_effort = Vec::new();
        for row in running {
            let Some(live) = self.jobs.get(&row.task.step.job) else {
                continue;
            };
            let number = row.task.step.step as usize;
            let Some(step) = live.job.steps.get(number) else { continue };
            if step.fills {
                best_effort.push((row.task, row.run, row.percent));
            } else if step.target > 0 {
                let ratio = row.usage as f64 / step.target as f64;
                highest = Some(highest.unwrap_or(0.0).max(ratio));
            }
        }
        if best_effort.is_empty() {
            return;
        }
        let ratio = highest.unwrap_or(0.0);
        let adjusted = |percent: u32| {
            if ratio > THROTTLE_ABOVE {
                let reduced = (f64::from(percent) * THROTTLE_FACTOR) as u32;
                if reduced < MIN_PERCENT {
                    0
                } else {
                    reduced
                }
            } else if ratio < UNTHROTTLE_BELOW {
                (percent + UNTHROTTLE_STEP_PERCENT).min(FULL_PERCENT)
            } else {
                percent
            }
        };
        let changes: Vec<(TaskKey, u64, u32)> = best_effort
            .into_iter()
            .map(|(task, run, percent)| {
                (task, run, percent, adjusted(percent))
            })
            .filter(|(_, _, percent, adjusted)| percent != adjusted)
            .map(|(task, run, _, adjusted)| (task, run, adjusted))
            .collect();
        if changes.is_empty() {
            return;
        }
        if let Some(executor) = self.executors.get_mut(&index) {
            executor.throttled_at = now;
        }
        for (task, run, percent) in changes {
            let placed =
                self.executors.get(&index).and_then(|e| e.runs.get(&task));
            let is_current = placed.is_some_and(|placed| {
                placed.run == run && placed.phase == RunPhase::Running
            });
            if is_current {
                self.count("paced");
                self.actions.push(Action::Throttle {
                    executor: index,
                    task,
                    run,
                    percent,
                });
            }
        }
    }

    /// Handles the answer to a throttle order. Its effect shows in the
    /// executor's next report.
    pub(super) fn throttle_answered(
        &mut self,
        index: ExecutorIndex,
        answer: Result<(), OrderFailure>,
        now: Millis,
    ) {
        self.handle_terminal_failure(index, answer, now);
    }

    /// Whether an executor has best-effort tasks beside serving tasks and
    /// therefore has to report often.
    pub(super) fn needs_frequent_reports(
        &mut self,
        index: ExecutorIndex,
    ) -> bool {
        let Some(executor) = self.executors.get(&index) else { return false };
        let examined = executor.runs.len();
        let mut serves = false;
        let mut fills = false;
        for task in executor.runs.keys() {
            let live = self.jobs.get(&task.step.job);
            let step = live
                .and_then(|live| live.job.steps.get(task.step.step as usize));
            if let Some(step) = step {
                fills |= step.fills;
                serves |= step.target > 0 && !step.fills;
            }
        }
        self.count_examined_runs(examined);
        serves && fills
    }
}
