//! The progress that must outlast this VM: which tasks are done, and which
//! tasks that must not be repeated may have been started.
//!
//! An end is acknowledged to the worker, and a task that must not be repeated
//! is started, only after the platform has stored the progress that says so.

use crate::ids::{TargetId, TaskId};
use crate::tasks::message::TaskReport;
use crate::tasks::progress::Progress;

use super::{Phase, Placer};

impl Placer {
    pub(super) fn record_done(&mut self, id: &TargetId, report: &TaskReport) {
        if self.progress.set_done(&report.id, report.spec) {
            self.progress_version += 1;
        }
        let task = report.id.clone();
        if let Some(job) = self.jobs.get_mut(task.job()) {
            if job.spec == report.spec {
                job.waiting.remove(&task.index());
                job.unknown.remove(&task.index());
            }
        }
        self.update_waiting_jobs(task.job());
        if self.progress_version <= self.saved_version {
            self.acknowledge_ended(id, &task);
        } else {
            self.unsaved_ends.push((self.progress_version, id.clone(), task));
        }
    }

    /// The progress to store, with its version for [`Placer::progress_saved`],
    /// if it has changed since the last version that was stored.
    pub fn progress(&self) -> Option<(u64, &Progress)> {
        let changed = self.progress_version > self.saved_version;
        changed.then_some((self.progress_version, &self.progress))
    }

    /// Records that the platform has stored this version of the progress.
    pub fn progress_saved(&mut self, version: u64) {
        self.saved_version = self.saved_version.max(version);
        let saved = self.saved_version;
        let ends = std::mem::take(&mut self.unsaved_ends);
        for (version, worker, task) in ends {
            if version <= saved {
                self.acknowledge_ended(&worker, &task);
            } else {
                self.unsaved_ends.push((version, worker, task));
            }
        }
        let starts = std::mem::take(&mut self.unsaved_starts);
        for (version, task) in starts {
            if version <= saved {
                self.start_recorded(&task);
            } else {
                self.unsaved_starts.push((version, task));
            }
        }
    }

    pub(super) fn start_recorded(&mut self, task: &TaskId) {
        let Some(worker) = self.worker_of_task.get(task) else { return };
        let Some(state) = self.workers.get_mut(worker) else { return };
        let Some(placed) = state.tasks.get_mut(task) else { return };
        if placed.phase == Phase::Unrecorded {
            placed.phase = Phase::Starting;
            state.sync_now = true;
        }
    }

    /// Adds progress that another holder has written. An earlier holder may
    /// have started the tasks that it records as started, so these are not
    /// started again.
    pub fn merge_progress(&mut self, other: &Progress) {
        let jobs = &self.jobs;
        let current = |name: &str| jobs.get(name).map(|job| job.spec);
        self.progress.merge(other, current);
        self.progress_version += 1;
        let mut conflicts = Vec::new();
        for (id, worker) in &self.worker_of_task {
            let placed = &self.workers[worker].tasks[id];
            let started_by_other = other.is_started(id, placed.spec);
            if placed.phase == Phase::Unrecorded && started_by_other {
                conflicts.push((worker.clone(), id.clone()));
            }
        }
        for (worker, id) in conflicts {
            self.remove_placement(&worker, &id);
        }
        let names: Vec<String> = self.jobs.keys().cloned().collect();
        for name in names {
            self.recompute_waiting(&name);
        }
    }
}
