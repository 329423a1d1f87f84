//! Tests of the rate of executor crashes that no task causes.

use std::collections::BTreeSet;

use puffinknot_core::jobs::crash_rate::{CrashRate, MIN_CRASH_RATE};
use puffinknot_core::jobs::TaskKey;

fn task(job: u64) -> TaskKey {
    format!("{job:016x}.0.0.0").parse().expect("a task")
}

fn suspects(jobs: &[u64]) -> BTreeSet<TaskKey> {
    jobs.iter().map(|job| task(*job)).collect()
}

/// Records that ten executors are alive up to this time.
fn record_ten_alive(rate: &mut CrashRate, until: u64) {
    for now in (0..=until).step_by(200) {
        rate.record_alive(10, now);
    }
}

#[test]
fn at_first_executors_may_crash_often() {
    let mut rate = CrashRate::default();
    record_ten_alive(&mut rate, 200);
    assert!(rate.rate_without(task(1), 200) > 1.5 * MIN_CRASH_RATE);
    record_ten_alive(&mut rate, 20_000);
    assert_eq!(rate.rate_without(task(1), 20_000), MIN_CRASH_RATE);
}

#[test]
fn a_crash_under_suspicion_counts_for_all_other_tasks() {
    let mut rate = CrashRate::default();
    record_ten_alive(&mut rate, 5_000);
    for _ in 0..5 {
        rate.record_crash(suspects(&[1, 2]), 5_000);
    }
    assert_eq!(rate.rate_without(task(1), 5_000), MIN_CRASH_RATE);
    assert_eq!(rate.rate_without(task(2), 5_000), MIN_CRASH_RATE);
    let other = rate.rate_without(task(3), 5_000);
    assert!((0.1..0.15).contains(&other), "{other}");
}

#[test]
fn what_a_task_has_done_counts_for_nobody() {
    let mut rate = CrashRate::default();
    record_ten_alive(&mut rate, 5_000);
    for _ in 0..5 {
        rate.record_crash(suspects(&[1]), 5_000);
    }
    rate.explain(task(1));
    assert_eq!(rate.rate_without(task(2), 5_000), MIN_CRASH_RATE);
    assert_eq!(
        rate.known_rate_without(task(2), 5_000, 6_000),
        Some(MIN_CRASH_RATE)
    );
}

#[test]
fn a_rate_of_long_ago_is_not_known() {
    let mut rate = CrashRate::default();
    record_ten_alive(&mut rate, 100_000);
    assert_eq!(rate.known_rate_without(task(1), 10_000, 100_000), None);
}
