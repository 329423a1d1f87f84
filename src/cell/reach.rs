/*!
Whether a node can serve clients: it hears a leader that is sure to lead, or
leads itself and is sure of that.

A node that can't says that it isn't ready, so that clients are sent to
nodes that can. If the store doesn't answer it either, it is *cut off*: its
data centre is cut from the others, or the store is down. Waiting would help
no client then, so that requests are answered at once.
*/

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::Mechanism;
use tokio::sync::Notify;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::cell::node::Shared;
use crate::cell::ports::Platform;
use crate::clock;

/// A leader that was not heard for so long may be out of reach, in
/// milliseconds: it answers each ping, and one may be late.
const QUIET: Millis = 600;
/// A leader that the store has not confirmed for so long is not sure to
/// lead, in milliseconds: it is confirmed twice a second, and a slow store
/// takes a quarter of a second.
const SURE_FOR: Millis = 1_200;
/// How often a node looks whether it can serve. Half of [`QUIET`], so that
/// little is added to it.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// A store that has answered within this time, in milliseconds, need not be
/// asked again.
const ANSWERED: Millis = 500;

/// What a node knows of its way to the leader.
#[derive(Default)]
pub struct Reach {
    /// When a leader was heard last that was sure to lead.
    heard: Cell<Option<Millis>>,
    /// The version of the policy that the leader had then.
    leader_policy: Cell<Option<u64>>,
    cut_off: Cell<bool>,
    changed: Notify,
}

impl Reach {
    /// The leader was heard, and whether it is sure to lead.
    pub fn heard(&self, sure: bool) {
        if sure {
            self.heard.set(Some(clock::mono()));
            self.set_cut_off(false);
        }
    }

    /// A leader that is sure to lead has this version of the policy.
    pub fn heard_policy(&self, version: Option<u64>) {
        self.leader_policy.set(version);
    }

    /// The way to the leader is gone.
    pub fn lost(&self) {
        self.heard.set(None);
        self.leader_policy.set(None);
    }

    /// Whether a sure leader was heard lately.
    fn hears(&self) -> bool {
        let heard = self.heard.get();
        heard.is_some_and(|at| clock::mono() <= at + QUIET)
    }

    /// Whether neither a leader nor the store can be reached.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.get()
    }

    /// Waits until neither a leader nor the store can be reached.
    pub async fn cut_off(&self) {
        loop {
            let changed = self.changed.notified();
            if self.cut_off.get() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the node is cut off no longer, if it is.
    pub async fn regained(&self) {
        while !self.cut_off.get() {
            self.changed.notified().await;
        }
        while self.cut_off.get() {
            self.changed.notified().await;
        }
    }

    fn set_cut_off(&self, cut_off: bool) {
        if self.cut_off.replace(cut_off) == cut_off {
            return;
        }
        self.changed.notify_waiters();
        if cut_off {
            warn!("cut_off");
        } else {
            info!("reach_regained");
        }
    }
}

/// Whether a leader that the store confirmed at that time is sure to lead.
pub fn is_sure(confirmed: Millis) -> bool {
    clock::mono() <= confirmed + SURE_FOR
}

/// Whether a node is to say that it is ready.
pub fn is_ready<P: Platform>(shared: &Shared<P>) -> bool {
    serves(shared) || !shared.has(Mechanism::Readiness)
}

/// Whether this node knows the policy as well as the leader does. If not, a
/// key that it does not know may be a new one.
pub fn knows_policy<P: Platform>(shared: &Shared<P>) -> bool {
    let Some(policy) = shared.policy() else { return false };
    let leader = shared.reach.leader_policy.get();
    let as_leader = leader.is_some_and(|leader| leader <= policy.version);
    serves(shared) && (as_leader || shared.lead.borrow().is_some())
}

/// Whether requests that come to this node can be served.
fn serves<P: Platform>(shared: &Shared<P>) -> bool {
    match shared.lead.borrow().as_ref() {
        Some(lead) => is_sure(lead.confirmed_at()),
        None => shared.reach.hears(),
    }
}

/// Looks again and again whether this node is cut off. While it can't serve,
/// the store is asked at each look, whether or not earlier calls have been
/// answered, so that its return is noticed at once; so it is if any other call
/// of this node is answered first.
pub async fn watch<P: Platform>(shared: Rc<Shared<P>>) {
    let listens = shared.has(Mechanism::AfterOutage);
    loop {
        tokio::select! {
            () = sleep(LOOK_EVERY) => {}
            () = shared.store.regained(), if listens => {
                shared.reach.set_cut_off(false);
                continue;
            }
        }
        let lately = shared.store.answered() + ANSWERED;
        let answers = clock::mono() <= lately && shared.store.failures() == 0;
        if answers || serves(&shared) {
            shared.reach.set_cut_off(false);
            continue;
        }
        shared.count("looks_for_store");
        actix_rt::spawn(look_for_store(shared.clone()));
    }
}

async fn look_for_store<P: Platform>(shared: Rc<Shared<P>>) {
    let asked_at = clock::mono();
    let answer = shared.store.get(shared.platform.leader_key()).await;
    let answered = answer.is_ok() || shared.store.answered() > asked_at;
    let answers_at_once = shared.has(Mechanism::CutOffAnswers);
    let cut_off = answers_at_once && !answered && !serves(&shared);
    if cut_off && !shared.reach.is_cut_off() {
        shared.count("cut_off");
    }
    shared.reach.set_cut_off(cut_off);
}
