/*!
Which connections of clients a server keeps, and how much each may buffer.

A server does not control its clients. They may open any number of connections,
send as much as they are allowed to on each of them, and stop just before the
end. So the server limits the connections, and what all of them buffer
together. Each connection has a small allowance of its own, so that ordinary
requests are received beside a crowd of large ones.

At a limit, connections give way from which nothing has come for a while, the
longest silent first: clients that are about to finish are not among them. If
there are none, the newcomer is refused. A request that is alone is received
whatever its size, which has limits of its own. A connection can be pinned, so
that it never gives way: while its request is being answered, since the request
may have been carried out, or once its peer is known.

# Example

```
use puffinknot_core::connections::{
    ConnectionLimits, Connections, Decision,
};

let limits = ConnectionLimits { connections: 1, buffered_bytes: 0 };
let mut connections = Connections::new(limits);
let (first, _) = connections.open(0).expect("there is room");
assert!(connections.open(10).is_none());
let (_, closed) = connections.open(1_000).expect("the first one is silent");
assert_eq!(closed, [first]);
```
*/

use std::collections::{BTreeSet, HashMap};

use crate::ids::Millis;

/// The bytes that each connection may buffer besides the common limit.
pub const ALLOWANCE_BYTES: usize = 16 << 10;
/// A connection is silent if nothing has come from it for this long.
pub const MIN_SILENCE_MS: Millis = 500;

/// The number of a connection, which differs for each connection of a server.
pub type ConnectionId = u64;

/// The limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum number of open connections.
    pub connections: usize,
    /// The bytes that all connections together may buffer beyond
    /// [`ALLOWANCE_BYTES`] of each, if there is more than one that does.
    pub buffered_bytes: usize,
}

impl ConnectionLimits {
    /// The limits of each of several threads that share these limits.
    pub fn per_thread(self, threads: usize) -> ConnectionLimits {
        let threads = threads.max(1);
        ConnectionLimits {
            connections: (self.connections / threads).max(1),
            buffered_bytes: self.buffered_bytes / threads,
        }
    }
}

/// Whether a connection may buffer more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may, once these connections are closed.
    Granted(Vec<ConnectionId>),
    /// It may not: its request must be refused.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// When something last came from the client.
    heard_at: Millis,
    /// What it buffers beyond its allowance.
    excess: usize,
    /// Whether it never gives way.
    pinned: bool,
}

/// The open connections of a server.
#[derive(Debug)]
pub struct Connections {
    limits: ConnectionLimits,
    open: HashMap<ConnectionId, Connection>,
    /// The connections that may give way, the longest silent first.
    receiving: BTreeSet<(Millis, ConnectionId)>,
    /// What all connections buffer beyond their allowances.
    excess: usize,
    last_id: ConnectionId,
}

impl Connections {
    /// Creates the state of a server without connections.
    pub fn new(limits: ConnectionLimits) -> Connections {
        Connections {
            limits,
            open: HashMap::new(),
            receiving: BTreeSet::new(),
            excess: 0,
            last_id: 0,
        }
    }

    /// Adds a connection. Returns its number and the connections to close for
    /// it, or `None` if it has to be refused.
    pub fn open(
        &mut self,
        now: Millis,
    ) -> Option<(ConnectionId, Vec<ConnectionId>)> {
        let mut closed = Vec::new();
        while self.open.len() >= self.limits.connections {
            let silent = self.silent(now).next()?;
            self.close(silent);
            closed.push(silent);
        }
        self.last_id += 1;
        let id = self.last_id;
        let connection =
            Connection { heard_at: now, excess: 0, pinned: false };
        self.open.insert(id, connection);
        self.receiving.insert((now, id));
        Some((id, closed))
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.open.remove(&id) {
            self.receiving.remove(&(connection.heard_at, id));
            self.excess -= connection.excess;
        }
    }

    /// Decides whether a connection may buffer this many bytes in all. It may
    /// always buffer less than before.
    pub fn buffer(
        &mut self,
        id: ConnectionId,
        bytes: usize,
        now: Millis,
    ) -> Decision {
        let Some(connection) = self.open.get(&id).copied() else {
            return Decision::Refused;
        };
        let excess = bytes.saturating_sub(ALLOWANCE_BYTES);
        let others = self.excess - connection.excess;
        let mut to_free =
            (others + excess).saturating_sub(self.limits.buffered_bytes);
        let mut closed = Vec::new();
        if excess > connection.excess {
            let mut left = others;
            for silent in self.silent(now).filter(|other| *other != id) {
                if to_free == 0 || left == 0 {
                    break;
                }
                let freed = self.open[&silent].excess;
                if freed > 0 {
                    closed.push(silent);
                    left -= freed;
                    to_free = to_free.saturating_sub(freed);
                }
            }
            if to_free > 0 && left > 0 {
                return Decision::Refused;
            }
        }
        for silent in &closed {
            self.close(*silent);
        }
        self.excess = self.excess - connection.excess + excess;
        self.update(id, |connection| connection.excess = excess);
        Decision::Granted(closed)
    }

    /// Records that something has come from the client.
    pub fn record_receipt(&mut self, id: ConnectionId, now: Millis) {
        self.update(id, |connection| connection.heard_at = now);
    }

    /// Sets whether the connection never gives way, such as while a request is
    /// being answered.
    pub fn set_pinned(&mut self, id: ConnectionId, pinned: bool, now: Millis) {
        self.update(id, |connection| {
            connection.pinned = pinned;
            connection.heard_at = now;
        });
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// What all connections buffer beyond their allowances, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.excess
    }

    /// The silent connections, the longest silent first.
    fn silent(&self, now: Millis) -> impl Iterator<Item = ConnectionId> + '_ {
        let ordered = self.receiving.iter();
        ordered
            .take_while(move |(heard_at, _)| *heard_at + MIN_SILENCE_MS <= now)
            .map(|(_, id)| *id)
    }

    fn update(
        &mut self,
        id: ConnectionId,
        change: impl FnOnce(&mut Connection),
    ) {
        let Some(connection) = self.open.get_mut(&id) else { return };
        self.receiving.remove(&(connection.heard_at, id));
        change(connection);
        if !connection.pinned {
            self.receiving.insert((connection.heard_at, id));
        }
    }
}
