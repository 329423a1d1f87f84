/*!
How long an answer of an executor is waited for.

An order that is not answered in time leaves a task in doubt, and whoever
waits for it is late; one that is given up too soon is made twice. So the
time follows the round trips that were seen, as TCP's retransmission timer
does (RFC 6298): their smoothed mean and four times their deviation. As long
as nothing is answered it doubles.
*/

use std::cell::Cell;

use puffinknot_core::ids::Millis;

/// The least time. A machine's share of its processor may be given to it in
/// slices a tenth of a second apart.
const LEAST: Millis = 120;
/// The most time, and the time before any answer.
const MOST: Millis = 300;
/// The weight of a new round trip in the mean; RFC 6298, section 2.3.
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of a new difference in the deviation; the same.
const DEVIATION_WEIGHT: f64 = 0.25;
/// How many deviations are added to the mean; the same.
const DEVIATIONS: f64 = 4.0;

/// Doubling so often reaches [`MOST`] from [`LEAST`].
const MOST_DOUBLINGS: u32 = 2;

/// What is known of the round trips to executors.
#[derive(Debug, Default)]
pub struct Patience {
    /// The smoothed round trip and its deviation, in milliseconds.
    seen: Cell<Option<(f64, f64)>>,
    /// Orders in a row that were not answered.
    unanswered: Cell<u32>,
    /// Whether round trips are followed at all.
    follows: bool,
}

impl Patience {
    /// Nothing was seen yet. If round trips are not followed, each answer is
    /// waited for as long.
    pub fn new(follows: bool) -> Patience {
        Patience { follows, ..Patience::default() }
    }

    /// An order was answered after this time.
    pub fn answered(&self, took: Millis) {
        let took = took as f64;
        let (mean, deviation) = match self.seen.get() {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let off = (took - mean).abs();
                (
                    mean + (took - mean) * MEAN_WEIGHT,
                    deviation + (off - deviation) * DEVIATION_WEIGHT,
                )
            }
        };
        self.seen.set(Some((mean, deviation)));
        self.unanswered.set(0);
    }

    /// An order was not answered in time.
    pub fn unanswered(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
    }

    /// How long the answer to an order is waited for.
    pub fn within(&self) -> Millis {
        let seen = self.seen.get().filter(|_| self.follows);
        let Some((mean, deviation)) = seen else { return MOST };
        let time = mean + DEVIATIONS * deviation;
        let least = (time.ceil() as Millis).max(LEAST);
        let doubled = 1 << self.unanswered.get().min(MOST_DOUBLINGS);
        (least * doubled).min(MOST)
    }
}
