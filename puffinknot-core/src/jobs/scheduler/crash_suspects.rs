/*!
Isolation of tasks that may crash the executors that start them. For how
crashes are weighed, see [`crate::jobs::crash_evidence`].

When an executor crashes, every run there that it is not known to have survived
becomes a suspect. A suspect is next started in a *trial*: on an executor
without other suspects and with as little other work as possible. Nothing else
starts there until the executor responds after the time within which the
suspect could crash it. Then the suspect is cleared. If the executor crashes
instead, the suspect is the only explanation. The number of concurrent trials
of tasks that were the only suspect of a crash is limited, so that a client who
submits many such tasks can't take the cell from others.
*/

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Millis;
use crate::jobs::crash_evidence::{CrashEvidence, RunLoss};
use crate::jobs::executor::{Executor, Liveness, PlacedRun, Trial};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, ExecutorIndex, IncarnationEnd};
use crate::jobs::model::{JobState, Step, StepKey, TaskKey};
use crate::jobs::scheduler::placement::PlacementContext;
use crate::jobs::scheduler::Scheduler;

/// One in this many executors of a service, but at least one, may be at risk
/// from trials of tasks that were the only suspect of a crash. The work lost
/// with an executor takes about as long to be detected and redone as the
/// executor is away.
const EXECUTORS_PER_RISKY_TRIAL: usize = 16;
/// An executor no longer counts as at risk this long after it stopped
/// responding.
const RISK_EXPIRES_AFTER: Millis = 2_000;
/// For how long an executor stays reserved for a trial after the trial could
/// start there.
const RESERVATION_GRACE: Millis = 500;
/// The time from the start of a trial until its executor is first probed. Each
/// further probe comes at twice the age of the one before, until the trial
/// ends. A crash that breaks no connection is detected sooner that way.
const FIRST_PROBE_AFTER: Millis = 100;
/// The base of the time for which a gang that may have crashed an executor
/// waits for executors without other suspects. The time doubles with each lost
/// run. It is bounded, since a gang needs several executors and might not find
/// such in a full cell.
const GANG_TRIAL_WAIT: Millis = 1_500;
/// The most doublings of [`GANG_TRIAL_WAIT`].
const MAX_WAIT_DOUBLINGS: u32 = 4;

/// An executor for the trial of a task. The least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TrialPlace {
    /// The executor is not reserved for the task.
    not_reserved: bool,
    /// The task was lost before with an executor at this address, so that the
    /// machine may be the cause.
    same_address: bool,
    /// The executor has other suspects.
    has_suspects: bool,
    /// The fit cost; for a task that was the only suspect of a crash, the work
    /// at risk.
    cost: u64,
    at: ExecutorIndex,
}

/// A crash of an executor.
pub(super) struct Crash {
    /// The tasks that may have caused it. The first task stands for a whole
    /// gang.
    suspects: BTreeSet<TaskKey>,
    /// The runs that were lost.
    lost_runs: Vec<LostRun>,
}

/// A run that was lost with an executor.
struct LostRun {
    task: TaskKey,
    executor: String,
    loss: RunLoss,
}

impl Scheduler {
    /// Determines whether an executor whose incarnation has ended has crashed.
    /// If so, returns the runs lost with it and the suspects.
    pub(super) fn assess_crash(
        &self,
        index: ExecutorIndex,
        why: IncarnationEnd,
    ) -> Option<Crash> {
        let executor = self.executors.get(&index)?;
        let in_maintenance = self.machines.was_in_maintenance(executor);
        if !self.is_enabled(Mechanism::Trials)
            || in_maintenance
            || !has_crashed(executor, why)
        {
            return None;
        }
        // An executor that has answered since has not crashed.
        let unanswered_since = executor.unanswered_since?;
        // Later orders never arrived.
        let placed = executor.runs.iter().chain(&executor.carried_over);
        let placed = placed.filter(|(_, on)| on.placed_at < unanswered_since);
        let mut lost: BTreeMap<u64, (TaskKey, &PlacedRun)> = BTreeMap::new();
        lost.extend(placed.map(|(task, on)| (on.run, (*task, on))));
        let is_suspect = |on: &&PlacedRun| !executor.is_harmless(on);
        let runs = lost.values().map(|(_, on)| *on);
        let suspect_count = runs.filter(is_suspect).count();
        let lost_runs = lost.values().map(|&(task, on)| LostRun {
            task,
            executor: executor.info.id.clone(),
            loss: RunLoss {
                run: on.run,
                alone: suspect_count == 1 && is_suspect(&on),
                confirmed: on.start_confirmed,
                seen: executor.connection_lost,
                executors: self.executors_of(task.step),
                ran: executor.max_runtime(on),
                survived: executor.min_runtime(on),
                address: executor.info.address.clone(),
            },
        });
        let lost_runs: Vec<LostRun> = lost_runs.collect();
        // The age of a run that a predecessor started is not known, so it is
        // a suspect unless this leader has seen it survive for long enough.
        let suspects = lost_runs.iter().filter(|s| !s.loss.rules_out_task());
        let suspects =
            suspects.map(|s| self.representative_of(s.task)).collect();
        Some(Crash { suspects, lost_runs })
    }

    /// The task that stands for another in crash evidence: the first task for
    /// a whole gang.
    fn representative_of(&self, task: TaskKey) -> TaskKey {
        let step = self.step(task.step);
        let index =
            step.map_or(task.index, |step| step.representative(task.index));
        task.step.task(index)
    }

    /// The number of executors that a run of a step uses.
    fn executors_of(&self, key: StepKey) -> u32 {
        let gang = self.step(key).is_some_and(|step| step.gang);
        match self.step_state(key) {
            Some(state) if gang => state.executor_count,
            _ => 1,
        }
    }

    /// Adds a crash to the evidence against its suspects, and gives up the
    /// tasks for which chance is ruled out.
    pub(super) fn record_crash(&mut self, crash: Crash, now: Millis) {
        self.crash_rate.record_crash(crash.suspects, now);
        for LostRun { task, executor, loss } in crash.lost_runs {
            let rate = self
                .crash_rate
                .rate_without(self.representative_of(task), now);
            let Some(evidence) = self.record_loss(task, &loss, now) else {
                continue;
            };
            self.count("tasks_suspected");
            self.actions.push(Action::TaskSuspected {
                task,
                executor,
                loss,
                runs: evidence.runs,
                weight: evidence.weight,
                rate,
            });
            if !evidence.rules_out_chance() {
                continue;
            }
            // A lasting task runs until its job is cancelled, however it ends.
            if self.step(task.step).is_some_and(|step| step.lasting) {
                self.count("lasting_tasks_suspected");
                continue;
            }
            self.give_up_task(task, evidence);
        }
    }

    /// Passes the number of live executors to the crash rate at intervals.
    pub(super) fn count_live_executors(&mut self, now: Millis) {
        if self.crash_rate.is_due(now) {
            let executors = self.executors.values();
            let live = executors.filter(|e| {
                e.liveness == Liveness::Ready && e.unanswered_since.is_none()
            });
            self.crash_rate.record_alive(live.count(), now);
        }
    }

    /// Adds the loss of a run to the evidence against its task. Returns the
    /// evidence if the task may have crashed the executor.
    fn record_loss(
        &mut self,
        task: TaskKey,
        loss: &RunLoss,
        now: Millis,
    ) -> Option<CrashEvidence> {
        let key = self.representative_of(task);
        let representative = key.index;
        let live = self.jobs.get_mut(&task.step.job)?;
        let state = live.step_state(task.step.time, task.step.step)?;
        if state.done.contains(&task.index) {
            return None;
        }
        let evidence = state.crash_evidence.entry(representative).or_default();
        let known = evidence.runs > 0;
        let suspected = evidence.add(loss, now);
        evidence.weigh(|at| self.crash_rate.known_rate_without(key, at, now));
        let recorded = suspected.then(|| evidence.clone());
        let wait = GANG_TRIAL_WAIT << evidence.runs.min(MAX_WAIT_DOUBLINGS);
        state.trial_wait_until = now + wait;
        if recorded.is_none() {
            state.crash_evidence.remove(&representative);
        }
        if known || recorded.is_some() {
            self.commits.job_progressed(task.step.job);
        }
        recorded
    }

    /// Gives up a task that crashes the executors that start it, and fails its
    /// job.
    fn give_up_task(&mut self, task: TaskKey, evidence: CrashEvidence) {
        let Some(live) = self.jobs.get(&task.step.job) else { return };
        if live.ended.is_some() {
            return;
        }
        self.actions.push(Action::TaskGivenUp {
            task,
            account: live.job.account.clone(),
            queue: live.job.queue.clone(),
            runs: evidence.runs,
            addresses: evidence.addresses.into_iter().collect(),
        });
        self.count("tasks_given_up");
        self.crash_rate.explain(self.representative_of(task));
        self.finish(task.step.job, JobState::Failed);
    }

    /// The crash evidence of a task, if the task needs a trial.
    pub(super) fn trial_evidence(
        &self,
        task: TaskKey,
    ) -> Option<&CrashEvidence> {
        let representative = self.step(task.step)?.representative(task.index);
        self.step_state(task.step)?.trial_evidence(representative)
    }

    /// Starts the tasks of a step that need a trial, each on an executor
    /// without other suspects. Returns whether a task found executors, but
    /// none with a valid ticket.
    pub(super) fn place_suspects(
        &mut self,
        key: StepKey,
        context: &PlacementContext,
        suspects: Vec<u32>,
        may_use: impl Fn(ExecutorIndex) -> bool,
        now: Millis,
    ) -> bool {
        let mut lacks_tickets = false;
        for index in suspects {
            let task = key.task(index);
            let Some(evidence) = self.trial_evidence(task).cloned() else {
                continue;
            };
            if !self.ledger.remaining(context.account).fits(&context.step.need)
            {
                break;
            }
            if evidence.weight > 0 && self.is_at_trial_limit(key, now) {
                self.count("trials_put_off");
                continue;
            }
            if self.postpone_trial(task, now) {
                continue;
            }
            let fits = context.candidates.iter().copied().filter(|(at, _)| {
                may_use(*at)
                    && self.is_open_for_trial(task, &context.step, *at, now)
            });
            let (valid, expired): (Vec<_>, Vec<_>) =
                fits.partition(|(_, valid)| *valid);
            lacks_tickets |= valid.is_empty() && !expired.is_empty();
            let places = valid.into_iter().filter_map(|(at, _)| {
                self.trial_place(at, task, &evidence, &context.step, now)
            });
            let Some(place) = places.min() else { continue };
            if place.has_suspects {
                self.reserve_for_trial(place.at, task, now);
                continue;
            }
            let run = self.new_run_number();
            let ticket = self.ticket(key, place.at);
            self.start(place.at, task, run, ticket, now);
        }
        lacks_tickets
    }

    /// Whether the next trial of a task is postponed, since executors crash so
    /// often that its result would mean little.
    pub(super) fn postpone_trial(
        &mut self,
        task: TaskKey,
        now: Millis,
    ) -> bool {
        if !self.trial_evidence(task).is_some_and(CrashEvidence::may_decide) {
            return false;
        }
        let representative = self.representative_of(task);
        let rate = self.crash_rate.rate_without(representative, now);
        let Some(live) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        let state = live.step_state(task.step.time, task.step.step);
        let evidence = state
            .and_then(|s| s.crash_evidence.get_mut(&representative.index));
        let postponed = evidence.is_some_and(|e| e.defers_trial(rate, now));
        if postponed {
            self.count("trials_awaiting_calm");
        }
        postponed
    }

    /// Whether an executor has capacity for the trial of a task, and is not
    /// closed by another trial.
    fn is_open_for_trial(
        &self,
        task: TaskKey,
        step: &Step,
        at: ExecutorIndex,
        now: Millis,
    ) -> bool {
        let Some(executor) = self.executors.get(&at) else { return false };
        executor.free.fits(&step.footprint())
            && executor.breaker.admits(now)
            && !executor.is_closed_by_trial_to(task, now)
            && self.is_below_step_limit(task.step, step, at)
    }

    /// An executor as a place for the trial of a task.
    fn trial_place(
        &self,
        at: ExecutorIndex,
        task: TaskKey,
        evidence: &CrashEvidence,
        step: &Step,
        now: Millis,
    ) -> Option<TrialPlace> {
        let executor = self.executors.get(&at)?;
        let cost = match evidence.weight {
            0 => self.fit_cost(at, step),
            _ => executor.work_at_risk(now),
        };
        Some(TrialPlace {
            not_reserved: !executor.is_reserved_for_trial(task, now),
            same_address: evidence.addresses.contains(&executor.info.address),
            has_suspects: !executor.all_harmless(),
            cost,
            at,
        })
    }

    /// Whether a trial keeps other tasks from starting on an executor.
    pub(super) fn is_closed_by_trial(
        &self,
        at: ExecutorIndex,
        now: Millis,
    ) -> bool {
        self.executors.get(&at).is_some_and(|e| e.is_closed_by_trial(now))
    }

    /// Whether a crash of an executor would be no evidence against a gang that
    /// is a suspect: the executor has other suspects, or the gang was lost
    /// before with one at its address. Unlike a single task, a gang may start
    /// there all the same, since it might never find other executors.
    pub(super) fn is_inconclusive_trial(
        &self,
        at: ExecutorIndex,
        gang: Option<&CrashEvidence>,
    ) -> bool {
        let Some(evidence) = gang else { return false };
        self.executors.get(&at).is_none_or(|executor| {
            let same_address =
                evidence.addresses.contains(&executor.info.address);
            same_address || !executor.all_harmless()
        })
    }

    /// The executors that a gang may use for now. For a gang that needs a
    /// trial and still waits for one, these are the executors in `open`
    /// without suspects. The others are probed, so that their suspects get
    /// cleared.
    pub(super) fn trial_candidates(
        &mut self,
        key: StepKey,
        open: Vec<ExecutorIndex>,
        now: Millis,
    ) -> Vec<ExecutorIndex> {
        let waits =
            self.step_state(key).is_some_and(|s| now < s.trial_wait_until);
        if !waits || self.trial_evidence(key.task(0)).is_none() {
            return open;
        }
        let (ready, others): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|at| {
                self.executors.get(at).is_some_and(|e| e.all_harmless())
            });
        for at in others {
            let Some(executor) = self.executors.get(&at) else { continue };
            if !executor.probe {
                self.probe_at(at, executor.harmless_from().max(now));
            }
        }
        ready
    }

    /// Whether an executor has fewer tasks of a step than the step allows.
    fn is_below_step_limit(
        &self,
        key: StepKey,
        step: &Step,
        at: ExecutorIndex,
    ) -> bool {
        let most = step.max_per_executor;
        let Some(state) = self.step_state(key) else { return false };
        let there = state.placements.values().filter(|(on, _)| *on == at);
        most == 0 || there.count() < most as usize
    }

    /// Whether as many executors are at risk as allowed from trials of tasks
    /// that were the only suspect of a crash.
    fn is_at_trial_limit(&self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let service = &live.queue.service;
        let all =
            self.executors.values().filter(|e| e.info.service == *service);
        let (mut known, mut risked) = (0, 0);
        for executor in all {
            known += 1;
            let recent = executor
                .unanswered_since
                .is_none_or(|m| now < m + RISK_EXPIRES_AFTER);
            let crashed_alone =
                executor.trial.as_ref().is_some_and(|t| t.crashed_alone);
            risked += usize::from(recent && crashed_alone);
        }
        risked >= (known / EXECUTORS_PER_RISKY_TRIAL).max(1)
    }

    /// Reserves an executor for a trial until the trial can start there.
    fn reserve_for_trial(
        &mut self,
        at: ExecutorIndex,
        task: TaskKey,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&at) else { return };
        if executor.is_reserved_for_trial(task, now) {
            return;
        }
        let harmless = executor.harmless_from().max(now);
        let until = harmless + RESERVATION_GRACE;
        executor.trial =
            Some(Trial { task, run: None, until, crashed_alone: false });
        self.probe_at(at, harmless);
    }

    /// Begins the trial of a suspect that was started: nothing else is started
    /// on its executor until that is known to survive the suspect.
    pub(super) fn start_trial(
        &mut self,
        at: ExecutorIndex,
        task: TaskKey,
        run: u64,
        now: Millis,
    ) {
        let Some(evidence) = self.trial_evidence(task) else { return };
        let (until, risky) = (now + evidence.window(), evidence.weight > 0);
        let first = until.min(now + FIRST_PROBE_AFTER);
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let run = Some(run);
        executor.trial =
            Some(Trial { task, run, until, crashed_alone: risky });
        self.probe_at(at, first);
        self.count("trials");
    }

    /// Handles a report of an executor with a trial: clears the suspect if the
    /// executor has survived it, and else schedules the next probe.
    pub(super) fn check_trial(&mut self, at: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let Some(trial) = executor.trial.clone() else { return };
        let Some(run) = trial.run else { return };
        let mut tried = executor.runs.values().filter(|on| on.run == run);
        if let Some(on) = tried.find(|on| !executor.is_harmless(on)) {
            let at_twice_the_age = now + now.saturating_sub(on.placed_at);
            let next = trial.until.min(at_twice_the_age).max(now);
            return self.probe_at(at, next);
        }
        executor.trial = None;
        let executor = executor.info.id.clone();
        self.needs_placement = true;
        self.count("tasks_cleared");
        let task = trial.task;
        self.actions.push(Action::TaskCleared { task, run, executor });
    }
}

/// Whether an executor whose incarnation has ended has probably crashed: it
/// was neither departing nor on a machine due for maintenance.
fn has_crashed(executor: &Executor, why: IncarnationEnd) -> bool {
    let by_itself = matches!(
        why,
        IncarnationEnd::AnotherAnswers | IncarnationEnd::LeftMachine
    );
    let planned = executor.is_departing()
        || executor.maintenance_due
        || executor.maintenance_ordered;
    by_itself && !planned
}
