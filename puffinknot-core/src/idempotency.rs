/*!
The memory for calls that must not be repeated.

A call that must not be repeated carries a key with a time timestamp (a UUID of
version 7, RFC 9562). Every key has one home, a contract scope in the
caller's home data centre. The home remembers for a bounded time which keys
it has started. A home that took over can't know older keys, so it answers
*unknown* to keys stamped before its tenure was settled, and serves newer
ones at once. Nothing is stored for a call, and a duplicate is impossible;
the price is a short time in which calls are turned away.
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, Millis};
use crate::outcome::{Outcome, Reason};

/// A key, which belongs to the caller that made it.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct IdempotencyKey {
    /// The UUID, whose upper 48 bits are a time in milliseconds.
    pub uuid: u128,
    /// The caller.
    pub caller: CallerId,
}

impl IdempotencyKey {
    /// The time in the key, in milliseconds since 1970.
    pub fn timestamp(&self) -> Millis {
        (self.uuid >> 80) as Millis
    }

    /// The smallest UUID that is stamped with this time.
    fn lowest_at(timestamp: Millis) -> IdempotencyKey {
        IdempotencyKey {
            uuid: u128::from(timestamp) << 80,
            caller: CallerId::default(),
        }
    }
}

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyState {
    /// The call was sent to a target, or is about to be.
    Started,
    /// The call was answered.
    Answered,
}

/// Limits of the memory for keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyTableConfig {
    /// How long a key is remembered, in milliseconds.
    pub retention: Millis,
    /// How far clocks of callers and VMs may differ, in milliseconds.
    pub max_skew: Millis,
    /// The number of keys remembered at the most.
    pub capacity: usize,
}

impl Default for KeyTableConfig {
    fn default() -> KeyTableConfig {
        KeyTableConfig { retention: 120_000, max_skew: 500, capacity: 200_000 }
    }
}

/// The keys of one home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyTable {
    config: KeyTableConfig,
    /// Keys stamped before this time may be known to an earlier home only.
    serves_from: Option<Millis>,
    /// Keys stamped before this time have been dropped. It never falls, so
    /// that a wall clock that is set back can't revive a dropped key.
    floor: Millis,
    keys: BTreeMap<IdempotencyKey, KeyState>,
}

impl KeyTable {
    /// An empty memory that can't admit anything before it is settled.
    pub fn new(config: KeyTableConfig) -> KeyTable {
        KeyTable { config, ..KeyTable::default() }
    }

    /// The tenure was settled at `wall`. Keys stamped later are new.
    ///
    /// An earlier home admits a key up to one `skew` ahead of its clock,
    /// and that clock may be one `skew` ahead of this VM's.
    pub fn complete_takeover(&mut self, wall: Millis) {
        if self.serves_from.is_none() {
            self.serves_from = Some(wall + 2 * self.config.max_skew);
        }
    }

    /// What an earlier home passed on can't be trusted: another VM may have
    /// started calls in between.
    pub fn invalidate(&mut self) {
        self.serves_from = None;
    }

    /// Takes over what an earlier home knew when it stopped.
    pub fn import(&mut self, memory: KeySnapshot) {
        self.keys.extend(memory.keys);
        self.serves_from = memory.serves_from;
        self.floor = self.floor.max(memory.floor);
    }

    /// Everything this home knows, for a successor.
    pub fn export(&self) -> KeySnapshot {
        let keys = self.keys.iter().map(|(k, s)| (k.clone(), *s)).collect();
        KeySnapshot { serves_from: self.serves_from, floor: self.floor, keys }
    }

    /// Whether the call with this key may be started, at wall time `wall`.
    ///
    /// # Errors
    ///
    /// The outcome to answer with if it may not.
    pub fn check(
        &self,
        key: &IdempotencyKey,
        wall: Millis,
    ) -> Result<(), Outcome> {
        let config = &self.config;
        match self.keys.get(key) {
            Some(KeyState::Started) => {
                return Err(Outcome::unknown(Reason::StillRunning, 1_000));
            }
            Some(KeyState::Answered) => {
                return Err(Outcome::unknown(
                    Reason::AlreadyRan,
                    Outcome::NEVER,
                ));
            }
            None => {}
        }
        if key.timestamp() > wall + config.max_skew {
            let wait = key.timestamp() - wall - config.max_skew;
            return Err(Outcome::not_run(Reason::KeyTooNew, wait));
        }
        if key.timestamp() < self.floor
            || key.timestamp() + config.retention <= wall
        {
            return Err(Outcome::unknown(Reason::KeyTooOld, Outcome::NEVER));
        }
        match self.serves_from {
            Some(from) if key.timestamp() >= from => {}
            Some(_) => {
                let never = Outcome::NEVER;
                return Err(Outcome::unknown(Reason::BeforeTenure, never));
            }
            None => {
                return Err(Outcome::unknown(Reason::BeforeTenure, 1_000));
            }
        }
        if self.keys.len() >= config.capacity {
            return Err(Outcome::not_run(Reason::KeysFull, 1_000));
        }
        Ok(())
    }

    /// Records that a call is about to be sent to a target.
    pub fn mark_started(&mut self, key: &IdempotencyKey) {
        self.keys.insert(key.clone(), KeyState::Started);
    }

    /// Records that a call was answered.
    pub fn mark_answered(&mut self, key: &IdempotencyKey) {
        self.keys.insert(key.clone(), KeyState::Answered);
    }

    /// The call certainly did not run, so that the key may be used again.
    pub fn forget(&mut self, key: &IdempotencyKey) {
        self.keys.remove(key);
    }

    /// Drops keys that are too old to be admitted anyway.
    pub fn expire(&mut self, wall: Millis) {
        let oldest = wall.saturating_sub(self.config.retention);
        self.floor = self.floor.max(oldest);
        self.keys =
            self.keys.split_off(&IdempotencyKey::lowest_at(self.floor));
    }

    /// The number of keys remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// What one home passes on to the next at a planned stop.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct KeySnapshot {
    /// Keys stamped before this time are not known here.
    pub serves_from: Option<Millis>,
    /// Keys stamped before this time have been dropped.
    pub floor: Millis,
    /// The keys and what is known of each.
    pub keys: Vec<(IdempotencyKey, KeyState)>,
}
