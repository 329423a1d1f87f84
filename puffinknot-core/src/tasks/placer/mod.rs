/*!
The placer: the state of one data centre's tasks, as known to the holder of its
task contract.

- `sync` exchanges messages with the workers
- `schedule` decides which task starts where
- `saved_progress` tracks the progress that must outlast this VM
- `view` shows the state to operators
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Config, Job, Priority, Repeat, Resources, Room};
use crate::contract::stable_hash;
use crate::ids::{DcName, Epoch, Millis, TargetId, TaskId};
use crate::tasks::fit::Fit;
use crate::tasks::message::{SyncRequest, WorkerInfo};
use crate::tasks::progress::Progress;
use crate::term::Term;

mod saved_progress;
mod schedule;
mod sync;
mod view;

pub use self::view::{JobView, WorkerView};

/// The settings of a [`Placer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlacerConfig {
    /// How long a worker runs its tasks without a lease renewal from the
    /// holder, in milliseconds.
    pub lease: Millis,
    /// How often one task may be preempted.
    pub max_preemptions: u32,
    /// The strategy by which workers are chosen.
    pub fit: Fit,
}

impl Default for PlacerConfig {
    fn default() -> PlacerConfig {
        PlacerConfig { lease: 10_000, max_preemptions: 3, fit: Fit::Best }
    }
}

impl PlacerConfig {
    /// The clocks of holder and worker may drift apart by this fraction of a
    /// lease: one part in `DRIFT_DIVISOR`.
    const DRIFT_DIVISOR: Millis = 50;
    /// The allowance for the granularity of clocks.
    const CLOCK_GRANULARITY: Millis = 100;
    /// The number of syncs with a worker within the length of a lease.
    const SYNCS_PER_LEASE: Millis = 4;
    /// A sync without a reply fails after one part in this many of a lease.
    const TIMEOUTS_PER_LEASE: Millis = 8;

    /// How much longer than it is on the worker's clock a lease may last on
    /// the holder's.
    fn clock_margin(&self) -> Millis {
        self.lease / PlacerConfig::DRIFT_DIVISOR
            + PlacerConfig::CLOCK_GRANULARITY
    }
}

/// The delay before a task starts again after the first failure.
const INITIAL_BACKOFF: Millis = 1_000;
/// The delay doubles with each failure, up to this number of times.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// The state of a task that is assigned to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It must not be repeated, and the platform does not hold the record yet
    /// that it may have been started.
    Unrecorded,
    /// It is to be started, or the worker has not confirmed the start yet.
    Starting,
    /// The worker has reported that it runs.
    Running,
    /// It is to be stopped, or the worker has not confirmed the stop yet.
    Stopping,
}

/// A task that is assigned to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PlacedTask {
    spec: u64,
    need: Resources,
    priority: Priority,
    phase: Phase,
    started_at: Millis,
    /// The `seq` of the last sync that carried the start, if any did.
    start_seq: Option<u64>,
    /// The team whose quota it counts against, if any.
    charged_team: Option<String>,
}

/// Whether a worker replies to syncs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Contact {
    /// It has not replied in this term.
    NeverHeard,
    /// It replied to the last sync.
    Reachable,
    /// It did not reply to the last sync.
    Unresponsive,
}

/// A sync without a reply so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingSync {
    seq: u64,
    sent_at: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Worker {
    contact: Contact,
    info: WorkerInfo,
    /// Its resources, less those reserved for legacy scripts.
    capacity: Resources,
    /// The part of `capacity` that is neither allocated nor reserved.
    free: Resources,
    /// The last reading of its clock, and when that was received.
    last_clock: Millis,
    clock_read_at: Millis,
    /// The end of its lease, on its clock.
    lease_until: Millis,
    /// The latest time at which a lease from a former holder can end, on its
    /// clock. The worker is not given up earlier. It is never sent, since this
    /// holder would otherwise extend the lease.
    former_lease_until: Millis,
    last_seq: u64,
    list_version: u64,
    pending_sync: Option<PendingSync>,
    last_sync_at: Millis,
    /// Whether something has to be sent before the next renewal is due.
    sync_now: bool,
    departing: bool,
    tasks: BTreeMap<TaskId, PlacedTask>,
    /// Resources reserved for tasks that wait until preempted tasks have
    /// stopped here.
    reservations: BTreeMap<TaskId, Resources>,
    /// Ends to acknowledge with each sync until the worker no longer lists
    /// them.
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
        let departing = self.departing || self.info.leaving;
        self.contact == Contact::Reachable && !departing
    }

    fn update_free(&mut self, reserved: &Resources) {
        self.capacity = self.info.capacity.minus(reserved);
        let allocated = self.tasks.values().map(|task| &task.need);
        let all = allocated.chain(self.reservations.values());
        let sum = all.fold(Resources::default(), |sum, n| sum.plus(n));
        self.free = self.capacity.minus(&sum);
    }

    /// The least that its clock can show now: its last reading plus the time
    /// since that was received.
    fn min_clock_now(&self, now: Millis) -> Millis {
        self.last_clock + now.saturating_sub(self.clock_read_at)
    }

    /// The time, on the holder's clock, at which all of its leases have
    /// certainly expired.
    fn leases_expire_at(&self, config: &PlacerConfig) -> Millis {
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
    /// The `config_number` of the placer when the job appeared.
    config_number: u64,
    /// Indexes of tasks that are not assigned to a worker yet.
    waiting: BTreeSet<u32>,
    /// Indexes of tasks that may have run and must not be repeated.
    unknown: BTreeSet<u32>,
    /// The number of its tasks in each rack.
    by_rack: BTreeMap<String, u32>,
    /// The number of failures since a configuration was last applied, and the
    /// earliest time of the next start.
    failures: u32,
    not_before: Millis,
}

impl JobState {
    fn never_repeat(&self) -> bool {
        self.job.repeat == Repeat::Never
    }
}

/// The scheduler of the tasks of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placer {
    config: PlacerConfig,
    dc: DcName,
    /// The contract term under which this VM places tasks.
    pub term: Term,
    /// The jobs, and their numbers of tasks, of which a holder may have known
    /// before the term began.
    former_task_counts: BTreeMap<String, u32>,
    /// When the latest request was sent to which the platform replied that
    /// this VM has the contract.
    confirmed_at: Millis,
    /// Resources reserved for legacy scripts.
    legacy_reservation: Room,
    quotas: BTreeMap<String, Resources>,
    /// The resources allocated to the tasks of each team.
    team_usage: BTreeMap<String, Resources>,
    jobs: BTreeMap<String, JobState>,
    /// The number of configurations applied so far.
    config_number: u64,
    /// Jobs with tasks that wait.
    waiting_jobs: BTreeSet<String>,
    workers: BTreeMap<TargetId, Worker>,
    worker_of_task: BTreeMap<TaskId, TargetId>,
    preemptions: BTreeMap<TaskId, u32>,
    progress: Progress,
    /// The versions of `progress`: the current one, and the latest one that is
    /// known to be stored.
    progress_version: u64,
    saved_version: u64,
    /// Ended tasks to acknowledge once the given version of `progress` is
    /// stored.
    unsaved_ends: Vec<(u64, TargetId, TaskId)>,
    /// Tasks to start once the given version of `progress` is stored.
    unsaved_starts: Vec<(u64, TaskId)>,
    /// The number of reservations ever made. While it is zero, placements need
    /// not search the workers for one.
    reservations_made: u64,
    /// Whether tasks are placed that the configuration does not ask for.
    has_unwanted: bool,
    /// The most CPU and memory that any worker has had.
    largest_worker: Resources,
    /// Whether something changed that may allow a task to start.
    needs_scheduling: bool,
}

impl Placer {
    /// A placer at the start of a term. `former_config` is the configuration
    /// that earlier holders may have known, and `progress` is what the
    /// platform has stored.
    pub fn new(
        config: PlacerConfig,
        dc: DcName,
        term: Term,
        former_config: Option<&Config>,
        progress: Progress,
    ) -> Placer {
        let count = |(job, _): (&Job, bool)| (job.name.clone(), job.tasks);
        let counts = former_config.map(|c| c.jobs().map(count).collect());
        Placer {
            config,
            dc,
            term,
            former_task_counts: counts.unwrap_or_default(),
            confirmed_at: 0,
            legacy_reservation: Room::default(),
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

    /// Applies a new revision of the operators' file.
    pub fn apply_config(&mut self, config: &Config) {
        self.config.lease = config.policy.task_lease_ms;
        self.config.max_preemptions = config.policy.max_preemptions;
        self.legacy_reservation = config.room.clone();
        self.quotas =
            config.teams.iter().map(|t| (t.name.clone(), t.quota)).collect();
        let is_local = |(job, _): &(&Job, bool)| job.data_centre == self.dc;
        let jobs: Vec<(Job, bool)> = config
            .jobs()
            .filter(is_local)
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

    /// Releases the reservations of tasks that no longer wait.
    fn release_stale_reservations(&mut self) {
        let jobs = &self.jobs;
        let is_waiting = |id: &TaskId| {
            let job = jobs.get(id.job());
            job.is_some_and(|job| job.waiting.contains(&id.index()))
        };
        for state in self.workers.values_mut() {
            state.reservations.retain(|id, _| is_waiting(id));
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
        let config_number = match self.jobs.get(&job.name) {
            Some(known) => known.config_number,
            None => self.config_number,
        };
        let name = job.name.clone();
        let state = JobState {
            priority: job.priority(service),
            job,
            service,
            spec,
            config_number,
            waiting: BTreeSet::new(),
            unknown: BTreeSet::new(),
            by_rack: BTreeMap::new(),
            failures: 0,
            not_before: 0,
        };
        self.jobs.insert(name.clone(), state);
        self.recompute_waiting(&name);
    }

    /// Computes again which tasks of a job wait.
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

    /// Whether the configuration asks for the task with this specification.
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

    /// Removes a task that is certainly not, or no longer, on the worker.
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
        if let Some(usage) =
            task.charged_team.and_then(|t| self.team_usage.get_mut(&t))
        {
            *usage = usage.minus(&task.need);
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
        let reserved = self.legacy_reservation.reserved_on(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.update_free(&reserved);
        }
    }

    /// Adds a worker of the contract.
    pub fn add_worker(&mut self, now: Millis, id: &TargetId) {
        self.workers.entry(id.clone()).or_insert_with(|| Worker::new(now));
    }

    /// Removes a worker that is permanently gone, and its tasks with it.
    pub fn remove_worker(&mut self, id: &TargetId) {
        self.term.epoch_accepted(id);
        self.remove_all_placements(id);
        self.workers.remove(id);
        self.needs_scheduling = true;
    }

    /// The names of all workers.
    pub fn worker_ids(&self) -> impl Iterator<Item = &TargetId> {
        self.workers.keys()
    }

    /// Sets whether the worker is departing, according to the VM list.
    pub fn set_departing(&mut self, id: &TargetId, departing: bool) {
        if let Some(state) = self.workers.get_mut(id) {
            state.departing = departing;
        }
        if departing {
            self.stop_movable(id);
        }
    }

    /// Stops the tasks of a departing worker, so that they start elsewhere.
    /// Tasks that must not be repeated stay and end by themselves.
    fn stop_movable(&mut self, id: &TargetId) {
        let Some(state) = self.workers.get(id) else { return };
        let movable = |(task, placed): &(&TaskId, &PlacedTask)| {
            let job = self.jobs.get(task.job());
            let never_repeat = job.is_some_and(JobState::never_repeat);
            placed.phase != Phase::Stopping && !never_repeat
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

    /// Records that the platform confirmed, in reply to a request sent at
    /// `sent_at`, that this VM has the contract.
    pub fn confirm_contract(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Records that a task is on a worker: it no longer waits and counts
    /// against the quota of its team.
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
            let usage = self.team_usage.entry(team.clone()).or_default();
            *usage = usage.plus(need);
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

    /// Advances the time to `now`: gives up the tasks of unresponsive workers
    /// whose leases have expired, places waiting tasks, and returns the syncs
    /// to send.
    pub fn step(&mut self, now: Millis) -> Vec<(TargetId, SyncRequest)> {
        self.expire_leases(now);
        let retry_is_due = |name| {
            let job: &JobState = &self.jobs[name];
            job.failures > 0 && job.not_before <= now
        };
        let retry = self.waiting_jobs.iter().any(retry_is_due);
        if (self.needs_scheduling || retry) && self.term.may_start() {
            self.needs_scheduling = false;
            self.schedule(now);
        }
        self.due_syncs(now)
    }

    fn expire_leases(&mut self, now: Millis) {
        let timeout = self.config.lease / PlacerConfig::TIMEOUTS_PER_LEASE;
        let mut expired_workers = Vec::new();
        for (id, state) in &mut self.workers {
            let timed_out = |sync: &PendingSync| sync.sent_at + timeout <= now;
            if state.pending_sync.as_ref().is_some_and(timed_out) {
                state.pending_sync = None;
                state.sync_now = true;
                if state.contact == Contact::Reachable {
                    state.contact = Contact::Unresponsive;
                }
            }
            let expiry = state.leases_expire_at(&self.config);
            let expired = expiry <= now && expiry <= self.confirmed_at;
            let unresponsive = state.contact == Contact::Unresponsive;
            if unresponsive && expired && !state.tasks.is_empty() {
                expired_workers.push(id.clone());
            }
        }
        for id in expired_workers {
            self.remove_all_placements(&id);
        }
    }

    /// The epoch under which this VM places tasks.
    pub fn epoch(&self) -> &Epoch {
        &self.term.epoch
    }
}

/// The hash of a job's specification, by which a change of the file restarts
/// running tasks. The quota, the priority and the number of tasks are not in
/// it, since a change of these needs no restart.
pub fn spec_hash(job: &Job) -> u64 {
    stable_hash(&(job.need, job.run_ms, job.checkpoint, job.repeat))
}
