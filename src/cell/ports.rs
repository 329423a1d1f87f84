/*!
The interface of a platform: its store, executors and advice, and the format
of client requests.

An implementation translates and transports calls; it makes no decisions. Each
error says what is known about the effect of the call, since that determines
what the caller may do next.
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
    /// The revision of the last write to the key.
    pub revision: Revision,
    /// The lease that the key is attached to, or zero.
    pub lease: u64,
}

/// The result of reading all items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The revision of the store before the first item was read.
    pub revision: Revision,
}

/// One page of the items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The items.
    pub items: Vec<Item>,
    /// Whether there are more items after the last of these.
    pub more: bool,
    /// The revision of the store before the page was read.
    pub revision: Revision,
}

/// The changes that a watch returns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The items that were written.
    pub written: Vec<Item>,
    /// The keys that were removed.
    pub removed: Vec<String>,
    /// The number of changes in the answer, including those that later ones in
    /// it replace.
    pub count: usize,
    /// The revision to continue the watch from.
    pub revision: Revision,
}

/// Several changes that are applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions that they must have. Zero means that the key
    /// must be absent.
    pub expect: Vec<(String, Revision)>,
    /// Keys to write, with their values and leases. Zero means no lease.
    pub put: Vec<(String, Vec<u8>, u64)>,
    /// Keys to remove.
    pub remove: Vec<String>,
}

/// Why a read, or a call about a lease, failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The store no longer has the history that the watch needs. The caller
    /// must read the items again.
    NoHistory,
    /// The store gave no usable answer.
    Unavailable,
}

/// Why a transaction is not known to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// A condition failed. Contains the current items of the keys that the
    /// conditions name; keys that are missing here are absent.
    Refused(Vec<Item>),
    /// The lease has expired.
    NoLease,
    /// Nothing was changed.
    NotDone,
    /// The transaction may have been applied, or may be applied later.
    Unknown,
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub struct Start<'a> {
    /// The task.
    pub task: TaskKey,
    /// The number of the run.
    pub run: u64,
    /// The spec of the task.
    pub spec: &'a str,
    /// When the executor's lease ends, on the executor's clock.
    pub due: Millis,
    /// The checkpoint to resume from, or empty.
    pub checkpoint: &'a str,
    /// The ticket, or empty.
    pub ticket: &'a str,
    /// The timeout for the answer, in milliseconds.
    pub within: Millis,
}

/// Renews the lease of an executor and requests its report.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRenewal {
    /// When the executor's lease ends, on the executor's clock.
    pub due: Option<Millis>,
    /// Ends of runs up to this number are acknowledged. The executor may
    /// forget them.
    pub last_seen: u64,
    /// How long the executor may wait for a run to end before it answers, in
    /// milliseconds.
    pub wait: Millis,
    /// The timeout for the answer, in milliseconds.
    pub within: Millis,
}

/// A client request about jobs.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Submit the job that the body describes.
    Submit(JobId),
    /// Return the state of the job.
    State(JobId),
    /// Cancel the job.
    Cancel(JobId),
    /// Return the number of jobs in the queue that have not started.
    Pending,
}

/// An answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAnswer {
    /// The HTTP status.
    pub status: u16,
    /// When the client should retry, in milliseconds from now, if at all.
    pub retry_after: Option<Millis>,
    /// The body.
    pub body: String,
}

/// Why a node refuses a request without forwarding it to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The path or the job is malformed.
    Malformed,
    /// The queue does not exist.
    NoQueue,
    /// The method is not supported for this path.
    Method,
    /// The body is too large.
    TooLarge,
    /// The body did not arrive in time, or was cut off.
    Incomplete,
    /// This node has no policy yet, or can't know whether a newer one allows
    /// the request.
    NotReady,
    /// The key is missing, or no client account has it.
    NoKey,
}

impl Refusal {
    /// Whether a newer policy might allow the request. Such a refusal is final
    /// for the client, so that only a node with the newest policy may give it.
    pub fn depends_on_policy(self) -> bool {
        match self {
            Refusal::NoQueue
            | Refusal::Method
            | Refusal::TooLarge
            | Refusal::NoKey => true,
            Refusal::Malformed | Refusal::Incomplete | Refusal::NotReady => {
                false
            }
        }
    }
}

/// Counts of the connections to executors and to the platform's services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// The connections that are open.
    pub open: u64,
    /// All connections so far.
    pub opened: u64,
    /// The calls that failed because the peer reset their connection. Peers
    /// reset new connections while they have too many.
    pub reset: u64,
}

/// A platform: translates between the cell and the store, executors, machines
/// and clients.
#[allow(async_fn_in_trait)]
pub trait Platform: 'static {
    /// The counts of the connections that the platform's calls use.
    fn connection_counts(&self) -> ConnectionCounts;

    /// The common prefix of the keys that every node watches: the policy, the
    /// leader key, and cordons.
    fn watched_prefix(&self) -> &str;
    /// The key of the policy that operators set.
    fn policy_key(&self) -> &str;
    /// The leader key.
    fn leader_key(&self) -> &str;
    /// The prefix of the keys under which the leader stores its state.
    fn leader_state_prefix(&self) -> &str;
    /// The prefix of the keys of executor entries.
    fn executors_prefix(&self) -> &str;

    /// The cordon that a key represents, regardless of the value.
    fn cordon(&self, key: &str) -> Option<Cordon>;

    /// Parses the policy.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with it.
    fn policy(&self, value: &[u8]) -> Result<Policy, String>;
    /// Parses an executor entry.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with it.
    fn executor(&self, item: &Item) -> Result<ExecutorInfo, String>;

    /// Reads one page of the items whose keys begin with `prefix` and come
    /// after the key `after`. The store chooses the size of the page.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    async fn page(&self, prefix: &str, after: &str)
        -> Result<Page, ReadError>;
    /// Reads one item.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    async fn get(&self, key: &str) -> Result<Option<Item>, ReadError>;
    /// Waits up to `wait` milliseconds for changes after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer, or no longer has the
    /// history.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> Result<Changes, ReadError>;
    /// Applies a transaction. Returns its revision.
    ///
    /// # Errors
    ///
    /// Fails if the transaction is not known to be applied.
    async fn write(
        &self,
        transaction: &Transaction,
    ) -> Result<Revision, WriteError>;
    /// Creates a lease with this time to live, in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    async fn grant(&self, ttl: Millis) -> Result<u64, ReadError>;
    /// Renews a lease of the store. Returns whether the lease still exists.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    async fn renew(&self, lease: u64) -> Result<bool, ReadError>;
    /// Revokes a lease, which removes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    async fn revoke(&self, lease: u64) -> Result<(), ReadError>;

    /// Renews the lease of an executor and returns the executor's report.
    /// `token` is the leader's fencing token, here and below.
    ///
    /// # Errors
    ///
    /// Fails if no report is received.
    async fn renew_executor(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        renewal: LeaseRenewal,
    ) -> Result<ExecutorReport, OrderFailure>;
    /// Starts a task. Returns the time on the executor's clock, if the answer
    /// contains it.
    ///
    /// # Errors
    ///
    /// Fails if the task is not known to be running.
    async fn start(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        start: Start<'_>,
    ) -> Result<Option<Millis>, OrderFailure>;
    /// Stops a run. The timeout for the answer is `within` milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the run is not known to be stopped.
    async fn stop(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        task: TaskKey,
        run: u64,
        within: Millis,
    ) -> Result<(), OrderFailure>;

    /// Throttles a run to a share of the time, in percent.
    ///
    /// # Errors
    ///
    /// Fails if the order is not known to be carried out.
    async fn throttle(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        task: TaskKey,
        run: u64,
        percent: u32,
    ) -> Result<(), OrderFailure>;

    /// The prefix of the keys of maintenance waves.
    fn waves_prefix(&self) -> &str;
    /// Parses a maintenance wave.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with it.
    fn wave(&self, value: &[u8]) -> Result<MaintenanceWave, String>;
    /// The key and the value that tell operators the result of a wave.
    fn wave_state(&self, wave: u64, succeeded: bool) -> (String, Vec<u8>);
    /// Lists the machines.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable answer.
    async fn machines(&self) -> Result<Vec<MachineInfo>, ReadError>;
    /// Takes a machine down for maintenance, on behalf of the leader `holder`
    /// with the fencing token `token`.
    ///
    /// # Errors
    ///
    /// Fails if the order is not known to be carried out.
    async fn start_maintenance(
        &self,
        holder: &str,
        token: u64,
        machine: &str,
        wave: u64,
    ) -> Result<(), MaintenanceFailure>;

    /// Requests advice on which of these executors may run a step.
    ///
    /// # Errors
    ///
    /// Fails if no advice is received.
    async fn advise(
        &self,
        step: StepKey,
        executors: &[String],
    ) -> Result<Vec<AdvisedExecutor>, AdviceFailure>;

    /// The name of the header that contains a client's key.
    fn key_header(&self) -> &'static str;
    /// Parses a client request from its method and from `rest`, the part of
    /// the path after the prefix of the queue.
    ///
    /// # Errors
    ///
    /// The reason to refuse the request.
    fn call(&self, method: &str, rest: &str) -> Result<Call, Refusal>;
    /// Parses the body of a request that submits a job.
    ///
    /// # Errors
    ///
    /// A description of what is wrong and how to correct it.
    fn job(
        &self,
        id: JobId,
        queue: &str,
        service: &str,
        body: &Bytes,
    ) -> Result<Request, String>;
    /// The answer to a request that the leader has processed, or that was
    /// given up.
    fn answer(&self, call: &Call, outcome: Outcome) -> ClientAnswer;
    /// The answer to a request that the node refuses itself.
    fn refusal(&self, refusal: Refusal, detail: &str) -> ClientAnswer;
    /// The path of the readiness check.
    fn ready_path(&self) -> &str;
}

/// The identity of a leader, in the store and in messages between nodes.
#[derive(
    Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize,
)]
pub struct Leader {
    /// The name of the node.
    pub node: String,
    /// The incarnation of the node: a number that differs for each start.
    pub life: u64,
    /// The control address, to which other nodes connect.
    pub address: SocketAddr,
    /// The revision of its leader key, at which its term began.
    pub revision: Revision,
}
