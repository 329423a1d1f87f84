/*!
Which of the leader's records still matter.

Each commit is one record. A record matters as long as it holds the only copy
of a live job or of its newest progress. When there are too many, what still
matters of the oldest is written again with the next commit, and the oldest
goes. Names of ended jobs are kept apart, in chunks; a chunk goes once its
jobs need not be known any more and no record from its time is left, so that
no ended job can come back.
*/

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::ids::Millis;
use crate::jobs::model::JobId;
use crate::jobs::record::{self, EndedChunk, EndedJob, RecordNumber};

/// The most records; more are written together.
const MAX_RECORDS: usize = 80;
/// So many of the oldest records are written again as one.
const TOGETHER: usize = 8;
/// A record older than this is written again, in milliseconds.
const MAX_AGE: Millis = 20_000;
/// The number of jobs in a chunk of ended jobs.
const CHUNK: usize = 120;
/// Chunks are kept this much longer than their jobs, in milliseconds.
const CHUNK_SLACK: Millis = 10_000;

/// What a record holds the only copy of.
#[derive(Debug, Default)]
struct Contents {
    jobs: BTreeSet<JobId>,
    progress: BTreeSet<JobId>,
    since: Millis,
    written: bool,
}

impl Contents {
    fn empty(&self) -> bool {
        self.jobs.is_empty() && self.progress.is_empty()
    }
}

/// A chunk that takes no more jobs.
#[derive(Debug)]
struct Closed {
    name: String,
    until: Millis,
    /// Records up to this one are from its time.
    at: RecordNumber,
}

/// The records of this tenure and of its predecessors.
#[derive(Debug)]
pub(super) struct Records {
    token: u64,
    sequence: u64,
    records: BTreeMap<RecordNumber, Contents>,
    jobs: BTreeMap<JobId, RecordNumber>,
    progress: BTreeMap<JobId, RecordNumber>,
    chunk: EndedChunk,
    chunk_number: u64,
    closed: VecDeque<Closed>,
}

impl Records {
    pub fn new(token: u64) -> Records {
        Records {
            token,
            sequence: 0,
            records: BTreeMap::new(),
            jobs: BTreeMap::new(),
            progress: BTreeMap::new(),
            chunk: EndedChunk::default(),
            chunk_number: 0,
            closed: VecDeque::new(),
        }
    }

    /// The number of the next record.
    pub fn next_number(&mut self) -> RecordNumber {
        self.sequence += 1;
        RecordNumber { token: self.token, sequence: self.sequence }
    }

    /// A record holds the newest copy of these.
    pub fn insert(
        &mut self,
        number: RecordNumber,
        jobs: BTreeSet<JobId>,
        progress: BTreeSet<JobId>,
        now: Millis,
    ) {
        for job in &jobs {
            if let Some(old) = self.jobs.insert(*job, number) {
                if let Some(contents) = self.records.get_mut(&old) {
                    contents.jobs.remove(job);
                }
            }
        }
        for job in &progress {
            if let Some(old) = self.progress.insert(*job, number) {
                if let Some(contents) = self.records.get_mut(&old) {
                    contents.progress.remove(job);
                }
            }
        }
        let written = false;
        let contents = Contents { jobs, progress, since: now, written };
        self.records.insert(number, contents);
    }

    /// A record stands in the store.
    pub fn written(&mut self, number: RecordNumber) {
        if let Some(contents) = self.records.get_mut(&number) {
            contents.written = true;
        }
    }

    /// A job has ended, and that is written.
    pub fn forget(&mut self, job: JobId) {
        if let Some(number) = self.jobs.remove(&job) {
            if let Some(contents) = self.records.get_mut(&number) {
                contents.jobs.remove(&job);
            }
        }
        if let Some(number) = self.progress.remove(&job) {
            if let Some(contents) = self.records.get_mut(&number) {
                contents.progress.remove(&job);
            }
        }
    }

    /// Adds what is to be written again to what is to be written.
    pub fn rewrite(
        &self,
        jobs: &mut BTreeSet<JobId>,
        progress: &mut BTreeSet<JobId>,
        now: Millis,
    ) {
        let many = self.records.len() > MAX_RECORDS;
        let most = if many { TOGETHER } else { 1 };
        for contents in self.records.values().take(most) {
            if many || contents.since + MAX_AGE < now {
                jobs.extend(contents.jobs.iter().copied());
                progress.extend(contents.progress.iter().copied());
            }
        }
    }

    /// Whether anything should go, or be written again.
    pub fn have_garbage(&self, now: Millis) -> bool {
        let oldest = self.records.values().next();
        let old = oldest.is_some_and(|c| c.since + MAX_AGE < now);
        let many = self.records.len() > MAX_RECORDS;
        let chunk = self.closed.front();
        old || many || chunk.is_some_and(|c| self.may_go(c, now))
    }

    fn may_go(&self, chunk: &Closed, now: Millis) -> bool {
        let oldest = self.records.keys().next();
        chunk.until <= now && oldest.is_none_or(|oldest| *oldest > chunk.at)
    }

    /// Up to `most` names to remove, and the records among them.
    pub fn garbage(
        &mut self,
        most: usize,
        now: Millis,
    ) -> (Vec<RecordNumber>, Vec<String>) {
        let empty =
            self.records.iter().filter(|(_, c)| c.written && c.empty());
        let numbers: Vec<RecordNumber> =
            empty.map(|(number, _)| *number).take(most).collect();
        let mut names: Vec<String> =
            numbers.iter().map(|n| record::record_name(*n)).collect();
        while names.len() < most {
            let Some(chunk) = self.closed.front() else { break };
            if !self.may_go(chunk, now) {
                break;
            }
            names.extend(self.closed.pop_front().map(|chunk| chunk.name));
        }
        (numbers, names)
    }

    /// These records are removed from the store.
    pub fn removed(&mut self, numbers: &[RecordNumber]) {
        for number in numbers {
            self.records.remove(number);
        }
    }

    /// Adds ended jobs to the present chunk, and returns its name and value.
    pub fn add_ended(
        &mut self,
        jobs: &[EndedJob],
        now: Millis,
        keep: Millis,
    ) -> (String, Vec<u8>) {
        self.chunk.jobs.extend_from_slice(jobs);
        let (token, number) = (self.token, self.chunk_number);
        let name = format!("{}{token}-{number}", record::ENDED_PREFIX);
        let value = record::encode(&self.chunk);
        if self.chunk.jobs.len() >= CHUNK {
            self.chunk = EndedChunk::default();
            self.chunk_number += 1;
            self.close(name.clone(), now + keep + CHUNK_SLACK);
        }
        (name, value)
    }

    fn close(&mut self, name: String, until: Millis) {
        // What is under way now may be of its time too.
        let sequence = self.sequence + 1;
        let at = RecordNumber { token: self.token, sequence };
        self.closed.push_back(Closed { name, until, at });
    }

    /// Takes over a chunk of a predecessor.
    pub fn inherit_chunk(&mut self, name: String, until: Millis) {
        self.close(name, until + CHUNK_SLACK);
    }
}
