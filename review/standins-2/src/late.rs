//! A start is carried out late, by the next life of its executor.

use std::time::{Duration, Instant};

use puffinknot_standin::users::Store;
use serde_json::json;
use tokio::time::sleep;

use crate::cell::{config, CannotRun, Cell, Record};
use crate::world::{lock, World};

const MACHINES: usize = 8;
/// How late the order is carried out.
const LATE: Duration = Duration::from_millis(6_000);
/// When the executor crashes after that order, and how long it is away.
const CRASH_AFTER: Duration = Duration::from_millis(2_500);
const AWAY: Duration = Duration::from_millis(1_000);
const WATCHED: Duration = Duration::from_secs(12);
const LIMIT: Duration = Duration::from_secs(3);
const JOB: &str = "/jobs/00000000000000f6";

/// Returns whether a task ran twice at the same time, on executors that were
/// up.
pub async fn play(record: &Record, trouble: bool) -> Result<bool, CannotRun> {
    let store = Store::default();
    let (world, servers) = World::start(&store, MACHINES)?;
    let cloud = servers[MACHINES].addr();
    let cell = Cell::start_with(9, store, None, cloud, &config(3)).await?;
    // The machines of the executors become known.
    sleep(Duration::from_secs(5)).await;
    if trouble {
        lock(&world.state).hold_next_start = Some(LATE);
    }
    let job = json!({
        "Spec": "long",
        "Phases": [{
            "Count": 1, "Cpu": 1_000, "MemMb": 256, "EstRuntimeMs": 60_000,
        }],
    });
    let (status, _) = cell.call(0, "POST", JOB, Some(&job), LIMIT).await;
    record.line(&format!("POST {JOB}: {status}"));
    let started = Instant::now();
    let mut crashed = false;
    while started.elapsed() < WATCHED {
        sleep(Duration::from_millis(10)).await;
        let held = lock(&world.state).held;
        let Some((at, machine)) = held.filter(|_| !crashed) else { continue };
        if at.elapsed() >= CRASH_AFTER {
            crashed = true;
            world.crash(machine, AWAY);
            record.line(&format!(
                "the executor on m-{machine} crashes, and is back under its \
                 id {} ms later",
                AWAY.as_millis()
            ));
        }
    }
    if trouble && !crashed {
        return Err(CannotRun("no start was held back".into()));
    }
    let (status, body) = cell.call(0, "GET", JOB, None, LIMIT).await;
    record.line(&format!("GET {JOB}: {status} {body}"));
    let state = lock(&world.state);
    if let Some((at, machine)) = state.held {
        let at = record.seconds(at);
        let late = LATE.as_millis();
        record.line(&format!(
            "a start at m-{machine} was sent at {at:.3}, not answered, and \
             carried out {late} ms later"
        ));
    }
    let mut broken = false;
    for (number, run) in state.runs.iter().enumerate() {
        let began = record.seconds(run.began);
        let ended = run.ended.map(|(at, how)| (record.seconds(at), how));
        record.line(&format!(
            "run {} {} on m-{}: {began:.3} to {ended:?}",
            run.task, run.number, run.machine
        ));
        let beside = state.runs[..number].iter().find(|other| {
            other.task == run.task
                && other.ended.is_none_or(|(ended, _)| ended > run.began)
        });
        if let Some(other) = beside {
            broken = true;
            record.line(&format!(
                "{} runs twice: run {} on m-{} goes on",
                run.task, other.number, other.machine
            ));
        }
    }
    Ok(broken)
}
