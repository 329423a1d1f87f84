/*!
Callers: a load of calls of several classes, sent through any entry VM, and a
count of how each ended that is checked against the executors' records.

A caller does what docs/REFERENCE.md asks of it: told *not run*, it comes
back when it was told to; told *unknown*, it asks again with the same key.
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

/// One class of a load.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The class.
    pub class: String,
    /// The token of the caller.
    pub token: String,
    /// Whether its calls carry a key.
    pub keyed: bool,
    /// How long each call runs, in milliseconds.
    pub run_ms: u64,
    /// How long the caller keeps trying.
    pub patience: Duration,
    /// Its part of all calls.
    pub weight: u32,
}

/// A load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Entry VMs, as IP:PORT.
    pub entries: Vec<String>,
    /// The classes.
    pub classes: Vec<ClassLoad>,
    /// The number of calls.
    pub calls: u32,
    /// Calls in a second, on average.
    pub rate: f64,
    /// The seed of arrivals and choices.
    pub seed: u64,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum End {
    /// It was answered.
    Answered,
    /// The caller gave up after it was told that the call was not run.
    Refused,
    /// The caller gave up without knowing.
    Unknown,
}

/// How one class fared.
#[derive(Clone, Debug)]
pub struct ClassResult {
    /// How many calls ended in each way.
    pub ends: BTreeMap<End, u64>,
    /// The time from the first try to the answer, less the time the call
    /// runs, in microseconds.
    pub wait_us: Histogram<u64>,
}

impl ClassResult {
    fn new() -> ClassResult {
        let wait_us = Histogram::new(3);
        ClassResult {
            ends: BTreeMap::new(),
            // Three digits are a precision that the crate accepts.
            wait_us: wait_us.unwrap_or_else(|_| unreachable!()),
        }
    }
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// By class.
    pub classes: BTreeMap<String, ClassResult>,
    /// Each call by its key or name, with whether it has a key.
    pub calls: HashMap<String, (bool, End)>,
    /// Refusals and unknown ends on the way, by reason.
    pub reasons: BTreeMap<String, u64>,
}

/// One try, as its caller saw it.
enum Try {
    Answered,
    NotRun(Duration),
    Unknown(Duration),
    /// The entry VM could not be connected to.
    NoEntry,
}

struct Shared {
    config: LoadConfig,
    client: Client,
    result: RefCell<LoadResult>,
}

/// Sends a load and waits for the end of every call. `progress` is told how
/// many calls have been sent.
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
            // A timer would take a millisecond even for nothing.
            actix_rt::task::yield_now().await;
        } else {
            actix_rt::time::sleep(early).await;
        }
        let pick = rng.random_range(0..total_weight.max(1));
        let class = pick_class(&shared.config, pick);
        let seed = rng.random();
        tasks.push(actix_rt::spawn(one(shared.clone(), class, seed)));
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

/// One call, until it is answered or its caller gives up.
async fn one(shared: Rc<Shared>, class: ClassLoad, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let key = Uuid::now_v7().to_string();
    let start = Instant::now();
    let mut end = End::Refused;
    loop {
        let entries = &shared.config.entries;
        let entry = &entries[rng.random_range(0..entries.len())];
        let wait = match attempt(&shared, &class, entry, &key).await {
            Try::Answered => {
                end = End::Answered;
                break;
            }
            Try::NotRun(wait) => {
                // What was unknown stays so: only a call without a key can
                // have another fate the second time.
                if end != End::Unknown || class.keyed {
                    end = End::Refused;
                }
                wait
            }
            Try::Unknown(wait) => {
                end = End::Unknown;
                wait
            }
            Try::NoEntry => Duration::from_millis(20),
        };
        if start.elapsed().saturating_add(wait) >= class.patience {
            break;
        }
        actix_rt::time::sleep(wait).await;
    }
    note(&shared, &class, key, start, end);
}

fn note(
    shared: &Shared,
    class: &ClassLoad,
    key: String,
    start: Instant,
    end: End,
) {
    let mut result = shared.result.borrow_mut();
    result.calls.insert(key, (class.keyed, end));
    let class_result = result
        .classes
        .entry(class.class.clone())
        .or_insert_with(ClassResult::new);
    *class_result.ends.entry(end).or_default() += 1;
    if end == End::Answered {
        let run = Duration::from_millis(class.run_ms);
        let wait = start.elapsed().saturating_sub(run);
        let micros = wait.as_micros() as u64;
        // The histogram grows by itself, so that recording can't fail.
        let _ = class_result.wait_us.record(micros);
    }
}

async fn attempt(
    shared: &Shared,
    class: &ClassLoad,
    entry: &str,
    key: &str,
) -> Try {
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
        Err(err) if not_sent(&err) => return Try::NoEntry,
        Err(_) => {
            count(shared, "entry-lost");
            return Try::Unknown(Duration::from_millis(100));
        }
    };
    let headers = response.headers().clone();
    let Ok(body) = response.body().await else {
        count(shared, "entry-lost");
        return Try::Unknown(Duration::from_millis(100));
    };
    let retry = header(&headers, "puffinknot-retry-after-ms");
    let retry = retry.and_then(|ms| ms.parse().ok());
    // Without a time to come back, asking again is of no use.
    let retry = retry.map_or(Duration::MAX, Duration::from_millis);
    match header(&headers, "puffinknot-outcome") {
        Some("answered") => {
            // The answer has to be the one to this very request.
            let text = String::from_utf8_lossy(&body);
            if !text.contains(key) {
                count(shared, "wrong-answer");
                return Try::Unknown(retry);
            }
            Try::Answered
        }
        outcome => {
            let reason = header(&headers, "puffinknot-reason");
            count(shared, reason.unwrap_or("no-reason"));
            if outcome == Some("not-run") {
                Try::NotRun(retry)
            } else {
                Try::Unknown(retry)
            }
        }
    }
}

fn count(shared: &Shared, reason: &str) {
    let mut result = shared.result.borrow_mut();
    *result.reasons.entry(reason.to_string()).or_default() += 1;
}

/// What the executors and workers wrote down.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Of each executor.
    pub executors: Vec<ExecutorRecord>,
    /// Of each worker.
    pub workers: Vec<WorkerRecord>,
}

/// What the records say of a load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// Calls of the load.
    pub calls: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls whose callers gave up after a refusal.
    pub refused: u64,
    /// Calls whose callers gave up without knowing.
    pub unknown: u64,
    /// Calls with a key that ran more than once, and tasks that ran in two
    /// places at once.
    pub doubled: u64,
    /// Calls that were answered but did not run.
    pub lost: u64,
    /// Calls with a key that were said not to be run, but were.
    pub falsely_refused: u64,
    /// Tasks that run now.
    pub tasks_running: u64,
    /// How often a target was given more than it can hold.
    pub overcommitted: u64,
}

impl Verdict {
    /// Compares what callers saw with what targets wrote down.
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
        for (name, (keyed, end)) in &load.calls {
            let ran = runs.get(name.as_str()).copied().unwrap_or(0);
            verdict.add(*keyed, *end, ran);
        }
        let executors = records.executors.iter().map(|r| r.overcommitted);
        let workers = records.workers.iter().map(|r| r.overcommitted);
        verdict.overcommitted = executors.chain(workers).sum();
        let open = records.workers.iter().flat_map(|r| &r.runs);
        let open = open.filter(|run| run.until.is_none());
        let tasks: HashSet<&str> = open.map(|run| run.task.as_str()).collect();
        verdict.tasks_running = tasks.len() as u64;
        verdict
    }

    fn add(&mut self, keyed: bool, end: End, ran: u32) {
        match end {
            End::Answered => self.answered += 1,
            End::Refused => self.refused += 1,
            End::Unknown => self.unknown += 1,
        }
        self.doubled += u64::from(keyed && ran > 1);
        self.lost += u64::from(end == End::Answered && ran == 0);
        let false_refusal = keyed && end == End::Refused && ran > 0;
        self.falsely_refused += u64::from(false_refusal);
    }

    /// Whether nothing was doubled, lost or overcommitted.
    pub fn is_clean(&self) -> bool {
        self.doubled == 0
            && self.lost == 0
            && self.overcommitted == 0
            && self.falsely_refused == 0
    }
}
