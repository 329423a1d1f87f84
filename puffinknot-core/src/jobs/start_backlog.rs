/*!
Waiting work by its latest start, and whether more of it can be accepted.

Work of one queue goes in the order of its latest start: the time from which on
it could no longer end in time, or for late work, while it is useful. A
[`StartBacklog`] holds such work. It answers one question: if more is accepted,
does all of it still start soon enough?
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::backlog::{ServiceCapacity, Work};

/// Latest starts are rounded down to this, so that there are few.
const START_GRAIN: Millis = 100;

/// The capacity that is left for some work.
#[derive(Clone, Copy, Debug)]
pub struct AvailableCapacity<'a> {
    /// The capacity of the service.
    pub capacity: &'a ServiceCapacity,
    /// The fraction of it that is for this work and for what goes before it.
    pub fraction: f64,
    /// The waiting work that goes before all of it.
    pub ahead: Work,
    /// The fraction of that fraction which work that is still to come and will
    /// go before it takes.
    pub demand: f64,
}

impl AvailableCapacity<'_> {
    /// When work starts that waits behind `work`, in milliseconds from now.
    /// `None` if it never does.
    pub fn start_behind(&self, work: &Work) -> Option<Millis> {
        let ahead = self.ahead.plus(work);
        self.delayed(self.capacity.time_for(&ahead, self.fraction)? as f64)
    }

    /// How long a wait becomes by the work that is still to come.
    fn delayed(&self, wait: f64) -> Option<Millis> {
        let left = 1.0 - self.demand;
        if wait < 1.0 {
            return Some(0);
        }
        (left > 0.0).then_some((wait / left) as Millis)
    }
}

/// Waiting work, by its latest start.
#[derive(Clone, Debug, Default)]
pub struct StartBacklog(BTreeMap<Millis, Work>);

impl StartBacklog {
    /// No work.
    pub const EMPTY: StartBacklog = StartBacklog(BTreeMap::new());

    /// Adds work that has to start by `latest_start`.
    pub fn add(&mut self, latest_start: Millis, work: &Work) {
        let start = latest_start / START_GRAIN * START_GRAIN;
        let sum = self.0.entry(start).or_default();
        *sum = sum.plus(work);
    }

    /// The work that goes before work with this latest start.
    pub fn before(&self, latest_start: Millis) -> Work {
        let ahead = self.0.range(..=latest_start).map(|(_, work)| work);
        ahead.fold(Work::default(), |sum, work| sum.plus(work))
    }

    /// Whether more work would start by its latest start, and all other work
    /// still would.
    pub fn fits(
        &self,
        latest_start: Millis,
        work: &Work,
        available: &AvailableCapacity<'_>,
        now: Millis,
    ) -> bool {
        let AvailableCapacity { capacity, fraction, .. } = *available;
        let ahead = available.ahead.plus(&self.before(latest_start));
        let Some(wait) = capacity.time_for(&ahead, fraction) else {
            return false;
        };
        let starts_by = |wait: f64, by: Millis| {
            available.delayed(wait).is_some_and(|after| now + after <= by)
        };
        let mut wait = wait as f64;
        if !starts_by(wait, latest_start) {
            return false;
        }
        wait += capacity.time_with_all(work, fraction);
        let behind = (latest_start + 1)..;
        self.0.range(behind).all(|(by, work)| {
            wait += capacity.time_with_all(work, fraction);
            starts_by(wait, *by)
        })
    }
}
