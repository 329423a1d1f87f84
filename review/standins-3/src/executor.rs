//! Executors as PROTOCOL.md describes them.
//!
//! The text of a task says how it runs: `MS` ends `done` after so many
//! milliseconds, and `MS:failed` ends `failed` after them. Anything else runs
//! until it is stopped.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::{Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use serde_json::{json, Value};
use tokio::time::sleep;

/// `HoldMaxMs` of the settings.
pub const HOLD_MAX_MS: u64 = 10_000;
/// How long a stop takes; `StopMs` is 400.
const STOP_MS: u64 = 50;
/// The most ends in one answer.
const ENDS_PER_ANSWER: usize = 500;
const POLL: Duration = Duration::from_millis(2);

/// A run that an executor has begun.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
}

/// An end that no hold has taken note of yet.
#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Active {
    run: u64,
    ends: Option<Instant>,
    how: &'static str,
    record: usize,
}

#[derive(Default)]
struct State {
    token: u64,
    due: u64,
    running: BTreeMap<String, Active>,
    /// The highest run of each task that was stopped or has ended.
    sealed: BTreeMap<String, u64>,
    ends: Vec<End>,
    numbers: u64,
    noted: u64,
    record: Vec<Run>,
}

/// One incarnation of an executor.
#[derive(Clone)]
pub struct Executor {
    pub id: String,
    pub born_ms: u64,
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Executor {
    pub fn new(id: &str) -> Executor {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Executor {
            id: id.to_string(),
            born_ms: now.unwrap_or_default().as_millis() as u64,
            started: Instant::now(),
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Its steady clock, which starts anew with each incarnation.
    pub fn clock(&self) -> u64 {
        1_000 + self.started.elapsed().as_millis() as u64
    }

    pub fn record(&self) -> Vec<Run> {
        let mut state = self.lock();
        self.advance(&mut state);
        state.record.clone()
    }

    /// The ends so far, and how many of them a hold has taken note of.
    pub fn ends(&self) -> (u64, u64) {
        let mut state = self.lock();
        self.advance(&mut state);
        (state.numbers, state.noted)
    }

    /// Ends runs whose time has come or whose lease is over.
    fn advance(&self, state: &mut State) {
        let now = Instant::now();
        let lapse =
            self.started + Duration::from_millis(state.due.max(1_000) - 1_000);
        let lapsed = now > lapse;
        let over: Vec<String> = state
            .running
            .iter()
            .filter(|(_, a)| lapsed || a.ends.is_some_and(|at| at <= now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in over {
            let Some(active) = state.running.remove(&task) else { continue };
            let by_itself = active.ends.filter(|at| *at <= lapse.min(now));
            let how = by_itself.map_or("lapsed", |_| active.how);
            let run = &mut state.record[active.record];
            run.ended = Some(by_itself.unwrap_or(lapse.min(now)));
            run.how = how;
            let sealed = state.sealed.entry(task.clone()).or_default();
            *sealed = (*sealed).max(active.run);
            state.numbers += 1;
            let number = state.numbers;
            state.ends.push(End { number, task, run: active.run, how });
        }
    }

    /// Answers a call.
    pub async fn answer(&self, path: &str, body: &Value) -> Reply {
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            self.advance(&mut state);
            if token < state.token {
                return self.rejected("fence");
            }
            state.token = token;
        }
        match path {
            "/v1/run-start" => self.start(body),
            "/v1/run-stop" => self.stop(body),
            "/v1/hold" => self.hold(body).await,
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

    /// Takes a time for the lease. A longer one than `HoldMaxMs` is cut.
    fn extend(&self, state: &mut State, due: u64) {
        state.due = state.due.max(due.min(self.clock() + HOLD_MAX_MS));
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
        if due <= self.clock() {
            return self.rejected("late");
        }
        self.extend(&mut state, due);
        if state.running.get(task).is_some_and(|a| a.run == run) {
            return self.done();
        }
        if state.sealed.get(task).is_some_and(|sealed| run <= *sealed) {
            return self.rejected("old");
        }
        let spec = body["Spec"].as_str().unwrap_or_default();
        let (time, how) = spec.split_once(':').unwrap_or((spec, "done"));
        let how = if how == "failed" { "failed" } else { "done" };
        let now = Instant::now();
        let time = time.parse().ok().map(Duration::from_millis);
        state.record.push(Run {
            task: task.to_string(),
            began: now,
            ended: None,
            how: "",
        });
        let record = state.record.len() - 1;
        let ends = time.map(|time| now + time);
        let active = Active { run, ends, how, record };
        state.running.insert(task.to_string(), active);
        self.done()
    }

    fn stop(&self, body: &Value) -> Reply {
        let task = body["Task"].as_str().unwrap_or_default();
        let run = body["Run"].as_u64().unwrap_or(0);
        let mut state = self.lock();
        let sealed = state.sealed.entry(task.to_string()).or_default();
        *sealed = (*sealed).max(run);
        if let Some(active) = state.running.get_mut(task) {
            if active.run <= run {
                active.how = "stopped";
                let ends = Instant::now() + Duration::from_millis(STOP_MS);
                active.ends = Some(active.ends.map_or(ends, |a| a.min(ends)));
            }
        }
        self.done()
    }

    async fn hold(&self, body: &Value) -> Reply {
        let wait = body["WaitMs"].as_u64().unwrap_or(0).min(2_000);
        {
            let mut state = self.lock();
            if let Some(due) = body["DueMs"].as_u64() {
                self.extend(&mut state, due);
            }
            let seen = body["LastSeen"].as_u64().unwrap_or(0);
            state.noted = state.noted.max(seen.min(state.numbers));
            state.ends.retain(|end| end.number > seen);
        }
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let mut state = self.lock();
                self.advance(&mut state);
                if !state.ends.is_empty() || Instant::now() >= until {
                    return json(StatusCode::OK, &self.lists(&state));
                }
            }
            sleep(POLL).await;
        }
    }

    fn lists(&self, state: &State) -> Value {
        let running = state
            .running
            .iter()
            .map(|(task, active)| json!([task, active.run, "", 100, 100]));
        let ended = state.ends.iter().take(ENDS_PER_ANSWER);
        let ended = ended.map(|e| json!([e.number, e.task, e.run, e.how, ""]));
        json!({
            "ClockMs": self.clock(),
            "born": self.born_ms,
            "Running": running.collect::<Vec<_>>(),
            "Ended": ended.collect::<Vec<_>>(),
        })
    }
}

/// Reads the body of a request as JSON.
pub async fn body_of(request: &mut Request) -> Value {
    let payload = request.take_payload();
    let body = read_body(payload, 8 << 20, Duration::from_secs(5)).await;
    serde_json::from_slice(&body.unwrap_or_default()).unwrap_or(Value::Null)
}
