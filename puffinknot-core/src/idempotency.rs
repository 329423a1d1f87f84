/*!
Idempotency keys: calls that must not run twice.

A call that must not run twice carries a key with a time stamp (a UUID of
version 7, RFC 9562). Each key belongs to one contract scope in the caller's
home data centre, the *home* of the key. The holder of that contract
remembers for a limited time which keys it has started. A holder that took
the contract over can't know older keys, so it answers *unknown* to keys with
a time stamp before its takeover was complete, and serves newer ones at once.
Nothing is stored durably for a call, and yet a call never runs twice; the
price is a short time after a takeover in which some calls are refused.
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{CallerId, Millis};
use crate::outcome::{Outcome, Reason};

/// An idempotency key, unique per caller.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct IdempotencyKey {
    /// The UUID, whose upper 48 bits are a time in milliseconds since 1970.
    pub uuid: u128,
    /// The caller that made the key.
    pub caller: CallerId,
}

impl IdempotencyKey {
    /// The time stamp in the key, in milliseconds since 1970.
    pub fn timestamp(&self) -> Millis {
        (self.uuid >> 80) as Millis
    }

    /// The smallest key with this time stamp.
    fn lowest_at(timestamp: Millis) -> IdempotencyKey {
        IdempotencyKey {
            uuid: u128::from(timestamp) << 80,
            caller: CallerId::default(),
        }
    }
}

/// The state of the call with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum KeyState {
    /// The call was sent to a target, or is about to be sent.
    Started,
    /// The call was answered.
    Answered,
}

/// The limits of a [`KeyTable`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyTableConfig {
    /// How long a key is retained, in milliseconds.
    pub retention: Millis,
    /// The largest difference between the clocks of callers and VMs, in
    /// milliseconds.
    pub max_skew: Millis,
    /// The maximum number of keys.
    pub capacity: usize,
}

impl Default for KeyTableConfig {
    fn default() -> KeyTableConfig {
        KeyTableConfig { retention: 120_000, max_skew: 500, capacity: 200_000 }
    }
}

/// The idempotency keys of one contract.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct KeyTable {
    config: KeyTableConfig,
    /// Keys with an earlier time stamp may be known only to an earlier
    /// holder. `None` until the takeover is complete.
    serves_from: Option<Millis>,
    /// Keys with an earlier time stamp have been dropped. The floor never
    /// falls, so that a wall clock that is set back can't make a dropped key
    /// usable again.
    floor: Millis,
    keys: BTreeMap<IdempotencyKey, KeyState>,
}

impl KeyTable {
    /// Creates an empty table that admits no key before the takeover is
    /// complete.
    pub fn new(config: KeyTableConfig) -> KeyTable {
        KeyTable { config, ..KeyTable::default() }
    }

    /// Records that the takeover was complete at the wall time `wall`: no
    /// earlier holder has seen a key that is stamped later.
    ///
    /// An earlier holder admits a key up to one `max_skew` ahead of its
    /// clock, and that clock may be one `max_skew` ahead of this VM's.
    pub fn complete_takeover(&mut self, wall: Millis) {
        if self.serves_from.is_none() {
            self.serves_from = Some(wall + 2 * self.config.max_skew);
        }
    }

    /// Discards the assurance that came with the imported keys, because
    /// another VM may have started calls since they were exported.
    pub fn invalidate(&mut self) {
        self.serves_from = None;
    }

    /// Imports the keys that the previous holder exported when it stopped.
    pub fn import(&mut self, memory: KeySnapshot) {
        self.keys.extend(memory.keys);
        self.serves_from = memory.serves_from;
        self.floor = self.floor.max(memory.floor);
    }

    /// Exports all keys for the successor.
    pub fn export(&self) -> KeySnapshot {
        let keys = self.keys.iter().map(|(k, s)| (k.clone(), *s)).collect();
        KeySnapshot { serves_from: self.serves_from, floor: self.floor, keys }
    }

    /// Checks whether the call with this key may start at wall time `wall`.
    ///
    /// # Errors
    ///
    /// Returns the outcome to answer with if the call may not start.
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

    /// Records that the call is about to be sent to a target.
    pub fn mark_started(&mut self, key: &IdempotencyKey) {
        self.keys.insert(key.clone(), KeyState::Started);
    }

    /// Records that the call was answered.
    pub fn mark_answered(&mut self, key: &IdempotencyKey) {
        self.keys.insert(key.clone(), KeyState::Answered);
    }

    /// Removes the key of a call that certainly did not run, so that the key
    /// may be used again.
    pub fn forget(&mut self, key: &IdempotencyKey) {
        self.keys.remove(key);
    }

    /// Drops keys that are too old to be admitted.
    pub fn expire(&mut self, wall: Millis) {
        let oldest = wall.saturating_sub(self.config.retention);
        self.floor = self.floor.max(oldest);
        self.keys =
            self.keys.split_off(&IdempotencyKey::lowest_at(self.floor));
    }

    /// The number of retained keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// The keys that one holder passes to the next in a planned handover.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct KeySnapshot {
    /// Keys with an earlier time stamp may be missing here.
    pub serves_from: Option<Millis>,
    /// Keys with an earlier time stamp have been dropped.
    pub floor: Millis,
    /// The keys with the state of their calls.
    pub keys: Vec<(IdempotencyKey, KeyState)>,
}
