/*!
What client accounts hand in beyond their due, in a cell that doesn't go by
their shares of its room, see [`super::account_shares`].

An account has so many jobs a second as its due. One that sends many times its
usual would push others over their objectives, since all are placed by the end
of these. So each account has a token bucket: a job that finds it empty goes
behind everything that was handed in within its account's due. It is neither
refused nor lost, and starts at once while there is room.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::model::Job;
use crate::jobs::scheduler::Scheduler;

/// The bucket of an account holds what is its due in so many seconds: clients
/// come in waves, and a short one is no flood.
const HOLDS_S: f64 = 5.0;
const MILLIS: f64 = 1_000.0;

/// The bucket of one account.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Millis,
}

/// The buckets of all accounts that have handed in jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenBuckets {
    buckets: BTreeMap<String, Bucket>,
}

impl TokenBuckets {
    /// An account with this due hands in a job. Returns whether that is
    /// beyond it.
    fn spend(&mut self, account: &str, weight: f64, now: Millis) -> bool {
        let most = (weight * HOLDS_S).max(1.0);
        let full = Bucket { tokens: most, filled: now };
        let bucket = self.buckets.entry(account.to_string()).or_insert(full);
        let passed = now.saturating_sub(bucket.filled) as f64 / MILLIS;
        bucket.tokens = (bucket.tokens + passed * weight).min(most);
        bucket.filled = now;
        let beyond = bucket.tokens < 1.0;
        if !beyond {
            bucket.tokens -= 1.0;
        }
        beyond
    }
}

impl Scheduler {
    /// Whether a job that is handed in is beyond its account's due.
    pub(super) fn is_beyond_due(&mut self, job: &Job, now: Millis) -> bool {
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
        let beyond = self.token_buckets.spend(name, weight, now);
        if beyond {
            self.count("jobs_beyond_due");
        }
        beyond
    }
}
