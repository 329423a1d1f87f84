/*!
Failures that executors of one data centre share.

A data centre that is cut off takes many executors with it. If each of them
had to be found out by its own unanswered order, each order would leave a
task in doubt until the cut is over. So two that leave orders unanswered,
while nothing else of their data centre is heard, put all of it under
suspicion: nothing new is started there until one of its executors answers.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::executor::Executor;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::scheduler::Scheduler;

/// So many executors of a data centre have to be in doubt. A single one may
/// have crashed, or an order of it was lost.
const SUSPICIOUS: usize = 2;

/// What is known of one data centre.
#[derive(Clone, Debug, Default)]
struct Domain {
    /// Its executors that have left an order unanswered since any of it was
    /// heard.
    doubted: BTreeSet<ExecutorIndex>,
    suspected: bool,
}

/// What is known of the data centres.
#[derive(Debug, Default)]
pub(super) struct FailureDomains {
    by_dc: BTreeMap<String, Domain>,
}

impl FailureDomains {
    /// An executor has answered. Returns whether its data centre was under
    /// suspicion.
    fn heard(&mut self, dc: &str) -> bool {
        let Some(domain) = self.by_dc.get_mut(dc) else { return false };
        domain.doubted.clear();
        std::mem::take(&mut domain.suspected)
    }

    /// An executor has left an order unanswered. Returns whether its data
    /// centre comes under suspicion by that.
    fn doubted(&mut self, dc: &str, index: ExecutorIndex) -> bool {
        let domain = self.by_dc.entry(dc.to_string()).or_default();
        domain.doubted.insert(index);
        let enough = domain.doubted.len() >= SUSPICIOUS;
        enough && !std::mem::replace(&mut domain.suspected, true)
    }
}

impl Scheduler {
    /// An executor has answered an order.
    pub(super) fn mark_responsive(&mut self, index: ExecutorIndex) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.unanswered_since = None;
        executor.connection_lost = false;
        if std::mem::take(&mut executor.unresponsive) {
            self.needs_placement = true;
        }
        if self.failure_domains.heard(&executor.info.dc) {
            let dc = executor.info.dc.clone();
            self.suspect_dc(&dc, false);
            self.count("dcs_trusted");
        }
    }

    /// An executor has left an order unanswered: nothing more is started
    /// there until it answers.
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
        if by_dc && self.failure_domains.doubted(&executor.info.dc, index) {
            let dc = executor.info.dc.clone();
            self.suspect_dc(&dc, true);
            self.count("dcs_suspected");
        }
    }

    fn suspect_dc(&mut self, dc: &str, suspected: bool) {
        let there = |executor: &&mut Executor| executor.info.dc == dc;
        for executor in self.executors.values_mut().filter(there) {
            executor.dc_suspected = suspected;
        }
        self.needs_placement = true;
    }
}
