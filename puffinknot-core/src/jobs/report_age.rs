/*!
How old an executor's report is when the leader processes it.

The clocks of machines are not synchronized, but each report carries a reading
of its executor's clock. A report that arrives at once bounds that clock from
below: it can only have advanced since. A later report whose reading is less
than this bound was made earlier than it arrived, by at least the difference.
So reports reveal how long they were delayed, be it on the executor's machine,
on the network, or unread at the leader. The age is a lower bound only: if all
reports of an incarnation were delayed equally, it shows nothing.
*/

use crate::ids::Millis;
use crate::jobs::executor::MAX_CLOCK_DRIFT_DIVISOR;

/// A lower bound on an executor's clock, from the readings so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockLowerBound {
    /// A reading, and the local time from which the clock shows no less.
    bound: Option<(Millis, Millis)>,
}

impl ClockLowerBound {
    /// The least that the clock shows at `now`, if any reading is known.
    pub fn at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.bound?;
        let passed = now.saturating_sub(at);
        Some(reading + passed - passed / MAX_CLOCK_DRIFT_DIVISOR)
    }

    /// Adds a reading that was received at a local time. Returns the least
    /// time that has passed since it was made, in milliseconds.
    pub fn observe(&mut self, reading: Millis, received: Millis) -> Millis {
        let least = self.at(received).unwrap_or(0);
        self.bound = Some((reading.max(least), received));
        least.saturating_sub(reading)
    }
}
