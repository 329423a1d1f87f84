//! The tasks of the data centre, while this VM holds that contract.

use std::collections::BTreeSet;

use crate::contract::Scope;
use crate::ids::{Epoch, TargetId};
use crate::store::{Key, Value, Write, WriteResult};
use crate::tasks::{Progress, SyncReply};

use super::{Action, Node, Now, TargetError};

/// A write of the progress that has not ended yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ProgressWrite {
    number: u64,
    value: Progress,
}

impl Node {
    pub(super) fn tend_work(&mut self, now: Now) {
        if self.claims.frozen(Scope::Tasks) {
            return;
        }
        let confirmed = self.claims.confirmed_at();
        let Some(work) = &mut self.work else { return };
        if let Some(at) = confirmed.filter(|_| work.tenure.confirmed) {
            work.confirm(at);
        }
        for (target, request) in work.step(now.mono) {
            self.out.push(Action::Sync { target, request });
        }
        self.write_progress(now);
    }

    fn write_progress(&mut self, now: Now) {
        let answers =
            self.platform_is_reachable(now) && !self.claims.resting(now);
        let Some(work) = &self.work else { return };
        if self.progress_write.is_some() || !answers {
            return;
        }
        if !work.tenure.confirmed {
            return;
        }
        let Some((number, progress)) = work.progress() else { return };
        let value = progress.clone();
        let write = ProgressWrite { number, value: value.clone() };
        self.progress_write = Some(write);
        self.out.push(Action::Write(Write {
            key: Key::Progress(self.config.dc.clone()),
            value: Value::Progress(value),
            expect: self.view.progress.revision,
            expect_config: None,
        }));
    }

    pub(super) fn progress_written(&mut self, result: WriteResult) {
        let Some(write) = self.progress_write.take() else { return };
        let WriteResult::Won(revision) = result else { return };
        if revision > self.view.progress.revision {
            self.view.progress.revision = revision;
            self.view.progress.value = write.value;
        }
        if let Some(work) = &mut self.work {
            work.progress_kept(write.number);
        }
    }

    /// The platform holds a newer progress than was known.
    pub(super) fn progress_changed(&mut self, now: Now) {
        let Some(work) = &mut self.work else { return };
        let value = &self.view.progress.value;
        match &self.progress_write {
            Some(write) if write.value == *value => {
                work.progress_kept(write.number);
            }
            _ => work.merge_progress(value),
        }
        self.tend_work(now);
    }

    /// The contract names these workers now.
    pub(super) fn update_workers(
        &mut self,
        now: Now,
        targets: &BTreeSet<TargetId>,
    ) {
        let Some(work) = &mut self.work else { return };
        let known: BTreeSet<TargetId> = work.worker_ids().cloned().collect();
        for target in targets.difference(&known) {
            work.add_worker(now.mono, target);
        }
        for target in known.difference(targets) {
            work.remove_worker(target);
        }
        for target in targets {
            let leaving = self.view.is_leaving(target);
            work.set_leaving(target, leaving);
        }
    }

    pub(super) fn on_synced(
        &mut self,
        now: Now,
        target: TargetId,
        epoch: Epoch,
        seq: u64,
        result: Result<SyncReply, TargetError>,
    ) {
        let Some(work) = &mut self.work else { return };
        if *work.epoch() != epoch {
            return;
        }
        match result {
            Ok(reply) => {
                if reply.info.leaving {
                    self.view.leaving.insert(target.clone());
                }
                work.reply(now.mono, &target, reply);
            }
            Err(TargetError::Unreachable) => work.failed(&target, seq),
            Err(TargetError::Stale(highest)) => {
                work.failed(&target, seq);
                self.superseded(now, Scope::Tasks, &highest);
            }
        }
        self.tend_work(now);
    }
}
