/*!
The operators' policy: queues with their priorities and objectives, the
services that run them, client accounts, and limits on requests.
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{bounded_millis, Millis};
use crate::jobs::accounts::Account;

/// The cost of advice on a step, and how long its tickets are valid.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// The time per call, in milliseconds.
    pub call_ms: f64,
    /// The additional time per executor in the call, in milliseconds.
    pub each_ms: f64,
    /// How long a ticket is valid, in milliseconds.
    pub valid: Millis,
}

impl AdviceCost {
    /// The time that a call on a number of executors takes.
    pub fn call_time(&self, executors: usize) -> Millis {
        let time = self.call_ms + self.each_ms * executors as f64;
        bounded_millis(time.ceil())
    }
}

/// The policy of one queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host under which jobs are submitted.
    pub host: String,
    /// The path prefix under which jobs are submitted.
    pub prefix: String,
    /// The service whose executors run its tasks.
    pub service: String,
    /// Its priority: zero is the most urgent and may preempt others.
    pub priority: u32,
    /// The number of failures of a task at which its job fails.
    pub max_attempts: u32,
    /// The objective of a job as a multiple of the length of its critical
    /// path.
    pub stretch: f64,
    /// The time that is added to this objective, in milliseconds.
    pub target: Millis,
    /// The time limit for a client's call, in milliseconds.
    pub timeout: Millis,
    /// The cost of advice, if its steps need advice.
    pub advice: Option<AdviceCost>,
    /// Whether anyone may use it without an API key.
    pub open: bool,
}

impl Queue {
    /// Whether requests to the same host and path prefix are for `other`.
    pub fn has_address_of(&self, other: &Queue) -> bool {
        self.host.eq_ignore_ascii_case(&other.host)
            && self.prefix == other.prefix
    }

    /// The longest time that a job with a critical path of this length should
    /// take; both in milliseconds.
    pub fn objective(&self, critical_path: Millis) -> Millis {
        bounded_millis(critical_path as f64 * self.stretch.max(1.0))
            + self.target
    }
}

/// The policy of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its machines are off and cost nothing.
    pub headroom: bool,
}

/// Limits on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The time limit for the head of a request, in milliseconds.
    pub head_timeout: Millis,
    /// How long an idle connection is kept, in milliseconds.
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

/// One version of the operators' whole policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// The version, which only increases.
    pub version: u64,
    /// The queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Limits on what clients send.
    pub limits: IngressLimits,
}

impl Policy {
    /// Whether it includes a service. A policy that lists no services includes
    /// all of them.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.is_empty() || self.services.contains_key(service)
    }
}

/// Finds the queue of a request by its host and the longest matching prefix.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hosts: BTreeMap<String, Vec<(String, String)>>,
}

impl Router {
    /// Creates a router for a policy.
    pub fn new(policy: &Policy) -> Router {
        let mut hosts: BTreeMap<String, Vec<(String, String)>> =
            BTreeMap::new();
        for queue in policy.queues.values() {
            let entry = (queue.prefix.clone(), queue.name.clone());
            let host = queue.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(entry);
        }
        for entries in hosts.values_mut() {
            // The first match is then the longest.
            entries.sort_by_key(|(prefix, _)| usize::MAX - prefix.len());
        }
        Router { hosts }
    }

    /// The queue for a host and a path, and the rest of the path after its
    /// prefix.
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
