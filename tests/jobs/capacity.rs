//! Executors whose capacity shrinks and grows while they run.

use puffinknot_core::jobs::{Event, JobState};

use super::world::{job, resources, step, World, WORK};

/// Enough time for reduced capacity to bind.
const BINDING_DELAY: u64 = 5_000;

/// Guards against an executor that is given more than its capacity after a
/// change of leaders. Its capacity has shrunk under the former leader. The
/// successor knows its former capacity from the executor list that its
/// predecessor wrote earlier. It must not fill that capacity when it has heard
/// the executor but the store is slow to deliver entries.
#[test]
fn a_successor_uses_no_capacity_of_which_it_has_not_read() {
    let mut world = World::new(1);
    // The leader has written which machine hosts the executor.
    world.run(2 * BINDING_DELAY);
    world.resize(0, resources(1_000, 8_000));
    world.list_entry(0);
    world.run(BINDING_DELAY);
    world.take_over();
    world.run(500);
    for id in 1..=4 {
        world.submit(job(id, "batch", vec![step(1, resources(1_000, 100))]));
    }
    world.run(2 * WORK);
    world.assert_no_violations();
    world.list_all();
    world.run(10 * WORK);
    world.assert_no_violations();
    for id in 1..=4 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
    }
}

/// An executor without an entry when a successor reads all entries keeps its
/// known capacity: a missing entry is no reason to wait.
#[test]
fn a_successor_uses_an_executor_that_is_not_listed() {
    let mut world = World::new(1);
    world.run(200);
    world.take_over();
    world.event(Event::EntriesRead);
    world.submit(job(1, "batch", vec![step(1, resources(1_000, 100))]));
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// Capacity shrinks below what runs, and below what is reserved for a gang,
/// and grows again. Nothing is stopped for that, nothing starts beyond the
/// capacity, and no job is given up because it was too large for a while.
#[test]
fn capacity_that_shrinks_for_a_while_gives_up_nothing() {
    let mut world = World::new(4);
    world.run(200);
    for id in 1..=8 {
        let mut work = step(2, resources(1_500, 100));
        work.estimate = 6 * WORK;
        world.submit(job(id, "batch", vec![work]));
    }
    let mut gang = step(4, resources(3_500, 100));
    gang.gang = true;
    world.submit(job(9, "advised", vec![gang]));
    world.run(1_000);
    for at in 0..4 {
        world.resize(at, resources(1_000, 1_000));
        world.list_entry(at);
    }
    world.run(2 * BINDING_DELAY);
    assert_eq!(world.state(9), Some(JobState::Queued));
    for at in 0..4 {
        world.resize(at, resources(4_000, 8_000));
        world.list_entry(at);
    }
    world.run(8 * BINDING_DELAY);
    world.assert_no_violations();
    for id in 1..=8 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
        let task = format!("{id:016x}.0.0.0").parse().expect("a task");
        assert_eq!(world.starts[&task], 1);
    }
}

/// Maintenance waves and shrinking capacity overlap: an executor that returns
/// from maintenance has the capacity that it reports.
#[test]
fn a_gang_keeps_to_capacity_that_has_shrunk_under_it() {
    let mut world = World::new(3);
    world.run(200);
    let mut first = step(3, resources(3_000, 100));
    first.estimate = 4 * WORK;
    let mut gang = step(3, resources(2_500, 100));
    gang.gang = true;
    world.submit(job(1, "batch", vec![first]));
    world.submit(job(2, "batch", vec![gang]));
    world.run(300);
    world.resize(0, resources(2_000, 8_000));
    world.list_entry(0);
    world.run(2 * BINDING_DELAY);
    assert_eq!(world.state(2), Some(JobState::Queued));
    world.resize(0, resources(4_000, 8_000));
    world.list_entry(0);
    world.run(BINDING_DELAY);
    world.assert_no_violations();
    assert_eq!(world.state(2), Some(JobState::Succeeded));
}
