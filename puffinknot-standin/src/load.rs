/*!
A load of calls of several classes, sent through any entry VM, whose outcomes
are checked against the records of the executors.

A caller behaves as docs/REFERENCE.md demands. After *not run* it retries once
the delay given in the reply is over; after *unknown* it retries with the same
key.
*/

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use hdrhistogram::Histogram;
use puffinknot::http::header;
use puffinknot::platform::not_sent;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde::Serialize;
use uuid::Uuid;

use crate::record::{overlapping, ExecutorRecord, WorkerRecord};

/// The calls of one class in a load.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The name of the class.
    pub class: String,
    /// The token of the caller.
    pub token: String,
    /// Whether its calls carry a key.
    pub keyed: bool,
    /// The duration of each run, in milliseconds.
    pub run_ms: u64,
    /// The time after which the caller gives up.
    pub give_up_after: Duration,
    /// Its share of all calls, relative to the weights of the other classes.
    pub weight: u32,
}

/// The settings of a load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Entry VMs, as IP:PORT.
    pub entries: Vec<String>,
    /// The classes.
    pub classes: Vec<ClassLoad>,
    /// The number of calls.
    pub calls: u32,
    /// The mean number of calls per second; arrivals form a Poisson process.
    pub rate: f64,
    /// The seed of arrivals and random choices.
    pub seed: u64,
}

/// The outcome of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Outcome {
    /// The call was answered.
    Answered,
    /// The caller gave up after a reply that the call was not run.
    Refused,
    /// The caller gave up without learning whether the call was run.
    Unknown,
}

/// The results of one class.
#[derive(Clone, Debug)]
pub struct ClassResult {
    /// The number of calls by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The time from the first attempt to the answer, less the duration of
    /// the run, in microseconds.
    pub wait_us: Histogram<u64>,
}

impl ClassResult {
    fn new() -> ClassResult {
        let wait_us = Histogram::new(3);
        ClassResult {
            outcomes: BTreeMap::new(),
            // `Histogram::new` accepts a precision of three digits.
            wait_us: wait_us.unwrap_or_else(|_| unreachable!()),
        }
    }
}

/// The results of a load, as its callers saw them.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// The results by class.
    pub classes: BTreeMap<String, ClassResult>,
    /// Each call by its key or name: whether it has a key, and its outcome.
    pub calls: HashMap<String, (bool, Outcome)>,
    /// The number of refused and unknown attempts, by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// The result of one attempt, with the delay before the next.
enum Attempt {
    Answered,
    NotRun(Duration),
    Unknown(Duration),
    /// The call was not sent, because the entry VM could not be reached.
    NotSent,
}

struct Shared {
    config: LoadConfig,
    client: Client,
    result: RefCell<LoadResult>,
}

/// Sends a load and waits until every call has ended. `progress` is called
/// with the number of calls sent so far.
pub async fn run(
    config: LoadConfig,
    mut progress: impl FnMut(u32),
) -> LoadResult {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let gaps = Exp::new(config.rate.max(0.001));
    let (calls, total_weight) = (config.calls, total_weight(&config));
    let client = Client::builder().timeout(Duration::from_secs(60)).finish();
    let result = RefCell::new(LoadResult::default());
    let shared = Rc::new(Shared { config, client, result });
    let start = Instant::now();
    let mut due = 0.0;
    let mut tasks = Vec::new();
    for n in 0..calls {
        due += gaps.as_ref().map_or(0.0, |gaps| gaps.sample(&mut rng));
        let at = Duration::from_secs_f64(due);
        let early = at.saturating_sub(start.elapsed());
        if early.is_zero() {
            // A timer takes a millisecond even for a delay of zero.
            actix_rt::task::yield_now().await;
        } else {
            actix_rt::time::sleep(early).await;
        }
        let pick = rng.random_range(0..total_weight.max(1));
        let class = pick_class(&shared.config, pick);
        let seed = rng.random();
        tasks.push(actix_rt::spawn(send_call(shared.clone(), class, seed)));
        progress(n + 1);
    }
    for task in tasks {
        let _ = task.await;
    }
    shared.result.take()
}

fn total_weight(config: &LoadConfig) -> u32 {
    config.classes.iter().map(|class| class.weight).sum()
}

fn pick_class(config: &LoadConfig, mut pick: u32) -> ClassLoad {
    for class in &config.classes {
        if pick < class.weight {
            return class.clone();
        }
        pick -= class.weight;
    }
    config.classes[0].clone()
}

/// Retries one call until it is answered or its caller gives up.
async fn send_call(shared: Rc<Shared>, class: ClassLoad, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let key = Uuid::now_v7().to_string();
    let start = Instant::now();
    let mut outcome = Outcome::Refused;
    loop {
        let entries = &shared.config.entries;
        let entry = &entries[rng.random_range(0..entries.len())];
        let wait = match attempt(&shared, &class, entry, &key).await {
            Attempt::Answered => {
                outcome = Outcome::Answered;
                break;
            }
            Attempt::NotRun(wait) => {
                // After an unknown attempt, a refusal is final only for a
                // call with a key. Without one, each attempt is a call
                // of its own, and the unknown one may have run.
                if outcome != Outcome::Unknown || class.keyed {
                    outcome = Outcome::Refused;
                }
                wait
            }
            Attempt::Unknown(wait) => {
                outcome = Outcome::Unknown;
                wait
            }
            Attempt::NotSent => Duration::from_millis(20),
        };
        if start.elapsed().saturating_add(wait) >= class.give_up_after {
            break;
        }
        actix_rt::time::sleep(wait).await;
    }
    record_outcome(&shared, &class, key, start, outcome);
}

fn record_outcome(
    shared: &Shared,
    class: &ClassLoad,
    key: String,
    start: Instant,
    outcome: Outcome,
) {
    let mut result = shared.result.borrow_mut();
    result.calls.insert(key, (class.keyed, outcome));
    let class_result = result
        .classes
        .entry(class.class.clone())
        .or_insert_with(ClassResult::new);
    *class_result.outcomes.entry(outcome).or_default() += 1;
    if outcome == Outcome::Answered {
        let run = Duration::from_millis(class.run_ms);
        let wait = start.elapsed().saturating_sub(run);
        let micros = wait.as_micros() as u64;
        // The histogram resizes automatically, so recording can't fail.
        let _ = class_result.wait_us.record(micros);
    }
}

async fn attempt(
    shared: &Shared,
    class: &ClassLoad,
    entry: &str,
    key: &str,
) -> Attempt {
    let body = serde_json::json!({ "name": key, "run_ms": class.run_ms });
    let mut request = shared
        .client
        .post(format!("http://{entry}/call/{}", class.class))
        .insert_header(("authorization", format!("Bearer {}", class.token)));
    if class.keyed {
        request = request.insert_header(("idempotency-key", key));
    }
    let mut response = match request.send_json(&body).await {
        Ok(response) => response,
        Err(err) if not_sent(&err) => return Attempt::NotSent,
        Err(_) => {
            count(shared, "entry-lost");
            return Attempt::Unknown(Duration::from_millis(100));
        }
    };
    let headers = response.headers().clone();
    let Ok(body) = response.body().await else {
        count(shared, "entry-lost");
        return Attempt::Unknown(Duration::from_millis(100));
    };
    let retry = header(&headers, "puffinknot-retry-after-ms");
    let retry = retry.and_then(|ms| ms.parse().ok());
    // Without a retry delay in the reply, a retry is of no use.
    let retry = retry.map_or(Duration::MAX, Duration::from_millis);
    match header(&headers, "puffinknot-outcome") {
        Some("answered") => {
            // The answer must belong to this request.
            let text = String::from_utf8_lossy(&body);
            if !text.contains(key) {
                count(shared, "wrong-answer");
                return Attempt::Unknown(retry);
            }
            Attempt::Answered
        }
        outcome => {
            let reason = header(&headers, "puffinknot-reason");
            count(shared, reason.unwrap_or("no-reason"));
            if outcome == Some("not-run") {
                Attempt::NotRun(retry)
            } else {
                Attempt::Unknown(retry)
            }
        }
    }
}

fn count(shared: &Shared, reason: &str) {
    let mut result = shared.result.borrow_mut();
    *result.reasons.entry(reason.to_string()).or_default() += 1;
}

/// The records of all executors and workers.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The record of each executor.
    pub executors: Vec<ExecutorRecord>,
    /// The record of each worker.
    pub workers: Vec<WorkerRecord>,
}

/// The comparison of a load with the records of its targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// All calls of the load.
    pub calls: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls whose callers gave up after a refusal.
    pub refused: u64,
    /// Calls whose callers gave up without learning whether they were run.
    pub unknown: u64,
    /// Calls with a key that ran more than once, and tasks that ran in two
    /// places at once.
    pub doubled: u64,
    /// Calls that were answered but did not run.
    pub lost: u64,
    /// Calls with a key that were reported as not run, but were run.
    pub falsely_refused: u64,
    /// Tasks that run now.
    pub tasks_running: u64,
    /// The number of times that a target received more than its capacity.
    pub overcommitted: u64,
}

impl Verdict {
    /// Compares the outcomes for the callers with the records of the targets.
    pub fn new(load: &LoadResult, records: &Records) -> Verdict {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for record in &records.executors {
            for (name, count) in &record.runs {
                *runs.entry(name).or_default() += count;
            }
        }
        let mut verdict = Verdict {
            calls: load.calls.len() as u64,
            doubled: overlapping(&records.workers) as u64,
            ..Verdict::default()
        };
        for (name, (keyed, outcome)) in &load.calls {
            let ran = runs.get(name.as_str()).copied().unwrap_or(0);
            verdict.add(*keyed, *outcome, ran);
        }
        let executors = records.executors.iter().map(|r| r.overcommitted);
        let workers = records.workers.iter().map(|r| r.overcommitted);
        verdict.overcommitted = executors.chain(workers).sum();
        let unfinished = records.workers.iter().flat_map(|r| &r.runs);
        let unfinished = unfinished.filter(|run| run.until.is_none());
        let tasks: HashSet<&str> =
            unfinished.map(|run| run.task.as_str()).collect();
        verdict.tasks_running = tasks.len() as u64;
        verdict
    }

    fn add(&mut self, keyed: bool, outcome: Outcome, ran: u32) {
        match outcome {
            Outcome::Answered => self.answered += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Unknown => self.unknown += 1,
        }
        self.doubled += u64::from(keyed && ran > 1);
        self.lost += u64::from(outcome == Outcome::Answered && ran == 0);
        let false_refusal = keyed && outcome == Outcome::Refused && ran > 0;
        self.falsely_refused += u64::from(false_refusal);
    }

    /// Whether nothing was doubled, lost, overcommitted or falsely refused.
    pub fn is_clean(&self) -> bool {
        self.doubled == 0
            && self.lost == 0
            && self.overcommitted == 0
            && self.falsely_refused == 0
    }
}
