//! Data centres that operators cordon, and the checks that apply then.

use super::*;

impl World {
    /// Executors that alternate between two data centres.
    pub fn in_two_dcs(executors: usize) -> World {
        let mut world = World::new(executors);
        for (at, executor) in world.executors.iter_mut().enumerate() {
            executor.info.dc = dc_of(at).into();
        }
        world.list_all();
        world
    }

    /// Cordons or uncordons a data centre. All nodes that lead, or think that
    /// they do, are told at once.
    pub fn set_cordoned(&mut self, dc: &str, cordoned: bool) {
        let cordon = Cordon { dc: dc.into(), by: CordonSource::Platform };
        let revision = self.cordons.since() + 1;
        let cordons = self.cordons.clone();
        self.cordons = if cordoned {
            self.cordoned_at.entry(dc.into()).or_insert(self.now);
            cordons.with(cordon, revision)
        } else {
            self.cordoned_at.remove(dc);
            cordons.less(&cordon, revision)
        };
        self.scheduler.set_cordons(self.cordons.clone());
        for (former, _) in self.former.values_mut() {
            former.set_cordons(self.cordons.clone());
        }
        self.event(Event::Tick);
    }

    /// Checks a task that has started on an order that was not delayed. Orders
    /// that were in flight when the cordon came may still arrive.
    pub(super) fn check_cordon(&mut self, at: usize, task: TaskKey, run: u64) {
        let dc = &self.executors[at].info.dc;
        let Some(since) = self.cordoned_at.get(dc) else { return };
        if self.now > since + LATENCY {
            let line = format!(
                "{} ms: {task} run {run}: starts in {dc}, which is cordoned",
                self.now
            );
            self.violations.push(line);
        }
    }
}

/// The data centre of an executor of [`World::in_two_dcs`].
pub fn dc_of(executor: usize) -> &'static str {
    ["d", "e"][executor % 2]
}
