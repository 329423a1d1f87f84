/*!
Renews the lease of the leader's key, and sees that the key stands.
*/

use std::time::Duration;

use puffinknot_core::ids::Millis;
use tokio::time::MissedTickBehavior;

use super::{seat, Input, Tenure};
use crate::cell::ports::Platform;
use crate::clock;

/// The lease of the leader is renewed this often within its length.
const RENEWALS: Millis = 5;
/// The leader's key is read if nothing has confirmed it for so long.
const CONFIRM_AFTER: Millis = 350;

impl<P: Platform> Tenure<P> {
    /// Renews the lease for as long as the tenure lasts. That the lease
    /// stands does not show that the key does: if no commit has confirmed
    /// the lead lately, the key is read.
    pub(super) fn spawn_renewals(&self) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let lease = self.lease.clone();
        let confirmed = self.confirmed.clone();
        actix_rt::spawn(async move {
            let ttl = shared.settings.borrow().leader_lease;
            let pause = Duration::from_millis(ttl / RENEWALS);
            let mut turns = tokio::time::interval(pause);
            turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
            while !handle.is_over() {
                turns.tick().await;
                let renewed = tokio::select! {
                    biased;
                    renewed = shared.store.renew(lease.get()) => renewed,
                    () = shared.store.wait_until_recovered() => continue,
                };
                match renewed {
                    Ok(true) => {}
                    Ok(false) => {
                        handle.send(Input::KeyGone);
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
                match seat::holds_key(&shared, lease.get()).await {
                    Some(true) => {
                        confirmed.set(confirmed.get().max(sent_at));
                    }
                    Some(false) => handle.send(Input::KeyGone),
                    None => shared.count("confirmations_failed"),
                }
            }
        });
    }
}
