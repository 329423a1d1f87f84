//! The model of waiting work that has to start by some time.

use puffinknot_core::jobs::backlog::{ServiceCapacity, Work};
use puffinknot_core::jobs::start_backlog::{AvailableCapacity, StartBacklog};

use super::world::resources;

const NOW: u64 = 50_000;

/// A capacity of ten cores.
fn ten_cores() -> ServiceCapacity {
    let mut all = ServiceCapacity::default();
    all.add(&resources(10_000, 1_000), &resources(10_000, 1_000));
    all
}

/// The work of all ten cores for a time.
fn work(time: u64) -> Work {
    Work::of(&resources(1_000, 0), 10, time)
}

/// What is left behind this much work.
fn left(
    capacity: &ServiceCapacity,
    wait: u64,
    demand: f64,
) -> AvailableCapacity<'_> {
    AvailableCapacity { capacity, fraction: 1.0, ahead: work(wait), demand }
}

#[test]
fn work_waits_for_what_is_ahead_and_for_what_starts_earlier() {
    let capacity = ten_cores();
    let mut backlog = StartBacklog::default();
    backlog.add(NOW + 1_000, &work(300));
    backlog.add(NOW + 5_000, &work(900));
    let left = left(&capacity, 200, 0.0);
    let fits = |by| backlog.fits(NOW + by, &work(100), &left, NOW);
    assert!(fits(500), "nothing of the backlog goes before it");
    assert!(!fits(199));
    assert!(fits(2_000));
    assert!(fits(5_000));
    let before = backlog.before(NOW + 5_000);
    assert_eq!(left.start_behind(&before), Some(1_400));
}

#[test]
fn work_does_not_displace_what_was_accepted() {
    let capacity = ten_cores();
    let mut backlog = StartBacklog::default();
    backlog.add(NOW + 1_000, &work(500));
    let left = left(&capacity, 0, 0.0);
    assert!(backlog.fits(NOW + 900, &work(500), &left, NOW));
    assert!(!backlog.fits(NOW + 900, &work(600), &left, NOW));
    assert!(backlog.fits(NOW + 1_100, &work(600), &left, NOW));
}

#[test]
fn demand_delays_work_that_waits() {
    let capacity = ten_cores();
    let backlog = StartBacklog::default();
    let fits = |wait, demand| {
        let left = left(&capacity, wait, demand);
        backlog.fits(NOW + 2_000, &work(1), &left, NOW)
    };
    assert!(fits(1_000, 0.5));
    assert!(!fits(1_000, 0.6));
    assert!(!fits(1_000, 1.2));
    assert!(fits(0, 1.2), "it starts at once");
}
