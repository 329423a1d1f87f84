/*!
Which executors have to be looked at for their next hold.

In a large cell most executors are idle, and going over all of them in each
turn would be most of the work. So an executor is looked at only if something
has happened to it, or if its time has come: in the order in which that was
noted, so that none is passed over for others to which more happens.
*/

use std::collections::{BTreeSet, VecDeque};

use crate::ids::Millis;
use crate::jobs::message::ExecutorIndex;

/// In one turn at least one in so many of those that wait is looked at: a
/// leader whose turns are few catches up all the same.
const WAITING_PART: usize = 4;

/// Executors to be looked at, now or at a later time.
#[derive(Debug, Default)]
pub(super) struct RenewalQueue {
    /// In the order in which they were noted.
    now: VecDeque<ExecutorIndex>,
    /// The same, to note each only once.
    noted: BTreeSet<ExecutorIndex>,
    later: BTreeSet<(Millis, ExecutorIndex)>,
}

impl RenewalQueue {
    /// Something has happened to an executor.
    pub fn enqueue(&mut self, index: ExecutorIndex) {
        if self.noted.insert(index) {
            self.now.push_back(index);
        }
    }

    /// An executor is to be looked at then.
    pub fn schedule(&mut self, time: Millis, index: ExecutorIndex) {
        self.later.insert((time, index));
    }

    /// Whether executors were left over that are to be looked at by now.
    pub fn has_ready(&self) -> bool {
        !self.now.is_empty()
    }

    /// Takes some executors that are to be looked at by now: up to `most`, or
    /// a part of them if very many wait.
    pub fn take_ready(
        &mut self,
        now: Millis,
        most: usize,
    ) -> Vec<ExecutorIndex> {
        while let Some(&(time, index)) = self.later.first() {
            if time > now {
                break;
            }
            self.later.pop_first();
            self.enqueue(index);
        }
        let most = most.max(self.now.len() / WAITING_PART);
        let most = most.min(self.now.len());
        let taken: Vec<ExecutorIndex> = self.now.drain(..most).collect();
        for index in &taken {
            self.noted.remove(index);
        }
        taken
    }
}
