//! The tasks of the data centre, if this VM holds their contract.

use std::collections::BTreeSet;

use crate::contract::Scope;
use crate::ids::{Epoch, TargetId};
use crate::store::{Key, Value, Write, WriteResult};
use crate::tasks::{Progress, SyncReply};

use super::{Action, Node, Now, TargetError};

/// A pending write of the task progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ProgressWrite {
    number: u64,
    value: Progress,
}

impl Node {
    pub(super) fn update_placer(&mut self, now: Now) {
        if self.claims.is_handing_over(Scope::Tasks) {
            return;
        }
        let confirmed = self.claims.confirmed_at();
        let Some(placer) = &mut self.placer else { return };
        if let Some(at) = confirmed.filter(|_| placer.term.confirmed) {
            placer.confirm_contract(at);
        }
        for (target, request) in placer.step(now.mono) {
            self.actions.push(Action::Sync { target, request });
        }
        self.write_progress(now);
    }

    fn write_progress(&mut self, now: Now) {
        let answers = self.platform_is_reachable(now)
            && !self.claims.is_backing_off(now);
        let Some(placer) = &self.placer else { return };
        if self.progress_write.is_some() || !answers {
            return;
        }
        if !placer.term.confirmed {
            return;
        }
        let Some((number, progress)) = placer.progress() else { return };
        let value = progress.clone();
        let write = ProgressWrite { number, value: value.clone() };
        self.progress_write = Some(write);
        self.actions.push(Action::Write(Write {
            key: Key::Progress(self.config.dc.clone()),
            value: Value::Progress(value),
            expected_revision: self.view.progress.revision,
            expected_config_revision: None,
        }));
    }

    pub(super) fn progress_written(&mut self, result: WriteResult) {
        let Some(write) = self.progress_write.take() else { return };
        let WriteResult::Written(revision) = result else { return };
        if revision > self.view.progress.revision {
            self.view.progress.revision = revision;
            self.view.progress.value = write.value;
        }
        if let Some(placer) = &mut self.placer {
            placer.progress_saved(write.number);
        }
    }

    /// Applies task progress from the platform that is newer than was known.
    pub(super) fn progress_changed(&mut self, now: Now) {
        let Some(placer) = &mut self.placer else { return };
        let value = &self.view.progress.value;
        match &self.progress_write {
            Some(write) if write.value == *value => {
                placer.progress_saved(write.number);
            }
            _ => placer.merge_progress(value),
        }
        self.update_placer(now);
    }

    /// Applies the current workers of the contract.
    pub(super) fn update_workers(
        &mut self,
        now: Now,
        targets: &BTreeSet<TargetId>,
    ) {
        let Some(placer) = &mut self.placer else { return };
        let known: BTreeSet<TargetId> = placer.worker_ids().cloned().collect();
        for target in targets.difference(&known) {
            placer.add_worker(now.mono, target);
        }
        for target in known.difference(targets) {
            placer.remove_worker(target);
        }
        for target in targets {
            let leaving = self.view.is_leaving(target);
            placer.set_departing(target, leaving);
        }
    }

    pub(super) fn on_sync_ended(
        &mut self,
        now: Now,
        target: TargetId,
        epoch: Epoch,
        seq: u64,
        result: Result<SyncReply, TargetError>,
    ) {
        let Some(placer) = &mut self.placer else { return };
        if *placer.epoch() != epoch {
            return;
        }
        match result {
            Ok(reply) => {
                if reply.info.leaving {
                    self.view.leaving.insert(target.clone());
                }
                placer.sync_replied(now.mono, &target, reply);
            }
            Err(TargetError::Unreachable) => placer.sync_failed(&target, seq),
            Err(TargetError::Stale(highest)) => {
                placer.sync_failed(&target, seq);
                self.superseded(now, Scope::Tasks, &highest);
            }
        }
        self.update_placer(now);
    }
}
