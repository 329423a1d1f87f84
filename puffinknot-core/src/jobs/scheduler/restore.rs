/*!
Restores the scheduler from the store when a leader takes over.

A successor knows from the store which jobs were accepted and what has ended,
and from the executors what runs. An executor that a predecessor may have sent
orders to must first answer under the new token, or those orders must certainly
have expired. Until that is true of all of them, tasks of inherited jobs that
were not found may still run unseen, so none of them is started.
*/

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use crate::ids::Millis;
use crate::jobs::executor::DescriptionSource;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, StoredValue};
use crate::jobs::model::{Job, JobId, StepKey};
use crate::jobs::policy::{Policy, Queue};
use crate::jobs::record::{
    self, EarlyCancelChunk, EndedChunk, EnrolledExecutor, FinishedMaintenance,
    LegacyEnrolled, MachinesByExecutor, Progress, Record, RecordNumber, Shard,
    StoppingResources, EARLY_CANCEL_PREFIX, ENDED_PREFIX,
    FINISHED_MAINTENANCE, LEGACY_EXECUTORS, LEGACY_MACHINES, RECORD_PREFIX,
    SHARD_PREFIX, STOPPING_RESOURCES,
};
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::maintenance::Machines;
use crate::jobs::scheduler::{Scheduler, SchedulerConfig};
use crate::jobs::speed::Speed;

/// The latest progress of a job in the store.
#[derive(Default)]
struct RestoredProgress {
    progress: Progress,
    /// The repetitions that are done.
    done: Vec<Range<u32>>,
}

impl Scheduler {
    /// Creates a scheduler from the state in the store.
    ///
    /// # Errors
    ///
    /// If a value can't be read, since no decision is safe without it.
    pub fn restore(
        config: SchedulerConfig,
        policy: Arc<Policy>,
        values: &[StoredValue],
        now: Millis,
    ) -> Result<Scheduler, String> {
        let mut scheduler = Scheduler::new(config, policy);
        let with_prefix = |prefix: &'static str| {
            values.iter().filter(move |stored| stored.name.starts_with(prefix))
        };
        for stored in with_prefix(ENDED_PREFIX) {
            scheduler.restore_ended(stored, now)?;
        }
        for stored in with_prefix(EARLY_CANCEL_PREFIX) {
            scheduler.restore_early_cancels(stored, now)?;
        }
        let mut records: Vec<(RecordNumber, Record)> = Vec::new();
        for stored in with_prefix(RECORD_PREFIX) {
            let Some(number) = record::record_number(&stored.name) else {
                return Err(format!(
                    "{} is not a valid record key",
                    stored.name
                ));
            };
            records.push((number, Record::read(&stored.value)?));
        }
        records.sort_by_key(|(number, _)| *number);
        scheduler.restore_records(records, now);
        for stored in with_prefix(SHARD_PREFIX) {
            let shard = Shard::read(&stored.value)?;
            scheduler.restore_shard(shard, now);
        }
        for stored in with_prefix(LEGACY_EXECUTORS) {
            let enrolled: LegacyEnrolled = record::decode(&stored.value)?;
            scheduler.restore_legacy_enrolled(enrolled, now);
        }
        for stored in with_prefix(LEGACY_MACHINES) {
            scheduler.restore_machines(record::decode(&stored.value)?);
            scheduler.commits.legacy_lists.push(stored.name.clone());
        }
        scheduler.machines = Machines::new(now);
        for stored in with_prefix(FINISHED_MAINTENANCE) {
            let finished: FinishedMaintenance = record::decode(&stored.value)?;
            scheduler.machines.finished = finished;
        }
        for stored in with_prefix(STOPPING_RESOURCES) {
            let stopping: StoppingResources = record::decode(&stored.value)?;
            scheduler.ledger.inherit(&stopping);
            scheduler.commits.stopping = stopping;
        }
        // The store knows them, but their present state is unknown.
        for (index, executor) in scheduler.executors.iter_mut() {
            scheduler.unheard_executors.insert(*index);
            executor.enrolled = true;
            executor.listed = false;
            executor.description = DescriptionSource::Predecessor;
        }
        let deadline = now + scheduler.config.inherited_order_lifetime;
        scheduler.takeover_deadline = Some(deadline);
        let jobs: Vec<JobId> = scheduler.jobs.keys().copied().collect();
        for job in jobs {
            scheduler.finish_if_complete(job);
        }
        scheduler.check_takeover(now);
        Ok(scheduler)
    }

    fn restore_shard(&mut self, shard: Shard, now: Millis) {
        let learns = self.is_enabled(Mechanism::Speeds);
        let speeds = shard.speeds.into_iter().chain(std::iter::repeat(0));
        for (enrolled, speed) in shard.executors.into_iter().zip(speeds) {
            let EnrolledExecutor { info, machine } = enrolled;
            let index = self.add_executor(info, now);
            if let Some(executor) = self.executors.get_mut(&index) {
                executor.machine = machine;
                executor.stored_speed = speed;
                if learns {
                    executor.speed = Speed::from_stored(speed, now);
                }
            }
        }
    }

    /// Restores the executor list of a leader of an earlier version, which is
    /// then written in shards.
    fn restore_legacy_enrolled(
        &mut self,
        enrolled: LegacyEnrolled,
        now: Millis,
    ) {
        for info in enrolled.executors {
            self.commits.executor_changed(&info.id);
            if !self.by_id.contains_key(&info.id) {
                self.add_executor(info, now);
            }
        }
        self.commits.legacy_lists.push(LEGACY_EXECUTORS.to_string());
    }

    fn restore_machines(&mut self, shown: MachinesByExecutor) {
        for (id, machine) in shown {
            let index = self.by_id.get(&id);
            let executor = index.and_then(|i| self.executors.get_mut(i));
            if let Some(executor) = executor {
                executor.machine = machine;
            }
        }
    }

    fn restore_ended(
        &mut self,
        stored: &StoredValue,
        now: Millis,
    ) -> Result<(), String> {
        let chunk: EndedChunk = record::decode(&stored.value)?;
        let until = now + self.config.ended_retention;
        for ended in chunk.jobs {
            self.ended.insert(ended, until);
        }
        let chunks = &mut self.commits.records;
        chunks.inherit_chunk(stored.name.clone(), until);
        Ok(())
    }

    fn restore_early_cancels(
        &mut self,
        stored: &StoredValue,
        now: Millis,
    ) -> Result<(), String> {
        let chunk: EarlyCancelChunk = record::decode(&stored.value)?;
        let until = now + self.config.ended_retention;
        for cancel in chunk.jobs {
            self.early_cancels.insert_stored(cancel, until);
        }
        let chunks = &mut self.commits.records;
        chunks.inherit_chunk(stored.name.clone(), until);
        Ok(())
    }

    /// Restores records, oldest first.
    fn restore_records(
        &mut self,
        records: Vec<(RecordNumber, Record)>,
        now: Millis,
    ) {
        let mut newest: BTreeMap<JobId, RestoredProgress> = BTreeMap::new();
        for (number, record) in records {
            let live = |job: &JobId| !self.ended.jobs.contains_key(job);
            let jobs = record.accepted.iter().map(|(job, _)| job.id);
            let progress = record.progress.iter().map(|(job, _)| *job);
            let jobs = jobs.filter(live).collect();
            let progress = progress.filter(live).collect();
            let known = &mut self.commits.records;
            known.insert(number, jobs, progress, now);
            known.mark_written(number);
            for (job, queue) in record.accepted {
                self.restore_job(job, queue, now);
            }
            for (job, progress) in record.progress {
                let done = Vec::new();
                newest.insert(job, RestoredProgress { progress, done });
            }
            for (job, done) in record.done_repetitions {
                newest.entry(job).or_default().done = done;
            }
        }
        for (job, progress) in newest {
            self.restore_progress(job, progress);
        }
        let repeating = |live: &&LiveJob| live.job.repeats.is_some();
        self.repeating_jobs = self.jobs.values().filter(repeating).count();
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.release_due_of(job, now);
        }
    }

    fn restore_job(&mut self, mut job: Job, stored: Queue, now: Millis) {
        let id = job.id;
        let known = self.jobs.contains_key(&id);
        if known || self.ended.jobs.contains_key(&id) {
            return;
        }
        // If the queue was removed, its accepted jobs are finished.
        let queue = self.queues.successor_of(&stored);
        let queue = queue.unwrap_or_else(|| Arc::new(stored));
        job.queue.clone_from(&queue.name);
        let mut live = self.new_live_job(job, queue, now);
        live.written = true;
        live.inherited = true;
        self.jobs.insert(id, live);
    }

    fn restore_progress(&mut self, id: JobId, restored: RestoredProgress) {
        let Some(live) = self.jobs.get_mut(&id) else { return };
        live.started = true;
        for done in restored.done {
            live.repetitions.add_done(done);
        }
        for ((time, number), done) in &restored.progress.steps {
            let Some(live) = self.jobs.get_mut(&id) else { return };
            let Some(step) = live.job.steps.get(*number as usize) else {
                continue;
            };
            let step = step.clone();
            let Some(state) = live.step_state(*time, *number) else {
                continue;
            };
            state.restore(&step, done);
        }
        let Some(live) = self.jobs.get_mut(&id) else { return };
        // Earlier versions store the steps of repetitions that are done.
        if live.job.repeats.is_some() {
            for (time, _) in restored.progress.steps.keys() {
                live.complete_repetition(*time);
            }
        }
    }

    /// Completes the takeover if all orders of a predecessor are accounted
    /// for: each executor was heard, or its orders have certainly expired.
    pub(super) fn check_takeover(&mut self, now: Millis) {
        let Some(deadline) = self.takeover_deadline else { return };
        let unseen = self.unheard_executors.len();
        let has_expired = |index| match self.executors.get(index) {
            Some(executor) => {
                let known_until = self
                    .leadership_confirmed_at
                    .min(self.reports_processed_until(executor, now));
                deadline <= known_until && self.missed_last_renewals(executor)
            }
            None => true,
        };
        if !self.unheard_executors.iter().all(has_expired) {
            return;
        }
        self.takeover_deadline = None;
        let name = if unseen > 0 { "settled_late" } else { "settled" };
        self.count(name);
        self.actions.push(Action::TakeoverComplete { unseen: unseen as u32 });
        let mut incomplete = Vec::new();
        for (&job, live) in &self.jobs {
            for (&(time, number), state) in &live.steps {
                let step = &live.job.steps[number as usize];
                let key = StepKey { job, time, step: number };
                let is_incomplete = step.gang
                    && !state.placements.is_empty()
                    && !state.waiting.is_empty();
                if is_incomplete {
                    incomplete.push(key);
                } else if !state.waiting.is_empty() {
                    self.ready.insert(key);
                }
            }
        }
        for key in incomplete {
            self.count("gangs_incomplete");
            self.stop_gang(key);
        }
        self.needs_placement = true;
    }

    /// Whether tasks of inherited jobs may be started.
    pub fn takeover_complete(&self) -> bool {
        self.takeover_deadline.is_none()
    }
}
