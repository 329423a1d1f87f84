/*!
A stand-in of an executor: a server that answers calls.

It has a number of slots. Before it takes calls from a holder, the holder
presents its epoch by `POST /epoch`; the answer is an [`ExecutorInfo`] in
JSON. Calls come by `POST /call`. Both carry the epoch in a header, and one
that is lower than the highest seen is refused with status 412 and the
highest in the same header.
*/

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::{HttpMessage, Request, Response, StatusCode};
use puffinknot::http::{header, json, read_body, text, Reply};
use puffinknot_core::ids::Epoch;
use puffinknot_core::node::ExecutorInfo;
use serde::Deserialize;

use crate::record::ExecutorRecord;
use crate::server::Running;

const MAX_BODY: usize = 1 << 24;
const WITHIN: Duration = Duration::from_secs(5);

/// What an executor is told at its start.
#[derive(Clone, Debug)]
pub struct ExecutorConfig {
    /// The calls it can run at once.
    pub slots: u32,
    /// How long a call takes that does not say so itself, in milliseconds.
    pub run_ms: u64,
}

impl Default for ExecutorConfig {
    fn default() -> ExecutorConfig {
        ExecutorConfig { slots: 8, run_ms: 10 }
    }
}

/// What a call may ask of the stand-in, as JSON in its body.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Wish {
    /// A name to record the run under if the call has no key.
    name: String,
    /// How long to take, in milliseconds.
    run_ms: Option<u64>,
    /// Run, but cut the connection in the middle of the answer.
    cut: bool,
}

#[derive(Debug)]
struct State {
    config: ExecutorConfig,
    highest: Epoch,
    running: BTreeSet<String>,
    leaving: bool,
    /// Answers are held back until this is false.
    held: bool,
    record: ExecutorRecord,
}

/// A running executor.
#[derive(Clone, Debug)]
pub struct Executor {
    state: Arc<Mutex<State>>,
}

impl Executor {
    /// An executor that has seen nothing yet.
    pub fn new(config: ExecutorConfig) -> Executor {
        let state = State {
            config,
            highest: Epoch::default(),
            running: BTreeSet::new(),
            leaving: false,
            held: false,
            record: ExecutorRecord::default(),
        };
        Executor { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to serve at `addr`.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let executor = self.clone();
        Running::start(addr, move || {
            let executor = executor.clone();
            move |request| executor.clone().handle(request)
        })
    }

    /// Says that the executor takes no new work.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Holds answers back, or lets them go.
    pub fn set_replies_held(&self, held: bool) {
        self.lock().held = held;
    }

    /// The number of calls that run now.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// The highest epoch that was presented.
    pub fn highest(&self) -> Epoch {
        self.lock().highest.clone()
    }

    /// What the executor did.
    pub fn record(&self) -> ExecutorRecord {
        self.lock().record.clone()
    }

    async fn handle(self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let headers = request.headers().clone();
        let payload = request.take_payload();
        let body = match read_body(payload, MAX_BODY, WITHIN).await {
            Ok(body) => body,
            Err(_) => return text(StatusCode::BAD_REQUEST, "bad body"),
        };
        match path.as_str() {
            "/record" => return json(StatusCode::OK, &self.record()),
            "/standin/leave" => {
                self.leave();
                return text(StatusCode::OK, "leaving");
            }
            _ => {}
        }
        let epoch = header(&headers, "puffinknot-epoch");
        let Some(Ok(epoch)) = epoch.map(str::parse::<Epoch>) else {
            let remedy = "send the header puffinknot-epoch";
            return text(StatusCode::BAD_REQUEST, remedy);
        };
        let previous = match self.lock().present(epoch) {
            Ok(previous) => previous,
            Err(highest) => return stale(&highest),
        };
        match path.as_str() {
            "/epoch" => json(StatusCode::OK, &self.lock().info(previous)),
            "/call" => {
                let id = header(&headers, "puffinknot-request");
                let key = header(&headers, "idempotency-key");
                let id = id.unwrap_or_default().to_string();
                self.call(id, key.map(str::to_string), &body).await
            }
            _ => text(StatusCode::NOT_FOUND, "no such page"),
        }
    }

    async fn call(
        self,
        id: String,
        key: Option<String>,
        body: &[u8],
    ) -> Reply {
        let wish: Wish = serde_json::from_slice(body).unwrap_or_default();
        let run_ms = match self.lock().begin(&id, key, &wish) {
            Ok(run_ms) => run_ms,
            Err(reply) => return reply,
        };
        if run_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(run_ms)).await;
        }
        while self.lock().held {
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        self.lock().running.remove(&id);
        if wish.cut {
            return cut_answer();
        }
        let mut answer = br#"{"ran":true,"echo":"#.to_vec();
        answer.extend_from_slice(
            &serde_json::to_vec(&wish.name).unwrap_or_default(),
        );
        answer.push(b'}');
        Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(answer)
            .map_into_boxed_body()
    }
}

impl State {
    /// Takes note of an epoch. Returns the highest before it.
    fn present(&mut self, epoch: Epoch) -> Result<Epoch, Epoch> {
        if epoch < self.highest {
            self.record.stale += 1;
            return Err(self.highest.clone());
        }
        Ok(std::mem::replace(&mut self.highest, epoch))
    }

    fn info(&self, previous: Epoch) -> ExecutorInfo {
        ExecutorInfo {
            previous,
            slots: self.config.slots,
            running: self.running.iter().cloned().collect(),
            leaving: self.leaving,
        }
    }

    fn begin(
        &mut self,
        id: &str,
        key: Option<String>,
        wish: &Wish,
    ) -> Result<u64, Reply> {
        if self.running.len() as u32 >= self.config.slots {
            // A holder that keeps its promises never gets here.
            self.record.overcommitted += 1;
            self.record.full += 1;
            return Err(text(StatusCode::TOO_MANY_REQUESTS, "no slot"));
        }
        if self.leaving {
            self.record.after_leaving += 1;
        }
        self.running.insert(id.to_string());
        if let Some(key) = &key {
            *self.record.keyed_runs.entry(key.clone()).or_default() += 1;
        }
        let name = key.unwrap_or_else(|| wish.name.clone());
        *self.record.runs.entry(name).or_default() += 1;
        Ok(wish.run_ms.unwrap_or(self.config.run_ms))
    }
}

fn stale(highest: &Epoch) -> Reply {
    Response::build(StatusCode::PRECONDITION_FAILED)
        .insert_header(("puffinknot-epoch", highest.to_string()))
        .body("a higher epoch was presented\n")
        .map_into_boxed_body()
}

/// An answer that promises more bytes than it sends.
fn cut_answer() -> Reply {
    use actix_http::body::SizedStream;
    use futures_util::stream;
    let part = stream::iter([
        Ok::<_, std::io::Error>(bytes::Bytes::from_static(b"{\"ran\":")),
        Err(std::io::Error::other("cut")),
    ]);
    Response::build(StatusCode::OK)
        .body(SizedStream::new(100, Box::pin(part)))
        .map_into_boxed_body()
}
