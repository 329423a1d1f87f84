/*!
Machines with executors that come and go.

A machine has an address and, most of the time, one executor that lives
there. An executor that has crashed is followed by another at the same address:
with a new id, so that calls that name the former one are answered 421, or with
the id that it had; then it knows nothing of before, and its birth and its clock
are others. Each life
writes its entry to the store with every heartbeat. An entry goes after three
heartbeats of silence, so that the entry of a life that is over stands beside
that of its follower for a while. While the store is away no entry is written;
whether entries lapse then can be chosen.

Each machine is reached by a proxy, by which it is cut off or stands still: a
process that stands still answers nothing, writes no heartbeats, and goes on
with what has come to it meanwhile. The list of machines can be late or slow.

All of them are threads of one process, so that one clock tells when runs
began and ended. What an executor goes by is its own clock, which may be slow.
*/

mod beats;
mod list;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_http::Request;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use self::beats::Entry;
use self::list::List;
use super::executor::{no_answer, Executor, Run};
use super::store::Store;
use crate::proxy::{Proxy, ProxyFault};
use crate::server::Running;

pub use self::beats::HEARTBEAT;

/// By how much the clock of an executor that starts again under its id may be
/// ahead of that of others, in milliseconds.
const AHEAD: u64 = 10_000_000;
/// The rate of the slowest clock.
const SLOWEST: f64 = 0.98;

/// What others see of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Its connections are reset, and no new ones are taken.
    Reset,
    /// Nothing: it has crashed behind a cut, and its connections are silent.
    Silent,
}

/// A place where one executor lives at a time.
struct Machine {
    name: String,
    dc: String,
    way: Proxy,
    /// Who lives there, if anybody does.
    life: Arc<Mutex<Option<Executor>>>,
    _server: Running,
}

impl Machine {
    fn start(name: String, dc: String) -> std::io::Result<Machine> {
        let life: Arc<Mutex<Option<Executor>>> = Arc::default();
        let served = life.clone();
        let server = Running::start("127.0.0.1:0", move || {
            let served = served.clone();
            move |request: Request| {
                let life = lock(&served).clone();
                async move {
                    match life {
                        Some(life) => life.answer(request).await,
                        None => no_answer().await,
                    }
                }
            }
        })?;
        let way = Proxy::start(server.addr())?;
        Ok(Machine { name, dc, way, life, _server: server })
    }

    fn row(&self) -> Value {
        let life = lock(&self.life).clone();
        json!({
            "Machine": self.name, "Pool": "b", "Zone": self.dc,
            "State": if life.is_some() { "up" } else { "down" },
            "Id": life.map(|life| life.id().to_string()).unwrap_or_default(),
        })
    }
}

/// Machines, and the executors that have lived on them.
pub struct Fleet {
    machines: Vec<Machine>,
    state: Arc<Mutex<State>>,
    list: List,
    _listed: Running,
}

/// What the thread that writes heartbeats shares.
struct State {
    store: Store,
    entries: Vec<Entry>,
    /// Every life so far, with its machine.
    lives: Vec<(usize, Executor)>,
    random: StdRng,
    was_away: bool,
    lapse_while_away: bool,
    linger: bool,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Fleet {
    /// So many machines in each of these data centres, with an executor on
    /// each. Ids and clocks are drawn from `seed`.
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
            lives: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            was_away: false,
            lapse_while_away: false,
            linger: true,
        }));
        beats::spawn(&state);
        let list = List::default();
        let listed = list.serve("127.0.0.1:0")?;
        let fleet = Fleet { machines, state, list, _listed: listed };
        for at in 0..fleet.len() {
            fleet.live(at);
        }
        fleet.tell();
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

    /// Where the list of machines is served.
    pub fn list_addr(&self) -> SocketAddr {
        self._listed.addr()
    }

    /// The data centre of a machine.
    pub fn dc(&self, at: usize) -> &str {
        &self.machines[at].dc
    }

    /// The way to a machine.
    pub fn proxy(&self, at: usize) -> &Proxy {
        &self.machines[at].way
    }

    /// Who lives on a machine.
    pub fn executor(&self, at: usize) -> Option<Executor> {
        lock(&self.machines[at].life).clone()
    }

    /// Every run on every life so far.
    pub fn record(&self) -> Vec<Run> {
        let lives = lock(&self.state).lives.clone();
        lives.iter().flat_map(|(_, life)| life.record()).collect()
    }

    /// The data centre in which the lives with an id are, or were.
    pub fn dc_of(&self, id: &str) -> Option<&str> {
        let lives = lock(&self.state).lives.clone();
        let one = lives.iter().find(|(_, life)| life.id() == id);
        one.map(|(at, _)| self.dc(*at))
    }

    /// The ids of all lives at the address of this one, oldest first.
    pub fn incarnations_beside(&self, id: &str) -> Vec<String> {
        let lives = lock(&self.state).lives.clone();
        let here = lives.iter().find(|(_, life)| life.id() == id);
        let here = here.map(|(at, _)| *at);
        let beside = lives.iter().filter(|(at, _)| Some(*at) == here);
        beside.map(|(_, life)| life.id().to_string()).collect()
    }

    /// Lets a new executor live on a machine where nobody does.
    pub fn start_executor(&self, at: usize) {
        self.live(at);
        self.tell();
    }

    /// Lets the executor that lived last on a machine start again there under
    /// its id.
    pub fn restart_executor(&self, at: usize) {
        let lives = lock(&self.state).lives.clone();
        let mut here = lives.iter().rev().filter(|(there, _)| *there == at);
        let Some((_, former)) = here.next() else {
            return self.start_executor(at);
        };
        // Its clock may show more than the former one's, or less.
        let clock = if lives.len() % 2 == 0 { 0 } else { AHEAD };
        self.live_as(at, former.id(), clock);
        self.tell();
    }

    fn live(&self, at: usize) {
        let mut state = lock(&self.state);
        // Of two ids at one address either may come first in a list.
        let id = format!("i-{:010x}", state.random.random::<u64>() >> 24);
        drop(state);
        self.live_as(at, &id, 0);
    }

    /// A life under this id, whose clock is ahead by so much.
    fn live_as(&self, at: usize, id: &str, clock: u64) {
        let machine = &self.machines[at];
        let mut state = lock(&self.state);
        let rate = state.random.random_range(SLOWEST..=1.0);
        let life = Executor::with_birth(id, rate, clock);
        // The former life of that id writes no more.
        state.entries.retain(|entry| entry.id != id);
        let mut entry = life.entry("b", &machine.way.addr().to_string());
        entry["Zone"] = machine.dc.as_str().into();
        entry["Machine"] = machine.name.as_str().into();
        state.entries.push(Entry::new(id, entry));
        state.lives.push((at, life.clone()));
        drop(state);
        *lock(&machine.life) = Some(life);
        machine.way.set_fault(ProxyFault::None);
    }

    /// Ends the life on a machine at once. It says nothing, and its entry
    /// lingers.
    pub fn crash(&self, at: usize, gone: CrashMode) {
        let machine = &self.machines[at];
        match gone {
            CrashMode::Reset => {
                machine.way.set_fault(ProxyFault::Refuse);
                machine.way.reset();
            }
            CrashMode::Silent => {
                machine.way.set_fault(ProxyFault::Silent);
                machine.way.silence_open();
            }
        }
        let Some(life) = lock(&machine.life).take() else { return };
        life.crash();
        self.entry(life.id(), |entry| entry.over = true);
        if !lock(&self.state).linger {
            self.take_entry(&life);
        }
        self.tell();
    }

    /// Lets a machine stand still, or be cut off from nodes and store, or go
    /// on.
    pub fn set_isolated(&self, at: usize, off: bool) {
        let harm = if off { ProxyFault::Silent } else { ProxyFault::None };
        self.machines[at].way.set_fault(harm);
        if let Some(life) = self.executor(at) {
            self.entry(life.id(), |entry| entry.cut = off);
        }
    }

    /// Takes the entry of a living executor out of the store. It comes back
    /// within two seconds.
    pub fn lapse(&self, at: usize) {
        let Some(life) = self.executor(at) else { return };
        let mut state = lock(&self.state);
        let state = &mut *state;
        let entries = state.entries.iter_mut();
        for entry in entries.filter(|entry| entry.id == life.id()) {
            entry.lapse(&state.store);
            entry.return_soon(Instant::now(), &mut state.random);
        }
    }

    /// The executor says that it will leave in this time.
    pub fn drain(&self, at: usize, left: Duration) {
        let Some(life) = self.executor(at) else { return };
        self.entry(life.id(), |entry| {
            entry.value["State"] = "draining".into();
            entry.value["RemainingMs"] = (left.as_millis() as u64).into();
            entry.next = Instant::now();
        });
    }

    /// The executor leaves: its entry goes with it.
    pub fn leave(&self, at: usize) {
        let life = self.executor(at);
        self.crash(at, CrashMode::Reset);
        if let Some(life) = life {
            self.take_entry(&life);
        }
    }

    fn take_entry(&self, life: &Executor) {
        let store = lock(&self.state).store.clone();
        self.entry(life.id(), |entry| entry.lapse(&store));
    }

    /// Chooses whether the entry of an executor that has crashed lingers.
    pub fn set_entries_linger(&self, linger: bool) {
        lock(&self.state).linger = linger;
    }

    /// Chooses whether entries lapse while the store is away.
    pub fn lapse_while_away(&self, lapse: bool) {
        lock(&self.state).lapse_while_away = lapse;
    }

    /// Lets the list of machines show what was true so long ago, and be
    /// answered only after some time.
    pub fn set_list_fault(&self, lag: Duration, slow: Duration) {
        self.list.set_fault(lag, slow);
    }

    fn entry(&self, id: &str, change: impl FnOnce(&mut Entry)) {
        let mut state = lock(&self.state);
        let entry = state.entries.iter_mut().find(|entry| entry.id == id);
        if let Some(entry) = entry {
            change(entry);
        }
    }

    /// Puts into the list what is true now.
    fn tell(&self) {
        self.list.push(self.machines.iter().map(Machine::row).collect());
    }
}
