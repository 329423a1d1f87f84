/*!
The batch jobs of one cell: their data model, and the scheduling of their
tasks.

A [`Job`] is a set of steps with dependencies between them; a step is a
number of equal tasks. Jobs are submitted to a queue, whose policy
([`Queue`]) says which executors serve it and how urgent it is.

One node of the cell at a time leads it. The leader runs a [`Scheduler`]: a
deterministic state machine that takes events ([`Event`]) as input and
returns the actions to perform ([`Action`]). Its safety rests on three
rules:

* *Executors decide what runs.* Every order carries the leader's fencing
  token, and an executor refuses any order whose token is lower than the
  highest that it has seen. Everything that runs is under a lease, which the
  executor measures by its own clock.
* *The store decides what was accepted and what has ended.* Only the leader
  writes, and each of its writes succeeds only if no other node has led since
  its term began.
* *Nothing is announced before it is written*: neither an acceptance, nor a
  cancellation, nor the end of a job, nor the acknowledgement of an end that
  an executor has reported.
*/

pub mod accounts;
pub mod backlog;
pub mod circuit_breaker;
pub mod cordon;
pub mod crash_evidence;
pub mod crash_rate;
pub mod executor;
mod executor_index;
pub mod fair_share;
pub mod headroom;
pub mod mechanism;
pub mod message;
pub mod model;
pub mod number_set;
pub mod policy;
pub mod policy_age;
pub mod record;
pub mod report_age;
pub mod scheduler;
pub mod speed;
pub mod start_backlog;
pub mod suspension;

pub use self::accounts::{Account, CallCredentials, KeyDigest, KeyRing};
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
pub use self::policy_age::{PolicyAge, PolicyLimits};
pub use self::scheduler::{Scheduler, SchedulerConfig};
pub use self::suspension::Suspensions;
