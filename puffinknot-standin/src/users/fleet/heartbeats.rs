/*!
Heartbeats, by which executors keep their entries in the store.
*/

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::Rng;
use serde_json::Value;

use super::{lock, State};
use crate::users::store::Store;

/// The interval at which an executor writes its entry.
pub const HEARTBEAT: Duration = Duration::from_secs(1);
/// An entry lapses after this many missed heartbeats.
const MAX_MISSED_HEARTBEATS: u32 = 3;
/// An entry that lapsed while its executor runs is written again within this
/// time.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(2);
/// The interval at which the thread checks which entries are due.
const TICK: Duration = Duration::from_millis(20);

/// The entry of one incarnation of an executor.
pub(super) struct Entry {
    pub(super) id: String,
    pub(super) value: Value,
    /// The incarnation has ended.
    pub(super) ended: bool,
    /// The executor can't reach the store.
    pub(super) isolated: bool,
    /// When the entry is written next.
    pub(super) next_write: Instant,
    /// When the entry was last written; `None` if it is not in the store.
    written: Option<Instant>,
}

impl Entry {
    /// Creates an entry that is due for writing immediately.
    pub(super) fn new(id: &str, value: Value) -> Entry {
        Entry {
            id: id.to_string(),
            value,
            ended: false,
            isolated: false,
            next_write: Instant::now(),
            written: None,
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn write_heartbeat(&mut self, store: &Store, now: Instant) {
        let seq = self.value["Seq"].as_u64().unwrap_or_default();
        self.value["Seq"] = (seq + 1).into();
        store.write(&self.key(), &self.value);
        self.written = Some(now);
        self.next_write = now + HEARTBEAT;
    }

    /// Removes the entry from the store.
    pub(super) fn lapse(&mut self, store: &Store) {
        if self.written.take().is_some() {
            store.remove(&self.key());
        }
    }

    /// Schedules the next write at a random time within
    /// [`MAX_RETURN_DELAY`].
    pub(super) fn schedule_return(
        &mut self,
        now: Instant,
        random: &mut StdRng,
    ) {
        self.next_write = now + MAX_RETURN_DELAY.mul_f64(random.random());
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.written
            .is_some_and(|at| at + HEARTBEAT * MAX_MISSED_HEARTBEATS < now)
    }
}

impl State {
    fn tick(&mut self, now: Instant) {
        let unavailable = self.store.is_unavailable();
        let available_again =
            std::mem::replace(&mut self.was_unavailable, unavailable)
                && !unavailable;
        for entry in &mut self.entries {
            let running = !entry.ended && !entry.isolated;
            if available_again && running {
                // The store caused the silence, so it does not count.
                entry.written = entry.written.map(|_| now);
                entry.schedule_return(now, &mut self.random);
            }
            if running && !unavailable && entry.next_write <= now {
                entry.write_heartbeat(&self.store, now);
            }
            if entry.is_silent(now) && (!unavailable || self.lapse_while_away)
            {
                entry.lapse(&self.store);
            }
        }
        self.entries.retain(|e| !e.ended || e.written.is_some());
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
