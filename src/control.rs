/*!
The control thread: it alone owns the state of the VM.

Traffic threads send it events and wait for steps; they never share its
state. What they need for every request, the callers and their tokens, they
read from an immutable [`TrafficConfig`] that is replaced as a whole when a new
revision of the operators' file comes into force.
*/

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;
use puffinknot_core::calls::CallId;
use puffinknot_core::config::Config;
use puffinknot_core::contract::Scope;
use puffinknot_core::ids::{CallerId, Epoch, Revision};
use puffinknot_core::node::{Call, Event, NodeStatus, Summary};
use puffinknot_core::outcome::Outcome;
use puffinknot_core::store::Stored;
use tokio::sync::{mpsc, oneshot};

/// What a traffic thread is to do for a call.
#[derive(Clone, Debug)]
pub enum Step {
    /// Send it to an executor.
    Dispatch {
        /// Where the executor listens.
        addr: SocketAddr,
        /// The epoch to send it under.
        epoch: Epoch,
        /// The id of the request.
        request: String,
    },
    /// Send it to another entry VM.
    Forward {
        /// Where the links of that VM listen.
        addr: SocketAddr,
        /// The contract to run it under.
        scope: Scope,
        /// What to send.
        call: Call,
    },
    /// Answer it.
    Answer(Outcome),
}

/// Where a call came from.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// A caller.
    Caller,
    /// A peer that wants it run under this contract.
    Hop(Scope),
}

/// What reaches the control thread.
#[derive(Debug)]
pub enum Input {
    /// Something happened.
    Event(Event),
    /// A call has come; its steps go to the sender.
    Call(CallId, Origin, Call, mpsc::UnboundedSender<Step>),
    /// An operator asks how the VM is doing.
    Status(oneshot::Sender<NodeStatus>),
    /// A peer has sent its summary and wants this VM's.
    Summary(Summary, oneshot::Sender<Summary>),
    /// A peer asks for what this VM knows of the platform's values.
    Export(oneshot::Sender<Vec<Stored>>),
    /// Begin a planned stop.
    Drain,
    /// Stop at once, as if the process had been killed.
    Halt,
    /// Where targets and entry VMs listen.
    VmList(crate::vm_list::VmList),
}

/// What traffic threads read for every request.
#[derive(Debug, Default)]
pub struct TrafficConfig {
    /// The revision in force; zero without one.
    pub revision: Revision,
    /// The operators' file in force.
    pub config: Config,
    /// Callers by the SHA-256 of their token, in lower-case hexadecimal.
    callers: HashMap<String, CallerId>,
}

impl TrafficConfig {
    /// What a revision of the operators' file means for traffic threads.
    pub fn new(revision: Revision, config: Config) -> TrafficConfig {
        let by_token = |caller: &puffinknot_core::config::Caller| {
            (caller.token_sha256.to_lowercase(), caller.name.clone())
        };
        let callers = config.callers.iter().map(by_token).collect();
        TrafficConfig { revision, config, callers }
    }

    /// The caller with this hash of its token.
    pub fn caller(&self, token_sha256: &str) -> Option<&CallerId> {
        self.callers.get(token_sha256)
    }
}

/// A way to the control thread, for every other thread.
#[derive(Clone)]
pub struct Control {
    inputs: mpsc::UnboundedSender<Input>,
    shared: Arc<ArcSwap<TrafficConfig>>,
    next_call: Arc<AtomicU64>,
    in_progress: Arc<AtomicUsize>,
    max_calls: usize,
}

/// The control thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlStopped;

impl Control {
    /// A way to a control thread that reads from the receiver.
    pub fn new(max_calls: usize) -> (Control, mpsc::UnboundedReceiver<Input>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let control = Control {
            inputs,
            shared: Arc::default(),
            next_call: Arc::default(),
            in_progress: Arc::default(),
            max_calls,
        };
        (control, receiver)
    }

    /// What traffic threads read for every request.
    pub fn traffic_config(&self) -> arc_swap::Guard<Arc<TrafficConfig>> {
        self.shared.load()
    }

    /// Puts a revision of the operators' file into force for traffic.
    pub fn publish(&self, shared: TrafficConfig) {
        self.shared.store(Arc::new(shared));
    }

    /// Tells the control thread something.
    pub fn send(&self, input: Input) {
        // An error means that the control thread has ended, and with it
        // the process is about to.
        let _ = self.inputs.send(input);
    }

    /// Tells the control thread what happened.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Asks the control thread something.
    ///
    /// # Errors
    ///
    /// If it has ended.
    pub async fn query<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, ControlStopped> {
        let (tx, rx) = oneshot::channel();
        self.send(input(tx));
        rx.await.map_err(|_| ControlStopped)
    }

    /// Begins a call, unless too many are in progress.
    pub fn begin(&self, origin: Origin, call: Call) -> Option<PendingCall> {
        let before = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let place = InProgress(self.in_progress.clone());
        if before >= self.max_calls {
            return None;
        }
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (tx, steps) = mpsc::unbounded_channel();
        self.send(Input::Call(id, origin, call, tx));
        let control = self.clone();
        Some(PendingCall { id, steps, control, ended: false, _place: place })
    }

    /// The number of calls in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }
}

struct InProgress(Arc<AtomicUsize>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A call in progress. Dropped before its end, it counts as abandoned by
/// its caller.
pub struct PendingCall {
    id: CallId,
    steps: mpsc::UnboundedReceiver<Step>,
    control: Control,
    ended: bool,
    _place: InProgress,
}

impl PendingCall {
    /// The number of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// The next thing to do; `None` if the control thread has ended.
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
