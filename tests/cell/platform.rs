//! A fake of the platform: values with revisions, and members' leases.

use std::collections::BTreeMap;

use puffinknot_core::ids::{DcName, Millis, Revision, VmId};
use puffinknot_core::node::Event;
use puffinknot_core::store::{
    Key, Member, StoredEntry, Value, Write, WriteResult,
};

/// The state of the fake platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Platform {
    pub revision: Revision,
    values: BTreeMap<Key, (Revision, Value)>,
    /// The revision of each key's last deletion.
    deleted: BTreeMap<Key, Revision>,
    /// The expiry of each member's lease.
    leases: BTreeMap<VmId, Millis>,
    pub down: bool,
    /// The number of coming writes whose answers are lost.
    pub lose_answers: u32,
    /// Whether leases lapse during an outage.
    pub lapse_when_down: bool,
}

impl Platform {
    pub fn put(&mut self, key: Key, value: Value) {
        self.revision += 1;
        self.deleted.remove(&key);
        self.values.insert(key, (self.revision, value));
    }

    fn modified(&self, key: &Key) -> Revision {
        self.values.get(key).map_or(0, |(revision, _)| *revision)
    }

    pub fn write(&mut self, write: Write) -> WriteResult {
        let config = self.modified(&Key::Config);
        let same = self.modified(&write.key) == write.expected_revision;
        let file = write.expected_config_revision.is_none_or(|r| r == config);
        if same && file {
            self.put(write.key, write.value);
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            return WriteResult::Unknown;
        }
        if same && file {
            WriteResult::Written(self.revision)
        } else {
            WriteResult::Conflict
        }
    }

    pub fn read(&self) -> (Revision, Vec<StoredEntry>) {
        let stored = self.values.iter().map(|(key, (revision, value))| {
            let (key, value) = (key.clone(), value.clone());
            StoredEntry { key, value, revision: *revision }
        });
        (self.revision, stored.collect())
    }

    /// The changes after a revision, as a watch reports them.
    pub fn since(&self, seen: Revision) -> Event {
        let (revision, stored) = self.read();
        let new = |stored: &StoredEntry| stored.revision > seen;
        let deleted = self.deleted.iter().filter(|(_, at)| **at > seen);
        Event::Changed {
            revision,
            stored: stored.into_iter().filter(new).collect(),
            deleted: deleted.map(|(key, _)| key.clone()).collect(),
        }
    }

    /// Renews a member's lease. Returns whether the member had one.
    pub fn renew(&mut self, vm: &VmId, until: Millis) -> bool {
        self.leases.insert(vm.clone(), until).is_some()
    }

    pub fn put_member(
        &mut self,
        dc: DcName,
        vm: VmId,
        member: Member,
        until: Millis,
    ) {
        self.leases.insert(vm.clone(), until);
        let (key, value) = (Key::Member(dc, vm), Value::Member(member));
        if self.values.get(&key).map(|(_, v)| v) != Some(&value) {
            self.put(key, value);
        }
    }

    pub fn expire(&mut self, now: Millis) {
        if self.down && !self.lapse_when_down {
            return;
        }
        let lapsed = self.leases.iter().filter(|(_, until)| **until <= now);
        let lapsed: Vec<VmId> = lapsed.map(|(vm, _)| vm.clone()).collect();
        for vm in lapsed {
            self.lapse(&vm);
        }
    }

    /// Ends a member's lease and deletes its entry.
    pub fn lapse(&mut self, vm: &VmId) {
        self.leases.remove(vm);
        let entry = |key: &&Key| matches!(key, Key::Member(_, v) if v == vm);
        let Some(key) = self.values.keys().find(entry).cloned() else {
            return;
        };
        self.values.remove(&key);
        self.revision += 1;
        self.deleted.insert(key, self.revision);
    }

    pub fn set_down(&mut self, down: bool, now: Millis) {
        if self.down && !down && !self.lapse_when_down {
            for until in self.leases.values_mut() {
                *until = now + super::LEASE;
            }
        }
        self.down = down;
    }
}
