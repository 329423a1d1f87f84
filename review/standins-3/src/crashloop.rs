//! Two of 42 lasting jobs fail soon after each start. When the store has
//! refused a write as too large, or after a while, the clients cancel the 40
//! others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::time::sleep;

use crate::world::{config, job, World};

/// The store has had so many changes before, as after some minutes of
/// heartbeats of the executors.
const EARLIER_CHANGES: u32 = 6_000;
const MACHINES: usize = 16;
const SOUND_JOBS: u64 = 40;
const FAILING_JOBS: [u64; 2] = [100, 101];
/// The largest width of a job on the small sites.
const FAILING_TASKS: u32 = 60;
/// How long the jobs run before the sound ones are cancelled: at most, without
/// the failures, and after the first write that is refused.
const MAX_TIME: Duration = Duration::from_secs(80);
const SOUND_TIME: Duration = Duration::from_secs(50);
const AFTER_REFUSAL: Duration = Duration::from_secs(5);
/// A restart is shown only if there is time left for it.
const SHOW_RESTART_BEFORE: Duration = Duration::from_secs(85);
/// `AckMs` of the settings.
const ACK: Duration = Duration::from_millis(4_000);

fn lasting(spec: &str, count: u32) -> Value {
    json!({ "Spec": spec, "Phases": [{
        "Count": count, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 1000,
        "LongRunning": true,
    }] })
}

pub async fn run(record: &str, trouble: bool) -> i32 {
    let mut world = World::start(record, MACHINES);
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
    for id in FAILING_JOBS {
        if !world.submit(id, &lasting(spec, FAILING_TASKS)).await {
            world.record.note("a failing job is not accepted");
            return 2;
        }
    }
    let jobs = SOUND_JOBS as usize + FAILING_JOBS.len();
    world.record.note(&format!("{jobs} jobs accepted, two with {spec}"));
    let began = Instant::now();
    let most = if trouble { MAX_TIME } else { SOUND_TIME };
    while began.elapsed() < most && world.refusals() == 0 {
        sleep(Duration::from_secs(2)).await;
        note_ends(&world);
    }
    sleep(AFTER_REFUSAL).await;
    let world = Rc::new(world);
    let missing = cancel_all(&world).await;
    note_ends(&world);
    let path = job(200);
    let body = lasting("lasts", 1);
    let (status, _) = world.call(0, "POST", &path, Some(&body)).await;
    world.record.note(&format!("a new job is answered {status}"));
    let broken = missing >= 3 && missing * 10 > SOUND_JOBS;
    if broken && began.elapsed() < SHOW_RESTART_BEFORE {
        show_restart(&world).await;
    }
    world.stop();
    i32::from(broken)
}

/// Notes what cancels are answered once all processes were started anew. This
/// is not part of the check.
async fn show_restart(world: &Rc<World>) {
    world.record.note("not judged: all nodes are killed and started again");
    world.restart_nodes();
    sleep(Duration::from_secs(8)).await;
    cancel_all(world).await;
    note_ends(world);
}

/// Notes how many runs have ended, and of how many ends a hold took note.
fn note_ends(world: &World) {
    let executors = world.machines.iter().map(|m| &m.executor);
    let (ended, noted) = executors
        .map(|executor| executor.ends())
        .fold((0, 0), |sum, ends| (sum.0 + ends.0, sum.1 + ends.1));
    world.record.note(&format!("{ended} ends listed, {noted} taken note of"));
}

/// Cancels the sound jobs at the same time. Returns how many were not
/// acknowledged in time.
async fn cancel_all(world: &Rc<World>) -> u64 {
    let calls: Vec<_> = (1..=SOUND_JOBS)
        .map(|id| actix_rt::spawn(cancel(world.clone(), id)))
        .collect();
    let mut missing = 0;
    for call in calls {
        missing += u64::from(!call.await.unwrap_or(false));
    }
    world.record.note(&format!(
        "{missing} of {SOUND_JOBS} cancels got no 2xx or 410 within {ACK:?}"
    ));
    missing
}

/// Cancels a job, with retries at other nodes as a client does. Returns
/// whether that was acknowledged in time.
async fn cancel(world: Rc<World>, id: u64) -> bool {
    let began = Instant::now();
    let path = job(id);
    for attempt in 0..5 {
        let node = id as usize + attempt;
        let (status, _) = world.call(node, "DELETE", &path, None).await;
        world.record.note(&format!("cancel of {id} is answered {status}"));
        if (200..300).contains(&status) || status == 410 {
            return began.elapsed() <= ACK;
        }
        if began.elapsed() > ACK {
            break;
        }
        sleep(Duration::from_millis(300)).await;
    }
    false
}
