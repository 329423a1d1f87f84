/*!
Single runs: how they are started and stopped, and what their ends lead to.
*/

use crate::ids::Millis;
use crate::jobs::executor::{Charge, PlacedRun, RunPhase};
use crate::jobs::message::{
    Action, EndKind, EndReport, ExecutorIndex, IncarnationEnd, OrderFailure,
};
use crate::jobs::model::{JobId, JobState, StepKey, TaskKey};
use crate::jobs::scheduler::renewals::lease_expiry;
use crate::jobs::scheduler::speeds::measures_speed;
use crate::jobs::scheduler::Scheduler;

/// A stop that was not confirmed is sent again after this time.
const STOP_RETRY_DELAY: Millis = 500;

impl Scheduler {
    /// Starts a run. The executor must have enough free capacity and a known
    /// clock.
    pub(super) fn start(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
        ticket: String,
        now: Millis,
    ) {
        let lease = self.config.lease;
        let expected_end = now + self.run_time(task.step, index);
        self.consume_urgent_slots(task.step, index);
        let Some(live) = self.jobs.get_mut(&task.step.job) else { return };
        let step = &live.job.steps[task.step.step as usize];
        let need = step.footprint();
        let charge = Charge {
            account: live.account,
            amount: step.need,
            urgent: live.queue.priority == 0,
        };
        let urgent = live.is_urgent();
        let step_key = (task.step.time, task.step.step);
        let Some(state) = live.steps.get_mut(&step_key) else { return };
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(clock) = executor.clock_at(now) else { return };
        state.waiting.remove(&task.index);
        state.placements.insert(task.index, (index, run));
        // A checkpoint of any member is valid for the whole gang, since all
        // members save the same one.
        let representative = step.representative(task.index);
        let window = state.window(representative);
        let checkpoint = state
            .checkpoints
            .get(&representative)
            .cloned()
            .unwrap_or_default();
        let measures_speed = measures_speed(step, executor, &checkpoint);
        executor.lease_expiry =
            executor.lease_expiry.max(lease_expiry(now, lease));
        executor.breaker.record_start(now);
        executor.start_ordered(task, run);
        self.actions.push(Action::Start {
            executor: index,
            task,
            run,
            spec: live.spec.clone(),
            due: clock + lease,
            checkpoint,
            ticket,
        });
        let placed = PlacedRun {
            run,
            need,
            charge,
            urgent,
            phase: RunPhase::Starting,
            placed_at: now,
            stop_retry_at: 0,
            confirmed_at: 0,
            start_unsure_since: None,
            start_confirmed: false,
            start_clock: None,
            reported: false,
            expected_end,
            measures_speed,
            crash_window: window,
        };
        self.put_run(index, task, placed);
        // The end of the run should be reported at once, even if the executor
        // was idle and its next renewal is some time away.
        self.expedite_renewal(index, now);
        self.run_room.take();
        self.start_trial(index, task, run, now);
        self.count("starts");
    }

    /// Returns the number for a new run.
    pub(super) fn new_run_number(&mut self) -> u64 {
        self.next_run += 1;
        self.next_run
    }

    pub(super) fn start_answered(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
        answer: Result<Option<Millis>, OrderFailure>,
        now: Millis,
    ) {
        if let Some(executor) = self.executors.get_mut(&index) {
            self.needs_placement |= executor.start_concluded(task, run);
        }
        if !self.has_run(index, task, run)
            || self.handle_terminal_failure(index, answer, now)
        {
            return;
        }
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(placed) = executor.runs.get(&task) else { return };
        let is_own_clock =
            |clock| executor.clock_matches(clock, placed.placed_at, now);
        let start_clock = answer.unwrap_or(None);
        let by_this_incarnation =
            answer.map(|clock| clock.is_none_or(is_own_clock));
        let Some(placed) = executor.runs.get_mut(&task) else { return };
        match by_this_incarnation {
            Ok(false) => {
                // Another incarnation may have started the run.
                placed.start_unsure_since = Some(now);
                self.mark_incarnation_unsure(index, now);
                self.count("starts_by_other_lives");
            }
            Ok(true) => {
                placed.start_clock = placed.start_clock.or(start_clock);
                placed.confirmed_at = now;
                placed.start_confirmed = true;
                if placed.phase == RunPhase::Starting {
                    placed.phase = RunPhase::Running;
                }
                self.mark_job_started(task);
                self.mark_responsive(index);
            }
            Err(OrderFailure::Unknown) => {
                // If the start has arrived, the next report lists the run.
                placed.start_unsure_since = Some(now);
                self.mark_incarnation_unsure(index, now);
                self.count("starts_unknown");
                self.order_unanswered(now);
                self.mark_unresponsive(index, now);
            }
            Err(why) => {
                self.count(match why {
                    OrderFailure::Old => "starts_old",
                    OrderFailure::Late => "starts_late",
                    OrderFailure::Room => "starts_no_room",
                    OrderFailure::Ticket => "starts_bad_ticket",
                    OrderFailure::Unhealthy => "starts_unhealthy",
                    OrderFailure::Malformed => "starts_malformed",
                    _ => "starts_not_sent",
                });
                if why == OrderFailure::Ticket {
                    self.invalidate_ticket(task.step, index);
                }
                self.conclude_run(index, task, run, None);
            }
        }
    }

    /// Asks an executor for a report, since another incarnation may have
    /// carried out an order. The report shows which one it is.
    fn mark_incarnation_unsure(&mut self, index: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.incarnation_unsure_since = Some(now);
        executor.probe = true;
        self.renewal_queue.enqueue(index);
    }

    /// Records that an executor has confirmed that a task runs or has run. An
    /// order alone doesn't count as a start: it may never have arrived.
    pub(super) fn mark_job_started(&mut self, task: TaskKey) {
        if let Some(live) = self.jobs.get_mut(&task.step.job) {
            live.started = true;
        }
    }

    /// Stops a run. Its capacity stays in use until the executor reports its
    /// end, or reports that there is no such run.
    pub(super) fn stop(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(placed) = executor.runs.get_mut(&task) else { return };
        if placed.run != run || matches!(placed.phase, RunPhase::Stopping(_)) {
            return;
        }
        placed.phase = RunPhase::Stopping(false);
        placed.stop_retry_at = 0;
        self.needs_placement = true;
        self.count("stops");
        self.actions.push(Action::Stop { executor: index, task, run });
    }

    pub(super) fn stop_answered(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
        answer: Result<(), OrderFailure>,
        now: Millis,
    ) {
        if !self.has_run(index, task, run)
            || self.handle_terminal_failure(index, answer, now)
        {
            return;
        }
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(placed) = executor.runs.get_mut(&task) else { return };
        match answer {
            Ok(()) => {
                placed.phase = RunPhase::Stopping(true);
                placed.confirmed_at = now;
                if placed.start_unsure_since.is_some() {
                    // The run may never have been there: a report requested
                    // from now on shows it.
                    self.probe_at(index, now + 1);
                }
            }
            Err(why) => {
                placed.stop_retry_at = now + STOP_RETRY_DELAY;
                if why == OrderFailure::Unknown {
                    self.order_unanswered(now);
                }
            }
        }
    }

    /// Whether a run is placed on an executor.
    fn has_run(&self, index: ExecutorIndex, task: TaskKey, run: u64) -> bool {
        let executor = self.executors.get(&index);
        let placed = executor.and_then(|executor| executor.runs.get(&task));
        placed.is_some_and(|placed| placed.run == run)
    }

    /// If a failed order shows that the term of this leader or the incarnation
    /// of the executor has ended, records that. Returns whether it does.
    pub(super) fn handle_terminal_failure<T>(
        &mut self,
        index: ExecutorIndex,
        answer: Result<T, OrderFailure>,
        now: Millis,
    ) -> bool {
        match answer {
            Err(OrderFailure::Fenced) => self.superseded(),
            Err(OrderFailure::Gone) => {
                self.end_incarnation(
                    index,
                    IncarnationEnd::AnotherAnswers,
                    now,
                );
            }
            _ => return false,
        }
        true
    }

    /// Sends stops again that were not confirmed.
    pub(super) fn resend_stops(&mut self, now: Millis) {
        for (&index, executor) in self.executors.iter_mut() {
            for (task, placed) in &mut executor.runs {
                let due =
                    placed.stop_retry_at != 0 && placed.stop_retry_at <= now;
                if placed.phase == RunPhase::Stopping(false) && due {
                    placed.stop_retry_at = 0;
                    self.actions.push(Action::Stop {
                        executor: index,
                        task: *task,
                        run: placed.run,
                    });
                }
            }
        }
    }

    /// Removes a run from an executor and updates its task: the run has ended
    /// as `end` says, or never started, or was lost.
    pub(super) fn conclude_run(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
        end: Option<&EndReport>,
    ) {
        self.needs_placement = true;
        if self.has_run(index, task, run) {
            self.remove_run(index, &task);
        }
        let key = task.step;
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        if live.ended.is_some() {
            return;
        }
        let Some(step) = live.job.steps.get(key.step as usize) else { return };
        let gang = step.gang;
        let step = step.clone();
        let Some(state) = live.step_state(key.time, key.step) else { return };
        let has_placement = state.placements.contains_key(&task.index);
        let executors = &self.executors;
        let is_running = |at, run| {
            let placed = executors.get(&at).and_then(|e| e.runs.get(&task));
            placed.is_some_and(|placed| placed.run == run)
        };
        let was_current = state.end_run(task.index, index, run, is_running);
        let how = end.map(|end| end.how);
        if let Some(end) = end.filter(|end| !end.checkpoint.is_empty()) {
            let representative = step.representative(task.index);
            state.checkpoints.insert(representative, end.checkpoint.clone());
        }
        if how == Some(EndKind::Failed) {
            state.failed_on.insert(index);
        }
        let is_earlier_run = has_placement && !was_current;
        if is_earlier_run && how != Some(EndKind::Done) {
            // The end of an earlier run: only a failure counts.
            if how == Some(EndKind::Failed) {
                self.record_failure(task, run);
            }
            return;
        }
        if state.done.contains(&task.index) {
            return self.step_progressed(key);
        }
        if is_earlier_run && step.lasting {
            return;
        }
        // The run was considered lost but has done its work. Once that is
        // recorded, the task must not start again.
        let needless: Vec<(u32, (ExecutorIndex, u64))> = match is_earlier_run {
            true => state.placements_of(task.index, gang),
            false => Vec::new(),
        };
        match how {
            Some(EndKind::Done) if !step.lasting => {
                if gang {
                    state.done = (0..step.count).collect();
                    state.waiting.clear();
                    state.stopping_gang = false;
                } else {
                    state.done.insert(task.index);
                    state.waiting.remove(&task.index);
                }
                self.commits.job_progressed(key.job);
                for (member, (at, run)) in needless {
                    self.count("runs_needless");
                    self.stop(at, key.task(member), run);
                }
                self.step_progressed(key);
            }
            _ => {
                if !was_current {
                    if how == Some(EndKind::Failed) {
                        self.record_failure(task, run);
                    }
                    return;
                }
                if !gang {
                    // If another run of the task goes on, its end is awaited.
                    if !state.placements.contains_key(&task.index) {
                        state.waiting.insert(task.index);
                        self.ready.insert(key);
                    }
                }
                // The other members are stopped once.
                let stops_gang = gang
                    && (!state.stopping_gang || state.placements.is_empty());
                state.stopping_gang |= gang;
                if how == Some(EndKind::Failed) {
                    self.record_failure(task, run);
                }
                if stops_gang {
                    self.stop_gang(key);
                }
            }
        }
    }

    /// Stops the remaining members of a gang. Once there are none, the whole
    /// gang may be started again.
    pub(super) fn stop_gang(&mut self, key: StepKey) {
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        if live.ended.is_some() {
            return;
        }
        let count = live.job.steps[key.step as usize].count;
        let step_key = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&step_key) else { return };
        if !state.done.is_empty() {
            return;
        }
        state.stopping_gang = true;
        if state.placements.is_empty() {
            state.stopping_gang = false;
            state.waiting = (0..count).collect();
            self.ready.insert(key);
            self.needs_placement = true;
            return;
        }
        let members: Vec<(u32, (ExecutorIndex, u64))> =
            state.placements.iter().map(|(i, p)| (*i, *p)).collect();
        for (member, (at, run)) in members {
            self.stop(at, key.task(member), run);
        }
    }

    /// Counts a failed run against the attempts of its task.
    fn record_failure(&mut self, task: TaskKey, run: u64) {
        let key = task.step;
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        if step.lasting {
            // It has no limit of attempts, so its failures are not kept. Their
            // ends are acknowledged by the next commit, which may be empty.
            self.count("runs_failed");
            return self.commits.schedule(0);
        }
        let representative = step.representative(task.index);
        let max_attempts = live.queue.max_attempts.max(1) as usize;
        let step_key = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&step_key) else { return };
        let runs = state.failed.entry(representative).or_default();
        runs.insert(run);
        let exhausted = runs.len() >= max_attempts;
        self.count("runs_failed");
        self.commits.job_progressed(key.job);
        if exhausted {
            self.finish(key.job, JobState::Failed);
        }
    }

    /// Releases what depends on a step if all its tasks are done.
    fn step_progressed(&mut self, key: StepKey) {
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let step_key = (key.time, key.step);
        let done = live
            .steps
            .get(&step_key)
            .is_some_and(|state| state.is_complete(step));
        if !done {
            return;
        }
        self.ready.remove(&key);
        self.release(key.job, key.time);
        self.finish_if_complete(key.job);
        if let Some(live) = self.jobs.get_mut(&key.job) {
            if live.ended.is_none() {
                live.complete_repetition(key.time);
            }
        }
    }

    pub(super) fn finish_if_complete(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|live| live.is_complete()) {
            self.finish(job, JobState::Succeeded);
        }
    }
}
