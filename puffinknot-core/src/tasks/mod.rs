/*!
The placement of tasks on workers: the jobs, quotas and priorities of one data
centre.

The holder of a data centre's task contract runs a [`Placer`]. The placer
counts the resources that it has allocated, not those that workers report as
used, so that it never allocates more than a worker has.

A task runs on at most one worker. The task lists that workers send under the
holder's epoch decide where a task runs, and a task is started only if it
can't be running elsewhere. The tasks of an unresponsive worker start again
only when the worker's lease has certainly expired *and* the platform has
confirmed, after that, that the holder still had the contract. Without the
second condition, a holder that was superseded without knowing it could give
up a worker whose lease its successor renews.
*/

pub mod fit;
pub mod message;
pub mod placer;
pub mod progress;

pub use self::fit::Fit;
pub use self::message::{
    StartTask, StopTask, SyncReply, SyncRequest, TaskPhase, TaskReport,
    WorkerInfo,
};
pub use self::placer::{JobView, Placer, PlacerConfig, WorkerView};
pub use self::progress::Progress;
