/*!
Tracks whether a node can serve clients: whether it receives messages from a
*confirmed* leader, or is a confirmed leader itself. A leader is confirmed if
the store has confirmed its lease recently.

A node that can't serve clients reports that it is not ready, so that clients
are sent to other nodes. If the store does not answer it either, the node is
*isolated*: its data centre is partitioned from the others, or the store is
down. Waiting would help no client then, so the node answers requests at once.
*/

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::Mechanism;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::cell::node::NodeState;
use crate::cell::ports::Platform;
use crate::clock;

/// A leader that has sent nothing for this long may be unreachable. It answers
/// every ping, and one answer may be late.
const LEADER_MESSAGE_TTL_MS: Millis = 600;
/// How long a leader counts as confirmed after the store has confirmed it. The
/// leader asks for a confirmation twice a second, and a slow store takes a
/// quarter of a second to answer.
const CONFIRMATION_TTL_MS: Millis = 1_200;
/// How often a node checks whether it can serve clients. Less than half of
/// [`LEADER_MESSAGE_TTL_MS`], so that the check adds little to that timeout.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A store that has answered within this time is not probed.
const STORE_ANSWER_TTL_MS: Millis = 500;

/// What a node knows about its connection to the leader.
#[derive(Default)]
pub struct Reachability {
    /// When the last message from a confirmed leader arrived.
    last_heard_at: Cell<Option<Millis>>,
    isolated: Cell<bool>,
    changed: Notify,
}

impl Reachability {
    /// Records a message from the leader. Messages from a leader that is not
    /// confirmed are ignored.
    pub fn record_leader_message(&self, confirmed: bool) {
        if confirmed {
            self.last_heard_at.set(Some(clock::mono()));
            self.set_isolated(false);
        }
    }

    /// Records that the connection to the leader is lost.
    pub fn clear_leader(&self) {
        self.last_heard_at.set(None);
    }

    /// Whether a confirmed leader has sent a message recently.
    fn heard_recently(&self) -> bool {
        let last_heard_at = self.last_heard_at.get();
        last_heard_at
            .is_some_and(|at| clock::mono() <= at + LEADER_MESSAGE_TTL_MS)
    }

    /// Whether neither a confirmed leader nor the store can be reached.
    pub fn is_isolated(&self) -> bool {
        self.isolated.get()
    }

    /// Waits until the node is isolated.
    pub async fn wait_until_isolated(&self) {
        loop {
            let changed = self.changed.notified();
            if self.isolated.get() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the node has been isolated and no longer is. If it is not
    /// isolated now, this waits for the next time that it is.
    pub async fn wait_until_reconnected(&self) {
        while !self.isolated.get() {
            self.changed.notified().await;
        }
        while self.isolated.get() {
            self.changed.notified().await;
        }
    }

    fn set_isolated(&self, isolated: bool) {
        if self.isolated.replace(isolated) == isolated {
            return;
        }
        self.changed.notify_waiters();
        if isolated {
            warn!("cut_off");
        } else {
            info!("reach_regained");
        }
    }
}

/// Whether a leader that the store confirmed last at `confirmed_at` still
/// counts as confirmed.
pub fn is_confirmed(confirmed_at: Millis) -> bool {
    clock::mono() <= confirmed_at + CONFIRMATION_TTL_MS
}

/// Whether the reachability of the leader lets the node report that it is
/// ready. Always true if [`Mechanism::Readiness`] is disabled.
pub fn is_ready<P: Platform>(shared: &NodeState<P>) -> bool {
    can_serve(shared) || !shared.is_enabled(Mechanism::Readiness)
}

/// Whether this node can serve client requests.
pub fn can_serve<P: Platform>(shared: &NodeState<P>) -> bool {
    match shared.lead.borrow().as_ref() {
        Some(lead) => is_confirmed(lead.confirmed_at()),
        None => shared.reachability.heard_recently(),
    }
}

/// Checks periodically whether this node is isolated. While the node can't
/// serve clients, each check probes the store, whether or not earlier probes
/// were answered, so that the recovery of the store is noticed at once. It is
/// noticed, too, if another call of this node is answered first.
pub async fn watch<P: Platform>(shared: Rc<NodeState<P>>) {
    let notices_recovery = shared.is_enabled(Mechanism::AfterOutage);
    let mut policy_current = false;
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = shared.store.wait_until_recovered(), if notices_recovery => {
                shared.reachability.set_isolated(false);
                continue;
            }
        }
        log_policy_age(&shared, &mut policy_current);
        shared.observe_suspensions();
        let valid_until =
            shared.store.last_answered_at() + STORE_ANSWER_TTL_MS;
        let store_answers = clock::mono() <= valid_until
            && shared.store.consecutive_failures() == 0;
        if store_answers || can_serve(&shared) {
            shared.reachability.set_isolated(false);
            continue;
        }
        shared.count("looks_for_store");
        actix_rt::spawn(probe_store(shared.clone()));
    }
}

/// Logs when the policy in effect becomes current, and when it no longer is.
fn log_policy_age<P: Platform>(shared: &NodeState<P>, current: &mut bool) {
    let is_current = shared.is_policy_current();
    if std::mem::replace(current, is_current) == is_current {
        return;
    }
    let version = shared.policy_version();
    if is_current {
        info!(version, "policy_current");
    } else {
        shared.count("policy_outdated");
        warn!(version, age = shared.policy_age(), "policy_outdated");
    }
}

async fn probe_store<P: Platform>(shared: Rc<NodeState<P>>) {
    let sent_at = clock::mono();
    let answer = shared.store.get(shared.platform.leader_key()).await;
    let answered = answer.is_ok() || shared.store.last_answered_at() > sent_at;
    let answers_at_once = shared.is_enabled(Mechanism::CutOffAnswers);
    let isolated = answers_at_once && !answered && !can_serve(&shared);
    if isolated && !shared.reachability.is_isolated() {
        shared.count("cut_off");
    }
    shared.reachability.set_isolated(isolated);
}
