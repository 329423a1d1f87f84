/*!
Limits on the share of the leader's time that placement rounds take.

A round goes over all waiting steps, and the leader handles no events
meanwhile, so the round takes longer the more steps wait. A leader that spends
all of its time on rounds learns late that runs have ended, treats free
executors as full, and accumulates a longer backlog. After each round,
placement therefore pauses in proportion to the time that the round took. A
leader that is short of processor time places less often, but with current
information.

Rounds over urgent steps alone are more frequent than full rounds and have a
pause of their own.
*/

use std::time::Duration;

use crate::ids::Millis;
use crate::jobs::scheduler::Scheduler;

/// The pause before the next full round, as a multiple of the time that the
/// last one took.
const FULL_ROUND_PAUSE_FACTOR: u32 = 3;
/// The maximum pause before the next full round. If the process is suspended
/// during a round, the time measured includes time not spent on the round.
const MAX_FULL_ROUND_PAUSE: Millis = 1_000;
/// The maximum pause after any round, which otherwise lasts as long as the
/// round. Urgent callers can tolerate this delay.
const MAX_PAUSE: Millis = 200;

/// When the next placement rounds may begin.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlacementRounds {
    full_round_from: Millis,
    round_from: Millis,
    /// The fraction of a millisecond by which the last pause was too short.
    pause_remainder: Duration,
    /// Whether a round was deferred.
    deferred: bool,
    /// Whether the last round was a full one, until its time is recorded.
    last_full: Option<bool>,
}

impl PlacementRounds {
    /// Whether a round may begin. If not, it is deferred.
    pub fn may_begin(&mut self, now: Millis) -> bool {
        self.deferred = now < self.round_from;
        !self.deferred
    }

    /// When a deferred round may begin, if there is one.
    pub fn next_start(&self) -> Option<Millis> {
        self.deferred.then_some(self.round_from)
    }

    /// Whether a full round may begin.
    pub fn may_begin_full(&self, now: Millis) -> bool {
        now >= self.full_round_from
    }

    /// Begins a round, over all steps or over the urgent ones only.
    pub fn begin(&mut self, full: bool) {
        self.last_full = Some(full);
    }

    fn end(&mut self, full: bool, took: Duration, now: Millis) {
        let pause = took + self.pause_remainder;
        let pause_ms = pause.as_millis() as Millis;
        self.pause_remainder = pause - Duration::from_millis(pause_ms);
        self.round_from = now + pause_ms.min(MAX_PAUSE);
        if full {
            let pause = took
                .saturating_mul(FULL_ROUND_PAUSE_FACTOR)
                .as_millis() as Millis;
            self.full_round_from = now + pause.min(MAX_FULL_ROUND_PAUSE);
        }
    }
}

impl Scheduler {
    /// Records how long the last call of [`Scheduler::advance`] took, and when
    /// it returned. Without these calls, placement never pauses.
    pub fn record_advance_time(&mut self, took: Duration, now: Millis) {
        if let Some(full) = self.placement_rounds.last_full.take() {
            self.placement_rounds.end(full, took, now);
        }
    }
}
