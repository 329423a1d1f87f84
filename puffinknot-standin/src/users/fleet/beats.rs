/*!
Heartbeats: how executors keep their entries in the store.
*/

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::Rng;
use serde_json::Value;

use super::{lock, State};
use crate::users::store::Store;

/// How often an executor writes its entry.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// An entry goes after so many heartbeats of silence.
const SILENT: u32 = 3;
/// An entry that lapsed while its executor lives is back within this time.
const BACK: Duration = Duration::from_secs(2);
/// How often the thread looks what is due.
const TICK: Duration = Duration::from_millis(20);

/// The entry of one life.
pub(super) struct Entry {
    pub(super) id: String,
    pub(super) value: Value,
    /// The life is over.
    pub(super) over: bool,
    /// The executor does not reach the store.
    pub(super) cut: bool,
    /// When it is written next.
    pub(super) next: Instant,
    /// When it was written last, if it stands in the store.
    written: Option<Instant>,
}

impl Entry {
    /// An entry that is written at once.
    pub(super) fn new(id: &str, value: Value) -> Entry {
        Entry {
            id: id.to_string(),
            value,
            over: false,
            cut: false,
            next: Instant::now(),
            written: None,
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn beat(&mut self, store: &Store, now: Instant) {
        let seq = self.value["Seq"].as_u64().unwrap_or_default();
        self.value["Seq"] = (seq + 1).into();
        store.write(&self.key(), &self.value);
        self.written = Some(now);
        self.next = now + HEARTBEAT;
    }

    /// Takes it out of the store.
    pub(super) fn lapse(&mut self, store: &Store) {
        if self.written.take().is_some() {
            store.remove(&self.key());
        }
    }

    /// Lets it be written some time soon.
    pub(super) fn return_soon(&mut self, now: Instant, random: &mut StdRng) {
        self.next = now + BACK.mul_f64(random.random());
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.written.is_some_and(|at| at + HEARTBEAT * SILENT < now)
    }
}

impl State {
    fn tick(&mut self, now: Instant) {
        let away = self.store.is_away();
        let back = std::mem::replace(&mut self.was_away, away) && !away;
        for entry in &mut self.entries {
            let living = !entry.over && !entry.cut;
            if back && living {
                // Silence was not its own.
                entry.written = entry.written.map(|_| now);
                entry.return_soon(now, &mut self.random);
            }
            if living && !away && entry.next <= now {
                entry.beat(&self.store, now);
            }
            if entry.is_silent(now) && (!away || self.lapse_while_away) {
                entry.lapse(&self.store);
            }
        }
        self.entries.retain(|e| !e.over || e.written.is_some());
    }
}

/// Writes heartbeats until the fleet is dropped.
pub(super) fn spawn(state: &Arc<Mutex<State>>) {
    let state = Arc::downgrade(state);
    std::thread::spawn(move || {
        while let Some(state) = state.upgrade() {
            lock(&state).tick(Instant::now());
            drop(state);
            std::thread::sleep(TICK);
        }
    });
}
