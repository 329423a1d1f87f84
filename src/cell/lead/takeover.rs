/*!
Reads what a predecessor has left in the store.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::Kept;
use puffinknot_core::jobs::{Mechanism, Scheduler, SchedulerConfig, Without};
use tokio::time::sleep;
use tracing::{info, warn};

use super::{Tenure, PAUSE};
use crate::cell::journal::head_key;
use crate::cell::node::UNCONFIRMED;
use crate::cell::ports::Platform;
use crate::clock;

/// The least time between two writes.
const COMMIT_GAP: Millis = 25;
/// The most executors in one call for advice.
const ADVICE_BATCH: usize = 100;

/// A link that carries fewer bytes a millisecond than this is narrow: 8 Mbit/s.
const NARROW: u32 = 1_000;

/// What a leader does without behind a narrow link: what sends more when
/// answers are late fills it further.
fn affordable(without: Without, link_bytes_per_ms: u32) -> Without {
    let costly = [Mechanism::SilenceAlarm, Mechanism::ParallelAdvice];
    match link_bytes_per_ms < NARROW {
        true => without.and(costly),
        false => without,
    }
}

impl<P: Platform> Tenure<P> {
    /// Learns the newest policy. A node whose watch hangs may be behind, and
    /// a leader that is would let dropped keys in.
    async fn read_policy(&self) {
        let key = self.shared.platform.policy_key();
        match self.shared.store.get(key).await {
            Ok(Some(item)) => self.shared.learn_policy(&item.value),
            Ok(None) => {}
            Err(error) => warn!(?error, "policy_not_read"),
        }
    }

    /// Reads what a predecessor has left.
    pub(super) async fn take_over(&self) -> Option<Scheduler> {
        let started = clock::mono();
        let prefix = self.shared.platform.kept_prefix().to_string();
        let listing = loop {
            match self.shared.store.read(&prefix).await {
                Ok(listing) => break listing,
                Err(_) => sleep(PAUSE).await,
            }
            if clock::mono() > started + UNCONFIRMED || self.handle.is_over() {
                return None;
            }
        };
        let head = head_key(&prefix);
        let unchanged = listing
            .items
            .iter()
            .any(|item| item.key == head && item.revision == self.token);
        if !unchanged {
            return None;
        }
        let kept: Vec<Kept> = listing
            .items
            .into_iter()
            .filter(|item| item.key != head)
            .map(|item| Kept {
                name: item.key[prefix.len()..].to_string(),
                value: item.value,
                revision: item.revision,
            })
            .collect();
        let settings = self.shared.settings.borrow().clone();
        // A predecessor may order for as long as this after it was confirmed
        // last, and what it ordered then may run for a lease.
        let inherited_for = UNCONFIRMED
            + settings.executor_lease
            + settings.executor_lease / 30
            + 200;
        let config = SchedulerConfig {
            token: self.token,
            lease: settings.executor_lease,
            keep_ended: settings.keep_ended,
            inherited_for,
            advice_batch: ADVICE_BATCH,
            commit_gap: COMMIT_GAP,
            without: affordable(settings.without, settings.link_bytes_per_ms),
        };
        self.read_policy().await;
        let policy = self.shared.policy().unwrap_or_default();
        let now = clock::mono();
        match Scheduler::restore(config, policy, &kept, now) {
            Ok(scheduler) => {
                info!(
                    token = self.token,
                    items = kept.len(),
                    jobs = scheduler.live(),
                    executors = scheduler.executors(),
                    ms = now - started,
                    "taken_over"
                );
                Some(scheduler)
            }
            Err(problem) => {
                warn!(problem, "kept_value_unreadable");
                None
            }
        }
    }
}
