/*!
The data that is kept in the store: names, types and encoding.

The progress of jobs is written as *records*, one for each commit: new jobs,
and the progress of others. A record is kept until nothing in it is relevant
any more. When a job ends, its id and final state are added to a *chunk* of
ended jobs. Jobs that were cancelled before they arrived are kept in chunks of
their own. The executors to which the cell has sent orders are kept in
*shards*, so that a new leader knows which to query. The resources that tasks
of ended jobs may still use are a single value: they count against the limits
of client accounts, and no job records them any more.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::ops::Range;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::config::Resources;
use crate::jobs::crash_evidence::CrashEvidence;
use crate::jobs::executor::ExecutorInfo;
use crate::jobs::model::{Job, JobId, JobState};
use crate::jobs::policy::Queue;

/// The prefix of the names of records.
pub const RECORD_PREFIX: &str = "record/";
/// The prefix of the names of chunks of ended jobs.
pub const ENDED_PREFIX: &str = "ended/";
/// The prefix of the names of chunks of jobs that were cancelled before they
/// arrived.
pub const EARLY_CANCEL_PREFIX: &str = "cancelled/";
/// The prefix of the names of shards of the list of executors.
pub const SHARD_PREFIX: &str = "enrolled/";
/// The number of shards of the list of executors. With shards, a change of one
/// executor rewrites only a small part of the list, and none grows too large
/// for a value.
pub const SHARD_COUNT: u8 = 16;

/// The name of the whole list of executors, as earlier versions wrote it.
pub const LEGACY_EXECUTORS: &str = "executors";

/// The name of the list of machines on which executors were shown, as earlier
/// versions wrote it.
pub const LEGACY_MACHINES: &str = "machines";

/// The machines on which executors were shown, by the names of the executors.
pub type MachinesByExecutor = BTreeMap<String, String>;

/// The name of the list of machines that have had their maintenance.
pub const FINISHED_MAINTENANCE: &str = "waves";

/// The name of the resources that tasks of ended jobs may still use.
pub const STOPPING_RESOURCES: &str = "stopping";

/// The resources that tasks may still use whose jobs have ended before them,
/// by client account.
pub type StoppingResources = BTreeMap<String, Resources>;

/// The machines that have had their maintenance, by wave.
pub type FinishedMaintenance = BTreeMap<u64, BTreeSet<String>>;

/// The number of a record: the leader term that wrote it, and its sequence
/// number within the term. Later records have greater numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordNumber {
    /// The fencing token of the term.
    pub token: u64,
    /// The sequence number within the term.
    pub sequence: u64,
}

/// The changes to jobs in one commit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// New jobs, each with the policy of its queue when it was accepted.
    pub accepted: Vec<(Job, Queue)>,
    /// The progress of jobs; the latest record with a job counts.
    pub progress: Vec<(JobId, Progress)>,
    /// The repetitions that are done of each of these jobs that has any, as
    /// ranges with exclusive ends.
    pub done_repetitions: Vec<(JobId, Vec<Range<u32>>)>,
}

impl Record {
    /// Encodes a record. One without done repetitions is encoded as by earlier
    /// versions, which know none.
    pub fn write(&self) -> Vec<u8> {
        match self.done_repetitions.is_empty() {
            true => encode(&(&self.accepted, &self.progress)),
            false => encode(self),
        }
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// If the bytes are not a record of this version or an earlier one.
    pub fn read(bytes: &[u8]) -> Result<Record, String> {
        decode(bytes).or_else(|err| {
            let (accepted, progress) = decode(bytes).map_err(|_| err)?;
            Ok(Record { accepted, progress, done_repetitions: Vec::new() })
        })
    }
}

/// The progress of one step in one repetition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The tasks that are done; for a gang, all or none.
    pub done: Vec<u32>,
    /// The failed runs of each task that has failed; a gang is represented by
    /// its first task.
    pub failed: BTreeMap<u32, Vec<u64>>,
    /// The crash evidence against each task that may have crashed executors;
    /// a gang is represented by its first task.
    pub losses: BTreeMap<u32, CrashEvidence>,
}

/// The progress of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The steps that have any, by repetition and index, except for those of
    /// repetitions that are done.
    pub steps: BTreeMap<(u32, u32), StepProgress>,
}

/// A chunk of what has to be remembered of jobs for some time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk<T> {
    /// The jobs.
    pub jobs: Vec<T>,
}

impl<T> Default for Chunk<T> {
    fn default() -> Chunk<T> {
        Chunk { jobs: Vec::new() }
    }
}

/// A chunk of ended jobs.
pub type EndedChunk = Chunk<EndedJob>;

/// A chunk of jobs that were cancelled before they arrived.
pub type EarlyCancelChunk = Chunk<EarlyCancel>;

/// A job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The job.
    pub job: JobId,
    /// Its final state.
    pub state: JobState,
    /// The client account that it belonged to, if any.
    pub account: Option<String>,
}

/// A job that was cancelled before it arrived. A submission is the same job if
/// it has the same id, account and address.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct EarlyCancel {
    /// The job.
    pub job: JobId,
    /// The client account of the cancellation, if any.
    pub account: Option<String>,
    /// The host of its queue, in lower case.
    pub host: String,
    /// The path prefix of its queue.
    pub prefix: String,
}

/// An executor to which the cell has sent orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnrolledExecutor {
    /// Its entry.
    pub info: ExecutorInfo,
    /// The machine on which it was shown; empty if it was not shown.
    pub machine: String,
}

/// One shard of the list of executors to which the cell has sent orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The executors.
    pub executors: Vec<EnrolledExecutor>,
    /// The speed of each executor, see [`Speed::to_stored`]; empty if none is
    /// known to differ from the typical.
    ///
    /// [`Speed::to_stored`]: crate::jobs::speed::Speed::to_stored
    pub speeds: Vec<i8>,
}

impl Shard {
    /// Decodes a shard. Shards of earlier versions have no speeds.
    ///
    /// # Errors
    ///
    /// If the bytes are not a shard of either version.
    pub fn read(bytes: &[u8]) -> Result<Shard, String> {
        decode(bytes).or_else(|err| {
            let executors = decode(bytes).map_err(|_| err)?;
            Ok(Shard { executors, speeds: Vec::new() })
        })
    }
}

/// The shard of the executor with a name.
pub fn shard_of(id: &str) -> u8 {
    let mut hasher = SipHasher13::new();
    id.hash(&mut hasher);
    (hasher.finish() % u64::from(SHARD_COUNT)) as u8
}

/// The name of a shard.
pub fn shard_name(shard: u8) -> String {
    format!("{SHARD_PREFIX}{shard:02x}")
}

/// The whole list of executors to which the cell has sent orders, as earlier
/// versions wrote it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegacyEnrolled {
    /// The executors.
    pub executors: Vec<ExecutorInfo>,
}

/// The name of a record. Names sort in the order of numbers.
pub fn record_name(number: RecordNumber) -> String {
    format!("{RECORD_PREFIX}{:016x}-{:08x}", number.token, number.sequence)
}

/// The number of the record with a name; `None` if it is no record's name.
pub fn record_number(name: &str) -> Option<RecordNumber> {
    let (token, sequence) =
        name.strip_prefix(RECORD_PREFIX)?.split_once('-')?;
    Some(RecordNumber {
        token: u64::from_str_radix(token, 16).ok()?,
        sequence: u64::from_str_radix(sequence, 16).ok()?,
    })
}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .unwrap_or_default()
}

/// Decodes a value.
///
/// # Errors
///
/// If the bytes are not exactly one such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let config = bincode::config::standard();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) => Err("trailing bytes after the value".into()),
        Err(err) => Err(err.to_string()),
    }
}
