/*!
The users' platform, as far as a node needs it: a metadata store, executors
that run tasks under leases, and the service that gives advice.

Each is an HTTP server on a thread of its own. The store can be made to
refuse or to say nothing, and executors keep a record of every run, from
which a test can tell what was doubled or lost.

An [`Executor`] is one life. A [`Fleet`] has machines on which executors are
born and end, their heartbeats to the store, and the list of machines.
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

/// The largest body that is read, in bytes.
const MAX_BODY: usize = 8 << 20;
/// How often a call that waits looks whether it may be answered.
const LOOK: Duration = Duration::from_millis(5);

/// Serves advice: every executor may run every step, after some time.
///
/// # Errors
///
/// If the address can't be listened on.
pub fn serve_advice(addr: &str, decide: Duration) -> std::io::Result<Running> {
    Running::start(addr, move || {
        move |mut request: Request| async move {
            let payload = request.take_payload();
            let within = Duration::from_secs(5);
            let body = read_body(payload, MAX_BODY, within).await;
            let body = body.unwrap_or_default();
            let body: Value =
                serde_json::from_slice(&body).unwrap_or(Value::Null);
            sleep(decide).await;
            let workers = body["Workers"].as_array().cloned();
            let good: Vec<Value> = workers
                .unwrap_or_default()
                .into_iter()
                .map(|id| json!([id, "ticket"]))
                .collect();
            let body = json!({ "Good": good, "ValidMs": 2_000 });
            json(StatusCode::OK, &body)
        }
    })
}
