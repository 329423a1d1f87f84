//! Tests with real processes and sockets: the `puffinknotd` binary, with
//! stand-ins for the platform and the targets on threads of the test.
//!
//! Each wait is for a condition; its time limit only ends a test that would
//! otherwise hang.

use std::io::Write;
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use awc::Client;
use puffinknot::client::{self, Cli};
use puffinknot::control::MAX_CONFIG_AGE;
use puffinknot::wire::Hello;
use puffinknot_core::config::Resources;
use puffinknot_core::node::NodeStatus;
use puffinknot_core::tasks::WorkerInfo;
use puffinknot_standin::executor::{Executor, ExecutorConfig};
use puffinknot_standin::platform::{Platform, Vm};
use puffinknot_standin::proxy::{Proxy, ProxyFault};
use puffinknot_standin::record::overlapping;
use puffinknot_standin::server::Running;
use puffinknot_standin::worker::Worker;
use uuid::Uuid;

const SECRET: &str = "process-secret";
const WAIT_LIMIT: Duration = Duration::from_secs(60);
const FILE: &str = include_str!("../examples/litoral.toml");

/// A running `puffinknotd` process.
struct Daemon {
    name: String,
    child: Child,
    ip: String,
}

impl Daemon {
    fn pid(&self) -> String {
        self.child.id().to_string()
    }

    fn signal(&self, name: &str) {
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
struct World {
    platform: Platform,
    /// The URL of the platform for operators.
    base: String,
    /// The URL of the platform for daemons.
    daemons_base: String,
    executors: Vec<Executor>,
    workers: Vec<Worker>,
    daemons: Vec<Daemon>,
    servers: Vec<Running>,
    /// The third octet of this test's loopback addresses, which keeps tests
    /// apart.
    net: u8,
}

impl World {
    fn new(net: u8) -> World {
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
        }
    }

    fn list(&self, id: &str, kind: &str, dc: &str, addr: String) {
        let (id, kind, dc) = (id.into(), kind.into(), dc.into());
        let state = "live".into();
        self.platform.put_vm(Vm { id, kind, dc, addr, state });
    }

    fn add_executor(&mut self, dc: &str) {
        let executor = Executor::new(ExecutorConfig::default());
        let server = executor.serve("127.0.0.1:0").expect("an executor");
        let id = format!("{dc}-x{}", self.executors.len());
        self.list(&id, "executor", dc, server.addr().to_string());
        self.executors.push(executor);
        self.servers.push(server);
    }

    fn add_worker(&mut self, dc: &str) {
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
    fn start(&mut self, dc: &str, name: &str, host: u8) {
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
            .env("PUFFINKNOT_SECRET", SECRET)
            .stderr(Stdio::null())
            .spawn()
            .expect("puffinknotd starts");
        self.daemons.push(Daemon { name: name.into(), child, ip });
    }

    /// Runs the command line client and returns its exit code and output.
    fn client(&self, args: &[&str]) -> (u8, String) {
        let cell = ["--platform", &self.base, "--cell", "local"];
        command(&[args, &cell].concat())
    }

    fn apply(&self, file: &str) -> (u8, String) {
        let name = format!("puffinknot-{}.toml", Uuid::new_v4());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, file).expect("a temporary file");
        let result = self.client(&["apply", path.to_str().expect("utf-8")]);
        let _ = std::fs::remove_file(path);
        result
    }

    fn status(&self, daemon: usize) -> Option<NodeStatus> {
        status(&self.daemons[daemon].ip)
    }

    /// Waits until all contracts are settled, all daemons have a configuration
    /// and all targets are ready.
    fn ready(&self) {
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
    fn holder(&self, scope: &str) -> usize {
        let holds = |n: &usize| {
            let status = self.status(*n);
            status.is_some_and(|status| {
                status.homes.iter().any(|h| h.scope.to_string() == scope)
            })
        };
        (0..self.daemons.len()).find(holds).expect("a holder")
    }

    fn call(&self, daemon: usize, class: &str, key: Option<&str>) -> Answer {
        call(&self.daemons[daemon].ip, class, key, 5)
    }

    /// The number of runs of a key on all executors.
    fn runs(&self, key: &str) -> u32 {
        let records = self.executors.iter().map(Executor::record);
        records.map(|r| r.keyed_runs.get(key).copied().unwrap_or(0)).sum()
    }

    fn check(&self) {
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

    fn tasks(&self) -> usize {
        self.workers.iter().map(|worker| worker.running().len()).sum()
    }
}

/// Runs a command of the command line client.
fn command(args: &[&str]) -> (u8, String) {
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
struct Answer {
    outcome: String,
    reason: String,
    status: u16,
    retry: bool,
}

fn wait(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < WAIT_LIMIT, "{what} did not happen");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn in_system<T>(run: impl std::future::Future<Output = T>) -> T {
    actix_rt::System::new().block_on(run)
}

fn status(ip: &str) -> Option<NodeStatus> {
    in_system(async {
        let request = Client::default()
            .get(format!("http://{ip}:8082/status"))
            .insert_header(("authorization", format!("Bearer {SECRET}")));
        let mut response = request.send().await.ok()?;
        response.json().limit(1 << 20).await.ok()
    })
}

fn call(ip: &str, class: &str, key: Option<&str>, run_ms: u64) -> Answer {
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

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

/// Creates a cell of three daemons that serves calls and runs tasks.
fn running_cell(net: u8) -> World {
    running_cell_in(World::new(net))
}

/// Like [`running_cell`], with a proxy between the daemons and the platform.
fn running_cell_behind_proxy(net: u8) -> (World, Proxy) {
    let mut world = World::new(net);
    let proxy = Proxy::start(world.servers[0].addr()).expect("a proxy");
    world.daemons_base = format!("http://{}", proxy.addr());
    (running_cell_in(world), proxy)
}

fn running_cell_in(mut world: World) -> World {
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

#[test]
fn a_killed_holder_is_replaced_and_nothing_runs_twice() {
    let mut world = running_cell(1);
    let holder = world.holder("calls-0");
    let before = world.tasks();
    let sent = new_key();
    let entry = (holder + 1) % 3;
    assert_eq!(
        world.call(entry, "vent-check", Some(&sent)).outcome,
        "answered"
    );
    world.daemons[holder].child.kill().expect("it is killed");
    world.daemons[holder].child.wait().expect("it ends");
    // A resent call never runs again, at any VM and at any time.
    let again = world.call(entry, "vent-check", Some(&sent));
    assert_eq!(again.outcome, "unknown", "{again:?}");
    wait("a new holder serves vent checks", || {
        world.call(entry, "vent-check", Some(&new_key())).outcome == "answered"
    });
    let again = world.call(entry, "vent-check", Some(&sent));
    assert_eq!(again.outcome, "unknown", "{again:?}");
    assert_eq!(world.runs(&sent), 1);
    assert_eq!(world.tasks(), before);
    world.check();
}

#[test]
fn a_frozen_holder_that_wakes_does_no_harm() {
    let world = running_cell(2);
    let holder = world.holder("calls-0");
    let others: Vec<usize> = (0..3).filter(|n| *n != holder).collect();
    world.daemons[holder].signal("-STOP");
    wait("another VM holds the contract", || {
        others.iter().any(|n| {
            let status = world.status(*n);
            status.is_some_and(|s| {
                s.homes
                    .iter()
                    .any(|h| h.scope.to_string() == "calls-0" && h.settled)
            })
        })
    });
    wait("it serves vent checks", || {
        world.call(others[0], "vent-check", Some(&new_key())).outcome
            == "answered"
    });
    world.daemons[holder].signal("-CONT");
    // Calls the old holder at once, while it may not know of its successor.
    for _ in 0..20 {
        let sent = new_key();
        let answer = world.call(holder, "vent-check", Some(&sent));
        if answer.outcome == "not-run" {
            assert_eq!(world.runs(&sent), 0);
        }
        assert!(world.runs(&sent) <= 1);
    }
    wait("it serves as an entry VM again", || {
        world.call(holder, "vent-check", Some(&new_key())).outcome
            == "answered"
    });
    world.check();
}

#[test]
fn an_outage_of_the_platform_stops_no_call_and_no_task() {
    let mut world = running_cell(3);
    world.platform.change_faults(|faults| faults.down = true);
    wait("every VM has noticed", || {
        (0..3).all(|n| world.status(n).is_some_and(|s| !s.platform))
    });
    for n in 0..3 {
        let answer = world.call(n, "vent-check", Some(&new_key()));
        assert_eq!(answer.outcome, "answered", "{answer:?}");
    }
    // A VM that dies during the outage is replaced without the platform.
    let holder = world.holder("calls-0");
    world.daemons[holder].child.kill().expect("it is killed");
    let _ = world.daemons[holder].child.wait();
    let entry = (holder + 1) % 3;
    wait("another VM serves vent checks", || {
        world.call(entry, "vent-check", Some(&new_key())).outcome == "answered"
    });
    assert_eq!(world.tasks(), 10);
    // A new VM starts from the values that its peers know.
    let dead = world.daemons.remove(holder);
    drop(dead);
    world.start("goya", "goya-4", 4);
    let fresh = world.daemons.len() - 1;
    let seed = world.daemons.iter().any(|d| d.name == "goya-1");
    if seed {
        wait("a fresh VM serves overnight work", || {
            world.call(fresh, "overnight", None).outcome == "answered"
        });
    }
    world.platform.change_faults(|faults| faults.down = false);
    wait("the contracts are confirmed again", || {
        (0..world.daemons.len()).all(|n| {
            world.status(n).is_some_and(|s| {
                s.platform && s.homes.iter().all(|h| h.confirmed)
            })
        })
    });
    assert_eq!(world.tasks(), 10);
    world.check();
}

#[test]
fn a_planned_stop_under_load_cuts_no_call() {
    let mut world = running_cell(4);
    let holder = world.holder("calls-0");
    for executor in &world.executors {
        executor.set_replies_held(true);
    }
    let ip = world.daemons[holder].ip.clone();
    let sent = new_key();
    let running = {
        let (ip, sent) = (ip.clone(), sent.clone());
        std::thread::spawn(move || call(&ip, "invitation", Some(&sent), 5))
    };
    let unkeyed = std::thread::spawn(move || call(&ip, "overnight", None, 5));
    wait("the call without a key runs", || {
        world.executors.iter().map(Executor::running).sum::<usize>() >= 1
    });
    world.daemons[holder].signal("-TERM");
    world.daemons[holder].signal("-TERM");
    wait("another VM holds the contract", || {
        (0..3).filter(|n| *n != holder).any(|n| {
            world.status(n).is_some_and(|s| {
                s.homes.iter().any(|h| h.scope.to_string() == "calls-0")
            })
        })
    });
    for executor in &world.executors {
        executor.set_replies_held(false);
    }
    assert_eq!(unkeyed.join().expect("an answer").outcome, "answered");
    // The invitation's home is in a data centre without VMs in this test.
    assert_eq!(running.join().expect("an answer").outcome, "unknown");
    let ended = world.daemons[holder].child.wait().expect("it ends");
    assert!(ended.success(), "{ended}");
    world.check();
}

#[test]
fn of_two_operators_one_wins_and_the_other_is_told() {
    let world = running_cell(5);
    let first = FILE.replace("tasks = 4", "tasks = 5");
    let second = FILE.replace("tasks = 4", "tasks = 6");
    let before = world.status(0).expect("a status").config;
    let (code, _) = world.apply(&first);
    assert_eq!(code, client::DONE);
    // The other operator read the revision before the first one's change.
    let path = std::env::temp_dir()
        .join(format!("puffinknot-{}.toml", Uuid::new_v4()));
    std::fs::write(&path, &second).expect("a temporary file");
    let path_text = path.to_str().expect("utf-8");
    let expect = before.to_string();
    let (code, text) =
        world.client(&["apply", path_text, "--expect", &expect]);
    let _ = std::fs::remove_file(&path);
    assert_eq!(code, client::LOST, "{text}");
    assert!(text.contains("is in force"), "{text}");
    wait("the first file is in force everywhere", || {
        (0..3).all(|n| world.status(n).is_some_and(|s| s.config > before))
    });
    wait("its fifth task runs", || world.tasks() == 11);
    world.check();
}

#[test]
fn an_apply_whose_answer_is_lost_is_settled_by_reading_back() {
    let world = running_cell(6);
    world.platform.change_faults(|faults| faults.lose_answers = 1);
    let (code, text) = world.apply(&FILE.replace("tasks = 4", "tasks = 5"));
    assert_eq!(code, client::DONE, "{text}");
    wait("its fifth task runs", || world.tasks() == 11);
    world.check();
}

#[test]
fn foreign_and_garbage_peers_are_refused_without_harm() {
    let world = running_cell(7);
    let ip = world.daemons[0].ip.clone();
    let addr: std::net::SocketAddr =
        format!("{ip}:8081").parse().expect("an address");
    for garbage in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0; 4096], b"PRI"] {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        let _ = stream.write_all(garbage);
    }
    let hello = Hello {
        magic: puffinknot::wire::MAGIC,
        version: puffinknot::wire::VERSION,
        cell: "other".into(),
        proof: [0; 32],
        vm: "stranger".into(),
        dc: "goya".into(),
    };
    let refusal = in_system(async {
        let ip = std::net::Ipv4Addr::LOCALHOST.into();
        let links = puffinknot::link::Links::new(hello, ip);
        let request = puffinknot::wire::Request::Fetch;
        links.request(addr, &request, Duration::from_secs(5)).await
    });
    let refusal = refusal.expect_err("a stranger is refused");
    assert!(!refusal.sent);
    assert!(refusal.problem.contains("--cell"), "{}", refusal.problem);
    let answer = world.call(0, "vent-check", Some(&new_key()));
    assert_eq!(answer.outcome, "answered", "{answer:?}");
    world.check();
}

#[test]
fn bad_requests_get_a_typed_refusal() {
    let world = running_cell(8);
    let cases = [
        ("vent-check", None, "no-key"),
        ("vent-check", Some("not-a-uuid"), "bad-key"),
        ("no-such-class", None, "no-such-class"),
    ];
    for (class, key, reason) in cases {
        let answer = world.call(0, class, key);
        assert_eq!(answer.outcome, "not-run");
        assert_eq!(answer.reason, reason);
    }
    let big = "x".repeat(70_000);
    let ip = &world.daemons[0].ip;
    let status = in_system(async {
        let request = Client::default()
            .post(format!("http://{ip}:8080/call/overnight"))
            .insert_header(("authorization", "Bearer night-token"));
        let response = request.send_body(big).await;
        response.map(|response| response.status().as_u16())
    });
    assert_eq!(status.expect("an answer"), 413);
    // A client that stops in the middle of a request blocks no other.
    let mut slow =
        TcpStream::connect(format!("{ip}:8080")).expect("connected");
    let head = "POST /call/overnight HTTP/1.1\r\nhost: x\r\n\
                authorization: Bearer night-token\r\n\
                content-length: 100\r\n\r\nhalf";
    slow.write_all(head.as_bytes()).expect("sent");
    let answer = world.call(0, "overnight", None);
    assert_eq!(answer.outcome, "answered");
    world.check();
}

/// Guards against entry VMs that reject a class for good by an operators' file
/// which may be outdated, since the platform does not answer them.
#[test]
fn an_added_class_is_not_rejected_by_vms_that_cannot_know_it() {
    let (world, proxy) = running_cell_behind_proxy(14);
    proxy.set_fault(ProxyFault::Silent);
    let file = FILE.replace("\"invitation\"", "\"reminder\"");
    let (code, text) = world.apply(&file);
    assert_eq!(code, client::DONE, "{text}");
    std::thread::sleep(Duration::from_millis(MAX_CONFIG_AGE));
    for daemon in 0..world.daemons.len() {
        let answer = world.call(daemon, "reminder", Some(&new_key()));
        assert_eq!(answer.reason, "no-config", "{answer:?}");
        assert!(answer.retry, "{answer:?}");
        // What the file allows goes on.
        let answer = world.call(daemon, "overnight", None);
        assert_eq!(answer.outcome, "answered", "{answer:?}");
    }
    proxy.set_fault(ProxyFault::None);
    wait("the class is known", || {
        let answer = world.call(0, "reminder", Some(&new_key()));
        !["no-config", "no-such-class"].contains(&answer.reason.as_str())
    });
}

/// Guards against a watch of the platform on a connection that has fallen
/// silent: a new file is in force within the promised time all the same.
#[test]
fn a_file_is_in_force_in_time_though_all_connections_fell_silent() {
    let (world, proxy) = running_cell_behind_proxy(15);
    let revision =
        |daemon| world.status(daemon).map_or(0, |status| status.config);
    let before = revision(0);
    proxy.silence_open();
    let file = FILE.replace("\"invitation\"", "\"reminder\"");
    let (code, text) = world.apply(&file);
    assert_eq!(code, client::DONE, "{text}");
    let applied = Instant::now();
    let limit = Duration::from_millis(MAX_CONFIG_AGE);
    for daemon in 0..world.daemons.len() {
        wait("the file is in force", || revision(daemon) > before);
    }
    let passed = applied.elapsed();
    assert!(passed < limit, "{passed:?}");
}

#[test]
fn a_leaving_executor_gets_no_new_calls() {
    let world = running_cell(9);
    world.executors[0].leave();
    let holder = world.holder("calls-0");
    wait("its holder has noticed", || {
        let status = world.status(holder).expect("a status");
        let targets = status.homes.iter().flat_map(|home| &home.targets);
        targets.into_iter().any(|t| t.id.as_str() == "goya-x0" && !t.ready)
    });
    let before = world.executors[0].record().after_leaving;
    for n in 0..30 {
        let answer = world.call(n % 3, "vent-check", Some(&new_key()));
        assert_eq!(answer.outcome, "answered", "{answer:?}");
    }
    assert_eq!(world.executors[0].record().after_leaving, before);
    world.check();
}

#[test]
fn operators_see_the_cell_and_stop_a_vm() {
    let mut world = running_cell(10);
    let (code, text) = world.client(&["status", "--secret", SECRET]);
    assert_eq!(code, client::DONE, "{text}");
    for part in ["holds calls-0", "holds tasks", "job clima-api"] {
        assert!(text.contains(part), "{part} in {text}");
    }
    let entry = format!("{}:8080", world.daemons[0].ip);
    for (token, code) in [("vent-token", client::DONE), ("x", client::WRONG)] {
        let args = ["call", "--class", "vent-check", "--entry", &entry];
        let ended = command(&[&args[..], &["--token", token]].concat());
        assert_eq!(ended.0, code, "{}", ended.1);
    }
    let wrong = ["status", "--secret", "another-secret", "--output", "json"];
    let (_, text) = world.client(&wrong);
    assert!(text.contains("401"), "{text}");
    let (code, text) = world.client(&["drain", "goya-9", "--secret", SECRET]);
    assert_eq!(code, 1);
    assert!(text.contains("use one of"), "{text}");
    let (code, text) = world.client(&["drain", "goya-2", "--secret", SECRET]);
    assert_eq!(code, client::DONE, "{text}");
    let stopped = world.daemons.iter().position(|d| d.name == "goya-2");
    let stopped = stopped.expect("a daemon");
    let ended = world.daemons[stopped].child.wait().expect("it ends");
    assert!(ended.success(), "{ended}");
    let entry = (stopped + 1) % 3;
    wait("the others serve vent checks", || {
        world.call(entry, "vent-check", Some(&new_key())).outcome == "answered"
    });
    assert_eq!(world.tasks(), 10);
    world.check();
}
