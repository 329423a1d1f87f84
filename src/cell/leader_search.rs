/*!
The order in which a node tries others to find the leader.
*/

use std::net::SocketAddr;

use puffinknot_core::ids::Revision;

use crate::cell::ports::Leader;

/// Chooses the nodes to try while the leader is not found.
#[derive(Debug, Default)]
pub struct LeaderSearch {
    /// The leader that was tried last, by the revision of its key.
    last_leader: Option<Revision>,
    attempts: usize,
}

impl LeaderSearch {
    /// The node to try next. A leader that was not tried yet comes first;
    /// after that the leader alternates with one of `others`, which may know
    /// a newer leader.
    pub fn next(
        &mut self,
        leader: Option<&Leader>,
        others: &[SocketAddr],
    ) -> Option<SocketAddr> {
        self.attempts += 1;
        if let Some(leader) = leader {
            let previous = self.last_leader.replace(leader.revision);
            if previous != Some(leader.revision) || self.attempts % 2 == 1 {
                return Some(leader.address);
            }
        }
        let count = others.len().max(1);
        others.get((self.attempts / 2) % count).copied()
    }
}
