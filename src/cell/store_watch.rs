/*!
Watches the store for the operators' requests and for the leader, and claims
the leadership if it is vacant.

The operators' requests are the policy, cordons and maintenance waves. All keys
are below one prefix, so that each node needs only one watch. A node that can't
reach the store learns their values from other nodes (see
[`crate::cell::link`]).
*/

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::policy_age::watched_until;
use puffinknot_core::jobs::Mechanism;
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::cell::journal::{head_key, head_value};
use crate::cell::leader;
use crate::cell::node::NodeState;
use crate::cell::ports::{
    Changes, Item, Leader, Listing, Platform, ReadError, Transaction,
    WriteError,
};
use crate::clock;

/// How long one watch waits for changes.
const WATCH_TIMEOUT: Millis = 4_000;
/// How long one watch waits for changes while this node leads, at most. This
/// is also how long a silent connection goes unnoticed, and the leader has to
/// follow the operators' requests about executors within seconds.
const MAX_WATCH_TIMEOUT_LEADING: Millis = 1_500;
/// How long a watch waits that only asks for the changes so far.
const NO_WAIT: Millis = 1;
/// The shortest time for which the leadership must be vacant before a node
/// claims it.
const MIN_VACANCY: Millis = 60;
/// The limit of the random time that is added to this.
const MAX_CLAIM_JITTER: Millis = 120;
/// A machine with less processor time than this, in thousandths of a core,
/// leads only if no larger one does.
const MIN_LEADER_CPU_MILLIS: u32 = 200;
/// How much longer such a machine waits before it claims the leadership.
const SMALL_MACHINE_DELAY: Millis = 400;
/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The value of the leader's key.
#[derive(Serialize, Deserialize)]
struct LeaderValue {
    node: String,
    life: u64,
    address: SocketAddr,
}

/// The state of the leader's key, as far as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState {
    /// It was not read yet.
    Unknown,
    /// It does not exist.
    Vacant,
    /// It was written at this revision by this incarnation of a node.
    Taken(Revision, u64),
    /// It was written at this revision and names no active leader.
    Stale(Revision),
}

/// Watches the keys that all nodes follow.
struct Watcher<P> {
    shared: Rc<NodeState<P>>,
    key_state: KeyState,
}

/// Watches the store for as long as the node runs.
pub async fn run<P: Platform>(shared: Rc<NodeState<P>>) {
    let mut watcher = Watcher { shared, key_state: KeyState::Unknown };
    let mut reachable = true;
    loop {
        match watcher.read().await {
            Ok(revision) => {
                if !std::mem::replace(&mut reachable, true) {
                    info!("store_regained");
                }
                watcher.watch(revision).await;
            }
            Err(_) => {
                if std::mem::replace(&mut reachable, false) {
                    watcher.shared.count("store_lost");
                    warn!("store_lost");
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

impl<P: Platform> Watcher<P> {
    async fn read(&mut self) -> Result<Revision, ReadError> {
        let Listing { items, revision } =
            read_operator_requests(&self.shared).await?;
        let key = self.shared.platform.leader_key();
        match items.iter().find(|item| item.key == key) {
            Some(item) => self.apply_leader(item),
            None => self.key_state = KeyState::Vacant,
        }
        Ok(revision)
    }

    /// Watches until a call fails, and claims the leadership while it is
    /// vacant. A watch that may be on a dead connection is given up, and the
    /// store is asked for the changes so far.
    async fn watch(&mut self, from: Revision) {
        let platform = self.shared.platform.clone();
        let mut revision = from;
        let mut doubted = false;
        loop {
            let wait = if std::mem::take(&mut doubted) {
                NO_WAIT
            } else {
                self.watch_timeout()
            };
            let prefix = platform.watched_prefix();
            let key_state = self.key_state.clone();
            let store = self.shared.store.clone();
            let sent_at = clock::mono();
            let changes = tokio::select! {
                biased;
                changes = store.watch(prefix, revision, wait) => changes,
                // A watch from before the outage may never be answered.
                () = store.wait_until_recovered() => return,
                () = self.wait_until_doubted(), if wait > NO_WAIT => {
                    let waited = clock::mono() - sent_at;
                    let policy_age = self.shared.policy_age();
                    self.shared.count("watches_doubted");
                    info!(wait, waited, policy_age, "watch_doubted");
                    doubted = true;
                    continue;
                }
            };
            match changes {
                Ok(changes) => {
                    self.apply_cordons(&changes);
                    let Changes { written, removed, count, revision: at } =
                        changes;
                    revision = at;
                    let now = clock::mono();
                    let until = watched_until(sent_at, wait, now, count);
                    for key in &removed {
                        if key == platform.leader_key() {
                            info!(revision, "leader_key_gone");
                            self.key_state = KeyState::Vacant;
                            leader::report_key_removed(&self.shared);
                        }
                    }
                    for item in &written {
                        self.apply(item);
                    }
                    match until {
                        Some(until) => self.shared.confirm_policy(until),
                        // There may be more changes.
                        None => doubted = true,
                    }
                }
                Err(error) => {
                    let waited = clock::mono() - sent_at;
                    let policy_age = self.shared.policy_age();
                    self.shared.count("watches_failed");
                    info!(?error, wait, waited, policy_age, "watch_failed");
                    return;
                }
            }
            if self.key_state == key_state && self.may_claim() {
                self.claim().await;
            }
        }
    }

    /// Waits until a pending watch may be on a dead connection.
    async fn wait_until_doubted(&self) {
        tokio::select! {
            () = self.shared.watch_doubted.notified() => {}
            () = self.shared.wait_until_policy_recheck() => {}
        }
    }

    /// Returns how long the next watch waits for changes.
    fn watch_timeout(&self) -> Millis {
        match self.key_state {
            KeyState::Stale(_) => NO_WAIT,
            _ if self.may_claim() => {
                let claim_delay = claim_delay(&self.shared);
                MIN_VACANCY
                    + claim_delay
                    + rand::random_range(0..MAX_CLAIM_JITTER)
            }
            _ if self.shared.lead.borrow().is_some() => {
                let limits = self.shared.policy_limits();
                limits.leader_watch().min(MAX_WATCH_TIMEOUT_LEADING)
            }
            _ => WATCH_TIMEOUT,
        }
    }

    fn may_claim(&self) -> bool {
        let vacant =
            matches!(self.key_state, KeyState::Vacant | KeyState::Stale(_));
        vacant
            && self.shared.lead.borrow().is_none()
            && !self.shared.draining.get()
    }

    fn apply(&mut self, item: &Item) {
        if item.key == self.shared.platform.leader_key() {
            self.apply_leader(item);
        } else {
            apply_operator_request(&self.shared, item);
        }
    }

    fn apply_cordons(&self, changes: &Changes) {
        let platform = &self.shared.platform;
        let mut cordons = self.shared.cordons();
        for item in &changes.written {
            if let Some(cordon) = platform.cordon(&item.key) {
                cordons = cordons.with(cordon, item.revision);
            }
        }
        for key in &changes.removed {
            if let Some(cordon) = platform.cordon(key) {
                cordons = cordons.less(&cordon, changes.revision);
            }
        }
        self.shared.learn_cordons(cordons);
    }

    fn apply_leader(&mut self, item: &Item) {
        let value: LeaderValue = match serde_json::from_slice(&item.value) {
            Ok(value) => value,
            Err(_) => {
                // The value is unreadable, so it names no known leader.
                self.key_state = KeyState::Stale(item.revision);
                return;
            }
        };
        let node = self.shared.settings.borrow().node.clone();
        let is_own = value.life == self.shared.incarnation;
        let leads = self.shared.lead.borrow().is_some();
        if is_own && self.shared.claiming.get() {
            // The claim will be answered, or its lease will expire.
            self.key_state = KeyState::Taken(item.revision, value.life);
            return;
        }
        if (value.node == node && !is_own) || (is_own && !leads) {
            // The key is from an earlier incarnation of this node, from a term
            // that was given up, or from a claim whose answer was lost. None
            // of these is active.
            self.key_state = KeyState::Stale(item.revision);
            return;
        }
        self.key_state = KeyState::Taken(item.revision, value.life);
        self.shared.learn_leader(Leader {
            node: value.node,
            life: value.life,
            address: value.address,
            revision: item.revision,
        });
    }

    /// Claims the leadership, and starts to lead if the claim succeeds.
    async fn claim(&mut self) {
        let expected = match self.key_state {
            KeyState::Stale(revision) => revision,
            _ => 0,
        };
        match claim(&self.shared, expected).await {
            Claimed::Won(revision) => {
                self.key_state =
                    KeyState::Taken(revision, self.shared.incarnation);
            }
            Claimed::Lost(Some(item)) => self.apply(&item),
            Claimed::Lost(None) => self.key_state = KeyState::Vacant,
            Claimed::Unknown => {}
        }
    }
}

/// Applies an item if it is the policy or a maintenance wave.
fn apply_operator_request<P: Platform>(shared: &NodeState<P>, item: &Item) {
    let platform = &shared.platform;
    if item.key == platform.policy_key() {
        shared.learn_policy(&item.value);
    } else if item.key.starts_with(platform.waves_prefix()) {
        shared.learn_wave(&item.value);
    }
}

/// Reads and applies the operators' current requests: the policy, cordons and
/// maintenance waves. Returns all that was read.
///
/// # Errors
///
/// Fails if there is no usable answer.
pub async fn read_operator_requests<P: Platform>(
    shared: &NodeState<P>,
) -> Result<Listing, ReadError> {
    let platform = &shared.platform;
    let sent_at = clock::mono();
    let listing = shared.store.read(platform.watched_prefix()).await?;
    for item in &listing.items {
        apply_operator_request(shared, item);
    }
    shared.confirm_policy(sent_at);
    let cordons = listing
        .items
        .iter()
        .filter_map(|item| Some((platform.cordon(&item.key)?, item.revision)));
    let cordons = cordons.collect();
    let cordons = shared.cordons().read(cordons, listing.revision);
    shared.learn_cordons(cordons);
    Ok(listing)
}

/// Returns how much longer than others this node waits before it claims the
/// leadership.
fn claim_delay<P: Platform>(shared: &NodeState<P>) -> Millis {
    let cpu = shared.settings.borrow().cpu_millis;
    if cpu < MIN_LEADER_CPU_MILLIS
        && shared.is_enabled(Mechanism::LargerLeader)
    {
        SMALL_MACHINE_DELAY
    } else {
        0
    }
}

/// The result of a claim.
enum Claimed {
    /// This node leads since this revision.
    Won(Revision),
    /// The leader's key is not as expected. Contains its item unless it is
    /// absent.
    Lost(Option<Item>),
    /// It is unknown whether the claim succeeds, or none was made.
    Unknown,
}

/// Claims the leadership that the leader has offered to this node. The
/// leader's key is at revision `expected`.
pub async fn accept_leadership<P: Platform>(
    shared: Rc<NodeState<P>>,
    expected: Revision,
) {
    let leads = shared.lead.borrow().is_some();
    if leads || shared.claiming.get() || shared.draining.get() {
        return;
    }
    shared.count("invitations");
    claim_or_doubt(&shared, expected).await;
}

/// Claims the leadership of a leader whose process is gone while its lease has
/// not expired, unless another node does so first. The leader's key is at
/// revision `expected`.
pub async fn replace_leader<P: Platform>(
    shared: Rc<NodeState<P>>,
    expected: Revision,
) {
    if !shared.take_replacement_permit() {
        return;
    }
    let pause = claim_delay(&shared) + rand::random_range(0..MAX_CLAIM_JITTER);
    tokio::time::sleep(Duration::from_millis(pause)).await;
    let known = shared.leader().map(|leader| leader.revision);
    let leads = shared.lead.borrow().is_some();
    if known != Some(expected) || leads || shared.draining.get() {
        return;
    }
    shared.count("leaders_replaced");
    claim_or_doubt(&shared, expected).await;
}

/// Claims the leadership. If the leader's key is not as this node knows it,
/// the pending watch has missed a change.
async fn claim_or_doubt<P: Platform>(
    shared: &Rc<NodeState<P>>,
    expected: Revision,
) {
    if matches!(claim(shared, expected).await, Claimed::Lost(_)) {
        shared.watch_doubted.notify_one();
    }
}

/// Claims the leadership, and starts to lead if the claim succeeds. The
/// leader's key must be at revision `expected`, or absent if this is zero.
async fn claim<P: Platform>(
    shared: &Rc<NodeState<P>>,
    expected: Revision,
) -> Claimed {
    if shared.claiming.replace(true) {
        return Claimed::Unknown;
    }
    let claimed = try_claim(shared, expected).await;
    shared.claiming.set(false);
    claimed
}

async fn try_claim<P: Platform>(
    shared: &Rc<NodeState<P>>,
    expected: Revision,
) -> Claimed {
    let store = shared.store.clone();
    let ttl = shared.settings.borrow().leader_key_ttl();
    let sent_at = clock::mono();
    let Ok(lease) = store.grant(ttl).await else { return Claimed::Unknown };
    let transaction =
        claim_transaction(shared, expected, lease, head_value(0, 0));
    match store.write(&transaction).await {
        Ok(revision) => {
            let leader = own_leader_entry(shared, revision);
            info!(token = revision, lease, "lead_claimed");
            leader::start_term(shared, revision, lease, sent_at);
            shared.learn_leader(leader);
            Claimed::Won(revision)
        }
        Err(WriteError::Refused(items)) => {
            shared.count("claims_lost");
            let key = shared.platform.leader_key();
            let item = items.into_iter().find(|item| item.key == key);
            let _ = store.revoke(lease).await;
            Claimed::Lost(item)
        }
        Err(error) => {
            shared.count("claims_unknown");
            warn!(?error, "claim_unanswered");
            Claimed::Unknown
        }
    }
}

/// Returns the entry of this node as the leader whose key was written at
/// `revision`.
pub fn own_leader_entry<P: Platform>(
    shared: &NodeState<P>,
    revision: Revision,
) -> Leader {
    let settings = shared.settings.borrow();
    Leader {
        node: settings.node.clone(),
        life: shared.incarnation,
        address: settings.control,
        revision,
    }
}

/// Returns the transaction by which this node claims the leadership. The
/// leader's key must be at revision `expected`, or absent if this is zero.
pub fn claim_transaction<P: Platform>(
    shared: &NodeState<P>,
    expected: Revision,
    lease: u64,
    head: Vec<u8>,
) -> Transaction {
    let platform = &shared.platform;
    let key = platform.leader_key().to_string();
    let settings = shared.settings.borrow();
    let value = LeaderValue {
        node: settings.node.clone(),
        life: shared.incarnation,
        address: settings.control,
    };
    let value = serde_json::to_vec(&value).unwrap_or_default();
    Transaction {
        expect: vec![(key.clone(), expected)],
        put: vec![
            (key, value, lease),
            (head_key(platform.leader_state_prefix()), head, 0),
        ],
        remove: Vec::new(),
    }
}
