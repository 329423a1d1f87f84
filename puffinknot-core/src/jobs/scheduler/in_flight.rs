/*!
Start orders in flight to an executor that has gone.

A start that was not answered may still be carried out seconds later. While its
executor is alive, the run is stopped there, which also rejects a start that
arrives late, before the task starts elsewhere. If the executor has gone, no
stop can be sent; but the next incarnation at its address may have the same
name and would accept the start as its own. So the task waits until either the
next incarnation is heard, where the run is stopped if the name is the same, or
the start is too old to arrive.
*/

use crate::ids::Millis;
use crate::jobs::executor::{Liveness, PlacedRun, RunPhase};
use crate::jobs::message::{ExecutorIndex, IncarnationEnd};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::Scheduler;

/// How long a task waits for an unanswered start that may still arrive. The
/// actual delay of a start has no upper bound.
const MAX_START_DELAY: Millis = 8_000;

/// A start order that may still be carried out.
#[derive(Clone, Debug)]
pub(super) struct InFlightStart {
    /// The name of the executor that it was sent to.
    name: String,
    /// The address of that executor.
    address: String,
    /// The index of that executor.
    former: ExecutorIndex,
    task: TaskKey,
    placed: PlacedRun,
}

impl InFlightStart {
    /// Whether the start may still arrive.
    fn may_arrive(&self, now: Millis) -> bool {
        now < self.placed.placed_at + MAX_START_DELAY
    }
}

impl Scheduler {
    /// Takes from an executor that has gone from its machine those starts that
    /// the next incarnation there may carry out.
    pub(super) fn detach_in_flight_starts(
        &mut self,
        index: ExecutorIndex,
        why: IncarnationEnd,
        now: Millis,
    ) {
        // If an executor with another name already answers at that address, it
        // rejects these starts, and they would wait for nothing until they
        // expire.
        if why != IncarnationEnd::LeftMachine || self.has_live_successor(index)
        {
            return;
        }
        let Some(executor) = self.executors.get(&index) else { return };
        let unconfirmed =
            executor.runs.iter().filter(|(_, placed)| !placed.start_confirmed);
        let starts = unconfirmed.map(|(task, placed)| InFlightStart {
            name: executor.info.id.clone(),
            address: executor.info.address.clone(),
            former: index,
            task: *task,
            placed: placed.clone(),
        });
        let starts = starts.filter(|start| start.may_arrive(now));
        let starts: Vec<InFlightStart> = starts.collect();
        for start in starts {
            self.remove_run(index, &start.task);
            self.count("orders_in_flight");
            self.in_flight_starts.push(start);
        }
    }

    /// Whether another incarnation answers at the address of this one.
    fn has_live_successor(&self, index: ExecutorIndex) -> bool {
        let Some(former) = self.executors.get(&index) else { return false };
        self.incarnations_at(&former.info.address).any(|(other, executor)| {
            other != index && executor.liveness == Liveness::Ready
        })
    }

    /// Handles the starts in flight to an incarnation that is heard for the
    /// first time.
    pub(super) fn resolve_in_flight_starts(
        &mut self,
        next: ExecutorIndex,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get(&next) else { return };
        let (name, address) = (&executor.info.id, &executor.info.address);
        let (matching, others): (Vec<InFlightStart>, Vec<InFlightStart>) =
            std::mem::take(&mut self.in_flight_starts).into_iter().partition(
                |start| start.name == *name || start.address == *address,
            );
        let name = name.clone();
        self.in_flight_starts = others;
        for InFlightStart {
            name: intended_name, former, task, placed, ..
        } in matching
        {
            if intended_name == name {
                self.assign_to_next(former, next, task, placed, now);
            } else {
                // An executor with another name rejects the start.
                self.conclude_run(former, task, placed.run, None);
            }
        }
    }

    /// Gives up the starts that can no longer arrive.
    pub(super) fn expire_in_flight_starts(&mut self, now: Millis) {
        let processed_until = self.processed_until(now);
        let (pending, expired): (Vec<InFlightStart>, Vec<InFlightStart>) =
            std::mem::take(&mut self.in_flight_starts)
                .into_iter()
                .partition(|start| start.may_arrive(processed_until));
        self.in_flight_starts = pending;
        for InFlightStart { former, task, placed, .. } in expired {
            self.conclude_run(former, task, placed.run, None);
        }
    }

    /// Assigns a run to the incarnation that follows the one it was sent to.
    /// If the next report does not list the run, it is stopped there.
    pub(super) fn assign_to_next(
        &mut self,
        former: ExecutorIndex,
        next: ExecutorIndex,
        task: TaskKey,
        placed: PlacedRun,
        now: Millis,
    ) {
        let run = placed.run;
        let wanted = self.move_placement(task, run, former, next)
            && !matches!(placed.phase, RunPhase::Stopping(_));
        let placed = PlacedRun {
            phase: RunPhase::Starting,
            start_unsure_since: Some(now),
            confirmed_at: 0,
            measures_speed: false,
            start_clock: None,
            ..placed
        };
        self.put_run(next, task, placed);
        self.start_trial(next, task, run, now);
        if !wanted {
            self.stop(next, task, run);
        }
        self.count("runs_carried_over");
    }

    /// Moves the placement of a task to another executor, if it is that of
    /// this run. Returns whether it is and the run is still wanted.
    fn move_placement(
        &mut self,
        task: TaskKey,
        run: u64,
        from: ExecutorIndex,
        to: ExecutorIndex,
    ) -> bool {
        let Some(live) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        let wanted = live.ended.is_none();
        let step_key = (task.step.time, task.step.step);
        let Some(state) = live.steps.get_mut(&step_key) else { return false };
        if state.placements.get(&task.index) != Some(&(from, run)) {
            return false;
        }
        state.placements.insert(task.index, (to, run));
        wanted && !state.stopping_gang
    }
}
