//! The speeds of executors are learnt from runs, and callers benefit from
//! that.

use std::collections::BTreeMap;

use puffinknot_core::jobs::model::StepKey;
use puffinknot_core::jobs::record::{self, Shard};
use puffinknot_core::jobs::speed::{compare, EstimateError, Speed, StepTimes};
use puffinknot_core::jobs::{Job, JobId, JobState, Mechanism, Mechanisms};

use super::world::{job, resources, step, World, LEASE, WORK};

/// The run times on a quick executor, in percent of normal.
const QUICK_PERCENT: u64 = 50;

fn without_speeds() -> Mechanisms {
    Mechanisms::all_except([Mechanism::Speeds])
}

/// A job of single tasks that fill an executor each.
fn wide(id: u64, queue: &str, tasks: u32) -> Job {
    job(id, queue, vec![step(tasks, resources(4_000, 100))])
}

/// A cell whose last executors are quick.
fn with_quick_executors(
    executors: usize,
    quick: usize,
    mechanisms: Mechanisms,
) -> World {
    let mut world = World::with_mechanisms(executors, mechanisms);
    for executor in &mut world.executors[executors - quick..] {
        executor.run_time_percent = QUICK_PERCENT;
    }
    world.run(50);
    world
}

/// Runs jobs that occupy all executors, this many times.
fn run_rounds(world: &mut World, first: u64, rounds: u64) {
    let all = world.executors.len() as u32;
    for id in first..first + rounds {
        world.submit(wide(id, "batch", all));
        world.run(3 * WORK);
    }
}

/// Reduces the slack of urgent jobs to a fifth of their run time plus 100 ms.
fn tighten_objective(world: &mut World) {
    world.set_policy(|policy| {
        let queue = policy.queues.get_mut("urgent").expect("a queue");
        (queue.stretch, queue.target) = (1.2, 100);
    });
}

fn percent(world: &World, at: usize) -> u64 {
    let id = &world.executors[at].info.id;
    let incarnations =
        (0..1_000).filter_map(|index| world.scheduler.executor(index));
    let mut incarnations =
        incarnations.filter(|executor| executor.info.id == *id);
    let newest = incarnations.next_back();
    let slowness = newest.expect("a known executor").speed.slowness();
    (slowness.exp() * 100.0).round() as u64
}

fn counted(world: &World, name: &str) -> u64 {
    world.scheduler.counters().get(name).copied().unwrap_or(0)
}

#[test]
fn two_groups_of_executors_are_found_within_a_few_runs() {
    let mut world = with_quick_executors(8, 2, Mechanisms::default());
    run_rounds(&mut world, 1, 8);
    for at in 6..8 {
        assert!(percent(&world, at) < 70, "{at}: {}", percent(&world, at));
    }
    for at in 0..6 {
        let known = percent(&world, at);
        assert!((90..150).contains(&known), "{at}: {known}");
    }
    world.assert_no_violations();
}

#[test]
fn executors_that_are_alike_are_decided_on_as_if_nothing_were_learnt() {
    let play = |mechanisms: Mechanisms| {
        let mut world = with_quick_executors(8, 0, mechanisms);
        let mut where_to = Vec::new();
        for id in 1..40 {
            let queue = ["urgent", "batch", "background"][id as usize % 3];
            let mut work = step(3, resources(1_000 + 70 * id as u32, 100));
            work.gang = id % 5 == 0;
            world.submit(job(id, queue, vec![work]));
            world.run(100);
            where_to.push(world.executors_with(id));
        }
        world.run(20 * WORK);
        world.assert_no_violations();
        (where_to, world.starts.clone())
    };
    assert_eq!(play(Mechanisms::default()), play(without_speeds()));
}

#[test]
fn one_that_turns_slow_is_noticed_within_a_few_runs() {
    let mut world = with_quick_executors(8, 0, Mechanisms::default());
    run_rounds(&mut world, 1, 10);
    for slow in [4, 8] {
        let at = slow as usize;
        world.executors[at - 1].run_time_percent = 100 * slow;
    }
    // Three runs on each, which last longer than their steps should.
    for id in 20..23 {
        world.submit(wide(id, "batch", 8));
        world.run(8 * WORK);
    }
    for at in [3, 7] {
        assert!(percent(&world, at) > 200, "{at}: {}", percent(&world, at));
    }
    // Urgent tasks go elsewhere while others have capacity.
    for id in 30..40 {
        world.submit(wide(id, "urgent", 1));
        world.run(20);
        let at = world.executors_with(id);
        assert!(!at.contains(&3) && !at.contains(&7), "{at:?}");
        world.run(3 * WORK);
    }
    world.assert_no_violations();
}

#[test]
fn one_that_recovers_is_tried_again() {
    let mut world = with_quick_executors(4, 0, Mechanisms::default());
    run_rounds(&mut world, 1, 6);
    world.executors[0].run_time_percent = 800;
    for id in 20..24 {
        world.submit(wide(id, "batch", 4));
        world.run(8 * WORK);
    }
    assert!(percent(&world, 0) > 200);
    world.executors[0].run_time_percent = 100;
    // No job needs the executor, and the evidence fades.
    world.run(60_000);
    assert_eq!(percent(&world, 0), 100);
    run_rounds(&mut world, 30, 4);
    assert_eq!(percent(&world, 0), 100);
    world.assert_no_violations();
}

/// An executor that receives hard tasks over and over is not slow: all tasks
/// of a step are equally hard, wherever they run.
#[test]
fn hard_work_is_not_slowness() {
    let mut world = with_quick_executors(4, 0, Mechanisms::default());
    run_rounds(&mut world, 1, 6);
    for id in 20..30 {
        let hard = id % 2 == 0;
        let work = wide(id, "batch", 4);
        for index in 0..4 {
            let task = format!("{id:016x}.0.0.{index}");
            let takes = if hard { 400 } else { 100 };
            world
                .run_time_percents
                .insert(task.parse().expect("a task"), takes);
        }
        world.submit(work);
        world.run(5 * WORK);
    }
    for at in 0..4 {
        assert_eq!(percent(&world, at), 100, "executor {at}");
    }
    world.assert_no_violations();
}

#[test]
fn a_new_incarnation_is_known_by_nothing() {
    let mut world = with_quick_executors(6, 1, Mechanisms::default());
    run_rounds(&mut world, 1, 8);
    assert!(percent(&world, 5) < 70);
    world.keep_names = true;
    world.restart(5, 1);
    world.run(2 * LEASE);
    assert_eq!(percent(&world, 5), 100);
    world.assert_no_violations();
}

/// A successor places tasks by what its predecessor has learnt, which the
/// predecessor writes only a few times.
#[test]
fn a_successor_knows_the_speeds() {
    let mut world = with_quick_executors(8, 2, Mechanisms::default());
    run_rounds(&mut world, 1, 16);
    assert!(counted(&world, "speeds_kept") <= 4);
    world.replace_leader();
    world.run(500);
    assert!(percent(&world, 6) < 70 && percent(&world, 7) < 70);
    for at in 0..6 {
        assert!(percent(&world, at) > 90);
    }
    tighten_objective(&mut world);
    let quick = urgent_tasks_on_quick(&mut world, 100);
    assert_eq!(quick, 2, "both quick executors are used");
    world.assert_no_violations();
}

fn urgent_tasks_on_quick(world: &mut World, id: u64) -> usize {
    world.submit(wide(id, "urgent", 2));
    world.run(20);
    let at = world.executors_with(id);
    world.run(4 * WORK);
    at.into_iter()
        .filter(|at| world.executors[*at].run_time_percent == QUICK_PERCENT)
        .count()
}

#[test]
fn a_shard_of_an_earlier_version_can_be_read() {
    let mut world = with_quick_executors(4, 1, Mechanisms::default());
    run_rounds(&mut world, 1, 8);
    let names =
        world.store.keys().filter(|n| n.starts_with(record::SHARD_PREFIX));
    let names: Vec<String> = names.cloned().collect();
    for name in names {
        let shard = Shard::read(&world.store[&name]).expect("a shard");
        // An earlier version wrote the executors only.
        let former = record::encode(&shard.executors);
        let read = Shard::read(&former).expect("a former shard");
        assert_eq!(read.executors, shard.executors);
        assert!(read.speeds.is_empty());
        world.store.insert(name, former);
    }
    world.replace_leader();
    assert_eq!(world.scheduler.executor_count(), 4);
}

/// Urgent jobs beside normal jobs, on executors of which a quarter are quick
/// and the others slow. Returns how many urgent jobs were in time, and their
/// total.
fn urgent_in_time(mechanisms: Mechanisms, takeover: bool) -> (usize, usize) {
    let mut world = with_quick_executors(8, 2, mechanisms);
    tighten_objective(&mut world);
    for executor in &mut world.executors[..6] {
        executor.run_time_percent = 160;
    }
    run_rounds(&mut world, 1, 10);
    let mut due: BTreeMap<u64, u64> = BTreeMap::new();
    let mut in_time = 0;
    for round in 0..60 {
        if round == 30 && takeover {
            world.replace_leader();
        }
        let (batch, urgent) = (100 + round, 1_000 + round);
        let tasks = step(4, resources(2_000, 100));
        world.submit(job(batch, "batch", vec![tasks]));
        world.run(50);
        world.submit(job(
            urgent,
            "urgent",
            vec![step(1, resources(2_000, 100))],
        ));
        due.insert(urgent, world.now + WORK * 6 / 5 + 100);
        for _ in 0..45 {
            world.run(10);
            let over = |world: &mut World, job: &u64| {
                world.state(*job) == Some(JobState::Succeeded)
            };
            let now = world.now;
            let ended: Vec<u64> =
                due.keys().copied().filter(|j| over(&mut world, j)).collect();
            for job in ended {
                let by = due.remove(&job).expect("it was due");
                in_time += usize::from(now <= by);
            }
        }
    }
    world.run(20 * WORK);
    assert!(world.unfinished().is_empty(), "normal jobs are done, too");
    world.assert_no_violations();
    (in_time, 60)
}

#[test]
fn urgent_work_is_in_time_where_a_quarter_is_quick() {
    let (with, all) = urgent_in_time(Mechanisms::default(), false);
    let (less, _) = urgent_in_time(without_speeds(), false);
    assert!(with >= all * 95 / 100, "{with} of {all} in time");
    assert!(less <= all / 2, "{less} of {all} in time without");
}

#[test]
fn a_takeover_costs_urgent_work_little() {
    let (with, all) = urgent_in_time(Mechanisms::default(), true);
    assert!(with >= all * 9 / 10, "{with} of {all} in time");
}

/// The members of a gang end with the slowest one: normal gangs avoid the
/// quick executors where others have capacity for all members.
#[test]
fn members_of_a_gang_are_alike() {
    let mut world = with_quick_executors(8, 2, Mechanisms::default());
    run_rounds(&mut world, 1, 10);
    let mut members = step(4, resources(3_000, 100));
    members.gang = true;
    world.submit(job(50, "background", vec![members.clone()]));
    world.run(100);
    let at = world.executors_with(50);
    assert_eq!(at.len(), 4);
    assert!(at.iter().all(|at| *at < 6), "{at:?}");
    world.run(4 * WORK);
    // There is not enough capacity for all of them on executors of equal
    // speed.
    members.count = 8;
    world.submit(job(51, "background", vec![members]));
    world.run(4 * WORK);
    assert_eq!(world.state(51), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// Estimates that are all too low by the same factor are corrected, and the
/// remaining tasks of a step are estimated from those that have ended.
#[test]
fn the_error_of_guesses_is_learnt() {
    let mut error = EstimateError::default();
    let alike = |time: u64| {
        let mut times = StepTimes::default();
        for at in 0..5 {
            times.add(at, time, 0.0);
        }
        times
    };
    let none = StepTimes::default();
    for number in 0..40 {
        let noise = [70, 85, 100, 115, 130][number % 5];
        error.observe_step(1_000, &alike(20 * noise));
    }
    let corrected = error.run_time(1_000, &none);
    assert!((1_800..2_100).contains(&corrected), "{corrected}");
    // Closer to the observed run time than to the estimate.
    let seen = error.run_time(1_000, &alike(4_000));
    assert!((2_829..4_000).contains(&seen), "{seen}");
    assert_eq!(EstimateError::default().run_time(1_000, &none), 1_000);
}

/// The run times within one step vary at random; that must not make executors
/// differ.
#[test]
fn chance_makes_no_executor_differ() {
    let mut speeds = [Speed::default(); 20];
    let mut random = 7_u64;
    let mut draw = || {
        random = random.wrapping_mul(6_364_136_223_846_793_005);
        random = random.wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) as f64 / f64::from(1_u32 << 31)
    };
    let error = EstimateError::default();
    // The mean of the run times below.
    let expected = 1_000_f64.ln() + 1.0;
    let mut differ = 0;
    for round in 0..200 {
        // The estimate is off by a different factor each time.
        let work = 1_000.0 * (draw() * 2.0).exp();
        let mut times = StepTimes::default();
        for (at, speed) in speeds.iter().enumerate() {
            let chance: f64 = (0..12).map(|_| draw()).sum::<f64>() - 6.0;
            let time = (work * (0.3 * chance).exp()) as u64;
            times.add(at as u32, time, speed.slowness());
        }
        let known = speeds;
        let speed_of = |at: u32| known[at as usize];
        for finding in compare(&times, speed_of, &error, expected) {
            let speed = &mut speeds[finding.executor as usize];
            speed.observe(finding.log_ratio, finding.variance, round * 500);
            differ += usize::from(speed.slowness() != 0.0);
        }
    }
    // One percent of 4,000.
    assert!(differ <= 40, "{differ}");
}

#[test]
fn what_is_kept_of_a_speed_is_a_byte() {
    for kept in [-100_i8, -20, 20, 100] {
        assert_eq!(Speed::from_stored(kept, 0).to_stored(), kept);
    }
    assert_eq!(Speed::from_stored(0, 0), Speed::default());
}

/// All members of a gang take the same time, and count as one sample of the
/// estimate's error.
#[test]
fn a_gang_tells_once_how_far_its_guess_is_off() {
    let mut world = with_quick_executors(8, 0, Mechanisms::default());
    let expected = |world: &mut World, id: u64| {
        let mut gang = step(32, resources(1_000, 100));
        gang.gang = true;
        world.submit(job(id, "batch", vec![gang]));
        for index in 0..32 {
            let step = StepKey { job: JobId(id), time: 0, step: 0 };
            world.run_time_percents.insert(step.task(index), 200);
        }
        world.run(100);
        let known = world.scheduler.executor(0).expect("a known executor");
        let run = known.runs.values().next().expect("a run");
        let run_time = run.expected_end - run.placed_at;
        world.run(4 * WORK);
        run_time
    };
    assert_eq!(expected(&mut world, 1), WORK);
    assert_eq!(expected(&mut world, 2), WORK, "one gang is a single sample");
    for id in 3..12 {
        expected(&mut world, id);
    }
    assert!(expected(&mut world, 12) > WORK + WORK / 2);
    world.assert_no_violations();
}
