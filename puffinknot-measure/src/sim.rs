//! Simulates calls in virtual time with the production [`Pool`] and baselines.
//!
//! A simulated caller retries a refused call after the delay that the refusal
//! states, until the call's deadline.

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

/// Calls of one class from one caller, with exponentially distributed gaps.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The name of the class.
    pub class: &'static str,
    /// The name of the caller.
    pub caller: String,
    /// Whether the calls are immediate or waiting.
    pub kind: ClassKind,
    /// The mean number of calls per second.
    pub rate: f64,
    /// The mean run time of a call, in milliseconds.
    pub mean_ms: f64,
    /// The time from a call's arrival to its deadline, in milliseconds.
    pub deadline: Millis,
    /// The start and the end of arrivals, in milliseconds.
    pub span: (Millis, Millis),
}

/// The admission policy of a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The production pools, one for each call contract; each executor belongs
    /// to one pool.
    Implemented { pools: usize },
    /// One first-in first-out queue for all calls, which refuses none.
    OneQueue,
    /// A fixed share of the slots of each executor for each entry VM.
    FixedShares { vms: usize },
}

/// The parameters of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The admission policy.
    pub policy: Policy,
    /// The number of executors, with [`SLOTS`] slots each.
    pub executors: u32,
    /// The streams of calls.
    pub streams: Vec<Stream>,
    /// The time when a fifth of the executors is lost, in milliseconds.
    pub loss_at: Option<Millis>,
    /// The end of all arrivals, in milliseconds.
    pub until: Millis,
}

/// The results of the calls of a class.
pub struct CallStats {
    /// The time from arrival to start, in milliseconds.
    pub wait: Histogram<u64>,
    /// The number of calls that arrived.
    pub arrived: u64,
    /// The number of calls that never started.
    pub refused: u64,
    /// The number of calls answered by their deadline.
    pub in_time: u64,
    /// The run time of the calls answered by their deadline, in slot
    /// milliseconds.
    pub work: u64,
    /// The time from arrival to the answer, in milliseconds.
    pub response: Histogram<u64>,
    /// The number of calls whose first attempt was refused.
    pub refused_at_first: u64,
}

impl CallStats {
    /// Creates statistics of no calls.
    pub fn new() -> CallStats {
        CallStats {
            wait: histogram(),
            response: histogram(),
            arrived: 0,
            refused: 0,
            in_time: 0,
            work: 0,
            refused_at_first: 0,
        }
    }

    /// Adds the calls of other statistics.
    pub fn add(&mut self, other: &CallStats) {
        let _ = self.wait.add(&other.wait);
        let _ = self.response.add(&other.response);
        self.arrived += other.arrived;
        self.refused += other.refused;
        self.in_time += other.in_time;
        self.work += other.work;
        self.refused_at_first += other.refused_at_first;
    }

    /// Returns a quantile of the waiting time, in milliseconds.
    pub fn quantile(&self, q: f64) -> f64 {
        self.wait.value_at_quantile(q) as f64
    }
}

/// Creates a histogram that resizes itself and keeps three significant digits.
pub fn histogram() -> Histogram<u64> {
    // The precision is within the limits of the histogram crate.
    Histogram::new(3).unwrap_or_else(|_| unreachable!())
}

/// The number of slots of an executor.
pub const SLOTS: u32 = 8;

#[derive(Clone, Debug)]
struct CallState {
    stream: usize,
    arrived: Millis,
    run_ms: Millis,
    attempts: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    ExecutorLoss,
    CallEnd(u64),
    Retry(u64),
    Arrival(usize),
    Dispatch,
}

/// What decides when calls start.
enum Dispatcher {
    /// The pools of [`Policy::Implemented`] or [`Policy::FixedShares`].
    Pools(Vec<Pool>),
    /// The state of [`Policy::OneQueue`].
    Queue { slots: u32, busy: u32, queue: VecDeque<u64> },
}

/// A simulation in progress.
pub struct Simulation {
    plan: Plan,
    rng: StdRng,
    heap: BinaryHeap<Reverse<(Millis, u64, SimEvent)>>,
    seq: u64,
    dispatcher: Dispatcher,
    calls: HashMap<u64, CallState>,
    /// The index of the pool that runs or queues a call.
    pool_of: HashMap<u64, usize>,
    stats: BTreeMap<(&'static str, String), CallStats>,
}

/// Runs a simulation, and returns the results by class and caller.
pub fn run(
    plan: Plan,
    seed: u64,
) -> BTreeMap<(&'static str, String), CallStats> {
    Simulation::new(plan, seed).run()
}

/// Returns the results of one class, summed over its callers.
pub fn class(
    all: &BTreeMap<(&'static str, String), CallStats>,
    class: &str,
) -> CallStats {
    let mut sum = CallStats::new();
    for ((name, _), stats) in all {
        if *name == class {
            sum.add(stats);
        }
    }
    sum
}

impl Simulation {
    fn new(plan: Plan, seed: u64) -> Simulation {
        let executors = plan.executors;
        let dispatcher = match plan.policy {
            Policy::Implemented { pools } => {
                Dispatcher::Pools(whole_executor_pools(pools, executors))
            }
            Policy::FixedShares { vms } => {
                // Slots are indivisible: with eight slots and nine VMs, one VM
                // has no slot on each executor.
                Dispatcher::Pools(fixed_share_pools(vms, executors))
            }
            Policy::OneQueue => Dispatcher::Queue {
                slots: executors * SLOTS,
                busy: 0,
                queue: VecDeque::new(),
            },
        };
        Simulation {
            plan,
            rng: StdRng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            seq: 0,
            dispatcher,
            calls: HashMap::new(),
            pool_of: HashMap::new(),
            stats: BTreeMap::new(),
        }
    }

    fn schedule(&mut self, time: Millis, event: SimEvent) {
        self.seq += 1;
        self.heap.push(Reverse((time, self.seq, event)));
    }

    fn run(mut self) -> BTreeMap<(&'static str, String), CallStats> {
        for stream in 0..self.plan.streams.len() {
            let from = self.plan.streams[stream].span.0;
            self.next_arrival(from, stream);
        }
        if let Some(at) = self.plan.loss_at {
            self.schedule(at, SimEvent::ExecutorLoss);
        }
        self.schedule(DISPATCH_INTERVAL, SimEvent::Dispatch);
        while let Some(Reverse((now, _, event))) = self.heap.pop() {
            match event {
                SimEvent::Arrival(stream) => self.arrive(now, stream),
                SimEvent::Retry(id) => self.offer(now, id),
                SimEvent::CallEnd(id) => self.finish_call(now, id),
                SimEvent::ExecutorLoss => self.lose_executors(),
                SimEvent::Dispatch => {
                    self.dispatch(now);
                    if now < self.plan.until || !self.calls.is_empty() {
                        self.schedule(
                            now + DISPATCH_INTERVAL,
                            SimEvent::Dispatch,
                        );
                    }
                }
            }
        }
        self.stats
    }

    fn next_arrival(&mut self, now: Millis, stream: usize) {
        let spec = &self.plan.streams[stream];
        let Ok(gaps) = Exp::new(spec.rate / 1_000.0) else { return };
        let gap: f64 = gaps.sample(&mut self.rng);
        let next = now + gap.round() as Millis;
        if next < self.plan.until.min(spec.span.1) {
            self.schedule(next, SimEvent::Arrival(stream));
        }
    }

    fn arrive(&mut self, now: Millis, stream: usize) {
        let spec = &self.plan.streams[stream];
        let run_times = Exp::new(1.0 / spec.mean_ms);
        let run_ms =
            run_times.map_or(1.0, |times| times.sample(&mut self.rng));
        let run_ms = (run_ms.round() as Millis).max(1);
        self.seq += 1;
        let id = self.seq;
        let state = CallState { stream, arrived: now, run_ms, attempts: 0 };
        self.calls.insert(id, state);
        self.stats(id).arrived += 1;
        self.offer(now, id);
        self.next_arrival(now, stream);
    }

    fn stats(&mut self, id: u64) -> &mut CallStats {
        let stream = &self.plan.streams[self.calls[&id].stream];
        let key = (stream.class, stream.caller.clone());
        self.stats.entry(key).or_insert_with(CallStats::new)
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

    /// Offers a call for admission, at its arrival or as a retry.
    fn offer(&mut self, now: Millis, id: u64) {
        let spec = self.spec(id);
        let pools = match &mut self.dispatcher {
            Dispatcher::Queue { queue, .. } => {
                queue.push_back(id);
                self.dispatch(now);
                return;
            }
            Dispatcher::Pools(pools) => pools,
        };
        let pool = choose_pool(pools, self.plan.policy, &spec, &mut self.rng);
        match pools[pool].admit(now, CallId(id), &spec) {
            Admission::Start(_) => {
                self.pool_of.insert(id, pool);
                self.handle_start(now, id);
            }
            Admission::Queued => {
                self.pool_of.insert(id, pool);
            }
            Admission::Refused(outcome) => {
                self.handle_refusal(now, id, &outcome)
            }
        }
    }

    /// Schedules a retry of a refused call, or drops the call if the retry
    /// would be too late.
    fn handle_refusal(&mut self, now: Millis, id: u64, outcome: &Outcome) {
        let Outcome::NotRun { retry_after, .. } = outcome else { return };
        let state = &self.calls[&id];
        let stream = &self.plan.streams[state.stream];
        let retry_at = now + (*retry_after).max(1);
        let first_attempt = state.attempts == 0;
        let past_deadline = retry_at >= state.arrived + stream.deadline;
        if first_attempt {
            self.stats(id).refused_at_first += 1;
        }
        if past_deadline {
            self.stats(id).refused += 1;
            self.calls.remove(&id);
            return;
        }
        if let Some(state) = self.calls.get_mut(&id) {
            state.attempts += 1;
        }
        self.schedule(retry_at, SimEvent::Retry(id));
    }

    fn handle_start(&mut self, now: Millis, id: u64) {
        let (arrived, run_ms) = {
            let state = &self.calls[&id];
            (state.arrived, state.run_ms)
        };
        // Recording can't fail, as the histogram resizes itself.
        let _ = self.stats(id).wait.record(now - arrived);
        self.schedule(now + run_ms, SimEvent::CallEnd(id));
    }

    fn finish_call(&mut self, now: Millis, id: u64) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let state = &self.calls[&id];
        let stream = &self.plan.streams[state.stream];
        let (took, run_ms) = (now - state.arrived, state.run_ms);
        let in_time = took <= stream.deadline;
        let stats = self.stats(id);
        let _ = stats.response.record(took);
        if in_time {
            stats.in_time += 1;
            stats.work += run_ms;
        }
        self.calls.remove(&id);
        match &mut self.dispatcher {
            Dispatcher::Queue { busy, .. } => *busy -= 1,
            Dispatcher::Pools(pools) => {
                if let Some(pool) = self.pool_of.remove(&id) {
                    pools[pool].finish(now, CallId(id));
                }
            }
        }
        self.dispatch(now);
    }

    /// Starts waiting calls while slots are free, and drops the calls that the
    /// pools report as expired.
    fn dispatch(&mut self, now: Millis) {
        let mut started = Vec::new();
        let mut expired = Vec::new();
        match &mut self.dispatcher {
            Dispatcher::Queue { slots, busy, queue } => {
                while *busy < *slots {
                    let Some(id) = queue.pop_front() else { break };
                    *busy += 1;
                    started.push(id);
                }
            }
            Dispatcher::Pools(pools) => {
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
            self.handle_start(now, id);
        }
        for id in expired {
            self.stats(id).refused += 1;
            self.pool_of.remove(&id);
            self.calls.remove(&id);
        }
    }

    /// Makes a fifth of the executors unavailable. Calls that run there keep
    /// their scheduled end.
    fn lose_executors(&mut self) {
        let executors = self.plan.executors;
        match &mut self.dispatcher {
            Dispatcher::Queue { slots, .. } => *slots -= *slots / 5,
            Dispatcher::Pools(pools) => {
                for number in 0..executors / 5 {
                    for pool in pools.iter_mut() {
                        pool.set_state(
                            &target(number),
                            ExecutorState::Unavailable,
                        );
                    }
                }
            }
        }
    }
}

/// The interval at which waiting calls are started or expire.
const DISPATCH_INTERVAL: Millis = 50;

fn target(number: u32) -> TargetId {
    TargetId(format!("executor-{number:03}"))
}

/// Creates pools and distributes the executors over them in rotation.
fn whole_executor_pools(pools: usize, executors: u32) -> Vec<Pool> {
    let config = PoolConfig { queue: 100_000, ..PoolConfig::default() };
    let mut all = vec![Pool::new(config); pools];
    for number in 0..executors {
        let pool = &mut all[number as usize % pools];
        pool.report(&target(number), ExecutorState::Ready, SLOTS, 0);
    }
    all
}

/// Creates one pool for each entry VM, and distributes the slots of all
/// executors over the pools in rotation.
fn fixed_share_pools(vms: usize, executors: u32) -> Vec<Pool> {
    let config = PoolConfig { queue: 100_000, ..PoolConfig::default() };
    let mut all = vec![Pool::new(config); vms];
    for number in 0..executors {
        for slot in 0..SLOTS {
            let vm = (number * SLOTS + slot) as usize % vms;
            let pool = &mut all[vm];
            let had = pool.usage().find(|(id, ..)| **id == target(number));
            let slots = had.map_or(0, |(_, slots, ..)| slots);
            pool.report(&target(number), ExecutorState::Ready, slots + 1, 0);
        }
    }
    all
}

/// Chooses the pool that a call is offered to.
///
/// With fixed shares this is the pool of a random VM, to which the call came.
/// Otherwise it is the pool of least cost, as an entry VM chooses.
fn choose_pool(
    pools: &[Pool],
    policy: Policy,
    spec: &CallSpec,
    rng: &mut StdRng,
) -> usize {
    let any = rng.random_range(0..pools.len());
    if matches!(policy, Policy::FixedShares { .. }) {
        return any;
    }
    let cost = |pool: &usize| pools[*pool].load().cost(spec.kind);
    (0..pools.len()).min_by_key(cost).unwrap_or(any)
}
