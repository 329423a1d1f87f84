//! The number of tasks that wait at the leader.

use puffinknot_core::jobs::{Job, JobId, JobState, Outcome, Repeats, Request};

use super::world::{job, resources, step, World, WORK};

/// The most tasks that may wait, as in the configuration of the scheduler.
const MAX_WAITING_TASKS: u32 = 100_000;

/// A job with this many tasks that no executor may run.
fn waiting_job(id: u64, tasks: u32) -> Job {
    let mut step = step(tasks, resources(1, 1));
    step.label = Some("nowhere".into());
    job(id, "batch", vec![step])
}

/// The same with repetitions that are all due.
fn due_at_once(id: u64, tasks: u32, times: u32) -> Job {
    let repeats = Some(Repeats { first: 0, every: 0, times });
    Job { repeats, ..waiting_job(id, tasks) }
}

#[test]
fn jobs_beyond_the_number_of_waiting_tasks_are_refused() {
    let mut world = World::new(2);
    for id in 1..=10 {
        let submitted = world.submit(due_at_once(id, 10_000, 1));
        world.run(200);
        assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    }
    // Repetitions leave room for this.
    let submitted = world.submit(due_at_once(20, 10_000, 1));
    world.run(200);
    assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    let ordinary = job(30, "batch", vec![step(1, resources(1_000, 500))]);
    let submitted = world.submit(ordinary);
    world.run(4 * WORK);
    assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    assert!(world.scheduler.counters()["repetitions_put_off"] > 0);
    world.assert_no_violations();
}

#[test]
fn repetitions_wait_for_room_and_run_in_the_end() {
    let mut world = World::new(2);
    let blocking = world.submit(due_at_once(1, 20_000, 1_000));
    world.run(200);
    assert_eq!(world.answer_to(blocking), Outcome::Accepted);
    let mut short = job(2, "batch", vec![step(1, resources(1_000, 500))]);
    short.repeats = Some(Repeats { first: 0, every: 0, times: 20 });
    world.submit(short);
    for _ in 0..2 {
        world.replace_leader();
        world.run(2_000);
    }
    let queue = "batch".to_string();
    world.request(Request::Cancel { queue, job: JobId(1) });
    world.run(60 * WORK);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_job_is_refused_while_too_many_tasks_wait() {
    let mut world = World::new(2);
    let submitted = world.submit(due_at_once(1, 20_000, 2));
    world.run(200);
    assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    let mut refused = false;
    for id in 2..=8 {
        let mut large = waiting_job(id, MAX_WAITING_TASKS / 5);
        large.steps[0].lasting = true;
        let submitted = world.submit(large);
        world.run(200);
        refused |= matches!(world.answer_to(submitted), Outcome::Refused(1..));
    }
    assert!(refused);
    assert!(world.scheduler.counters()["refused_many_tasks"] > 0);
}

/// Guards against a leader that takes ever more memory for the tasks that are
/// done of jobs that go on.
#[test]
fn a_job_is_refused_while_too_many_tasks_are_done() {
    const TASKS: u32 = MAX_WAITING_TASKS / 10;
    let mut world = World::new(4);
    world.run(200);
    let mut accepted = 0;
    let mut refused = false;
    for id in 1..=15 {
        let mut last = step(1, resources(1, 1));
        last.lasting = true;
        let steps = vec![step(TASKS, resources(1, 1)), last];
        let submitted = world.submit(job(id, "batch", steps));
        world.run(4 * WORK);
        match world.answer_to(submitted) {
            Outcome::Accepted => accepted += 1,
            outcome => refused |= matches!(outcome, Outcome::Refused(1..)),
        }
    }
    assert!(refused, "{accepted} jobs were accepted");
    assert!((8..=10).contains(&accepted), "{accepted} jobs were accepted");
    world.assert_no_violations();
}
