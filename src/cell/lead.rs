/*!
Runs the scheduler while this node leads.

The scheduler decides; here its actions are carried out, and what comes of
them is told to it. The node stops to lead when somebody else does, or when
the store has not confirmed for too long that nobody does.
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
    Caller, Cordons, Event, ExecutorInfo, MaintenanceWave, Mechanism, Outcome,
    Policy, Request, RequestId, Scheduler,
};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};
use tracing::info;

mod answers;
mod executors;
mod lease;
mod offer;
mod orders;
mod seat;
mod takeover;
mod ways;

use crate::cell::channel::Sender;
use crate::cell::decisions;
use crate::cell::journal::Journal;
use crate::cell::node::{Shared, MAX_UNCONFIRMED_MS};
use crate::cell::patience::{Bounds, Patience};
use crate::cell::ports::Platform;
use crate::cell::relay::{Relay, Relays};
use crate::cell::turn::{Clocks, Kind, SlowTurns, Turn};
use crate::clock::{self, Micros};

use self::ways::Ways;

/// How often the scheduler is told that time has passed.
const TICK: Millis = 50;
/// How often the figures of client accounts are taken over, in milliseconds.
const TELL_ACCOUNTS: Millis = 1_000;
/// The pause after a call to the store that failed.
const PAUSE: Duration = Duration::from_millis(100);
/// The most time that is waited for open requests at a hand-over.
const HAND_OVER: Duration = Duration::from_millis(300);

/// How long answers of executors are waited for. A machine's share of its
/// processor may be given to it in slices a tenth of a second apart.
const ORDERS: Bounds = Bounds { least: 120, first: 300, most: 300 };
/// A turn of the loop, or the wait of an input, is slow from so many
/// milliseconds on: no answer is read meanwhile, and a quarter of the least
/// time that answers are waited for is gone.
const SLOW: Millis = ORDERS.least / 4;

/// The number of a peer within one tenure.
pub type PeerId = u64;

/// What the leader's loop is told.
enum Input {
    Ask(Caller, Request, Origin),
    Event(Event),
    Join(PeerId, Peer),
    StoreSilent(PeerId, Millis),
    Leave(PeerId),
    Policy(Arc<Policy>),
    Cordons(Cordons),
    /// Whether this node still led after a request about an unknown job came,
    /// if the store says so.
    Confirmed(RequestId, Option<bool>),
    KeyGone,
    HandOver(oneshot::Sender<()>),
    Over,
}

impl Input {
    fn kind(&self) -> Kind {
        match self {
            Input::Ask(..) => Kind::Request,
            Input::Event(event) => Kind::of(event),
            Input::Join(..)
            | Input::StoreSilent(..)
            | Input::Leave(_)
            | Input::Policy(_)
            | Input::Cordons(_)
            | Input::Confirmed(..)
            | Input::KeyGone
            | Input::HandOver(_)
            | Input::Over => Kind::Other,
        }
    }
}

/// An input, and when it was sent.
struct Sent {
    input: Input,
    at: Micros,
}

/// Who waits for an answer.
enum Origin {
    Here(oneshot::Sender<Outcome>),
    Peer(PeerId, RequestId),
}

/// The way to the scheduler of this node.
#[derive(Clone)]
pub struct LeadHandle {
    inputs: mpsc::UnboundedSender<Sent>,
    peers: Rc<Cell<PeerId>>,
    over: Rc<Cell<bool>>,
    confirmed: Rc<Cell<Millis>>,
    relays: Rc<Relays>,
}

impl LeadHandle {
    /// Passes on a request of a client of this node.
    pub fn ask(
        &self,
        caller: Caller,
        request: Request,
        reply: oneshot::Sender<Outcome>,
    ) {
        self.send(Input::Ask(caller, request, Origin::Here(reply)));
    }

    /// Passes on a request of a client of another node.
    pub fn ask_for(
        &self,
        peer: PeerId,
        id: RequestId,
        caller: Caller,
        request: Request,
    ) {
        self.send(Input::Ask(caller, request, Origin::Peer(peer, id)));
    }

    /// Another node has connected. Returns its number, and what is known of
    /// it as a relay.
    pub fn join(
        &self,
        node: String,
        dc: String,
        cpu_millis: u32,
        sender: Sender,
    ) -> (PeerId, Rc<Relay>) {
        let id = self.peers.get() + 1;
        self.peers.set(id);
        let relay = Relay::new(node.clone(), dc, cpu_millis, sender.clone());
        let relay = Rc::new(relay);
        self.relays.add(relay.clone());
        let peer = Peer { node, sender, cpu_millis, store_silent: 0 };
        self.send(Input::Join(id, peer));
        (id, relay)
    }

    /// For how long the store has not answered another node.
    pub fn store_silent(&self, peer: PeerId, silent: Millis) {
        self.send(Input::StoreSilent(peer, silent));
    }

    /// Another node has gone.
    pub fn leave(&self, peer: PeerId, relay: &Relay) {
        self.relays.remove(relay);
        self.send(Input::Leave(peer));
    }

    /// Another node has got advice.
    pub fn advised(
        &self,
        call: CallId,
        answer: Result<Vec<AdvisedExecutor>, AdviceFailure>,
    ) {
        self.send(Input::Event(Event::Advised { call, answer }));
    }

    /// A version of the policy is in force.
    pub fn policy(&self, policy: Arc<Policy>) {
        self.send(Input::Policy(policy));
    }

    /// These data centres take no new work.
    pub fn cordons(&self, cordons: Cordons) {
        self.send(Input::Cordons(cordons));
    }

    /// The operators want a wave of upkeep.
    pub fn wave(&self, wave: MaintenanceWave) {
        self.send(Input::Event(Event::Wave(wave)));
    }

    /// Somebody else leads since this revision.
    pub fn depose(&self, revision: Revision) {
        info!(revision, "deposed_by_successor");
        self.send(Input::Over);
    }

    /// When the store was last asked and confirmed that nobody else leads.
    pub fn confirmed(&self) -> Millis {
        self.confirmed.get()
    }

    /// Whether the tenure is over.
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    fn send(&self, input: Input) {
        let sent = Sent { input, at: clock::mono_micros() };
        // A tenure that is over answers nobody.
        let _ = self.inputs.send(sent);
    }
}

/// The key of the leader is gone, perhaps by mistake.
pub fn key_gone<P: Platform>(shared: &Shared<P>) {
    if let Some(lead) = shared.lead.borrow().as_ref() {
        lead.send(Input::KeyGone);
    }
}

/// At a planned stop: ends the tenure, so that another node may lead.
pub async fn hand_over<P: Platform>(shared: &Shared<P>) {
    let lead = shared.lead.borrow().as_ref().map(LeadHandle::clone);
    let Some(lead) = lead else { return };
    let (done, over) = oneshot::channel();
    lead.send(Input::HandOver(done));
    let _ = timeout(2 * HAND_OVER, over).await;
}

/// Begins to lead. The claim was written at `token`, under `lease`, and its
/// lease was asked for at `confirmed`.
pub fn begin<P: Platform>(
    shared: &Rc<Shared<P>>,
    token: Revision,
    lease: u64,
    confirmed: Millis,
) {
    let (inputs, received) = mpsc::unbounded_channel();
    let confirmed = Rc::new(Cell::new(confirmed));
    let handle = LeadHandle {
        inputs,
        peers: Rc::default(),
        over: Rc::default(),
        confirmed: confirmed.clone(),
        relays: Rc::default(),
    };
    *shared.lead.borrow_mut() = Some(handle.clone());
    shared.count("tenures");
    let tenure = Tenure {
        journal: Rc::new(Journal::new(
            shared.store.clone(),
            shared.platform.leader_state_prefix(),
            token,
        )),
        ways: Rc::new(Ways::new(shared.clone(), handle.relays.clone(), token)),
        shared: shared.clone(),
        handle: handle.clone(),
        token,
        begun: clock::mono(),
        lease: Rc::new(Cell::new(lease)),
        confirmed,
        executors: Rc::default(),
        peers: HashMap::new(),
        origins: HashMap::new(),
        requests: 0,
        handed_over: None,
        patience: Rc::new(Patience::new(
            ORDERS.behind(shared.settings.borrow().link_bytes_per_ms),
            shared.is_enabled(Mechanism::OrderPatience),
        )),
        invited: 0,
        turn: 0,
    };
    actix_rt::spawn(async move {
        let shared = tenure.shared.clone();
        let journal = tenure.journal.clone();
        let lease = tenure.lease.clone();
        let why = tenure.run(received).await;
        handle.over.set(true);
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
    /// Its processor time, in thousandths of a core.
    cpu_millis: u32,
    /// For how long the store had not answered it.
    store_silent: Millis,
}

/// One node's time as leader.
struct Tenure<P> {
    shared: Rc<Shared<P>>,
    handle: LeadHandle,
    journal: Rc<Journal<P>>,
    token: u64,
    /// When its claim was made.
    begun: Millis,
    lease: Rc<Cell<u64>>,
    /// When the last call was sent by which the store has confirmed that
    /// nobody else leads.
    confirmed: Rc<Cell<Millis>>,
    executors: Rc<RefCell<HashMap<ExecutorIndex, Rc<ExecutorInfo>>>>,
    peers: HashMap<PeerId, Peer>,
    origins: HashMap<RequestId, Origin>,
    requests: RequestId,
    /// Told when open requests are answered, once a hand-over has begun.
    handed_over: Option<oneshot::Sender<()>>,
    /// How orders go to executors.
    ways: Rc<Ways<P>>,
    /// How long answers of executors are waited for.
    patience: Rc<Patience>,
    /// When another node was asked last to lead in this one's place.
    invited: Millis,
    /// Which node is asked next.
    turn: usize,
}

impl<P: Platform> Tenure<P> {
    /// Leads until it is over, and says why it is.
    async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<Sent>,
    ) -> &'static str {
        // Reading what a predecessor left may take longer than the lease.
        self.spawn_renewals();
        let Some(mut scheduler) = self.take_over().await else {
            return "superseded at the takeover";
        };
        self.spawn_watch();
        let mut last_tick = 0;
        let mut accounts_told = 0;
        let mut slow_turns = SlowTurns::new(SLOW);
        self.tell_advisors(&mut scheduler);
        for wave in self.shared.waves() {
            self.handle.wave(wave);
        }
        loop {
            let now = clock::mono();
            if self.is_unconfirmed() {
                self.give_up_requests();
                return "not confirmed in time";
            }
            let next = last_tick + TICK;
            let next = match scheduler.next_advance() {
                Some(advance) => next.min(advance),
                None => next,
            };
            let pause = Duration::from_millis(next.saturating_sub(now));
            if pause.is_zero() {
                // Connections have their turn, too.
                yield_now().await;
            }
            let first = timeout(pause, inputs.recv()).await.ok().flatten();
            if self.is_unconfirmed() {
                // The VM was suspended, or the process stood still, while it
                // waited: timers tell neither, the clock does.
                continue;
            }
            let shared = self.shared.clone();
            let stats = &shared.stats;
            let mut turn = Turn::begin(clocks(), scheduler.placement_stats());
            let mut next = first;
            while let Some(Sent { input, at }) = next {
                let now = clock::mono_micros();
                turn.take(stats, input.kind(), at, now);
                let received = at / 1_000;
                if let Some(why) = self.input(&mut scheduler, input, received)
                {
                    self.give_up_requests();
                    return why;
                }
                next = inputs.try_recv().ok();
            }
            let taken = clock::mono_micros();
            turn.finish_input(stats, taken);
            let now = taken / 1_000;
            if self.is_unconfirmed() {
                continue;
            }
            if now >= last_tick + TICK {
                last_tick = now;
                let wall = clock::wall() as i64;
                scheduler.set_wall_offset(wall - now as i64);
                self.shared.stats.set_leader_counters(scheduler.counters());
                if now >= accounts_told + TELL_ACCOUNTS {
                    accounts_told = now;
                    self.shared.stats.set_accounts(scheduler.usage());
                }
                if self.turned_away(now) {
                    self.invite(now);
                } else {
                    self.make_way(now);
                }
                scheduler.confirm_leadership(self.confirmed.get());
                let actions = scheduler.handle(Event::Tick, now);
                if self.perform(&scheduler, actions) {
                    return "fenced";
                }
            }
            if scheduler.executor_count() != self.ways.executors() {
                self.ways.set_executors(scheduler.executors_by_dc());
            }
            let since = clock::mono_micros();
            let actions = scheduler.advance(now);
            let until = clock::mono_micros();
            turn.advanced(stats, since, until);
            let took = Duration::from_micros(until.saturating_sub(since));
            scheduler.record_advance_time(took, until / 1_000);
            if self.perform(&scheduler, actions) {
                return "fenced";
            }
            let took = turn.end(stats, clocks(), scheduler.placement_stats());
            if let Some((slow, worst)) = slow_turns.observe(took) {
                decisions::slow_turn(&scheduler, self.token, slow, &worst);
            }
            if self.handed_over.is_some() && self.origins.is_empty() {
                break;
            }
        }
        "handed over"
    }

    /// Whether the store has not confirmed for too long that nobody else
    /// leads.
    fn is_unconfirmed(&self) -> bool {
        clock::mono() > self.confirmed.get() + MAX_UNCONFIRMED_MS
    }

    fn tell_advisors(&self, scheduler: &mut Scheduler) {
        let own = self.shared.settings.borrow().node.clone();
        let mut names = vec![own];
        names.extend(self.peers.values().map(|peer| peer.node.clone()));
        names.sort();
        names.dedup();
        scheduler.handle(Event::Advisors(names), clock::mono());
    }

    /// Takes in an input. Returns why the tenure is over, if it is.
    fn input(
        &mut self,
        scheduler: &mut Scheduler,
        input: Input,
        received: Millis,
    ) -> Option<&'static str> {
        match input {
            Input::Ask(caller, request, origin) => {
                self.requests += 1;
                let id = self.requests;
                self.origins.insert(id, origin);
                if self.handed_over.is_some() {
                    // The next leader is asked at once.
                    self.reply(id, Outcome::Refused(0));
                    return None;
                }
                if self.unsure(&request) {
                    self.shared.count("refused_unconfirmed");
                    self.reply(id, Outcome::Refused(answers::COME_BACK));
                    return None;
                }
                let event = Event::Request { id, caller, request };
                return self.event(scheduler, event, received);
            }
            Input::Event(event) => {
                return self.event(scheduler, event, received)
            }
            Input::Join(id, peer) => {
                info!(node = peer.node, "node_joined");
                // What an earlier link of it was asked is lost.
                self.peers.retain(|_, known| known.node != peer.node);
                self.tell_advisors(scheduler);
                self.peers.insert(id, peer);
                self.tell_advisors(scheduler);
            }
            Input::StoreSilent(peer, silent) => {
                if let Some(peer) = self.peers.get_mut(&peer) {
                    peer.store_silent = silent;
                }
            }
            Input::Leave(peer) => {
                if let Some(peer) = self.peers.remove(&peer) {
                    info!(node = peer.node, "node_left");
                }
                self.tell_advisors(scheduler);
            }
            Input::Policy(policy) => scheduler.set_policy(policy),
            Input::Cordons(cordons) => scheduler.set_cordons(cordons),
            Input::Confirmed(id, leads) => self.deny(id, leads),
            Input::KeyGone => self.reclaim(),
            Input::HandOver(done) => {
                self.handed_over = Some(done);
                self.invite(clock::mono());
                let handle = self.handle.clone();
                actix_rt::spawn(async move {
                    sleep(HAND_OVER).await;
                    handle.send(Input::Over);
                });
            }
            Input::Over => return Some("over"),
        }
        None
    }

    fn event(
        &mut self,
        scheduler: &mut Scheduler,
        event: Event,
        received: Millis,
    ) -> Option<&'static str> {
        decisions::event(scheduler, self.token, &event);
        let now = clock::mono();
        let actions = scheduler.handle_received(event, received, now);
        self.perform(scheduler, actions).then_some("fenced")
    }
}
