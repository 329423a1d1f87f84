/*!
The queue of executors whose leases may be due for renewal.

In a large cell most executors are idle, and checking all of them in each
iteration of the leader's loop would be most of its work. Therefore an executor
is checked only after an event that concerns it or at a scheduled time. The
queue is first in, first out, so that executors with many events do not starve
others.
*/

use std::collections::{BTreeSet, VecDeque};

use crate::ids::Millis;
use crate::jobs::message::ExecutorIndex;

/// Each call of [`RenewalQueue::take_ready`] takes at least one in this many
/// of the ready executors, so that a leader whose loop runs slowly still
/// catches up.
const MIN_READY_PART: usize = 4;

/// Executors to be checked, now or at a later time.
#[derive(Debug, Default)]
pub(super) struct RenewalQueue {
    /// The executors to be checked now, in the order in which they were added.
    ready: VecDeque<ExecutorIndex>,
    /// The same executors, so that none is added twice.
    enqueued: BTreeSet<ExecutorIndex>,
    scheduled: BTreeSet<(Millis, ExecutorIndex)>,
}

impl RenewalQueue {
    /// Adds an executor to those to be checked now.
    pub fn enqueue(&mut self, index: ExecutorIndex) {
        if self.enqueued.insert(index) {
            self.ready.push_back(index);
        }
    }

    /// Schedules a check of an executor.
    pub fn schedule(&mut self, time: Millis, index: ExecutorIndex) {
        self.scheduled.insert((time, index));
    }

    /// Whether executors are left to be checked now. Scheduled checks count
    /// only once [`RenewalQueue::take_ready`] has found them due.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes executors that are to be checked by now: up to `limit`, or one in
    /// [`MIN_READY_PART`] of them if that is more.
    pub fn take_ready(
        &mut self,
        now: Millis,
        limit: usize,
    ) -> Vec<ExecutorIndex> {
        while let Some(&(time, index)) = self.scheduled.first() {
            if time > now {
                break;
            }
            self.scheduled.pop_first();
            self.enqueue(index);
        }
        let limit = limit.max(self.ready.len() / MIN_READY_PART);
        let limit = limit.min(self.ready.len());
        let taken: Vec<ExecutorIndex> = self.ready.drain(..limit).collect();
        for index in &taken {
            self.enqueued.remove(index);
        }
        taken
    }
}
