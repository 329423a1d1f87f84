/*!
Failures that the executors of a data centre share.

When a data centre is partitioned from the leader, many executors become
unreachable at once. If each of them were detected by an unanswered order of
its own, the state of one task per executor would be unknown until the
partition heals. Therefore two executors that leave orders unanswered, with no
answer from their data centre in between, make the whole data centre suspected:
nothing new is started there until one of its executors answers.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::executor::Executor;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::scheduler::Scheduler;

/// A data centre is suspected once this many of its executors are
/// unresponsive. A single one may have crashed, or an order to it may have
/// been lost.
const SUSPECT_THRESHOLD: usize = 2;

/// The state of one data centre.
#[derive(Clone, Debug, Default)]
struct DataCentre {
    /// The executors that have left an order unanswered since any executor of
    /// the data centre answered last.
    unresponsive: BTreeSet<ExecutorIndex>,
    suspected: bool,
}

/// The state of all data centres.
#[derive(Debug, Default)]
pub(super) struct FailureDomains {
    by_dc: BTreeMap<String, DataCentre>,
}

impl FailureDomains {
    /// Records an answer from a data centre. Returns whether the data centre
    /// was suspected.
    fn clear_suspicion(&mut self, dc: &str) -> bool {
        let Some(data_centre) = self.by_dc.get_mut(dc) else { return false };
        data_centre.unresponsive.clear();
        std::mem::take(&mut data_centre.suspected)
    }

    /// Records that an executor has left an order unanswered. Returns whether
    /// this makes its data centre suspected.
    fn add_unresponsive(&mut self, dc: &str, index: ExecutorIndex) -> bool {
        let data_centre = self.by_dc.entry(dc.to_string()).or_default();
        data_centre.unresponsive.insert(index);
        let enough = data_centre.unresponsive.len() >= SUSPECT_THRESHOLD;
        enough && !std::mem::replace(&mut data_centre.suspected, true)
    }
}

impl Scheduler {
    /// Records that an executor has answered, which also clears its data
    /// centre of suspicion.
    pub(super) fn mark_responsive(&mut self, index: ExecutorIndex) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.unanswered_since = None;
        executor.connection_lost = false;
        if std::mem::take(&mut executor.unresponsive) {
            self.needs_placement = true;
        }
        if self.failure_domains.clear_suspicion(&executor.info.dc) {
            let dc = executor.info.dc.clone();
            self.set_dc_suspected(&dc, false);
            self.count("dcs_trusted");
        }
    }

    /// Records that an executor has left an order unanswered. Nothing more is
    /// started there until it answers.
    pub(super) fn mark_unresponsive(
        &mut self,
        index: ExecutorIndex,
        now: Millis,
    ) {
        let by_dc = self.is_enabled(Mechanism::SuspectedDcs);
        let by_executor = self.is_enabled(Mechanism::UnresponsiveExecutors);
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.unresponsive = by_executor;
        executor.unanswered_since.get_or_insert(now);
        if by_dc
            && self.failure_domains.add_unresponsive(&executor.info.dc, index)
        {
            let dc = executor.info.dc.clone();
            self.set_dc_suspected(&dc, true);
            self.count("dcs_suspected");
        }
    }

    fn set_dc_suspected(&mut self, dc: &str, suspected: bool) {
        let in_dc = |executor: &&mut Executor| executor.info.dc == dc;
        for executor in self.executors.values_mut().filter(in_dc) {
            executor.dc_suspected = suspected;
        }
        self.needs_placement = true;
    }
}
