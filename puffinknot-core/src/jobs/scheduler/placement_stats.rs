/*!
How much the placing of tasks looks through.

It is what a leader that falls behind spends its time on, as far as what waits
is to blame. Totals are kept in integers and told to the counters once in a
round, so that counting costs nothing beside the looks.
*/

use crate::jobs::scheduler::Scheduler;

/// What the placing has looked through so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementStats {
    /// Times that placing was due.
    pub rounds: u64,
    /// Those of them that were put off, while placing rested or for a crowd.
    pub deferred: u64,
    /// Steps.
    pub steps: u64,
    /// Executors, once for each look at one for a step.
    pub executors: u64,
    /// Runs, in looks for when room comes free or who gives way.
    pub runs: u64,
}

impl PlacementStats {
    /// What was looked through since an earlier time.
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
    /// How much the placing of tasks has looked through.
    pub fn placement_stats(&self) -> PlacementStats {
        self.placement_stats
    }

    /// Takes over the totals into the counters.
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
