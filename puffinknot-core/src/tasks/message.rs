/*!
What the holder of a data centre's tasks and a worker say to each other.

There is one exchange, the *sync*. Its first use presents the holder's epoch
and asks what runs; later ones renew the lease of everything that runs on the
worker, and start and stop tasks.

A lease is given in the *worker's* clock: the holder adds the length of the
lease to the last reading that the worker sent. However late a message
arrives, it can't extend the lease beyond that point, and the holder knows
when the lease has certainly lapsed.
*/

use serde::{Deserialize, Serialize};

use crate::config::{Priority, Resources};
use crate::ids::{Epoch, Millis, TaskId};

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub id: TaskId,
    /// A hash of what the file says of it.
    pub spec: u64,
    /// What it needs.
    pub need: Resources,
    /// How long it runs, in milliseconds; zero for a service.
    pub run_ms: Millis,
    /// What comes first.
    pub priority: Priority,
}

/// A task to stop.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub id: TaskId,
    /// Whether to save its state first.
    pub checkpoint: bool,
}

/// From the holder to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The holder's epoch. A lower one than the highest seen is refused.
    pub epoch: Epoch,
    /// Grows with each request of an epoch. A lower or equal one than the
    /// highest seen is refused, so that messages can't overtake.
    pub seq: u64,
    /// The end of the lease in the worker's clock. It never moves back.
    pub until: Millis,
    /// The last [`SyncReply::counter`] that the holder has seen.
    pub counter: u64,
    /// Tasks to start, if the lease has not ended by the worker's clock.
    pub start: Vec<StartTask>,
    /// Tasks to stop.
    pub stop: Vec<StopTask>,
    /// Ended tasks that the worker need not report any more.
    pub ack: Vec<TaskId>,
}

/// Where a task is in its life at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It runs.
    Running,
    /// It has ended by itself, successfully.
    Done,
    /// It has ended by itself, in failure.
    Failed,
}

/// A worker's word on one of its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub id: TaskId,
    /// The hash it was started with.
    pub spec: u64,
    /// What it needs.
    pub need: Resources,
    /// What comes first.
    pub priority: Priority,
    /// Where it is in its life.
    pub phase: TaskPhase,
    /// How long it has run, in milliseconds.
    pub age_ms: Millis,
}

/// What a worker is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// What it has.
    pub capacity: Resources,
    /// The rack it stands in.
    pub rack: String,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// From a worker to the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SyncReply {
    /// The `seq` of the request.
    pub seq: u64,
    /// The worker's clock, in milliseconds since some start.
    pub clock: Millis,
    /// Grows with every change of the list of tasks.
    pub counter: u64,
    /// What the worker is.
    pub info: WorkerInfo,
    /// The tasks, unless the holder has seen this `counter`.
    pub tasks: Option<Vec<TaskReport>>,
}
