/*!
How long an answer is waited for.

A call that is not answered in time leaves in doubt whether it was carried
out, and whoever waits for it is late; one that is given up too soon is made
twice. So the time follows the round trips that were seen, as TCP's
retransmission timer does (RFC 6298): their smoothed mean and four times their
deviation. As long as nothing is answered it doubles.
*/

use std::cell::Cell;

use puffinknot_core::ids::Millis;

/// The weight of a new round trip in the mean; RFC 6298, section 2.3.
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of a new difference in the deviation; the same.
const DEVIATION_WEIGHT: f64 = 0.25;
/// How many deviations are added to the mean; the same.
const DEVIATIONS: f64 = 4.0;
/// No time is doubled more often: a thousandfold is beyond any bound here.
const MOST_DOUBLINGS: u32 = 10;

/// The bounds of a time that is waited, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The least time, however quick the answers are.
    pub min: Millis,
    /// The time before any answer was seen.
    pub initial: Millis,
    /// The most time, however long nothing is answered.
    pub max: Millis,
}

/// So many bytes may wait at a machine's own link ahead of a call: the orders
/// for one wide step, with the text of its job in each of them. The slowest
/// links take half a second for them.
const QUEUED_BYTES: u32 = 128 << 10;

impl TimeoutBounds {
    /// The same for calls from a machine whose link carries so many bytes a
    /// millisecond.
    pub fn with_link_delay(self, link_bytes_per_ms: u32) -> TimeoutBounds {
        let extra = link_delay(link_bytes_per_ms);
        TimeoutBounds { max: self.max + extra, ..self }
    }
}

/// By how much answers may be later than usual behind a link that carries so
/// many bytes a millisecond, in milliseconds.
pub fn link_delay(link_bytes_per_ms: u32) -> Millis {
    Millis::from(QUEUED_BYTES / link_bytes_per_ms.max(1))
}

/// What is known of the round trips to one kind of peer.
#[derive(Debug)]
pub struct CallTimeout {
    bounds: TimeoutBounds,
    /// Whether round trips are followed at all.
    follows: bool,
    /// The smoothed round trip and its deviation, in milliseconds.
    seen: Cell<Option<(f64, f64)>>,
    /// Calls in a row that were not answered.
    unanswered: Cell<u32>,
}

impl CallTimeout {
    /// Nothing was seen yet. If round trips are not followed, the first
    /// answers are waited for as long as all others.
    pub fn new(bounds: TimeoutBounds, follows: bool) -> CallTimeout {
        let (seen, unanswered) = (Cell::new(None), Cell::new(0));
        CallTimeout { bounds, follows, seen, unanswered }
    }

    /// A call was answered after this time.
    pub fn record_answer(&self, took: Millis) {
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

    /// A call was not answered in time.
    pub fn record_timeout(&self) {
        self.unanswered.set(self.unanswered.get() + 1);
    }

    /// How long an answer is waited for.
    pub fn current(&self) -> Millis {
        let TimeoutBounds { min: least, initial, max: most } = self.bounds;
        let usual = match self.seen.get().filter(|_| self.follows) {
            None => initial,
            Some((mean, deviation)) => {
                let time = mean + DEVIATIONS * deviation;
                (time.ceil() as Millis).max(least)
            }
        };
        let doubled = 1 << self.unanswered.get().min(MOST_DOUBLINGS);
        (usual * doubled).min(most)
    }
}
