/*!
Restores the scheduler from what the predecessor left in the store.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::StoredValue;
use puffinknot_core::jobs::{
    Mechanism, Mechanisms, Scheduler, SchedulerConfig,
};
use tokio::time::sleep;
use tracing::{info, warn};

use super::{LeaderTerm, RETRY_PAUSE};
use crate::cell::journal::head_key;
use crate::cell::node::MAX_UNCONFIRMED_MS;
use crate::cell::ports::Platform;
use crate::cell::store_watch;
use crate::clock;

/// The shortest time between two writes.
const MIN_COMMIT_INTERVAL: Millis = 25;
/// The maximum number of executors in one call for advice.
const MAX_ADVICE_BATCH: usize = 100;

/// A link that carries less than this is narrow, in bytes per millisecond
/// (8 Mbit/s).
const NARROW_LINK: u32 = 1_000;

/// Returns the mechanisms that a leader uses on its link. Mechanisms that send
/// more when answers are late are disabled on a narrow link, since they would
/// fill it further.
fn mechanisms_for_link(
    mechanisms: Mechanisms,
    link_bytes_per_ms: u32,
) -> Mechanisms {
    let costly = [Mechanism::SilenceAlarm, Mechanism::ParallelAdvice];
    match link_bytes_per_ms < NARROW_LINK {
        true => mechanisms.except(costly),
        false => mechanisms,
    }
}

impl<P: Platform> LeaderTerm<P> {
    /// Reads the operators' requests before anything is decided. The requests
    /// that a node knows may be outdated if its watch hangs, and a leader with
    /// outdated ones would accept revoked keys and start tasks in cordoned
    /// data centres. Returns whether the store answered in time.
    async fn read_operator_requests(&self, started: Millis) -> bool {
        while let Err(error) =
            store_watch::read_operator_requests(&self.shared).await
        {
            warn!(?error, "wishes_not_read");
            if self.is_too_late(started) {
                return false;
            }
            sleep(RETRY_PAUSE).await;
        }
        true
    }

    /// Returns whether a takeover that began at `started` has taken too long.
    fn is_too_late(&self, started: Millis) -> bool {
        clock::mono() > started + MAX_UNCONFIRMED_MS || self.handle.has_ended()
    }

    /// Restores the scheduler. Returns `None` if the takeover takes too long,
    /// if another node leads, or if what the predecessor left is unreadable.
    pub(super) async fn take_over(&self) -> Option<Scheduler> {
        let started = clock::mono();
        let prefix = self.shared.platform.leader_state_prefix().to_string();
        let listing = loop {
            match self.shared.store.read(&prefix).await {
                Ok(listing) => break listing,
                Err(_) => sleep(RETRY_PAUSE).await,
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
        let stored: Vec<StoredValue> = listing
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
        // A predecessor may send orders for `MAX_UNCONFIRMED_MS` after its
        // leadership was last confirmed, and such an order may stay in force
        // for a lease.
        let inherited_order_lifetime = MAX_UNCONFIRMED_MS
            + settings.executor_lease
            + settings.executor_lease / 30
            + 200;
        let config = SchedulerConfig {
            token: self.token,
            lease: settings.executor_lease,
            ended_retention: settings.ended_retention,
            max_waiting_tasks: settings.resources.max_waiting_tasks(),
            max_runs: settings.resources.max_runs(),
            large_text_bytes: settings.resources.large_text_bytes(),
            inherited_order_lifetime,
            max_advice_batch: MAX_ADVICE_BATCH,
            min_commit_interval: MIN_COMMIT_INTERVAL,
            mechanisms: mechanisms_for_link(
                settings.mechanisms,
                settings.link_bytes_per_ms,
            ),
        };
        if !self.read_operator_requests(started).await {
            return None;
        }
        let policy = self.shared.policy().unwrap_or_default();
        let now = clock::mono();
        match Scheduler::restore(config, policy, &stored, now) {
            Ok(mut scheduler) => {
                scheduler.set_cordons(self.shared.cordons());
                info!(
                    token = self.token,
                    items = stored.len(),
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
