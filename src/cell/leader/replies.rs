/*!
Answers the requests of this node's clients and of other nodes.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Outcome, Request, RequestId};

use super::{leader_key, Input, LeaderTerm, Origin};
use crate::cell::link::ToNode;
use crate::cell::ports::Platform;
use crate::clock;

/// When a client should retry a request whose answer can't be confirmed now.
pub(super) const RETRY_AFTER: Millis = 1_000;

impl<P: Platform> LeaderTerm<P> {
    /// Returns whether a request reads state that may be outdated, since
    /// another node may lead, or since its queue may have been removed.
    pub(super) fn is_unconfirmed_read(&self, request: &Request) -> bool {
        let lease = self.shared.settings.borrow().leader_lease;
        let read =
            matches!(request, Request::State { .. } | Request::Pending { .. });
        let unconfirmed = clock::mono() > self.confirmed.get() + lease;
        read && (unconfirmed || !self.shared.is_policy_current())
    }

    /// Answers a request. [`Outcome::NoSuchJob`] is sent only after the store
    /// has confirmed that no other node leads: a successor may have accepted
    /// the job. What the policy rules out is refused for good only if the
    /// policy is current.
    pub(super) fn answer(&mut self, id: RequestId, outcome: Outcome) {
        if outcome.depends_on_policy() && !self.shared.is_policy_current() {
            self.shared.count("refused_policy_outdated");
            return self.reply(id, Outcome::Refused(RETRY_AFTER));
        }
        if outcome != Outcome::NoSuchJob {
            return self.reply(id, outcome);
        }
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let lease = self.lease.clone();
        actix_rt::spawn(async move {
            let leads = leader_key::holds_key(&shared, lease.get()).await;
            handle.send(Input::LeadershipChecked(id, leads));
        });
    }

    /// Answers a request about an unknown job. `leads` tells whether this node
    /// still led after the request came, if the store answered.
    pub(super) fn answer_unknown_job(
        &mut self,
        id: RequestId,
        leads: Option<bool>,
    ) {
        match leads {
            Some(true) => self.reply(id, Outcome::NoSuchJob),
            Some(false) => {
                self.shared.count("asked_again_superseded");
                self.reply(id, Outcome::Unknown);
                self.reclaim();
            }
            None => {
                self.shared.count("refused_unconfirmed");
                self.reply(id, Outcome::Refused(RETRY_AFTER));
            }
        }
    }

    /// Sends an answer to where the request came from.
    pub(super) fn reply(&mut self, id: RequestId, outcome: Outcome) {
        match self.origins.remove(&id) {
            Some(Origin::Local(reply)) => {
                let _ = reply.send(outcome);
            }
            Some(Origin::Peer(peer, id)) => {
                if let Some(peer) = self.peers.get(&peer) {
                    peer.sender.send(&ToNode::Reply(id, outcome));
                }
            }
            None => {}
        }
    }

    /// Answers all open requests with [`Outcome::Unknown`].
    pub(super) fn fail_open_requests(&mut self) {
        let open: Vec<RequestId> = self.origins.keys().copied().collect();
        for id in open {
            self.reply(id, Outcome::Unknown);
        }
    }
}
