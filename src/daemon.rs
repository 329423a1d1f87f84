/*!
The daemon, which connects the decision core to clocks and the network.

The control thread runs [`Node`] and all I/O that is not part of a call: the
platform, the VM list, summaries to peers, and epochs and syncs for targets.
Separate threads serve callers, operators and links.
*/

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use log::{info, warn};
use puffinknot_core::calls::CallId;
use puffinknot_core::ids::{TargetId, VmId};
use puffinknot_core::node::{
    Action, Event, Node, TargetError, UnreadableEntries,
};
use puffinknot_core::store::Member;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock;
use crate::control::{Control, Input, Origin, Step, TrafficConfig};
use crate::error::{Error, ErrorKind, Result};
use crate::http::{serve_with, Count, ServerOptions};
use crate::link::Links;
use crate::link_server::{accept, Credentials};
use crate::metrics::Metrics;
use crate::platform::{http_client, Platform};
use crate::platform_watch::{read_with_retries, watch_forever, LeaseKeeper};
use crate::registry::Registry;
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::vm_list::VmList;
use crate::wire::{self, Handover, Hello, Request, Response};
use crate::{admin, entry, target};

/// The interval between the core's [`Event::Tick`]s.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval between reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The interval between summaries to peers.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(1_000);
/// The timeout of a summary, a fetch or a handover.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The interval between transmissions of metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// A running daemon. It has its own threads.
pub struct Daemon {
    vm: VmId,
    listen: SocketAddr,
    link: SocketAddr,
    admin: SocketAddr,
    control: Control,
    thread: std::thread::JoinHandle<()>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// If a setting is invalid, an address can't be bound or the control
    /// thread can't be started.
    pub fn start(settings: Settings) -> Result<Daemon> {
        settings.validate()?;
        let entry = listen("--listen", settings.listen)?;
        let links = listen("--link", settings.link)?;
        let admin = listen("--admin", settings.admin)?;
        let addr = |l: &TcpListener| l.local_addr();
        let addrs = (addr(&entry), addr(&links), addr(&admin));
        let (Ok(listen), Ok(link), Ok(admin_addr)) = addrs else {
            let problem = "the address of a listener can't be read";
            let remedy = "try again";
            return Err(Error::new(ErrorKind::Listen, problem, remedy));
        };
        let incarnation = format!("{:08x}", rand::rng().random::<u32>());
        let vm = VmId(format!("{}.{incarnation}", settings.vm));
        let (control, inputs) = Control::new(settings.max_calls);
        let setup = ControlSetup {
            settings,
            incarnation,
            control: control.clone(),
            link_addr: link,
            admin_addr,
        };
        let listeners = Listeners { entry, links, admin };
        let thread = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || setup.run(listeners, inputs))
            .map_err(|err| {
                Error::new(ErrorKind::Listen, err.to_string(), "try again")
            })?;
        let admin = admin_addr;
        Ok(Daemon { vm, listen, link, admin, control, thread })
    }

    /// The name of this incarnation of the VM.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// The address that callers connect to.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// The address that other entry VMs connect to.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// The address that operators connect to.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Starts a planned shutdown.
    pub fn drain(&self) {
        self.control.send(Input::Drain);
    }

    /// Stops at once, as if the process had been killed.
    pub fn halt(self) {
        self.control.send(Input::Halt);
        self.join();
    }

    /// The handle of the control thread.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Waits until the daemon has stopped.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

fn listen(flag: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).map_err(|err| {
        Error::new(
            ErrorKind::Listen,
            format!("can't listen on {flag} {addr}: {err}"),
            "choose an address of this VM and a free port",
        )
    })
}

struct Listeners {
    entry: TcpListener,
    links: TcpListener,
    admin: TcpListener,
}

/// The control thread: the core, and the I/O that it asks for.
struct ControlThread {
    settings: Settings,
    control: Control,
    node: Node,
    client: Client,
    platform: Platform,
    links: Links,
    hello: Hello,
    link_addr: SocketAddr,
    admin_addr: SocketAddr,
    step_senders: HashMap<CallId, mpsc::UnboundedSender<Step>>,
    targets: HashMap<TargetId, SocketAddr>,
    /// The unreadable entries of the last VM list.
    unreadable: UnreadableEntries,
    /// Link addresses from the settings and the VM list. Summaries go there
    /// while no member is known from the platform or from peers.
    seed_peers: Vec<SocketAddr>,
    /// Tells the [`LeaseKeeper`] to rewrite this VM's member entry with this
    /// value of `draining`.
    draining_updates: mpsc::UnboundedSender<bool>,
    draining_receiver: Option<mpsc::UnboundedReceiver<bool>>,
    draining: Arc<AtomicBool>,
    metrics: Metrics,
    halted: bool,
    summary_round: usize,
}

/// What a [`ControlThread`] is built from. It is built on the control thread
/// itself because `awc` clients can't move between threads.
struct ControlSetup {
    settings: Settings,
    incarnation: String,
    control: Control,
    link_addr: SocketAddr,
    admin_addr: SocketAddr,
}

impl ControlSetup {
    fn build(self) -> ControlThread {
        let settings = self.settings;
        let config = settings.node_config(&self.incarnation);
        let client = http_client(settings.ip());
        let hello = Hello {
            magic: wire::MAGIC,
            version: wire::VERSION,
            cell: settings.cell.clone(),
            proof: wire::proof(&settings.cell, &settings.secret),
            vm: config.vm.clone(),
            dc: config.dc.clone(),
        };
        let platform =
            Platform::new(client.clone(), &settings.platform, &settings.cell);
        let (draining_updates, draining_receiver) = mpsc::unbounded_channel();
        ControlThread {
            metrics: Metrics::new(&settings),
            node: Node::new(config),
            links: Links::new(hello.clone(), settings.ip()),
            client,
            platform,
            hello,
            control: self.control,
            link_addr: self.link_addr,
            admin_addr: self.admin_addr,
            step_senders: HashMap::new(),
            targets: HashMap::new(),
            unreadable: UnreadableEntries::default(),
            seed_peers: settings.peers.clone(),
            draining_updates,
            draining_receiver: Some(draining_receiver),
            draining: Arc::default(),
            halted: false,
            summary_round: 0,
            settings,
        }
    }

    fn run(
        self,
        listeners: Listeners,
        inputs: mpsc::UnboundedReceiver<Input>,
    ) {
        actix_rt::System::new().block_on(async move {
            self.build().main(listeners, inputs).await;
        });
    }
}

impl ControlThread {
    async fn main(
        mut self,
        listeners: Listeners,
        mut inputs: mpsc::UnboundedReceiver<Input>,
    ) {
        info!("control: {} started.", self.node.vm());
        let links = self.serve_links(listeners.links);
        let servers = self.serve(listeners.entry, listeners.admin);
        self.start_platform();
        self.start_list();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        let mut summaries = tokio::time::interval(SUMMARY_INTERVAL);
        let mut metrics = tokio::time::interval(METRICS_INTERVAL);
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => self.handle_input(input),
                _ = tick.tick() => {
                    self.handle_event(Event::Tick);
                    if self.halted || self.stopped() {
                        break;
                    }
                }
                _ = summaries.tick() => self.send_summaries(),
                _ = metrics.tick() => {
                    self.metrics.send(self.node.counters());
                }
            }
        }
        info!("control: {} is stopping.", self.node.vm());
        for server in servers {
            server.stop(!self.halted).await;
        }
        links.stop();
        self.metrics.send(self.node.counters());
    }

    /// Whether a planned shutdown is complete.
    fn stopped(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
            && self.node.is_drained()
            && self.control.in_progress() == 0
    }

    /// Starts the HTTP servers for callers and operators.
    fn serve(
        &self,
        callers: TcpListener,
        operators: TcpListener,
    ) -> Vec<actix_server::ServerHandle> {
        let servers =
            [self.serve_callers(callers), self.serve_operators(operators)];
        let mut handles = Vec::new();
        for server in servers.into_iter().flatten() {
            handles.push(server.handle());
            actix_rt::spawn(async move {
                let _ = server.await;
            });
        }
        handles
    }

    fn serve_callers(
        &self,
        listener: TcpListener,
    ) -> std::io::Result<actix_server::Server> {
        let ip = self.settings.ip();
        let threads = self.settings.threads;
        let (control, hello) = (self.control.clone(), self.hello.clone());
        let draining = self.draining.clone();
        let make_handler = move || {
            let traffic = Traffic::new(control.clone(), hello.clone(), ip);
            let draining = draining.clone();
            move |request| {
                let draining = draining.load(Ordering::Relaxed);
                entry::handle(traffic.clone(), draining, request)
            }
        };
        let limits = self.settings.resources().clients().per_thread(threads);
        let options = ServerOptions { limits, ..ServerOptions::default() };
        serve_with(listener, threads, options, self.count(), make_handler)
    }

    fn serve_operators(
        &self,
        listener: TcpListener,
    ) -> std::io::Result<actix_server::Server> {
        let control = self.control.clone();
        let secret = self.settings.secret.clone();
        let make_handler = move || {
            let control = control.clone();
            let secret = secret.clone();
            move |request| {
                admin::handle(control.clone(), secret.clone(), request)
            }
        };
        let limits = self.settings.resources().monitoring();
        let options = ServerOptions { limits, ..ServerOptions::default() };
        serve_with(listener, 1, options, self.count(), make_handler)
    }

    /// Counts the events of servers.
    fn count(&self) -> Count {
        let events = self.metrics.events();
        Arc::new(move |what| events.count(what))
    }

    fn serve_links(&self, listener: TcpListener) -> actix_rt::Arbiter {
        let credentials = Credentials {
            cell: self.hello.cell.clone(),
            proof: self.hello.proof,
        };
        let ip = self.settings.ip();
        let (control, hello) = (self.control.clone(), self.hello.clone());
        let limits = self.settings.resources().peers();
        let events = self.metrics.events();
        let arbiter = actix_rt::Arbiter::new();
        arbiter.spawn_fn(move || {
            let count = Rc::new(move |what| events.count(what));
            let registry = Registry::new(limits, count);
            let _ = listener.set_nonblocking(true);
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    let traffic = Traffic::new(control, hello, ip);
                    let accept =
                        accept(listener, credentials, traffic, registry);
                    actix_rt::spawn(accept);
                }
                Err(err) => warn!("link: can't use the listener: {err}."),
            }
        });
        arbiter
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.handle_event(event),
            Input::Call(id, origin, call, sender) => {
                self.step_senders.insert(id, sender);
                self.handle_event(match origin {
                    Origin::Caller => Event::Call(id, call),
                    Origin::Hop(scope) => Event::Hop(id, scope, call),
                });
            }
            Input::Status(reply) => {
                let _ = reply.send(self.node.status(clock::now()));
            }
            Input::Summary(theirs, reply) => {
                self.handle_event(Event::SummaryReceived(theirs));
                let _ = reply.send(self.node.summary(clock::now()));
            }
            Input::Export(reply) => {
                let _ = reply.send(self.node.view().export());
            }
            Input::Drain => self.drain(),
            Input::Halt => self.halted = true,
            Input::VmList(list) => self.apply_vm_list(list),
            Input::ConfigConfirmed(at) => self.control.confirm_config(at),
        }
    }

    fn apply_vm_list(&mut self, list: VmList) {
        let unreadable = list.unreadable;
        if unreadable != self.unreadable {
            let (named, nameless) =
                (&unreadable.targets, unreadable.unidentified);
            warn!(
                "list: unreadable entries: {named:?}, \
                 {nameless} without a name."
            );
        }
        // A target whose entry may be among the unreadable ones keeps its
        // last known address.
        self.targets.retain(|target, _| unreadable.may_include(target));
        self.targets.extend(list.addrs);
        let mut seed_peers = self.settings.peers.clone();
        seed_peers.extend(list.entries);
        self.seed_peers = seed_peers;
        self.unreadable = unreadable.clone();
        self.handle_event(Event::ListedPartially(list.targets, unreadable));
    }

    fn drain(&mut self) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        info!("control: planned shutdown started.");
        let control = self.control.clone();
        let wait = Duration::from_millis(self.settings.drain_ms);
        // The load balancer needs time to notice that this VM is not ready.
        actix_rt::spawn(async move {
            sleep(wait).await;
            control.event(Event::Drain);
        });
    }

    fn handle_event(&mut self, event: Event) {
        if let Event::Abandoned(id) = &event {
            self.step_senders.remove(id);
        }
        let actions = self.node.handle(clock::now(), event);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Write(write) => {
                let (platform, control) = self.platform();
                actix_rt::spawn(async move {
                    let result = platform.write(&write).await;
                    let key = write.key;
                    control.event(Event::Written { key, result });
                });
            }
            Action::Read => {
                let (platform, control) = self.platform();
                actix_rt::spawn(async move {
                    read_with_retries(&platform, &control).await;
                });
            }
            Action::Register { draining } => {
                let _ = self.draining_updates.send(draining);
            }
            Action::QueryExecutor { target, epoch } => {
                self.probe(target, epoch)
            }
            Action::Sync { target, request } => self.sync(target, request),
            Action::Dispatch { id, target, epoch } => {
                let request = self.node.request_id(id);
                match self.targets.get(&target) {
                    Some(&addr) => self.send_step(
                        id,
                        Step::Dispatch { addr, epoch, request },
                    ),
                    None => self.report_not_sent(id),
                }
            }
            Action::Forward { id, vm, scope, call } => {
                match self.link_addr_of(&vm) {
                    Some(addr) => {
                        self.send_step(
                            id,
                            Step::Forward { addr, scope, call },
                        );
                    }
                    None => self
                        .control
                        .event(Event::HopFailed { id, sent: false }),
                }
            }
            Action::Answer { id, outcome } => {
                self.send_step(id, Step::Answer(outcome));
                self.step_senders.remove(&id);
            }
            Action::Fetch { vm } => self.fetch(&vm),
            Action::SendHandover { vm, scope, epoch, memory } => {
                self.hand_over(&vm, Handover { scope, epoch, memory });
            }
            Action::ConfigApplied(revision) => {
                info!("config: revision {revision} is active.");
                let config = self.node.view().config().cloned();
                let traffic_config =
                    TrafficConfig::new(revision, config.unwrap_or_default());
                self.control.publish(traffic_config);
            }
        }
    }

    fn platform(&self) -> (Platform, Control) {
        (self.platform.clone(), self.control.clone())
    }

    /// Passes a step to the traffic thread of a call. If the caller has
    /// disconnected, a dispatch is reported to the core as not sent.
    fn send_step(&mut self, id: CallId, step: Step) {
        let dispatch = matches!(step, Step::Dispatch { .. });
        let disconnected = match self.step_senders.get(&id) {
            Some(sender) => sender.send(step).is_err(),
            None => true,
        };
        if disconnected && dispatch {
            self.report_not_sent(id);
        }
    }

    fn report_not_sent(&self, id: CallId) {
        let attempt = puffinknot_core::node::Attempt::NotSent;
        self.control.event(Event::AttemptEnded(id, attempt));
    }

    fn link_addr_of(&self, vm: &VmId) -> Option<SocketAddr> {
        self.node.view().members().get(vm)?.addr.parse().ok()
    }

    fn probe(&self, target: TargetId, epoch: puffinknot_core::ids::Epoch) {
        let addr = self.targets.get(&target).copied();
        let (client, control) = (self.client.clone(), self.control.clone());
        actix_rt::spawn(async move {
            let result = match addr {
                Some(addr) => target::probe(&client, addr, &epoch).await,
                None => Err(TargetError::Unreachable),
            };
            control.event(Event::ExecutorReplied { target, epoch, result });
        });
    }

    fn sync(
        &self,
        target: TargetId,
        request: puffinknot_core::tasks::SyncRequest,
    ) {
        let addr = self.targets.get(&target).copied();
        let (client, control) = (self.client.clone(), self.control.clone());
        actix_rt::spawn(async move {
            let result = match addr {
                Some(addr) => target::sync(&client, addr, &request).await,
                None => Err(TargetError::Unreachable),
            };
            let (epoch, seq) = (request.epoch, request.seq);
            control.event(Event::SyncEnded { target, epoch, seq, result });
        });
    }

    fn fetch(&self, vm: &VmId) {
        let Some(addr) = self.link_addr_of(vm) else { return };
        fetch_from(self.links.clone(), self.control.clone(), addr);
    }

    fn hand_over(&self, vm: &VmId, handover: Handover) {
        let scope = handover.scope;
        let (links, control) = (self.links.clone(), self.control.clone());
        let Some(addr) = self.link_addr_of(vm) else {
            let taken = false;
            control.event(Event::HandoverEnded { scope, acknowledged: taken });
            return;
        };
        actix_rt::spawn(async move {
            let request = Request::Bequest(handover);
            let answer = links.request(addr, &request, PEER_TIMEOUT).await;
            let taken = matches!(answer, Ok(Response::Noted));
            control.event(Event::HandoverEnded { scope, acknowledged: taken });
        });
    }

    /// Sends a summary to every peer in this data centre and to one outside
    /// it, so that changes reach all VMs within a few rounds.
    fn send_summaries(&mut self) {
        let summary = self.node.summary(clock::now());
        let me = self.node.vm().clone();
        let members = self.node.view().members();
        let addr = |m: &Member| m.addr.parse::<SocketAddr>().ok();
        let mut near = HashSet::new();
        let mut far = Vec::new();
        for (vm, member) in members {
            if *vm == me {
                continue;
            }
            if member.dc == *self.node.dc() {
                near.extend(addr(member));
            } else {
                far.extend(addr(member));
            }
        }
        if members.is_empty() {
            // No member is known, so the peers from the settings and the VM
            // list are asked, and their platform values are fetched.
            let seeds = self.seed_peers.iter().copied();
            far.extend(seeds.filter(|addr| *addr != self.link_addr));
        }
        self.summary_round += 1;
        if !far.is_empty() {
            near.insert(far[self.summary_round % far.len()]);
        }
        for peer in near {
            let unknown = members.is_empty();
            self.send_summary(peer, &summary, unknown);
        }
    }

    fn send_summary(
        &self,
        peer: SocketAddr,
        summary: &puffinknot_core::node::Summary,
        fetch: bool,
    ) {
        let request = Request::Summary(summary.clone());
        let (links, control) = (self.links.clone(), self.control.clone());
        actix_rt::spawn(async move {
            let answer = links.request(peer, &request, PEER_TIMEOUT).await;
            if let Ok(Response::Summary(theirs)) = answer {
                control.event(Event::SummaryReceived(theirs));
                if fetch {
                    fetch_from(links, control, peer);
                }
            }
        });
    }

    fn start_list(&self) {
        let (client, control) = (self.client.clone(), self.control.clone());
        let url = self.settings.vm_list.clone();
        actix_rt::spawn(async move {
            loop {
                match VmList::fetch(&client, &url).await {
                    Ok(list) => control.send(Input::VmList(list)),
                    Err(err) => log::debug!("list: {err}."),
                }
                sleep(LIST_INTERVAL).await;
            }
        });
    }

    fn start_platform(&mut self) {
        let (platform, control) = self.platform();
        actix_rt::spawn(watch_forever(platform, control));
        let Some(receiver) = self.draining_receiver.take() else { return };
        let keeper = LeaseKeeper {
            platform: self.platform.clone(),
            control: self.control.clone(),
            ttl: self.settings.ttl,
            vm: self.node.vm().clone(),
            member: Member {
                dc: self.node.dc().clone(),
                addr: self.link_addr.to_string(),
                admin: self.admin_addr.to_string(),
                draining: false,
            },
        };
        actix_rt::spawn(keeper.run(receiver));
    }
}

fn fetch_from(links: Links, control: Control, peer: SocketAddr) {
    actix_rt::spawn(async move {
        let answer = links.request(peer, &Request::Fetch, PEER_TIMEOUT).await;
        if let Ok(Response::Stored(stored)) = answer {
            control.event(Event::ValuesReceived(stored));
        }
    });
}
