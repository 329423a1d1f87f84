//! Steps are ordered by which deadlines they can still meet. These tests
//! simulate the decisions in virtual time.

use std::collections::BTreeMap;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Job, JobState, Mechanism, Mechanisms, TaskKey};

use super::world::{job, resources, step, World, WORK};

const EXECUTORS: usize = 8;
/// The slack that the queues of the cell add to twice the run time of a job.
const SLACK: Millis = 1_000;
/// A late step may start this long after the late step before it, and when a
/// run has ended.
const LATE_STEP_INTERVAL: Millis = 1_000 + WORK;

fn first_task(id: u64) -> TaskKey {
    format!("{id:016x}.0.0.0").parse().expect("a task")
}

/// A chain of steps that fill an executor each.
fn chain(id: u64, queue: &str, steps: u32, time: Millis) -> Job {
    let steps = (0..steps).map(|number| {
        let mut work = step(4, resources(1_000, 100));
        work.estimate = time;
        work.after = number.checked_sub(1).into_iter().collect();
        work
    });
    job(id, queue, steps.collect())
}

/// Twice the cell's throughput for some seconds, from short jobs and from
/// chains. Returns how many were done in time.
fn in_time(queue: &str, mechanisms: Mechanisms) -> usize {
    let mut world = World::with_mechanisms(EXECUTORS, mechanisms);
    world.run(100);
    let mut due: BTreeMap<Millis, Vec<u64>> = BTreeMap::new();
    let mut done = 0;
    let end = world.now + 20_000;
    let mut next = 1;
    while world.now < end || !due.is_empty() {
        if world.now < end && world.now % 80 == 0 {
            let (steps, time) = match next % 5 {
                0 => (2, 3 * WORK),
                _ => (1, WORK),
            };
            let whole = 2 * Millis::from(steps) * time + SLACK;
            due.entry(world.now + whole).or_default().push(next);
            world.submit(chain(next, queue, steps, time));
            next += 1;
        }
        world.run(20);
        while let Some(entry) = due.first_entry() {
            if *entry.key() > world.now {
                break;
            }
            let ended = entry.remove();
            let ended = ended
                .into_iter()
                .filter(|id| world.state(*id) == Some(JobState::Succeeded));
            done += ended.count();
        }
    }
    world.assert_no_violations();
    done
}

#[test]
fn more_is_in_time_in_an_overload_than_by_deadlines() {
    for queue in ["urgent", "batch"] {
        let by_latest_start = in_time(queue, Mechanisms::default());
        let by_deadline =
            in_time(queue, Mechanisms::all_except([Mechanism::LatestStart]));
        assert!(by_latest_start > by_deadline);
    }
}

/// Steps that can't be in time any more start eventually, even while there are
/// always enough that can.
#[test]
fn what_is_late_is_not_starved() {
    for queue in ["urgent", "batch"] {
        let mut world = World::new(1);
        world.run(100);
        for id in 1..=4 {
            world.submit(chain(id, queue, 1, 20 * WORK));
            world.run(20);
        }
        // Three of them wait until they are late; the jobs that arrive later
        // are never late.
        let since = world.now;
        let mut next = 100;
        while !world.starts.contains_key(&first_task(4)) {
            world.submit(chain(next, queue, 1, WORK));
            next += 1;
            world.run(WORK);
            let waited = world.now - since;
            assert!(
                waited <= 4 * (20 * WORK + LATE_STEP_INTERVAL),
                "{waited}"
            );
        }
        world.assert_no_violations();
    }
}

/// A step that is wider than the cell takes several rounds, and has to start
/// that much earlier.
#[test]
fn a_step_wider_than_the_cell_goes_by_its_rounds() {
    let mut world = World::new(2);
    world.run(100);
    world.submit(chain(1, "batch", 2, WORK));
    world.run(50);
    // Both have the same deadline; the second one takes four rounds.
    world.submit(chain(2, "batch", 1, 2 * WORK));
    let mut wide = step(32, resources(1_000, 100));
    wide.estimate = 2 * WORK;
    world.submit(job(3, "batch", vec![wide]));
    world.submit(chain(4, "batch", 1, 2 * WORK));
    while !world.starts.contains_key(&first_task(3)) {
        world.run(20);
    }
    assert!(!world.starts.contains_key(&first_task(4)));
    world.run(40 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}
