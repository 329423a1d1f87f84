//! Tests of the statistics of the leader's event loop.

use puffinknot::cell::iteration::{
    Clocks, InputKind, Iteration, IterationStats, SlowIterations,
    REPORT_INTERVAL,
};
use puffinknot::cell::stats::Stats;
use puffinknot_core::jobs::scheduler::PlacementStats;

const KINDS: [InputKind; 8] = [
    InputKind::Request,
    InputKind::LeaseRenewal,
    InputKind::Started,
    InputKind::Stopped,
    InputKind::Advised,
    InputKind::Committed,
    InputKind::Listed,
    InputKind::Other,
];
/// The time at which tests begin, in microseconds.
const START_US: u64 = 5_000_000;

fn clocks(mono: u64, cpu: u64) -> Clocks {
    Clocks { mono, cpu }
}

fn idle() -> PlacementStats {
    PlacementStats::default()
}

/// The value of the metric whose line starts with this text.
fn metric(stats: &Stats, line: &str) -> Option<u64> {
    let text = stats.render();
    let line = text.lines().find_map(|l| l.strip_prefix(line))?;
    Some(line.trim().parse().expect("a number"))
}

fn total(stats: &Stats, family: &str, what: &str, of: &str) -> u64 {
    let line = format!("puffinknot_{family}_{of}{{what=\"{what}\"}} ");
    metric(stats, &line).unwrap_or_default()
}

fn maximum(stats: &Stats, family: &str, what: &str) -> Option<u64> {
    let labels = format!("what=\"{what}\",quantile=\"1\"");
    metric(stats, &format!("puffinknot_{family}{{{labels}}} "))
}

/// The statistics of an iteration with one input; all times are in
/// microseconds.
fn iteration(
    stats: &Stats,
    began: u64,
    took: u64,
    waited: u64,
) -> IterationStats {
    let mut iteration = Iteration::begin(clocks(began, 0), idle());
    iteration.begin_input(
        stats,
        InputKind::LeaseRenewal,
        began - waited,
        began,
    );
    iteration.finish_input(stats, began);
    iteration.end(stats, clocks(began + took, took), idle())
}

/// Guards against mistaking executor answers that wait behind requests for
/// slow executors.
#[test]
fn each_kind_of_input_has_its_own_waits_and_times() {
    let stats = Stats::default();
    for round in 1..=3 {
        let mut iteration = Iteration::begin(clocks(START_US, 0), idle());
        for (place, kind) in KINDS.into_iter().enumerate() {
            let at = START_US + 1_000 * place as u64;
            iteration.begin_input(&stats, kind, at - 20_000, at);
        }
        let at = START_US + 1_000 * KINDS.len() as u64;
        iteration.finish_input(&stats, at);
        iteration.finish_input(&stats, at + 1_000);
        iteration.end(&stats, clocks(at, 0), idle());
        for kind in KINDS {
            let wait = format!("wait_{}", kind.name());
            let handle = format!("handle_{}", kind.name());
            assert_eq!(total(&stats, "latency_ms", &wait, "count"), round);
            assert_eq!(total(&stats, "latency_ms", &wait, "sum"), 20 * round);
            assert_eq!(maximum(&stats, "latency_ms", &wait), Some(20));
            assert_eq!(total(&stats, "time_us", &handle, "count"), round);
            let sum = total(&stats, "time_us", &handle, "sum");
            assert_eq!(sum, 1_000 * round);
        }
    }
}

/// A long iteration with little CPU time shows that the thread was not
/// scheduled, rather than busy.
#[test]
fn a_turn_is_measured_on_both_clocks_and_by_what_it_did() {
    let stats = Stats::default();
    let before = PlacementStats { rounds: 7, steps: 70, ..idle() };
    let after = PlacementStats {
        rounds: 8,
        deferred: 0,
        steps: 75,
        executors: 900,
        runs: 40,
    };
    let mut iteration = Iteration::begin(clocks(START_US, 100), before);
    iteration.begin_input(
        &stats,
        InputKind::Started,
        START_US - 9_000,
        START_US,
    );
    iteration.begin_input(
        &stats,
        InputKind::Stopped,
        START_US - 30_000,
        START_US + 500,
    );
    iteration.finish_input(&stats, START_US + 700);
    iteration.record_advance(&stats, START_US + 800, START_US + 40_800);
    let took = iteration.end(&stats, clocks(START_US + 90_000, 12_100), after);
    let oldest = (30_500, InputKind::Stopped);
    assert_eq!((took.duration, took.cpu), (90_000, 12_000));
    assert_eq!((took.advance, took.inputs), (40_000, 2));
    assert_eq!(took.longest_wait, oldest);
    assert_eq!((took.placement.rounds, took.placement.steps), (1, 5));
    for (what, sum) in
        [("turn", 90_000), ("turn_cpu", 12_000), ("advance", 40_000)]
    {
        assert_eq!(total(&stats, "time_us", what, "sum"), sum, "{what}");
        assert_eq!(total(&stats, "time_us", what, "count"), 1, "{what}");
    }
    for (what, sum) in
        [("turn_inputs", 2), ("round_steps", 5), ("round_executors", 900)]
    {
        assert_eq!(total(&stats, "size", what, "sum"), sum, "{what}");
        assert_eq!(total(&stats, "size", what, "count"), 1, "{what}");
    }
}

/// Counting iterations without a placement round would make rounds look
/// cheap.
#[test]
fn only_turns_with_a_round_count_as_rounds() {
    let stats = Stats::default();
    let deferred = PlacementStats { rounds: 1, deferred: 1, ..idle() };
    for placement in [idle(), deferred] {
        let iteration = Iteration::begin(clocks(START_US, 0), idle());
        iteration.end(&stats, clocks(START_US, 0), placement);
    }
    assert_eq!(total(&stats, "size", "turn_inputs", "count"), 2);
    assert_eq!(total(&stats, "size", "round_steps", "count"), 0);
}

/// Logging each slow iteration would slow down an overloaded leader further.
#[test]
fn the_worst_of_the_slow_turns_is_told_once_a_second() {
    let stats = Stats::default();
    let mut slow = SlowIterations::new(30);
    let took =
        |at, took, waited| iteration(&stats, START_US + at, took, waited);
    assert_eq!(slow.observe(took(0, 29_999, 29_999)), None);
    let first = took(40_000, 30_000, 0);
    assert_eq!(slow.observe(first), Some((1, first)));
    let worst = took(200_000, 10, 400_000);
    assert_eq!(slow.observe(took(100_000, 50_000, 0)), None);
    assert_eq!(slow.observe(worst), None);
    assert_eq!(slow.observe(took(300_000, 60_000, 0)), None);
    let second = 1_000 * REPORT_INTERVAL;
    let due = 70_000 + second;
    assert_eq!(slow.observe(took(due - 11, 10, 0)), None);
    assert_eq!(slow.observe(took(due, 0, 0)), Some((3, worst)));
    assert_eq!(slow.observe(took(due + second, 0, 0)), None);
    let last = took(due + second, 31_000, 0);
    assert_eq!(slow.observe(last), Some((1, last)));
}
