//! Tasks with checkpoints are preempted for gangs that would be late.

use puffinknot_core::jobs::{Job, JobState, Mechanism, Mechanisms, Step};

use super::world::{job, resources, step, World, WORK};

/// A long task that fills an executor and writes checkpoints.
fn long_job(id: u64) -> Job {
    let mut step = step(1, resources(4_000, 100));
    step.estimate = 20 * WORK;
    step.checkpoints = true;
    job(id, "background", vec![step])
}

fn gang(count: u32) -> Step {
    let mut gang = step(count, resources(3_000, 100));
    gang.gang = true;
    gang
}

/// A cell whose executors are all occupied by long tasks when a gang arrives.
fn full_cell_with_gang(
    mechanisms: Mechanisms,
    edit: impl Fn(&mut Job),
) -> World {
    let mut world = World::with_mechanisms(4, mechanisms);
    world.run(50);
    for id in 1..=4 {
        let mut job = long_job(id);
        edit(&mut job);
        world.submit(job);
    }
    world.run(200);
    assert_eq!(world.starts.len(), 4, "the cell is full");
    world.submit(job(9, "batch", vec![gang(3)]));
    world
}

#[test]
fn a_gang_that_would_be_late_preempts_others() {
    for (mechanisms, state) in [
        (Mechanisms::default(), JobState::Succeeded),
        (
            Mechanisms::all_except([Mechanism::GangPreemption]),
            JobState::Queued,
        ),
    ] {
        let mut world = full_cell_with_gang(mechanisms, |_| {});
        world.run(1_500 + WORK);
        assert_eq!(world.state(9), Some(state));
        world.run(60 * WORK);
        assert!(world.unfinished().is_empty());
        world.assert_no_violations();
    }
}

#[test]
fn no_more_are_preempted_than_the_gang_needs() {
    let mut world = full_cell_with_gang(Mechanisms::default(), |_| {});
    world.run(1_500 + WORK);
    world.run(60 * WORK);
    let again = world.starts.values().filter(|starts| **starts > 1);
    assert_eq!(
        again.count(),
        3,
        "one preempted task for each member of the gang"
    );
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

#[test]
fn tasks_without_checkpoints_or_of_equal_priority_are_not_preempted() {
    for edit in [
        |job: &mut Job| job.steps[0].checkpoints = false,
        |job: &mut Job| job.queue = "batch".into(),
    ] {
        let mut world = full_cell_with_gang(Mechanisms::default(), edit);
        world.run(1_500 + WORK);
        assert!(world.starts.values().all(|starts| *starts == 1));
        assert_eq!(world.state(9), Some(JobState::Queued));
        world.assert_no_violations();
    }
}

/// A preempted task is not preempted again, otherwise it might never end.
#[test]
fn a_task_is_preempted_at_most_once() {
    let mut world = full_cell_with_gang(Mechanisms::default(), |_| {});
    world.run(8 * WORK);
    for id in 10..=14 {
        world.submit(job(id, "batch", vec![gang(3)]));
        world.run(6 * WORK);
    }
    world.run(100 * WORK);
    let long_tasks = world.starts.iter().filter(|(t, _)| t.step.job.0 <= 4);
    assert!(long_tasks.into_iter().all(|(_, starts)| *starts <= 2));
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}
