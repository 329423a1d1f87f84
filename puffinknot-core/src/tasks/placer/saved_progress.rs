//! What must outlast this VM: which tasks are done, and which of those that
//! must not be repeated may have been started.

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

    /// The progress to write, with a number for [`Placer::progress_kept`],
    /// if there is anything new.
    pub fn progress(&self) -> Option<(u64, &Progress)> {
        let new = self.progress_version > self.saved_version;
        new.then_some((self.progress_version, &self.progress))
    }

    /// The progress with this number is kept by the platform.
    pub fn progress_saved(&mut self, number: u64) {
        self.saved_version = self.saved_version.max(number);
        let kept = self.saved_version;
        let unkept = std::mem::take(&mut self.unsaved_ends);
        for (number, worker, task) in unkept {
            if number <= kept {
                self.acknowledge_ended(&worker, &task);
            } else {
                self.unsaved_ends.push((number, worker, task));
            }
        }
        let intended = std::mem::take(&mut self.unsaved_starts);
        for (number, task) in intended {
            if number <= kept {
                self.start_recorded(&task);
            } else {
                self.unsaved_starts.push((number, task));
            }
        }
    }

    pub(super) fn start_recorded(&mut self, task: &TaskId) {
        let Some(place) = self.worker_of_task.get(task) else { return };
        let Some(state) = self.workers.get_mut(place) else { return };
        let Some(placed) = state.tasks.get_mut(task) else { return };
        if placed.phase == Phase::Unrecorded {
            placed.phase = Phase::Starting;
            state.sync_now = true;
        }
    }

    /// Somebody else wrote the progress. What was recorded there may have
    /// been started by an earlier holder and is not started again.
    pub fn merge_progress(&mut self, other: &Progress) {
        let jobs = &self.jobs;
        let current = |name: &str| jobs.get(name).map(|job| job.spec);
        self.progress.merge(other, current);
        self.progress_version += 1;
        let mut clash = Vec::new();
        for (id, place) in &self.worker_of_task {
            let placed = &self.workers[place].tasks[id];
            let theirs = other.is_started(id, placed.spec);
            if placed.phase == Phase::Unrecorded && theirs {
                clash.push((place.clone(), id.clone()));
            }
        }
        for (place, id) in clash {
            self.remove_placement(&place, &id);
        }
        let names: Vec<String> = self.jobs.keys().cloned().collect();
        for name in names {
            self.recompute_waiting(&name);
        }
    }
}
