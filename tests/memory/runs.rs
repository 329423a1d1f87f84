//! What runs in progress take, against what they are reckoned with.

use puffinknot_core::jobs::{Job, Mechanisms};

use super::leader_bytes;
use super::world::{job, resources, step, Room, World, FREE, WORK};

/// What a run is reckoned with, in bytes.
const RUN_BYTES: usize = 512;
/// Enough for all tasks.
const EXECUTORS: usize = 20;

/// A job of tiny tasks that run for a long time.
fn long_job(id: u64, tasks: u32) -> Job {
    let mut long = step(tasks, resources(1, 1));
    long.estimate = 1_000 * WORK;
    job(id, "owned", vec![long])
}

/// A world in which this many tasks run at once.
fn world_with_runs(jobs: u64, tasks: u32) -> World {
    let room = Room { waiting_tasks: usize::MAX, runs: usize::MAX };
    let mut world = World::with_room(EXECUTORS, Mechanisms::default(), room);
    world.run(200);
    for id in 1..=jobs {
        world.submit_as(FREE, long_job(id, tasks));
    }
    world.run(4 * WORK);
    let runs = world.most_runs();
    assert_eq!(runs, jobs as usize * tasks as usize);
    world
}

/// Guards against a field that makes runs larger than the limit on runs in
/// progress assumes.
#[test]
fn a_run_takes_no_more_than_it_is_reckoned_with() {
    const JOBS: u64 = 4;
    const TASKS: u32 = 5_000;
    for successor in [false, true] {
        let mut world = world_with_runs(JOBS, TASKS);
        if successor {
            world.replace_leader();
            world.run(4 * WORK);
        }
        let mut without = World::new(EXECUTORS);
        without.run(200);
        let bytes = leader_bytes(&mut world) - leader_bytes(&mut without);
        let runs = JOBS as usize * TASKS as usize;
        eprintln!("BYTES {}", bytes / runs);
        assert!(bytes <= runs * RUN_BYTES, "{} bytes a run", bytes / runs);
    }
}
