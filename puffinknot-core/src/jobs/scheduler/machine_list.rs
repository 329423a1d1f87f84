/*!
Infers from the platform's machine list that incarnations have ended.

The list shows a crash long before a lease expires. But it may be older than
the incarnation that is looked for, or not know yet what runs on a machine, so
an incarnation that is missing from it has not necessarily ended. It has ended
only if an earlier list has shown it on a machine that is not up any more, or
on which another incarnation now answers. A machine that the list lacks counts
only if the store doesn't list the executor any more. The machine of each
executor is stored with the executor, so a successor knows it too.

No list may have shown the machine of an executor that was there only for a
short time. It has ended if a list that is recent enough shows it nowhere, the
store doesn't list it, and its address refuses connections. None of these alone
suffices: an executor that is cut off loses its entry, lists may be incomplete,
and another process may have its address.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::executor::{Executor, Liveness};
use crate::jobs::message::{
    ExecutorIndex, IncarnationEnd, MachineInfo, MachineState,
};
use crate::jobs::scheduler::Scheduler;

/// An executor that has not answered for this long is looked up in the list.
const LOOKUP_AFTER_SILENCE: Millis = 500;
/// An executor that has been known for this long is looked up once to learn
/// its machine: the platform's records of executors are up to two seconds old.
const LOOKUP_DELAY: Millis = 2_000;
/// To learn machines, the list is requested at least this long after the last
/// request: in a cell of a thousand machines, reading it takes six calls.
const LOOKUP_INTERVAL: Millis = 4_000;

impl Scheduler {
    /// Whether the machine list may answer an open question.
    pub(super) fn needs_machine_list(&self, now: Millis) -> bool {
        self.has_silent_executors(now) || self.has_unknown_machines(now)
    }

    /// Whether there are silent executors that runs, or the takeover, depend
    /// on.
    fn has_silent_executors(&self, now: Millis) -> bool {
        self.executors.values().any(|executor| {
            let silent = executor.liveness != Liveness::Ready
                && executor.silent_since + LOOKUP_AFTER_SILENCE < now;
            silent && (!executor.runs.is_empty() || !self.takeover_complete())
        })
    }

    /// Whether there are executors whose machines have not been looked up.
    fn has_unknown_machines(&self, now: Millis) -> bool {
        if now < self.machines.list_requested_at + LOOKUP_INTERVAL {
            return false;
        }
        let answered_request_at = self.machines.answered_request_at;
        self.executors.values().any(|executor| {
            let lookup_at = executor.known_since + LOOKUP_DELAY;
            executor.machine.is_empty()
                && answered_request_at < lookup_at
                && lookup_at <= now
        })
    }

    /// Handles a new machine list.
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
        self.end_gone_incarnations(machines, now);
    }

    /// Records on which machines executors run.
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

    /// Ends the incarnations of silent executors that have gone from their
    /// machines. The list was requested after they had become silent.
    fn end_gone_incarnations(
        &mut self,
        machines: &[MachineInfo],
        now: Millis,
    ) {
        let by_name: BTreeMap<&str, &MachineInfo> =
            machines.iter().map(|m| (m.machine.as_str(), m)).collect();
        let requested_at = self.machines.list_requested_at;
        let gone = self.executors.iter().filter(|(_, executor)| {
            executor.liveness != Liveness::Ready
                && executor.silent_since + LOOKUP_AFTER_SILENCE < requested_at
                && match by_name.get(&*executor.machine) {
                    _ if executor.machine.is_empty() => {
                        self.has_left_unknown_machine(executor, machines)
                    }
                    machine => self.has_left_machine(executor, machine),
                }
        });
        let gone: Vec<ExecutorIndex> = gone.map(|(index, _)| *index).collect();
        for index in gone {
            self.count("executors_gone");
            self.end_incarnation(index, IncarnationEnd::LeftMachine, now);
        }
    }

    /// Whether an incarnation has gone from the machine on which it was last
    /// listed.
    fn has_left_machine(
        &self,
        executor: &Executor,
        machine: Option<&&MachineInfo>,
    ) -> bool {
        // Lists may be incomplete. The executor's entry in the store has to be
        // gone as well.
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

    /// Whether an incarnation that no list has shown has gone. The list was
    /// requested long enough after the executor was known to show it.
    fn has_left_unknown_machine(
        &self,
        executor: &Executor,
        machines: &[MachineInfo],
    ) -> bool {
        let requested_at = self.machines.list_requested_at;
        let id = &executor.info.id;
        self.entries_read
            && !executor.listed
            && executor.refuses_connections
            && executor.known_since + LOOKUP_DELAY <= requested_at
            && machines.iter().all(|machine| machine.executor != *id)
    }

    /// Whether an executor is known and answers.
    fn is_responsive(&self, id: &str) -> bool {
        let index = self.by_id.get(id);
        let executor = index.and_then(|index| self.executors.get(index));
        executor.is_some_and(|e| e.liveness == Liveness::Ready)
    }
}
