/*!
Chooses the routes of orders: through a relay (see [`crate::cell::relay`]) or
directly from this node.
*/

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{ExecutorInfo, Mechanism, OrderFailure};
use tokio::time::timeout;

use crate::cell::node::NodeState;
use crate::cell::order::{certain_answer, Answer, Order};
use crate::cell::ports::Platform;
use crate::cell::relay::{Relay, Relays};
use crate::clock;

/// A cell with more executors than this uses relays. Up to this number, the
/// leader's processor and file descriptors suffice for calls to each executor.
const MAX_DIRECT_EXECUTORS: usize = 128;
/// How many bytes per millisecond the leader's link needs for each executor
/// that it calls itself: four starts a second, each with a job specification
/// of the maximum length, 4 KB.
const BYTES_PER_MS_PER_EXECUTOR: usize = 16;
/// How long a new leader waits for the first relay in a data centre. Nodes
/// connect some tens of milliseconds after they learn of the leader, while
/// direct calls would need a connection to each executor.
const RELAY_WAIT: Millis = 250;
/// How many relays are tried in a row if each disconnects before it answers.
/// More would take longer than the timeout of the order.
const MAX_RELAY_ATTEMPTS: usize = 3;

/// The routes of the orders of one leader term.
pub(super) struct Routes<P> {
    shared: Rc<NodeState<P>>,
    relays: Rc<Relays>,
    token: u64,
    started_at: Millis,
    /// The number of executors in each data centre.
    executors: RefCell<BTreeMap<String, usize>>,
}

/// The route of an order.
enum Route {
    Relay(Rc<Relay>),
    Direct,
}

impl<P: Platform> Routes<P> {
    pub fn new(
        shared: Rc<NodeState<P>>,
        relays: Rc<Relays>,
        token: u64,
    ) -> Routes<P> {
        let started_at = clock::mono();
        let executors = RefCell::default();
        Routes { shared, relays, token, started_at, executors }
    }

    /// Returns the number of executors in the cell.
    pub fn executor_count(&self) -> usize {
        self.executors.borrow().values().sum()
    }

    /// Sets the number of executors in each data centre.
    pub fn set_executors(&self, executors: BTreeMap<String, usize>) {
        *self.executors.borrow_mut() = executors;
    }

    /// Sends an order and waits for the answer for `within` milliseconds.
    pub async fn send(
        &self,
        executor: &ExecutorInfo,
        order: &Order,
        spec: &Arc<str>,
        within: Millis,
    ) -> Answer {
        let mut lost = false;
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let relay = match self.choose(executor).await {
                Route::Relay(relay) => relay,
                Route::Direct => break,
            };
            if self.withholds(executor, order) {
                return certain_answer(Err(OrderFailure::NotSent), lost);
            }
            let attempt = if lost { order.for_retry() } else { order.clone() };
            let since = self.shared.cordons_since();
            let sent = relay
                .order(executor, self.token, attempt, spec, within, since);
            // A relay that hangs neither answers nor disconnects.
            let limit = Duration::from_millis(within);
            match timeout(limit, sent).await {
                Ok(Some(answer)) => return certain_answer(answer, lost),
                Ok(None) => self.shared.count("relays_lost"),
                Err(_) => return Err(OrderFailure::Unknown),
            }
            lost = true;
        }
        if self.withholds(executor, order) {
            return certain_answer(Err(OrderFailure::NotSent), lost);
        }
        let retry = lost.then(|| order.for_retry());
        let order = retry.as_ref().unwrap_or(order);
        let answer =
            order.carry_out(&self.shared, executor, self.token, spec, within);
        certain_answer(answer.await, lost)
    }

    /// Returns whether an order is withheld because its data centre was
    /// cordoned after the order was decided.
    fn withholds(&self, executor: &ExecutorInfo, order: &Order) -> bool {
        let withholds =
            order.is_start() && self.shared.is_cordoned(&executor.dc);
        if withholds {
            self.shared.count("starts_withheld");
        }
        withholds
    }

    /// Chooses the route to an executor.
    async fn choose(&self, executor: &ExecutorInfo) -> Route {
        let deadline = self.started_at + RELAY_WAIT;
        loop {
            let Some(executors) = self.relayed_executors(executor) else {
                return Route::Direct;
            };
            if let Some(relay) = self.relays.choose(executor, executors) {
                return Route::Relay(relay);
            }
            let now = clock::mono();
            if now >= deadline {
                return Route::Direct;
            }
            let remaining = Duration::from_millis(deadline - now);
            let _ = timeout(remaining, self.relays.wait_for_relay()).await;
        }
    }

    /// Returns the number of executors in an executor's data centre if its
    /// orders should go through a relay.
    fn relayed_executors(&self, executor: &ExecutorInfo) -> Option<usize> {
        if !self.shared.is_enabled(Mechanism::Relays) {
            return None;
        }
        let all = self.executor_count();
        let executors = self.executors.borrow();
        let link = self.shared.settings.borrow().link_bytes_per_ms as usize;
        let narrow = all * BYTES_PER_MS_PER_EXECUTOR > link;
        let in_dc = executors.get(&executor.dc).copied().unwrap_or_default();
        (narrow || all > MAX_DIRECT_EXECUTORS).then_some(in_dc)
    }
}
