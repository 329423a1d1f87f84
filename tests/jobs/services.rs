//! Serving tasks, filler tasks that run beside them, and maintenance waves.

use puffinknot_core::jobs::{JobId, JobState, MaintenanceWave, Request, Step};

use super::world::{job, resources, step, World, WORK};

fn serving(count: u32) -> Step {
    let mut serving = step(count, resources(1_000, 500));
    serving.lasting = true;
    serving.target = 100;
    serving.max_per_executor = 1;
    serving
}

fn filling(count: u32) -> Step {
    let mut filling = step(count, resources(4_000, 500));
    filling.fills = true;
    filling.lasting = true;
    filling
}

#[test]
fn a_lasting_task_is_started_again_when_its_executor_dies() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![serving(1)]));
    world.run(5 * WORK);
    assert_eq!(world.state(1), Some(JobState::Running));
    assert_eq!(world.starts.values().sum::<u32>(), 1);
    let task = *world.starts.keys().next().expect("a task");
    let at = world.executors.iter().position(|e| e.runs(&task));
    world.crash(at.expect("it runs somewhere"), "z");
    world.run(300);
    assert_eq!(world.starts[&task], 2);
    let queue = "batch".to_string();
    world.request(Request::Cancel { queue, job: JobId(1) });
    world.run(500);
    assert_eq!(world.state(1), Some(JobState::Cancelled));
    assert!(!world.executors.iter().any(|e| e.runs(&task)));
    world.assert_no_violations();
}

#[test]
fn fillers_take_no_processor_time() {
    let mut world = World::new(1);
    world.submit(job(1, "batch", vec![serving(1)]));
    world.submit(job(2, "batch", vec![filling(1)]));
    world.run(200);
    assert_eq!(world.starts.len(), 2, "the filler fits beside the server");
    world.assert_no_violations();
}

#[test]
fn fillers_are_slowed_while_a_tail_is_over_its_bound() {
    let mut world = World::new(1);
    world.submit(job(1, "batch", vec![serving(1)]));
    world.submit(job(2, "batch", vec![filling(1)]));
    world.run(200);
    let server = "0000000000000001.0.0.0".parse().expect("a task");
    let filler = "0000000000000002.0.0.0".parse().expect("a task");
    world.usages.insert(server, 150);
    world.run(3_000);
    assert_eq!(world.share_percents[&filler], 0, "well before four seconds");
    assert!(!world.share_percents.contains_key(&server));
    world.usages.insert(server, 50);
    world.run(10_000);
    assert_eq!(world.share_percents[&filler], 100);
    world.assert_no_violations();
}

fn wave(machines: &[&str], most: u32) -> MaintenanceWave {
    MaintenanceWave {
        wave: 7,
        machines: machines.iter().map(|m| m.to_string()).collect(),
        within: 20_000,
        most,
    }
}

#[test]
fn a_wave_takes_each_machine_down_once_and_keeps_its_bound() {
    let mut world = World::new(4);
    let wave = wave(&["x0", "x1", "x2"], 1);
    world.event(puffinknot_core::jobs::Event::Wave(wave));
    world.run(500);
    assert_eq!(world.waves.get(&7), Some(&false));
    world.run(15_000);
    assert_eq!(world.waves.get(&7), Some(&true));
    let mut upkeeps = world.maintained.clone();
    upkeeps.sort();
    assert_eq!(upkeeps, ["x0", "x1", "x2"]);
    assert_eq!(world.max_down, 1);
}

#[test]
fn a_wave_waits_for_what_runs_and_for_what_may_not_miss() {
    let mut world = World::new(3);
    let mut careful = serving(3);
    careful.may_miss = Some(1);
    world.submit(job(1, "batch", vec![careful]));
    world.run(200);
    let wave = wave(&["x0", "x1", "x2"], 3);
    world.event(puffinknot_core::jobs::Event::Wave(wave));
    world.run(60_000);
    assert_eq!(world.waves.get(&7), Some(&true));
    assert_eq!(world.max_down, 1, "one task at a time may be away");
    assert_eq!(world.maintained.len(), 3);
    world.assert_no_violations();
}

/// A successor continues a wave: no machine has its maintenance twice, and the
/// wave is not reported done before it is.
#[test]
fn a_wave_survives_the_leader() {
    let mut world = World::new(3);
    let wave = wave(&["x0", "x1", "x2"], 1);
    world.event(puffinknot_core::jobs::Event::Wave(wave.clone()));
    world.run(4_600);
    assert!(!world.maintained.is_empty());
    world.replace_leader();
    world.event(puffinknot_core::jobs::Event::Wave(wave));
    world.run(30_000);
    assert_eq!(world.waves.get(&7), Some(&true));
    assert_eq!(world.max_down, 1);
    let mut upkeeps = world.maintained.clone();
    upkeeps.sort();
    upkeeps.dedup();
    assert_eq!(upkeeps, ["x0", "x1", "x2"]);
}

/// A call that was not answered may take effect later, so its machine
/// counts as down until then.
#[test]
fn a_maintenance_call_without_answer_counts() {
    let mut world = World::new(3);
    world.late_maintenance_calls = 1;
    let wave = wave(&["x0", "x1", "x2"], 1);
    world.event(puffinknot_core::jobs::Event::Wave(wave));
    world.run(25_000);
    assert_eq!(world.waves.get(&7), Some(&true));
    assert_eq!(world.max_down, 1);
}
