/*!
Takes the leader's key again when it is gone although nobody has taken it.
*/

use std::cell::Cell;

use puffinknot_core::ids::Revision;
use tokio::time::sleep;
use tracing::info;

use super::{Input, Tenure, PAUSE};
use crate::cell::follow;
use crate::cell::journal::{head_key, head_value, Journal};
use crate::cell::node::Shared;
use crate::cell::ports::{Leader, Platform, WriteError};
use crate::clock;

impl<P: Platform> Tenure<P> {
    /// The key of the leader is gone although nobody has taken it: takes it
    /// again, if nobody has led in between.
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
                    shared
                        .learn_leader(follow::this_leader(&shared, revision));
                }
                Reclaimed::No => handle.send(Input::Over),
                Reclaimed::Unknown => {
                    sleep(PAUSE).await;
                    if !handle.is_over() {
                        handle.send(Input::KeyGone);
                    }
                }
            }
        });
    }
}

/// Whether the leader's key stands under this lease, if the store says so.
pub(super) async fn holds_key<P: Platform>(
    shared: &Shared<P>,
    lease: u64,
) -> Option<bool> {
    let key = shared.platform.leader_key();
    let item = shared.store.get(key).await.ok()?;
    Some(item.is_some_and(|item| item.lease == lease))
}

/// What came of an attempt to take the leader's key again.
enum Reclaimed {
    Yes(Revision),
    No,
    Unknown,
}

async fn reclaim<P: Platform>(
    shared: &Shared<P>,
    journal: &Journal<P>,
    token: u64,
    lease: &Cell<u64>,
) -> Reclaimed {
    let (platform, store) = (&shared.platform, &shared.store);
    let Ok(item) = store.get(platform.leader_key()).await else {
        return Reclaimed::Unknown;
    };
    if let Some(item) = item {
        // Either it was taken again already, or somebody else leads.
        let ours = item.lease == lease.get();
        let leader = shared.leader();
        let newest = |leader: Leader| leader.revision >= item.revision;
        return if ours && leader.is_some_and(newest) {
            Reclaimed::Yes(item.revision)
        } else {
            Reclaimed::No
        };
    }
    let ttl = shared.settings.borrow().key_lease();
    let Ok(fresh) = store.grant(ttl).await else {
        return Reclaimed::Unknown;
    };
    let head = journal.head();
    let key = head_key(platform.leader_state_prefix());
    let mut transaction =
        follow::claim_transaction(shared, 0, fresh, head_value(token, 0));
    transaction.expect.push((key, head));
    match store.write(&transaction).await {
        Ok(revision) => {
            lease.set(fresh);
            journal.set_head(revision);
            Reclaimed::Yes(revision)
        }
        Err(WriteError::Refused(items)) if items.is_empty() => Reclaimed::No,
        Err(_) => Reclaimed::Unknown,
    }
}
