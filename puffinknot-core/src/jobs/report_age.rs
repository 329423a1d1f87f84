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
    /// The least that the clock can have shown at a local time, and that time.
    bound: Option<(Millis, Millis)>,
}

impl ClockLowerBound {
    /// The least that the clock shows at `now`, if any reading is known. The
    /// clock may run slow by one part in [`MAX_CLOCK_DRIFT_DIVISOR`].
    pub fn at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.bound?;
        let passed = now.saturating_sub(at);
        Some(reading + passed - passed / MAX_CLOCK_DRIFT_DIVISOR)
    }

    /// Adds a reading that was received at a local time. Returns a lower bound
    /// of the reading's age, in milliseconds.
    pub fn observe(&mut self, reading: Millis, received: Millis) -> Millis {
        let least = self.at(received).unwrap_or(0);
        self.bound = Some((reading.max(least), received));
        least.saturating_sub(reading)
    }
}
