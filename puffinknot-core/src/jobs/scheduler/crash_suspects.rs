/*!
Tasks that may crash the executors that start them, see
[`crate::jobs::crash_evidence`].

A crash makes suspects of all runs that the executor was not heard to have
survived. A suspect gets a *trial*: it starts on an executor where nothing
else is under suspicion, beside as little work as can be, and nothing else
starts there until the executor has been heard after the time in which the
suspect may do harm. Then either it is cleared, or the executor crashes and
there is one explanation. Few that have done so once are tried at a time, so
that a client who hands many in does not take the cell from the others.
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

/// One executor of a service in so many may be at risk by tasks that are
/// known to have been alone with a crash: what an executor loses takes about
/// as long to be found and to be done again as it is away.
const RISKED: usize = 16;
/// An executor that fell silent this long ago is no longer at risk, in
/// milliseconds.
const FORGOTTEN: Millis = 2_000;
/// An executor is kept free of other starts for this long beyond the time
/// after which a trial may begin there, in milliseconds.
const KEPT_FOR: Millis = 500;
/// An executor is first asked whether it has survived a trial after this
/// time, in milliseconds, and again after twice the time until the trial is
/// over: what crashes it in silence is missed sooner.
const FIRST_LOOK: Millis = 100;
/// After a crash, a gang that may have done it waits so long for executors on
/// which nothing else is under suspicion, in milliseconds, and after each more
/// twice as long: it is on several, and might not find them on a full cell.
const GANG_WAITS: Millis = 1_500;
/// The most often that this time is doubled.
const MOST_DOUBLED: u32 = 4;

/// Where a task may be tried. The least is best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TrialPlace {
    /// The executor was not kept free for it.
    not_kept: bool,
    /// The task was there when the executor's machine, or another at its
    /// address, crashed: that one may be to blame.
    again: bool,
    /// Something else there is under suspicion.
    not_ready: bool,
    /// What is left over there; for a task that was alone with a crash, the
    /// work at risk.
    cost: u64,
    at: ExecutorIndex,
}

/// An executor has crashed.
pub(super) struct Crash {
    /// The tasks that may have done it, each as it is counted.
    suspects: BTreeSet<TaskKey>,
    /// The runs that were there.
    suspicions: Vec<Suspicion>,
}

/// A run that was on an executor that has crashed.
struct Suspicion {
    task: TaskKey,
    executor: String,
    loss: RunLoss,
}

impl Scheduler {
    /// How runs were lost with an executor whose life is over, if it has
    /// crashed.
    pub(super) fn assess_crash(
        &self,
        index: ExecutorIndex,
        why: IncarnationEnd,
    ) -> Option<Crash> {
        let executor = self.executors.get(&index)?;
        let down = self.machines.was_in_maintenance(executor);
        if !self.is_enabled(Mechanism::Trials)
            || down
            || !has_crashed(executor, why)
        {
            return None;
        }
        // One that has answered since has not crashed.
        let missed = executor.unanswered_since?;
        // What was ordered later never arrived.
        let there = executor.runs.iter().chain(&executor.carried_over);
        let there = there.filter(|(_, on)| on.placed_at < missed);
        let mut lost: BTreeMap<u64, (TaskKey, &PlacedRun)> = BTreeMap::new();
        lost.extend(there.map(|(task, on)| (on.run, (*task, on))));
        let may_have = |on: &&PlacedRun| !executor.is_harmless(on);
        let runs = lost.values().map(|(_, on)| *on);
        let possible = runs.filter(may_have).count();
        let suspicions = lost.values().map(|&(task, on)| Suspicion {
            task,
            executor: executor.info.id.clone(),
            loss: RunLoss {
                run: on.run,
                alone: possible == 1 && may_have(&on),
                confirmed: on.start_confirmed,
                seen: executor.broke_off,
                executors: self.spread(task.step),
                ran: executor.max_runtime(on),
                survived: executor.survived(on),
                address: executor.info.address.clone(),
            },
        });
        let suspicions: Vec<Suspicion> = suspicions.collect();
        // How old a run is that a predecessor has started is not known.
        let suspects = suspicions.iter().filter(|s| !s.loss.clears());
        let suspects = suspects.map(|s| self.counted(s.task)).collect();
        Some(Crash { suspects, suspicions })
    }

    /// The task that stands for another in what is counted of crashes.
    fn counted(&self, task: TaskKey) -> TaskKey {
        let step = self.step(task.step);
        let index =
            step.map_or(task.index, |step| step.representative(task.index));
        task.step.task(index)
    }

    /// The number of executors that a run of a step is on.
    fn spread(&self, key: StepKey) -> u32 {
        let gang = self.step(key).is_some_and(|step| step.gang);
        match self.step_state(key) {
            Some(state) if gang => state.executor_count,
            _ => 1,
        }
    }

    /// Takes down what a crash tells, and gives up those tasks of which it
    /// leaves no doubt.
    pub(super) fn record_crash(&mut self, crash: Crash, now: Millis) {
        self.crash_rate.crashed(crash.suspects, now);
        for Suspicion { task, executor, loss } in crash.suspicions {
            let rate = self.crash_rate.without(self.counted(task), now);
            let Some(losses) = self.record_loss(task, &loss, now) else {
                continue;
            };
            self.count("tasks_suspected");
            self.actions.push(Action::TaskSuspected {
                task,
                executor,
                loss,
                runs: losses.runs,
                weight: losses.weight,
                rate,
            });
            if losses.rules_out_chance() {
                self.give_up_task(task, losses);
            }
        }
    }

    /// Counts the executors that may crash, now and then.
    pub(super) fn count_live_executors(&mut self, now: Millis) {
        if self.crash_rate.is_due(now) {
            let executors = self.executors.values();
            let living = executors.filter(|e| {
                e.liveness == Liveness::Ready && e.unanswered_since.is_none()
            });
            self.crash_rate.count(living.count(), now);
        }
    }

    /// Takes down how a run was lost. Returns what is known of its task by
    /// now, if it may have crashed the executor.
    fn record_loss(
        &mut self,
        task: TaskKey,
        loss: &RunLoss,
        now: Millis,
    ) -> Option<CrashEvidence> {
        let key = self.counted(task);
        let counted = key.index;
        let live = self.jobs.get_mut(&task.step.job)?;
        let state = live.step_state(task.step.time, task.step.step)?;
        if state.done.contains(&task.index) {
            return None;
        }
        let losses = state.crash_evidence.entry(counted).or_default();
        let known = losses.runs > 0;
        let suspected = losses.add(loss, now);
        losses.weigh(|at| self.crash_rate.known_without(key, at, now));
        let recorded = suspected.then(|| losses.clone());
        let waits = GANG_WAITS << losses.runs.min(MOST_DOUBLED);
        state.trial_wait_until = now + waits;
        if recorded.is_none() {
            state.crash_evidence.remove(&counted);
        }
        if known || recorded.is_some() {
            self.commits.job_progressed(task.step.job);
        }
        recorded
    }

    /// A task crashes the executors that start it: its job has failed.
    fn give_up_task(&mut self, task: TaskKey, losses: CrashEvidence) {
        let Some(live) = self.jobs.get(&task.step.job) else { return };
        if live.ended.is_some() {
            return;
        }
        self.actions.push(Action::TaskGivenUp {
            task,
            account: live.job.account.clone(),
            queue: live.job.queue.clone(),
            runs: losses.runs,
            addresses: losses.addresses.into_iter().collect(),
        });
        self.count("tasks_given_up");
        self.crash_rate.explain(self.counted(task));
        self.finish(task.step.job, JobState::Failed);
    }

    /// The losses of a task, if it needs a trial.
    pub(super) fn suspected_losses(
        &self,
        task: TaskKey,
    ) -> Option<&CrashEvidence> {
        let counted = self.step(task.step)?.representative(task.index);
        self.step_state(task.step)?.trial_evidence(counted)
    }

    /// Starts those tasks of a step that need a trial, each where nothing
    /// else is under suspicion. Returns whether only tickets are lacking.
    pub(super) fn place_suspects(
        &mut self,
        key: StepKey,
        opening: &PlacementContext,
        suspects: Vec<u32>,
        may_use: impl Fn(ExecutorIndex) -> bool,
        now: Millis,
    ) -> bool {
        let mut stale = false;
        for index in suspects {
            let task = key.task(index);
            let Some(losses) = self.suspected_losses(task).cloned() else {
                continue;
            };
            if !self.ledger.remaining(opening.account).fits(&opening.step.need)
            {
                break;
            }
            if losses.weight > 0 && self.risks_enough(key, now) {
                self.count("trials_put_off");
                continue;
            }
            if self.postpone_trial(task, now) {
                continue;
            }
            let fits = opening.candidates.iter().copied().filter(|(at, _)| {
                may_use(*at) && self.may_try(task, &opening.step, *at, now)
            });
            let (holds, lacks): (Vec<_>, Vec<_>) =
                fits.partition(|(_, holds)| *holds);
            stale |= holds.is_empty() && !lacks.is_empty();
            let places = holds.into_iter().filter_map(|(at, _)| {
                self.trial_place(at, task, &losses, &opening.step, now)
            });
            let Some(place) = places.min() else { continue };
            if place.not_ready {
                self.keep_for_trial(place.at, task, now);
                continue;
            }
            let run = self.new_run_number();
            let ticket = self.ticket(key, place.at);
            self.start(place.at, task, run, ticket, now);
        }
        stale
    }

    /// Whether the next trial of a task is put off, since executors crash too
    /// often for it to tell anything.
    pub(super) fn postpone_trial(
        &mut self,
        task: TaskKey,
        now: Millis,
    ) -> bool {
        if !self.suspected_losses(task).is_some_and(CrashEvidence::may_settle)
        {
            return false;
        }
        let counted = self.counted(task);
        let rate = self.crash_rate.without(counted, now);
        let Some(live) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        let state = live.step_state(task.step.time, task.step.step);
        let losses =
            state.and_then(|s| s.crash_evidence.get_mut(&counted.index));
        let awaits = losses.is_some_and(|l| l.puts_off(rate, now));
        if awaits {
            self.count("trials_awaiting_calm");
        }
        awaits
    }

    /// Whether a task has room on an executor that no other trial keeps.
    fn may_try(
        &self,
        task: TaskKey,
        step: &Step,
        at: ExecutorIndex,
        now: Millis,
    ) -> bool {
        let Some(executor) = self.executors.get(&at) else { return false };
        executor.free.fits(&step.footprint())
            && executor.breaker.admits(now)
            && !executor.is_closed_to(task, now)
            && self.has_place(task.step, step, at)
    }

    /// How well an executor suits the trial of a task.
    fn trial_place(
        &self,
        at: ExecutorIndex,
        task: TaskKey,
        losses: &CrashEvidence,
        step: &Step,
        now: Millis,
    ) -> Option<TrialPlace> {
        let executor = self.executors.get(&at)?;
        let cost = match losses.weight {
            0 => self.fit_cost(at, step),
            _ => executor.at_risk(now),
        };
        Some(TrialPlace {
            not_kept: !executor.is_kept_for(task, now),
            again: losses.addresses.contains(&executor.info.address),
            not_ready: !executor.all_harmless(),
            cost,
            at,
        })
    }

    /// Whether a trial keeps others from being started on an executor.
    pub(super) fn is_closed_by_trial(
        &self,
        at: ExecutorIndex,
        now: Millis,
    ) -> bool {
        self.executors.get(&at).is_some_and(|e| e.is_closed(now))
    }

    /// Whether a crash of an executor would tell nothing of a gang that may
    /// have crashed others: something else there is under suspicion, or it
    /// was there before. A gang can't wait until it finds others.
    pub(super) fn is_inconclusive_trial(
        &self,
        at: ExecutorIndex,
        gang: Option<&CrashEvidence>,
    ) -> bool {
        let Some(losses) = gang else { return false };
        self.executors.get(&at).is_none_or(|executor| {
            let again = losses.addresses.contains(&executor.info.address);
            again || !executor.all_harmless()
        })
    }

    /// Of the executors that a gang may use, those on which it is tried alone
    /// if it may have crashed others. The rest is asked, so that it will do.
    pub(super) fn trial_candidates(
        &mut self,
        key: StepKey,
        open: Vec<ExecutorIndex>,
        now: Millis,
    ) -> Vec<ExecutorIndex> {
        let waits =
            self.step_state(key).is_some_and(|s| now < s.trial_wait_until);
        if !waits || self.suspected_losses(key.task(0)).is_none() {
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

    /// Whether the step's bound on tasks on one executor leaves a place.
    fn has_place(&self, key: StepKey, step: &Step, at: ExecutorIndex) -> bool {
        let most = step.max_per_executor;
        let Some(state) = self.step_state(key) else { return false };
        let there = state.placements.values().filter(|(on, _)| *on == at);
        most == 0 || there.count() < most as usize
    }

    /// Whether as many executors are at risk as may be, by tasks that have
    /// been alone with a crash.
    fn risks_enough(&self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        let service = &live.queue.service;
        let all =
            self.executors.values().filter(|e| e.info.service == *service);
        let (mut known, mut risked) = (0, 0);
        for executor in all {
            known += 1;
            let lately =
                executor.unanswered_since.is_none_or(|m| now < m + FORGOTTEN);
            let weighty =
                executor.trial.as_ref().is_some_and(|t| t.crashed_alone);
            risked += usize::from(lately && weighty);
        }
        risked >= (known / RISKED).max(1)
    }

    /// Keeps an executor free of other starts until a trial may begin there.
    fn keep_for_trial(
        &mut self,
        at: ExecutorIndex,
        task: TaskKey,
        now: Millis,
    ) {
        let Some(executor) = self.executors.get_mut(&at) else { return };
        if executor.is_kept_for(task, now) {
            return;
        }
        let harmless = executor.harmless_from().max(now);
        let until = harmless + KEPT_FOR;
        executor.trial =
            Some(Trial { task, run: None, until, crashed_alone: false });
        self.probe_at(at, harmless);
    }

    /// A suspect was started: its executor takes nothing more until it is
    /// known to have survived that.
    pub(super) fn start_trial(
        &mut self,
        at: ExecutorIndex,
        task: TaskKey,
        run: u64,
        now: Millis,
    ) {
        let Some(losses) = self.suspected_losses(task) else { return };
        let (until, weighty) = (now + losses.window(), losses.weight > 0);
        let first = until.min(now + FIRST_LOOK);
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let run = Some(run);
        executor.trial =
            Some(Trial { task, run, until, crashed_alone: weighty });
        self.probe_at(at, first);
        self.count("trials");
    }

    /// An executor has given account: has it survived its trial?
    pub(super) fn check_trial(&mut self, at: ExecutorIndex, now: Millis) {
        let Some(executor) = self.executors.get_mut(&at) else { return };
        let Some(trial) = executor.trial.clone() else { return };
        let Some(run) = trial.run else { return };
        let mut tried = executor.runs.values().filter(|on| on.run == run);
        if let Some(on) = tried.find(|on| !executor.is_harmless(on)) {
            let twice = now + now.saturating_sub(on.placed_at);
            let next = trial.until.min(twice).max(now);
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

/// Whether an executor whose life is over has crashed, as far as is known:
/// it was not about to leave, nor was its machine called for.
fn has_crashed(executor: &Executor, why: IncarnationEnd) -> bool {
    let by_itself = matches!(
        why,
        IncarnationEnd::AnotherAnswers | IncarnationEnd::LeftMachine
    );
    let wanted = executor.is_departing()
        || executor.maintenance_due
        || executor.maintenance_ordered;
    by_itself && !wanted
}
