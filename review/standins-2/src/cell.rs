//! A small deployment: node processes, started as the deploy file says, and
//! stand-ins for the platform on threads of this process.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use awc::Client;
use puffinknot_standin::server::Running;
use puffinknot_standin::users::{serve_advice, Fleet, Store};
use serde_json::{json, Value};

/// The host of all queues.
pub const HOST: &str = "tally.example";
/// The command of the deploy file, which starts at the root of the repository.
const RUN: [&str; 3] =
    ["target/release/puffinknot-node", "--without", "urgent-room"];
/// How long to wait for the deployment to serve.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Why a case could not run.
#[derive(Debug)]
pub struct CannotRun(pub String);

impl<E: std::error::Error> From<E> for CannotRun {
    fn from(error: E) -> CannotRun {
        CannotRun(error.to_string())
    }
}

/// What was sent, answered and run, in the order of time.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file, in place of an earlier one.
    pub fn create(path: &Path) -> Result<Record, CannotRun> {
        let file = Mutex::new(File::create(path)?);
        Ok(Record { file, started: Instant::now() })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        println!("{at:8.3} {text}");
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }

    /// The time of an instant, in seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

/// A node process. It is killed when dropped.
pub struct Node {
    pub ip: String,
    child: Child,
}

impl Node {
    /// Sends a signal, such as `-STOP`.
    pub fn signal(&self, name: &str) -> Result<(), CannotRun> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(CannotRun(format!("kill {name} failed"))),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A deployment of nodes and executors, in one data centre.
pub struct Cell {
    pub nodes: Vec<Node>,
    pub store: Store,
    fleet: Option<Fleet>,
    /// The number of the node that was asked last.
    pub asked: std::cell::Cell<usize>,
    folder: PathBuf,
    _servers: Vec<Running>,
}

impl Cell {
    /// Starts a store, `executors` machines with an executor each, and three
    /// nodes, and waits until all nodes are ready.
    pub async fn start(
        case: u8,
        executors: usize,
        config: &Value,
    ) -> Result<Cell, CannotRun> {
        let store = Store::default();
        let fleet = Fleet::start(&store, &["z"], executors, 1)?;
        let list = fleet.list_addr();
        Cell::start_with(case, store, Some(fleet), list, config).await
    }

    /// Starts three nodes beside this store and these executors, and waits
    /// until all nodes are ready. `list` is the service that manages machines.
    pub async fn start_with(
        case: u8,
        store: Store,
        fleet: Option<Fleet>,
        list: SocketAddr,
        config: &Value,
    ) -> Result<Cell, CannotRun> {
        let served = store.serve("127.0.0.1:0")?;
        let advice = serve_advice("127.0.0.1:0", Duration::from_millis(10))?;
        store.write("op/config", config);
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        std::fs::create_dir_all(&folder)?;
        let mut cell = Cell {
            nodes: Vec::new(),
            store,
            fleet,
            asked: std::cell::Cell::default(),
            folder,
            _servers: vec![served, advice],
        };
        let net = free_network(case)?;
        let (store, advice) =
            (cell._servers[0].addr(), cell._servers[1].addr());
        for number in 1..=3 {
            let ip = format!("{net}.{number}");
            let text = settings(&ip, &net, store, advice, list);
            cell.start_node(ip, &text)?;
        }
        cell.wait_until_ready().await?;
        Ok(cell)
    }

    /// The executors of [`Cell::start`].
    pub fn fleet(&self) -> &Fleet {
        self.fleet.as_ref().expect("started with a fleet")
    }

    fn start_node(&mut self, ip: String, text: &str) -> Result<(), CannotRun> {
        let path = self.folder.join(format!("{ip}.toml"));
        std::fs::write(&path, text)?;
        let log = File::create(self.folder.join(format!("{ip}.log")))?;
        let child = Command::new(RUN[0])
            .args(&RUN[1..])
            .env("PUFFINKNOT_SETTINGS", &path)
            .stdout(log)
            .spawn()?;
        self.nodes.push(Node { ip, child });
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), CannotRun> {
        let client = Client::default();
        let started = Instant::now();
        let mut ready = 0;
        while ready < self.nodes.len() {
            if started.elapsed() > START_LIMIT {
                return Err(CannotRun("the nodes are not ready".into()));
            }
            let ip = &self.nodes[ready].ip;
            let url = format!("http://{ip}:8167/v1/readiness");
            let answer = client.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status() == 200) {
                ready += 1;
            } else {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// The number of the node that leads, by the store.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.read("own/leader")?;
        self.nodes.iter().position(|node| value.contains(&node.ip))
    }

    /// Sends a request to a node and reads the answer. Returns status 0 if
    /// there is none within `limit`.
    pub async fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
        limit: Duration,
    ) -> (u16, String) {
        let ip = &self.nodes[node].ip;
        let url = format!("http://{ip}:8161{path}");
        let client = Client::builder().timeout(limit).finish();
        let method = method.parse().unwrap_or_default();
        let request = client
            .request(method, url)
            .insert_header(("Host", HOST))
            .insert_header(("Content-Type", "application/json"))
            .insert_header(("X-Deadline-Ms", limit.as_millis().to_string()));
        let sent = match body {
            Some(body) => request.send_body(body.to_string()).await,
            None => request.send().await,
        };
        let Ok(mut response) = sent else { return (0, String::new()) };
        let status = response.status().as_u16();
        let body = response.body().await.unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A part of the loopback network whose ports no other process uses: several
/// runs at the same time differ in their addresses.
fn free_network(case: u8) -> Result<String, CannotRun> {
    let first = std::process::id();
    let is_free = |net: &String| {
        let ports = [8161, 8166, 8167, 9464];
        let mut addresses = (1..=3).flat_map(|number| {
            ports.map(|port| format!("{net}.{number}:{port}"))
        });
        addresses.all(|address| TcpListener::bind(address).is_ok())
    };
    (0..250)
        .map(|n| format!("127.{}.{}", 100 + case, 1 + (first + n) % 250))
        .find(is_free)
        .ok_or_else(|| CannotRun("no free addresses".into()))
}

/// A configuration with one queue.
pub fn config(max_attempts: u32) -> Value {
    json!({
        "Version": 1,
        "Routes": [{
            "Name": "r-1", "Host": HOST, "PathPrefix": "/jobs/",
            "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 3000,
            "Priority": 1, "Backend": "b", "MaxAttempts": max_attempts,
            "Stretch": 4.0,
        }],
        "Services": [{
            "Name": "b", "EnforcesCapacity": false, "Headroom": false,
        }],
        "Limits": { "MaxBodyBytes": 262_144 },
    })
}

fn settings(
    ip: &str,
    net: &str,
    store: SocketAddr,
    advice: SocketAddr,
    list: SocketAddr,
) -> String {
    format!(
        r#"Node = "edge-{ip}"
Role = "node"
MachineClass = "edge"
Serves = ["edge", "control"]
Ip = "{ip}"
Zone = "z"
Region = "r"
PortRange = [7720, 7735]
Seeds = ["{net}.1:8166", "{net}.2:8166", "{net}.3:8166"]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1000
Invariants = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
Commands = "invoke"
Advice = "{advice}"
[Zones]
z = "r"
[Listen]
Front = "{ip}:8161"
Ready = "{ip}:8167"
Control = "{ip}:8166"
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
HoldMaxMs = 10000
StopMs = 400
cancel_ms = 3000
visible_ms = 3000
status_s = 120
LeaseMs = 3000
[platform]
Address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
HistoryS = 20
value_bytes = 1048576
ttl_min_ms = 1000
[CloudApi]
Address = "{list}"
RatePerS = 60.0
"#
    )
}
