/*!
Offers the leadership to another node: to any that can reach the store while
this one can't, and to a much larger machine at any time.
*/

use std::cmp::Reverse;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::Mechanism;
use tracing::info;

use super::{LeaderTerm, Peer, PeerId};
use crate::cell::link::ToNode;
use crate::cell::ports::Platform;

/// The leadership is offered if the store has not answered for this long.
const OFFER_AFTER: Millis = 550;
/// The leadership is offered if this many calls in a row have failed.
const OFFER_AFTER_FAILURES: u32 = 3;
/// The time until the leadership is offered to the next node.
const OFFER_INTERVAL: Millis = 250;
/// A node with at least this many times the processor time is offered the
/// leadership even if this node could go on leading.
const LARGER_MACHINE_FACTOR: u32 = 2;
/// The time until the next offer to a larger machine.
const LARGER_MACHINE_OFFER_INTERVAL: Millis = 1_000;
/// For how long the store may not have answered a peer that gets an offer.
/// While this node can't reach the store, this is counted from the shortest
/// such silence of any peer.
const MAX_STORE_SILENCE: Millis = 1_500;

impl<P: Platform> LeaderTerm<P> {
    /// Returns whether this node can't reach the store.
    pub(super) fn is_store_unreachable(&self, now: Millis) -> bool {
        let store = &self.shared.store;
        let silent = now > store.last_answered_at() + OFFER_AFTER
            && now > self.confirmed.get() + OFFER_AFTER;
        silent || store.consecutive_failures() >= OFFER_AFTER_FAILURES
    }

    /// Offers the leadership to other nodes in turn. This node goes on leading
    /// until another one does.
    pub(super) fn offer_to_next_peer(&mut self, now: Millis) {
        if now < self.last_offer + OFFER_INTERVAL || self.peers.is_empty() {
            return;
        }
        if !self.shared.is_enabled(Mechanism::OfferedLead) {
            return;
        }
        let Some(leader) = self.shared.leader() else { return };
        let shortest_silence =
            self.peers.values().map(|peer| peer.store_silence).min();
        let shortest_silence = shortest_silence.unwrap_or_default();
        let mut candidates: Vec<(&PeerId, &Peer)> = self
            .peers
            .iter()
            .filter(|(_, peer)| {
                peer.store_silence <= shortest_silence + MAX_STORE_SILENCE
            })
            .collect();
        candidates.sort_unstable_by_key(|(id, peer)| {
            (Reverse(peer.cpu_millis), **id)
        });
        let Some((_, peer)) =
            candidates.get(self.next_candidate % candidates.len())
        else {
            return;
        };
        self.offer(peer, leader.revision);
        self.last_offer = now;
        self.next_candidate += 1;
    }

    /// Offers the leadership to a much larger machine that can reach the
    /// store.
    pub(super) fn offer_to_larger_machine(&mut self, now: Millis) {
        if now < self.last_offer + LARGER_MACHINE_OFFER_INTERVAL {
            return;
        }
        if !self.shared.is_enabled(Mechanism::LargerLeader) {
            return;
        }
        let own = self.shared.settings.borrow().cpu_millis;
        let larger = self.peers.values().filter(|peer| {
            peer.store_silence <= MAX_STORE_SILENCE
                && peer.cpu_millis >= own.saturating_mul(LARGER_MACHINE_FACTOR)
        });
        let Some(peer) = larger.max_by_key(|peer| peer.cpu_millis) else {
            return;
        };
        let Some(leader) = self.shared.leader() else { return };
        self.offer(peer, leader.revision);
        self.last_offer = now;
    }

    pub(super) fn offer(&self, peer: &Peer, revision: Revision) {
        info!(node = peer.node, cpu = peer.cpu_millis, "lead_offered");
        peer.sender.send(&ToNode::Lead(revision));
        self.shared.count("lead_offered");
    }
}
