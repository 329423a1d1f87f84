//! Tests with real processes and sockets: the `puffinknotd` binary, with
//! stand-ins for the platform and the targets on threads of the test.
//!
//! Each wait is for a condition; its time limit only ends a test that would
//! otherwise hang.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use awc::Client;
use puffinknot::client;
use puffinknot::control::MAX_CONFIG_AGE;
use puffinknot::wire::Hello;
use puffinknot_standin::executor::Executor;
use puffinknot_standin::proxy::ProxyFault;
use uuid::Uuid;

use crate::daemons::{
    call, command, in_system, new_key, running_cell,
    running_cell_behind_proxy, wait, FILE, SECRET,
};

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
