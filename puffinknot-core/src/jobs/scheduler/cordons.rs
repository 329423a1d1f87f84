/*!
Data centres that accept no new work, see [`crate::jobs::cordon`].

Running tasks go on. A start that was unanswered when the cordon began may have
been carried out. Its executor is asked, as for any other unanswered start, and
the task is placed elsewhere only if the executor denies it. A step that no
longer fits waits: a cordon ends, but nobody knows when, so no accepted work is
given up because of it.
*/

use crate::jobs::cordon::Cordons;
use crate::jobs::executor::Executor;
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Sets which data centres accept no new work, unless this set or a newer
    /// one is known.
    pub fn set_cordons(&mut self, cordons: Cordons) {
        if cordons.since() <= self.cordons.since() {
            return;
        }
        let covers = |executor: &Executor| cordons.covers(&executor.info.dc);
        let freed = |e: &Executor| e.cordoned && !covers(e);
        self.needs_placement |= self.executors.values().any(freed);
        self.executors.update_cordons(covers);
        self.cordons = cordons;
        self.count("cordons_changed");
    }

    /// Returns whether all executors of a service are cordoned, so that nobody
    /// can say when a new job would start.
    pub(super) fn is_service_cordoned(&self, service: &str) -> bool {
        if self.cordons.is_empty() || !self.entries_read {
            return false;
        }
        let all = self.executors.values();
        let mut of_service = all.filter(|e| e.info.service == service);
        let mut any = false;
        let all_cordoned = of_service.all(|executor| {
            any = true;
            executor.cordoned
        });
        any && all_cordoned
    }
}
