//! Records of every run, from which duplicate and lost runs are counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The record of an executor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutorRecord {
    /// The number of runs of each call, by its key or, without one, by the
    /// name that the caller gave it.
    pub runs: BTreeMap<String, u32>,
    /// The number of runs of each call with a key, which must not be
    /// repeated.
    pub keyed_runs: BTreeMap<String, u32>,
    /// Calls that arrived while every slot was in use.
    pub overcommitted: u64,
    /// Calls refused because their epoch was not the highest.
    pub stale: u64,
    /// Calls refused because no slot was free.
    pub full: u64,
    /// Calls accepted after the executor was told to leave.
    pub after_leaving: u64,
}

/// A run of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: String,
    /// When it was started, in milliseconds since 1970.
    pub from: u64,
    /// When it ended, in milliseconds since 1970; `None` while it runs.
    pub until: Option<u64>,
    /// How it ended: `done`, `stopped` or `lapsed`.
    pub how: String,
}

/// The record of a worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// The name of the worker.
    pub id: String,
    /// Its runs, in order of their starts.
    pub runs: Vec<TaskRun>,
    /// The number of starts that exceeded its capacity.
    pub overcommitted: u64,
    /// Messages refused because their epoch was not the highest.
    pub stale: u64,
}

/// The number of runs that overlap the next run of the same task, over all
/// workers.
pub fn overlapping(records: &[WorkerRecord]) -> usize {
    let mut by_task: BTreeMap<&str, Vec<&TaskRun>> = BTreeMap::new();
    for run in records.iter().flat_map(|record| &record.runs) {
        by_task.entry(&run.task).or_default().push(run);
    }
    by_task.values_mut().map(|runs| overlaps(runs)).sum()
}

fn overlaps(runs: &mut [&TaskRun]) -> usize {
    runs.sort_by_key(|run| run.from);
    let pair = |pair: &&[&TaskRun]| {
        let end = pair[0].until.unwrap_or(u64::MAX);
        end > pair[1].from
    };
    runs.windows(2).filter(pair).count()
}
