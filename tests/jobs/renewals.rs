//! Which executors have their leases renewed.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Mechanism, Mechanisms};

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
