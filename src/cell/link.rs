/*!
The connection of each node to the leader.

Every node maintains a channel to the leader. It carries client requests to
the leader and their answers back, and the leader's requests for advice, its
relayed orders, and the answers to both. Over it, a node that the store does
not answer learns who leads and which policy is in effect, and a leader that
the store does not answer learns which data centres are cordoned.
*/

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::message::{AdviceFailure, AdvisedExecutor, CallId};
use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::{
    CallCredentials, Cordons, JobId, OrderFailure, Outcome, Request, RequestId,
};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{interval, sleep, timeout, Instant};
use tracing::{info, warn};

use crate::cell::call_timeout::link_delay;
use crate::cell::channel::{self, OpenError, Receiver, Sender};
use crate::cell::leader::LeaderHandle;
use crate::cell::leader_search::LeaderSearch;
use crate::cell::node::NodeState;
use crate::cell::order::Answer;
use crate::cell::ports::{Leader, Platform};
use crate::cell::reachability;
use crate::cell::relay::{self, JobSpecs, OrderId, RelayedOrder};
use crate::cell::store_watch::{accept_leadership, replace_leader};
use crate::registry::{Pin, Registration, Registry};

/// How often a node sends a heartbeat to the leader.
const PING_INTERVAL: Duration = Duration::from_millis(250);
/// The leader closes the channel of a node that sends nothing for this long.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_100);
/// A node connects anew if the leader sends nothing for this long, since this
/// connection may be dead while others work. Covers two pings and the time for
/// which a machine may stall, on a fast link; the queueing delay of a narrow
/// link is added.
const LEADER_TIMEOUT: Duration = Duration::from_millis(650);
/// The delay before the next attempt to reach a leader.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The timeout for the first message of a peer.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The timeout for a request for advice.
const ADVICE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A message from a node to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToLeader {
    /// The first message on a channel, which identifies the node.
    Hello {
        /// The name of the node.
        node: String,
        /// The incarnation of the node.
        life: u64,
        /// The address that other nodes connect to.
        address: SocketAddr,
        /// The data centre of the node.
        dc: String,
        /// The processor time of the node, in thousandths of a core.
        cpu_millis: u32,
    },
    /// A client request.
    Ask(RequestId, CallCredentials, Request),
    /// The encoded policy, as it is in the store.
    Policy(Vec<u8>),
    /// The cordons that the node knows.
    Cordons(Cordons),
    /// The answer to a request for advice.
    Advised(CallId, Result<Vec<AdvisedExecutor>, AdviceFailure>),
    /// The answer to a relayed order.
    Ordered(OrderId, Answer),
    /// A heartbeat.
    Ping {
        /// The policy version of the node.
        policy: Option<u64>,
        /// For how long the store has not answered the node, in milliseconds.
        store_silent: Millis,
    },
}

/// A message from the leader, or from a node that does not lead, to a node
/// that has connected to it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToNode {
    /// The receiver is connected to the leader. Contains the leader and the
    /// addresses of known nodes.
    Welcome(Leader, Vec<SocketAddr>),
    /// The sender does not lead. Contains the leader that it knows, if any.
    NotLeading(Option<Leader>),
    /// The answer to a client request.
    Reply(RequestId, Outcome),
    /// A request to obtain advice on a step and these executors.
    Advise(CallId, StepKey, Vec<String>),
    /// An order to carry out.
    Order(RelayedOrder),
    /// The text of a job, sent before the first order to start one of its
    /// tasks.
    Text(JobId, String),
    /// The text of this job is no longer needed.
    Forget(JobId),
    /// An offer to the receiver to take over the leadership. Contains the
    /// revision of the sender's leader key.
    Lead(Revision),
    /// The encoded policy, as it is in the store.
    Policy(Vec<u8>),
    /// The answer to a heartbeat.
    Pong {
        /// Whether the store has confirmed the leader recently.
        sure: bool,
        /// The policy version of the leader, unless it is older than
        /// [`PolicyLimits::max_confirmed_age`].
        ///
        /// [`PolicyLimits::max_confirmed_age`]:
        /// puffinknot_core::jobs::PolicyLimits::max_confirmed_age
        policy: Option<u64>,
    },
    /// The leader requests the policy of the node, which is newer.
    PolicyWanted,
}

/// A handle of the connection to the leader.
#[derive(Clone)]
pub struct LinkHandle {
    sender: Sender,
    open_requests: Rc<RefCell<HashMap<RequestId, oneshot::Sender<Outcome>>>>,
    last_id: Rc<Cell<RequestId>>,
    /// When the heartbeats were sent that the leader has not answered. It
    /// answers them in turn.
    open_pings: Rc<RefCell<VecDeque<Millis>>>,
}

impl LinkHandle {
    fn new(sender: Sender) -> LinkHandle {
        LinkHandle {
            sender,
            open_requests: Rc::default(),
            last_id: Rc::default(),
            open_pings: Rc::default(),
        }
    }

    /// Sends a request to the leader.
    pub fn ask(
        &self,
        caller: CallCredentials,
        request: Request,
        reply: oneshot::Sender<Outcome>,
    ) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let mut open = self.open_requests.borrow_mut();
        open.retain(|_, reply| !reply.is_closed());
        open.insert(id, reply);
        drop(open);
        if !self.sender.send(&ToLeader::Ask(id, caller, request)) {
            // The channel is closed, and the request is lost with it.
            self.answer(id, Outcome::Unknown);
        }
    }

    /// Sends the known cordons to the leader.
    pub fn send_cordons(&self, cordons: Cordons) {
        // On failure, the cordons are sent when the next channel is opened.
        let _ = self.sender.send(&ToLeader::Cordons(cordons));
    }

    fn answer(&self, id: RequestId, outcome: Outcome) {
        if let Some(reply) = self.open_requests.borrow_mut().remove(&id) {
            let _ = reply.send(outcome);
        }
    }

    /// Ends all open requests with an unknown outcome.
    fn give_up(&self) {
        for (_, reply) in self.open_requests.borrow_mut().drain() {
            let _ = reply.send(Outcome::Unknown);
        }
    }
}

/// Maintains a channel to the leader while another node leads. Never returns.
pub async fn maintain<P: Platform>(shared: Rc<NodeState<P>>) {
    let mut search = LeaderSearch::default();
    loop {
        if shared.lead.borrow().is_some() {
            let _ =
                timeout(RETRY_DELAY, shared.leader_changed.notified()).await;
            continue;
        }
        if let Some(address) = next_address(&shared, &mut search) {
            connect(&shared, address).await;
        }
        let _ = timeout(RETRY_DELAY, shared.leader_changed.notified()).await;
    }
}

/// The address of the node to try next to find the leader.
fn next_address<P: Platform>(
    shared: &NodeState<P>,
    search: &mut LeaderSearch,
) -> Option<SocketAddr> {
    let own = shared.settings.borrow().control;
    let leader = shared.leader().filter(|leader| leader.address != own);
    let peers = shared.peers.borrow();
    let others: Vec<SocketAddr> =
        peers.iter().copied().filter(|peer| *peer != own).collect();
    search.next(leader.as_ref(), &others)
}

/// Waits until a different leader is known, at an address other than this one.
async fn leader_moved<P: Platform>(
    shared: &NodeState<P>,
    address: SocketAddr,
) {
    let known = shared.leader();
    loop {
        let changed = shared.leader_changed.notified();
        let leader = shared.leader();
        let leader_address = leader.as_ref().map(|leader| leader.address);
        if leader != known && leader_address != Some(address) {
            return;
        }
        changed.await;
    }
}

/// Handles a refused connection. If the address is the leader's, its process
/// is gone while its lease has not expired, and this node may replace it.
fn handle_refused<P: Platform>(
    shared: &Rc<NodeState<P>>,
    address: SocketAddr,
) {
    let Some(leader) = shared.leader() else { return };
    if leader.address == address {
        actix_rt::spawn(replace_leader(shared.clone(), leader.revision));
    }
}

/// Connects to a node, and serves the channel if that node leads.
async fn connect<P: Platform>(shared: &Rc<NodeState<P>>, address: SocketAddr) {
    let opened = tokio::select! {
        opened = channel::open(address) => opened,
        // Another node leads: an address that does not answer must not delay
        // the connection to the new leader.
        () = leader_moved(shared, address) => return,
        // An attempt made while the node was isolated may never succeed.
        () = shared.reachability.wait_until_reconnected() => return,
    };
    let (sender, mut receiver) = match opened {
        Ok(channel) => channel,
        Err(OpenError::ConnectionRefused) => {
            return handle_refused(shared, address)
        }
        Err(OpenError::Unreachable) => return,
    };
    let hello = {
        let settings = shared.settings.borrow();
        ToLeader::Hello {
            node: settings.node.clone(),
            life: shared.incarnation,
            address: settings.control,
            dc: settings.dc.clone(),
            cpu_millis: settings.cpu_millis,
        }
    };
    sender.send(&hello);
    let first = timeout(HELLO_TIMEOUT, receiver.next::<ToNode>()).await;
    match first {
        Ok(Some(ToNode::Welcome(leader, peers))) => {
            shared.peers.borrow_mut().extend(peers);
            let known = shared.leader().map(|known| known.revision);
            if known > Some(leader.revision) {
                // That node does not know yet that it is superseded.
                shared.count("older_leaders_left");
                return sender.close();
            }
            shared.learn_leader(leader);
            info!(%address, "leader_linked");
            let link = LinkHandle::new(sender);
            link.send_cordons(shared.cordons());
            *shared.link.borrow_mut() = Some(link.clone());
            shared.reachability.record_leader_message(true);
            shared.leader_changed.notify_waiters();
            serve_link(shared, &link, receiver).await;
            *shared.link.borrow_mut() = None;
            shared.reachability.clear_leader();
            shared.watch_doubted.notify_one();
            link.sender.close();
            link.give_up();
            shared.count("links_lost");
            warn!(%address, "leader_link_lost");
        }
        Ok(Some(ToNode::NotLeading(leader))) => {
            if let Some(leader) = leader {
                shared.learn_leader(leader);
            }
            sender.close();
        }
        _ => sender.close(),
    }
}

/// Serves the channel to the leader until it ends, a newer leader is known, or
/// this node leads.
async fn serve_link<P: Platform>(
    shared: &Rc<NodeState<P>>,
    link: &LinkHandle,
    mut receiver: Receiver,
) {
    let revision = shared.leader().map(|leader| leader.revision);
    let texts = Rc::new(JobSpecs::default());
    let extra = link_delay(shared.settings.borrow().link_bytes_per_ms);
    let leader_timeout = LEADER_TIMEOUT + Duration::from_millis(extra);
    let mut ping = interval(PING_INTERVAL);
    let mut last_heard_at = Instant::now();
    loop {
        tokio::select! {
            message = receiver.next::<ToNode>() => {
                let Some(message) = message else { return };
                last_heard_at = Instant::now();
                handle_message(shared, link, &texts, message);
            }
            _ = shared.leader_changed.notified() => {
                let known = shared.leader().map(|leader| leader.revision);
                if known != revision || shared.lead.borrow().is_some() {
                    return;
                }
            }
            _ = ping.tick() => {
                let policy = shared.policy_version();
                let now = crate::clock::mono();
                let store_silent =
                    now.saturating_sub(shared.store.last_answered_at());
                let ping = ToLeader::Ping { policy, store_silent };
                link.open_pings.borrow_mut().push_back(now);
                let sent = link.sender.send(&ping);
                if !sent || last_heard_at.elapsed() > leader_timeout {
                    return;
                }
            }
        }
    }
}

/// Handles a message from the leader.
fn handle_message<P: Platform>(
    shared: &Rc<NodeState<P>>,
    link: &LinkHandle,
    texts: &Rc<JobSpecs>,
    message: ToNode,
) {
    match message {
        ToNode::Reply(id, outcome) => link.answer(id, outcome),
        ToNode::Advise(call, step, executors) => {
            let platform = shared.platform.clone();
            let sender = link.sender.clone();
            let shared = shared.clone();
            actix_rt::spawn(async move {
                let sent_at = crate::clock::mono();
                let advice = platform.advise(step, &executors);
                let answer = timeout(ADVICE_TIMEOUT, advice).await;
                let answer = answer.unwrap_or(Err(AdviceFailure::Unknown));
                let took = crate::clock::mono() - sent_at;
                shared.stats.record_latency("advice", took);
                sender.send(&ToLeader::Advised(call, answer));
            });
        }
        ToNode::Order(relayed) => {
            let sender = link.sender.clone();
            let texts = texts.clone();
            shared.count("orders_relayed");
            let shared = shared.clone();
            actix_rt::spawn(async move {
                let id = relayed.id;
                let answer = match shared.refuses_start(&relayed) {
                    true => Err(OrderFailure::NotSent),
                    false => relay::carry_out(&shared, &texts, relayed).await,
                };
                sender.send(&ToLeader::Ordered(id, answer));
            });
        }
        ToNode::Text(job, text) => texts.insert(job, text),
        ToNode::Forget(job) => texts.remove(job),
        ToNode::Lead(revision) => {
            actix_rt::spawn(accept_leadership(shared.clone(), revision));
        }
        ToNode::Policy(value) => shared.learn_policy(&value),
        ToNode::PolicyWanted => {
            if let Some(value) = shared.raw_policy() {
                link.sender.send(&ToLeader::Policy(value.to_vec()));
            }
        }
        ToNode::Pong { sure, policy } => {
            shared.reachability.record_leader_message(sure);
            let sent_at = link.open_pings.borrow_mut().pop_front();
            if let (true, Some(version), Some(sent_at)) =
                (sure, policy, sent_at)
            {
                let age = shared.policy_limits().max_confirmed_age();
                shared.observe_policy(version, sent_at.saturating_sub(age));
            }
        }
        ToNode::Welcome(..) | ToNode::NotLeading(_) => {}
    }
}

/// Accepts channels from other nodes. Never returns.
pub async fn serve<P: Platform>(
    listener: TcpListener,
    shared: Rc<NodeState<P>>,
) {
    let limits = shared.settings.borrow().resources.peers();
    let counting = shared.clone();
    let count = Rc::new(move |what| counting.count(what));
    let registry = Registry::new(limits, count);
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => match registry.open() {
                Some(registration) => {
                    let shared = shared.clone();
                    actix_rt::spawn(accept_peer(tcp, shared, registration));
                }
                None => registry.count("peers_refused"),
            },
            Err(error) => {
                warn!(%error, "accept_failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_peer<P: Platform>(
    tcp: TcpStream,
    shared: Rc<NodeState<P>>,
    mut registration: Registration,
) {
    let pin = registration.pin();
    let served = channel::accept(tcp, |sender, receiver| async move {
        serve_peer(shared, &sender, receiver, pin).await;
        sender.close();
    });
    tokio::select! {
        () = served => {}
        // Only while the peer has not said who it is.
        () = registration.closed() => {}
    }
}

/// Serves the channel of another node while this node leads. Otherwise tells
/// the other node which leader is known.
async fn serve_peer<P: Platform>(
    shared: Rc<NodeState<P>>,
    sender: &Sender,
    mut receiver: Receiver,
    pin: Pin,
) {
    let hello = timeout(HELLO_TIMEOUT, receiver.next::<ToLeader>()).await;
    let Ok(Some(ToLeader::Hello { node, life, address, dc, cpu_millis })) =
        hello
    else {
        return;
    };
    pin.set(true);
    receiver.trust();
    let known: Vec<SocketAddr> =
        shared.peers.borrow().iter().copied().collect();
    shared.peers.borrow_mut().insert(address);
    let lead = shared.lead.borrow().as_ref().map(LeaderHandle::clone);
    let leader = shared.leader();
    let (Some(lead), Some(leader)) = (lead, leader.clone()) else {
        let leader = leader.filter(|leader| leader.life != life);
        sender.send(&ToNode::NotLeading(leader));
        // The peer closes the channel once it has read the message.
        let _ = timeout(HELLO_TIMEOUT, receiver.next::<ToLeader>()).await;
        return;
    };
    sender.send(&ToNode::Welcome(leader, known));
    let (peer, relay) = lead.add_peer(node, dc, cpu_millis, sender.clone());
    let mut policy_outdated = false;
    loop {
        let message = timeout(PEER_TIMEOUT, receiver.next::<ToLeader>()).await;
        let Ok(Some(message)) = message else { break };
        relay.record_message();
        match message {
            ToLeader::Ordered(id, answer) => relay.complete_order(id, answer),
            ToLeader::Ask(id, caller, request) => {
                lead.ask_for_peer(peer, id, caller, request);
            }
            ToLeader::Policy(value) => shared.learn_policy(&value),
            ToLeader::Cordons(cordons) => shared.learn_cordons(cordons),
            ToLeader::Advised(call, answer) => {
                lead.report_advice(call, answer)
            }
            ToLeader::Ping { policy: version, store_silent } => {
                lead.set_store_silence(peer, store_silent);
                let sure = reachability::is_confirmed(lead.confirmed_at());
                let own_version = shared.policy_version();
                let confirmed =
                    own_version.filter(|_| shared.may_confirm_policy());
                sender.send(&ToNode::Pong { sure, policy: confirmed });
                if version > own_version && shared.take_policy_request_permit()
                {
                    sender.send(&ToNode::PolicyWanted);
                }
                if version >= own_version {
                    policy_outdated = false;
                } else if std::mem::replace(&mut policy_outdated, true) {
                    // The node was outdated at the previous ping already, so
                    // it has had time to read the policy from the store.
                    if let Some(value) = shared.raw_policy() {
                        sender.send(&ToNode::Policy(value.to_vec()));
                    }
                }
            }
            ToLeader::Hello { .. } => break,
        }
        if lead.has_ended() {
            break;
        }
    }
    lead.remove_peer(peer, &relay);
}

/// How long a leader waits for advice that a node obtains.
pub const ADVICE_TIMEOUT_MS: Millis = ADVICE_TIMEOUT.as_millis() as Millis;
