//! Tests of the limits of connections and of what they buffer.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use puffinknot_core::connections::{
    ConnectionId, ConnectionLimits, Connections, Decision, ALLOWANCE_BYTES,
    MIN_SILENCE_MS,
};

const LIMITS: ConnectionLimits =
    ConnectionLimits { connections: 3, buffered_bytes: 1_000 };

fn open(connections: &mut Connections, now: u64) -> ConnectionId {
    let (id, closed) = connections.open(now).expect("there is room");
    assert!(closed.is_empty(), "nothing has to give way");
    id
}

/// What a connection buffers, with this much beyond its allowance.
fn beyond(excess: usize) -> usize {
    ALLOWANCE_BYTES + excess
}

#[test]
fn the_longest_silent_connection_gives_way_to_a_new_one() {
    let mut connections = Connections::new(LIMITS);
    let first = open(&mut connections, 0);
    let second = open(&mut connections, 10);
    open(&mut connections, 20);
    connections.record_receipt(first, 30);
    let opened = connections.open(30 + MIN_SILENCE_MS).expect("room");
    assert_eq!(opened.1, [second]);
    assert_eq!(connections.len(), 3);
}

#[test]
fn a_newcomer_is_refused_while_all_others_are_heard() {
    let mut connections = Connections::new(LIMITS);
    for _ in 0..3 {
        open(&mut connections, 0);
    }
    assert_eq!(connections.open(MIN_SILENCE_MS - 1), None);
    assert!(connections.open(MIN_SILENCE_MS).is_some());
}

#[test]
fn a_connection_that_is_being_answered_stays() {
    let mut connections = Connections::new(LIMITS);
    for _ in 0..3 {
        let id = open(&mut connections, 0);
        connections.set_pinned(id, true, 0);
    }
    assert_eq!(connections.open(60_000), None);
    connections.set_pinned(1, false, 60_000);
    assert_eq!(connections.open(60_001), None, "it was just answered");
    let opened = connections.open(60_000 + MIN_SILENCE_MS).expect("room");
    assert_eq!(opened.1, [1]);
}

#[test]
fn small_requests_need_no_common_room() {
    let mut connections = Connections::new(LIMITS);
    let large = open(&mut connections, 0);
    let granted = Decision::Granted(Vec::new());
    assert_eq!(connections.buffer(large, beyond(1_000), 0), granted);
    let small = open(&mut connections, 0);
    assert_eq!(connections.buffer(small, ALLOWANCE_BYTES, 0), granted);
    assert_eq!(connections.buffer(small, beyond(1), 0), Decision::Refused);
}

#[test]
fn a_silent_connection_gives_its_room_to_one_that_goes_on() {
    let mut connections = Connections::new(LIMITS);
    let silent = open(&mut connections, 0);
    connections.buffer(silent, beyond(900), 0);
    let idle = open(&mut connections, 0);
    let newcomer = open(&mut connections, 600);
    let decision = connections.buffer(newcomer, beyond(500), 600);
    assert_eq!(decision, Decision::Granted(vec![silent]));
    assert_eq!(connections.buffered_bytes(), 500);
    assert_eq!(connections.len(), 2, "{idle} buffers nothing and stays");
}

#[test]
fn a_request_that_is_alone_is_received_whatever_its_size() {
    let mut connections = Connections::new(LIMITS);
    let other = open(&mut connections, 0);
    connections.buffer(other, beyond(1), 0);
    let large = open(&mut connections, 0);
    let decision = connections.buffer(large, beyond(2_000), 0);
    assert_eq!(decision, Decision::Refused);
    assert_eq!(connections.len(), 2);
    let decision = connections.buffer(large, beyond(2_000), 600);
    assert_eq!(decision, Decision::Granted(vec![other]));
    connections.record_receipt(large, 600);
    let newcomer = open(&mut connections, 600);
    let decision = connections.buffer(newcomer, beyond(1), 600);
    assert_eq!(decision, Decision::Refused);
}

#[test]
fn nobody_gives_way_in_vain() {
    let mut connections = Connections::new(LIMITS);
    let silent = open(&mut connections, 0);
    connections.buffer(silent, beyond(400), 0);
    let pinned = open(&mut connections, 0);
    connections.buffer(pinned, beyond(400), 0);
    connections.set_pinned(pinned, true, 0);
    let newcomer = open(&mut connections, 600);
    let decision = connections.buffer(newcomer, beyond(700), 600);
    assert_eq!(decision, Decision::Refused);
    assert_eq!(connections.len(), 3);
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Close(usize),
    Buffer(usize, usize),
    Receive(usize),
    Answer(usize, bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Open),
        1 => (0..8_usize).prop_map(Step::Close),
        4 => (0..8_usize, 0..beyond(1_500))
            .prop_map(|(n, bytes)| Step::Buffer(n, bytes)),
        2 => (0..8_usize).prop_map(Step::Receive),
        2 => (0..8_usize, any::<bool>()).prop_map(|(n, a)| Step::Answer(n, a)),
        2 => (0..900_u64).prop_map(Step::Wait),
    ]
}

/// What a server knows of its connections: when each was heard last, whether
/// it is being answered, and what it buffers.
#[derive(Default)]
struct Known {
    open: BTreeMap<ConnectionId, (u64, bool)>,
    buffered: BTreeMap<ConnectionId, usize>,
    now: u64,
}

impl Known {
    /// The open connection at this position, counted around.
    fn nth(&self, n: usize) -> Option<ConnectionId> {
        let count = self.open.len().max(1);
        self.open.keys().nth(n % count).copied()
    }

    fn is_alone_beyond_its_allowance(&self) -> bool {
        let open = self.buffered.iter();
        let open = open.filter(|(id, _)| self.open.contains_key(id));
        open.filter(|(_, bytes)| **bytes > ALLOWANCE_BYTES).count() == 1
    }

    fn give_way(&mut self, ids: Vec<ConnectionId>) {
        for id in ids {
            let (heard_at, answering) = self.open.remove(&id).expect("open");
            assert!(!answering, "{id} is being answered");
            assert!(heard_at + MIN_SILENCE_MS <= self.now, "{id} is heard");
        }
    }

    fn apply(&mut self, connections: &mut Connections, step: Step) {
        let now = self.now;
        match step {
            Step::Open => {
                if let Some((id, closed)) = connections.open(now) {
                    self.give_way(closed);
                    self.open.insert(id, (now, false));
                }
            }
            Step::Close(n) => {
                if let Some(id) = self.nth(n) {
                    connections.close(id);
                    self.open.remove(&id);
                }
            }
            Step::Buffer(n, bytes) => {
                let Some(id) = self.nth(n) else { return };
                let decision = connections.buffer(id, bytes, now);
                if let Decision::Granted(closed) = decision {
                    self.give_way(closed);
                    self.buffered.insert(id, bytes);
                }
            }
            Step::Receive(n) => {
                let Some(id) = self.nth(n) else { return };
                connections.record_receipt(id, now);
                self.open.entry(id).and_modify(|known| known.0 = now);
            }
            Step::Answer(n, answering) => {
                let Some(id) = self.nth(n) else { return };
                connections.set_pinned(id, answering, now);
                self.open.insert(id, (now, answering));
            }
            Step::Wait(pause) => self.now += pause,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(78),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_limit_is_ever_exceeded(
        steps in prop::collection::vec(step(), 0..99),
    ) {
        let mut connections = Connections::new(LIMITS);
        let mut known = Known::default();
        for step in steps {
            known.apply(&mut connections, step);
            prop_assert!(connections.len() <= LIMITS.connections);
            let buffered = connections.buffered_bytes();
            prop_assert!(
                buffered <= LIMITS.buffered_bytes
                    || known.is_alone_beyond_its_allowance()
            );
            prop_assert_eq!(connections.len(), known.open.len());
        }
        let ids: BTreeSet<_> = known.open.keys().copied().collect();
        for id in ids {
            connections.close(id);
        }
        prop_assert_eq!(connections.buffered_bytes(), 0);
    }
}
