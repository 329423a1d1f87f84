/*!
Which task starts where.

Steps are taken in the order of [`super::ranking`]. Tasks go where they fit best,
see [`super::fit`], so that gangs, see [`super::gangs`], find room.
*/

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::ids::Millis;
use crate::jobs::executor::{DescriptionSource, Executor};
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{AccountIndex, ExecutorIndex};
use crate::jobs::model::{Step, StepKey};
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::gangs::Waiting;
use crate::jobs::scheduler::ledger::LimitReservations;
use crate::jobs::scheduler::live_job::StepState;
use crate::jobs::scheduler::ranking::Rank;
use crate::jobs::scheduler::Scheduler;

/// Gangs that wait get room kept for them, up to this many at a time.
const MAX_PLANS: usize = 8;
/// An executor on which a run of the step has failed is as bad as so many
/// thousandths of an executor left over.
const FAILED_THERE: u64 = 6_000;
/// Tasks of which no executor holds more than this are wide.
const WIDE: u32 = 2;
/// If more steps than this wait that are not urgent, they are looked at only
/// so often.
const FEW_WAIT: usize = 8;
/// With each so many steps that wait, all of them, urgent or not, are looked
/// at less often by [`PLACE_GAP`]: else what gets free goes to urgent steps
/// one by one, before others within their share are looked at.
const CROWD: usize = 256;
/// The time between two looks at them, in milliseconds.
const PLACE_GAP: Millis = 20;
/// The most tickets that are asked for anew in one call.
const MOST_RENEWED: usize = 40;

/// The executors that are kept for a gang, and from when it needs them.
pub(super) type Kept = BTreeMap<ExecutorIndex, Millis>;

/// What the placing of a step begins with.
pub(super) struct PlacementContext {
    pub key: StepKey,
    pub step: Step,
    /// Executors on which runs of it have failed.
    pub failed_on: BTreeSet<ExecutorIndex>,
    /// Executors that may run it, and whether a ticket holds there.
    pub candidates: Vec<(ExecutorIndex, bool)>,
    /// The client account that it counts for.
    pub account: Option<AccountIndex>,
}

impl Scheduler {
    /// Starts what can be started. Urgent steps are looked at each time,
    /// unless placing rests, see [`super::placement_rounds`]; while some others wait,
    /// those are looked at less often.
    pub(super) fn place(&mut self, now: Millis) {
        self.placement_stats.rounds += 1;
        self.place_round(now);
        self.count_looked();
    }

    fn place_round(&mut self, now: Millis) {
        let crowds = (self.ready.len() / CROWD) as Millis;
        let gap = PLACE_GAP * crowds;
        if !self.placement_rounds.may_begin(now)
            || now < self.last_full_round + gap
        {
            self.needs_placement = true;
            self.placement_stats.deferred += 1;
            return;
        }
        self.update_fair_shares(now);
        let ready = self.ready.iter();
        let ready =
            ready.filter_map(|key| Some((self.rank(*key, now)?, *key)));
        let mut order: Vec<(Rank, StepKey)> = ready.collect();
        self.give_turns(&mut order, now);
        let patient = order.iter().filter(|(rank, _)| !rank.urgent()).count();
        let due =
            patient <= FEW_WAIT || now >= self.last_full_round + PLACE_GAP;
        let all = due && self.placement_rounds.may_take_all(now);
        self.placement_rounds.begin(all);
        if all {
            self.last_full_round = now;
        } else {
            order.retain(|(rank, _)| rank.urgent());
        }
        self.begin_placement_pass(all);
        self.begin_looks();
        if all {
            self.count_slots(&order, now);
        }
        self.update_unseen();
        let mut turns = LimitReservations::default();
        let mut kept = Kept::new();
        let mut plans = 0;
        self.placement_stats.steps += order.len() as u64;
        let mut order: BinaryHeap<Reverse<(Rank, StepKey)>> =
            order.into_iter().map(Reverse).collect();
        while let Some(Reverse((rank, key))) = order.pop() {
            if let Some(behind) = self.behind(key, &rank) {
                if all || behind.urgent() {
                    order.push(Reverse((behind, key)));
                }
                continue;
            }
            let urgent = rank.urgent();
            if !self.may_place(key) || self.is_at_limit(key, &mut turns, now) {
                continue;
            }
            let gang = self.step(key).is_some_and(|s| s.gang && s.count > 1);
            let keep = !urgent
                && plans < MAX_PLANS
                && self.is_enabled(Mechanism::GangReservations);
            if gang {
                if !self.place_gang(key, &mut kept, keep, urgent, now) {
                    plans += 1;
                }
            } else if !self.place_tasks(key, &mut kept, keep, urgent, now) {
                plans += 1;
            }
        }
        self.record_usage(now);
    }

    pub(super) fn step(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.job.steps.get(key.step as usize)
    }

    /// What is known of a step, once it may begin.
    pub(super) fn step_state(&self, key: StepKey) -> Option<&StepState> {
        self.jobs.get(&key.job)?.steps.get(&(key.time, key.step))
    }

    /// Whether tasks of the step may be started at all. Steps with nothing
    /// left to start are taken off the list.
    fn may_place(&mut self, key: StepKey) -> bool {
        let Some(live) = self.jobs.get(&key.job) else {
            self.ready.remove(&key);
            return false;
        };
        let state = live.steps.get(&(key.time, key.step));
        let startable = |s: &StepState| {
            s.released && !s.stopping_gang && !s.waiting.is_empty()
        };
        if !state.is_some_and(startable) {
            self.ready.remove(&key);
            self.unreserve(key);
            return false;
        }
        let unsettled = live.inherited && self.takeover_deadline.is_some();
        live.written && !unsettled
    }

    /// The executors that may run the step, and whether a ticket holds there.
    pub(super) fn candidates(
        &self,
        key: StepKey,
        now: Millis,
    ) -> Vec<(ExecutorIndex, bool)> {
        let Some(live) = self.jobs.get(&key.job) else { return Vec::new() };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return Vec::new();
        };
        let step = &live.job.steps[key.step as usize];
        let label = step.label.as_deref();
        let may = |executor: &Executor| {
            executor.usable()
                && (executor.description == DescriptionSource::Entry
                    || self.entries_read)
                && executor.breaker.admits(now)
                && executor.info.service == live.queue.service
                && label.is_none_or(|label| executor.has_label(label))
        };
        if live.queue.advice.is_none() {
            let all = self.executors.iter();
            return all
                .filter(|(_, executor)| may(executor))
                .map(|(index, _)| (*index, true))
                .collect();
        }
        let good = state.advice.tickets.iter();
        good.filter(|(index, _)| self.executors.get(index).is_some_and(may))
            .map(|(index, ticket)| (*index, ticket.valid_until > now))
            .collect()
    }

    /// The ticket of a step for an executor; empty if it needs none.
    pub(super) fn ticket(&self, key: StepKey, at: ExecutorIndex) -> String {
        let state = self.step_state(key);
        let ticket = state.and_then(|state| state.advice.tickets.get(&at));
        ticket.map(|ticket| ticket.text.clone()).unwrap_or_default()
    }

    /// Whether the step has to wait for its first advice.
    pub(super) fn lacks_advice(&mut self, key: StepKey, now: Millis) -> bool {
        let Some(live) = self.jobs.get(&key.job) else { return true };
        if live.queue.advice.is_none() {
            return false;
        }
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return true;
        };
        if state.advice.answered {
            return false;
        }
        self.request_more_advice(key, now);
        true
    }

    /// What the placing of a step begins with, unless it has to wait for its
    /// first advice.
    pub(super) fn placement_context(
        &mut self,
        key: StepKey,
        now: Millis,
    ) -> Option<PlacementContext> {
        if self.lacks_advice(key, now) {
            return None;
        }
        let live = self.jobs.get(&key.job)?;
        let step = live.job.steps[key.step as usize].clone();
        let state = live.steps.get(&(key.time, key.step))?;
        let failed_on = if self.is_enabled(Mechanism::FailedThere) {
            state.failed_on.clone()
        } else {
            BTreeSet::new()
        };
        let candidates = self.candidates(key, now);
        self.placement_stats.add_executors(candidates.len());
        let account = live.account;
        Some(PlacementContext { key, step, failed_on, candidates, account })
    }

    /// Places the tasks of a step one by one. If tasks are left that take up
    /// much of an executor, room is kept for them, if `keep` says so. Returns
    /// whether none was kept.
    fn place_tasks(
        &mut self,
        key: StepKey,
        kept: &mut Kept,
        keep: bool,
        urgent: bool,
        now: Millis,
    ) -> bool {
        let Some(opening) = self.placement_context(key, now) else {
            return true;
        };
        let Some(state) = self.step_state(key) else { return true };
        let (suspects, waiting): (Vec<u32>, Vec<u32>) = state
            .waiting
            .iter()
            .partition(|index| state.trial_evidence(**index).is_some());
        let open = self.open_to(&opening, kept, urgent, now);
        let may_use = |at: ExecutorIndex| {
            open.binary_search_by_key(&at, |(at, _)| *at).is_ok()
        };
        let mut stale =
            self.place_suspects(key, &opening, suspects, may_use, now);
        let PlacementContext { step, failed_on, candidates, account, .. } =
            opening;
        let Some(state) = self.step_state(key) else { return true };
        let tight = self.is_tight(key, now);
        let heeds = !urgent && self.heeds_slots(key, now);
        let mut held_back = false;
        let mut on: BTreeMap<ExecutorIndex, u32> = BTreeMap::new();
        for (index, _) in state.placements.values() {
            *on.entry(*index).or_default() += 1;
        }
        for index in waiting {
            if !self.ledger.remaining(account).fits(&step.need) {
                break;
            }
            self.placement_stats.add_executors(open.len());
            let fits = open.iter().filter(|(at, _)| {
                let Some(executor) = self.executors.get(at) else {
                    return false;
                };
                let most = step.max_per_executor;
                !executor.is_closed_by_trial(now)
                    && executor.free_for(&key).fits(&step.footprint())
                    && executor.breaker.admits(now)
                    && (most == 0 || on.get(at).copied().unwrap_or(0) < most)
            });
            let mut best: Option<(i64, ExecutorIndex)> = None;
            for (at, holds) in fits {
                if heeds && !self.leaves_slots(*at, &step.footprint()) {
                    held_back = true;
                    continue;
                }
                if !holds {
                    stale = true;
                    continue;
                }
                // Where it has failed it may fail again.
                let again =
                    if failed_on.contains(at) { FAILED_THERE } else { 0 };
                let score = (self.fit_cost(*at, &step) + again) as i64
                    + self.speed_cost(*at, tight);
                if best.is_none_or(|(other, _)| score < other) {
                    best = Some((score, *at));
                }
            }
            let Some((_, at)) = best else { break };
            let run = self.new_run_number();
            let ticket = self.ticket(key, at);
            *on.entry(at).or_default() += 1;
            self.unreserve_one(key, at, &step);
            self.start(at, key.task(index), run, ticket, now);
        }
        if held_back {
            self.held_back(key);
        }
        let left = self.step_state(key).map(|state| state.waiting.len());
        let count = left.unwrap_or(0) as u32;
        let count =
            count.min(fit_count(&self.ledger.remaining(account), &step.need));
        if count == 0 {
            self.unreserve(key);
            return true;
        }
        self.widen_advice(key, now);
        if stale {
            // The room may be gone when the answer comes, and be elsewhere.
            let aged = candidates.iter().filter(|(_, holds)| !holds);
            let aged = aged.map(|(at, _)| *at).take(MOST_RENEWED).collect();
            self.request_advice(key, aged, now);
            return true;
        }
        self.note_no_capacity(key);
        let waiting = Waiting { key, step: &step, count };
        if urgent {
            let fresh = open.iter().filter(|(at, holds)| {
                *holds && !self.is_closed_by_trial(*at, now)
            });
            let fresh: Vec<ExecutorIndex> = fresh.map(|(at, _)| *at).collect();
            if self.make_way(&waiting, &fresh, now) {
                return true;
            }
        }
        let known: Vec<ExecutorIndex> =
            candidates.iter().map(|(at, _)| *at).collect();
        !self.wait_for_room(&waiting, &known, keep, kept, now)
    }

    /// Has room kept for tasks that have none, if they are wide and `keep`
    /// says so, and asks about further executors. Returns whether room is
    /// kept.
    fn wait_for_room(
        &mut self,
        waiting: &Waiting<'_>,
        known: &[ExecutorIndex],
        keep: bool,
        kept: &mut Kept,
        now: Millis,
    ) -> bool {
        let keeps = keep && self.is_wide(waiting.step, known);
        if keeps {
            let may_ask = !self.advice_scarce();
            self.keep_for(waiting, known, may_ask, kept, now);
        }
        if !self.advice_scarce() || !self.could_hold(waiting.step, known) {
            self.request_more_advice(waiting.key, now);
        }
        keeps
    }

    /// Whether hardly more than one task of a step has room on an executor:
    /// it finds none while smaller ones take what gets free.
    fn is_wide(&self, step: &Step, executors: &[ExecutorIndex]) -> bool {
        let known = executors.iter().filter_map(|at| self.executors.get(at));
        let most = known
            .map(|e| fit_count(&e.info.capacity, &step.footprint()))
            .max();
        most.is_some_and(|most| most <= WIDE)
    }
}
