//! Machines whose executors report how far their tasks have started, and the
//! service that manages them. An executor may start again under its id, and an
//! order may be carried out late.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::{HttpMessage, Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use puffinknot_standin::proxy::{Proxy, ProxyFault};
use puffinknot_standin::server::Running;
use puffinknot_standin::users::Store;
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::cell::CannotRun;

/// How long a machine is away for its upkeep (`UpkeepS`).
const UPKEEP: Duration = Duration::from_secs(2);
/// How long a task that lasts takes to start. Its percent is below 100 until
/// then.
pub const START: Duration = Duration::from_millis(500);
const HEARTBEAT: Duration = Duration::from_millis(1_000);
const POLL: Duration = Duration::from_millis(5);
/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Upkeep,
    Crashed,
    Stopped,
    Lapsed,
}

/// A run of a task, on any executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub machine: usize,
    pub began: Instant,
    pub ended: Option<(Instant, End)>,
}

impl Run {
    /// Whether it is at work at a moment.
    pub fn is_at_work(&self, at: Instant) -> bool {
        self.ended.is_none_or(|(ended, _)| ended > at)
            && at >= self.began + START
    }
}

/// An executor: one life of a machine.
struct Life {
    id: String,
    born: Instant,
    /// When it began, in milliseconds since 1970.
    born_ms: u64,
    token: u64,
    /// The end of the lease, in milliseconds since `born`.
    due: u64,
    /// The runs here that go on, by their position in the record.
    running: Vec<usize>,
    ended: Vec<(u64, usize)>,
    ends: u64,
    /// The highest run of each task that may not start any more.
    sealed: BTreeMap<String, u64>,
}

#[derive(Default)]
struct Machine {
    life: Option<Life>,
    /// When the next life begins, and the id that it keeps.
    back_at: Option<Instant>,
    back_as: Option<String>,
    upkept: bool,
}

#[derive(Default)]
pub struct State {
    machines: Vec<Machine>,
    pub runs: Vec<Run>,
    lives: u64,
    /// When the upkeep of each machine was ordered.
    pub orders: Vec<(Instant, usize)>,
    /// How late the next start is carried out; it is not answered.
    pub hold_next_start: Option<Duration>,
    /// The machine that such a start was sent to, and when.
    pub held: Option<(Instant, usize)>,
}

impl State {
    /// Begins a life with a new id, or with this one.
    fn begin_life(&mut self, machine: usize, id: Option<String>) {
        self.lives += 1;
        let new = format!("i-{:08x}", 0x5a00 + self.lives);
        self.machines[machine].life = Some(Life {
            id: id.unwrap_or(new),
            born: Instant::now(),
            born_ms: since_1970(),
            token: 0,
            due: 0,
            running: Vec::new(),
            ended: Vec::new(),
            ends: 0,
            sealed: BTreeMap::new(),
        });
    }

    /// Ends a run on the executor of a machine.
    fn end(&mut self, machine: usize, run: usize, how: End) {
        self.runs[run].ended = Some((Instant::now(), how));
        let Some(life) = &mut self.machines[machine].life else { return };
        life.running.retain(|other| *other != run);
        life.ends += 1;
        life.ended.push((life.ends, run));
        let number = self.runs[run].number;
        life.sealed.insert(self.runs[run].task.clone(), number);
    }

    fn expire(&mut self, machine: usize) {
        let Some(life) = &self.machines[machine].life else { return };
        if life.clock() > life.due {
            for run in life.running.clone() {
                self.end(machine, run, End::Lapsed);
            }
        }
    }
}

impl Life {
    fn clock(&self) -> u64 {
        1_000 + self.born.elapsed().as_millis() as u64
    }
}

/// The machines, and the service that manages them.
#[derive(Clone)]
pub struct World {
    pub state: Arc<Mutex<State>>,
    proxies: Arc<Mutex<Vec<Proxy>>>,
    store: Store,
}

pub fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn since_1970() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

async fn body_of(request: &mut Request) -> Value {
    let payload = request.take_payload();
    let read = read_body(payload, 1 << 20, Duration::from_secs(5)).await;
    serde_json::from_slice(&read.unwrap_or_default()).unwrap_or(Value::Null)
}

impl World {
    /// Starts this many machines, with an executor each, and the service that
    /// manages them, which is the last of the servers.
    pub fn start(
        store: &Store,
        machines: usize,
    ) -> Result<(World, Vec<Running>), CannotRun> {
        let world = World {
            state: Arc::default(),
            proxies: Arc::default(),
            store: store.clone(),
        };
        let mut servers = Vec::new();
        for machine in 0..machines {
            lock(&world.state).machines.push(Machine::default());
            lock(&world.state).begin_life(machine, None);
            let served = world.clone();
            let server = Running::start("127.0.0.1:0", move || {
                let served = served.clone();
                move |request: Request| {
                    let served = served.clone();
                    async move { served.execute(machine, request).await }
                }
            })?;
            let proxy = Proxy::start(server.addr())
                .map_err(|error| CannotRun(error.to_string()))?;
            lock(&world.proxies).push(proxy);
            servers.push(server);
        }
        let cloud = world.clone();
        servers.push(Running::start("127.0.0.1:0", move || {
            let cloud = cloud.clone();
            move |request: Request| {
                let cloud = cloud.clone();
                async move { cloud.manage(request).await }
            }
        })?);
        let beats = world.clone();
        std::thread::spawn(move || beats.keep());
        Ok((world, servers))
    }

    /// Writes the entries of the executors, and brings machines back after
    /// their upkeep, until the process ends.
    fn keep(&self) {
        let mut written: BTreeMap<String, (Instant, u64)> = BTreeMap::new();
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            let mut alive = Vec::new();
            let count = lock(&self.state).machines.len();
            for machine in 0..count {
                let mut state = lock(&self.state);
                if state.machines[machine].back_at.is_some_and(|t| t <= now) {
                    state.machines[machine].back_at = None;
                    let id = state.machines[machine].back_as.take();
                    state.begin_life(machine, id);
                    lock(&self.proxies)[machine].set_fault(ProxyFault::None);
                }
                let life = state.machines[machine].life.as_ref();
                let Some((id, born)) =
                    life.map(|life| (life.id.clone(), life.born_ms))
                else {
                    continue;
                };
                alive.push(id.clone());
                let last = written.get(&id).copied();
                if last.is_some_and(|(at, _)| now < at + HEARTBEAT) {
                    continue;
                }
                let seq = last.map_or(1, |(_, seq)| seq + 1);
                written.insert(id.clone(), (now, seq));
                let address = lock(&self.proxies)[machine].addr().to_string();
                let entry = json!({
                    "Backend": "b", "Address": address, "Zone": "z",
                    "Version": "v1", "Slots": 8, "State": "ready",
                    "ColdLeftMs": 0, "Seq": seq, "Labels": ["a", "r1"],
                    "Capacity": { "Cpu": 4_000, "MemMb": 8_192, "Gpus": 0 },
                    "Machine": format!("m-{machine}"), "born": born,
                });
                self.store.write(&format!("servers/{id}"), &entry);
            }
            // An entry goes after three heartbeats of silence.
            written.retain(|id, (at, _)| {
                let gone = !alive.contains(id) && now > *at + 3 * HEARTBEAT;
                if gone {
                    self.store.remove(&format!("servers/{id}"));
                }
                !gone
            });
        }
    }

    /// Answers the calls to the service that manages machines.
    async fn manage(&self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let body = body_of(&mut request).await;
        match path.as_str() {
            "/v1/machines" => {
                let state = lock(&self.state);
                let rows = state.machines.iter().enumerate();
                let rows = rows.map(|(number, machine)| {
                    let id = machine.life.as_ref().map(|l| l.id.clone());
                    let up = match (&id, machine.upkept) {
                        (Some(_), _) => "up",
                        (None, true) => "upkeep",
                        (None, false) => "down",
                    };
                    json!({
                        "Machine": format!("m-{number}"), "Pool": "b",
                        "State": up, "Zone": "z", "Labels": ["a", "r1"],
                        "Id": id.unwrap_or_default(),
                    })
                });
                let rows: Vec<Value> = rows.collect();
                let body = json!({ "Machines": rows, "NextToken": null });
                json(StatusCode::OK, &body)
            }
            "/v1/machine-upkeep" => {
                let name = body["Machine"].as_str().unwrap_or_default();
                let number = name.strip_prefix("m-");
                let number = number.and_then(|text| text.parse().ok());
                let count = lock(&self.state).machines.len();
                let Some(number) = number.filter(|n| *n < count) else {
                    return text(StatusCode::BAD_REQUEST, "no such machine");
                };
                self.take_down(number)
            }
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn take_down(&self, number: usize) -> Reply {
        let mut state = lock(&self.state);
        if state.machines[number].upkept {
            return json(StatusCode::OK, &json!({}));
        }
        let Some(life) = state.machines[number].life.take() else {
            return json(StatusCode::CONFLICT, &json!({ "Reason": "busy" }));
        };
        let now = Instant::now();
        for run in life.running {
            state.runs[run].ended = Some((now, End::Upkeep));
        }
        state.machines[number].upkept = true;
        state.machines[number].back_at = Some(now + UPKEEP);
        state.orders.push((now, number));
        let proxies = lock(&self.proxies);
        proxies[number].set_fault(ProxyFault::Refuse);
        proxies[number].reset();
        json(StatusCode::OK, &json!({}))
    }

    /// Crashes the executor on a machine. It starts again after `away`, under
    /// the id that it had.
    pub fn crash(&self, number: usize, away: Duration) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let Some(life) = state.machines[number].life.take() else { return };
        for run in life.running {
            state.runs[run].ended = Some((now, End::Crashed));
        }
        state.machines[number].back_at = Some(now + away);
        state.machines[number].back_as = Some(life.id);
        let proxies = lock(&self.proxies);
        proxies[number].set_fault(ProxyFault::Refuse);
        proxies[number].reset();
    }

    /// Answers the calls to the executor on a machine.
    async fn execute(&self, number: usize, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let expected = request.headers().get("X-Expect-Instance");
        let expected = expected.and_then(|id| id.to_str().ok());
        let expected = expected.unwrap_or_default().to_string();
        let body = body_of(&mut request).await;
        let until = Instant::now()
            + Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0));
        if lock(&self.state).machines[number].life.is_none() {
            // A machine that is away for its upkeep answers nothing.
            std::future::pending::<()>().await;
        }
        if path == "/v1/run-start" {
            let late = lock(&self.state).hold_next_start.take();
            if let Some(late) = late {
                lock(&self.state).held = Some((Instant::now(), number));
                let world = self.clone();
                // It outlives its connection.
                std::thread::spawn(move || {
                    std::thread::sleep(late);
                    world.carry_out(number, &path, &expected, &body);
                });
                std::future::pending::<()>().await;
                return text(StatusCode::OK, "");
            }
        }
        let reply = self.carry_out(number, &path, &expected, &body);
        if let Some(reply) = reply {
            return reply;
        }
        loop {
            if let Some(reply) = self.report(number, &expected, until) {
                return reply;
            }
            sleep(POLL).await;
        }
    }

    /// Carries out an order. Returns `None` for a renewal, which is answered
    /// with a report.
    fn carry_out(
        &self,
        number: usize,
        path: &str,
        expected: &str,
        body: &Value,
    ) -> Option<Reply> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.expire(number);
        let life = state.machines[number].life.as_mut();
        let Some(life) = life.filter(|life| life.id == expected) else {
            let status = StatusCode::MISDIRECTED_REQUEST;
            return Some(text(status, "another life"));
        };
        let clock = life.clock();
        let rejected = |reason: &str| {
            let body = json!({ "ClockMs": clock, "Reason": reason });
            Some(json(StatusCode::CONFLICT, &body))
        };
        let done = || Some(json(StatusCode::OK, &json!({ "ClockMs": clock })));
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if token < life.token {
            return rejected("fence");
        }
        life.token = token;
        life.due = life.due.max(body["DueMs"].as_u64().unwrap_or(0));
        let task = body["Task"].as_str().unwrap_or_default().to_string();
        let run = body["Run"].as_u64().unwrap_or(0);
        match path {
            "/v1/hold" => {
                let seen = body["LastSeen"].as_u64().unwrap_or(0);
                life.ended.retain(|(number, _)| *number > seen);
                None
            }
            "/v1/run-start" => {
                if life.sealed.get(&task).is_some_and(|old| run <= *old) {
                    return rejected("old");
                }
                let runs = &state.runs;
                let known = |at: &usize| {
                    runs[*at].task == task && runs[*at].number == run
                };
                if !life.running.iter().any(known) {
                    life.running.push(state.runs.len());
                    state.runs.push(Run {
                        task,
                        number: run,
                        machine: number,
                        began: Instant::now(),
                        ended: None,
                    });
                }
                done()
            }
            "/v1/run-stop" => {
                life.sealed.insert(task.clone(), run);
                let runs = &state.runs;
                let mut running = life.running.iter().copied();
                let found = running.find(|at| {
                    runs[*at].task == task && runs[*at].number <= run
                });
                if let Some(found) = found {
                    state.end(number, found, End::Stopped);
                }
                done()
            }
            _ => done(),
        }
    }

    /// The answer to a renewal, once there is one.
    fn report(
        &self,
        number: usize,
        expected: &str,
        until: Instant,
    ) -> Option<Reply> {
        let mut state = lock(&self.state);
        state.expire(number);
        let life = state.machines[number].life.as_ref();
        let life = life.filter(|life| life.id == expected)?;
        if life.ended.is_empty() && Instant::now() < until {
            return None;
        }
        let running = life.running.iter().map(|at| {
            let run = &state.runs[*at];
            let done = run.began.elapsed().as_millis() * 100;
            let percent = (done / START.as_millis()).min(100) as u64;
            json!([run.task, run.number, "", percent, 0])
        });
        let ended = life.ended.iter().map(|(end, at)| {
            let run = &state.runs[*at];
            let how = match run.ended {
                Some((_, End::Lapsed)) => "lapsed",
                _ => "stopped",
            };
            json!([end, run.task, run.number, how, ""])
        });
        let body = json!({
            "ClockMs": life.clock(),
            "born": life.born_ms,
            "Running": running.collect::<Vec<Value>>(),
            "Ended": ended.collect::<Vec<Value>>(),
        });
        Some(json(StatusCode::OK, &body))
    }
}
