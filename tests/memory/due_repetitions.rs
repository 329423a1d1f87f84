//! Repetitions that are due and can't start yet.

use puffinknot_core::jobs::{Job, JobState, Outcome, Repeats};

use super::leader_bytes;
use super::world::{job, resources, step, World, WORK};

/// The repetitions of each job, all of which are due at once.
const REPETITIONS: u32 = 10_000;
/// The number of such jobs.
const JOBS: u64 = 40;
/// What waiting work may take, in bytes: the number of waiting tasks in the
/// configuration of the world, each of the size that it is reckoned with.
const WAITING_BYTES: usize = 100_000 * 16;
/// What a job may take beside its waiting work, in bytes.
const JOB_BYTES: usize = 4 << 10;

fn due_at_once(id: u64, times: u32) -> Job {
    let repeats = Some(Repeats { first: 0, every: 0, times });
    let steps = vec![step(1, resources(1_000, 100))];
    Job { repeats, ..job(id, "batch", steps) }
}

/// Guards against a leader that runs out of memory, and whose successors do
/// as well, because each due repetition has a state of its own.
#[test]
fn due_repetitions_that_wait_take_no_memory_each() {
    for successor in [false, true] {
        let mut world = World::new(8);
        world.run(200);
        for id in 1..=JOBS {
            let submitted = world.submit(due_at_once(id, REPETITIONS));
            world.run(50);
            assert_eq!(world.answer_to(submitted), Outcome::Accepted);
        }
        if successor {
            world.replace_leader();
        }
        world.run(4 * WORK);
        world.assert_no_violations();
        let bytes = leader_bytes(&mut world);
        let most = WAITING_BYTES + JOBS as usize * JOB_BYTES;
        assert!(bytes < most, "{bytes} of {most} bytes");
    }
}

/// Guards against a leader that keeps the states of all repetitions that are
/// done until their job ends.
#[test]
fn repetitions_that_are_done_take_no_memory_each() {
    let mut world = World::new(32);
    world.run(200);
    world.submit(due_at_once(1, REPETITIONS));
    world.run(30 * WORK);
    assert_eq!(world.state(1), Some(JobState::Running));
    let done = world.starts.len();
    assert!(done > 1_000, "{done} repetitions have started");
    world.assert_no_violations();
    let bytes = leader_bytes(&mut world);
    assert!(bytes < 1_000 * done / 4, "{bytes} bytes for {done} repetitions");
}
