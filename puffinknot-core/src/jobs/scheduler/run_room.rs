/*!
Room for runs in progress.

However little a task asks for, its run takes memory of the leader and of its
successors, and a line in each report of its executor. So the number of runs in
progress is limited. A part of the room is left to jobs of which nothing runs,
so that the many tasks of one job do not keep the first tasks of others from
starting.

A gang starts whole. From when it lacks room until it starts, the tasks of
other steps that are not urgent may take none, except for the first tasks of
jobs, or it would wait for as long as others do. A gang that can never have
room is refused when it is submitted.
*/

use crate::jobs::executor::Executor;
use crate::jobs::model::{Job, StepKey};
use crate::jobs::scheduler::Scheduler;

/// This part of the room is left to jobs of which nothing runs.
const FIRST_RUNS_DIVISOR: usize = 4;

/// Tasks that are to start together: one, or those of a gang.
#[derive(Clone, Copy, Debug)]
pub(super) struct Starts {
    pub step: StepKey,
    pub tasks: usize,
    /// Whether nothing of the job runs.
    pub first: bool,
    /// Whether the step is urgent.
    pub urgent: bool,
}

/// The number of runs that may still start in a placement round.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunRoom {
    left: usize,
    /// The number of runs that the round has started.
    started: usize,
    /// What is left to jobs of which nothing runs.
    for_first: usize,
    /// The gang that has lacked room since an earlier round.
    waiting_gang: Option<StepKey>,
    /// The first gang that lacks room in this round.
    lacking: Option<StepKey>,
}

impl RunRoom {
    /// The room beside runs that are in progress.
    fn new(limit: usize, runs: usize) -> RunRoom {
        RunRoom {
            left: limit.saturating_sub(runs),
            for_first: limit / FIRST_RUNS_DIVISOR,
            ..RunRoom::default()
        }
    }

    /// Whether there is room for these tasks.
    pub fn admits(&self, starts: &Starts) -> bool {
        let Starts { step, tasks, first, urgent } = *starts;
        // A gang leaves room for the first tasks of other jobs.
        let fits_first = tasks <= 1 || tasks <= self.left / 2;
        let is_kept_out =
            !urgent && self.waiting_gang.is_some_and(|gang| gang != step);
        let fits = !is_kept_out && tasks + self.for_first <= self.left;
        tasks <= self.left && (fits || first && fits_first)
    }

    /// Records that a run was started.
    pub fn take(&mut self) {
        self.left = self.left.saturating_sub(1);
        self.started += 1;
    }

    /// The number of runs that the round has started.
    pub fn started(&self) -> usize {
        self.started
    }

    /// Records that a gang lacks room.
    pub fn gang_lacks_room(&mut self, gang: StepKey) {
        self.lacking.get_or_insert(gang);
    }
}

impl Scheduler {
    /// Determines the room for a placement round, over all steps if `full`.
    pub(super) fn update_run_room(&mut self, full: bool) {
        let runs = |executor: &Executor| executor.runs.len();
        let runs = self.executors.values().map(runs).sum();
        let waiting_gang = self.run_room.lacking;
        self.run_room = RunRoom {
            waiting_gang,
            // Other rounds may not get to the gang.
            lacking: waiting_gang.filter(|_| !full),
            ..RunRoom::new(self.config.max_runs, runs)
        };
    }

    /// Whether a job has a gang that could not start even if nothing else ran.
    pub(super) fn has_too_wide_gang(&self, job: &Job) -> bool {
        let room = RunRoom::new(self.config.max_runs, 0);
        (0..).zip(&job.steps).any(|(number, step)| {
            let step_key = StepKey { job: job.id, time: 0, step: number };
            let starts = Starts {
                step: step_key,
                tasks: step.count as usize,
                first: false,
                urgent: false,
            };
            step.gang && !room.admits(&starts)
        })
    }
}
