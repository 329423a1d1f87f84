/*!
The one order in which steps are looked at, wherever they compete.

Urgent queues come first, then those whose objective can still be met, by when
it ends; what is beyond its account's due comes behind all else.
*/

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::Scheduler;

/// What a step competes with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Its queue is urgent.
    Urgent,
    /// It may wait.
    Patient,
    /// It is beyond what is its account's.
    BeyondDue,
}

/// The place of a step in the order; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub class: Class,
    /// Its objective can't be met any more.
    pub late: bool,
    /// What it is ordered by among its like, in milliseconds.
    pub by: Millis,
    /// The order in which jobs came.
    pub arrival: u64,
}

impl Rank {
    /// Whether it goes before all that may wait.
    pub fn urgent(&self) -> bool {
        self.class == Class::Urgent
    }
}

impl Scheduler {
    /// The place of a step in the order, if its job is live.
    pub(super) fn rank(&self, key: StepKey, now: Millis) -> Option<Rank> {
        let live = self.jobs.get(&key.job)?;
        let class = match (live.beyond_due, live.queue.priority) {
            (true, _) => Class::BeyondDue,
            (false, 0) => Class::Urgent,
            (false, _) => Class::Patient,
        };
        let arrival = live.arrival;
        if !self.has(Mechanism::OrderByObjective) {
            return Some(Rank { class, late: false, by: 0, arrival });
        }
        let late = live.deadline < now;
        Some(Rank { class, late, by: live.deadline, arrival })
    }
}
