/*!
Orders in flight to an executor that has gone.

An order to start that was not answered may be carried out seconds later. As
long as its executor lives, it is sealed there before the task starts
elsewhere. If the executor has gone, nobody can be told; but the next life at
its address may have its name, and would take the order for its own. So the
task waits until the next life is heard, and the order is sealed there if that
has the same name, or until no order comes that late.
*/

use crate::ids::Millis;
use crate::jobs::executor::{Liveness, Phase, PlacedRun};
use crate::jobs::message::{ExecutorIndex, IncarnationEnd};
use crate::jobs::model::TaskKey;
use crate::jobs::scheduler::Scheduler;

/// An order that was not answered is taken to come so much later at the most,
/// in milliseconds. Nothing bounds it, and a task waits for no more than this.
const LATEST: Millis = 8_000;

/// An order to start that may be carried out yet.
#[derive(Clone, Debug)]
pub(super) struct InFlightStart {
    /// The name of the executor that it was for.
    name: String,
    /// Where that one listened.
    address: String,
    /// Its number.
    from: ExecutorIndex,
    task: TaskKey,
    on: PlacedRun,
}

impl InFlightStart {
    /// Whether it may still come.
    fn may_come(&self, now: Millis) -> bool {
        now < self.on.placed_at + LATEST
    }
}

impl Scheduler {
    /// An executor has gone from its machine. Takes those orders from it that
    /// the life which follows there may carry out.
    pub(super) fn detach_in_flight_starts(
        &mut self,
        index: ExecutorIndex,
        why: IncarnationEnd,
        now: Millis,
    ) {
        // A follower under another name that is heard already refuses them,
        // and nothing would end the wait but its time.
        if why != IncarnationEnd::LeftMachine
            || self.has_next_incarnation(index)
        {
            return;
        }
        let Some(executor) = self.executors.get(&index) else { return };
        let open = executor.runs.iter().filter(|(_, on)| !on.start_confirmed);
        let orders = open.map(|(task, on)| InFlightStart {
            name: executor.info.id.clone(),
            address: executor.info.address.clone(),
            from: index,
            task: *task,
            on: on.clone(),
        });
        let orders = orders.filter(|order| order.may_come(now));
        let orders: Vec<InFlightStart> = orders.collect();
        for order in orders {
            self.remove_run(index, &order.task);
            self.count("orders_in_flight");
            self.in_flight.push(order);
        }
    }

    /// Whether another life answers at the address of one.
    fn has_next_incarnation(&self, index: ExecutorIndex) -> bool {
        let Some(former) = self.executors.get(&index) else { return false };
        self.incarnations_at(&former.info.address).any(|(other, executor)| {
            other != index && executor.liveness == Liveness::Ready
        })
    }

    /// A life is heard for the first time.
    pub(super) fn resolve_in_flight_starts(
        &mut self,
        next: ExecutorIndex,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get(&next) else { return };
        let (name, address) = (&executor.info.id, &executor.info.address);
        let (caught, left): (Vec<InFlightStart>, Vec<InFlightStart>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(
                |order| order.name == *name || order.address == *address,
            );
        let name = name.clone();
        self.in_flight = left;
        for InFlightStart { name: meant, from, task, on, .. } in caught {
            if meant == name {
                self.assign_to_next(from, next, task, on, now);
            } else {
                // Another name refuses it.
                self.conclude_run(from, task, on.run, None);
            }
        }
    }

    /// Gives up the orders that come no more.
    pub(super) fn expire_in_flight_starts(&mut self, now: Millis) {
        let known = self.processed_until(now);
        let (open, over): (Vec<InFlightStart>, Vec<InFlightStart>) =
            std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|order| order.may_come(known));
        self.in_flight = open;
        for InFlightStart { from, task, on, .. } in over {
            self.conclude_run(from, task, on.run, None);
        }
    }

    /// An order counts as given to the life that follows the one that it was
    /// meant for: the account shows whether it is there, and else it is
    /// sealed.
    pub(super) fn assign_to_next(
        &mut self,
        former: ExecutorIndex,
        next: ExecutorIndex,
        task: TaskKey,
        on: PlacedRun,
        now: Millis,
    ) {
        let run = on.run;
        let wanted = self.move_placement(task, run, former, next)
            && !matches!(on.phase, Phase::Stopping(_));
        let on = PlacedRun {
            phase: Phase::Starting,
            start_unsure_since: Some(now),
            confirmed: 0,
            measures_speed: false,
            start_clock: None,
            ..on
        };
        self.put_run(next, task, on);
        self.start_trial(next, task, run, now);
        if !wanted {
            self.stop(next, task, run);
        }
        self.count("runs_carried_over");
    }

    /// A run of a task is on another executor, if it is the one that counts.
    /// Returns whether it is.
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
        let place = (task.step.time, task.step.step);
        let state = live.steps.get_mut(&place);
        let at = state.and_then(|state| state.placements.get_mut(&task.index));
        let Some(at) = at.filter(|at| **at == (from, run)) else {
            return false;
        };
        *at = (to, run);
        wanted
    }
}
