//! The room of executors that shrinks and grows while they run.

use puffinknot_core::jobs::{Event, JobState};

use super::world::{job, resources, step, World, WORK};

/// Time enough for what has shrunk to bind.
const BINDS: u64 = 5_000;

/// An executor was given more than it had room for, after a change of
/// leaders. Its room had shrunk while the former one led. The successor knew
/// it from the list of executors that its predecessor had written before
/// that, heard it, and filled the room of then, while the store was slow to
/// tell it of entries.
#[test]
fn a_successor_uses_no_room_of_which_it_has_not_read() {
    let mut world = World::new(1);
    // It has written on which machine the executor lives.
    world.run(2 * BINDS);
    world.resize(0, resources(1_000, 8_000));
    world.list_entry(0);
    world.run(BINDS);
    world.take_over();
    world.run(500);
    for id in 1..=4 {
        world.submit(job(id, "batch", vec![step(1, resources(1_000, 100))]));
    }
    world.run(2 * WORK);
    world.check();
    world.list_all();
    world.run(10 * WORK);
    world.check();
    for id in 1..=4 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
    }
}

/// An executor whose entry is gone when a successor reads them all is as it
/// was known: what the store does not list is no reason to wait.
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

/// Room shrinks under what runs, and under what is kept for a gang, and grows
/// again. Nothing is stopped for it, nothing is started beyond it, and no job
/// is given up that was too large for a while.
#[test]
fn room_that_shrinks_for_a_while_gives_up_nothing() {
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
    world.run(2 * BINDS);
    assert_eq!(world.state(9), Some(JobState::Queued));
    for at in 0..4 {
        world.resize(at, resources(4_000, 8_000));
        world.list_entry(at);
    }
    world.run(8 * BINDS);
    world.check();
    for id in 1..=8 {
        assert_eq!(world.state(id), Some(JobState::Succeeded));
        let task = format!("{id:016x}.0.0.0").parse().expect("a task");
        assert_eq!(world.starts[&task], 1);
    }
}

/// Waves and shrinking room overlap: what comes back from its upkeep is as
/// large as it says.
#[test]
fn a_gang_keeps_to_room_that_has_shrunk_under_it() {
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
    world.run(2 * BINDS);
    assert_eq!(world.state(2), Some(JobState::Queued));
    world.resize(0, resources(4_000, 8_000));
    world.list_entry(0);
    world.run(BINDS);
    world.check();
    assert_eq!(world.state(2), Some(JobState::Succeeded));
}
