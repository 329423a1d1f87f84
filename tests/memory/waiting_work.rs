//! What waiting steps and tasks take, against what they are reckoned with.

use puffinknot_core::jobs::{Job, Mechanism, Mechanisms, Outcome, Step};

use super::leader_bytes;
use super::world::{job, resources, step, World};

/// What a waiting task is reckoned with, in bytes.
const TASK_BYTES: usize = 16;
/// What a step is reckoned with beside its tasks, in bytes.
const STEP_BYTES: usize = 64 * TASK_BYTES;

/// A step that no executor may run.
fn waiting(tasks: u32) -> Step {
    let mut step = step(tasks, resources(1_000, 100));
    step.label = Some("nowhere".into());
    step
}

/// A world whose leader refuses nothing.
fn unrestricted() -> World {
    let mechanisms = Mechanisms::all_except([Mechanism::Admission]);
    World::with_task_room(2, mechanisms, usize::MAX)
}

/// What a leader takes for these jobs, in bytes.
fn bytes_for(jobs: impl Iterator<Item = Job>) -> usize {
    let mut world = unrestricted();
    world.run(200);
    for job in jobs {
        let submitted = world.submit(job);
        world.run(100);
        assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    }
    let mut without = unrestricted();
    without.run(200);
    leader_bytes(&mut world) - leader_bytes(&mut without)
}

/// Guards against a field that makes steps larger than the limit on waiting
/// work assumes.
#[test]
fn a_waiting_step_takes_no_more_than_it_is_reckoned_with() {
    const JOBS: u64 = 20;
    let steps = JOBS as usize * 64;
    let jobs = (1..=JOBS).map(|id| job(id, "batch", vec![waiting(1); 64]));
    let bytes = bytes_for(jobs);
    let most = steps * (STEP_BYTES + TASK_BYTES);
    assert!(bytes <= most, "{} bytes for a step", bytes / steps);
}

#[test]
fn a_waiting_task_takes_no_more_than_it_is_reckoned_with() {
    const JOBS: u64 = 4;
    let tasks = JOBS as usize * 20_000;
    let jobs = (1..=JOBS).map(|id| job(id, "batch", vec![waiting(20_000)]));
    let bytes = bytes_for(jobs);
    assert!(bytes <= tasks * TASK_BYTES, "{} bytes for a task", bytes / tasks);
}
