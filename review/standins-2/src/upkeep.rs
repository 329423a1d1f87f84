//! A wave of upkeep meets a service of which one task may be away at a time.

use std::time::{Duration, Instant};

use puffinknot_standin::users::Store;
use serde_json::json;
use tokio::time::sleep;

use crate::cell::{config, CannotRun, Cell, Record};
use crate::world::{lock, End, Run, State, World, START};

const MACHINES: usize = 6;
/// The wave: all machines within this time, at most so many at once.
const WAVE_S: u64 = 20;
const MAX_COUNT: u64 = 2;
/// The service: so many tasks, of which so many may be away.
const TASKS: usize = 2;
const MAY_MISS: usize = 1;
/// The time after which a task that does not work counts as away for any
/// cause (`NoticeMs`).
const NOTICE: Duration = Duration::from_millis(4_500);
const LIMIT: Duration = Duration::from_secs(3);
const JOB: &str = "/jobs/00000000000000e5";

/// Returns whether an upkeep ended a task that was at work while as many
/// others of its step were away as may be.
pub async fn play(record: &Record, trouble: bool) -> Result<bool, CannotRun> {
    let store = Store::default();
    let (world, servers) = World::start(&store, MACHINES)?;
    let cloud = servers[MACHINES].addr();
    let cell = Cell::start_with(8, store, None, cloud, &config(3)).await?;
    let phase = json!({
        "Count": TASKS, "Cpu": 1_000, "MemMb": 256, "EstRuntimeMs": 500,
        "LongRunning": true, "AntiAffinity": 1, "MayMiss": MAY_MISS,
    });
    let job = json!({ "Spec": "lasts", "Phases": [phase] });
    let (status, _) = cell.call(0, "POST", JOB, Some(&job), LIMIT).await;
    record.line(&format!("POST {JOB}: {status}"));
    // A leader takes no machine down right after its takeover.
    sleep(Duration::from_secs(6)).await;
    let machines: Vec<String> =
        (0..MACHINES).map(|number| format!("m-{number}")).collect();
    let most = if trouble { MAX_COUNT } else { 1 };
    let wave = json!({
        "Wave": 1, "Machines": machines, "DurationS": WAVE_S,
        "MaxCount": most,
    });
    cell.store.write("op/wave/1", &wave);
    record.line(&format!("the operator asks for {wave}"));
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(2 * WAVE_S) {
        sleep(Duration::from_millis(100)).await;
        let state = cell.store.read("status/wave/1").unwrap_or_default();
        if state.contains("succeeded") {
            record.line("the wave has succeeded");
            break;
        }
    }
    sleep(Duration::from_secs(1)).await;
    let broken = check(record, &lock(&world.state));
    Ok(broken)
}

/// Writes down all runs and orders, and checks each end by an upkeep.
fn check(record: &Record, state: &State) -> bool {
    for (at, machine) in &state.orders {
        let at = record.seconds(*at);
        record.line(&format!("upkeep of m-{machine} ordered at {at:.3}"));
    }
    let mut broken = false;
    for run in &state.runs {
        let began = record.seconds(run.began);
        let ended = run.ended.map(|(at, how)| (record.seconds(at), how));
        let (task, machine) = (&run.task, run.machine);
        record.line(&format!(
            "run {task} {} on m-{machine}: {began:.3} to {ended:?}",
            run.number
        ));
        let Some((at, End::Upkeep)) = run.ended else { continue };
        // It was at work until the order.
        if at < run.began + START {
            continue;
        }
        let away = others_away(state, run, at);
        if away >= MAY_MISS {
            record.line(&format!(
                "the upkeep of m-{machine} ends {task} at {:.3} while \
                 {away} others are away; {MAY_MISS} may be away in all",
                record.seconds(at)
            ));
            broken = true;
        }
    }
    broken
}

/// How many other tasks of the step are away at a moment: an upkeep has ended
/// their last run, or they have not worked for a while.
fn others_away(state: &State, run: &Run, at: Instant) -> usize {
    let mut tasks: Vec<&String> = state.runs.iter().map(|r| &r.task).collect();
    tasks.sort();
    tasks.dedup();
    let others = tasks.into_iter().filter(|task| **task != run.task);
    let away = others.filter(|task| {
        let runs = || state.runs.iter().filter(|r| r.task == **task);
        if runs().any(|r| r.is_at_work(at)) {
            return false;
        }
        let worked = runs().filter(|r| r.began + START <= at);
        let last = worked.filter_map(|r| r.ended).max_by_key(|(end, _)| *end);
        last.is_some_and(|(end, how)| how == End::Upkeep || end + NOTICE <= at)
    });
    away.count()
}
