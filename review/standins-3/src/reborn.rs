//! An executor dies with a start that it left unanswered, is back under its
//! name after its lease is over, and the start is carried out then.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use crate::executor::Run;
use crate::world::{config, Late, World};

const MACHINES: usize = 4;
/// The start is carried out this long after it was sent.
const LATE: Duration = Duration::from_secs(10);
/// The executor is away for this long.
const AWAY: Duration = Duration::from_secs(8);
/// How long the task runs.
const WORK_MS: u64 = 20_000;

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
            machine.hold_next_start(Some(Late { after: LATE }));
        }
    }
    let work = WORK_MS.to_string();
    if !world.submit(2, &body(&work)).await {
        world.record.note("the second job is not accepted");
        return 2;
    }
    world.record.note("the second job is accepted");
    if trouble && !disturb(&world).await {
        return 2;
    }
    let served =
        world.wait_for_success(2, Duration::from_secs(60)).await;
    world.record.note(&format!("the second job succeeded: {served}"));
    judge(&world, served)
}

async fn disturb(world: &World) -> bool {
    let began = Instant::now();
    let machine = loop {
        let held = world.machines.iter().find(|m| m.held().is_some());
        if let Some(machine) = held {
            break machine;
        }
        if began.elapsed() > Duration::from_secs(10) {
            world.record.note("no start was ordered");
            return false;
        }
        sleep(Duration::from_millis(2)).await;
    };
    for machine in world.machines.iter() {
        machine.hold_next_start(None);
    }
    sleep(Duration::from_millis(100)).await;
    machine.crash();
    world.record.note(&format!("the executor on {} crashes", machine.name));
    sleep(AWAY).await;
    let id = machine.lives()[0].id.clone();
    machine.begin(&id, Duration::ZERO);
    world.record.note(&format!("{id} starts again on {}", machine.name));
    true
}

/// Whether any task ran twice at the same time.
fn judge(world: &World, served: bool) -> i32 {
    let runs = world.runs();
    for run in &runs {
        let Run { executor, life, task, run: number, how, .. } = run;
        let line = format!("{executor} (life {life}) starts {task}, run {number}");
        world.record.at(run.began, &line);
        if let Some(ended) = run.ended {
            world.record.at(ended, &format!("run {number} of {task} ends {how}"));
        }
    }
    let mut broken = false;
    for (n, one) in runs.iter().enumerate() {
        for other in &runs[n + 1..] {
            let apart = one.ended.is_some_and(|ended| ended <= other.began);
            if one.task == other.task && !apart {
                let until = one.ended.into_iter().chain(other.ended).min();
                let both = until.map(|at| at - other.began);
                world.record.note(&format!(
                    "TWICE: runs {} and {} of {} at the same time for {both:?}",
                    one.run, other.run, one.task
                ));
                broken = true;
            }
        }
    }
    match (broken, served) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}
