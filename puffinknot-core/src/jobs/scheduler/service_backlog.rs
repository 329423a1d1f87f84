/*!
The work that waits for one service, as admission looks at it: by queue, by
account, and by whether it can be in time, late but useful, or neither.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::backlog::{Backlog, ServiceCapacity, Work};
use crate::jobs::message::AccountIndex;
use crate::jobs::model::Job;
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::ranking::{PriorityClass, Rank, Timeliness};
use crate::jobs::start_backlog::StartBacklog;

/// A job is useful until this many times its objective has passed.
const USEFUL_OBJECTIVES: Millis = 3;
/// Sort keys are rounded to this, so that the backlog has few entries.
const RANK_GRAIN: Millis = 100;

/// A rank, rounded to [`RANK_GRAIN`].
pub(super) type RankKey = (PriorityClass, Timeliness, Millis);

pub(super) fn rank_key(rank: &Rank) -> RankKey {
    (rank.class, rank.timeliness, rank.sort_key / RANK_GRAIN)
}

/// Until when a job is useful.
pub(super) fn useful_until(live: &LiveJob) -> Millis {
    let objective = live.deadline.saturating_sub(live.arrived_at);
    live.arrived_at + USEFUL_OBJECTIVES * objective
}

/// The waiting work of one queue, of one account or of all.
#[derive(Clone, Debug, Default)]
pub(super) struct ByTimeliness {
    /// What can be in time.
    pub in_time: StartBacklog,
    /// What can be useful but not in time.
    pub late: StartBacklog,
}

pub(super) static NO_WORK: ByTimeliness =
    ByTimeliness { in_time: StartBacklog::EMPTY, late: StartBacklog::EMPTY };

/// The work that waits for one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceBacklog {
    pub all: Backlog<RankKey>,
    /// By queue and account, and by queue for all accounts.
    pub by_queue: BTreeMap<(String, Option<AccountIndex>), ByTimeliness>,
    /// The capacity for urgent jobs and gangs, which may preempt other runs.
    pub with_preemption: ServiceCapacity,
}

impl ServiceBacklog {
    pub fn new(
        capacity: ServiceCapacity,
        with_preemption: ServiceCapacity,
    ) -> ServiceBacklog {
        let by_queue = BTreeMap::new();
        ServiceBacklog {
            all: Backlog::new(capacity),
            by_queue,
            with_preemption,
        }
    }

    /// The capacity for a new job.
    pub fn capacity_for(&self, job: &Job, urgent: bool) -> &ServiceCapacity {
        let preempts = urgent || job.steps.iter().any(|step| step.gang);
        match preempts {
            true => &self.with_preemption,
            false => self.all.capacity(),
        }
    }

    /// Adds work that waits. If it is late, it has to start by
    /// `latest_useful_start`.
    pub fn add(
        &mut self,
        live: &LiveJob,
        rank: &Rank,
        work: &Work,
        latest_useful_start: Millis,
    ) {
        let queue = &live.job.queue;
        let urgent = rank.is_urgent().then(|| rank_key(rank));
        self.all.add(live.account, queue, work, urgent);
        if rank.timeliness == Timeliness::Late {
            let late = |waiting: &mut ByTimeliness| {
                waiting.late.add(latest_useful_start, work);
            };
            self.for_owners(live, late);
        }
        self.add_unreleased(live, rank, work);
    }

    /// Adds work of a step that waits for another one. If it can be in time,
    /// it goes before work that may start later.
    pub fn add_unreleased(
        &mut self,
        live: &LiveJob,
        rank: &Rank,
        work: &Work,
    ) {
        if rank.timeliness == Timeliness::InTime {
            let in_time = |waiting: &mut ByTimeliness| {
                waiting.in_time.add(rank.sort_key, work);
            };
            self.for_owners(live, in_time);
        }
    }

    /// Changes the work of a job's queue, of all accounts and of its own.
    fn for_owners(
        &mut self,
        live: &LiveJob,
        change: impl Fn(&mut ByTimeliness),
    ) {
        for account in BTreeSet::from([None, live.account]) {
            let key = (live.job.queue.clone(), account);
            change(self.by_queue.entry(key).or_default());
        }
    }
}
