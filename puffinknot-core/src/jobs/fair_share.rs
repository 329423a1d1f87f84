/*!
What each of several accounts should hold of room that is too little for all.

An account's *dominant share* is the largest part of the room that it holds in
any one resource: two accounts that hold different things, one processor time
and one memory, are comparable by it. Room is *fair* if nobody could be given
more without taking from an account that holds less for its weight (max-min
fairness). So who wants little gets all of it, and what he leaves of his part
is lent to the others by their weights.
*/

use crate::config::Resources;
use crate::ids::Millis;

/// What an account holds and wants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Claim {
    /// Its part against others; has to be above zero.
    pub weight: f64,
    /// The dominant share that it holds.
    pub usage: f64,
    /// The dominant share that it would hold if there were room for all.
    pub demand: f64,
}

/// The largest part that `amount` is of `whole` in any resource. What there is
/// none of doesn't count.
pub fn dominant_share(amount: &Resources, whole: &Resources) -> f64 {
    let part = |amount: u32, whole: u32| match whole {
        0 => 0.0,
        whole => f64::from(amount) / f64::from(whole),
    };
    part(amount.cpu_millis, whole.cpu_millis)
        .max(part(amount.memory_mb, whole.memory_mb))
        .max(part(amount.accelerators, whole.accelerators))
}

/// What each account should hold of all that is held: its fair share, in the
/// order of the claims.
pub fn fair_shares(claims: &[Claim]) -> Vec<f64> {
    divide_fairly(claims.iter().map(|claim| claim.usage).sum(), claims)
}

/// What each account should hold of so much room, in the order of the claims.
pub fn divide_fairly(mut room: f64, claims: &[Claim]) -> Vec<f64> {
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    // Who wants least for his weight is served first, so that what he leaves
    // is known when the others are.
    let mut order: Vec<usize> = (0..claims.len()).collect();
    let wants = |at: &usize| claims[*at].demand / claims[*at].weight;
    order.sort_by(|one, two| wants(one).total_cmp(&wants(two)));
    let mut fair = vec![0.0; claims.len()];
    for at in order {
        let claim = &claims[at];
        let part = room * claim.weight / weights;
        fair[at] = claim.demand.min(part);
        room = (room - fair[at]).max(0.0);
        weights -= claim.weight;
    }
    fair
}

/// A mean over the recent past, in which the weight of what was falls by half
/// or more in each period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingMean {
    mean: f64,
    at: Millis,
}

impl DecayingMean {
    /// Takes in what has been the case since the last time, with this period.
    pub fn update(&mut self, value: f64, period: Millis, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        let all = passed + period as f64;
        let part = if all > 0.0 { passed / all } else { 1.0 };
        self.mean += (value - self.mean) * part;
        self.at = now;
    }

    /// The mean.
    pub fn get(&self) -> f64 {
        self.mean
    }
}
