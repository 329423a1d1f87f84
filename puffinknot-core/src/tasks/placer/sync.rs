//! The syncs with the workers: the requests to send and the handling of
//! replies.

use std::collections::BTreeMap;

use crate::ids::{Millis, TargetId, TaskId};
use crate::tasks::message::{
    StartTask, StopTask, SyncReply, SyncRequest, TaskPhase, TaskReport,
};

use super::{
    Contact, JobState, PendingSync, Phase, PlacedTask, Placer, PlacerConfig,
    INITIAL_BACKOFF, MAX_BACKOFF_DOUBLINGS,
};

impl Placer {
    /// Handles the reply of a worker, which arrived at `read_at`.
    pub fn sync_replied(
        &mut self,
        read_at: Millis,
        id: &TargetId,
        reply: SyncReply,
    ) {
        let lease = self.config.lease;
        let Some(state) = self.workers.get_mut(id) else { return };
        if state.pending_sync.as_ref().map(|sync| sync.seq) != Some(reply.seq)
        {
            return;
        }
        state.pending_sync = None;
        if state.contact == Contact::NeverHeard {
            // The first reply does not tell when the lease from a former
            // holder ends. No former holder can renew the lease after this
            // reply, so it ends no later than a lease that is renewed at the
            // same time.
            state.former_lease_until = reply.clock + lease;
        }
        state.contact = Contact::Reachable;
        state.last_clock = reply.clock;
        state.clock_read_at = read_at;
        state.info = reply.info;
        let capacity = &state.info.capacity;
        self.largest_worker.cpu_millis =
            self.largest_worker.cpu_millis.max(capacity.cpu_millis);
        self.largest_worker.memory_mb =
            self.largest_worker.memory_mb.max(capacity.memory_mb);
        state.list_version = reply.counter;
        self.term.epoch_accepted(id);
        self.needs_scheduling = true;
        if let Some(tasks) = reply.tasks {
            self.reconcile(read_at, id, reply.seq, &tasks);
        }
        self.update_free(id);
        if self.workers[id].info.leaving {
            self.stop_movable(id);
        }
    }

    /// Updates the assigned tasks from the task list of a worker.
    pub(super) fn reconcile(
        &mut self,
        now: Millis,
        id: &TargetId,
        seq: u64,
        tasks: &[TaskReport],
    ) {
        let listed: BTreeMap<&TaskId, &TaskReport> =
            tasks.iter().map(|task| (&task.id, task)).collect();
        self.remove_missing(id, seq, &listed);
        for report in tasks {
            match report.phase {
                TaskPhase::Running => self.handle_running(now, id, report),
                TaskPhase::Done => self.handle_ended(now, id, report, true),
                TaskPhase::Failed => self.handle_ended(now, id, report, false),
            }
        }
        if let Some(state) = self.workers.get_mut(id) {
            state.ended_to_ack.retain(|task| listed.contains_key(task));
        }
    }

    pub(super) fn remove_missing(
        &mut self,
        id: &TargetId,
        seq: u64,
        listed: &BTreeMap<&TaskId, &TaskReport>,
    ) {
        let should_be_listed = |task: &PlacedTask| match task.phase {
            Phase::Unrecorded => false,
            Phase::Starting => task.start_seq.is_some_and(|sent| sent <= seq),
            Phase::Running | Phase::Stopping => true,
        };
        let missing: Vec<TaskId> = self.workers[id]
            .tasks
            .iter()
            .filter(|(task, _)| !listed.contains_key(task))
            .filter(|(_, placed)| should_be_listed(placed))
            .map(|(task, _)| task.clone())
            .collect();
        for task in missing {
            self.remove_placement(id, &task);
        }
    }

    /// Handles the report of a running task.
    pub(super) fn handle_running(
        &mut self,
        now: Millis,
        id: &TargetId,
        report: &TaskReport,
    ) {
        let task = &report.id;
        let wanted = self.is_wanted(task, report.spec);
        let place = self.worker_of_task.get(task);
        let elsewhere = place.is_some_and(|place| place != id);
        let Some(state) = self.workers.get_mut(id) else { return };
        let assigned = state.tasks.get_mut(task);
        if let Some(placed) = assigned {
            if placed.phase == Phase::Starting && placed.start_seq.is_some() {
                placed.phase = Phase::Running;
            }
            return;
        }
        let placed = PlacedTask {
            spec: report.spec,
            need: report.need,
            priority: report.priority,
            phase: Phase::Running,
            started_at: now.saturating_sub(report.age_ms),
            start_seq: None,
            charged_team: None,
        };
        state.tasks.insert(task.clone(), placed);
        if wanted && !elsewhere {
            self.record_placement(id, task, &report.need);
        } else {
            self.stop(id, task);
        }
    }

    /// Handles the report of a task that ended by itself.
    pub(super) fn handle_ended(
        &mut self,
        now: Millis,
        id: &TargetId,
        report: &TaskReport,
        done: bool,
    ) {
        let task = &report.id;
        let job = self.jobs.get(task.job());
        let batch = job.is_some_and(|job| !job.service);
        let never_repeat = job.is_some_and(JobState::never_repeat);
        if batch && (done || never_repeat) {
            self.record_done(id, report);
        } else {
            if self.acknowledge_ended(id, task) {
                self.delay_next_start(now, task);
            }
        }
        self.remove_placement(id, task);
    }

    /// Delays the next start of a job's tasks after one has failed, or has
    /// ended although it belongs to a service. The delay doubles each time, up
    /// to a limit.
    pub(super) fn delay_next_start(&mut self, now: Millis, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(task.job()) else { return };
        let delay = INITIAL_BACKOFF << job.failures.min(MAX_BACKOFF_DOUBLINGS);
        job.failures += 1;
        job.not_before = now + delay;
    }

    /// Acknowledges the end of a task to the worker, which then stops
    /// reporting it. Returns whether it was not yet acknowledged.
    pub(super) fn acknowledge_ended(
        &mut self,
        id: &TargetId,
        task: &TaskId,
    ) -> bool {
        let Some(state) = self.workers.get_mut(id) else { return false };
        let new = state.ended_to_ack.insert(task.clone());
        state.sync_now |= new;
        new
    }

    /// Handles a sync that got no reply.
    pub fn sync_failed(&mut self, id: &TargetId, seq: u64) {
        let Some(state) = self.workers.get_mut(id) else { return };
        if state.pending_sync.as_ref().map(|sync| sync.seq) != Some(seq) {
            return;
        }
        state.pending_sync = None;
        state.sync_now = true;
        if state.contact == Contact::Reachable {
            state.contact = Contact::Unresponsive;
        }
    }

    pub(super) fn due_syncs(
        &mut self,
        now: Millis,
    ) -> Vec<(TargetId, SyncRequest)> {
        let renewal_interval =
            self.config.lease / PlacerConfig::SYNCS_PER_LEASE;
        let retry_interval =
            self.config.lease / PlacerConfig::TIMEOUTS_PER_LEASE;
        let mut due = Vec::new();
        for (id, state) in &self.workers {
            let wait = match state.contact {
                Contact::Reachable if state.sync_now => 0,
                Contact::Reachable => renewal_interval,
                _ if state.last_sync_at == 0 => 0,
                _ => retry_interval,
            };
            if state.pending_sync.is_none() && state.last_sync_at + wait <= now
            {
                due.push(id.clone());
            }
        }
        let sync = |id: TargetId| {
            let request = self.build_sync(now, &id)?;
            Some((id, request))
        };
        due.into_iter().filter_map(sync).collect()
    }

    pub(super) fn build_sync(
        &mut self,
        now: Millis,
        id: &TargetId,
    ) -> Option<SyncRequest> {
        let may_start = self.term.may_start();
        let lease = self.config.lease;
        let state = self.workers.get_mut(id)?;
        state.last_seq += 1;
        state.sync_now = false;
        state.last_sync_at = now.max(1);
        let seq = state.last_seq;
        state.pending_sync = Some(PendingSync { seq, sent_at: now });
        // A worker that does not reply gets no new orders and above all no
        // lease renewal, so that the time is known at which its lease must
        // have expired.
        let active = state.contact == Contact::Reachable && may_start;
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        if active {
            state.lease_until =
                state.lease_until.max(state.min_clock_now(now) + lease);
            starts = self.starts_to_send(id, seq);
            stops = self.stops_to_send(id);
        }
        let state = self.workers.get_mut(id)?;
        Some(SyncRequest {
            epoch: self.term.epoch.clone(),
            seq,
            until: state.lease_until,
            counter: state.list_version,
            start: starts,
            stop: stops,
            ack: state.ended_to_ack.iter().cloned().collect(),
        })
    }

    pub(super) fn starts_to_send(
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
            placed.start_seq = Some(seq);
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

    pub(super) fn stops_to_send(&self, id: &TargetId) -> Vec<StopTask> {
        let Some(state) = self.workers.get(id) else { return vec![] };
        let stopping = state
            .tasks
            .iter()
            .filter(|(_, placed)| placed.phase == Phase::Stopping);
        let stop = |(task, _): (&TaskId, &PlacedTask)| {
            let job = self.jobs.get(task.job());
            let checkpoint = job.is_some_and(|job| job.job.checkpoint);
            StopTask { id: task.clone(), checkpoint }
        };
        stopping.map(stop).collect()
    }
}
