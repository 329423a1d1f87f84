/*!
The parts of the users' platform that a node needs: a metadata store,
executors that run tasks under leases, and the advice service.

Each is an HTTP server on its own thread. The store can refuse calls or leave
them unanswered. Executors record every run, from which a test detects
duplicate and lost runs.

An [`Executor`] is one incarnation. A [`Fleet`] consists of machines on which
executors start and end, their heartbeats to the store, and the list of
machines.
*/

use std::time::Duration;

use actix_http::{Request, StatusCode};
use puffinknot::http::{json, read_body};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::server::Running;

mod executor;
mod fleet;
mod store;

pub use self::executor::{Executor, Run, CRASHED};
pub use self::fleet::{CrashMode, Fleet, HEARTBEAT};
pub use self::store::{Store, StoreFault};

/// The largest request body that is read, in bytes.
const MAX_BODY: usize = 8 << 20;
/// The interval at which a waiting call checks whether it can be answered.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves advice that allows every executor to run every step. Each answer
/// takes `delay`.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve_advice(addr: &str, delay: Duration) -> std::io::Result<Running> {
    Running::start(addr, move || {
        move |mut request: Request| async move {
            let payload = request.take_payload();
            let timeout = Duration::from_secs(5);
            let body = read_body(payload, MAX_BODY, timeout).await;
            let body = body.unwrap_or_default();
            let body: Value =
                serde_json::from_slice(&body).unwrap_or(Value::Null);
            sleep(delay).await;
            let workers = body["Workers"].as_array().cloned();
            let allowed: Vec<Value> = workers
                .unwrap_or_default()
                .into_iter()
                .map(|id| json!([id, "ticket"]))
                .collect();
            let body = json!({ "Good": allowed, "ValidMs": 2_000 });
            json(StatusCode::OK, &body)
        }
    })
}
