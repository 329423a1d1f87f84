/*!
Requests of clients: submitting, querying and cancelling jobs.
*/

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ids::{bounded_millis, Millis};
use crate::jobs::accounts::CallCredentials;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Outcome, Request, RequestId};
use crate::jobs::model::{Job, JobId, JobState, StepKey};
use crate::jobs::policy::Queue;
use crate::jobs::scheduler::authorization::JobScope;
use crate::jobs::scheduler::early_cancels::early_cancel;
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::repetitions::Repetitions;
use crate::jobs::scheduler::Scheduler;

/// The most live jobs. Further jobs are refused.
const MAX_LIVE_JOBS: usize = 20_000;
/// The bytes of texts that each job may have besides the common limit. Larger
/// than the largest spec.
const TEXT_ALLOWANCE_BYTES: usize = 8 << 10;
/// After which time a refused client is to retry, unless it is given another.
pub(super) const RETRY_AFTER: Millis = 1_000;

/// How long after its arrival a job may start at the latest and still meet its
/// objective, in milliseconds.
pub(super) fn slack(job: &Job, queue: &Queue) -> Millis {
    let stretch = queue.stretch.max(1.0) - 1.0;
    bounded_millis(job.critical_path() as f64 * stretch) + queue.target
}

impl Scheduler {
    /// Authorizes a request, and handles or refuses it.
    pub(super) fn request(
        &mut self,
        id: RequestId,
        caller: &CallCredentials,
        request: Request,
        now: Millis,
    ) {
        let scope = match self.authorize(caller, request.queue()) {
            Ok(scope) => scope,
            Err(outcome) => return self.reply(id, outcome),
        };
        match request {
            Request::Submit(job) => self.submit(id, scope, job, now),
            Request::State { queue, job } => {
                let known = self.may_access(&scope, job);
                let outcome = match known {
                    true => self.state(&queue, job),
                    false => Outcome::NoSuchJob,
                };
                self.reply(id, outcome);
            }
            Request::Cancel { queue, job } => {
                self.cancel(id, scope, &queue, job, now);
            }
            Request::Pending { queue } => {
                let count = self.pending(&queue);
                self.reply(id, Outcome::Pending(count));
            }
        }
    }

    fn submit(
        &mut self,
        id: RequestId,
        scope: JobScope,
        mut job: Job,
        now: Millis,
    ) {
        let known = self.jobs.contains_key(&job.id)
            || self.ended.jobs.contains_key(&job.id);
        if known && !self.may_access(&scope, job.id) {
            // Ids are random and too long to collide by accident. The reply
            // is one that is also given for other reasons.
            self.count("refused_id_taken");
            return self.reply(id, Outcome::Refused(RETRY_AFTER));
        }
        if self.ended.jobs.contains_key(&job.id) {
            return self.reply(id, Outcome::Accepted);
        }
        if let Some(live) = self.jobs.get_mut(&job.id) {
            if live.written {
                return self.reply(id, Outcome::Accepted);
            }
            live.submitters.push(id);
            return;
        }
        let Some(queue) = self.queues.get(&job.queue).cloned() else {
            return self.reply(id, Outcome::NoSuchQueue);
        };
        let cancel = early_cancel(job.id, scope.clone(), &queue);
        if self.early_cancels.contains(&cancel) {
            return self.submit_cancelled(id, scope, job, queue, now);
        }
        if let Some(reason) = self.refusal_reason(&job, &queue, now) {
            self.count(reason);
            self.record_refusal(job.id, now, now);
            return self.reply(id, Outcome::Refused(RETRY_AFTER));
        }
        job.account = scope.owner();
        if self.exceeds_limit(&job) {
            self.count("refused_over_limit");
            return self.reply(id, Outcome::OverLimit);
        }
        let job_id = job.id;
        let over_rate = self.exceeds_rate(&job, now);
        let arrived_at = self.effective_arrival(&job, &queue, now);
        let mut live = self.new_live_job(job, queue, arrived_at);
        if self.over_share(live.account) {
            self.count("jobs_over_share");
        }
        live.over_rate = over_rate;
        self.jobs.insert(job_id, live);
        if let Some(after) = self.refuse_if_late(job_id, now) {
            self.jobs.remove(&job_id);
            return self.reply(id, Outcome::Refused(after));
        }
        self.count("submitted");
        self.record_acceptance(job_id);
        if let Some(live) = self.jobs.get_mut(&job_id) {
            live.submitters.push(id);
        }
        self.commits.job_accepted(job_id, now);
        self.release_due_of(job_id, now);
        self.prefetch_advice(job_id, now);
    }

    /// Accepts a job that was cancelled before it arrived. It has ended.
    fn submit_cancelled(
        &mut self,
        id: RequestId,
        scope: JobScope,
        mut job: Job,
        queue: Arc<Queue>,
        now: Millis,
    ) {
        job.account = scope.owner();
        let job_id = job.id;
        let mut live = self.new_live_job(job, queue, now);
        live.submitters.push(id);
        self.jobs.insert(job_id, live);
        self.count("submitted_after_cancel");
        self.finish(job_id, JobState::Cancelled);
    }

    /// The counter of the reason for which a job is refused now, whatever the
    /// backlog; `None` if there is no such reason.
    fn refusal_reason(
        &self,
        job: &Job,
        queue: &Queue,
        now: Millis,
    ) -> Option<&'static str> {
        if self.jobs.len() >= MAX_LIVE_JOBS {
            return Some("refused_full");
        }
        if !self.has_room_for_text(job) {
            return Some("refused_large_text");
        }
        if !self.has_room_for_tasks(job) {
            return Some("refused_many_tasks");
        }
        if self.has_too_wide_gang(job) {
            return Some("refused_wide_gang");
        }
        let store_unavailable = match self.is_enabled(Mechanism::AfterOutage) {
            true => !self.may_wait_for_store(job, queue, now),
            false => self.commits.is_stalled(now),
        };
        if store_unavailable {
            return Some("refused_store_trouble");
        }
        let cordoned = self.is_service_cordoned(&queue.service);
        (job.repeats.is_none() && cordoned).then_some("refused_cordoned")
    }

    /// Whether the texts of a job fit beside those of the live jobs. They do
    /// if no live job has large ones.
    fn has_room_for_text(&self, job: &Job) -> bool {
        let excess =
            |job: &Job| job.text_bytes().saturating_sub(TEXT_ALLOWANCE_BYTES);
        let added = excess(job);
        if added == 0 {
            return true;
        }
        let live = self.jobs.values().map(|live| excess(&live.job));
        let held: usize = live.sum();
        held == 0 || held + added <= self.config.large_text_bytes
    }

    /// Whether a job has a gang or a task that needs more than the limit of
    /// its account, so that it would wait forever.
    fn exceeds_limit(&mut self, job: &Job) -> bool {
        let Some(account) = &job.account else { return false };
        let index = self.ledger.index(account);
        let most = self.ledger.limit_of(Some(index));
        job.steps.iter().any(|step| {
            let tasks = if step.gang { step.count } else { 1 };
            !most.fits(&step.need.times(tasks))
        })
    }

    /// The state of a job that has just arrived.
    pub(super) fn new_live_job(
        &mut self,
        job: Job,
        queue: Arc<Queue>,
        now: Millis,
    ) -> LiveJob {
        let account = job.account.as_deref();
        let account = account.map(|name| self.ledger.index(name));
        self.arrivals += 1;
        LiveJob {
            arrived_at: now,
            deadline: now + queue.objective(job.critical_path()),
            spec: job.spec.as_str().into(),
            queue,
            account,
            over_rate: false,
            arrival_seq: self.arrivals,
            written: false,
            inherited: false,
            submitters: Vec::new(),
            cancellers: Vec::new(),
            ended: None,
            started: false,
            steps: BTreeMap::new(),
            repetitions: Repetitions::default(),
            job,
        }
    }

    fn state(&self, queue: &str, job: JobId) -> Outcome {
        if let Some(live) = self.jobs.get(&job) {
            if live.job.queue != queue || !live.written {
                return Outcome::NoSuchJob;
            }
            let begun = live.started;
            let state =
                if begun { JobState::Running } else { JobState::Queued };
            return Outcome::State(state);
        }
        match self.ended.jobs.get(&job) {
            Some(ended) => Outcome::State(ended.state),
            None => Outcome::NoSuchJob,
        }
    }

    fn cancel(
        &mut self,
        id: RequestId,
        scope: JobScope,
        queue: &str,
        job: JobId,
        now: Millis,
    ) {
        let live = self.jobs.get(&job);
        let elsewhere = live.is_some_and(|live| live.job.queue != queue);
        // A job of another account is treated like one that does not exist.
        if elsewhere || !self.may_access(&scope, job) {
            let Some(queue) = self.queues.get(queue) else {
                return self.reply(id, Outcome::NoSuchQueue);
            };
            let cancel = early_cancel(job, scope, queue);
            return self.cancel_early(id, cancel, now);
        }
        let Some(live) = self.jobs.get_mut(&job) else {
            return self.reply(id, Outcome::Cancelled);
        };
        live.cancellers.push(id);
        if live.ended.is_none() {
            self.count("cancelled");
            self.finish(job, JobState::Cancelled);
        }
    }

    fn pending(&self, queue: &str) -> u64 {
        let waits = |live: &&LiveJob| {
            live.job.queue == queue && live.written && !live.started
        };
        self.jobs.values().filter(waits).count() as u64
    }

    /// Ends a job: stops its runs, and queues its end to be stored.
    pub(super) fn finish(&mut self, job: JobId, state: JobState) {
        let Some(live) = self.jobs.get_mut(&job) else { return };
        if live.ended.is_some() {
            return;
        }
        live.ended = Some(state);
        self.retain_unseen(job);
        let Some(live) = self.jobs.get_mut(&job) else { return };
        let mut placed = Vec::new();
        for (&(time, step), step_state) in &mut live.steps {
            let step = StepKey { job, time, step };
            self.ready.remove(&step);
            step_state.waiting.clear();
            let places = step_state.placements.take();
            let tasks = places
                .into_iter()
                .map(|(index, (at, run))| (at, step.task(index), run));
            placed.extend(tasks);
        }
        for (at, task, run) in placed {
            self.stop(at, task, run);
        }
        self.drop_reservations(job);
        self.drop_advice_calls(job);
        self.commits.job_ended(job);
    }
}
