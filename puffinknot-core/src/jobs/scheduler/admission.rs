/*!
Which jobs are taken when more is handed in than can be done.

A job is of use until [`OF_USE`] times its objective has passed. One that
can't be done by then, reckoned as if the whole cell did nothing else than what
goes before it (see [`crate::jobs::backlog`]), is refused at once: its client
learns it while it can still do something about it, and those that were
accepted keep their room. An account is judged by the part of the
room that it can have: its share, or what others leave of the cell if that is
more. So one that hands in more than that is refused, and no other is for it.

Nothing is refused while little waits, and never what is due at times of its
own or lasts.
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
use crate::jobs::scheduler::retry_schedule::Returns;
use crate::jobs::scheduler::run_time_estimate::expected_end;
use crate::jobs::scheduler::Scheduler;

/// A job that takes longer than so many times its objective is of no use.
const OF_USE: Millis = 3;
/// How old the known backlog may be, in milliseconds: a small part of the
/// shortest objective. What was accepted since is added to it.
const BACKLOG_AGE: Millis = 50;
/// With each so many live jobs or executors the backlog may be older by
/// [`BACKLOG_AGE`], so that reckoning it takes a bounded share of the time.
const CROWD: usize = 512;
/// Work whose objectives end within so many milliseconds counts as one.
const GRAIN: Millis = 100;

/// A place in the order, in grains.
type Place = (PriorityClass, Timeliness, Millis);

fn place(rank: &Rank) -> Place {
    (rank.class, rank.timeliness, rank.sort_key / GRAIN)
}

/// What is known of the work that waits, and who was refused.
#[derive(Debug, Default)]
pub(super) struct Admission {
    /// By service.
    backlogs: BTreeMap<String, Backlog<Place>>,
    /// The weights of the accounts that compete for room.
    weights: BTreeMap<AccountIndex, f64>,
    /// What runs of each account.
    held: BTreeMap<AccountIndex, Resources>,
    reckoned: Option<Millis>,
    returns: Returns,
}

/// Why a job is refused.
struct Refusal {
    wait: Wait,
    /// When it would end at the earliest.
    ends: Millis,
    /// Until when it is of use.
    of_use: Millis,
    /// How long it would keep its account's part of the room.
    takes: Millis,
}

/// Whether a job may be refused for want of room: timed and lasting work is
/// not done sooner or later than its time.
fn is_judged(job: &Job) -> bool {
    job.repeats.is_none() && !job.steps.iter().any(|step| step.lasting)
}

impl Scheduler {
    /// Decides whether a job that is not accepted yet is refused for want of
    /// room, and if so, returns after which time its client is to come back.
    pub(super) fn refuses(
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
        self.reckon_backlog(now);
        let live = self.jobs.get(&id)?;
        if !is_judged(&live.job) {
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
        let excess = refusal.ends.saturating_sub(refusal.of_use);
        let turn = self.turn(id, now + excess, refusal.takes, now);
        let live = self.jobs.get(&id)?;
        self.actions.push(Action::NotAdmitted {
            job: id,
            account: live.job.account.clone(),
            ends_in: refusal.ends.saturating_sub(now),
            of_use_for: refusal.of_use.saturating_sub(now),
            over_share,
        });
        Some(turn.saturating_sub(now).max(RETRY_AFTER))
    }

    fn refusal(
        &self,
        id: JobId,
        live: &LiveJob,
        now: Millis,
    ) -> Option<Refusal> {
        let backlog = self.admission.backlogs.get(&live.queue.service)?;
        let rank = self.rank(StepKey { job: id, time: 0, step: 0 }, now)?;
        let room = backlog.capacity();
        let own = live.account.and_then(|account| {
            Some((account, self.part_of_room(account, room)?))
        });
        let queue = &live.job.queue;
        let wait = backlog.wait(own, queue, place(&rank))?;
        if wait.least() == 0 {
            return None;
        }
        let of_use =
            live.arrived_at + OF_USE * (live.deadline - live.arrived_at);
        let ends = now + wait.least() + self.whole_chain(id, live);
        let part = own.map_or(1.0, |(_, part)| part);
        let takes = room.busy_with(&self.work_of(id, live, |_| true), part);
        (ends > of_use).then_some(Refusal { wait, ends, of_use, takes })
    }

    /// The part of the room that an account can have: its share among those
    /// that compete, or what the others don't hold if that is more.
    fn part_of_room(
        &self,
        account: AccountIndex,
        room: &ServiceCapacity,
    ) -> Option<f64> {
        let share = self.share_of_room(account)?;
        let held = self.admission.held.iter();
        let others = held.filter(|(other, _)| **other != account);
        let others =
            others.fold(Resources::default(), |sum, (_, held)| sum.plus(held));
        Some(share.max(1.0 - room.part_of(&others)))
    }

    /// An account's share among those that compete for room, by weight.
    fn share_of_room(&self, account: AccountIndex) -> Option<f64> {
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

    /// Reckons the backlog anew if it is too old.
    fn reckon_backlog(&mut self, now: Millis) {
        let crowds = self.jobs.len() / CROWD + self.executor_count() / CROWD;
        let age = BACKLOG_AGE * (1 + crowds as Millis);
        let reckoned = self.admission.reckoned;
        if reckoned.is_some_and(|at| now < at + age) {
            return;
        }
        let mut backlogs = self.rooms(now);
        let unsettled = self.takeover_deadline.is_some();
        for (id, live) in &self.jobs {
            let Some(backlog) = backlogs.get_mut(&live.queue.service) else {
                continue;
            };
            // What a predecessor has started may run unseen.
            let unknown = live.inherited && unsettled;
            if !unknown && live.ended.is_none() {
                self.add_waiting(backlog, *id, live, now);
            }
        }
        let waiting = backlogs.values().flat_map(Backlog::accounts);
        let held: BTreeMap<AccountIndex, Resources> =
            self.ledger.held().collect();
        let competing = waiting.chain(held.keys().copied());
        let weights = competing
            .filter_map(|account| Some((account, self.weight_of(account)?)));
        self.admission.weights = weights.collect();
        self.admission.held = held;
        self.admission.backlogs = backlogs;
        self.admission.reckoned = Some(now);
    }

    /// The room of each service: that of all executors that take work, or
    /// will again when they are heard.
    fn rooms(&self, now: Millis) -> BTreeMap<String, Backlog<Place>> {
        let mut rooms: BTreeMap<&str, ServiceCapacity> = BTreeMap::new();
        // What saves its progress may leave its room at any time.
        let gives_way = self.is_enabled(Mechanism::UrgentPreemption);
        let stays =
            |e: &&Executor| e.incarnation_end.is_none() && !e.info.draining;
        for executor in self.executors.values().filter(stays) {
            let room = rooms.entry(&executor.info.service).or_default();
            room.add(&executor.info.capacity, &executor.free);
            for (task, run) in &executor.runs {
                let saves =
                    self.step(task.step).is_some_and(|s| s.checkpoints);
                let left = match saves && gives_way {
                    true => 0,
                    false => expected_end(run, now).saturating_sub(now),
                };
                room.free_after(left, &run.need);
            }
        }
        let rooms = rooms.into_iter();
        rooms.map(|(name, room)| (name.into(), Backlog::new(room))).collect()
    }

    /// Adds what waits of a job to a backlog. Steps whose turn has not come
    /// are left out: they are in nobody's way yet.
    fn add_waiting(
        &self,
        backlog: &mut Backlog<Place>,
        id: JobId,
        live: &LiveJob,
        now: Millis,
    ) {
        for (&(time, number), run) in &live.steps {
            let step = &live.job.steps[number as usize];
            if step.lasting || !run.released || run.waiting.is_empty() {
                continue;
            }
            let key = StepKey { job: id, time, step: number };
            let Some(rank) = self.rank(key, now) else { continue };
            let tasks = run.waiting.len() as u32;
            let each = self.nominal_run_time(key);
            let work = Work::of(&step.footprint(), tasks, each);
            let urgent = rank.is_urgent().then(|| place(&rank));
            backlog.add(live.account, &live.job.queue, &work, urgent);
        }
    }

    /// Adds a job that is accepted now, all steps of which may yet wait, to
    /// the backlog that is known.
    fn add_to_backlog(&mut self, id: JobId, now: Millis) {
        let Some(live) = self.jobs.get(&id) else { return };
        let key = StepKey { job: id, time: 0, step: 0 };
        let Some(rank) = self.rank(key, now) else { return };
        let work = self.work_of(id, live, |step| step.after.is_empty());
        let backlogs = &mut self.admission.backlogs;
        let Some(backlog) = backlogs.get_mut(&live.queue.service) else {
            return;
        };
        let urgent = rank.is_urgent().then(|| place(&rank));
        backlog.add(live.account, &live.job.queue, &work, urgent);
    }

    /// The work of those steps of a job that are asked for.
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

    /// How long a job should take from its start on, in milliseconds.
    fn whole_chain(&self, job: JobId, live: &LiveJob) -> Millis {
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

    /// When a job is to come back for which there is room from `from` on.
    fn turn(
        &mut self,
        id: JobId,
        from: Millis,
        takes: Millis,
        now: Millis,
    ) -> Millis {
        if !self.is_enabled(Mechanism::ReturnTimes) {
            return now + RETRY_AFTER;
        }
        let Some(live) = self.jobs.get(&id) else { return now + RETRY_AFTER };
        let line = (live.account, live.job.queue.clone());
        let returns = &mut self.admission.returns;
        let turn = returns.turn(id, line, from, takes, now);
        returns.refused(id, live.arrived_at, true, turn);
        turn
    }

    /// A job is refused for another reason than want of room; its client is
    /// to come back after [`RETRY_AFTER`].
    pub(super) fn record_refusal(
        &mut self,
        id: JobId,
        first: Millis,
        now: Millis,
    ) {
        if self.is_enabled(Mechanism::ReturnTimes) {
            let returns = &mut self.admission.returns;
            let first = returns.first(id).map_or(first, |(first, _)| first);
            returns.refused(id, first, false, now + RETRY_AFTER);
        }
    }

    /// Since when a job counts that is handed in now: since its first attempt.
    /// One that was refused for another reason than want of room and can't
    /// meet its objective any more counts as new: it is late whenever it ends,
    /// but would be behind all that is new.
    pub(super) fn counts_since(
        &self,
        job: &Job,
        queue: &Queue,
        now: Millis,
    ) -> Millis {
        let Some((first, for_room)) = self.admission.returns.first(job.id)
        else {
            return now;
        };
        let chain = job.critical_path();
        let met = now + chain <= first + queue.objective(chain);
        if met || for_room {
            first
        } else {
            now
        }
    }

    /// A job is accepted.
    pub(super) fn admitted(&mut self, id: JobId) {
        self.admission.returns.accepted(id);
    }

    /// Forgets refused clients that should have come back.
    pub(super) fn forget_refusals(&mut self, now: Millis) {
        self.admission.returns.forget(now);
    }
}
