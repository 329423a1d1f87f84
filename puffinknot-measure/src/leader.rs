/*!
Measures a cell's leader in virtual time, at the size of a fleet.

Executors, store and advisors are simulated and answer after fixed delays. All
events of one millisecond are handled in one iteration of the event loop, as in
a node. The virtual clock advances by the real time of each iteration, so that
a leader that can't keep up handles answers after their timeout and loses them.
This finds costs that grow faster than the fleet without starting processes.
*/

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Instant;

use hdrhistogram::Histogram;
use puffinknot_core::config::Resources;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::message::{ExecutorIndex, StoredValue};
use puffinknot_core::jobs::{
    Action, AdvisedExecutor, CallCredentials, Change, EndKind, EndReport,
    Event, ExecutorInfo, ExecutorReport, JobId, Mechanisms, OrderFailure,
    Outcome, Policy, Request, RunReport, Scheduler, SchedulerConfig, TaskKey,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::packing::resident_kb;
use crate::report::Report;

mod load;

use self::load::{Load, JOBS_PER_WIDE_JOB};

/// The network round trip to an executor, in milliseconds.
const ROUND_TRIP: Millis = 2;
/// How long a write to the store takes, in milliseconds.
const WRITE_TIME: Millis = 6;
/// The delay from which the node counts a renewal as unanswered, in
/// milliseconds.
const ORDER_TIMEOUT: Millis = 300;
/// The interval between timer events for the leader, in milliseconds.
const TICK_INTERVAL: Millis = 50;
/// The number of executors for each job submitted per second.
const EXECUTORS_PER_JOB_PER_S: u64 = 75;
/// The number of executors for each node.
const EXECUTORS_PER_NODE: usize = 10;
/// How long a cell is measured without a takeover, in milliseconds.
const MEASURED_TIME: Millis = 6_000;
/// How long a cell is measured from a takeover on, in milliseconds.
const SUCCESSOR_TIME: Millis = 8_000;
/// The job rate of an overloaded cell, as a multiple of the normal rate.
const OVERLOAD_FACTOR: u64 = 10;
/// The longest iteration that the histograms distinguish, in nanoseconds.
const MAX_ITERATION_NS: u64 = 60_000_000_000;
/// The number of executors of a cell with a backlog.
const BACKLOG_EXECUTORS: usize = 1_000;
/// The jobs submitted per second to a cell with a backlog.
const BACKLOG_JOBS_PER_S: u64 = 100;
/// The numbers of wide jobs submitted at once to form a backlog.
const BACKLOG_WIDE_JOBS: [usize; 2] = [150, 300];
/// The digest of started runs is reported modulo this number.
const DIGEST_LIMIT: u64 = 1_000_000;
/// How long a cell with a backlog runs before it is measured, in milliseconds.
const BACKLOG_WARMUP: Millis = 6_000;
/// The probability that an advisor finds an executor suitable for a step.
const SUITABLE_PROBABILITY: f64 = 0.4;

/// The state of a simulated executor.
#[derive(Default)]
struct SimulatedExecutor {
    running: BTreeMap<TaskKey, u64>,
    ended: Vec<EndReport>,
    end_count: u64,
    /// The lease renewal that awaits its answer: the time when it was sent,
    /// and the executor's index.
    pending_renewal: Option<(Millis, u64)>,
}

/// What happens at a scheduled time.
enum Scheduled {
    /// The leader receives an event.
    Deliver(Event),
    /// The waiting time of a lease renewal has passed. Has no effect if the
    /// renewal has been answered before.
    RenewalExpired(usize, ExecutorIndex, u64),
    /// A run has finished.
    Done(usize, TaskKey, u64),
}

/// A leader with the simulated rest of its cell.
struct Cell {
    load: Load,
    now: Millis,
    /// Whether the clock advances by the real time of iterations. If not, the
    /// decisions depend on the seed alone, and `busy_ns` still shows their
    /// cost.
    charges_time: bool,
    /// The iteration time not yet added to the clock, which advances in whole
    /// milliseconds; in nanoseconds.
    uncharged_ns: u64,
    scheduler: Scheduler,
    policy: Arc<Policy>,
    token: u64,
    executors: Vec<SimulatedExecutor>,
    infos: Vec<ExecutorInfo>,
    by_id: BTreeMap<String, usize>,
    store: BTreeMap<String, Vec<u8>>,
    queue: BTreeMap<(Millis, u64), Scheduled>,
    sequence: u64,
    /// The task run time of each step of a job.
    durations: BTreeMap<JobId, Vec<Millis>>,
    random: StdRng,
    iterations: Histogram<u64>,
    busy_ns: u64,
    events: u64,
    late_answers: u64,
    /// The time from the arrival of executor reports until they are handled,
    /// in milliseconds.
    report_delay: Histogram<u64>,
    starts: u64,
    /// A digest of the started tasks, their executors, times and order, which
    /// shows whether two simulations made the same decisions.
    start_digest: DefaultHasher,
    heard_executors: BTreeSet<ExecutorIndex>,
    largest_value: usize,
    next_job: u64,
    refused: u64,
}

fn config(token: u64) -> SchedulerConfig {
    SchedulerConfig {
        token,
        lease: 10_000,
        ended_retention: 120_000,
        large_text_bytes: 16 << 20,
        // What is refused or put off for want of memory is not measured.
        max_waiting_tasks: usize::MAX,
        max_runs: usize::MAX,
        inherited_order_lifetime: 16_700,
        max_advice_batch: 100,
        min_commit_interval: 25,
        mechanisms: Mechanisms::default(),
    }
}

impl Cell {
    fn new(
        executors: usize,
        load: Load,
        charges_time: bool,
        seed: u64,
    ) -> Cell {
        let policy = Arc::new(load.policy());
        let infos: Vec<ExecutorInfo> = (0..executors)
            .map(|number| ExecutorInfo {
                id: format!("i-{number:010x}"),
                service: "s".into(),
                address: format!(
                    "10.{}.{}.{}:8444",
                    number >> 16,
                    (number >> 8) & 255,
                    number & 255
                ),
                dc: format!("d{}", number % 6),
                capacity: Resources {
                    cpu_millis: 16_000,
                    memory_mb: 65_536,
                    accelerators: 0,
                },
                labels: vec!["a".into(), format!("r{}", number / 12)],
                ..ExecutorInfo::default()
            })
            .collect();
        let by_id = infos.iter().enumerate();
        let by_id = by_id.map(|(position, info)| (info.id.clone(), position));
        let histogram = || {
            Histogram::new_with_max(MAX_ITERATION_NS, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant"))
        };
        let mut cell = Cell {
            load,
            now: 1_000,
            charges_time,
            uncharged_ns: 0,
            scheduler: Scheduler::new(config(1), policy.clone()),
            policy,
            token: 1,
            executors: infos
                .iter()
                .map(|_| SimulatedExecutor::default())
                .collect(),
            by_id: by_id.collect(),
            infos,
            store: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            durations: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            iterations: histogram(),
            busy_ns: 0,
            events: 0,
            late_answers: 0,
            report_delay: histogram(),
            starts: 0,
            start_digest: DefaultHasher::new(),
            heard_executors: BTreeSet::new(),
            largest_value: 0,
            next_job: 0,
            refused: 0,
        };
        cell.announce_executors();
        cell
    }

    /// Announces all nodes and executors to the leader.
    fn announce_executors(&mut self) {
        let nodes = self.infos.len() / EXECUTORS_PER_NODE;
        let nodes = (0..nodes).map(|number| format!("n{number}"));
        let mut events = vec![Event::Advisors(nodes.collect())];
        events.extend(self.infos.iter().cloned().map(Event::Listed));
        events.push(Event::EntriesRead);
        self.run_iteration(events);
    }

    fn schedule(&mut self, after: Millis, next: Scheduled) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), next);
    }

    /// Lets the leader handle events in one timed iteration, and performs its
    /// actions.
    fn run_iteration(&mut self, events: Vec<Event>) {
        let start = Instant::now();
        let mut actions = Vec::new();
        self.events += events.len() as u64;
        for event in events {
            actions.extend(self.scheduler.handle(event, self.now));
        }
        let advance_start = Instant::now();
        actions.extend(self.scheduler.advance(self.now));
        let advance = advance_start.elapsed();
        let took = start.elapsed().as_nanos() as u64;
        self.iterations.saturating_record(took);
        self.busy_ns += took;
        if self.charges_time {
            self.uncharged_ns += took;
        }
        let charged_ms = self.uncharged_ns / 1_000_000;
        self.uncharged_ns %= 1_000_000;
        self.now += charged_ms;
        if self.charges_time {
            self.scheduler.record_advance_time(advance, self.now);
        }
        let slowest = self.slowest(&actions);
        for action in actions {
            self.perform(action, &slowest);
        }
    }

    /// Returns the slowness of the slowest executor of each run: the members
    /// of a gang end together.
    fn slowest(&self, actions: &[Action]) -> BTreeMap<u64, f64> {
        let mut slowest = BTreeMap::new();
        for action in actions {
            let Action::Start { executor, run, .. } = action else { continue };
            let Some(position) = self.position(*executor) else { continue };
            let slowness = slowest.entry(*run).or_insert(0.0_f64);
            *slowness = slowness.max(self.load.slowness(position));
        }
        slowest
    }

    fn position(&self, executor: ExecutorIndex) -> Option<usize> {
        let known = self.scheduler.executor(executor)?;
        self.by_id.get(&known.info.id).copied()
    }

    fn perform(&mut self, action: Action, slowest: &BTreeMap<u64, f64>) {
        match action {
            Action::RenewLease {
                executor, sent_at, last_seen, wait, ..
            } => {
                let Some(position) = self.position(executor) else { return };
                let simulated = &mut self.executors[position];
                simulated.ended.retain(|end| end.number > last_seen);
                let immediate = !simulated.ended.is_empty() || wait == 0;
                if wait > 0 {
                    simulated.pending_renewal =
                        Some((sent_at, u64::from(executor)));
                }
                if immediate {
                    self.answer_renewal(position, executor, sent_at);
                } else {
                    let expiry =
                        Scheduled::RenewalExpired(position, executor, sent_at);
                    self.schedule(wait, expiry);
                }
            }
            Action::Start { executor, task, run, .. } => {
                let Some(position) = self.position(executor) else { return };
                self.starts += 1;
                (executor, task, self.now).hash(&mut self.start_digest);
                self.executors[position].running.insert(task, run);
                let durations = &self.durations[&task.step.job];
                let duration = durations[task.step.step as usize] as f64;
                let duration = (duration * slowest[&run]) as Millis;
                self.schedule(duration, Scheduled::Done(position, task, run));
                let answer = Ok(None);
                let event =
                    Event::StartAnswered { executor, task, run, answer };
                self.schedule(ROUND_TRIP, Scheduled::Deliver(event));
            }
            Action::Stop { executor, task, run } => {
                let Some(position) = self.position(executor) else { return };
                self.end_run(position, task, run, EndKind::Stopped);
                let event = Event::StopAnswered {
                    executor,
                    task,
                    run,
                    answer: Ok(()),
                };
                self.schedule(ROUND_TRIP, Scheduled::Deliver(event));
            }
            Action::Advise { call, executors, .. } => {
                let cost = 20 + executors.len() as Millis;
                let random = &mut self.random;
                let suitable = executors.into_iter();
                let suitable = suitable
                    .filter(|_| random.random_bool(SUITABLE_PROBABILITY));
                let rows = suitable.map(|executor| AdvisedExecutor {
                    executor,
                    ticket: "t".into(),
                });
                let answer = Ok(rows.collect());
                let event = Event::Advised { call, answer };
                self.schedule(cost, Scheduled::Deliver(event));
            }
            Action::Commit(changes) => {
                for change in changes {
                    match change {
                        Change::Put { name, value } => {
                            let bytes = value.len();
                            self.largest_value = self.largest_value.max(bytes);
                            self.store.insert(name, value);
                        }
                        Change::Remove { name } => {
                            self.store.remove(&name);
                        }
                    }
                }
                self.schedule(
                    WRITE_TIME,
                    Scheduled::Deliver(Event::Committed),
                );
            }
            Action::Reply { outcome: Outcome::Refused(_), .. } => {
                self.refused += 1;
            }
            Action::ExecutorHeard { id, .. } => {
                if let Some(position) = self.by_id.get(&id) {
                    self.heard_executors.insert(*position as ExecutorIndex);
                }
            }
            _ => {}
        }
    }

    fn answer_renewal(
        &mut self,
        position: usize,
        executor: ExecutorIndex,
        sent_at: Millis,
    ) {
        let simulated = &mut self.executors[position];
        simulated.pending_renewal = None;
        let row = |(task, run): (&TaskKey, &u64)| RunReport {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: 100,
            usage: 0,
        };
        let answer = ExecutorReport {
            born: None,
            clock: self.now,
            running: simulated.running.iter().map(row).collect(),
            ended: simulated.ended.clone(),
            more_ended: false,
        };
        let event =
            Event::RenewalAnswered { executor, sent_at, answer: Ok(answer) };
        self.schedule(ROUND_TRIP, Scheduled::Deliver(event));
    }

    fn end_run(
        &mut self,
        position: usize,
        task: TaskKey,
        run: u64,
        how: EndKind,
    ) {
        let simulated = &mut self.executors[position];
        if simulated.running.get(&task) != Some(&run) {
            return;
        }
        simulated.running.remove(&task);
        simulated.end_count += 1;
        simulated.ended.push(EndReport {
            number: simulated.end_count,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
        if let Some((sent_at, executor)) = simulated.pending_renewal {
            self.answer_renewal(position, executor as ExecutorIndex, sent_at);
        }
    }

    fn submit(&mut self) -> Event {
        self.submit_next(1)
    }

    /// Submits the next job whose number is a multiple of `multiple_of`.
    fn submit_next(&mut self, multiple_of: u64) -> Event {
        self.next_job = (self.next_job / multiple_of + 1) * multiple_of;
        let (job, durations) = self.load.job(self.next_job, &mut self.random);
        self.durations.insert(job.id, durations);
        let request = Request::Submit(job);
        let id = self.next_job;
        Event::Request { id, caller: CallCredentials::default(), request }
    }

    /// Simulates until the time `until`, with `per_second` jobs submitted per
    /// second.
    fn run(&mut self, until: Millis, per_second: u64) {
        let mut next_job = self.now * 1_000;
        let mut next_tick = self.now;
        while self.now < until {
            self.now += 1;
            let mut events = Vec::new();
            while next_job <= self.now * 1_000 {
                next_job += 1_000_000 / per_second.max(1);
                events.push(self.submit());
            }
            while let Some(entry) = self.queue.first_entry() {
                let due = entry.key().0;
                if due > self.now {
                    break;
                }
                let next = entry.remove();
                self.process(next, due, &mut events);
            }
            if self.now >= next_tick {
                next_tick = self.now + TICK_INTERVAL;
                self.scheduler.confirm_leadership(self.now);
                events.push(Event::Tick);
            }
            if !events.is_empty() {
                self.run_iteration(events);
            }
        }
    }

    /// Handles what is scheduled for the time `due`, and appends an event for
    /// the leader if there is one.
    fn process(
        &mut self,
        next: Scheduled,
        due: Millis,
        events: &mut Vec<Event>,
    ) {
        match next {
            Scheduled::Deliver(event) => {
                events.push(self.apply_order_timeout(event, due))
            }
            Scheduled::Done(position, task, run) => {
                self.end_run(position, task, run, EndKind::Done);
            }
            Scheduled::RenewalExpired(position, executor, sent_at) => {
                let pending = self.executors[position].pending_renewal;
                if pending == Some((sent_at, u64::from(executor))) {
                    self.answer_renewal(position, executor, sent_at);
                }
            }
        }
    }

    /// Replaces a successful renewal answer that is handled after the order
    /// timeout by a failure, as the leader's node has given up waiting for it.
    fn apply_order_timeout(&mut self, event: Event, due: Millis) -> Event {
        if matches!(event, Event::RenewalAnswered { .. }) {
            self.report_delay.saturating_record(self.now - due);
        }
        if self.now < due + ORDER_TIMEOUT {
            return event;
        }
        match event {
            Event::RenewalAnswered { executor, sent_at, answer: Ok(_) } => {
                self.late_answers += 1;
                let answer = Err(OrderFailure::Unknown);
                Event::RenewalAnswered { executor, sent_at, answer }
            }
            event => event,
        }
    }

    /// Replaces the leader by one that restores its state from the store.
    fn take_over(&mut self) {
        self.token += 1;
        let stored: Vec<StoredValue> = self
            .store
            .iter()
            .map(|(name, value)| StoredValue {
                name: name.clone(),
                value: value.clone(),
                revision: 0,
            })
            .collect();
        // Answers to the previous leader are lost.
        self.queue.retain(|_, next| matches!(next, Scheduled::Done(..)));
        for simulated in &mut self.executors {
            simulated.pending_renewal = None;
        }
        let config = config(self.token);
        let policy = self.policy.clone();
        let start = Instant::now();
        let restored = Scheduler::restore(config, policy, &stored, self.now);
        let took = start.elapsed();
        self.now += took.as_millis() as Millis;
        self.scheduler = restored.unwrap_or_else(|problem| {
            unreachable!("the stored state is valid: {problem}")
        });
        self.heard_executors.clear();
        self.announce_executors();
    }

    /// Resets the measurements between phases of an experiment.
    fn reset(&mut self) {
        self.iterations.reset();
        self.report_delay.reset();
        (self.busy_ns, self.events, self.late_answers, self.starts) =
            (0, 0, 0, 0);
    }

    /// Returns the measurements over `span` milliseconds in the order of the
    /// report's columns, except for the memory.
    fn measurements(&self, span: Millis, takeover_ms: f64) -> [f64; 12] {
        let share = self.busy_ns as f64 / (span as f64 * 1e6);
        [
            share * 100.0,
            self.events as f64 * 1_000.0 / span as f64,
            self.iterations.value_at_quantile(0.5) as f64 / 1e3,
            self.iterations.value_at_quantile(0.99) as f64 / 1e3,
            self.iterations.max() as f64 / 1e6,
            self.late_answers as f64,
            self.report_delay.value_at_quantile(0.99) as f64,
            self.scheduler.live_jobs() as f64,
            self.starts as f64 * 1_000.0 / span as f64,
            (self.start_digest.finish() % DIGEST_LIMIT) as f64,
            takeover_ms,
            self.largest_value as f64 / 1_024.0,
        ]
    }
}

fn report(name: &'static str) -> Report {
    let columns = [
        "busy %",
        "events/s",
        "turn p50 us",
        "turn p99 us",
        "turn max ms",
        "late holds",
        "heard after ms",
        "live jobs",
        "starts/s",
        "decided",
        "settled ms",
        "value KB",
        "memory KB",
    ];
    Report::new(name, &columns)
}

/// Measures the leader at normal load, after a takeover and when overloaded.
pub fn leader(seed: u64) -> Report {
    let mut report = report("leader");
    for executors in [1_500, 3_000, 6_000, 12_000] {
        let before = resident_kb();
        let mut cell = Cell::new(executors, Load::Even, true, seed);
        let per_second = executors as u64 / EXECUTORS_PER_JOB_PER_S;
        let mut row = |case: &str, cell: &Cell, span, takeover_ms| {
            let mut values = cell.measurements(span, takeover_ms).to_vec();
            values.push(resident_kb() - before);
            report.row(format!("{executors} executors, {case}"), &values);
        };
        let start = cell.now;
        cell.run(start + 2_000, 1);
        row("start", &cell, cell.now - start, 0.0);
        cell.reset();
        let start = cell.now;
        cell.run(start + MEASURED_TIME, per_second);
        row("calm", &cell, cell.now - start, 0.0);
        cell.reset();
        let start = cell.now;
        cell.take_over();
        let mut takeover_ms = f64::NAN;
        while cell.now < start + SUCCESSOR_TIME {
            let now = cell.now;
            cell.run(now + TICK_INTERVAL, per_second);
            if takeover_ms.is_nan() && cell.scheduler.takeover_complete() {
                takeover_ms = (cell.now - start) as f64;
            }
        }
        row("successor", &cell, cell.now - start, takeover_ms);
        cell.reset();
        let start = cell.now;
        cell.run(start + MEASURED_TIME, OVERLOAD_FACTOR * per_second);
        row("crowded", &cell, cell.now - start, 0.0);
    }
    report
}

/// Measures the leader while hundreds of wide steps wait.
pub fn backlog(seed: u64) -> Report {
    let mut report = report("leader-backlog");
    for jobs in BACKLOG_WIDE_JOBS {
        for charges_time in [true, false] {
            let before = resident_kb();
            let (cell, span) = run_backlog(jobs, charges_time, seed);
            let mut values = cell.measurements(span, 0.0).to_vec();
            values.push(resident_kb() - before);
            let clock = if charges_time { "" } else { ", timeless" };
            let executors = BACKLOG_EXECUTORS;
            let case = format!("{executors} executors, {jobs} wide{clock}");
            report.row(case, &values);
        }
    }
    report
}

/// Simulates a cell with a backlog, and returns it with the time measured, in
/// milliseconds.
fn run_backlog(jobs: usize, charges_time: bool, seed: u64) -> (Cell, Millis) {
    let (executors, per_second) = (BACKLOG_EXECUTORS, BACKLOG_JOBS_PER_S);
    let mut cell = Cell::new(executors, Load::Mixed, charges_time, seed);
    cell.run(cell.now + 2_000, per_second);
    let wide = (0..jobs).map(|_| cell.submit_next(JOBS_PER_WIDE_JOB));
    let first = wide.collect();
    cell.run_iteration(first);
    cell.run(cell.now + BACKLOG_WARMUP, per_second);
    cell.reset();
    let start = cell.now;
    cell.run(start + MEASURED_TIME, per_second);
    let span = cell.now - start;
    (cell, span)
}
