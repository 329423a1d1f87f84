/*!
Data centres that take no new work, see [`crate::jobs::cordon`].

What runs there runs on. Orders to start that were not answered when the
cordon came may have been carried out: their executor is asked, as for any
other unanswered order, and only what it denies is placed elsewhere. A step
that no longer fits waits: a cordon ends, and nobody can say when, so that
nothing which was accepted is given up for it.
*/

use crate::jobs::cordon::Cordons;
use crate::jobs::executor::Executor;
use crate::jobs::scheduler::Scheduler;

impl Scheduler {
    /// Takes in which data centres take no new work, unless something newer
    /// is known.
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

    /// Whether all executors of a service are where nothing new may start, so
    /// that nobody can say when a job would begin.
    pub(super) fn is_service_cordoned(&self, service: &str) -> bool {
        if self.cordons.is_empty() || !self.entries_read {
            return false;
        }
        let all = self.executors.values();
        let mut of_service = all.filter(|e| e.info.service == service);
        let mut any = false;
        let closed = of_service.all(|executor| {
            any = true;
            executor.cordoned
        });
        any && closed
    }
}
