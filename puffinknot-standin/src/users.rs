/*!
The users' platform, as far as a node needs it: a metadata store, executors
that run tasks under leases, and the service that gives advice.

Each is an HTTP server on a thread of its own. The store can be made to
refuse or to say nothing, and executors keep a record of every run, from
which a test can tell what was doubled or lost.
*/

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{HttpMessage, Method, Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::server::Running;

/// The largest body that is read, in bytes.
const MAX_BODY: usize = 8 << 20;
/// How often a call that waits looks whether it may be answered.
const LOOK: Duration = Duration::from_millis(5);
/// The time that a stop takes, in milliseconds.
const STOP: u64 = 50;
/// What the clock of an executor shows at its start.
const CLOCK_START: u64 = 1_000;

/// How the store fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// It refuses every call; nothing is done.
    Busy,
    /// It does not answer; nothing is done.
    Silent,
    /// Ranges are answered only after this time.
    SlowRanges(Duration),
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: u64,
    until: Instant,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change, in order: the key, and the item unless it is gone.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    fault: Option<StoreFault>,
    calls: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |i| i.made);
        let revision = self.revision;
        let item = Item { value, revision, made, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    /// Lets leases run out, and their keys with them.
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "made": item.made,
        "lease": item.lease,
    })
}

/// The metadata store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    /// Serves at an address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let store = self.clone();
        Running::start(addr, move || {
            let store = store.clone();
            move |request: Request| {
                let store = store.clone();
                async move { store.answer(request).await }
            }
        })
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Lets the store fail, or not any more.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.lock().fault = fault;
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Writes a value as the operator or an executor does.
    pub fn write(&self, key: &str, value: &Value) {
        use base64::prelude::{Engine, BASE64_STANDARD};
        let mut state = self.lock();
        state.revision += 1;
        let value = BASE64_STANDARD.encode(value.to_string());
        state.put(key, value, 0);
    }

    /// Takes a key away so that no watch shows it.
    pub fn revoke(&self, key: &str) {
        self.lock().items.remove(key);
    }

    /// The text of a value, if there is one.
    pub fn read(&self, key: &str) -> Option<String> {
        use base64::prelude::{Engine, BASE64_STANDARD};
        let state = self.lock();
        let bytes = BASE64_STANDARD.decode(&state.items.get(key)?.value);
        String::from_utf8(bytes.ok()?).ok()
    }

    async fn answer(&self, mut request: Request) -> Reply {
        let method = request.method().clone();
        let path = request.path().to_string();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let payload = request.take_payload();
        let within = Duration::from_secs(5);
        let body = read_body(payload, MAX_BODY, within).await;
        let body = body.unwrap_or_default();
        self.lock().calls += 1;
        if let Some(reply) = self.fail().await {
            return reply;
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| field(name).parse().unwrap_or(0);
        match (method, path.as_str()) {
            (Method::GET, "/v1/kv-key") => self.key(&field("Key")),
            (Method::GET, "/v1/kv-range") => {
                self.delay_range().await;
                self.range(&field("PathPrefix"), &field("DependsOn"))
            }
            (Method::GET, "/v1/kv-watch") => {
                let (after, wait) = (number("DependsOn"), number("WaitMs"));
                self.watch(&field("PathPrefix"), after, wait).await
            }
            (Method::POST, "/v1/kv-txn") => self.transact(&body),
            (Method::POST, "/v1/kv-lease") => self.grant(&body),
            (Method::POST, path) => self.keep(path),
            (Method::DELETE, path) => self.end(path),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn fail(&self) -> Option<Reply> {
        let fault = self.lock().fault?;
        match fault {
            StoreFault::Busy => {
                Some(text(StatusCode::SERVICE_UNAVAILABLE, "busy"))
            }
            StoreFault::Silent => {
                sleep(Duration::from_secs(3_600)).await;
                None
            }
            StoreFault::SlowRanges(_) => None,
        }
    }

    async fn delay_range(&self) {
        let fault = self.lock().fault;
        if let Some(StoreFault::SlowRanges(delay)) = fault {
            sleep(delay).await;
        }
    }

    fn key(&self, key: &str) -> Reply {
        let mut state = self.lock();
        state.expire();
        match state.items.get(key) {
            Some(item) => {
                let mut value = item_json(key, item);
                value["at"] = state.revision.into();
                json(StatusCode::OK, &value)
            }
            None => text(StatusCode::NOT_FOUND, "no such key"),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        const PAGE: usize = 50;
        let mut state = self.lock();
        state.expire();
        let all: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = all.len() > PAGE;
        let items: Vec<Value> = all.into_iter().take(PAGE).collect();
        let at = state.revision;
        let body = json!({ "items": items, "more": more, "at": at });
        json(StatusCode::OK, &body)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let mut state = self.lock();
                state.expire();
                let events: Vec<Value> = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| {
                        *revision > after && key.starts_with(prefix)
                    })
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => json!({
                            "Key": key, "Revision": revision, "gone": true,
                        }),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let body =
                        json!({ "events": events, "at": state.revision });
                    return json(StatusCode::OK, &body);
                }
            }
            sleep(LOOK).await;
            if let Some(reply) = self.fail().await {
                return reply;
            }
        }
    }

    fn transact(&self, body: &Value) -> Reply {
        let mut state = self.lock();
        state.expire();
        let rows =
            |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("ExpectedRev");
        let key = |row: &Value| row["Key"].as_str().unwrap_or("").to_string();
        let holds = expected.iter().all(|row| {
            let now = state.items.get(&key(row)).map_or(0, |i| i.revision);
            row["Revision"].as_u64() == Some(now)
        });
        if !holds {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    Some(item_json(&key, state.items.get(&key)?))
                })
                .collect();
            let body = json!({ "items": items });
            return json(StatusCode::PRECONDITION_FAILED, &body);
        }
        let puts = rows("put");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let over = puts
            .iter()
            .map(lease)
            .any(|id| id != 0 && !state.leases.contains_key(&id));
        if over {
            return text(StatusCode::NOT_FOUND, "no such lease");
        }
        state.revision += 1;
        for row in &puts {
            let value = row["Value"].as_str().unwrap_or("").to_string();
            state.put(&key(row), value, lease(row));
        }
        for row in rows("Remove") {
            state.remove(row.as_str().unwrap_or(""));
        }
        json(StatusCode::OK, &json!({ "Revision": state.revision }))
    }

    fn grant(&self, body: &Value) -> Reply {
        let ttl = body["ttl_ms"].as_u64().unwrap_or(1_000);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let until = Instant::now() + Duration::from_millis(ttl);
        state.leases.insert(id, Lease { ttl, until });
        json(StatusCode::OK, &json!({ "lease": id, "ttl_ms": ttl }))
    }

    fn keep(&self, path: &str) -> Reply {
        let id = path.strip_prefix("/v1/kv-keep/");
        let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        state.expire();
        let Some(lease) = state.leases.get_mut(&id) else {
            return text(StatusCode::NOT_FOUND, "no such lease");
        };
        lease.until = Instant::now() + Duration::from_millis(lease.ttl);
        json(StatusCode::OK, &json!({ "ttl_ms": lease.ttl }))
    }

    fn end(&self, path: &str) -> Reply {
        let id = path.strip_prefix("/v1/kv-lease-end/");
        let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
        self.lock().end_lease(id);
        json(StatusCode::OK, &json!({}))
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (key.into(), value.into())).collect()
}

/// A run on an executor, as its record tells it.
#[derive(Clone, Debug)]
pub struct Run {
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
    pub noted: Option<Instant>,
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
}

/// An executor. A task works for as many milliseconds as its text says.
#[derive(Clone)]
pub struct Executor {
    id: String,
    born: Instant,
    state: Arc<Mutex<ExecutorState>>,
}

impl Executor {
    /// An executor with this id.
    pub fn new(id: &str) -> Executor {
        Executor {
            id: id.to_string(),
            born: Instant::now(),
            state: Arc::default(),
        }
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
        json!({
            "Backend": service, "Address": addr, "Zone": "z",
            "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
            "Capacity": { "Cpu": 4_000, "MemMb": 8_192, "Gpus": 0 },
            "Labels": ["a", "r1"], "ClockMs": 0, "Seq": 1,
        })
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

    fn clock(&self) -> u64 {
        CLOCK_START + self.born.elapsed().as_millis() as u64
    }

    /// When its clock shows this.
    fn instant(&self, clock: u64) -> Instant {
        self.born + Duration::from_millis(clock.saturating_sub(CLOCK_START))
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
            let known = state.record.iter_mut().rev();
            let mut known = known.filter(|r| r.task == task);
            if let Some(record) = known.next() {
                record.ended = Some(run.ends.min(lapse));
                record.how = how;
            }
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
                record.noted = Some(now);
            }
        }
    }

    async fn answer(&self, mut request: Request) -> Reply {
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
            task: task.to_string(),
            run,
            began: now,
            ended: None,
            how: "",
            noted: None,
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
        json!({
            "ClockMs": self.clock(), "Running": running, "Ended": ended,
        })
    }
}

fn expected(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("X-Expect-Instance")?;
    value.to_str().ok().map(str::to_string)
}

/// Serves advice: every executor may run every step, after some time.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve_advice(addr: &str, decide: Duration) -> std::io::Result<Running> {
    Running::start(addr, move || {
        move |mut request: Request| async move {
            let payload = request.take_payload();
            let within = Duration::from_secs(5);
            let body = read_body(payload, MAX_BODY, within).await;
            let body = body.unwrap_or_default();
            let body: Value =
                serde_json::from_slice(&body).unwrap_or(Value::Null);
            sleep(decide).await;
            let workers = body["Workers"].as_array().cloned();
            let good: Vec<Value> = workers
                .unwrap_or_default()
                .into_iter()
                .map(|id| json!([id, "ticket"]))
                .collect();
            let body = json!({ "Good": good, "ValidMs": 2_000 });
            json(StatusCode::OK, &body)
        }
    })
}
