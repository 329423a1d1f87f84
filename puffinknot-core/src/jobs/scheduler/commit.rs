/*!
Groups what has to be written, and does what may be done only after that.

One commit is under way at a time. All that it says about jobs is one record,
so that a slow store takes as many jobs as a fast one; see
[`super::records`] for how records go again.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, Change, ExecutorIndex, Outcome};
use crate::jobs::model::{JobId, JobState, StepKey};
use crate::jobs::record::{
    self, EndedJob, EnrolledExecutor, Record, RecordNumber, Shard,
    StoppingResources,
};
use crate::jobs::scheduler::records::Records;
use crate::jobs::scheduler::Scheduler;

/// The most changes in one commit.
const MAX_CHANGES: usize = 28;
/// New jobs in one commit have about so many bytes at the most; stores take
/// values of a megabyte.
const MAX_BYTES: usize = 400_000;
/// A commit that takes longer than this means that the store is in trouble,
/// in milliseconds.
const SLOW: Millis = 600;
/// What may still run of ended jobs is worked out anew after this time, in
/// milliseconds: about as long as a stop takes.
const STOPPING_AGAIN: Millis = 1_000;

/// What waits to be written, and what is being written.
#[derive(Debug)]
pub(super) struct CommitQueue {
    pub records: Records,
    accepted: BTreeSet<JobId>,
    progress: BTreeSet<JobId>,
    ends: BTreeSet<JobId>,
    /// Executors that have listed ends since the last commit.
    pub unacknowledged: BTreeSet<ExecutorIndex>,
    /// The shards of the list of executors that have to be written.
    shards: BTreeSet<u8>,
    /// Lists of an earlier version, which go once all shards are written.
    pub legacy_lists: Vec<String>,
    waves: bool,
    /// What was written last of what may still run of ended jobs, and when
    /// that was worked out.
    pub stopping: StoppingResources,
    stopping_at: Millis,
    /// Since when something waits.
    since: Option<Millis>,
    /// When the last commit was written.
    last: Millis,
    under_way: Option<Batch>,
}

/// What a commit that is under way covers.
#[derive(Debug, Default)]
struct Batch {
    sent_at: Millis,
    number: RecordNumber,
    accepted: BTreeSet<JobId>,
    progress: BTreeSet<JobId>,
    ends: Vec<EndedJob>,
    enrolled: Vec<ExecutorIndex>,
    removed: Vec<RecordNumber>,
    /// Ends on executors that are written with it.
    noted: BTreeMap<ExecutorIndex, u64>,
}

impl CommitQueue {
    pub fn new(token: u64) -> CommitQueue {
        CommitQueue {
            records: Records::new(token),
            accepted: BTreeSet::new(),
            progress: BTreeSet::new(),
            ends: BTreeSet::new(),
            unacknowledged: BTreeSet::new(),
            shards: BTreeSet::new(),
            legacy_lists: Vec::new(),
            waves: false,
            stopping: StoppingResources::new(),
            stopping_at: 0,
            since: None,
            last: 0,
            under_way: None,
        }
    }

    fn touch(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    pub fn job_accepted(&mut self, job: JobId, now: Millis) {
        self.accepted.insert(job);
        self.touch(now);
    }

    pub fn job_progressed(&mut self, job: JobId) {
        self.progress.insert(job);
        self.touch(0);
    }

    pub fn job_ended(&mut self, job: JobId) {
        self.ends.insert(job);
        self.touch(0);
    }

    /// What is kept of this executor has changed.
    pub fn executor_changed(&mut self, id: &str) {
        self.shards.insert(record::shard_of(id));
        self.touch(0);
    }

    pub fn waves(&mut self) {
        self.waves = true;
        self.touch(0);
    }

    /// When the next commit is due, if there is anything to write and none
    /// is under way.
    pub fn due(&self, gap: Millis) -> Option<Millis> {
        if self.under_way.is_some() {
            return None;
        }
        self.since.map(|since| since.max(self.last + gap))
    }

    /// Whether everything is written.
    fn idle(&self) -> bool {
        self.under_way.is_none() && self.since.is_none()
    }

    /// Whether the store has not answered for long.
    pub fn is_stalled(&self, now: Millis) -> bool {
        let batch = self.under_way.as_ref();
        batch.is_some_and(|batch| now > batch.sent_at + SLOW)
    }

    /// The new jobs that are in no commit yet. What is to stay among them has
    /// to be handed back by [`CommitQueue::job_accepted`].
    pub fn take_accepted(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.accepted)
    }

    /// When the commit that is under way was sent, the number of its record
    /// and the new jobs in it.
    pub fn under_way(
        &self,
    ) -> Option<(Millis, RecordNumber, BTreeSet<JobId>)> {
        let batch = self.under_way.as_ref()?;
        Some((batch.sent_at, batch.number, batch.accepted.clone()))
    }

    /// Takes a new job out of the commit that is under way.
    pub fn withdraw(&mut self, job: JobId) {
        if let Some(batch) = &mut self.under_way {
            batch.accepted.remove(&job);
        }
        self.records.forget(job);
    }
}

impl Scheduler {
    pub(super) fn send_commit(&mut self, now: Millis) {
        if self.commits.records.have_garbage(now) {
            self.commits.touch(now);
        }
        let due = self.commits.due(self.config.min_commit_interval);
        if due.is_none_or(|due| due > now) {
            return;
        }
        let queue = &mut self.commits;
        queue.since = None;
        let mut batch = Batch {
            sent_at: now,
            accepted: std::mem::take(&mut queue.accepted),
            progress: std::mem::take(&mut queue.progress),
            ..Batch::default()
        };
        let mut changes = Vec::new();
        self.commit_ends(&mut changes, &mut batch, now);
        self.commit_record(&mut changes, &mut batch, now);
        self.commit_shards(&mut changes, &mut batch, now);
        if std::mem::take(&mut self.commits.waves) {
            let name = record::FINISHED_MAINTENANCE.to_string();
            let value = record::encode(&self.machines.finished);
            changes.push(Change::Put { name, value });
        }
        self.commit_stopping(&mut changes, &batch, now);
        for index in std::mem::take(&mut self.commits.unacknowledged) {
            if let Some(executor) = self.executors.get(&index) {
                batch.noted.insert(index, executor.received_end);
            }
        }
        let room = MAX_CHANGES.saturating_sub(changes.len());
        let (removed, names) = self.commits.records.garbage(room, now);
        batch.removed = removed;
        changes.extend(names.into_iter().map(|name| Change::Remove { name }));
        let nothing = changes.is_empty();
        self.commits.under_way = Some(batch);
        if nothing {
            // What had to be written has been overtaken.
            return self.committed(now);
        }
        self.count("commits");
        self.actions.push(Action::Commit(changes));
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
            batch.progress.remove(&job);
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

    /// Writes new jobs and progress, and again what stands in the oldest
    /// record, if there are many.
    fn commit_record(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &mut Batch,
        now: Millis,
    ) {
        self.bound_accepted(batch, now);
        let mut jobs = batch.accepted.clone();
        let mut progress = batch.progress.clone();
        self.commits.records.rewrite(&mut jobs, &mut progress, now);
        let mut record = Record::default();
        let mut bytes = 0;
        for job in &jobs {
            let Some(live) = self.jobs.get(job) else { continue };
            // What is only written again can wait for another commit.
            bytes += live.encoded_size();
            let due = batch.accepted.contains(job) || bytes <= MAX_BYTES;
            if live.ended.is_none() && due {
                let queue = (*live.queue).clone();
                record.accepted.push((live.job.clone(), queue));
            }
        }
        for job in &progress {
            let Some(live) = self.jobs.get(job) else { continue };
            if live.ended.is_none() {
                record.progress.push((*job, live.progress()));
            }
        }
        batch.number = self.commits.records.next_number();
        if record == Record::default() {
            return;
        }
        batch.progress = progress;
        let written = record.accepted.iter().map(|(job, _)| job.id);
        self.commits.records.insert(
            batch.number,
            written.collect(),
            record.progress.iter().map(|(job, _)| *job).collect(),
            now,
        );
        let name = record::record_name(batch.number);
        let value = record::encode(&record);
        changes.push(Change::Put { name, value });
    }

    /// Leaves new jobs for the next commit that would make this one larger
    /// than the store takes.
    fn bound_accepted(&mut self, batch: &mut Batch, now: Millis) {
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

    /// Writes what may still run of jobs that end before their tasks do. It
    /// has to stand in the store with the ends; that it shrinks may be
    /// written later.
    fn commit_stopping(
        &mut self,
        changes: &mut Vec<Change>,
        batch: &Batch,
        now: Millis,
    ) {
        let given_up =
            batch.ends.iter().any(|ended| ended.state != JobState::Succeeded);
        let aged = !self.commits.stopping.is_empty()
            && now >= self.commits.stopping_at + STOPPING_AGAIN;
        if !given_up && !aged {
            return;
        }
        self.commits.stopping_at = now;
        let stopping = self.stopping();
        if stopping == self.commits.stopping {
            return;
        }
        let name = record::STOPPING_RESOURCES.to_string();
        let value = record::encode(&stopping);
        changes.push(Change::Put { name, value });
        self.commits.stopping = stopping;
    }

    /// Writes the shards of the list of executors that have changed, as many
    /// as have about the size that a commit may have.
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
            // A life that was followed is nobody to ask any more.
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
            return self.commits.touch(now);
        }
        let former = std::mem::take(&mut self.commits.legacy_lists);
        changes.extend(former.into_iter().map(|name| Change::Remove { name }));
    }

    /// The outstanding commit is written.
    pub(super) fn committed(&mut self, now: Millis) {
        let Some(batch) = self.commits.under_way.take() else { return };
        self.commits.last = now;
        self.outages.end(now);
        let records = &mut self.commits.records;
        records.written(batch.number);
        records.removed(&batch.removed);
        for index in batch.enrolled {
            if let Some(executor) = self.executors.get_mut(&index) {
                executor.enrolled = true;
            }
        }
        for job in batch.accepted {
            self.accepted(job);
        }
        for ended in batch.ends {
            self.commits.records.forget(ended.job);
            self.end_written(ended, now);
        }
        for (index, noted) in batch.noted {
            if let Some(executor) = self.executors.get_mut(&index) {
                if noted > executor.acknowledged_end {
                    executor.acknowledged_end = noted;
                    executor.next_renewal = now;
                    self.renewal_queue.enqueue(index);
                }
            }
        }
        self.needs_placement = true;
    }

    fn accepted(&mut self, job: JobId) {
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

    /// Refuses the jobs that wait for a store that does not answer. They
    /// are in no commit, so that they never run.
    pub(super) fn refuse_waiting(&mut self, now: Millis) {
        let stuck = self.commits.is_stalled(now);
        if !self.is_enabled(Mechanism::AfterOutage) {
            if stuck {
                for job in self.commits.take_accepted() {
                    self.refuse_new(job, now);
                }
            }
            return;
        }
        if let Some((sent_at, ..)) = self.commits.under_way().filter(|_| stuck)
        {
            if self.outages.begin(sent_at) {
                self.count("outages");
            }
        }
        self.refuse_hopeless(now);
    }

    /// Whether everything that executors have reported is written or needs
    /// no writing.
    pub(super) fn has_no_pending_writes(&self) -> bool {
        self.commits.idle()
    }
}
