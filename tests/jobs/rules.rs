//! What must hold without any fault.

use puffinknot_core::jobs::model::Repeats;
use puffinknot_core::jobs::{
    Event, JobId, JobState, Mechanism, Mechanisms, Outcome, Request,
};

use super::world::{job, resources, step, World, WORK};

#[test]
fn a_job_is_accepted_run_and_shown_as_done() {
    let mut world = World::new(2);
    let id =
        world.submit(job(1, "urgent", vec![step(2, resources(500, 100))]));
    assert_eq!(world.replies.get(&id), None, "nothing is written yet");
    world.run(40);
    assert_eq!(world.replies[&id], Outcome::Accepted);
    assert_eq!(world.state(1), Some(JobState::Running));
    world.run(WORK + 100);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn the_same_job_twice_remains_one() {
    let mut world = World::new(2);
    let one = job(1, "urgent", vec![step(1, resources(500, 100))]);
    let first = world.submit(one.clone());
    let second = world.submit(one.clone());
    world.run(WORK + 200);
    let third = world.submit(one);
    for id in [first, second, third] {
        assert_eq!(world.replies[&id], Outcome::Accepted);
    }
    assert_eq!(world.starts.values().sum::<u32>(), 1);
}

#[test]
fn a_step_waits_for_those_before_it() {
    let mut world = World::new(2);
    let mut second = step(2, resources(500, 100));
    second.after = vec![0];
    let steps = vec![step(3, resources(500, 100)), second];
    world.submit(job(1, "batch", steps));
    world.run(2 * WORK + 300);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn no_executor_gets_more_than_it_has() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![step(20, resources(1_500, 100))]));
    world.run(6 * WORK + 600);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut world = World::new(2);
    world.submit(job(1, "urgent", vec![step(2, resources(3_000, 100))]));
    world.run(50);
    let mut gang = step(2, resources(2_000, 100));
    gang.gang = true;
    world.submit(job(2, "batch", vec![gang]));
    world.run(100);
    let started = world.starts.keys().any(|t| t.step.job == JobId(2));
    assert!(!started, "two members do not fit yet");
    world.run(2 * WORK + 300);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_task_that_fails_is_tried_as_often_as_it_may() {
    let mut world = World::new(2);
    let one = job(1, "batch", vec![step(1, resources(500, 100))]);
    let task = "0000000000000001.0.0.0".parse().expect("a task");
    world.failing.insert(task, 2);
    world.submit(one);
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task], 3);
    let two = job(2, "batch", vec![step(1, resources(500, 100))]);
    let task = "0000000000000002.0.0.0".parse().expect("a task");
    world.failing.insert(task, 9);
    world.submit(two);
    world.run(5 * WORK);
    assert_eq!(world.state(2), Some(JobState::Failed));
    assert_eq!(world.starts[&task], 3);
    world.assert_no_violations();
}

#[test]
fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![step(2, resources(500, 100))]));
    world.run(100);
    let queue = "batch".to_string();
    let cancel = Request::Cancel { queue, job: JobId(1) };
    let id = world.request(cancel);
    assert_eq!(world.replies.get(&id), None, "it has to be written first");
    world.run(60);
    assert_eq!(world.replies[&id], Outcome::Cancelled);
    world.run(2 * WORK);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert_eq!(world.starts.values().sum::<u32>(), 2);
}

#[test]
fn advice_limits_where_tasks_run() {
    let mut world = World::new(6);
    world.submit(job(1, "advised", vec![step(4, resources(500, 100))]));
    world.run(WORK + 300);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn repetitions_begin_when_they_are_due() {
    let mut world = World::new(2);
    let mut timed = job(1, "batch", vec![step(1, resources(500, 100))]);
    timed.repeats = Some(Repeats { first: 3_000, every: 2_000, times: 2 });
    world.submit(timed);
    world.run(1_500);
    assert!(world.starts.is_empty(), "it is not due");
    world.run(1_000);
    assert_eq!(world.starts.len(), 1);
    world.run(3_500);
    assert_eq!(world.starts.len(), 2);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

#[test]
fn labels_and_the_bound_for_one_executor_are_kept() {
    let mut world = World::new(3);
    world.executors[2].info.labels = vec!["b".into()];
    let info = world.executors[2].info.clone();
    world.event(puffinknot_core::jobs::Event::Listed(info));
    let mut labelled = step(2, resources(500, 100));
    labelled.label = Some("b".into());
    labelled.max_per_executor = 1;
    world.submit(job(1, "batch", vec![labelled]));
    world.run(200);
    assert_eq!(world.starts.len(), 1, "one at a time on the only executor");
    world.run(2 * WORK + 200);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

#[test]
fn ended_jobs_do_not_pile_up_in_the_store() {
    let mut world = World::new(4);
    for id in 1..=400 {
        world.submit(job(id, "urgent", vec![step(1, resources(500, 100))]));
        world.run(30);
    }
    world.run(3 * WORK);
    let records = world.store.keys().filter(|k| k.starts_with("record/"));
    assert!(records.count() <= 90);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// Whether a task that needs a whole executor ends while small tasks keep
/// arriving.
fn wide_task_ends(mechanisms: Mechanisms) -> bool {
    let mut world = World::with_mechanisms(2, mechanisms);
    world.run(100);
    let mut wide = 0;
    for id in 1..=120 {
        world.submit(job(id, "batch", vec![step(1, resources(1_000, 100))]));
        if id == 20 {
            world.submit(job(
                500,
                "batch",
                vec![step(1, resources(4_000, 100))],
            ));
            wide = 500;
        }
        world.run(50);
    }
    let ended = world.state(wide) == Some(JobState::Succeeded);
    world.run(20 * WORK);
    assert_eq!(world.state(wide), Some(JobState::Succeeded));
    world.assert_no_violations();
    ended
}

/// Guards against small tasks that take everything that becomes free, so that
/// a wide task that is not a gang waits for as long as they arrive.
#[test]
fn a_wide_task_gets_its_turn_while_small_ones_come() {
    let off = Mechanisms::all_except([Mechanism::GangReservations]);
    assert!(!wide_task_ends(off), "it waits without a reservation");
    assert!(wide_task_ends(Mechanisms::default()));
}

/// Guards against steps that all ask for advice about the same hundred
/// executors, the first of the list, which are full because of that. In a cell
/// of 1,100 executors, wide gangs waited for 5 s while two fifths of the cell
/// were idle.
#[test]
fn advice_is_asked_of_executors_with_capacity() {
    const EXECUTORS: usize = 300;
    const FULL: u32 = 150;
    let mut world = World::new(EXECUTORS);
    world.run(500);
    let mut filling = step(FULL, resources(4_000, 100));
    filling.estimate = 100 * WORK;
    world.submit(job(1, "batch", vec![filling]));
    world.run(200);
    assert_eq!(world.starts.len(), FULL as usize);
    let mut gang = step(20, resources(4_000, 100));
    gang.gang = true;
    world.submit(job(2, "advised", vec![gang]));
    // Its commit and one call for advice.
    world.run(200);
    assert_eq!(world.starts.len(), FULL as usize + 20);
    assert_eq!(world.scheduler.counters()["advised"], 1, "one call is enough");
    world.assert_no_violations();
}

/// Guards against a gang that waits forever in an empty cell. A gang on more
/// executors than one call may cover must not renew all its tickets in one
/// call, which would be refused each time.
#[test]
fn a_gang_gets_tickets_from_several_calls_at_one_time() {
    const EXECUTORS: usize = 300;
    const WIDTH: u32 = 180;
    let mut world = World::new(EXECUTORS);
    let nodes = ["a", "b", "c", "d"].map(String::from);
    world.event(puffinknot_core::jobs::Event::Advisors(nodes.to_vec()));
    world.advice_takes = 900;
    world.run(500);
    let mut gang = step(WIDTH, resources(4_000, 100));
    gang.gang = true;
    world.submit(job(1, "advised", vec![gang]));
    world.run(6_000);
    assert_eq!(world.starts.len(), WIDTH as usize);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// Guards against a gang whose first advice takes as long as one node needs to
/// obtain advice on all executors.
#[test]
fn long_calls_for_advice_are_made_in_parts_while_nodes_are_free() {
    let asked = |mechanisms: Mechanisms| {
        let mut world = World::with_mechanisms(40, mechanisms);
        let names = (0..8).map(|node| format!("n{node}")).collect();
        world.event(Event::Advisors(names));
        world.run(50);
        let mut gang = step(4, resources(1_000, 100));
        gang.gang = true;
        world.submit(job(1, "dear", vec![gang]));
        world.run(3 * WORK);
        assert_eq!(world.state(1), Some(JobState::Succeeded));
        world.advice_sizes
    };
    assert_eq!(asked(Mechanisms::default()), [20, 20]);
    assert_eq!(
        asked(Mechanisms::all_except([Mechanism::ParallelAdvice])),
        [40]
    );
}
