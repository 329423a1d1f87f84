//! Urgent tasks in a full cell, and the jobs beside them that may wait.

use std::collections::BTreeMap;

use puffinknot_core::config::Resources;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::headroom::{
    Demand, DemandPeak, MAX_RESERVED_DIVISOR,
};
use puffinknot_core::jobs::{Job, JobState, Mechanism, Mechanisms};

use super::world::{job, resources, step, World, WORK};

const EXECUTORS: usize = 8;
/// The ids of urgent jobs start here.
const URGENT: u64 = 1_000;
/// The objective of an urgent job: twice its run time plus a second.
const OBJECTIVE: Millis = 2 * WORK + 1_000;
/// A start later than this after the submission of the job is late.
const AT_ONCE: Millis = 400;

fn normal_job(id: u64, count: u32, works: u64, saves: bool) -> Job {
    let mut tasks = step(count, resources(1_000, 500));
    tasks.estimate = works * WORK;
    tasks.checkpoints = saves;
    job(id, "background", vec![tasks])
}

fn urgent_job(id: u64, count: u32) -> Job {
    job(URGENT + id, "urgent", vec![step(count, resources(1_500, 500))])
}

fn all_except(mechanisms: &[Mechanism]) -> Mechanisms {
    Mechanisms::all_except(mechanisms.iter().copied())
}

fn counted(world: &World, name: &str) -> u64 {
    world.scheduler.counters().get(name).copied().unwrap_or(0)
}

/// When each urgent job was submitted, and how long it waited for its start.
#[derive(Default)]
struct Waits {
    submitted: BTreeMap<u64, Millis>,
    waited: BTreeMap<u64, Millis>,
    in_time: usize,
}

impl Waits {
    fn submit(&mut self, world: &mut World, job: Job) {
        self.submitted.insert(job.id.0, world.now);
        world.submit(job);
    }

    /// Advances time, and records starts and ends.
    fn run(&mut self, world: &mut World, time: Millis) {
        const INTERVAL: Millis = 10;
        for _ in 0..time / INTERVAL {
            world.run(INTERVAL);
            let started = world.starts.keys().map(|task| task.step.job.0);
            for id in started {
                if let Some(since) = self.submitted.get(&id) {
                    self.waited.entry(id).or_insert(world.now - since);
                }
            }
            let due: Vec<u64> = self
                .submitted
                .iter()
                .filter(|(_, at)| {
                    let age = world.now - **at;
                    (OBJECTIVE..OBJECTIVE + INTERVAL).contains(&age)
                })
                .map(|(id, _)| *id)
                .collect();
            for id in due {
                let done = world.state(id) == Some(JobState::Succeeded);
                self.in_time += usize::from(done);
            }
        }
    }

    fn at_once(&self) -> usize {
        self.waited.values().filter(|waited| **waited <= AT_ONCE).count()
    }
}

/// A cell whose executors are all occupied for long by tasks that write
/// checkpoints.
fn full(mechanisms: Mechanisms) -> World {
    let mut world = World::with_mechanisms(EXECUTORS, mechanisms);
    world.run(50);
    for id in 1..=EXECUTORS as u64 {
        world.submit(normal_job(id, 4, 16, true));
    }
    world.run(300);
    assert_eq!(world.starts.len(), 4 * EXECUTORS, "the cell is full");
    world
}

/// Submits a burst of urgent jobs to a full cell, over two seconds.
fn burst(world: &mut World) -> Waits {
    let mut waits = Waits::default();
    for id in 1..=20 {
        waits.submit(world, urgent_job(id, 2));
        waits.run(world, 100);
    }
    waits.run(world, OBJECTIVE + WORK);
    waits
}

#[test]
fn others_are_preempted_for_a_burst_of_urgent_work() {
    let mut world = full(Mechanisms::default());
    let waits = burst(&mut world);
    assert!(waits.at_once() >= 18, "at once: {}", waits.at_once());
    assert_eq!(waits.in_time, 20);
    assert!(counted(&world, "urgent_displacements") > 0);

    let mut without = full(all_except(&[Mechanism::UrgentPreemption]));
    let waits = burst(&mut without);
    assert_eq!(waits.at_once(), 0);
    assert_eq!(counted(&without, "urgent_displacements"), 0);
    // Preempted tasks have only moved: all are done in due time.
    for world in [&mut world, &mut without] {
        world.run(2 * 16 * WORK);
        assert!(world.unfinished().is_empty());
        world.assert_no_violations();
    }
}

#[test]
fn no_task_is_preempted_twice() {
    let mut world = full(Mechanisms::default());
    for _ in 0..2 {
        let mut waits = Waits::default();
        for id in 1..=60 {
            waits.submit(&mut world, urgent_job(id, 2));
            waits.run(&mut world, 60);
        }
    }
    world.run(4 * 16 * WORK);
    let normal_starts =
        world.starts.iter().filter(|(t, _)| t.step.job.0 < URGENT);
    let most = normal_starts.map(|(_, starts)| *starts).max();
    assert!(most <= Some(2), "started {most:?} times");
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

#[test]
fn what_saves_no_progress_or_ends_soon_stays() {
    for (works, saves) in [(16, false), (1, true)] {
        let mut world = World::new(EXECUTORS);
        world.run(50);
        world.submit(normal_job(1, 4 * EXECUTORS as u32, works, saves));
        world.run(100);
        world.submit(urgent_job(1, 2));
        world.run(2 * WORK);
        assert!(world.starts.values().all(|starts| *starts == 1));
        assert_eq!(counted(&world, "runs_displaced"), 0);
        world.assert_no_violations();
    }
}

/// Capacity that preemption frees is not lost to others while the preempted
/// tasks stop, and the rest of the executor is not reserved.
#[test]
fn an_urgent_gang_gets_all_of_its_capacity() {
    let mut world = full(Mechanisms::default());
    let mut gang = step(4, resources(3_000, 500));
    gang.gang = true;
    world.submit(job(URGENT, "urgent", vec![gang]));
    world.submit(normal_job(50, 30, 2, false));
    world.run(OBJECTIVE);
    assert_eq!(world.state(URGENT), Some(JobState::Succeeded));
    assert_eq!(counted(&world, "runs_displaced"), 4 * 3);
    world.run(4 * 16 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

#[test]
fn a_successor_goes_on_while_others_are_preempted() {
    for after in [160, 200, 300, 400] {
        let mut world = full(Mechanisms::default());
        for id in 1..=6 {
            world.submit(urgent_job(id, 2));
        }
        world.run(after);
        world.replace_leader();
        world.run(60_000);
        assert!(world.unfinished().is_empty(), "after {after}");
        world.assert_no_violations();
    }
}

#[test]
fn executors_may_leave_while_others_are_preempted() {
    let mut world = full(Mechanisms::default());
    let mut waits = Waits::default();
    for id in 1..=6 {
        waits.submit(&mut world, urgent_job(id, 2));
    }
    waits.run(&mut world, 200);
    for at in 0..EXECUTORS / 2 {
        world.executors[at].info.draining = true;
        world.list_entry(at);
    }
    waits.run(&mut world, OBJECTIVE);
    assert_eq!(waits.in_time, 6, "waited {:?}", waits.waited);
    world.executors[EXECUTORS - 1].isolated = true;
    world.run(40_000);
    world.executors[EXECUTORS - 1].isolated = false;
    world.run(40_000);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// Four bursts of small urgent jobs, beside a backlog that writes no
/// checkpoints and has not waited for twice its objective at the end.
fn waves(mechanisms: Mechanisms) -> (World, Waits) {
    let mut world = World::with_mechanisms(EXECUTORS, mechanisms);
    world.run(50);
    let mut waits = Waits::default();
    let mut next = 1;
    for id in 1..=20 {
        world.submit(normal_job(id, 10, 5, false));
    }
    for _ in 0..4 {
        for _ in 0..4 {
            let small = step(2, resources(600, 300));
            let small = job(URGENT + next, "urgent", vec![small]);
            waits.submit(&mut world, small);
            next += 1;
            waits.run(&mut world, 100);
        }
        waits.run(&mut world, 3_000);
    }
    (world, waits)
}

#[test]
fn capacity_is_reserved_for_the_next_burst() {
    let only = [Mechanism::UrgentPreemption, Mechanism::UrgentHeadroom];
    let (_, before) = waves(all_except(&only));
    let (mut world, after) = waves(all_except(&only[..1]));
    // The first burst finds the cell full.
    let later = |waits: &Waits| {
        let later = waits.waited.range(URGENT + 5..);
        later.filter(|(_, waited)| **waited <= AT_ONCE).count()
    };
    assert_eq!(later(&after), 12, "waited {:?}", after.waited);
    assert!(later(&before) <= 6, "waited {:?}", before.waited);
    assert!(after.in_time >= before.in_time);
    assert!(counted(&world, "starts_held_back") > 0);
    // The jobs that may wait are done in the time that all executors, except
    // for the part that may be reserved, need for them, plus a second for each
    // start.
    let work = 200 * 5 * WORK / (4 * EXECUTORS as u64);
    let bound =
        work * MAX_RESERVED_DIVISOR / (MAX_RESERVED_DIVISOR - 1) + 10_000;
    world.run(bound);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// A job that is held back starts in the reserved capacity before it would be
/// late.
#[test]
fn nothing_that_waits_starves_by_urgent_work() {
    let mut world =
        World::with_mechanisms(2, all_except(&[Mechanism::UrgentPreemption]));
    world.run(50);
    let mut waits = Waits::default();
    world.submit(normal_job(1, 6, 100, false));
    let mut large = step(1, resources(2_000, 500));
    large.estimate = 2 * WORK;
    for id in 1..=40 {
        waits.submit(&mut world, urgent_job(id, 1));
        if id == 5 {
            world.submit(job(2, "background", vec![large.clone()]));
        }
        waits.run(&mut world, 600);
    }
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// If nothing is urgent, if everything is, and if there is free capacity, all
/// jobs run as without the mechanism.
#[test]
fn without_need_nothing_changes() {
    let both = [Mechanism::UrgentPreemption, Mechanism::UrgentHeadroom];
    let loads: [fn(u64) -> Job; 3] = [
        |id| normal_job(id, 6, 3, true),
        |id| urgent_job(id, 2),
        |id| {
            if id % 2 == 0 {
                urgent_job(id, 1)
            } else {
                normal_job(id, 1, 1, true)
            }
        },
    ];
    for (number, load) in loads.into_iter().enumerate() {
        let mut counters = Vec::new();
        for mechanisms in [Mechanisms::default(), all_except(&both)] {
            let mut world = World::with_mechanisms(EXECUTORS, mechanisms);
            world.run(50);
            for id in 1..=40 {
                world.submit(load(id));
                world.run(100);
            }
            world.run(60_000);
            assert!(world.unfinished().is_empty());
            counters.push(world.scheduler.counters().clone());
        }
        assert_eq!(counters[0], counters[1], "load {number}");
    }
}

fn demand(running: u32, waiting: u32, need: &Resources) -> Demand {
    let mut demand = Demand::default();
    for _ in 0..running {
        demand.add_running(need);
    }
    demand.add_waiting(waiting, need);
    demand
}

#[test]
fn headroom_follows_the_recent_peaks() {
    let need = resources(1_000, 100);
    let mut peak = DemandPeak::default();
    peak.observe(&demand(60, 40, &need), 1_000);
    let low_demand = demand(20, 0, &need);
    peak.observe(&low_demand, 1_000);
    assert_eq!(peak.wanted_tasks(&low_demand, 10_000), 80);
    peak.observe(&low_demand, 16_000);
    assert_eq!(peak.wanted_tasks(&low_demand, 10_000), 30, "half of the peak");
    peak.observe(&low_demand, 200_000);
    assert_eq!(peak.wanted_tasks(&low_demand, 10_000), 0, "it is forgotten");
    peak.observe(&demand(0, 5_000, &need), 200_000);
    assert_eq!(
        peak.wanted_tasks(&low_demand, 400),
        400 / MAX_RESERVED_DIVISOR
    );
    assert_eq!(peak.typical_need(), Some(resources(1_500, 150)));
}
