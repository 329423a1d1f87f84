/*!
The operators' policy for queues: who serves them, and how urgent they are.
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Millis;
use crate::jobs::accounts::Account;

/// What advice on a step costs, and how long it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// For each call, in milliseconds.
    pub call_ms: f64,
    /// For each executor that is asked about, in milliseconds.
    pub each_ms: f64,
    /// How long a ticket holds, in milliseconds.
    pub valid: Millis,
}

impl AdviceCost {
    /// The time that a call about this many executors takes.
    pub fn call_time(&self, executors: usize) -> Millis {
        (self.call_ms + self.each_ms * executors as f64).ceil() as Millis
    }
}

/// The policy of one queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that jobs are handed in under.
    pub host: String,
    /// The start of the path that jobs are handed in under.
    pub prefix: String,
    /// The service whose executors run its tasks.
    pub service: String,
    /// How urgent it is; zero comes first and may displace others.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// A job should take at most this times its longest chain of work.
    pub stretch: f64,
    /// What is added to that, in milliseconds.
    pub target: Millis,
    /// How long a client's call may take, in milliseconds.
    pub timeout: Millis,
    /// What advice costs, if its steps need advice.
    pub advice: Option<AdviceCost>,
    /// Anyone may call it: no key is asked for.
    pub open: bool,
}

impl Queue {
    /// How long a job with this longest chain of work should take at the
    /// most; both in milliseconds.
    pub fn objective(&self, chain: Millis) -> Millis {
        (chain as f64 * self.stretch.max(1.0)) as Millis + self.target
    }
}

/// The policy of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its machines are off and cost nothing.
    pub headroom: bool,
}

/// Bounds on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The time for the head of a request, in milliseconds.
    pub head_timeout: Millis,
    /// How long an unused connection is kept, in milliseconds.
    pub idle_timeout: Millis,
}

impl Default for IngressLimits {
    fn default() -> IngressLimits {
        IngressLimits {
            body_bytes: 1 << 18,
            head_timeout: 3_000,
            idle_timeout: 15_000,
        }
    }
}

/// All of the operators' policy, in one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The version; only grows.
    pub version: u64,
    /// The queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Bounds on what clients send.
    pub limits: IngressLimits,
}

impl Policy {
    /// Whether it names a service. One that names none leaves them all to its
    /// queues.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains_key(service)
    }
}

/// Finds the queue of a request: by its host and the longest prefix.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hosts: BTreeMap<String, Vec<(String, String)>>,
}

impl Router {
    /// A router for this policy.
    pub fn new(policy: &Policy) -> Router {
        let mut hosts: BTreeMap<String, Vec<(String, String)>> =
            BTreeMap::new();
        for queue in policy.queues.values() {
            let entry = (queue.prefix.clone(), queue.name.clone());
            let host = queue.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(entry);
        }
        for entries in hosts.values_mut() {
            // The longest prefix is found first.
            entries.sort_by_key(|(prefix, _)| usize::MAX - prefix.len());
        }
        Router { hosts }
    }

    /// The queue for a host and a path, and the rest of the path.
    pub fn find<'a, 'b>(
        &'a self,
        host: &str,
        path: &'b str,
    ) -> Option<(&'a str, &'b str)> {
        let host = host.split(':').next().unwrap_or(host);
        let entries = match self.hosts.get(host) {
            Some(entries) => entries,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        entries.iter().find_map(|(prefix, name)| {
            path.strip_prefix(prefix.as_str())
                .map(|rest| (name.as_str(), rest))
        })
    }
}
