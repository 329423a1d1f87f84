//! A leader that lags behind its events. It must not consider others late or
//! silent for that.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Event, ExecutorReport, Job, JobState};

use super::world::{
    job, resources, step, World, INHERITED_ORDER_LIFETIME, LEASE, WORK,
};

/// A job of single tasks that fill an executor each.
fn wide(id: u64, tasks: u32) -> Job {
    job(id, "batch", vec![step(tasks, resources(4_000, 100))])
}

fn counted(world: &World, name: &str) -> u64 {
    world.scheduler.counters().get(name).copied().unwrap_or(0)
}

/// Checks that no executor was found slow, and that the run time estimate
/// equals the client's.
fn check_estimate_is_unchanged(world: &mut World, id: u64) {
    for name in ["executors_found_slow", "executors_found_quick"] {
        assert_eq!(counted(world, name), 0, "{name}");
    }
    assert_eq!(counted(world, "runs_overdue"), 0);
    assert_eq!(counted(world, "starts_by_other_lives"), 0);
    let all = world.executors.len() as u32;
    world.submit(wide(id, all));
    world.run(100);
    let known = |at| world.scheduler.executor(at).expect("an executor");
    for on in (0..all).flat_map(|at| known(at).runs.values()) {
        assert_eq!(on.expected_end - on.placed_at, WORK, "an estimate");
    }
    world.run(4 * WORK);
    world.assert_no_violations();
}

fn check_started_once(world: &mut World) {
    assert!(world.unfinished().is_empty());
    let most = world.starts.values().max();
    assert_eq!(most, Some(&1), "nothing is started twice");
    assert_eq!(world.incarnations_over, []);
}

/// Guards against executors that seem slow because the leader hears of run
/// ends seconds late.
#[test]
fn executors_are_not_slow_because_the_leader_lags() {
    let mut world = World::new(8);
    world.run(50);
    for id in 1..=6 {
        world.submit(wide(id, 8));
        world.run(3 * WORK);
    }
    for id in 10..50 {
        world.event_lag = [0, 300, 900, 1_600, 2_000, 800][id as usize % 6];
        world.submit(wide(id, 8));
        world.run(2 * WORK + 37 * (id % 5));
    }
    world.event_lag = 0;
    world.run(30 * WORK);
    check_started_once(&mut world);
    check_estimate_is_unchanged(&mut world, 100);
}

/// Guards against executors that seem slow because run ends wait there while
/// the leader is stalled.
#[test]
fn executors_are_not_slow_because_the_leader_stalled() {
    let mut world = World::new(8);
    world.run(50);
    for id in 1..40 {
        world.submit(wide(id, 8));
        world.run(WORK / 2 + 11 * (id % 7));
        if id % 3 > 0 {
            world.stall(1_300 + 90 * (id % 11));
        }
        world.run(2 * WORK);
    }
    check_started_once(&mut world);
    check_estimate_is_unchanged(&mut world, 100);
}

/// Guards against a run that seems to last too long because a report that
/// lists it is processed late.
#[test]
fn no_run_is_overdue_because_the_leader_lags() {
    let mut world = World::new(4);
    world.run(1_000);
    world.event_lag = 2_000;
    for id in 1..60 {
        let mut work = step(4, resources(700, 100));
        work.max_per_executor = 1;
        world.submit(job(id, "batch", vec![work]));
        world.run(WORK / 3);
    }
    world.run(20 * WORK);
    world.event_lag = 0;
    world.run(20 * WORK);
    check_started_once(&mut world);
    check_estimate_is_unchanged(&mut world, 100);
}

/// Runs a task on an executor of its own, and isolates that executor until its
/// lease has nearly expired. Returns the expiry of the lease.
fn isolate_until_nearly_expired(world: &mut World) -> Millis {
    world.run(500);
    world.submit(wide(1, 1));
    world.run(WORK / 2);
    let at = world.executors_with(1)[0];
    world.executors[at].isolated = true;
    let known = world.scheduler.executor(at as u32).expect("an executor");
    let lease_expiry = known.lease_expiry;
    world.run(lease_expiry - world.now - 400);
    world.executors[at].isolated = false;
    lease_expiry
}

/// Guards against a task that starts again while its end waits in the leader's
/// queue.
#[test]
fn a_leader_that_stalled_hears_what_waits_before_a_lease_counts_as_over() {
    let mut world = World::new(2);
    let lease_expiry = isolate_until_nearly_expired(&mut world);
    world.stall(2_000);
    assert!(world.now > lease_expiry);
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    check_started_once(&mut world);
}

/// Like the test above, but all events wait.
#[test]
fn a_leader_that_lags_hears_what_waits_before_a_lease_counts_as_over() {
    let mut world = World::new(16);
    world.run(100);
    let lease_expiry = {
        world.event_lag = 1_500;
        world.run(3_000);
        isolate_until_nearly_expired(&mut world)
    };
    world.run(lease_expiry - world.now + 1_200);
    world.run(10 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    check_started_once(&mut world);
}

/// A lease that has expired is over nevertheless, a little later.
#[test]
fn a_silent_executor_is_given_up_by_a_leader_that_lags() {
    let mut world = World::new(16);
    world.run(100);
    world.submit(wide(1, 1));
    world.run(WORK / 2);
    let at = world.executors_with(1)[0];
    world.die(at);
    world.event_lag = 1_500;
    world.run(LEASE + 10 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// The successor of a leader that has started tasks on all executors but one.
/// It processes reports of these executors with a delay.
fn successor_with_report_delay(late: Millis) -> World {
    let mut world = World::new(4);
    world.run(100);
    world.submit(wide(1, 3));
    world.run(WORK / 2);
    for at in world.executors_with(1) {
        world.executors[at].report_delay = late;
    }
    world.replace_leader();
    world
}

/// Guards against orders of a predecessor that count as expired before a live
/// executor was heard. Tasks that have ended there would start again.
#[test]
fn a_successor_that_lags_hears_executors_before_all_counts_as_lapsed() {
    let mut world =
        successor_with_report_delay(INHERITED_ORDER_LIFETIME + 1_000);
    world.run(2 * INHERITED_ORDER_LIFETIME);
    for executor in &mut world.executors {
        executor.report_delay = 0;
    }
    world.run(INHERITED_ORDER_LIFETIME);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    check_started_once(&mut world);
}

/// An executor that does not answer delays a successor no longer than before.
#[test]
fn a_successor_starts_what_may_run_on_a_silent_executor_after_its_lease() {
    let mut world = World::new(4);
    world.run(100);
    world.submit(wide(1, 3));
    world.run(WORK / 2);
    let at = world.executors_with(1)[0];
    world.die(at);
    world.replace_leader();
    world.run(INHERITED_ORDER_LIFETIME + 2 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// A report from before a start says nothing about the start.
#[test]
fn no_run_is_harmless_by_a_report_from_before_its_start() {
    let mut world = World::new(1);
    world.run(1_200);
    let known = world.scheduler.executor(0).expect("an executor");
    let (reading, _) = known.clock.expect("a reading");
    let sent_at = world.now;
    world.submit(wide(1, 1));
    world.run(400);
    let earlier =
        ExecutorReport { clock: reading + 1, ..ExecutorReport::default() };
    let answer = Ok(earlier);
    world.event(Event::RenewalAnswered { executor: 0, sent_at, answer });
    let known = world.scheduler.executor(0).expect("an executor");
    assert!(!known.all_harmless());
}
