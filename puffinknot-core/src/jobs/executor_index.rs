/*!
All executors that the leader knows, by index.

They are looked up for every candidate of every step, so they are kept in one
vector. Indexes are assigned in sequence and never reused: each removed
executor leaves an empty entry of a few bytes until the leader's term ends. A
map from addresses finds the incarnations that share an address, so that adding
one does not require a scan of all the others.
*/

use std::collections::{BTreeSet, HashMap};

use crate::jobs::executor::{Executor, ExecutorInfo};
use crate::jobs::message::ExecutorIndex;

/// Executors by index.
#[derive(Clone, Debug, Default)]
pub struct Executors {
    /// Each executor is stored with its index, so that iterators can return
    /// a reference to it.
    entries: Vec<Option<Box<(ExecutorIndex, Executor)>>>,
    by_address: HashMap<String, BTreeSet<ExecutorIndex>>,
    descriptions_version: u64,
}

impl Executors {
    /// Adds an executor and returns its index.
    pub fn add(&mut self, executor: Executor) -> ExecutorIndex {
        self.descriptions_version += 1;
        let index = self.entries.len() as ExecutorIndex;
        let address = executor.info.address.clone();
        self.by_address.entry(address).or_default().insert(index);
        self.entries.push(Some(Box::new((index, executor))));
        index
    }

    /// Replaces the description of an executor, and sets whether it is
    /// cordoned.
    ///
    /// Once an executor is added, its service, address, capacity, labels and
    /// whether it is draining must change only through this, and its cordon
    /// only through this and [`Executors::update_cordons`]: the index by
    /// address and the version depend on it.
    pub fn set_info(
        &mut self,
        index: ExecutorIndex,
        info: ExecutorInfo,
        cordoned: bool,
    ) {
        self.descriptions_version += 1;
        let version = self.descriptions_version;
        let Some(executor) = self.get_mut(&index) else { return };
        let address = info.address.clone();
        executor.described_at = version;
        executor.cordoned = cordoned;
        let before = std::mem::replace(&mut executor.info, info).address;
        if before != address {
            self.remove_address(index, &before);
            self.by_address.entry(address).or_default().insert(index);
        }
    }

    /// Updates which executors are cordoned.
    pub fn update_cordons(&mut self, is_cordoned: impl Fn(&Executor) -> bool) {
        self.descriptions_version += 1;
        for executor in self.values_mut() {
            executor.cordoned = is_cordoned(executor);
        }
    }

    /// A counter that changes whenever an executor is added or the
    /// description of any may have changed.
    pub fn descriptions_version(&self) -> u64 {
        self.descriptions_version
    }

    fn remove_address(&mut self, index: ExecutorIndex, address: &str) {
        let Some(indexes) = self.by_address.get_mut(address) else { return };
        indexes.remove(&index);
        if indexes.is_empty() {
            self.by_address.remove(address);
        }
    }

    /// The indexes of the executors with this address, in ascending order.
    pub fn at_address(
        &self,
        address: &str,
    ) -> impl Iterator<Item = ExecutorIndex> + '_ {
        self.by_address.get(address).into_iter().flatten().copied()
    }

    /// The executor with an index.
    pub fn get(&self, index: &ExecutorIndex) -> Option<&Executor> {
        let entry = self.entries.get(*index as usize)?.as_ref()?;
        Some(&entry.1)
    }

    /// Like [`Executors::get`], mutable.
    pub fn get_mut(&mut self, index: &ExecutorIndex) -> Option<&mut Executor> {
        let entry = self.entries.get_mut(*index as usize)?.as_mut()?;
        Some(&mut entry.1)
    }

    /// Removes an executor.
    pub fn remove(&mut self, index: &ExecutorIndex) -> Option<Executor> {
        let entry = self.entries.get_mut(*index as usize)?.take()?;
        self.remove_address(*index, &entry.1.info.address);
        Some(entry.1)
    }

    /// All executors with their indexes, in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = (&ExecutorIndex, &Executor)> {
        self.entries.iter().flatten().map(|entry| (&entry.0, &entry.1))
    }

    /// All executors with their indexes, starting at an entry that `seed`
    /// selects and wrapping around.
    pub fn iter_from(
        &self,
        seed: u64,
    ) -> impl Iterator<Item = (&ExecutorIndex, &Executor)> {
        let first = seed % self.entries.len().max(1) as u64;
        let (before, after) = self.entries.split_at(first as usize);
        let entries = after.iter().chain(before).flatten();
        entries.map(|entry| (&entry.0, &entry.1))
    }

    /// Like [`Executors::iter`], mutable.
    pub fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (&ExecutorIndex, &mut Executor)> {
        let entries = self.entries.iter_mut().flatten();
        entries.map(|entry| {
            let (index, executor) = &mut **entry;
            (&*index, executor)
        })
    }

    /// All executors, in the order of their indexes.
    pub fn values(&self) -> impl Iterator<Item = &Executor> {
        self.iter().map(|(_, executor)| executor)
    }

    /// Like [`Executors::values`], mutable.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Executor> {
        self.iter_mut().map(|(_, executor)| executor)
    }
}
