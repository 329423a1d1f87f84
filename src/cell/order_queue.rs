/*!
Limits how many orders the leader has open.

An order that is carried out takes far more memory than one that is only
decided: it has timers, a request, and the buffers of a connection. One
decision may lead to any number of orders, such as the starts of a wide gang,
or the stops of a job that is cancelled. So a limited number is open at each
executor, and in all. The others wait here, in the order of their
[`Priority`], and executors take turns.
*/

use std::collections::{BTreeMap, HashMap, VecDeque};

use puffinknot_core::jobs::message::ExecutorIndex;

use crate::cell::call_slots::Priority;

/// The most orders that are open at one executor. A node sends fewer calls at
/// a time, see [`MAX_CALLS`], and does not send those that wait for too long.
/// The rest are on their way to the node that calls the executor.
///
/// [`MAX_CALLS`]: crate::cell::call_slots::MAX_CALLS
pub const MAX_OPEN_PER_EXECUTOR: usize = 8;

/// Orders of type `T` that are open or wait.
#[derive(Debug)]
pub struct OrderQueue<T> {
    max_open: usize,
    open: usize,
    executors: HashMap<ExecutorIndex, ExecutorOrders<T>>,
    /// The executors with a waiting order that their own limit allows, in the
    /// order of their turns.
    turns: VecDeque<ExecutorIndex>,
    last_number: u64,
}

/// The orders to one executor.
#[derive(Debug)]
struct ExecutorOrders<T> {
    open: usize,
    waiting: BTreeMap<(Priority, u64), T>,
    /// Whether it is among those that take turns.
    has_turn: bool,
}

impl<T> ExecutorOrders<T> {
    fn may_take_turn(&self) -> bool {
        !self.has_turn
            && !self.waiting.is_empty()
            && self.open < MAX_OPEN_PER_EXECUTOR
    }
}

impl<T> OrderQueue<T> {
    /// A queue that lets this many orders be open in all, at least one.
    pub fn new(max_open: usize) -> OrderQueue<T> {
        OrderQueue {
            max_open: max_open.max(1),
            open: 0,
            executors: HashMap::new(),
            turns: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Adds an order to an executor.
    pub fn push(
        &mut self,
        executor: ExecutorIndex,
        priority: Priority,
        order: T,
    ) {
        self.last_number += 1;
        let orders = self.executors.entry(executor).or_insert_with(|| {
            let waiting = BTreeMap::new();
            ExecutorOrders { open: 0, waiting, has_turn: false }
        });
        orders.waiting.insert((priority, self.last_number), order);
        self.take_turn(executor);
    }

    /// Opens the next order that the limits allow.
    pub fn open_next(&mut self) -> Option<(ExecutorIndex, T)> {
        if self.open >= self.max_open {
            return None;
        }
        let executor = self.turns.pop_front()?;
        let orders = self.executors.get_mut(&executor)?;
        orders.has_turn = false;
        let (_, order) = orders.waiting.pop_first()?;
        orders.open += 1;
        self.open += 1;
        self.take_turn(executor);
        Some((executor, order))
    }

    /// Records that an open order to an executor has a result.
    pub fn close(&mut self, executor: ExecutorIndex) {
        let Some(orders) = self.executors.get_mut(&executor) else { return };
        orders.open -= 1;
        self.open -= 1;
        if orders.open == 0 && orders.waiting.is_empty() {
            self.executors.remove(&executor);
            return;
        }
        self.take_turn(executor);
    }

    /// Returns how many orders are open.
    pub fn open_count(&self) -> usize {
        self.open
    }

    fn take_turn(&mut self, executor: ExecutorIndex) {
        let Some(orders) = self.executors.get_mut(&executor) else { return };
        if orders.may_take_turn() {
            orders.has_turn = true;
            self.turns.push_back(executor);
        }
    }
}
