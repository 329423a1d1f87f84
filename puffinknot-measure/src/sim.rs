//! Calls in virtual time, through the real [`Pool`] and through baselines.
//!
//! A fake caller that is refused comes back when it was told to, until its
//! deadline has passed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

use hdrhistogram::Histogram;
use puffinknot_core::calls::{
    Admission, CallId, CallSpec, Dequeued, ExecutorState, Pool, PoolConfig,
};
use puffinknot_core::config::ClassKind;
use puffinknot_core::ids::{CallerId, Millis, TargetId};
use puffinknot_core::outcome::Outcome;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// A stream of calls of one class from one caller.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The class.
    pub class: &'static str,
    /// The caller.
    pub caller: String,
    /// How its calls wait.
    pub kind: ClassKind,
    /// Calls in a second.
    pub rate: f64,
    /// The mean time a call runs, in milliseconds.
    pub mean_ms: f64,
    /// The deadline, in milliseconds after the arrival.
    pub deadline: Millis,
    /// From when to when it sends, in milliseconds.
    pub span: (Millis, Millis),
}

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The real pools, as many as the data centre has call contracts.
    Chosen { pools: usize },
    /// One queue for all, first come first served, without any refusal.
    OneQueue,
    /// A fixed share of the slots for each entry VM.
    Shares { vms: usize },
}

/// A run to make.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Who decides.
    pub policy: Policy,
    /// The number of executors, of eight slots each.
    pub executors: u32,
    /// The calls.
    pub streams: Vec<Stream>,
    /// When a fifth of the executors is lost, if ever.
    pub loss_at: Option<Millis>,
    /// The end of arrivals.
    pub until: Millis,
}

/// How a stream's class fared.
pub struct Fared {
    /// Waiting time from arrival to start, in milliseconds.
    pub wait: Histogram<u64>,
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls that were never started.
    pub refused: u64,
    /// Calls answered within their deadline.
    pub in_time: u64,
    /// The work of these, in milliseconds of slots.
    pub work: u64,
    /// From arrival to the answer, in milliseconds.
    pub response: Histogram<u64>,
    /// Calls turned away at least once, or at their first try.
    pub turned_away: u64,
}

impl Fared {
    /// Nothing yet.
    pub fn new() -> Fared {
        Fared {
            wait: histogram(),
            response: histogram(),
            arrived: 0,
            refused: 0,
            in_time: 0,
            work: 0,
            turned_away: 0,
        }
    }

    /// Adds what another one counted.
    pub fn add(&mut self, other: &Fared) {
        let _ = self.wait.add(&other.wait);
        let _ = self.response.add(&other.response);
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.in_time += other.in_time;
        self.work += other.work;
        self.turned_away += other.turned_away;
    }

    /// A quantile of the waiting time, in milliseconds.
    pub fn quantile(&self, q: f64) -> f64 {
        self.wait.value_at_quantile(q) as f64
    }
}

/// A histogram that grows by itself and keeps three digits.
pub fn histogram() -> Histogram<u64> {
    // Three digits are a precision that the crate accepts.
    Histogram::new(3).unwrap_or_else(|_| unreachable!())
}

/// The slots of an executor.
pub const SLOTS: u32 = 8;

#[derive(Clone, Debug)]
struct CallState {
    stream: usize,
    arrived: Millis,
    runs: Millis,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Lose,
    End(u64),
    Retry(u64),
    Arrive(usize),
    Pump,
}

enum Decider {
    Pools(Vec<Pool>),
    Queue { slots: u32, busy: u32, queue: VecDeque<u64> },
}

/// A run in progress.
pub struct Sim {
    plan: Plan,
    rng: StdRng,
    heap: BinaryHeap<Reverse<(Millis, u64, Happening)>>,
    seq: u64,
    decider: Decider,
    calls: HashMap<u64, CallState>,
    /// Which pool a call is at.
    at: HashMap<u64, usize>,
    fared: BTreeMap<(&'static str, String), Fared>,
}

/// Makes a run. Classes and callers of the result are in order.
pub fn run(plan: Plan, seed: u64) -> BTreeMap<(&'static str, String), Fared> {
    Sim::new(plan, seed).run()
}

/// Sums up the callers of one class.
pub fn class(
    all: &BTreeMap<(&'static str, String), Fared>,
    class: &str,
) -> Fared {
    let mut sum = Fared::new();
    for ((name, _), fared) in all {
        if *name == class {
            sum.add(fared);
        }
    }
    sum
}

impl Sim {
    fn new(plan: Plan, seed: u64) -> Sim {
        let executors = plan.executors;
        let decider = match plan.policy {
            Policy::Chosen { pools } => {
                Decider::Pools(build(pools, executors))
            }
            Policy::Shares { vms } => {
                // Slots can't be split: eight over nine VMs leave one of
                // them without any at each executor.
                Decider::Pools(shares(vms, executors))
            }
            Policy::OneQueue => Decider::Queue {
                slots: executors * SLOTS,
                busy: 0,
                queue: VecDeque::new(),
            },
        };
        Sim {
            plan,
            rng: StdRng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            seq: 0,
            decider,
            calls: HashMap::new(),
            at: HashMap::new(),
            fared: BTreeMap::new(),
        }
    }

    fn at(&mut self, when: Millis, what: Happening) {
        self.seq += 1;
        self.heap.push(Reverse((when, self.seq, what)));
    }

    fn run(mut self) -> BTreeMap<(&'static str, String), Fared> {
        for stream in 0..self.plan.streams.len() {
            let from = self.plan.streams[stream].span.0;
            self.next_arrival(from, stream);
        }
        if let Some(at) = self.plan.loss_at {
            self.at(at, Happening::Lose);
        }
        self.at(PUMP, Happening::Pump);
        while let Some(Reverse((now, _, what))) = self.heap.pop() {
            match what {
                Happening::Arrive(stream) => self.arrive(now, stream),
                Happening::Retry(id) => self.offer(now, id),
                Happening::End(id) => self.end(now, id),
                Happening::Lose => self.lose(),
                Happening::Pump => {
                    self.pump(now);
                    if now < self.plan.until || !self.calls.is_empty() {
                        self.at(now + PUMP, Happening::Pump);
                    }
                }
            }
        }
        self.fared
    }

    fn next_arrival(&mut self, now: Millis, stream: usize) {
        let spec = &self.plan.streams[stream];
        let Ok(gaps) = Exp::new(spec.rate / 1_000.0) else { return };
        let gap: f64 = gaps.sample(&mut self.rng);
        let next = now + gap.round() as Millis;
        if next < self.plan.until.min(spec.span.1) {
            self.at(next, Happening::Arrive(stream));
        }
    }

    fn arrive(&mut self, now: Millis, stream: usize) {
        let spec = &self.plan.streams[stream];
        let runs = Exp::new(1.0 / spec.mean_ms);
        let runs = runs.map_or(1.0, |runs| runs.sample(&mut self.rng));
        let runs = (runs.round() as Millis).max(1);
        self.seq += 1;
        let id = self.seq;
        let state = CallState { stream, arrived: now, runs, tries: 0 };
        self.calls.insert(id, state);
        self.fared(id).arrived += 1;
        self.offer(now, id);
        self.next_arrival(now, stream);
    }

    fn fared(&mut self, id: u64) -> &mut Fared {
        let stream = &self.plan.streams[self.calls[&id].stream];
        let key = (stream.class, stream.caller.clone());
        self.fared.entry(key).or_insert_with(Fared::new)
    }

    fn spec(&self, id: u64) -> CallSpec {
        let state = &self.calls[&id];
        let stream = &self.plan.streams[state.stream];
        CallSpec {
            caller: CallerId(stream.caller.clone()),
            kind: stream.kind,
            deadline: state.arrived + stream.deadline,
            share_percent: 50,
            queue: 100_000,
        }
    }

    fn offer(&mut self, now: Millis, id: u64) {
        let spec = self.spec(id);
        let pools = match &mut self.decider {
            Decider::Queue { queue, .. } => {
                queue.push_back(id);
                self.pump(now);
                return;
            }
            Decider::Pools(pools) => pools,
        };
        let pool = pick(pools, self.plan.policy, &spec, &mut self.rng);
        match pools[pool].admit(now, CallId(id), &spec) {
            Admission::Start(_) => {
                self.at.insert(id, pool);
                self.started(now, id);
            }
            Admission::Queued => {
                self.at.insert(id, pool);
            }
            Admission::Refused(outcome) => self.refused(now, id, &outcome),
        }
    }

    fn refused(&mut self, now: Millis, id: u64, outcome: &Outcome) {
        let Outcome::NotRun { retry_after, .. } = outcome else { return };
        let state = &self.calls[&id];
        let stream = &self.plan.streams[state.stream];
        let again = now + (*retry_after).max(1);
        let first = state.tries == 0;
        let over = again >= state.arrived + stream.deadline;
        if first {
            self.fared(id).turned_away += 1;
        }
        if over {
            self.fared(id).refused += 1;
            self.calls.remove(&id);
            return;
        }
        if let Some(state) = self.calls.get_mut(&id) {
            state.tries += 1;
        }
        self.at(again, Happening::Retry(id));
    }

    fn started(&mut self, now: Millis, id: u64) {
        let (arrived, runs) = {
            let state = &self.calls[&id];
            (state.arrived, state.runs)
        };
        // The histogram grows by itself, so that recording can't fail.
        let _ = self.fared(id).wait.record(now - arrived);
        self.at(now + runs, Happening::End(id));
    }

    fn end(&mut self, now: Millis, id: u64) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let state = &self.calls[&id];
        let stream = &self.plan.streams[state.stream];
        let (took, runs) = (now - state.arrived, state.runs);
        let in_time = took <= stream.deadline;
        let fared = self.fared(id);
        let _ = fared.response.record(took);
        if in_time {
            fared.in_time += 1;
            fared.work += runs;
        }
        self.calls.remove(&id);
        match &mut self.decider {
            Decider::Queue { busy, .. } => *busy -= 1,
            Decider::Pools(pools) => {
                if let Some(pool) = self.at.remove(&id) {
                    pools[pool].finish(now, CallId(id));
                }
            }
        }
        self.pump(now);
    }

    fn pump(&mut self, now: Millis) {
        let mut started = Vec::new();
        let mut expired = Vec::new();
        match &mut self.decider {
            Decider::Queue { slots, busy, queue } => {
                while *busy < *slots {
                    let Some(id) = queue.pop_front() else { break };
                    *busy += 1;
                    started.push(id);
                }
            }
            Decider::Pools(pools) => {
                for pool in pools {
                    for dequeued in pool.start_waiting(now) {
                        match dequeued {
                            Dequeued::Start(id, _) => started.push(id.0),
                            Dequeued::Expired(id) => expired.push(id.0),
                        }
                    }
                }
            }
        }
        for id in started {
            self.started(now, id);
        }
        for id in expired {
            self.fared(id).refused += 1;
            self.at.remove(&id);
            self.calls.remove(&id);
        }
    }

    /// A fifth of the executors is gone, and what ran there with it.
    fn lose(&mut self) {
        let executors = self.plan.executors;
        match &mut self.decider {
            Decider::Queue { slots, .. } => *slots -= *slots / 5,
            Decider::Pools(pools) => {
                for n in 0..executors / 5 {
                    for pool in pools.iter_mut() {
                        pool.set_state(&target(n), ExecutorState::Unavailable);
                    }
                }
            }
        }
    }
}

/// How often the deciders are told that time has passed.
const PUMP: Millis = 50;

fn target(n: u32) -> TargetId {
    TargetId(format!("executor-{n:03}"))
}

fn build(pools: usize, executors: u32) -> Vec<Pool> {
    let config = PoolConfig { queue: 100_000, ..PoolConfig::default() };
    let mut all = vec![Pool::new(config); pools];
    for n in 0..executors {
        let pool = &mut all[n as usize % pools];
        pool.report(&target(n), ExecutorState::Ready, SLOTS, 0);
    }
    all
}

/// Every entry VM has its own part of each executor's slots.
fn shares(vms: usize, executors: u32) -> Vec<Pool> {
    let config = PoolConfig { queue: 100_000, ..PoolConfig::default() };
    let mut all = vec![Pool::new(config); vms];
    for n in 0..executors {
        for slot in 0..SLOTS {
            let vm = (n * SLOTS + slot) as usize % vms;
            let pool = &mut all[vm];
            let had = pool.usage().find(|(id, ..)| **id == target(n));
            let slots = had.map_or(0, |(_, slots, ..)| slots);
            pool.report(&target(n), ExecutorState::Ready, slots + 1, 0);
        }
    }
    all
}

/// The pool a call is offered to: as an entry VM chooses it, the one with
/// the most free slots; with fixed shares, the one of the VM it came to.
fn pick(
    pools: &[Pool],
    policy: Policy,
    spec: &CallSpec,
    rng: &mut StdRng,
) -> usize {
    let any = rng.random_range(0..pools.len());
    if matches!(policy, Policy::Shares { .. }) {
        return any;
    }
    let cost = |pool: &usize| pools[*pool].load().cost(spec.kind);
    (0..pools.len()).min_by_key(cost).unwrap_or(any)
}
