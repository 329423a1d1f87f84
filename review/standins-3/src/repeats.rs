//! Scheduled jobs that began in the past, so that all their times are due when
//! they are handed in.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::executor::Run;
use crate::world::{config, World};

const MACHINES: usize = 8;
/// The room of a machine, in thousandths of a core.
const MACHINE_CPU: u32 = 16_000;
/// What each task asks for.
const TASK_CPU: u32 = 1_000;
const TIMES: u32 = 10_000;
/// The first job of those whose tasks fill what others leave.
pub const FILLING: u64 = 100_000;
/// `MemoryMb` of the settings.
const MEMORY_MB: u64 = 260;
/// A process that was killed is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long a job may wait for its first start while there is room.
const MAX_IDLE: Duration = Duration::from_secs(3);

pub fn one_task(spec: &str) -> Value {
    json!({ "Spec": spec, "Phases": [{
        "Count": 1, "Cpu": TASK_CPU, "MemMb": 256, "EstRuntimeMs": 500,
    }] })
}

/// A job that runs each second, and began to so many times ago.
fn scheduled(times: u32) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis() as u64;
    let mut body = one_task("500");
    body["StartAtMs"] = json!(now - u64::from(times) * 1_000);
    body["IntervalMs"] = json!(1_000);
    body["RepeatCount"] = json!(times);
    body
}

pub async fn start(record: &str) -> World {
    let mut world = World::start(record, MACHINES);
    world.store.write("op/config", &config(2));
    world.start_nodes(3);
    sleep(Duration::from_secs(3)).await;
    world
}

/// Hands so many scheduled jobs in at the same time.
async fn burst(world: &Rc<World>, jobs: u64) -> bool {
    let calls: Vec<_> = (0..jobs)
        .map(|number| {
            let world = world.clone();
            actix_rt::spawn(async move {
                world.submit(1_000 + number, &scheduled(TIMES)).await
            })
        })
        .collect();
    let mut accepted = 0;
    for call in calls {
        accepted += u64::from(call.await.unwrap_or(false));
    }
    world.record.note(&format!(
        "{accepted} of {jobs} scheduled jobs of {TIMES} times are accepted"
    ));
    accepted == jobs
}

/// Scheduled jobs come at once, and processes over their memory are killed.
pub async fn memory(record: &str, trouble: bool) -> i32 {
    const JOBS: u64 = 40;
    const WATCHED: Duration = Duration::from_secs(30);
    let world = Rc::new(start(record).await);
    let earlier = world.submit(1, &one_task("60000")).await;
    if !earlier {
        world.record.note("the first job is not accepted");
        return 2;
    }
    let jobs = if trouble { JOBS } else { 1 };
    let sender = world.clone();
    actix_rt::spawn(async move { burst(&sender, jobs).await });
    let code = watch_memory(&world, WATCHED).await;
    let state = world.state(1).await;
    world.record.note(&format!("state of the first job: {state}"));
    world.stop();
    code
}

/// Does what the platform does: kills each process over its memory, and starts
/// it again. Returns 1 if that came three times on two machines.
pub async fn watch_memory(world: &World, time: Duration) -> i32 {
    let began = Instant::now();
    let mut killed = vec![0; world.nodes.len()];
    let mut highest = 0;
    while began.elapsed() < time {
        for (number, node) in world.nodes.iter().enumerate() {
            let used = node.rss();
            highest = highest.max(used);
            if used <= MEMORY_MB {
                continue;
            }
            killed[number] += 1;
            world
                .record
                .note(&format!("node {number} uses {used} MB and is killed"));
            node.kill();
            sleep(RESTART_DELAY).await;
            node.start_again();
        }
        sleep(Duration::from_millis(20)).await;
    }
    world.record.note(&format!("most memory {highest} MB, kills {killed:?}"));
    let bad = killed.iter().filter(|times| **times >= 3).count();
    i32::from(bad >= 2)
}

/// Ordinary jobs are handed in beside the scheduled ones.
pub async fn idle(record: &str, trouble: bool) -> i32 {
    const JOBS: u64 = 8;
    const SUBMISSIONS: Duration = Duration::from_secs(50);
    let world = Rc::new(start(record).await);
    if trouble && !burst(&world, JOBS).await {
        return 2;
    }
    let began = Instant::now();
    let mut accepted = Vec::new();
    for id in 1.. {
        if began.elapsed() > SUBMISSIONS {
            break;
        }
        if world.submit(id, &one_task("100")).await {
            accepted.push((id, Instant::now()));
        }
        sleep(Duration::from_millis(1_500)).await;
    }
    sleep(Duration::from_secs(12)).await;
    let code = judge(&world, &accepted);
    world.stop();
    code
}

/// Whether an accepted job had nothing running for three seconds while the service used
/// less than half of its room and had capacity for the task twice over.
pub fn judge(world: &World, accepted: &[(u64, Instant)]) -> i32 {
    let runs = world.runs();
    let now = Instant::now();
    let mut broken = 0;
    for (id, since) in accepted {
        let name = format!("{id:016x}.");
        let first = runs.iter().find(|run| run.task.starts_with(&name));
        let until = first.map_or(now, |run| run.began);
        let idle = longest_idle(&runs, *since, until);
        world.record.note(&format!(
            "job {id} waited {:?} for its first start, at most {idle:?} of it \
             on end while under half of the room was used",
            until.saturating_duration_since(*since)
        ));
        if idle > MAX_IDLE {
            broken += 1;
        }
    }
    world.record.note(&format!(
        "LOST: {broken} of {} jobs had nothing running for 3 s with room",
        accepted.len()
    ));
    i32::from(broken > 0)
}

/// The room that a task takes. Tasks of the jobs from [`FILLING`] on take what
/// the others leave.
fn room_of(task: &str) -> u32 {
    let job = task.split('.').next().unwrap_or_default();
    match u64::from_str_radix(job, 16) {
        Ok(FILLING..) => 0,
        _ => TASK_CPU,
    }
}

/// The longest part of a time in which under half of the room was used.
fn longest_idle(runs: &[Run], since: Instant, until: Instant) -> Duration {
    let room = MACHINES as u32 * MACHINE_CPU;
    let step = Duration::from_millis(10);
    let (mut longest, mut idle) = (Duration::ZERO, Duration::ZERO);
    let mut at = since;
    while at < until {
        let working = runs.iter().filter(|run| {
            run.began <= at && run.ended.is_none_or(|ended| ended > at)
        });
        let used: u32 = working.map(|run| room_of(&run.task)).sum();
        idle = if used * 2 < room { idle + step } else { Duration::ZERO };
        longest = longest.max(idle);
        at += step;
    }
    longest
}
