//! The operator gives a route another name. Its host, its prefix and its
//! service stay.

use std::time::Duration;

use serde_json::{json, Value};

use crate::cell::{config, CannotRun, Cell, Record};

/// The bounds of the deployment.
const CONFIG: Duration = Duration::from_millis(2_000);
const VISIBLE: Duration = Duration::from_millis(3_000);
const CANCEL: Duration = Duration::from_millis(3_000);
const STOP: Duration = Duration::from_millis(400);
const LIMIT: Duration = Duration::from_secs(3);
const JOB: &str = "/jobs/00000000000000d4";

/// Returns whether the accepted job is denied to its client, or its tasks run
/// on after the client's cancelling was acknowledged.
pub async fn play(record: &Record, trouble: bool) -> Result<bool, CannotRun> {
    let cell = Cell::start(7, 10, &config(2)).await?;
    let job = json!({
        "Spec": "300000",
        "Phases": [{
            "Count": 3, "Cpu": 1000, "MemMb": 256, "EstRuntimeMs": 300_000,
            "LongRunning": true,
        }],
    });
    let (status, _) = cell.call(0, "POST", JOB, Some(&job), LIMIT).await;
    record.line(&format!("POST {JOB}: {status}"));
    if status != 200 {
        return Err(CannotRun("the job is not accepted".into()));
    }
    tokio::time::sleep(VISIBLE).await;
    get(&cell, record).await;
    let changed = next_config(trouble);
    cell.store.write("op/config", &changed);
    record.line(&format!("the operator writes {}", changed["Routes"]));
    // Twice the bounds, so that neither of them excuses an answer.
    tokio::time::sleep(2 * (CONFIG + VISIBLE)).await;
    let mut denied = 0;
    for _ in 0..cell.nodes.len() {
        denied += u32::from(get(&cell, record).await == 410);
    }
    let running = report_runs(&cell, record);
    record.line(&format!("{denied} of 3 nodes deny it, {running} tasks run"));
    let (status, _) = cell.call(0, "DELETE", JOB, None, LIMIT).await;
    record.line(&format!("DELETE {JOB}: {status}"));
    tokio::time::sleep(2 * (CANCEL + STOP)).await;
    let running = report_runs(&cell, record);
    record.line(&format!("{running} tasks run after that"));
    let acknowledged = status == 410 || status / 100 == 2;
    Ok(denied > 0 || acknowledged && running > 0)
}

/// The next version: the route has another name, or only another time-out.
fn next_config(renamed: bool) -> Value {
    let mut config = config(2);
    config["Version"] = 5.into();
    if renamed {
        config["Routes"][0]["Name"] = "r-2".into();
    } else {
        config["Routes"][0]["TimeoutMs"] = 2500.into();
    }
    config
}

/// Asks one node after the other for the state of the job.
async fn get(cell: &Cell, record: &Record) -> u16 {
    let node = (cell.asked.get() + 1) % cell.nodes.len();
    cell.asked.set(node);
    let (status, body) = cell.call(node, "GET", JOB, None, LIMIT).await;
    record.line(&format!("GET {JOB} from node {node}: {status} {body}"));
    status
}

/// Writes down all runs, and returns how many go on.
fn report_runs(cell: &Cell, record: &Record) -> usize {
    let runs = cell.fleet().record();
    for run in &runs {
        let began = record.seconds(run.began);
        let ended = run.ended.map(|at| record.seconds(at));
        let ended = ended.map_or("on".into(), |at| format!("{at:.3}"));
        let (task, number, how) = (&run.task, run.run, run.how);
        record.line(&format!(
            "run {task} {number}: {began:.3} to {ended} {how}"
        ));
    }
    runs.iter().filter(|run| run.ended.is_none()).count()
}
