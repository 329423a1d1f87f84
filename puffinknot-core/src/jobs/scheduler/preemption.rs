/*!
Preemption of tasks that write checkpoints, by gangs and urgent tasks that
would miss their objectives.

In a full cell, a wide gang fits only when many tasks happen to end at the same
time, and small tasks take the capacity that becomes free before then. A task
of a less urgent queue that writes checkpoints loses little when it is stopped,
because it resumes elsewhere from its last checkpoint. Therefore a gang that
has waited for a part of its slack preempts such tasks, on the executors with
the lowest cost: the fewest processors to be freed per member. The capacity is
reserved for the gang while those tasks stop. Urgent tasks preempt others one
by one: they are short, and would be late before other tasks end by themselves.

A task is preempted at most once, and only if it can still meet its objective
afterwards.
*/

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::executor::{Executor, PlacedRun, RunPhase};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{Action, ExecutorIndex};
use crate::jobs::model::{Step, StepKey, TaskKey};
use crate::jobs::scheduler::advice::Coverage;
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::gangs::{Plan, WaitingTasks};
use crate::jobs::scheduler::Scheduler;

/// The part of its slack that a step has to use up before it may preempt.
const MIN_SLACK_USED: f64 = 0.1;
/// How long capacity is reserved for the step that preempts: twice the time
/// that a stop may take.
const RESERVATION_TIME: Millis = 2_000;
/// The time until a step that found too few runs to preempt tries again.
const RETRY_DELAY: Millis = 200;
/// The least slack of a task that may be preempted: one second to stop, one
/// for advice and the next placement, and one in reserve.
const MIN_VICTIM_SLACK: Millis = 3_000;
/// A run that should end within this time is not preempted.
const MIN_REMAINING_TIME: Millis = 500;

/// An executor on which runs may be preempted for tasks of a step.
struct PreemptionOption {
    at: ExecutorIndex,
    /// What is free there once the runs chosen so far have stopped.
    available: Resources,
    /// How many tasks fit into it.
    fits: u32,
    /// The other runs that may be preempted. The one that loses least is last.
    others: Vec<Victim>,
    chosen: Vec<Victim>,
}

/// A run that may be preempted.
#[derive(Clone, Copy)]
struct Victim {
    task: TaskKey,
    run: u64,
    need: Resources,
    /// Whether its account holds more than its share.
    over_share: bool,
    slack: Millis,
}

/// The cost of making more tasks fit on an executor.
struct PreemptionCost {
    /// The number of runs to preempt.
    victims: usize,
    /// The number of tasks that fit in addition.
    gained: u32,
    /// The processors to be freed per additional task, in thousandths of one.
    cpu_per_task: u32,
}

impl PreemptionOption {
    /// The cost of the next tasks, if more of them can be made to fit.
    fn next(&self, step: &Step) -> Option<PreemptionCost> {
        let mut available = self.available;
        let mut freed = 0;
        for (at, victim) in self.others.iter().rev().enumerate() {
            available = available.plus(&victim.need);
            freed += victim.need.cpu_millis;
            let gained = fits(&available, step).saturating_sub(self.fits);
            if let Some(cpu_per_task) = freed.checked_div(gained) {
                return Some(PreemptionCost {
                    victims: at + 1,
                    gained,
                    cpu_per_task,
                });
            }
        }
        None
    }

    /// Chooses the runs to preempt at this cost.
    fn take(&mut self, cost: &PreemptionCost, step: &Step) {
        for _ in 0..cost.victims {
            let Some(victim) = self.others.pop() else { return };
            self.available = self.available.plus(&victim.need);
            self.chosen.push(victim);
        }
        self.fits = fits(&self.available, step);
    }
}

/// How many tasks of a step fit into the available capacity of one executor.
fn fits(available: &Resources, step: &Step) -> u32 {
    let fits = fit_count(available, &step.footprint());
    match step.max_per_executor {
        0 => fits,
        most => fits.min(most),
    }
}

/// Chooses runs to preempt, always the cheapest next ones, until `count` tasks
/// fit. Returns how many do.
fn choose(options: &mut [PreemptionOption], step: &Step, count: u32) -> u32 {
    let mut free: u32 = options.iter().map(|option| option.fits).sum();
    while free < count {
        let with_cost = options.iter_mut().filter_map(|option| {
            let cost = option.next(step)?;
            Some((option, cost))
        });
        let cheapest = with_cost.min_by_key(|(_, cost)| cost.cpu_per_task);
        let Some((option, cost)) = cheapest else { break };
        option.take(&cost, step);
        free += cost.gained;
    }
    free.min(count)
}

/// Where `count` tasks go: first to executors on which runs are preempted.
fn plan(options: &[PreemptionOption], count: u32) -> Plan {
    let mut order: Vec<&PreemptionOption> = options.iter().collect();
    order.sort_by_key(|option| (option.chosen.is_empty(), option.at));
    // Use all of the capacity that preemption frees before other capacity.
    let mut left = count;
    let mut plan = Plan::new();
    for option in order {
        let taken = option.fits.min(left);
        if taken > 0 {
            left -= taken;
            plan.push((option.at, taken));
        }
    }
    plan
}

impl Scheduler {
    /// Whether capacity is reserved for a step while the runs that it preempts
    /// are being stopped.
    pub(super) fn is_preempting(&self, key: StepKey, now: Millis) -> bool {
        self.step_state(key).is_some_and(|state| now < state.preempting_until)
    }

    /// Preempts runs for a gang that does not fit on these executors, if it
    /// would be late otherwise. Returns whether capacity is reserved for it.
    pub(super) fn preempt_for_gang(
        &mut self,
        waiting: &WaitingTasks<'_>,
        executors: &[ExecutorIndex],
        now: Millis,
    ) -> bool {
        self.may_preempt(waiting.key, now)
            && self.preempt_runs(waiting, executors, now)
    }

    /// Preempts runs for tasks of an urgent step that do not fit on these
    /// executors, if they would be late otherwise. Returns whether capacity is
    /// reserved for any.
    pub(super) fn preempt_for_urgent(
        &mut self,
        waiting: &WaitingTasks<'_>,
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
            && self.try_begin_preemption_search()
            && self.preempt_runs(waiting, executors, now)
    }

    /// Whether all executors on which capacity is reserved for a step are
    /// still usable.
    fn reservations_usable(&self, key: StepKey) -> bool {
        let reserved = self.reservations.get(&key).into_iter().flatten();
        let mut reserved = reserved.map(|at| self.executors.get(at));
        reserved.all(|executor| executor.is_some_and(Executor::usable))
    }

    /// Preempts runs for the waiting tasks of a step, for all of them if it is
    /// a gang. Returns whether capacity is reserved for the step.
    fn preempt_runs(
        &mut self,
        waiting: &WaitingTasks<'_>,
        executors: &[ExecutorIndex],
        now: Millis,
    ) -> bool {
        let WaitingTasks { key, step, count } = *waiting;
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let priority = live.queue.priority;
        let mut options: Vec<PreemptionOption> = executors
            .iter()
            .filter_map(|&at| {
                self.preemption_option(at, key, step, priority, now)
            })
            .collect();
        self.placement_stats.add_executors(executors.len());
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        self.placement_stats.add_runs(known.map(|e| e.runs.len()).sum());
        let found = choose(&mut options, step, count);
        if found == 0 || step.gang && found < count {
            self.set_preemption_times(key, 0, now + RETRY_DELAY);
            return false;
        }
        let plan = plan(&options, found);
        let used =
            |at: ExecutorIndex| plan.iter().any(|(used, _)| *used == at);
        options.retain(|option| used(option.at));
        self.reserve(key, step, &plan);
        self.set_preemption_times(
            key,
            now + RESERVATION_TIME,
            now + RESERVATION_TIME,
        );
        let victims = options.into_iter().flat_map(|option| {
            let at = option.at;
            option.chosen.into_iter().map(move |victim| (at, victim))
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
        let requested = plan.into_iter().map(|(at, _)| at).collect();
        self.request_advice(key, requested, Coverage::All, now);
        true
    }

    /// Whether a step may preempt runs now. It has to be within its account's
    /// share, in a job that does not repeat, still able to meet its objective,
    /// and have used up enough of its slack.
    fn may_preempt(&self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let preempt_from =
            self.step_state(key).map(|state| state.preempt_from);
        if self.rank(key, now).is_none_or(|rank| rank.is_over_share()) {
            return false;
        }
        if live.job.repeats.is_some()
            || preempt_from.is_none_or(|from| now < from)
        {
            return false;
        }
        let objective = live.deadline.saturating_sub(live.arrived_at);
        let slack = objective.saturating_sub(live.job.critical_path());
        let latest_start =
            live.deadline.saturating_sub(self.remaining_critical_path(key));
        let unused = slack as f64 * (1.0 - MIN_SLACK_USED);
        now <= latest_start && now + unused as Millis >= latest_start
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

    /// The runs that a step may preempt on an executor, and what is free there
    /// already. None if the step limits its tasks per executor and has one
    /// there.
    fn preemption_option(
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
            .filter_map(|(task, placed)| {
                self.victim(*task, placed, priority, now)
            })
            .collect();
        others.sort_by_key(|victim| (victim.over_share, victim.slack));
        let available = self.free_after_stops(executor);
        let occupied = self.step_state(key).is_some_and(|state| {
            let mut placements = state.placements.values();
            step.max_per_executor > 0
                && placements.any(|(executor, _)| *executor == at)
        });
        if occupied {
            return None;
        }
        let fits = fits(&available, step);
        let chosen = Vec::new();
        Some(PreemptionOption { at, available, fits, others, chosen })
    }

    /// What is free on an executor once the runs that are being stopped have
    /// ended. Without urgent preemption, what is free there now.
    fn free_after_stops(&self, executor: &Executor) -> Resources {
        if !self.is_enabled(Mechanism::UrgentPreemption) {
            return executor.free;
        }
        let runs = executor.runs.values();
        let staying = runs
            .filter(|placed| !matches!(placed.phase, RunPhase::Stopping(_)));
        let used = staying
            .map(|placed| &placed.need)
            .chain(executor.reserved.values());
        let used = used.fold(Resources::default(), |sum, n| sum.plus(n));
        executor.info.capacity.minus(&used)
    }

    /// The run as a victim, if a step of a queue of this priority may preempt
    /// it.
    fn victim(
        &self,
        task: TaskKey,
        placed: &PlacedRun,
        priority: u32,
        now: Millis,
    ) -> Option<Victim> {
        let live = self.jobs.get(&task.step.job)?;
        let state = live.steps.get(&(task.step.time, task.step.step))?;
        let step = live.job.steps.get(task.step.step as usize)?;
        let (run, need) = (placed.run, placed.need);
        let current_run =
            state.placements.get(&task.index).map(|(_, run)| *run);
        let eligible = live.queue.priority > priority
            && live.ended.is_none()
            && step.checkpoints
            && !step.gang
            && !step.lasting
            && placed.phase == RunPhase::Running
            && placed.expected_end > now + MIN_REMAINING_TIME
            && current_run == Some(run)
            && !state.preempted.contains(&task.index);
        let remaining = self.remaining_critical_path(task.step);
        let slack = live.deadline.saturating_sub(now + remaining);
        let over_share = self.over_share(live.account);
        let victim = Victim { task, run, need, over_share, slack };
        (eligible && slack >= MIN_VICTIM_SLACK).then_some(victim)
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
