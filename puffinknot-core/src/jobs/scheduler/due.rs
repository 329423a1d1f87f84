/*!
Which executors have to be looked at for their next hold.

In a large cell most executors are idle, and going over all of them in each
turn would be most of the work. So an executor is looked at only if something
has happened to it, or if its time has come.
*/

use std::collections::BTreeSet;

use crate::ids::Millis;
use crate::jobs::message::ExecutorIndex;

/// Executors to be looked at, now or at a later time.
#[derive(Debug, Default)]
pub(super) struct DueHolds {
    now: BTreeSet<ExecutorIndex>,
    later: BTreeSet<(Millis, ExecutorIndex)>,
}

impl DueHolds {
    /// Something has happened to an executor.
    pub fn touch(&mut self, index: ExecutorIndex) {
        self.now.insert(index);
    }

    /// An executor is to be looked at then.
    pub fn at(&mut self, time: Millis, index: ExecutorIndex) {
        self.later.insert((time, index));
    }

    /// Takes up to `most` executors that are to be looked at by now.
    pub fn take(&mut self, now: Millis, most: usize) -> Vec<ExecutorIndex> {
        while let Some(&(time, index)) = self.later.first() {
            if time > now {
                break;
            }
            self.later.pop_first();
            self.now.insert(index);
        }
        let taken: Vec<ExecutorIndex> =
            self.now.iter().copied().take(most).collect();
        for index in &taken {
            self.now.remove(index);
        }
        taken
    }
}
