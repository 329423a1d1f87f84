//! A test cell of `puffinknotd` processes, with stand-ins for the platform and
//! the targets on threads of the test process.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use awc::Client;
use puffinknot::client::{self, Cli};
use puffinknot_core::config::Resources;
use puffinknot_core::node::NodeStatus;
use puffinknot_core::tasks::WorkerInfo;
use puffinknot_standin::executor::{Executor, ExecutorConfig};
use puffinknot_standin::platform::{Platform, Vm};
use puffinknot_standin::proxy::Proxy;
use puffinknot_standin::record::overlapping;
use puffinknot_standin::server::Running;
use puffinknot_standin::worker::Worker;
use uuid::Uuid;

pub const SECRET: &str = "process-secret";
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);
pub const FILE: &str = include_str!("../examples/litoral.toml");

/// A running `puffinknotd` process.
pub struct Daemon {
    pub name: String,
    pub child: Child,
    pub ip: String,
}

impl Daemon {
    pub fn pid(&self) -> String {
        self.child.id().to_string()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.pid()]).status();
        assert!(sent.expect("kill runs").success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A cell of daemon processes and stand-ins. It has one data centre unless a
/// test adds more.
pub struct World {
    pub platform: Platform,
    /// The URL of the platform for operators.
    pub base: String,
    /// The URL of the platform for daemons.
    pub daemons_base: String,
    pub executors: Vec<Executor>,
    pub workers: Vec<Worker>,
    pub daemons: Vec<Daemon>,
    pub servers: Vec<Running>,
    /// The third octet of this test's loopback addresses, which keeps tests
    /// apart.
    pub net: u8,
    /// Further arguments of the daemons.
    pub arguments: Vec<String>,
}

impl World {
    pub fn new(net: u8) -> World {
        let platform = Platform::new();
        let server = platform.serve("127.0.0.1:0").expect("a platform");
        let base = format!("http://{}", server.addr());
        World {
            platform,
            daemons_base: base.clone(),
            base,
            executors: Vec::new(),
            workers: Vec::new(),
            daemons: Vec::new(),
            servers: vec![server],
            net,
            arguments: Vec::new(),
        }
    }

    pub fn list(&self, id: &str, kind: &str, dc: &str, addr: String) {
        let (id, kind, dc) = (id.into(), kind.into(), dc.into());
        let state = "live".into();
        self.platform.put_vm(Vm { id, kind, dc, addr, state });
    }

    pub fn add_executor(&mut self, dc: &str) {
        let executor = Executor::new(ExecutorConfig::default());
        let server = executor.serve("127.0.0.1:0").expect("an executor");
        let id = format!("{dc}-x{}", self.executors.len());
        self.list(&id, "executor", dc, server.addr().to_string());
        self.executors.push(executor);
        self.servers.push(server);
    }

    pub fn add_worker(&mut self, dc: &str) {
        let info = WorkerInfo {
            capacity: Resources {
                cpu_millis: 32_000,
                memory_mb: 131_072,
                accelerators: 2,
            },
            rack: "rack".into(),
            leaving: false,
        };
        let id = format!("{dc}-w{}", self.workers.len());
        let worker = Worker::new(&id, info);
        let server = worker.serve("127.0.0.1:0").expect("a worker");
        self.list(&id, "worker", dc, server.addr().to_string());
        self.workers.push(worker);
        self.servers.push(server);
    }

    /// Starts a daemon on its own loopback address.
    pub fn start(&mut self, dc: &str, name: &str, host: u8) {
        let ip = format!("127.9.{}.{host}", self.net);
        let list = format!("{}/vms", self.daemons_base);
        let peer = format!("127.9.{}.1:8081", self.net);
        let child = Command::new(env!("CARGO_BIN_EXE_puffinknotd"))
            .args(["--cell", "local", "--dc", dc, "--vm", name])
            .args(["--listen", &format!("{ip}:8080")])
            .args(["--link", &format!("{ip}:8081")])
            .args(["--admin", &format!("{ip}:8082")])
            .args(["--platform", &self.daemons_base, "--vm-list", &list])
            .args(["--peer", &peer, "--ttl", "1", "--drain-ms", "100"])
            .args(["--log", "warn"])
            .args(&self.arguments)
            .env("PUFFINKNOT_SECRET", SECRET)
            .stderr(Stdio::null())
            .spawn()
            .expect("puffinknotd starts");
        self.daemons.push(Daemon { name: name.into(), child, ip });
    }

    /// Runs the command line client and returns its exit code and output.
    pub fn client(&self, args: &[&str]) -> (u8, String) {
        let cell = ["--platform", &self.base, "--cell", "local"];
        command(&[args, &cell].concat())
    }

    pub fn apply(&self, file: &str) -> (u8, String) {
        let name = format!("puffinknot-{}.toml", Uuid::new_v4());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, file).expect("a temporary file");
        let result = self.client(&["apply", path.to_str().expect("utf-8")]);
        let _ = std::fs::remove_file(path);
        result
    }

    pub fn status(&self, daemon: usize) -> Option<NodeStatus> {
        status(&self.daemons[daemon].ip)
    }

    /// Waits until all contracts are settled, all daemons have a configuration
    /// and all targets are ready.
    pub fn ready(&self) {
        wait("every contract is settled", || {
            let all: Vec<NodeStatus> = (0..self.daemons.len())
                .filter_map(|n| self.status(n))
                .collect();
            let targets: usize = all
                .iter()
                .flat_map(|status| &status.homes)
                .flat_map(|home| &home.targets)
                .filter(|target| target.ready)
                .count();
            let settled = all
                .iter()
                .flat_map(|s| &s.homes)
                .all(|h| h.settled && h.confirmed);
            settled
                && all.len() == self.daemons.len()
                && all.iter().all(|status| status.config > 0)
                && targets == self.executors.len() + self.workers.len()
        });
    }

    /// The index of the daemon that holds a contract.
    pub fn holder(&self, scope: &str) -> usize {
        let holds = |n: &usize| {
            let status = self.status(*n);
            status.is_some_and(|status| {
                status.homes.iter().any(|h| h.scope.to_string() == scope)
            })
        };
        (0..self.daemons.len()).find(holds).expect("a holder")
    }

    pub fn call(
        &self,
        daemon: usize,
        class: &str,
        key: Option<&str>,
    ) -> Answer {
        call(&self.daemons[daemon].ip, class, key, 5)
    }

    /// The number of runs of a key on all executors.
    pub fn runs(&self, key: &str) -> u32 {
        let records = self.executors.iter().map(Executor::record);
        records.map(|r| r.keyed_runs.get(key).copied().unwrap_or(0)).sum()
    }

    pub fn check(&self) {
        let records: Vec<_> =
            self.workers.iter().map(Worker::record).collect();
        assert_eq!(overlapping(&records), 0);
        assert!(records.iter().all(|record| record.overcommitted == 0));
        for executor in &self.executors {
            let record = executor.record();
            assert_eq!(record.overcommitted, 0);
            assert!(record.keyed_runs.values().all(|runs| *runs == 1));
        }
    }

    pub fn tasks(&self) -> usize {
        self.workers.iter().map(|worker| worker.running().len()).sum()
    }
}

/// Runs a command of the command line client.
pub fn command(args: &[&str]) -> (u8, String) {
    use clap::Parser;
    let all = [&["puffinknot"], args].concat();
    let cli = Cli::try_parse_from(all).expect("arguments in order");
    match in_system(client::run(cli)) {
        Ok(report) => (report.code, report.text),
        Err(err) => (1, err.to_string()),
    }
}

/// The parts of a call's response that tests check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    pub outcome: String,
    pub reason: String,
    pub status: u16,
    pub retry: bool,
}

pub fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < WAIT_LIMIT, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(20));
    }
}

pub fn in_system<T>(run: impl std::future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(run)
}

pub fn status(ip: &str) -> Option<NodeStatus> {
    in_system(async {
        let request = Client::default()
            .get(format!("http://{ip}:8082/status"))
            .insert_header(("authorization", format!("Bearer {SECRET}")));
        let mut response = request.send().await.ok()?;
        response.json().limit(1 << 20).await.ok()
    })
}

pub fn call(ip: &str, class: &str, key: Option<&str>, run_ms: u64) -> Answer {
    let token = match class {
        "vent-check" => "vent-token",
        "overnight" => "night-token",
        _ => "karibu-token",
    };
    let name = key.unwrap_or("overnight");
    let body = format!("{{\"name\":\"{name}\",\"run_ms\":{run_ms}}}");
    in_system(async {
        let mut request = Client::builder()
            .timeout(Duration::from_secs(60))
            .finish()
            .post(format!("http://{ip}:8080/call/{class}"))
            .insert_header(("authorization", format!("Bearer {token}")));
        if let Some(key) = key {
            request = request.insert_header(("idempotency-key", key));
        }
        let Ok(response) = request.send_body(body).await else {
            return Answer::default();
        };
        let text = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
        };
        Answer {
            outcome: text("puffinknot-outcome"),
            reason: text("puffinknot-reason"),
            status: response.status().as_u16(),
            retry: response.headers().contains_key("retry-after"),
        }
    })
}

pub fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Creates a cell of three daemons that serves calls and runs tasks.
pub fn running_cell(net: u8) -> World {
    running_cell_in(World::new(net))
}

/// Like [`running_cell`], with a proxy between the daemons and the platform.
pub fn running_cell_behind_proxy(net: u8) -> (World, Proxy) {
    let mut world = World::new(net);
    let proxy = Proxy::start(world.servers[0].addr()).expect("a proxy");
    world.daemons_base = format!("http://{}", proxy.addr());
    (running_cell_in(world), proxy)
}

/// Like [`running_cell`], with further arguments of the daemons and another
/// operators' file.
pub fn running_cell_with(net: u8, arguments: &[String], file: &str) -> World {
    let mut world = World::new(net);
    world.arguments = arguments.to_vec();
    let world = running_cell_in(world);
    let (code, text) = world.apply(file);
    assert_eq!(code, client::DONE, "{text}");
    world.ready();
    world
}

pub fn running_cell_in(mut world: World) -> World {
    for _ in 0..2 {
        world.add_executor("goya");
        world.add_worker("goya");
    }
    for host in 1..=3 {
        world.start("goya", &format!("goya-{host}"), host);
    }
    let (code, text) = world.apply(FILE);
    assert_eq!(code, client::DONE, "{text}");
    world.ready();
    // Calls whose keys are older than the settled contract are refused.
    wait("a vent check is answered", || {
        world.call(0, "vent-check", Some(&new_key())).outcome == "answered"
    });
    wait("every task runs", || world.tasks() == 10);
    world
}
