/*!
How much of the leader's time placing takes.

A round of placing goes over all that waits, and nothing is taken in
meanwhile. So the more waits, the longer a round takes; and a leader that
spends its whole time on rounds hears of ends late, takes full what is empty,
and has more waiting for it. Therefore placing rests after each round in
proportion to what that round took. A leader that is short of processor time
places less often, but on news that is fresh.

Urgent steps are looked at more often than others, and rest for themselves.
*/

use std::time::Duration;

use crate::ids::Millis;
use crate::jobs::scheduler::Scheduler;

/// After a round over all steps, those that may wait are left alone for so
/// many times as long as it took: they get a quarter of the time at most.
const REST_OF_ALL: u32 = 3;
/// After any round, urgent steps are left alone for as long as it took, so
/// that half of the time is left to what comes in.
const REST_OF_URGENT: u32 = 1;
/// No rest is longer than this, in milliseconds: a process that stood still in
/// the midst of a round did not spend that time on it, and urgent callers
/// wait for hardly more.
const LONGEST_REST: u64 = 200;

/// When which steps may be looked at next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rounds {
    all_from: Millis,
    urgent_from: Millis,
    /// Whether the last round was over all steps, until it is told how long
    /// it took.
    last: Option<bool>,
}

impl Rounds {
    /// Whether any steps may be looked at.
    pub fn may_begin(&self, now: Millis) -> bool {
        now >= self.urgent_from
    }

    /// Whether steps that may wait may be looked at as well.
    pub fn may_take_all(&self, now: Millis) -> bool {
        now >= self.all_from
    }

    /// A round begins, over all steps or over the urgent ones.
    pub fn begin(&mut self, all: bool) {
        self.last = Some(all);
    }
}

impl Scheduler {
    /// Tells how long the last call of [`Scheduler::advance`] took, and when
    /// it was over. A driver that doesn't has steps placed each time.
    pub fn advance_took(&mut self, took: Duration, now: Millis) {
        let Some(all) = self.rounds.last.take() else { return };
        let longest = Duration::from_millis(LONGEST_REST);
        let until = |times: u32| {
            let rest = took.saturating_mul(times).min(longest);
            now + rest.as_millis() as Millis
        };
        self.rounds.urgent_from = until(REST_OF_URGENT);
        if all {
            self.rounds.all_from = until(REST_OF_ALL);
        }
    }
}
