/*!
In which order a node tries others on its way to the leader.
*/

use std::net::SocketAddr;

use puffinknot_core::ids::Revision;

use crate::cell::ports::Leader;

/// Which nodes were tried.
#[derive(Debug, Default)]
pub struct LeaderSearch {
    /// The leader that was tried last.
    tried: Option<Revision>,
    turn: usize,
}

impl LeaderSearch {
    /// The node to be tried next: a leader that was not tried yet; else by
    /// turns the leader and one of the `others`, who may know a newer one.
    pub fn next(
        &mut self,
        leader: Option<&Leader>,
        others: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.turn += 1;
        if let Some(leader) = leader {
            let tried = self.tried.replace(leader.revision);
            if tried != Some(leader.revision) || self.turn % 2 == 1 {
                return Some(leader.address);
            }
        }
        let count = others.len().max(1);
        others.get((self.turn / 2) % count).copied()
    }
}
