/*!
Offers the lead to another node: to any that the store serves if it does not
serve this one, and to a much larger machine at any time.
*/

use std::cmp::Reverse;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::Mechanism;
use tracing::info;

use super::{Peer, PeerId, Tenure};
use crate::cell::link::ToNode;
use crate::cell::ports::Platform;

/// If the store has not answered for so long, another node is asked to lead.
const INVITE_AFTER: Millis = 550;
/// The same, if so many calls in a row have failed.
const INVITE_FAILURES: u32 = 3;
/// The time until the next node is asked.
const INVITE_AGAIN: Millis = 250;
/// A node with at least this many times the processor time is offered the
/// lead by one that could lead on.
const MUCH_LARGER: u32 = 2;
/// The time until such an offer is made again.
const MAKE_WAY_AGAIN: Millis = 1_000;
/// Nodes that the store has answered about as lately as any are asked first.
const SERVED: Millis = 1_500;

impl<P: Platform> Tenure<P> {
    /// Whether the store does not serve this node.
    pub(super) fn turned_away(&self, now: Millis) -> bool {
        let store = &self.shared.store;
        let silent = now > store.last_answered_at() + INVITE_AFTER
            && now > self.confirmed.get() + INVITE_AFTER;
        silent || store.consecutive_failures() >= INVITE_FAILURES
    }

    /// Asks another node to lead in this one's place, one after the other.
    /// This one leads on until another does.
    pub(super) fn invite(&mut self, now: Millis) {
        if now < self.invited + INVITE_AGAIN || self.peers.is_empty() {
            return;
        }
        if !self.shared.is_enabled(Mechanism::OfferedLead) {
            return;
        }
        let Some(leader) = self.shared.leader() else { return };
        let least = self.peers.values().map(|peer| peer.store_silent).min();
        let least = least.unwrap_or_default();
        let mut served: Vec<(&PeerId, &Peer)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.store_silent <= least + SERVED)
            .collect();
        served.sort_unstable_by_key(|(id, peer)| {
            (Reverse(peer.cpu_millis), **id)
        });
        let Some((_, peer)) = served.get(self.turn % served.len()) else {
            return;
        };
        self.offer(peer, leader.revision);
        self.invited = now;
        self.turn += 1;
    }

    /// Offers the lead to a much larger machine that the store serves.
    pub(super) fn make_way(&mut self, now: Millis) {
        if now < self.invited + MAKE_WAY_AGAIN {
            return;
        }
        if !self.shared.is_enabled(Mechanism::LargerLeader) {
            return;
        }
        let own = self.shared.settings.borrow().cpu_millis;
        let larger = self.peers.values().filter(|peer| {
            peer.store_silent <= SERVED
                && peer.cpu_millis >= own.saturating_mul(MUCH_LARGER)
        });
        let Some(peer) = larger.max_by_key(|peer| peer.cpu_millis) else {
            return;
        };
        let Some(leader) = self.shared.leader() else { return };
        self.offer(peer, leader.revision);
        self.invited = now;
    }

    pub(super) fn offer(&self, peer: &Peer, revision: Revision) {
        info!(node = peer.node, cpu = peer.cpu_millis, "lead_offered");
        peer.sender.send(&ToNode::Lead(revision));
        self.shared.count("lead_offered");
    }
}
