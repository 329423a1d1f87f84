/*!
The interface of the control thread, the only owner of the VM's state.

Traffic threads send events to the control thread and wait for steps; they
never access its state. The callers and tokens that every request needs are
in an immutable [`TrafficConfig`], which is replaced as a whole when a new
revision of the operators' file becomes active.
*/

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;
use puffinknot_core::calls::CallId;
use puffinknot_core::config::Config;
use puffinknot_core::contract::Scope;
use puffinknot_core::ids::{CallerId, Epoch, Millis, Revision};
use puffinknot_core::node::{Call, Event, NodeStatus, Summary};
use puffinknot_core::outcome::Outcome;
use puffinknot_core::store::StoredEntry;
use tokio::sync::{mpsc, oneshot};

use crate::clock;

/// An instruction to a traffic thread about a call.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send the call to an executor.
    Dispatch {
        /// The address of the executor.
        addr: SocketAddr,
        /// The epoch to send it under.
        epoch: Epoch,
        /// The id of the request.
        request: String,
    },
    /// Forward the call to another entry VM.
    Forward {
        /// The link address of that VM.
        addr: SocketAddr,
        /// The contract to run it under.
        scope: Scope,
        /// The call to send.
        call: Call,
    },
    /// Return this outcome to the origin of the call.
    Answer(Outcome),
}

/// The origin of a call.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that forwarded the call, to run it under this contract.
    Hop(Scope),
}

/// An input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A call has arrived; its steps go to this sender.
    Call(CallId, Origin, Call, mpsc::UnboundedSender<Step>),
    /// An operator requests the status of the VM.
    Status(oneshot::Sender<NodeStatus>),
    /// A peer has sent its summary and requests this VM's summary.
    Summary(Summary, oneshot::Sender<Summary>),
    /// A peer requests the platform values that this VM knows.
    Export(oneshot::Sender<Vec<StoredEntry>>),
    /// Start a planned shutdown.
    Drain,
    /// Stop at once, as if the process had been killed.
    Halt,
    /// A new VM list.
    VmList(crate::vm_list::VmList),
    /// The platform had no newer operators' file at this monotonic time than
    /// the inputs before this one contain.
    ConfigConfirmed(Millis),
}

/// For how long the operators' file of a VM may be unconfirmed before the VM
/// no longer rejects for good what the file rules out, in milliseconds. Within
/// this time a file that was applied is in force on every VM that can reach
/// the platform: two checks of the platform, of which one gets no answer.
pub const MAX_CONFIG_AGE: Millis = 6_000;

/// The configuration that traffic threads read for every request.
#[derive(Debug, Default)]
pub struct TrafficConfig {
    /// The active revision; zero if there is none.
    pub revision: Revision,
    /// The active operators' file.
    pub config: Config,
    /// Callers by the SHA-256 of their token, in lower-case hexadecimal.
    callers: HashMap<String, CallerId>,
}

impl TrafficConfig {
    /// The configuration from a revision of the operators' file.
    pub fn new(revision: Revision, config: Config) -> TrafficConfig {
        let by_token = |caller: &puffinknot_core::config::Caller| {
            (caller.token_sha256.to_lowercase(), caller.name.clone())
        };
        let callers = config.callers.iter().map(by_token).collect();
        TrafficConfig { revision, config, callers }
    }

    /// The caller whose token has this hash.
    pub fn caller(&self, token_sha256: &str) -> Option<&CallerId> {
        self.callers.get(token_sha256)
    }
}

/// A handle of the control thread, for use by all other threads.
#[derive(Clone)]
pub struct Control {
    inputs: mpsc::UnboundedSender<Input>,
    traffic_config: Arc<ArcSwap<TrafficConfig>>,
    /// When the active file was last known to be the newest, on the monotonic
    /// clock in milliseconds; zero if it never was.
    config_confirmed_at: Arc<AtomicU64>,
    next_call: Arc<AtomicU64>,
    in_progress: Arc<AtomicUsize>,
    max_calls: usize,
}

/// The control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlStopped;

impl Control {
    /// Creates a handle, and the receiver that the control thread reads. At
    /// most `max_calls` calls are in progress at a time.
    pub fn new(max_calls: usize) -> (Control, mpsc::UnboundedReceiver<Input>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let control = Control {
            inputs,
            traffic_config: Arc::default(),
            config_confirmed_at: Arc::default(),
            next_call: Arc::default(),
            in_progress: Arc::default(),
            max_calls,
        };
        (control, receiver)
    }

    /// The configuration for traffic threads.
    pub fn traffic_config(&self) -> arc_swap::Guard<Arc<TrafficConfig>> {
        self.traffic_config.load()
    }

    /// Replaces the configuration for traffic threads.
    pub fn publish(&self, traffic_config: TrafficConfig) {
        self.traffic_config.store(Arc::new(traffic_config));
    }

    /// Records that the active operators' file was the newest at a monotonic
    /// time, in milliseconds.
    pub fn confirm_config(&self, at: Millis) {
        self.config_confirmed_at.fetch_max(at, Ordering::Relaxed);
    }

    /// Whether the active operators' file was the newest so lately that what
    /// it rules out may be rejected for good.
    pub fn is_config_current(&self) -> bool {
        let confirmed_at = self.config_confirmed_at.load(Ordering::Relaxed);
        clock::mono() <= confirmed_at + MAX_CONFIG_AGE
    }

    /// Sends an input to the control thread.
    pub fn send(&self, input: Input) {
        // An error means that the control thread has ended; the process is
        // about to exit.
        let _ = self.inputs.send(input);
    }

    /// Sends an event to the core.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Sends an input that has a reply, and waits for the reply.
    ///
    /// # Errors
    ///
    /// If the control thread has ended.
    pub async fn query<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, ControlStopped> {
        let (tx, rx) = oneshot::channel();
        self.send(input(tx));
        rx.await.map_err(|_| ControlStopped)
    }

    /// Starts a call. Returns `None` if the maximum is already in progress.
    pub fn begin(&self, origin: Origin, call: Call) -> Option<PendingCall> {
        let before = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let guard = InProgress(self.in_progress.clone());
        if before >= self.max_calls {
            return None;
        }
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (tx, steps) = mpsc::unbounded_channel();
        self.send(Input::Call(id, origin, call, tx));
        let control = self.clone();
        Some(PendingCall { id, steps, control, ended: false, _guard: guard })
    }

    /// The number of calls in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }
}

/// Counts one call as in progress until it is dropped.
struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A call in progress. If it is dropped before its end, the core treats the
/// call as abandoned by its caller.
pub struct PendingCall {
    id: CallId,
    steps: mpsc::UnboundedReceiver<Step>,
    control: Control,
    ended: bool,
    _guard: InProgress,
}

impl PendingCall {
    /// The id of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Waits for the next step; `None` if the control thread has ended.
    pub async fn step(&mut self) -> Option<Step> {
        let step = self.steps.recv().await;
        self.ended = !matches!(
            step,
            Some(Step::Dispatch { .. } | Step::Forward { .. })
        );
        step
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if !self.ended {
            self.control.event(Event::Abandoned(self.id));
        }
    }
}
