//! The states of jobs and workers, as shown to operators.

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::{TargetId, TaskId};

use super::{JobState, Placer, Worker};

/// The state of a job.
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
    /// The number of its tasks that are assigned to a worker.
    pub running: u32,
    /// The number of its tasks that wait.
    pub waiting: u32,
    /// The number of its tasks that are done.
    pub done: u32,
    /// The number of its tasks that may have run and are not repeated.
    pub unknown: u32,
}

/// The state of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Its name.
    pub id: TargetId,
    /// Its rack.
    pub rack: String,
    /// Whether it replies to syncs in this term and accepts work.
    pub ready: bool,
    /// Its resources, less those reserved for legacy scripts.
    pub capacity: Resources,
    /// The part of `capacity` that is neither allocated nor reserved.
    pub free: Resources,
    /// The tasks that are assigned to it.
    pub tasks: Vec<TaskId>,
}

impl Placer {
    /// The number of tasks that are assigned to a worker.
    pub fn placed_count(&self) -> usize {
        self.worker_of_task.len()
    }

    /// The number of tasks that wait.
    pub fn waiting_count(&self) -> usize {
        let waiting = |name| self.jobs.get(name).map_or(0, count_waiting);
        self.waiting_jobs.iter().map(waiting).sum()
    }

    /// The state of each job.
    pub fn jobs(&self) -> Vec<JobView> {
        let mut placed: BTreeMap<&str, u32> = BTreeMap::new();
        for id in self.worker_of_task.keys() {
            *placed.entry(id.job()).or_default() += 1;
        }
        let view = |(name, state): (&String, &JobState)| {
            let progress = self.progress.jobs.get(name);
            let current = progress.filter(|job| job.spec == state.spec);
            JobView {
                name: name.clone(),
                team: state.job.team.clone(),
                service: state.service,
                tasks: state.job.tasks,
                running: placed.get(name.as_str()).copied().unwrap_or(0),
                waiting: state.waiting.len() as u32,
                done: current.map_or(0, |job| job.done.len()),
                unknown: state.unknown.len() as u32,
            }
        };
        self.jobs.iter().map(view).collect()
    }

    /// The state of each worker.
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

fn count_waiting(job: &JobState) -> usize {
    job.waiting.len()
}
