/*!
Runs the scheduler while this node leads.

The scheduler decides; here its actions are carried out, and what comes of
them is told to it. The node stops to lead when somebody else does, or when
the store has not confirmed for too long that nobody does.
*/

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::message::{
    AdviceFailure, AdviceRow, CallId, ExecutorIndex,
};
use puffinknot_core::jobs::{
    Event, ExecutorInfo, Outcome, Policy, Request, RequestId, Scheduler,
    WaveInfo,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, MissedTickBehavior};
use tracing::info;

mod executors;
mod orders;
mod seat;
mod takeover;

use crate::cell::channel::Sender;
use crate::cell::decisions;
use crate::cell::journal::Journal;
use crate::cell::link::ToNode;
use crate::cell::node::{Shared, UNCONFIRMED};
use crate::cell::ports::Platform;
use crate::clock;

/// How often the scheduler is told that time has passed.
const TICK: Millis = 50;
/// The lease of the leader is renewed this often within its length.
const RENEWALS: Millis = 5;
/// The leader's key is read if nothing has confirmed it for so long.
const CONFIRM_AFTER: Millis = 350;
/// The pause after a call to the store that failed.
const PAUSE: Duration = Duration::from_millis(100);
/// If the store has not answered for so long, another node is asked to lead.
const INVITE_AFTER: Millis = 550;
/// The same, if so many calls in a row have failed.
const INVITE_FAILURES: u32 = 3;
/// The time until the next node is asked.
const INVITE_AGAIN: Millis = 250;
/// A node with at least this many times the processor time is offered the
/// lead by one that could lead on.
const MUCH_LARGER: u32 = 2;
/// The time until such an offer is made again.
const MAKE_WAY_AGAIN: Millis = 1_000;
/// Nodes that the store has answered about as lately as any are asked first.
const SERVED: Millis = 1_500;
/// When a client is to come back that asks what is not sure now.
const COME_BACK: Millis = 1_000;
/// The most time that is waited for open requests at a hand-over.
const HAND_OVER: Duration = Duration::from_millis(300);

/// The number of a peer within one tenure.
pub type PeerId = u64;

/// What the leader's loop is told.
enum Input {
    Ask(Request, Origin),
    Event(Event),
    Join(PeerId, Peer),
    StoreSilent(PeerId, Millis),
    Leave(PeerId),
    Policy(Arc<Policy>),
    /// Whether this node still led after a request about an unknown job came,
    /// if the store says so.
    Unknown(RequestId, Option<bool>),
    KeyGone,
    HandOver(oneshot::Sender<()>),
    Over,
}

/// Who waits for an answer.
enum Origin {
    Here(oneshot::Sender<Outcome>),
    Peer(PeerId, RequestId),
}

/// The way to the scheduler of this node.
#[derive(Clone)]
pub struct LeadHandle {
    inputs: mpsc::UnboundedSender<Input>,
    peers: Rc<Cell<PeerId>>,
    over: Rc<Cell<bool>>,
}

impl LeadHandle {
    /// Passes on a request of a client of this node.
    pub fn ask(&self, request: Request, reply: oneshot::Sender<Outcome>) {
        self.send(Input::Ask(request, Origin::Here(reply)));
    }

    /// Passes on a request of a client of another node.
    pub fn ask_for(&self, peer: PeerId, id: RequestId, request: Request) {
        self.send(Input::Ask(request, Origin::Peer(peer, id)));
    }

    /// Another node has connected.
    pub fn join(
        &self,
        node: String,
        cpu_millis: u32,
        sender: Sender,
    ) -> PeerId {
        let id = self.peers.get() + 1;
        self.peers.set(id);
        let peer = Peer { node, sender, cpu_millis, store_silent: 0 };
        self.send(Input::Join(id, peer));
        id
    }

    /// For how long the store has not answered another node.
    pub fn store_silent(&self, peer: PeerId, silent: Millis) {
        self.send(Input::StoreSilent(peer, silent));
    }

    /// Another node has gone.
    pub fn leave(&self, peer: PeerId) {
        self.send(Input::Leave(peer));
    }

    /// Another node has got advice.
    pub fn advised(
        &self,
        call: CallId,
        answer: Result<Vec<AdviceRow>, AdviceFailure>,
    ) {
        self.send(Input::Event(Event::Advised { call, answer }));
    }

    /// A version of the policy is in force.
    pub fn policy(&self, policy: Arc<Policy>) {
        self.send(Input::Policy(policy));
    }

    /// The operators want a wave of upkeep.
    pub fn wave(&self, wave: WaveInfo) {
        self.send(Input::Event(Event::Wave(wave)));
    }

    /// Somebody else leads since this revision.
    pub fn depose(&self, revision: Revision) {
        info!(revision, "deposed_by_successor");
        self.send(Input::Over);
    }

    /// Whether the tenure is over.
    pub fn is_over(&self) -> bool {
        self.over.get()
    }

    fn send(&self, input: Input) {
        // A tenure that is over answers nobody.
        let _ = self.inputs.send(input);
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
    let handle =
        LeadHandle { inputs, peers: Rc::default(), over: Rc::default() };
    *shared.lead.borrow_mut() = Some(handle.clone());
    shared.count("tenures");
    let tenure = Tenure {
        journal: Rc::new(Journal::new(
            shared.store.clone(),
            shared.platform.kept_prefix(),
            token,
        )),
        shared: shared.clone(),
        handle: handle.clone(),
        token,
        lease: Rc::new(Cell::new(lease)),
        confirmed: Rc::new(Cell::new(confirmed)),
        executors: Rc::default(),
        peers: HashMap::new(),
        origins: HashMap::new(),
        requests: 0,
        handed_over: None,
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
        let _ = shared.store.end(lease.get()).await;
    });
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
    /// When another node was asked last to lead in this one's place.
    invited: Millis,
    /// Which node is asked next.
    turn: usize,
}

impl<P: Platform> Tenure<P> {
    /// Leads until it is over, and says why it is.
    async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<Input>,
    ) -> &'static str {
        // Reading what a predecessor left may take longer than the lease.
        self.spawn_renewals();
        let Some(mut scheduler) = self.take_over().await else {
            return "superseded at the takeover";
        };
        self.spawn_watch();
        let mut last_tick = 0;
        self.tell_advisors(&mut scheduler);
        for wave in self.shared.waves() {
            self.handle.wave(wave);
        }
        loop {
            let now = clock::mono();
            if now > self.confirmed.get() + UNCONFIRMED {
                self.give_up_requests();
                return "not confirmed in time";
            }
            let next = last_tick + TICK;
            let next = match scheduler.next_commit() {
                Some(commit) => next.min(commit),
                None => next,
            };
            let pause = Duration::from_millis(next.saturating_sub(now));
            let first = timeout(pause, inputs.recv()).await.ok().flatten();
            let mut input = first;
            while let Some(next) = input {
                if let Some(why) = self.input(&mut scheduler, next) {
                    self.give_up_requests();
                    return why;
                }
                input = inputs.try_recv().ok();
            }
            let now = clock::mono();
            if now > self.confirmed.get() + UNCONFIRMED {
                continue;
            }
            if now >= last_tick + TICK {
                last_tick = now;
                let wall = clock::wall() as i64;
                scheduler.set_wall_offset(wall - now as i64);
                self.shared.stats.set_leading(scheduler.counters());
                if self.turned_away(now) {
                    self.invite(now);
                } else {
                    self.make_way(now);
                }
                scheduler.set_confirmed(self.confirmed.get());
                let actions = scheduler.handle(Event::Tick, now);
                if self.perform(&scheduler, actions) {
                    return "fenced";
                }
            }
            let actions = scheduler.advance(now);
            if self.perform(&scheduler, actions) {
                return "fenced";
            }
            if self.handed_over.is_some() && self.origins.is_empty() {
                break;
            }
        }
        "handed over"
    }

    /// Renews the lease for as long as the tenure lasts. That the lease
    /// stands does not show that the key does: if no commit has confirmed
    /// the lead lately, the key is read.
    fn spawn_renewals(&self) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let lease = self.lease.clone();
        let confirmed = self.confirmed.clone();
        actix_rt::spawn(async move {
            let ttl = shared.settings.borrow().leader_lease;
            let pause = Duration::from_millis(ttl / RENEWALS);
            let mut turns = tokio::time::interval(pause);
            turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
            while !handle.is_over() {
                turns.tick().await;
                match shared.store.renew(lease.get()).await {
                    Ok(true) => {}
                    Ok(false) => {
                        handle.send(Input::KeyGone);
                        continue;
                    }
                    Err(_) => {
                        shared.count("renewals_failed");
                        continue;
                    }
                }
                let sent_at = clock::mono();
                if sent_at < confirmed.get() + CONFIRM_AFTER {
                    continue;
                }
                match seat::holds_key(&shared, lease.get()).await {
                    Some(true) => {
                        confirmed.set(confirmed.get().max(sent_at));
                    }
                    Some(false) => handle.send(Input::KeyGone),
                    None => shared.count("confirmations_failed"),
                }
            }
        });
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
    ) -> Option<&'static str> {
        match input {
            Input::Ask(request, origin) => {
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
                    self.reply(id, Outcome::Refused(COME_BACK));
                    return None;
                }
                return self.event(scheduler, Event::Request { id, request });
            }
            Input::Event(event) => return self.event(scheduler, event),
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
            Input::Unknown(id, leads) => self.deny(id, leads),
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

    /// Whether the store does not serve this node.
    fn turned_away(&self, now: Millis) -> bool {
        let store = &self.shared.store;
        let silent = now > store.answered() + INVITE_AFTER
            && now > self.confirmed.get() + INVITE_AFTER;
        silent || store.failures() >= INVITE_FAILURES
    }

    /// Asks another node to lead in this one's place, one after the other.
    /// This one leads on until another does.
    fn invite(&mut self, now: Millis) {
        if now < self.invited + INVITE_AGAIN || self.peers.is_empty() {
            return;
        }
        let Some(leader) = self.shared.leader() else { return };
        let least = self.peers.values().map(|peer| peer.store_silent).min();
        let least = least.unwrap_or_default();
        let mut served: Vec<(&PeerId, &Peer)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.store_silent <= least + SERVED)
            .collect();
        served.sort_unstable_by_key(|(id, peer)| {
            (Reverse(peer.cpu_millis), **id)
        });
        let Some((_, peer)) = served.get(self.turn % served.len()) else {
            return;
        };
        self.offer(peer, leader.revision);
        self.invited = now;
        self.turn += 1;
    }

    /// Offers the lead to a much larger machine that the store serves.
    fn make_way(&mut self, now: Millis) {
        if now < self.invited + MAKE_WAY_AGAIN {
            return;
        }
        let own = self.shared.settings.borrow().cpu_millis;
        let larger = self.peers.values().filter(|peer| {
            peer.store_silent <= SERVED
                && peer.cpu_millis >= own.saturating_mul(MUCH_LARGER)
        });
        let Some(peer) = larger.max_by_key(|peer| peer.cpu_millis) else {
            return;
        };
        let Some(leader) = self.shared.leader() else { return };
        self.offer(peer, leader.revision);
        self.invited = now;
    }

    fn offer(&self, peer: &Peer, revision: Revision) {
        info!(node = peer.node, cpu = peer.cpu_millis, "lead_offered");
        peer.sender.send(&ToNode::Lead(revision));
        self.shared.count("lead_offered");
    }

    /// Whether the answer might be wrong, since somebody else may lead.
    fn unsure(&self, request: &Request) -> bool {
        let lease = self.shared.settings.borrow().leader_lease;
        let read =
            matches!(request, Request::State { .. } | Request::Pending { .. });
        read && clock::mono() > self.confirmed.get() + lease
    }

    fn event(
        &mut self,
        scheduler: &mut Scheduler,
        event: Event,
    ) -> Option<&'static str> {
        decisions::event(scheduler, self.token, &event);
        let actions = scheduler.handle(event, clock::mono());
        self.perform(scheduler, actions).then_some("fenced")
    }

    /// Answers a request. That there is no such job is said only once the
    /// store has confirmed that nobody else leads: a successor may have
    /// accepted it.
    fn answer(&mut self, id: RequestId, outcome: Outcome) {
        if outcome != Outcome::NoSuchJob {
            return self.reply(id, outcome);
        }
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let lease = self.lease.clone();
        actix_rt::spawn(async move {
            let leads = seat::holds_key(&shared, lease.get()).await;
            handle.send(Input::Unknown(id, leads));
        });
    }

    /// Answers a request about a job that this node does not know.
    fn deny(&mut self, id: RequestId, leads: Option<bool>) {
        match leads {
            Some(true) => self.reply(id, Outcome::NoSuchJob),
            Some(false) => {
                self.shared.count("asked_again_superseded");
                self.reply(id, Outcome::Unknown);
                self.reclaim();
            }
            None => {
                self.shared.count("refused_unconfirmed");
                self.reply(id, Outcome::Refused(COME_BACK));
            }
        }
    }

    fn reply(&mut self, id: RequestId, outcome: Outcome) {
        match self.origins.remove(&id) {
            Some(Origin::Here(reply)) => {
                let _ = reply.send(outcome);
            }
            Some(Origin::Peer(peer, id)) => {
                if let Some(peer) = self.peers.get(&peer) {
                    peer.sender.send(&ToNode::Reply(id, outcome));
                }
            }
            None => {}
        }
    }

    fn give_up_requests(&mut self) {
        let open: Vec<RequestId> = self.origins.keys().copied().collect();
        for id in open {
            self.reply(id, Outcome::Unknown);
        }
    }
}
