/*!
What a platform provides: a store, executors, advice, and the form of
clients' requests.

An implementation translates and carries; it decides nothing. Each failure
says what is known of the effect of the call, since that decides what may be
done next.
*/

use std::net::SocketAddr;

use bytes::Bytes;
use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::message::{AdviceFailure, AdvisedExecutor};
use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::{
    Cordon, ExecutorInfo, ExecutorReport, JobId, MachineInfo,
    MaintenanceFailure, MaintenanceWave, OrderFailure, Outcome, Policy,
    Request, TaskKey,
};

/// A value in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// When it was written last.
    pub revision: Revision,
    /// The lease that it goes with, or zero.
    pub lease: u64,
}

/// What was read at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The store's revision before the first of them was read.
    pub revision: Revision,
}

/// A part of what is read, as the store gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// There are more, after the last of these.
    pub more: bool,
    /// The store's revision before they were read.
    pub revision: Revision,
}

/// What has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// What was written.
    pub written: Vec<Item>,
    /// The keys that were removed.
    pub removed: Vec<String>,
    /// Where to go on.
    pub revision: Revision,
}

/// Several changes that are made together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have; zero means absent.
    pub expect: Vec<(String, Revision)>,
    /// Keys, values, and leases or zero.
    pub put: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// Why the store gave no answer to a reading call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The history of a watch is gone; read anew.
    NoHistory,
    /// There was no usable answer.
    Unavailable,
}

/// Why a change was not made, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// A condition does not hold. These are the items that it is about;
    /// keys that are not among them are absent.
    Refused(Vec<Item>),
    /// The lease is over.
    NoLease,
    /// Nothing was done.
    NotDone,
    /// It may have been done, or may be done later.
    Unknown,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct Start<'a> {
    /// The task.
    pub task: TaskKey,
    /// Which run of it.
    pub run: u64,
    /// What it is told.
    pub spec: &'a str,
    /// The end of the lease, on the executor's clock.
    pub due: Millis,
    /// The checkpoint to resume from, empty for none.
    pub checkpoint: &'a str,
    /// The ticket, empty for none.
    pub ticket: &'a str,
    /// How long to wait for the answer, in milliseconds.
    pub within: Millis,
}

/// A request for an executor's account, which extends its lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// The end of the lease, on the executor's clock.
    pub due: Option<Millis>,
    /// Ends up to this one may be forgotten.
    pub last_seen: u64,
    /// How long the executor may wait for an end, in milliseconds.
    pub wait: Millis,
    /// How long to wait for the answer, in milliseconds.
    pub within: Millis,
}

/// A client's request, as far as it is about jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Hand in a job; what it consists of is in the body.
    Submit(JobId),
    /// Where does it stand?
    State(JobId),
    /// Cancel it.
    Cancel(JobId),
    /// How many jobs of the queue have not begun?
    Pending,
}

/// An answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// The HTTP status.
    pub status: u16,
    /// After how many milliseconds to come back, if at all.
    pub retry_after: Option<Millis>,
    /// The body.
    pub body: String,
}

/// Why a request is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The path or the job is malformed.
    Malformed,
    /// There is no such queue.
    NoQueue,
    /// The method has no meaning there.
    Method,
    /// The body is too large.
    TooLarge,
    /// The body did not come in time, or was cut.
    Incomplete,
    /// This node has no policy yet.
    NotReady,
    /// There is no key, or no client account has it.
    NoKey,
}

/// A platform.
#[allow(async_fn_in_trait)]
pub trait Platform: 'static {
    /// Every key that a node watches begins so: the policy, the key of the
    /// leader, and cordons.
    fn watched_prefix(&self) -> &str;
    /// The key of the operators' policy.
    fn policy_key(&self) -> &str;
    /// The key of the leader.
    fn leader_key(&self) -> &str;
    /// Keys of what the leader keeps begin so.
    fn leader_state_prefix(&self) -> &str;
    /// Keys of executors' entries begin so.
    fn executors_prefix(&self) -> &str;

    /// The cordon that a key stands for, whatever its value is.
    fn cordon(&self, key: &str) -> Option<Cordon>;

    /// Reads the operators' policy.
    ///
    /// # Errors
    ///
    /// Why it can't be read.
    fn policy(&self, value: &[u8]) -> Result<Policy, String>;
    /// Reads an executor's entry.
    ///
    /// # Errors
    ///
    /// Why it can't be read.
    fn executor(&self, item: &Item) -> Result<ExecutorInfo, String>;

    /// Reads items whose keys begin with `prefix` and come after `after`, as
    /// many as the store gives at once.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    async fn page(&self, prefix: &str, after: &str)
        -> Result<Page, ReadError>;
    /// Reads one item.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, ReadError>;
    /// Waits for changes after a revision.
    ///
    /// # Errors
    ///
    /// If there is no usable answer, or history is gone.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Changes, ReadError>;
    /// Makes several changes together.
    ///
    /// # Errors
    ///
    /// If they are not known to be made.
    async fn write(
        &self,
        transaction: &Transaction,
    ) -> Result<Revision, WriteError>;
    /// Takes out a lease.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    async fn grant(&self, ttl: Millis) -> Result<u64, ReadError>;
    /// Renews a lease. Returns whether it still stands.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    async fn renew(&self, lease: u64) -> Result<bool, ReadError>;
    /// Ends a lease, and removes its keys.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    async fn revoke(&self, lease: u64) -> Result<(), ReadError>;

    /// Extends the lease of an executor and asks for its account.
    ///
    /// # Errors
    ///
    /// If there is no account.
    async fn renew_executor(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        renewal: LeaseRenewal,
    ) -> Result<ExecutorReport, OrderFailure>;
    /// Starts a task. Returns what the executor's clock showed, as far as the
    /// answer says.
    ///
    /// # Errors
    ///
    /// If it is not known to run.
    async fn start(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        start: Start<'_>,
    ) -> Result<Option<Millis>, OrderFailure>;
    /// Stops a run. The answer is waited for `within` milliseconds.
    ///
    /// # Errors
    ///
    /// If it is not known to be stopped.
    async fn stop(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        task: TaskKey,
        run: u64,
        within: Millis,
    ) -> Result<(), OrderFailure>;

    /// Lets a run work at a share of the time, in percent.
    ///
    /// # Errors
    ///
    /// If that is not known to be so.
    async fn throttle(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        task: TaskKey,
        run: u64,
        percent: u32,
    ) -> Result<(), OrderFailure>;

    /// Keys of waves of upkeep begin so.
    fn waves_prefix(&self) -> &str;
    /// Reads a wave.
    ///
    /// # Errors
    ///
    /// Why it can't be read.
    fn wave(&self, value: &[u8]) -> Result<MaintenanceWave, String>;
    /// The key and the value by which operators are told of a wave.
    fn wave_state(&self, wave: u64, succeeded: bool) -> (String, Vec<u8>);
    /// Lists the machines.
    ///
    /// # Errors
    ///
    /// If there is no usable answer.
    async fn machines(&self) -> Result<Vec<MachineInfo>, ReadError>;
    /// Takes a machine down for its upkeep, as `holder` under `token`.
    ///
    /// # Errors
    ///
    /// If it is not known to be carried out.
    async fn start_maintenance(
        &self,
        holder: &str,
        token: u64,
        machine: &str,
        wave: u64,
    ) -> Result<(), MaintenanceFailure>;

    /// Asks which executors may run a step.
    ///
    /// # Errors
    ///
    /// If there is no answer.
    async fn advise(
        &self,
        step: StepKey,
        executors: &[String],
    ) -> Result<Vec<AdvisedExecutor>, AdviceFailure>;

    /// The header that holds a client's key.
    fn key_header(&self) -> &'static str;
    /// What a client wants, from the method and what follows the queue's
    /// prefix in the path.
    ///
    /// # Errors
    ///
    /// If it can't be understood.
    fn call(&self, method: &str, rest: &str) -> Result<Call, Refusal>;
    /// The job in a body.
    ///
    /// # Errors
    ///
    /// What is wrong, with the remedy.
    fn job(
        &self,
        id: JobId,
        queue: &str,
        service: &str,
        body: &Bytes,
    ) -> Result<Request, String>;
    /// The answer to a request that was passed on.
    fn answer(&self, call: &Call, outcome: Outcome) -> ClientAnswer;
    /// The answer to a request that was not passed on.
    fn refusal(&self, refusal: Refusal, detail: &str) -> ClientAnswer;
    /// The path under which it is asked whether the node is ready.
    fn ready_path(&self) -> &str;
}

/// A node that leads, as it is named in the store and between nodes.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
pub struct Leader {
    /// Its name.
    pub node: String,
    /// A number that differs for each start of the node.
    pub life: u64,
    /// Where other nodes connect.
    pub address: SocketAddr,
    /// When it came to lead: the revision of its key.
    pub revision: Revision,
}
