/*!
Executor slots: admission, queueing and placement of calls.

An *immediate* call takes a free slot now or is refused at once. A *waiting*
call may wait in a bounded queue. Among the callers, the one with the fewest
running calls of this kind goes next, and among its calls the one with the
earliest deadline.
Waiting calls leave a reserve of slots, so that immediate calls find free
slots even under a full overnight load. The reserve follows from the recent
peak of concurrent immediate calls and the growth to expect from it; the
policy limits it. A call whose predicted wait exceeds its deadline is refused
on arrival.

A slot counts as used from the decision to start a call until the executor's
answer arrives or the connection is known to be closed, even if the caller
has long been told that its deadline passed.
*/

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::{ClassKind, Policy};
use crate::ids::{CallerId, Millis, TargetId};
use crate::outcome::{Outcome, Reason};

/// The number of a call, unique on this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The properties of a call that decide its admission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallSpec {
    /// The caller.
    pub caller: CallerId,
    /// Whether the call may wait for a slot.
    pub kind: ClassKind,
    /// The time after which the answer is useless, on the monotonic clock.
    pub deadline: Millis,
    /// The caller's share of the slots, in percent.
    pub share_percent: u32,
    /// The maximum number of the caller's calls that wait.
    pub queue: usize,
}

/// The limits of a [`Pool`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PoolConfig {
    /// The largest reserve for immediate calls, in percent of the slots.
    pub reserve_percent: u32,
    /// The number of slots reserved even if no immediate call has run
    /// recently.
    pub reserve_least: u32,
    /// The maximum number of calls that wait.
    pub queue: usize,
}

impl Default for PoolConfig {
    fn default() -> PoolConfig {
        (&Policy::default()).into()
    }
}

impl From<&Policy> for PoolConfig {
    fn from(policy: &Policy) -> PoolConfig {
        PoolConfig {
            reserve_percent: policy.reserve_percent,
            reserve_least: policy.reserve_least,
            queue: policy.queue,
        }
    }
}

/// Whether an executor accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ExecutorState {
    /// It has not accepted the epoch yet, or doesn't answer.
    Unavailable,
    /// It accepts work.
    Ready,
    /// It is leaving and accepts no new work.
    Leaving,
}

/// The holder's state of an executor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Executor {
    state: ExecutorState,
    slots: u32,
    /// Slots used by calls of this term.
    tracked: u32,
    /// Slots used by calls of earlier terms, as the executor reported, and by
    /// calls whose connection was lost since.
    untracked: u32,
}

impl Executor {
    fn free(&self) -> u32 {
        match self.state {
            ExecutorState::Ready => {
                self.slots.saturating_sub(self.tracked + self.untracked)
            }
            _ => 0,
        }
    }
}

/// The decision about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call starts at this executor.
    Start(TargetId),
    /// The call waits in the queue.
    Queued,
    /// The call is refused.
    Refused(Outcome),
}

/// A call that left the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The call starts at this executor.
    Start(CallId, TargetId),
    /// The deadline of the call can't be met any more.
    Expired(CallId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RunningCall {
    executor: TargetId,
    caller: CallerId,
    kind: ClassKind,
    started_at: Millis,
}

/// The number of running calls of one caller, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct CallerUsage {
    immediate: u32,
    waiting: u32,
}

/// The free capacity under a contract.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
pub struct Load {
    /// Free slots, all of which immediate calls may use.
    pub free: u32,
    /// Free slots that waiting calls may use.
    pub room: u32,
    /// The predicted wait of a new waiting call, in milliseconds.
    pub wait: Millis,
}

impl Load {
    /// The cost of sending a call of this kind here. The contract with the
    /// lowest cost is best.
    pub fn cost(&self, kind: ClassKind) -> (bool, Millis, Reverse<u32>) {
        match kind {
            ClassKind::Immediate => (self.free == 0, 0, Reverse(self.free)),
            ClassKind::Waiting => {
                (self.room == 0, self.wait, Reverse(self.room))
            }
        }
    }
}

/// The executors of one contract and the calls that run or wait there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    config: PoolConfig,
    executors: BTreeMap<TargetId, Executor>,
    running: BTreeMap<CallId, RunningCall>,
    caller_usage: BTreeMap<CallerId, CallerUsage>,
    queues: BTreeMap<CallerId, BTreeSet<(Millis, CallId)>>,
    /// The caller and the deadline of each call in `queues`.
    queued: BTreeMap<CallId, (CallerId, Millis)>,
    /// The running mean of call durations, in 1/16 milliseconds.
    scaled_mean: u64,
    /// Running immediate calls, and their recent peak, which decays.
    running_immediate: u32,
    immediate_peak: u32,
    peak_decayed_at: Millis,
}

/// The newest duration contributes one part in this many to the running mean.
const MEAN_DIVISOR: u64 = 16;
/// In each interval, the peak of immediate calls loses one part in
/// `PEAK_DECAY_DIVISOR`.
const PEAK_DECAY_INTERVAL: Millis = 1_000;
const PEAK_DECAY_DIVISOR: u32 = 20;
/// The smallest and the largest `retry_after` of a refusal.
const RETRY_AFTER_RANGE: (Millis, Millis) = (20, 60_000);

impl Pool {
    /// Creates a pool without executors.
    pub fn new(config: PoolConfig) -> Pool {
        Pool {
            config,
            executors: BTreeMap::new(),
            running: BTreeMap::new(),
            caller_usage: BTreeMap::new(),
            queues: BTreeMap::new(),
            queued: BTreeMap::new(),
            scaled_mean: 0,
            running_immediate: 0,
            immediate_peak: 0,
            peak_decayed_at: 0,
        }
    }

    /// Applies a new configuration.
    pub fn configure(&mut self, config: PoolConfig) {
        self.config = config;
    }

    /// Records that the executor accepted the epoch or answered a status
    /// request. `untracked` of its slots are used by calls of earlier terms,
    /// or by calls whose connection was lost.
    pub fn report(
        &mut self,
        id: &TargetId,
        state: ExecutorState,
        slots: u32,
        untracked: u32,
    ) {
        let tracked = self.executors.get(id).map_or(0, |e| e.tracked);
        let executor = Executor { state, slots, tracked, untracked };
        self.executors.insert(id.clone(), executor);
    }

    /// Records whether the executor accepts work.
    pub fn set_state(&mut self, id: &TargetId, state: ExecutorState) {
        if let Some(executor) = self.executors.get_mut(id) {
            executor.state = state;
        }
    }

    /// Whether an executor accepts work.
    pub fn state(&self, id: &TargetId) -> ExecutorState {
        self.executors.get(id).map_or(ExecutorState::Unavailable, |e| e.state)
    }

    /// The slots that count as used by calls of earlier terms, and by calls
    /// whose connection was lost.
    pub fn untracked(&self, id: &TargetId) -> u32 {
        self.executors.get(id).map_or(0, |e| e.untracked)
    }

    /// Removes an executor that is permanently gone.
    pub fn remove(&mut self, id: &TargetId) {
        self.executors.remove(id);
    }

    /// The number of slots of all executors that accept work.
    pub fn slots(&self) -> u32 {
        let ready = |e: &&Executor| e.state == ExecutorState::Ready;
        self.executors.values().filter(ready).map(|e| e.slots).sum()
    }

    /// The number of free slots of all executors that accept work.
    pub fn free(&self) -> u32 {
        self.executors.values().map(Executor::free).sum()
    }

    /// The free capacity of the pool.
    pub fn load(&self) -> Load {
        let free_for_waiting = self.free_for_waiting();
        let ahead =
            self.queued.len() as u64 + u64::from(free_for_waiting == 0);
        let wait = ahead * self.mean_ms() / self.slots_for_waiting();
        Load { free: self.free(), room: free_for_waiting, wait }
    }

    /// The number of running calls, including those past their deadline.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The number of waiting calls.
    pub fn queue_len(&self) -> usize {
        self.queued.len()
    }

    /// The mean duration of calls, in milliseconds; zero if unknown.
    pub fn mean_ms(&self) -> Millis {
        self.scaled_mean / MEAN_DIVISOR
    }

    /// Each executor with its slots, its used slots and its state.
    pub fn usage(
        &self,
    ) -> impl Iterator<Item = (&TargetId, u32, u32, ExecutorState)> {
        self.executors
            .iter()
            .map(|(id, e)| (id, e.slots, e.tracked + e.untracked, e.state))
    }

    /// Decides whether a call starts, waits or is refused.
    pub fn admit(
        &mut self,
        now: Millis,
        id: CallId,
        spec: &CallSpec,
    ) -> Admission {
        if spec.deadline <= now {
            let retry = self.retry_after(0);
            return Admission::Refused(Outcome::not_run(
                Reason::Expired,
                retry,
            ));
        }
        match spec.kind {
            ClassKind::Immediate => self.admit_immediate(now, id, spec),
            ClassKind::Waiting => self.admit_waiting(now, id, spec),
        }
    }

    fn admit_immediate(
        &mut self,
        now: Millis,
        id: CallId,
        spec: &CallSpec,
    ) -> Admission {
        let free = self.free();
        if free == 0 {
            let retry = self.retry_after(0);
            return Admission::Refused(Outcome::not_run(
                Reason::NoSlot,
                retry,
            ));
        }
        if !self.is_within_share(free, spec) {
            let retry = self.retry_after(0);
            let outcome = Outcome::not_run(Reason::CallerLimit, retry);
            return Admission::Refused(outcome);
        }
        match self.start(now, id, &spec.caller, spec.kind) {
            Some(executor) => Admission::Start(executor),
            None => {
                Admission::Refused(Outcome::not_run(Reason::NoSlot, 1_000))
            }
        }
    }

    /// Whether a caller may take one more slot for an immediate call.
    ///
    /// The limit is the caller's share of all slots. While waiting calls use
    /// all the slots they may, the last few free slots are reserved for
    /// callers with less than an even share of the slots that immediate
    /// calls use or could use, so that a flood of calls from one caller
    /// leaves capacity for the others.
    fn is_within_share(&self, free: u32, spec: &CallSpec) -> bool {
        let running = self
            .caller_usage
            .get(&spec.caller)
            .map_or(0, |usage| usage.immediate);
        let share = percent(self.slots(), spec.share_percent).max(1);
        if running >= share {
            return false;
        }
        if running == 0 || self.free_for_waiting() > 0 {
            return true;
        }
        let others =
            self.caller_usage.values().filter(|usage| usage.immediate > 0);
        let callers = others.count() as u32;
        let margin = 1 + self.immediate_peak.isqrt() / 2;
        let even_share =
            (self.running_immediate + free).div_ceil(callers.max(1));
        free > margin || running < even_share
    }

    fn admit_waiting(
        &mut self,
        now: Millis,
        id: CallId,
        spec: &CallSpec,
    ) -> Admission {
        if self.queued.is_empty() && self.free_for_waiting() > 0 {
            if let Some(executor) =
                self.start(now, id, &spec.caller, spec.kind)
            {
                return Admission::Start(executor);
            }
        }
        match self.refuse_on_arrival(now, spec) {
            Some(outcome) => Admission::Refused(outcome),
            None => {
                self.enqueue(id, spec);
                Admission::Queued
            }
        }
    }

    fn refuse_on_arrival(
        &self,
        now: Millis,
        spec: &CallSpec,
    ) -> Option<Outcome> {
        let ahead = self.queues.get(&spec.caller).map_or(0, BTreeSet::len);
        let wait = self.predicted_wait(&spec.caller);
        if self.queued.len() >= self.config.queue || ahead >= spec.queue {
            let retry = self.retry_after(wait / 2);
            return Some(Outcome::not_run(Reason::QueueFull, retry));
        }
        let slack = spec.deadline - now;
        if wait + self.mean_ms() > slack {
            let retry = self.retry_after(wait + self.mean_ms() - slack);
            return Some(Outcome::not_run(Reason::WaitTooLong, retry));
        }
        None
    }

    /// The predicted wait of the caller's next call, in milliseconds: it
    /// starts after the caller's calls ahead of it, and every other caller
    /// starts one call before each of them.
    pub fn predicted_wait(&self, caller: &CallerId) -> Millis {
        let ahead = self.queues.get(caller).map_or(0, BTreeSet::len) as u64;
        let known = self.queues.contains_key(caller);
        let callers = self.queues.len() as u64 + u64::from(!known);
        let starts = (ahead + 1) * callers.max(1);
        let all = self.queued.len() as u64 + 1;
        starts.min(all) * self.mean_ms() / self.slots_for_waiting()
    }

    fn enqueue(&mut self, id: CallId, spec: &CallSpec) {
        let queue = self.queues.entry(spec.caller.clone()).or_default();
        queue.insert((spec.deadline, id));
        self.queued.insert(id, (spec.caller.clone(), spec.deadline));
    }

    /// Removes a call from the queue. Returns whether it was queued.
    pub fn withdraw(&mut self, id: CallId) -> bool {
        let Some((caller, deadline)) = self.queued.remove(&id) else {
            return false;
        };
        if let Some(queue) = self.queues.get_mut(&caller) {
            queue.remove(&(deadline, id));
            if queue.is_empty() {
                self.queues.remove(&caller);
            }
        }
        true
    }

    /// Empties the queue and returns its calls.
    pub fn withdraw_all(&mut self) -> Vec<CallId> {
        let ids: Vec<CallId> = self.queued.keys().copied().collect();
        self.queued.clear();
        self.queues.clear();
        ids
    }

    /// Records that a call ended at its executor or that its connection was
    /// closed.
    pub fn finish(&mut self, now: Millis, id: CallId) {
        if let Some(running) = self.release(id) {
            self.record_duration(now.saturating_sub(running.started_at));
        }
    }

    /// Frees the slot of a call that did not start at its executor.
    pub fn start_failed(&mut self, id: CallId) {
        self.release(id);
    }

    /// Records that the connection to a call's executor was lost. The
    /// executor may still run the call, so the slot counts as used until the
    /// executor reports what it runs.
    pub fn connection_lost(&mut self, id: CallId) {
        let Some(running) = self.release(id) else { return };
        if let Some(executor) = self.executors.get_mut(&running.executor) {
            executor.untracked += 1;
        }
    }

    /// The calls that run at an executor.
    pub fn running_at<'a>(
        &'a self,
        id: &'a TargetId,
    ) -> impl Iterator<Item = CallId> + 'a {
        let here = move |(_, r): &(&CallId, &RunningCall)| r.executor == *id;
        self.running.iter().filter(here).map(|(id, _)| *id)
    }

    fn release(&mut self, id: CallId) -> Option<RunningCall> {
        let running = self.running.remove(&id)?;
        if let Some(executor) = self.executors.get_mut(&running.executor) {
            executor.tracked = executor.tracked.saturating_sub(1);
        }
        if let Some(usage) = self.caller_usage.get_mut(&running.caller) {
            match running.kind {
                ClassKind::Immediate => {
                    usage.immediate -= 1;
                    self.running_immediate -= 1;
                }
                ClassKind::Waiting => usage.waiting -= 1,
            }
            if usage.immediate + usage.waiting == 0 {
                self.caller_usage.remove(&running.caller);
            }
        }
        Some(running)
    }

    fn record_duration(&mut self, duration: Millis) {
        if self.scaled_mean == 0 {
            self.scaled_mean = duration * MEAN_DIVISOR;
        } else {
            self.scaled_mean =
                self.scaled_mean - self.scaled_mean / MEAN_DIVISOR + duration;
        }
    }

    /// Starts waiting calls while they may use free slots, and removes those
    /// whose deadline can't be met any more.
    pub fn start_waiting(&mut self, now: Millis) -> Vec<Dequeued> {
        self.decay_peak(now);
        let mut out = self.remove_expired(now);
        while self.free_for_waiting() > 0 {
            let Some((caller, id)) = self.next_waiting() else { break };
            self.withdraw(id);
            let kind = ClassKind::Waiting;
            match self.start(now, id, &caller, kind) {
                Some(executor) => out.push(Dequeued::Start(id, executor)),
                None => break,
            }
        }
        out
    }

    fn remove_expired(&mut self, now: Millis) -> Vec<Dequeued> {
        let horizon = now + self.mean_ms();
        let mut late = Vec::new();
        for queue in self.queues.values() {
            let due = queue.iter().take_while(|(d, _)| *d <= horizon);
            late.extend(due.map(|(_, id)| *id));
        }
        for id in &late {
            self.withdraw(*id);
        }
        late.into_iter().map(Dequeued::Expired).collect()
    }

    fn next_waiting(&self) -> Option<(CallerId, CallId)> {
        let next = |(caller, queue): (&CallerId, &BTreeSet<_>)| {
            let (deadline, id) = *queue.first()?;
            let running =
                self.caller_usage.get(caller).map_or(0, |usage| usage.waiting);
            Some((running, deadline, id, caller.clone()))
        };
        let (_, _, id, caller) = self.queues.iter().filter_map(next).min()?;
        Some((caller, id))
    }

    /// The number of slots that waiting calls leave to immediate ones.
    fn reserved_slots(&self, slots: u32) -> u32 {
        let max_reserve = percent(slots, self.config.reserve_percent);
        let growth = self.config.reserve_least + self.immediate_peak.isqrt();
        max_reserve.min(self.immediate_peak + growth)
    }

    /// The number of slots that waiting calls may use, at least one.
    fn slots_for_waiting(&self) -> u64 {
        let slots = self.slots();
        u64::from(slots.saturating_sub(self.reserved_slots(slots))).max(1)
    }

    /// The number of free slots that waiting calls may use.
    fn free_for_waiting(&self) -> u32 {
        let (slots, free) = (self.slots(), self.free());
        let used = slots.saturating_sub(free + self.running_immediate);
        let limit = slots.saturating_sub(self.reserved_slots(slots));
        free.min(limit.saturating_sub(used))
    }

    /// Decays the peak of immediate calls.
    fn decay_peak(&mut self, now: Millis) {
        while self.peak_decayed_at + PEAK_DECAY_INTERVAL <= now {
            self.peak_decayed_at += PEAK_DECAY_INTERVAL;
            let decayed = self.immediate_peak
                - self.immediate_peak.div_ceil(PEAK_DECAY_DIVISOR);
            self.immediate_peak = decayed.max(self.running_immediate);
            if self.immediate_peak == self.running_immediate {
                self.peak_decayed_at = now;
            }
        }
    }

    /// Starts a call at the executor with the most free slots.
    fn start(
        &mut self,
        now: Millis,
        id: CallId,
        caller: &CallerId,
        kind: ClassKind,
    ) -> Option<TargetId> {
        let (executor, state) = self
            .executors
            .iter_mut()
            .filter(|(_, e)| e.free() > 0)
            .max_by_key(|(_, e)| e.free())?;
        state.tracked += 1;
        let executor = executor.clone();
        let usage = self.caller_usage.entry(caller.clone()).or_default();
        match kind {
            ClassKind::Immediate => {
                usage.immediate += 1;
                self.running_immediate += 1;
                self.immediate_peak =
                    self.immediate_peak.max(self.running_immediate);
            }
            ClassKind::Waiting => usage.waiting += 1,
        }
        let caller = caller.clone();
        let running = RunningCall {
            executor: executor.clone(),
            caller,
            kind,
            started_at: now,
        };
        self.running.insert(id, running);
        Some(executor)
    }

    fn retry_after(&self, wait: Millis) -> Millis {
        let slots = u64::from(self.slots().max(1));
        let next_free = self.mean_ms() / slots;
        wait.max(next_free).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}

/// A percentage of a number of slots, rounded up.
fn percent(slots: u32, percent: u32) -> u32 {
    (slots * percent).div_ceil(100)
}
