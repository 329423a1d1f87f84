/*!
The daemon: it joins the core, its clocks and its connections.

The control thread runs [`Node`] and everything that is not on the way of a
call: the platform, the VM list, summaries to peers, and the epochs and syncs
for targets. Callers are served by threads of their own, links by another.
*/

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use log::{info, warn};
use puffinknot_core::calls::CallId;
use puffinknot_core::ids::{TargetId, VmId};
use puffinknot_core::node::{Action, Event, Node, TargetError, Unread};
use puffinknot_core::store::Member;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock;
use crate::control::{Control, Input, Origin, Step, TrafficConfig};
use crate::error::{Error, ErrorKind, Result};
use crate::link::Links;
use crate::link_server::{accept, Credentials};
use crate::metrics::Metrics;
use crate::platform::{http_client, Platform};
use crate::platform_watch::{read_with_retries, watch_forever, LeaseKeeper};
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::vm_list::VmList;
use crate::wire::{self, Bequest, Hello, Request, Response};
use crate::{admin, entry, http, target};

/// How often the core is told that time has passed.
const TICK: Duration = Duration::from_millis(50);
/// How often the VM list is read.
const LIST_EVERY: Duration = Duration::from_millis(1_000);
/// How often summaries go to the peers of the data centre.
const SUMMARY_EVERY: Duration = Duration::from_millis(1_000);
/// A peer must answer a summary or a fetch within this time.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often metrics are sent.
const METRICS_EVERY: Duration = Duration::from_secs(1);

/// A daemon that runs on threads of its own.
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
    /// If a setting is wrong or an address can't be listened on.
    pub fn start(settings: Settings) -> Result<Daemon> {
        settings.validate()?;
        let entry = listen("--listen", settings.listen)?;
        let links = listen("--link", settings.link)?;
        let admin = listen("--admin", settings.admin)?;
        let addr = |l: &TcpListener| l.local_addr();
        let addrs = (addr(&entry), addr(&links), addr(&admin));
        let (Ok(listen), Ok(link), Ok(admin_addr)) = addrs else {
            let problem = "an address can't be found out";
            let remedy = "try again";
            return Err(Error::new(ErrorKind::Listen, problem, remedy));
        };
        let run = format!("{:08x}", rand::rng().random::<u32>());
        let vm = VmId(format!("{}.{run}", settings.vm));
        let (control, inputs) = Control::new(settings.max_calls);
        let seed = Seed {
            settings,
            run,
            control: control.clone(),
            link_addr: link,
            admin_addr,
        };
        let sockets = Sockets { entry, links, admin };
        let thread = std::thread::Builder::new()
            .name("control".into())
            .spawn(move || seed.run(sockets, inputs))
            .map_err(|err| {
                Error::new(ErrorKind::Listen, err.to_string(), "try again")
            })?;
        let admin = admin_addr;
        Ok(Daemon { vm, listen, link, admin, control, thread })
    }

    /// The name of this run of the daemon.
    pub fn vm(&self) -> &VmId {
        &self.vm
    }

    /// Where callers connect.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Where other entry VMs connect.
    pub fn link(&self) -> SocketAddr {
        self.link
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Begins a planned stop.
    pub fn drain(&self) {
        self.control.send(Input::Drain);
    }

    /// Stops at once, as if the process had been killed.
    pub fn halt(self) {
        self.control.send(Input::Halt);
        self.join();
    }

    /// The way to the control thread.
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
            format!("{flag} {addr} can't be listened on: {err}"),
            "choose an address of this VM and a port that is free",
        )
    })
}

struct Sockets {
    entry: TcpListener,
    links: TcpListener,
    admin: TcpListener,
}

/// The control thread's state beside the core.
struct Runner {
    settings: Settings,
    control: Control,
    node: Node,
    client: Client,
    platform: Platform,
    links: Links,
    hello: Hello,
    link_addr: SocketAddr,
    admin_addr: SocketAddr,
    steps: HashMap<CallId, mpsc::UnboundedSender<Step>>,
    targets: HashMap<TargetId, SocketAddr>,
    /// The entries of the VM list that could not be read last time.
    unreadable: Unread,
    /// Where links of entry VMs listen, to start from without the platform.
    entries: Vec<SocketAddr>,
    /// Tells the keeper of the lease to write this VM's entry anew.
    register: mpsc::UnboundedSender<bool>,
    registrations: Option<mpsc::UnboundedReceiver<bool>>,
    draining: Arc<AtomicBool>,
    metrics: Metrics,
    halted: bool,
    round: usize,
}

/// What a [`Runner`] is built from, on the thread that it stays on: clients
/// of `awc` can't move to another.
struct Seed {
    settings: Settings,
    run: String,
    control: Control,
    link_addr: SocketAddr,
    admin_addr: SocketAddr,
}

impl Seed {
    fn build(self) -> Runner {
        let settings = self.settings;
        let config = settings.node(&self.run);
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
        let (register, registrations) = mpsc::unbounded_channel();
        Runner {
            metrics: Metrics::new(&settings),
            node: Node::new(config),
            links: Links::new(hello.clone(), settings.ip()),
            client,
            platform,
            hello,
            control: self.control,
            link_addr: self.link_addr,
            admin_addr: self.admin_addr,
            steps: HashMap::new(),
            targets: HashMap::new(),
            unreadable: Unread::default(),
            entries: settings.peers.clone(),
            register,
            registrations: Some(registrations),
            draining: Arc::default(),
            halted: false,
            round: 0,
            settings,
        }
    }

    fn run(self, sockets: Sockets, inputs: mpsc::UnboundedReceiver<Input>) {
        actix_rt::System::new().block_on(async move {
            self.build().main(sockets, inputs).await;
        });
    }
}

impl Runner {
    async fn main(
        mut self,
        sockets: Sockets,
        mut inputs: mpsc::UnboundedReceiver<Input>,
    ) {
        info!("control: {} starts.", self.node.vm());
        let links = self.serve_links(sockets.links);
        let servers = self.serve(sockets.entry, sockets.admin);
        self.start_platform();
        self.start_list();
        let mut tick = tokio::time::interval(TICK);
        let mut gossip = tokio::time::interval(SUMMARY_EVERY);
        let mut metrics = tokio::time::interval(METRICS_EVERY);
        loop {
            tokio::select! {
                Some(input) = inputs.recv() => self.input(input),
                _ = tick.tick() => {
                    self.event(Event::Tick);
                    if self.halted || self.stopped() {
                        break;
                    }
                }
                _ = gossip.tick() => self.send_summaries(),
                _ = metrics.tick() => {
                    self.metrics.send(self.node.counters());
                }
            }
        }
        info!("control: {} stops.", self.node.vm());
        for server in servers {
            server.stop(!self.halted).await;
        }
        links.stop();
        self.metrics.send(self.node.counters());
    }

    /// Whether a planned stop has come to its end.
    fn stopped(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
            && self.node.drained()
            && self.control.in_progress() == 0
    }

    /// Starts the threads that serve callers and operators.
    fn serve(
        &self,
        callers: TcpListener,
        operators: TcpListener,
    ) -> Vec<actix_server::ServerHandle> {
        let ip = self.settings.ip();
        let (control, hello) = (self.control.clone(), self.hello.clone());
        let draining = self.draining.clone();
        let callers = http::serve(callers, self.settings.threads, move || {
            let traffic = Traffic::new(control.clone(), hello.clone(), ip);
            let draining = draining.clone();
            move |request| {
                let draining = draining.load(Ordering::Relaxed);
                entry::handle(traffic.clone(), draining, request)
            }
        });
        let control = self.control.clone();
        let secret = self.settings.secret.clone();
        let operators = http::serve(operators, 1, move || {
            let control = control.clone();
            let secret = secret.clone();
            move |request| {
                admin::handle(control.clone(), secret.clone(), request)
            }
        });
        let mut handles = Vec::new();
        for server in [callers, operators].into_iter().flatten() {
            handles.push(server.handle());
            actix_rt::spawn(async move {
                let _ = server.await;
            });
        }
        handles
    }

    fn serve_links(&self, listener: TcpListener) -> actix_rt::Arbiter {
        let credentials = Credentials {
            cell: self.hello.cell.clone(),
            proof: self.hello.proof,
        };
        let ip = self.settings.ip();
        let (control, hello) = (self.control.clone(), self.hello.clone());
        let arbiter = actix_rt::Arbiter::new();
        arbiter.spawn_fn(move || {
            let _ = listener.set_nonblocking(true);
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => {
                    let traffic = Traffic::new(control, hello, ip);
                    actix_rt::spawn(accept(listener, credentials, traffic));
                }
                Err(err) => warn!("link: can't listen: {err}."),
            }
        });
        arbiter
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.event(event),
            Input::Call(id, origin, call, steps) => {
                self.steps.insert(id, steps);
                self.event(match origin {
                    Origin::Caller => Event::Call(id, call),
                    Origin::Hop(scope) => Event::Hop(id, scope, call),
                });
            }
            Input::Status(reply) => {
                let _ = reply.send(self.node.status(clock::now()));
            }
            Input::Summary(theirs, reply) => {
                self.event(Event::Heard(theirs));
                let _ = reply.send(self.node.summary(clock::now()));
            }
            Input::Export(reply) => {
                let _ = reply.send(self.node.view().export());
            }
            Input::Drain => self.drain(),
            Input::Halt => self.halted = true,
            Input::VmList(list) => self.listed(list),
        }
    }

    fn listed(&mut self, list: VmList) {
        let unreadable = list.unreadable;
        if unreadable != self.unreadable {
            let (named, nameless) = (&unreadable.named, unreadable.nameless);
            warn!("list: can't be read: {named:?}, {nameless} without name.");
        }
        // A target whose entry can't be read stays where it was.
        self.targets.retain(|target, _| unreadable.may_be(target));
        self.targets.extend(list.addrs);
        let mut entries = self.settings.peers.clone();
        entries.extend(list.entries);
        self.entries = entries;
        self.unreadable = unreadable.clone();
        self.event(Event::ListedInPart(list.targets, unreadable));
    }

    fn drain(&mut self) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        info!("control: planned stop begins.");
        let control = self.control.clone();
        let wait = Duration::from_millis(self.settings.drain_ms);
        // The balancer needs a moment to see that this VM is not ready.
        actix_rt::spawn(async move {
            sleep(wait).await;
            control.event(Event::Drain);
        });
    }

    fn event(&mut self, event: Event) {
        if let Event::Abandoned(id) = &event {
            self.steps.remove(id);
        }
        let actions = self.node.handle(clock::now(), event);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
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
                let _ = self.register.send(draining);
            }
            Action::Ask { target, epoch } => self.probe(target, epoch),
            Action::Sync { target, request } => self.sync(target, request),
            Action::Dispatch { id, target, epoch } => {
                let request = self.node.request_id(id);
                match self.targets.get(&target) {
                    Some(&addr) => {
                        self.step(id, Step::Dispatch { addr, epoch, request })
                    }
                    None => self.not_dispatched(id),
                }
            }
            Action::Forward { id, vm, scope, call } => {
                match self.link_of(&vm) {
                    Some(addr) => {
                        self.step(id, Step::Forward { addr, scope, call });
                    }
                    None => self
                        .control
                        .event(Event::HopFailed { id, sent: false }),
                }
            }
            Action::Answer { id, outcome } => {
                self.step(id, Step::Answer(outcome));
                self.steps.remove(&id);
            }
            Action::Fetch { vm } => self.fetch(&vm),
            Action::Bequeath { vm, scope, epoch, memory } => {
                self.bequeath(&vm, Bequest { scope, epoch, memory });
            }
            Action::InForce(revision) => {
                info!("config: revision {revision} is in force.");
                let config = self.node.view().config().cloned();
                let shared =
                    TrafficConfig::new(revision, config.unwrap_or_default());
                self.control.publish(shared);
            }
        }
    }

    fn platform(&self) -> (Platform, Control) {
        (self.platform.clone(), self.control.clone())
    }

    /// Passes a step on to the call's traffic thread. If its caller has
    /// gone, a call that was to be sent is not.
    fn step(&mut self, id: CallId, step: Step) {
        let dispatch = matches!(step, Step::Dispatch { .. });
        let gone = match self.steps.get(&id) {
            Some(steps) => steps.send(step).is_err(),
            None => true,
        };
        if gone && dispatch {
            self.not_dispatched(id);
        }
    }

    fn not_dispatched(&self, id: CallId) {
        let attempt = puffinknot_core::node::Attempt::NotSent;
        self.control.event(Event::Attempted(id, attempt));
    }

    fn link_of(&self, vm: &VmId) -> Option<SocketAddr> {
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
            control.event(Event::Executor { target, epoch, result });
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
            control.event(Event::Synced { target, epoch, seq, result });
        });
    }

    fn fetch(&self, vm: &VmId) {
        let Some(addr) = self.link_of(vm) else { return };
        fetch_from(self.links.clone(), self.control.clone(), addr);
    }

    fn bequeath(&self, vm: &VmId, bequest: Bequest) {
        let scope = bequest.scope;
        let (links, control) = (self.links.clone(), self.control.clone());
        let Some(addr) = self.link_of(vm) else {
            let taken = false;
            control.event(Event::BequestEnded { scope, taken });
            return;
        };
        actix_rt::spawn(async move {
            let request = Request::Bequest(bequest);
            let answer = links.request(addr, &request, PEER_TIMEOUT).await;
            let taken = matches!(answer, Ok(Response::Noted));
            control.event(Event::BequestEnded { scope, taken });
        });
    }

    /// Sends a summary to every peer of the data centre and to one other,
    /// so that news gets everywhere in a few rounds.
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
            // Nothing is known yet: somebody on the list may know more.
            let seeds = self.entries.iter().copied();
            far.extend(seeds.filter(|addr| *addr != self.link_addr));
        }
        self.round += 1;
        if !far.is_empty() {
            near.insert(far[self.round % far.len()]);
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
                control.event(Event::Heard(theirs));
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
                sleep(LIST_EVERY).await;
            }
        });
    }

    fn start_platform(&mut self) {
        let (platform, control) = self.platform();
        actix_rt::spawn(watch_forever(platform, control));
        let Some(registrations) = self.registrations.take() else { return };
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
        actix_rt::spawn(keeper.run(registrations));
    }
}

fn fetch_from(links: Links, control: Control, peer: SocketAddr) {
    actix_rt::spawn(async move {
        let answer = links.request(peer, &Request::Fetch, PEER_TIMEOUT).await;
        if let Ok(Response::Stored(stored)) = answer {
            control.event(Event::Learned(stored));
        }
    });
}
