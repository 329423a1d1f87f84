//! Crowds of clients that send as much as they may, at once, to the ports of a
//! `puffinknotd`, and often do not finish or read. Whatever they get, the
//! daemon must stay within its memory and its descriptors, and answer an
//! ordinary call.
//!
//! The daemons are given little, so that a small crowd is enough. The tests
//! run one at a time: a daemon that has to wait for the processor reads less
//! at once.

#[path = "../daemons.rs"]
#[allow(dead_code, reason = "another test binary uses the rest")]
mod daemons;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use puffinknot_standin::crowd::{
    peak_memory, play, Client, DescriptorPeak, Reads,
};

use crate::daemons::{
    in_system, new_key, running_cell_with, wait, World, FILE,
};

/// The memory of a daemon, in MiB, as in its settings.
const MEMORY_MB: usize = 64;
/// The descriptors of a daemon, as in its settings.
const MAX_FDS: usize = 600;
/// Each crowd comes twice: memory that a daemon keeps after the first one
/// counts against the second.
const ROUNDS: usize = 2;
/// The largest body of a call, in bytes, as in the operators' file.
const MAX_BODY_BYTES: usize = 262_144;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Waits for the other tests of this binary.
fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

const CALLS: u16 = 8080;
const LINK: u16 = 8081;
const ADMIN: u16 = 8082;

/// A call with a body of this many bytes, without the last `missing` ones.
fn call(length: usize, missing: usize) -> Vec<u8> {
    let mut bytes = format!(
        "POST /call/overnight HTTP/1.1\r\nHost: h\r\n\
         Authorization: Bearer night-token\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.resize(bytes.len() + length - missing, b' ');
    bytes
}

/// Plays a crowd twice at a port of a daemon, and checks the daemon.
fn withstand(
    net: u8,
    port: u16,
    clients: usize,
    client: impl Fn(SocketAddr) -> Client,
) {
    let _alone = alone();
    let limits = [
        "--memory-mb",
        &MEMORY_MB.to_string(),
        "--max-fds",
        &MAX_FDS.to_string(),
    ]
    .map(str::to_string);
    let allowed = format!("[policy]\nbody_bytes = {MAX_BODY_BYTES}");
    let file = FILE.replacen("[policy]", &allowed, 1);
    let mut world = running_cell_with(net, &limits, &file);
    let ip = world.daemons[0].ip.parse().expect("an IP");
    let address = SocketAddr::new(ip, port);
    for _ in 0..ROUNDS {
        let pid = world.daemons[0].child.id();
        let open = in_system(async {
            let descriptors = DescriptorPeak::watch(pid);
            play((0..clients).map(|_| client(address))).await;
            descriptors.get()
        });
        assert!(open < MAX_FDS, "{open} descriptors were open");
        check(&mut world);
    }
}

fn check(world: &mut World) {
    for daemon in &mut world.daemons {
        let ended = daemon.child.try_wait().expect("a process");
        assert_eq!(ended, None, "{} has ended", daemon.name);
        let peak = peak_memory(daemon.child.id()) >> 20;
        assert!(peak < MEMORY_MB, "{} took {peak} MiB", daemon.name);
    }
    wait("an ordinary call is answered", || {
        world.call(0, "vent-check", Some(&new_key())).outcome == "answered"
    });
}

#[test]
fn bodies_of_calls_that_stop_short() {
    withstand(81, CALLS, 300, |address| {
        Client::new(address, call(MAX_BODY_BYTES, 1))
    });
}

#[test]
fn chunks_of_one_byte_without_end() {
    withstand(82, CALLS, 200, |address| {
        let mut bytes = b"POST /call/overnight HTTP/1.1\r\nHost: h\r\n\
            Authorization: Bearer night-token\r\n\
            Transfer-Encoding: chunked\r\n\r\n"
            .to_vec();
        bytes.extend(b"1\r\n \r\n".repeat(64 << 10));
        Client::new(address, bytes)
    });
}

#[test]
fn pipelined_calls_whose_answers_are_not_read() {
    withstand(83, CALLS, 20, |address| {
        let bytes = call(0, 0).repeat(2_000);
        Client { reads: Reads::Nothing, ..Client::new(address, bytes) }
    });
}

#[test]
fn idle_connections_of_callers() {
    withstand(84, CALLS, 800, |address| Client::new(address, Vec::new()));
}

#[test]
fn idle_connections_of_operators() {
    withstand(85, ADMIN, 800, |address| Client::new(address, Vec::new()));
}

#[test]
fn idle_connections_between_daemons() {
    withstand(86, LINK, 800, |address| {
        let client = Client::new(address, Vec::new());
        Client { reads: Reads::UntilEnd, ..client }
    });
}
