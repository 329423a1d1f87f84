/*!
Admission control: refuses jobs that could not end while they are useful.

A job is useful until [`USEFUL_OBJECTIVES`] times its objective has passed. A
job that can't end by then is refused at once, so that its client can still
react and the accepted jobs keep their capacity. The estimate of its end is a
lower bound: it assumes that the whole cell works on nothing but what ranks
ahead of the job (see [`crate::jobs::backlog`]).

An account's jobs are measured against the capacity that the account can have:
its share, or what the other accounts leave if that is more. An account that
submits more than that has its own jobs refused, and causes no refusals for
others.

Nothing is refused while no work waits ahead of a job. Repeating and
long-running jobs are never refused here.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::backlog::{Backlog, ServiceCapacity, Wait, Work};
use crate::jobs::executor::Executor;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action};
use crate::jobs::model::{Job, JobId, Step, StepKey};
use crate::jobs::policy::Queue;
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::ranking::{PriorityClass, Rank, Timeliness};
use crate::jobs::scheduler::requests::RETRY_AFTER;
use crate::jobs::scheduler::retry_schedule::RetrySchedule;
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::Scheduler;

/// A job is useful until this many times its objective has passed.
const USEFUL_OBJECTIVES: Millis = 3;
/// The longest time for which a computed backlog is used, in a small cell: a
/// small part of the shortest objective. Jobs accepted meanwhile are added.
const MAX_BACKLOG_AGE: Millis = 50;
/// For each this many live jobs, and for each this many executors, a backlog
/// is used for another [`MAX_BACKLOG_AGE`], so that computing it takes a
/// bounded share of the time.
const BACKLOG_AGE_STEP: usize = 512;
/// Sort keys are rounded to this, so that the backlog has few entries.
const RANK_GRAIN: Millis = 100;

/// A rank, rounded to [`RANK_GRAIN`].
type RankKey = (PriorityClass, Timeliness, Millis);

fn rank_key(rank: &Rank) -> RankKey {
    (rank.class, rank.timeliness, rank.sort_key / RANK_GRAIN)
}

/// The backlog of each service, and the refused jobs.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// The backlogs by service.
    backlogs: BTreeMap<String, Backlog<RankKey>>,
    /// The weights of the accounts that compete for capacity.
    weights: BTreeMap<AccountIndex, f64>,
    /// The usage of each account that has runs.
    used: BTreeMap<AccountIndex, Resources>,
    /// When all of the above was computed.
    computed_at: Option<Millis>,
    retry_schedule: RetrySchedule,
}

/// The reason and the times behind a refusal.
struct Refusal {
    wait: Wait,
    /// The earliest time at which the job could end.
    earliest_end: Millis,
    /// Until when the job is useful.
    useful_until: Millis,
    /// How long the job would occupy its account's part of the capacity, in
    /// milliseconds.
    duration: Millis,
}

/// Whether a job may be refused for lack of capacity. Repeating jobs start at
/// fixed times and long-running ones have no end to be late for.
fn is_refusable(job: &Job) -> bool {
    job.repeats.is_none() && !job.steps.iter().any(|step| step.lasting)
}

impl Scheduler {
    /// Decides whether to refuse a new job for lack of capacity. Returns the
    /// time after which the client is to retry if the job is refused.
    pub(super) fn refuse_if_late(
        &mut self,
        id: JobId,
        now: Millis,
    ) -> Option<Millis> {
        if !self.is_enabled(Mechanism::Admission) {
            return None;
        }
        if self.ready.is_empty() {
            return None;
        }
        self.refresh_backlog(now);
        let live = self.jobs.get(&id)?;
        if !is_refusable(&live.job) {
            return None;
        }
        let Some(refusal) = self.refusal(id, live, now) else {
            self.add_to_backlog(id, now);
            return None;
        };
        let over_share = refusal.wait.over_share();
        self.count(match over_share {
            true => "refused_account_over_share",
            false => "refused_no_room_in_time",
        });
        let excess = refusal.earliest_end.saturating_sub(refusal.useful_until);
        let retry_at =
            self.schedule_retry(id, now + excess, refusal.duration, now);
        let live = self.jobs.get(&id)?;
        self.actions.push(Action::NotAdmitted {
            job: id,
            account: live.job.account.clone(),
            ends_in: refusal.earliest_end.saturating_sub(now),
            of_use_for: refusal.useful_until.saturating_sub(now),
            over_share,
        });
        Some(retry_at.saturating_sub(now).max(RETRY_AFTER))
    }

    fn refusal(
        &self,
        id: JobId,
        live: &LiveJob,
        now: Millis,
    ) -> Option<Refusal> {
        let backlog = self.admission.backlogs.get(&live.queue.service)?;
        let rank = self.rank(StepKey { job: id, time: 0, step: 0 }, now)?;
        let capacity = backlog.capacity();
        let own = live.account.and_then(|account| {
            Some((account, self.capacity_fraction(account, capacity)?))
        });
        let queue = &live.job.queue;
        let wait = backlog.wait(own, queue, rank_key(&rank))?;
        if wait.effective() == 0 {
            return None;
        }
        let useful_until = live.arrived_at
            + USEFUL_OBJECTIVES * (live.deadline - live.arrived_at);
        let earliest_end =
            now + wait.effective() + self.total_chain_time(id, live);
        let part = own.map_or(1.0, |(_, part)| part);
        let duration =
            capacity.time_with_all(&self.work_of(id, live, |_| true), part);
        (earliest_end > useful_until).then_some(Refusal {
            wait,
            earliest_end,
            useful_until,
            duration,
        })
    }

    /// The fraction of the capacity that an account can have: its share by
    /// weight, or what the other accounts don't use if that is more.
    fn capacity_fraction(
        &self,
        account: AccountIndex,
        capacity: &ServiceCapacity,
    ) -> Option<f64> {
        let share = self.weight_share(account)?;
        let used = self.admission.used.iter();
        let others = used.filter(|(other, _)| **other != account);
        let others =
            others.fold(Resources::default(), |sum, (_, used)| sum.plus(used));
        Some(share.max(1.0 - capacity.fraction_of(&others)))
    }

    /// An account's share by weight among the accounts that compete for
    /// capacity.
    fn weight_share(&self, account: AccountIndex) -> Option<f64> {
        let weights = &self.admission.weights;
        let own = weights.get(&account).copied();
        let own = own.or_else(|| self.weight_of(account))?;
        let others = weights.iter().filter(|(other, _)| **other != account);
        let others: f64 = others.map(|(_, weight)| weight).sum();
        Some(own / (own + others))
    }

    fn weight_of(&self, account: AccountIndex) -> Option<f64> {
        let name = self.ledger.name(account)?;
        let weight = self.policy.accounts.get(name)?.weight;
        (weight > 0.0).then_some(weight)
    }

    /// Computes the backlogs again if they are too old.
    fn refresh_backlog(&mut self, now: Millis) {
        let steps = self.jobs.len() / BACKLOG_AGE_STEP
            + self.executor_count() / BACKLOG_AGE_STEP;
        let max_age = MAX_BACKLOG_AGE * (1 + steps as Millis);
        let computed_at = self.admission.computed_at;
        if computed_at.is_some_and(|at| now < at + max_age) {
            return;
        }
        let mut backlogs = self.empty_backlogs(now);
        let takeover_pending = self.takeover_deadline.is_some();
        for (id, live) in &self.jobs {
            let Some(backlog) = backlogs.get_mut(&live.queue.service) else {
                continue;
            };
            // A predecessor may have started tasks that are not known yet.
            let unknown = live.inherited && takeover_pending;
            if !unknown && live.ended.is_none() {
                self.add_waiting(backlog, *id, live, now);
            }
        }
        let waiting = backlogs.values().flat_map(Backlog::accounts);
        let used: BTreeMap<AccountIndex, Resources> =
            self.ledger.used().collect();
        let competing = waiting.chain(used.keys().copied());
        let weights = competing
            .filter_map(|account| Some((account, self.weight_of(account)?)));
        self.admission.weights = weights.collect();
        self.admission.used = used;
        self.admission.backlogs = backlogs;
        self.admission.computed_at = Some(now);
    }

    /// Empty backlogs with the capacity of each service: that of all executors
    /// that accept work, or will once they respond again.
    fn empty_backlogs(
        &self,
        now: Millis,
    ) -> BTreeMap<String, Backlog<RankKey>> {
        let mut capacities: BTreeMap<&str, ServiceCapacity> = BTreeMap::new();
        // A run that saves checkpoints may be preempted at any time.
        let preempts = self.is_enabled(Mechanism::UrgentPreemption);
        let remains =
            |e: &&Executor| e.incarnation_end.is_none() && !e.info.draining;
        for executor in self.executors.values().filter(remains) {
            let capacity =
                capacities.entry(&executor.info.service).or_default();
            capacity.add(&executor.info.capacity, &executor.free);
            for (task, run) in &executor.runs {
                let checkpoints =
                    self.step(task.step).is_some_and(|s| s.checkpoints);
                let left = match checkpoints && preempts {
                    true => 0,
                    false => expected_end(run, now).saturating_sub(now),
                };
                capacity.free_after(left, &run.need);
            }
        }
        let capacities = capacities.into_iter();
        capacities
            .map(|(name, capacity)| (name.into(), Backlog::new(capacity)))
            .collect()
    }

    /// Adds the waiting tasks of a job to a backlog. Steps that are not
    /// released are left out, since they don't compete for capacity yet.
    fn add_waiting(
        &self,
        backlog: &mut Backlog<RankKey>,
        id: JobId,
        live: &LiveJob,
        now: Millis,
    ) {
        for (&(time, number), state) in &live.steps {
            let step = &live.job.steps[number as usize];
            if step.lasting || !state.released || state.waiting.is_empty() {
                continue;
            }
            let key = StepKey { job: id, time, step: number };
            let Some(rank) = self.rank(key, now) else { continue };
            let tasks = state.waiting.len() as u32;
            let each = self.nominal_run_time(key);
            let work = Work::of(&step.footprint(), tasks, each);
            let urgent = rank.is_urgent().then(|| rank_key(&rank));
            backlog.add(live.account, &live.job.queue, &work, urgent);
        }
    }

    /// Adds the first steps of a job that is being accepted to the computed
    /// backlog.
    fn add_to_backlog(&mut self, id: JobId, now: Millis) {
        let Some(live) = self.jobs.get(&id) else { return };
        let key = StepKey { job: id, time: 0, step: 0 };
        let Some(rank) = self.rank(key, now) else { return };
        let work = self.work_of(id, live, |step| step.after.is_empty());
        let backlogs = &mut self.admission.backlogs;
        let Some(backlog) = backlogs.get_mut(&live.queue.service) else {
            return;
        };
        let urgent = rank.is_urgent().then(|| rank_key(&rank));
        backlog.add(live.account, &live.job.queue, &work, urgent);
    }

    /// The work of the steps of a job that `which` selects.
    fn work_of(
        &self,
        job: JobId,
        live: &LiveJob,
        which: impl Fn(&Step) -> bool,
    ) -> Work {
        let steps = (0..).zip(&live.job.steps);
        let steps = steps.filter(|(_, step)| which(step));
        steps.fold(Work::default(), |sum, (number, step)| {
            let key = StepKey { job, time: 0, step: number };
            let each = self.nominal_run_time(key);
            sum.plus(&Work::of(&step.footprint(), step.count, each))
        })
    }

    /// How long a job should take from start to end, in milliseconds.
    fn total_chain_time(&self, job: JobId, live: &LiveJob) -> Millis {
        let steps = (0..).zip(&live.job.steps);
        let first = steps.filter(|(_, step)| step.after.is_empty());
        let chains = first.map(|(number, _)| {
            self.remaining_critical_path(StepKey {
                job,
                time: 0,
                step: number,
            })
        });
        chains.max().unwrap_or(0)
    }

    /// Schedules the retry of a job for which there should be capacity from
    /// `from` on, and which then occupies it for `duration`. Returns when the
    /// client is to retry.
    fn schedule_retry(
        &mut self,
        id: JobId,
        from: Millis,
        duration: Millis,
        now: Millis,
    ) -> Millis {
        if !self.is_enabled(Mechanism::ReturnTimes) {
            return now + RETRY_AFTER;
        }
        let Some(live) = self.jobs.get(&id) else { return now + RETRY_AFTER };
        let lane = (live.account, live.job.queue.clone());
        let schedule = &mut self.admission.retry_schedule;
        let retry_at = schedule.schedule(id, lane, from, duration, now);
        schedule.record(id, live.arrived_at, true, retry_at);
        retry_at
    }

    /// Records that a job is refused for another reason than lack of capacity.
    /// Its client is to retry after [`RETRY_AFTER`].
    pub(super) fn record_refusal(
        &mut self,
        id: JobId,
        first_attempt: Millis,
        now: Millis,
    ) {
        if self.is_enabled(Mechanism::ReturnTimes) {
            let schedule = &mut self.admission.retry_schedule;
            let first = schedule
                .first_attempt(id)
                .map_or(first_attempt, |(first, _)| first);
            schedule.record(id, first, false, now + RETRY_AFTER);
        }
    }

    /// The arrival time of a job that is submitted now: its first attempt. A
    /// job that was refused for another reason than lack of capacity and can
    /// no longer meet its objective counts as new. It will be late in any
    /// case, but by its first attempt it would also rank behind all new jobs.
    pub(super) fn effective_arrival(
        &self,
        job: &Job,
        queue: &Queue,
        now: Millis,
    ) -> Millis {
        let Some((first, for_capacity)) =
            self.admission.retry_schedule.first_attempt(job.id)
        else {
            return now;
        };
        let chain = job.critical_path();
        let met = now + chain <= first + queue.objective(chain);
        if met || for_capacity {
            first
        } else {
            now
        }
    }

    /// Records that a job is accepted.
    pub(super) fn record_acceptance(&mut self, id: JobId) {
        self.admission.retry_schedule.remove(id);
    }

    /// Drops refusals whose retry time has long passed.
    pub(super) fn forget_refusals(&mut self, now: Millis) {
        self.admission.retry_schedule.drop_expired(now);
    }
}
