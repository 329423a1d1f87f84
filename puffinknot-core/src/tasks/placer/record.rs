//! What must outlast this VM: which tasks are done, and which of those that
//! must not be repeated may have been started.

use crate::ids::{TargetId, TaskId};
use crate::tasks::message::TaskReport;
use crate::tasks::progress::Progress;

use super::{Phase, Placer};

impl Placer {
    pub(super) fn keep_done(&mut self, id: &TargetId, report: &TaskReport) {
        if self.progress.set_done(&report.id, report.spec) {
            self.progress_made += 1;
        }
        let task = report.id.clone();
        if let Some(job) = self.jobs.get_mut(task.job()) {
            if job.spec == report.spec {
                job.waiting.remove(&task.index());
                job.unknown.remove(&task.index());
            }
        }
        self.note_pending(task.job());
        if self.progress_made <= self.progress_kept {
            self.forget_ended(id, &task);
        } else {
            self.unkept.push((self.progress_made, id.clone(), task));
        }
    }

    /// The progress to write, with a number for [`Placer::progress_kept`],
    /// if there is anything new.
    pub fn progress(&self) -> Option<(u64, &Progress)> {
        let new = self.progress_made > self.progress_kept;
        new.then_some((self.progress_made, &self.progress))
    }

    /// The progress with this number is kept by the platform.
    pub fn progress_saved(&mut self, number: u64) {
        self.progress_kept = self.progress_kept.max(number);
        let kept = self.progress_kept;
        let unkept = std::mem::take(&mut self.unkept);
        for (number, worker, task) in unkept {
            if number <= kept {
                self.forget_ended(&worker, &task);
            } else {
                self.unkept.push((number, worker, task));
            }
        }
        let intended = std::mem::take(&mut self.intended);
        for (number, task) in intended {
            if number <= kept {
                self.start_intended(&task);
            } else {
                self.intended.push((number, task));
            }
        }
    }

    pub(super) fn start_intended(&mut self, task: &TaskId) {
        let Some(place) = self.places.get(task) else { return };
        let Some(state) = self.workers.get_mut(place) else { return };
        let Some(placed) = state.tasks.get_mut(task) else { return };
        if placed.phase == Phase::Intended {
            placed.phase = Phase::Starting;
            state.dirty = true;
        }
    }

    /// Somebody else wrote the progress. What was recorded there may have
    /// been started by an earlier holder and is not started again.
    pub fn merge_progress(&mut self, other: &Progress) {
        let jobs = &self.jobs;
        let current = |name: &str| jobs.get(name).map(|job| job.spec);
        self.progress.merge(other, current);
        self.progress_made += 1;
        let mut clash = Vec::new();
        for (id, place) in &self.places {
            let placed = &self.workers[place].tasks[id];
            let theirs = other.is_started(id, placed.spec);
            if placed.phase == Phase::Intended && theirs {
                clash.push((place.clone(), id.clone()));
            }
        }
        for (place, id) in clash {
            self.unplace(&place, &id);
        }
        let names: Vec<String> = self.jobs.keys().cloned().collect();
        for name in names {
            self.recount(&name);
        }
    }
}
