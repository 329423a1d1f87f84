//! Many jobs of small tasks come at once.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::repeats::{judge, one_task, start, watch_memory, FILLING};
use crate::world::{config, World};

const JOBS: u64 = 40;
const TASKS: u32 = 500;
/// How long ordinary jobs are handed in beside them.
const SUBMISSIONS: Duration = Duration::from_secs(50);
const INTERVAL: Duration = Duration::from_millis(1_500);
const REST: Duration = Duration::from_secs(12);

/// A job whose tasks use only what others leave.
fn filling() -> Value {
    json!({ "Spec": "1000", "Phases": [{
        "Count": TASKS, "Cpu": 100, "MemMb": 2,
        "EstRuntimeMs": 1000, "Fills": true,
    }] })
}

pub async fn run(record: &str, trouble: bool) -> i32 {
    let world = Rc::new(start(record).await);
    let jobs = if trouble { JOBS } else { 1 };
    let calls: Vec<_> = (0..jobs)
        .map(|number| {
            let world = world.clone();
            actix_rt::spawn(async move {
                let id = FILLING + number;
                let accepted = world.submit(id, &filling()).await;
                accepted.then(|| (id, Instant::now()))
            })
        })
        .collect();
    let watched = world.clone();
    actix_rt::spawn(async move { note_leaders(&watched).await });
    let began = Instant::now();
    let mut accepted = Vec::new();
    for id in 1.. {
        if began.elapsed() > SUBMISSIONS {
            break;
        }
        if world.submit(id, &one_task("100")).await {
            accepted.push((id, Instant::now()));
        }
        sleep(INTERVAL).await;
    }
    sleep(REST).await;
    for call in calls {
        if call.is_finished() {
            accepted.extend(call.await.ok().flatten());
        }
    }
    let runs = world.runs();
    let done = runs.iter().filter(|run| run.how == "done").count();
    world.record.note(&format!(
        "{} runs began, {done} of them are done; {jobs} jobs of {TASKS} tasks",
        runs.len()
    ));
    let code = judge(&world, &accepted);
    world.stop();
    code
}

/// Large jobs of tasks that all fit come at once, and processes over their
/// memory are killed.
pub async fn memory(record: &str, trouble: bool) -> i32 {
    const JOBS: u64 = 10;
    const TASKS: u32 = 20_000;
    const MACHINES: usize = 48;
    const WATCHED: Duration = Duration::from_secs(75);
    let mut world = World::start(record, MACHINES);
    world.store.write("op/config", &config(2));
    world.start_nodes(3);
    sleep(Duration::from_secs(4)).await;
    let world = Rc::new(world);
    let jobs = if trouble { JOBS } else { 1 };
    for number in 0..jobs {
        let world = world.clone();
        actix_rt::spawn(async move {
            let body = json!({ "Spec": "1000", "Phases": [{
                "Count": TASKS, "Cpu": 1, "MemMb": 1, "EstRuntimeMs": 1000,
            }] });
            let accepted = world.submit(FILLING + number, &body).await;
            let line = format!("job {number} is accepted: {accepted}");
            world.record.note(&line);
        });
    }
    let code = watch_memory(&world, WATCHED).await;
    let began = world.runs().len();
    world.record.note(&format!("{began} runs began"));
    world.stop();
    code
}

/// Notes who leads whenever that changes.
async fn note_leaders(world: &World) {
    let mut known = None;
    loop {
        let leader = world.store.read("own/leader");
        if leader != known {
            let name = leader.as_deref().unwrap_or("nobody").to_string();
            world.record.note(&format!("leader: {name}"));
            known = leader;
        }
        sleep(Duration::from_millis(50)).await;
    }
}
