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
/// many times as long as it took.
const REST_OF_ALL: u32 = 3;
/// No such rest is longer than this, in milliseconds: a process that stood
/// still in the midst of a round did not spend that time on it.
const LONGEST_REST_OF_ALL: Millis = 1_000;
/// After any round, urgent steps are left alone for as long as it took, but no
/// longer than this, in milliseconds, which urgent callers bear.
const LONGEST_REST_OF_URGENT: Millis = 200;

/// When which steps may be looked at next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlacementRounds {
    all_from: Millis,
    urgent_from: Millis,
    /// What of the urgent steps' rest is less than a millisecond.
    owed: Duration,
    /// Whether a round was put off.
    put_off: bool,
    /// Whether the last round was over all steps, until it is told how long
    /// it took.
    last: Option<bool>,
}

impl PlacementRounds {
    /// Whether any steps may be looked at; else the round is put off.
    pub fn may_begin(&mut self, now: Millis) -> bool {
        self.put_off = now < self.urgent_from;
        !self.put_off
    }

    /// When a round that was put off may begin.
    pub fn next_start(&self) -> Option<Millis> {
        self.put_off.then_some(self.urgent_from)
    }

    /// Whether steps that may wait may be looked at as well.
    pub fn may_take_all(&self, now: Millis) -> bool {
        now >= self.all_from
    }

    /// A round begins, over all steps or over the urgent ones.
    pub fn begin(&mut self, all: bool) {
        self.last = Some(all);
    }

    fn end(&mut self, all: bool, took: Duration, now: Millis) {
        let rest = took + self.owed;
        let whole = rest.as_millis() as Millis;
        self.owed = rest - Duration::from_millis(whole);
        self.urgent_from = now + whole.min(LONGEST_REST_OF_URGENT);
        if all {
            let rest = took.saturating_mul(REST_OF_ALL).as_millis() as Millis;
            self.all_from = now + rest.min(LONGEST_REST_OF_ALL);
        }
    }
}

impl Scheduler {
    /// Tells how long the last call of [`Scheduler::advance`] took, and when
    /// it was over. A driver that doesn't has steps placed each time.
    pub fn record_advance_time(&mut self, took: Duration, now: Millis) {
        if let Some(all) = self.placement_rounds.last.take() {
            self.placement_rounds.end(all, took, now);
        }
    }
}
