/*!
Room for waiting tasks.

A short request may describe any number of tasks: thousands in a step, and
thousands of repetitions that are due at once. Each waiting task takes memory
of the leader, and of its successors. So their number is limited. Beyond the
limit, jobs are refused. Repetitions, whose jobs are accepted already, are put
off until there is room, and use only a part of it, so that one such job does
not keep others out.
*/

use crate::ids::Millis;
use crate::jobs::model::Job;
use crate::jobs::scheduler::Scheduler;

/// How often the waiting tasks are counted, in milliseconds. In between, only
/// those are added that begin to wait.
const COUNT_INTERVAL: Millis = 1_000;
/// Repetitions use this part of the room.
const REPETITIONS_DIVISOR: usize = 2;

/// An upper bound of the number of waiting tasks.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskRoom {
    waiting: usize,
    counted_at: Millis,
}

impl TaskRoom {
    /// Adds tasks that begin to wait.
    pub fn add(&mut self, tasks: usize) {
        self.waiting += tasks;
    }

    /// Whether further tasks fit. They do if none wait.
    fn has_room_for(&self, tasks: usize, limit: usize) -> bool {
        self.waiting == 0 || self.waiting.saturating_add(tasks) <= limit
    }
}

impl Scheduler {
    /// Whether the tasks of a new job fit. Those of a repeating job wait until
    /// they do.
    pub(super) fn has_room_for_tasks(&self, job: &Job) -> bool {
        let limit = self.config.max_waiting_tasks;
        job.repeats.is_some()
            || self.task_room.has_room_for(job.task_count(), limit)
    }

    /// Whether the tasks of a repetition fit.
    pub(super) fn has_room_for_repetition(&self, tasks: usize) -> bool {
        let limit = self.config.max_waiting_tasks / REPETITIONS_DIVISOR;
        self.task_room.has_room_for(tasks, limit)
    }

    /// Counts the waiting tasks, if that was not done lately.
    pub(super) fn count_waiting_tasks(&mut self, now: Millis) {
        if now < self.task_room.counted_at + COUNT_INTERVAL {
            return;
        }
        let steps = self.jobs.values().flat_map(|live| live.steps.values());
        let waiting = steps.map(|state| state.waiting.len()).sum();
        self.task_room = TaskRoom { waiting, counted_at: now };
    }
}
