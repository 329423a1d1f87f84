/*!
Stops runs on executors that are about to leave.

A departing executor announces how much longer it stays, and its runs die when
it goes. Nobody reports that: their tasks may be started elsewhere only once
their lease has expired or the executor's incarnation is known to have ended.
So runs that are not expected to end in time are stopped before. A stop is
confirmed, so the task, or its whole gang, may be started elsewhere at once.

A run that saves its progress goes on for as long as there is time to stop it,
since it loses nothing by that. One that doesn't is stopped as soon as it is
clear that it won't end in time: all that it does from then on is lost.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::executor::{PlacedRun, RunPhase};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, ExecutorIndex};
use crate::jobs::model::{Step, TaskKey};
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::Scheduler;

/// A stop is ordered this long before the executor leaves at the latest: the
/// answer to an order is awaited for a third of a second, and a stop takes at
/// most a second.
const STOP_LEAD_TIME: Millis = 1_300;
/// A run without checkpoints is stopped early if it is expected to take this
/// many times as long as its executor stays, or more. It could only finish if
/// the estimate was off by this factor, and then less work would be saved than
/// is lost otherwise.
const HOPELESS_RATIO: f64 = 1.5;

/// The departing executors, each with the time until which it certainly stays.
#[derive(Debug, Default)]
pub(super) struct Departures(BTreeMap<ExecutorIndex, Millis>);

impl Scheduler {
    /// Updates the departures from an executor's entry.
    pub(super) fn record_departure(&mut self, id: &str, now: Millis) {
        let Some(index) = self.by_id.get(id).copied() else { return };
        let Some(executor) = self.executors.get(&index) else { return };
        let info = &executor.info;
        let Some(remaining) = info.remaining.filter(|_| info.draining) else {
            self.departures.0.remove(&index);
            return;
        };
        // The entry may be read again, and be outdated by then.
        let departs_at = self.departures.0.entry(index);
        let departs_at = departs_at.or_insert(Millis::MAX);
        *departs_at = (*departs_at).min(now.saturating_add(remaining));
    }

    /// Stops runs on departing executors that would not end in time.
    pub(super) fn stop_runs_on_departing(&mut self, now: Millis) {
        if !self.is_enabled(Mechanism::Leaving) {
            return;
        }
        let departures: Vec<(ExecutorIndex, Millis)> = self
            .departures
            .0
            .iter()
            .map(|(at, departs_at)| (*at, *departs_at))
            .collect();
        for (index, departs_at) in departures {
            let executor = self.executors.get(&index);
            let Some(executor) =
                executor.filter(|e| e.incarnation_end.is_none())
            else {
                self.departures.0.remove(&index);
                continue;
            };
            let id = executor.info.id.clone();
            let runs = executor.runs.iter();
            let evicted = runs.filter(|(task, placed)| {
                self.must_stop(**task, placed, departs_at, now)
            });
            let evicted: Vec<(TaskKey, u64)> =
                evicted.map(|(task, placed)| (*task, placed.run)).collect();
            if evicted.is_empty() {
                continue;
            }
            self.actions.push(Action::RunsEvicted {
                executor: id,
                left: departs_at.saturating_sub(now),
                runs: evicted.len() as u32,
            });
            for (task, run) in evicted {
                self.relocate_run(index, task, run);
            }
        }
    }

    /// Whether a run must be stopped now on an executor that leaves at
    /// `departs_at`.
    fn must_stop(
        &self,
        task: TaskKey,
        placed: &PlacedRun,
        departs_at: Millis,
        now: Millis,
    ) -> bool {
        let Some(step) = self.step(task.step) else { return false };
        let Some(state) = self.step_state(task.step) else { return false };
        let placement = state.placements.get(&task.index);
        let is_current = placement.is_some_and(|(_, run)| *run == placed.run);
        if !is_current || matches!(placed.phase, RunPhase::Stopping(_)) {
            return false;
        }
        let ends_at = match step.lasting {
            true => Millis::MAX,
            false => expected_end(placed, now),
        };
        ends_at > departs_at
            && (now + STOP_LEAD_TIME >= departs_at
                || cannot_finish(step, ends_at - now, departs_at - now))
    }

    /// Stops a run, or its whole gang, so that it starts elsewhere.
    fn relocate_run(&mut self, at: ExecutorIndex, task: TaskKey, run: u64) {
        self.count("runs_moved_from_leaving");
        match self.step(task.step).is_some_and(|step| step.gang) {
            true => self.stop_gang(task.step),
            false => self.stop(at, task, run),
        }
    }
}

/// Whether a run that is expected to go on for `remaining_run` can't finish on
/// an executor that stays for `remaining_stay`, and would lose its work.
fn cannot_finish(
    step: &Step,
    remaining_run: Millis,
    remaining_stay: Millis,
) -> bool {
    let keeps_progress = step.checkpoints || step.lasting;
    !keeps_progress
        && remaining_run as f64 >= remaining_stay as f64 * HOPELESS_RATIO
}
