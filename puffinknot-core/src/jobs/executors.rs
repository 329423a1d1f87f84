/*!
All executors that the leader knows, by their numbers.

They are looked up for every candidate of every step, so that they lie in one
vector. Numbers are given in turn and are never used again; what is lost by
the gaps is a few bytes for each life of an executor in one tenure.
*/

use crate::jobs::executor::Executor;
use crate::jobs::message::ExecutorIndex;

/// Executors by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Executors {
    slots: Vec<Option<Box<(ExecutorIndex, Executor)>>>,
}

impl Executors {
    /// Adds an executor and returns its number.
    pub fn add(&mut self, executor: Executor) -> ExecutorIndex {
        let index = self.slots.len() as ExecutorIndex;
        self.slots.push(Some(Box::new((index, executor))));
        index
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
        Some(slot.1)
    }

    /// All executors with their numbers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&ExecutorIndex, &Executor)> {
        self.slots.iter().flatten().map(|slot| (&slot.0, &slot.1))
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
