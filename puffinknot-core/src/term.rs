/*!
Contract terms: one VM's time as the holder of one contract.

A new holder presents its epoch to every target of the contract. Once a
target has accepted the epoch, no earlier holder can start anything there,
and the holder knows what runs there. Once *all* targets have accepted it the
takeover is *complete*: nothing can start under an earlier epoch any more.
Until then, work that an earlier holder may have started has to wait.

A term is *confirmed* if the platform's service holds its epoch. A claim that
was made while the platform was down is not confirmed, so another VM may have
been given the contract. Such a holder starts nothing before its takeover is
complete, and whatever needs the platform's confirmation has to wait for it.
*/

use std::collections::BTreeSet;

use crate::ids::{Epoch, Revision, TargetId};

/// The progress of a holder's takeover.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    /// The epoch that is presented to the targets.
    pub epoch: Epoch,
    /// The configuration revision at which the term began.
    pub config_revision: Revision,
    /// Whether the platform's service holds the epoch.
    pub confirmed: bool,
    pending: BTreeSet<TargetId>,
}

impl Term {
    /// Starts a term in which none of `targets` has accepted the epoch yet.
    pub fn new(
        epoch: Epoch,
        config_revision: Revision,
        confirmed: bool,
        targets: BTreeSet<TargetId>,
    ) -> Term {
        Term { epoch, config_revision, confirmed, pending: targets }
    }

    /// Whether nothing can start under an earlier epoch any more.
    pub fn takeover_complete(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether any work may be started.
    pub fn may_start(&self) -> bool {
        self.confirmed || self.takeover_complete()
    }

    /// The targets that have not accepted the epoch yet.
    pub fn pending_targets(&self) -> &BTreeSet<TargetId> {
        &self.pending
    }

    /// Records that a target has accepted the epoch, or is permanently gone.
    /// Returns whether this completed the takeover.
    pub fn epoch_accepted(&mut self, target: &TargetId) -> bool {
        self.pending.remove(target) && self.takeover_complete()
    }
}
