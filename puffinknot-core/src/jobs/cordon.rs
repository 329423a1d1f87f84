/*!
Data centres that accept no new work.

Operators *cordon* a data centre before repairs: no more tasks are started on
its executors until the cordon is removed. Tasks that run there continue, and
their leases are renewed.

Cordons are not part of the policy, which has versions: each cordon is a key
of the store and holds as long as the key exists. A node knows the set of
these keys as of a revision of the store, so that of two nodes that differ the
one with the higher revision is right, see [`Cordons::since`].
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// The origin of a cordon.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub enum CordonSource {
    /// A key that operators set through the platform.
    Platform,
    /// The command of this product.
    Command,
}

/// A cordon on one data centre.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Cordon {
    /// The data centre.
    pub dc: String,
    /// Its origin.
    pub by: CordonSource,
}

/// The set of all cordons, as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordons {
    since: Revision,
    all: BTreeMap<Cordon, Revision>,
}

impl Cordons {
    /// The revision of the store from which on this set is known to be
    /// current; zero if nothing is known. It is never earlier than the last
    /// change of the set, so that of two nodes the one with the higher
    /// revision has seen all that the other has.
    pub fn since(&self) -> Revision {
        self.since
    }

    /// Whether a data centre is cordoned.
    pub fn covers(&self, dc: &str) -> bool {
        self.all.keys().any(|cordon| cordon.dc == dc)
    }

    /// Whether no data centre is cordoned.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// All cordons, with the revisions at which they were last written.
    pub fn iter(&self) -> impl Iterator<Item = (&Cordon, Revision)> {
        self.all.iter().map(|(cordon, revision)| (cordon, *revision))
    }

    /// The set that results from reading all cordons at a revision.
    pub fn read(
        &self,
        all: BTreeMap<Cordon, Revision>,
        at: Revision,
    ) -> Cordons {
        if self.since > 0 && self.all == all {
            return self.clone();
        }
        // Later pages of a range read may be newer than its first page.
        let newest = all.values().copied().max().unwrap_or_default();
        Cordons { since: at.max(newest), all }
    }

    /// Adds a cordon that was written at a revision.
    pub fn with(mut self, cordon: Cordon, at: Revision) -> Cordons {
        self.since = self.since.max(at);
        self.all.insert(cordon, at);
        self
    }

    /// Removes a cordon that was found missing at a revision.
    pub fn less(mut self, cordon: &Cordon, at: Revision) -> Cordons {
        if self.all.remove(cordon).is_some() {
            self.since = self.since.max(at);
        }
        self
    }
}
