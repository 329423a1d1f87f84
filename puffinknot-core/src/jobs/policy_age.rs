/*!
How old a node's knowledge of the policy is.

A node learns of a new version from the store or from the leader. If neither
reaches it, it hears of none, which looks the same to it as if there were none.
So it keeps track of the last time at which its version is known to have been
the newest. What it decides by the policy later is only as good as the time
that has passed since.

Times are of the node's own monotonic clock, and on the safe side: an answer
shows what the store held when the call was made, not when the answer came. A
node that was suspended therefore finds its knowledge old when it goes on.
*/

use crate::ids::Millis;

/// The shortest time within which a policy can be required to be in effect, in
/// milliseconds. Calls to the store take about half as long to fail.
const MIN_BOUND: Millis = 1_000;

/// The newest policy version that is known to exist, and when it was the
/// newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PolicyAge {
    newest: u64,
    known_at: Option<Millis>,
}

impl PolicyAge {
    /// Records that `version` exists, and that none above it did at the time
    /// `at`, in milliseconds.
    pub fn observe(&mut self, version: u64, at: Millis) {
        self.newest = self.newest.max(version);
        self.known_at = self.known_at.max(Some(at));
    }

    /// Returns the last time at which it was known which version was the
    /// newest, in milliseconds.
    pub fn known_at(&self) -> Option<Millis> {
        self.known_at
    }

    /// Returns for how many milliseconds before `now` it has been unknown
    /// whether there is a newer version than `version`. `None` if that was
    /// never known, or if there is one.
    pub fn of(&self, version: u64, now: Millis) -> Option<Millis> {
        let at = self.known_at.filter(|_| self.newest <= version)?;
        Some(now.saturating_sub(at))
    }
}

/// The time limits by which nodes follow the policy. All are parts of the time
/// within which a version that the store has confirmed must be in effect on
/// every node, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyLimits {
    bound: Millis,
}

impl PolicyLimits {
    /// Returns the limits for a version that must be in effect everywhere
    /// `bound` milliseconds after the store has confirmed it. A bound of less
    /// than a second counts as one second.
    pub fn new(bound: Millis) -> PolicyLimits {
        PolicyLimits { bound: bound.max(MIN_BOUND) }
    }

    /// The age up to which a policy counts as current.
    pub fn max_age(self) -> Millis {
        self.bound
    }

    /// The age at which a node gives up a pending watch and asks the store
    /// anew. Leaves time for one call that is not answered.
    pub fn recheck_age(self) -> Millis {
        self.bound / 4 * 3
    }

    /// The age up to which a leader confirms its policy to other nodes. Leaves
    /// time for a heartbeat before they recheck.
    pub fn max_confirmed_age(self) -> Millis {
        self.bound / 2
    }

    /// How long a watch of the leader waits for changes.
    pub fn leader_watch(self) -> Millis {
        self.bound / 4
    }
}

/// No store leaves changes out of an answer with fewer changes than this.
pub const MIN_TRUNCATED_CHANGES: usize = 5;

/// Returns the last time for which the answer to a watch shows that it holds
/// all changes, in milliseconds. `None` if the store may have left some out.
///
/// The watch was sent at `sent_at` and was to wait for `wait` milliseconds; the
/// answer arrived at `answered_at` and holds this number of changes.
pub fn watched_until(
    sent_at: Millis,
    wait: Millis,
    answered_at: Millis,
    changes: usize,
) -> Option<Millis> {
    if changes >= MIN_TRUNCATED_CHANGES {
        return None;
    }
    let waited = sent_at + wait;
    // The store answers without changes once it has waited. An earlier answer
    // does not tell when the store gave it.
    if changes == 0 && answered_at >= waited {
        Some(waited)
    } else {
        Some(sent_at)
    }
}
