//! Scheduling: which task starts next, and on which worker.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Priority, Resources};
use crate::contract::stable_hash;
use crate::ids::{Millis, TargetId, TaskId};
use crate::tasks::fit::{per_mille, Candidate, Score};

use super::{JobState, Phase, PlacedTask, Placer, Worker};

/// The most work that a task that can be checkpointed loses when it is
/// stopped.
const CHECKPOINT_COST: Millis = 1_000;
/// Of a changed service, at most one task in this many, but at least one, is
/// replaced at a time.
const ROLLING_UPDATE_DIVISOR: u32 = 4;

/// The rank of a job in the order of placement; the lowest comes first. Its
/// parts are the priority, the use of the team's quota, the `config_number` of
/// the job, and the size of its tasks.
type Rank = (Reverse<Priority>, u64, u64, Reverse<u64>);

/// The tasks to preempt on a worker, and the work that this loses.
struct Victims {
    lost_work: Millis,
    worker: TargetId,
    tasks: Vec<TaskId>,
}

impl Placer {
    /// Places waiting tasks until none can be placed. Jobs are ordered by
    /// priority, then by how little of its quota their team uses, then by when
    /// they appeared. Of jobs that appeared together, the one with the largest
    /// tasks comes first, since small tasks are easy to place.
    ///
    /// A placement makes the ranks of its team's jobs worse and none better.
    /// So all ranks are computed once, and the rank of the first job is
    /// computed again before it is used.
    pub(super) fn schedule(&mut self, now: Millis) {
        if self.has_unwanted {
            self.stop_unwanted();
        }
        let ranked =
            self.waiting_jobs.iter().map(|name| (self.rank(name), name));
        let mut queue: BTreeSet<(Rank, String)> =
            ranked.map(|(rank, name)| (rank, name.clone())).collect();
        while let Some((rank, name)) = queue.pop_first() {
            let current_rank = self.rank(&name);
            if current_rank > rank {
                queue.insert((current_rank, name));
                continue;
            }
            if self.place_next(now, &name) {
                queue.insert((current_rank, name));
            }
        }
    }

    fn rank(&self, name: &str) -> Rank {
        let job = &self.jobs[name];
        let size = self.size(&job.job.need);
        (Reverse(job.priority), self.quota_used(job), job.config_number, size)
    }

    /// The size of a task: the larger of the parts of the largest worker's CPU
    /// and memory that it needs, in thousandths. A task that needs
    /// accelerators counts as larger than those that don't, since it fits on
    /// few workers.
    fn size(&self, need: &Resources) -> Reverse<u64> {
        let cpu = per_mille(need.cpu_millis, self.largest_worker.cpu_millis);
        let memory = per_mille(need.memory_mb, self.largest_worker.memory_mb);
        let accelerators = if need.accelerators > 0 { 1_000 } else { 0 };
        Reverse(accelerators + cpu.max(memory))
    }

    /// Places the next task of a job, or preempts other tasks for it. Returns
    /// whether it was placed. If not, no other task of the job can be placed
    /// either, since all need the same resources.
    fn place_next(&mut self, now: Millis, name: &str) -> bool {
        let job = &self.jobs[name];
        if job.not_before > now || !self.within_quota(job) {
            return false;
        }
        let Some(index) = self.first_startable(name) else { return false };
        let id = TaskId::new(name, index);
        let (need, priority) = (job.job.need, job.priority);
        if let Some(worker) = self.choose_worker(&id, job) {
            self.place_task(now, &id, &worker);
            return true;
        }
        if priority > Priority::Batch {
            self.preempt_for(now, &id, &need, priority);
        }
        false
    }

    /// The index of the first waiting task that can't be running elsewhere.
    fn first_startable(&self, name: &str) -> Option<u32> {
        let job = &self.jobs[name];
        if job.never_repeat() && !self.term.confirmed {
            return None;
        }
        if self.term.takeover_complete() {
            return job.waiting.first().copied();
        }
        // An earlier holder may have started every task that it knew of.
        let former_count =
            self.former_task_counts.get(name).copied().unwrap_or(0);
        job.waiting.range(former_count..).next().copied()
    }

    /// The largest part that the job's team uses of its quota of any resource,
    /// in thousandths.
    fn quota_used(&self, job: &JobState) -> u64 {
        let Some(quota) = self.quotas.get(&job.job.team) else { return 0 };
        let Some(used) = self.team_usage.get(&job.job.team) else { return 0 };
        let part = |used: u32, quota: u32| match quota {
            0 => 0,
            _ => per_mille(used, quota),
        };
        part(used.cpu_millis, quota.cpu_millis)
            .max(part(used.memory_mb, quota.memory_mb))
            .max(part(used.accelerators, quota.accelerators))
    }

    fn within_quota(&self, job: &JobState) -> bool {
        let team = &job.job.team;
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        let quota = self.quotas.get(team).copied().unwrap_or_default();
        quota.fits(&used.plus(&job.job.need))
    }

    fn choose_worker(&self, id: &TaskId, job: &JobState) -> Option<TargetId> {
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
        let reserved = state.reservations.get(id).copied().unwrap_or_default();
        let free = state.free.plus(&reserved);
        if !free.fits(need) || !state.accepts_work() {
            return None;
        }
        let candidate = Candidate {
            capacity: state.capacity,
            free,
            same_service_tasks: count_same_service(id, job, state),
            random_key: self.random_key(id, worker),
        };
        Some(self.config.fit.score(&candidate, need))
    }

    fn random_key(&self, id: &TaskId, worker: &TargetId) -> u64 {
        match self.config.fit {
            super::Fit::Random => stable_hash(&(id, worker)),
            _ => 0,
        }
    }

    fn place_task(&mut self, now: Millis, id: &TaskId, worker: &TargetId) {
        let Some(job) = self.jobs.get(id.job()) else { return };
        let never_repeat = job.never_repeat();
        let (spec, need) = (job.spec, job.job.need);
        let phase =
            if never_repeat { Phase::Unrecorded } else { Phase::Starting };
        let placed = PlacedTask {
            spec,
            need,
            priority: job.priority,
            phase,
            started_at: now,
            start_seq: None,
            charged_team: None,
        };
        if let Some(state) = self.workers.get_mut(worker) {
            state.tasks.insert(id.clone(), placed);
            state.sync_now = true;
        }
        self.release_reservation(id);
        self.update_free(worker);
        self.record_placement(worker, id, &need);
        if never_repeat {
            self.progress.set_started(id, spec);
            self.progress_version += 1;
            self.unsaved_starts.push((self.progress_version, id.clone()));
        }
    }

    /// Releases the resources reserved for the task.
    fn release_reservation(&mut self, id: &TaskId) {
        if self.reservations_made == 0 {
            return;
        }
        let has_reservation = |(_, state): &(&TargetId, &Worker)| {
            state.reservations.contains_key(id)
        };
        let found = self.workers.iter().find(has_reservation);
        let Some(worker) = found.map(|(worker, _)| worker.clone()) else {
            return;
        };
        if let Some(state) = self.workers.get_mut(&worker) {
            state.reservations.remove(id);
        }
        self.update_free(&worker);
    }

    /// Preempts batch tasks on the worker where this loses the least work, and
    /// reserves the resources of the task there.
    fn preempt_for(
        &mut self,
        now: Millis,
        id: &TaskId,
        need: &Resources,
        priority: Priority,
    ) {
        let has_reservation =
            |state: &Worker| state.reservations.contains_key(id);
        if self.workers.values().any(has_reservation) {
            return;
        }
        let victims = |(worker, state): (&TargetId, &Worker)| {
            self.find_victims(now, worker, state, need, priority)
        };
        let options = self.workers.iter().filter_map(victims);
        let Some(best) = options.min_by_key(|v| (v.lost_work, v.tasks.len()))
        else {
            return;
        };
        for task in &best.tasks {
            *self.preemptions.entry(task.clone()).or_default() += 1;
            self.stop(&best.worker, task);
        }
        if let Some(state) = self.workers.get_mut(&best.worker) {
            state.reservations.insert(id.clone(), *need);
            self.reservations_made += 1;
        }
        self.update_free(&best.worker);
    }

    fn find_victims(
        &self,
        now: Millis,
        worker: &TargetId,
        state: &Worker,
        need: &Resources,
        priority: Priority,
    ) -> Option<Victims> {
        if !state.accepts_work() || !state.capacity.fits(need) {
            return None;
        }
        let mut options: Vec<(Millis, &TaskId, &Resources)> = state
            .tasks
            .iter()
            .filter(|(id, task)| self.is_preemptible(id, task, priority))
            .map(|(id, task)| (self.lost_work(now, id, task), id, &task.need))
            .collect();
        options.sort();
        let mut free = state.free;
        let mut victims = Victims {
            lost_work: 0,
            worker: worker.clone(),
            tasks: Vec::new(),
        };
        for (lost, id, held) in options {
            if free.fits(need) {
                break;
            }
            free = free.plus(held);
            victims.lost_work += lost;
            victims.tasks.push(id.clone());
        }
        (free.fits(need) && !victims.tasks.is_empty()).then_some(victims)
    }

    fn is_preemptible(
        &self,
        id: &TaskId,
        task: &PlacedTask,
        priority: Priority,
    ) -> bool {
        let preempted = self.preemptions.get(id).copied().unwrap_or(0);
        let job = self.jobs.get(id.job());
        let never_repeat = job.is_some_and(JobState::never_repeat);
        task.priority == Priority::Batch
            && task.priority < priority
            && task.phase == Phase::Running
            && preempted < self.config.max_preemptions
            && !never_repeat
    }

    /// The work that is lost when the task is stopped.
    fn lost_work(
        &self,
        now: Millis,
        id: &TaskId,
        task: &PlacedTask,
    ) -> Millis {
        let job = self.jobs.get(id.job());
        let checkpoint = job.is_some_and(|job| job.job.checkpoint);
        let age = now.saturating_sub(task.started_at);
        if checkpoint {
            age.min(CHECKPOINT_COST)
        } else {
            age
        }
    }

    /// Stops tasks that the configuration does not ask for. The tasks of a
    /// changed service are replaced a few at a time.
    pub(super) fn stop_unwanted(&mut self) {
        let mut unwanted = false;
        let mut stops = Vec::new();
        let mut rolling: BTreeMap<&str, u32> = BTreeMap::new();
        for (worker, state) in &self.workers {
            for (id, task) in &state.tasks {
                if self.is_wanted(id, task.spec) {
                    continue;
                }
                // Tasks that are not stopped yet, or whose stop is not
                // confirmed yet, have to be examined again.
                unwanted = true;
                if let Some(limit) = self.rolling_update_limit(id) {
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
        self.has_unwanted = unwanted;
        for (worker, id) in stops {
            self.stop(&worker, &id);
        }
    }

    /// How many tasks of a changed service may be replaced at a time, if
    /// the task belongs to one.
    fn rolling_update_limit(&self, id: &TaskId) -> Option<u32> {
        let job = self.jobs.get(id.job())?;
        let wanted = job.job.enabled && id.index() < job.job.tasks;
        (job.service && wanted)
            .then(|| (job.job.tasks / ROLLING_UPDATE_DIVISOR).max(1))
    }
}

/// The numbers of tasks of the same service in the worker's rack and on the
/// worker; zero for batch tasks, which are not spread.
fn count_same_service(
    id: &TaskId,
    job: &JobState,
    state: &Worker,
) -> (u32, u32) {
    if !job.service {
        return (0, 0);
    }
    let rack = job.by_rack.get(&state.info.rack).copied().unwrap_or(0);
    let first = TaskId::new(id.job(), 0);
    let same = state.tasks.range(first..);
    let on_worker =
        same.take_while(|(task, _)| task.job() == id.job()).count();
    (rack, on_worker as u32)
}
