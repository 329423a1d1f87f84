/*!
Answers requests of this node's clients and of other nodes.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{Outcome, Request, RequestId};

use super::{leader_key, Input, LeaderTerm, Origin};
use crate::cell::link::ToNode;
use crate::cell::ports::Platform;
use crate::clock;

/// When a client is to come back that asks what is not sure now.
pub(super) const COME_BACK: Millis = 1_000;

impl<P: Platform> LeaderTerm<P> {
    /// Whether the answer might be wrong, since somebody else may lead.
    pub(super) fn unsure(&self, request: &Request) -> bool {
        let lease = self.shared.settings.borrow().leader_lease;
        let read =
            matches!(request, Request::State { .. } | Request::Pending { .. });
        read && clock::mono() > self.confirmed.get() + lease
    }

    /// Answers a request. That there is no such job is said only once the
    /// store has confirmed that nobody else leads: a successor may have
    /// accepted it.
    pub(super) fn answer(&mut self, id: RequestId, outcome: Outcome) {
        if outcome != Outcome::NoSuchJob {
            return self.reply(id, outcome);
        }
        let shared = self.shared.clone();
        let handle = self.handle.clone();
        let lease = self.lease.clone();
        actix_rt::spawn(async move {
            let leads = leader_key::holds_key(&shared, lease.get()).await;
            handle.send(Input::Confirmed(id, leads));
        });
    }

    /// Answers a request about a job that this node does not know.
    pub(super) fn deny(&mut self, id: RequestId, leads: Option<bool>) {
        match leads {
            Some(true) => self.reply(id, Outcome::NoSuchJob),
            Some(false) => {
                self.shared.count("asked_again_superseded");
                self.reply(id, Outcome::Unknown);
                self.reclaim();
            }
            None => {
                self.shared.count("refused_unconfirmed");
                self.reply(id, Outcome::Refused(COME_BACK));
            }
        }
    }

    pub(super) fn reply(&mut self, id: RequestId, outcome: Outcome) {
        match self.origins.remove(&id) {
            Some(Origin::Here(reply)) => {
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

    pub(super) fn give_up_requests(&mut self) {
        let open: Vec<RequestId> = self.origins.keys().copied().collect();
        for id in open {
            self.reply(id, Outcome::Unknown);
        }
    }
}
