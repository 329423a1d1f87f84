//! Tasks that crash the executors that start them, and tasks that were only
//! beside them.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{JobState, TaskKey};

use super::world::{
    job, resources, step, Crashes, World, RESTART_DELAY, WORK,
};

/// A crash that is seen at once: connections are reset.
const SEEN: Crashes = Crashes { after: 10, silent: false };
/// The number of the first job that crashes executors.
const CRASHING: u64 = 1_000;
/// The time between two jobs on a cell whose executors crash by themselves.
const ROUND: Millis = 100;
/// The points within it at which that begins.
const OFFSETS: Millis = 25;
/// Time enough for a task to crash executors as often as it may.
const LONG_ENOUGH: Millis = 60_000;

fn task(job: u64) -> TaskKey {
    format!("{job:016x}.0.0.0").parse().expect("a task")
}

/// Hands a job in whose first task crashes executors.
fn submit_crashing(world: &mut World, id: u64, queue: &str, how: Crashes) {
    world.crashing.insert(task(id), how);
    world.submit(job(id, queue, vec![step(2, resources(300, 100))]));
}

/// Hands a job in that harms nobody.
fn submit_harmless(world: &mut World, id: u64) {
    let mut work = step(2, resources(600, 100));
    work.estimate = 2 * WORK;
    world.submit(job(id, "batch", vec![work]));
}

/// How many executors a task has crashed.
fn crashed(world: &World, job: u64) -> usize {
    world.crashed.get(&task(job)).map_or(0, Vec::len)
}

/// Half of a service's executors had stopped to answer within seconds, and
/// went on to do so all day. Two tasks were started three times more after
/// three executors had crashed under each.
///
/// Order of events: a client hands in jobs of which one task each crashes its
/// executor some milliseconds after its start. All that runs there is lost.
/// A second later the leader learns that from the list of machines, and
/// starts what was lost again, elsewhere. The same tasks crash the next
/// executors.
///
/// Cause: nothing tied the loss of an executor to what had just been started
/// there. What is lost with an executor went back among the tasks that wait,
/// without a trace, and only ends that an executor reports count as attempts.
///
/// Evidence: in logs of such a day, connections to executors broke 4 to 16 ms
/// after the start of one of the same twelve tasks, and what else ran there
/// had run for 185 ms at the least; 479 lives were over, and no counter but
/// that had moved. This test, and the others here, bring it about.
#[test]
fn a_task_that_crashes_executors_is_given_up() {
    let mut world = World::new(12);
    world.run(100);
    submit_crashing(&mut world, CRASHING, "urgent", SEEN);
    submit_crashing(&mut world, CRASHING + 1, "urgent", SEEN);
    world.run(LONG_ENOUGH);
    world.check();
    for id in [CRASHING, CRASHING + 1] {
        assert_eq!(world.state(id), Some(JobState::Failed));
    }
    world.check_states();
    world.check();
}

/// The greater harm was done to others: what ran on the executors was lost
/// with them, again and again. Twelve such jobs among others cost a cell of
/// 24 executors a few of them, and no other job.
#[test]
fn few_executors_are_lost_and_no_other_job() {
    let mut world = World::new(24);
    world.run(100);
    for id in 0..200 {
        submit_harmless(&mut world, id + 1);
        if id % 8 == 0 && id < 96 {
            submit_crashing(&mut world, CRASHING + id / 8, "urgent", SEEN);
        }
        world.run(50);
    }
    world.run(LONG_ENOUGH);
    world.check_states();
    world.check();
    let mut sum = 0;
    for id in 0..12 {
        assert_eq!(world.state(CRASHING + id), Some(JobState::Failed));
        sum += crashed(&world, CRASHING + id);
    }
    assert!(sum <= 12 * 3, "{sum} executors were crashed");
    for id in 0..200 {
        assert_eq!(world.state(id + 1), Some(JobState::Succeeded), "{id}");
    }
}

/// The executor falls without a word: neither its connections nor its host
/// say so. When it fell is known to a second or so only.
#[test]
fn a_task_that_silences_executors_is_given_up() {
    let silent = Crashes { after: 10, silent: true };
    given_up_in_time(silent, |_| {});
}

/// The executor falls some time after the start, when it has said already
/// that the task runs.
#[test]
fn a_task_that_crashes_executors_later_is_given_up() {
    let later = Crashes { after: 400, silent: false };
    given_up_in_time(later, |_| {});
}

/// Another leader takes over after each crash: what is known of the task has
/// to be in the store by then.
#[test]
fn what_is_known_of_a_task_outlives_its_leader() {
    given_up_in_time(SEEN, |world| world.replace_leader());
}

/// Plays one such task in a cell that has other work, with `between` after
/// each crash once that was noticed.
fn given_up_in_time(how: Crashes, between: impl Fn(&mut World)) {
    let mut world = World::new(8);
    world.run(100);
    submit_crashing(&mut world, CRASHING, "batch", how);
    let mut seen = 0;
    for round in 0..60 {
        submit_harmless(&mut world, round + 1);
        world.run(WORK);
        if crashed(&world, CRASHING) > seen {
            seen = crashed(&world, CRASHING);
            world.run(3 * RESTART_DELAY);
            between(&mut world);
        }
    }
    world.run(LONG_ENOUGH / 3);
    world.check_states();
    world.check();
    assert_eq!(world.state(CRASHING), Some(JobState::Failed));
    for round in 0..60 {
        assert_eq!(world.state(round + 1), Some(JobState::Succeeded));
    }
}

/// A member of a gang crashes its executor. Which one it is can't be told;
/// the gang is given up as one.
#[test]
fn a_gang_that_crashes_executors_is_given_up() {
    let mut world = World::new(8);
    world.run(100);
    let mut gang = step(4, resources(2_500, 100));
    gang.gang = true;
    let member: TaskKey = task(CRASHING).step.task(2);
    world.crashing.insert(member, SEEN);
    world.submit(job(CRASHING, "batch", vec![gang]));
    world.run(LONG_ENOUGH);
    world.check();
    assert_eq!(world.state(CRASHING), Some(JobState::Failed));
}

/// The same in silence.
#[test]
fn a_gang_that_silences_executors_is_given_up() {
    let mut world = World::new(8);
    world.run(100);
    let mut gang = step(2, resources(2_500, 100));
    gang.gang = true;
    let silent = Crashes { after: 10, silent: true };
    world.crashing.insert(task(CRASHING), silent);
    world.submit(job(CRASHING, "batch", vec![gang]));
    world.run(LONG_ENOUGH);
    world.check();
    assert_eq!(world.state(CRASHING), Some(JobState::Failed));
    assert!(crashed(&world, CRASHING) <= 5);
}

/// A task that needs advice is lost with its tickets.
#[test]
fn an_advised_task_that_crashes_executors_is_given_up() {
    let mut world = World::new(12);
    world.run(100);
    submit_crashing(&mut world, CRASHING, "advised", SEEN);
    world.run(LONG_ENOUGH);
    world.check();
    assert_eq!(world.state(CRASHING), Some(JobState::Failed));
}

/// Executors crash by themselves, one after the other, so that each task is
/// lost a few times. None of them is given up for that, wherever the leader is
/// in its rounds when it begins.
#[test]
fn tasks_on_executors_that_crash_by_themselves_are_not_given_up() {
    for offset in 0..OFFSETS {
        crash_by_themselves(offset * ROUND / OFFSETS);
    }
}

fn crash_by_themselves(offset: Millis) {
    let mut world = World::new(12);
    world.run(ROUND + offset);
    for round in 0..160 {
        submit_harmless(&mut world, round + 1);
        world.run(ROUND);
        if round % 4 == 0 {
            // Whatever lives at the next address in turn.
            let address = format!("x{}", (round / 4) % 12);
            let life = world
                .executors
                .iter()
                .position(|e| !e.dead && e.info.address == address);
            if let Some(life) = life {
                world.crash_by_itself(life, round % 8 == 0);
            }
        }
    }
    all_succeed(world, 160);
}

/// How executors crash by themselves, one after the other.
#[derive(Clone, Copy, Debug)]
struct Storm {
    executors: usize,
    /// The time between two jobs.
    round: Millis,
    /// One executor crashes with each so many jobs.
    each: u64,
    /// One crash of so many is silent.
    silent: u64,
    /// When it begins within a round, in 25ths of it.
    offset: u64,
}

impl Storm {
    /// Plays so many jobs, and returns which of them were given up.
    fn play(self, jobs: u64) -> Vec<u64> {
        let mut world = World::new(self.executors);
        world.run(self.round + self.offset * self.round / OFFSETS);
        for at in 0..jobs {
            submit_harmless(&mut world, at + 1);
            world.run(self.round);
            if at % self.each == 0 {
                let crash = at / self.each;
                let next = crash as usize % self.executors;
                crash_next(&mut world, next, crash % self.silent == 0);
            }
        }
        world.run(LONG_ENOUGH);
        world.check_states();
        let failed = |id: &u64| world.state(*id) == Some(JobState::Failed);
        (1..=jobs).filter(failed).collect()
    }
}

/// Whatever lives at the next address in turn crashes.
fn crash_next(world: &mut World, at: usize, silent: bool) {
    let address = format!("x{at}");
    let mut lives = world.executors.iter();
    let life = lives.position(|e| !e.dead && e.info.address == address);
    if let Some(life) = life {
        world.crash_by_itself(life, silent);
    }
}

/// Guards against harmless tasks that are given up as executors begin to crash
/// in a cell of which nothing is known yet.
#[test]
fn the_first_tasks_of_a_small_cell_are_not_given_up() {
    let mut given_up = Vec::new();
    for round in [50, 100, 230] {
        for each in [2, 4, 7] {
            for silent in [1, 2, 8] {
                for offset in (0..OFFSETS).step_by(6) {
                    let executors = 6;
                    let storm =
                        Storm { executors, round, each, silent, offset };
                    let failed = storm.play(160);
                    if !failed.is_empty() {
                        given_up.push((storm, failed));
                    }
                }
            }
        }
    }
    assert!(given_up.is_empty(), "{}: {given_up:#?}", given_up.len());
}

/// Half of the cell loses power, again and again, each time just after the
/// lost tasks were started anew.
#[test]
fn tasks_that_lose_power_together_are_not_given_up() {
    let mut world = World::new(12);
    world.run(100);
    for round in 0..40 {
        submit_harmless(&mut world, round + 1);
    }
    world.run(20);
    for round in 0..4 {
        for at in 0..6 {
            let address = format!("x{}", (at + 6 * (round % 2)) % 12);
            let life = world
                .executors
                .iter()
                .position(|e| !e.dead && e.info.address == address);
            if let Some(life) = life {
                world.crash_by_itself(life, false);
            }
        }
        world.run(1_100);
    }
    all_succeed(world, 40);
}

fn all_succeed(mut world: World, jobs: u64) {
    world.run(LONG_ENOUGH);
    world.check_states();
    world.check();
    for id in 1..=jobs {
        assert_eq!(world.state(id), Some(JobState::Succeeded), "{id}");
    }
}
