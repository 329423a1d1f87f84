/*!
The durable progress of batch jobs: which tasks are done, and which tasks that
must not be repeated may have been started.

The progress of all jobs of a data centre is one value in the platform's
key-value service, so that one write stores many changes.
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::TaskId;

/// A set of indexes, stored as ranges.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IndexSet {
    /// Sorted inclusive ranges, of which no two overlap or adjoin.
    ranges: Vec<(u32, u32)>,
}

impl IndexSet {
    /// Whether the index is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let after = self.ranges.partition_point(|r| r.0 <= index);
        after > 0 && index <= self.ranges[after - 1].1
    }

    /// Adds an index. Returns whether it is new.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let after = self.ranges.partition_point(|r| r.0 <= index);
        let joins_left = after > 0 && self.ranges[after - 1].1 + 1 == index;
        let joins_right =
            after < self.ranges.len() && self.ranges[after].0 == index + 1;
        match (joins_left, joins_right) {
            (true, true) => {
                self.ranges[after - 1].1 = self.ranges[after].1;
                self.ranges.remove(after);
            }
            (true, false) => self.ranges[after - 1].1 = index,
            (false, true) => self.ranges[after].0 = index,
            (false, false) => self.ranges.insert(after, (index, index)),
        }
        true
    }

    /// The number of indexes.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|r| r.1 - r.0 + 1).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    fn merge(&mut self, other: &IndexSet) {
        for &(first, last) in &other.ranges {
            for index in first..=last {
                self.insert(index);
            }
        }
    }
}

/// The progress of one job.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct JobProgress {
    /// The hash of the job's specification. When it changes, the job starts
    /// over.
    pub spec: u64,
    /// Tasks that are done.
    pub done: IndexSet,
    /// Tasks that must not be repeated and may have been started.
    #[serde(default)]
    pub started: IndexSet,
}

/// The progress of the jobs of one data centre.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct Progress {
    /// The progress of each job, by name.
    pub jobs: BTreeMap<String, JobProgress>,
}

impl Progress {
    /// Whether the task is done.
    pub fn is_done(&self, task: &TaskId, spec: u64) -> bool {
        self.job(task, spec).is_some_and(|job| job.done.contains(task.index()))
    }

    /// Whether the task may have been started.
    pub fn is_started(&self, task: &TaskId, spec: u64) -> bool {
        self.job(task, spec)
            .is_some_and(|job| job.started.contains(task.index()))
    }

    fn job(&self, task: &TaskId, spec: u64) -> Option<&JobProgress> {
        self.jobs.get(task.job()).filter(|job| job.spec == spec)
    }

    fn job_mut(&mut self, task: &TaskId, spec: u64) -> &mut JobProgress {
        let job = self.jobs.entry(task.job().to_string()).or_default();
        if job.spec != spec {
            *job = JobProgress { spec, ..JobProgress::default() };
        }
        job
    }

    /// Records that the task is done. Returns whether it was not yet recorded.
    pub fn set_done(&mut self, task: &TaskId, spec: u64) -> bool {
        self.job_mut(task, spec).done.insert(task.index())
    }

    /// Records that the task may have been started. Returns whether it was not
    /// yet recorded.
    pub fn set_started(&mut self, task: &TaskId, spec: u64) -> bool {
        self.job_mut(task, spec).started.insert(task.index())
    }

    /// Adds the progress that another holder has recorded. If the two have
    /// different specifications of a job, `self` prevails if it has the one
    /// that `current` returns, and otherwise `other` does.
    pub fn merge(
        &mut self,
        other: &Progress,
        current: impl Fn(&str) -> Option<u64>,
    ) {
        for (name, theirs) in &other.jobs {
            let ours = self.jobs.entry(name.clone()).or_default();
            if ours.spec == theirs.spec {
                ours.done.merge(&theirs.done);
                ours.started.merge(&theirs.started);
            } else if current(name) != Some(ours.spec) {
                *ours = theirs.clone();
            }
        }
    }
}
