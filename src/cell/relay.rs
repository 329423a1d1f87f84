/*!
Orders that other nodes carry out for the leader.

A leader that called each executor itself would need a connection to each of
them, and its machine's own link would carry the text of a job once for each
of its tasks. So in a large cell, or behind a narrow link, orders go by
*relays*: the leader sends an order over the channel that it has to a node of
the executor's data centre anyway, and that node makes the call under the
leader's token. The text of a job goes to a relay once.

A relay decides nothing and keeps nothing that the leader or the executors
don't know. To whoever waits for an answer it is a part of the network: an
order may be lost, or carried out late, and executors refuse what is no
longer due. So nothing depends on it, and one that is gone or silent is
replaced by another at once; without any, the leader makes the call itself.
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
use crate::cell::order::{Answer, Order};
use crate::cell::ports::Platform;
use crate::clock;

/// A relay serves up to so many executors, so that the text of a job goes to
/// few nodes, and the orders for a wide step don't wait for one link.
const EXECUTORS_EACH: usize = 64;
/// A node that was not heard for so long, in milliseconds, is no relay until
/// it is: it says every 350 ms that it is there.
const QUIET: Millis = 600;

/// The number of an order on one channel.
pub type OrderId = u64;

/// An order, as it goes to a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayedOrder {
    /// Its number.
    pub id: OrderId,
    /// The token of the leader.
    pub token: u64,
    /// The executor's name.
    pub executor: String,
    /// Which life of it is meant.
    pub born: Option<u64>,
    /// Where it listens.
    pub address: String,
    /// How long its answer is waited for, in milliseconds.
    pub within: Millis,
    /// From which revision of the store on the leader knew the cordons.
    pub cordons_since: Revision,
    /// What it is told.
    pub order: Order,
}

/// What a relay knows of the jobs whose tasks it starts: their texts.
#[derive(Default)]
pub struct JobSpecs {
    by_job: RefCell<HashMap<JobId, Rc<str>>>,
}

impl JobSpecs {
    /// Learns the text of a job.
    pub fn insert(&self, job: JobId, text: String) {
        self.by_job.borrow_mut().insert(job, text.into());
    }

    /// Forgets the text of a job that has ended.
    pub fn remove(&self, job: JobId) {
        self.by_job.borrow_mut().remove(&job);
    }

    fn of(&self, order: &Order) -> Option<Rc<str>> {
        match order {
            Order::Start { task, .. } => {
                self.by_job.borrow().get(&task.step.job).cloned()
            }
            _ => Some(Rc::from("")),
        }
    }
}

/// Carries out an order of the leader's.
pub async fn carry_out<P: Platform>(
    platform: &P,
    texts: &JobSpecs,
    relayed: RelayedOrder,
) -> Answer {
    let Some(text) = texts.of(&relayed.order) else {
        return Err(OrderFailure::NotSent);
    };
    let executor = ExecutorInfo {
        id: relayed.executor,
        born: relayed.born,
        address: relayed.address,
        ..ExecutorInfo::default()
    };
    let RelayedOrder { token, within, order, .. } = relayed;
    order.carry_out(platform, &executor, token, &text, within).await
}

/// A node that may carry out orders, as the leader knows it.
pub struct Relay {
    node: String,
    dc: String,
    cpu_millis: u32,
    sender: Sender,
    /// When it was heard last.
    heard: Cell<Millis>,
    /// The jobs whose texts it knows.
    texts: RefCell<HashSet<JobId>>,
    open: RefCell<HashMap<OrderId, oneshot::Sender<Answer>>>,
    next: Cell<OrderId>,
}

impl Relay {
    /// A node of this data centre that has just been heard.
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
            heard: Cell::new(clock::mono()),
            texts: RefCell::default(),
            open: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Has an order carried out. Returns nothing if the relay is gone before
    /// it has answered.
    pub async fn order(
        &self,
        executor: &ExecutorInfo,
        token: u64,
        order: Order,
        text: &Arc<str>,
        within: Millis,
        cordons_since: Revision,
    ) -> Option<Answer> {
        if let Order::Start { task, .. } = &order {
            let job = task.step.job;
            if self.texts.borrow_mut().insert(job) {
                let text = text.to_string();
                self.sender.send(&ToNode::Text(job, text));
            }
        }
        let id = self.next.get() + 1;
        self.next.set(id);
        let (reply, answer) = oneshot::channel();
        self.open.borrow_mut().insert(id, reply);
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
            self.open.borrow_mut().remove(&id);
            return None;
        }
        answer.await.ok()
    }

    /// The node was heard.
    pub fn record_message(&self) {
        self.heard.set(clock::mono());
    }

    /// The node has answered an order.
    pub fn complete_order(&self, id: OrderId, answer: Answer) {
        if let Some(reply) = self.open.borrow_mut().remove(&id) {
            // Whoever has asked may have given up since.
            let _ = reply.send(answer);
        }
    }

    fn is_heard(&self) -> bool {
        clock::mono() <= self.heard.get() + QUIET
    }

    /// How well it suits an executor: each executor keeps to its relay, and
    /// to its connections, while other relays come and go.
    fn suits(&self, executor: &str) -> u64 {
        let mut hasher = SipHasher13::new();
        self.node.hash(&mut hasher);
        executor.hash(&mut hasher);
        hasher.finish()
    }
}

/// The nodes that may carry out orders.
#[derive(Default)]
pub struct Relays {
    /// By data centre, the larger machines first.
    by_dc: RefCell<HashMap<String, Vec<Rc<Relay>>>>,
    /// Told when a node has connected.
    joined: Notify,
}

impl Relays {
    /// Waits until a node connects.
    pub async fn wait_for_relay(&self) {
        self.joined.notified().await;
    }

    /// A node has connected.
    pub fn add(&self, relay: Rc<Relay>) {
        let mut by_dc = self.by_dc.borrow_mut();
        let relays = by_dc.entry(relay.dc.clone()).or_default();
        relays.retain(|other| other.node != relay.node);
        relays.push(relay);
        relays.sort_by(|a, b| {
            (b.cpu_millis, &a.node).cmp(&(a.cpu_millis, &b.node))
        });
        drop(by_dc);
        self.joined.notify_waiters();
    }

    /// A node has gone. Whoever waits for its answers is told.
    pub fn remove(&self, relay: &Relay) {
        let mut by_dc = self.by_dc.borrow_mut();
        if let Some(relays) = by_dc.get_mut(&relay.dc) {
            relays.retain(|other| !std::ptr::eq(&**other, relay));
        }
        relay.open.borrow_mut().clear();
    }

    /// The relay for an executor, if any is heard. `executors` is the number
    /// of executors in its data centre.
    pub fn choose(
        &self,
        executor: &ExecutorInfo,
        executors: usize,
    ) -> Option<Rc<Relay>> {
        let by_dc = self.by_dc.borrow();
        let relays = by_dc.get(&executor.dc)?;
        let enough = executors.div_ceil(EXECUTORS_EACH).max(1);
        let heard = relays.iter().filter(|relay| relay.is_heard());
        let chosen = heard
            .take(enough)
            .max_by_key(|relay| relay.suits(&executor.id))?;
        Some(chosen.clone())
    }

    /// A job has ended: its text is needed no more.
    pub fn forget_job(&self, job: JobId) {
        for relay in self.by_dc.borrow().values().flatten() {
            if relay.texts.borrow_mut().remove(&job) {
                relay.sender.send(&ToNode::Forget(job));
            }
        }
    }
}
