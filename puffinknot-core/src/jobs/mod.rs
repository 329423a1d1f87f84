/*!
Batch jobs of one cell: what they consist of, and who runs their tasks.

A [`Job`] is a set of steps with dependencies between them; a step is a
number of equal tasks. Jobs are handed in to a queue, whose policy
([`Queue`]) says which executors serve it and how urgent it is.

One node of the cell at a time leads it. The leader runs a [`Scheduler`]: a
deterministic state machine that is told what happened ([`Event`]) and says
what to do ([`Action`]). Its safety rests on three things:

* *Executors are the arbiters of what runs.* Every order carries the
  leader's fencing token, and an executor refuses a lower one than the
  highest that it has seen. Everything that runs is under a lease on the
  executor's clock.
* *The store is the arbiter of what was accepted and what has ended.* Only
  the leader writes, and each of its writes holds only if nobody led since.
* *Nothing is said before it is written*: an acceptance, a cancellation, the
  end of a job, and the acknowledgement of an executor's report of an end.
*/

pub mod accounts;
pub mod backlog;
pub mod circuit_breaker;
pub mod cordon;
pub mod crash_evidence;
pub mod crash_rate;
pub mod executor;
mod executors;
pub mod fair_share;
pub mod headroom;
pub mod mechanism;
pub mod message;
pub mod model;
pub mod policy;
pub mod record;
pub mod report_age;
pub mod scheduler;
pub mod speed;

pub use self::accounts::{Account, Caller, KeyDigest, KeyRing};
pub use self::cordon::{Cordon, CordonSource, Cordons};
pub use self::crash_evidence::RunLoss;
pub use self::executor::ExecutorInfo;
pub use self::mechanism::{Mechanism, Mechanisms};
pub use self::message::{
    Action, AdviceFailure, AdvisedExecutor, Change, EndKind, EndReport, Event,
    ExecutorReport, IncarnationEnd, MachineInfo, MachineState,
    MaintenanceFailure, MaintenanceWave, OrderFailure, Outcome, Request,
    RequestId, RunReport,
};
pub use self::model::{Job, JobId, JobState, Repeats, Step, TaskKey};
pub use self::policy::{AdviceCost, Policy, Queue, Service};
pub use self::scheduler::{Scheduler, SchedulerConfig};
