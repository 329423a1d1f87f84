/*!
The runs of the tasks of a step.

A gang may have thousands of members, and each that starts, is found running or
ends raises questions about all of them. They are answered from counts.
*/

use std::collections::BTreeMap;
use std::ops::Deref;

use crate::jobs::message::ExecutorIndex;

/// The executor and the run of each placed task.
type ByTask = BTreeMap<u32, (ExecutorIndex, u64)>;

/// The placed tasks of a step. Dereferences to a map by task.
#[derive(Clone, Debug, Default)]
pub(super) struct Placements {
    by_task: ByTask,
    /// For a gang only.
    members: Option<Box<Members>>,
}

/// The number of placed members of a gang.
#[derive(Clone, Debug, Default)]
struct Members {
    by_executor: BTreeMap<ExecutorIndex, u32>,
    by_run: BTreeMap<u64, u32>,
}

impl Members {
    fn add(&mut self, (at, run): (ExecutorIndex, u64)) {
        *self.by_executor.entry(at).or_default() += 1;
        *self.by_run.entry(run).or_default() += 1;
    }

    fn remove(&mut self, (at, run): (ExecutorIndex, u64)) {
        subtract_one(&mut self.by_executor, at);
        subtract_one(&mut self.by_run, run);
    }
}

fn subtract_one<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}

impl Deref for Placements {
    type Target = ByTask;

    fn deref(&self) -> &ByTask {
        &self.by_task
    }
}

impl Placements {
    /// No placements, of a gang or of other tasks.
    pub fn new(gang: bool) -> Placements {
        let members = gang.then(Box::default);
        Placements { by_task: ByTask::new(), members }
    }

    /// Places a task, in place of an earlier run.
    pub fn insert(&mut self, task: u32, place: (ExecutorIndex, u64)) {
        let before = self.by_task.insert(task, place);
        if let Some(members) = &mut self.members {
            members.add(place);
            if let Some(before) = before {
                members.remove(before);
            }
        }
    }

    /// Removes the run of a task.
    pub fn remove(&mut self, task: u32) {
        let removed = self.by_task.remove(&task);
        if let (Some(members), Some(place)) = (&mut self.members, removed) {
            members.remove(place);
        }
    }

    /// Removes and returns all placements.
    pub fn take(&mut self) -> ByTask {
        self.members = self.members.as_ref().map(|_| Box::default());
        std::mem::take(&mut self.by_task)
    }

    /// The executors on which members of a gang are placed; none for other
    /// tasks.
    pub fn gang_executors(&self) -> impl Iterator<Item = ExecutorIndex> + '_ {
        let members = self.members.iter();
        members.flat_map(|members| members.by_executor.keys().copied())
    }

    /// Whether a member of a gang is placed that belongs to another run.
    pub fn has_other_run(&self, run: u64) -> bool {
        self.members.as_ref().is_some_and(|members| {
            members.by_run.keys().any(|placed| *placed != run)
        })
    }
}
