/*!
A stand-in for an executor: a server that answers calls.

It has a fixed number of slots. Before a holder sends calls, it presents its
epoch by `POST /epoch`; the answer is an [`ExecutorInfo`] in JSON. Calls arrive
by `POST /call`. Both carry the epoch in a header. An epoch lower than the
highest seen is refused with status 412 and the highest in the same header.
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

/// The largest request body that is read, in bytes.
const MAX_BODY: usize = 1 << 24;
/// The time within which a request body must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The settings of an executor.
#[derive(Clone, Debug)]
pub struct ExecutorConfig {
    /// The number of calls it can run at once.
    pub slots: u32,
    /// The duration of a call that does not set its own, in milliseconds.
    pub run_ms: u64,
}

impl Default for ExecutorConfig {
    fn default() -> ExecutorConfig {
        ExecutorConfig { slots: 8, run_ms: 10 }
    }
}

/// What a call requests of the stand-in, as JSON in its body.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CallOptions {
    /// The name under which the run is recorded if the call has no key.
    name: String,
    /// The duration of the run, in milliseconds.
    run_ms: Option<u64>,
    /// Whether to run but abort the connection in the middle of the answer.
    cut: bool,
}

#[derive(Debug)]
struct State {
    config: ExecutorConfig,
    /// The highest epoch presented.
    highest: Epoch,
    /// The request ids of the calls that run.
    running: BTreeSet<String>,
    leaving: bool,
    /// Whether replies are held back.
    replies_held: bool,
    record: ExecutorRecord,
}

/// A running executor.
#[derive(Clone, Debug)]
pub struct Executor {
    state: Arc<Mutex<State>>,
}

impl Executor {
    /// Creates an executor that has seen no epoch and no call.
    pub fn new(config: ExecutorConfig) -> Executor {
        let state = State {
            config,
            highest: Epoch::default(),
            running: BTreeSet::new(),
            leaving: false,
            replies_held: false,
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

    /// Makes the executor report that it takes no new work.
    pub fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Holds replies back, or releases them.
    pub fn set_replies_held(&self, held: bool) {
        self.lock().replies_held = held;
    }

    /// The number of calls that run now.
    pub fn running(&self) -> usize {
        self.lock().running.len()
    }

    /// The highest epoch presented.
    pub fn highest(&self) -> Epoch {
        self.lock().highest.clone()
    }

    /// The record of the executor.
    pub fn record(&self) -> ExecutorRecord {
        self.lock().record.clone()
    }

    async fn handle(self, mut request: Request) -> Reply {
        let path = request.path().to_string();
        let headers = request.headers().clone();
        let payload = request.take_payload();
        let body = match read_body(payload, MAX_BODY, READ_TIMEOUT).await {
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
            let message = "send the header puffinknot-epoch";
            return text(StatusCode::BAD_REQUEST, message);
        };
        let previous = match self.lock().present(epoch) {
            Ok(previous) => previous,
            Err(highest) => return stale_epoch_reply(&highest),
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
        let options: CallOptions =
            serde_json::from_slice(body).unwrap_or_default();
        let run_ms = match self.lock().admit(&id, key, &options) {
            Ok(run_ms) => run_ms,
            Err(reply) => return reply,
        };
        if run_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(run_ms)).await;
        }
        while self.lock().replies_held {
            actix_rt::time::sleep(Duration::from_millis(2)).await;
        }
        self.lock().running.remove(&id);
        if options.cut {
            return truncated_reply();
        }
        let mut body = br#"{"ran":true,"echo":"#.to_vec();
        body.extend_from_slice(
            &serde_json::to_vec(&options.name).unwrap_or_default(),
        );
        body.push(b'}');
        Response::build(StatusCode::OK)
            .insert_header(("content-type", "application/json"))
            .body(body)
            .map_into_boxed_body()
    }
}

impl State {
    /// Accepts an epoch and returns the highest before it.
    ///
    /// # Errors
    ///
    /// The highest epoch, if the presented one is lower.
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

    fn admit(
        &mut self,
        id: &str,
        key: Option<String>,
        options: &CallOptions,
    ) -> Result<u64, Reply> {
        if self.running.len() as u32 >= self.config.slots {
            // A correct holder never sends more calls than there are slots.
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
        let name = key.unwrap_or_else(|| options.name.clone());
        *self.record.runs.entry(name).or_default() += 1;
        Ok(options.run_ms.unwrap_or(self.config.run_ms))
    }
}

fn stale_epoch_reply(highest: &Epoch) -> Reply {
    Response::build(StatusCode::PRECONDITION_FAILED)
        .insert_header(("puffinknot-epoch", highest.to_string()))
        .body("a higher epoch was presented\n")
        .map_into_boxed_body()
}

/// A reply that announces more bytes than it sends.
fn truncated_reply() -> Reply {
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
