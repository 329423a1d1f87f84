/*!
The timeout of calls to a peer, adapted to measured round-trip times.

After a timeout it is unknown whether the call was carried out. A timeout that
is too long delays the caller, and one that is too short repeats calls that
were about to be answered. The timeout is therefore computed like that of TCP
retransmissions (RFC 6298): the smoothed mean of the round-trip times plus four
times their deviation. It doubles with each consecutive timeout.
*/

use std::cell::Cell;

use puffinknot_core::ids::Millis;

/// The weight of a new round-trip time in the mean (RFC 6298, section 2.3).
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of a new difference in the deviation (RFC 6298, section 2.3).
const DEVIATION_WEIGHT: f64 = 0.25;
/// How many deviations are added to the mean (RFC 6298, section 2.3).
const DEVIATIONS: f64 = 4.0;
/// Limits the shift. A factor of 1024 exceeds the ratio of any two bounds.
const MAX_DOUBLINGS: u32 = 10;

/// The bounds of a timeout, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The minimum, however fast the answers are.
    pub min: Millis,
    /// The timeout before the first answer.
    pub initial: Millis,
    /// The maximum, however many calls in a row time out.
    pub max: Millis,
}

/// How many bytes a machine's own link may have queued ahead of a call: the
/// orders for one wide step, each with the job specification. The slowest
/// links take half a second to send them.
const QUEUED_BYTES: u32 = 128 << 10;

impl TimeoutBounds {
    /// Returns the bounds for calls from a machine whose link carries
    /// `link_bytes_per_ms`: the maximum grows by [`link_delay`].
    pub fn with_link_delay(self, link_bytes_per_ms: u32) -> TimeoutBounds {
        let extra = link_delay(link_bytes_per_ms);
        TimeoutBounds { max: self.max + extra, ..self }
    }
}

/// Returns by how many milliseconds the queue of a link that carries
/// `link_bytes_per_ms` may delay an answer.
pub fn link_delay(link_bytes_per_ms: u32) -> Millis {
    Millis::from(QUEUED_BYTES / link_bytes_per_ms.max(1))
}

/// The timeout of calls to one kind of peer.
#[derive(Debug)]
pub struct CallTimeout {
    bounds: TimeoutBounds,
    /// Whether the timeout adapts to measured round-trip times.
    adaptive: bool,
    /// The smoothed round-trip time and its deviation, in milliseconds.
    round_trip: Cell<Option<(f64, f64)>>,
    /// The number of consecutive timeouts.
    timeouts: Cell<u32>,
}

impl CallTimeout {
    /// Returns a timeout that starts at the initial bound. Unless `adaptive`,
    /// only consecutive timeouts change it.
    pub fn new(bounds: TimeoutBounds, adaptive: bool) -> CallTimeout {
        let (round_trip, timeouts) = (Cell::new(None), Cell::new(0));
        CallTimeout { bounds, adaptive, round_trip, timeouts }
    }

    /// Records that a call was answered after `elapsed` milliseconds.
    pub fn record_answer(&self, elapsed: Millis) {
        let elapsed = elapsed as f64;
        let (mean, deviation) = match self.round_trip.get() {
            None => (elapsed, elapsed / 2.0),
            Some((mean, deviation)) => {
                let difference = (elapsed - mean).abs();
                (
                    mean + (elapsed - mean) * MEAN_WEIGHT,
                    deviation + (difference - deviation) * DEVIATION_WEIGHT,
                )
            }
        };
        self.round_trip.set(Some((mean, deviation)));
        self.timeouts.set(0);
    }

    /// Records that a call timed out.
    pub fn record_timeout(&self) {
        self.timeouts.set(self.timeouts.get() + 1);
    }

    /// Returns the timeout of the next call, in milliseconds.
    pub fn current(&self) -> Millis {
        let TimeoutBounds { min, initial, max } = self.bounds;
        let base = match self.round_trip.get().filter(|_| self.adaptive) {
            None => initial,
            Some((mean, deviation)) => {
                let timeout = mean + DEVIATIONS * deviation;
                (timeout.ceil() as Millis).max(min)
            }
        };
        let factor = 1 << self.timeouts.get().min(MAX_DOUBLINGS);
        (base * factor).min(max)
    }
}
