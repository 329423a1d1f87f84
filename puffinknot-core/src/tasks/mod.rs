/*!
Tasks on workers: one data centre's jobs, quotas, order and placement.

The [`Placer`] is the part of the core that the holder of a data centre's
task contract runs. It decides from what it has promised and never from what
workers report as used, so that no worker is given more than it has.

A task runs in one place only. It is started where it can't be running
elsewhere: the workers' own lists, read under the holder's epoch, are the
truth. What ran on a worker that has become silent starts again only when
the worker's lease has certainly lapsed *and* the platform has confirmed,
after that, that the holder still held the contract. Without the second
condition, a holder that was superseded unawares could take a worker for dead
whose lease its successor renews.
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
