//! The number of runs in progress.

use puffinknot_core::jobs::{Job, JobState, Mechanisms, Outcome};

use super::world::{job, resources, step, Room, World, WORK};

/// The most runs in progress.
const MAX_RUNS: usize = 400;

fn small_room() -> World {
    let room = Room { waiting_tasks: 100_000, runs: MAX_RUNS };
    let mut world = World::with_room(4, Mechanisms::default(), room);
    world.run(200);
    world
}

/// A job of tasks that all fit into the cell at once.
fn tiny_tasks(id: u64, tasks: u32) -> Job {
    job(id, "batch", vec![step(tasks, resources(1, 1))])
}

fn gang(id: u64, members: u32) -> Job {
    let mut job = tiny_tasks(id, members);
    job.steps[0].gang = true;
    job
}

/// Guards against a leader whose memory grows with the number of runs.
#[test]
fn runs_in_progress_are_limited() {
    let mut world = small_room();
    for id in 1..=3 {
        world.submit(tiny_tasks(id, 2_000));
    }
    world.run(WORK);
    world.replace_leader();
    world.run(60 * WORK);
    for id in 1..=3 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
    }
    assert!(world.most_runs() <= MAX_RUNS, "{} runs", world.most_runs());
    world.assert_no_violations();
}

/// Guards against a limit that lets one job keep all others out.
#[test]
fn jobs_of_which_nothing_runs_start_beside_many_runs() {
    let mut world = small_room();
    let mut long = tiny_tasks(1, 4_000);
    long.steps[0].estimate = 1_000 * WORK;
    world.submit(long);
    world.run(2 * WORK);
    for id in 2..=40 {
        world.submit(tiny_tasks(id, 20));
        world.run(200);
        assert!(!world.executors_with(id).is_empty(), "job {id} waits");
    }
    assert!(world.most_runs() <= MAX_RUNS, "{} runs", world.most_runs());
    world.assert_no_violations();
}

#[test]
fn a_gang_gets_room_beside_many_tasks() {
    let mut world = small_room();
    for id in 1..=4 {
        world.submit(tiny_tasks(id, 4_000));
    }
    world.run(WORK);
    world.submit(gang(10, 250));
    world.run(10 * WORK);
    assert_eq!(world.state(10), Some(JobState::Succeeded));
    assert_eq!(world.state(4), Some(JobState::Running));
    assert!(world.most_runs() <= MAX_RUNS, "{} runs", world.most_runs());
    world.assert_no_violations();
}

#[test]
fn a_gang_that_can_never_have_room_is_refused() {
    let mut world = small_room();
    let submitted = world.submit(gang(1, MAX_RUNS as u32));
    world.run(200);
    assert!(matches!(world.answer_to(submitted), Outcome::Refused(1..)));
    assert_eq!(world.scheduler.counters()["refused_wide_gang"], 1);
    let submitted = world.submit(gang(2, MAX_RUNS as u32 / 2));
    world.run(4 * WORK);
    assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.assert_no_violations();
}
