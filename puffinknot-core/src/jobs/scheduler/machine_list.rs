/*!
What the list of machines tells of the lives of executors.

The list tells of a crash long before a lease runs out. But it may be older
than the life that is looked for, or not know yet what lives on a machine, so
that it is no sign of an end that a life is missing from it. A life is over
only if an earlier list has shown it on a machine that is not up any more, or
on which another life stands that answers. A machine that the list lacks counts
only if the store lists the executor no more. Which machine it was is kept in
the store beside the executors, so that a successor knows it too.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::executor::{Executor, Liveness};
use crate::jobs::message::{
    ExecutorIndex, IncarnationEnd, MachineInfo, MachineState,
};
use crate::jobs::scheduler::Scheduler;

/// An executor that has not answered for this long, in milliseconds, is
/// looked for in the list.
const SILENT_FOR: Millis = 500;
/// An executor that has been known for this long, in milliseconds, is looked
/// for once, to learn its machine: the platform's records of executors are up
/// to two seconds old.
const NAMED_AFTER: Millis = 2_000;
/// The list is read for that this often at the most, in milliseconds: in a
/// cell of a thousand machines it takes six calls.
const LEARN_EVERY: Millis = 4_000;

impl Scheduler {
    /// Whether the list of machines may tell what has to be known.
    pub(super) fn needs_machine_list(&self, now: Millis) -> bool {
        self.has_silent_executors(now) || self.has_unknown_machines(now)
    }

    /// Whether executors are silent that something may depend on.
    fn has_silent_executors(&self, now: Millis) -> bool {
        self.executors.values().any(|executor| {
            let silent = executor.liveness != Liveness::Ready
                && executor.silent_since + SILENT_FOR < now;
            silent && (!executor.runs.is_empty() || !self.takeover_complete())
        })
    }

    /// Whether there are executors whose machines were not looked for.
    fn has_unknown_machines(&self, now: Millis) -> bool {
        if now < self.machines.list_requested_at + LEARN_EVERY {
            return false;
        }
        let learnt = self.machines.answered_request_at;
        self.executors.values().any(|executor| {
            let due = executor.known_since + NAMED_AFTER;
            executor.machine.is_empty() && learnt < due && due <= now
        })
    }

    /// The list of machines has come.
    pub(super) fn machine_list_received(
        &mut self,
        machines: &[MachineInfo],
        now: Millis,
    ) {
        if machines.is_empty() {
            return;
        }
        self.machines.answered_request_at = self.machines.list_requested_at;
        self.record_machines(machines);
        self.end_departed_incarnations(machines, now);
    }

    /// Takes in on which machines executors live.
    fn record_machines(&mut self, machines: &[MachineInfo]) {
        for info in machines {
            let Some(index) = self.by_id.get(&info.executor) else { continue };
            let Some(executor) = self.executors.get_mut(index) else {
                continue;
            };
            if executor.machine != info.machine {
                executor.machine = info.machine.clone();
                self.commits.executor_changed(&info.executor);
            }
        }
    }

    /// Gives up silent executors that have gone from their machines. The
    /// list was asked for after they had become silent.
    fn end_departed_incarnations(
        &mut self,
        machines: &[MachineInfo],
        now: Millis,
    ) {
        let by_name: BTreeMap<&str, &MachineInfo> =
            machines.iter().map(|m| (m.machine.as_str(), m)).collect();
        let asked_at = self.machines.list_requested_at;
        let departed = self.executors.iter().filter(|(_, executor)| {
            executor.liveness != Liveness::Ready
                && executor.silent_since + SILENT_FOR < asked_at
                && !executor.machine.is_empty()
                && self.has_left_machine(
                    executor,
                    by_name.get(&*executor.machine),
                )
        });
        let departed: Vec<ExecutorIndex> =
            departed.map(|(index, _)| *index).collect();
        for index in departed {
            self.count("executors_gone");
            self.end_incarnation(index, IncarnationEnd::LeftMachine, now);
        }
    }

    /// Whether a life has gone from the machine on which it was shown before.
    fn has_left_machine(
        &self,
        executor: &Executor,
        machine: Option<&&MachineInfo>,
    ) -> bool {
        // A list may lack machines. The executor's entry, which the store
        // keeps, has to be gone as well.
        let Some(machine) = machine else {
            return self.entries_read && !executor.listed;
        };
        if machine.executor == executor.info.id {
            return false;
        }
        match machine.state {
            MachineState::Down
            | MachineState::Moving
            | MachineState::Maintenance => true,
            MachineState::Up => self.is_responsive(&machine.executor),
            MachineState::Unknown => false,
        }
    }

    /// Whether an executor is known and answers.
    fn is_responsive(&self, id: &str) -> bool {
        let index = self.by_id.get(id);
        let executor = index.and_then(|index| self.executors.get(index));
        executor.is_some_and(|e| e.liveness == Liveness::Ready)
    }
}
