/*!
The queues of the policy, and which of them a job belongs to.

Clients know the host and the path under which they have submitted a job, but
not the name of its queue, which operators may change. A job therefore belongs
to the queue that now has the address of its submission, whatever its name. If
no queue has that address any more, the job belongs to the queue of the same
name, which operators have moved to another address. If there is none either,
the queue was removed, and the job is completed by the queue's last policy.

Nodes send the names of queues. If a name has stood for another address in an
older version of the policy, a request by that version is not understood, and
the node that received it routes it again by the newer version.
*/

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::jobs::policy::{Policy, Queue};

/// The queues of the newest policy.
#[derive(Clone, Debug, Default)]
pub(super) struct Queues {
    by_name: BTreeMap<String, NamedQueue>,
    /// The queues by host and path prefix.
    by_address: BTreeMap<String, BTreeMap<String, Arc<Queue>>>,
}

/// A queue, and for how long its name has stood for its address.
#[derive(Clone, Debug)]
struct NamedQueue {
    queue: Arc<Queue>,
    /// The first version of the policy in which the name had this address;
    /// zero if it had it in the first version that is known.
    since: u64,
}

impl Queues {
    /// The queues of the policy that follows the one of `self`.
    pub fn updated(&self, policy: &Policy) -> Queues {
        let mut updated = Queues::default();
        for (name, queue) in &policy.queues {
            let since = match self.by_name.get(name) {
                Some(known) if known.queue.has_address_of(queue) => {
                    known.since
                }
                None if self.by_name.is_empty() => 0,
                _ => policy.version,
            };
            let queue = Arc::new(queue.clone());
            let host = queue.host.to_ascii_lowercase();
            let at_host = updated.by_address.entry(host).or_default();
            // Requests are routed to the first of several names.
            let at_prefix = at_host.entry(queue.prefix.clone());
            at_prefix.or_insert_with(|| queue.clone());
            let named = NamedQueue { queue, since };
            updated.by_name.insert(name.clone(), named);
        }
        updated
    }

    /// The queue with a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Queue>> {
        self.by_name.get(name).map(|named| &named.queue)
    }

    /// All queues, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Queue>> + Clone {
        self.by_name.values().map(|named| &named.queue)
    }

    /// Whether a name stands for the same queue as in an older version of the
    /// policy, as far as is known.
    pub fn is_unchanged_since(&self, name: &str, version: u64) -> bool {
        self.by_name.get(name).is_some_and(|named| named.since <= version)
    }

    /// The queue that a job belongs to now. `former` is the queue that it
    /// belonged to, with the address of its submission, which the returned
    /// queue has as well. `None` if the queue was removed.
    pub fn successor_of(&self, former: &Queue) -> Option<Arc<Queue>> {
        let host = former.host.to_ascii_lowercase();
        let at_host = self.by_address.get(&host);
        let at_address = at_host.and_then(|h| h.get(&former.prefix));
        if let Some(queue) = at_address {
            return Some(queue.clone());
        }
        let moved = self.get(&former.name)?;
        Some(Arc::new(Queue {
            host: former.host.clone(),
            prefix: former.prefix.clone(),
            ..(**moved).clone()
        }))
    }
}
