/*!
Which way orders go: by a relay, see [`crate::cell::relay`], or straight from
this node.
*/

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{ExecutorInfo, Mechanism, OrderFailure};
use tokio::time::timeout;

use crate::cell::node::Shared;
use crate::cell::order::{known, Answer, Order};
use crate::cell::ports::Platform;
use crate::cell::relay::{Relay, Relays};
use crate::clock;

/// A cell with more executors than this is served by relays; up to it the
/// leader's processor and descriptors bear a call to each.
const MOST_DIRECT: usize = 128;
/// So many bytes a millisecond should the leader's link have for each executor
/// that it calls itself: for four starts of 4 KB a second, the longest text of
/// a job.
const BYTES_PER_MS_EACH: usize = 16;
/// How long a new leader waits for the first node of a data centre, in
/// milliseconds. Nodes connect some tens of milliseconds after they hear of
/// it; calls of its own would cost it a connection for each executor.
const FIRST_RELAY: Millis = 250;
/// So many relays are tried, each of which goes before it has answered. More
/// would take longer than the answer is waited for.
const TRIES: usize = 3;

/// The ways of one tenure's orders.
pub(super) struct Ways<P> {
    shared: Rc<Shared<P>>,
    relays: Rc<Relays>,
    token: u64,
    begun: Millis,
    /// The number of executors in each data centre.
    executors: RefCell<BTreeMap<String, usize>>,
}

/// One way.
enum Way {
    Relay(Rc<Relay>),
    Direct,
}

impl<P: Platform> Ways<P> {
    pub fn new(
        shared: Rc<Shared<P>>,
        relays: Rc<Relays>,
        token: u64,
    ) -> Ways<P> {
        let begun = clock::mono();
        let executors = RefCell::default();
        Ways { shared, relays, token, begun, executors }
    }

    /// The number of executors.
    pub fn executors(&self) -> usize {
        self.executors.borrow().values().sum()
    }

    /// Takes in how many executors each data centre has.
    pub fn set_executors(&self, executors: BTreeMap<String, usize>) {
        *self.executors.borrow_mut() = executors;
    }

    /// Has an order carried out, and waits for the answer for so many
    /// milliseconds.
    pub async fn order(
        &self,
        executor: &ExecutorInfo,
        order: &Order,
        text: &Arc<str>,
        within: Millis,
    ) -> Answer {
        let mut lost = false;
        for _ in 0..TRIES {
            let relay = match self.choose(executor).await {
                Way::Relay(relay) => relay,
                Way::Direct => break,
            };
            if self.withholds(executor, order) {
                return known(Err(OrderFailure::NotSent), lost);
            }
            let given = if lost { order.again() } else { order.clone() };
            let since = self.shared.cordons_since();
            let sent =
                relay.order(executor, self.token, given, text, within, since);
            // A relay that stands still answers nothing.
            let most = Duration::from_millis(within);
            match timeout(most, sent).await {
                Ok(Some(answer)) => return known(answer, lost),
                Ok(None) => self.shared.count("relays_lost"),
                Err(_) => return Err(OrderFailure::Unknown),
            }
            lost = true;
        }
        if self.withholds(executor, order) {
            return known(Err(OrderFailure::NotSent), lost);
        }
        let platform = &*self.shared.platform;
        let again = lost.then(|| order.again());
        let order = again.as_ref().unwrap_or(order);
        let answer =
            order.carry_out(platform, executor, self.token, text, within);
        known(answer.await, lost)
    }

    /// Whether an order is not sent, since operators have wanted its data
    /// centre to take no new work after it was decided.
    fn withholds(&self, executor: &ExecutorInfo, order: &Order) -> bool {
        let withholds =
            order.is_start() && self.shared.is_cordoned(&executor.dc);
        if withholds {
            self.shared.count("starts_withheld");
        }
        withholds
    }

    async fn choose(&self, executor: &ExecutorInfo) -> Way {
        let until = self.begun + FIRST_RELAY;
        loop {
            let Some(executors) = self.relayed(executor) else {
                return Way::Direct;
            };
            if let Some(relay) = self.relays.choose(executor, executors) {
                return Way::Relay(relay);
            }
            let now = clock::mono();
            if now >= until {
                return Way::Direct;
            }
            let rest = Duration::from_millis(until - now);
            let _ = timeout(rest, self.relays.joined()).await;
        }
    }

    /// The number of executors in an executor's data centre, if its orders
    /// should go by a relay.
    fn relayed(&self, executor: &ExecutorInfo) -> Option<usize> {
        if !self.shared.is_enabled(Mechanism::Relays) {
            return None;
        }
        let all = self.executors();
        let executors = self.executors.borrow();
        let link = self.shared.settings.borrow().link_bytes_per_ms as usize;
        let narrow = all * BYTES_PER_MS_EACH > link;
        let here = executors.get(&executor.dc).copied().unwrap_or_default();
        (narrow || all > MOST_DIRECT).then_some(here)
    }
}
