/*!
How far the leader is behind on its news.

What it takes in now may have happened some time ago: news wait in its queue,
and unread in its connections before that. That time is the leader's own. So
nothing is reckoned from when news are taken in that can be reckoned from when
they were given.

What the loop knows of its queue it tells by [`Scheduler::handle_received`].
For the rest, see [`crate::jobs::age`].
*/

use crate::ids::Millis;
use crate::jobs::executor::{Executor, RunOn};
use crate::jobs::message::{Action, Event};
use crate::jobs::scheduler::Scheduler;

/// When a run has ended is known well enough if nobody waited there for that
/// in one part of its time in so many.
const WATCHED: Millis = 8;

/// An account, as far as it tells when something happened.
#[derive(Clone, Copy, Debug)]
pub(super) struct Given {
    /// What its executor's clock showed.
    clock: Millis,
    /// When it was given at the latest.
    at: Millis,
    /// For so long before it no hold may have waited there, in milliseconds: an
    /// end that it tells of is at most so much older.
    unwatched: Millis,
}

impl Given {
    /// An account that was received then, before anything else of it is taken
    /// in.
    pub fn new(executor: &Executor, clock: Millis, received: Millis) -> Given {
        let least = executor.least_clock.at(received).unwrap_or(0);
        let at = received.saturating_sub(least.saturating_sub(clock));
        let unwatched = match (executor.given, executor.clock) {
            (Some(last), Some((reading, _))) => {
                let unsent = executor.held_at.saturating_sub(last);
                let between = clock.saturating_sub(reading);
                unsent.max(between.saturating_sub(executor.wait))
            }
            _ => Millis::MAX,
        };
        Given { clock, at, unwatched }
    }

    /// When it was given at the latest.
    pub fn at(&self) -> Millis {
        self.at
    }

    /// How long a run had been there, in milliseconds.
    pub fn ran(&self, on: &RunOn) -> Millis {
        match on.began {
            Some(began) => self.clock.saturating_sub(began),
            None => self.at.saturating_sub(on.since),
        }
    }

    /// How long a run took that it tells the end of, in milliseconds, if that
    /// is known.
    pub fn took(&self, on: &RunOn) -> Option<Millis> {
        let ran = self.ran(on);
        let unwatched = self.unwatched.min(ran);
        (ran >= WATCHED * unwatched).then_some(ran)
    }
}

/// How far the leader is behind.
#[derive(Debug, Default)]
pub(super) struct Behind {
    /// When what is taken in now was received.
    received: Millis,
}

impl Behind {
    /// When what is taken in now was received.
    pub fn received(&self) -> Millis {
        self.received
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
        self.behind.received = received.min(now);
        self.take(event, now);
        std::mem::take(&mut self.actions)
    }
}
