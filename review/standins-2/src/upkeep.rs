//! A wave of upkeep meets a service of which one task may be away at a time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_http::{HttpMessage, Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use puffinknot_standin::proxy::{Proxy, ProxyFault};
use puffinknot_standin::server::Running;
use puffinknot_standin::users::Store;
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::cell::{config, CannotRun, Cell, Record};

const MACHINES: usize = 6;
/// How long a machine is away for its upkeep (`UpkeepS`).
const UPKEEP: Duration = Duration::from_secs(2);
/// How long a task that lasts takes to start. Its percent is below 100 until
/// then.
const START: Duration = Duration::from_millis(500);
/// The wave: all machines within this time, at most so many at once.
const WAVE_S: u64 = 20;
const MAX_COUNT: u64 = 2;
/// The service: so many tasks, of which so many may be away.
const TASKS: usize = 2;
const MAY_MISS: usize = 1;
/// The time after which a task that does not work counts as away for any
/// cause (`NoticeMs`).
const NOTICE: Duration = Duration::from_millis(4_500);
const HEARTBEAT: Duration = Duration::from_millis(1_000);
const POLL: Duration = Duration::from_millis(5);
const LIMIT: Duration = Duration::from_secs(3);
const JOB: &str = "/jobs/00000000000000e5";

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Upkeep,
    Stopped,
    Lapsed,
}

/// A run of a task, on any executor.
#[derive(Clone, Debug)]
struct Run {
    task: String,
    number: u64,
    machine: usize,
    began: Instant,
    ended: Option<(Instant, End)>,
}

impl Run {
    fn is_at_work(&self, at: Instant) -> bool {
        self.ended.is_none_or(|(ended, _)| ended > at)
            && at >= self.began + START
    }
}

/// An executor: one life of a machine.
struct Life {
    id: String,
    born: Instant,
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
    back_at: Option<Instant>,
    upkept: bool,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    runs: Vec<Run>,
    lives: u64,
    /// When the upkeep of each machine was ordered.
    orders: Vec<(Instant, usize)>,
}

impl State {
    fn begin_life(&mut self, machine: usize) {
        self.lives += 1;
        self.machines[machine].life = Some(Life {
            id: format!("i-{:08x}", 0x5a00 + self.lives),
            born: Instant::now(),
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
struct World {
    state: Arc<Mutex<State>>,
    proxies: Arc<Mutex<Vec<Proxy>>>,
    store: Store,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

async fn body_of(request: &mut Request) -> Value {
    let payload = request.take_payload();
    let read = read_body(payload, 1 << 20, Duration::from_secs(5)).await;
    serde_json::from_slice(&read.unwrap_or_default()).unwrap_or(Value::Null)
}

impl World {
    fn start(store: &Store) -> Result<(World, Vec<Running>), CannotRun> {
        let world = World {
            state: Arc::default(),
            proxies: Arc::default(),
            store: store.clone(),
        };
        let mut servers = Vec::new();
        for machine in 0..MACHINES {
            lock(&world.state).machines.push(Machine::default());
            lock(&world.state).begin_life(machine);
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
            for machine in 0..MACHINES {
                let mut state = lock(&self.state);
                if state.machines[machine].back_at.is_some_and(|t| t <= now) {
                    state.machines[machine].back_at = None;
                    state.begin_life(machine);
                    lock(&self.proxies)[machine].set_fault(ProxyFault::None);
                }
                let life = state.machines[machine].life.as_ref();
                let Some(id) = life.map(|life| life.id.clone()) else {
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
                    "Machine": format!("m-{machine}"),
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
                    let up = if id.is_some() { "up" } else { "upkeep" };
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
                let Some(number) = number.filter(|n| *n < MACHINES) else {
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
            "Running": running.collect::<Vec<Value>>(),
            "Ended": ended.collect::<Vec<Value>>(),
        });
        Some(json(StatusCode::OK, &body))
    }
}

/// Returns whether an upkeep ended a task that was at work while as many
/// others of its step were away as may be.
pub async fn play(record: &Record, trouble: bool) -> Result<bool, CannotRun> {
    let store = Store::default();
    let (world, servers) = World::start(&store)?;
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
