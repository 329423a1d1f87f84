//! When executors are trusted with runs.

use puffinknot_core::jobs::circuit_breaker::CircuitBreaker;

/// The time at which the runs here fail.
const NOW: u64 = 10_000;

fn tripped() -> CircuitBreaker {
    let mut health = CircuitBreaker::default();
    while !health.is_open() {
        health.record_failure(NOW);
    }
    health
}

#[test]
fn failures_in_a_row_trip_it_and_one_that_is_done_ends_that() {
    let mut health = CircuitBreaker::default();
    for _ in 0..50 {
        health.record_failure(NOW);
        health.record_failure(NOW);
        assert!(health.admits(NOW));
        health.record_success();
    }
    assert!(!tripped().admits(NOW));
}

#[test]
fn after_a_while_one_run_tries_it() {
    let mut health = tripped();
    let later = NOW + 60_000;
    assert!(health.admits(later));
    health.record_start(later);
    assert!(!health.admits(later), "one at a time");
    health.record_success();
    assert!(health.admits(later));
}

#[test]
fn the_time_between_trials_grows_to_a_bound() {
    let mut health = tripped();
    let wait = |health: &CircuitBreaker, from: u64| {
        (0..).find(|after| health.admits(from + after)).expect("admitted")
    };
    let first = wait(&health, NOW);
    health.record_failure(NOW);
    assert!(wait(&health, NOW) > first);
    for _ in 0..20 {
        health.record_failure(NOW);
    }
    let last = wait(&health, NOW);
    health.record_failure(NOW);
    assert_eq!(wait(&health, NOW), last);
}

#[test]
fn only_the_failure_that_trips_it_says_so() {
    let mut health = CircuitBreaker::default();
    let said: Vec<bool> = (0..5).map(|_| health.record_failure(NOW)).collect();
    assert_eq!(said.iter().filter(|said| **said).count(), 1);
}
