//! One of 21 lasting jobs fails soon after each start, for a minute and a
//! half. Then the clients cancel the 20 others.

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::world::{config, job, World};

/// The store has had so many changes before: some minutes of heartbeats of
/// the executors of a small site.
const EARLIER_CHANGES: u32 = 6_000;
const MACHINES: usize = 8;
const SOUND_JOBS: u64 = 20;
const FAILING_JOB: u64 = 100;
/// The largest width of a job on the small sites.
const FAILING_TASKS: u32 = 60;
/// When the sound jobs are cancelled, counted from the last submission.
const CANCEL_AFTER: Duration = Duration::from_secs(85);
/// `AckMs` of the settings.
const ACK: Duration = Duration::from_millis(4_000);

fn lasting(spec: &str, count: u32) -> Value {
    json!({ "Spec": spec, "Phases": [{
        "Count": count, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 1000,
        "LongRunning": true,
    }] })
}

pub async fn run(record: &str, trouble: bool) -> i32 {
    let mut world = World::start(record, MACHINES, 0);
    for change in 0..EARLIER_CHANGES {
        world.store.write("elsewhere", &json!(change));
    }
    world.store.write("op/config", &config(2));
    world.start_nodes(3);
    sleep(Duration::from_secs(3)).await;
    for id in 1..=SOUND_JOBS {
        if !world.submit(id, &lasting("lasts", 1)).await {
            world.record.note("a sound job is not accepted");
            return 2;
        }
    }
    let spec = if trouble { "5:failed" } else { "lasts" };
    if !world.submit(FAILING_JOB, &lasting(spec, FAILING_TASKS)).await {
        world.record.note("the last job is not accepted");
        return 2;
    }
    world.record.note(&format!("21 jobs accepted; the last one: {spec}"));
    let began = Instant::now();
    while began.elapsed() < CANCEL_AFTER {
        sleep(Duration::from_secs(5)).await;
        note_ends(&world);
    }
    let missing = cancel_all(&world).await;
    note_ends(&world);
    let (status, _) = world
        .call(0, "POST", &job(200), Some(&lasting("lasts", 1)))
        .await;
    world.record.note(&format!("a new job is answered {status}"));
    world.record.note(&format!(
        "{missing} of {SOUND_JOBS} cancels got no 2xx or 410 within {ACK:?}"
    ));
    i32::from(missing >= 3 && missing * 10 > SOUND_JOBS)
}

/// Notes how many runs have ended, and of how many ends a hold took note.
fn note_ends(world: &World) {
    let lives = world.machines.iter().flat_map(|machine| machine.lives());
    let (ended, noted) = lives
        .map(|executor| executor.ends())
        .fold((0, 0), |sum, ends| (sum.0 + ends.0, sum.1 + ends.1));
    world.record.note(&format!("{ended} ends listed, {noted} taken note of"));
}

/// Cancels the sound jobs, with retries at other nodes as clients do. Returns
/// how many were not acknowledged in time.
async fn cancel_all(world: &World) -> u64 {
    let began = Instant::now();
    let mut open: Vec<u64> = (1..=SOUND_JOBS).collect();
    for attempt in 0.. {
        let mut left = Vec::new();
        for id in open {
            let node = id as usize + attempt;
            let limit = (ACK + Duration::from_millis(500))
                .saturating_sub(began.elapsed());
            let path = job(id);
            let call = world.call(node, "DELETE", &path, None);
            let answer = tokio::time::timeout(limit, call).await;
            let status = answer.map_or(0, |(status, _)| status);
            world.record.note(&format!("cancel of {id} is answered {status}"));
            if !(200..300).contains(&status) && status != 410 {
                left.push(id);
            }
        }
        open = left;
        if open.is_empty() || began.elapsed() > ACK {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    open.len() as u64
}
