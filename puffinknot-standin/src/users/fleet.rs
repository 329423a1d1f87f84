/*!
Machines whose executors crash and restart.

A machine has an address and runs at most one executor at a time. After a
crash, the next incarnation serves at the same address. It may have a new id;
calls that name the former id are then answered 421. Or it keeps the id; then
it has no state of the former incarnation, and its birth time and its clock
differ.

Each incarnation writes its entry to the store with every heartbeat, and the
entry is removed after three heartbeats of silence. The entry of a crashed
incarnation therefore coexists with that of its successor for a while. While
the store is unavailable no entry is written; whether entries lapse during
that time is configurable.

A proxy in front of each machine isolates or pauses it. A paused process
answers nothing and writes no heartbeats, and later processes what arrived in
the meantime. The list of machines can be stale or slow.

All machines are threads of one process, so that one clock gives the times at
which runs begin and end. An executor acts on its own clock, which may be
slow.
*/

mod heartbeats;
mod list;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_http::Request;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use self::heartbeats::Entry;
use self::list::List;
use super::executor::{no_answer, Executor, Run};
use super::store::Store;
use crate::proxy::{Proxy, ProxyFault};
use crate::server::Running;

pub use self::heartbeats::HEARTBEAT;

/// How far ahead the clock of an executor that restarts under its id may be,
/// in milliseconds.
const CLOCK_LEAD_MS: u64 = 10_000_000;
/// The rate of the slowest clock; 1 is real time.
const MIN_CLOCK_RATE: f64 = 0.98;

/// How a crash appears to the peers of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Connections are reset, and new ones are refused.
    Reset,
    /// Connections stay open but carry nothing, as when the executor crashes
    /// while it is isolated.
    Silent,
}

/// A machine, which runs at most one executor at a time.
struct Machine {
    name: String,
    dc: String,
    proxy: Proxy,
    /// The incarnation that runs now, if any.
    executor: Arc<Mutex<Option<Executor>>>,
    _server: Running,
}

impl Machine {
    fn start(name: String, dc: String) -> std::io::Result<Machine> {
        let executor: Arc<Mutex<Option<Executor>>> = Arc::default();
        let served = executor.clone();
        let server = Running::start("127.0.0.1:0", move || {
            let served = served.clone();
            move |request: Request| {
                let executor = lock(&served).clone();
                async move {
                    match executor {
                        Some(executor) => executor.answer(request).await,
                        None => no_answer().await,
                    }
                }
            }
        })?;
        let proxy = Proxy::start(server.addr())?;
        Ok(Machine { name, dc, proxy, executor, _server: server })
    }

    fn row(&self) -> Value {
        let executor = lock(&self.executor).clone();
        json!({
            "Machine": self.name, "Pool": "b", "Zone": self.dc,
            "State": if executor.is_some() { "up" } else { "down" },
            "Id": executor.map(|e| e.id().to_string()).unwrap_or_default(),
        })
    }
}

/// Machines, and all executors that have run on them.
pub struct Fleet {
    machines: Vec<Machine>,
    state: Arc<Mutex<State>>,
    list: List,
    _list_server: Running,
}

/// The state shared with the thread that writes heartbeats.
struct State {
    store: Store,
    entries: Vec<Entry>,
    /// Every incarnation so far, with the index of its machine.
    incarnations: Vec<(usize, Executor)>,
    random: StdRng,
    was_unavailable: bool,
    lapse_while_away: bool,
    linger: bool,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Fleet {
    /// Starts `each` machines in each of these data centres, with an executor
    /// on each. Ids and clock rates are drawn from `seed`.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    pub fn start(
        store: &Store,
        dcs: &[&str],
        each: usize,
        seed: u64,
    ) -> std::io::Result<Fleet> {
        let mut machines = Vec::new();
        for number in 0..dcs.len() * each {
            let dc = dcs[number % dcs.len()].to_string();
            machines.push(Machine::start(format!("m-{number}"), dc)?);
        }
        let state = Arc::new(Mutex::new(State {
            store: store.clone(),
            entries: Vec::new(),
            incarnations: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            was_unavailable: false,
            lapse_while_away: false,
            linger: true,
        }));
        heartbeats::spawn(&state);
        let list = List::default();
        let list_server = list.serve("127.0.0.1:0")?;
        let fleet = Fleet { machines, state, list, _list_server: list_server };
        for index in 0..fleet.len() {
            fleet.start_with_new_id(index);
        }
        fleet.update_list();
        Ok(fleet)
    }

    /// The number of machines.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there are no machines.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// The address at which the list of machines is served.
    pub fn list_addr(&self) -> SocketAddr {
        self._list_server.addr()
    }

    /// The data centre of a machine.
    pub fn dc(&self, index: usize) -> &str {
        &self.machines[index].dc
    }

    /// The proxy in front of a machine.
    pub fn proxy(&self, index: usize) -> &Proxy {
        &self.machines[index].proxy
    }

    /// The executor that runs on a machine, if any.
    pub fn executor(&self, index: usize) -> Option<Executor> {
        lock(&self.machines[index].executor).clone()
    }

    /// Every run on every incarnation so far.
    pub fn record(&self) -> Vec<Run> {
        let incarnations = lock(&self.state).incarnations.clone();
        incarnations
            .iter()
            .flat_map(|(_, executor)| executor.record())
            .collect()
    }

    /// The data centre of the incarnations with this id, running or not.
    pub fn dc_of(&self, id: &str) -> Option<&str> {
        let incarnations = lock(&self.state).incarnations.clone();
        let found =
            incarnations.iter().find(|(_, executor)| executor.id() == id);
        found.map(|(index, _)| self.dc(*index))
    }

    /// The ids of all incarnations at the address of this one, oldest first.
    pub fn incarnations_beside(&self, id: &str) -> Vec<String> {
        let incarnations = lock(&self.state).incarnations.clone();
        let here =
            incarnations.iter().find(|(_, executor)| executor.id() == id);
        let here = here.map(|(index, _)| *index);
        let neighbours =
            incarnations.iter().filter(|(index, _)| Some(*index) == here);
        neighbours.map(|(_, executor)| executor.id().to_string()).collect()
    }

    /// Starts an executor with a new id on a machine that runs none.
    pub fn start_executor(&self, index: usize) {
        self.start_with_new_id(index);
        self.update_list();
    }

    /// Restarts the latest executor of a machine under the same id, or starts
    /// a new one if the machine has had none.
    pub fn restart_executor(&self, index: usize) {
        let incarnations = lock(&self.state).incarnations.clone();
        let mut former =
            incarnations.iter().rev().filter(|(there, _)| *there == index);
        let Some((_, former)) = former.next() else {
            return self.start_executor(index);
        };
        // Covers both a clock that is ahead of the former one and one that
        // is behind it.
        let clock =
            if incarnations.len() % 2 == 0 { 0 } else { CLOCK_LEAD_MS };
        self.start_incarnation(index, former.id(), clock);
        self.update_list();
    }

    fn start_with_new_id(&self, index: usize) {
        let mut state = lock(&self.state);
        // Random ids let either of two ids at one address sort first.
        let id = format!("i-{:010x}", state.random.random::<u64>() >> 24);
        drop(state);
        self.start_incarnation(index, &id, 0);
    }

    /// Starts an incarnation with this id, whose clock is ahead by `clock`
    /// milliseconds.
    fn start_incarnation(&self, index: usize, id: &str, clock: u64) {
        let machine = &self.machines[index];
        let mut state = lock(&self.state);
        let rate = state.random.random_range(MIN_CLOCK_RATE..=1.0);
        let executor = Executor::with_birth(id, rate, clock);
        // The former incarnation with that id writes no more heartbeats.
        state.entries.retain(|entry| entry.id != id);
        let mut entry = executor.entry("b", &machine.proxy.addr().to_string());
        entry["Zone"] = machine.dc.as_str().into();
        entry["Machine"] = machine.name.as_str().into();
        state.entries.push(Entry::new(id, entry));
        state.incarnations.push((index, executor.clone()));
        drop(state);
        *lock(&machine.executor) = Some(executor);
        machine.proxy.set_fault(ProxyFault::None);
    }

    /// Crashes the executor on a machine. It sends nothing before, and its
    /// entry stays until it lapses, unless `set_entries_linger` has turned
    /// this off.
    pub fn crash(&self, index: usize, mode: CrashMode) {
        let machine = &self.machines[index];
        match mode {
            CrashMode::Reset => {
                machine.proxy.set_fault(ProxyFault::Refuse);
                machine.proxy.reset();
            }
            CrashMode::Silent => {
                machine.proxy.set_fault(ProxyFault::Silent);
                machine.proxy.silence_open();
            }
        }
        let Some(executor) = lock(&machine.executor).take() else { return };
        executor.crash();
        self.update_entry(executor.id(), |entry| entry.ended = true);
        if !lock(&self.state).linger {
            self.remove_entry(&executor);
        }
        self.update_list();
    }

    /// Isolates a machine from the nodes and the store, which also stands for
    /// a paused process, or ends the isolation.
    pub fn set_isolated(&self, index: usize, isolated: bool) {
        let fault =
            if isolated { ProxyFault::Silent } else { ProxyFault::None };
        self.machines[index].proxy.set_fault(fault);
        if let Some(executor) = self.executor(index) {
            self.update_entry(executor.id(), |entry| {
                entry.isolated = isolated
            });
        }
    }

    /// Removes the entry of a running executor from the store. It is written
    /// again within two seconds.
    pub fn lapse(&self, index: usize) {
        let Some(executor) = self.executor(index) else { return };
        let mut state = lock(&self.state);
        let state = &mut *state;
        let entries = state.entries.iter_mut();
        for entry in entries.filter(|entry| entry.id == executor.id()) {
            entry.lapse(&state.store);
            entry.schedule_return(Instant::now(), &mut state.random);
        }
    }

    /// Announces in the entry of the executor that it drains and leaves after
    /// `left`.
    pub fn drain(&self, index: usize, left: Duration) {
        let Some(executor) = self.executor(index) else { return };
        self.update_entry(executor.id(), |entry| {
            entry.value["State"] = "draining".into();
            entry.value["RemainingMs"] = (left.as_millis() as u64).into();
            entry.next_write = Instant::now();
        });
    }

    /// Ends the executor and removes its entry.
    pub fn leave(&self, index: usize) {
        let executor = self.executor(index);
        self.crash(index, CrashMode::Reset);
        if let Some(executor) = executor {
            self.remove_entry(&executor);
        }
    }

    fn remove_entry(&self, executor: &Executor) {
        let store = lock(&self.state).store.clone();
        self.update_entry(executor.id(), |entry| entry.lapse(&store));
    }

    /// Sets whether the entry of a crashed executor stays until it lapses.
    pub fn set_entries_linger(&self, linger: bool) {
        lock(&self.state).linger = linger;
    }

    /// Sets whether entries lapse while the store is unavailable.
    pub fn lapse_while_away(&self, lapse: bool) {
        lock(&self.state).lapse_while_away = lapse;
    }

    /// Makes the list of machines show the state of `lag` ago, and delays each
    /// answer by `slow`.
    pub fn set_list_fault(&self, lag: Duration, slow: Duration) {
        self.list.set_fault(lag, slow);
    }

    fn update_entry(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let mut state = lock(&self.state);
        let entry = state.entries.iter_mut().find(|entry| entry.id == id);
        if let Some(entry) = entry {
            change(entry);
        }
    }

    /// Appends the current state of the machines to the list.
    fn update_list(&self) {
        self.list.push(self.machines.iter().map(Machine::row).collect());
    }
}
