/*!
The state of one data centre's tasks, as its holder sees it, and the exchange
with the workers. The choice of what starts where is in the sibling module
`schedule`.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::config::{Config, Job, Priority, Repeat, Resources, Room};
use crate::contract::hash;
use crate::ids::{DcName, Epoch, Millis, TargetId, TaskId};
use crate::tasks::fit::Fit;
use crate::tasks::message::{
    StartTask, StopTask, SyncReply, SyncRequest, TaskPhase, TaskReport,
    WorkerInfo,
};
use crate::tasks::progress::Progress;
use crate::tenure::Tenure;

#[path = "schedule.rs"]
mod schedule;

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

    /// When its lease has certainly lapsed, on the holder's clock.
    fn lapses_at(&self, config: &PlacerConfig) -> Millis {
        let left = self.until.saturating_sub(self.clock);
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

/// How a job is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// Its name.
    pub name: String,
    /// Its team.
    pub team: String,
    /// Whether it is a service.
    pub service: bool,
    /// The number of its tasks.
    pub tasks: u32,
    /// How many run.
    pub running: u32,
    /// How many wait.
    pub waiting: u32,
    /// How many are done.
    pub done: u32,
    /// How many may have run and are not repeated.
    pub unknown: u32,
}

/// How a worker is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerView {
    /// Its name.
    pub id: TargetId,
    /// Its rack.
    pub rack: String,
    /// Whether it answers under this tenure.
    pub ready: bool,
    /// What it has, less the room for the old scripts.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// The tasks on it.
    pub tasks: Vec<TaskId>,
}

/// The tasks of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placer {
    config: PlacerConfig,
    dc: DcName,
    /// The tenure under which this VM places tasks.
    pub tenure: Tenure,
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
        tenure: Tenure,
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
        self.tenure.seen(id);
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

    /// A worker answered. `read_at` is when the answer arrived.
    pub fn reply(&mut self, read_at: Millis, id: &TargetId, reply: SyncReply) {
        let Some(state) = self.workers.get_mut(id) else { return };
        if state.outstanding.as_ref().map(|o| o.seq) != Some(reply.seq) {
            return;
        }
        state.outstanding = None;
        state.contact = Contact::Ready;
        state.clock = reply.clock;
        state.read_at = read_at;
        state.info = reply.info;
        let has = &state.info.capacity;
        self.largest.cpu_millis = self.largest.cpu_millis.max(has.cpu_millis);
        self.largest.memory_mb = self.largest.memory_mb.max(has.memory_mb);
        state.counter = reply.counter;
        self.tenure.seen(id);
        self.stirred = true;
        if let Some(tasks) = reply.tasks {
            self.reconcile(read_at, id, reply.seq, &tasks);
        }
        self.refresh(id);
        if self.workers[id].info.leaving {
            self.move_away(id);
        }
    }

    /// Compares the worker's list with what was thought to be there.
    fn reconcile(
        &mut self,
        now: Millis,
        id: &TargetId,
        seq: u64,
        tasks: &[TaskReport],
    ) {
        let listed: BTreeMap<&TaskId, &TaskReport> =
            tasks.iter().map(|task| (&task.id, task)).collect();
        self.drop_missing(id, seq, &listed);
        for report in tasks {
            match report.phase {
                TaskPhase::Running => self.found(now, id, report),
                TaskPhase::Done => self.ended(now, id, report, true),
                TaskPhase::Failed => self.ended(now, id, report, false),
            }
        }
        if let Some(state) = self.workers.get_mut(id) {
            state.ended.retain(|task| listed.contains_key(task));
        }
    }

    fn drop_missing(
        &mut self,
        id: &TargetId,
        seq: u64,
        listed: &BTreeMap<&TaskId, &TaskReport>,
    ) {
        let known = |task: &Placed| match task.phase {
            Phase::Intended => false,
            Phase::Starting => task.sent.is_some_and(|sent| sent <= seq),
            Phase::Running | Phase::Stopping => true,
        };
        let missing: Vec<TaskId> = self.workers[id]
            .tasks
            .iter()
            .filter(|(task, _)| !listed.contains_key(task))
            .filter(|(_, placed)| known(placed))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            self.unplace(id, &task);
        }
    }

    /// A task was reported as running.
    fn found(&mut self, now: Millis, id: &TargetId, report: &TaskReport) {
        let task = &report.id;
        let wanted = self.wanted(task, report.spec);
        let place = self.places.get(task);
        let elsewhere = place.is_some_and(|place| place != id);
        let Some(state) = self.workers.get_mut(id) else { return };
        let known = state.tasks.get_mut(task);
        if let Some(placed) = known {
            if placed.phase == Phase::Starting && placed.sent.is_some() {
                placed.phase = Phase::Running;
            }
            return;
        }
        let placed = Placed {
            spec: report.spec,
            need: report.need,
            priority: report.priority,
            phase: Phase::Running,
            since: now.saturating_sub(report.age_ms),
            sent: None,
            team: None,
        };
        state.tasks.insert(task.clone(), placed);
        if wanted && !elsewhere {
            self.settle_in(id, task, &report.need);
        } else {
            self.stop(id, task);
        }
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

    /// A task was reported as ended by itself.
    fn ended(
        &mut self,
        now: Millis,
        id: &TargetId,
        report: &TaskReport,
        done: bool,
    ) {
        let task = &report.id;
        let job = self.jobs.get(task.job());
        let batch = job.is_some_and(|job| !job.service);
        let once = job.is_some_and(JobState::never_repeat);
        if batch && (done || once) {
            self.keep_done(id, report);
        } else {
            if self.forget_ended(id, task) {
                self.back_off(now, task);
            }
        }
        self.unplace(id, task);
    }

    /// Delays the next start of a job whose task ended when it should not
    /// have, longer each time.
    fn back_off(&mut self, now: Millis, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(task.job()) else { return };
        let delay = FIRST_BACKOFF << job.failures.min(MAX_DOUBLINGS);
        job.failures += 1;
        job.not_before = now + delay;
    }

    fn keep_done(&mut self, id: &TargetId, report: &TaskReport) {
        if self.progress.set_done(&report.id, report.spec) {
            self.progress_made += 1;
        }
        let task = report.id.clone();
        if let Some(job) = self.jobs.get_mut(task.job()) {
            if job.spec == report.spec {
                job.waiting.remove(&task.index());
                job.unknown.remove(&task.index());
            }
        }
        self.note_pending(task.job());
        if self.progress_made <= self.progress_kept {
            self.forget_ended(id, &task);
        } else {
            self.unkept.push((self.progress_made, id.clone(), task));
        }
    }

    /// Tells the worker that it need not report the ended task any more.
    /// Returns whether that is new.
    fn forget_ended(&mut self, id: &TargetId, task: &TaskId) -> bool {
        let Some(state) = self.workers.get_mut(id) else { return false };
        let new = state.ended.insert(task.clone());
        state.dirty |= new;
        new
    }

    /// The progress to write, with a number for [`Placer::progress_kept`],
    /// if there is anything new.
    pub fn progress(&self) -> Option<(u64, &Progress)> {
        let new = self.progress_made > self.progress_kept;
        new.then_some((self.progress_made, &self.progress))
    }

    /// The progress with this number is kept by the platform.
    pub fn progress_kept(&mut self, number: u64) {
        self.progress_kept = self.progress_kept.max(number);
        let kept = self.progress_kept;
        let unkept = std::mem::take(&mut self.unkept);
        for (number, worker, task) in unkept {
            if number <= kept {
                self.forget_ended(&worker, &task);
            } else {
                self.unkept.push((number, worker, task));
            }
        }
        let intended = std::mem::take(&mut self.intended);
        for (number, task) in intended {
            if number <= kept {
                self.start_intended(&task);
            } else {
                self.intended.push((number, task));
            }
        }
    }

    fn start_intended(&mut self, task: &TaskId) {
        let Some(place) = self.places.get(task) else { return };
        let Some(state) = self.workers.get_mut(place) else { return };
        let Some(placed) = state.tasks.get_mut(task) else { return };
        if placed.phase == Phase::Intended {
            placed.phase = Phase::Starting;
            state.dirty = true;
        }
    }

    /// Somebody else wrote the progress. What was recorded there may have
    /// been started by an earlier holder and is not started again.
    pub fn merge_progress(&mut self, other: &Progress) {
        let jobs = &self.jobs;
        let current = |name: &str| jobs.get(name).map(|job| job.spec);
        self.progress.merge(other, current);
        self.progress_made += 1;
        let mut clash = Vec::new();
        for (id, place) in &self.places {
            let placed = &self.workers[place].tasks[id];
            let theirs = other.is_started(id, placed.spec);
            if placed.phase == Phase::Intended && theirs {
                clash.push((place.clone(), id.clone()));
            }
        }
        for (place, id) in clash {
            self.unplace(&place, &id);
        }
        let names: Vec<String> = self.jobs.keys().cloned().collect();
        for name in names {
            self.recount(&name);
        }
    }

    /// A sync was not answered.
    pub fn failed(&mut self, id: &TargetId, seq: u64) {
        let Some(state) = self.workers.get_mut(id) else { return };
        if state.outstanding.as_ref().map(|o| o.seq) != Some(seq) {
            return;
        }
        state.outstanding = None;
        state.dirty = true;
        if state.contact == Contact::Ready {
            state.contact = Contact::Silent;
        }
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

    fn syncs(&mut self, now: Millis) -> Vec<(TargetId, SyncRequest)> {
        let every = self.config.lease / PlacerConfig::SYNCS_PER_LEASE;
        let retry = self.config.lease / PlacerConfig::TIMEOUTS_PER_LEASE;
        let mut due = Vec::new();
        for (id, state) in &self.workers {
            let wait = match state.contact {
                Contact::Ready if state.dirty => 0,
                Contact::Ready => every,
                _ if state.last_sync == 0 => 0,
                _ => retry,
            };
            if state.outstanding.is_none() && state.last_sync + wait <= now {
                due.push(id.clone());
            }
        }
        let sync = |id: TargetId| {
            let request = self.sync(now, &id)?;
            Some((id, request))
        };
        due.into_iter().filter_map(sync).collect()
    }

    fn sync(&mut self, now: Millis, id: &TargetId) -> Option<SyncRequest> {
        let may_start = self.tenure.may_start();
        let lease = self.config.lease;
        let state = self.workers.get_mut(id)?;
        state.seq += 1;
        state.dirty = false;
        state.last_sync = now.max(1);
        let seq = state.seq;
        state.outstanding = Some(Outstanding { seq, sent_at: now });
        // A silent worker gets nothing new, and above all no longer lease,
        // so that it can be known when the one it has must have lapsed.
        let active = state.contact == Contact::Ready && may_start;
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        if active {
            state.until = state.until.max(state.clock_now(now) + lease);
            starts = self.starts(id, seq);
            stops = self.stops(id);
        }
        let state = self.workers.get_mut(id)?;
        Some(SyncRequest {
            epoch: self.tenure.epoch.clone(),
            seq,
            until: state.until,
            counter: state.counter,
            start: starts,
            stop: stops,
            ack: state.ended.iter().cloned().collect(),
        })
    }

    fn starts(&mut self, id: &TargetId, seq: u64) -> Vec<StartTask> {
        let Some(state) = self.workers.get_mut(id) else { return vec![] };
        let mut starts = Vec::new();
        for (task, placed) in &mut state.tasks {
            if placed.phase != Phase::Starting {
                continue;
            }
            placed.sent = Some(seq);
            let job = self.jobs.get(task.job());
            starts.push(StartTask {
                id: task.clone(),
                spec: placed.spec,
                need: placed.need,
                run_ms: job.map_or(0, |job| job.job.run_ms),
                priority: placed.priority,
            });
        }
        starts
    }

    fn stops(&self, id: &TargetId) -> Vec<StopTask> {
        let Some(state) = self.workers.get(id) else { return vec![] };
        let stopping = state
            .tasks
            .iter()
            .filter(|(_, placed)| placed.phase == Phase::Stopping);
        let stop = |(task, _): (&TaskId, &Placed)| {
            let job = self.jobs.get(task.job());
            let checkpoint = job.is_some_and(|job| job.job.checkpoint);
            StopTask { id: task.clone(), checkpoint }
        };
        stopping.map(stop).collect()
    }

    /// The epoch under which this VM places tasks.
    pub fn epoch(&self) -> &Epoch {
        &self.tenure.epoch
    }

    /// The number of tasks that have a place.
    pub fn placed(&self) -> usize {
        self.places.len()
    }

    /// The number of tasks that wait.
    pub fn waiting(&self) -> usize {
        let waiting = |name| self.jobs.get(name).map_or(0, count_waiting);
        self.pending.iter().map(waiting).sum()
    }

    /// How each job is doing.
    pub fn jobs(&self) -> Vec<JobView> {
        let mut placed: BTreeMap<&str, u32> = BTreeMap::new();
        for id in self.places.keys() {
            *placed.entry(id.job()).or_default() += 1;
        }
        let view = |(name, state): (&String, &JobState)| {
            let kept = self.progress.jobs.get(name);
            let done = kept.filter(|kept| kept.spec == state.spec);
            JobView {
                name: name.clone(),
                team: state.job.team.clone(),
                service: state.service,
                tasks: state.job.tasks,
                running: placed.get(name.as_str()).copied().unwrap_or(0),
                waiting: state.waiting.len() as u32,
                done: done.map_or(0, |done| done.done.len()),
                unknown: state.unknown.len() as u32,
            }
        };
        self.jobs.iter().map(view).collect()
    }

    /// How each worker is doing.
    pub fn workers(&self) -> Vec<WorkerView> {
        let view = |(id, state): (&TargetId, &Worker)| WorkerView {
            id: id.clone(),
            rack: state.info.rack.clone(),
            ready: state.takes_work(),
            capacity: state.capacity,
            free: state.free,
            tasks: state.tasks.keys().cloned().collect(),
        };
        self.workers.iter().map(view).collect()
    }
}

fn count_waiting(job: &JobState) -> usize {
    job.waiting.len()
}

/// A hash of what a running task depends on. A change of it restarts the
/// task; a change of quota, order or number does not.
pub fn spec_hash(job: &Job) -> u64 {
    hash(&(job.need, job.run_ms, job.checkpoint, job.repeat))
}
