/*!
What a process may use, and which share of it clients may use.

Clients are not under the control of the process. Their connections, and what
these buffer, are limited so that memory and descriptors are left for its own
state, its peers, executors and the store.
*/

use puffinknot_core::connections::{ConnectionLimits, ALLOWANCE_BYTES};

/// What the kernel buffers for a connection, about, in bytes.
const KERNEL_BYTES: usize = 16 << 10;
/// Descriptors that are left to files, timers and the like.
const RESERVED_DESCRIPTORS: usize = 200;
/// The connections of clients take at most this part of the memory.
const CONNECTIONS_MEMORY_DIVISOR: usize = 4;
/// What clients' requests buffer beyond the allowance of each connection is at
/// most this part of the memory. A body is held several times while it is
/// read, decoded and passed on.
const BUFFER_MEMORY_DIVISOR: usize = 16;
/// The texts of live jobs beyond the allowance of each job are at most this
/// part of the memory. A leader holds them several times.
const TEXT_MEMORY_DIVISOR: usize = 16;
/// The tasks and steps of live jobs, without their runs, take at most this
/// part of the memory of the leader.
const TASKS_MEMORY_DIVISOR: usize = 8;
/// What a leader holds for a waiting task, about, in bytes.
const TASK_BYTES: usize = 16;
/// The runs in progress take at most this part of the memory of the leader.
const RUNS_MEMORY_DIVISOR: usize = 8;
/// What a leader holds for a run in progress, about, in bytes.
const RUN_BYTES: usize = 512;
/// The open orders of the leader take at most this part of its memory.
const ORDERS_MEMORY_DIVISOR: usize = 16;
/// What an open order takes, about, in bytes: its call, and the buffers of a
/// connection.
const ORDER_BYTES: usize = 16 << 10;
/// The connections of clients take at most this part of the descriptors.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 2;
/// The connections of peers take at most this part of the descriptors.
const PEER_DESCRIPTORS_DIVISOR: usize = 3;
/// The connections to a port for monitoring.
const MONITORING_CONNECTIONS: usize = 32;
/// What the requests at such a port buffer beyond their allowances, in bytes.
const MONITORING_BUFFER_BYTES: usize = 64 << 10;

/// The memory and the descriptors that a process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// The memory, in bytes.
    pub memory_bytes: usize,
    /// The number of open descriptors.
    pub descriptors: usize,
}

impl Resources {
    /// The limits of the port for clients or callers.
    pub fn clients(&self) -> ConnectionLimits {
        let by_memory = self.memory_bytes
            / CONNECTIONS_MEMORY_DIVISOR
            / (ALLOWANCE_BYTES + KERNEL_BYTES);
        let by_descriptors =
            self.available_descriptors() / CLIENT_DESCRIPTORS_DIVISOR;
        ConnectionLimits {
            connections: by_memory.min(by_descriptors).max(1),
            buffered_bytes: self.memory_bytes / BUFFER_MEMORY_DIVISOR,
        }
    }

    /// The limits of the ports for readiness checks, for metrics and for
    /// operators, each.
    pub fn monitoring(&self) -> ConnectionLimits {
        ConnectionLimits {
            connections: MONITORING_CONNECTIONS,
            buffered_bytes: MONITORING_BUFFER_BYTES,
        }
    }

    /// The limits of the port for other nodes or entry VMs.
    pub fn peers(&self) -> ConnectionLimits {
        let connections =
            self.available_descriptors() / PEER_DESCRIPTORS_DIVISOR;
        ConnectionLimits { connections: connections.max(1), buffered_bytes: 0 }
    }

    /// The bytes that the texts of live jobs may take at the leader, see
    /// [`SchedulerConfig::large_text_bytes`].
    ///
    /// [`SchedulerConfig::large_text_bytes`]:
    /// puffinknot_core::jobs::SchedulerConfig::large_text_bytes
    pub fn large_text_bytes(&self) -> usize {
        self.memory_bytes / TEXT_MEMORY_DIVISOR
    }

    /// The maximum number of waiting tasks at the leader, see
    /// [`SchedulerConfig::max_waiting_tasks`].
    ///
    /// [`SchedulerConfig::max_waiting_tasks`]:
    /// puffinknot_core::jobs::SchedulerConfig::max_waiting_tasks
    pub fn max_waiting_tasks(&self) -> usize {
        self.memory_bytes / TASKS_MEMORY_DIVISOR / TASK_BYTES
    }

    /// The maximum number of runs in progress, see
    /// [`SchedulerConfig::max_runs`].
    ///
    /// [`SchedulerConfig::max_runs`]:
    /// puffinknot_core::jobs::SchedulerConfig::max_runs
    pub fn max_runs(&self) -> usize {
        self.memory_bytes / RUNS_MEMORY_DIVISOR / RUN_BYTES
    }

    /// The maximum number of open orders of the leader, see [`OrderQueue`].
    ///
    /// [`OrderQueue`]: crate::cell::order_queue::OrderQueue
    pub fn max_open_orders(&self) -> usize {
        self.memory_bytes / ORDERS_MEMORY_DIVISOR / ORDER_BYTES
    }

    fn available_descriptors(&self) -> usize {
        self.descriptors.saturating_sub(RESERVED_DESCRIPTORS)
    }
}
