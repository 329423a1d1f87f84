/*!
Room for the tasks of live jobs.

A short request may describe any number of tasks: thousands in a step, and
thousands of repetitions that are due at once. Each task that waits takes
memory of the leader, and of its successors, and so does one that is done until
its job ends. So their number is limited, where a step counts as many tasks,
since it takes far more. Beyond the limit, jobs are refused. Repetitions, whose
jobs are accepted already, are put off until there is room, and use only a part
of it, so that one such job does not keep others out. Tasks that run are
limited by [`super::run_room`].
*/

use crate::ids::Millis;
use crate::jobs::model::{Job, JobId};
use crate::jobs::scheduler::Scheduler;

/// How often the tasks are counted, in milliseconds. In between, only those
/// are added that begin to wait.
const COUNT_INTERVAL: Millis = 1_000;
/// Repetitions use this part of the room.
const REPETITIONS_DIVISOR: usize = 2;
/// What the state of a step takes beside its tasks, as a number of tasks.
const STEP_TASKS: usize = 64;

/// An upper bound of the number of tasks that wait or are done, steps
/// included.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TaskRoom {
    tasks: usize,
    counted_at: Millis,
}

impl TaskRoom {
    /// Adds a step, this many tasks of which begin to wait.
    pub fn add_step(&mut self, tasks: usize) {
        self.tasks += STEP_TASKS + tasks;
    }

    /// Whether one repetition of a job fits. It does if there are no tasks.
    fn has_room_for(&self, job: &Job, limit: usize) -> bool {
        let steps = job.steps.len() * STEP_TASKS;
        let added = job.task_count() + steps;
        self.tasks == 0 || self.tasks.saturating_add(added) <= limit
    }
}

impl Scheduler {
    /// Whether the tasks of a new job fit. Those of a repeating job wait until
    /// they do.
    pub(super) fn has_room_for_tasks(&self, job: &Job) -> bool {
        let limit = self.config.max_waiting_tasks;
        job.repeats.is_some() || self.task_room.has_room_for(job, limit)
    }

    /// Whether the tasks of a repetition of a live job fit.
    pub(super) fn has_room_for_repetition(&self, job: JobId) -> bool {
        let limit = self.config.max_waiting_tasks / REPETITIONS_DIVISOR;
        let live = self.jobs.get(&job);
        live.is_some_and(|live| self.task_room.has_room_for(&live.job, limit))
    }

    /// Counts the tasks, if that was not done lately.
    pub(super) fn count_tasks(&mut self, now: Millis) {
        if now < self.task_room.counted_at + COUNT_INTERVAL {
            return;
        }
        self.task_room = TaskRoom { tasks: 0, counted_at: now };
        let steps = self.jobs.values().flat_map(|live| live.steps.values());
        for state in steps {
            self.task_room.add_step(state.waiting.len() + state.done.len());
        }
    }
}
