/*!
Infers how many changes the store returns at most in one answer to a watch.

The store limits the number of changes in an answer and does not say whether
there are more. The limit shows when the store is asked again at once: if an
answer is as large as the largest one before it, both were truncated, and their
size is the limit. Until the limit is known, some of the answers that are as
large as any before are followed by such a probe.
*/

use puffinknot_core::jobs::policy_age::MIN_TRUNCATED_CHANGES;

/// A probe follows one in this many answers of the largest size.
const PROBE_ONE_IN: u32 = 5;

/// The limit on changes per answer, as far as it is known.
#[derive(Debug, Default)]
pub struct WatchLimit {
    /// The size of the largest answer so far.
    largest: usize,
    /// The size of a truncated answer, once it is known.
    limit: Option<usize>,
    /// Answers of the largest size since the last probe.
    since_probe: u32,
    /// Whether the next answer is that to a probe.
    probing: bool,
}

impl WatchLimit {
    /// Records the number of changes in an answer. Returns whether to ask the
    /// store again at once, since there may be more.
    pub fn observe(&mut self, changes: usize) -> bool {
        let probed = std::mem::take(&mut self.probing);
        if changes < MIN_TRUNCATED_CHANGES {
            return false;
        }
        if changes > self.largest {
            // The limit is at least this.
            self.limit = None;
            self.largest = changes;
            return self.start_probe();
        }
        if probed && changes == self.largest {
            self.limit = Some(changes);
        }
        if let Some(limit) = self.limit {
            return changes >= limit;
        }
        if changes < self.largest {
            return false;
        }
        self.since_probe += 1;
        self.since_probe >= PROBE_ONE_IN && self.start_probe()
    }

    fn start_probe(&mut self) -> bool {
        self.since_probe = 0;
        self.probing = true;
        true
    }
}
