/*!
Between nodes: each node keeps a channel to the leader.

On it go clients' requests to the leader and their answers back, and the
leader's calls for advice and the advice. A node that the store turns away
learns over it who leads and which policy is in force; a leader that is turned
away, which data centres take no new work.
*/

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::message::{AdviceFailure, AdvisedExecutor, CallId};
use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::{
    Caller, Cordons, JobId, OrderFailure, Outcome, Request, RequestId,
};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{interval, sleep, timeout, Instant};
use tracing::{info, warn};

use crate::cell::call_timeout::link_delay;
use crate::cell::channel::{self, OpenError, Receiver, Sender};
use crate::cell::leader::LeaderHandle;
use crate::cell::node::Shared;
use crate::cell::order::Answer;
use crate::cell::ports::{Leader, Platform};
use crate::cell::reach;
use crate::cell::relay::{self, JobSpecs, OrderId, RelayedOrder};
use crate::cell::search::Search;
use crate::cell::store_watch::{accept_leadership, replace_leader};

/// How often a node tells the leader that it is there.
const PING: Duration = Duration::from_millis(250);
/// A node that is silent for this long is given up by the leader.
const SILENCE: Duration = Duration::from_millis(1_100);
/// A leader that is silent for this long is looked for anew, over another
/// connection: this one may have fallen silent while others work. Two pings
/// and the time that a machine may stand still, on a quick link; what is
/// queued on a narrow one is added.
const LEADER_SILENCE: Duration = Duration::from_millis(650);
/// The pause before the next attempt to reach a leader.
const PAUSE: Duration = Duration::from_millis(100);
/// A new peer must introduce itself within this time.
const HELLO: Duration = Duration::from_millis(1_000);
/// Advice must be there within this time.
const ADVICE: Duration = Duration::from_millis(5_000);

/// What a node tells the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToLeader {
    /// The first message.
    Hello {
        /// The node's name.
        node: String,
        /// A number that differs for each start of it.
        life: u64,
        /// Where other nodes connect to it.
        address: SocketAddr,
        /// Its data centre.
        dc: String,
        /// Its processor time, in thousandths of a core.
        cpu_millis: u32,
    },
    /// A client's request.
    Ask(RequestId, Caller, Request),
    /// The policy as it stands in the store.
    Policy(Vec<u8>),
    /// The data centres that take no new work.
    Cordons(Cordons),
    /// Advice.
    Advised(CallId, Result<Vec<AdvisedExecutor>, AdviceFailure>),
    /// The answer to an order.
    Ordered(OrderId, Answer),
    /// The node is there.
    Ping {
        /// The version of the policy that it has.
        policy: Option<u64>,
        /// For how long the store has not answered it, in milliseconds.
        store_silent: Millis,
    },
}

/// What the leader tells a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToNode {
    /// The node is connected to the leader. These are the others.
    Welcome(Leader, Vec<SocketAddr>),
    /// The node asked leads nobody; this one does, as far as it knows.
    NotLeading(Option<Leader>),
    /// The answer to a request.
    Reply(RequestId, Outcome),
    /// Ask for advice.
    Advise(CallId, StepKey, Vec<String>),
    /// Carry out an order.
    Order(RelayedOrder),
    /// The text of a job, ahead of the first order to start a task of it.
    Text(JobId, String),
    /// The text of this job is needed no more.
    Forget(JobId),
    /// Lead in my place. My key is at this revision.
    Lead(Revision),
    /// The policy as it stands in the store.
    Policy(Vec<u8>),
    /// The leader is there, and is sure to lead or not.
    Pong {
        /// Whether the store has confirmed it lately.
        sure: bool,
        /// The version of the policy that it has.
        policy: Option<u64>,
    },
    /// The node has a newer policy than the leader, which wants it.
    PolicyWanted,
}

/// The way to the leader.
#[derive(Clone)]
pub struct LinkHandle {
    sender: Sender,
    open: Rc<RefCell<HashMap<RequestId, oneshot::Sender<Outcome>>>>,
    next: Rc<Cell<RequestId>>,
}

impl LinkHandle {
    fn new(sender: Sender) -> LinkHandle {
        LinkHandle { sender, open: Rc::default(), next: Rc::default() }
    }

    /// Passes a request on to the leader.
    pub fn ask(
        &self,
        caller: Caller,
        request: Request,
        reply: oneshot::Sender<Outcome>,
    ) {
        let id = self.next.get() + 1;
        self.next.set(id);
        let mut open = self.open.borrow_mut();
        open.retain(|_, reply| !reply.is_closed());
        open.insert(id, reply);
        drop(open);
        if !self.sender.send(&ToLeader::Ask(id, caller, request)) {
            // The channel is gone, and with it the request.
            self.answer(id, Outcome::Unknown);
        }
    }

    /// Tells the leader which data centres take no new work.
    pub fn tell_cordons(&self, cordons: Cordons) {
        // The next leader is told when the channel to it is made.
        let _ = self.sender.send(&ToLeader::Cordons(cordons));
    }

    fn answer(&self, id: RequestId, outcome: Outcome) {
        if let Some(reply) = self.open.borrow_mut().remove(&id) {
            let _ = reply.send(outcome);
        }
    }

    /// Nobody will answer what is open any more.
    fn give_up(&self) {
        for (_, reply) in self.open.borrow_mut().drain() {
            let _ = reply.send(Outcome::Unknown);
        }
    }
}

/// Keeps a channel to the leader, for ever.
pub async fn keep<P: Platform>(shared: Rc<Shared<P>>) {
    let mut search = Search::default();
    loop {
        if shared.lead.borrow().is_some() {
            let _ = timeout(PAUSE, shared.leader_changed.notified()).await;
            continue;
        }
        if let Some(address) = target(&shared, &mut search) {
            connect(&shared, address).await;
        }
        let _ = timeout(PAUSE, shared.leader_changed.notified()).await;
    }
}

/// The node to be tried next on the way to the leader.
fn target<P: Platform>(
    shared: &Shared<P>,
    search: &mut Search,
) -> Option<SocketAddr> {
    let own = shared.settings.borrow().control;
    let leader = shared.leader().filter(|leader| leader.address != own);
    let peers = shared.peers.borrow();
    let others: Vec<SocketAddr> =
        peers.iter().copied().filter(|peer| *peer != own).collect();
    search.next(leader.as_ref(), &others)
}

/// Waits until another leader is known than now, at another address.
async fn elsewhere<P: Platform>(shared: &Shared<P>, address: SocketAddr) {
    let known = shared.leader();
    loop {
        let changed = shared.leader_changed.notified();
        let leader = shared.leader();
        let at_hand = leader.as_ref().map(|leader| leader.address);
        if leader != known && at_hand != Some(address) {
            return;
        }
        changed.await;
    }
}

/// Nobody listens at an address. If it is the leader's, its process is gone
/// while its lease still runs; this node may lead in its place.
fn nobody_listens<P: Platform>(shared: &Rc<Shared<P>>, address: SocketAddr) {
    let Some(leader) = shared.leader() else { return };
    if leader.address == address {
        actix_rt::spawn(replace_leader(shared.clone(), leader.revision));
    }
}

async fn connect<P: Platform>(shared: &Rc<Shared<P>>, address: SocketAddr) {
    let opened = tokio::select! {
        opened = channel::open(address) => opened,
        // Somebody else leads than was thought: a node that does not answer
        // must not hold up the way to it.
        () = elsewhere(shared, address) => return,
        // What was tried while the node was cut off may never succeed.
        () = shared.reach.regained() => return,
    };
    let (sender, mut receiver) = match opened {
        Ok(channel) => channel,
        Err(OpenError::NobodyListens) => {
            return nobody_listens(shared, address)
        }
        Err(OpenError::Unreachable) => return,
    };
    let hello = {
        let settings = shared.settings.borrow();
        ToLeader::Hello {
            node: settings.node.clone(),
            life: shared.life,
            address: settings.control,
            dc: settings.dc.clone(),
            cpu_millis: settings.cpu_millis,
        }
    };
    sender.send(&hello);
    let first = timeout(HELLO, receiver.next::<ToNode>()).await;
    match first {
        Ok(Some(ToNode::Welcome(leader, peers))) => {
            shared.peers.borrow_mut().extend(peers);
            let known = shared.leader().map(|known| known.revision);
            if known > Some(leader.revision) {
                // It does not know yet that it leads no more.
                shared.count("older_leaders_left");
                return sender.close();
            }
            shared.learn_leader(leader);
            info!(%address, "leader_linked");
            let link = LinkHandle::new(sender);
            link.tell_cordons(shared.cordons());
            *shared.link.borrow_mut() = Some(link.clone());
            shared.reach.heard(true);
            shared.leader_changed.notify_waiters();
            follow(shared, &link, receiver).await;
            *shared.link.borrow_mut() = None;
            shared.reach.lost();
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

/// Serves the channel to the leader until it ends, or a newer leader is
/// known, or this node leads.
async fn follow<P: Platform>(
    shared: &Rc<Shared<P>>,
    link: &LinkHandle,
    mut receiver: Receiver,
) {
    let revision = shared.leader().map(|leader| leader.revision);
    let texts = Rc::new(JobSpecs::default());
    let extra = link_delay(shared.settings.borrow().link_bytes_per_ms);
    let silence = LEADER_SILENCE + Duration::from_millis(extra);
    let mut ping = interval(PING);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            message = receiver.next::<ToNode>() => {
                let Some(message) = message else { return };
                heard = Instant::now();
                take(shared, link, &texts, message);
            }
            _ = shared.leader_changed.notified() => {
                let known = shared.leader().map(|leader| leader.revision);
                if known != revision || shared.lead.borrow().is_some() {
                    return;
                }
            }
            _ = ping.tick() => {
                let policy = shared.policy().map(|policy| policy.version);
                let now = crate::clock::mono();
                let store_silent =
                    now.saturating_sub(shared.store.answered());
                let ping = ToLeader::Ping { policy, store_silent };
                let sent = link.sender.send(&ping);
                if !sent || heard.elapsed() > silence {
                    return;
                }
            }
        }
    }
}

fn take<P: Platform>(
    shared: &Rc<Shared<P>>,
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
                let asked_at = crate::clock::mono();
                let advice = platform.advise(step, &executors);
                let answer = timeout(ADVICE, advice).await;
                let answer = answer.unwrap_or(Err(AdviceFailure::Unknown));
                let took = crate::clock::mono() - asked_at;
                shared.stats.took("advice", took);
                sender.send(&ToLeader::Advised(call, answer));
            });
        }
        ToNode::Order(relayed) => {
            let platform = shared.platform.clone();
            let sender = link.sender.clone();
            let texts = texts.clone();
            shared.count("orders_relayed");
            let shared = shared.clone();
            actix_rt::spawn(async move {
                let id = relayed.id;
                let answer = match shared.withholds(&relayed) {
                    true => Err(OrderFailure::NotSent),
                    false => {
                        relay::carry_out(&*platform, &texts, relayed).await
                    }
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
            shared.reach.heard(sure);
            if sure {
                shared.reach.heard_policy(policy);
            }
        }
        ToNode::Welcome(..) | ToNode::NotLeading(_) => {}
    }
}

/// Accepts channels of other nodes, for ever.
pub async fn serve<P: Platform>(listener: TcpListener, shared: Rc<Shared<P>>) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let shared = shared.clone();
                actix_rt::spawn(welcome(tcp, shared));
            }
            Err(error) => {
                warn!(%error, "accept_failed");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn welcome<P: Platform>(tcp: TcpStream, shared: Rc<Shared<P>>) {
    channel::accept(tcp, |sender, receiver| async move {
        serve_peer(shared, &sender, receiver).await;
        sender.close();
    })
    .await;
}

async fn serve_peer<P: Platform>(
    shared: Rc<Shared<P>>,
    sender: &Sender,
    mut receiver: Receiver,
) {
    let hello = timeout(HELLO, receiver.next::<ToLeader>()).await;
    let Ok(Some(ToLeader::Hello { node, life, address, dc, cpu_millis })) =
        hello
    else {
        return;
    };
    let known: Vec<SocketAddr> =
        shared.peers.borrow().iter().copied().collect();
    shared.peers.borrow_mut().insert(address);
    let lead = shared.lead.borrow().as_ref().map(LeaderHandle::clone);
    let leader = shared.leader();
    let (Some(lead), Some(leader)) = (lead, leader.clone()) else {
        let leader = leader.filter(|leader| leader.life != life);
        sender.send(&ToNode::NotLeading(leader));
        // The other side closes once it has read this.
        let _ = timeout(HELLO, receiver.next::<ToLeader>()).await;
        return;
    };
    sender.send(&ToNode::Welcome(leader, known));
    let (peer, relay) = lead.add_peer(node, dc, cpu_millis, sender.clone());
    let mut behind = false;
    loop {
        let message = timeout(SILENCE, receiver.next::<ToLeader>()).await;
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
                let sure = reach::is_sure(lead.confirmed_at());
                let ours = shared.policy().map(|policy| policy.version);
                sender.send(&ToNode::Pong { sure, policy: ours });
                if version > ours && shared.asks_for_policy() {
                    sender.send(&ToNode::PolicyWanted);
                }
                if version >= ours {
                    behind = false;
                } else if std::mem::replace(&mut behind, true) {
                    // It has had time to learn it from the store.
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

/// How long a leader waits for the advice that a node asks for.
pub const ADVICE_WITHIN: Millis = ADVICE.as_millis() as Millis;
