/*!
Tasks that fill what others leave, beside tasks that serve users.

A serving task has a bound on the tail of its answer times, and its executor
reports the present tail. While it is near or over the bound, the tasks that
fill beside it are slowed: quickly at first, since harm counts after seconds,
and they are let on slowly, by steps, once there is room again.
*/

use crate::ids::Millis;
use crate::jobs::executor::RunPhase;
use crate::jobs::message::{Action, ExecutorIndex, OrderFailure, RunReport};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::Scheduler;

/// Fillers are slowed when a tail is over this part of its bound.
const HIGH: f64 = 0.9;
/// Fillers are let on when all tails are under this part of their bounds.
const LOW: f64 = 0.7;
/// Slowing multiplies the share by this.
const SLOWER: f64 = 0.4;
/// Shares below this are zero, in percent.
const LEAST: u32 = 10;
/// Letting on adds this to the share, in percent.
const FASTER: u32 = 15;
/// The least time between two changes on an executor, in milliseconds.
const EVERY: Millis = 700;
/// The share of a task that is not slowed, in percent.
pub(super) const FULL: u32 = 100;

impl Scheduler {
    /// Looks at what an executor reports, and slows or lets on the tasks
    /// that fill there.
    pub(super) fn throttle(
        &mut self,
        index: ExecutorIndex,
        running: &[RunReport],
        now: Millis,
    ) {
        let Some(executor) = self.executors.get(&index) else { return };
        if now < executor.throttled_at + EVERY {
            return;
        }
        let mut worst: Option<f64> = None;
        let mut fillers = Vec::new();
        for row in running {
            let Some(live) = self.jobs.get(&row.task.step.job) else {
                continue;
            };
            let number = row.task.step.step as usize;
            let Some(step) = live.job.steps.get(number) else { continue };
            if step.fills {
                fillers.push((row.task, row.run, row.percent));
            } else if step.target > 0 {
                let part = row.usage as f64 / step.target as f64;
                worst = Some(worst.unwrap_or(0.0).max(part));
            }
        }
        if fillers.is_empty() {
            return;
        }
        let part = worst.unwrap_or(0.0);
        let next = |percent: u32| {
            if part > HIGH {
                let slower = (f64::from(percent) * SLOWER) as u32;
                if slower < LEAST {
                    0
                } else {
                    slower
                }
            } else if part < LOW {
                (percent + FASTER).min(FULL)
            } else {
                percent
            }
        };
        let changes: Vec<(TaskKey, u64, u32)> = fillers
            .into_iter()
            .map(|(task, run, percent)| (task, run, percent, next(percent)))
            .filter(|(_, _, percent, next)| percent != next)
            .map(|(task, run, _, next)| (task, run, next))
            .collect();
        if changes.is_empty() {
            return;
        }
        if let Some(executor) = self.executors.get_mut(&index) {
            executor.throttled_at = now;
        }
        for (task, run, percent) in changes {
            let on =
                self.executors.get(&index).and_then(|e| e.runs.get(&task));
            let ours = on.is_some_and(|on| {
                on.run == run && on.phase == RunPhase::Running
            });
            if ours {
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

    /// An executor answered an order on pace. What became of it shows in
    /// its next account.
    pub(super) fn throttle_answered(
        &mut self,
        index: ExecutorIndex,
        answer: Result<(), OrderFailure>,
        now: Millis,
    ) {
        self.handle_terminal_failure(index, answer, now);
    }

    /// Whether an executor has fillers beside serving tasks, so that its
    /// account is wanted often.
    pub(super) fn needs_frequent_reports(&self, index: ExecutorIndex) -> bool {
        let Some(executor) = self.executors.get(&index) else { return false };
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
        serves && fills
    }
}
