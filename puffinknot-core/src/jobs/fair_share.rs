/*!
Max-min fair shares of capacity that several accounts compete for.

An account's *dominant share* is the largest fraction of the capacity that it
uses in any one resource. It makes accounts comparable that use different
resources, one processor time and another memory. A division is *fair* if no
account could be given more without taking from one that has less for its
weight (max-min fairness). So an account with a small demand gets all of it,
and what it leaves of its share is lent to the others by their weights.
*/

use crate::config::Resources;
use crate::ids::Millis;

/// The usage and demand of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    /// Its weight relative to others; must be above zero.
    pub weight: f64,
    /// The dominant share that it uses.
    pub usage: f64,
    /// The dominant share that it would use if there were enough for all.
    pub demand: f64,
}

/// The largest fraction of `total` that `amount` is in any resource. Resources
/// of which `total` has none do not count.
pub fn dominant_share(amount: &Resources, total: &Resources) -> f64 {
    let fraction = |amount: u32, total: u32| match total {
        0 => 0.0,
        total => f64::from(amount) / f64::from(total),
    };
    fraction(amount.cpu_millis, total.cpu_millis)
        .max(fraction(amount.memory_mb, total.memory_mb))
        .max(fraction(amount.accelerators, total.accelerators))
}

/// The fair share of each account in the capacity that all use together, in
/// the order of the claims.
pub fn fair_shares(claims: &[Claim]) -> Vec<f64> {
    divide_fairly(claims.iter().map(|claim| claim.usage).sum(), claims)
}

/// The fair share of each account in this much capacity, in the order of the
/// claims.
pub fn divide_fairly(mut capacity: f64, claims: &[Claim]) -> Vec<f64> {
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    // The least demand by weight is served first, so that what it leaves over
    // is known when the others are served.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let demand = |at: &usize| claims[*at].demand / claims[*at].weight;
    order.sort_by(|one, two| demand(one).total_cmp(&demand(two)));
    let mut fair = vec![0.0; claims.len()];
    for at in order {
        let claim = &claims[at];
        let share = capacity * claim.weight / weights;
        fair[at] = claim.demand.min(share);
        capacity = (capacity - fair[at]).max(0.0);
        weights -= claim.weight;
    }
    fair
}

/// A mean over the recent past. The weight of earlier values falls by half or
/// more in each period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingMean {
    mean: f64,
    at: Millis,
}

impl DecayingMean {
    /// Adds the value that has held since the last update, with this period in
    /// milliseconds.
    pub fn update(&mut self, value: f64, period: Millis, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        let span = passed + period as f64;
        let weight = if span > 0.0 { passed / span } else { 1.0 };
        self.mean += (value - self.mean) * weight;
        self.at = now;
    }

    /// The mean.
    pub fn get(&self) -> f64 {
        self.mean
    }
}
