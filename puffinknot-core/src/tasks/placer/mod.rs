/*!
The state of one data centre's tasks, as its holder sees it.

What is done with the state has modules of its own: `sync` talks to the
workers, `schedule` chooses what starts where, `saved_progress` keeps what must outlast
this VM, and `view` shows all of it to operators.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Config, Job, Priority, Repeat, Resources, Room};
use crate::contract::hash;
use crate::ids::{DcName, Epoch, Millis, TargetId, TaskId};
use crate::tasks::fit::Fit;
use crate::tasks::message::{SyncRequest, WorkerInfo};
use crate::tasks::progress::Progress;
use crate::tenure::Tenure;

mod saved_progress;
mod schedule;
mod sync;
mod view;

pub use self::view::{JobView, WorkerView};

/// How the placer decides.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlacerConfig {
    /// How long a worker runs its tasks without word from the holder.
    pub lease: Millis,
    /// How often one task may be stopped to make room.
    pub max_preemptions: u32,
    /// How workers are chosen.
    pub fit: Fit,
}

impl Default for PlacerConfig {
    fn default() -> PlacerConfig {
        PlacerConfig { lease: 10_000, max_preemptions: 3, fit: Fit::Best }
    }
}

impl PlacerConfig {
    /// Clocks may drift apart by one part in this many within a lease.
    const DRIFT_DIVISOR: Millis = 50;
    /// What is added for the grain of clocks.
    const CLOCK_GRANULARITY: Millis = 100;
    /// A worker is synced this often within a lease.
    const SYNCS_PER_LEASE: Millis = 4;
    /// A sync without an answer is given up after this part of a lease.
    const TIMEOUTS_PER_LEASE: Millis = 8;

    fn clock_margin(&self) -> Millis {
        self.lease / PlacerConfig::DRIFT_DIVISOR
            + PlacerConfig::CLOCK_GRANULARITY
    }
}

/// The delay before a failed task starts again, in milliseconds.
const INITIAL_BACKOFF: Millis = 1_000;
/// The delay doubles with each failure, up to this number of times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Where a task is in its life on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It has a place, but that it may have been started has yet to be
    /// recorded.
    Unrecorded,
    /// It is to be started, or its start is not confirmed yet.
    Starting,
    /// The worker has reported it.
    Running,
    /// It is to be stopped, or its stop is not confirmed yet.
    Stopping,
}

/// A task that has a place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlacedTask {
    spec: u64,
    need: Resources,
    priority: Priority,
    phase: Phase,
    started_at: Millis,
    /// The sync that carried the start, if one has been sent.
    start_seq: Option<u64>,
    /// The team whose quota it counts against, if it counts.
    charged_team: Option<String>,
}

/// Whether a worker can be talked to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Contact {
    /// It has not answered in this tenure.
    NeverHeard,
    /// It answers.
    Reachable,
    /// It has stopped to answer.
    Unresponsive,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingSync {
    seq: u64,
    sent_at: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Worker {
    contact: Contact,
    info: WorkerInfo,
    /// What it has, less the room for the old scripts.
    capacity: Resources,
    /// What is free of `capacity`, less what is set aside.
    free: Resources,
    /// The last reading of its clock, and when it was received.
    last_clock: Millis,
    clock_read_at: Millis,
    /// The end of its lease, in its clock.
    lease_until: Millis,
    /// The latest end of a lease that a former holder gave it, in its clock.
    /// It bounds when the worker may be given up, and is never sent: this
    /// holder renews nothing by it.
    former_lease_until: Millis,
    last_seq: u64,
    list_version: u64,
    pending_sync: Option<PendingSync>,
    last_sync_at: Millis,
    /// What has to be sent without waiting for the next renewal.
    sync_now: bool,
    departing: bool,
    tasks: BTreeMap<TaskId, PlacedTask>,
    /// Tasks that wait for others to be stopped here.
    reservations: BTreeMap<TaskId, Resources>,
    ended_to_ack: BTreeSet<TaskId>,
}

impl Worker {
    fn new(now: Millis) -> Worker {
        Worker {
            contact: Contact::NeverHeard,
            info: WorkerInfo {
                capacity: Resources::default(),
                rack: String::new(),
                leaving: false,
            },
            capacity: Resources::default(),
            free: Resources::default(),
            last_clock: 0,
            clock_read_at: now,
            lease_until: 0,
            former_lease_until: 0,
            last_seq: 0,
            list_version: 0,
            pending_sync: None,
            last_sync_at: 0,
            sync_now: true,
            departing: false,
            tasks: BTreeMap::new(),
            reservations: BTreeMap::new(),
            ended_to_ack: BTreeSet::new(),
        }
    }

    fn accepts_work(&self) -> bool {
        let leaving = self.departing || self.info.leaving;
        self.contact == Contact::Reachable && !leaving
    }

    fn update_free(&mut self, room: &Resources) {
        self.capacity = self.info.capacity.minus(room);
        let promised = self.tasks.values().map(|task| &task.need);
        let all = promised.chain(self.reservations.values());
        let sum = all.fold(Resources::default(), |sum, n| sum.plus(n));
        self.free = self.capacity.minus(&sum);
    }

    /// The least that its clock can show now.
    fn min_clock_now(&self, now: Millis) -> Millis {
        self.last_clock + now.saturating_sub(self.clock_read_at)
    }

    /// When every lease of it has certainly lapsed, on the holder's clock.
    fn lapses_at(&self, config: &PlacerConfig) -> Millis {
        let until = self.lease_until.max(self.former_lease_until);
        let left = until.saturating_sub(self.last_clock);
        self.clock_read_at + left + config.clock_margin()
    }
}

/// A job of this data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct JobState {
    job: Job,
    service: bool,
    spec: u64,
    priority: Priority,
    /// A place in line: the revision with which the job became known.
    config_number: u64,
    /// Indexes of tasks that wait for a place.
    waiting: BTreeSet<u32>,
    /// Indexes of tasks that may have run and must not be repeated.
    unknown: BTreeSet<u32>,
    /// How many tasks of a service are in each rack.
    by_rack: BTreeMap<String, u32>,
    /// Failures in a row, and the earliest time of the next start.
    failures: u32,
    not_before: Millis,
}

impl JobState {
    fn never_repeat(&self) -> bool {
        self.job.repeat == Repeat::Never
    }
}

/// The tasks of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placer {
    config: PlacerConfig,
    dc: DcName,
    /// The tenure under which this VM places tasks.
    pub term: Tenure,
    /// Jobs and their number of tasks at the start of the tenure.
    former_task_counts: BTreeMap<String, u32>,
    /// The platform confirmed at this time that the contract is held.
    confirmed_at: Millis,
    external_use: Room,
    quotas: BTreeMap<String, Resources>,
    team_usage: BTreeMap<String, Resources>,
    jobs: BTreeMap<String, JobState>,
    config_number: u64,
    /// Jobs with tasks that wait.
    waiting_jobs: BTreeSet<String>,
    workers: BTreeMap<TargetId, Worker>,
    worker_of_task: BTreeMap<TaskId, TargetId>,
    preemptions: BTreeMap<TaskId, u32>,
    progress: Progress,
    /// Changes of `progress`: made, and known to be written.
    progress_version: u64,
    saved_version: u64,
    /// Ended tasks that may be forgotten once the write is made.
    unsaved_ends: Vec<(u64, TargetId, TaskId)>,
    /// Tasks that may be started once the write is made.
    unsaved_starts: Vec<(u64, TaskId)>,
    /// How often room was set aside, so that most placements need not look
    /// for it.
    reservations_made: u64,
    /// Some tasks run that the file in force does not ask for.
    has_unwanted: bool,
    /// The most that one worker has in each dimension.
    largest_worker: Resources,
    /// Something changed that may let a task start.
    needs_scheduling: bool,
}

impl Placer {
    /// A placer at the start of a tenure. `old` is the file that earlier
    /// holders may have known; `progress` is what the platform holds.
    pub fn new(
        config: PlacerConfig,
        dc: DcName,
        tenure: Tenure,
        old: Option<&Config>,
        progress: Progress,
    ) -> Placer {
        let count = |(job, _): (&Job, bool)| (job.name.clone(), job.tasks);
        let old = old.map(|c| c.jobs().map(count).collect());
        Placer {
            config,
            dc,
            term: tenure,
            former_task_counts: old.unwrap_or_default(),
            confirmed_at: 0,
            external_use: Room::default(),
            quotas: BTreeMap::new(),
            team_usage: BTreeMap::new(),
            jobs: BTreeMap::new(),
            config_number: 0,
            waiting_jobs: BTreeSet::new(),
            workers: BTreeMap::new(),
            worker_of_task: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            progress,
            progress_version: 0,
            saved_version: 0,
            unsaved_ends: Vec::new(),
            unsaved_starts: Vec::new(),
            reservations_made: 0,
            has_unwanted: false,
            largest_worker: Resources::default(),
            needs_scheduling: true,
        }
    }

    /// A revision of the operators' file is in force.
    pub fn apply_config(&mut self, config: &Config) {
        self.config.lease = config.policy.task_lease_ms;
        self.config.max_preemptions = config.policy.max_preemptions;
        self.external_use = config.room.clone();
        self.quotas =
            config.teams.iter().map(|t| (t.name.clone(), t.quota)).collect();
        let here = |(job, _): &(&Job, bool)| job.data_centre == self.dc;
        let jobs: Vec<(Job, bool)> = config
            .jobs()
            .filter(here)
            .map(|(job, service)| (job.clone(), service))
            .collect();
        self.config_number += 1;
        self.remove_missing_jobs(&jobs);
        for (job, service) in jobs {
            self.insert_job(job, service);
        }
        self.release_stale_reservations();
        self.stop_unwanted();
        self.needs_scheduling = true;
    }

    /// Gives back room set aside for tasks that are no longer asked for.
    fn release_stale_reservations(&mut self) {
        let jobs = &self.jobs;
        let waits = |id: &TaskId| {
            let job = jobs.get(id.job());
            job.is_some_and(|job| job.waiting.contains(&id.index()))
        };
        for state in self.workers.values_mut() {
            state.reservations.retain(|id, _| waits(id));
        }
        let ids: Vec<TargetId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.update_free(&id);
        }
    }

    fn remove_missing_jobs(&mut self, jobs: &[(Job, bool)]) {
        let names: BTreeSet<&str> =
            jobs.iter().map(|(job, _)| job.name.as_str()).collect();
        self.jobs.retain(|name, _| names.contains(name.as_str()));
        self.waiting_jobs.retain(|name| names.contains(name.as_str()));
    }

    fn insert_job(&mut self, job: Job, service: bool) {
        let spec = spec_hash(&job);
        let order = match self.jobs.get(&job.name) {
            Some(known) => known.config_number,
            None => self.config_number,
        };
        let name = job.name.clone();
        let state = JobState {
            priority: job.priority(service),
            job,
            service,
            spec,
            config_number: order,
            waiting: BTreeSet::new(),
            unknown: BTreeSet::new(),
            by_rack: BTreeMap::new(),
            failures: 0,
            not_before: 0,
        };
        self.jobs.insert(name.clone(), state);
        self.recompute_waiting(&name);
    }

    /// Works out anew which tasks of a job wait.
    fn recompute_waiting(&mut self, name: &str) {
        let Some(job) = self.jobs.get(name) else { return };
        let tasks = if job.job.enabled { job.job.tasks } else { 0 };
        let mut racks: BTreeMap<String, u32> = BTreeMap::new();
        let mut waiting = BTreeSet::new();
        let mut unknown = BTreeSet::new();
        for index in 0..tasks {
            let id = TaskId::new(name, index);
            if let Some(place) = self.worker_of_task.get(&id) {
                let rack = self.workers[place].info.rack.clone();
                *racks.entry(rack).or_default() += 1;
            } else if self.progress.is_done(&id, job.spec) {
                continue;
            } else if self.progress.is_started(&id, job.spec) {
                unknown.insert(index);
            } else {
                waiting.insert(index);
            }
        }
        let Some(job) = self.jobs.get_mut(name) else { return };
        job.by_rack = racks;
        job.waiting = waiting;
        job.unknown = unknown;
        self.update_waiting_jobs(name);
    }

    fn update_waiting_jobs(&mut self, name: &str) {
        match self.jobs.get(name) {
            Some(job) if !job.waiting.is_empty() => {
                self.waiting_jobs.insert(name.to_string());
            }
            _ => {
                self.waiting_jobs.remove(name);
            }
        }
    }

    /// Whether the file in force asks for the task, in this form.
    fn is_wanted(&self, id: &TaskId, spec: u64) -> bool {
        self.jobs.get(id.job()).is_some_and(|job| {
            job.spec == spec && job.job.enabled && id.index() < job.job.tasks
        })
    }

    fn stop(&mut self, worker: &TargetId, id: &TaskId) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(task) = state.tasks.get_mut(id) else { return };
        // A start that was never sent needs no stop.
        let unsent = task.phase == Phase::Unrecorded
            || (task.phase == Phase::Starting && task.start_seq.is_none());
        task.phase = Phase::Stopping;
        state.sync_now = true;
        if unsent {
            self.remove_placement(worker, id);
        }
    }

    /// The task is certainly not at the worker (any more).
    fn remove_placement(&mut self, worker: &TargetId, id: &TaskId) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(task) = state.tasks.remove(id) else { return };
        let rack = state.info.rack.clone();
        self.update_free(worker);
        self.needs_scheduling = true;
        if self.worker_of_task.get(id) != Some(worker) {
            return;
        }
        self.worker_of_task.remove(id);
        if let Some(held) =
            task.charged_team.and_then(|t| self.team_usage.get_mut(&t))
        {
            *held = held.minus(&task.need);
        }
        self.requeue(id, &rack);
    }

    fn requeue(&mut self, id: &TaskId, rack: &str) {
        let Some(job) = self.jobs.get_mut(id.job()) else { return };
        if let Some(n) = job.by_rack.get_mut(rack) {
            *n = n.saturating_sub(1);
        }
        if !job.job.enabled || id.index() >= job.job.tasks {
            return;
        }
        if self.progress.is_done(id, job.spec) {
            return;
        }
        if self.progress.is_started(id, job.spec) {
            job.unknown.insert(id.index());
            return;
        }
        job.waiting.insert(id.index());
        self.waiting_jobs.insert(id.job().to_string());
    }

    fn update_free(&mut self, worker: &TargetId) {
        let room = self.external_use.reserved_on(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.update_free(&room);
        }
    }

    /// A worker stands in the contract.
    pub fn add_worker(&mut self, now: Millis, id: &TargetId) {
        self.workers.entry(id.clone()).or_insert_with(|| Worker::new(now));
    }

    /// A worker is gone for good, and its tasks with it.
    pub fn remove_worker(&mut self, id: &TargetId) {
        self.term.seen(id);
        self.remove_all_placements(id);
        self.workers.remove(id);
        self.needs_scheduling = true;
    }

    /// The workers that are known.
    pub fn worker_ids(&self) -> impl Iterator<Item = &TargetId> {
        self.workers.keys()
    }

    /// The VM list says whether the worker is leaving.
    pub fn set_departing(&mut self, id: &TargetId, leaving: bool) {
        if let Some(state) = self.workers.get_mut(id) {
            state.departing = leaving;
        }
        if leaving {
            self.stop_movable(id);
        }
    }

    /// Stops what runs on a leaving worker, so that it starts elsewhere.
    /// Work that must not be repeated stays and ends by itself.
    fn stop_movable(&mut self, id: &TargetId) {
        let Some(state) = self.workers.get(id) else { return };
        let movable = |(task, placed): &(&TaskId, &PlacedTask)| {
            let job = self.jobs.get(task.job());
            let once = job.is_some_and(JobState::never_repeat);
            placed.phase != Phase::Stopping && !once
        };
        let tasks: Vec<TaskId> = state
            .tasks
            .iter()
            .filter(movable)
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            self.stop(id, &task);
        }
    }

    fn remove_all_placements(&mut self, id: &TargetId) {
        let Some(state) = self.workers.get(id) else { return };
        let tasks: Vec<TaskId> = state.tasks.keys().cloned().collect();
        for task in tasks {
            self.remove_placement(id, &task);
        }
        if let Some(state) = self.workers.get_mut(id) {
            state.reservations.clear();
        }
        self.update_free(id);
    }

    /// The platform confirmed, to a request sent at `sent_at`, that the
    /// contract is held.
    pub fn confirm_contract(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// A task has a place: it waits no more and counts for its team.
    fn record_placement(
        &mut self,
        id: &TargetId,
        task: &TaskId,
        need: &Resources,
    ) {
        self.worker_of_task.insert(task.clone(), id.clone());
        let Some(state) = self.workers.get_mut(id) else { return };
        let rack = state.info.rack.clone();
        let team = self.jobs.get(task.job()).map(|job| &job.job.team);
        if let Some(team) = team {
            let held = self.team_usage.entry(team.clone()).or_default();
            *held = held.plus(need);
        }
        if let Some(placed) = state.tasks.get_mut(task) {
            placed.charged_team = team.cloned();
        }
        if let Some(job) = self.jobs.get_mut(task.job()) {
            job.waiting.remove(&task.index());
            job.unknown.remove(&task.index());
            *job.by_rack.entry(rack).or_default() += 1;
        }
        self.update_waiting_jobs(task.job());
    }

    /// Lets time pass: gives up on workers whose lease has lapsed, places
    /// what can be placed, and returns the syncs to send.
    pub fn step(&mut self, now: Millis) -> Vec<(TargetId, SyncRequest)> {
        self.expire_leases(now);
        let due = |name| {
            let job: &JobState = &self.jobs[name];
            job.failures > 0 && job.not_before <= now
        };
        let retry = self.waiting_jobs.iter().any(due);
        if (self.needs_scheduling || retry) && self.term.may_start() {
            self.needs_scheduling = false;
            self.schedule(now);
        }
        self.due_syncs(now)
    }

    fn expire_leases(&mut self, now: Millis) {
        let timeout = self.config.lease / PlacerConfig::TIMEOUTS_PER_LEASE;
        let mut lapsed = Vec::new();
        for (id, state) in &mut self.workers {
            let late = |o: &PendingSync| o.sent_at + timeout <= now;
            if state.pending_sync.as_ref().is_some_and(late) {
                state.pending_sync = None;
                state.sync_now = true;
                if state.contact == Contact::Reachable {
                    state.contact = Contact::Unresponsive;
                }
            }
            let lapse = state.lapses_at(&self.config);
            let over = lapse <= now && lapse <= self.confirmed_at;
            let silent = state.contact == Contact::Unresponsive;
            if silent && over && !state.tasks.is_empty() {
                lapsed.push(id.clone());
            }
        }
        for id in lapsed {
            self.remove_all_placements(&id);
        }
    }

    /// The epoch under which this VM places tasks.
    pub fn epoch(&self) -> &Epoch {
        &self.term.epoch
    }
}

/// A hash of what a running task depends on. A change of it restarts the
/// task; a change of quota, order or number does not.
pub fn spec_hash(job: &Job) -> u64 {
    hash(&(job.need, job.run_ms, job.checkpoint, job.repeat))
}
