/*!
Room for urgent tasks in a cell that is nearly full.

So much is kept free as [`crate::jobs::headroom`] says. It is counted in slots,
each the room for an urgent task on one executor: scraps of room add up to
nothing. While there are no more slots than should be free, tasks that may wait
start only where they take none away. The rest of the cell is theirs, and a
step that has waited for twice its objective, and for some seconds, may use the
slots, so that nothing starves by them. Gangs use them at any time, since they
find room seldom enough.

What still finds no room has others give way to it, see [`super::preemption`].
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::executor::{Executor, PlacedRun};
use crate::jobs::headroom::{Demand, Headroom, MOST_KEPT};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, Action, ExecutorIndex};
use crate::jobs::model::StepKey;
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::ranking::{PriorityClass, Rank, Timeliness};
use crate::jobs::scheduler::Scheduler;

/// The time between two counts of the free slots, in milliseconds: it bounds
/// what the counts cost in large cells, and how long room that has come free
/// since is held back.
const COUNT_GAP: Millis = 50;
/// A step that may wait leaves the slots alone for at least so long, in
/// milliseconds: a burst lasts some seconds, and short work that waits for its
/// end must not take the room in its midst.
const LEFT_ALONE: Millis = 10_000;
/// Others are looked at that may give way to so many steps in one placing.
/// What is left over has its turn in the next.
const MAX_VICTIM_SEARCHES: u32 = 8;

/// What is kept free for urgent tasks.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentHeadroom {
    headroom: Headroom,
    /// The same by account: none is kept for one that is over its share.
    by_account: BTreeMap<Option<AccountIndex>, Headroom>,
    /// The room for one urgent task.
    slot: Resources,
    /// The slots that may be taken still; none is no bound.
    spare: Option<u64>,
    counted_at: Millis,
    /// The looks for others that give way, in this placing.
    looks: u32,
}

impl Scheduler {
    /// Counts anew how many slots for urgent tasks may be taken. `order` has
    /// all steps that wait.
    pub(super) fn update_urgent_slots(
        &mut self,
        order: &[(Rank, StepKey)],
        now: Millis,
    ) {
        if now < self.urgent_headroom.counted_at + COUNT_GAP {
            return;
        }
        self.urgent_headroom.counted_at = now;
        self.urgent_headroom.spare = None;
        if !self.is_enabled(Mechanism::UrgentHeadroom)
            || !self.has_mixed_urgency()
        {
            return;
        }
        let demands = self.urgent_demands(order);
        let demand = demands.values().fold(Demand::default(), Demand::plus);
        self.urgent_headroom.headroom.observe(&demand, now);
        let Some(slot) = self.urgent_headroom.headroom.slot() else { return };
        let usable = self.executors.values().filter(|e| e.usable());
        let (mut free, mut whole) = (0, 0);
        for executor in usable {
            free += u64::from(fit_count(&executor.free, &slot));
            whole += u64::from(fit_count(&executor.info.capacity, &slot));
        }
        let wanted = self.urgent_headroom.headroom.wanted(&demand, whole);
        let wanted =
            wanted.min(self.wanted_within_shares(&demands, whole, now));
        self.urgent_headroom.slot = slot;
        self.urgent_headroom.spare = Some(free.saturating_sub(wanted));
    }

    /// Whether some queues are urgent and others are not.
    fn has_mixed_urgency(&self) -> bool {
        let mut urgent = self.queues.values().map(|q| q.priority == 0);
        urgent.clone().any(|urgent| urgent) && !urgent.all(|urgent| urgent)
    }

    /// How many slots accounts want that are within their shares.
    fn wanted_within_shares(
        &mut self,
        demands: &BTreeMap<Option<AccountIndex>, Demand>,
        whole: u64,
        now: Millis,
    ) -> u64 {
        for account in demands.keys() {
            self.urgent_headroom.by_account.entry(*account).or_default();
        }
        let mut by_account =
            std::mem::take(&mut self.urgent_headroom.by_account);
        let mut wanted = 0;
        for (account, headroom) in &mut by_account {
            let demand = demands.get(account).copied().unwrap_or_default();
            headroom.observe(&demand, now);
            if self.is_entitled_to_headroom(*account) {
                wanted += headroom.wanted(&demand, whole);
            }
        }
        self.urgent_headroom.by_account = by_account;
        wanted.min(whole / MOST_KEPT)
    }

    /// Whether room may be kept for urgent work of an account.
    fn is_entitled_to_headroom(&self, account: Option<AccountIndex>) -> bool {
        !self.over_share(account) && self.urgent_within_shares(account)
    }

    /// Whether an account's urgent work is within its shares.
    fn urgent_within_shares(&self, account: Option<AccountIndex>) -> bool {
        !self.over_urgent_share(account)
            && !self.urgent_over_total_share(account)
    }

    /// What urgent tasks of each account hold and wait for.
    fn urgent_demands(
        &self,
        order: &[(Rank, StepKey)],
    ) -> BTreeMap<Option<AccountIndex>, Demand> {
        let mut demands: BTreeMap<_, Demand> = BTreeMap::new();
        let runs = self.executors.values().flat_map(|e| e.runs.values());
        let within = |run: &&PlacedRun| {
            run.urgent && self.urgent_within_shares(run.charge.account)
        };
        for run in runs.filter(within) {
            let demand = demands.entry(run.charge.account).or_default();
            demand.runs(&run.need);
        }
        let waiting = order.iter().filter(|(rank, _)| {
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
            demand.wait(state.waiting.len() as u32, &step.footprint());
        }
        demands
    }

    /// Whether a step has to leave free what is kept for urgent tasks.
    pub(super) fn must_leave_urgent_slots(
        &self,
        key: StepKey,
        now: Millis,
    ) -> bool {
        if self.urgent_headroom.spare.is_none() {
            return false;
        }
        let Some(live) = self.jobs.get(&key.job) else { return false };
        let objective = live.deadline.saturating_sub(live.arrived_at);
        now < live.arrived_at + (2 * objective).max(LEFT_ALONE)
    }

    /// Whether a task with this need may start on an executor without taking
    /// a slot that is kept.
    pub(super) fn leaves_urgent_slots(
        &self,
        at: ExecutorIndex,
        need: &Resources,
    ) -> bool {
        let Some(spare) = self.urgent_headroom.spare else { return true };
        let executor = self.executors.get(&at);
        executor.is_some_and(|e| spare >= self.slots_taken(e, need))
    }

    fn slots_taken(&self, executor: &Executor, need: &Resources) -> u64 {
        let slots =
            |room| u64::from(fit_count(room, &self.urgent_headroom.slot));
        let left = executor.free.minus(need);
        slots(&executor.free).saturating_sub(slots(&left))
    }

    /// A task of a step is about to start on an executor. What urgent ones
    /// take is what the slots are kept for.
    pub(super) fn consume_urgent_slots(
        &mut self,
        key: StepKey,
        at: ExecutorIndex,
    ) {
        let Some(spare) = self.urgent_headroom.spare else { return };
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
        self.urgent_headroom.spare = Some(spare.saturating_sub(taken));
    }

    /// A task was not started for the sake of the slots.
    pub(super) fn held_back(&mut self, key: StepKey) {
        self.count("starts_held_back");
        let live = self.jobs.get_mut(&key.job);
        let state = live.and_then(|live| live.step_state(key.time, key.step));
        let before = state.map(|s| std::mem::replace(&mut s.held_back, true));
        if before == Some(false) {
            self.actions.push(Action::HeldBack { step: key });
        }
    }

    pub(super) fn reset_victim_searches(&mut self) {
        self.urgent_headroom.looks = 0;
    }

    /// Whether others may be looked at that could give way to an urgent step.
    pub(super) fn may_search_victims(&mut self) -> bool {
        let may = self.urgent_headroom.looks < MAX_VICTIM_SEARCHES;
        self.urgent_headroom.looks += u32::from(may);
        may
    }
}
