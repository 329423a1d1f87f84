/*!
What is kept in the store, under which names, and in which form.

What has become of jobs is written as *records*, one for each commit: new
jobs, and the progress of others. A record stands until nothing in it matters
any more. When a job ends, its name and final state are added to a *chunk* of
ended jobs. The executors that the cell has ordered are kept in *shards*, so
that a successor knows whom to ask. What may still run of jobs that have ended
is one value: it counts against the limits of client accounts, and no job
tells it any more.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::config::Resources;
use crate::jobs::crash_evidence::CrashEvidence;
use crate::jobs::executor::ExecutorInfo;
use crate::jobs::model::{Job, JobId, JobState};
use crate::jobs::policy::Queue;

/// Names of records begin so.
pub const RECORD_PREFIX: &str = "record/";
/// Names of chunks of ended jobs begin so.
pub const ENDED_PREFIX: &str = "ended/";
/// Names of shards of the list of executors begin so.
pub const SHARD_PREFIX: &str = "enrolled/";
/// The list of executors has so many shards, so that one that comes or goes
/// has a small part of it written again, and none grows too large for a value.
pub const SHARD_COUNT: u8 = 16;

/// The name of the whole list, as earlier versions wrote it.
pub const LEGACY_EXECUTORS: &str = "executors";

/// The name of the list of machines on which executors were shown, as earlier
/// versions wrote it.
pub const LEGACY_MACHINES: &str = "machines";

/// The machines on which executors were shown, by the executors' names.
pub type MachinesByExecutor = BTreeMap<String, String>;

/// The name of the list of machines that have had their upkeep.
pub const FINISHED_MAINTENANCE: &str = "waves";

/// The name of what may still run of jobs that were given up.
pub const STOPPING_RESOURCES: &str = "stopping";

/// What may still run of jobs that have ended before their tasks, by client
/// account.
pub type StoppingResources = BTreeMap<String, Resources>;

/// The machines that have had their upkeep, by wave.
pub type FinishedMaintenance = BTreeMap<u64, BTreeSet<String>>;

/// The number of a record: the tenure that wrote it, and which of its
/// records it is. Later records have greater numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordNumber {
    /// The token of the tenure.
    pub token: u64,
    /// The number within the tenure.
    pub sequence: u64,
}

/// What one commit says about jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Jobs, and the policies of their queues when they were accepted.
    pub accepted: Vec<(Job, Queue)>,
    /// The progress of jobs; the newest counts.
    pub progress: Vec<(JobId, Progress)>,
}

/// The progress of one step in one repetition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// The tasks that are done; for a gang, all or none.
    pub done: Vec<u32>,
    /// For each task that has failed, the runs that did; a gang counts as
    /// its first task.
    pub failed: BTreeMap<u32, Vec<u64>>,
    /// For each task that may have crashed executors, how; a gang counts as
    /// its first task.
    pub losses: BTreeMap<u32, CrashEvidence>,
}

/// The progress of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The steps that have any, by repetition and number.
    pub steps: BTreeMap<(u32, u32), StepProgress>,
}

/// A chunk of ended jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedChunk {
    /// The jobs.
    pub jobs: Vec<EndedJob>,
}

/// A job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub state: JobState,
    /// The client account that it belonged to, if any.
    pub account: Option<String>,
}

/// An executor that the cell has ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EnrolledExecutor {
    /// What it said of itself.
    pub info: ExecutorInfo,
    /// The machine on which it was shown; empty if it was not.
    pub machine: String,
}

/// One shard of the executors that the cell has ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Each of them.
    pub executors: Vec<EnrolledExecutor>,
    /// How long runs take on each, see [`Speed::to_stored`]; empty if none is
    /// known to differ.
    ///
    /// [`Speed::to_stored`]: crate::jobs::speed::Speed::to_stored
    pub speeds: Vec<i8>,
}

impl Shard {
    /// Reads a shard, also one of an earlier version, which ends before the
    /// speeds.
    ///
    /// # Errors
    ///
    /// If the bytes are anything else.
    pub fn read(bytes: &[u8]) -> Result<Shard, String> {
        decode(bytes).or_else(|err| {
            let executors = decode(bytes).map_err(|_| err)?;
            Ok(Shard { executors, speeds: Vec::new() })
        })
    }
}

/// The shard of an executor, by its name.
pub fn shard_of(id: &str) -> u8 {
    let mut hasher = SipHasher13::new();
    id.hash(&mut hasher);
    (hasher.finish() % u64::from(SHARD_COUNT)) as u8
}

/// The name of a shard.
pub fn shard_name(shard: u8) -> String {
    format!("{SHARD_PREFIX}{shard:02x}")
}

/// The executors that the cell has ordered, as earlier versions wrote them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegacyEnrolled {
    /// Each of them.
    pub executors: Vec<ExecutorInfo>,
}

/// The name of a record. Names are in the order of numbers.
pub fn record_name(number: RecordNumber) -> String {
    format!("{RECORD_PREFIX}{:016x}-{:08x}", number.token, number.sequence)
}

/// The number of the record with this name.
pub fn record_number(name: &str) -> Option<RecordNumber> {
    let (token, sequence) =
        name.strip_prefix(RECORD_PREFIX)?.split_once('-')?;
    Some(RecordNumber {
        token: u64::from_str_radix(token, 16).ok()?,
        sequence: u64::from_str_radix(sequence, 16).ok()?,
    })
}

/// The bytes of a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .unwrap_or_default()
}

/// Reads a value.
///
/// # Errors
///
/// If the bytes are anything else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let config = bincode::config::standard();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((value, used)) if used == bytes.len() => Ok(value),
        Ok(_) => Err("a value is followed by something else".into()),
        Err(err) => Err(err.to_string()),
    }
}
