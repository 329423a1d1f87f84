//! What a long backlog of accepted work costs the leader and others.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{
    Job, JobId, JobState, Mechanism, Mechanisms, Outcome, Step,
};

use super::world::{job, resources, step, World, WORK};

/// The most that an ordinary job may wait while executors are free.
const MAX_WAIT: Millis = 3_000;

/// A step that no executor may run.
fn impossible() -> Step {
    let mut step = step(1, resources(1_000, 100));
    step.label = Some("nowhere".into());
    step
}

/// A job of as many steps as a job may have, none of which can start.
fn impossible_steps(id: u64) -> Job {
    job(id, "background", vec![impossible(); 64])
}

/// A job of as many tasks as a job may have, all of which fit at once.
fn tiny_tasks(id: u64) -> Job {
    let mut tiny = step(20_000, resources(100, 0));
    tiny.fills = true;
    job(id, "batch", vec![tiny])
}

/// Guards against a job that waits for seconds behind the many steps of others,
/// while executors are free.
#[test]
fn a_job_of_which_nothing_runs_starts_beside_many_steps() {
    let mut world = World::new(2);
    world.run(200);
    for id in 1..=20 {
        let steps = vec![step(8, resources(1, 1)); 60];
        world.submit(job(id, "batch", steps));
        world.run(1);
    }
    world.submit(job(100, "batch", vec![step(1, resources(1, 1))]));
    let submitted_at = world.now;
    while !world.starts.keys().any(|task| task.step.job == JobId(100)) {
        world.run(1);
        let waited = world.now - submitted_at;
        assert!(waited < 500, "it has waited {waited} ms");
    }
    let all = 20 * 60 * 8;
    assert!(world.starts.len() < all / 2, "most of the others wait");
}

/// Guards against pauses between placement rounds that grow with the number
/// of steps that wait, so that nothing starts for seconds on free executors.
#[test]
fn pauses_of_placement_do_not_grow_with_the_backlog() {
    let mechanisms = Mechanisms::all_except([Mechanism::Admission]);
    let mut world = World::with_task_room(2, mechanisms, usize::MAX);
    world.run(200);
    for id in 1..=800 {
        let submitted = world.submit(impossible_steps(id));
        world.run(5);
        world.run(if id % 20 == 0 { 50 } else { 0 });
        assert_ne!(world.replies.get(&submitted), Some(&Outcome::Refused(0)));
    }
    world.run(500);
    for id in 1_001..=1_003 {
        world.submit(job(id, "urgent", vec![step(1, resources(1_000, 100))]));
        let submitted_at = world.now;
        while world.executors_with(id).is_empty() {
            world.run(10);
            let waited = world.now - submitted_at;
            assert!(waited < MAX_WAIT, "job {id} has waited {waited} ms");
        }
        world.run(2 * WORK);
    }
}

/// Guards against a round that examines everything that waits, however long
/// that takes, and against one that is cut and never reaches what ranks last.
#[test]
fn rounds_are_cut_and_reach_what_ranks_last() {
    const JOBS: u64 = 800;
    let mechanisms = Mechanisms::all_except([Mechanism::Admission]);
    let mut world = World::with_task_room(2, mechanisms, usize::MAX);
    world.run(200);
    for id in 1..=JOBS {
        let mut waiting = impossible_steps(id);
        waiting.queue = "batch".into();
        world.submit(waiting);
    }
    // Of all steps that are late, this one has the latest start.
    let mut last = impossible();
    last.label = Some("rare".into());
    world.submit(job(JOBS + 1, "background", vec![last]));
    world.run(10_000);
    assert!(world.scheduler.counters()["place_rounds_cut"] > 0);
    world.add_executor("rare");
    world.executors[2].info.labels.push("rare".into());
    world.list_entry(2);
    let listed_at = world.now;
    while world.executors_with(JOBS + 1).is_empty() {
        world.run(10);
        assert!(world.now < listed_at + MAX_WAIT, "it has not started");
    }
}

/// Guards against a call of the leader that starts everything that fits at
/// once. Nothing else is done meanwhile, so the leader's lease runs out and
/// each successor does the same.
#[test]
fn one_call_does_not_start_all_that_fits() {
    const EXECUTORS: usize = 8;
    let mut world = World::new(EXECUTORS);
    world.run(200);
    for id in 1..=4 {
        world.submit(tiny_tasks(id));
    }
    world.run(100);
    let most = world.most_starts_in_a_call;
    assert!(most > 0, "some start");
    assert!(most <= 100 * EXECUTORS, "{most} starts in one call");
    let submitted_at = world.now;
    world.submit(job(10, "batch", vec![step(1, resources(1_000, 100))]));
    while world.executors_with(10).is_empty() {
        world.run(10);
        assert!(world.now < submitted_at + MAX_WAIT, "it has not started");
    }
    world.assert_no_violations();
}

/// Guards against a call that starts all wide gangs that fit, each of which
/// starts whole.
#[test]
fn one_call_does_not_start_all_gangs_that_fit() {
    const MEMBERS: u32 = 10_000;
    let mut world = World::new(16);
    world.run(200);
    for id in 1..=4 {
        let mut gang = step(MEMBERS, resources(1, 1));
        gang.gang = true;
        world.submit(job(id, "batch", vec![gang]));
    }
    world.stall(100);
    world.run(200);
    let most = world.most_starts_in_a_call;
    assert_eq!(most, MEMBERS as usize);
    world.run(4 * WORK);
    for id in 1..=4 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
    }
    world.assert_no_violations();
}
