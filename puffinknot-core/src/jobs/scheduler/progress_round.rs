/*!
Rounds of writing the progress of jobs.

All progress that waits may be larger than a value of the store, and is then
written in several commits. An executor may be told that an end is known once
the progress of its job is written. So the ends that were received when a round
began are acknowledged together when it is over: when the progress of all jobs
that had any is written. What comes meanwhile belongs to the next round.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::JobId;

/// The last end on each executor that may be acknowledged.
pub(super) type LastEnds = BTreeMap<ExecutorIndex, u64>;

/// A round of writing progress.
#[derive(Debug, Default)]
pub(super) struct ProgressRound {
    /// The jobs whose progress has to be written yet.
    jobs: BTreeSet<JobId>,
    ends: LastEnds,
}

impl ProgressRound {
    /// Whether all its progress is in a commit.
    pub fn is_over(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Begins a round after one that is over.
    pub fn begin(&mut self, jobs: BTreeSet<JobId>, ends: LastEnds) {
        *self = ProgressRound { jobs, ends };
    }

    /// The jobs whose progress has to be written yet.
    pub fn jobs(&self) -> &BTreeSet<JobId> {
        &self.jobs
    }

    /// Records that a commit holds the progress or the end of a job.
    pub fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Takes the ends that the commit at the end of the round acknowledges;
    /// none before that.
    pub fn take_ends(&mut self) -> LastEnds {
        match self.is_over() {
            true => std::mem::take(&mut self.ends),
            false => LastEnds::new(),
        }
    }
}
