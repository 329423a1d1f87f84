/*!
Graceful shutdown.

The node reports that it is not ready, hands the leadership over, and keeps
answering requests, since clients keep the connections that they have. Load
balancers need some time to send clients to other nodes; after that the
process exits as soon as no request is open, or at the latest when the
shutdown timeout expires. Shortly before the timeout the node enters the
closing phase: it gives up open requests and answers them, and refuses new
ones at once, so that no request is cut off by the exit of the process.
*/

use std::cell::Cell;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::node::NodeState;
use crate::cell::ports::Platform;

/// The node accepts requests for at least this part of the shutdown timeout.
const MIN_DRAIN_FRACTION: f64 = 0.6;
/// The process exits this long before the shutdown timeout expires.
const EXIT_MARGIN_MS: Millis = 700;
/// The closing phase starts this long before the exit, so that the answers to
/// open requests can be sent.
const CLOSING_MS: Millis = 400;
/// How often the number of open requests is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The closing phase, in which the node refuses new requests and gives up
/// open ones.
#[derive(Default)]
pub struct Closing {
    begun: Cell<bool>,
    changed: Notify,
}

impl Closing {
    /// Whether the closing phase has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits until the closing phase begins.
    pub async fn begun(&self) {
        let changed = self.changed.notified();
        if !self.begun.get() {
            changed.await;
        }
    }

    fn begin(&self) {
        self.begun.set(true);
        self.changed.notify_waiters();
    }
}

/// Waits until clients have had time to switch to other nodes and no request
/// is open, or until the shutdown timeout, counted from `started`, is nearly
/// over.
pub(super) async fn drain<P: Platform>(
    shared: &NodeState<P>,
    started: Instant,
) {
    let shutdown_timeout = shared.settings.borrow().shutdown_timeout;
    let min = Duration::from_millis(
        (shutdown_timeout as f64 * MIN_DRAIN_FRACTION) as u64,
    );
    let max =
        Duration::from_millis(shutdown_timeout.saturating_sub(EXIT_MARGIN_MS));
    let closing_at = max.saturating_sub(Duration::from_millis(CLOSING_MS));
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let elapsed = started.elapsed();
        let idle = shared.open_requests.get() == 0;
        if elapsed >= max || (idle && elapsed >= min) {
            return;
        }
        if elapsed >= closing_at && !shared.closing.has_begun() {
            shared.closing.begin();
        }
    }
}
