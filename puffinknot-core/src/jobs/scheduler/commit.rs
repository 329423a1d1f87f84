/*!
Batches writes to the store, and does what may be done only once they are
durable.

At most one commit is in flight at a time. It holds new jobs and progress in a
single record, so a slow store accepts as many jobs as a fast one. See
[`super::records`] for how records are removed.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, Change, ExecutorIndex, Outcome};
use crate::jobs::model::{JobId, JobState, StepKey};
use crate::jobs::record::{
    self, EarlyCancel, EndedJob, EnrolledExecutor, Record, RecordNumber,
    Shard, StoppingResources,
};
use crate::jobs::scheduler::progress_round::{LastEnds, ProgressRound};
use crate::jobs::scheduler::records::Records;
use crate::jobs::scheduler::Scheduler;

/// The maximum number of changes in one commit.
const MAX_CHANGES: usize = 28;
/// The approximate maximum size of the new jobs, of the progress of jobs, and
/// of the executor shards, in one commit. Stores accept values of up to one
/// megabyte.
const MAX_BYTES: usize = 400_000;
/// If a commit takes longer than this, the store is in trouble.
const STALLED_AFTER: Millis = 600;
/// How often the resources that ended jobs may still use are computed anew:
/// about as long as a stop takes.
const STOPPING_REFRESH_INTERVAL: Millis = 1_000;

/// Changes that wait to be written, and the commit in flight.
#[derive(Debug)]
pub(super) struct CommitQueue {
    pub records: Records,
    accepted: BTreeSet<JobId>,
    /// The jobs with progress since the current round of writing it began.
    progress: BTreeSet<JobId>,
    progress_round: ProgressRound,
    ends: BTreeSet<JobId>,
    /// Executors that have reported ends since that round began.
    pub unacknowledged: BTreeSet<ExecutorIndex>,
    /// The shards of the executor list that have to be written.
    shards: BTreeSet<u8>,
    /// Lists of an earlier version. They are removed once all shards are
    /// written.
    pub legacy_lists: Vec<String>,
    maintenance_dirty: bool,
    /// The resources that ended jobs may still use, as written last, and when
    /// they were computed.
    pub stopping: StoppingResources,
    stopping_computed_at: Millis,
    /// Since when anything waits to be written.
    pending_since: Option<Millis>,
    /// When the last commit was written.
    written_at: Millis,
    in_flight: Option<Batch>,
}

/// What the commit in flight covers.
#[derive(Debug, Default)]
struct Batch {
    sent_at: Millis,
    number: RecordNumber,
    accepted: BTreeSet<JobId>,
    ends: Vec<EndedJob>,
    early_cancels: Vec<EarlyCancel>,
    enrolled: Vec<ExecutorIndex>,
    removed: Vec<RecordNumber>,
    /// The number of the last end on each executor that the commit covers.
    acknowledged: LastEnds,
}

impl CommitQueue {
    pub fn new(token: u64) -> CommitQueue {
        CommitQueue {
            records: Records::new(token),
            accepted: BTreeSet::new(),
            progress: BTreeSet::new(),
            progress_round: ProgressRound::default(),
            ends: BTreeSet::new(),
            unacknowledged: BTreeSet::new(),
            shards: BTreeSet::new(),
            legacy_lists: Vec::new(),
            maintenance_dirty: false,
            stopping: StoppingResources::new(),
            stopping_computed_at: 0,
            pending_since: None,
            written_at: 0,
            in_flight: None,
        }
    }

    /// Has a commit sent as soon as possible after `now`.
    pub fn schedule(&mut self, now: Millis) {
        self.pending_since.get_or_insert(now);
    }

    pub fn job_accepted(&mut self, job: JobId, now: Millis) {
        self.accepted.insert(job);
        self.schedule(now);
    }

    pub fn job_progressed(&mut self, job: JobId) {
        self.progress.insert(job);
        self.schedule(0);
    }

    pub fn job_ended(&mut self, job: JobId) {
        self.ends.insert(job);
        self.schedule(0);
    }

    /// Schedules the shard of an executor to be written, since its stored
    /// description has changed.
    pub fn executor_changed(&mut self, id: &str) {
        self.shards.insert(record::shard_of(id));
        self.schedule(0);
    }

    pub fn maintenance_changed(&mut self) {
        self.maintenance_dirty = true;
        self.schedule(0);
    }

    /// Returns when the next commit is due. `None` if there is nothing to
    /// write or a commit is in flight.
    pub fn due(&self, gap: Millis) -> Option<Millis> {
        if self.in_flight.is_some() {
            return None;
        }
        self.pending_since.map(|since| since.max(self.written_at + gap))
    }

    /// Returns whether everything is written.
    fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.pending_since.is_none()
    }

    /// Returns whether the store has not answered for too long.
    pub fn is_stalled(&self, now: Millis) -> bool {
        let batch = self.in_flight.as_ref();
        batch.is_some_and(|batch| now > batch.sent_at + STALLED_AFTER)
    }

    /// Takes the new jobs that are in no commit yet. The caller returns those
    /// that are to stay with [`CommitQueue::job_accepted`].
    pub fn take_accepted(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.accepted)
    }

    /// Returns when the commit in flight was sent, the number of its record,
    /// and the new jobs in it.
    pub fn in_flight(
        &self,
    ) -> Option<(Millis, RecordNumber, BTreeSet<JobId>)> {
        let batch = self.in_flight.as_ref()?;
        Some((batch.sent_at, batch.number, batch.accepted.clone()))
    }

    /// Removes a new job from the commit in flight.
    pub fn withdraw(&mut self, job: JobId) {
        if let Some(batch) = &mut self.in_flight {
            batch.accepted.remove(&job);
        }
        self.records.remove_job(job);
    }
}

impl Scheduler {
    pub(super) fn send_commit(&mut self, now: Millis) {
        if self.commits.records.needs_cleanup(now) {
            self.commits.schedule(now);
        }
        let due = self.commits.due(self.config.min_commit_interval);
        if due.is_none_or(|due| due > now) {
            return;
        }
        self.begin_progress_round();
        let queue = &mut self.commits;
        queue.pending_since = None;
        let mut batch = Batch {
            sent_at: now,
            accepted: std::mem::take(&mut queue.accepted),
            ..Batch::default()
        };
        let mut changes = Vec::new();
        self.commit_ends(&mut changes, &mut batch, now);
        self.commit_early_cancels(&mut changes, &mut batch, now);
        self.commit_record(&mut changes, &mut batch, now);
        self.commit_shards(&mut changes, &mut batch, now);
        if std::mem::take(&mut self.commits.maintenance_dirty) {
            let name = record::FINISHED_MAINTENANCE.to_string();
            let value = record::encode(&self.machines.finished);
            changes.push(Change::Put { name, value });
        }
        self.commit_stopping(&mut changes, &batch, now);
        batch.acknowledged = self.commits.progress_round.take_ends();
        if !self.commits.progress_round.is_over() {
            self.count("progress_put_off");
            self.commits.schedule(now);
        }
        let remaining = MAX_CHANGES.saturating_sub(changes.len());
        let (removed, names) =
            self.commits.records.take_garbage(remaining, now);
        batch.removed = removed;
        changes.extend(names.into_iter().map(|name| Change::Remove { name }));
        let is_empty = changes.is_empty();
        self.commits.in_flight = Some(batch);
        if is_empty {
            // The changes are obsolete by now.
            return self.committed(now);
        }
        self.count("commits");
        self.actions.push(Action::Commit(changes));
    }

    /// Begins a round of writing progress, if the last one is over.
    fn begin_progress_round(&mut self) {
        let queue = &mut self.commits;
        if !queue.progress_round.is_over() {
            return;
        }
        let jobs = std::mem::take(&mut queue.progress);
        let reported = std::mem::take(&mut queue.unacknowledged);
        let ends = reported.into_iter().filter_map(|index| {
            let executor = self.executors.get(&index)?;
            Some((index, executor.received_end))
        });
        queue.progress_round.begin(jobs, ends.collect());
    }

    fn commit_ends(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &mut Batch,
        now: Millis,
    ) {
        for job in std::mem::take(&mut self.commits.ends) {
            let Some(live) = self.jobs.get(&job) else { continue };
            let Some(state) = live.ended else { continue };
            let account = live.job.account.clone();
            self.commits.progress_round.remove(job);
            batch.ends.push(EndedJob { job, state, account });
        }
        if batch.ends.is_empty() {
            return;
        }
        let keep = self.config.ended_retention;
        let records = &mut self.commits.records;
        let (name, value) = records.add_ended(&batch.ends, now, keep);
        changes.push(Change::Put { name, value });
    }

    fn commit_early_cancels(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &mut Batch,
        now: Millis,
    ) {
        batch.early_cancels = self.early_cancels.take_unwritten();
        if self.early_cancels.is_any_unwritten() {
            self.commits.schedule(now);
        }
        if batch.early_cancels.is_empty() {
            return;
        }
        let keep = self.config.ended_retention;
        let records = &mut self.commits.records;
        let (name, value) =
            records.add_early_cancels(&batch.early_cancels, now, keep);
        changes.push(Change::Put { name, value });
    }

    /// Writes new jobs and progress. If there are too many records or the
    /// oldest one is too old, also rewrites what is still needed of the
    /// oldest, as far as it fits.
    fn commit_record(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &mut Batch,
        now: Millis,
    ) {
        self.defer_excess_jobs(batch, now);
        let mut jobs = batch.accepted.clone();
        let mut rewrites = BTreeSet::new();
        self.commits.records.add_rewrites(&mut jobs, &mut rewrites, now);
        let mut record = Record::default();
        let mut bytes = 0;
        for job in &jobs {
            let Some(live) = self.jobs.get(job) else { continue };
            // Jobs that are only rewritten can wait for another commit.
            bytes += live.encoded_size();
            let fits = batch.accepted.contains(job) || bytes <= MAX_BYTES;
            if live.ended.is_none() && fits {
                let queue = (*live.queue).clone();
                record.accepted.push((live.job.clone(), queue));
            }
        }
        let due = self.commits.progress_round.jobs().clone();
        let rewrites = rewrites.difference(&due).copied();
        let progress: Vec<JobId> =
            due.iter().copied().chain(rewrites).collect();
        self.add_progress(&mut record, &progress);
        batch.number = self.commits.records.next_number();
        if record == Record::default() {
            return;
        }
        let written = record.accepted.iter().map(|(job, _)| job.id);
        self.commits.records.insert(
            batch.number,
            written.collect(),
            record.progress.iter().map(|(job, _)| *job).collect(),
            now,
        );
        let name = record::record_name(batch.number);
        let value = record.write();
        changes.push(Change::Put { name, value });
    }

    /// Adds the progress of jobs to a record, in this order, as far as it
    /// fits.
    fn add_progress(&mut self, record: &mut Record, jobs: &[JobId]) {
        let mut bytes = 0;
        for job in jobs {
            let live = self.jobs.get(job).filter(|live| live.ended.is_none());
            if let Some(live) = live {
                let progress = live.progress();
                let done = live.repetitions.done();
                bytes += record::encode(&(&progress, &done)).len();
                if bytes > MAX_BYTES && !record.progress.is_empty() {
                    return;
                }
                record.progress.push((*job, progress));
                if !done.is_empty() {
                    record.done_repetitions.push((*job, done));
                }
            }
            self.commits.progress_round.remove(*job);
        }
    }

    /// Defers the new jobs that would make this commit larger than the store
    /// accepts to the next one.
    fn defer_excess_jobs(&mut self, batch: &mut Batch, now: Millis) {
        let mut bytes = 0;
        let mut kept = BTreeSet::new();
        for job in std::mem::take(&mut batch.accepted) {
            bytes += self.jobs.get(&job).map_or(0, |live| live.encoded_size());
            if kept.is_empty() || bytes <= MAX_BYTES {
                kept.insert(job);
            } else {
                self.commits.job_accepted(job, now);
            }
        }
        batch.accepted = kept;
    }

    /// Writes the resources that may still be used by jobs that ended before
    /// their tasks. An increase has to be written together with the ends. A
    /// decrease may be written later.
    fn commit_stopping(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &Batch,
        now: Millis,
    ) {
        let ended_early =
            batch.ends.iter().any(|ended| ended.state != JobState::Succeeded);
        let outdated = !self.commits.stopping.is_empty()
            && now
                >= self.commits.stopping_computed_at
                    + STOPPING_REFRESH_INTERVAL;
        if !ended_early && !outdated {
            return;
        }
        self.commits.stopping_computed_at = now;
        let stopping = self.stopping();
        if stopping == self.commits.stopping {
            return;
        }
        let name = record::STOPPING_RESOURCES.to_string();
        let value = record::encode(&stopping);
        changes.push(Change::Put { name, value });
        self.commits.stopping = stopping;
    }

    /// Writes changed shards of the executor list, up to about the maximum
    /// size of a commit.
    fn commit_shards(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &mut Batch,
        now: Millis,
    ) {
        if self.commits.shards.is_empty() {
            return;
        }
        let mut shards: BTreeMap<u8, (Shard, Vec<ExecutorIndex>)> =
            BTreeMap::new();
        for (index, executor) in self.executors.iter_mut() {
            let id = &executor.info.id;
            // A superseded incarnation is not asked any more.
            let newest = self.by_id.get(id) == Some(index);
            if newest && self.commits.shards.contains(&executor.shard) {
                let (shard, indices) =
                    shards.entry(executor.shard).or_default();
                shard.executors.push(EnrolledExecutor {
                    info: executor.info.clone(),
                    machine: executor.machine.clone(),
                });
                executor.stored_speed = executor.speed.to_stored();
                shard.speeds.push(executor.stored_speed);
                indices.push(*index);
            }
        }
        let mut bytes = 0;
        while let Some(number) = self.commits.shards.pop_first() {
            let (mut shard, indices) =
                shards.remove(&number).unwrap_or_default();
            if shard.speeds.iter().all(|speed| *speed == 0) {
                shard.speeds.clear();
            }
            let value = record::encode(&shard);
            bytes += value.len();
            let name = record::shard_name(number);
            changes.push(Change::Put { name, value });
            batch.enrolled.extend(indices);
            if bytes > MAX_BYTES {
                break;
            }
        }
        if !self.commits.shards.is_empty() {
            return self.commits.schedule(now);
        }
        let legacy = std::mem::take(&mut self.commits.legacy_lists);
        changes.extend(legacy.into_iter().map(|name| Change::Remove { name }));
    }

    /// Handles that the commit in flight is written.
    pub(super) fn committed(&mut self, now: Millis) {
        let Some(batch) = self.commits.in_flight.take() else { return };
        self.commits.written_at = now;
        self.store_outages.end(now);
        let records = &mut self.commits.records;
        records.mark_written(batch.number);
        records.mark_removed(&batch.removed);
        for index in batch.enrolled {
            if let Some(executor) = self.executors.get_mut(&index) {
                executor.enrolled = true;
            }
        }
        for job in batch.accepted {
            self.job_written(job);
        }
        for ended in batch.ends {
            self.commits.records.remove_job(ended.job);
            self.end_written(ended, now);
        }
        for cancel in batch.early_cancels {
            self.early_cancel_stored(cancel, now);
        }
        for (index, end) in batch.acknowledged {
            let Some(executor) = self.executors.get_mut(&index) else {
                continue;
            };
            if end > executor.acknowledged_end {
                executor.acknowledged_end = end;
                self.expedite_renewal(index, now);
            }
        }
        self.needs_placement = true;
    }

    fn job_written(&mut self, job: JobId) {
        let Some(live) = self.jobs.get_mut(&job) else { return };
        live.written = true;
        let submitters = std::mem::take(&mut live.submitters);
        if live.ended.is_none() {
            for &(time, step) in live.steps.keys() {
                self.ready.insert(StepKey { job, time, step });
            }
        }
        for id in submitters {
            self.reply(id, Outcome::Accepted);
        }
    }

    fn end_written(&mut self, ended: EndedJob, now: Millis) {
        let EndedJob { job, state, .. } = ended;
        let Some(live) = self.jobs.remove(&job) else { return };
        let until = now + self.config.ended_retention;
        self.ended.insert(ended, until);
        self.actions.push(Action::JobEnded {
            job,
            account: live.job.account,
            state,
            after: now.saturating_sub(live.arrived_at),
            in_time: now <= live.deadline,
        });
        self.count(match state {
            JobState::Succeeded => "succeeded",
            JobState::Failed => "failed",
            _ => "ended_cancelled",
        });
        for id in live.submitters {
            self.reply(id, Outcome::Accepted);
        }
        for id in live.cancellers {
            self.reply(id, Outcome::Cancelled);
        }
    }

    /// Refuses new jobs that wait for a store that does not answer. No commit
    /// holds them, so they never run.
    pub(super) fn refuse_waiting(&mut self, now: Millis) {
        let stalled = self.commits.is_stalled(now);
        if !self.is_enabled(Mechanism::AfterOutage) {
            if stalled {
                for job in self.commits.take_accepted() {
                    self.refuse_new(job, now);
                }
            }
            return;
        }
        if let Some((sent_at, ..)) =
            self.commits.in_flight().filter(|_| stalled)
        {
            if self.store_outages.begin(sent_at) {
                self.count("outages");
            }
        }
        self.refuse_overlong_waits(now);
    }

    /// Returns whether everything that executors have reported is written or
    /// needs no writing.
    pub(super) fn has_no_pending_writes(&self) -> bool {
        self.commits.is_idle()
    }
}
