/*!
The state of one data centre's tasks, as its holder sees it.

What is done with the state has modules of its own: `exchange` talks to the
workers, `schedule` chooses what starts where, `record` keeps what must outlast
this VM, and `view` shows all of it to operators.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Config, Job, Priority, Repeat, Resources, Room};
use crate::contract::stable_hash;
use crate::ids::{DcName, Epoch, Millis, TargetId, TaskId};
use crate::tasks::fit::Fit;
use crate::tasks::message::{SyncRequest, WorkerInfo};
use crate::tasks::progress::Progress;
use crate::term::Term;

mod exchange;
mod record;
mod schedule;
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
    const DRIFT: Millis = 50;
    /// What is added for the grain of clocks.
    const GRAIN: Millis = 100;
    /// A worker is synced this often within a lease.
    const SYNCS_PER_LEASE: Millis = 4;
    /// A sync without an answer is given up after this part of a lease.
    const TIMEOUTS_PER_LEASE: Millis = 8;

    fn margin(&self) -> Millis {
        self.lease / PlacerConfig::DRIFT + PlacerConfig::GRAIN
    }
}

/// The delay before a failed task starts again, in milliseconds.
const FIRST_BACKOFF: Millis = 1_000;
/// The delay doubles with each failure, up to this number of times.
const MAX_DOUBLINGS: u32 = 6;

/// Where a task is in its life on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// It has a place, but that it may have been started has yet to be
    /// recorded.
    Intended,
    /// It is to be started, or its start is not confirmed yet.
    Starting,
    /// The worker has reported it.
    Running,
    /// It is to be stopped, or its stop is not confirmed yet.
    Stopping,
}

/// A task that has a place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Placed {
    spec: u64,
    need: Resources,
    priority: Priority,
    phase: Phase,
    since: Millis,
    /// The sync that carried the start, if one has been sent.
    sent: Option<u64>,
    /// The team whose quota it counts against, if it counts.
    team: Option<String>,
}

/// Whether a worker can be talked to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Contact {
    /// It has not answered in this tenure.
    Unseen,
    /// It answers.
    Ready,
    /// It has stopped to answer.
    Silent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Outstanding {
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
    clock: Millis,
    read_at: Millis,
    /// The end of its lease, in its clock.
    until: Millis,
    /// The latest end of a lease that a former holder gave it, in its clock.
    /// It bounds when the worker may be given up, and is never sent: this
    /// holder renews nothing by it.
    former_until: Millis,
    seq: u64,
    counter: u64,
    outstanding: Option<Outstanding>,
    last_sync: Millis,
    /// What has to be sent without waiting for the next renewal.
    dirty: bool,
    leaving: bool,
    tasks: BTreeMap<TaskId, Placed>,
    /// Tasks that wait for others to be stopped here.
    set_aside: BTreeMap<TaskId, Resources>,
    ended: BTreeSet<TaskId>,
}

impl Worker {
    fn new(now: Millis) -> Worker {
        Worker {
            contact: Contact::Unseen,
            info: WorkerInfo {
                capacity: Resources::default(),
                rack: String::new(),
                leaving: false,
            },
            capacity: Resources::default(),
            free: Resources::default(),
            clock: 0,
            read_at: now,
            until: 0,
            former_until: 0,
            seq: 0,
            counter: 0,
            outstanding: None,
            last_sync: 0,
            dirty: true,
            leaving: false,
            tasks: BTreeMap::new(),
            set_aside: BTreeMap::new(),
            ended: BTreeSet::new(),
        }
    }

    fn takes_work(&self) -> bool {
        let leaving = self.leaving || self.info.leaving;
        self.contact == Contact::Ready && !leaving
    }

    fn refresh(&mut self, room: &Resources) {
        self.capacity = self.info.capacity.minus(room);
        let promised = self.tasks.values().map(|task| &task.need);
        let all = promised.chain(self.set_aside.values());
        let sum = all.fold(Resources::default(), |sum, n| sum.plus(n));
        self.free = self.capacity.minus(&sum);
    }

    /// The least that its clock can show now.
    fn clock_now(&self, now: Millis) -> Millis {
        self.clock + now.saturating_sub(self.read_at)
    }

    /// When every lease of it has certainly lapsed, on the holder's clock.
    fn lapses_at(&self, config: &PlacerConfig) -> Millis {
        let until = self.until.max(self.former_until);
        let left = until.saturating_sub(self.clock);
        self.read_at + left + config.margin()
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
    order: u64,
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
    pub tenure: Term,
    /// Jobs and their number of tasks at the start of the tenure.
    old: BTreeMap<String, u32>,
    /// The platform confirmed at this time that the contract is held.
    confirmed_at: Millis,
    room: Room,
    quotas: BTreeMap<String, Resources>,
    held: BTreeMap<String, Resources>,
    jobs: BTreeMap<String, JobState>,
    next_order: u64,
    /// Jobs with tasks that wait.
    pending: BTreeSet<String>,
    workers: BTreeMap<TargetId, Worker>,
    places: BTreeMap<TaskId, TargetId>,
    preemptions: BTreeMap<TaskId, u32>,
    progress: Progress,
    /// Changes of `progress`: made, and known to be written.
    progress_made: u64,
    progress_kept: u64,
    /// Ended tasks that may be forgotten once the write is made.
    unkept: Vec<(u64, TargetId, TaskId)>,
    /// Tasks that may be started once the write is made.
    intended: Vec<(u64, TaskId)>,
    /// How often room was set aside, so that most placements need not look
    /// for it.
    asides: u64,
    /// Some tasks run that the file in force does not ask for.
    unwanted: bool,
    /// The most that one worker has in each dimension.
    largest: Resources,
    /// Something changed that may let a task start.
    stirred: bool,
}

impl Placer {
    /// A placer at the start of a tenure. `old` is the file that earlier
    /// holders may have known; `progress` is what the platform holds.
    pub fn new(
        config: PlacerConfig,
        dc: DcName,
        tenure: Term,
        old: Option<&Config>,
        progress: Progress,
    ) -> Placer {
        let count = |(job, _): (&Job, bool)| (job.name.clone(), job.tasks);
        let old = old.map(|c| c.jobs().map(count).collect());
        Placer {
            config,
            dc,
            tenure,
            old: old.unwrap_or_default(),
            confirmed_at: 0,
            room: Room::default(),
            quotas: BTreeMap::new(),
            held: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_order: 0,
            pending: BTreeSet::new(),
            workers: BTreeMap::new(),
            places: BTreeMap::new(),
            preemptions: BTreeMap::new(),
            progress,
            progress_made: 0,
            progress_kept: 0,
            unkept: Vec::new(),
            intended: Vec::new(),
            asides: 0,
            unwanted: false,
            largest: Resources::default(),
            stirred: true,
        }
    }

    /// A revision of the operators' file is in force.
    pub fn configure(&mut self, config: &Config) {
        self.config.lease = config.policy.task_lease_ms;
        self.config.max_preemptions = config.policy.max_preemptions;
        self.room = config.room.clone();
        self.quotas =
            config.teams.iter().map(|t| (t.name.clone(), t.quota)).collect();
        let here = |(job, _): &(&Job, bool)| job.data_centre == self.dc;
        let jobs: Vec<(Job, bool)> = config
            .jobs()
            .filter(here)
            .map(|(job, service)| (job.clone(), service))
            .collect();
        self.next_order += 1;
        self.drop_jobs(&jobs);
        for (job, service) in jobs {
            self.set_job(job, service);
        }
        self.drop_asides();
        self.stop_unwanted();
        self.stirred = true;
    }

    /// Gives back room set aside for tasks that are no longer asked for.
    fn drop_asides(&mut self) {
        let jobs = &self.jobs;
        let waits = |id: &TaskId| {
            let job = jobs.get(id.job());
            job.is_some_and(|job| job.waiting.contains(&id.index()))
        };
        for state in self.workers.values_mut() {
            state.set_aside.retain(|id, _| waits(id));
        }
        let ids: Vec<TargetId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.refresh(&id);
        }
    }

    fn drop_jobs(&mut self, jobs: &[(Job, bool)]) {
        let names: BTreeSet<&str> =
            jobs.iter().map(|(job, _)| job.name.as_str()).collect();
        self.jobs.retain(|name, _| names.contains(name.as_str()));
        self.pending.retain(|name| names.contains(name.as_str()));
    }

    fn set_job(&mut self, job: Job, service: bool) {
        let spec = spec_hash(&job);
        let order = match self.jobs.get(&job.name) {
            Some(known) => known.order,
            None => self.next_order,
        };
        let name = job.name.clone();
        let state = JobState {
            priority: job.priority(service),
            job,
            service,
            spec,
            order,
            waiting: BTreeSet::new(),
            unknown: BTreeSet::new(),
            by_rack: BTreeMap::new(),
            failures: 0,
            not_before: 0,
        };
        self.jobs.insert(name.clone(), state);
        self.recount(&name);
    }

    /// Works out anew which tasks of a job wait.
    fn recount(&mut self, name: &str) {
        let Some(job) = self.jobs.get(name) else { return };
        let tasks = if job.job.enabled { job.job.tasks } else { 0 };
        let mut racks: BTreeMap<String, u32> = BTreeMap::new();
        let mut waiting = BTreeSet::new();
        let mut unknown = BTreeSet::new();
        for index in 0..tasks {
            let id = TaskId::new(name, index);
            if let Some(place) = self.places.get(&id) {
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
        self.note_pending(name);
    }

    fn note_pending(&mut self, name: &str) {
        match self.jobs.get(name) {
            Some(job) if !job.waiting.is_empty() => {
                self.pending.insert(name.to_string());
            }
            _ => {
                self.pending.remove(name);
            }
        }
    }

    /// Whether the file in force asks for the task, in this form.
    fn wanted(&self, id: &TaskId, spec: u64) -> bool {
        self.jobs.get(id.job()).is_some_and(|job| {
            job.spec == spec && job.job.enabled && id.index() < job.job.tasks
        })
    }

    fn stop(&mut self, worker: &TargetId, id: &TaskId) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(task) = state.tasks.get_mut(id) else { return };
        // A start that was never sent needs no stop.
        let unsent = task.phase == Phase::Intended
            || (task.phase == Phase::Starting && task.sent.is_none());
        task.phase = Phase::Stopping;
        state.dirty = true;
        if unsent {
            self.unplace(worker, id);
        }
    }

    /// The task is certainly not at the worker (any more).
    fn unplace(&mut self, worker: &TargetId, id: &TaskId) {
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(task) = state.tasks.remove(id) else { return };
        let rack = state.info.rack.clone();
        self.refresh(worker);
        self.stirred = true;
        if self.places.get(id) != Some(worker) {
            return;
        }
        self.places.remove(id);
        if let Some(held) = task.team.and_then(|t| self.held.get_mut(&t)) {
            *held = held.minus(&task.need);
        }
        self.back_in_line(id, &rack);
    }

    fn back_in_line(&mut self, id: &TaskId, rack: &str) {
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
        self.pending.insert(id.job().to_string());
    }

    fn refresh(&mut self, worker: &TargetId) {
        let room = self.room.on(worker);
        if let Some(state) = self.workers.get_mut(worker) {
            state.refresh(&room);
        }
    }

    /// A worker stands in the contract.
    pub fn add_worker(&mut self, now: Millis, id: &TargetId) {
        self.workers.entry(id.clone()).or_insert_with(|| Worker::new(now));
    }

    /// A worker is gone for good, and its tasks with it.
    pub fn remove_worker(&mut self, id: &TargetId) {
        self.tenure.epoch_accepted(id);
        self.end_all(id);
        self.workers.remove(id);
        self.stirred = true;
    }

    /// The workers that are known.
    pub fn worker_ids(&self) -> impl Iterator<Item = &TargetId> {
        self.workers.keys()
    }

    /// The VM list says whether the worker is leaving.
    pub fn set_leaving(&mut self, id: &TargetId, leaving: bool) {
        if let Some(state) = self.workers.get_mut(id) {
            state.leaving = leaving;
        }
        if leaving {
            self.move_away(id);
        }
    }

    /// Stops what runs on a leaving worker, so that it starts elsewhere.
    /// Work that must not be repeated stays and ends by itself.
    fn move_away(&mut self, id: &TargetId) {
        let Some(state) = self.workers.get(id) else { return };
        let movable = |(task, placed): &(&TaskId, &Placed)| {
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

    fn end_all(&mut self, id: &TargetId) {
        let Some(state) = self.workers.get(id) else { return };
        let tasks: Vec<TaskId> = state.tasks.keys().cloned().collect();
        for task in tasks {
            self.unplace(id, &task);
        }
        if let Some(state) = self.workers.get_mut(id) {
            state.set_aside.clear();
        }
        self.refresh(id);
    }

    /// The platform confirmed, to a request sent at `sent_at`, that the
    /// contract is held.
    pub fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// A task has a place: it waits no more and counts for its team.
    fn settle_in(&mut self, id: &TargetId, task: &TaskId, need: &Resources) {
        self.places.insert(task.clone(), id.clone());
        let Some(state) = self.workers.get_mut(id) else { return };
        let rack = state.info.rack.clone();
        let team = self.jobs.get(task.job()).map(|job| &job.job.team);
        if let Some(team) = team {
            let held = self.held.entry(team.clone()).or_default();
            *held = held.plus(need);
        }
        if let Some(placed) = state.tasks.get_mut(task) {
            placed.team = team.cloned();
        }
        if let Some(job) = self.jobs.get_mut(task.job()) {
            job.waiting.remove(&task.index());
            job.unknown.remove(&task.index());
            *job.by_rack.entry(rack).or_default() += 1;
        }
        self.note_pending(task.job());
    }

    /// Lets time pass: gives up on workers whose lease has lapsed, places
    /// what can be placed, and returns the syncs to send.
    pub fn step(&mut self, now: Millis) -> Vec<(TargetId, SyncRequest)> {
        self.expire(now);
        let due = |name| {
            let job: &JobState = &self.jobs[name];
            job.failures > 0 && job.not_before <= now
        };
        let retry = self.pending.iter().any(due);
        if (self.stirred || retry) && self.tenure.may_start() {
            self.stirred = false;
            self.schedule(now);
        }
        self.syncs(now)
    }

    fn expire(&mut self, now: Millis) {
        let timeout = self.config.lease / PlacerConfig::TIMEOUTS_PER_LEASE;
        let mut lapsed = Vec::new();
        for (id, state) in &mut self.workers {
            let late = |o: &Outstanding| o.sent_at + timeout <= now;
            if state.outstanding.as_ref().is_some_and(late) {
                state.outstanding = None;
                state.dirty = true;
                if state.contact == Contact::Ready {
                    state.contact = Contact::Silent;
                }
            }
            let lapse = state.lapses_at(&self.config);
            let over = lapse <= now && lapse <= self.confirmed_at;
            let silent = state.contact == Contact::Silent;
            if silent && over && !state.tasks.is_empty() {
                lapsed.push(id.clone());
            }
        }
        for id in lapsed {
            self.end_all(&id);
        }
    }

    /// The epoch under which this VM places tasks.
    pub fn epoch(&self) -> &Epoch {
        &self.tenure.epoch
    }
}

/// A hash of what a running task depends on. A change of it restarts the
/// task; a change of quota, order or number does not.
pub fn spec_hash(job: &Job) -> u64 {
    stable_hash(&(job.need, job.run_ms, job.checkpoint, job.repeat))
}
