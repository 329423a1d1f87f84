/*!
What the machine of a node provides, and which share of it clients may use.

Clients are not under the control of the node. What their requests buffer is
limited so that memory is left for the leader's state, other nodes, executors
and the store.
*/

use puffinknot_core::connections::ConnectionLimits;

/// What clients' requests buffer beyond the allowance of each connection is at
/// most this part of the memory. A body is held several times while it is
/// read, decoded and passed on.
const BUFFER_MEMORY_DIVISOR: usize = 16;
/// What the requests at the ports for readiness checks and metrics buffer
/// beyond their allowances, in bytes.
const MONITORING_BUFFER_BYTES: usize = 64 << 10;

/// The memory that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// The memory, in bytes.
    pub memory_bytes: usize,
}

impl Resources {
    /// The limits of the port for clients.
    pub fn clients(&self) -> ConnectionLimits {
        ConnectionLimits {
            connections: usize::MAX,
            buffered_bytes: self.memory_bytes / BUFFER_MEMORY_DIVISOR,
        }
    }

    /// The limits of the port for readiness checks, and of that for metrics.
    pub fn monitoring(&self) -> ConnectionLimits {
        ConnectionLimits {
            connections: usize::MAX,
            buffered_bytes: MONITORING_BUFFER_BYTES,
        }
    }
}
