/*!
A stand-in for a worker: a machine that runs tasks under a lease.

Its one call, `POST /sync`, exchanges the messages of
[`puffinknot_core::tasks::message`] in JSON. A request with a lower epoch
than the highest seen is refused with status 412 and the highest in the
header `puffinknot-epoch`. A request whose sequence number is not higher than
the last is refused with 409. When the lease ends by the clock of the worker,
all running tasks end.

[`WorkerState`] is the state machine without the server, which the model
checker drives directly.
*/

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use actix_http::{Request, Response, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use puffinknot_core::config::Resources;
use puffinknot_core::ids::{Epoch, Millis, TaskId};
use puffinknot_core::tasks::{
    StartTask, SyncReply, SyncRequest, TaskPhase, TaskReport, WorkerInfo,
};

use crate::record::{TaskRun, WorkerRecord};
use crate::server::Running;

/// The largest request body that is read, in bytes.
const MAX_BODY: usize = 1 << 22;
/// The time within which a request body must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which the worker checks whether its lease or a task has
/// ended.
const TICK: Duration = Duration::from_millis(10);

/// A task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Task {
    start: StartTask,
    since: Millis,
    phase: TaskPhase,
}

/// Why a sync was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The worker has seen this higher epoch.
    Stale(Epoch),
    /// The sequence number is not higher than the last one of this epoch.
    Old,
}

/// The state machine of a worker, without its server and clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WorkerState {
    info: WorkerInfo,
    /// The highest epoch seen.
    highest: Epoch,
    /// The last sequence number in that epoch.
    last_seq: u64,
    /// The end of the lease, by the clock of the worker.
    lease_until: Millis,
    /// Incremented by each change of the tasks.
    counter: u64,
    tasks: BTreeMap<TaskId, Task>,
    /// The number of starts that exceeded the capacity.
    pub overcommitted: u64,
}

impl WorkerState {
    /// Creates a worker without tasks.
    pub fn new(info: WorkerInfo) -> WorkerState {
        WorkerState {
            info,
            highest: Epoch::default(),
            last_seq: 0,
            lease_until: 0,
            counter: 1,
            tasks: BTreeMap::new(),
            overcommitted: 0,
        }
    }

    /// The ids of the running tasks.
    pub fn running(&self) -> impl Iterator<Item = &TaskId> {
        let running =
            |(_, task): &(&TaskId, &Task)| task.phase == TaskPhase::Running;
        self.tasks.iter().filter(running).map(|(id, _)| id)
    }

    /// Advances the clock to `now` and ends tasks that are done or whose
    /// lease has ended.
    pub fn tick(&mut self, now: Millis) {
        for task in self.tasks.values_mut() {
            let run_ms = task.start.run_ms;
            let over = run_ms > 0 && task.since + run_ms <= now;
            if task.phase == TaskPhase::Running && over {
                task.phase = TaskPhase::Done;
                self.counter += 1;
            }
        }
        if self.lease_until <= now {
            let before = self.tasks.len();
            self.tasks.retain(|_, t| t.phase != TaskPhase::Running);
            self.counter += u64::from(before != self.tasks.len());
        }
    }

    /// Applies a request that arrived at `now` by the clock of the worker.
    ///
    /// # Errors
    ///
    /// If a higher epoch has been seen, or the sequence number is not higher
    /// than the last one of this epoch.
    pub fn sync(
        &mut self,
        now: Millis,
        request: &SyncRequest,
    ) -> Result<SyncReply, Refusal> {
        self.tick(now);
        if request.epoch < self.highest {
            return Err(Refusal::Stale(self.highest.clone()));
        }
        if request.epoch > self.highest {
            self.highest = request.epoch.clone();
            self.last_seq = 0;
        }
        if request.seq <= self.last_seq {
            return Err(Refusal::Old);
        }
        self.last_seq = request.seq;
        self.apply(now, request);
        let seen = request.counter == self.counter;
        Ok(SyncReply {
            seq: request.seq,
            clock: now,
            counter: self.counter,
            info: self.info.clone(),
            tasks: (!seen).then(|| self.list(now)),
        })
    }

    fn apply(&mut self, now: Millis, request: &SyncRequest) {
        for id in &request.ack {
            let ended = self
                .tasks
                .get(id)
                .is_some_and(|t| t.phase != TaskPhase::Running);
            if ended {
                self.tasks.remove(id);
                self.counter += 1;
            }
        }
        for stop in &request.stop {
            if self.tasks.remove(&stop.id).is_some() {
                self.counter += 1;
            }
        }
        if request.until <= now {
            return;
        }
        self.lease_until = self.lease_until.max(request.until);
        for start in &request.start {
            self.start(now, start);
        }
    }

    fn start(&mut self, now: Millis, start: &StartTask) {
        if self.tasks.contains_key(&start.id) {
            return;
        }
        let task = Task {
            start: start.clone(),
            since: now,
            phase: TaskPhase::Running,
        };
        self.tasks.insert(start.id.clone(), task);
        self.counter += 1;
        let used = self
            .tasks
            .values()
            .filter(|task| task.phase == TaskPhase::Running)
            .fold(Resources::default(), |sum, t| sum.plus(&t.start.need));
        if !self.info.capacity.fits(&used) {
            self.overcommitted += 1;
        }
    }

    fn list(&self, now: Millis) -> Vec<TaskReport> {
        let report = |(id, task): (&TaskId, &Task)| TaskReport {
            id: id.clone(),
            spec: task.start.spec,
            need: task.start.need,
            priority: task.start.priority,
            phase: task.phase,
            age_ms: now.saturating_sub(task.since),
        };
        self.tasks.iter().map(report).collect()
    }
}

struct Shared {
    started: Instant,
    state: WorkerState,
    record: WorkerRecord,
    /// Whether every sync is refused with status 503.
    isolated: bool,
}

impl Shared {
    fn now(&self) -> Millis {
        // The clock starts at one, since zero means "no lease".
        1 + self.started.elapsed().as_millis() as Millis
    }

    /// Records which tasks have started and ended. The record of a task that
    /// is gone without being done gets `how` as its end.
    fn update_record(&mut self, how: &str) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = wall.map_or(0, |d| d.as_millis() as u64);
        let running: Vec<String> =
            self.state.running().map(|id| id.to_string()).collect();
        let state = &self.state;
        for run in &mut self.record.runs {
            if run.until.is_some() || running.contains(&run.task) {
                continue;
            }
            let id = TaskId(run.task.clone());
            let done = state.tasks.contains_key(&id);
            run.until = Some(wall);
            run.how = if done { "done" } else { how }.to_string();
        }
        for task in running {
            let unfinished = |r: &TaskRun| r.task == task && r.until.is_none();
            if self.record.runs.iter().any(unfinished) {
                continue;
            }
            let how = String::new();
            let run = TaskRun { task, from: wall, until: None, how };
            self.record.runs.push(run);
        }
        self.record.overcommitted = self.state.overcommitted;
    }

    fn tick(&mut self) {
        let now = self.now();
        self.state.tick(now);
        self.update_record("lapsed");
    }
}

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Mutex<Shared>>,
}

impl Worker {
    /// Creates a worker without tasks.
    pub fn new(id: &str, info: WorkerInfo) -> Worker {
        let record = WorkerRecord { id: id.into(), ..WorkerRecord::default() };
        let shared = Shared {
            started: Instant::now(),
            state: WorkerState::new(info),
            record,
            isolated: false,
        };
        Worker { shared: Arc::new(Mutex::new(shared)) }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to serve at `addr`.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let worker = self.clone();
        let ticking = self.clone();
        std::thread::spawn(move || {
            while Arc::strong_count(&ticking.shared) > 1 {
                ticking.lock().tick();
                std::thread::sleep(TICK);
            }
        });
        Running::start(addr, move || {
            let worker = worker.clone();
            move |request| worker.clone().handle(request)
        })
    }

    /// The record of the worker.
    pub fn record(&self) -> WorkerRecord {
        self.lock().record.clone()
    }

    /// Isolates the worker, or ends the isolation.
    pub fn set_isolated(&self, isolated: bool) {
        self.lock().isolated = isolated;
    }

    /// Makes the worker report that it takes no new work.
    pub fn leave(&self) {
        let mut shared = self.lock();
        shared.state.info.leaving = true;
    }

    /// The ids of the running tasks.
    pub fn running(&self) -> Vec<String> {
        self.lock().state.running().map(|id| id.to_string()).collect()
    }

    async fn handle(self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let payload = request.take_payload();
        let body = match read_body(payload, MAX_BODY, READ_TIMEOUT).await {
            Ok(body) => body,
            Err(_) => return text(StatusCode::BAD_REQUEST, "bad body"),
        };
        match path.as_str() {
            "/record" => return json(StatusCode::OK, &self.record()),
            "/sync" => {}
            _ => return text(StatusCode::NOT_FOUND, "no such page"),
        }
        if self.lock().isolated {
            return text(StatusCode::SERVICE_UNAVAILABLE, "cut off");
        }
        let Ok(request) = serde_json::from_slice::<SyncRequest>(&body) else {
            return text(StatusCode::BAD_REQUEST, "not a sync request");
        };
        let mut shared = self.lock();
        let now = shared.now();
        let result = shared.state.sync(now, &request);
        shared.update_record("stopped");
        match result {
            Ok(reply) => json(StatusCode::OK, &reply),
            Err(Refusal::Old) => text(StatusCode::CONFLICT, "not the newest"),
            Err(Refusal::Stale(highest)) => {
                shared.record.stale += 1;
                Response::build(StatusCode::PRECONDITION_FAILED)
                    .insert_header(("puffinknot-epoch", highest.to_string()))
                    .body("a higher epoch was presented\n")
                    .map_into_boxed_body()
            }
        }
    }
}
