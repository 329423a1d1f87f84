//! The model of the backlog that waits for capacity.

use puffinknot_core::jobs::backlog::{Backlog, ServiceCapacity, Work};

use super::world::resources;

/// A capacity of ten cores: some are free, and others become free later.
fn cores(free: u32, later: &[(u64, u32)]) -> ServiceCapacity {
    let mut all = ServiceCapacity::default();
    all.add(&resources(10_000, 1_000), &resources(free * 1_000, 1_000));
    for (after, cores) in later {
        all.free_after(*after, &resources(cores * 1_000, 0));
    }
    all
}

/// The work of this many cores for a time.
fn work(cores: u32, time: u64) -> Work {
    Work::of(&resources(1_000, 0), cores, time)
}

#[test]
fn work_takes_what_is_free_and_what_comes_free() {
    let full = cores(10, &[]);
    assert_eq!(full.time_for(&work(0, 0), 1.0), Some(0));
    assert_eq!(full.time_for(&work(20, 500), 1.0), Some(1_000));
    // A fifth of the capacity takes five times as long.
    assert_eq!(full.time_for(&work(20, 500), 0.2), Some(5_000));
    // Half of it becomes free after a second: 5 core-seconds are done by then,
    // and the other 5 within half a second.
    let half = cores(5, &[(1_000, 5)]);
    assert_eq!(half.time_for(&work(20, 500), 1.0), Some(1_500));
    // Capacity that becomes free later than in 10 s counts as free after 10 s.
    let long = cores(0, &[(3_600_000, 10)]);
    assert_eq!(long.time_for(&work(10, 100), 1.0), Some(10_100));
}

#[test]
fn no_wait_is_known_without_capacity_of_the_kind() {
    let none = ServiceCapacity::default();
    assert_eq!(none.time_for(&work(1, 1), 1.0), None);
    let backlog: Backlog<u64> = Backlog::new(none);
    assert!(backlog.wait(None, "q", 1).is_some_and(|w| w.effective() == 0));
}

#[test]
fn what_counts_is_urgent_or_was_accepted_in_the_same_queue() {
    let mut backlog = Backlog::new(cores(10, &[]));
    backlog.add(None, "urgent", &work(10, 100), Some(1));
    backlog.add(None, "urgent", &work(10, 200), Some(9));
    backlog.add(None, "other", &work(10, 800), None);
    backlog.add(None, "own", &work(10, 400), None);
    let wait = |queue, place| {
        backlog.wait(None, queue, place).map(|wait| wait.effective())
    };
    assert_eq!(wait("own", 5), Some(500));
    assert_eq!(wait("own", 9), Some(700));
    assert_eq!(wait("third", 5), Some(100));
    assert_eq!(wait("urgent", 5), Some(300));
}

#[test]
fn an_account_waits_for_its_own_work_in_its_part() {
    let mut backlog = Backlog::new(cores(10, &[]));
    backlog.add(Some(1), "q", &work(10, 900), None);
    backlog.add(Some(2), "q", &work(10, 100), None);
    let hot = backlog.wait(Some((1, 0.5)), "q", 2).expect("capacity");
    assert_eq!((hot.effective(), hot.over_share()), (1_800, true));
    let quiet = backlog.wait(Some((2, 0.5)), "q", 2).expect("capacity");
    assert_eq!((quiet.effective(), quiet.over_share()), (200, false));
    let idle = backlog.wait(Some((3, 0.5)), "q", 2).expect("capacity");
    assert_eq!(idle.effective(), 0);
}
