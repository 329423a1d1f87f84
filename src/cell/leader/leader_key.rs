/*!
Rewrites the leader's key when it is gone although no other node leads.
*/

use std::cell::Cell;

use puffinknot_core::ids::Revision;
use tokio::time::sleep;
use tracing::info;

use super::{Input, LeaderTerm, RETRY_PAUSE};
use crate::cell::journal::{head_key, head_value, Journal};
use crate::cell::node::NodeState;
use crate::cell::ports::{Leader, Platform, WriteError};
use crate::cell::store_watch;
use crate::clock;

impl<P: Platform> LeaderTerm<P> {
    /// Writes the leader's key again after it was removed, if no other node
    /// has led in between.
    pub(super) fn reclaim(&self) {
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let journal = self.journal.clone();
        let lease = self.lease.clone();
        let confirmed = self.confirmed.clone();
        let token = self.token;
        actix_rt::spawn(async move {
            let sent_at = clock::mono();
            match reclaim(&shared, &journal, token, &lease).await {
                Reclaimed::Yes(revision) => {
                    confirmed.set(sent_at);
                    info!(token, revision, "lead_reclaimed");
                    shared.learn_leader(store_watch::own_leader_entry(
                        &shared, revision,
                    ));
                }
                Reclaimed::No => handle.send(Input::End),
                Reclaimed::Unknown => {
                    sleep(RETRY_PAUSE).await;
                    if !handle.has_ended() {
                        handle.send(Input::KeyRemoved);
                    }
                }
            }
        });
    }
}

/// Returns whether the leader's key exists under this lease, or `None` if the
/// store does not answer.
pub(super) async fn holds_key<P: Platform>(
    shared: &NodeState<P>,
    lease: u64,
) -> Option<bool> {
    let key = shared.platform.leader_key();
    let item = shared.store.get(key).await.ok()?;
    Some(item.is_some_and(|item| item.lease == lease))
}

/// The result of an attempt to write the leader's key again.
enum Reclaimed {
    Yes(Revision),
    No,
    Unknown,
}

async fn reclaim<P: Platform>(
    shared: &NodeState<P>,
    journal: &Journal<P>,
    token: u64,
    lease: &Cell<u64>,
) -> Reclaimed {
    let (platform, store) = (&shared.platform, &shared.store);
    let Ok(item) = store.get(platform.leader_key()).await else {
        return Reclaimed::Unknown;
    };
    if let Some(item) = item {
        // Either this node has written it again already, or another one leads.
        let is_own = item.lease == lease.get();
        let leader = shared.leader();
        let is_newest = |leader: Leader| leader.revision >= item.revision;
        return if is_own && leader.is_some_and(is_newest) {
            Reclaimed::Yes(item.revision)
        } else {
            Reclaimed::No
        };
    }
    let ttl = shared.settings.borrow().leader_key_ttl();
    let Ok(new_lease) = store.grant(ttl).await else {
        return Reclaimed::Unknown;
    };
    let head = journal.head();
    let key = head_key(platform.leader_state_prefix());
    let mut transaction = store_watch::claim_transaction(
        shared,
        0,
        new_lease,
        head_value(token, 0),
    );
    transaction.expect.push((key, head));
    match store.write(&transaction).await {
        Ok(revision) => {
            lease.set(new_lease);
            journal.set_head(revision);
            Reclaimed::Yes(revision)
        }
        Err(WriteError::Refused(items)) if items.is_empty() => Reclaimed::No,
        Err(_) => Reclaimed::Unknown,
    }
}
