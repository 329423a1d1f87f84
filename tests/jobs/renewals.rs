//! Which executors have their leases renewed.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{JobState, Mechanism, Mechanisms};

use super::world::{job, resources, step, World};

const EXECUTORS: usize = 320;
/// The time between two iterations of a busy leader.
const ITERATION: Millis = 100;

/// Guards against a leader that renews with the executors it knew first again
/// and again, and never with the others.
#[test]
fn no_executor_is_passed_over_while_the_turns_of_a_leader_are_long() {
    let mut world = World::with_mechanisms(
        EXECUTORS,
        Mechanisms::all_except([Mechanism::Admission]),
    );
    world.run(500);
    world.advance_interval = ITERATION;
    let mut short = step(40 * EXECUTORS as u32, resources(4_000, 100));
    short.estimate = ITERATION;
    world.submit(job(1, "batch", vec![short]));
    world.run(10_000);
    let ends: Vec<u64> = world.executors.iter().map(|e| e.ends()).collect();
    let (least, most) = (ends.iter().min(), ends.iter().max());
    let (least, most) = (least.expect("some"), most.expect("some"));
    assert!(2 * least >= *most, "{least} to {most} runs on an executor");
    world.assert_no_violations();
}

/// What reports and renewals may examine in a millisecond, in runs. A run is
/// examined when a renewal is sent, and when the answer lists it.
const MAX_EXAMINED_PER_MS: u64 = 2 * 50;

/// Guards against a leader for which each start and each end costs more, the
/// more runs there are beside it.
#[test]
fn starts_and_ends_do_not_examine_all_runs_beside_them() {
    const RUNS: u32 = 3_000;
    const TIME: Millis = 2_000;
    let mut world = World::new(2);
    world.run(200);
    let mut long = step(RUNS, resources(1, 1));
    long.estimate = 100 * TIME;
    world.submit(job(1, "batch", vec![long]));
    world.run(1_000);
    let examined = |world: &World| world.scheduler.counters()["runs_examined"];
    let (before, starts) = (examined(&world), world.starts.len());
    for id in 2..102 {
        let mut short = step(1, resources(1, 1));
        short.estimate = 5;
        world.submit(job(id, "batch", vec![short]));
        world.run(TIME / 100);
    }
    let started = world.starts.len() - starts;
    assert!(started >= 95, "{started} of 100 short tasks have started");
    let per_ms = (examined(&world) - before) / TIME;
    assert!(per_ms <= MAX_EXAMINED_PER_MS, "{per_ms} runs a millisecond");
    world.run(2_000);
    for id in 2..102 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
    }
    world.assert_no_violations();
}
