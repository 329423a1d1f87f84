/*!
A planned stop.

The node says that it is not ready, passes the lead on, and goes on answering:
clients keep the connections that they have. It ends once it has nothing to
answer, after the time that others need to send clients elsewhere. Where
answers don't come, its time runs out first. Some while before that it closes:
what is open is given up and answered, and what still comes is refused at
once, so that no request is cut off by the end of the process.
*/

use std::cell::Cell;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::node::Shared;
use crate::cell::ports::Platform;

/// Requests are taken for at least this part of the time for a stop.
const DRAIN_PART: f64 = 0.6;
/// The process ends so long before its time is over, in milliseconds.
const SPARE: Millis = 700;
/// The node closes so long before that, in milliseconds, for the answers to
/// what is open. Chosen, not measured.
const CLOSING: Millis = 400;
/// How often it is looked whether all are answered.
const STEP: Duration = Duration::from_millis(50);

/// Whether the node takes no more requests, and gives up those it has.
#[derive(Default)]
pub struct Closing {
    begun: Cell<bool>,
    told: Notify,
}

impl Closing {
    /// Whether it has begun.
    pub fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits until it begins.
    pub async fn begun(&self) {
        let told = self.told.notified();
        if !self.begun.get() {
            told.await;
        }
    }

    fn begin(&self) {
        self.begun.set(true);
        self.told.notify_waiters();
    }
}

/// Waits until clients have gone elsewhere and all are answered, at the most
/// for what the settings give a stop, counted from `started`.
pub(super) async fn drain<P: Platform>(shared: &Shared<P>, started: Instant) {
    let within = shared.settings.borrow().shutdown_timeout;
    let least = Duration::from_millis((within as f64 * DRAIN_PART) as u64);
    let most = Duration::from_millis(within.saturating_sub(SPARE));
    let closes = most.saturating_sub(Duration::from_millis(CLOSING));
    loop {
        tokio::time::sleep(STEP).await;
        let past = started.elapsed();
        let idle = shared.open_requests.get() == 0;
        if past >= most || (idle && past >= least) {
            return;
        }
        if past >= closes && !shared.closing.has_begun() {
            shared.closing.begin();
        }
    }
}
