/*!
The demand for capacity by jobs that are still to come.

Steps that can be in time go in the order of their latest start, and before all
steps that can't. So jobs that arrive later overtake a waiting job if they have
less slack, or if it is late. How much of the capacity they will take is
estimated from those that have arrived lately, in each queue and for each client
account.

The estimate errs on the low side, so that little is refused in vain: of few
arrivals only a part counts.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::message::AccountIndex;

/// Demands below this fraction of the capacity are dropped.
const MIN_LOAD: f64 = 0.001;

/// A queue, the client account whose jobs arrive in it, and the binary
/// logarithm of their slack.
type Stream = (String, Option<AccountIndex>, u32);

/// The arrivals of one stream. Their weight decays over the time within which
/// such jobs are to be done.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    /// The fraction of the capacity that they would keep busy.
    load: f64,
    count: f64,
    updated_at: Millis,
    window: Millis,
    slack: Millis,
    urgent: bool,
}

impl Arrivals {
    fn decay(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        (-age / self.window.max(1) as f64).exp()
    }

    /// The load less the standard deviation of the number of arrivals.
    fn least_load(&self, now: Millis) -> f64 {
        let decay = self.decay(now);
        let certain = 1.0 - (self.count * decay).sqrt().recip();
        self.load * decay * certain.max(0.0)
    }

    /// The part of them that overtakes a job with this slack while it waits. A
    /// slack of zero means that it is late.
    fn overtaking(&self, slack: Millis) -> f64 {
        match slack {
            0 => 1.0,
            _ => (1.0 - self.slack as f64 / slack as f64).max(0.0),
        }
    }
}

/// A job that has arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival<'a> {
    pub queue: &'a str,
    pub account: Option<AccountIndex>,
    pub urgent: bool,
    /// How long the job would keep the whole capacity busy, in milliseconds.
    pub busy: f64,
    /// How long it may wait and still be in time, in milliseconds.
    pub slack: Millis,
    /// The time within which it is to be done, in milliseconds.
    pub objective: Millis,
}

/// The recent demand.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand(BTreeMap<Stream, Arrivals>);

impl Demand {
    pub fn record(&mut self, arrival: &Arrival<'_>, now: Millis) {
        let magnitude = arrival.slack.max(1).ilog2();
        let key = (arrival.queue.to_string(), arrival.account, magnitude);
        let before = self.0.entry(key).or_default();
        let decay = before.decay(now);
        let window = arrival.objective.max(1);
        *before = Arrivals {
            load: before.load * decay + arrival.busy / window as f64,
            count: before.count * decay + 1.0,
            updated_at: now,
            window,
            slack: arrival.slack,
            urgent: arrival.urgent,
        };
    }

    /// The fraction of the capacity that new jobs should take which overtake a
    /// job of this queue and slack, zero if it is late: jobs of the same
    /// queue, and urgent ones if it is not urgent itself. Counts one account
    /// or all.
    pub fn overtaking(
        &self,
        queue: &str,
        urgent: bool,
        account: Option<AccountIndex>,
        slack: Millis,
        now: Millis,
    ) -> f64 {
        let mut sum = 0.0;
        for ((name, owner, _), arrivals) in &self.0 {
            let part = match name == queue {
                true => arrivals.overtaking(slack),
                false if arrivals.urgent && !urgent => 1.0,
                false => continue,
            };
            if account.is_none() || *owner == account {
                sum += part * arrivals.least_load(now);
            }
        }
        sum
    }

    /// Drops what has not arrived for long.
    pub fn drop_stale(&mut self, now: Millis) {
        let remains = |a: &Arrivals| a.load * a.decay(now) >= MIN_LOAD;
        self.0.retain(|_, arrivals| remains(arrivals));
    }
}
