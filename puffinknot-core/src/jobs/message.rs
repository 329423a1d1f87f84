/*!
What the scheduler is told, and what it asks for.
*/

use serde::{Deserialize, Serialize};

use crate::ids::{Millis, Revision};
use crate::jobs::accounts::Caller;
use crate::jobs::crash_evidence::RunLoss;
use crate::jobs::executor::ExecutorInfo;
use crate::jobs::model::{Job, JobId, JobState, StepKey, TaskKey};

/// A request of a client, numbered by whoever runs the scheduler.
pub type RequestId = u64;

/// The number of an executor within one scheduler.
pub type ExecutorIndex = u32;

/// The number of a client account within one scheduler.
pub type AccountIndex = u32;

/// The number of a call for advice within one scheduler.
pub type CallId = u64;

/// What a client wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Take this job.
    Submit(Job),
    /// Where does the job stand?
    State {
        /// The queue.
        queue: String,
        /// The job.
        job: JobId,
    },
    /// Cancel the job.
    Cancel {
        /// The queue.
        queue: String,
        /// The job.
        job: JobId,
    },
    /// How many jobs of the queue have not begun?
    Pending {
        /// The queue.
        queue: String,
    },
}

impl Request {
    /// The queue that it is about.
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
    /// The job is accepted and kept.
    Accepted,
    /// Where the job stands.
    State(JobState),
    /// The job is cancelled, or had ended.
    Cancelled,
    /// There is no such job.
    NoSuchJob,
    /// The number of jobs that have not begun.
    Pending(u64),
    /// The policy knows no such queue.
    NoSuchQueue,
    /// No account has the key, or there was none.
    NoSuchKey,
    /// A gang needs more than its account may have running.
    OverLimit,
    /// Nothing was done; come back after this many milliseconds.
    Refused(Millis),
    /// It is not known what became of the request; ask again.
    Unknown,
}

impl Outcome {
    /// Whether it says that nothing was done. It is true of what was asked
    /// just now only: the same may have been asked before.
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

/// What an executor says is running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// Which run of it.
    pub run: u64,
    /// Its last checkpoint, empty if there is none.
    pub checkpoint: String,
    /// Its share of the time, in percent.
    pub percent: u32,
    /// The tail of a serving task's answer times in milliseconds; for
    /// others the processor time in use.
    pub usage: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// It has done its work.
    Done,
    /// It failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The others of its gang did not come.
    Alone,
}

/// What an executor says has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// The number of this end on the executor.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Which run of it.
    pub run: u64,
    /// How it ended.
    pub how: EndKind,
    /// Its last checkpoint, empty if there is none.
    pub checkpoint: String,
}

/// An executor's account of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorReport {
    /// Which life of it has answered, see [`ExecutorInfo::born`].
    pub born: Option<u64>,
    /// Its clock.
    pub clock: Millis,
    /// What runs.
    pub running: Vec<RunReport>,
    /// What has ended and was not acknowledged.
    pub ended: Vec<EndReport>,
    /// There may be more ends than are listed.
    pub more_ended: bool,
}

/// Why an order has not been carried out, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderFailure {
    /// The executor has seen a higher token: somebody else leads.
    Fenced,
    /// The run is not above one that was stopped or ended there.
    Old,
    /// The lease in the order is over.
    Late,
    /// It does not fit.
    Room,
    /// The ticket does not hold.
    Ticket,
    /// The executor is unhealthy and has done nothing.
    Unhealthy,
    /// The executor has another life now.
    Gone,
    /// The order is malformed.
    Malformed,
    /// Nothing was sent.
    NotSent,
    /// It is not known whether it was, or will be, carried out.
    Unknown,
}

/// An executor that may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvisedExecutor {
    /// The executor.
    pub executor: String,
    /// The ticket to show.
    pub ticket: String,
}

/// Why there is no advice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdviceFailure {
    /// The service has too many calls from this node.
    Busy,
    /// There was no answer.
    Unknown,
}

/// A machine that executors live on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineInfo {
    /// Its name.
    pub machine: String,
    /// The service whose pool it is in.
    pub pool: String,
    /// Where it stands.
    pub state: MachineState,
    /// The executor that lives there now, empty for none.
    pub executor: String,
}

/// Where a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It works.
    Up,
    /// It changes its pool.
    Moving,
    /// It is down for its upkeep.
    Maintenance,
    /// It is down.
    Down,
    /// In a state that is not known here.
    Unknown,
}

/// A wave of upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Its number.
    pub wave: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// The time for all of them, in milliseconds.
    pub within: Millis,
    /// How many may be down at once.
    pub most: u32,
}

/// Why a call for upkeep was not carried out, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceFailure {
    /// Somebody else orders this machine.
    Fenced,
    /// Not now.
    Refused,
    /// There is no such machine, or it is not of this wave.
    NoSuchMachine,
    /// It may have been carried out.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The operators want a wave of upkeep.
    Wave(MaintenanceWave),
    /// The machines, or nothing if there was no answer.
    Machines(Option<Vec<MachineInfo>>),
    /// A call for upkeep was answered.
    MaintenanceAnswered {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
        /// Whether it was carried out.
        answer: Result<(), MaintenanceFailure>,
    },
    /// An executor answered an order on pace.
    ThrottleAnswered {
        /// The executor.
        executor: ExecutorIndex,
        /// Whether it was carried out.
        answer: Result<(), OrderFailure>,
    },
    /// A client wants something.
    Request {
        /// The request.
        id: RequestId,
        /// Who calls.
        caller: Caller,
        /// What it wants.
        request: Request,
    },
    /// An executor is listed, or its entry has changed.
    Listed(ExecutorInfo),
    /// An executor is no longer listed.
    Unlisted(String),
    /// The entry of an executor can't be read.
    EntryUnreadable(String),
    /// All entries of executors have been told.
    EntriesRead,
    /// An executor answered a hold.
    RenewalAnswered {
        /// The executor.
        executor: ExecutorIndex,
        /// When the hold was sent.
        sent_at: Millis,
        /// Its account, or why there is none.
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
        /// If it runs, what the clock of the executor showed, as far as the
        /// answer says.
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
    /// Advice has come.
    Advised {
        /// The call.
        call: CallId,
        /// The executors that may run the step.
        answer: Result<Vec<AdvisedExecutor>, AdviceFailure>,
    },
    /// The nodes that can ask for advice.
    Advisors(Vec<String>),
    /// The outstanding commit is written.
    Committed,
    /// The store has declined the outstanding commit each time, so that
    /// nothing of it is done or will be. These are its changes.
    CommitDeclined(Vec<Change>),
    /// Time has passed.
    Tick,
}

/// A change to what is kept in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Keep this value under this name.
    Put {
        /// The name.
        name: String,
        /// The value.
        value: Vec<u8>,
    },
    /// Forget what is kept under this name.
    Remove {
        /// The name.
        name: String,
    },
}

impl Change {
    /// The name that the change is about.
    pub fn name(&self) -> &str {
        match self {
            Change::Put { name, .. } | Change::Remove { name } => name,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Reply {
        /// The request.
        id: RequestId,
        /// The answer.
        outcome: Outcome,
    },
    /// Write these changes, all or none.
    Commit(Vec<Change>),
    /// Extend the lease of an executor and ask for its account.
    RenewLease {
        /// The executor.
        executor: ExecutorIndex,
        /// When this was decided; to be given back with the answer.
        sent_at: Millis,
        /// The end of the lease on the executor's clock, if it is known.
        due: Option<Millis>,
        /// Ends up to this one may be forgotten.
        last_seen: u64,
        /// Ends up to this one are known, and need not be told again.
        known: u64,
        /// How long to wait for an end.
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
        /// What the task is told.
        spec: std::sync::Arc<str>,
        /// The end of the lease on the executor's clock.
        due: Millis,
        /// The checkpoint to resume from, empty for none.
        checkpoint: String,
        /// The ticket to show, empty for none.
        ticket: String,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
    },
    /// Let a run work at this share of the time.
    Throttle {
        /// The executor.
        executor: ExecutorIndex,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The share, in percent.
        percent: u32,
    },
    /// List the machines.
    ListMachines,
    /// Take a machine down for its upkeep.
    StartMaintenance {
        /// The wave.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Tell the operators where a wave stands.
    WaveState {
        /// The wave.
        wave: u64,
        /// Whether every machine has had its upkeep.
        succeeded: bool,
    },
    /// Ask for advice on a step.
    Advise {
        /// The call.
        call: CallId,
        /// The node that asks.
        advisor: String,
        /// The step.
        step: StepKey,
        /// The executors to ask about.
        executors: Vec<String>,
    },
    /// An executor has seen a higher token: this node no longer leads.
    Superseded,
    /// The end of a job is written; for the logs.
    JobEnded {
        /// The job.
        job: JobId,
        /// The client account that it belonged to.
        account: Option<String>,
        /// How it ended.
        state: JobState,
        /// How long it was live, in milliseconds.
        after: Millis,
        /// Whether that is within its objective.
        in_time: bool,
    },
    /// A client account holds more than its share of a full cell; for the
    /// logs, at most once a second.
    OverShare {
        /// The account.
        account: String,
        /// The largest part of the cell's room that it holds in any resource.
        held: f64,
    },
    /// A job is refused since there is no room for it while it is of use;
    /// for the logs.
    NotAdmitted {
        /// The job.
        job: JobId,
        /// The client account that it would belong to.
        account: Option<String>,
        /// When it would end at the earliest, in milliseconds from now.
        ends_in: Millis,
        /// For how long it is of use, in milliseconds from now.
        of_use_for: Millis,
        /// Its account has more than its share of what waits.
        over_share: bool,
    },
    /// Tasks give way to a gang or to urgent tasks; for the logs.
    Preempted {
        /// The gang, or the urgent step.
        step: StepKey,
        /// How many.
        tasks: u32,
    },
    /// An executor is known to be quicker or slower than others, or is so no
    /// more; for the logs.
    ExecutorSpeed {
        /// Its name.
        id: String,
        /// How long runs take there, in percent of the usual.
        percent: u32,
    },
    /// A step that may wait is held back for the first time, so that room
    /// stays free for urgent ones; for the logs.
    StepDeferred {
        /// The step.
        step: StepKey,
    },
    /// A run goes on for far longer than it should; for the logs.
    RunOverdue {
        /// The executor's name.
        executor: String,
        /// The task.
        task: TaskKey,
        /// Which run of it.
        run: u64,
        /// For how long it has gone on, in milliseconds.
        ran: Millis,
        /// How long it should have taken there, in milliseconds.
        should: Millis,
    },
    /// Runs are stopped on an executor that is about to leave, before they die
    /// with it; for the logs.
    RunsEvicted {
        /// The executor.
        executor: String,
        /// How much longer it surely stays, in milliseconds.
        left: Millis,
        /// How many.
        runs: u32,
    },
    /// Everything that a predecessor ordered is known; for the logs.
    TakeoverComplete {
        /// Executors that did not answer in time.
        unseen: u32,
    },
    /// An executor has answered a hold for the first time in this tenure;
    /// for the logs.
    ExecutorHeard {
        /// The executor.
        id: String,
        /// Which life of it, see [`ExecutorInfo::born`].
        born: Option<u64>,
        /// The runs that it lists.
        running: u32,
        /// The ends that it lists.
        ended: u32,
    },
    /// A life of an executor is taken for over; for the logs.
    ExecutorOver {
        /// The executor.
        id: String,
        /// Which life of it.
        born: Option<u64>,
        /// By what.
        why: IncarnationEnd,
        /// The runs that are given up with it.
        runs: u32,
        /// Whether the store lists it.
        listed: bool,
        /// How long ago it answered a hold last, in milliseconds; `None` if
        /// it has not in this tenure.
        heard_before: Option<Millis>,
        /// How long a lease of it may run on as the leader reckons it, in
        /// milliseconds; `None` if it has not answered in this tenure.
        lease_left: Option<i64>,
    },
    /// A run is taken for lost, so that its task may be started elsewhere;
    /// for the logs.
    RunGivenUp {
        /// The executor that it was on.
        executor: String,
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// By what.
        why: IncarnationEnd,
        /// How long after its order the executor first missed one, in
        /// milliseconds: it can't have run for longer when that crashed.
        ran: Millis,
        /// How long after its order the executor was heard last, in
        /// milliseconds: so long at least it did no harm.
        survived: Millis,
    },
    /// An executor has crashed, and a task may have done it; for the logs.
    TaskSuspected {
        /// The task.
        task: TaskKey,
        /// The executor.
        executor: String,
        /// How its run there was lost.
        loss: RunLoss,
        /// Its runs that were lost so by now.
        runs: u32,
        /// What that weighs, see [`crate::jobs::crash_evidence`].
        weight: u32,
        /// How often executors were taken to crash by something else, in
        /// crashes a second and executor.
        rate: f64,
    },
    /// An executor has survived a task that may have crashed others; for the
    /// logs.
    TaskCleared {
        /// The task.
        task: TaskKey,
        /// The run.
        run: u64,
        /// The executor.
        executor: String,
    },
    /// A task crashes the executors that start it, and its job has failed by
    /// that; for the logs.
    TaskGivenUp {
        /// The task.
        task: TaskKey,
        /// The client account of its job.
        account: Option<String>,
        /// The queue of its job.
        queue: String,
        /// Its runs that were lost with executors.
        runs: u32,
        /// The addresses of these executors.
        addresses: Vec<String>,
    },
}

/// By what a leader takes a life of an executor, or what runs there, for
/// over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEnd {
    /// Another life has answered at its address.
    AnotherAnswers,
    /// The machine on which it was shown is not up any more, or another life
    /// answers there.
    LeftMachine,
    /// It is silent, and its lease has run out.
    Lapsed,
    /// It was not heard in this tenure, and what a predecessor may have
    /// ordered there has lapsed.
    NeverHeard,
}

/// What was written by a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredValue {
    /// The name.
    pub name: String,
    /// The value.
    pub value: Vec<u8>,
    /// When it was written.
    pub revision: Revision,
}
