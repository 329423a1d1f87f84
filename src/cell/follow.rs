/*!
Learns the operators' policy, which data centres take no new work, and who
leads, and leads if nobody does.

All are keys of the store below one prefix, so that one watch a node is
enough. A node that the store turns away learns them from other nodes, see
[`crate::cell::link`].
*/

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::Mechanism;
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::cell::journal::{head_key, head_value};
use crate::cell::lead;
use crate::cell::node::Shared;
use crate::cell::ports::{
    Changes, Item, Leader, Listing, Platform, ReadError, Transaction,
    WriteError,
};

/// How long one watch waits for a change.
const WATCH: Millis = 4_000;
/// The same while this node leads. On a connection that has fallen silent
/// nothing is learnt for so long, and what operators want of executors binds
/// the leader within seconds.
const WATCH_LEADING: Millis = 1_500;
/// How long a vacancy must last before a node claims it, at the least.
const VACANT: Millis = 60;
/// What is added to that at random, at the most.
const JITTER: Millis = 120;
/// A machine with less processor time than this, in thousandths of a core,
/// leads only if no larger one does.
const LARGE_ENOUGH: u32 = 200;
/// How much longer such a machine waits for one.
const DEFERENCE: Millis = 400;
/// The pause after a call that failed.
const PAUSE: Duration = Duration::from_millis(150);

/// The value of the leader's key.
#[derive(Serialize, Deserialize)]
struct LeaderValue {
    node: String,
    life: u64,
    address: SocketAddr,
}

/// What is known about the leader's key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Seat {
    /// Nothing.
    Unknown,
    /// It does not exist.
    Vacant,
    /// It was written at this revision by this life of a node.
    Taken(Revision, u64),
    /// An earlier life of this node has written it.
    Stale(Revision),
}

struct Follower<P> {
    shared: Rc<Shared<P>>,
    seat: Seat,
}

/// Follows the store for ever.
pub async fn run<P: Platform>(shared: Rc<Shared<P>>) {
    let mut follower = Follower { shared, seat: Seat::Unknown };
    let mut reachable = true;
    loop {
        match follower.read().await {
            Ok(revision) => {
                if !std::mem::replace(&mut reachable, true) {
                    info!("store_regained");
                }
                follower.watch(revision).await;
            }
            Err(_) => {
                if std::mem::replace(&mut reachable, false) {
                    follower.shared.count("store_lost");
                    warn!("store_lost");
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

impl<P: Platform> Follower<P> {
    async fn read(&mut self) -> Result<Revision, ReadError> {
        let Listing { items, revision } = read_wishes(&self.shared).await?;
        let key = self.shared.platform.leader_key();
        match items.iter().find(|item| item.key == key) {
            Some(item) => self.learn_leader(item),
            None => self.seat = Seat::Vacant,
        }
        Ok(revision)
    }

    /// Watches until a call fails, and claims the lead while it is vacant.
    async fn watch(&mut self, from: Revision) {
        let platform = self.shared.platform.clone();
        let mut revision = from;
        loop {
            let wait = self.patience();
            let prefix = platform.watched_prefix();
            let seat = self.seat.clone();
            let store = self.shared.store.clone();
            let changes = tokio::select! {
                biased;
                changes = store.watch(prefix, revision, wait) => changes,
                // The watch may never be answered.
                () = store.wait_until_recovered() => return,
            };
            match changes {
                Ok(changes) => {
                    self.learn_cordons(&changes);
                    let Changes { written, removed, revision: at } = changes;
                    revision = at;
                    for key in &removed {
                        if key == platform.leader_key() {
                            info!(revision, "leader_key_gone");
                            self.seat = Seat::Vacant;
                            lead::key_gone(&self.shared);
                        }
                    }
                    for item in &written {
                        self.learn(item);
                    }
                }
                Err(_) => return,
            }
            if self.seat == seat && self.may_claim() {
                self.claim().await;
            }
        }
    }

    /// How long to wait for changes.
    fn patience(&self) -> Millis {
        match self.seat {
            Seat::Stale(_) => 1,
            _ if self.may_claim() => {
                let deference = deference(&self.shared);
                VACANT + deference + rand::random_range(0..JITTER)
            }
            _ if self.shared.lead.borrow().is_some() => WATCH_LEADING,
            _ => WATCH,
        }
    }

    fn may_claim(&self) -> bool {
        let vacant = matches!(self.seat, Seat::Vacant | Seat::Stale(_));
        vacant
            && self.shared.lead.borrow().is_none()
            && !self.shared.draining.get()
    }

    fn learn(&mut self, item: &Item) {
        if item.key == self.shared.platform.leader_key() {
            self.learn_leader(item);
        } else {
            learn_wish(&self.shared, item);
        }
    }

    fn learn_cordons(&self, changes: &Changes) {
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

    fn learn_leader(&mut self, item: &Item) {
        let value: LeaderValue = match serde_json::from_slice(&item.value) {
            Ok(value) => value,
            Err(_) => {
                // Nobody that is understood leads.
                self.seat = Seat::Stale(item.revision);
                return;
            }
        };
        let node = self.shared.settings.borrow().node.clone();
        let ours = value.life == self.shared.incarnation;
        let leads = self.shared.lead.borrow().is_some();
        if ours && self.shared.claiming.get() {
            // The claim will be answered, or its lease will run out.
            self.seat = Seat::Taken(item.revision, value.life);
            return;
        }
        if (value.node == node && !ours) || (ours && !leads) {
            // An earlier life of this node, or a tenure that was given up,
            // or a claim whose answer was lost. It does nothing any more.
            self.seat = Seat::Stale(item.revision);
            return;
        }
        self.seat = Seat::Taken(item.revision, value.life);
        self.shared.learn_leader(Leader {
            node: value.node,
            life: value.life,
            address: value.address,
            revision: item.revision,
        });
    }

    /// Claims the lead, and leads if the claim succeeds.
    async fn claim(&mut self) {
        let expected = match self.seat {
            Seat::Stale(revision) => revision,
            _ => 0,
        };
        match claim(&self.shared, expected).await {
            Claimed::Won(revision) => {
                self.seat = Seat::Taken(revision, self.shared.incarnation);
            }
            Claimed::Lost(Some(item)) => self.learn(&item),
            Claimed::Lost(None) => self.seat = Seat::Vacant,
            Claimed::Unknown => {}
        }
    }
}

/// Learns the policy, or a wave.
fn learn_wish<P: Platform>(shared: &Shared<P>, item: &Item) {
    let platform = &shared.platform;
    if item.key == platform.policy_key() {
        shared.learn_policy(&item.value);
    } else if item.key.starts_with(platform.waves_prefix()) {
        shared.learn_wave(&item.value);
    }
}

/// Reads all that operators want now: the policy, cordons and waves.
///
/// # Errors
///
/// If there is no usable answer.
pub async fn read_wishes<P: Platform>(
    shared: &Shared<P>,
) -> Result<Listing, ReadError> {
    let platform = &shared.platform;
    let listing = shared.store.read(platform.watched_prefix()).await?;
    for item in &listing.items {
        learn_wish(shared, item);
    }
    let cordons = listing
        .items
        .iter()
        .filter_map(|item| Some((platform.cordon(&item.key)?, item.revision)));
    let cordons = cordons.collect();
    let cordons = shared.cordons().read(cordons, listing.revision);
    shared.learn_cordons(cordons);
    Ok(listing)
}

/// How much longer than others this node waits before it claims.
fn deference<P: Platform>(shared: &Shared<P>) -> Millis {
    let cpu = shared.settings.borrow().cpu_millis;
    if cpu < LARGE_ENOUGH && shared.is_enabled(Mechanism::LargerLeader) {
        DEFERENCE
    } else {
        0
    }
}

/// What came of a claim.
enum Claimed {
    /// This node leads since this revision.
    Won(Revision),
    /// The key of the leader is not as expected, but so, or absent.
    Lost(Option<Item>),
    /// There was no answer.
    Unknown,
}

/// The leader asks this node to lead in its place. Its key is at `expected`.
pub async fn accept_lead<P: Platform>(
    shared: Rc<Shared<P>>,
    expected: Revision,
) {
    let leads = shared.lead.borrow().is_some();
    if leads || shared.claiming.get() || shared.draining.get() {
        return;
    }
    shared.count("invitations");
    claim(&shared, expected).await;
}

/// The process of the leader is gone, though its lease still runs: leads in
/// its place, if no other node comes first. Its key is at `expected`.
pub async fn replace_leader<P: Platform>(
    shared: Rc<Shared<P>>,
    expected: Revision,
) {
    if !shared.may_replace_leader() {
        return;
    }
    let pause = deference(&shared) + rand::random_range(0..JITTER);
    tokio::time::sleep(Duration::from_millis(pause)).await;
    let known = shared.leader().map(|leader| leader.revision);
    let leads = shared.lead.borrow().is_some();
    if known != Some(expected) || leads || shared.draining.get() {
        return;
    }
    shared.count("leaders_replaced");
    claim(&shared, expected).await;
}

/// Claims the lead, and leads if the claim succeeds. The key of the leader
/// must be at `expected`.
async fn claim<P: Platform>(
    shared: &Rc<Shared<P>>,
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
    shared: &Rc<Shared<P>>,
    expected: Revision,
) -> Claimed {
    let store = shared.store.clone();
    let ttl = shared.settings.borrow().key_lease();
    let sent_at = crate::clock::mono();
    let Ok(lease) = store.grant(ttl).await else { return Claimed::Unknown };
    let transaction =
        claim_transaction(shared, expected, lease, head_value(0, 0));
    match store.write(&transaction).await {
        Ok(revision) => {
            let leader = this_leader(shared, revision);
            info!(token = revision, lease, "lead_claimed");
            lead::begin(shared, revision, lease, sent_at);
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

/// This node as the leader whose key was written at `revision`.
pub fn this_leader<P: Platform>(
    shared: &Shared<P>,
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

/// The transaction by which this node claims the lead. The leader's key must
/// be at `expected`.
pub fn claim_transaction<P: Platform>(
    shared: &Shared<P>,
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
