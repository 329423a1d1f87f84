/*!
Reads what a predecessor has left in the store.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::StoredValue;
use puffinknot_core::jobs::{
    Mechanism, Mechanisms, Scheduler, SchedulerConfig,
};
use tokio::time::sleep;
use tracing::{info, warn};

use super::{Tenure, PAUSE};
use crate::cell::follow;
use crate::cell::journal::head_key;
use crate::cell::node::MAX_UNCONFIRMED_MS;
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
fn affordable(without: Mechanisms, link_bytes_per_ms: u32) -> Mechanisms {
    let costly = [Mechanism::SilenceAlarm, Mechanism::ParallelAdvice];
    match link_bytes_per_ms < NARROW {
        true => without.except(costly),
        false => without,
    }
}

impl<P: Platform> Tenure<P> {
    /// Learns what operators want before anything is decided. A node whose
    /// watch hangs may be behind, and a leader that is would let dropped keys
    /// in, and start tasks in data centres that take no new work. Returns
    /// whether the store has said it in time.
    async fn read_wishes(&self, started: Millis) -> bool {
        while let Err(error) = follow::read_wishes(&self.shared).await {
            warn!(?error, "wishes_not_read");
            if self.is_too_late(started) {
                return false;
            }
            sleep(PAUSE).await;
        }
        true
    }

    /// Whether a takeover that began then has taken too long.
    fn is_too_late(&self, started: Millis) -> bool {
        clock::mono() > started + MAX_UNCONFIRMED_MS || self.handle.is_over()
    }

    /// Reads what a predecessor has left.
    pub(super) async fn take_over(&self) -> Option<Scheduler> {
        let started = clock::mono();
        let prefix = self.shared.platform.leader_state_prefix().to_string();
        let listing = loop {
            match self.shared.store.read(&prefix).await {
                Ok(listing) => break listing,
                Err(_) => sleep(PAUSE).await,
            }
            if self.is_too_late(started) {
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
        let kept: Vec<StoredValue> = listing
            .items
            .into_iter()
            .filter(|item| item.key != head)
            .map(|item| StoredValue {
                name: item.key[prefix.len()..].to_string(),
                value: item.value,
                revision: item.revision,
            })
            .collect();
        let settings = self.shared.settings.borrow().clone();
        // A predecessor may order for as long as this after it was confirmed
        // last, and what it ordered then may run for a lease.
        let inherited_for = MAX_UNCONFIRMED_MS
            + settings.executor_lease
            + settings.executor_lease / 30
            + 200;
        let config = SchedulerConfig {
            token: self.token,
            lease: settings.executor_lease,
            ended_retention: settings.ended_retention,
            inherited_order_lifetime: inherited_for,
            max_advice_batch: ADVICE_BATCH,
            min_commit_interval: COMMIT_GAP,
            mechanisms: affordable(
                settings.mechanisms,
                settings.link_bytes_per_ms,
            ),
        };
        if !self.read_wishes(started).await {
            return None;
        }
        let policy = self.shared.policy().unwrap_or_default();
        let now = clock::mono();
        match Scheduler::restore(config, policy, &kept, now) {
            Ok(mut scheduler) => {
                scheduler.set_cordons(self.shared.cordons());
                info!(
                    token = self.token,
                    items = kept.len(),
                    jobs = scheduler.live_jobs(),
                    executors = scheduler.executor_count(),
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
