/*!
Client accounts: whose jobs they are, and how much of a cell they may use.

A call that hands in or asks for a job bears an API key, and belongs to the
account whose key that is. Accounts know nothing of each other: a job is found
only with a key of the account that handed it in.

A key is never kept as it was sent. What is compared, passed between nodes and
held in memory is its digest, which neither logs nor errors show.
*/

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::config::Resources;
use crate::jobs::policy::Policy;

/// The bytes of a digest.
const DIGEST: usize = 32;
/// The bytes of a digest by which keys are found.
const INDEX: usize = 8;

/// The digest of an API key. Its text form shows nothing of it.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// What keys are found by. How long that takes says something of the
    /// digest, from which nothing follows for the key.
    fn index(&self) -> [u8; INDEX] {
        let mut index = [0; INDEX];
        index.copy_from_slice(&self.0[..INDEX]);
        index
    }
}

impl PartialEq for KeyDigest {
    /// Takes the same time whatever the digests are.
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A client account, as the operators' policy has it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<KeyDigest>,
    /// Its part of a full cell against others, and the jobs a second that are
    /// its due; zero means that it is never beyond either.
    pub weight: f64,
    /// The most that it may have running on all executors together; zero
    /// means that there is no limit.
    pub limit: Resources,
}

/// What is left of a limit; what has none is left without bound.
pub fn left(limit: &Resources, holds: &Resources) -> Resources {
    let left = |limit: u32, holds: u32| match limit {
        0 => u32::MAX,
        limit => limit.saturating_sub(holds),
    };
    Resources {
        cpu_millis: left(limit.cpu_millis, holds.cpu_millis),
        memory_mb: left(limit.memory_mb, holds.memory_mb),
        accelerators: left(limit.accelerators, holds.accelerators),
    }
}

/// Finds the account of a key.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: BTreeMap<[u8; INDEX], Vec<(KeyDigest, String)>>,
}

impl KeyRing {
    /// The keys of this policy.
    pub fn new(policy: &Policy) -> KeyRing {
        let mut ring = KeyRing::default();
        for account in policy.accounts.values() {
            for key in &account.keys {
                let entry = ring.keys.entry(key.index()).or_default();
                entry.push((*key, account.name.clone()));
            }
        }
        ring
    }

    /// The name of the account with this key, if there is one.
    pub fn find(&self, key: &KeyDigest) -> Option<&str> {
        let alike = self.keys.get(&key.index())?;
        let known = alike.iter().find(|(known, _)| known == key);
        known.map(|(_, account)| account.as_str())
    }
}

/// Who calls, as the node knows that took the call.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct Caller {
    /// The key that came with the call.
    pub key: Option<KeyDigest>,
    /// The version of the policy in force at that node.
    pub policy: u64,
}
