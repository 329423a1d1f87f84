//! Tests of the circuit breaker of an executor.

use puffinknot_core::jobs::circuit_breaker::CircuitBreaker;

/// The time at which runs fail, in milliseconds.
const NOW: u64 = 10_000;

fn open_breaker() -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    while !breaker.is_open() {
        breaker.record_failure(NOW);
    }
    breaker
}

#[test]
fn failures_in_a_row_trip_it_and_one_that_is_done_ends_that() {
    let mut breaker = CircuitBreaker::default();
    for _ in 0..50 {
        breaker.record_failure(NOW);
        breaker.record_failure(NOW);
        assert!(breaker.admits(NOW));
        breaker.record_success();
    }
    assert!(!open_breaker().admits(NOW));
}

#[test]
fn after_a_while_one_run_tries_it() {
    let mut breaker = open_breaker();
    let later = NOW + 60_000;
    assert!(breaker.admits(later));
    breaker.record_start(later);
    assert!(!breaker.admits(later), "one at a time");
    breaker.record_success();
    assert!(breaker.admits(later));
}

#[test]
fn the_time_between_trials_grows_to_a_bound() {
    let mut breaker = open_breaker();
    let wait = |breaker: &CircuitBreaker, from: u64| {
        (0..).find(|after| breaker.admits(from + after)).expect("admitted")
    };
    let first = wait(&breaker, NOW);
    breaker.record_failure(NOW);
    assert!(wait(&breaker, NOW) > first);
    for _ in 0..20 {
        breaker.record_failure(NOW);
    }
    let last = wait(&breaker, NOW);
    breaker.record_failure(NOW);
    assert_eq!(wait(&breaker, NOW), last);
}

#[test]
fn only_the_failure_that_trips_it_says_so() {
    let mut breaker = CircuitBreaker::default();
    let reported: Vec<bool> =
        (0..5).map(|_| breaker.record_failure(NOW)).collect();
    assert_eq!(reported.iter().filter(|reported| **reported).count(), 1);
}
