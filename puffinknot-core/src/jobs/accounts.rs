/*!
Client accounts: who owns jobs, and how much of a cell each owner may use.

A call that submits or queries a job carries an API key, which identifies its
account. Accounts are isolated from each other: a job is found only with a key
of the account that submitted it.

A key is never kept in plain text. Nodes compare, exchange and keep in memory
only its digest, which appears neither in logs nor in errors.
*/

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::config::Resources;
use crate::jobs::policy::Policy;

/// The length of a SHA-256 digest.
const DIGEST_BYTES: usize = 32;
/// The length of the prefix of a digest by which keys are indexed.
const LOOKUP_PREFIX_BYTES: usize = 8;

/// The SHA-256 digest of an API key. Its debug form reveals nothing of it.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }

    /// The prefix by which keys are indexed. The time of a lookup is not
    /// constant and may reveal this part of the digest, but nothing about the
    /// key.
    fn lookup_prefix(&self) -> [u8; LOOKUP_PREFIX_BYTES] {
        let mut prefix = [0; LOOKUP_PREFIX_BYTES];
        prefix.copy_from_slice(&self.0[..LOOKUP_PREFIX_BYTES]);
        prefix
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time.
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

/// A client account, as the operators' policy defines it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<KeyDigest>,
    /// Its share of a full cell relative to others. The same number is its
    /// job rate, in jobs per second. Zero exempts it from both limits.
    pub weight: f64,
    /// The most resources that its running tasks may take on all executors
    /// together; zero means no limit.
    pub limit: Resources,
}

/// The resources that remain of a limit after `used`, unbounded where the
/// limit is zero.
pub fn remaining(limit: &Resources, used: &Resources) -> Resources {
    let remaining = |limit: u32, used: u32| match limit {
        0 => u32::MAX,
        limit => limit.saturating_sub(used),
    };
    Resources {
        cpu_millis: remaining(limit.cpu_millis, used.cpu_millis),
        memory_mb: remaining(limit.memory_mb, used.memory_mb),
        accelerators: remaining(limit.accelerators, used.accelerators),
    }
}

/// An index from API keys to the accounts that own them.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: BTreeMap<[u8; LOOKUP_PREFIX_BYTES], Vec<(KeyDigest, String)>>,
}

impl KeyRing {
    /// Indexes the keys of all accounts of a policy.
    pub fn new(policy: &Policy) -> KeyRing {
        let mut ring = KeyRing::default();
        for account in policy.accounts.values() {
            for key in &account.keys {
                let entry = ring.keys.entry(key.lookup_prefix()).or_default();
                entry.push((*key, account.name.clone()));
            }
        }
        ring
    }

    /// The name of the account that owns a key, if there is one.
    pub fn find(&self, key: &KeyDigest) -> Option<&str> {
        let candidates = self.keys.get(&key.lookup_prefix())?;
        let found = candidates.iter().find(|(known, _)| known == key);
        found.map(|(_, account)| account.as_str())
    }
}

/// The API key of a call, and the policy version by which the node that took
/// the call checked it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize,
)]
pub struct CallCredentials {
    /// The digest of the key that came with the call.
    pub key: Option<KeyDigest>,
    /// The version of the policy in force at that node.
    pub policy: u64,
}
