//! What is measured of the leader's loop.

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
/// A time at which tests begin, in microseconds.
const BEGIN: u64 = 5_000_000;

fn clocks(mono: u64, cpu: u64) -> Clocks {
    Clocks { mono, cpu }
}

fn idle() -> PlacementStats {
    PlacementStats::default()
}

/// The figure on the line that begins so.
fn figure(stats: &Stats, line: &str) -> Option<u64> {
    let text = stats.render();
    let line = text.lines().find_map(|l| l.strip_prefix(line))?;
    Some(line.trim().parse().expect("a number"))
}

fn total(stats: &Stats, family: &str, what: &str, of: &str) -> u64 {
    let line = format!("puffinknot_{family}_{of}{{what=\"{what}\"}} ");
    figure(stats, &line).unwrap_or_default()
}

fn most(stats: &Stats, family: &str, what: &str) -> Option<u64> {
    let labels = format!("what=\"{what}\",quantile=\"1\"");
    figure(stats, &format!("puffinknot_{family}{{{labels}}} "))
}

/// A turn that began at a time and took so long, with one input that had
/// waited.
fn turn(stats: &Stats, began: u64, took: u64, waited: u64) -> IterationStats {
    let mut turn = Iteration::begin(clocks(began, 0), idle());
    turn.begin_input(stats, InputKind::LeaseRenewal, began - waited, began);
    turn.finish_input(stats, began);
    turn.end(stats, clocks(began + took, took), idle())
}

/// Answers of executors that wait behind requests look like slow executors.
#[test]
fn each_kind_of_input_has_its_own_waits_and_times() {
    let stats = Stats::default();
    for round in 1..=3 {
        let mut turn = Iteration::begin(clocks(BEGIN, 0), idle());
        for (place, kind) in KINDS.into_iter().enumerate() {
            let at = BEGIN + 1_000 * place as u64;
            turn.begin_input(&stats, kind, at - 20_000, at);
        }
        let at = BEGIN + 1_000 * KINDS.len() as u64;
        turn.finish_input(&stats, at);
        turn.finish_input(&stats, at + 1_000);
        turn.end(&stats, clocks(at, 0), idle());
        for kind in KINDS {
            let wait = format!("wait_{}", kind.name());
            let handle = format!("handle_{}", kind.name());
            assert_eq!(total(&stats, "latency_ms", &wait, "count"), round);
            assert_eq!(total(&stats, "latency_ms", &wait, "sum"), 20 * round);
            assert_eq!(most(&stats, "latency_ms", &wait), Some(20));
            assert_eq!(total(&stats, "time_us", &handle, "count"), round);
            let sum = total(&stats, "time_us", &handle, "sum");
            assert_eq!(sum, 1_000 * round);
        }
    }
}

/// Long turns in which little processor time went by were not given it.
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
    let mut turn = Iteration::begin(clocks(BEGIN, 100), before);
    turn.begin_input(&stats, InputKind::Started, BEGIN - 9_000, BEGIN);
    turn.begin_input(&stats, InputKind::Stopped, BEGIN - 30_000, BEGIN + 500);
    turn.finish_input(&stats, BEGIN + 700);
    turn.record_advance(&stats, BEGIN + 800, BEGIN + 40_800);
    let took = turn.end(&stats, clocks(BEGIN + 90_000, 12_100), after);
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

/// A turn in which nothing was placed would make rounds look cheap.
#[test]
fn only_turns_with_a_round_count_as_rounds() {
    let stats = Stats::default();
    let put_off = PlacementStats { rounds: 1, deferred: 1, ..idle() };
    for looked in [idle(), put_off] {
        let turn = Iteration::begin(clocks(BEGIN, 0), idle());
        turn.end(&stats, clocks(BEGIN, 0), looked);
    }
    assert_eq!(total(&stats, "size", "turn_inputs", "count"), 2);
    assert_eq!(total(&stats, "size", "round_steps", "count"), 0);
}

/// A line for each slow turn would slow a leader that is behind further.
#[test]
fn the_worst_of_the_slow_turns_is_told_once_a_second() {
    let stats = Stats::default();
    let mut slow = SlowIterations::new(30);
    let took = |at, took, waited| turn(&stats, BEGIN + at, took, waited);
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
