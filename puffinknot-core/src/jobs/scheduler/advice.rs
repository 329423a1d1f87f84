/*!
Advice: which executors may run a step, and with which ticket.

The service takes one call at a time from each node, so that its capacity
grows with the nodes that ask. The leader spreads the calls over all of them:
urgent ones first, and long ones only to some nodes, so that a short call
never waits behind long ones everywhere.
*/

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::executor::Executor;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::{
    Action, AdviceFailure, AdvisedExecutor, CallId, ExecutorIndex,
};
use crate::jobs::model::{JobId, Step, StepKey};
use crate::jobs::policy::AdviceCost;
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::live_job::{Advice, Ticket};
use crate::jobs::scheduler::Scheduler;

/// A long call is made in so many parts by several nodes at one time, while
/// nodes are not scarce: gangs wait for their first advice longest, and a call
/// about half as many takes less time.
const PARTS: usize = 2;
/// A call that takes longer than this is long, in milliseconds.
const LONG_CALL: Millis = 160;
/// If this many calls wait for each node, they ask about fewer executors.
const CROWDED: usize = 1;
/// Then a call asks about this many times the executors that should do.
const ASK_FACTOR: f64 = 1.6;
/// Urgent calls ask about so many executors still that these take this part of
/// the time that each call takes: it is soon over, and on the few executors
/// with the most room others find it too.
const URGENT_PART: f64 = 0.5;
/// The fewest executors that should be found.
const FEWEST: f64 = 3.0;
/// A step that waits asks about further executors at least this often, in
/// milliseconds: about the time that most tickets hold.
const WIDEN_AFTER: Millis = 1_500;
/// The weight of a new answer in the share of executors that may run the
/// steps of a queue.
const SHARE_WEIGHT: f64 = 0.1;
/// The share that is assumed before any answer.
const FIRST_SHARE: f64 = 0.4;
/// A share that is less than this is not known well.
const LEAST_SHARE: f64 = 0.05;
/// The most calls about one step at a time. Eight hundred executors of four
/// slots hold the widest steps if a tenth of them may run these.
const MOST_CALLS: usize = 8;
/// The most executors that are looked at for a call. Beyond that, a look at
/// all of them for each step would grow with the cell twice over: by its
/// executors, and by its jobs. Twice what is asked about one step at a time.
const MOST_LOOKED_AT: usize = 1_600;
/// A ticket is used only if it holds for this long still.
const TICKET_MARGIN: Millis = 100;
/// A call is given up after this time in any case, in milliseconds; nodes
/// give up before.
const NEVER_ANSWERED: Millis = 6_000;
/// The time until a call that failed is made again.
const CALL_AGAIN: Millis = 100;

/// A call for advice.
#[derive(Clone, Debug)]
pub(super) struct Call {
    step: StepKey,
    executors: Vec<ExecutorIndex>,
    cost: AdviceCost,
    urgent: bool,
    deadline: Millis,
    not_before: Millis,
    /// When it is given up, once it is made.
    overdue: Millis,
    /// The node that asks, once it does.
    advisor: Option<String>,
    /// How many executors should do, once that was worked out.
    enough: Option<usize>,
}

impl Call {
    /// How many executors it asks about: all, or if nodes are scarce as many
    /// as should do.
    fn asks(&self, scarce: bool) -> usize {
        let all = self.executors.len();
        let enough = self.enough.filter(|_| scarce);
        enough.map_or(all, |enough| enough.min(all))
    }
}

/// Which calls no node can take in this turn.
#[derive(Default)]
struct Full {
    long: bool,
    short: bool,
}

impl Full {
    /// The entry for long or for short calls.
    fn of(&mut self, long: bool) -> &mut bool {
        if long {
            &mut self.long
        } else {
            &mut self.short
        }
    }

    /// Whether no call at all can be taken.
    fn all(&self) -> bool {
        self.long && self.short
    }
}

impl Scheduler {
    pub(super) fn set_advisors(&mut self, names: Vec<String>) {
        for name in self.advisors.set(names) {
            for call in self.calls.values_mut() {
                if call.advisor.as_deref() == Some(name.as_str()) {
                    call.advisor = None;
                }
            }
        }
    }

    /// Asks about the steps of a new job, before it is written.
    pub(super) fn prefetch_advice(&mut self, job: JobId, now: Millis) {
        let Some(live) = self.jobs.get(&job) else { return };
        if live.queue.advice.is_none() {
            return;
        }
        let steps: Vec<StepKey> = live
            .steps
            .keys()
            .map(|&(time, step)| StepKey { job, time, step })
            .collect();
        for step in steps {
            self.request_more_advice(step, now);
        }
    }

    /// Asks about all executors that were not asked about yet.
    pub(super) fn request_more_advice(&mut self, key: StepKey, now: Millis) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        // Steps that wait come here again and again.
        if live.queue.advice.is_none()
            || !state.advice.open_calls.is_empty()
            || state.advice.all_asked == Some(self.executors.described())
        {
            return;
        }
        *self.counters.entry("advice_searches").or_default() += 1;
        let step = &live.job.steps[key.step as usize];
        let label = step.label.as_deref();
        let known = &state.advice.asked;
        let from = spread(key, 0);
        let fits =
            self.executors.iter_from(from).filter(|(index, executor)| {
                executor.info.service == live.queue.service
                    && !executor.info.draining
                    && !executor.cordoned
                    && executor.info.capacity.fits(&step.footprint())
                    && label.is_none_or(|label| executor.has_label(label))
                    && !known.contains(index)
            });
        let fits = fits.take(MOST_LOOKED_AT);
        let mut ranked: Vec<((u32, u64), ExecutorIndex)> = fits
            .map(|(index, executor)| {
                let room = room_now(executor, step);
                ((u32::MAX - room, spread(key, *index)), *index)
            })
            .collect();
        let queue = &live.job.queue;
        let capacities = ranked.iter().filter_map(|(_, index)| {
            Some(self.executors.get(index)?.info.capacity)
        });
        let enough = self.enough(queue, step, capacities);
        let batch = self.config.max_advice_batch;
        let most = enough.clamp(batch, batch * MOST_CALLS);
        if ranked.len() > most {
            ranked.select_nth_unstable(most);
            ranked.truncate(most);
        }
        let indices: Vec<ExecutorIndex> =
            ranked.into_iter().map(|(_, index)| index).collect();
        if !indices.is_empty() {
            self.request_advice(key, indices, now);
            self.change_advice(key, |advice| advice.widened_at = now);
            return;
        }
        let described = self.executors.described();
        self.change_advice(key, |advice| advice.all_asked = Some(described));
    }

    fn change_advice(
        &mut self,
        key: StepKey,
        change: impl FnOnce(&mut Advice),
    ) {
        let live = self.jobs.get_mut(&key.job);
        let state = live.and_then(|l| l.steps.get_mut(&(key.time, key.step)));
        if let Some(state) = state {
            change(&mut state.advice);
        }
    }

    /// Asks about further executors if a step has waited for those known for
    /// long. Else renewals of their tickets, which are asked for again and
    /// again while there is no room, would leave no turn to this.
    pub(super) fn widen_advice(&mut self, key: StepKey, now: Millis) {
        let state = self.step_state(key);
        if state.is_some_and(|s| now >= s.advice.widened_at + WIDEN_AFTER) {
            self.request_more_advice(key, now);
        }
    }

    /// Asks about these executors, unless a call about the step is open. More
    /// than fit into one call are asked about by several nodes at once: a
    /// gang needs tickets that all hold at one time.
    pub(super) fn request_advice(
        &mut self,
        key: StepKey,
        executors: Vec<ExecutorIndex>,
        now: Millis,
    ) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(cost) = live.queue.advice else { return };
        let part = self.part(&cost, executors.len());
        let urgent = self.rank(key, now).is_some_and(|rank| rank.is_urgent());
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let deadline = live.deadline;
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        let advice = &mut state.advice;
        if !advice.open_calls.is_empty() {
            return;
        }
        for part in executors.chunks(part) {
            self.next_call += 1;
            advice.open_calls.insert(self.next_call);
            let call = Call {
                step: key,
                cost,
                executors: part.to_vec(),
                urgent,
                deadline,
                not_before: now,
                overdue: 0,
                advisor: None,
                enough: None,
            };
            self.calls.insert(self.next_call, call);
        }
    }

    /// How many executors each call asks about, of so many.
    fn part(&self, cost: &AdviceCost, executors: usize) -> usize {
        let batch = self.config.max_advice_batch;
        let long = cost.of(executors.min(batch)) > LONG_CALL;
        let split = long
            && self.is_enabled(Mechanism::ParallelAdvice)
            && !self.advice_scarce();
        let parts = if split { PARTS } else { 1 };
        executors.div_ceil(parts).clamp(1, batch)
    }

    /// Gives up calls whose answers have not come in time, and has other
    /// nodes make them: a node may be out of reach, or have lost its link.
    pub(super) fn expire_advice(&mut self, now: Millis) {
        let known = self.processed_until(now);
        let over = self.calls.iter().filter(|(_, call)| {
            call.advisor.is_some() && call.overdue < known
        });
        let over: Vec<CallId> = over.map(|(id, _)| *id).collect();
        for id in over {
            let name = self.calls[&id].advisor.clone().unwrap_or_default();
            self.advisors.overdue(&name, now);
            self.count("advice_overdue");
            self.advised(id, Err(AdviceFailure::Unknown), now);
        }
    }

    /// Forgets the calls about a job that has ended. Those under way still
    /// count for their nodes until they are answered.
    pub(super) fn drop_advice_calls(&mut self, job: JobId) {
        self.calls
            .retain(|_, call| call.step.job != job || call.advisor.is_some());
    }

    /// Whether calls wait for nodes. Then nothing is asked that can do
    /// without.
    pub(super) fn advice_scarce(&self) -> bool {
        let mut waiting = self.calls.values().filter(|c| c.advisor.is_none());
        waiting.nth(self.advisors.len() / 2).is_some()
    }

    /// Hands calls to nodes, the most urgent first.
    pub(super) fn dispatch_advice(&mut self, now: Millis) {
        let open = self.calls.iter().filter(|(_, call)| {
            call.advisor.is_none() && call.not_before <= now
        });
        let mut open: Vec<(bool, Millis, CallId)> = open
            .map(|(id, call)| (!call.urgent, call.deadline, *id))
            .collect();
        open.sort_unstable();
        let crowded = open.len() > CROWDED * self.advisors.len()
            && self.is_enabled(Mechanism::ShorterAdvice);
        let mut full = Full::default();
        for (_, _, id) in open {
            if full.all() {
                return;
            }
            if crowded {
                self.work_out_enough(id);
            }
            let call = &self.calls[&id];
            let cost = call.cost.of(call.asks(crowded));
            let long = cost > LONG_CALL;
            if *full.of(long) {
                continue;
            }
            let lane = self.is_enabled(Mechanism::ShortLane);
            let Some(name) = self.advisors.free(long, lane, now) else {
                *full.of(long) = true;
                continue;
            };
            if crowded {
                self.shorten(id);
            }
            self.dispatch(id, name, cost, now);
        }
    }

    fn dispatch(
        &mut self,
        id: CallId,
        name: String,
        cost: Millis,
        now: Millis,
    ) {
        let soon = self.is_enabled(Mechanism::OverdueAdvice);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.advisor = Some(name.clone());
        let key = call.step;
        let asked = call.executors.clone();
        let known = asked.iter().filter_map(|i| self.executors.get(i));
        let executors = known.map(|e| e.info.id.clone()).collect();
        let overdue = self.advisors.ask(&name, cost, now);
        let never = now + NEVER_ANSWERED;
        let overdue = if soon { overdue.min(never) } else { never };
        if let Some(call) = self.calls.get_mut(&id) {
            call.overdue = overdue;
        }
        let live = self.jobs.get_mut(&key.job);
        let state = live.and_then(|l| l.steps.get_mut(&(key.time, key.step)));
        if let Some(state) = state {
            state.advice.asked.extend(asked);
        }
        let advisor = name;
        let step = key;
        self.actions.push(Action::Advise {
            call: id,
            advisor,
            step,
            executors,
        });
    }

    /// Works out how many executors should do for a call.
    fn work_out_enough(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        if call.enough.is_some() {
            return;
        }
        let key = call.step;
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(step) = live.job.steps.get(key.step as usize) else { return };
        let known =
            call.executors.iter().filter_map(|i| self.executors.get(i));
        let capacities = known.map(|executor| executor.info.capacity);
        let enough = self.enough(&live.job.queue, step, capacities);
        let enough = enough.max(self.least_asked(call));
        if let Some(call) = self.calls.get_mut(&id) {
            call.enough = Some(enough);
        }
    }

    /// The fewest executors that a call asks about.
    fn least_asked(&self, call: &Call) -> usize {
        let AdviceCost { call_ms, each_ms, .. } = call.cost;
        if !call.urgent
            || !self.is_enabled(Mechanism::UrgentPreemption)
            || each_ms <= 0.0
        {
            return 0;
        }
        (call_ms * URGENT_PART / each_ms) as usize
    }

    /// How many executors with such capacities should do for a step.
    fn enough(
        &self,
        queue: &str,
        step: &Step,
        capacities: impl Iterator<Item = Resources>,
    ) -> usize {
        let share = self.shares.get(queue).copied();
        let share = share.unwrap_or(FIRST_SHARE).max(LEAST_SHARE);
        let whole =
            capacities.map(|whole| fit_count(&whole, &step.footprint()));
        let mut each = whole.max().unwrap_or(1).max(1);
        if step.max_per_executor > 0 {
            each = each.min(step.max_per_executor);
        }
        let needed = (f64::from(step.count) / f64::from(each)).ceil() + 1.0;
        let enough = needed.max(FEWEST) / share * ASK_FACTOR;
        enough.ceil() as usize
    }

    /// Lets a call ask only about those executors that should do: the ones
    /// with the most room for the step.
    fn shorten(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let most = call.asks(true);
        if call.executors.len() <= most {
            return;
        }
        let key = call.step;
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(step) = live.job.steps.get(key.step as usize) else { return };
        let mut fits: Vec<(u32, ExecutorIndex)> = call
            .executors
            .iter()
            .filter_map(|index| {
                let executor = self.executors.get(index)?;
                Some((fit_count(&executor.free, &step.footprint()), *index))
            })
            .collect();
        fits.sort_unstable_by_key(|&(room, index)| (u32::MAX - room, index));
        fits.truncate(most);
        if let Some(call) = self.calls.get_mut(&id) {
            call.executors = fits.into_iter().map(|(_, i)| i).collect();
        }
        self.count("advice_shortened");
    }

    pub(super) fn advised(
        &mut self,
        id: CallId,
        answer: Result<Vec<AdvisedExecutor>, AdviceFailure>,
        now: Millis,
    ) {
        let Some(mut call) = self.calls.remove(&id) else { return };
        if let Some(name) = call.advisor.take() {
            self.advisors.answered(&name, now);
        }
        let key = call.step;
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        let advice = &mut state.advice;
        let rows = match answer {
            Ok(rows) => rows,
            Err(failure) => {
                self.count("advice_failed");
                let busy = failure == AdviceFailure::Busy;
                call.not_before = now + if busy { CALL_AGAIN } else { 0 };
                self.calls.insert(id, call);
                return;
            }
        };
        self.advisors.in_time();
        advice.open_calls.remove(&id);
        advice.answered = true;
        let until = now + call.cost.valid.saturating_sub(TICKET_MARGIN);
        let asked = call.executors.len().max(1) as f64;
        let found = rows.len() as f64 / asked;
        let first = advice.tickets.is_empty();
        for index in &call.executors {
            advice.tickets.remove(index);
        }
        for row in rows {
            let index = self.by_id.get(&row.executor);
            // Of a life that has followed since, nothing is said.
            if let Some(index) = index.filter(|i| call.executors.contains(i)) {
                let ticket = Ticket { text: row.ticket, valid_until: until };
                advice.tickets.insert(*index, ticket);
            }
        }
        if first {
            let queue = live.job.queue.clone();
            let share = self.shares.entry(queue).or_insert(FIRST_SHARE);
            *share += (found - *share) * SHARE_WEIGHT;
        }
        self.count("advised");
        self.needs_placement = true;
    }

    /// A ticket was refused: it has to be asked for again.
    pub(super) fn invalidate_ticket(
        &mut self,
        key: StepKey,
        index: ExecutorIndex,
    ) {
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        if let Some(ticket) = state.advice.tickets.get_mut(&index) {
            ticket.valid_until = 0;
        }
    }
}

/// How much room an executor has for a step now: for how many members of a
/// gang, or whether for any task of another step. Single tasks find room on
/// many executors, and would take the emptiest ones from gangs.
fn room_now(executor: &Executor, step: &Step) -> u32 {
    if !executor.usable() {
        return 0;
    }
    let count = fit_count(&executor.free, &step.footprint());
    if step.gang {
        count
    } else {
        count.min(1)
    }
}

/// Spreads steps over executors that have as much room: of a thousand, each
/// step would else ask about the same hundred, which are full for that.
fn spread(key: StepKey, index: ExecutorIndex) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, index).hash(&mut hasher);
    hasher.finish()
}
