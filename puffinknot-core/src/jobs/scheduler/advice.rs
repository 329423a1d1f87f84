/*!
Advice: which executors may run a step, and with which ticket.

Some queues need the approval of an advice service for each executor on which
a step is to run. The service returns the executors it approves, and for each
of them a ticket, which is valid for a limited time and is sent with the start.

The advice service handles one call at a time from each node, so capacity grows
with the number of nodes that call it. The leader spreads the calls over all
nodes. It sends urgent calls first, and sends long calls only to some of the
nodes, so that a short call never waits behind long ones on every node.
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

/// The number of parts into which a long call is split while nodes are not
/// scarce. Several nodes make these smaller calls in parallel, and each takes
/// less time. Gangs wait longest for their first advice.
const PARTS_PER_LONG_CALL: usize = 2;
/// A call that takes longer than this is long.
const MAX_SHORT_CALL: Millis = 160;
/// If more calls than this wait for each node, calls ask about fewer
/// executors.
const MAX_WAITING_PER_NODE: usize = 1;
/// A shortened call asks about this many times the number of executors that
/// should suffice.
const OVERSAMPLING: f64 = 1.6;
/// A shortened urgent call asks about so many executors that the time for them
/// is at least this fraction of the fixed time of the call. Such a call still
/// ends soon. A call about fewer executors would find only those with the most
/// free capacity, which other steps find, too.
const MIN_URGENT_ASK_RATIO: f64 = 0.5;
/// The minimum number of approved executors that a call aims for.
const MIN_EXECUTORS_FOUND: f64 = 3.0;
/// A step that still waits this long after its last request asks about further
/// executors. This is about as long as most tickets are valid.
const FURTHER_ADVICE_INTERVAL: Millis = 1_500;
/// The weight of a new answer in the smoothed approval rate of a queue: the
/// fraction of executors that may run its steps. Only answers to steps that
/// hold no ticket count.
const APPROVAL_WEIGHT: f64 = 0.1;
/// The approval rate of a queue before its first answer.
const INITIAL_APPROVAL_RATE: f64 = 0.4;
/// Lower approval rates are too uncertain to use, and count as this one.
const MIN_APPROVAL_RATE: f64 = 0.05;
/// The maximum number of calls about one step at a time. With 100 executors in
/// each call, these are 800 executors. If each has capacity for four tasks,
/// they suffice for the widest steps, provided that a tenth of them may run
/// these.
const MAX_CALLS_PER_STEP: usize = 8;
/// The maximum number of suitable executors considered for one step at a time,
/// twice the number that it asks about in calls of 100 executors. Without this
/// bound the cost would grow with the executors of the cell and with its jobs,
/// and so quadratically with its size.
const MAX_CANDIDATES: usize = 1_600;
/// A ticket is used only if it stays valid for at least this long.
const TICKET_MARGIN: Millis = 100;
/// A call is abandoned after this time in any case. Nodes abandon it earlier.
const CALL_TIMEOUT: Millis = 6_000;
/// The delay before a call that the service refused as busy is retried.
const BUSY_RETRY_DELAY: Millis = 100;

/// Which of its executors a call has to ask about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Coverage {
    /// As many as should suffice, while many calls wait.
    Sufficient,
    /// All: their tickets are needed together.
    All,
}

/// A call to the advice service.
#[derive(Clone, Debug)]
pub(super) struct AdviceCall {
    step: StepKey,
    executors: Vec<ExecutorIndex>,
    coverage: Coverage,
    cost: AdviceCost,
    urgent: bool,
    deadline: Millis,
    not_before: Millis,
    /// When the call is abandoned. Set once the call is made.
    overdue_at: Millis,
    /// The node that makes the call, once there is one.
    advisor: Option<String>,
    /// The descriptions of the executors at the time when the call was made
    /// last, see [`Executors::descriptions_version`].
    ///
    /// [`Executors::descriptions_version`]:
    ///     crate::jobs::executor_index::Executors::descriptions_version
    descriptions: u64,
    /// How many executors should suffice, once that was estimated.
    sufficient: Option<usize>,
}

impl AdviceCall {
    /// Whether no node makes the call yet.
    pub fn is_waiting(&self) -> bool {
        self.advisor.is_none()
    }

    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// The time that the call takes if it is shortened, in milliseconds.
    pub fn least_time(&self) -> Millis {
        self.cost.call_time(self.executors_to_ask(true))
    }

    /// Returns how many executors the call asks about: all of them, or if
    /// nodes are scarce, as many as should suffice.
    fn executors_to_ask(&self, scarce: bool) -> usize {
        let all = self.executors.len();
        let shortens = scarce && self.coverage == Coverage::Sufficient;
        let sufficient = self.sufficient.filter(|_| shortens);
        sufficient.map_or(all, |sufficient| sufficient.min(all))
    }
}

/// The kinds of calls that no node can take at present.
#[derive(Default)]
struct SaturatedKinds {
    long: bool,
    short: bool,
}

impl SaturatedKinds {
    /// Returns the flag for long or for short calls.
    fn flag(&mut self, long: bool) -> &mut bool {
        if long {
            &mut self.long
        } else {
            &mut self.short
        }
    }

    /// Returns whether no node can take any call.
    fn both(&self) -> bool {
        self.long && self.short
    }
}

impl Scheduler {
    /// Sets the nodes that can make calls. Calls of nodes that are gone are
    /// assigned to others.
    pub(super) fn set_advisors(&mut self, names: Vec<String>) {
        for name in self.advisors.update(names) {
            for call in self.advice_calls.values_mut() {
                if call.advisor.as_deref() == Some(name.as_str()) {
                    call.advisor = None;
                }
            }
        }
    }

    /// Requests advice on the steps of a new job, before the job is written.
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

    /// Requests advice on executors that no answer has covered yet for the
    /// step. A call that was made is not enough: it may be lost, and leave out
    /// executors when it is made again.
    pub(super) fn request_more_advice(&mut self, key: StepKey, now: Millis) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(state) = live.steps.get(&(key.time, key.step)) else {
            return;
        };
        // Waiting steps reach this point repeatedly.
        if live.queue.advice.is_none()
            || !state.advice.open_calls.is_empty()
            || state.advice.all_answered
                == Some(self.executors.descriptions_version())
        {
            return;
        }
        *self.counters.entry("advice_searches").or_default() += 1;
        let step = &live.job.steps[key.step as usize];
        let label = step.label.as_deref();
        let advice = &state.advice;
        let start_seed = tie_breaker(key, 0);
        let suitable = self.executors.iter_from(start_seed).filter(
            |(index, executor)| {
                executor.info.service == live.queue.service
                    && !executor.info.draining
                    && !executor.cordoned
                    && executor.info.capacity.fits(&step.footprint())
                    && label.is_none_or(|label| executor.has_label(label))
                    && !advice.is_answered_for(**index, executor)
            },
        );
        let suitable = suitable.take(MAX_CANDIDATES);
        let mut ranked: Vec<((u32, u64), ExecutorIndex)> = suitable
            .map(|(index, executor)| {
                let free = free_capacity_for(executor, step);
                ((u32::MAX - free, tie_breaker(key, *index)), *index)
            })
            .collect();
        let queue = &live.job.queue;
        let capacities = ranked.iter().filter_map(|(_, index)| {
            Some(self.executors.get(index)?.info.capacity)
        });
        let sufficient = self.sufficient_executors(queue, step, capacities);
        let batch = self.config.max_advice_batch;
        let most = sufficient.clamp(batch, batch * MAX_CALLS_PER_STEP);
        if ranked.len() > most {
            ranked.select_nth_unstable(most);
            ranked.truncate(most);
        }
        let indices: Vec<ExecutorIndex> =
            ranked.into_iter().map(|(_, index)| index).collect();
        if !indices.is_empty() {
            self.request_advice(key, indices, Coverage::Sufficient, now);
            self.update_advice(key, |advice| advice.last_requested_at = now);
            return;
        }
        let described = self.executors.descriptions_version();
        self.update_advice(key, |advice| {
            advice.all_answered = Some(described)
        });
    }

    fn update_advice(
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

    /// Requests advice on further executors if a step has waited long for
    /// those known. Without this, renewals of their tickets, which are
    /// repeated while there is no free capacity, would leave no chance for
    /// other executors.
    pub(super) fn request_further_advice(
        &mut self,
        key: StepKey,
        now: Millis,
    ) {
        let state = self.step_state(key);
        if state.is_some_and(|s| {
            now >= s.advice.last_requested_at + FURTHER_ADVICE_INTERVAL
        }) {
            self.request_more_advice(key, now);
        }
    }

    /// Requests advice on these executors, unless a call about the step is
    /// open. Several nodes ask in parallel about executors that don't fit into
    /// one call, since a gang needs tickets that are all valid at the same
    /// time.
    pub(super) fn request_advice(
        &mut self,
        key: StepKey,
        executors: Vec<ExecutorIndex>,
        coverage: Coverage,
        now: Millis,
    ) {
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(cost) = live.queue.advice else { return };
        let size = self.call_size(&cost, executors.len());
        let urgent = self.rank(key, now).is_some_and(|rank| rank.is_urgent());
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let deadline = live.deadline;
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        let advice = &mut state.advice;
        if !advice.open_calls.is_empty() {
            return;
        }
        for part in executors.chunks(size) {
            self.next_advice_call += 1;
            advice.open_calls.insert(self.next_advice_call);
            let call = AdviceCall {
                step: key,
                cost,
                executors: part.to_vec(),
                coverage,
                urgent,
                deadline,
                not_before: now,
                overdue_at: 0,
                advisor: None,
                descriptions: 0,
                sufficient: None,
            };
            self.advice_calls.insert(self.next_advice_call, call);
        }
    }

    /// Returns how many executors each call asks about, if the step asks about
    /// `executors` in total.
    fn call_size(&self, cost: &AdviceCost, executors: usize) -> usize {
        let batch = self.config.max_advice_batch;
        let long = cost.call_time(executors.min(batch)) > MAX_SHORT_CALL;
        let split = long
            && self.is_enabled(Mechanism::ParallelAdvice)
            && !self.are_advisors_scarce();
        let parts = if split { PARTS_PER_LONG_CALL } else { 1 };
        executors.div_ceil(parts).clamp(1, batch)
    }

    /// Treats overdue calls as failed, so that they are made again. The former
    /// node may be unreachable, or may have lost its link.
    pub(super) fn reassign_overdue_calls(&mut self, now: Millis) {
        let processed = self.processed_until(now);
        let overdue = self.advice_calls.iter().filter(|(_, call)| {
            call.advisor.is_some() && call.overdue_at < processed
        });
        let overdue: Vec<CallId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            let name =
                self.advice_calls[&id].advisor.clone().unwrap_or_default();
            self.advisors.call_overdue(&name, now);
            self.count("advice_overdue");
            self.advice_received(id, Err(AdviceFailure::Unknown), now);
        }
    }

    /// Drops the calls about an ended job. Those in flight still count for
    /// their nodes until they are answered.
    pub(super) fn drop_advice_calls(&mut self, job: JobId) {
        self.advice_calls
            .retain(|_, call| call.step.job != job || call.advisor.is_some());
    }

    /// Returns whether more than half as many calls wait as there are nodes.
    /// Calls that are not strictly needed are not made then.
    pub(super) fn are_advisors_scarce(&self) -> bool {
        let mut waiting =
            self.advice_calls.values().filter(|c| c.advisor.is_none());
        waiting.nth(self.advisors.len() / 2).is_some()
    }

    /// Assigns waiting calls to nodes, the most urgent first.
    pub(super) fn dispatch_advice(&mut self, now: Millis) {
        let waiting = self.advice_calls.iter().filter(|(_, call)| {
            call.advisor.is_none() && call.not_before <= now
        });
        let mut waiting: Vec<(bool, Millis, CallId)> = waiting
            .map(|(id, call)| (!call.urgent, call.deadline, *id))
            .collect();
        waiting.sort_unstable();
        let shortens = waiting.len()
            > MAX_WAITING_PER_NODE * self.advisors.len()
            && self.is_enabled(Mechanism::ShorterAdvice);
        let mut saturated = SaturatedKinds::default();
        for (_, _, id) in waiting {
            if saturated.both() {
                return;
            }
            if shortens {
                self.estimate_sufficient(id);
            }
            let call = &self.advice_calls[&id];
            let call_time =
                call.cost.call_time(call.executors_to_ask(shortens));
            let long = call_time > MAX_SHORT_CALL;
            if *saturated.flag(long) {
                continue;
            }
            let reserve_short_lane = self.is_enabled(Mechanism::ShortLane);
            let Some(name) = self.advisors.pick(long, reserve_short_lane, now)
            else {
                *saturated.flag(long) = true;
                continue;
            };
            if shortens {
                self.shorten_call(id);
            }
            self.dispatch_call(id, name, call_time, now);
        }
    }

    fn dispatch_call(
        &mut self,
        id: CallId,
        name: String,
        call_time: Millis,
        now: Millis,
    ) {
        let reassigns = self.is_enabled(Mechanism::OverdueAdvice);
        let Some(call) = self.advice_calls.get_mut(&id) else { return };
        if call.urgent {
            self.advice_load.record_urgent(call_time, now);
        }
        let overdue = self.advisors.start_call(&name, call_time, now);
        let timeout = now + CALL_TIMEOUT;
        call.overdue_at =
            if reassigns { overdue.min(timeout) } else { timeout };
        call.descriptions = self.executors.descriptions_version();
        call.advisor = Some(name.clone());
        let known = call.executors.iter();
        let known = known.filter_map(|index| self.executors.get(index));
        let executors = known.map(|e| e.info.id.clone()).collect();
        let (advisor, step) = (name, call.step);
        self.actions.push(Action::Advise {
            call: id,
            advisor,
            step,
            executors,
        });
    }

    /// Estimates how many executors should suffice for a call.
    fn estimate_sufficient(&mut self, id: CallId) {
        let Some(call) = self.advice_calls.get(&id) else { return };
        if call.sufficient.is_some() {
            return;
        }
        let key = call.step;
        let Some(live) = self.jobs.get(&key.job) else { return };
        let Some(step) = live.job.steps.get(key.step as usize) else { return };
        let known =
            call.executors.iter().filter_map(|i| self.executors.get(i));
        let capacities = known.map(|executor| executor.info.capacity);
        let sufficient =
            self.sufficient_executors(&live.job.queue, step, capacities);
        let sufficient = sufficient.max(self.min_executors_to_ask(call));
        if let Some(call) = self.advice_calls.get_mut(&id) {
            call.sufficient = Some(sufficient);
        }
    }

    /// Returns the minimum number of executors that a call asks about.
    fn min_executors_to_ask(&self, call: &AdviceCall) -> usize {
        let AdviceCost { call_ms, each_ms, .. } = call.cost;
        if !call.urgent
            || !self.is_enabled(Mechanism::UrgentPreemption)
            || each_ms <= 0.0
        {
            return 0;
        }
        (call_ms * MIN_URGENT_ASK_RATIO / each_ms) as usize
    }

    /// Returns how many executors of these capacities should suffice for a
    /// step.
    pub(super) fn sufficient_executors(
        &self,
        queue: &str,
        step: &Step,
        capacities: impl Iterator<Item = Resources>,
    ) -> usize {
        let rate = self.approval_rates.get(queue).copied();
        let rate =
            rate.unwrap_or(INITIAL_APPROVAL_RATE).max(MIN_APPROVAL_RATE);
        let counts =
            capacities.map(|capacity| fit_count(&capacity, &step.footprint()));
        let mut each = counts.max().unwrap_or(1).max(1);
        if step.max_per_executor > 0 {
            each = each.min(step.max_per_executor);
        }
        let needed = (f64::from(step.count) / f64::from(each)).ceil() + 1.0;
        let sufficient = needed.max(MIN_EXECUTORS_FOUND) / rate * OVERSAMPLING;
        sufficient.ceil() as usize
    }

    /// Limits a call to as many executors as should suffice, preferring those
    /// with the most free capacity for the step.
    fn shorten_call(&mut self, id: CallId) {
        let Some(call) = self.advice_calls.get(&id) else { return };
        let most = call.executors_to_ask(true);
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
        fits.sort_unstable_by_key(|&(count, index)| (u32::MAX - count, index));
        fits.truncate(most);
        if let Some(call) = self.advice_calls.get_mut(&id) {
            call.executors = fits.into_iter().map(|(_, i)| i).collect();
        }
        self.count("advice_shortened");
    }

    /// Processes the answer to a call. A failed call is queued again.
    pub(super) fn advice_received(
        &mut self,
        id: CallId,
        answer: Result<Vec<AdvisedExecutor>, AdviceFailure>,
        now: Millis,
    ) {
        let Some(mut call) = self.advice_calls.remove(&id) else { return };
        if let Some(name) = call.advisor.take() {
            self.advisors.call_ended(&name, now);
        }
        let key = call.step;
        let Some(live) = self.jobs.get_mut(&key.job) else { return };
        let place = (key.time, key.step);
        let Some(state) = live.steps.get_mut(&place) else { return };
        let advice = &mut state.advice;
        let approved = match answer {
            Ok(approved) => approved,
            Err(failure) => {
                self.count("advice_failed");
                let busy = failure == AdviceFailure::Busy;
                call.not_before =
                    now + if busy { BUSY_RETRY_DELAY } else { 0 };
                self.advice_calls.insert(id, call);
                return;
            }
        };
        self.advisors.call_succeeded();
        advice.open_calls.remove(&id);
        advice.answered = true;
        let valid_until = now + call.cost.valid.saturating_sub(TICKET_MARGIN);
        let asked = call.executors.len().max(1) as f64;
        let approved_ratio = approved.len() as f64 / asked;
        let had_no_tickets = advice.tickets.is_empty();
        for index in &call.executors {
            advice.answered_for.insert(*index, call.descriptions);
            advice.tickets.remove(index);
        }
        for row in approved {
            let index = self.by_id.get(&row.executor);
            // The advice does not apply to a later incarnation.
            if let Some(index) = index.filter(|i| call.executors.contains(i)) {
                let ticket = Ticket { text: row.ticket, valid_until };
                advice.tickets.insert(*index, ticket);
            }
        }
        if had_no_tickets {
            let queue = live.job.queue.clone();
            let rate = self
                .approval_rates
                .entry(queue)
                .or_insert(INITIAL_APPROVAL_RATE);
            *rate += (approved_ratio - *rate) * APPROVAL_WEIGHT;
        }
        self.count("advised");
        self.needs_placement = true;
    }

    /// Marks a refused ticket as expired, so that it is requested again.
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

/// Returns the free capacity of an executor for a step: in members for a gang,
/// and for other steps 1 if any task fits. Single tasks fit on many executors,
/// and would otherwise take the emptiest ones from gangs.
fn free_capacity_for(executor: &Executor, step: &Step) -> u32 {
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

/// Orders executors of equal free capacity differently for each step.
/// Otherwise all steps of a cell with a thousand executors would ask about the
/// same hundred, which would then be full.
fn tie_breaker(key: StepKey, index: ExecutorIndex) -> u64 {
    let mut hasher = SipHasher13::new();
    (key, index).hash(&mut hasher);
    hasher.finish()
}
