/*!
Headroom for urgent tasks in a cell that is nearly full.

The amount of headroom is that of [`crate::jobs::headroom`]. It is counted in
slots, each the capacity for one urgent task on one executor, because fragments
on several executors don't add up to capacity for a task. As long as the number
of free slots does not exceed the number wanted, tasks that are not urgent
start only on executors that have just as many free slots afterwards. They may
use the rest of the cell. To prevent starvation, a step may use the slots once
it has waited for twice its objective and for at least [`MIN_HEADROOM_WAIT`].
Gangs may use them at any time, since they find enough capacity rarely.

Urgent tasks that still find no capacity preempt others, see
[`super::preemption`].
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::executor::{Executor, PlacedRun};
use crate::jobs::headroom::{Demand, DemandPeak, MAX_RESERVED_DIVISOR};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action, ExecutorIndex};
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::ranking::{PriorityClass, Rank, Timeliness};
use crate::jobs::scheduler::Scheduler;

/// The time between two counts of the free slots. It bounds the cost of
/// counting in large cells, and how long capacity that became free since the
/// last count is withheld.
const COUNT_INTERVAL: Millis = 50;
/// The minimum wait of a step that is not urgent before it may use the slots.
/// A burst of urgent work lasts some seconds, and short steps that wait for
/// its end must not take the capacity in the middle of it.
const MIN_HEADROOM_WAIT: Millis = 10_000;
/// The number of urgent steps per placement round that may search for runs to
/// preempt. The remaining steps can do so in the next rounds.
const MAX_PREEMPTION_SEARCHES: u32 = 8;

/// The state of the capacity that is kept free for urgent tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentHeadroom {
    /// The recent peak of urgent demand of the cell.
    demand_peak: DemandPeak,
    /// The recent peak of urgent demand of each account. No headroom is kept
    /// for an account that is over its share.
    demand_peaks_by_account: BTreeMap<Option<AccountIndex>, DemandPeak>,
    /// The capacity for one urgent task.
    slot_size: Resources,
    /// The number of slots that tasks which are not urgent may still take;
    /// `None` means no limit.
    available_slots: Option<u64>,
    counted_at: Millis,
    /// The number of searches for runs to preempt in this round.
    preemption_searches: u32,
}

impl Scheduler {
    /// Recounts how many urgent slots tasks that are not urgent may take,
    /// unless they were counted less than [`COUNT_INTERVAL`] ago.
    /// `waiting_steps` holds all waiting steps.
    pub(super) fn update_urgent_slots(
        &mut self,
        waiting_steps: &[(Rank, StepKey)],
        now: Millis,
    ) {
        if now < self.urgent_headroom.counted_at + COUNT_INTERVAL {
            return;
        }
        self.urgent_headroom.counted_at = now;
        self.urgent_headroom.available_slots = None;
        if !self.is_enabled(Mechanism::UrgentHeadroom)
            || !self.has_mixed_urgency()
        {
            return;
        }
        let demands = self.urgent_demands(waiting_steps);
        let demand = demands.values().fold(Demand::default(), Demand::plus);
        self.urgent_headroom.demand_peak.observe(&demand, now);
        let Some(slot) = self.urgent_headroom.demand_peak.typical_need()
        else {
            return;
        };
        let usable = self.executors.values().filter(|e| e.usable());
        let (mut free, mut total_slots) = (0, 0);
        for executor in usable {
            free += u64::from(fit_count(&executor.free, &slot));
            total_slots +=
                u64::from(fit_count(&executor.info.capacity, &slot));
        }
        let wanted = self
            .urgent_headroom
            .demand_peak
            .wanted_tasks(&demand, total_slots);
        let wanted =
            wanted.min(self.wanted_within_shares(&demands, total_slots, now));
        self.urgent_headroom.slot_size = slot;
        self.urgent_headroom.available_slots =
            Some(free.saturating_sub(wanted));
    }

    /// Whether there are both urgent queues and others.
    fn has_mixed_urgency(&self) -> bool {
        let mut urgent = self.queues.iter().map(|q| q.priority == 0);
        urgent.clone().any(|urgent| urgent) && !urgent.all(|urgent| urgent)
    }

    /// The number of slots wanted by accounts that are within their shares,
    /// updating the headroom of each account.
    fn wanted_within_shares(
        &mut self,
        demands: &BTreeMap<Option<AccountIndex>, Demand>,
        total_slots: u64,
        now: Millis,
    ) -> u64 {
        for account in demands.keys() {
            self.urgent_headroom
                .demand_peaks_by_account
                .entry(*account)
                .or_default();
        }
        let mut by_account =
            std::mem::take(&mut self.urgent_headroom.demand_peaks_by_account);
        let mut wanted = 0;
        for (account, peak) in &mut by_account {
            let demand = demands.get(account).copied().unwrap_or_default();
            peak.observe(&demand, now);
            if self.is_entitled_to_headroom(*account) {
                wanted += peak.wanted_tasks(&demand, total_slots);
            }
        }
        self.urgent_headroom.demand_peaks_by_account = by_account;
        wanted.min(total_slots / MAX_RESERVED_DIVISOR)
    }

    /// Whether headroom may be kept for an account's urgent work.
    fn is_entitled_to_headroom(&self, account: Option<AccountIndex>) -> bool {
        !self.over_share(account) && self.urgent_within_shares(account)
    }

    /// Whether an account's urgent work is within the account's share of
    /// urgent work, and by itself within the account's share of the cell.
    fn urgent_within_shares(&self, account: Option<AccountIndex>) -> bool {
        !self.over_urgent_share(account)
            && !self.urgent_over_total_share(account)
    }

    /// The urgent tasks that run and wait, by account, as far as the account's
    /// urgent work is within its shares. Waiting tasks of steps that are
    /// [`Timeliness::TooLate`] are not counted.
    fn urgent_demands(
        &self,
        waiting_steps: &[(Rank, StepKey)],
    ) -> BTreeMap<Option<AccountIndex>, Demand> {
        let mut demands: BTreeMap<_, Demand> = BTreeMap::new();
        let runs = self.executors.values().flat_map(|e| e.runs.values());
        let within = |run: &&PlacedRun| {
            run.urgent && self.urgent_within_shares(run.charge.account)
        };
        for run in runs.filter(within) {
            let demand = demands.entry(run.charge.account).or_default();
            demand.add_running(&run.need);
        }
        let waiting = waiting_steps.iter().filter(|(rank, _)| {
            rank.class == PriorityClass::Urgent
                && rank.timeliness < Timeliness::TooLate
        });
        for (_, key) in waiting {
            let (Some(step), Some(state)) =
                (self.step(*key), self.step_state(*key))
            else {
                continue;
            };
            let account =
                self.jobs.get(&key.job).and_then(|live| live.account);
            let demand = demands.entry(account).or_default();
            demand.add_waiting(state.waiting.len() as u32, &step.footprint());
        }
        demands
    }

    /// Whether a step has to leave the urgent slots free.
    pub(super) fn must_leave_urgent_slots(
        &self,
        key: StepKey,
        now: Millis,
    ) -> bool {
        if self.urgent_headroom.available_slots.is_none() {
            return false;
        }
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let objective = live.deadline.saturating_sub(live.arrived_at);
        now < live.arrived_at + (2 * objective).max(MIN_HEADROOM_WAIT)
    }

    /// Whether a task with this need can start on an executor without taking
    /// more urgent slots than may be taken.
    pub(super) fn leaves_urgent_slots(
        &self,
        at: ExecutorIndex,
        need: &Resources,
    ) -> bool {
        let Some(available_slots) = self.urgent_headroom.available_slots
        else {
            return true;
        };
        let executor = self.executors.get(&at);
        executor.is_some_and(|e| available_slots >= self.slots_taken(e, need))
    }

    fn slots_taken(&self, executor: &Executor, need: &Resources) -> u64 {
        let slots =
            |free| u64::from(fit_count(free, &self.urgent_headroom.slot_size));
        let remaining = executor.free.minus(need);
        slots(&executor.free).saturating_sub(slots(&remaining))
    }

    /// Deducts the slots that a task of a step takes on an executor. Urgent
    /// tasks deduct none: the slots are kept for them.
    pub(super) fn consume_urgent_slots(
        &mut self,
        key: StepKey,
        at: ExecutorIndex,
    ) {
        let Some(available_slots) = self.urgent_headroom.available_slots
        else {
            return;
        };
        let live = self.jobs.get(&key.job);
        if live.is_none_or(|live| live.is_urgent()) {
            return;
        }
        let (Some(executor), Some(step)) =
            (self.executors.get(&at), self.step(key))
        else {
            return;
        };
        let taken = self.slots_taken(executor, &step.footprint());
        self.urgent_headroom.available_slots =
            Some(available_slots.saturating_sub(taken));
    }

    /// Records that a task of a step was not started because of the urgent
    /// slots.
    pub(super) fn record_deferral(&mut self, key: StepKey) {
        self.count("starts_held_back");
        let live = self.jobs.get_mut(&key.job);
        let state = live.and_then(|live| live.step_state(key.time, key.step));
        let before = state.map(|s| std::mem::replace(&mut s.held_back, true));
        if before == Some(false) {
            self.actions.push(Action::StepDeferred { step: key });
        }
    }

    pub(super) fn reset_preemption_searches(&mut self) {
        self.urgent_headroom.preemption_searches = 0;
    }

    /// Whether an urgent step may search for runs to preempt in this round.
    /// Counts the search if it may.
    pub(super) fn try_begin_preemption_search(&mut self) -> bool {
        let allowed =
            self.urgent_headroom.preemption_searches < MAX_PREEMPTION_SEARCHES;
        self.urgent_headroom.preemption_searches += u32::from(allowed);
        allowed
    }
}
