/*!
A node: the state that its parts share, its start and its shutdown.

Everything but the writing of logs runs on one thread. The machines of nodes
provide a fraction of one core: a second thread would only add wake-ups, and
with one thread the state needs no locks.
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
    CallCredentials, Cordon, Cordons, KeyRing, MaintenanceWave, Mechanism,
    Mechanisms, Outcome, Policy, PolicyAge, PolicyLimits, Request,
    Suspensions,
};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout_at, Instant};
use tracing::{info, warn};

use crate::cell::call_slots::CallSlots;
use crate::cell::leader::{self, LeaderHandle};
use crate::cell::link::{self, LinkHandle};
use crate::cell::ports::{Leader, Platform};
use crate::cell::reachability::{self, Reachability};
use crate::cell::relay::RelayedOrder;
use crate::cell::shutdown::{self, Closing};
use crate::cell::stats::Stats;
use crate::cell::store::{self, Store};
use crate::cell::{ingress, store_watch};
use crate::clock;
use crate::error::{Error, ErrorKind, Result};
use crate::resources::Resources;

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name of the node.
    pub node: String,
    /// The data centre of the node.
    pub dc: String,
    /// The address that clients connect to.
    pub front: SocketAddr,
    /// The address that answers readiness checks.
    pub ready: SocketAddr,
    /// The address that other nodes connect to.
    pub control: SocketAddr,
    /// The address that serves metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Control addresses of other nodes, to find the leader while the store
    /// can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// The maximum lease of an executor, in milliseconds.
    pub executor_lease: Millis,
    /// The lease of the leader key without the time added for a slow link, in
    /// milliseconds. See [`NodeSettings::leader_key_ttl`].
    pub leader_lease: Millis,
    /// How long ended jobs are retained, in milliseconds.
    pub ended_retention: Millis,
    /// Within which time every node must follow a policy that the store has
    /// confirmed, in milliseconds.
    pub policy_bound: Millis,
    /// The timeout for a graceful shutdown, in milliseconds.
    pub shutdown_timeout: Millis,
    /// The processor time that the machine provides, in thousandths of a core.
    /// Larger machines are preferred as leader.
    pub cpu_millis: u32,
    /// The bandwidth of the machine's link, in bytes per millisecond.
    pub link_bytes_per_ms: u32,
    /// What the process may use.
    pub resources: Resources,
    /// The mechanisms, and which of them are enabled.
    pub mechanisms: Mechanisms,
}

impl NodeSettings {
    /// The lease of the leader key, in milliseconds. On a narrow link,
    /// renewals queue behind the data that a takeover reads; with a shorter
    /// lease, the key would expire before the takeover is complete.
    pub fn leader_key_ttl(&self) -> Millis {
        self.leader_lease + store::takeover_time(self.link_bytes_per_ms)
    }
}

/// How long a leader may send orders after the store has last confirmed its
/// lease.
pub const MAX_UNCONFIRMED_MS: Millis = 6_000;
/// The timeout for a request to the leader, retries included.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_600);
/// How long a request that was not sent yet waits for a connection to a
/// leader.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// When a client should retry if no leader is available.
const NO_LEADER_RETRY_AFTER_MS: Millis = 1_000;
/// The minimum interval between attempts of a node to replace a leader whose
/// lease has not expired. Longer than most network partitions that affect only
/// this node.
const REPLACE_INTERVAL_MS: Millis = 8_000;
/// The minimum interval between requests for a newer policy.
const POLICY_REQUEST_INTERVAL_MS: Millis = 500;

/// The host and the path that a client has sent a request to.
#[derive(Clone, Debug)]
pub struct RequestAddress {
    /// The host, with or without a port.
    pub host: String,
    /// The path.
    pub path: String,
}

/// The part of the time for which cancelled jobs are remembered within which
/// a submission must reach the leader.
const MAX_REQUEST_AGE_DIVISOR: Millis = 2;
/// A node that doesn't read its clock for this long may just be busy.
const MIN_SUSPENSION_MS: Millis = 2_000;

/// The state that the parts of a node share.
pub struct NodeState<P> {
    /// The platform of the cell.
    pub platform: Rc<P>,
    /// The store of the platform.
    pub store: Rc<Store<P>>,
    /// The open calls to executors.
    pub calls: CallSlots,
    /// The settings in effect.
    pub settings: RefCell<NodeSettings>,
    /// The incarnation of the node: a number that differs for each start.
    pub incarnation: u64,
    policy: RefCell<Option<Arc<Policy>>>,
    router: RefCell<Rc<Router>>,
    keys: RefCell<Rc<KeyRing>>,
    raw_policy: RefCell<Option<Rc<Vec<u8>>>>,
    policy_age: Cell<PolicyAge>,
    suspensions: Cell<Suspensions>,
    leader: RefCell<Option<Leader>>,
    cordons: RefCell<Cordons>,
    /// The maintenance waves that operators have requested, by number.
    waves: RefCell<BTreeMap<u64, MaintenanceWave>>,
    /// Notified when the leader, or the connection to it, changes.
    pub leader_changed: Notify,
    /// Notified when a pending watch of the store may be on a dead connection:
    /// another source has fallen silent, or knows of changes.
    pub watch_doubted: Notify,
    /// Whether this node is claiming the leadership.
    pub claiming: Cell<bool>,
    /// When this node may next ask another node for its policy.
    policy_request_allowed_at: Cell<Millis>,
    /// When this node may next replace a leader whose lease has not expired.
    replacement_allowed_at: Cell<Millis>,
    /// The handle of the local leader, while this node leads.
    pub lead: RefCell<Option<LeaderHandle>>,
    /// The connection to the leader, while another node leads.
    pub link: RefCell<Option<LinkHandle>>,
    /// Whether the leader and the store can be reached.
    pub reachability: Reachability,
    /// Known control addresses of other nodes.
    pub peers: RefCell<BTreeSet<SocketAddr>>,
    /// Whether the node is shutting down.
    pub draining: Cell<bool>,
    /// The closing phase, shortly before the shutdown timeout expires.
    pub closing: Closing,
    /// The number of client requests that are not answered yet.
    pub open_requests: Cell<usize>,
    /// The metrics of the node.
    pub stats: Stats,
}

impl<P: Platform> NodeState<P> {
    fn new(platform: P, settings: NodeSettings) -> NodeState<P> {
        let platform = Rc::new(platform);
        NodeState {
            store: Rc::new(Store::new(
                platform.clone(),
                &settings.mechanisms,
                settings.link_bytes_per_ms,
            )),
            platform,
            calls: CallSlots::default(),
            incarnation: rand::random(),
            policy: RefCell::default(),
            router: RefCell::default(),
            keys: RefCell::default(),
            raw_policy: RefCell::default(),
            policy_age: Cell::default(),
            suspensions: Cell::new(Suspensions::new(clock::mono())),
            leader: RefCell::default(),
            cordons: RefCell::default(),
            waves: RefCell::default(),
            leader_changed: Notify::new(),
            watch_doubted: Notify::new(),
            claiming: Cell::new(false),
            policy_request_allowed_at: Cell::new(0),
            replacement_allowed_at: Cell::new(0),
            lead: RefCell::default(),
            link: RefCell::default(),
            reachability: Reachability::default(),
            peers: RefCell::new(settings.seeds.iter().copied().collect()),
            draining: Cell::new(false),
            closing: Closing::default(),
            open_requests: Cell::new(0),
            stats: Stats::default(),
            settings: RefCell::new(settings),
        }
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.settings.borrow().mechanisms.enabled(mechanism)
    }

    /// Increments the counter of an event.
    pub fn count(&self, name: &'static str) {
        self.stats.count(name);
    }

    /// The policy in effect on this node.
    pub fn policy(&self) -> Option<Arc<Policy>> {
        self.policy.borrow().clone()
    }

    /// The version of the policy in effect.
    pub fn policy_version(&self) -> Option<u64> {
        self.policy.borrow().as_ref().map(|policy| policy.version)
    }

    /// The encoded policy, as it is in the store.
    pub fn raw_policy(&self) -> Option<Rc<Vec<u8>>> {
        self.raw_policy.borrow().clone()
    }

    /// The router for the policy in effect.
    pub fn router(&self) -> Rc<Router> {
        self.router.borrow().clone()
    }

    /// The keys of the policy in effect.
    pub fn key_ring(&self) -> Rc<KeyRing> {
        self.keys.borrow().clone()
    }

    /// Puts a policy into effect and passes it to the leader on this node.
    /// Ignores it if the policy in effect is at least as new, or if it can't
    /// be parsed.
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
        let before = self.policy_version();
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

    /// Records that the store had no newer policy than the one in effect at
    /// the monotonic time `at`.
    pub fn confirm_policy(&self, at: Millis) {
        let version = self.policy_version().unwrap_or(0);
        self.observe_policy(version, at);
    }

    /// Records that the store had no newer policy than `version` at the
    /// monotonic time `at`.
    pub fn observe_policy(&self, version: u64, at: Millis) {
        let mut age = self.policy_age.get();
        age.observe(version, at);
        self.policy_age.set(age);
    }

    /// For how many milliseconds it has been unknown whether the policy in
    /// effect is still the newest. `None` if that was never known, or if there
    /// is a newer one.
    pub fn policy_age(&self) -> Option<Millis> {
        let version = self.policy_version().unwrap_or(0);
        self.policy_age.get().of(version, clock::mono())
    }

    /// Waits until the policy is so old that the store has to be asked anew.
    pub async fn wait_until_policy_recheck(&self) {
        loop {
            let known_at = self.policy_age.get().known_at().unwrap_or(0);
            let due = known_at + self.policy_limits().recheck_age();
            let pause = due.saturating_sub(clock::mono());
            if pause == 0 {
                return;
            }
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// The time limits by which this node follows the policy.
    pub fn policy_limits(&self) -> PolicyLimits {
        PolicyLimits::new(self.settings.borrow().policy_bound)
    }

    /// Whether the policy in effect was the newest so lately that what it
    /// rules out may be refused for good.
    pub fn is_policy_current(&self) -> bool {
        self.is_policy_within(self.policy_limits().max_age())
    }

    /// Whether the policy in effect was the newest so lately that this node
    /// may confirm it to other nodes while it leads.
    pub fn may_confirm_policy(&self) -> bool {
        self.is_policy_within(self.policy_limits().max_confirmed_age())
    }

    fn is_policy_within(&self, max_age: Millis) -> bool {
        self.policy_age().is_some_and(|age| age <= max_age)
    }

    /// Notices whether this node was suspended. Call this regularly.
    pub fn observe_suspensions(&self) {
        let retention = self.settings.borrow().ended_retention;
        let max_age =
            (retention / MAX_REQUEST_AGE_DIVISOR).max(MIN_SUSPENSION_MS);
        let now = clock::mono();
        let mut suspensions = self.suspensions.get();
        if let Some(pause) = suspensions.observe(now, max_age) {
            warn!(pause, "was_suspended");
            self.count("suspended");
        }
        self.suspensions.set(suspensions);
    }

    /// Whether a submission that is read now may be older than the memory of
    /// its cancellation, since this node was suspended.
    pub fn may_read_outdated(&self) -> bool {
        self.observe_suspensions();
        self.suspensions.get().may_be_outdated(clock::mono())
    }

    /// Remembers a maintenance wave, and passes it to the leader on this node
    /// if it is new or has changed.
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

    /// The known maintenance waves.
    pub fn waves(&self) -> Vec<MaintenanceWave> {
        self.waves.borrow().values().cloned().collect()
    }

    /// The known cordons. Cordoned data centres accept no new work.
    pub fn cordons(&self) -> Cordons {
        self.cordons.borrow().clone()
    }

    /// Whether a data centre is cordoned.
    pub fn is_cordoned(&self, dc: &str) -> bool {
        self.cordons.borrow().covers(dc)
    }

    /// The store revision at which the known cordons were current.
    pub fn cordons_since(&self) -> Revision {
        self.cordons.borrow().since()
    }

    /// Remembers the cordons, unless those known are at least as new, and
    /// reports them to the leader, since the store may not answer the leader.
    pub fn learn_cordons(&self, cordons: Cordons) {
        if cordons.since() <= self.cordons_since() {
            return;
        }
        let before = self.cordons.replace(cordons.clone());
        let (current, known_revision) = (&self.cordons, cordons.since());
        for (cordon, revision) in current.borrow().iter() {
            if !before.covers(&cordon.dc) {
                let (dc, by) = (&cordon.dc, cordon.by);
                warn!(dc, ?by, revision, "dc_cordoned");
                self.count("dcs_cordoned");
            }
        }
        for (Cordon { dc, .. }, _) in before.iter() {
            if !cordons.covers(dc) {
                info!(dc, revision = known_revision, "dc_opened");
                self.count("dcs_opened");
            }
        }
        self.stats.set_cordons(&cordons);
        if let Some(lead) = self.lead.borrow().as_ref() {
            lead.set_cordons(cordons);
        } else if let Some(link) = self.link.borrow().as_ref() {
            link.send_cordons(cordons);
        }
    }

    /// Whether this node refuses to carry out a relayed order. It refuses to
    /// start a task if its data centre is cordoned and the cordons it knows
    /// are newer than those that the leader knew. Counts the refusal. The
    /// leader receives the cordons on the same channel before the answer, so
    /// that it knows them by then.
    pub fn refuses_start(&self, relayed: &RelayedOrder) -> bool {
        let refuses = relayed.order.is_start()
            && self.cordons_since() > relayed.cordons_since
            && self.is_cordoned(&self.settings.borrow().dc);
        if refuses {
            self.count("starts_withheld");
        }
        refuses
    }

    /// The newest known leader.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    /// Records a leader, unless one that is at least as new is known. A leader
    /// on this node is superseded if the new one is another node or another
    /// incarnation of this node.
    pub fn learn_leader(&self, leader: Leader) {
        let known = self.leader.borrow().as_ref().map(|l| l.revision);
        if known.is_some_and(|known| known >= leader.revision) {
            return;
        }
        info!(node = leader.node, revision = leader.revision, "leader_known");
        if let Some(lead) = self.lead.borrow().as_ref() {
            if leader.life != self.incarnation {
                lead.supersede(leader.revision);
            }
        }
        *self.leader.borrow_mut() = Some(leader);
        self.leader_changed.notify_waiters();
    }

    /// Forwards a request to the leader and returns the outcome. If the leader
    /// is lost before it answers, the request is sent again to the next
    /// leader, which is safe because requests are idempotent. If the node is
    /// isolated or closing, or becomes so, the request is given up at once.
    pub async fn ask(
        &self,
        address: &RequestAddress,
        caller: CallCredentials,
        request: Request,
    ) -> Outcome {
        if self.reachability.is_isolated() {
            self.count("refused_cut_off");
            return Outcome::Refused(NO_LEADER_RETRY_AFTER_MS);
        }
        if self.closing.has_begun() {
            self.count("refused_closing");
            return Outcome::Refused(NO_LEADER_RETRY_AFTER_MS);
        }
        let sent = Cell::new(false);
        tokio::select! {
            biased;
            outcome = self.ask_leader(address, caller, request, &sent) => {
                outcome
            }
            () = self.reachability.wait_until_isolated() => {
                self.count("given_up_cut_off");
                self.give_up(sent.get())
            }
            () = self.closing.begun() => {
                self.count("given_up_closing");
                self.give_up(sent.get())
            }
        }
    }

    /// Sends a request to the leader, with retries. Sets `sent` to whether any
    /// leader may have accepted the request.
    async fn ask_leader(
        &self,
        address: &RequestAddress,
        mut caller: CallCredentials,
        mut request: Request,
        sent: &Cell<bool>,
    ) -> Outcome {
        let started = Instant::now();
        loop {
            let sent_before = sent.get();
            let max_wait = if sent_before {
                REQUEST_TIMEOUT
            } else {
                LEADER_WAIT_TIMEOUT
            };
            if !self.wait_for_leader_route(started + max_wait).await {
                return self.give_up(sent_before);
            }
            let (reply, answer) = oneshot::channel();
            if !self.forward(caller, request.clone(), reply) {
                continue;
            }
            sent.set(true);
            match timeout_at(started + REQUEST_TIMEOUT, answer).await {
                // The node that was asked did nothing, and the request is to
                // be sent again.
                Ok(Ok(Outcome::Refused(0))) => sent.set(sent_before),
                Ok(Ok(Outcome::Unknown) | Err(_)) => {}
                // An earlier recipient may have accepted the request. A
                // refusal does not rule this out: the node that refuses it may
                // be the older leader.
                Ok(Ok(outcome)) if sent_before && outcome.is_refusal() => {
                    return self.give_up(sent_before);
                }
                Ok(Ok(outcome)) => return outcome,
                Err(_) => return self.give_up(true),
            }
            self.count("asked_again");
            sleep(RETRY_DELAY).await;
            if !self.route_again(address, &mut caller, &mut request) {
                return match sent.get() {
                    true => self.give_up(true),
                    false => Outcome::NoSuchQueue,
                };
            }
        }
    }

    /// Routes a request by the newest policy, if it was routed by an older
    /// one: by now its queue may have another name. Returns `false` if no
    /// queue has its address any more.
    fn route_again(
        &self,
        address: &RequestAddress,
        caller: &mut CallCredentials,
        request: &mut Request,
    ) -> bool {
        let Some(policy) = self.policy() else { return true };
        if policy.version <= caller.policy {
            return true;
        }
        let router = self.router();
        let found = router.find(&address.host, &address.path);
        let Some(queue) = found.and_then(|(q, _)| policy.queues.get(q)) else {
            return false;
        };
        caller.policy = policy.version;
        request.set_queue(queue);
        true
    }

    /// Whether this node may replace a leader whose lease has not expired.
    /// Grants this at most once per `REPLACE_INTERVAL_MS`, since the address
    /// of the leader may refuse connections only on the path from this node.
    pub fn take_replacement_permit(&self) -> bool {
        let now = clock::mono();
        let allowed = now >= self.replacement_allowed_at.get()
            && self.is_enabled(Mechanism::ReplacedLeader);
        if allowed {
            self.replacement_allowed_at.set(now + REPLACE_INTERVAL_MS);
        }
        allowed
    }

    /// Whether this node may ask another one for its newer policy. Grants this
    /// at most once per `POLICY_REQUEST_INTERVAL_MS`: the answers of all
    /// nodes at once would fill a narrow link.
    pub fn take_policy_request_permit(&self) -> bool {
        let now = clock::mono();
        let allowed = now >= self.policy_request_allowed_at.get();
        if allowed {
            self.policy_request_allowed_at
                .set(now + POLICY_REQUEST_INTERVAL_MS);
        }
        allowed
    }

    /// The outcome of a request that is given up. It is unknown if a leader
    /// may have accepted the request.
    fn give_up(&self, sent: bool) -> Outcome {
        if sent {
            self.count("unknown_no_answer");
            return Outcome::Unknown;
        }
        self.count("refused_no_leader");
        Outcome::Refused(NO_LEADER_RETRY_AFTER_MS)
    }

    /// Whether this node leads or is connected to the leader.
    fn has_leader_route(&self) -> bool {
        self.lead.borrow().is_some() || self.link.borrow().is_some()
    }

    /// Waits for a route to the leader. Returns whether there was one before
    /// `until`.
    async fn wait_for_leader_route(&self, until: Instant) -> bool {
        loop {
            let changed = self.leader_changed.notified();
            if self.has_leader_route() {
                return Instant::now() < until;
            }
            if timeout_at(until, changed).await.is_err() {
                return false;
            }
        }
    }

    /// Passes a request to the leader on this node, or sends it over the link.
    /// Returns `false` if there is neither.
    fn forward(
        &self,
        caller: CallCredentials,
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
            format!("cannot listen on the {name} address {addr}: {err}"),
            "use an address of this machine and a free port",
        )
    })
}

/// Signals to a running node from the process that runs it.
#[derive(Default)]
pub struct NodeSignals {
    /// Starts a graceful shutdown.
    pub stop: Notify,
    /// Applies the settings in `settings`.
    pub reload: Notify,
    /// The new settings.
    pub settings: RefCell<Option<NodeSettings>>,
}

/// Applies new settings whenever it is told to. Never returns. The name, the
/// data centre, the addresses, the resources and the mechanisms of the node
/// don't change before the node is restarted.
async fn reload<P: Platform>(
    shared: Rc<NodeState<P>>,
    signals: Rc<NodeSignals>,
) {
    loop {
        signals.reload.notified().await;
        let Some(new_settings) = signals.settings.borrow_mut().take() else {
            continue;
        };
        shared.peers.borrow_mut().extend(new_settings.seeds.iter().copied());
        let mut settings = shared.settings.borrow_mut();
        settings.seeds = new_settings.seeds;
        settings.executor_lease = new_settings.executor_lease;
        settings.leader_lease = new_settings.leader_lease;
        settings.ended_retention = new_settings.ended_retention;
        settings.policy_bound = new_settings.policy_bound;
        settings.shutdown_timeout = new_settings.shutdown_timeout;
        settings.cpu_millis = new_settings.cpu_millis;
        settings.link_bytes_per_ms = new_settings.link_bytes_per_ms;
        info!(seeds = settings.seeds.len(), "settings_reloaded");
    }
}

/// Runs a node until it is told to stop, and shuts it down gracefully.
///
/// # Errors
///
/// Fails if the node can't listen on one of its addresses.
pub async fn run<P: Platform>(
    platform: P,
    settings: NodeSettings,
    signals: Rc<NodeSignals>,
) -> Result<()> {
    let front = listen("front", settings.front).await?;
    let ready = listen("ready", settings.ready).await?;
    let control = listen("control", settings.control).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(listen("metrics", address).await?),
        None => None,
    };
    let shared = Rc::new(NodeState::new(platform, settings));
    info!(
        node = shared.settings.borrow().node,
        life = shared.incarnation,
        "node_started"
    );
    actix_rt::spawn(ingress::serve_ready(ready, shared.clone()));
    if let Some(listener) = metrics {
        actix_rt::spawn(ingress::serve_metrics(listener, shared.clone()));
    }
    actix_rt::spawn(ingress::serve_front(front, shared.clone()));
    actix_rt::spawn(link::serve(control, shared.clone()));
    actix_rt::spawn(link::maintain(shared.clone()));
    actix_rt::spawn(store_watch::run(shared.clone()));
    actix_rt::spawn(reachability::watch(shared.clone()));
    let reload = reload(shared.clone(), signals.clone());
    actix_rt::spawn(reload);
    signals.stop.notified().await;
    info!("node_stops");
    let stopped_at = Instant::now();
    shared.draining.set(true);
    leader::hand_over(&shared).await;
    shutdown::drain(&shared, stopped_at).await;
    info!("node_stopped");
    Ok(())
}
