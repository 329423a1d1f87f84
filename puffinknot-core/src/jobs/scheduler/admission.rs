/*!
Admission control: refuses jobs that could not end while they are useful.

A job is useful until some times its objective has passed, see
[`useful_until`]. A job that can't end by then is refused at once, so that its client can still
react and the accepted jobs keep their capacity. The estimate of its end is a
lower bound: it assumes that the whole cell works on nothing but what ranks
ahead of the job (see [`crate::jobs::backlog`]).

What ranks ahead depends on whether the job can be in time. A job that can goes
before all late work, and is accepted if what can be in time itself leaves it
an end in time. A job that can't waits for that work, for late work that has to
start earlier, and for all jobs in time that arrive until it starts (see
[`super::demand`]). It is accepted if it and all late work that was accepted
earlier still end while they are useful (see [`crate::jobs::start_backlog`]).
Work that is past all use goes last and keeps nothing out.

An account's jobs are measured against the capacity that the account can have:
its share, or what the other accounts leave if that is more. An account that
submits more than that has its own jobs refused, and causes no refusals for
others.

Nothing is refused while no work waits ahead of a job, unless its calls for
advice would wait too long (see [`super::advice_load`]). Repeating and
long-running jobs are never refused here.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::backlog::{ServiceCapacity, Work};
use crate::jobs::executor::Executor;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action};
use crate::jobs::model::{Job, JobId, Step, StepKey};
use crate::jobs::policy::Queue;
use crate::jobs::scheduler::demand::{Arrival, Demand};
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::ranking::{Rank, Timeliness};
use crate::jobs::scheduler::requests::RETRY_AFTER;
use crate::jobs::scheduler::retry_schedule::{retry_interval, RetrySchedule};
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::service_backlog::{
    rank_key, useful_until, ByTimeliness, ServiceBacklog, NO_WORK,
};
use crate::jobs::scheduler::Scheduler;
use crate::jobs::start_backlog::AvailableCapacity;

/// The longest time for which a computed backlog is used, in a small cell: a
/// small part of the shortest objective. Jobs accepted meanwhile are added.
const MAX_BACKLOG_AGE: Millis = 50;
/// For each this many live jobs, and for each this many executors, a backlog
/// is used for another [`MAX_BACKLOG_AGE`], so that computing it takes a
/// bounded share of the time.
const BACKLOG_AGE_STEP: usize = 512;

/// The backlog of each service, and the refused jobs.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// The backlogs by service.
    backlogs: BTreeMap<String, ServiceBacklog>,
    demand: Demand,
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
    /// Whether its account has more than its share of the waiting work.
    over_share: bool,
    /// The earliest end of the job, in milliseconds from now; `None` while
    /// newer jobs will take all capacity.
    ends_in: Option<Millis>,
    /// Until when the job is useful.
    useful_until: Millis,
    /// How much too late it would end if no newer job took any capacity, in
    /// milliseconds.
    excess: Millis,
    /// How long the job would occupy its account's part of the capacity, in
    /// milliseconds.
    duration: f64,
}

/// A job that is to be accepted or refused, and what it competes with.
struct Candidate<'a> {
    id: JobId,
    live: &'a LiveJob,
    rank: Rank,
    /// The account whose work alone counts, if it has one.
    account: Option<AccountIndex>,
    /// The fraction of the capacity that the account can have.
    fraction: f64,
    /// The waiting work of its queue.
    waiting: &'a ByTimeliness,
    /// The capacity behind urgent work of other queues.
    available: AvailableCapacity<'a>,
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
        let refused = self.refuse_for_capacity(id, now);
        self.record_demand(id, now);
        refused
    }

    fn refuse_for_capacity(
        &mut self,
        id: JobId,
        now: Millis,
    ) -> Option<Millis> {
        if !is_refusable(&self.jobs.get(&id)?.job) {
            return None;
        }
        let retry_at = match self.refuse_for_advice(id, now) {
            Some(retry_at) => retry_at,
            None => self.refuse_for_backlog(id, now)?,
        };
        Some(retry_at.saturating_sub(now).max(RETRY_AFTER))
    }

    /// Returns when the client is to retry if the job is refused.
    fn refuse_for_backlog(
        &mut self,
        id: JobId,
        now: Millis,
    ) -> Option<Millis> {
        if self.ready.is_empty() {
            return None;
        }
        self.refresh_backlog(now);
        let live = self.jobs.get(&id)?;
        let Some(refusal) = self.refusal(id, live, now) else {
            self.add_to_backlog(id, now);
            return None;
        };
        let over_share = refusal.over_share;
        self.count(match over_share {
            true => "refused_account_over_share",
            false => "refused_no_room_in_time",
        });
        let left = refusal.useful_until.saturating_sub(now);
        // When newer jobs leave capacity is not known.
        let from = now + refusal.excess.max(retry_interval(left));
        let retry_at = self.schedule_retry(id, from, refusal.duration, now);
        let live = self.jobs.get(&id)?;
        self.actions.push(Action::NotAdmitted {
            job: id,
            account: live.job.account.clone(),
            ends_in: refusal.ends_in,
            of_use_for: refusal.useful_until.saturating_sub(now),
            over_share,
        });
        Some(retry_at)
    }

    /// Why a job can't be accepted, if it can't.
    fn refusal(
        &self,
        id: JobId,
        live: &LiveJob,
        now: Millis,
    ) -> Option<Refusal> {
        let backlogs = self.admission.backlogs.get(&live.queue.service)?;
        let candidate = self.candidate_job(id, live, backlogs, now)?;
        if self.fits_in_time(&candidate, now) {
            return None;
        }
        let Candidate { account, fraction, rank, .. } = candidate;
        let own = account.map(|account| (account, fraction));
        let queue = &live.job.queue;
        let wait = backlogs.all.wait(own, queue, rank_key(&rank))?;
        if wait.effective() == 0 {
            return None;
        }
        // It waits for all work in time, also what is still to come, and for
        // late work that has to start earlier.
        let late = &candidate.waiting.late;
        let in_time = candidate.waiting.in_time.before(Millis::MAX);
        let ahead = candidate.available.ahead.plus(&in_time);
        let available = AvailableCapacity { ahead, ..candidate.available };
        let demand = self.overtaking(&candidate, 0, now);
        let with_demand = AvailableCapacity { demand, ..available };
        let chain = self.total_chain_time(id, live);
        let useful_until = useful_until(live);
        let latest_start = useful_until.saturating_sub(chain);
        let work = self.work_of(id, live, |step| step.after.is_empty());
        if late.fits(latest_start, &work, &with_demand, now) {
            return None;
        }
        let before = late.before(latest_start);
        let ends_after = |available: AvailableCapacity<'_>| {
            Some(available.start_behind(&before)? + chain)
        };
        let least = now + ends_after(available)?;
        let all = self.work_of(id, live, |_| true);
        Some(Refusal {
            over_share: wait.over_share(),
            ends_in: ends_after(with_demand),
            useful_until,
            excess: least.saturating_sub(useful_until),
            duration: available.capacity.time_with_all(&all, fraction),
        })
    }

    fn candidate_job<'a>(
        &self,
        id: JobId,
        live: &'a LiveJob,
        backlogs: &'a ServiceBacklog,
        now: Millis,
    ) -> Option<Candidate<'a>> {
        let rank = self.rank(StepKey { job: id, time: 0, step: 0 }, now)?;
        let capacity = backlogs.capacity_for(&live.job, rank.is_urgent());
        let own = live.account.and_then(|account| {
            Some((account, self.capacity_fraction(account, capacity)?))
        });
        let account = own.map(|(account, _)| account);
        let fraction = own.map_or(1.0, |(_, fraction)| fraction);
        let queue = &live.job.queue;
        let waiting = backlogs.by_queue.get(&(queue.clone(), account));
        let key = rank_key(&rank);
        let ahead = backlogs.all.urgent_elsewhere(account, queue, key);
        let available =
            AvailableCapacity { capacity, fraction, ahead, demand: 0.0 };
        let waiting = waiting.unwrap_or(&NO_WORK);
        Some(Candidate {
            id,
            live,
            rank,
            account,
            fraction,
            waiting,
            available,
        })
    }

    /// Whether all steps of a job can start in time, behind what starts
    /// earlier and what will overtake them.
    fn fits_in_time(&self, candidate: &Candidate<'_>, now: Millis) -> bool {
        let Candidate { id, live, .. } = *candidate;
        // The earlier steps of the job itself go before the next one.
        let mut earlier = Work::default();
        (0..).zip(&live.job.steps).all(|(number, step)| {
            let key = StepKey { job: id, time: 0, step: number };
            let Some(rank) = self.rank(key, now) else { return false };
            let remaining = self.remaining_critical_path(key);
            let slack = live.deadline.saturating_sub(now + remaining);
            let demand = self.overtaking(candidate, slack.max(1), now);
            let available =
                AvailableCapacity { demand, ..candidate.available };
            let in_time = &candidate.waiting.in_time;
            let before = in_time.before(rank.sort_key).plus(&earlier);
            earlier = earlier.plus(&self.step_work(key, step, step.count));
            let wait = available.start_behind(&before);
            rank.timeliness == Timeliness::InTime
                && wait.is_some_and(|wait| wait <= slack)
        })
    }

    /// The fraction of a job's part of the capacity that work takes which is
    /// still to come and will overtake a step with this slack. A slack of zero
    /// means that it is late.
    fn overtaking(
        &self,
        candidate: &Candidate<'_>,
        slack: Millis,
        now: Millis,
    ) -> f64 {
        let Candidate { live, rank, account, fraction, .. } = candidate;
        let (queue, urgent) = (&live.job.queue, rank.is_urgent());
        let demand = &self.admission.demand;
        demand.overtaking(queue, urgent, *account, slack, now) / fraction
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

    /// The longest time for which a computed backlog is used.
    pub(super) fn max_backlog_age(&self) -> Millis {
        let steps = self.jobs.len() / BACKLOG_AGE_STEP
            + self.executor_count() / BACKLOG_AGE_STEP;
        MAX_BACKLOG_AGE * (1 + steps as Millis)
    }

    /// Computes the backlogs again if they are too old.
    fn refresh_backlog(&mut self, now: Millis) {
        let max_age = self.max_backlog_age();
        let computed_at = self.admission.computed_at;
        if computed_at.is_some_and(|at| now < at + max_age) {
            return;
        }
        let mut backlogs = self.empty_backlogs(now);
        let takeover_pending = self.takeover_deadline.is_some();
        for (id, live) in &self.jobs {
            let Some(of_service) = backlogs.get_mut(&live.queue.service)
            else {
                continue;
            };
            // A predecessor may have started tasks that are not known yet.
            let unknown = live.inherited && takeover_pending;
            if !unknown && live.ended.is_none() {
                self.add_waiting(of_service, *id, live, now);
            }
        }
        let waiting = backlogs.values().flat_map(|b| b.all.accounts());
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
    fn empty_backlogs(&self, now: Millis) -> BTreeMap<String, ServiceBacklog> {
        let mut capacities: BTreeMap<
            &str,
            (ServiceCapacity, ServiceCapacity),
        > = BTreeMap::new();
        let preempts = self.is_enabled(Mechanism::UrgentPreemption);
        let remains =
            |e: &&Executor| e.incarnation_end.is_none() && !e.info.draining;
        for executor in self.executors.values().filter(remains) {
            let (normal, preempting) =
                capacities.entry(&executor.info.service).or_default();
            normal.add(&executor.info.capacity, &executor.free);
            preempting.add(&executor.info.capacity, &executor.free);
            for (task, run) in &executor.runs {
                let checkpoints =
                    self.step(task.step).is_some_and(|s| s.checkpoints);
                let left = expected_end(run, now).saturating_sub(now);
                normal.free_after(left, &run.need);
                // A run that saves checkpoints may be preempted at any time.
                let left = if checkpoints && preempts { 0 } else { left };
                preempting.free_after(left, &run.need);
            }
        }
        let backlogs = capacities.into_iter().map(|(name, capacities)| {
            let (normal, preempting) = capacities;
            (name.to_string(), ServiceBacklog::new(normal, preempting))
        });
        backlogs.collect()
    }

    /// Adds the waiting tasks of a job to a backlog, and its steps that are
    /// not released yet.
    fn add_waiting(
        &self,
        backlogs: &mut ServiceBacklog,
        id: JobId,
        live: &LiveJob,
        now: Millis,
    ) {
        for (&(time, number), state) in &live.steps {
            let key = StepKey { job: id, time, step: number };
            let tasks = state.waiting.len() as u32;
            if state.released && tasks > 0 {
                self.add_step(backlogs, key, live, tasks, true, now);
            }
        }
        // A job that is being decided on has no state yet.
        if live.job.repeats.is_some() || live.steps.is_empty() {
            return;
        }
        for (number, step) in (0..).zip(&live.job.steps) {
            let state = live.steps.get(&(0, number));
            if state.is_none_or(|state| !state.released) {
                let key = StepKey { job: id, time: 0, step: number };
                self.add_step(backlogs, key, live, step.count, false, now);
            }
        }
    }

    fn add_step(
        &self,
        backlogs: &mut ServiceBacklog,
        key: StepKey,
        live: &LiveJob,
        tasks: u32,
        released: bool,
        now: Millis,
    ) {
        let step = &live.job.steps[key.step as usize];
        let Some(rank) = self.rank(key, now) else { return };
        if step.lasting {
            return;
        }
        let work = self.step_work(key, step, tasks);
        if !released {
            return backlogs.add_unreleased(live, &rank, &work);
        }
        let remaining = self.remaining_critical_path(key);
        let latest_start = useful_until(live).saturating_sub(remaining);
        backlogs.add(live, &rank, &work, latest_start);
    }

    /// The work of some tasks of a step.
    fn step_work(&self, key: StepKey, step: &Step, tasks: u32) -> Work {
        Work::of(&step.footprint(), tasks, self.nominal_run_time(key))
    }

    /// Adds the steps of a job that is being accepted to the computed
    /// backlog.
    fn add_to_backlog(&mut self, id: JobId, now: Millis) {
        let mut backlogs = std::mem::take(&mut self.admission.backlogs);
        let live = self.jobs.get(&id);
        let found = live.and_then(|live| {
            Some((live, backlogs.get_mut(&live.queue.service)?))
        });
        if let Some((live, backlogs)) = found {
            for (number, step) in (0..).zip(&live.job.steps) {
                let key = StepKey { job: id, time: 0, step: number };
                let first = step.after.is_empty();
                self.add_step(backlogs, key, live, step.count, first, now);
            }
        }
        self.admission.backlogs = backlogs;
    }

    /// Records the first attempt of a job as demand.
    fn record_demand(&mut self, id: JobId, now: Millis) {
        let Some(live) = self.jobs.get(&id) else { return };
        if live.arrived_at < now || !is_refusable(&live.job) {
            return;
        }
        let backlogs = self.admission.backlogs.get(&live.queue.service);
        let rank = self.rank(StepKey { job: id, time: 0, step: 0 }, now);
        let (Some(backlogs), Some(rank)) = (backlogs, rank) else { return };
        let work = self.work_of(id, live, |_| true);
        let chain = self.total_chain_time(id, live);
        let arrival = Arrival {
            queue: &live.job.queue,
            account: live.account,
            urgent: rank.is_urgent(),
            busy: backlogs.all.capacity().time_with_all(&work, 1.0),
            slack: live.deadline.saturating_sub(now + chain),
            objective: live.deadline.saturating_sub(now),
        };
        self.admission.demand.record(&arrival, now);
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
            sum.plus(&self.step_work(key, step, step.count))
        })
    }

    /// How long a job should take from start to end, in milliseconds.
    pub(super) fn total_chain_time(
        &self,
        job: JobId,
        live: &LiveJob,
    ) -> Millis {
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
    pub(super) fn schedule_retry(
        &mut self,
        id: JobId,
        from: Millis,
        duration: f64,
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

    /// Drops refusals whose retry time has long passed, and old demand.
    pub(super) fn forget_refusals(&mut self, now: Millis) {
        self.admission.retry_schedule.drop_expired(now);
        self.admission.demand.drop_stale(now);
    }
}
