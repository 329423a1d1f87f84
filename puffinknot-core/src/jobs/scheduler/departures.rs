/*!
What runs on executors that are about to leave.

An executor that gives notice says how much longer it stays; what runs there
dies when it goes. Nobody is told of that: the tasks may be started elsewhere
only once their lease has lapsed, or the executor's life is known to be over.
So what should not end in time is stopped before. A stop is confirmed, so that
the task, or its whole gang, may be started elsewhere at once.

What saves its progress goes on for as long as a stop leaves time, since it
loses nothing by that. What does not is stopped as soon as it is clear that it
won't end: all that it still does is lost.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::executor::{Phase, PlacedRun};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, ExecutorIndex};
use crate::jobs::model::{Step, TaskKey};
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::Scheduler;

/// A stop is ordered at the latest so long before the executor leaves, in
/// milliseconds: an order is waited for a third of a second, and a stop takes
/// a second at most.
const STOPPED_WITHIN: Millis = 1_300;
/// What should take half as long again as the executor stays, or more, won't
/// end there: its guess would have to be off by that much, and if it does,
/// less is saved than is lost otherwise.
const HOPELESS: f64 = 1.5;

/// The executors that have given notice, and until when they surely stay.
#[derive(Debug, Default)]
pub(super) struct Departures(BTreeMap<ExecutorIndex, Millis>);

impl Scheduler {
    /// Takes in what an executor's entry says of its leaving.
    pub(super) fn record_departure(&mut self, id: &str, now: Millis) {
        let Some(index) = self.by_id.get(id).copied() else { return };
        let Some(executor) = self.executors.get(&index) else { return };
        let info = &executor.info;
        let Some(left) = info.remaining.filter(|_| info.draining) else {
            self.departures.0.remove(&index);
            return;
        };
        // The entry may be read again, and be older then.
        let leaves = self.departures.0.entry(index).or_insert(now + left);
        *leaves = (*leaves).min(now + left);
    }

    /// Stops what would die on executors that leave.
    pub(super) fn stop_runs_on_departing(&mut self, now: Millis) {
        if !self.is_enabled(Mechanism::Leaving) {
            return;
        }
        let notices: Vec<(ExecutorIndex, Millis)> = self
            .departures
            .0
            .iter()
            .map(|(at, leaves)| (*at, *leaves))
            .collect();
        for (index, leaves) in notices {
            let executor = self.executors.get(&index);
            let Some(executor) =
                executor.filter(|e| e.incarnation_end.is_none())
            else {
                self.departures.0.remove(&index);
                continue;
            };
            let id = executor.info.id.clone();
            let runs = executor.runs.iter();
            let doomed = runs
                .filter(|(task, on)| self.must_stop(**task, on, leaves, now));
            let doomed: Vec<(TaskKey, u64)> =
                doomed.map(|(task, on)| (*task, on.run)).collect();
            if doomed.is_empty() {
                continue;
            }
            self.actions.push(Action::RunsEvicted {
                executor: id,
                left: leaves.saturating_sub(now),
                runs: doomed.len() as u32,
            });
            for (task, run) in doomed {
                self.relocate_run(index, task, run);
            }
        }
    }

    /// Whether a run is to be stopped now on an executor that leaves then.
    fn must_stop(
        &self,
        task: TaskKey,
        on: &PlacedRun,
        leaves: Millis,
        now: Millis,
    ) -> bool {
        let Some(step) = self.step(task.step) else { return false };
        let Some(state) = self.step_state(task.step) else { return false };
        let place = state.placements.get(&task.index);
        let here = place.is_some_and(|(_, run)| *run == on.run);
        if !here || matches!(on.phase, Phase::Stopping(_)) {
            return false;
        }
        let ends = match step.lasting {
            true => Millis::MAX,
            false => expected_end(on, now),
        };
        ends > leaves
            && (now + STOPPED_WITHIN >= leaves
                || is_hopeless(step, ends - now, leaves - now))
    }

    /// Stops a run, or its gang, so that it starts elsewhere.
    fn relocate_run(&mut self, at: ExecutorIndex, task: TaskKey, run: u64) {
        self.count("runs_moved_from_leaving");
        match self.step(task.step).is_some_and(|step| step.gang) {
            true => self.stop_gang(task.step),
            false => self.stop(at, task, run),
        }
    }
}

/// Whether a run that should take so much longer is to be given up on an
/// executor that stays for so long, in milliseconds.
fn is_hopeless(step: &Step, takes: Millis, stays: Millis) -> bool {
    let saves = step.checkpoints || step.lasting;
    !saves && takes as f64 >= stays as f64 * HOPELESS
}
