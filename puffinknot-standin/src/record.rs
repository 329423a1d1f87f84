//! The record of every run, from which doubled and lost work is counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What an executor did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExecutorRecord {
    /// How often each call was run, by its key or, without one, by the name
    /// the caller gave it.
    pub runs: BTreeMap<String, u32>,
    /// Calls that must not be repeated, and how often each was run.
    pub keyed_runs: BTreeMap<String, u32>,
    /// How often a call was taken while every slot was used.
    pub overcommitted: u64,
    /// Calls refused because of their epoch.
    pub stale: u64,
    /// Calls refused for want of a slot.
    pub full: u64,
    /// Calls taken after the executor was told to leave.
    pub after_leaving: u64,
}

/// A run of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: String,
    /// When it was started, in milliseconds since 1970.
    pub from: u64,
    /// When it ended; `None` if it runs.
    pub until: Option<u64>,
    /// How it ended: `done`, `stopped` or `lapsed`.
    pub how: String,
}

/// What a worker did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Its name.
    pub id: String,
    /// Its runs, in the order of their starts.
    pub runs: Vec<TaskRun>,
    /// How often more was started than it has room for.
    pub overcommitted: u64,
    /// Messages refused because of their epoch.
    pub stale: u64,
}

/// The number of pairs of runs of one task that overlap, over all workers.
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
