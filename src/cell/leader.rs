/*!
Runs the scheduler while this node leads.

The scheduler decides. This module carries out its actions and reports the
results to it. The node stops leading when another node leads, or when the
store has not confirmed for too long that no other node does.
*/

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::message::{
    AdviceFailure, AdvisedExecutor, CallId, ExecutorIndex,
};
use puffinknot_core::jobs::{
    CallCredentials, Cordons, Event, ExecutorInfo, MaintenanceWave, Mechanism,
    Outcome, Policy, Request, RequestId, Scheduler,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tracing::info;

mod executor_watch;
mod leader_key;
mod leadership_offer;
mod lease_renewal;
mod order_sender;
mod orders;
mod replies;
mod routes;
mod takeover;

use crate::cell::call_timeout::{CallTimeout, TimeoutBounds};
use crate::cell::channel::Sender;
use crate::cell::decision_log;
use crate::cell::iteration::{Clocks, InputKind, Iteration, SlowIterations};
use crate::cell::journal::Journal;
use crate::cell::node::{NodeState, MAX_UNCONFIRMED_MS};
use crate::cell::order::MAX_ANSWER_TIME;
use crate::cell::ports::Platform;
use crate::cell::relay::{Relay, Relays};
use crate::clock::{self, Micros};

use self::order_sender::OrderSender;
use self::routes::Routes;

/// The interval at which the scheduler gets a tick.
const TICK_INTERVAL: Millis = 50;
/// The interval at which the metrics of client accounts are updated.
const USAGE_INTERVAL: Millis = 1_000;
/// The pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a handover waits for open requests.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of orders. Machines may get their share of the processor in
/// slices that are a tenth of a second apart, which delays answers.
const ORDER_TIMEOUT: TimeoutBounds =
    TimeoutBounds { min: 120, initial: 300, max: MAX_ANSWER_TIME };
/// An iteration of the event loop, or the wait of an input, of this length is
/// slow: no answer is read meanwhile, and a quarter of the shortest timeout of
/// an order has passed.
const SLOW_ITERATION: Millis = ORDER_TIMEOUT.min / 4;

/// The number of a peer within one leader term.
pub type PeerId = u64;

/// An input of the leader's event loop.
enum Input {
    Request(CallCredentials, Request, Origin),
    Event(Event),
    PeerJoined(PeerId, Peer),
    /// For how long the store has not answered a peer.
    PeerStoreSilence(PeerId, Millis),
    PeerLeft(PeerId),
    Policy(Arc<Policy>),
    Cordons(Cordons),
    /// Whether this node still led after it received a request about an
    /// unknown job, or `None` if the store did not answer.
    LeadershipChecked(RequestId, Option<bool>),
    /// The leader's key is gone.
    KeyRemoved,
    /// Hand over the leadership. The sender is dropped when that is done.
    HandOver(oneshot::Sender<()>),
    /// End the term.
    End,
}

impl Input {
    fn kind(&self) -> InputKind {
        match self {
            Input::Request(..) => InputKind::Request,
            Input::Event(event) => InputKind::of(event),
            Input::PeerJoined(..)
            | Input::PeerStoreSilence(..)
            | Input::PeerLeft(_)
            | Input::Policy(_)
            | Input::Cordons(_)
            | Input::LeadershipChecked(..)
            | Input::KeyRemoved
            | Input::HandOver(_)
            | Input::End => InputKind::Other,
        }
    }
}

/// An input with the time at which it was sent.
struct QueuedInput {
    input: Input,
    sent_at: Micros,
}

/// Where a request came from, and thus where its answer goes.
enum Origin {
    Local(oneshot::Sender<Outcome>),
    Peer(PeerId, RequestId),
}

/// A handle to the leader's event loop on this node.
#[derive(Clone)]
pub struct LeaderHandle {
    inputs: mpsc::UnboundedSender<QueuedInput>,
    /// The number of the last peer that was added.
    last_peer: Rc<Cell<PeerId>>,
    ended: Rc<Cell<bool>>,
    confirmed: Rc<Cell<Millis>>,
    relays: Rc<Relays>,
}

impl LeaderHandle {
    /// Submits a request of a client of this node.
    pub fn ask(
        &self,
        caller: CallCredentials,
        request: Request,
        reply: oneshot::Sender<Outcome>,
    ) {
        self.send(Input::Request(caller, request, Origin::Local(reply)));
    }

    /// Submits a request of a client of another node.
    pub fn ask_for_peer(
        &self,
        peer: PeerId,
        id: RequestId,
        caller: CallCredentials,
        request: Request,
    ) {
        self.send(Input::Request(caller, request, Origin::Peer(peer, id)));
    }

    /// Adds a node that has connected. Returns its number, and the relay that
    /// represents it.
    pub fn add_peer(
        &self,
        node: String,
        dc: String,
        cpu_millis: u32,
        sender: Sender,
    ) -> (PeerId, Rc<Relay>) {
        let id = self.last_peer.get() + 1;
        self.last_peer.set(id);
        let relay = Relay::new(node.clone(), dc, cpu_millis, sender.clone());
        let relay = Rc::new(relay);
        self.relays.add(relay.clone());
        let peer = Peer { node, sender, cpu_millis, store_silence: 0 };
        self.send(Input::PeerJoined(id, peer));
        (id, relay)
    }

    /// Reports for how many milliseconds the store has not answered a peer.
    pub fn set_store_silence(&self, peer: PeerId, silent: Millis) {
        self.send(Input::PeerStoreSilence(peer, silent));
    }

    /// Removes a node that has disconnected.
    pub fn remove_peer(&self, peer: PeerId, relay: &Relay) {
        self.relays.remove(relay);
        self.send(Input::PeerLeft(peer));
    }

    /// Reports the answer to a call for advice.
    pub fn report_advice(
        &self,
        call: CallId,
        answer: Result<Vec<AdvisedExecutor>, AdviceFailure>,
    ) {
        self.send(Input::Event(Event::Advised { call, answer }));
    }

    /// Puts a version of the policy in force.
    pub fn set_policy(&self, policy: Arc<Policy>) {
        self.send(Input::Policy(policy));
    }

    /// Sets the data centres that accept no new work.
    pub fn set_cordons(&self, cordons: Cordons) {
        self.send(Input::Cordons(cordons));
    }

    /// Reports a maintenance wave that operators have requested.
    pub fn announce_wave(&self, wave: MaintenanceWave) {
        self.send(Input::Event(Event::Wave(wave)));
    }

    /// Ends the term because another node leads since `revision`.
    pub fn supersede(&self, revision: Revision) {
        info!(revision, "deposed_by_successor");
        self.send(Input::End);
    }

    /// Returns when the last call was sent by which the store has confirmed
    /// that no other node leads.
    pub fn confirmed_at(&self) -> Millis {
        self.confirmed.get()
    }

    /// Returns whether the term has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    fn send(&self, input: Input) {
        let queued = QueuedInput { input, sent_at: clock::mono_micros() };
        // After the end of the term, nothing receives inputs.
        let _ = self.inputs.send(queued);
    }
}

/// Reports that the leader's key was removed, perhaps by mistake.
pub fn report_key_removed<P: Platform>(shared: &NodeState<P>) {
    if let Some(handle) = shared.lead.borrow().as_ref() {
        handle.send(Input::KeyRemoved);
    }
}

/// Ends the term before a planned stop, so that another node can lead.
pub async fn hand_over<P: Platform>(shared: &NodeState<P>) {
    let handle = shared.lead.borrow().as_ref().map(LeaderHandle::clone);
    let Some(handle) = handle else { return };
    let (done, ended) = oneshot::channel();
    handle.send(Input::HandOver(done));
    let _ = timeout(2 * HANDOVER_TIMEOUT, ended).await;
}

/// Starts to lead. The claim was written at revision `token` under `lease`,
/// and the lease was requested at the time `confirmed`.
pub fn start_term<P: Platform>(
    shared: &Rc<NodeState<P>>,
    token: Revision,
    lease: u64,
    confirmed: Millis,
) {
    let (inputs, received) = mpsc::unbounded_channel();
    let confirmed = Rc::new(Cell::new(confirmed));
    let handle = LeaderHandle {
        inputs,
        last_peer: Rc::default(),
        ended: Rc::default(),
        confirmed: confirmed.clone(),
        relays: Rc::default(),
    };
    *shared.lead.borrow_mut() = Some(handle.clone());
    shared.count("tenures");
    let routes =
        Rc::new(Routes::new(shared.clone(), handle.relays.clone(), token));
    let order_timeout = CallTimeout::new(
        ORDER_TIMEOUT
            .with_link_delay(shared.settings.borrow().link_bytes_per_ms),
        shared.is_enabled(Mechanism::OrderPatience),
    );
    let orders = OrderSender::new(
        shared.clone(),
        handle.clone(),
        routes.clone(),
        order_timeout,
    );
    let term = LeaderTerm {
        journal: Rc::new(Journal::new(
            shared.store.clone(),
            shared.platform.leader_state_prefix(),
            token,
        )),
        routes,
        orders: Rc::new(orders),
        shared: shared.clone(),
        handle: handle.clone(),
        token,
        started_at: clock::mono(),
        lease: Rc::new(Cell::new(lease)),
        confirmed,
        executor_infos: Rc::default(),
        peers: HashMap::new(),
        origins: HashMap::new(),
        last_request: 0,
        handover_done: None,
        last_offer: 0,
        next_candidate: 0,
    };
    actix_rt::spawn(async move {
        let shared = term.shared.clone();
        let journal = term.journal.clone();
        let lease = term.lease.clone();
        let why = term.run(received).await;
        handle.ended.set(true);
        journal.close();
        *shared.lead.borrow_mut() = None;
        info!(token, why, "lead_ended");
        shared.leader_changed.notify_waiters();
        let _ = shared.store.revoke(lease.get()).await;
    });
}

fn clocks() -> Clocks {
    Clocks { mono: clock::mono_micros(), cpu: clock::thread_cpu() }
}

struct Peer {
    node: String,
    sender: Sender,
    /// The processor time of its machine, in thousandths of a core.
    cpu_millis: u32,
    /// For how long the store had not answered it at its last heartbeat.
    store_silence: Millis,
}

/// A leader term: the time during which this node leads.
struct LeaderTerm<P> {
    shared: Rc<NodeState<P>>,
    handle: LeaderHandle,
    journal: Rc<Journal<P>>,
    token: u64,
    /// When this node learned that its claim had succeeded.
    started_at: Millis,
    lease: Rc<Cell<u64>>,
    /// When the last call was sent by which the store has confirmed that no
    /// other node leads.
    confirmed: Rc<Cell<Millis>>,
    executor_infos: Rc<RefCell<HashMap<ExecutorIndex, Rc<ExecutorInfo>>>>,
    peers: HashMap<PeerId, Peer>,
    origins: HashMap<RequestId, Origin>,
    /// The number of the last request.
    last_request: RequestId,
    /// Set once a handover has begun. Dropped when the term ends, which tells
    /// the caller that open requests are answered.
    handover_done: Option<oneshot::Sender<()>>,
    /// Chooses how orders reach executors.
    routes: Rc<Routes<P>>,
    /// Sends orders.
    orders: Rc<OrderSender<P>>,
    /// When the leadership was last offered to another node.
    last_offer: Millis,
    /// Which of the eligible peers gets the next offer.
    next_candidate: usize,
}

impl<P: Platform> LeaderTerm<P> {
    /// Leads until the term ends, and returns why it ended.
    async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<QueuedInput>,
    ) -> &'static str {
        // Reading the state of the predecessor may take longer than the lease.
        self.spawn_lease_renewals();
        let Some(mut scheduler) = self.take_over().await else {
            return "superseded at the takeover";
        };
        self.spawn_executor_watch();
        let mut last_tick = 0;
        let mut last_usage = 0;
        let mut slow_iterations = SlowIterations::new(SLOW_ITERATION);
        self.update_advisors(&mut scheduler);
        for wave in self.shared.waves() {
            self.handle.announce_wave(wave);
        }
        loop {
            let now = clock::mono();
            if self.is_unconfirmed() {
                self.fail_open_requests();
                return "not confirmed in time";
            }
            let next = last_tick + TICK_INTERVAL;
            let next = match scheduler.next_advance() {
                Some(advance) => next.min(advance),
                None => next,
            };
            let pause = Duration::from_millis(next.saturating_sub(now));
            if pause.is_zero() {
                // Let connections be served.
                yield_now().await;
            }
            let first = timeout(pause, inputs.recv()).await.ok().flatten();
            if self.is_unconfirmed() {
                // The VM was suspended, or the process was stopped, during the
                // wait: the clock shows this, while timers do not.
                continue;
            }
            let shared = self.shared.clone();
            let stats = &shared.stats;
            let mut iteration =
                Iteration::begin(clocks(), scheduler.placement_stats());
            let mut next = first;
            while let Some(QueuedInput { input, sent_at }) = next {
                let now = clock::mono_micros();
                iteration.begin_input(stats, input.kind(), sent_at, now);
                let received = sent_at / 1_000;
                if let Some(why) =
                    self.handle_input(&mut scheduler, input, received)
                {
                    self.fail_open_requests();
                    return why;
                }
                next = inputs.try_recv().ok();
            }
            let finished = clock::mono_micros();
            iteration.finish_input(stats, finished);
            let now = finished / 1_000;
            if self.is_unconfirmed() {
                continue;
            }
            if now >= last_tick + TICK_INTERVAL {
                last_tick = now;
                let wall = clock::wall() as i64;
                scheduler.set_wall_offset(wall - now as i64);
                self.shared.stats.set_leader_counters(scheduler.counters());
                if now >= last_usage + USAGE_INTERVAL {
                    last_usage = now;
                    self.shared.stats.set_accounts(scheduler.usage());
                }
                if self.is_store_unreachable(now) {
                    self.offer_to_next_peer(now);
                } else {
                    self.offer_to_larger_machine(now);
                }
                scheduler.confirm_leadership(self.confirmed.get());
                let actions = scheduler.handle(Event::Tick, now);
                if self.perform(&scheduler, actions) {
                    return "fenced";
                }
            }
            if scheduler.executor_count() != self.routes.executor_count() {
                self.routes.set_executors(scheduler.executors_by_dc());
            }
            let since = clock::mono_micros();
            let actions = scheduler.advance(now);
            let until = clock::mono_micros();
            iteration.record_advance(stats, since, until);
            let elapsed = Duration::from_micros(until.saturating_sub(since));
            scheduler.record_advance_time(elapsed, until / 1_000);
            if self.perform(&scheduler, actions) {
                return "fenced";
            }
            let measured =
                iteration.end(stats, clocks(), scheduler.placement_stats());
            if let Some((slow, worst)) = slow_iterations.observe(measured) {
                decision_log::log_slow_iteration(
                    &scheduler, self.token, slow, &worst,
                );
            }
            if self.handover_done.is_some() && self.origins.is_empty() {
                break;
            }
        }
        "handed over"
    }

    /// Returns whether the store has not confirmed for too long that no other
    /// node leads.
    fn is_unconfirmed(&self) -> bool {
        clock::mono() > self.confirmed.get() + MAX_UNCONFIRMED_MS
    }

    fn update_advisors(&self, scheduler: &mut Scheduler) {
        let own = self.shared.settings.borrow().node.clone();
        let mut names = vec![own];
        names.extend(self.peers.values().map(|peer| peer.node.clone()));
        names.sort();
        names.dedup();
        scheduler.handle(Event::Advisors(names), clock::mono());
    }

    /// Handles an input. Returns why the term has ended, if it has.
    fn handle_input(
        &mut self,
        scheduler: &mut Scheduler,
        input: Input,
        received: Millis,
    ) -> Option<&'static str> {
        match input {
            Input::Request(caller, request, origin) => {
                self.last_request += 1;
                let id = self.last_request;
                self.origins.insert(id, origin);
                if self.handover_done.is_some() {
                    // The client's node asks the next leader at once.
                    self.reply(id, Outcome::Refused(0));
                    return None;
                }
                if self.is_unconfirmed_read(&request) {
                    self.shared.count("refused_unconfirmed");
                    self.reply(id, Outcome::Refused(replies::RETRY_AFTER));
                    return None;
                }
                let event = Event::Request { id, caller, request };
                return self.handle_event(scheduler, event, received);
            }
            Input::Event(event) => {
                return self.handle_event(scheduler, event, received)
            }
            Input::PeerJoined(id, peer) => {
                info!(node = peer.node, "node_joined");
                // Calls for advice over its earlier connection are lost.
                self.peers.retain(|_, known| known.node != peer.node);
                self.update_advisors(scheduler);
                self.peers.insert(id, peer);
                self.update_advisors(scheduler);
            }
            Input::PeerStoreSilence(peer, silent) => {
                if let Some(peer) = self.peers.get_mut(&peer) {
                    peer.store_silence = silent;
                }
            }
            Input::PeerLeft(peer) => {
                if let Some(peer) = self.peers.remove(&peer) {
                    info!(node = peer.node, "node_left");
                }
                self.update_advisors(scheduler);
            }
            Input::Policy(policy) => scheduler.set_policy(policy),
            Input::Cordons(cordons) => scheduler.set_cordons(cordons),
            Input::LeadershipChecked(id, leads) => {
                self.answer_unknown_job(id, leads)
            }
            Input::KeyRemoved => self.reclaim(),
            Input::HandOver(done) => {
                self.handover_done = Some(done);
                self.offer_to_next_peer(clock::mono());
                let handle = self.handle.clone();
                actix_rt::spawn(async move {
                    sleep(HANDOVER_TIMEOUT).await;
                    handle.send(Input::End);
                });
            }
            Input::End => return Some("over"),
        }
        None
    }

    fn handle_event(
        &mut self,
        scheduler: &mut Scheduler,
        event: Event,
        received: Millis,
    ) -> Option<&'static str> {
        decision_log::log_event(scheduler, self.token, &event);
        let now = clock::mono();
        let actions = scheduler.handle_received(event, received, now);
        self.perform(scheduler, actions).then_some("fenced")
    }
}
