/*!
The decisions of a cell's leader at the size of a fleet, in virtual time.

Executors, store and advice are fakes that answer after fixed times. What the
leader takes in within one millisecond is one turn, as in a node. Each turn is
timed, and the clock goes on by what it took: a leader that can't keep up is
late, and shows it by answers that it no longer counts. So what grows faster
than the fleet is found without processes.
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

use self::load::{Load, WIDE_ONE_IN};

/// The way to an executor and back, in milliseconds.
const WAY: Millis = 2;
/// The time of a write, in milliseconds.
const WRITE: Millis = 6;
/// An answer that takes longer is not counted, in milliseconds.
const ORDER_TIMEOUT: Millis = 300;
/// How often the leader is told that time has passed, in milliseconds.
const TICK: Millis = 50;
/// So many executors bring one job a second.
const EXECUTORS_A_JOB: u64 = 75;
/// So many executors have one node.
const EXECUTORS_A_NODE: usize = 10;
/// How long the cell runs before its leader is replaced, in milliseconds.
const CALM: Millis = 6_000;
/// How long a successor is looked at, in milliseconds.
const AFTER: Millis = 8_000;
/// A crowded cell gets so many times the jobs of a calm one.
const CROWD_TIMES: u64 = 10;
/// The longest turn that is told from longer ones, in nanoseconds.
const LONGEST_TURN: u64 = 60_000_000_000;
/// The executors of a cell with a backlog.
const BACKLOG_EXECUTORS: usize = 1_000;
/// The jobs that it gets a second.
const BACKLOG_PER_S: u64 = 100;
/// The wide jobs that a cell with a backlog begins with.
const BACKLOG_JOBS: [usize; 2] = [150, 300];
/// What was decided is told in a number below this.
const DIGEST: u64 = 1_000_000;
/// How long a backlog builds up before it is measured, in milliseconds.
const BACKLOG_AFTER: Millis = 6_000;
/// The share of executors that may run a step.
const GOOD: f64 = 0.4;

#[derive(Default)]
struct There {
    running: BTreeMap<TaskKey, u64>,
    ended: Vec<EndReport>,
    numbers: u64,
    /// The hold that waits there, and since when.
    waiting: Option<(Millis, u64)>,
}

enum Next {
    Tell(Event),
    /// A hold is over, if it still waits.
    HoldOver(usize, ExecutorIndex, u64),
    /// A run is done.
    Done(usize, TaskKey, u64),
}

/// A cell without processes.
struct Cell {
    load: Load,
    now: Millis,
    /// Whether the clock goes on by what turns take. Else what is decided
    /// depends on the seed alone, and busy tells what it costs.
    counts_turns: bool,
    /// What turns took and is not yet a whole millisecond, in nanoseconds.
    behind: u64,
    scheduler: Scheduler,
    policy: Arc<Policy>,
    token: u64,
    executors: Vec<There>,
    infos: Vec<ExecutorInfo>,
    by_id: BTreeMap<String, usize>,
    store: BTreeMap<String, Vec<u8>>,
    queue: BTreeMap<(Millis, u64), Next>,
    order: u64,
    /// How long tasks of each step take.
    works: BTreeMap<JobId, Vec<Millis>>,
    random: StdRng,
    turns: Histogram<u64>,
    busy: u64,
    events: u64,
    late: u64,
    /// How much later than their arrival accounts are taken in.
    heard_after: Histogram<u64>,
    starts: u64,
    /// Tells whether two runs have started the same in the same order.
    decided: DefaultHasher,
    heard: BTreeSet<ExecutorIndex>,
    largest_value: usize,
    next_job: u64,
    refused: u64,
}

fn config(token: u64) -> SchedulerConfig {
    SchedulerConfig {
        token,
        lease: 10_000,
        ended_retention: 120_000,
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
        counts_turns: bool,
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
        let by_id = by_id.map(|(at, info)| (info.id.clone(), at));
        let histogram = || {
            Histogram::new_with_max(LONGEST_TURN, 3)
                .unwrap_or_else(|_| unreachable!("the bounds are constant"))
        };
        let mut cell = Cell {
            load,
            now: 1_000,
            counts_turns,
            behind: 0,
            scheduler: Scheduler::new(config(1), policy.clone()),
            policy,
            token: 1,
            executors: infos.iter().map(|_| There::default()).collect(),
            by_id: by_id.collect(),
            infos,
            store: BTreeMap::new(),
            queue: BTreeMap::new(),
            order: 0,
            works: BTreeMap::new(),
            random: StdRng::seed_from_u64(seed),
            turns: histogram(),
            busy: 0,
            events: 0,
            late: 0,
            heard_after: histogram(),
            starts: 0,
            decided: DefaultHasher::new(),
            heard: BTreeSet::new(),
            largest_value: 0,
            next_job: 0,
            refused: 0,
        };
        cell.tell_all();
        cell
    }

    /// Tells the leader of all executors, and of the nodes.
    fn tell_all(&mut self) {
        let nodes = self.infos.len() / EXECUTORS_A_NODE;
        let nodes = (0..nodes).map(|number| format!("n{number}"));
        let mut events = vec![Event::Advisors(nodes.collect())];
        events.extend(self.infos.iter().cloned().map(Event::Listed));
        events.push(Event::EntriesRead);
        self.turn(events);
    }

    fn later(&mut self, after: Millis, next: Next) {
        self.order += 1;
        self.queue.insert((self.now + after, self.order), next);
    }

    /// What the leader does with these events, timed.
    fn turn(&mut self, events: Vec<Event>) {
        let began = Instant::now();
        let mut actions = Vec::new();
        self.events += events.len() as u64;
        for event in events {
            actions.extend(self.scheduler.handle(event, self.now));
        }
        let advances = Instant::now();
        actions.extend(self.scheduler.advance(self.now));
        let advance = advances.elapsed();
        let took = began.elapsed().as_nanos() as u64;
        self.turns.saturating_record(took);
        self.busy += took;
        if self.counts_turns {
            self.behind += took;
        }
        let whole = self.behind / 1_000_000;
        self.behind %= 1_000_000;
        self.now += whole;
        if self.counts_turns {
            self.scheduler.record_advance_time(advance, self.now);
        }
        let slowest = self.slowest(&actions);
        for action in actions {
            self.perform(action, &slowest);
        }
    }

    /// How long each run takes by the slowest of its executors: the members
    /// of a gang end together.
    fn slowest(&self, actions: &[Action]) -> BTreeMap<u64, f64> {
        let mut slowest = BTreeMap::new();
        for action in actions {
            let Action::Start { executor, run, .. } = action else { continue };
            let Some(at) = self.at(*executor) else { continue };
            let slow = slowest.entry(*run).or_insert(0.0_f64);
            *slow = slow.max(self.load.slowness(at));
        }
        slowest
    }

    fn at(&self, executor: ExecutorIndex) -> Option<usize> {
        let known = self.scheduler.executor(executor)?;
        self.by_id.get(&known.info.id).copied()
    }

    fn perform(&mut self, action: Action, slowest: &BTreeMap<u64, f64>) {
        match action {
            Action::RenewLease {
                executor, sent_at, last_seen, wait, ..
            } => {
                let Some(at) = self.at(executor) else { return };
                let there = &mut self.executors[at];
                there.ended.retain(|end| end.number > last_seen);
                let quick = !there.ended.is_empty() || wait == 0;
                if wait > 0 {
                    there.waiting = Some((sent_at, u64::from(executor)));
                }
                if quick {
                    self.answer_hold(at, executor, sent_at);
                } else {
                    let over = Next::HoldOver(at, executor, sent_at);
                    self.later(wait, over);
                }
            }
            Action::Start { executor, task, run, .. } => {
                let Some(at) = self.at(executor) else { return };
                self.starts += 1;
                (executor, task, self.now).hash(&mut self.decided);
                self.executors[at].running.insert(task, run);
                let works = &self.works[&task.step.job];
                let work = works[task.step.step as usize] as f64;
                let work = (work * slowest[&run]) as Millis;
                self.later(work, Next::Done(at, task, run));
                let answer = Ok(None);
                let event =
                    Event::StartAnswered { executor, task, run, answer };
                self.later(WAY, Next::Tell(event));
            }
            Action::Stop { executor, task, run } => {
                let Some(at) = self.at(executor) else { return };
                self.end(at, task, run, EndKind::Stopped);
                let event = Event::StopAnswered {
                    executor,
                    task,
                    run,
                    answer: Ok(()),
                };
                self.later(WAY, Next::Tell(event));
            }
            Action::Advise { call, executors, .. } => {
                let cost = 20 + executors.len() as Millis;
                let random = &mut self.random;
                let good = executors.into_iter();
                let good = good.filter(|_| random.random_bool(GOOD));
                let rows = good.map(|executor| AdvisedExecutor {
                    executor,
                    ticket: "t".into(),
                });
                let answer = Ok(rows.collect());
                let event = Event::Advised { call, answer };
                self.later(cost, Next::Tell(event));
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
                self.later(WRITE, Next::Tell(Event::Committed));
            }
            Action::Reply { outcome: Outcome::Refused(_), .. } => {
                self.refused += 1;
            }
            Action::ExecutorHeard { id, .. } => {
                if let Some(at) = self.by_id.get(&id) {
                    self.heard.insert(*at as ExecutorIndex);
                }
            }
            _ => {}
        }
    }

    fn answer_hold(
        &mut self,
        at: usize,
        executor: ExecutorIndex,
        sent_at: Millis,
    ) {
        let there = &mut self.executors[at];
        there.waiting = None;
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
            running: there.running.iter().map(row).collect(),
            ended: there.ended.clone(),
            more_ended: false,
        };
        let event =
            Event::RenewalAnswered { executor, sent_at, answer: Ok(answer) };
        self.later(WAY, Next::Tell(event));
    }

    fn end(&mut self, at: usize, task: TaskKey, run: u64, how: EndKind) {
        let there = &mut self.executors[at];
        if there.running.get(&task) != Some(&run) {
            return;
        }
        there.running.remove(&task);
        there.numbers += 1;
        there.ended.push(EndReport {
            number: there.numbers,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
        if let Some((sent_at, executor)) = there.waiting {
            self.answer_hold(at, executor as ExecutorIndex, sent_at);
        }
    }

    fn submit(&mut self) -> Event {
        self.submit_next(1)
    }

    /// Hands in the next job whose number is a multiple of this.
    fn submit_next(&mut self, of: u64) -> Event {
        self.next_job = (self.next_job / of + 1) * of;
        let (job, works) = self.load.job(self.next_job, &mut self.random);
        self.works.insert(job.id, works);
        let request = Request::Submit(job);
        let id = self.next_job;
        Event::Request { id, caller: CallCredentials::default(), request }
    }

    /// Lets time pass until then, with `per_second` jobs a second.
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
                self.happen(next, due, &mut events);
            }
            if self.now >= next_tick {
                next_tick = self.now + TICK;
                self.scheduler.confirm_leadership(self.now);
                events.push(Event::Tick);
            }
            if !events.is_empty() {
                self.turn(events);
            }
        }
    }

    fn happen(&mut self, next: Next, due: Millis, events: &mut Vec<Event>) {
        match next {
            Next::Tell(event) => events.push(self.in_time(event, due)),
            Next::Done(at, task, run) => {
                self.end(at, task, run, EndKind::Done);
            }
            Next::HoldOver(at, executor, sent_at) => {
                let waits = self.executors[at].waiting;
                if waits == Some((sent_at, u64::from(executor))) {
                    self.answer_hold(at, executor, sent_at);
                }
            }
        }
    }

    /// An answer as the leader's node takes it, which has given up one that
    /// comes too late.
    fn in_time(&mut self, event: Event, due: Millis) -> Event {
        if matches!(event, Event::RenewalAnswered { .. }) {
            self.heard_after.saturating_record(self.now - due);
        }
        if self.now < due + ORDER_TIMEOUT {
            return event;
        }
        match event {
            Event::RenewalAnswered { executor, sent_at, answer: Ok(_) } => {
                self.late += 1;
                let answer = Err(OrderFailure::Unknown);
                Event::RenewalAnswered { executor, sent_at, answer }
            }
            event => event,
        }
    }

    /// Another node leads, with what stands in the store.
    fn take_over(&mut self) {
        self.token += 1;
        let kept: Vec<StoredValue> = self
            .store
            .iter()
            .map(|(name, value)| StoredValue {
                name: name.clone(),
                value: value.clone(),
                revision: 0,
            })
            .collect();
        // Answers to the former leader reach nobody.
        self.queue.retain(|_, next| matches!(next, Next::Done(..)));
        for there in &mut self.executors {
            there.waiting = None;
        }
        let config = config(self.token);
        let policy = self.policy.clone();
        let began = Instant::now();
        let restored = Scheduler::restore(config, policy, &kept, self.now);
        let took = began.elapsed();
        self.now += took.as_millis() as Millis;
        self.scheduler = restored.unwrap_or_else(|problem| {
            unreachable!("what was written is read: {problem}")
        });
        self.heard.clear();
        self.tell_all();
    }

    /// Begins to count anew.
    fn reset(&mut self) {
        self.turns.reset();
        self.heard_after.reset();
        (self.busy, self.events, self.late, self.starts) = (0, 0, 0, 0);
    }

    fn figures(&self, over: Millis, settled: f64) -> [f64; 12] {
        let share = self.busy as f64 / (over as f64 * 1e6);
        [
            share * 100.0,
            self.events as f64 * 1_000.0 / over as f64,
            self.turns.value_at_quantile(0.5) as f64 / 1e3,
            self.turns.value_at_quantile(0.99) as f64 / 1e3,
            self.turns.max() as f64 / 1e6,
            self.late as f64,
            self.heard_after.value_at_quantile(0.99) as f64,
            self.scheduler.live_jobs() as f64,
            self.starts as f64 * 1_000.0 / over as f64,
            (self.decided.finish() % DIGEST) as f64,
            settled,
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

/// The leader's work in a calm cell, and that of its successor.
pub fn leader(seed: u64) -> Report {
    let mut report = report("leader");
    for executors in [1_500, 3_000, 6_000, 12_000] {
        let before = resident_kb();
        let mut cell = Cell::new(executors, Load::Even, true, seed);
        let per_second = executors as u64 / EXECUTORS_A_JOB;
        let mut row = |case: &str, cell: &Cell, over, settled| {
            let mut values = cell.figures(over, settled).to_vec();
            values.push(resident_kb() - before);
            report.row(format!("{executors} executors, {case}"), &values);
        };
        let begun = cell.now;
        cell.run(begun + 2_000, 1);
        row("start", &cell, cell.now - begun, 0.0);
        cell.reset();
        let begun = cell.now;
        cell.run(begun + CALM, per_second);
        row("calm", &cell, cell.now - begun, 0.0);
        cell.reset();
        let begun = cell.now;
        cell.take_over();
        let mut settled = f64::NAN;
        while cell.now < begun + AFTER {
            let now = cell.now;
            cell.run(now + TICK, per_second);
            if settled.is_nan() && cell.scheduler.takeover_complete() {
                settled = (cell.now - begun) as f64;
            }
        }
        row("successor", &cell, cell.now - begun, settled);
        cell.reset();
        let begun = cell.now;
        cell.run(begun + CALM, CROWD_TIMES * per_second);
        row("crowded", &cell, cell.now - begun, 0.0);
    }
    report
}

/// The leader's work while some hundreds of wide steps wait.
pub fn backlog(seed: u64) -> Report {
    let mut report = report("leader-backlog");
    for jobs in BACKLOG_JOBS {
        for counts_turns in [true, false] {
            let before = resident_kb();
            let (cell, over) = with_backlog(jobs, counts_turns, seed);
            let mut values = cell.figures(over, 0.0).to_vec();
            values.push(resident_kb() - before);
            let clock = if counts_turns { "" } else { ", timeless" };
            let executors = BACKLOG_EXECUTORS;
            let case = format!("{executors} executors, {jobs} wide{clock}");
            report.row(case, &values);
        }
    }
    report
}

/// A cell after a while with a backlog, and how long it was looked at.
fn with_backlog(jobs: usize, counts_turns: bool, seed: u64) -> (Cell, Millis) {
    let (executors, per_second) = (BACKLOG_EXECUTORS, BACKLOG_PER_S);
    let mut cell = Cell::new(executors, Load::Mixed, counts_turns, seed);
    cell.run(cell.now + 2_000, per_second);
    let wide = (0..jobs).map(|_| cell.submit_next(WIDE_ONE_IN));
    let first = wide.collect();
    cell.turn(first);
    cell.run(cell.now + BACKLOG_AFTER, per_second);
    cell.reset();
    let begun = cell.now;
    cell.run(begun + CALM, per_second);
    let over = cell.now - begun;
    (cell, over)
}
