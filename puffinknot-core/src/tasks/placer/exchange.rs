//! The exchange with the workers: what is sent, and what their answers mean.

use std::collections::BTreeMap;

use crate::ids::{Millis, TargetId, TaskId};
use crate::tasks::message::{
    StartTask, StopTask, SyncReply, SyncRequest, TaskPhase, TaskReport,
};

use super::{
    Contact, JobState, Outstanding, Phase, Placed, Placer, PlacerConfig,
    FIRST_BACKOFF, MAX_DOUBLINGS,
};

impl Placer {
    /// A worker answered. `read_at` is when the answer arrived.
    pub fn reply(&mut self, read_at: Millis, id: &TargetId, reply: SyncReply) {
        let lease = self.config.lease;
        let Some(state) = self.workers.get_mut(id) else { return };
        if state.outstanding.as_ref().map(|o| o.seq) != Some(reply.seq) {
            return;
        }
        state.outstanding = None;
        if state.contact == Contact::Unseen {
            // Its first answer does not show the end of the lease that a
            // former holder gave it. None can be given after that answer,
            // so none ends later than one given with it.
            state.former_until = reply.clock + lease;
        }
        state.contact = Contact::Ready;
        state.clock = reply.clock;
        state.read_at = read_at;
        state.info = reply.info;
        let has = &state.info.capacity;
        self.largest.cpu_millis = self.largest.cpu_millis.max(has.cpu_millis);
        self.largest.memory_mb = self.largest.memory_mb.max(has.memory_mb);
        state.counter = reply.counter;
        self.tenure.epoch_accepted(id);
        self.stirred = true;
        if let Some(tasks) = reply.tasks {
            self.reconcile(read_at, id, reply.seq, &tasks);
        }
        self.refresh(id);
        if self.workers[id].info.leaving {
            self.move_away(id);
        }
    }

    /// Compares the worker's list with what was thought to be there.
    pub(super) fn reconcile(
        &mut self,
        now: Millis,
        id: &TargetId,
        seq: u64,
        tasks: &[TaskReport],
    ) {
        let listed: BTreeMap<&TaskId, &TaskReport> =
            tasks.iter().map(|task| (&task.id, task)).collect();
        self.drop_missing(id, seq, &listed);
        for report in tasks {
            match report.phase {
                TaskPhase::Running => self.found(now, id, report),
                TaskPhase::Done => self.ended(now, id, report, true),
                TaskPhase::Failed => self.ended(now, id, report, false),
            }
        }
        if let Some(state) = self.workers.get_mut(id) {
            state.ended.retain(|task| listed.contains_key(task));
        }
    }

    pub(super) fn drop_missing(
        &mut self,
        id: &TargetId,
        seq: u64,
        listed: &BTreeMap<&TaskId, &TaskReport>,
    ) {
        let known = |task: &Placed| match task.phase {
            Phase::Intended => false,
            Phase::Starting => task.sent.is_some_and(|sent| sent <= seq),
            Phase::Running | Phase::Stopping => true,
        };
        let missing: Vec<TaskId> = self.workers[id]
            .tasks
            .iter()
            .filter(|(task, _)| !listed.contains_key(task))
            .filter(|(_, placed)| known(placed))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            self.unplace(id, &task);
        }
    }

    /// A task was reported as running.
    pub(super) fn found(
        &mut self,
        now: Millis,
        id: &TargetId,
        report: &TaskReport,
    ) {
        let task = &report.id;
        let wanted = self.wanted(task, report.spec);
        let place = self.places.get(task);
        let elsewhere = place.is_some_and(|place| place != id);
        let Some(state) = self.workers.get_mut(id) else { return };
        let known = state.tasks.get_mut(task);
        if let Some(placed) = known {
            if placed.phase == Phase::Starting && placed.sent.is_some() {
                placed.phase = Phase::Running;
            }
            return;
        }
        let placed = Placed {
            spec: report.spec,
            need: report.need,
            priority: report.priority,
            phase: Phase::Running,
            since: now.saturating_sub(report.age_ms),
            sent: None,
            team: None,
        };
        state.tasks.insert(task.clone(), placed);
        if wanted && !elsewhere {
            self.settle_in(id, task, &report.need);
        } else {
            self.stop(id, task);
        }
    }

    /// A task was reported as ended by itself.
    pub(super) fn ended(
        &mut self,
        now: Millis,
        id: &TargetId,
        report: &TaskReport,
        done: bool,
    ) {
        let task = &report.id;
        let job = self.jobs.get(task.job());
        let batch = job.is_some_and(|job| !job.service);
        let once = job.is_some_and(JobState::never_repeat);
        if batch && (done || once) {
            self.keep_done(id, report);
        } else {
            if self.forget_ended(id, task) {
                self.back_off(now, task);
            }
        }
        self.unplace(id, task);
    }

    /// Delays the next start of a job whose task ended when it should not
    /// have, longer each time.
    pub(super) fn back_off(&mut self, now: Millis, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(task.job()) else { return };
        let delay = FIRST_BACKOFF << job.failures.min(MAX_DOUBLINGS);
        job.failures += 1;
        job.not_before = now + delay;
    }

    /// Tells the worker that it need not report the ended task any more.
    /// Returns whether that is new.
    pub(super) fn forget_ended(
        &mut self,
        id: &TargetId,
        task: &TaskId,
    ) -> bool {
        let Some(state) = self.workers.get_mut(id) else { return false };
        let new = state.ended.insert(task.clone());
        state.dirty |= new;
        new
    }

    /// A sync was not answered.
    pub fn failed(&mut self, id: &TargetId, seq: u64) {
        let Some(state) = self.workers.get_mut(id) else { return };
        if state.outstanding.as_ref().map(|o| o.seq) != Some(seq) {
            return;
        }
        state.outstanding = None;
        state.dirty = true;
        if state.contact == Contact::Ready {
            state.contact = Contact::Silent;
        }
    }

    pub(super) fn syncs(
        &mut self,
        now: Millis,
    ) -> Vec<(TargetId, SyncRequest)> {
        let every = self.config.lease / PlacerConfig::SYNCS_PER_LEASE;
        let retry = self.config.lease / PlacerConfig::TIMEOUTS_PER_LEASE;
        let mut due = Vec::new();
        for (id, state) in &self.workers {
            let wait = match state.contact {
                Contact::Ready if state.dirty => 0,
                Contact::Ready => every,
                _ if state.last_sync == 0 => 0,
                _ => retry,
            };
            if state.outstanding.is_none() && state.last_sync + wait <= now {
                due.push(id.clone());
            }
        }
        let sync = |id: TargetId| {
            let request = self.sync(now, &id)?;
            Some((id, request))
        };
        due.into_iter().filter_map(sync).collect()
    }

    pub(super) fn sync(
        &mut self,
        now: Millis,
        id: &TargetId,
    ) -> Option<SyncRequest> {
        let may_start = self.tenure.may_start();
        let lease = self.config.lease;
        let state = self.workers.get_mut(id)?;
        state.seq += 1;
        state.dirty = false;
        state.last_sync = now.max(1);
        let seq = state.seq;
        state.outstanding = Some(Outstanding { seq, sent_at: now });
        // A silent worker gets nothing new, and above all no longer lease,
        // so that it can be known when the one it has must have lapsed.
        let active = state.contact == Contact::Ready && may_start;
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        if active {
            state.until = state.until.max(state.clock_now(now) + lease);
            starts = self.starts(id, seq);
            stops = self.stops(id);
        }
        let state = self.workers.get_mut(id)?;
        Some(SyncRequest {
            epoch: self.tenure.epoch.clone(),
            seq,
            until: state.until,
            counter: state.counter,
            start: starts,
            stop: stops,
            ack: state.ended.iter().cloned().collect(),
        })
    }

    pub(super) fn starts(
        &mut self,
        id: &TargetId,
        seq: u64,
    ) -> Vec<StartTask> {
        let Some(state) = self.workers.get_mut(id) else { return vec![] };
        let mut starts = Vec::new();
        for (task, placed) in &mut state.tasks {
            if placed.phase != Phase::Starting {
                continue;
            }
            placed.sent = Some(seq);
            let job = self.jobs.get(task.job());
            starts.push(StartTask {
                id: task.clone(),
                spec: placed.spec,
                need: placed.need,
                run_ms: job.map_or(0, |job| job.job.run_ms),
                priority: placed.priority,
            });
        }
        starts
    }

    pub(super) fn stops(&self, id: &TargetId) -> Vec<StopTask> {
        let Some(state) = self.workers.get(id) else { return vec![] };
        let stopping = state
            .tasks
            .iter()
            .filter(|(_, placed)| placed.phase == Phase::Stopping);
        let stop = |(task, _): (&TaskId, &Placed)| {
            let job = self.jobs.get(task.job());
            let checkpoint = job.is_some_and(|job| job.job.checkpoint);
            StopTask { id: task.clone(), checkpoint }
        };
        stopping.map(stop).collect()
    }
}
