/*!
Whether a request may have waited while its node was suspended.

A request carries no time, and a node can't see when it arrived. What arrives
while the node is suspended waits in sockets, and looks new when the node goes
on. A node that reads its clock regularly finds that it was suspended, since
the clock kept running. What it reads soon afterwards may be as old as the
suspension was long.
*/

use crate::ids::Millis;

/// The time in which a node reads what arrived while it was suspended, in
/// milliseconds.
const BACKLOG_TIME: Millis = 5_000;

/// Finds suspensions of a node by its clock.
#[derive(Clone, Copy, Debug)]
pub struct Suspensions {
    observed_at: Millis,
    /// Until when requests are read that may be too old.
    backlog_until: Millis,
}

impl Suspensions {
    /// Creates the state of a node that starts at the monotonic time `now`, in
    /// milliseconds.
    pub fn new(now: Millis) -> Suspensions {
        Suspensions { observed_at: now, backlog_until: 0 }
    }

    /// Records that the node runs at the monotonic time `now`, in
    /// milliseconds. Call this far more often than every `max_age`
    /// milliseconds, and before each question. Returns how long the node was
    /// suspended if a request may have become older than `max_age`.
    pub fn observe(&mut self, now: Millis, max_age: Millis) -> Option<Millis> {
        let before = std::mem::replace(&mut self.observed_at, now);
        let pause = now.saturating_sub(before);
        if pause <= max_age {
            return None;
        }
        self.backlog_until = now + BACKLOG_TIME;
        Some(pause)
    }

    /// Whether a request that is read now may have waited for too long.
    pub fn may_be_outdated(&self, now: Millis) -> bool {
        now < self.backlog_until
    }
}
