/*!
Sends orders to executors, and reports the results to the scheduler.

Lease renewals are sent at once: there are few for each executor, and without
them it counts as silent. Other orders go through an [`OrderQueue`].
*/

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::ExecutorIndex;
use puffinknot_core::jobs::{Event, ExecutorInfo, Mechanism, OrderFailure};
use tokio::time::timeout;

use super::routes::Routes;
use super::{Input, LeaderHandle};
use crate::cell::call_slots::Priority;
use crate::cell::call_timeout::CallTimeout;
use crate::cell::node::NodeState;
use crate::cell::order::{Answer, Order};
use crate::cell::order_queue::OrderQueue;
use crate::cell::ports::Platform;
use crate::clock;

/// How much longer than its timeout the answer to an order is awaited. An
/// answer that a full link has delayed still tells the result of the order,
/// and its connection can be reused. Otherwise the leader would have to ask
/// again over a new connection, which would fill the link further.
const LATE_ANSWER_TIMEOUT: Millis = 3_000;

/// Makes the event that reports the answer to an order.
type AnswerEvent = Box<dyn Fn(Answer) -> Event>;

/// An order with all that it takes to send it.
pub(super) struct PendingOrder {
    pub executor: ExecutorIndex,
    pub info: Rc<ExecutorInfo>,
    pub order: Order,
    /// The job specification for the task that is started.
    pub spec: Option<Arc<str>>,
    pub event: AnswerEvent,
}

/// Sends the orders of one leader term.
pub(super) struct OrderSender<P> {
    shared: Rc<NodeState<P>>,
    handle: LeaderHandle,
    routes: Rc<Routes<P>>,
    /// The timeout of orders.
    order_timeout: CallTimeout,
    queue: RefCell<OrderQueue<PendingOrder>>,
}

impl<P: Platform> OrderSender<P> {
    pub fn new(
        shared: Rc<NodeState<P>>,
        handle: LeaderHandle,
        routes: Rc<Routes<P>>,
        order_timeout: CallTimeout,
    ) -> OrderSender<P> {
        let max_open = shared.settings.borrow().resources.max_open_orders();
        let queue = RefCell::new(OrderQueue::new(max_open));
        OrderSender { shared, handle, routes, order_timeout, queue }
    }

    /// Sends an order as soon as not too many others are open.
    pub fn send(self: &Rc<Self>, order: PendingOrder) {
        let priority = order.order.priority();
        if priority == Priority::Renewal {
            let sender = self.clone();
            actix_rt::spawn(async move {
                sender.carry_out(&order, || {}).await;
            });
            return;
        }
        self.queue.borrow_mut().push(order.executor, priority, order);
        self.send_waiting();
    }

    /// Sends the orders that the limits allow.
    fn send_waiting(self: &Rc<Self>) {
        while let Some((executor, order)) = self.open_next() {
            let sender = self.clone();
            actix_rt::spawn(async move {
                let close = || sender.close(executor);
                sender.carry_out(&order, close).await;
            });
        }
    }

    fn open_next(&self) -> Option<(ExecutorIndex, PendingOrder)> {
        // A successor decides anew what is to be ordered.
        if self.handle.has_ended() {
            return None;
        }
        self.queue.borrow_mut().open_next()
    }

    /// Lets another order take the place of one that has a result.
    fn close(self: &Rc<Self>, executor: ExecutorIndex) {
        self.queue.borrow_mut().close(executor);
        self.send_waiting();
    }

    /// Carries an order out, and reports the result: after the timeout that it
    /// is unknown, and the actual result if the answer comes later. Calls
    /// `concluded` after the first of the two.
    async fn carry_out(&self, pending: &PendingOrder, concluded: impl Fn()) {
        let PendingOrder { info, order, spec, event, .. } = pending;
        let wait = order.wait();
        let within = wait + self.order_timeout.current();
        let late = match self.shared.is_enabled(Mechanism::LateAnswers) {
            true => LATE_ANSWER_TIMEOUT,
            false => 0,
        };
        let sent_at = clock::mono();
        let spec = spec.clone().unwrap_or_else(|| Arc::from(""));
        let call = self.routes.send(info, order, &spec, within + late);
        let mut call = std::pin::pin!(call);
        let limit = Duration::from_millis(within);
        let answer = match timeout(limit, &mut call).await {
            Ok(answer) => {
                concluded();
                answer
            }
            Err(_) => {
                self.order_timeout.record_timeout();
                self.report(event(Err(OrderFailure::Unknown)));
                concluded();
                let answer = call.await;
                if answer == Err(OrderFailure::Unknown) {
                    return;
                }
                self.shared.count("answered_late");
                answer
            }
        };
        let elapsed = clock::mono() - sent_at;
        if order.is_start() {
            self.shared.stats.record_latency("start_order", elapsed);
        }
        if wait == 0 {
            self.record_outcome(&answer, elapsed);
        }
        self.report(event(answer));
    }

    /// Records the result and the duration of an order.
    fn record_outcome(&self, answer: &Answer, elapsed: Millis) {
        match answer {
            Err(OrderFailure::Unknown) => self.order_timeout.record_timeout(),
            // A refused connection says nothing about the time of answers.
            Err(OrderFailure::NotSent) => {}
            _ => self.order_timeout.record_answer(elapsed),
        }
    }

    fn report(&self, event: Event) {
        self.handle.send(Input::Event(event));
    }
}
