//! How much placement examines.

use std::time::Duration;

use puffinknot_core::jobs::scheduler::PlacementStats;
use puffinknot_core::jobs::{Mechanism, Mechanisms};

use super::world::{job, resources, step, World, WORK};

const EXECUTORS: usize = 8;
/// The number of steps that wait.
const WAITING_STEPS: u64 = 256;

const NAMES: [&str; 5] = [
    "place_rounds",
    "place_rounds_put_off",
    "place_steps",
    "place_executors",
    "place_runs",
];

fn counted(world: &World) -> [u64; 5] {
    NAMES
        .map(|name| world.scheduler.counters().get(name).copied().unwrap_or(0))
}

/// What placement examines during `run`.
fn examined_during(
    world: &mut World,
    run: impl FnOnce(&mut World),
) -> PlacementStats {
    let before = world.scheduler.placement_stats();
    run(world);
    let PlacementStats { rounds, deferred, steps, executors, runs } =
        world.scheduler.placement_stats();
    let all = [rounds, deferred, steps, executors, runs];
    assert_eq!(counted(world), all, "counters show the same");
    world.scheduler.placement_stats().since(&before)
}

fn full(executors: usize) -> World {
    // Jobs that wait for longer than they are useful have to be admitted.
    let mechanisms = Mechanisms::all_except([Mechanism::Admission]);
    let mut world = World::with_mechanisms(executors, mechanisms);
    world.run(200);
    let mut wide = step(executors as u32, resources(4_000, 100));
    wide.estimate = 20 * WORK;
    world.submit(job(1, "batch", vec![wide]));
    world.run(100);
    world
}

/// The counters show what placement rounds examine, so that operators see why
/// a leader lags behind its events.
#[test]
fn steps_and_executors_that_are_examined_are_counted() {
    let mut world = full(EXECUTORS);
    let idle = examined_during(&mut world, |world| world.run(200));
    assert_eq!((idle.steps, idle.executors, idle.runs), (0, 0, 0));
    assert!(idle.rounds > 0, "ticks are rounds");
    let one = examined_during(&mut world, |world| {
        world.submit(job(2, "batch", vec![step(1, resources(4_000, 100))]));
        world.run(200);
    });
    assert_eq!(one.deferred, 0);
    assert!(one.steps > 0 && one.steps <= one.rounds, "{one:?}");
    let each = EXECUTORS as u64;
    assert!(one.executors >= one.steps * each, "{one:?}");
    let more = examined_during(&mut world, |world| {
        for id in 3..8 {
            world.submit(job(
                id,
                "batch",
                vec![step(1, resources(4_000, 100))],
            ));
        }
        world.run(200);
    });
    assert!(more.steps > 3 * one.steps, "{more:?} after {one:?}");
    assert!(more.executors > 3 * one.executors, "{more:?} after {one:?}");
}

/// To reserve capacity for a gang, the leader examines the runs in progress.
#[test]
fn runs_that_are_examined_for_a_gang_are_counted() {
    let mut world = full(EXECUTORS);
    let mut gang = step(EXECUTORS as u32, resources(4_000, 100));
    gang.gang = true;
    let examined = examined_during(&mut world, |world| {
        world.submit(job(2, "batch", vec![gang]));
        world.run(200);
    });
    assert!(examined.runs >= EXECUTORS as u64, "{examined:?}");
    world.run(30 * WORK);
    world.assert_no_violations();
}

#[test]
fn rounds_that_are_put_off_while_placing_rests_are_counted() {
    let mut world = full(EXECUTORS);
    world.examination_time = Duration::from_micros(100);
    let examined = examined_during(&mut world, |world| {
        for id in 0..WAITING_STEPS {
            let task = step(1, resources(4_000, 100));
            world.submit(job(10 + id, "batch", vec![task]));
        }
        world.run(100);
    });
    assert!(examined.deferred > 0, "{examined:?}");
    assert!(examined.rounds > examined.deferred, "{examined:?}");
}
