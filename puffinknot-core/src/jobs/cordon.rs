/*!
Data centres that take no new work.

Operators empty a data centre before repairs: nothing more is started on its
executors until they take that back. What runs there runs on, and its leases
are extended; only starts go elsewhere. A data centre that is emptied so is
*cordoned*.

That is not a part of the policy, which has versions: each cordon is a key of
the store, by which it stands or falls. What a node knows is the set of these
keys as of a revision of the store, so that of two nodes that differ the one
with the higher revision is right, see [`Cordons::since`].
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// Who wants a data centre to take no new work.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum CordonSource {
    /// The operators, by a key of the platform's.
    Platform,
    /// The operators, by the product's own command.
    Command,
}

/// Which data centre takes no new work, by whom.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Cordon {
    /// The data centre.
    pub dc: String,
    /// Who wants that.
    pub by: CordonSource,
}

/// All cordons as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons {
    since: Revision,
    all: BTreeMap<Cordon, Revision>,
}

impl Cordons {
    /// From which revision of the store on this is known to hold; zero if
    /// nothing is known. Never earlier than the last change of the set, so
    /// that whoever names the higher revision has seen all that the other
    /// has.
    pub fn since(&self) -> Revision {
        self.since
    }

    /// Whether a data centre takes no new work.
    pub fn covers(&self, dc: &str) -> bool {
        self.all.keys().any(|cordon| cordon.dc == dc)
    }

    /// Whether no data centre is cordoned.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All cordons, and the revisions at which they were written last.
    pub fn iter(&self) -> impl Iterator<Item = (&Cordon, Revision)> {
        self.all.iter().map(|(cordon, revision)| (cordon, *revision))
    }

    /// All of them as they were read together at this revision.
    pub fn read(
        &self,
        all: BTreeMap<Cordon, Revision>,
        at: Revision,
    ) -> Cordons {
        if self.since > 0 && self.all == all {
            return self.clone();
        }
        // Pages of a range may be newer than its first one.
        let newest = all.values().copied().max().unwrap_or_default();
        Cordons { since: at.max(newest), all }
    }

    /// The same with one more, which was written at this revision.
    pub fn with(mut self, cordon: Cordon, written: Revision) -> Cordons {
        self.since = self.since.max(written);
        self.all.insert(cordon, written);
        self
    }

    /// The same with one less, which was found gone at this revision.
    pub fn less(mut self, cordon: &Cordon, at: Revision) -> Cordons {
        if self.all.remove(cordon).is_some() {
            self.since = self.since.max(at);
        }
        self
    }
}
