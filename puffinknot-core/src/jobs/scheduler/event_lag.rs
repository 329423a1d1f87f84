/*!
How far the leader is behind on its news.

What it takes in now may have happened some time ago: news wait in its queue,
and unread in its connections before that. That time is the leader's own. So
nothing is reckoned from when news are taken in that can be reckoned from when
they were given, and nobody counts as silent for what may only be waiting.

What the loop knows of its queue it tells by [`Scheduler::handle_received`].
For the rest, see [`crate::jobs::report_age`]. A leader that has stood still learns of
nothing that happened meanwhile until it has asked again.

All of this only makes conclusions later.
*/

use crate::ids::Millis;
use crate::jobs::executor::{Executor, PlacedRun};
use crate::jobs::message::{Action, Event, ExecutorIndex};
use crate::jobs::scheduler::renewals::FAILURES;
use crate::jobs::scheduler::Scheduler;

/// One account counts for one part in so many of how late they are.
const WEIGHT: Millis = 8;
/// While no account has come for so long, in milliseconds, none waits: an
/// executor that is asked holds its answer back for less.
const QUIET: Millis = 2_000;
/// A leader that was called for nothing for so long has stood still, in
/// milliseconds: many times as long as it waits for anything.
const STILL: Millis = 1_000;
/// When a run has ended is known well enough if nobody waited there for that
/// in one part in so many of the time that it should take.
const WATCHED: Millis = 8;

/// An account, as far as it tells when something happened.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportTiming {
    /// What its executor's clock showed.
    clock: Millis,
    /// When it was given at the latest.
    at: Millis,
    /// For so long before it no hold may have waited there, in milliseconds:
    /// an end that it tells of is at most so much older.
    unwatched: Millis,
}

impl ReportTiming {
    /// An account that was received then, before anything else of it is taken
    /// in.
    pub fn new(
        executor: &Executor,
        clock: Millis,
        received: Millis,
    ) -> ReportTiming {
        let least = executor.clock_bound.at(received).unwrap_or(0);
        let at = received.saturating_sub(least.saturating_sub(clock));
        let unwatched = match (executor.reported_at, executor.clock) {
            (Some(last), Some((reading, _))) => {
                let unsent = executor.renewal_sent_at.saturating_sub(last);
                let between = clock.saturating_sub(reading);
                unsent.max(between.saturating_sub(executor.renewal_wait))
            }
            _ => Millis::MAX,
        };
        ReportTiming { clock, at, unwatched }
    }

    /// When it was given at the latest.
    pub fn made_at(&self) -> Millis {
        self.at
    }

    /// How long a run had been there, in milliseconds.
    pub fn elapsed(&self, on: &PlacedRun) -> Millis {
        match on.start_clock {
            Some(began) => self.clock.saturating_sub(began),
            None => self.at.saturating_sub(on.placed_at),
        }
    }

    /// How long a run took that it tells the end of, in milliseconds, if that
    /// is known. It is by how long the run should take, so that short runs are
    /// not left out where long ones count.
    pub fn duration(&self, on: &PlacedRun) -> Option<Millis> {
        let should = on.expected_end.saturating_sub(on.placed_at);
        let known = should >= self.unwatched.saturating_mul(WATCHED);
        known.then(|| self.elapsed(on))
    }
}

/// How far the leader is behind.
#[derive(Debug, Default)]
pub(super) struct EventLag {
    /// When what is taken in now was received.
    received: Millis,
    /// How late accounts are taken in, smoothed, in milliseconds.
    late: Millis,
    /// When the last one was taken in.
    heard: Millis,
    /// When the leader was called last.
    called: Millis,
    /// When it went on after it had stood still.
    resumed: Millis,
}

impl EventLag {
    /// When what is taken in now was received.
    pub fn received(&self) -> Millis {
        self.received
    }

    /// The leader is called. One that stands still over and over, `most` apart
    /// or less, concludes after the first time of these.
    fn call(&mut self, received: Millis, now: Millis, most: Millis) {
        let still = now > self.called + STILL && self.called > 0;
        if still && now > self.resumed + most {
            self.resumed = now;
        }
        self.called = now;
        self.received = received.min(now);
    }

    /// Takes in how late an account was; `most` is the most that counts.
    fn note(&mut self, late: Millis, most: Millis, now: Millis) {
        let others = self.late(now) * (WEIGHT - 1);
        self.late = (others + late.min(most)) / WEIGHT;
        self.heard = now;
    }

    /// How late accounts are taken in, in milliseconds.
    fn late(&self, now: Millis) -> Millis {
        if now > self.heard + QUIET {
            0
        } else {
            self.late
        }
    }
}

impl Scheduler {
    /// Takes in an event that was received earlier than now, and has waited
    /// for the leader since.
    pub fn handle_received(
        &mut self,
        event: Event,
        received: Millis,
        now: Millis,
    ) -> Vec<Action> {
        self.event_lag.call(received, now, self.config.lease);
        self.apply_event(event, now);
        std::mem::take(&mut self.actions)
    }

    /// Takes in how late an account was. The first one shows no age, but it is
    /// no older than its order, which was to be answered at once.
    pub(super) fn note_late(
        &mut self,
        index: ExecutorIndex,
        first: bool,
        sent_at: Millis,
        now: Millis,
    ) {
        let known = self.executors.get(&index).map_or(0, |e| e.report_age);
        let late = match first {
            true => now.saturating_sub(sent_at),
            false => known,
        };
        self.event_lag.note(late, self.config.lease, now);
    }

    /// Until when the leader has probably taken in what was to be heard.
    /// Silence counts until then, and no longer.
    pub(super) fn processed_until(&self, now: Millis) -> Millis {
        now.saturating_sub(self.event_lag.late(now))
    }

    /// The same of one executor.
    pub(super) fn news_until(&self, at: &Executor, now: Millis) -> Millis {
        let own = now.saturating_sub(at.report_age.min(self.config.lease));
        own.min(self.processed_until(now))
    }

    /// Whether an executor has left unanswered what was asked of it last, and
    /// since the leader stood still.
    pub(super) fn found_silent(&self, at: &Executor) -> bool {
        let asked =
            at.missed_renewal.filter(|_| at.renewal_failures >= FAILURES);
        at.incarnation_end.is_some() || asked >= Some(self.event_lag.resumed)
    }
}
