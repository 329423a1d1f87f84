//! Tests of the order in which a node tries addresses to find the leader.

use std::net::SocketAddr;

use puffinknot::cell::leader_search::LeaderSearch;
use puffinknot::cell::ports::Leader;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 1))
}

fn leader(number: u8, revision: u64) -> Leader {
    let node = format!("n{number}");
    Leader { node, life: 1, address: address(number), revision }
}

/// Guards against late connections after a power failure of the whole cell:
/// half of the nodes tried a node that was still starting although they knew
/// the leader, and connected 0.8 s late.
#[test]
fn a_leader_that_was_just_heard_of_is_tried_first() {
    for earlier in 0..4 {
        let mut search = LeaderSearch::default();
        for _ in 0..earlier {
            search.next(None, &[address(8), address(9)]);
        }
        let next = search.next(Some(&leader(1, 5)), &[address(9)]);
        assert_eq!(next, Some(address(1)), "after {earlier} others");
        search.next(Some(&leader(1, 5)), &[address(9)]);
        let next = search.next(Some(&leader(2, 6)), &[address(9)]);
        assert_eq!(next, Some(address(2)), "after {earlier} others");
    }
}

#[test]
fn a_leader_that_does_not_answer_does_not_hide_a_newer_one() {
    let mut search = LeaderSearch::default();
    let old = leader(1, 5);
    let others = [address(8), address(9)];
    let tried_addresses: Vec<_> =
        (0..8).filter_map(|_| search.next(Some(&old), &others)).collect();
    for node in [1, 8, 9] {
        assert!(
            tried_addresses.contains(&address(node)),
            "{node} is not tried"
        );
    }
}

#[test]
fn nobody_is_tried_if_nobody_is_known() {
    assert_eq!(LeaderSearch::default().next(None, &[]), None);
}
