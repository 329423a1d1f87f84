/*!
Which of the leader's records are still needed.

Each commit writes at most one record. A record is needed as long as it holds
the only copy of a live job or of a job's latest progress. If there are too
many records, or if the oldest one is too old, what is still needed of the
oldest is rewritten with the next commit, and the oldest records are removed.

The IDs of ended jobs, and of jobs that were cancelled before they arrived, are
kept separately, in chunks. A chunk is removed once its jobs need not be
remembered any more and no record written while it was filled is left.
Otherwise a successor could restore an ended job from such a record.
*/

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::ids::Millis;
use crate::jobs::model::JobId;
use crate::jobs::record::{self, Chunk, EarlyCancel, EndedJob, RecordNumber};

/// If there are more records than this, the oldest are merged.
const MAX_RECORDS: usize = 80;
/// The number of oldest records that are merged into one.
const RECORDS_PER_MERGE: usize = 8;
/// The oldest record is rewritten when it is older than this.
const MAX_RECORD_AGE: Millis = 20_000;
/// A chunk takes no more jobs once it has this many.
const JOBS_PER_CHUNK: usize = 120;
/// How much longer chunks are kept than their jobs have to be remembered.
const CHUNK_GRACE: Millis = 10_000;

/// What a record holds the only copy of.
#[derive(Debug, Default)]
struct Contents {
    jobs: BTreeSet<JobId>,
    progress: BTreeSet<JobId>,
    added_at: Millis,
    written: bool,
}

impl Contents {
    fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.progress.is_empty()
    }
}

/// A chunk that takes no more jobs.
#[derive(Debug)]
struct ClosedChunk {
    name: String,
    until: Millis,
    /// The last record that may have been written while the chunk was filled.
    at: RecordNumber,
}

/// A chunk that is being filled.
#[derive(Debug)]
struct OpenChunk<T> {
    prefix: &'static str,
    number: u64,
    chunk: Chunk<T>,
}

/// The name and the value of a chunk to which jobs were added.
struct Added {
    name: String,
    value: Vec<u8>,
    /// Whether it takes no more jobs.
    is_full: bool,
}

impl<T: Clone + Serialize> OpenChunk<T> {
    fn new(prefix: &'static str) -> OpenChunk<T> {
        OpenChunk { prefix, number: 0, chunk: Chunk::default() }
    }

    /// Adds jobs. If that fills the chunk, the next ones are added to another.
    fn add(&mut self, token: u64, jobs: &[T]) -> Added {
        self.chunk.jobs.extend_from_slice(jobs);
        let name = format!("{}{token}-{}", self.prefix, self.number);
        let value = record::encode(&self.chunk);
        let is_full = self.chunk.jobs.len() >= JOBS_PER_CHUNK;
        if is_full {
            self.chunk = Chunk::default();
            self.number += 1;
        }
        Added { name, value, is_full }
    }
}

/// The records of this term and of former ones.
#[derive(Debug)]
pub(super) struct Records {
    token: u64,
    sequence: u64,
    records: BTreeMap<RecordNumber, Contents>,
    record_of_job: BTreeMap<JobId, RecordNumber>,
    record_of_progress: BTreeMap<JobId, RecordNumber>,
    ended: OpenChunk<EndedJob>,
    early_cancels: OpenChunk<EarlyCancel>,
    closed_chunks: VecDeque<ClosedChunk>,
}

impl Records {
    pub fn new(token: u64) -> Records {
        Records {
            token,
            sequence: 0,
            records: BTreeMap::new(),
            record_of_job: BTreeMap::new(),
            record_of_progress: BTreeMap::new(),
            ended: OpenChunk::new(record::ENDED_PREFIX),
            early_cancels: OpenChunk::new(record::EARLY_CANCEL_PREFIX),
            closed_chunks: VecDeque::new(),
        }
    }

    /// Returns the number of the next record.
    pub fn next_number(&mut self) -> RecordNumber {
        self.sequence += 1;
        RecordNumber { token: self.token, sequence: self.sequence }
    }

    /// Adds a record that holds the latest copy of these jobs and this
    /// progress.
    pub fn insert(
        &mut self,
        number: RecordNumber,
        jobs: BTreeSet<JobId>,
        progress: BTreeSet<JobId>,
        now: Millis,
    ) {
        for job in &jobs {
            if let Some(old) = self.record_of_job.insert(*job, number) {
                if let Some(contents) = self.records.get_mut(&old) {
                    contents.jobs.remove(job);
                }
            }
        }
        for job in &progress {
            if let Some(old) = self.record_of_progress.insert(*job, number) {
                if let Some(contents) = self.records.get_mut(&old) {
                    contents.progress.remove(job);
                }
            }
        }
        let written = false;
        let contents = Contents { jobs, progress, added_at: now, written };
        self.records.insert(number, contents);
    }

    /// Notes that a record is in the store.
    pub fn mark_written(&mut self, number: RecordNumber) {
        if let Some(contents) = self.records.get_mut(&number) {
            contents.written = true;
        }
    }

    /// Drops a job whose end is written, or that was withdrawn from the store.
    pub fn remove_job(&mut self, job: JobId) {
        if let Some(number) = self.record_of_job.remove(&job) {
            if let Some(contents) = self.records.get_mut(&number) {
                contents.jobs.remove(&job);
            }
        }
        if let Some(number) = self.record_of_progress.remove(&job) {
            if let Some(contents) = self.records.get_mut(&number) {
                contents.progress.remove(&job);
            }
        }
    }

    /// Adds the jobs and the progress that have to be rewritten to those to be
    /// written.
    pub fn add_rewrites(
        &self,
        jobs: &mut BTreeSet<JobId>,
        progress: &mut BTreeSet<JobId>,
        now: Millis,
    ) {
        let many = self.records.len() > MAX_RECORDS;
        let most = if many { RECORDS_PER_MERGE } else { 1 };
        for contents in self.records.values().take(most) {
            if many || contents.added_at + MAX_RECORD_AGE < now {
                jobs.extend(contents.jobs.iter().copied());
                progress.extend(contents.progress.iter().copied());
            }
        }
    }

    /// Returns whether anything has to be removed or rewritten.
    pub fn needs_cleanup(&self, now: Millis) -> bool {
        let oldest = self.records.values().next();
        let old = oldest.is_some_and(|c| c.added_at + MAX_RECORD_AGE < now);
        let many = self.records.len() > MAX_RECORDS;
        let chunk = self.closed_chunks.front();
        old || many || chunk.is_some_and(|c| self.is_removable(c, now))
    }

    fn is_removable(&self, chunk: &ClosedChunk, now: Millis) -> bool {
        let oldest = self.records.keys().next();
        chunk.until <= now && oldest.is_none_or(|oldest| *oldest > chunk.at)
    }

    /// Returns up to `most` names to remove from the store, and the numbers of
    /// the records among them.
    pub fn take_garbage(
        &mut self,
        most: usize,
        now: Millis,
    ) -> (Vec<RecordNumber>, Vec<String>) {
        let empty =
            self.records.iter().filter(|(_, c)| c.written && c.is_empty());
        let numbers: Vec<RecordNumber> =
            empty.map(|(number, _)| *number).take(most).collect();
        let mut names: Vec<String> =
            numbers.iter().map(|n| record::record_name(*n)).collect();
        while names.len() < most {
            let Some(chunk) = self.closed_chunks.front() else { break };
            if !self.is_removable(chunk, now) {
                break;
            }
            names.extend(
                self.closed_chunks.pop_front().map(|chunk| chunk.name),
            );
        }
        (numbers, names)
    }

    /// Notes that records are removed from the store.
    pub fn mark_removed(&mut self, numbers: &[RecordNumber]) {
        for number in numbers {
            self.records.remove(number);
        }
    }

    /// Adds ended jobs to the current chunk of these, and returns its name and
    /// value.
    pub fn add_ended(
        &mut self,
        jobs: &[EndedJob],
        now: Millis,
        keep: Millis,
    ) -> (String, Vec<u8>) {
        let added = self.ended.add(self.token, jobs);
        self.close_if_full(added, now + keep)
    }

    /// Adds jobs that were cancelled before they arrived to the current chunk
    /// of these, and returns its name and value.
    pub fn add_early_cancels(
        &mut self,
        jobs: &[EarlyCancel],
        now: Millis,
        keep: Millis,
    ) -> (String, Vec<u8>) {
        let added = self.early_cancels.add(self.token, jobs);
        self.close_if_full(added, now + keep)
    }

    fn close_if_full(
        &mut self,
        added: Added,
        until: Millis,
    ) -> (String, Vec<u8>) {
        let Added { name, value, is_full } = added;
        if is_full {
            self.close_chunk(name.clone(), until + CHUNK_GRACE);
        }
        (name, value)
    }

    fn close_chunk(&mut self, name: String, until: Millis) {
        // The commit in flight may belong to the chunk too.
        let sequence = self.sequence + 1;
        let at = RecordNumber { token: self.token, sequence };
        self.closed_chunks.push_back(ClosedChunk { name, until, at });
    }

    /// Takes over a chunk of a former leader.
    pub fn inherit_chunk(&mut self, name: String, until: Millis) {
        self.close_chunk(name, until + CHUNK_GRACE);
    }
}
