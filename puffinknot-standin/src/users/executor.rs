/*!
Executors of the users' platform, which run tasks under leases.
*/

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::server::Running;
use crate::users::{MAX_BODY, POLL_INTERVAL};

/// The outcome of a run that was lost in a crash of its executor.
pub const CRASHED: &str = "crashed";
/// The time from a stop request to the end of the run, in milliseconds.
const STOP_MS: u64 = 50;
/// The default reading of the clock of an executor at its start, in
/// milliseconds.
const CLOCK_START_MS: u64 = 1_000;

/// A run in the record of an executor.
#[derive(Clone, Debug)]
pub struct Run {
    /// The id of the executor.
    pub executor: String,
    /// The task.
    pub task: String,
    /// The number of the run of this task.
    pub run: u64,
    /// When it began.
    pub began: Instant,
    /// When it ended; `None` while it runs.
    pub ended: Option<Instant>,
    /// How it ended: `done`, `stopped`, `lapsed` or [`CRASHED`]; empty while
    /// it runs.
    pub how: &'static str,
    /// When a node acknowledged its end, if it did so before the lease of
    /// the executor lapsed.
    pub acknowledged: Option<Instant>,
}

/// An end that no node has acknowledged yet.
#[derive(Clone, Debug)]
struct EndRow {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Whether the lease of the executor has lapsed since.
    lapsed: bool,
}

#[derive(Clone, Debug)]
struct RunningTask {
    run: u64,
    ends: Instant,
    how: &'static str,
}

#[derive(Default)]
struct ExecutorState {
    /// The highest fencing token seen.
    token: u64,
    /// The end of the lease, by the clock of the executor.
    due: u64,
    running: BTreeMap<String, RunningTask>,
    /// The highest run of each task that can no longer start.
    sealed: BTreeMap<String, u64>,
    ended: Vec<EndRow>,
    /// The number of the last end.
    number: u64,
    record: Vec<Run>,
    /// Whether this incarnation has crashed.
    crashed: bool,
}

/// One incarnation of an executor. The text of a task is the number of
/// milliseconds that it runs.
#[derive(Clone)]
pub struct Executor {
    id: String,
    /// The birth time that it reports, in milliseconds since 1970, if any.
    reported_birth_ms: Option<u64>,
    born: Instant,
    /// The rate of its clock; 1 is real time.
    rate: f64,
    /// The reading of its clock at its start, in milliseconds.
    clock_start_ms: u64,
    state: Arc<Mutex<ExecutorState>>,
}

impl Executor {
    /// Creates an executor whose clock is exact.
    pub fn new(id: &str) -> Executor {
        Executor::with_clock(id, 1.0)
    }

    /// Creates an executor whose clock runs at this rate; 1 is real time.
    pub fn with_clock(id: &str, rate: f64) -> Executor {
        Executor {
            id: id.to_string(),
            reported_birth_ms: None,
            born: Instant::now(),
            rate,
            clock_start_ms: CLOCK_START_MS,
            state: Arc::default(),
        }
    }

    /// Creates one of several incarnations with this id. It reports its birth
    /// time, and its clock is ahead by `ahead` milliseconds.
    pub fn with_birth(id: &str, rate: f64, ahead: u64) -> Executor {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis() as u64;
        Executor {
            reported_birth_ms: Some(born),
            clock_start_ms: CLOCK_START_MS + ahead,
            ..Executor::with_clock(id, rate)
        }
    }

    /// Adds the birth time to a message, if the executor reports it.
    fn add_birth(&self, mut value: Value) -> Value {
        if let Some(born) = self.reported_birth_ms {
            value["born"] = born.into();
        }
        value
    }

    /// The id of the executor.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The highest fencing token that it has seen.
    pub fn token(&self) -> u64 {
        self.lock().token
    }

    /// Crashes this incarnation: all runs end now, and no call is answered any
    /// more.
    pub fn crash(&self) {
        let mut state = self.lock();
        self.advance(&mut state);
        let now = Instant::now();
        let running = std::mem::take(&mut state.running);
        for (task, run) in running {
            end_record(&mut state.record, &task, now, CRASHED);
            state.sealed.insert(task, run.run);
        }
        state.crashed = true;
    }

    /// Serves at an address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let executor = self.clone();
        Running::start(addr, move || {
            let executor = executor.clone();
            move |request: Request| {
                let executor = executor.clone();
                async move { executor.answer(request).await }
            }
        })
    }

    /// The entry that it writes to the store.
    pub fn entry(&self, service: &str, addr: &str) -> Value {
        self.add_birth(json!({
            "Backend": service, "Address": addr, "Zone": "z",
            "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
            "Capacity": { "Cpu": 4_000, "MemMb": 8_192, "Gpus": 0 },
            "Labels": ["a", "r1"], "ClockMs": 0, "Seq": 1,
        }))
    }

    /// Every run so far.
    pub fn record(&self) -> Vec<Run> {
        let mut state = self.lock();
        self.advance(&mut state);
        state.record.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ExecutorState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_crashed(&self) -> bool {
        self.lock().crashed
    }

    fn clock(&self) -> u64 {
        let elapsed = self.born.elapsed().mul_f64(self.rate);
        self.clock_start_ms + elapsed.as_millis() as u64
    }

    /// The instant at which the clock of the executor shows this reading.
    fn instant(&self, clock: u64) -> Instant {
        let elapsed = clock.saturating_sub(self.clock_start_ms);
        let elapsed = Duration::from_millis(elapsed);
        self.born + elapsed.div_f64(self.rate)
    }

    /// Ends the runs that are done or whose lease has lapsed by now.
    fn advance(&self, state: &mut ExecutorState) {
        let now = Instant::now();
        let lapse = self.instant(state.due);
        let lapsed = lapse < now;
        let ended: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.ends <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in ended {
            let Some(run) = state.running.remove(&task) else { continue };
            let how = if run.ends <= lapse { run.how } else { "lapsed" };
            let sealed = state.sealed.entry(task.clone()).or_default();
            *sealed = (*sealed).max(run.run);
            state.number += 1;
            state.ended.push(EndRow {
                number: state.number,
                task: task.clone(),
                run: run.run,
                how,
                lapsed: false,
            });
            let ended = run.ends.min(lapse);
            end_record(&mut state.record, &task, ended, how);
        }
        if lapsed {
            for end in &mut state.ended {
                end.lapsed = true;
            }
        }
    }

    /// Removes the ends up to number `seen`, which a node has acknowledged.
    fn acknowledge(&self, state: &mut ExecutorState, seen: u64) {
        let now = Instant::now();
        let ended = std::mem::take(&mut state.ended);
        let (acknowledged, left): (Vec<EndRow>, Vec<EndRow>) =
            ended.into_iter().partition(|end| end.number <= seen);
        state.ended = left;
        for end in acknowledged.iter().filter(|end| !end.lapsed) {
            let record = state.record.iter_mut();
            let mut record =
                record.filter(|r| r.task == end.task && r.run == end.run);
            if let Some(record) = record.next() {
                record.acknowledged = Some(now);
            }
        }
    }

    /// Answers a call to the address of the executor.
    pub(super) async fn answer(&self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let expected = expected(request.headers());
        let payload = request.take_payload();
        let timeout = Duration::from_secs(5);
        let body = read_body(payload, MAX_BODY, timeout).await;
        let body = body.unwrap_or_default();
        if expected.is_some_and(|id| id != self.id) {
            let status = StatusCode::MISDIRECTED_REQUEST;
            return text(status, "another life");
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if self.is_crashed() {
            return no_answer().await;
        }
        {
            let mut state = self.lock();
            self.advance(&mut state);
            if token < state.token {
                return self.rejected("fence");
            }
            state.token = token;
        }
        match path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.renew(&body).await,
            "/v1/pace" => self.accepted(),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn accepted(&self) -> Reply {
        json(StatusCode::OK, &json!({ "ClockMs": self.clock() }))
    }

    fn rejected(&self, reason: &str) -> Reply {
        let body = json!({ "ClockMs": self.clock(), "Reason": reason });
        json(StatusCode::CONFLICT, &body)
    }

    fn start(&self, body: &Value) -> Reply {
        let (Some(task), Some(run), Some(due)) = (
            body["Task"].as_str(),
            body["Run"].as_u64(),
            body["DueMs"].as_u64(),
        ) else {
            return text(StatusCode::BAD_REQUEST, "not a start");
        };
        let mut state = self.lock();
        if state.crashed {
            return text(StatusCode::SERVICE_UNAVAILABLE, "over");
        }
        if state.sealed.get(task).is_some_and(|sealed| run <= *sealed) {
            return self.rejected("old");
        }
        if due <= self.clock() {
            return self.rejected("late");
        }
        state.due = state.due.max(due);
        let work = body["Spec"].as_str().and_then(|text| text.parse().ok());
        let now = Instant::now();
        let ends = now + Duration::from_millis(work.unwrap_or(100));
        let current = state.running.get(task);
        if current.is_some_and(|current| current.run == run) {
            return self.accepted();
        }
        let running = RunningTask { run, ends, how: "done" };
        state.running.insert(task.to_string(), running);
        state.record.push(Run {
            executor: self.id.clone(),
            task: task.to_string(),
            run,
            began: now,
            ended: None,
            how: "",
            acknowledged: None,
        });
        state.sealed.insert(task.to_string(), run.saturating_sub(1));
        self.accepted()
    }

    fn stop(&self, body: &Value) -> Reply {
        let task = body["Task"].as_str().unwrap_or("");
        let run = body["Run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let sealed = state.sealed.entry(task.to_string()).or_default();
        *sealed = (*sealed).max(run);
        if let Some(running) = state.running.get_mut(task) {
            running.how = "stopped";
            running.ends = Instant::now() + Duration::from_millis(STOP_MS);
        }
        self.accepted()
    }

    async fn renew(&self, body: &Value) -> Reply {
        let seen = body["LastSeen"].as_u64().unwrap_or(0);
        let wait = body["WaitMs"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            let due = body["DueMs"].as_u64().unwrap_or(0);
            state.due = state.due.max(due);
            self.acknowledge(&mut state, seen);
        }
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            if self.is_crashed() {
                return no_answer().await;
            }
            {
                let mut state = self.lock();
                self.advance(&mut state);
                if !state.ended.is_empty() || Instant::now() >= until {
                    return json(StatusCode::OK, &self.report(&state));
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn report(&self, state: &ExecutorState) -> Value {
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, run)| json!([task, run.run, "", 100, 0]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        self.add_birth(json!({
            "ClockMs": self.clock(), "Running": running, "Ended": ended,
        }))
    }
}

/// Records the end of the latest run of a task.
fn end_record(
    record: &mut [Run],
    task: &str,
    ended: Instant,
    how: &'static str,
) {
    let newest = record.iter_mut().rev().find(|run| run.task == task);
    if let Some(run) = newest {
        run.ended = Some(ended);
        run.how = how;
    }
}

/// Never returns, as a crashed process never answers.
pub(super) async fn no_answer() -> Reply {
    loop {
        sleep(Duration::from_secs(3_600)).await;
    }
}

fn expected(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("X-Expect-Instance")?;
    value.to_str().ok().map(str::to_string)
}
