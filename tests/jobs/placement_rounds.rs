//! The share of the time that placement takes.

use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{JobState, Mechanism, Mechanisms};

use super::world::{job, resources, step, World, WORK};

const EXECUTORS: usize = 320;
const GANGS: u64 = 300;
/// How long the leader is observed.
const OBSERVATION: Millis = 10_000;

/// A full cell, with hundreds of gangs that wait for half of it.
fn full_cell() -> World {
    let mechanisms = Mechanisms::all_except([Mechanism::Admission]);
    let mut world = World::with_mechanisms(EXECUTORS, mechanisms);
    world.run(200);
    let mut wide = step(EXECUTORS as u32, resources(4_000, 100));
    wide.estimate = 100 * WORK;
    world.submit(job(1, "batch", vec![wide]));
    world.run(100);
    for id in 0..GANGS {
        let mut gang = step(EXECUTORS as u32 / 2, resources(4_000, 100));
        gang.gang = true;
        world.submit(job(10 + id, "batch", vec![gang]));
    }
    world.run(100);
    world
}

/// Guards against a leader that hears of run ends seconds late, because each
/// placement round examines everything that waits.
#[test]
fn placing_leaves_time_to_what_comes_in_while_hundreds_of_gangs_wait() {
    let mut world = full_cell();
    world.examination_time = Duration::from_micros(1);
    world.time_examining = Duration::ZERO;
    world.run(OBSERVATION);
    let part = world.time_examining.as_millis() as f64 / OBSERVATION as f64;
    assert!(part <= 0.5, "placing took {part:.2} of the time");
    assert!(part > 0.0, "nothing was placed");
}

#[test]
fn urgent_tasks_start_soon_while_placing_rests() {
    let mut world = full_cell();
    for spare in 0..8 {
        world.add_executor(&format!("spare{spare}"));
        world.list_entry(EXECUTORS + spare);
    }
    world.examination_time = Duration::from_micros(1);
    world.run(2_000);
    for id in 1_000..1_010 {
        world.submit(job(id, "urgent", vec![step(2, resources(1_000, 100))]));
        let given = world.now;
        while world.executors_with(id).is_empty() {
            world.run(1);
            assert!(world.now < given + 500, "job {id} has not started");
        }
        world.run(4 * WORK);
        assert_eq!(world.state(id), Some(JobState::Succeeded));
    }
}
