/*!
A tenure: one VM's time as holder of one contract.

A new holder presents its epoch to every target of the contract. Once a
target has seen the epoch, no earlier holder can start anything there, and
what runs there is known. Once *all* targets have seen it the tenure is
*settled*: nothing can start any more under an earlier epoch. Until then,
work that an earlier holder may have started has to wait.

A tenure is *confirmed* if the platform's service holds its epoch. A claim
that was made while the platform was down is not confirmed, so another VM may
have been given the contract; such a holder does nothing before it is
settled, and what would need the platform's word has to wait for it.
*/

use std::collections::BTreeSet;

use crate::ids::{Epoch, Revision, TargetId};

/// The progress of a holder's tenure.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Term {
    /// The epoch that is presented.
    pub epoch: Epoch,
    /// The configuration revision at which the tenure began.
    pub config_revision: Revision,
    /// Whether the platform's service holds the epoch.
    pub confirmed: bool,
    unseen: BTreeSet<TargetId>,
}

impl Term {
    /// A tenure that begins with all of `targets` still to be told.
    pub fn new(
        epoch: Epoch,
        since: Revision,
        confirmed: bool,
        targets: BTreeSet<TargetId>,
    ) -> Term {
        Term { epoch, config_revision: since, confirmed, unseen: targets }
    }

    /// Whether nothing can start under an earlier epoch any more.
    pub fn takeover_complete(&self) -> bool {
        self.unseen.is_empty()
    }

    /// Whether work may be started at all.
    pub fn may_start(&self) -> bool {
        self.confirmed || self.takeover_complete()
    }

    /// The targets that have not seen the epoch yet.
    pub fn pending_targets(&self) -> &BTreeSet<TargetId> {
        &self.unseen
    }

    /// A target has accepted the epoch, or is gone for good. Returns
    /// whether the tenure became settled by it.
    pub fn epoch_accepted(&mut self, target: &TargetId) -> bool {
        self.unseen.remove(target) && self.takeover_complete()
    }
}
