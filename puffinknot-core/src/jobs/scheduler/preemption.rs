/*!
Tasks that save their progress give way to gangs and to urgent tasks that would
miss their objectives.

In a full cell a wide gang finds room only when many tasks happen to end at one
time, and small ones take what gets free before. A task of a less urgent queue
that saves its progress loses little if it is stopped: it goes on from there
elsewhere. So a gang that has used a part of its slack in vain buys its room:
the executors on which it costs least, with the fewest processors to be freed
for each of its members. The room is kept for it while those tasks stop. Urgent
tasks do the same one by one: they are short, and late before what may wait has
made room by itself.

A task gives way once at most, and only if it can still be in time afterwards.
*/

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::executor::{Executor, Phase, PlacedRun};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, ExecutorIndex};
use crate::jobs::model::{Step, StepKey, TaskKey};
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::gangs::{Plan, Waiting};
use crate::jobs::scheduler::Scheduler;

/// Room is bought once this part of the slack is used.
const SLACK_USED: f64 = 0.1;
/// Room that was bought is kept for so long, in milliseconds: twice what a
/// stop may take.
const KEPT_FOR: Millis = 2_000;
/// A step for which there is not enough to displace tries again after this
/// time, in milliseconds.
const TRY_AGAIN: Millis = 200;
/// A task that gives way has at least so much slack left, in milliseconds: a
/// second to stop, one to be advised on and placed anew, one to spare.
const SLACK_LEFT: Millis = 3_000;
/// A task that should end within this time is left to it, in milliseconds.
const ENDS_SOON: Millis = 500;

/// An executor that may be cleared for tasks of a step.
struct PreemptionOption {
    at: ExecutorIndex,
    /// What is free there, once those chosen so far are gone.
    room: Resources,
    /// How many members fit into that.
    fits: u32,
    /// Who may give way besides, the one that loses least last.
    others: Vec<Victim>,
    chosen: Vec<Victim>,
}

/// A run that may give way.
#[derive(Clone, Copy)]
struct Victim {
    task: TaskKey,
    run: u64,
    need: Resources,
    /// Its account has more of the room than its share.
    over_share: bool,
    slack: Millis,
}

/// What it takes that further members fit on an executor.
struct PreemptionCost {
    /// How many have to give way.
    victims: usize,
    /// How many members fit then besides.
    gained: u32,
    /// The processor time to be freed for each of them.
    each: u32,
}

impl PreemptionOption {
    /// The price of the next members, if any others may give way for them.
    fn next(&self, step: &Step) -> Option<PreemptionCost> {
        let mut room = self.room;
        let mut freed = 0;
        for (at, victim) in self.others.iter().rev().enumerate() {
            room = room.plus(&victim.need);
            freed += victim.need.cpu_millis;
            let gained = fits(&room, step).saturating_sub(self.fits);
            if let Some(each) = freed.checked_div(gained) {
                return Some(PreemptionCost { victims: at + 1, gained, each });
            }
        }
        None
    }

    /// Takes the next members at this price.
    fn take(&mut self, price: &PreemptionCost, step: &Step) {
        for _ in 0..price.victims {
            let Some(victim) = self.others.pop() else { return };
            self.room = self.room.plus(&victim.need);
            self.chosen.push(victim);
        }
        self.fits = fits(&self.room, step);
    }
}

/// How many members of a step fit into this room of one executor.
fn fits(room: &Resources, step: &Step) -> u32 {
    let fits = fit_count(room, &step.footprint());
    match step.max_per_executor {
        0 => fits,
        most => fits.min(most),
    }
}

/// Chooses who gives way so that `count` tasks fit: always the cheapest next
/// ones. Returns how many do.
fn choose(offers: &mut [PreemptionOption], step: &Step, count: u32) -> u32 {
    let mut free: u32 = offers.iter().map(|offer| offer.fits).sum();
    while free < count {
        let priced = offers.iter_mut().filter_map(|offer| {
            let price = offer.next(step)?;
            Some((offer, price))
        });
        let cheapest = priced.min_by_key(|(_, price)| price.each);
        let Some((offer, price)) = cheapest else { break };
        offer.take(&price, step);
        free += price.gained;
    }
    free.min(count)
}

/// Where `count` tasks go: first where others give way.
fn plan(offers: &[PreemptionOption], count: u32) -> Plan {
    let mut order: Vec<&PreemptionOption> = offers.iter().collect();
    order.sort_by_key(|offer| (offer.chosen.is_empty(), offer.at));
    // What was bought is used whole; the rest goes into free room.
    let mut left = count;
    let mut plan = Plan::new();
    for offer in order {
        let taken = offer.fits.min(left);
        if taken > 0 {
            left -= taken;
            plan.push((offer.at, taken));
        }
    }
    plan
}

impl Scheduler {
    /// Whether room that was bought for a step is kept while others stop.
    pub(super) fn is_preempting(&self, key: StepKey, now: Millis) -> bool {
        self.step_state(key).is_some_and(|state| now < state.preempting_until)
    }

    /// Has others give way to a gang that has no room on these executors, if
    /// it would be late otherwise. Returns whether room is kept for it.
    pub(super) fn preempt_for_gang(
        &mut self,
        waiting: &Waiting<'_>,
        executors: &[ExecutorIndex],
        now: Millis,
    ) -> bool {
        self.may_preempt(waiting.key, now)
            && self.preempt_runs(waiting, executors, now)
    }

    /// Has others give way to tasks of an urgent step that have no room on
    /// these executors, if they would be late otherwise. Returns whether room
    /// is kept for any.
    pub(super) fn preempt_for_urgent(
        &mut self,
        waiting: &Waiting<'_>,
        executors: &[ExecutorIndex],
        now: Millis,
    ) -> bool {
        let key = waiting.key;
        let live = self.jobs.get(&key.job);
        let account = live.and_then(|live| live.account);
        if !self.is_enabled(Mechanism::UrgentPreemption)
            || self.over_urgent_share(account)
        {
            return false;
        }
        if self.is_preempting(key, now) && self.reservations_usable(key) {
            return true;
        }
        self.unreserve(key);
        self.may_preempt(key, now)
            && self.may_search_victims()
            && self.preempt_runs(waiting, executors, now)
    }

    /// Whether all executors with room that is kept for a step may still be
    /// used.
    fn reservations_usable(&self, key: StepKey) -> bool {
        let kept = self.reservations.get(&key).into_iter().flatten();
        let mut kept = kept.map(|at| self.executors.get(at));
        kept.all(|executor| executor.is_some_and(Executor::usable))
    }

    /// Has others give way to a step, to all of it if it is a gang. Returns
    /// whether room is kept for it.
    fn preempt_runs(
        &mut self,
        waiting: &Waiting<'_>,
        executors: &[ExecutorIndex],
        now: Millis,
    ) -> bool {
        let Waiting { key, step, count } = *waiting;
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let priority = live.queue.priority;
        let mut offers: Vec<PreemptionOption> = executors
            .iter()
            .filter_map(|&at| self.offer(at, key, step, priority, now))
            .collect();
        self.placement_stats.add_executors(executors.len());
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        self.placement_stats.add_runs(known.map(|e| e.runs.len()).sum());
        let found = choose(&mut offers, step, count);
        if found == 0 || step.gang && found < count {
            self.set_preemption_times(key, 0, now + TRY_AGAIN);
            return false;
        }
        let plan = plan(&offers, found);
        let used =
            |at: ExecutorIndex| plan.iter().any(|(used, _)| *used == at);
        offers.retain(|offer| used(offer.at));
        self.reserve(key, step, &plan);
        self.set_preemption_times(key, now + KEPT_FOR, now + KEPT_FOR);
        let victims = offers.into_iter().flat_map(|offer| {
            let at = offer.at;
            offer.chosen.into_iter().map(move |victim| (at, victim))
        });
        let victims: Vec<(ExecutorIndex, Victim)> = victims.collect();
        self.count(if priority == 0 {
            "urgent_displacements"
        } else {
            "displacements"
        });
        self.actions.push(Action::Preempted {
            step: key,
            tasks: victims.len() as u32,
        });
        for (at, victim) in victims {
            self.preempt_run(at, &victim);
        }
        let asked = plan.into_iter().map(|(at, _)| at).collect();
        self.request_advice(key, asked, now);
        true
    }

    /// Whether a step may have others give way: it can still be in time, and
    /// has waited for long enough.
    fn may_preempt(&self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let tried = self.step_state(key).map(|state| state.preempt_from);
        if self.rank(key, now).is_none_or(|rank| rank.is_over_share()) {
            return false;
        }
        if live.job.repeats.is_some() || tried.is_none_or(|from| now < from) {
            return false;
        }
        let whole = live.deadline.saturating_sub(live.arrived_at);
        let slack = whole.saturating_sub(live.job.critical_path());
        let latest =
            live.deadline.saturating_sub(self.remaining_critical_path(key));
        let unused = slack as f64 * (1.0 - SLACK_USED);
        now <= latest && now + unused as Millis >= latest
    }

    fn set_preemption_times(
        &mut self,
        key: StepKey,
        until: Millis,
        from: Millis,
    ) {
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        if let Some(state) = live.step_state(key.time, key.step) {
            state.preempting_until = until;
            state.preempt_from = from;
        }
    }

    /// What an executor can be cleared for.
    fn offer(
        &self,
        at: ExecutorIndex,
        key: StepKey,
        step: &Step,
        priority: u32,
        now: Millis,
    ) -> Option<PreemptionOption> {
        let executor: &Executor = self.executors.get(&at)?;
        let runs = executor.runs.iter();
        let mut others: Vec<Victim> = runs
            .filter_map(|(task, on)| self.victim(*task, on, priority, now))
            .collect();
        others.sort_by_key(|victim| (victim.over_share, victim.slack));
        let room = self.room_to_come(executor);
        let taken = self.step_state(key).is_some_and(|state| {
            let mut places = state.placements.values();
            step.max_per_executor > 0 && places.any(|(there, _)| *there == at)
        });
        if taken {
            return None;
        }
        let fits = fits(&room, step);
        let chosen = Vec::new();
        Some(PreemptionOption { at, room, fits, others, chosen })
    }

    /// What is free on an executor once those that stop have gone.
    fn room_to_come(&self, executor: &Executor) -> Resources {
        if !self.is_enabled(Mechanism::UrgentPreemption) {
            return executor.free;
        }
        let runs = executor.runs.values();
        let stay = runs.filter(|on| !matches!(on.phase, Phase::Stopping(_)));
        let used = stay.map(|on| &on.need).chain(executor.reserved.values());
        let used = used.fold(Resources::default(), |sum, n| sum.plus(n));
        executor.info.capacity.minus(&used)
    }

    /// A run as one that may give way to a queue of this priority, if it may.
    fn victim(
        &self,
        task: TaskKey,
        on: &PlacedRun,
        priority: u32,
        now: Millis,
    ) -> Option<Victim> {
        let live = self.jobs.get(&task.step.job)?;
        let state = live.steps.get(&(task.step.time, task.step.step))?;
        let step = live.job.steps.get(task.step.step as usize)?;
        let (run, need) = (on.run, on.need);
        let here = state.placements.get(&task.index).map(|(_, run)| *run);
        let may = live.queue.priority > priority
            && live.ended.is_none()
            && step.checkpoints
            && !step.gang
            && !step.lasting
            && on.phase == Phase::Running
            && on.expected_end > now + ENDS_SOON
            && here == Some(run)
            && !state.preempted.contains(&task.index);
        let rest = self.remaining_critical_path(task.step);
        let slack = live.deadline.saturating_sub(now + rest);
        let over_share = self.over_share(live.account);
        let victim = Victim { task, run, need, over_share, slack };
        (may && slack >= SLACK_LEFT).then_some(victim)
    }

    fn preempt_run(&mut self, at: ExecutorIndex, victim: &Victim) {
        let key = victim.task.step;
        if let Some(live) = self.jobs.get_mut(&key.job) {
            if let Some(state) = live.step_state(key.time, key.step) {
                state.preempted.insert(victim.task.index);
            }
        }
        self.count("runs_displaced");
        self.stop(at, victim.task, victim.run);
    }
}
