/*!
A node: what its parts share, and how it starts and stops.

Everything runs on one thread. The machines that this is made for have a
part of one core; a second thread would only add wake-ups, and control state
needs no locks.
*/

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::jobs::policy::Router;
use puffinknot_core::jobs::{
    Caller, Cordon, Cordons, KeyRing, MaintenanceWave, Mechanism, Mechanisms,
    Outcome, Policy, Request,
};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify};
use tokio::time::{timeout_at, Instant};
use tracing::{info, warn};

use crate::cell::leader::{self, LeaderHandle};
use crate::cell::link::{self, LinkHandle};
use crate::cell::ports::{Leader, Platform};
use crate::cell::reach::{self, Reach};
use crate::cell::relay::RelayedOrder;
use crate::cell::stats::Stats;
use crate::cell::stop::{self, Closing};
use crate::cell::store::{self, Store};
use crate::cell::{ingress, store_watch};
use crate::clock;
use crate::error::{Error, ErrorKind, Result};

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub node: String,
    /// Its data centre.
    pub dc: String,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where it is asked whether it is ready.
    pub ready: SocketAddr,
    /// Where other nodes connect.
    pub control: SocketAddr,
    /// Where its counters are served, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Other nodes, to start from if the store can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// The longest lease on an executor, in milliseconds.
    pub executor_lease: Millis,
    /// The lease of the leader where reading takes no time, in milliseconds.
    pub leader_lease: Millis,
    /// How long ended jobs stay known, in milliseconds.
    pub keep_ended: Millis,
    /// The time for a planned stop, in milliseconds.
    pub stop_within: Millis,
    /// The processor time that its machine gives it, in thousandths of a
    /// core. A larger machine is preferred to lead.
    pub cpu_millis: u32,
    /// What its machine's own link carries, in bytes a millisecond.
    pub link_bytes_per_ms: u32,
    /// The mechanisms that are switched off.
    pub without: Mechanisms,
}

impl NodeSettings {
    /// The lease of the leader's key, in milliseconds. Behind a narrow link
    /// renewals wait behind what a takeover reads; with a shorter lease the
    /// key goes before anybody has taken over.
    pub fn key_lease(&self) -> Millis {
        self.leader_lease + store::takeover_time(self.link_bytes_per_ms)
    }
}

/// How long a leader may order without the store having confirmed it.
pub const UNCONFIRMED: Millis = 6_000;
/// A request must be answered by the leader within this time.
const ASK_TIMEOUT: Duration = Duration::from_millis(2_600);
/// If nobody leads, this long is waited for a leader.
const NO_LEADER_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause before a request is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// When a client is to come back if nobody leads, in milliseconds.
const NO_LEADER: Millis = 1_000;
/// The time until a node may again replace a leader whose lease still runs,
/// in milliseconds. Longer than a cut that only this node sees should last.
const REPLACE_AGAIN: Millis = 8_000;
/// The time until a node is asked again for a newer policy, in milliseconds.
const ASK_POLICY_AGAIN: Millis = 500;

/// What the parts of a node share.
pub struct Shared<P> {
    /// The platform.
    pub platform: Rc<P>,
    /// Its store.
    pub store: Rc<Store<P>>,
    /// The settings.
    pub settings: RefCell<NodeSettings>,
    /// A number that differs for each start of the node.
    pub life: u64,
    policy: RefCell<Option<Arc<Policy>>>,
    router: RefCell<Rc<Router>>,
    keys: RefCell<Rc<KeyRing>>,
    raw_policy: RefCell<Option<Rc<Vec<u8>>>>,
    leader: RefCell<Option<Leader>>,
    cordons: RefCell<Cordons>,
    /// The waves of upkeep that the operators want.
    waves: RefCell<BTreeMap<u64, MaintenanceWave>>,
    /// Told when the leader, or the way to it, changes.
    pub leader_changed: Notify,
    /// Whether a claim of this node is under way.
    pub claiming: Cell<bool>,
    /// When this node may ask another one for its policy.
    asks_policy_from: Cell<Millis>,
    /// When this node may replace a leader whose lease still runs.
    replaces_from: Cell<Millis>,
    /// The way to the scheduler, while this node leads.
    pub lead: RefCell<Option<LeaderHandle>>,
    /// The way to the leader, while another node leads.
    pub link: RefCell<Option<LinkHandle>>,
    /// Whether the leader and the store can be reached.
    pub reach: Reach,
    /// Where other nodes have been seen.
    pub peers: RefCell<BTreeSet<SocketAddr>>,
    /// Whether the node is about to stop.
    pub draining: Cell<bool>,
    /// Whether its time for that is nearly over.
    pub closing: Closing,
    /// The number of client requests under way.
    pub under_way: Cell<usize>,
    /// Counters and latencies.
    pub stats: Stats,
}

impl<P: Platform> Shared<P> {
    fn new(platform: P, settings: NodeSettings) -> Shared<P> {
        let platform = Rc::new(platform);
        Shared {
            store: Rc::new(Store::new(
                platform.clone(),
                &settings.without,
                settings.link_bytes_per_ms,
            )),
            platform,
            life: rand::random(),
            policy: RefCell::default(),
            router: RefCell::default(),
            keys: RefCell::default(),
            raw_policy: RefCell::default(),
            leader: RefCell::default(),
            cordons: RefCell::default(),
            waves: RefCell::default(),
            leader_changed: Notify::new(),
            claiming: Cell::new(false),
            asks_policy_from: Cell::new(0),
            replaces_from: Cell::new(0),
            lead: RefCell::default(),
            link: RefCell::default(),
            reach: Reach::default(),
            peers: RefCell::new(settings.seeds.iter().copied().collect()),
            draining: Cell::new(false),
            closing: Closing::default(),
            under_way: Cell::new(0),
            stats: Stats::default(),
            settings: RefCell::new(settings),
        }
    }

    /// Whether a mechanism is on.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        self.settings.borrow().without.enabled(mechanism)
    }

    /// Counts an event.
    pub fn count(&self, name: &'static str) {
        self.stats.count(name);
    }

    /// The policy in force here.
    pub fn policy(&self) -> Option<Arc<Policy>> {
        self.policy.borrow().clone()
    }

    /// The policy as it stands in the store.
    pub fn raw_policy(&self) -> Option<Rc<Vec<u8>>> {
        self.raw_policy.borrow().clone()
    }

    /// The router for the policy in force.
    pub fn router(&self) -> Rc<Router> {
        self.router.borrow().clone()
    }

    /// The keys of the policy in force.
    pub fn keys(&self) -> Rc<KeyRing> {
        self.keys.borrow().clone()
    }

    /// Takes in a version of the policy, unless one as new is in force.
    pub fn learn_policy(&self, value: &[u8]) {
        let known = self.raw_policy.borrow();
        if known.as_ref().is_some_and(|known| known.as_slice() == value) {
            return;
        }
        drop(known);
        let policy = match self.platform.policy(value) {
            Ok(policy) => policy,
            Err(problem) => {
                warn!(problem, "policy_unreadable");
                return;
            }
        };
        let before = self.policy().map(|p| p.version);
        if before.is_some_and(|before| before >= policy.version) {
            return;
        }
        let version = policy.version;
        let policy = Arc::new(policy);
        *self.router.borrow_mut() = Rc::new(Router::new(&policy));
        *self.keys.borrow_mut() = Rc::new(KeyRing::new(&policy));
        *self.policy.borrow_mut() = Some(policy.clone());
        *self.raw_policy.borrow_mut() = Some(Rc::new(value.to_vec()));
        info!(
            version,
            before,
            queues = policy.queues.len(),
            accounts = policy.accounts.len(),
            "policy_in_force"
        );
        if let Some(lead) = self.lead.borrow().as_ref() {
            lead.set_policy(policy);
        }
    }

    /// Takes in a wave of upkeep.
    pub fn learn_wave(&self, value: &[u8]) {
        let wave = match self.platform.wave(value) {
            Ok(wave) => wave,
            Err(problem) => {
                warn!(problem, "wave_unreadable");
                return;
            }
        };
        let mut waves = self.waves.borrow_mut();
        let known = waves.insert(wave.wave, wave.clone());
        if known.as_ref() == Some(&wave) {
            return;
        }
        info!(
            wave = wave.wave,
            machines = wave.machines.len(),
            within = wave.within,
            most = wave.most,
            "wave_known"
        );
        if let Some(lead) = self.lead.borrow().as_ref() {
            lead.announce_wave(wave);
        }
    }

    /// The waves of upkeep that are known.
    pub fn waves(&self) -> Vec<MaintenanceWave> {
        self.waves.borrow().values().cloned().collect()
    }

    /// The data centres that take no new work.
    pub fn cordons(&self) -> Cordons {
        self.cordons.borrow().clone()
    }

    /// Whether a data centre takes no new work.
    pub fn is_cordoned(&self, dc: &str) -> bool {
        self.cordons.borrow().covers(dc)
    }

    /// From which revision of the store on the cordons are known.
    pub fn cordons_since(&self) -> Revision {
        self.cordons.borrow().since()
    }

    /// Takes in which data centres take no new work, unless something as new
    /// is known, and tells the leader: the store may turn that away.
    pub fn learn_cordons(&self, cordons: Cordons) {
        if cordons.since() <= self.cordons_since() {
            return;
        }
        let before = self.cordons.replace(cordons.clone());
        let (known, revision) = (&self.cordons, cordons.since());
        for (cordon, revision) in known.borrow().iter() {
            if !before.covers(&cordon.dc) {
                let (dc, by) = (&cordon.dc, cordon.by);
                warn!(dc, ?by, revision, "dc_cordoned");
                self.count("dcs_cordoned");
            }
        }
        for (Cordon { dc, .. }, _) in before.iter() {
            if !cordons.covers(dc) {
                info!(dc, revision, "dc_opened");
                self.count("dcs_opened");
            }
        }
        self.stats.set_cordons(&cordons);
        if let Some(lead) = self.lead.borrow().as_ref() {
            lead.set_cordons(cordons);
        } else if let Some(link) = self.link.borrow().as_ref() {
            link.tell_cordons(cordons);
        }
    }

    /// Whether an order of the leader's is not carried out by this node: it
    /// knows what the leader did not, that its data centre takes no new work.
    /// The leader hears of that on the same channel before it hears the
    /// answer.
    pub fn withholds(&self, relayed: &RelayedOrder) -> bool {
        let withholds = relayed.order.is_start()
            && self.cordons_since() > relayed.cordons_since
            && self.is_cordoned(&self.settings.borrow().dc);
        if withholds {
            self.count("starts_withheld");
        }
        withholds
    }

    /// The newest leader that was heard of.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Takes in who leads, unless a newer one is known.
    pub fn learn_leader(&self, leader: Leader) {
        let known = self.leader.borrow().as_ref().map(|l| l.revision);
        if known.is_some_and(|known| known >= leader.revision) {
            return;
        }
        info!(node = leader.node, revision = leader.revision, "leader_known");
        if let Some(lead) = self.lead.borrow().as_ref() {
            if leader.life != self.life {
                lead.supersede(leader.revision);
            }
        }
        *self.leader.borrow_mut() = Some(leader);
        self.leader_changed.notify_waiters();
    }

    /// Asks the leader. A request whose answer does not come since the
    /// leader is gone is asked again of the next one: asking twice does what
    /// asking once does. A node that is cut off answers at once.
    pub async fn ask(&self, caller: Caller, request: Request) -> Outcome {
        if self.reach.is_cut_off() {
            self.count("refused_cut_off");
            return Outcome::Refused(NO_LEADER);
        }
        if self.closing.has_begun() {
            self.count("refused_closing");
            return Outcome::Refused(NO_LEADER);
        }
        let sent = Cell::new(false);
        tokio::select! {
            biased;
            outcome = self.ask_leader(caller, request, &sent) => outcome,
            () = self.reach.cut_off() => {
                self.count("given_up_cut_off");
                self.give_up(sent.get())
            }
            () = self.closing.begun() => {
                self.count("given_up_closing");
                self.give_up(sent.get())
            }
        }
    }

    /// Asks the leader, and tells by `sent` whether any leader may have
    /// taken the request.
    async fn ask_leader(
        &self,
        caller: Caller,
        request: Request,
        sent: &Cell<bool>,
    ) -> Outcome {
        let started = Instant::now();
        loop {
            let before = sent.get();
            let most = if before { ASK_TIMEOUT } else { NO_LEADER_TIMEOUT };
            if !self.wait_for_way(started + most).await {
                return self.give_up(before);
            }
            let (reply, answer) = oneshot::channel();
            if !self.pass_on(caller, request.clone(), reply) {
                continue;
            }
            sent.set(true);
            match timeout_at(started + ASK_TIMEOUT, answer).await {
                Ok(Ok(Outcome::Refused(0))) => sent.set(before),
                Ok(Ok(Outcome::Unknown) | Err(_)) => {}
                // Whoever was asked before may have taken it, and this one
                // may be the older leader.
                Ok(Ok(outcome)) if before && outcome.is_refusal() => {
                    return self.give_up(before);
                }
                Ok(Ok(outcome)) => return outcome,
                Err(_) => return self.give_up(true),
            }
            self.count("asked_again");
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    /// Whether this node may replace a leader whose lease still runs. Not
    /// often: that nobody listens there may be true only of its own way.
    pub fn may_replace_leader(&self) -> bool {
        let now = clock::mono();
        let may = now >= self.replaces_from.get()
            && self.has(Mechanism::ReplacedLeader);
        if may {
            self.replaces_from.set(now + REPLACE_AGAIN);
        }
        may
    }

    /// Whether another node is to be asked for its newer policy. One at a
    /// time: all at once would fill a narrow link.
    pub fn asks_for_policy(&self) -> bool {
        let now = clock::mono();
        let asks = now >= self.asks_policy_from.get();
        if asks {
            self.asks_policy_from.set(now + ASK_POLICY_AGAIN);
        }
        asks
    }

    fn give_up(&self, sent: bool) -> Outcome {
        if sent {
            self.count("unknown_no_answer");
            return Outcome::Unknown;
        }
        self.count("refused_no_leader");
        Outcome::Refused(NO_LEADER)
    }

    fn has_way(&self) -> bool {
        self.lead.borrow().is_some() || self.link.borrow().is_some()
    }

    async fn wait_for_way(&self, until: Instant) -> bool {
        loop {
            let changed = self.leader_changed.notified();
            if self.has_way() {
                return Instant::now() < until;
            }
            if timeout_at(until, changed).await.is_err() {
                return false;
            }
        }
    }

    /// Hands a request to the scheduler here, or to the link to it.
    fn pass_on(
        &self,
        caller: Caller,
        request: Request,
        reply: oneshot::Sender<Outcome>,
    ) -> bool {
        if let Some(lead) = self.lead.borrow().as_ref() {
            lead.ask(caller, request, reply);
            return true;
        }
        match self.link.borrow().as_ref() {
            Some(link) => {
                link.ask(caller, request, reply);
                true
            }
            None => false,
        }
    }
}

async fn listen(name: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|err| {
        Error::new(
            ErrorKind::Listen,
            format!("{name} {addr} can't be listened on: {err}"),
            "give an address of this machine and a port that is free",
        )
    })
}

/// What a running node is told from outside.
#[derive(Default)]
pub struct Orders {
    /// Stop as planned.
    pub stop: Notify,
    /// Take over the settings in `settings`.
    pub reload: Notify,
    /// New settings.
    pub settings: RefCell<Option<NodeSettings>>,
}

/// Takes over new settings, for ever. Addresses that are listened on stay
/// as they are until the node starts again.
async fn reload<P: Platform>(shared: Rc<Shared<P>>, orders: Rc<Orders>) {
    loop {
        orders.reload.notified().await;
        let Some(fresh) = orders.settings.borrow_mut().take() else {
            continue;
        };
        shared.peers.borrow_mut().extend(fresh.seeds.iter().copied());
        let mut settings = shared.settings.borrow_mut();
        settings.seeds = fresh.seeds;
        settings.executor_lease = fresh.executor_lease;
        settings.leader_lease = fresh.leader_lease;
        settings.keep_ended = fresh.keep_ended;
        settings.stop_within = fresh.stop_within;
        settings.cpu_millis = fresh.cpu_millis;
        settings.link_bytes_per_ms = fresh.link_bytes_per_ms;
        info!(seeds = settings.seeds.len(), "settings_reloaded");
    }
}

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// If an address can't be listened on.
pub async fn run<P: Platform>(
    platform: P,
    settings: NodeSettings,
    orders: Rc<Orders>,
) -> Result<()> {
    let front = listen("front", settings.front).await?;
    let ready = listen("ready", settings.ready).await?;
    let control = listen("control", settings.control).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(listen("metrics", address).await?),
        None => None,
    };
    let shared = Rc::new(Shared::new(platform, settings));
    info!(
        node = shared.settings.borrow().node,
        life = shared.life,
        "node_started"
    );
    actix_rt::spawn(ingress::serve_ready(ready, shared.clone()));
    if let Some(listener) = metrics {
        actix_rt::spawn(ingress::serve_metrics(listener, shared.clone()));
    }
    actix_rt::spawn(ingress::serve_front(front, shared.clone()));
    actix_rt::spawn(link::serve(control, shared.clone()));
    actix_rt::spawn(link::keep(shared.clone()));
    actix_rt::spawn(store_watch::run(shared.clone()));
    actix_rt::spawn(reach::watch(shared.clone()));
    let reload = reload(shared.clone(), orders.clone());
    actix_rt::spawn(reload);
    orders.stop.notified().await;
    info!("node_stops");
    let stopped_at = Instant::now();
    shared.draining.set(true);
    leader::hand_over(&shared).await;
    stop::drain(&shared, stopped_at).await;
    info!("node_stopped");
    Ok(())
}
