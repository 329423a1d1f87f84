//! The limits on open orders of the leader.

use std::collections::BTreeSet;

use puffinknot::cell::call_slots::Priority;
use puffinknot::cell::order_queue::{OrderQueue, MAX_OPEN_PER_EXECUTOR};

/// Opens all orders that the limits allow.
fn open_all(queue: &mut OrderQueue<u32>) -> Vec<(u32, u32)> {
    std::iter::from_fn(|| queue.open_next()).collect()
}

/// Guards against a leader that has the orders for all members of a gang open
/// at once.
#[test]
fn a_limited_number_of_orders_is_open_at_an_executor() {
    let mut queue = OrderQueue::new(usize::MAX);
    let count = 3 * MAX_OPEN_PER_EXECUTOR as u32;
    for order in 0..count {
        queue.push(1, Priority::Start, order);
    }
    let mut sent = open_all(&mut queue);
    assert_eq!(sent.len(), MAX_OPEN_PER_EXECUTOR);
    while queue.open_count() > 0 {
        queue.close(1);
        sent.extend(open_all(&mut queue));
        assert!(queue.open_count() <= MAX_OPEN_PER_EXECUTOR);
    }
    let orders: Vec<u32> = sent.iter().map(|(_, order)| *order).collect();
    assert_eq!(orders, (0..count).collect::<Vec<u32>>());
}

#[test]
fn a_limited_number_of_orders_is_open_in_all() {
    const MAX_OPEN: usize = 10;
    let mut queue = OrderQueue::new(MAX_OPEN);
    for executor in 0..100 {
        queue.push(executor, Priority::Start, 0);
        queue.push(executor, Priority::Start, 1);
    }
    let mut sent = BTreeSet::new();
    loop {
        sent.extend(open_all(&mut queue));
        assert!(queue.open_count() <= MAX_OPEN);
        let Some((executor, _)) = sent.iter().next().copied() else { break };
        sent.retain(|(at, _)| *at != executor);
        while queue.open_count() > sent.len() {
            queue.close(executor);
        }
    }
    assert_eq!(queue.open_count(), 0);
    assert_eq!(queue.open_next(), None);
}

#[test]
fn executors_take_turns_at_the_common_limit() {
    let mut queue = OrderQueue::new(2);
    for order in 0..5 {
        queue.push(1, Priority::Start, order);
    }
    queue.push(2, Priority::Start, 10);
    assert_eq!(open_all(&mut queue), [(1, 0), (2, 10)]);
    queue.push(2, Priority::Start, 11);
    queue.close(1);
    queue.close(2);
    assert_eq!(open_all(&mut queue), [(1, 1), (2, 11)]);
}

#[test]
fn stops_go_before_starts_that_wait() {
    let mut queue = OrderQueue::new(1);
    queue.push(1, Priority::Start, 0);
    assert_eq!(queue.open_next(), Some((1, 0)));
    queue.push(1, Priority::Start, 1);
    queue.push(1, Priority::Stop, 2);
    queue.push(1, Priority::Throttle, 3);
    for order in [2, 3, 1] {
        queue.close(1);
        assert_eq!(queue.open_next(), Some((1, order)));
    }
}
