/*!
Executors of the users' platform.
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
use crate::users::{LOOK, MAX_BODY};

/// How a run has ended that was lost with its executor.
pub const CRASHED: &str = "crashed";
/// The time that a stop takes, in milliseconds.
const STOP: u64 = 50;
/// What the clock of an executor shows at its start, unless it is said.
const CLOCK_START: u64 = 1_000;

/// A run on an executor, as its record tells it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The life of the executor that it is on.
    pub executor: String,
    /// The task.
    pub task: String,
    /// Which run of it.
    pub run: u64,
    /// When it began.
    pub began: Instant,
    /// When it ended, if it has.
    pub ended: Option<Instant>,
    /// How it ended.
    pub how: &'static str,
    /// When a node took note of its end, if it did so before the lease of
    /// the executor lapsed.
    pub acknowledged: Option<Instant>,
}

/// An end that no node has taken note of yet.
#[derive(Clone, Debug)]
struct EndRow {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// The executor's lease has lapsed since.
    lapsed: bool,
}

#[derive(Clone, Debug)]
struct Working {
    run: u64,
    ends: Instant,
    how: &'static str,
}

#[derive(Default)]
struct ExecutorState {
    token: u64,
    due: u64,
    running: BTreeMap<String, Working>,
    sealed: BTreeMap<String, u64>,
    ended: Vec<EndRow>,
    number: u64,
    record: Vec<Run>,
    /// This life of it is over.
    over: bool,
}

/// One life of an executor. A task works for as many milliseconds as its text
/// says.
#[derive(Clone)]
pub struct Executor {
    id: String,
    /// What it says of its birth, in milliseconds of wall time.
    says_born: Option<u64>,
    born: Instant,
    /// How fast its clock runs; 1 is right.
    rate: f64,
    /// What its clock showed at its start.
    clock_start: u64,
    state: Arc<Mutex<ExecutorState>>,
}

impl Executor {
    /// An executor with this id.
    pub fn new(id: &str) -> Executor {
        Executor::with_clock(id, 1.0)
    }

    /// The same, with a clock that runs at this rate; 1 is right.
    pub fn with_clock(id: &str, rate: f64) -> Executor {
        Executor {
            id: id.to_string(),
            says_born: None,
            born: Instant::now(),
            rate,
            clock_start: CLOCK_START,
            state: Arc::default(),
        }
    }

    /// One of several lives under this id: it says when it was born, and its
    /// clock is ahead by so many milliseconds.
    pub fn with_birth(id: &str, rate: f64, ahead: u64) -> Executor {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis() as u64;
        Executor {
            says_born: Some(born),
            clock_start: CLOCK_START + ahead,
            ..Executor::with_clock(id, rate)
        }
    }

    /// Says in one of its own messages when it was born, if it does.
    fn sign(&self, mut value: Value) -> Value {
        if let Some(born) = self.says_born {
            value["born"] = born.into();
        }
        value
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The highest fencing token that it has seen.
    pub fn token(&self) -> u64 {
        self.lock().token
    }

    /// Ends this life. What runs dies now, and nothing is answered any more.
    pub fn crash(&self) {
        let mut state = self.lock();
        self.work(&mut state);
        let now = Instant::now();
        let running = std::mem::take(&mut state.running);
        for (task, run) in running {
            end_record(&mut state.record, &task, now, CRASHED);
            state.sealed.insert(task, run.run);
        }
        state.over = true;
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
        self.sign(json!({
            "Backend": service, "Address": addr, "Zone": "z",
            "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
            "Capacity": { "Cpu": 4_000, "MemMb": 8_192, "Gpus": 0 },
            "Labels": ["a", "r1"], "ClockMs": 0, "Seq": 1,
        }))
    }

    /// Every run so far.
    pub fn record(&self) -> Vec<Run> {
        let mut state = self.lock();
        self.work(&mut state);
        state.record.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ExecutorState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_over(&self) -> bool {
        self.lock().over
    }

    fn clock(&self) -> u64 {
        let lived = self.born.elapsed().mul_f64(self.rate);
        self.clock_start + lived.as_millis() as u64
    }

    /// When its clock shows this.
    fn instant(&self, clock: u64) -> Instant {
        let lived = clock.saturating_sub(self.clock_start);
        let lived = Duration::from_millis(lived);
        self.born + lived.div_f64(self.rate)
    }

    /// Lets tasks work, and their lease run out.
    fn work(&self, state: &mut ExecutorState) {
        let now = Instant::now();
        let lapse = self.instant(state.due);
        let lapsed = lapse < now;
        let over: Vec<String> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.ends <= now)
            .map(|(task, _)| task.clone())
            .collect();
        for task in over {
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

    /// Takes note of ends up to `seen`.
    fn forget(&self, state: &mut ExecutorState, seen: u64) {
        let now = Instant::now();
        let ended = std::mem::take(&mut state.ended);
        let (noted, left): (Vec<EndRow>, Vec<EndRow>) =
            ended.into_iter().partition(|end| end.number <= seen);
        state.ended = left;
        for end in noted.iter().filter(|end| !end.lapsed) {
            let record = state.record.iter_mut();
            let mut record =
                record.filter(|r| r.task == end.task && r.run == end.run);
            if let Some(record) = record.next() {
                record.acknowledged = Some(now);
            }
        }
    }

    /// Answers a call to the address where it lives.
    pub(super) async fn answer(&self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let expected = expected(request.headers());
        let payload = request.take_payload();
        let within = Duration::from_secs(5);
        let body = read_body(payload, MAX_BODY, within).await;
        let body = body.unwrap_or_default();
        if expected.is_some_and(|id| id != self.id) {
            let status = StatusCode::MISDIRECTED_REQUEST;
            return text(status, "another life");
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if self.is_over() {
            return no_answer().await;
        }
        {
            let mut state = self.lock();
            self.work(&mut state);
            if token < state.token {
                return self.rejected("fence");
            }
            state.token = token;
        }
        match path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body).await,
            "/v1/pace" => self.done(),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn done(&self) -> Reply {
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
        if state.over {
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
        let there = state.running.get(task);
        if there.is_some_and(|there| there.run == run) {
            return self.done();
        }
        let running = Working { run, ends, how: "done" };
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
        self.done()
    }

    fn stop(&self, body: &Value) -> Reply {
        let task = body["Task"].as_str().unwrap_or("");
        let run = body["Run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let sealed = state.sealed.entry(task.to_string()).or_default();
        *sealed = (*sealed).max(run);
        if let Some(running) = state.running.get_mut(task) {
            running.how = "stopped";
            running.ends = Instant::now() + Duration::from_millis(STOP);
        }
        self.done()
    }

    async fn hold(&self, body: &Value) -> Reply {
        let seen = body["LastSeen"].as_u64().unwrap_or(0);
        let wait = body["WaitMs"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            let due = body["DueMs"].as_u64().unwrap_or(0);
            state.due = state.due.max(due);
            self.forget(&mut state, seen);
        }
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            if self.is_over() {
                return no_answer().await;
            }
            {
                let mut state = self.lock();
                self.work(&mut state);
                if !state.ended.is_empty() || Instant::now() >= until {
                    return json(StatusCode::OK, &self.account(&state));
                }
            }
            sleep(LOOK).await;
        }
    }

    fn account(&self, state: &ExecutorState) -> Value {
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
        self.sign(json!({
            "ClockMs": self.clock(), "Running": running, "Ended": ended,
        }))
    }
}

/// Writes down the end of the newest run of a task.
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

/// A process that is gone answers nothing.
pub(super) async fn no_answer() -> Reply {
    loop {
        sleep(Duration::from_secs(3_600)).await;
    }
}

fn expected(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("X-Expect-Instance")?;
    value.to_str().ok().map(str::to_string)
}
