/*!
All executors that the leader knows, by their numbers.

They are looked up for every candidate of every step, so that they lie in one
vector. Numbers are given in turn and are never used again; what is lost by
the gaps is a few bytes for each life of an executor in one tenure. Lives that
have had one address are found by that, so that a new one costs no look at all
the others.
*/

use std::collections::{BTreeSet, HashMap};

use crate::jobs::executor::{Executor, ExecutorInfo};
use crate::jobs::message::ExecutorIndex;

/// Executors by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Executors {
    slots: Vec<Option<Box<(ExecutorIndex, Executor)>>>,
    by_address: HashMap<String, BTreeSet<ExecutorIndex>>,
    described: u64,
}

impl Executors {
    /// Adds an executor and returns its number.
    pub fn add(&mut self, executor: Executor) -> ExecutorIndex {
        self.described += 1;
        let index = self.slots.len() as ExecutorIndex;
        let address = executor.info.address.clone();
        self.by_address.entry(address).or_default().insert(index);
        self.slots.push(Some(Box::new((index, executor))));
        index
    }

    /// Takes over what an executor says of itself, and whether it takes no
    /// new work by that. Nothing else may change either.
    pub fn set_info(
        &mut self,
        index: ExecutorIndex,
        info: ExecutorInfo,
        cordoned: bool,
    ) {
        self.described += 1;
        let Some(executor) = self.get_mut(&index) else { return };
        let address = info.address.clone();
        executor.cordoned = cordoned;
        let before = std::mem::replace(&mut executor.info, info).address;
        if before != address {
            self.leave(index, &before);
            self.by_address.entry(address).or_default().insert(index);
        }
    }

    /// Takes over which executors take no new work.
    pub fn update_cordons(&mut self, covers: impl Fn(&Executor) -> bool) {
        self.described += 1;
        for executor in self.values_mut() {
            executor.cordoned = covers(executor);
        }
    }

    /// A number that is the same as long as none was added and none is
    /// described otherwise.
    pub fn descriptions_version(&self) -> u64 {
        self.described
    }

    fn leave(&mut self, index: ExecutorIndex, address: &str) {
        let Some(there) = self.by_address.get_mut(address) else { return };
        there.remove(&index);
        if there.is_empty() {
            self.by_address.remove(address);
        }
    }

    /// The numbers of executors with this address, in order.
    pub fn at_address(
        &self,
        address: &str,
    ) -> impl Iterator<Item = ExecutorIndex> + '_ {
        self.by_address.get(address).into_iter().flatten().copied()
    }

    /// The executor with a number.
    pub fn get(&self, index: &ExecutorIndex) -> Option<&Executor> {
        let slot = self.slots.get(*index as usize)?.as_ref()?;
        Some(&slot.1)
    }

    /// The executor with a number, to be changed.
    pub fn get_mut(&mut self, index: &ExecutorIndex) -> Option<&mut Executor> {
        let slot = self.slots.get_mut(*index as usize)?.as_mut()?;
        Some(&mut slot.1)
    }

    /// Takes an executor out.
    pub fn remove(&mut self, index: &ExecutorIndex) -> Option<Executor> {
        let slot = self.slots.get_mut(*index as usize)?.take()?;
        self.leave(*index, &slot.1.info.address);
        Some(slot.1)
    }

    /// All executors with their numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&ExecutorIndex, &Executor)> {
        self.slots.iter().flatten().map(|slot| (&slot.0, &slot.1))
    }

    /// All executors with their numbers, from a place that is drawn by
    /// `seed` on, and around.
    pub fn iter_from(
        &self,
        seed: u64,
    ) -> impl Iterator<Item = (&ExecutorIndex, &Executor)> {
        let first = seed % self.slots.len().max(1) as u64;
        let (before, after) = self.slots.split_at(first as usize);
        let slots = after.iter().chain(before).flatten();
        slots.map(|slot| (&slot.0, &slot.1))
    }

    /// The same, to be changed.
    pub fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (&ExecutorIndex, &mut Executor)> {
        let slots = self.slots.iter_mut().flatten();
        slots.map(|slot| {
            let (index, executor) = &mut **slot;
            (&*index, executor)
        })
    }

    /// All executors, in order.
    pub fn values(&self) -> impl Iterator<Item = &Executor> {
        self.iter().map(|(_, executor)| executor)
    }

    /// The same, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Executor> {
        self.iter_mut().map(|(_, executor)| executor)
    }
}
