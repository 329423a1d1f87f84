/*!
The limit on what one placement round examines and starts.

The leader does nothing else during a round, so that a round over everything
that waits could outlast the leader's lease. A round that reaches the limit is
cut. The next rounds go on where it stopped: half of what a round may examine
belongs to the steps that come first in the order, and the rest to those that no
round has examined since the last one that was not cut. So steps that rank low
are examined in the end, whatever waits before them, and steps that rank high
are never put off.
*/

use std::collections::BTreeSet;

use crate::jobs::model::StepKey;
use crate::jobs::scheduler::PlacementStats;

/// The most that a round examines, in executors or runs: what takes a small
/// part of the leader's lease.
const MAX_EXAMINED: u64 = 2_000_000;
/// What a step costs by itself, in executors.
const STEP_COST: u64 = 64;
/// What the start of a run costs by itself, in executors: its state, its order
/// and its log line.
const START_COST: u64 = 256;

/// What to do with the next step of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Examine it.
    Examine,
    /// Leave it to a later round, since an earlier one has examined it.
    Skip,
    /// End the round.
    Cut,
}

/// The steps that the rounds since the last complete one have examined.
#[derive(Clone, Debug, Default)]
pub(super) struct ExaminedSteps(BTreeSet<StepKey>);

/// The budget of one round.
#[derive(Debug)]
pub(super) struct RoundBudget {
    at_begin: PlacementStats,
    examined: Vec<StepKey>,
    is_cut: bool,
}

impl RoundBudget {
    /// The budget of a round that begins with these totals.
    pub fn new(totals: PlacementStats) -> RoundBudget {
        RoundBudget { at_begin: totals, examined: Vec::new(), is_cut: false }
    }

    /// What to do with the next step, by the totals so far and the number of
    /// runs that the round has started.
    pub fn turn(
        &mut self,
        step: StepKey,
        earlier: &ExaminedSteps,
        totals: PlacementStats,
        started: usize,
    ) -> Turn {
        let looked = totals.since(&self.at_begin);
        let steps = self.examined.len() as u64;
        let by_themselves = steps * STEP_COST + started as u64 * START_COST;
        let spent = by_themselves + looked.executors + looked.runs;
        if spent >= MAX_EXAMINED {
            self.is_cut = true;
            return Turn::Cut;
        }
        if spent >= MAX_EXAMINED / 2 && earlier.0.contains(&step) {
            return Turn::Skip;
        }
        self.examined.push(step);
        Turn::Examine
    }

    /// Ends a round over all steps, or over the urgent ones only. Returns
    /// whether it was cut.
    pub fn end(self, full: bool, earlier: &mut ExaminedSteps) -> bool {
        if self.is_cut {
            earlier.0.extend(self.examined);
        } else if full {
            earlier.0.clear();
        }
        self.is_cut
    }
}
