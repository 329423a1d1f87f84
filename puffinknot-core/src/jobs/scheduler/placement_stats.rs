/*!
How many steps, executors and runs placement has examined.

If a long backlog makes the leader fall behind, this is the work that takes its
time. Totals are plain integers and are exported to the counters once per
round, so that the cost of counting is negligible.
*/

use crate::jobs::scheduler::Scheduler;

/// What placement has examined so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStats {
    /// The number of placement rounds that were due.
    pub rounds: u64,
    /// The number of those rounds that were deferred, because placement paused
    /// or many steps were waiting.
    pub deferred: u64,
    /// The number of steps considered.
    pub steps: u64,
    /// The number of executors considered, each time for one step or task.
    pub executors: u64,
    /// The number of runs considered, to predict when capacity becomes free or
    /// to choose runs to preempt.
    pub runs: u64,
}

impl PlacementStats {
    /// The difference to an earlier reading.
    pub fn since(&self, earlier: &PlacementStats) -> PlacementStats {
        PlacementStats {
            rounds: self.rounds - earlier.rounds,
            deferred: self.deferred - earlier.deferred,
            steps: self.steps - earlier.steps,
            executors: self.executors - earlier.executors,
            runs: self.runs - earlier.runs,
        }
    }

    pub(super) fn add_executors(&mut self, count: usize) {
        self.executors += count as u64;
    }

    pub(super) fn add_runs(&mut self, count: usize) {
        self.runs += count as u64;
    }
}

impl Scheduler {
    /// What placement has examined so far.
    pub fn placement_stats(&self) -> PlacementStats {
        self.placement_stats
    }

    /// Copies the totals to the counters.
    pub(super) fn export_placement_stats(&mut self) {
        let PlacementStats { rounds, deferred, steps, executors, runs } =
            self.placement_stats;
        let totals = [
            ("place_rounds", rounds),
            ("place_rounds_put_off", deferred),
            ("place_steps", steps),
            ("place_executors", executors),
            ("place_runs", runs),
        ];
        self.counters.extend(totals);
    }
}
