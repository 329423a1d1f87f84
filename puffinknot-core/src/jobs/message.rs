/*!
The inputs and outputs of the scheduler, and the data that they carry.
*/

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Revision};
use crate::jobs::accounts::CallCredentials;
use crate::jobs::crash_evidence::RunLoss;
use crate::jobs::executor::ExecutorInfo;
use crate::jobs::model::{Job, JobId, JobState, StepKey, TaskKey};
use crate::jobs::policy::Queue;

/// The number of a client request, assigned by the caller of the scheduler.
pub type RequestId = u64;

/// The index of an executor within one scheduler.
pub type ExecutorIndex = u32;

/// The index of a client account within one scheduler.
pub type AccountIndex = u32;

/// The number of an advice call within one scheduler.
pub type CallId = u64;

/// A request of a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Submit a job.
    Submit(Job),
    /// Query the state of a job.
    State {
        /// The queue.
        queue: String,
        /// The job.
        job: JobId,
    },
    /// Cancel a job.
    Cancel {
        /// The queue.
        queue: String,
        /// The job.
        job: JobId,
    },
    /// Query how many jobs of a queue have not started.
    Pending {
        /// The queue.
        queue: String,
    },
}

impl Request {
    /// Sets the queue that the request refers to.
    pub fn set_queue(&mut self, queue: &Queue) {
        match self {
            Request::Submit(job) => {
                job.queue.clone_from(&queue.name);
                job.service.clone_from(&queue.service);
            }
            Request::State { queue: name, .. }
            | Request::Cancel { queue: name, .. }
            | Request::Pending { queue: name } => {
                name.clone_from(&queue.name);
            }
        }
    }

    /// The queue that the request refers to.
    pub fn queue(&self) -> &str {
        match self {
            Request::Submit(job) => &job.queue,
            Request::State { queue, .. }
            | Request::Cancel { queue, .. }
            | Request::Pending { queue } => queue,
        }
    }
}

/// The answer to a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The job is accepted and written to the store.
    Accepted,
    /// The state of the job.
    State(JobState),
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// The number of jobs that have not started.
    Pending(u64),
    /// The policy has no such queue.
    NoSuchQueue,
    /// No account has the key, or the call had none.
    NoSuchKey,
    /// A gang needs more than the limit of its account.
    OverLimit,
    /// Nothing was done; retry after this many milliseconds. If zero, the node
    /// that received the call retries it without an answer to the client.
    Refused(Millis),
    /// It is unknown whether the request was carried out; query again.
    Unknown,
}

impl Outcome {
    /// Whether it refuses a request for good that a newer policy might allow.
    pub fn depends_on_policy(&self) -> bool {
        match self {
            Outcome::NoSuchQueue | Outcome::NoSuchKey | Outcome::OverLimit => {
                true
            }
            Outcome::Accepted
            | Outcome::State(_)
            | Outcome::Cancelled
            | Outcome::NoSuchJob
            | Outcome::Pending(_)
            | Outcome::Refused(_)
            | Outcome::Unknown => false,
        }
    }

    /// Whether it says that nothing was done. This applies to the latest call
    /// only: the same request may have been made before.
    pub fn is_refusal(&self) -> bool {
        match self {
            Outcome::Refused(_)
            | Outcome::NoSuchQueue
            | Outcome::NoSuchKey
            | Outcome::OverLimit => true,
            Outcome::Accepted
            | Outcome::State(_)
            | Outcome::Cancelled
            | Outcome::NoSuchJob
            | Outcome::Pending(_)
            | Outcome::Unknown => false,
        }
    }
}

/// A running run, as reported by its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run of the task.
    pub run: u64,
    /// Its last checkpoint, empty if there is none.
    pub checkpoint: String,
    /// The share of time for which it may work, in percent.
    pub percent: u32,
    /// The tail latency of a serving task, in milliseconds; for others the
    /// processor time in use.
    pub usage: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It completed its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// The end of a run, as reported by its executor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The number of this end on the executor.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run of the task.
    pub run: u64,
    /// How it ended.
    pub how: EndKind,
    /// Its last checkpoint, empty if there is none.
    pub checkpoint: String,
}

/// An executor's report: its state in answer to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorReport {
    /// The incarnation that answered, see [`ExecutorInfo::born`].
    pub born: Option<u64>,
    /// The reading of its clock, in milliseconds.
    pub clock: Millis,
    /// The runs that are running.
    pub running: Vec<RunReport>,
    /// The ends that were not acknowledged yet.
    pub ended: Vec<EndReport>,
    /// Whether there may be more ends than are listed.
    pub more_ended: bool,
}

/// Why an order was not carried out, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderFailure {
    /// The executor has seen a higher token, so another node leads.
    Fenced,
    /// The number of the run is not above that of a run which was stopped or
    /// ended there.
    Old,
    /// The lease in the order has expired.
    Late,
    /// The executor lacks free capacity.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The executor is unhealthy and did nothing.
    Unhealthy,
    /// Another incarnation of the executor runs now.
    Gone,
    /// The order is malformed.
    Malformed,
    /// Nothing was sent.
    NotSent,
    /// It is unknown whether it was or will be carried out.
    Unknown,
}

/// An executor that may run a step, by the advice on that step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvisedExecutor {
    /// The executor.
    pub executor: String,
    /// The ticket to present with the start.
    pub ticket: String,
}

/// Why there is no advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdviceFailure {
    /// The service has too many calls from this node already.
    Busy,
    /// There was no answer.
    Unknown,
}

/// A machine that hosts executors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineInfo {
    /// Its name.
    pub machine: String,
    /// The service whose pool it is in.
    pub pool: String,
    /// Its state.
    pub state: MachineState,
    /// The executor that it hosts now, empty for none.
    pub executor: String,
}

/// The state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It is in service.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is down for maintenance.
    Maintenance,
    /// It is down.
    Down,
    /// A state that this version does not know.
    Unknown,
}

/// A maintenance wave: machines that operators want taken down in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Its number.
    pub wave: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// The time within which all of them should have their maintenance, in
    /// milliseconds.
    pub within: Millis,
    /// The most machines that may be down at once.
    pub most: u32,
}

/// Why a maintenance call was not carried out, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceFailure {
    /// Another caller controls this machine.
    Fenced,
    /// The call was refused for now.
    Refused,
    /// There is no such machine, or it is not part of this wave.
    NoSuchMachine,
    /// The call may have been carried out.
    Unknown,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Operators requested a maintenance wave.
    Wave(MaintenanceWave),
    /// The list of machines, or `None` if there was no answer.
    Machines(Option<Vec<MachineInfo>>),
    /// A maintenance call was answered.
    MaintenanceAnswered {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
        /// Whether it was carried out.
        answer: Result<(), MaintenanceFailure>,
    },
    /// An executor answered a throttle order.
    ThrottleAnswered {
        /// The executor.
        executor: ExecutorIndex,
        /// Whether it was carried out.
        answer: Result<(), OrderFailure>,
    },
    /// A client made a request.
    Request {
        /// The number of the request.
        id: RequestId,
        /// The caller.
        caller: CallCredentials,
        /// The request.
        request: Request,
    },
    /// An executor is listed, or its entry has changed.
    Listed(ExecutorInfo),
    /// An executor is no longer listed.
    Unlisted(String),
    /// The entry of an executor cannot be read.
    EntryUnreadable(String),
    /// All entries of executors have been passed in.
    EntriesRead,
    /// An executor answered a lease renewal.
    RenewalAnswered {
        /// The executor.
        executor: ExecutorIndex,
        /// When the renewal was sent.
        sent_at: Millis,
        /// Its report, or why there is none.
        answer: Result<ExecutorReport, OrderFailure>,
    },
    /// An executor answered a start.
    StartAnswered {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// If it runs, the reading of the executor's clock, if the answer has
        /// one.
        answer: Result<Option<Millis>, OrderFailure>,
    },
    /// An executor answered a stop.
    StopAnswered {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// Whether it is stopped.
        answer: Result<(), OrderFailure>,
    },
    /// An advice call was answered.
    Advised {
        /// The advice call.
        call: CallId,
        /// The executors that may run the step.
        answer: Result<Vec<AdvisedExecutor>, AdviceFailure>,
    },
    /// The nodes that can make advice calls.
    Advisors(Vec<String>),
    /// The outstanding commit was written.
    Committed,
    /// The store declined the outstanding commit on every attempt, so that
    /// none of it is or will be written. Holds its changes.
    CommitDeclined(Vec<Change>),
    /// Time has passed.
    Tick,
}

/// A change to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Write a value under a name.
    Put {
        /// The name.
        name: String,
        /// The value.
        value: Vec<u8>,
    },
    /// Remove the value under a name.
    Remove {
        /// The name.
        name: String,
    },
}

impl Change {
    /// The name that the change refers to.
    pub fn name(&self) -> &str {
        match self {
            Change::Put { name, .. } | Change::Remove { name } => name,
        }
    }
}

/// An output of the scheduler, to be carried out by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Reply {
        /// The number of the request.
        id: RequestId,
        /// The answer.
        outcome: Outcome,
    },
    /// Write these changes atomically.
    Commit(Vec<Change>),
    /// Renew the lease of an executor and request its report.
    RenewLease {
        /// The executor.
        executor: ExecutorIndex,
        /// When this was decided; returned with the answer.
        sent_at: Millis,
        /// The end of the lease on the executor's clock, if that is known.
        due: Option<Millis>,
        /// Ends up to this number are acknowledged: the executor may forget
        /// them.
        last_seen: u64,
        /// Ends up to this number were received and need not be reported
        /// again.
        known: u64,
        /// How long the executor may wait for an end before it answers, in
        /// milliseconds.
        wait: Millis,
    },
    /// Start a task.
    Start {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The specification that is passed to the task.
        spec: std::sync::Arc<str>,
        /// The end of the lease on the executor's clock.
        due: Millis,
        /// The checkpoint to resume from, empty for none.
        checkpoint: String,
        /// The ticket to present, empty for none.
        ticket: String,
    },
    /// Stop a run, or ensure that it never starts.
    Stop {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
    },
    /// Throttle or unthrottle a run.
    Throttle {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The share of time for which it may work, in percent.
        percent: u32,
    },
    /// List the machines.
    ListMachines,
    /// Take a machine down for maintenance.
    StartMaintenance {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Report the state of a maintenance wave to operators.
    WaveState {
        /// The wave.
        wave: u64,
        /// Whether every machine has had its maintenance.
        succeeded: bool,
    },
    /// Make an advice call for a step.
    Advise {
        /// The advice call.
        call: CallId,
        /// The node that makes the call.
        advisor: String,
        /// The step.
        step: StepKey,
        /// The executors to ask about.
        executors: Vec<String>,
    },
    /// Stop leading: an executor has seen a higher token, so a successor
    /// leads.
    Superseded,
    /// Log that the end of a job was written.
    JobEnded {
        /// The job.
        job: JobId,
        /// The client account that it belonged to, if any.
        account: Option<String>,
        /// Its final state.
        state: JobState,
        /// How long it was live, in milliseconds.
        after: Millis,
        /// Whether that is within its objective.
        in_time: bool,
    },
    /// Log that a client account uses more than its share of a full cell, at
    /// most once per second.
    OverShare {
        /// The account.
        account: String,
        /// The largest fraction of the cell's capacity that it uses in any
        /// resource.
        held: f64,
    },
    /// Log that a job was refused since it cannot end while it is useful.
    NotAdmitted {
        /// The job.
        job: JobId,
        /// The client account that submitted it, if any.
        account: Option<String>,
        /// The earliest time at which it could end, in milliseconds from now;
        /// `None` while newer jobs will take all capacity.
        ends_in: Option<Millis>,
        /// How long it is useful, in milliseconds from now.
        of_use_for: Millis,
        /// Whether its account has more than its share of the waiting work.
        over_share: bool,
    },
    /// Log that tasks are preempted by a gang or by urgent tasks.
    Preempted {
        /// The gang or the urgent step.
        step: StepKey,
        /// The number of preempted tasks.
        tasks: u32,
    },
    /// Log that an executor was found to be faster or slower than others, or
    /// no longer is.
    ExecutorSpeed {
        /// Its name.
        id: String,
        /// How long runs take there, in percent of a typical executor.
        percent: u32,
    },
    /// Log that a step that may wait is deferred for the first time, so that
    /// capacity stays free for urgent ones.
    StepDeferred {
        /// The step.
        step: StepKey,
    },
    /// Log that a run has taken far longer than expected.
    RunOverdue {
        /// The executor's name.
        executor: String,
        /// The task.
        task: TaskKey,
        /// The run of the task.
        run: u64,
        /// How long it has run, in milliseconds.
        ran: Millis,
        /// How long it was expected to take there, in milliseconds.
        should: Millis,
    },
    /// Log that runs are stopped on an executor that is about to leave, before
    /// they are lost with it.
    RunsEvicted {
        /// The executor.
        executor: String,
        /// The least time before it leaves, in milliseconds.
        left: Millis,
        /// The number of stopped runs.
        runs: u32,
    },
    /// Log that everything a previous leader ordered is accounted for.
    TakeoverComplete {
        /// The number of executors that did not answer in time.
        unseen: u32,
    },
    /// Log that an executor answered a lease renewal for the first time in
    /// this leader term.
    ExecutorHeard {
        /// The executor.
        id: String,
        /// Its incarnation, see [`ExecutorInfo::born`].
        born: Option<u64>,
        /// The number of runs that it lists.
        running: u32,
        /// The number of ends that it lists.
        ended: u32,
    },
    /// Log that an incarnation of an executor is considered ended.
    ExecutorOver {
        /// The executor.
        id: String,
        /// The incarnation.
        born: Option<u64>,
        /// The evidence.
        why: IncarnationEnd,
        /// The number of runs that are given up with it.
        runs: u32,
        /// Whether the store lists it.
        listed: bool,
        /// How long ago it made its last report, in milliseconds; `None` if
        /// it has made none in this term.
        heard_before: Option<Millis>,
        /// How long a lease there may still be valid by the leader's clock,
        /// in milliseconds; `None` if it has not answered in this term.
        lease_left: Option<i64>,
    },
    /// Log that a run is considered lost, so that its task may be started
    /// elsewhere.
    RunGivenUp {
        /// The executor that it was on.
        executor: String,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The evidence.
        why: IncarnationEnd,
        /// The time from its order until the executor first missed an order
        /// or a renewal, in milliseconds: the longest that it can have run if
        /// the executor crashed.
        ran: Millis,
        /// The time from its order until the executor was last heard, in
        /// milliseconds: it ran at least that long without a crash.
        survived: Millis,
    },
    /// Log that an executor has crashed and a task may have caused it.
    TaskSuspected {
        /// The task.
        task: TaskKey,
        /// The executor.
        executor: String,
        /// How its run there was lost.
        loss: RunLoss,
        /// The number of its runs that were lost in crashes so far.
        runs: u32,
        /// The weight of these, see [`crate::jobs::crash_evidence`].
        weight: u32,
        /// The assumed rate of crashes with other causes, in crashes per
        /// second and executor.
        rate: f64,
    },
    /// Log that an executor has survived a task that was suspected of crashing
    /// others.
    TaskCleared {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The executor.
        executor: String,
    },
    /// Log that a job has failed since a task crashes the executors that start
    /// it.
    TaskGivenUp {
        /// The task.
        task: TaskKey,
        /// The client account of its job, if any.
        account: Option<String>,
        /// The queue of its job.
        queue: String,
        /// The number of its runs that were lost with executors.
        runs: u32,
        /// The addresses of these executors.
        addresses: Vec<String>,
    },
}

/// The evidence by which a leader considers an incarnation of an executor, and
/// the runs there, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// Another incarnation has answered at its address.
    AnotherAnswers,
    /// The machine on which it was shown is no longer up, or hosts another
    /// incarnation.
    LeftMachine,
    /// It is silent and its lease has expired.
    Lapsed,
    /// It was not heard in this term, and the leases of all that a previous
    /// leader may have ordered there have expired.
    NeverHeard,
}

/// A value as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The name.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which it was written.
    pub revision: Revision,
}
