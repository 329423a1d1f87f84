//! A machine freezes with a request that its client then cancels.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::cell::{config, CannotRun, Cell, Record};

/// How long the machine stands still.
const FROZEN: Duration = Duration::from_millis(4_000);
/// How long the client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Within which time of the acknowledgement of a cancelling no task of the job
/// starts any more, and after which no task runs.
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(400);
/// The time around a disruption that is excused.
const CONTACT: Duration = Duration::from_millis(3_000);
const JOB: &str = "/jobs/00000000000000c3";

/// Returns whether a task of the job ran after its cancelling was
/// acknowledged, beyond the bounds of the rule.
pub async fn play(record: &Record, trouble: bool) -> Result<bool, CannotRun> {
    let cell = Cell::start(5, 10, &config(2)).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = cell.leader().ok_or(CannotRun("nobody leads".into()))?;
    let frozen = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    let job = json!({
        "Spec": "60000",
        "Phases": [{
            "Count": 2, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 60_000,
        }],
    });
    if trouble {
        cell.nodes[frozen].signal("-STOP")?;
        record.line(&format!("node {frozen} stands still"));
    }
    let stopped = Instant::now();
    let post = cell.call(frozen, "POST", JOB, Some(&job), DEADLINE);
    let (status, _) = post.await;
    record.line(&format!("POST {JOB} to node {frozen}: {status}"));
    let mut acknowledged = None;
    for _ in 0..10 {
        let (status, _) =
            cell.call(other, "DELETE", JOB, None, DEADLINE).await;
        record.line(&format!("DELETE {JOB} to node {other}: {status}"));
        if status == 410 || status / 100 == 2 {
            acknowledged = Some(Instant::now());
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let acknowledged =
        acknowledged.ok_or(CannotRun("not cancelled".into()))?;
    tokio::time::sleep(FROZEN.saturating_sub(stopped.elapsed())).await;
    if trouble {
        cell.nodes[frozen].signal("-CONT")?;
        record.line(&format!("node {frozen} goes on"));
    }
    // The stretch without a disruption begins after `ContactMs`.
    let calm = Instant::now() + CONTACT;
    let bound = acknowledged.max(calm) + CANCEL + STOP;
    let until = bound + Duration::from_secs(8);
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let (status, state) = cell.call(other, "GET", JOB, None, DEADLINE).await;
    record.line(&format!("GET {JOB}: {status} {state}"));
    let mut broken = false;
    for run in cell.fleet().record() {
        let began = record.seconds(run.began);
        let ended = run.ended.map(|at| record.seconds(at));
        let runs_on = run.ended.is_none_or(|ended| ended > bound);
        broken |= runs_on;
        record.line(&format!(
            "run {} {} on {}: {began:.3} to {ended:?} {}",
            run.task, run.run, run.executor, run.how
        ));
    }
    Ok(broken)
}
