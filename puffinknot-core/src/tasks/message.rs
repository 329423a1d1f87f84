/*!
Messages between the holder of a data centre's task contract and a worker.

There is one exchange, the *sync*. The first one presents the holder's epoch
and asks what runs. Later ones renew the lease of everything that runs on the
worker, and start and stop tasks.

The end of a lease is a time on the *worker's* clock: the holder takes the
last reading that the worker sent, adds the time since it received it, and
adds the length of the lease. However late a message arrives, it can't extend
the lease beyond that point, and the holder knows when the lease has certainly
expired.
*/

use serde::{Deserialize, Serialize};

use crate::config::{Priority, Resources};
use crate::ids::{Epoch, Millis, TaskId};

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartTask {
    /// The task.
    pub id: TaskId,
    /// The hash of its specification in the operators' file.
    pub spec: u64,
    /// The resources that it needs.
    pub need: Resources,
    /// How long it runs, in milliseconds; zero for a service.
    pub run_ms: Millis,
    /// Its priority.
    pub priority: Priority,
}

/// A task to stop.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StopTask {
    /// The task.
    pub id: TaskId,
    /// Whether to checkpoint it first.
    pub checkpoint: bool,
}

/// A sync, from the holder to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The holder's epoch. The worker refuses any that is lower than the
    /// highest that it has seen.
    pub epoch: Epoch,
    /// Grows with each request of an epoch. The worker refuses any that is not
    /// higher than the highest that it has seen, so that a request that is
    /// overtaken by another has no effect.
    pub seq: u64,
    /// The end of the lease on the worker's clock. It never moves back.
    pub until: Millis,
    /// The last [`SyncReply::counter`] that the holder has received.
    pub counter: u64,
    /// Tasks to start, unless the lease has expired by the worker's clock.
    pub start: Vec<StartTask>,
    /// Tasks to stop.
    pub stop: Vec<StopTask>,
    /// Acknowledged ends: tasks that the worker no longer has to report.
    pub ack: Vec<TaskId>,
}

/// The state of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It is running.
    Running,
    /// It ended by itself, successfully.
    Done,
    /// It ended by itself with a failure.
    Failed,
}

/// A worker's report on one of its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub id: TaskId,
    /// The hash of the specification that it was started with.
    pub spec: u64,
    /// The resources that it needs.
    pub need: Resources,
    /// Its priority.
    pub priority: Priority,
    /// Its state.
    pub phase: TaskPhase,
    /// How long it has run, in milliseconds.
    pub age_ms: Millis,
}

/// The properties of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// All of its resources.
    pub capacity: Resources,
    /// Its rack.
    pub rack: String,
    /// Whether it is departing and accepts no new work.
    pub leaving: bool,
}

/// The reply to a sync, from a worker to the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SyncReply {
    /// The `seq` of the request.
    pub seq: u64,
    /// The reading of the worker's clock, in milliseconds since an arbitrary
    /// time.
    pub clock: Millis,
    /// The version of the task list, which grows with every change.
    pub counter: u64,
    /// The properties of the worker.
    pub info: WorkerInfo,
    /// The tasks, unless the request carried this `counter`.
    pub tasks: Option<Vec<TaskReport>>,
}
