//! A start stays unanswered and is carried out late. Its executor crashes in
//! between and is back under its name.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use crate::executor::Run;
use crate::world::{config, Late, Machine, World};

const MACHINES: usize = 8;
/// The start is carried out this long after it was sent.
const LATE: Duration = Duration::from_secs(10);
/// After all starts, so long is waited for late ones.
const REST: Duration = Duration::from_secs(8);

/// When the executor crashes, counted from that start: after the task has
/// started elsewhere.
const CRASH_AFTER: Duration = Duration::from_secs(4);
/// How long it is away.
const AWAY: Duration = Duration::from_millis(1_500);
/// How long the task runs, in milliseconds.
const WORK_MS: u64 = 640;

pub async fn run(record: &str, trouble: bool) -> i32 {
    let mut world = World::start(record, MACHINES, 0);
    world.store.write("op/config", &config(2));
    world.start_nodes(3);
    sleep(Duration::from_secs(3)).await;
    let body = |spec: &str| {
        json!({ "Spec": spec, "Phases": [
            { "Count": 1, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 1000 }
        ] })
    };
    if !world.submit(1, &body("200")).await
        || !world.wait_for_success(1, Duration::from_secs(10)).await
    {
        world.record.note("the first job is not served");
        return 2;
    }
    sleep(Duration::from_secs(4)).await;
    if trouble {
        for machine in world.machines.iter() {
            machine.hold_back(Some(Late { after: LATE }));
        }
    }
    let began = Instant::now();
    if !world.submit(2, &body(&WORK_MS.to_string())).await {
        world.record.note("the second job is not accepted");
        return 2;
    }
    world.record.note("the second job is accepted");
    if trouble && !disturb(&world).await {
        return 2;
    }
    let served = world.wait_for_success(2, Duration::from_secs(60)).await;
    world.record.note(&format!("the second job succeeded: {served}"));
    sleep((LATE + REST).saturating_sub(began.elapsed())).await;
    judge(&world, served)
}

/// Waits for the start that is held back, and crashes and restarts its
/// executor.
async fn disturb(world: &World) -> bool {
    let began = Instant::now();
    let held = |machine: &&Machine| machine.held();
    while !world.machines.iter().any(|machine| held(&machine)) {
        if began.elapsed() > Duration::from_secs(10) {
            world.record.note("no start was ordered");
            return false;
        }
        sleep(Duration::from_millis(1)).await;
    }
    let Some(machine) = world.machines.iter().find(held) else { return false };
    for machine in world.machines.iter() {
        machine.hold_back(None);
    }
    sleep(CRASH_AFTER).await;
    machine.crash();
    world.record.note(&format!("the executor on {} crashes", machine.name));
    sleep(AWAY).await;
    let id = machine.lives()[0].id.clone();
    machine.begin(&id, Duration::ZERO);
    world.record.note(&format!("{id} starts again on {}", machine.name));
    true
}

/// Whether a task ran twice at the same time, or started after a run had ended
/// `done` of which note was taken.
fn judge(world: &World, served: bool) -> i32 {
    let broken = judge_twice(world);
    match (broken, served) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}

/// Whether TWICE was broken. Notes all runs, and what broke it.
fn judge_twice(world: &World) -> bool {
    let runs = world.runs();
    for run in &runs {
        let Run { executor, life, task, run: number, how, noted, .. } = run;
        let line =
            format!("{executor} (life {life}) starts {task}, run {number}");
        world.record.at(run.began, &line);
        if let Some(ended) = run.ended {
            let noted = if *noted { ", taken note of" } else { "" };
            let line = format!("run {number} of {task} ends {how}{noted}");
            world.record.at(ended, &line);
        }
    }
    let mut broken = false;
    for (n, one) in runs.iter().enumerate() {
        for other in runs[n + 1..].iter().filter(|o| o.task == one.task) {
            let ended = one.ended.filter(|ended| *ended <= other.began);
            let what = match ended {
                None => "at the same time as",
                Some(_) if one.how == "done" && one.noted => {
                    "after the end `done` of"
                }
                Some(_) => continue,
            };
            world.record.note(&format!(
                "TWICE: run {} of {} on {} begins {what} run {}",
                other.run, one.task, other.executor, one.run
            ));
            broken = true;
        }
    }
    broken
}
