//! How jobs and workers are doing, for operators.

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::{TargetId, TaskId};

use super::{JobState, Placer, Worker};

/// How a job is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// Its name.
    pub name: String,
    /// Its team.
    pub team: String,
    /// Whether it is a service.
    pub service: bool,
    /// The number of its tasks.
    pub tasks: u32,
    /// How many run.
    pub running: u32,
    /// How many wait.
    pub waiting: u32,
    /// How many are done.
    pub done: u32,
    /// How many may have run and are not repeated.
    pub unknown: u32,
}

/// How a worker is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Its name.
    pub id: TargetId,
    /// Its rack.
    pub rack: String,
    /// Whether it answers under this tenure.
    pub ready: bool,
    /// What it has, less the room for the old scripts.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// The tasks on it.
    pub tasks: Vec<TaskId>,
}

impl Placer {
    /// The number of tasks that have a place.
    pub fn placed_count(&self) -> usize {
        self.worker_of_task.len()
    }

    /// The number of tasks that wait.
    pub fn waiting_count(&self) -> usize {
        let waiting = |name| self.jobs.get(name).map_or(0, waiting_tasks);
        self.waiting_jobs.iter().map(waiting).sum()
    }

    /// How each job is doing.
    pub fn jobs(&self) -> Vec<JobView> {
        let mut placed: BTreeMap<&str, u32> = BTreeMap::new();
        for id in self.worker_of_task.keys() {
            *placed.entry(id.job()).or_default() += 1;
        }
        let view = |(name, state): (&String, &JobState)| {
            let kept = self.progress.jobs.get(name);
            let done = kept.filter(|kept| kept.spec == state.spec);
            JobView {
                name: name.clone(),
                team: state.job.team.clone(),
                service: state.service,
                tasks: state.job.tasks,
                running: placed.get(name.as_str()).copied().unwrap_or(0),
                waiting: state.waiting.len() as u32,
                done: done.map_or(0, |done| done.done.len()),
                unknown: state.unknown.len() as u32,
            }
        };
        self.jobs.iter().map(view).collect()
    }

    /// How each worker is doing.
    pub fn workers(&self) -> Vec<WorkerView> {
        let view = |(id, state): (&TargetId, &Worker)| WorkerView {
            id: id.clone(),
            rack: state.info.rack.clone(),
            ready: state.accepts_work(),
            capacity: state.capacity,
            free: state.free,
            tasks: state.tasks.keys().cloned().collect(),
        };
        self.workers.iter().map(view).collect()
    }
}

fn waiting_tasks(job: &JobState) -> usize {
    job.waiting.len()
}
