/*!
Maintenance waves: sets of machines, each of which is taken down once, with a
bound on how many are down at the same time.

Taking a machine down ends all that runs on it. So nothing new is placed on the
machines that come next, and a machine is taken down when nothing runs on it
any more, or when the wave would be late otherwise. A step may bound how many
of its tasks may be missing at once. Maintenance never ends more than that.

A request that was not answered may have been carried out, so its machine
counts as down until the machine list shows otherwise.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::executor::{Executor, Liveness, RunPhase};
use crate::jobs::message::{
    Action, ExecutorIndex, MachineInfo, MachineState, MaintenanceFailure,
    MaintenanceWave,
};
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::Scheduler;

/// How many more machines get no new tasks than may be down at once.
const DRAIN_AHEAD: usize = 1;
/// After this fraction of a round's time, machines are taken down even if
/// tasks run on them, as far as the steps of these tasks tolerate it. A round
/// is the part of a wave's time for as many machines as may be down at once.
const PATIENT_FRACTION: f64 = 0.6;
/// For how long a new leader takes no machine down after a takeover.
const TAKEOVER_DELAY: Millis = 4_000;
/// How often the machines are listed while a wave is active.
const WAVE_LIST_INTERVAL: Millis = 500;
/// How often the machines are listed while executors are silent or their
/// machines are not known.
const LIST_INTERVAL: Millis = 1_000;
/// The delay before a request that was not answered is retried.
const UNANSWERED_RETRY_DELAY: Millis = 3_000;
/// If the same executor is still alive on a machine this long after a request
/// was carried out, the machine had its maintenance before that.
const SAME_INCARNATION_DONE_AFTER: Millis = 6_000;
/// The delay before a request that was refused is retried.
const REFUSED_RETRY_DELAY: Millis = 500;

/// The stage of a machine in a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// Maintenance was requested at this time. The request may have been
    /// carried out.
    Requested(Millis),
    /// Down, since a request was carried out or the list showed it down at
    /// this time.
    Down(Millis),
    Done,
}

/// The executor on a machine: its name, and its incarnation if that was known.
#[derive(Clone, Debug, Default)]
struct Occupant {
    name: String,
    incarnation: Option<ExecutorIndex>,
}

impl Occupant {
    /// Returns whether another executor or incarnation than this one is on the
    /// machine now. The machine list shows it under `name`.
    fn is_replaced(
        &self,
        name: &str,
        incarnation: Option<ExecutorIndex>,
    ) -> bool {
        let both_known = self.incarnation.is_some() && incarnation.is_some();
        self.name != name || (both_known && self.incarnation != incarnation)
    }
}

/// The state of a maintenance wave.
#[derive(Clone, Debug)]
pub(super) struct WaveState {
    request: MaintenanceWave,
    started_at: Millis,
    stages: BTreeMap<String, Stage>,
    not_before: BTreeMap<String, Millis>,
    /// The executors on machines at the time of the first request.
    occupants: BTreeMap<String, Occupant>,
    reported: Option<bool>,
}

/// The state of machines and of maintenance waves.
#[derive(Clone, Debug, Default)]
pub(super) struct Machines {
    pub waves: BTreeMap<u64, WaveState>,
    listed: BTreeMap<String, MachineInfo>,
    /// When the list last showed each machine down for maintenance.
    in_maintenance_at: BTreeMap<String, Millis>,
    /// No machine is taken down before this time.
    not_before: Millis,
    list_pending: bool,
    /// When the list was requested last.
    pub list_requested_at: Millis,
    listed_at: Option<Millis>,
    /// When the request that was answered last was made.
    pub answered_request_at: Millis,
    /// The machines that each wave has finished, as written to the store.
    pub finished: BTreeMap<u64, BTreeSet<String>>,
}

impl Machines {
    /// Returns the state for a leader that has taken over at `now`.
    pub fn new(now: Millis) -> Machines {
        Machines { not_before: now + TAKEOVER_DELAY, ..Machines::default() }
    }

    /// Returns the number of waves in which each unfinished machine is
    /// pending.
    fn pending_waves(&self) -> BTreeMap<String, usize> {
        let mut pending = BTreeMap::new();
        let stages = self.waves.values().flat_map(|wave| &wave.stages);
        for (machine, _) in stages.filter(|(_, stage)| **stage != Stage::Done)
        {
            *pending.entry(machine.clone()).or_default() += 1;
        }
        pending
    }

    /// Returns whether the list has shown the machine of an executor down for
    /// maintenance since the executor was last heard. A request of a former
    /// leader may have been carried out.
    pub fn was_in_maintenance(&self, executor: &Executor) -> bool {
        let seen = self.in_maintenance_at.get(&executor.machine);
        seen.is_some_and(|at| executor.last_heard_at() < Some(*at))
    }

    /// Returns whether the list shows a machine down for maintenance.
    fn is_in_maintenance(&self, machine: &str) -> bool {
        let info = self.listed.get(machine);
        info.is_some_and(|info| info.state == MachineState::Maintenance)
    }
}

impl Scheduler {
    /// Adds a wave that the operators request, or updates it.
    pub(super) fn update_wave(
        &mut self,
        request: MaintenanceWave,
        now: Millis,
    ) {
        let finished = self.machines.finished.get(&request.wave);
        let done = |machine: &String| {
            finished.is_some_and(|finished| finished.contains(machine))
        };
        let known = self.machines.waves.get(&request.wave);
        let stages = request.machines.iter().map(|machine| {
            let before = known.and_then(|w| w.stages.get(machine));
            let fresh =
                if done(machine) { Stage::Done } else { Stage::Waiting };
            (machine.clone(), before.copied().unwrap_or(fresh))
        });
        let wave = WaveState {
            stages: stages.collect(),
            started_at: known.map_or(now, |wave| wave.started_at),
            not_before: BTreeMap::new(),
            occupants: known
                .map(|wave| wave.occupants.clone())
                .unwrap_or_default(),
            reported: known.and_then(|wave| wave.reported),
            request,
        };
        let dropped = known.into_iter().flat_map(|known| known.stages.keys());
        let dropped = dropped.filter(|m| !wave.stages.contains_key(*m));
        let dropped: Vec<String> = dropped.cloned().collect();
        self.machines.waves.insert(wave.request.wave, wave);
        for machine in dropped {
            self.clear_maintenance_order(&machine);
        }
        self.count("waves");
    }

    /// Handles an answer to a request for the machine list.
    pub(super) fn machines_listed(
        &mut self,
        machines: Option<Vec<MachineInfo>>,
        now: Millis,
    ) {
        self.machines.list_pending = false;
        let Some(machines) = machines else { return };
        self.machine_list_received(&machines, now);
        self.machines.listed_at = Some(now);
        let down = machines.iter();
        let down = down.filter(|m| m.state == MachineState::Maintenance);
        let down = down.map(|m| (m.machine.clone(), now));
        self.machines.in_maintenance_at.extend(down);
        self.machines.listed = machines
            .into_iter()
            .map(|machine| (machine.machine.clone(), machine))
            .collect();
        let mut done = Vec::new();
        let mut unanswered = Vec::new();
        let pending_waves = self.machines.pending_waves();
        let requested_at = self.machines.list_requested_at;
        for (number, wave) in &mut self.machines.waves {
            for (machine, stage) in &mut wave.stages {
                let Some(info) = self.machines.listed.get(machine) else {
                    continue;
                };
                let name = &info.executor;
                let incarnation = self.by_id.get(name).copied();
                let occupant = wave.occupants.get(machine);
                let replaced = occupant
                    .is_none_or(|o| o.is_replaced(name, incarnation))
                    && !name.is_empty();
                match (*stage, info.state) {
                    (Stage::Done, _) => {}
                    (Stage::Down(_), MachineState::Maintenance) => {}
                    (Stage::Requested(_), MachineState::Maintenance) => {
                        *stage = Stage::Down(now);
                    }
                    // A former leader requested this, unless the machine may
                    // be down for another wave.
                    (Stage::Waiting, MachineState::Maintenance)
                        if pending_waves.get(machine) == Some(&1) =>
                    {
                        *stage = Stage::Down(now);
                    }
                    // If the same incarnation has been there for long, the
                    // machine was down before.
                    (Stage::Down(at), MachineState::Up)
                        if at < requested_at
                            && (replaced
                                || at + SAME_INCARNATION_DONE_AFTER < now) =>
                    {
                        *stage = Stage::Done;
                        done.push((*number, machine.clone()));
                    }
                    (Stage::Requested(at), MachineState::Up)
                        if at + UNANSWERED_RETRY_DELAY < requested_at =>
                    {
                        *stage = Stage::Waiting;
                        unanswered.push(machine.clone());
                    }
                    _ => {}
                }
            }
        }
        for machine in unanswered {
            self.clear_maintenance_order(&machine);
        }
        for (number, machine) in done {
            let finished = self.machines.finished.entry(number).or_default();
            finished.insert(machine.clone());
            self.commits.maintenance_changed();
            self.clear_maintenance_order(&machine);
        }
    }

    /// Clears the maintenance mark of the executor on a machine. The list may
    /// no longer contain the machine.
    fn clear_maintenance_order(&mut self, machine: &str) {
        let there = self.executor_on(machine);
        for (index, executor) in self.executors.iter_mut() {
            if there == Some(*index) || executor.machine == machine {
                executor.maintenance_ordered = false;
            }
        }
    }

    /// Handles the answer to a maintenance request.
    pub(super) fn maintenance_answered(
        &mut self,
        number: u64,
        machine: &str,
        answer: Result<(), MaintenanceFailure>,
        now: Millis,
    ) {
        let Some(wave) = self.machines.waves.get_mut(&number) else { return };
        let Some(stage) = wave.stages.get_mut(machine) else { return };
        match answer {
            // The answer may be to an earlier request whose maintenance is
            // over, so the executor that is known on the machine by now is
            // probed.
            Ok(()) => {
                *stage = Stage::Down(now);
                if let Some(index) = self.executor_on(machine) {
                    self.probe_now(index, now);
                }
            }
            // Another leader controls this machine.
            Err(MaintenanceFailure::Fenced) => self.superseded(),
            Err(MaintenanceFailure::Refused) => {
                *stage = Stage::Waiting;
                wave.occupants.remove(machine);
                wave.not_before
                    .insert(machine.to_string(), now + REFUSED_RETRY_DELAY);
                self.clear_maintenance_order(machine);
            }
            Err(MaintenanceFailure::NoSuchMachine) => {
                *stage = Stage::Done;
                let finished =
                    self.machines.finished.entry(number).or_default();
                finished.insert(machine.to_string());
                self.commits.maintenance_changed();
                self.clear_maintenance_order(machine);
            }
            // It may still be carried out. The machine list shows whether it
            // was.
            Err(MaintenanceFailure::Unknown) => {}
        }
    }

    /// Advances all waves that are not finished.
    pub(super) fn advance_waves(&mut self, now: Millis) {
        for executor in self.executors.values_mut() {
            executor.maintenance_due = false;
        }
        let open: Vec<u64> = self
            .machines
            .waves
            .iter()
            .filter(|(_, w)| w.stages.values().any(|s| *s != Stage::Done))
            .map(|(number, _)| *number)
            .collect();
        self.report_waves();
        let interval =
            if open.is_empty() { LIST_INTERVAL } else { WAVE_LIST_INTERVAL };
        let due = self.machines.list_requested_at + interval <= now;
        let needed = !open.is_empty() || self.needs_machine_list(now);
        if needed && due && !self.machines.list_pending {
            self.machines.list_pending = true;
            self.machines.list_requested_at = now;
            self.actions.push(Action::ListMachines);
        }
        if self.machines.listed_at.is_none() || now < self.machines.not_before
        {
            return;
        }
        for number in open {
            self.advance_wave(number, now);
        }
    }

    fn advance_wave(&mut self, number: u64, now: Millis) {
        let Some(wave) = self.machines.waves.get(&number) else { return };
        let down = wave.stages.iter().filter(|(machine, stage)| match stage {
            Stage::Requested(_) | Stage::Down(_) => true,
            // Down for another wave.
            Stage::Waiting => self.machines.is_in_maintenance(machine),
            Stage::Done => false,
        });
        let down = down.count();
        let most = wave.request.most.max(1) as usize;
        let waiting: Vec<String> = wave
            .stages
            .iter()
            .filter(|(_, stage)| **stage == Stage::Waiting)
            .map(|(machine, _)| machine.clone())
            .collect();
        let done = wave.stages.values();
        let done = done.filter(|stage| **stage == Stage::Done).count();
        let rounds = wave.stages.len().div_ceil(most).max(1) as f64;
        let round_time = wave.request.within as f64 / rounds;
        let elapsed = now.saturating_sub(wave.started_at) as f64;
        let round = (done / most) as f64 + PATIENT_FRACTION;
        let late = elapsed > round * round_time;
        let not_before = wave.not_before.clone();
        self.mark_maintenance_due(&waiting, most + DRAIN_AHEAD);
        let mut allowed = most.saturating_sub(down);
        for machine in waiting {
            if allowed == 0 {
                return;
            }
            if not_before.get(&machine).is_some_and(|at| *at > now) {
                continue;
            }
            if !self.may_take_down(&machine, late) {
                continue;
            }
            allowed -= 1;
            self.request_maintenance(number, machine, now);
        }
    }

    fn request_maintenance(
        &mut self,
        number: u64,
        machine: String,
        now: Millis,
    ) {
        let name = self.machines.listed.get(&machine);
        let name = name.map(|m| m.executor.clone()).unwrap_or_default();
        let incarnation = self.by_id.get(&name).copied();
        let occupant = Occupant { name, incarnation };
        if let Some(wave) = self.machines.waves.get_mut(&number) {
            wave.stages.insert(machine.clone(), Stage::Requested(now));
            wave.occupants.entry(machine.clone()).or_insert(occupant);
        }
        let index = self.executor_on(&machine);
        if let Some(executor) = index.and_then(|i| self.executors.get_mut(&i))
        {
            executor.maintenance_ordered = true;
        }
        self.count("upkeeps");
        self.actions.push(Action::StartMaintenance { wave: number, machine });
    }

    fn executor_on(&self, machine: &str) -> Option<ExecutorIndex> {
        let machine = self.machines.listed.get(machine)?;
        self.by_id.get(&machine.executor).copied()
    }

    /// Excludes the machines that come next from placement.
    fn mark_maintenance_due(&mut self, waiting: &[String], most: usize) {
        let next: BTreeSet<ExecutorIndex> = waiting
            .iter()
            .take(most)
            .filter_map(|machine| self.executor_on(machine))
            .collect();
        for (index, executor) in self.executors.iter_mut() {
            executor.maintenance_due |= next.contains(index);
        }
    }

    /// Returns whether a machine may be taken down: if nothing runs on it, or
    /// if the wave is late and no step loses more tasks than it tolerates.
    fn may_take_down(&self, machine: &str, late: bool) -> bool {
        let Some(info) = self.machines.listed.get(machine) else {
            return false;
        };
        if info.state != MachineState::Up {
            return false;
        }
        let Some(index) = self.executor_on(machine) else { return late };
        let Some(executor) = self.executors.get(&index) else { return late };
        if executor.runs.is_empty() {
            return true;
        }
        if !late {
            return false;
        }
        let mut lost: BTreeMap<StepKey, u32> = BTreeMap::new();
        for task in executor.runs.keys() {
            *lost.entry(task.step).or_default() += 1;
        }
        lost.iter().all(|(step, lost)| self.tolerates_loss(*step, *lost))
    }

    /// Returns whether a step tolerates that `lost` more of its tasks are
    /// missing.
    fn tolerates_loss(&self, key: StepKey, lost: u32) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let Some(step) = live.job.steps.get(key.step as usize) else {
            return true;
        };
        let Some(most) = step.may_miss else { return true };
        let state = live.steps.get(&(key.time, key.step));
        let placements =
            state.map(|s| s.placements.clone()).unwrap_or_default();
        let running = placements.iter().filter(|(index, (at, run))| {
            let task = key.task(**index);
            let executor = self.executors.get(at);
            let executor = executor.filter(|e| {
                !e.maintenance_ordered && e.liveness == Liveness::Ready
            });
            let on = executor.and_then(|e| e.runs.get(&task));
            on.is_some_and(|on| {
                on.run == *run && on.phase == RunPhase::Running
            })
        });
        let missing = step.count.saturating_sub(running.count() as u32);
        missing + lost <= most
    }

    /// Reports the state of each wave that has changed.
    fn report_waves(&mut self) {
        for (number, wave) in &mut self.machines.waves {
            let done = wave.stages.values().all(|stage| *stage == Stage::Done);
            if wave.reported != Some(done) {
                wave.reported = Some(done);
                self.actions.push(Action::WaveState {
                    wave: *number,
                    succeeded: done,
                });
            }
        }
    }
}
