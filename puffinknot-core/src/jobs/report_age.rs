/*!
How old what an executor says is when the leader takes it in.

The clocks of machines are not set by each other, but an account bears its
executor's. An account that comes at once shows how far that is on; a later
one that reads less than it must have come to since was given some time ago.
So accounts tell of their age wherever they have waited: in the executor's
machine, on the way, or unread at the leader. What they tell is a lower bound:
of a life of which all accounts were as late, nothing is known.
*/

use crate::ids::Millis;
use crate::jobs::executor::MAX_CLOCK_DRIFT_DIVISOR;

/// The least that an executor's clock shows, by the readings so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockLowerBound {
    /// A reading, and when the clock showed no less than that.
    known: Option<(Millis, Millis)>,
}

impl ClockLowerBound {
    /// The least that it shows by now, if any reading is known.
    pub fn at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.known?;
        let passed = now.saturating_sub(at);
        Some(reading + passed - passed / MAX_CLOCK_DRIFT_DIVISOR)
    }

    /// Takes in a reading that was received then. Returns how much earlier it
    /// was made at least, in milliseconds.
    pub fn observe(&mut self, reading: Millis, received: Millis) -> Millis {
        let least = self.at(received).unwrap_or(0);
        self.known = Some((reading.max(least), received));
        least.saturating_sub(reading)
    }
}
