/*!
Relays: nodes that carry out orders for the leader.

A leader that calls each executor itself needs a connection to each of them,
and the link of its machine carries the job specification once for each task.
In a large cell, or behind a narrow link, orders therefore go through *relays*:
the leader sends an order over its existing channel to a node in the executor's
data centre, and that node makes the call under the leader's token. A job
specification is sent to a relay once.

A relay decides nothing and has no state that the leader or the executors lack.
To the caller it is a part of the network: an order may be lost or carried out
late, and executors refuse orders that have expired. Nothing depends on a
single relay: one that is gone or silent is replaced by another at once, and if
there is none, the leader makes the call itself.
*/

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::{ExecutorInfo, JobId, OrderFailure};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use tokio::sync::{oneshot, Notify};

use crate::cell::channel::Sender;
use crate::cell::link::ToNode;
use crate::cell::node::NodeState;
use crate::cell::order::{Answer, Order};
use crate::cell::ports::Platform;
use crate::clock;

/// How many executors one relay serves at most. This sends a job specification
/// to few nodes, and keeps the orders for a wide step off a single link.
const EXECUTORS_PER_RELAY: usize = 64;
/// A node that has sent nothing for this long is not used as a relay until it
/// sends something. Nodes send a heartbeat every 350 ms.
const HEARTBEAT_TIMEOUT: Millis = 600;

/// The number of an order on one channel.
pub type OrderId = u64;

/// An order as it is sent to a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// The number of the order.
    pub id: OrderId,
    /// The token of the leader.
    pub token: u64,
    /// The executor's name.
    pub executor: String,
    /// The incarnation that the order is meant for.
    pub born: Option<u64>,
    /// The address that the executor listens on.
    pub address: String,
    /// How long to wait for the answer of the executor.
    pub within: Millis,
    /// The revision of the store as of which the leader knew the cordons.
    pub cordons_since: Revision,
    /// The order.
    pub order: Order,
}

/// The specifications of the jobs whose tasks a relay starts.
#[derive(Default)]
pub struct JobSpecs {
    by_job: RefCell<HashMap<JobId, Rc<str>>>,
}

impl JobSpecs {
    /// Stores the specification of a job.
    pub fn insert(&self, job: JobId, spec: String) {
        self.by_job.borrow_mut().insert(job, spec.into());
    }

    /// Removes the specification of a job that has ended.
    pub fn remove(&self, job: JobId) {
        self.by_job.borrow_mut().remove(&job);
    }

    /// Returns the specification that an order needs, empty if it needs none.
    fn for_order(&self, order: &Order) -> Option<Rc<str>> {
        match order {
            Order::Start { task, .. } => {
                self.by_job.borrow().get(&task.step.job).cloned()
            }
            _ => Some(Rc::from("")),
        }
    }
}

/// Carries out an order of the leader.
///
/// # Errors
///
/// Fails if the order is not known to be carried out, and with
/// [`OrderFailure::NotSent`] if the job specification is missing.
pub async fn carry_out<P: Platform>(
    node: &NodeState<P>,
    specs: &JobSpecs,
    relayed: RelayedOrder,
) -> Answer {
    let Some(spec) = specs.for_order(&relayed.order) else {
        return Err(OrderFailure::NotSent);
    };
    let executor = ExecutorInfo {
        id: relayed.executor,
        born: relayed.born,
        address: relayed.address,
        ..ExecutorInfo::default()
    };
    let RelayedOrder { token, within, order, .. } = relayed;
    order.carry_out(node, &executor, token, &spec, within).await
}

/// The leader's view of a node that can carry out orders.
pub struct Relay {
    node: String,
    dc: String,
    cpu_millis: u32,
    sender: Sender,
    /// When the node last sent anything.
    last_heard: Cell<Millis>,
    /// The jobs whose specifications the node has.
    known_specs: RefCell<HashSet<JobId>>,
    /// The orders that the node has not answered.
    pending: RefCell<HashMap<OrderId, oneshot::Sender<Answer>>>,
    /// The number of the last order.
    last_id: Cell<OrderId>,
}

impl Relay {
    /// Returns a node that has just connected.
    pub fn new(
        node: String,
        dc: String,
        cpu_millis: u32,
        sender: Sender,
    ) -> Relay {
        Relay {
            node,
            dc,
            cpu_millis,
            sender,
            last_heard: Cell::new(clock::mono()),
            known_specs: RefCell::default(),
            pending: RefCell::default(),
            last_id: Cell::default(),
        }
    }

    /// Sends an order to the relay and waits for the answer. Returns `None` if
    /// the relay disconnects first.
    pub async fn order(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        order: Order,
        spec: &Arc<str>,
        within: Millis,
        cordons_since: Revision,
    ) -> Option<Answer> {
        if let Order::Start { task, .. } = &order {
            let job = task.step.job;
            if self.known_specs.borrow_mut().insert(job) {
                let spec = spec.to_string();
                self.sender.send(&ToNode::Text(job, spec));
            }
        }
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (reply, answer) = oneshot::channel();
        self.pending.borrow_mut().insert(id, reply);
        let message = ToNode::Order(RelayedOrder {
            id,
            token,
            executor: executor.id.clone(),
            born: executor.born,
            address: executor.address.clone(),
            within,
            cordons_since,
            order,
        });
        if !self.sender.send(&message) {
            self.pending.borrow_mut().remove(&id);
            return None;
        }
        answer.await.ok()
    }

    /// Records that the node has sent something.
    pub fn record_message(&self) {
        self.last_heard.set(clock::mono());
    }

    /// Passes on the answer to an order.
    pub fn complete_order(&self, id: OrderId, answer: Answer) {
        if let Some(reply) = self.pending.borrow_mut().remove(&id) {
            // The caller may have given up.
            let _ = reply.send(answer);
        }
    }

    fn is_alive(&self) -> bool {
        clock::mono() <= self.last_heard.get() + HEARTBEAT_TIMEOUT
    }

    /// Returns the rank of this relay for an executor (rendezvous hashing): an
    /// executor keeps its relay and its connections while other relays come
    /// and go.
    fn affinity(&self, executor: &str) -> u64 {
        let mut hasher = SipHasher13::new();
        self.node.hash(&mut hasher);
        executor.hash(&mut hasher);
        hasher.finish()
    }
}

/// The nodes that can carry out orders.
#[derive(Default)]
pub struct Relays {
    /// The nodes by data centre, those with more processor time first.
    by_dc: RefCell<HashMap<String, Vec<Rc<Relay>>>>,
    /// Notified when a node connects.
    added: Notify,
}

impl Relays {
    /// Waits until a node connects, in any data centre.
    pub async fn wait_for_relay(&self) {
        self.added.notified().await;
    }

    /// Adds a node that has connected, in place of its earlier connection.
    pub fn add(&self, relay: Rc<Relay>) {
        let mut by_dc = self.by_dc.borrow_mut();
        let relays = by_dc.entry(relay.dc.clone()).or_default();
        relays.retain(|other| other.node != relay.node);
        relays.push(relay);
        relays.sort_by(|a, b| {
            (b.cpu_millis, &a.node).cmp(&(a.cpu_millis, &b.node))
        });
        drop(by_dc);
        self.added.notify_waiters();
    }

    /// Removes a node that has disconnected, and wakes those who wait for its
    /// answers.
    pub fn remove(&self, relay: &Relay) {
        let mut by_dc = self.by_dc.borrow_mut();
        if let Some(relays) = by_dc.get_mut(&relay.dc) {
            relays.retain(|other| !std::ptr::eq(&**other, relay));
        }
        relay.pending.borrow_mut().clear();
    }

    /// Returns the relay for an executor, if any is alive. `executors` is the
    /// number of executors in its data centre.
    pub fn choose(
        &self,
        executor: &ExecutorInfo,
        executors: usize,
    ) -> Option<Rc<Relay>> {
        let by_dc = self.by_dc.borrow();
        let relays = by_dc.get(&executor.dc)?;
        let needed = executors.div_ceil(EXECUTORS_PER_RELAY).max(1);
        let alive = relays.iter().filter(|relay| relay.is_alive());
        let chosen = alive
            .take(needed)
            .max_by_key(|relay| relay.affinity(&executor.id))?;
        Some(chosen.clone())
    }

    /// Has all relays forget the specification of a job that has ended.
    pub fn forget_job(&self, job: JobId) {
        for relay in self.by_dc.borrow().values().flatten() {
            if relay.known_specs.borrow_mut().remove(&job) {
                relay.sender.send(&ToNode::Forget(job));
            }
        }
    }
}
