//! Executors that give notice: their tasks are moved before they leave.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{JobState, Mechanism, Mechanisms, Step};

use super::world::{job, resources, step, World, LEASE, WORK};

/// How long an executor stays after it has given notice.
const REMAINING: Millis = 2_000;

fn without_departures() -> Mechanisms {
    Mechanisms::all_except([Mechanism::Leaving])
}

fn long(times: Millis, checkpoints: bool) -> Step {
    let mut one = step(1, resources(3_000, 100));
    one.estimate = times * WORK;
    one.checkpoints = checkpoints;
    one
}

impl World {
    /// Makes an executor give notice.
    fn give_notice(&mut self, at: usize, remaining: Millis) {
        self.executors[at].info.draining = true;
        self.executors[at].info.remaining = Some(remaining);
        self.list_entry(at);
    }
}

/// Makes the executor of a job leave. Returns how often the task of the job
/// has started, and the state of the job some time later, long before any
/// lease has expired.
fn moved(mechanisms: Mechanisms, first: Step) -> (u32, Option<JobState>) {
    let work = first.estimate;
    let mut world = World::with_mechanisms(3, mechanisms);
    world.run(50);
    world.submit(job(1, "batch", vec![first]));
    world.run(100);
    let at = world.executors_with(1)[0];
    world.give_notice(at, REMAINING);
    world.run(REMAINING);
    world.executors[at].leave();
    world.run(work + 200);
    let state = world.state(1);
    let starts = world.starts.values().copied().sum();
    world.run(LEASE + work + 5_000);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
    (starts, state)
}

#[test]
fn what_will_not_end_is_started_elsewhere_before_the_executor_goes() {
    for checkpoints in [true, false] {
        let (starts, state) =
            moved(Mechanisms::default(), long(8, checkpoints));
        assert_eq!((starts, state), (2, Some(JobState::Succeeded)));
        // The leader has to wait until the lease of the executor has expired.
        let (starts, state) =
            moved(without_departures(), long(8, checkpoints));
        assert_eq!((starts, state), (1, Some(JobState::Running)));
    }
}

#[test]
fn what_should_end_in_time_stays() {
    let (starts, state) = moved(Mechanisms::default(), long(3, false));
    assert_eq!((starts, state), (1, Some(JobState::Succeeded)));
}

/// The time from the notice of its executor until the task of a job is
/// stopped.
fn stopped_after(first: Step) -> Millis {
    let mut world = World::new(2);
    world.run(50);
    world.submit(job(1, "batch", vec![first]));
    world.run(100);
    let at = world.executors_with(1)[0];
    world.give_notice(at, 2 * REMAINING);
    let noticed = world.now;
    while world.executors_with(1) == [at] {
        world.run(10);
        assert!(world.now < noticed + 2 * REMAINING, "it is moved in time");
    }
    world.now - noticed
}

/// A task that writes checkpoints loses nothing by running until shortly
/// before.
#[test]
fn what_saves_its_progress_stays_longer_than_what_does_not() {
    let (with_checkpoints, without_checkpoints) =
        (long(40, true), long(40, false));
    assert!(stopped_after(with_checkpoints) > REMAINING);
    assert!(stopped_after(without_checkpoints) < REMAINING / 4);
}

#[test]
fn a_gang_is_moved_whole_and_nobody_waits_alone() {
    for mechanisms in [Mechanisms::default(), without_departures()] {
        let moves = mechanisms.enabled(Mechanism::Leaving);
        let mut world = World::with_mechanisms(6, mechanisms);
        world.run(50);
        let mut gang = step(3, resources(3_000, 100));
        gang.gang = true;
        gang.estimate = 8 * WORK;
        world.submit(job(1, "batch", vec![gang]));
        world.run(300);
        let at = world.executors_with(1)[0];
        world.give_notice(at, REMAINING);
        world.run(REMAINING);
        world.executors[at].leave();
        assert!(!moves || world.starts.values().all(|starts| *starts == 2));
        world.run(8 * WORK);
        let state = world.state(1);
        assert_eq!(state == Some(JobState::Succeeded), moves, "{state:?}");
        world.run(LEASE + 20 * WORK);
        assert!(world.unfinished().is_empty());
        world.assert_no_violations();
    }
}

/// Executors leave one after the other while jobs keep arriving. If the leader
/// acts on notices, all jobs end within less than twice their run time.
#[test]
fn under_load_no_job_waits_for_an_executor_that_has_left() {
    for mechanisms in [Mechanisms::default(), without_departures()] {
        let moves = mechanisms.enabled(Mechanism::Leaving);
        let mut world = World::with_mechanisms(12, mechanisms);
        world.run(50);
        let mut late = 0;
        for id in 1..=60 {
            world.submit(job(id, "batch", vec![long(6, id % 2 == 0)]));
            if id % 15 == 0 {
                let at = (id / 15) as usize;
                world.give_notice(at, REMAINING);
            }
            world.run(300);
            if id > 15 && id % 15 == 7 {
                world.executors[(id / 15) as usize].leave();
            }
            if id > 16 {
                let state = world.state(id - 16);
                late += u32::from(state != Some(JobState::Succeeded));
            }
        }
        assert_eq!(late == 0, moves, "{late} late");
        world.run(LEASE + 20 * WORK);
        assert!(world.unfinished().is_empty());
        world.assert_no_violations();
    }
}

/// The successor learns of the notice from the entry of the executor.
#[test]
fn a_takeover_in_the_middle_moves_it_too() {
    let mut world = World::new(3);
    world.run(50);
    world.submit(job(1, "batch", vec![long(20, true)]));
    world.run(100);
    let at = world.executors_with(1)[0];
    world.give_notice(at, REMAINING);
    world.run(200);
    assert_eq!(world.executors_with(1), [at]);
    world.executors[at].info.remaining = Some(REMAINING - 200);
    world.replace_leader();
    world.run(REMAINING - 200);
    world.executors[at].leave();
    let now = world.executors_with(1);
    assert!(now.len() == 1 && now != [at], "{now:?}");
    world.run(30 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// A stop that goes unanswered is waited for: nothing runs twice.
#[test]
fn a_task_whose_stop_is_lost_is_not_started_elsewhere_before_it_is_gone() {
    let mut world = World::new(3);
    world.run(50);
    world.submit(job(1, "batch", vec![long(20, false)]));
    world.run(100);
    let at = world.executors_with(1)[0];
    world.executors[at].isolated = true;
    world.give_notice(at, REMAINING);
    world.run(REMAINING);
    assert_eq!(world.starts.values().sum::<u32>(), 1);
    world.executors[at].leave();
    world.run(2 * LEASE + 40 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}
