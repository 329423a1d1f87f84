//! An executor goes down and up by turns. A task that has to run there is lost
//! with it each time.

use std::time::{Duration, Instant};

use puffinknot_standin::users::CrashMode;
use serde_json::{json, Value};

use crate::cell::{config, CannotRun, Cell, Record};

/// The number of executors, of which one flaps: a share of 0.05.
const EXECUTORS: usize = 20;
/// The time from one crash of the executor to the next.
const PERIOD: Duration = Duration::from_millis(900);
/// How long the executor goes down and up.
const FLAPPING: Duration = Duration::from_millis(5_500);
/// How long the job is watched after that.
const WATCHED: Duration = Duration::from_secs(15);
const LIMIT: Duration = Duration::from_secs(3);
const STANDING: &str = "/jobs/00000000000000a1";
const BATCH: &str = "/jobs/00000000000000b2";

/// The job that must not fail.
#[derive(Clone, Copy)]
pub enum Victim {
    /// A standing service with one task on each executor.
    Standing,
    /// A batch task that finds room on only one executor.
    Batch,
}

impl Victim {
    fn path(self) -> &'static str {
        match self {
            Victim::Standing => STANDING,
            Victim::Batch => BATCH,
        }
    }
}

/// Returns whether the job showed as failed. No run ends so here.
pub async fn play(
    record: &Record,
    trouble: bool,
    victim: Victim,
) -> Result<bool, CannotRun> {
    let cell = Cell::start(4, EXECUTORS, &config(3)).await?;
    let tasks = match victim {
        Victim::Standing => EXECUTORS,
        Victim::Batch => EXECUTORS - 1,
    };
    post(&cell, record, STANDING, &standing(tasks)).await?;
    wait_for_tasks(&cell, tasks).await?;
    let flapping = match victim {
        Victim::Standing => 0,
        Victim::Batch => idle_executor(&cell)?,
    };
    record.line(&format!("{tasks} tasks run; machine {flapping} will flap"));
    if matches!(victim, Victim::Standing) {
        // The service has been up for a while.
        tokio::time::sleep(Duration::from_secs(3)).await;
    }
    let broken = watch(&cell, record, flapping, trouble, victim).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    for run in cell.fleet().record() {
        let began = record.seconds(run.began);
        let ended = run.ended.map(|at| record.seconds(at));
        let ended = ended.map_or("on".into(), |at| format!("{at:.3}"));
        record.line(&format!(
            "run {} {} on {}: {began:.3} to {ended} {}",
            run.task, run.run, run.executor, run.how
        ));
    }
    Ok(broken)
}

/// A service with at most one task on an executor, each of which takes a whole
/// one.
fn standing(tasks: usize) -> Value {
    json!({
        "Spec": "300000",
        "Phases": [{
            "Count": tasks, "Cpu": 4000, "MemMb": 1024, "AntiAffinity": 1,
            "EstRuntimeMs": 300_000, "LongRunning": true,
        }],
    })
}

fn batch() -> Value {
    json!({
        "Spec": "2000",
        "Phases": [{
            "Count": 1, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 2000,
        }],
    })
}

async fn post(
    cell: &Cell,
    record: &Record,
    path: &str,
    body: &Value,
) -> Result<(), CannotRun> {
    for attempt in 0..20 {
        let (status, _) =
            cell.call(attempt % 3, "POST", path, Some(body), LIMIT).await;
        record.line(&format!("POST {path}: {status}"));
        if status == 200 {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    Err(CannotRun(format!("{path} is not accepted")))
}

async fn wait_for_tasks(cell: &Cell, tasks: usize) -> Result<(), CannotRun> {
    let started = Instant::now();
    while cell.fleet().record().len() < tasks {
        if started.elapsed() > Duration::from_secs(20) {
            return Err(CannotRun("the standing service is not up".into()));
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

fn idle_executor(cell: &Cell) -> Result<usize, CannotRun> {
    let idle = (0..EXECUTORS).find(|machine| {
        let executor = cell.fleet().executor(*machine);
        executor.is_some_and(|executor| executor.record().is_empty())
    });
    idle.ok_or_else(|| CannotRun("no executor is idle".into()))
}

/// Lets an executor flap, and asks for the state of the job until it has ended
/// or some time has passed.
async fn watch(
    cell: &Cell,
    record: &Record,
    flapping: usize,
    trouble: bool,
    victim: Victim,
) -> Result<bool, CannotRun> {
    let started = Instant::now();
    let mut up = true;
    let mut next = started + Duration::from_millis(100);
    let mut submitted = matches!(victim, Victim::Standing);
    let mut shown = String::new();
    while started.elapsed() < FLAPPING + WATCHED {
        let over = started.elapsed() >= FLAPPING;
        if trouble && Instant::now() >= next && !(over && up) {
            match up {
                true => cell.fleet().crash(flapping, CrashMode::Reset),
                false => cell.fleet().start_executor(flapping),
            }
            up = !up;
            next += PERIOD / 2;
            record.line(if up { "executor up" } else { "executor down" });
        }
        if !submitted && started.elapsed() > Duration::from_millis(300) {
            submitted = true;
            post(cell, record, BATCH, &batch()).await?;
        }
        if submitted {
            let path = victim.path();
            let (status, state) = cell.call(0, "GET", path, None, LIMIT).await;
            let state = format!("{status} {state}");
            if state != shown {
                record.line(&format!("GET {path}: {state}"));
                shown = state;
            }
            if shown.contains("failed") {
                return Ok(true);
            }
            if shown.contains("succeeded") {
                return Ok(false);
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(false)
}
