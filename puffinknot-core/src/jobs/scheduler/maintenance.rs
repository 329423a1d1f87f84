/*!
Waves of upkeep: machines that are to be taken down for a while, each once,
with at most so many at a time.

A machine's upkeep ends all that runs on it. So nothing new is placed on
machines that come next, and one is taken down when nothing runs there any
more, or when the wave would be late otherwise. Tasks of steps that bear the
loss of only so many at once are never ended beyond that bound. A call that
was not answered may have been carried out, so that its machine counts as
down until the list of machines tells otherwise.
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

/// So many more machines than may be down at once get no new tasks.
const AHEAD: usize = 1;
/// After this part of a wave's time for each machine, what runs there is
/// ended.
const PATIENCE: f64 = 0.6;
/// A successor orders no machine for this long, in milliseconds.
const SETTLE: Millis = 4_000;
/// The machines are listed this often while a wave is under way.
const LIST_EVERY: Millis = 500;
/// The machines are listed this often while executors are silent.
const LOOK_EVERY: Millis = 1_000;
/// A call that was not answered is made again after this time.
const CALL_AGAIN: Millis = 3_000;
/// A machine on which the same executor lives on for so long after a call
/// was carried out had had its upkeep before.
const SAME_LIFE: Millis = 6_000;
/// A call that was refused is made again after this time.
const AGAIN: Millis = 500;

/// Where a machine of a wave stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    Waiting,
    /// Called for at this time; the call may have been carried out.
    Called(Millis),
    /// Down, since a call that was carried out, or seen so, at this time.
    Down(Millis),
    Done,
}

/// Who lived on a machine: its name, and which life of it, if it was known.
#[derive(Clone, Debug, Default)]
struct Lived {
    name: String,
    life: Option<ExecutorIndex>,
}

impl Lived {
    /// Whether another life lives there now, that the list of machines shows
    /// under this name.
    fn is_replaced(&self, name: &str, life: Option<ExecutorIndex>) -> bool {
        let follows = self.life.is_some() && life.is_some();
        self.name != name || (follows && self.life != life)
    }
}

/// A wave.
#[derive(Clone, Debug)]
pub(super) struct Wave {
    info: MaintenanceWave,
    since: Millis,
    turns: BTreeMap<String, Turn>,
    not_before: BTreeMap<String, Millis>,
    /// The executors that lived on machines when they were called for.
    lives: BTreeMap<String, Lived>,
    reported: Option<bool>,
}

/// What is known about machines.
#[derive(Clone, Debug, Default)]
pub(super) struct Machines {
    pub waves: BTreeMap<u64, Wave>,
    machines: BTreeMap<String, MachineInfo>,
    /// When the list has shown machines down for their upkeep last.
    in_upkeep_at: BTreeMap<String, Millis>,
    /// Nothing is ordered before this time.
    not_before: Millis,
    listing: bool,
    /// When the list was asked for last.
    pub list_requested_at: Millis,
    listed_at: Option<Millis>,
    /// When the last list that was answered was asked for.
    pub answered_request_at: Millis,
    /// Machines whose upkeep this wave has done, as written.
    pub finished: BTreeMap<u64, BTreeSet<String>>,
}

impl Machines {
    /// For a leader that leads since `now`.
    pub fn new(now: Millis) -> Machines {
        Machines { not_before: now + SETTLE, ..Machines::default() }
    }

    /// By how many waves machines are still wanted.
    fn wanted(&self) -> BTreeMap<String, usize> {
        let mut wanted = BTreeMap::new();
        let turns = self.waves.values().flat_map(|wave| &wave.turns);
        for (machine, _) in turns.filter(|(_, turn)| **turn != Turn::Done) {
            *wanted.entry(machine.clone()).or_default() += 1;
        }
        wanted
    }

    /// Whether the list has shown the machine of an executor down for its
    /// upkeep since that was heard last: a call of a predecessor may have been
    /// carried out.
    pub fn was_in_maintenance(&self, executor: &Executor) -> bool {
        let seen = self.in_upkeep_at.get(&executor.machine);
        seen.is_some_and(|at| executor.last_heard_at() < Some(*at))
    }

    /// Whether the list shows a machine down for its upkeep.
    fn is_in_upkeep(&self, machine: &str) -> bool {
        let info = self.machines.get(machine);
        info.is_some_and(|info| info.state == MachineState::Maintenance)
    }
}

impl Scheduler {
    /// The operators want a wave, or want it otherwise.
    pub(super) fn wave(&mut self, info: MaintenanceWave, now: Millis) {
        let finished = self.machines.finished.get(&info.wave);
        let done = |machine: &String| {
            finished.is_some_and(|finished| finished.contains(machine))
        };
        let known = self.machines.waves.get(&info.wave);
        let turns = info.machines.iter().map(|machine| {
            let before = known.and_then(|w| w.turns.get(machine));
            let fresh = if done(machine) { Turn::Done } else { Turn::Waiting };
            (machine.clone(), before.copied().unwrap_or(fresh))
        });
        let wave = Wave {
            turns: turns.collect(),
            since: known.map_or(now, |wave| wave.since),
            not_before: BTreeMap::new(),
            lives: known.map(|wave| wave.lives.clone()).unwrap_or_default(),
            reported: known.and_then(|wave| wave.reported),
            info,
        };
        let dropped = known.into_iter().flat_map(|known| known.turns.keys());
        let dropped = dropped.filter(|m| !wave.turns.contains_key(*m));
        let dropped: Vec<String> = dropped.cloned().collect();
        self.machines.waves.insert(wave.info.wave, wave);
        for machine in dropped {
            self.stays(&machine);
        }
        self.count("waves");
    }

    /// The list of machines has come.
    pub(super) fn machines_listed(
        &mut self,
        machines: Option<Vec<MachineInfo>>,
        now: Millis,
    ) {
        self.machines.listing = false;
        let Some(machines) = machines else { return };
        self.machine_list_received(&machines, now);
        self.machines.listed_at = Some(now);
        let down = machines.iter();
        let down = down.filter(|m| m.state == MachineState::Maintenance);
        let down = down.map(|m| (m.machine.clone(), now));
        self.machines.in_upkeep_at.extend(down);
        self.machines.machines = machines
            .into_iter()
            .map(|machine| (machine.machine.clone(), machine))
            .collect();
        let mut done = Vec::new();
        let mut again = Vec::new();
        let wanted = self.machines.wanted();
        let asked_at = self.machines.list_requested_at;
        for (number, wave) in &mut self.machines.waves {
            for (machine, turn) in &mut wave.turns {
                let Some(info) = self.machines.machines.get(machine) else {
                    continue;
                };
                let name = &info.executor;
                let life = self.by_id.get(name).copied();
                let lived = wave.lives.get(machine);
                let replaced = lived.is_none_or(|l| l.is_replaced(name, life))
                    && !name.is_empty();
                match (*turn, info.state) {
                    (Turn::Done, _) => {}
                    (Turn::Down(_), MachineState::Maintenance) => {}
                    (Turn::Called(_), MachineState::Maintenance) => {
                        *turn = Turn::Down(now);
                    }
                    // By a predecessor, if no other wave may have it down.
                    (Turn::Waiting, MachineState::Maintenance)
                        if wanted.get(machine) == Some(&1) =>
                    {
                        *turn = Turn::Down(now);
                    }
                    // With the same life for long it had been down before.
                    (Turn::Down(at), MachineState::Up)
                        if at < asked_at
                            && (replaced || at + SAME_LIFE < now) =>
                    {
                        *turn = Turn::Done;
                        done.push((*number, machine.clone()));
                    }
                    (Turn::Called(at), MachineState::Up)
                        if at + CALL_AGAIN < asked_at =>
                    {
                        *turn = Turn::Waiting;
                        again.push(machine.clone());
                    }
                    _ => {}
                }
            }
        }
        for machine in again {
            self.stays(&machine);
        }
        for (number, machine) in done {
            let finished = self.machines.finished.entry(number).or_default();
            finished.insert(machine.clone());
            self.commits.waves();
            self.stays(&machine);
        }
    }

    /// The executor on a machine is not about to go any more. The list may
    /// lack the machine by now.
    fn stays(&mut self, machine: &str) {
        let there = self.executor_of(machine);
        for (index, executor) in self.executors.iter_mut() {
            if there == Some(*index) || executor.machine == machine {
                executor.maintenance_ordered = false;
            }
        }
    }

    /// A call for upkeep was answered.
    pub(super) fn upkeep_answered(
        &mut self,
        number: u64,
        machine: &str,
        answer: Result<(), MaintenanceFailure>,
        now: Millis,
    ) {
        let Some(wave) = self.machines.waves.get_mut(&number) else { return };
        let Some(turn) = wave.turns.get_mut(machine) else { return };
        match answer {
            // The answer may be to an earlier call, whose upkeep is over: the
            // executor that is known there by now is asked.
            Ok(()) => {
                *turn = Turn::Down(now);
                if let Some(index) = self.executor_of(machine) {
                    self.probe_now(index, now);
                }
            }
            // Another leader orders.
            Err(MaintenanceFailure::Fenced) => self.superseded(),
            Err(MaintenanceFailure::Refused) => {
                *turn = Turn::Waiting;
                wave.lives.remove(machine);
                wave.not_before.insert(machine.to_string(), now + AGAIN);
                self.stays(machine);
            }
            Err(MaintenanceFailure::NoSuchMachine) => {
                *turn = Turn::Done;
                let finished =
                    self.machines.finished.entry(number).or_default();
                finished.insert(machine.to_string());
                self.commits.waves();
                self.stays(machine);
            }
            // It may be carried out yet; the list of machines tells.
            Err(MaintenanceFailure::Unknown) => {}
        }
    }

    /// Lets waves go on.
    pub(super) fn advance_waves(&mut self, now: Millis) {
        for executor in self.executors.values_mut() {
            executor.maintenance_due = false;
        }
        let open: Vec<u64> = self
            .machines
            .waves
            .iter()
            .filter(|(_, w)| w.turns.values().any(|t| *t != Turn::Done))
            .map(|(number, _)| *number)
            .collect();
        self.report_waves();
        let every = if open.is_empty() { LOOK_EVERY } else { LIST_EVERY };
        let due = self.machines.list_requested_at + every <= now;
        let wanted = !open.is_empty() || self.needs_machine_list(now);
        if wanted && due && !self.machines.listing {
            self.machines.listing = true;
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
        let down = wave.turns.iter().filter(|(machine, turn)| match turn {
            Turn::Called(_) | Turn::Down(_) => true,
            // For another wave, but it is down.
            Turn::Waiting => self.machines.is_in_upkeep(machine),
            Turn::Done => false,
        });
        let down = down.count();
        let most = wave.info.most.max(1) as usize;
        let waiting: Vec<String> = wave
            .turns
            .iter()
            .filter(|(_, turn)| **turn == Turn::Waiting)
            .map(|(machine, _)| machine.clone())
            .collect();
        let done = wave.turns.values();
        let done = done.filter(|turn| **turn == Turn::Done).count();
        let rounds = wave.turns.len().div_ceil(most).max(1) as f64;
        let share = wave.info.within as f64 / rounds;
        let elapsed = now.saturating_sub(wave.since) as f64;
        let round = (done / most) as f64 + PATIENCE;
        let late = elapsed > round * share;
        let not_before = wave.not_before.clone();
        self.keep_clear(&waiting, most + AHEAD);
        let mut free = most.saturating_sub(down);
        for machine in waiting {
            if free == 0 {
                return;
            }
            if not_before.get(&machine).is_some_and(|at| *at > now) {
                continue;
            }
            if !self.may_go_down(&machine, late) {
                continue;
            }
            free -= 1;
            self.call_upkeep(number, machine, now);
        }
    }

    fn call_upkeep(&mut self, number: u64, machine: String, now: Millis) {
        let name = self.machines.machines.get(&machine);
        let name = name.map(|m| m.executor.clone()).unwrap_or_default();
        let life = self.by_id.get(&name).copied();
        let lived = Lived { name, life };
        if let Some(wave) = self.machines.waves.get_mut(&number) {
            wave.turns.insert(machine.clone(), Turn::Called(now));
            wave.lives.entry(machine.clone()).or_insert(lived);
        }
        let index = self.executor_of(&machine);
        if let Some(executor) = index.and_then(|i| self.executors.get_mut(&i))
        {
            executor.maintenance_ordered = true;
        }
        self.count("upkeeps");
        self.actions.push(Action::StartMaintenance { wave: number, machine });
    }

    fn executor_of(&self, machine: &str) -> Option<ExecutorIndex> {
        let machine = self.machines.machines.get(machine)?;
        self.by_id.get(&machine.executor).copied()
    }

    /// Places nothing more on the machines that come next.
    fn keep_clear(&mut self, waiting: &[String], most: usize) {
        let next: BTreeSet<ExecutorIndex> = waiting
            .iter()
            .take(most)
            .filter_map(|machine| self.executor_of(machine))
            .collect();
        for (index, executor) in self.executors.iter_mut() {
            executor.maintenance_due |= next.contains(index);
        }
    }

    /// Whether a machine may be taken down: nothing runs there, or it is
    /// late and no step loses more tasks than it bears.
    fn may_go_down(&self, machine: &str, late: bool) -> bool {
        let Some(info) = self.machines.machines.get(machine) else {
            return false;
        };
        if info.state != MachineState::Up {
            return false;
        }
        let Some(index) = self.executor_of(machine) else { return late };
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
        lost.iter().all(|(step, lost)| self.bears(*step, *lost))
    }

    /// Whether so many more tasks of a step may be away.
    fn bears(&self, key: StepKey, lost: u32) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let Some(step) = live.job.steps.get(key.step as usize) else {
            return true;
        };
        let Some(most) = step.may_miss else { return true };
        let state = live.steps.get(&(key.time, key.step));
        let places = state.map(|s| s.placements.clone()).unwrap_or_default();
        let at_work = places.iter().filter(|(index, (at, run))| {
            let task = key.task(**index);
            let there = self.executors.get(at);
            let executor = there.filter(|e| {
                !e.maintenance_ordered && e.liveness == Liveness::Ready
            });
            let on = executor.and_then(|e| e.runs.get(&task));
            on.is_some_and(|on| {
                on.run == *run && on.phase == RunPhase::Running
            })
        });
        let away = step.count.saturating_sub(at_work.count() as u32);
        away + lost <= most
    }

    /// Has the state of waves written that has changed.
    fn report_waves(&mut self) {
        for (number, wave) in &mut self.machines.waves {
            let done = wave.turns.values().all(|turn| *turn == Turn::Done);
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
