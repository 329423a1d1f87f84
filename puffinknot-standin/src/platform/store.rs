//! The state of the key-value service: revisions, leases and watches.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use tokio::sync::mpsc::UnboundedSender;

/// The number of past revisions from which a watch can start.
const MAX_HISTORY: usize = 10_000;

/// A value with its revisions.
#[derive(Clone, Debug)]
pub struct Kv {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the key was created.
    pub create: u64,
    /// The revision of the last change.
    pub modified: u64,
    /// The number of writes since the key was created, that one included.
    pub version: u64,
    /// The lease of the key; zero for none.
    pub lease: u64,
}

/// A change of one key.
#[derive(Clone, Debug)]
pub struct Change {
    /// The new value. For a deleted key, its value is empty.
    pub kv: Kv,
    /// Whether the key was deleted.
    pub deleted: bool,
}

/// A range of keys from a first key to an exclusive end. An empty end selects
/// the first key only.
#[derive(Clone, Debug)]
pub struct Range {
    /// The first key.
    pub key: Vec<u8>,
    /// The exclusive end; empty for the first key only.
    pub end: Vec<u8>,
}

impl Range {
    fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && key < self.end.as_slice()
    }
}

/// A condition of a transaction: the key was last changed at this revision.
#[derive(Clone, Debug)]
pub struct Compare {
    /// The key.
    pub key: Vec<u8>,
    /// The revision; zero if the key must be absent.
    pub modified: u64,
}

/// A value to put.
#[derive(Clone, Debug)]
pub struct Put {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The lease to attach; zero for none.
    pub lease: u64,
}

/// A lease, with its end in milliseconds since the start of the platform.
#[derive(Clone, Debug)]
struct Lease {
    ttl_ms: u64,
    expires: u64,
}

/// An open watch.
#[derive(Debug)]
pub struct Watcher {
    /// The keys that are watched.
    pub range: Range,
    /// Receives each revision with its changes in the range.
    pub tx: UnboundedSender<(u64, Vec<Change>)>,
    /// The IP address of the client.
    pub source: String,
}

/// The state of the service.
#[derive(Debug, Default)]
pub struct Store {
    /// The revision of the last change.
    pub revision: u64,
    kvs: BTreeMap<Vec<u8>, Kv>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    history: VecDeque<(u64, Vec<Change>)>,
    /// The open watches.
    pub watchers: Vec<Watcher>,
}

impl Store {
    /// The values in a range that were changed at `min_modified` or later.
    pub fn range(&self, range: &Range, min_modified: u64) -> Vec<Kv> {
        let start = Bound::Included(range.key.clone());
        let all = self.kvs.range((start, Bound::Unbounded));
        let found = all
            .map(|(_, kv)| kv)
            .take_while(|kv| range.contains(&kv.key))
            .filter(|kv| kv.modified >= min_modified);
        found.cloned().collect()
    }

    /// Applies the puts if every comparison holds, and returns whether all
    /// hold.
    ///
    /// # Errors
    ///
    /// If a put names a lease that does not exist.
    pub fn txn(
        &mut self,
        compare: &[Compare],
        puts: &[Put],
    ) -> Result<bool, &'static str> {
        let holds = |c: &Compare| {
            let modified = self.kvs.get(&c.key).map_or(0, |kv| kv.modified);
            modified == c.modified
        };
        if !compare.iter().all(holds) {
            return Ok(false);
        }
        let known =
            |p: &Put| p.lease == 0 || self.leases.contains_key(&p.lease);
        if !puts.iter().all(known) {
            return Err("etcdserver: requested lease not found");
        }
        if !puts.is_empty() {
            self.put_all(puts);
        }
        Ok(true)
    }

    fn put_all(&mut self, puts: &[Put]) {
        self.revision += 1;
        let mut changes = Vec::new();
        for put in puts {
            let old = self.kvs.get(&put.key);
            let kv = Kv {
                key: put.key.clone(),
                value: put.value.clone(),
                create: old.map_or(self.revision, |kv| kv.create),
                modified: self.revision,
                version: old.map_or(1, |kv| kv.version + 1),
                lease: put.lease,
            };
            self.kvs.insert(put.key.clone(), kv.clone());
            changes.push(Change { kv, deleted: false });
        }
        self.publish(changes);
    }

    fn publish(&mut self, changes: Vec<Change>) {
        let revision = self.revision;
        self.watchers.retain(|watcher| {
            let seen: Vec<Change> = changes
                .iter()
                .filter(|c| watcher.range.contains(&c.kv.key))
                .cloned()
                .collect();
            seen.is_empty() || watcher.tx.send((revision, seen)).is_ok()
        });
        self.history.push_back((revision, changes));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Adds a watch and sends it all changes from revision `from` on. Zero
    /// starts with the next change.
    ///
    /// # Errors
    ///
    /// The oldest revision from which a watch can start, if `from` is older.
    pub fn watch(&mut self, watcher: Watcher, from: u64) -> Result<(), u64> {
        let oldest = self.history.front().map_or(1, |(r, _)| *r);
        if from > 0 && from < oldest && oldest > 1 {
            return Err(oldest);
        }
        for (revision, changes) in &self.history {
            if from == 0 || *revision < from {
                continue;
            }
            let seen: Vec<Change> = changes
                .iter()
                .filter(|c| watcher.range.contains(&c.kv.key))
                .cloned()
                .collect();
            if !seen.is_empty() {
                let _ = watcher.tx.send((*revision, seen));
            }
        }
        self.watchers.push(watcher);
        Ok(())
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, now: u64, ttl_ms: u64) -> u64 {
        self.next_lease += 1;
        let lease = Lease { ttl_ms, expires: now + ttl_ms };
        self.leases.insert(self.next_lease, lease);
        self.next_lease
    }

    /// Renews a lease. Returns its time to live in milliseconds, or zero if it
    /// has lapsed.
    pub fn keep_alive(&mut self, now: u64, id: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else { return 0 };
        lease.expires = now + lease.ttl_ms;
        lease.ttl_ms
    }

    /// Ends a lease and deletes its keys.
    pub fn revoke(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let under = self.kvs.values().filter(|kv| kv.lease == id);
        let keys: Vec<Vec<u8>> = under.map(|kv| kv.key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        let mut changes = Vec::new();
        for key in keys {
            if let Some(mut kv) = self.kvs.remove(&key) {
                kv.value.clear();
                kv.modified = self.revision;
                changes.push(Change { kv, deleted: true });
            }
        }
        self.publish(changes);
    }

    /// Ends every lease that has lapsed.
    pub fn expire(&mut self, now: u64) {
        let lapsed = self.leases.iter().filter(|(_, l)| l.expires <= now);
        let ids: Vec<u64> = lapsed.map(|(id, _)| *id).collect();
        for id in ids {
            self.revoke(id);
        }
    }

    /// Renews every lease, as after an outage.
    pub fn refresh_leases(&mut self, now: u64) {
        for lease in self.leases.values_mut() {
            lease.expires = now + lease.ttl_ms;
        }
    }
}
