//! A small deployment on loopback addresses: node processes, the platform's
//! store and its list of machines, and machines with executors.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::{HttpMessage, Request, StatusCode};
use base64::prelude::{Engine, BASE64_STANDARD};
use puffinknot::http::{json, read_body, text, Reply};
use puffinknot_standin::server::Running;
use puffinknot_standin::users::Store;
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::executor::{body_of, Executor, Run, HOLD_MAX_MS};

pub const HOST: &str = "nony24.example";
/// `value_bytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;
/// The most entries in one transaction.
const TXN_ENTRIES: usize = 32;
/// `HeartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What was seen, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn new(path: &str) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        let file = Arc::new(Mutex::new(file));
        Record { began: Instant::now(), file }
    }

    pub fn at(&self, when: Instant, line: &str) {
        let at = when.saturating_duration_since(self.began).as_secs_f64();
        let line = format!("{at:8.3} {line}");
        println!("{line}");
        let mut file = self.file.lock().expect("no panic while writing");
        let _ = writeln!(file, "{line}");
    }

    pub fn note(&self, line: &str) {
        self.at(Instant::now(), line);
    }
}

/// A machine with an executor.
pub struct Machine {
    pub name: String,
    pub executor: Executor,
    addr: SocketAddr,
    _server: Running,
}

impl Machine {
    fn start(number: usize) -> Machine {
        let executor = Executor::new(&format!("i-{number:04}"));
        let served = executor.clone();
        let server = Running::start("127.0.0.1:0", move || {
            let served = served.clone();
            move |request: Request| {
                let executor = served.clone();
                async move { serve_executor(request, executor).await }
            }
        });
        let server = server.expect("a free port");
        let name = format!("m-{number}");
        Machine { name, executor, addr: server.addr(), _server: server }
    }
}

async fn serve_executor(mut request: Request, executor: Executor) -> Reply {
    let path = request.path().to_string();
    let expected = request.headers().get("X-Expect-Instance");
    let expected = expected.and_then(|id| id.to_str().ok());
    if expected.is_some_and(|id| id != executor.id) {
        return text(StatusCode::MISDIRECTED_REQUEST, "another life");
    }
    let body = body_of(&mut request).await;
    executor.answer(&path, &body).await
}

pub struct Node {
    pub ip: String,
    child: RefCell<Child>,
    settings: PathBuf,
}

impl Node {
    /// Kills the process.
    pub fn kill(&self) {
        let mut child = self.child.borrow_mut();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts a new process in place of one that was killed.
    pub fn start_again(&self) {
        *self.child.borrow_mut() = spawn_node(&self.settings, &self.ip);
    }

    /// The memory that its process uses, in MB.
    pub fn rss(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.borrow().id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kb = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
        kb.unwrap_or(0) / 1024
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a node as the `run` line of the deploy file says.
fn spawn_node(settings: &Path, ip: &str) -> Child {
    let mut command = Command::new("target/release/puffinknot-node");
    command.args(["--without", "urgent-room"]);
    command.env("PUFFINKNOT_SETTINGS", settings);
    command.stdout(match std::env::var("REVIEW_LOGS") {
        Ok(dir) => File::options()
            .create(true)
            .append(true)
            .open(format!("{dir}/{ip}.log"))
            .map_or_else(|_| Stdio::null(), Stdio::from),
        Err(_) => Stdio::null(),
    });
    command.spawn().expect("the program is built")
}

pub struct World {
    pub record: Record,
    pub store: Store,
    pub machines: Arc<Vec<Machine>>,
    pub nodes: Vec<Node>,
    ports: [u16; 3],
    /// How many writes the store has refused as too large.
    refusals: Arc<Mutex<u64>>,
    _servers: Vec<Running>,
}

/// A port that is free on all loopback addresses for now.
fn free_port() -> u16 {
    let listener = TcpListener::bind("0.0.0.0:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl World {
    /// Starts so many machines, each with an executor. The store, the list of
    /// machines and the nodes are started by [`World::start_nodes`].
    pub fn start(record: &str, machines: usize) -> World {
        World {
            record: Record::new(record),
            store: Store::default(),
            machines: Arc::new((0..machines).map(Machine::start).collect()),
            nodes: vec![],
            ports: [free_port(), free_port(), free_port()],
            refusals: Arc::default(),
            _servers: Vec::new(),
        }
    }

    pub fn start_nodes(&mut self, count: usize) {
        let inner = self.store.serve("127.0.0.1:0").expect("a store");
        let store = serve_store(
            inner.addr(),
            self.record.clone(),
            self.refusals.clone(),
        );
        let cloud = serve_cloud(self.machines.clone());
        spawn_heartbeats(self.machines.clone(), self.store.clone());
        let id = std::process::id();
        let net = format!("127.{}.{}", 20 + id % 200, id / 200 % 250);
        for number in 1..=count {
            let ip = format!("{net}.{number}");
            let text =
                settings(&net, &ip, self.ports, store.addr(), cloud.addr());
            let file = format!("review-3-{id}-{number}.toml");
            let path = std::env::temp_dir().join(file);
            std::fs::write(&path, text).expect("a temporary file");
            let child = RefCell::new(spawn_node(&path, &ip));
            self.nodes.push(Node { ip, child, settings: path });
        }
        self._servers.extend([inner, store, cloud]);
    }

    /// How many writes the store has refused as too large.
    pub fn refusals(&self) -> u64 {
        *self.refusals.lock().expect("no panic")
    }

    /// Ends all processes that were started.
    pub fn stop(&self) {
        for node in &self.nodes {
            node.kill();
            let _ = std::fs::remove_file(&node.settings);
        }
    }

    /// Kills all nodes and starts them again.
    pub fn restart_nodes(&self) {
        for node in &self.nodes {
            node.kill();
            node.start_again();
        }
    }

    pub fn url(&self, node: usize, path: &str) -> String {
        let node = &self.nodes[node % self.nodes.len()];
        format!("http://{}:{}{path}", node.ip, self.ports[0])
    }

    /// Calls a node as a client does. Status 0 stands for no answer.
    pub async fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, String) {
        let method = awc::http::Method::from_bytes(method.as_bytes());
        let url = self.url(node, path);
        let client = awc::Client::builder().disable_timeout().finish();
        let request = client
            .request(method.expect("a method"), url)
            .insert_header(("Host", HOST))
            .insert_header(("X-Deadline-Ms", "3000"))
            .timeout(Duration::from_secs(3));
        let sent = match body {
            Some(body) => {
                request
                    .insert_header(("Content-Type", "application/json"))
                    .send_body(body.to_string())
                    .await
            }
            None => request.send().await,
        };
        let Ok(mut response) = sent else { return (0, String::new()) };
        let body = response.body().await.unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        (response.status().as_u16(), body)
    }

    /// Hands a job in, at one node after the other, until it is accepted.
    pub async fn submit(&self, id: u64, body: &Value) -> bool {
        for attempt in 0..40 {
            let path = job(id);
            let node = id as usize + attempt;
            let (status, _) = self.call(node, "POST", &path, Some(body)).await;
            if status == 200 {
                return true;
            }
            sleep(Duration::from_millis(250)).await;
        }
        false
    }

    pub async fn state(&self, id: u64) -> String {
        for attempt in 0..8 {
            let (status, body) =
                self.call(id as usize + attempt, "GET", &job(id), None).await;
            if status == 200 || status == 410 {
                return format!("{status} {body}");
            }
            sleep(Duration::from_millis(250)).await;
        }
        "no answer".to_string()
    }

    /// Every run so far, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        let executors = self.machines.iter().map(|m| &m.executor);
        let mut runs: Vec<Run> =
            executors.flat_map(|executor| executor.record()).collect();
        runs.sort_by_key(|run| run.began);
        runs
    }
}

/// The path of a job.
pub fn job(id: u64) -> String {
    format!("/lohu930/{id:016x}")
}

pub fn config(max_attempts: u32) -> Value {
    json!({
        "Version": 1,
        "Routes": [{
            "Name": "r-3hwrr6x", "Host": HOST, "PathPrefix": "/lohu930/",
            "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 3000,
            "Priority": 1, "Backend": "huvo11a", "MaxAttempts": max_attempts,
            "Stretch": 4.0,
        }],
        "Services": [{
            "Name": "huvo11a", "HealthPath": "/health", "MaxConns": 64,
            "Protocol": "h1", "Tls": false, "EnforcesCapacity": false,
            "Headroom": false,
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        },
    })
}

/// Writes the entries of the executors.
fn spawn_heartbeats(machines: Arc<Vec<Machine>>, store: Store) {
    std::thread::spawn(move || {
        for seq in 1.. {
            for Machine { name, executor, addr, .. } in machines.iter() {
                let entry = json!({
                    "Backend": "huvo11a", "Address": addr.to_string(),
                    "Zone": "kariakoo-hall", "Version": "v1", "Slots": 8,
                    "State": "ready", "ColdLeftMs": 0, "Machine": name,
                    "Capacity": { "Cpu": 16_000, "MemMb": 65_536, "Gpus": 0 },
                    "Labels": ["a", "r1-1"], "ClockMs": executor.clock(),
                    "born": executor.born_ms, "Seq": seq,
                });
                store.write(&format!("servers/{}", executor.id), &entry);
            }
            std::thread::sleep(HEARTBEAT);
        }
    });
}

/// Serves the list of machines. No wave of upkeep is asked for.
fn serve_cloud(machines: Arc<Vec<Machine>>) -> Running {
    let server = Running::start("127.0.0.1:0", move || {
        let machines = machines.clone();
        move |request: Request| {
            let machines = machines.clone();
            async move {
                match request.path() {
                    "/v1/machines" => list_machines(&machines),
                    _ => text(StatusCode::BAD_REQUEST, "no such machine"),
                }
            }
        }
    });
    server.expect("a free port")
}

fn list_machines(machines: &[Machine]) -> Reply {
    let rows = machines.iter().map(|Machine { name, executor, .. }| {
        json!({
            "Machine": name, "Pool": "huvo11a", "State": "up",
            "Zone": "kariakoo-hall", "Labels": ["a", "r1-1"],
            "Capacity": { "Cpu": 16_000, "MemMb": 65_536, "Gpus": 0 },
            "Id": executor.id,
        })
    });
    let rows: Vec<Value> = rows.collect();
    json(StatusCode::OK, &json!({ "Machines": rows, "NextToken": null }))
}

/// Serves the platform's store: the project's own stand-in, behind the bounds
/// on values and transactions that the pages state.
fn serve_store(
    inner: SocketAddr,
    log: Record,
    refusals: Arc<Mutex<u64>>,
) -> Running {
    let server = Running::start("127.0.0.1:0", move || {
        let (log, refusals) = (log.clone(), refusals.clone());
        move |request: Request| {
            let (log, refusals) = (log.clone(), refusals.clone());
            async move { serve_store_call(request, inner, &log, &refusals).await }
        }
    });
    server.expect("a free port")
}

async fn serve_store_call(
    mut request: Request,
    inner: SocketAddr,
    log: &Record,
    refusals: &Mutex<u64>,
) -> Reply {
    let limit = Duration::from_secs(5);
    let payload = request.take_payload();
    let body = read_body(payload, 64 << 20, limit).await.unwrap_or_default();
    if request.path() == "/v1/kv-txn" {
        let call: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if let Some(why) = txn_problem(&call) {
            let mut refusals = refusals.lock().expect("no panic");
            *refusals += 1;
            if *refusals <= 5 || *refusals % 100 == 0 {
                log.note(&format!(
                    "store refuses a write ({refusals}): {why}"
                ));
            }
            return text(StatusCode::BAD_REQUEST, &why);
        }
    }
    let query = request.uri().path_and_query().map(|p| p.as_str().to_string());
    let url = format!("http://{inner}{}", query.unwrap_or_default());
    let method =
        awc::http::Method::from_bytes(request.method().as_str().as_bytes());
    let client = awc::Client::builder().disable_timeout().finish();
    let sent = client
        .request(method.expect("a method"), url)
        .timeout(Duration::from_secs(40))
        .send_body(body)
        .await;
    let Ok(mut answer) = sent else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "");
    };
    let status = StatusCode::from_u16(answer.status().as_u16());
    let body = answer.body().limit(64 << 20).await.unwrap_or_default();
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    json(status.expect("a status"), &value)
}

/// Why a sound store refuses a transaction, if it does.
fn txn_problem(call: &Value) -> Option<String> {
    let rows = |name: &str| call[name].as_array().cloned().unwrap_or_default();
    let entries =
        rows("ExpectedRev").len() + rows("put").len() + rows("Remove").len();
    if entries > TXN_ENTRIES {
        return Some(format!("{entries} entries, at most {TXN_ENTRIES}"));
    }
    rows("put").iter().find_map(|row| {
        let value = row["Value"].as_str().unwrap_or_default();
        let bytes = BASE64_STANDARD.decode(value).map_or(0, |v| v.len());
        let key = row["Key"].as_str().unwrap_or_default();
        (bytes > VALUE_BYTES)
            .then(|| format!("{key} has {bytes} bytes, at most {VALUE_BYTES}"))
    })
}

fn settings(
    net: &str,
    ip: &str,
    ports: [u16; 3],
    store: SocketAddr,
    cloud: SocketAddr,
) -> String {
    let [front, ready, control] = ports;
    format!(
        r#"Node = "edge-{ip}"
Role = "node"
MachineClass = "edge"
Serves = ["edge","control"]
Ip = "{ip}"
Zone = "kariakoo-hall"
Region = "dar-coast"
Seeds = ["{net}.1:{control}"]
Bootstrap = true
HeartbeatMs = 1500
Commands = "invoke"
[Zones]
kariakoo-hall = "dar-coast"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigMs = 2000
HoldMaxMs = {HOLD_MAX_MS}
StopMs = 400
cancel_ms = 3000
visible_ms = 3000
status_s = 120
UpkeepS = 2
FenceChecked = false
LeaseMs = 3000
[platform]
Address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
HistoryS = 20
value_bytes = {VALUE_BYTES}
ttl_min_ms = 1000
[CloudApi]
Address = "{cloud}"
RatePerS = 60.0
DutyPerS = 60.0
"#
    )
}
