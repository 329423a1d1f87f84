//! What starts next, and where.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Priority, Resources};
use crate::contract::stable_hash;
use crate::ids::{Millis, TargetId, TaskId};
use crate::tasks::fit::{share, Candidate, Score};

use super::{JobState, Phase, Placed, Placer, Worker};

/// What a task that can be checkpointed loses when it is stopped.
const CHECKPOINT_COST: Millis = 1_000;
/// At most one task in this many of a changed job is replaced at a time.
const ROLLING_PART: u32 = 4;

/// A job's place in line; the lowest is first.
type Rank = (Reverse<Priority>, u64, u64, Reverse<u64>);

/// A worker on which room can be made, and what that costs.
struct Victims {
    lost: Millis,
    worker: TargetId,
    tasks: Vec<TaskId>,
}

impl Placer {
    /// Places waiting tasks until none can be placed: the most urgent job
    /// first, then the team that holds the least of its quota, then the job
    /// that has been known longest, and of jobs that came together the one
    /// with the largest tasks, since small ones fit in anywhere.
    ///
    /// A placement makes the ranks of its team's jobs worse and none better.
    /// So the ranks are worked out once, and that of the first job is looked
    /// at again before it is believed.
    pub(super) fn schedule(&mut self, now: Millis) {
        if self.unwanted {
            self.stop_unwanted();
        }
        let ranked = self.pending.iter().map(|name| (self.rank(name), name));
        let mut line: BTreeSet<(Rank, String)> =
            ranked.map(|(rank, name)| (rank, name.clone())).collect();
        while let Some((rank, name)) = line.pop_first() {
            let newest = self.rank(&name);
            if newest > rank {
                line.insert((newest, name));
                continue;
            }
            if self.start_next(now, &name) {
                line.insert((newest, name));
            }
        }
    }

    fn rank(&self, name: &str) -> Rank {
        let job = &self.jobs[name];
        let size = self.size(&job.job.need);
        (Reverse(job.priority), self.quota_used(job), job.order, size)
    }

    /// The size of a task: the largest part it takes of a whole worker, in
    /// thousandths. A task with accelerators counts as larger than any other,
    /// since it finds a place on few workers.
    fn size(&self, need: &Resources) -> Reverse<u64> {
        let cpu = share(need.cpu_millis, self.largest.cpu_millis);
        let memory = share(need.memory_mb, self.largest.memory_mb);
        let rare = if need.accelerators > 0 { 1_000 } else { 0 };
        Reverse(rare + cpu.max(memory))
    }

    /// Places the next task of a job, or makes room for it. Returns whether
    /// it was placed; if not, the job's other tasks would fare the same,
    /// since they need the same.
    fn start_next(&mut self, now: Millis, name: &str) -> bool {
        let job = &self.jobs[name];
        if job.not_before > now || !self.within_quota(job) {
            return false;
        }
        let Some(index) = self.first_startable(name) else { return false };
        let id = TaskId::new(name, index);
        let (need, priority) = (job.job.need, job.priority);
        if let Some(worker) = self.choose(&id, job) {
            self.place(now, &id, &worker);
            return true;
        }
        if priority > Priority::Batch {
            self.make_room(now, &id, &need, priority);
        }
        false
    }

    /// The first waiting task that can't be running elsewhere.
    fn first_startable(&self, name: &str) -> Option<u32> {
        let job = &self.jobs[name];
        if job.never_repeat() && !self.tenure.confirmed {
            return None;
        }
        if self.tenure.takeover_complete() {
            return job.waiting.first().copied();
        }
        // An earlier holder may have started every task that it knew of.
        let old = self.old.get(name).copied().unwrap_or(0);
        job.waiting.range(old..).next().copied()
    }

    /// How much of its quota the job's team holds, in thousandths.
    fn quota_used(&self, job: &JobState) -> u64 {
        let Some(quota) = self.quotas.get(&job.job.team) else { return 0 };
        let Some(held) = self.held.get(&job.job.team) else { return 0 };
        let part = |held: u32, quota: u32| match quota {
            0 => 0,
            _ => share(held, quota),
        };
        part(held.cpu_millis, quota.cpu_millis)
            .max(part(held.memory_mb, quota.memory_mb))
            .max(part(held.accelerators, quota.accelerators))
    }

    fn within_quota(&self, job: &JobState) -> bool {
        let team = &job.job.team;
        let held = self.held.get(team).copied().unwrap_or_default();
        let quota = self.quotas.get(team).copied().unwrap_or_default();
        quota.fits(&held.plus(&job.job.need))
    }

    fn choose(&self, id: &TaskId, job: &JobState) -> Option<TargetId> {
        let mut best: Option<(Score, &TargetId)> = None;
        for (worker, state) in &self.workers {
            let Some(score) = self.score(id, job, worker, state) else {
                continue;
            };
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker.clone())
    }

    fn score(
        &self,
        id: &TaskId,
        job: &JobState,
        worker: &TargetId,
        state: &Worker,
    ) -> Option<Score> {
        let need = &job.job.need;
        let aside = state.set_aside.get(id).copied().unwrap_or_default();
        let free = state.free.plus(&aside);
        if !free.fits(need) || !state.takes_work() {
            return None;
        }
        let candidate = Candidate {
            capacity: state.capacity,
            free,
            neighbours: neighbours(id, job, state),
            lot: self.lot(id, worker),
        };
        Some(self.config.fit.score(&candidate, need))
    }

    fn lot(&self, id: &TaskId, worker: &TargetId) -> u64 {
        match self.config.fit {
            super::Fit::Random => stable_hash(&(id, worker)),
            _ => 0,
        }
    }

    fn place(&mut self, now: Millis, id: &TaskId, worker: &TargetId) {
        let Some(job) = self.jobs.get(id.job()) else { return };
        let once = job.never_repeat();
        let (spec, need) = (job.spec, job.job.need);
        let phase = if once { Phase::Intended } else { Phase::Starting };
        let placed = Placed {
            spec,
            need,
            priority: job.priority,
            phase,
            since: now,
            sent: None,
            team: None,
        };
        if let Some(state) = self.workers.get_mut(worker) {
            state.tasks.insert(id.clone(), placed);
            state.dirty = true;
        }
        self.clear_aside(id);
        self.refresh(worker);
        self.settle_in(worker, id, &need);
        if once {
            self.progress.set_started(id, spec);
            self.progress_made += 1;
            self.intended.push((self.progress_made, id.clone()));
        }
    }

    /// Gives back what was set aside for the task.
    fn clear_aside(&mut self, id: &TaskId) {
        if self.asides == 0 {
            return;
        }
        let holds = |(_, state): &(&TargetId, &Worker)| {
            state.set_aside.contains_key(id)
        };
        let found = self.workers.iter().find(holds);
        let Some(worker) = found.map(|(worker, _)| worker.clone()) else {
            return;
        };
        if let Some(state) = self.workers.get_mut(&worker) {
            state.set_aside.remove(id);
        }
        self.refresh(&worker);
    }

    /// Stops less urgent tasks on one worker, those with the least lost
    /// work, and sets the room aside for the task.
    fn make_room(
        &mut self,
        now: Millis,
        id: &TaskId,
        need: &Resources,
        priority: Priority,
    ) {
        let waits = |state: &Worker| state.set_aside.contains_key(id);
        if self.workers.values().any(waits) {
            return;
        }
        let victims = |(worker, state): (&TargetId, &Worker)| {
            self.victims(now, worker, state, need, priority)
        };
        let options = self.workers.iter().filter_map(victims);
        let Some(best) = options.min_by_key(|v| (v.lost, v.tasks.len()))
        else {
            return;
        };
        for task in &best.tasks {
            *self.preemptions.entry(task.clone()).or_default() += 1;
            self.stop(&best.worker, task);
        }
        if let Some(state) = self.workers.get_mut(&best.worker) {
            state.set_aside.insert(id.clone(), *need);
            self.asides += 1;
        }
        self.refresh(&best.worker);
    }

    fn victims(
        &self,
        now: Millis,
        worker: &TargetId,
        state: &Worker,
        need: &Resources,
        priority: Priority,
    ) -> Option<Victims> {
        if !state.takes_work() || !state.capacity.fits(need) {
            return None;
        }
        let mut options: Vec<(Millis, &TaskId, &Resources)> = state
            .tasks
            .iter()
            .filter(|(id, task)| self.may_stop(id, task, priority))
            .map(|(id, task)| (self.lost(now, id, task), id, &task.need))
            .collect();
        options.sort();
        let mut free = state.free;
        let mut victims =
            Victims { lost: 0, worker: worker.clone(), tasks: Vec::new() };
        for (lost, id, held) in options {
            if free.fits(need) {
                break;
            }
            free = free.plus(held);
            victims.lost += lost;
            victims.tasks.push(id.clone());
        }
        (free.fits(need) && !victims.tasks.is_empty()).then_some(victims)
    }

    fn may_stop(
        &self,
        id: &TaskId,
        task: &Placed,
        priority: Priority,
    ) -> bool {
        let stopped = self.preemptions.get(id).copied().unwrap_or(0);
        let job = self.jobs.get(id.job());
        let once = job.is_some_and(JobState::never_repeat);
        task.priority == Priority::Batch
            && task.priority < priority
            && task.phase == Phase::Running
            && stopped < self.config.max_preemptions
            && !once
    }

    /// The work that is lost when the task is stopped, in milliseconds.
    fn lost(&self, now: Millis, id: &TaskId, task: &Placed) -> Millis {
        let job = self.jobs.get(id.job());
        let checkpoint = job.is_some_and(|job| job.job.checkpoint);
        let age = now.saturating_sub(task.since);
        if checkpoint {
            age.min(CHECKPOINT_COST)
        } else {
            age
        }
    }

    /// Stops what the file in force does not ask for. The tasks of a
    /// changed service are replaced a few at a time.
    pub(super) fn stop_unwanted(&mut self) {
        let mut unwanted = false;
        let mut stops = Vec::new();
        let mut rolling: BTreeMap<&str, u32> = BTreeMap::new();
        for (worker, state) in &self.workers {
            for (id, task) in &state.tasks {
                if self.wanted(id, task.spec) {
                    continue;
                }
                // What is left for later, or may come back, is looked at
                // again.
                unwanted = true;
                if let Some(limit) = self.rolling_limit(id) {
                    let count = rolling.entry(id.job()).or_default();
                    *count += 1;
                    if *count > limit {
                        continue;
                    }
                }
                if task.phase != Phase::Stopping {
                    stops.push((worker.clone(), id.clone()));
                }
            }
        }
        self.unwanted = unwanted;
        for (worker, id) in stops {
            self.stop(&worker, &id);
        }
    }

    /// How many tasks of a changed service may be replaced at a time, if
    /// the task belongs to one.
    fn rolling_limit(&self, id: &TaskId) -> Option<u32> {
        let job = self.jobs.get(id.job())?;
        let kept = job.job.enabled && id.index() < job.job.tasks;
        (job.service && kept).then(|| (job.job.tasks / ROLLING_PART).max(1))
    }
}

/// The tasks of the same service in the worker's rack and on the worker.
/// Batch work is not spread.
fn neighbours(id: &TaskId, job: &JobState, state: &Worker) -> (u32, u32) {
    if !job.service {
        return (0, 0);
    }
    let rack = job.by_rack.get(&state.info.rack).copied().unwrap_or(0);
    let first = TaskId::new(id.job(), 0);
    let same = state.tasks.range(first..);
    let here = same.take_while(|(task, _)| task.job() == id.job()).count();
    (rack, here as u32)
}
