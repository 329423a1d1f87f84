/*!
Single runs: how they are ordered, and what follows from their ends.
*/

use crate::ids::Millis;
use crate::jobs::executor::{Charge, Phase, PlacedRun};
use crate::jobs::message::{
    Action, EndKind, EndReport, ExecutorIndex, IncarnationEnd, OrderFailure,
};
use crate::jobs::model::{JobId, JobState, StepKey, TaskKey};
use crate::jobs::scheduler::renewals::expiry;
use crate::jobs::scheduler::speeds::measures_speed;
use crate::jobs::scheduler::Scheduler;

/// A stop that is not confirmed is sent again after this time.
const STOP_AGAIN: Millis = 500;

impl Scheduler {
    /// Orders a run. The executor must have room and a known clock.
    pub(super) fn start(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
        ticket: String,
        now: Millis,
    ) {
        let lease = self.config.lease;
        let ends = now + self.run_time(task.step, index);
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
        let place = (task.step.time, task.step.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(clock) = executor.clock_at(now) else { return };
        state.waiting.remove(&task.index);
        state.placements.insert(task.index, (index, run));
        // Any member's checkpoint is good for its gang; all bring the same.
        let saved = step.representative(task.index);
        let window = state.window(saved);
        let checkpoint =
            state.checkpoints.get(&saved).cloned().unwrap_or_default();
        let tells = measures_speed(step, executor, &checkpoint);
        executor.expiry = executor.expiry.max(expiry(now, lease));
        // Its end is wanted at once, also if it was idle and left alone.
        executor.next_renewal = executor.next_renewal.min(now);
        self.renewal_queue.enqueue(index);
        executor.breaker.started(now);
        self.actions.push(Action::Start {
            executor: index,
            task,
            run,
            spec: live.spec.clone(),
            due: clock + lease,
            checkpoint,
            ticket,
        });
        let on = PlacedRun {
            run,
            need,
            charge,
            urgent,
            phase: Phase::Starting,
            placed_at: now,
            stop_again: 0,
            confirmed: 0,
            start_unsure_since: None,
            start_confirmed: false,
            start_clock: None,
            listed: false,
            expected_end: ends,
            measures_speed: tells,
            window,
        };
        self.put_run(index, task, on);
        self.start_trial(index, task, run, now);
        self.count("starts");
    }

    /// A number for the next run.
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
        if !self.has_run(index, task, run) || self.ends(index, answer, now) {
            return;
        }
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(on) = executor.runs.get(&task) else { return };
        let own = |clock| executor.fits_clock(clock, on.placed_at, now);
        let began = answer.unwrap_or(None);
        let by_this_life = answer.map(|clock| clock.is_none_or(own));
        let Some(on) = executor.runs.get_mut(&task) else { return };
        match by_this_life {
            Ok(false) => {
                // It may have been another life that has begun it.
                on.start_unsure_since = Some(now);
                self.doubt_life(index, now);
                self.count("starts_by_other_lives");
            }
            Ok(true) => {
                on.start_clock = on.start_clock.or(began);
                on.confirmed = now;
                on.start_confirmed = true;
                if on.phase == Phase::Starting {
                    on.phase = Phase::Running;
                }
                self.begun(task);
                self.mark_responsive(index);
            }
            Err(OrderFailure::Unknown) => {
                // If it has arrived, the next account shows it.
                on.start_unsure_since = Some(now);
                self.doubt_life(index, now);
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
                self.vacate(index, task, run, None);
            }
        }
    }

    /// Another life of an executor may have taken an order: an account is
    /// wanted, which shows it.
    fn doubt_life(&mut self, index: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        executor.incarnation_unsure_since = Some(now);
        executor.probe = true;
        self.renewal_queue.enqueue(index);
    }

    /// An executor has confirmed that a task runs, or has run. An order
    /// alone is no beginning: it may never have arrived.
    pub(super) fn begun(&mut self, task: TaskKey) {
        if let Some(live) = self.jobs.get_mut(&task.step.job) {
            live.started = true;
        }
    }

    /// Orders the end of a run. Its room stays taken until the executor
    /// reports the end, or denies that there is such a run.
    pub(super) fn stop(
        &mut self,
        index: ExecutorIndex,
        task: TaskKey,
        run: u64,
    ) {
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(on) = executor.runs.get_mut(&task) else { return };
        if on.run != run || matches!(on.phase, Phase::Stopping(_)) {
            return;
        }
        on.phase = Phase::Stopping(false);
        on.stop_again = 0;
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
        if !self.has_run(index, task, run) || self.ends(index, answer, now) {
            return;
        }
        let Some(executor) = self.executors.get_mut(&index) else { return };
        let Some(on) = executor.runs.get_mut(&task) else { return };
        match answer {
            Ok(()) => {
                on.phase = Phase::Stopping(true);
                on.confirmed = now;
                if on.start_unsure_since.is_some() {
                    // It may never have been there: an account that is asked
                    // for from now on shows it.
                    self.probe_at(index, now + 1);
                }
            }
            Err(why) => {
                on.stop_again = now + STOP_AGAIN;
                if why == OrderFailure::Unknown {
                    self.order_unanswered(now);
                }
            }
        }
    }

    /// Whether an executor is thought to have this run.
    fn has_run(&self, index: ExecutorIndex, task: TaskKey, run: u64) -> bool {
        let executor = self.executors.get(&index);
        let on = executor.and_then(|executor| executor.runs.get(&task));
        on.is_some_and(|on| on.run == run)
    }

    /// Takes in that the answer to an order shows this tenure, or that life
    /// of the executor, to be over. Returns whether it does.
    pub(super) fn ends<T>(
        &mut self,
        index: ExecutorIndex,
        answer: Result<T, OrderFailure>,
        now: Millis,
    ) -> bool {
        match answer {
            Err(OrderFailure::Fenced) => self.superseded(),
            Err(OrderFailure::Gone) => {
                self.executor_over(index, IncarnationEnd::AnotherAnswers, now);
            }
            _ => return false,
        }
        true
    }

    /// Sends stops again that were not confirmed.
    pub(super) fn resend_stops(&mut self, now: Millis) {
        for (&index, executor) in self.executors.iter_mut() {
            for (task, on) in &mut executor.runs {
                let due = on.stop_again != 0 && on.stop_again <= now;
                if on.phase == Phase::Stopping(false) && due {
                    on.stop_again = 0;
                    self.actions.push(Action::Stop {
                        executor: index,
                        task: *task,
                        run: on.run,
                    });
                }
            }
        }
    }

    /// A run no longer takes up room on an executor: it has ended as `end`
    /// says, or it never began, or it was lost.
    pub(super) fn vacate(
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
        let placed = state.placements.contains_key(&task.index);
        let executors = &self.executors;
        let goes_on = |at, run| {
            let on = executors.get(&at).and_then(|e| e.runs.get(&task));
            on.is_some_and(|on| on.run == run)
        };
        let here = state.end_run(task.index, index, run, goes_on);
        let how = end.map(|end| end.how);
        if let Some(end) = end.filter(|end| !end.checkpoint.is_empty()) {
            let saved = step.representative(task.index);
            state.checkpoints.insert(saved, end.checkpoint.clone());
        }
        if how == Some(EndKind::Failed) {
            state.failed_on.insert(index);
        }
        let later = placed && !here;
        if later && how != Some(EndKind::Done) {
            // An end of an earlier run: only its failure counts.
            if how == Some(EndKind::Failed) {
                self.note_failure(task, run);
            }
            return;
        }
        if state.done.contains(&task.index) {
            return self.step_progressed(key);
        }
        if later && step.lasting {
            return;
        }
        // It was taken for lost, but has done its work: once that is taken
        // note of, the task may not start again.
        let needless: Vec<(u32, (ExecutorIndex, u64))> = match later {
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
                if !here {
                    if how == Some(EndKind::Failed) {
                        self.note_failure(task, run);
                    }
                    return;
                }
                if !gang {
                    // It waits for another run of it to end.
                    if !state.placements.contains_key(&task.index) {
                        state.waiting.insert(task.index);
                        self.ready.insert(key);
                    }
                } else {
                    state.stopping_gang = true;
                }
                if how == Some(EndKind::Failed) {
                    self.note_failure(task, run);
                }
                if gang {
                    self.break_gang(key);
                }
            }
        }
    }

    /// Stops what is left of a gang's run; once nothing is, all of it may
    /// be started again.
    pub(super) fn break_gang(&mut self, key: StepKey) {
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        if live.ended.is_some() {
            return;
        }
        let count = live.job.steps[key.step as usize].count;
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
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
    fn note_failure(&mut self, task: TaskKey, run: u64) {
        let key = task.step;
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let counted = step.representative(task.index);
        let lasting = step.lasting;
        let most = live.queue.max_attempts.max(1) as usize;
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        let runs = state.failed.entry(counted).or_default();
        runs.insert(run);
        let over = runs.len() >= most && !lasting;
        self.count("runs_failed");
        self.commits.job_progressed(key.job);
        if over {
            self.finish(key.job, JobState::Failed);
        }
    }

    /// A task of a step is done: what does that allow?
    fn step_progressed(&mut self, key: StepKey) {
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let step = &live.job.steps[key.step as usize];
        let place = (key.time, key.step);
        let done = live
            .steps
            .get(&place)
            .is_some_and(|state| state.is_complete(step));
        if !done {
            return;
        }
        self.ready.remove(&key);
        self.release(key.job, key.time);
        self.finish_if_complete(key.job);
    }

    pub(super) fn finish_if_complete(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|live| live.is_complete()) {
            self.finish(job, JobState::Succeeded);
        }
    }
}
