/*!
Job rates of client accounts, in a cell that doesn't schedule by capacity
shares (see [`super::account_shares`]).

Each account has a job rate: its weight, in jobs per second. Steps are ordered
by the deadlines of their jobs, so an account that submits far more than usual
would make the jobs of other accounts miss theirs. Each account therefore has a
token bucket. A job that finds its bucket empty is over the rate and ranks
behind every job submitted within its account's rate. It is neither refused
nor dropped, and starts at once while there is free capacity.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::model::Job;
use crate::jobs::scheduler::Scheduler;

/// The size of a bucket, in seconds at the account's rate. Clients submit in
/// bursts, and a short burst is within the rate.
const BURST_SECONDS: f64 = 5.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The token bucket of one account.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Millis,
}

/// The buckets of all accounts that have submitted jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenBuckets {
    buckets: BTreeMap<String, Bucket>,
}

impl TokenBuckets {
    /// Takes a token for a job that an account submits; `rate` is in jobs per
    /// second. Returns whether the job is over the rate.
    fn take_token(&mut self, account: &str, rate: f64, now: Millis) -> bool {
        let size = (rate * BURST_SECONDS).max(1.0);
        let full = Bucket { tokens: size, refilled_at: now };
        let bucket = self.buckets.entry(account.to_string()).or_insert(full);
        let seconds =
            now.saturating_sub(bucket.refilled_at) as f64 / MILLIS_PER_SECOND;
        bucket.tokens = (bucket.tokens + seconds * rate).min(size);
        bucket.refilled_at = now;
        let over_rate = bucket.tokens < 1.0;
        if !over_rate {
            bucket.tokens -= 1.0;
        }
        over_rate
    }
}

impl Scheduler {
    /// Whether a submitted job is over its account's rate. Takes a token if
    /// it is not.
    pub(super) fn exceeds_rate(&mut self, job: &Job, now: Millis) -> bool {
        if !self.is_enabled(Mechanism::AccountShares)
            || self.is_enabled(Mechanism::CapacityShares)
        {
            return false;
        }
        let Some(name) = &job.account else { return false };
        let account = self.policy.accounts.get(name);
        let Some(weight) = account.map(|account| account.weight) else {
            return false;
        };
        if weight <= 0.0 {
            return false;
        }
        let over_rate = self.token_buckets.take_token(name, weight, now);
        if over_rate {
            self.count("jobs_beyond_due");
        }
        over_rate
    }
}
