/*!
Renews the lease of the leader's key, and checks that the key still exists.
*/

use std::time::Duration;

use puffinknot_core::ids::Millis;
use tokio::time::MissedTickBehavior;

use super::{leader_key, Input, LeaderTerm};
use crate::cell::ports::Platform;
use crate::clock;

/// How many times the leader's lease is renewed within its duration.
const RENEWALS_PER_LEASE: Millis = 5;
/// The leader's key is read if nothing has confirmed it for this long.
const CONFIRM_AFTER: Millis = 350;

impl<P: Platform> LeaderTerm<P> {
    /// Renews the lease for as long as the term lasts. A valid lease does not
    /// show that the key exists: if no commit has confirmed the leadership
    /// lately, the key is read.
    pub(super) fn spawn_lease_renewals(&self) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let lease = self.lease.clone();
        let confirmed = self.confirmed.clone();
        actix_rt::spawn(async move {
            let ttl = shared.settings.borrow().leader_lease;
            let pause = Duration::from_millis(ttl / RENEWALS_PER_LEASE);
            let mut interval = tokio::time::interval(pause);
            interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
            while !handle.has_ended() {
                interval.tick().await;
                let renewed = tokio::select! {
                    biased;
                    renewed = shared.store.renew(lease.get()) => renewed,
                    () = shared.store.wait_until_recovered() => continue,
                };
                match renewed {
                    Ok(true) => {}
                    Ok(false) => {
                        handle.send(Input::KeyRemoved);
                        continue;
                    }
                    Err(_) => {
                        shared.count("renewals_failed");
                        continue;
                    }
                }
                let sent_at = clock::mono();
                if sent_at < confirmed.get() + CONFIRM_AFTER {
                    continue;
                }
                match leader_key::holds_key(&shared, lease.get()).await {
                    Some(true) => {
                        confirmed.set(confirmed.get().max(sent_at));
                    }
                    Some(false) => handle.send(Input::KeyRemoved),
                    None => shared.count("confirmations_failed"),
                }
            }
        });
    }
}
