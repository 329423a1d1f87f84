/*!
Limits how many calls are open to each executor.

An executor accepts a limited number of connections. If a machine loses power
or its link fails for good, its connections stay open at the executors, which
may never close them. Each open call needs a connection of its own, so the
limit on calls bounds the connections that a node uses and can leave behind.

A call that has to wait is sent after those of a higher [`Priority`], and is
not sent at all if that takes too long. A call that an executor has not
answered in the usual time is *late*. Its answer is still of use, but if other
calls wait, the call is abandoned in their favour.
*/

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

use crate::clock;

/// The maximum number of calls that a node has open to one executor. One of
/// them is usually a lease renewal, which waits for a run to end; of the
/// others, one may be late without holding up the rest.
pub const MAX_CALLS: usize = 3;

/// The order in which waiting calls are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Lease renewals: without them, the executor counts as silent.
    Renewal,
    /// Stops, which free capacity.
    Stop,
    /// Throttles, which protect serving tasks.
    Throttle,
    /// Starts.
    Start,
}

/// How long a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// The time after which a call that still waits is not sent, in
    /// milliseconds.
    pub wait: Millis,
    /// The time after which a call that was sent is late, in milliseconds.
    pub late: Millis,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd<T> {
    /// It was completed.
    Completed(T),
    /// It was not sent, since too many other calls were open.
    NotSent,
    /// It was late and abandoned in favour of another one.
    Abandoned,
}

/// The number of a call.
type CallNumber = u64;

/// The calls to one executor.
#[derive(Debug, Default)]
struct ExecutorCalls {
    open: Vec<OpenCall>,
    waiting: BTreeSet<(Priority, CallNumber)>,
    /// Notified when a call may be able to proceed.
    changed: Rc<Notify>,
}

#[derive(Debug)]
struct OpenCall {
    number: CallNumber,
    late_at: Millis,
    /// Tells the call that it is abandoned. `None` once that is done.
    abandon: Option<oneshot::Sender<()>>,
}

/// Whether a waiting call may be sent.
#[derive(Debug, PartialEq, Eq)]
enum Turn {
    /// It may be sent now.
    Now,
    /// Another call is to be abandoned for it at this time.
    AbandonAt(Millis),
    /// It is not the next one.
    Later,
}

impl ExecutorCalls {
    /// Returns whether a waiting call may be sent.
    fn turn(&self, waiting: (Priority, CallNumber)) -> Turn {
        if self.waiting.first() != Some(&waiting) {
            return Turn::Later;
        }
        if self.open.len() < MAX_CALLS {
            return Turn::Now;
        }
        // Only one call is abandoned at a time, since there is only one call
        // to take its place.
        if self.open.iter().any(|call| call.abandon.is_none()) {
            return Turn::Later;
        }
        let next = self.open.iter().map(|call| call.late_at).min();
        next.map_or(Turn::Now, Turn::AbandonAt)
    }

    /// Abandons the call that has been late for longest, if any is late.
    fn abandon_oldest(&mut self, now: Millis) {
        let late = self.open.iter_mut().filter(|call| call.late_at <= now);
        let Some(call) = late.min_by_key(|call| call.late_at) else { return };
        if let Some(abandon) = call.abandon.take() {
            // The call may have just completed.
            let _ = abandon.send(());
        }
    }

    fn is_unused(&self) -> bool {
        self.open.is_empty() && self.waiting.is_empty()
    }
}

/// The calls to all executors, by address.
#[derive(Debug, Default)]
pub struct CallSlots {
    executors: RefCell<HashMap<String, ExecutorCalls>>,
    last_number: Cell<CallNumber>,
}

impl CallSlots {
    /// Makes a call to the executor at an address as soon as there is a slot
    /// for it.
    pub async fn call<T>(
        &self,
        address: &str,
        priority: Priority,
        limits: CallLimits,
        call: impl Future<Output = T>,
    ) -> CallEnd<T> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let slot = self.acquire(address, priority, number, limits.late);
        let wait = Duration::from_millis(limits.wait);
        let Ok((slot, abandoned)) = timeout(wait, slot).await else {
            return CallEnd::NotSent;
        };
        let end = tokio::select! {
            biased;
            answer = call => CallEnd::Completed(answer),
            Ok(()) = abandoned => CallEnd::Abandoned,
        };
        drop(slot);
        end
    }

    /// Waits for a slot. The receiver tells when the call is to be abandoned.
    async fn acquire<'a>(
        &'a self,
        address: &'a str,
        priority: Priority,
        number: CallNumber,
        late: Millis,
    ) -> (Slot<'a>, oneshot::Receiver<()>) {
        let waiting = (priority, number);
        self.update(address, |calls| calls.waiting.insert(waiting));
        // Leaves the queue if the caller gives up.
        let slot = Slot { slots: self, address, number, priority };
        loop {
            let changed = self.update(address, |calls| calls.changed.clone());
            let changed = changed.notified();
            match self.update(address, |calls| calls.turn(waiting)) {
                Turn::Now => break,
                Turn::AbandonAt(at) => {
                    let now = clock::mono();
                    if at <= now {
                        self.update(address, |c| c.abandon_oldest(now));
                        continue;
                    }
                    let pause = Duration::from_millis(at - now);
                    tokio::select! {
                        () = changed => {}
                        () = sleep(pause) => {}
                    }
                }
                Turn::Later => changed.await,
            }
        }
        let (abandon, abandoned) = oneshot::channel();
        let late_at = clock::mono() + late;
        self.update(address, |calls| {
            calls.waiting.remove(&waiting);
            let abandon = Some(abandon);
            calls.open.push(OpenCall { number, late_at, abandon });
            calls.changed.notify_waiters();
        });
        (slot, abandoned)
    }

    fn update<T>(
        &self,
        address: &str,
        change: impl FnOnce(&mut ExecutorCalls) -> T,
    ) -> T {
        let mut executors = self.executors.borrow_mut();
        match executors.get_mut(address) {
            Some(calls) => change(calls),
            None => change(executors.entry(address.to_string()).or_default()),
        }
    }
}

/// A call that waits or is open. Leaves the queue or frees its slot when
/// dropped.
struct Slot<'a> {
    slots: &'a CallSlots,
    address: &'a str,
    number: CallNumber,
    priority: Priority,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut executors = self.slots.executors.borrow_mut();
        let Some(calls) = executors.get_mut(self.address) else { return };
        calls.waiting.remove(&(self.priority, self.number));
        calls.open.retain(|call| call.number != self.number);
        calls.changed.notify_waiters();
        if calls.is_unused() {
            executors.remove(self.address);
        }
    }
}
