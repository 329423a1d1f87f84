//! Data centres that operators empty, and what must hold then.

use super::*;

impl World {
    /// Executors that lie in two data centres by turns.
    pub fn in_two_dcs(executors: usize) -> World {
        let mut world = World::new(executors);
        for (at, executor) in world.executors.iter_mut().enumerate() {
            executor.info.dc = dc_of(at).into();
        }
        world.tell_all();
        world
    }

    /// A data centre takes no new work from now on, or does again. All nodes
    /// that lead, or think so, are told at once.
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

    /// A task has begun on an order that was not held up. Those that were
    /// under way when the cordon came may arrive yet.
    pub(super) fn check_cordon(&mut self, at: usize, task: TaskKey, run: u64) {
        let dc = &self.executors[at].info.dc;
        let Some(since) = self.cordoned_at.get(dc) else { return };
        if self.now > since + WAY {
            let line = format!(
                "{} ms: {task} run {run}: starts in {dc}, which is emptied",
                self.now
            );
            self.broken.push(line);
        }
    }
}

/// The data centre of an executor of [`World::in_two_dcs`].
pub fn dc_of(executor: usize) -> &'static str {
    ["d", "e"][executor % 2]
}
