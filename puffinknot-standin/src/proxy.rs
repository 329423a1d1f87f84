/*!
A loopback proxy that injects faults into the connections through it.

Bytes that a fault holds back are delivered once it ends, as after a network
partition. A reset ends connections at once.

Several proxies may share one [`Link`], whose bandwidth limits their total
traffic.

A proxy may limit its connections, as an executor does. Silenced connections
count for as long as it runs, as if their clients had lost power.
*/

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until};

/// The interval at which connections check whether a fault has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The most bytes that are forwarded at once.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// A fault that affects all connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk that is read is delayed by this time, in both directions.
    Delay(Duration),
    /// Nothing arrives in either direction.
    Silent,
    /// Requests arrive, but answers don't.
    AnswersLost,
    /// Requests don't arrive, but answers do.
    RequestsLost,
    /// New connections are closed at once.
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl ProxyFault {
    fn blocks(self, direction: Direction) -> bool {
        match self {
            ProxyFault::Silent => true,
            ProxyFault::AnswersLost => direction == Direction::Answer,
            ProxyFault::RequestsLost => direction == Direction::Request,
            ProxyFault::None | ProxyFault::Delay(_) | ProxyFault::Refuse => {
                false
            }
        }
    }
}

/// The bandwidth of a link, and until when each direction is busy.
#[derive(Debug)]
struct LinkState {
    bytes_per_ms: u32,
    busy: [Instant; 2],
}

/// A link with limited bandwidth and an unbounded queue, which the connections
/// through several proxies share. No bytes are dropped.
#[derive(Clone, Debug)]
pub struct Link(Arc<Mutex<LinkState>>);

impl Link {
    /// Creates a link that carries this many bytes per millisecond in each
    /// direction.
    pub fn new(bytes_per_ms: u32) -> Link {
        let busy = [Instant::now(); 2];
        Link(Arc::new(Mutex::new(LinkState { bytes_per_ms, busy })))
    }

    /// Sets the bandwidth in bytes per millisecond in each direction.
    pub fn set_bytes_per_ms(&self, bytes_per_ms: u32) {
        self.lock().bytes_per_ms = bytes_per_ms;
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues bytes and returns the instant at which the last one has passed.
    fn queue(&self, bytes: usize, direction: Direction) -> Instant {
        let mut state = self.lock();
        let micros = bytes as u64 * 1_000 / u64::from(state.bytes_per_ms);
        let busy = &mut state.busy[direction as usize];
        *busy = (*busy).max(Instant::now()) + Duration::from_micros(micros);
        *busy
    }
}

#[derive(Debug, Default)]
struct State {
    fault: ProxyFault,
    /// Incremented by each reset, which ends all connections opened before.
    resets: u64,
    /// Incremented each time open connections are silenced. Connections
    /// opened before never carry a byte again.
    silences: u64,
    /// The number of connections so far.
    connections: u64,
    /// The number of open connections.
    open: usize,
    /// The maximum number of open connections.
    max_open: Option<usize>,
    /// The number of connections that were reset because of that limit.
    refused: u64,
    link: Option<Link>,
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn fault(&self) -> ProxyFault {
        self.lock().fault
    }

    fn resets(&self) -> u64 {
        self.lock().resets
    }

    fn silences(&self) -> u64 {
        self.lock().silences
    }

    fn link(&self) -> Option<Link> {
        self.lock().link.clone()
    }
}

/// A running proxy. It stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    shared: Shared,
    _stop: oneshot::Sender<()>,
}

impl Proxy {
    /// Starts a proxy to `target` on any free loopback port.
    ///
    /// # Errors
    ///
    /// If no port can be listened on.
    pub fn start(target: SocketAddr) -> std::io::Result<Proxy> {
        let listener = StdListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let shared = Shared::default();
        let (stop, stopped) = oneshot::channel::<()>();
        let served = shared.clone();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                tokio::select! {
                    () = accept(listener, target, served) => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Proxy { addr, shared, _stop: stop })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault, which takes effect on open connections too.
    /// [`ProxyFault::Refuse`] affects only new ones.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.shared.lock().fault = fault;
    }

    /// Puts the proxy behind a link.
    pub fn set_link(&self, link: &Link) {
        self.shared.lock().link = Some(link.clone());
    }

    /// The number of connections so far.
    pub fn connections(&self) -> u64 {
        self.shared.lock().connections
    }

    /// The number of connections that are open, silenced ones included.
    pub fn open_connections(&self) -> usize {
        self.shared.lock().open
    }

    /// Sets the maximum number of open connections. Further ones are reset.
    pub fn set_max_open(&self, max: usize) {
        self.shared.lock().max_open = Some(max);
    }

    /// The number of connections that were reset because of the limit.
    pub fn refused(&self) -> u64 {
        self.shared.lock().refused
    }

    /// Silences all open connections for good, in both directions and without
    /// a reset. New connections work.
    pub fn silence_open(&self) {
        self.shared.lock().silences += 1;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.shared.lock().resets += 1;
    }
}

async fn accept(listener: StdListener, target: SocketAddr, shared: Shared) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    while let Ok((client, _)) = listener.accept().await {
        if shared.fault() == ProxyFault::Refuse {
            continue;
        }
        let Some(open) = OpenConnection::new(&shared) else {
            // Closing then resets the connection.
            let _ = client.set_zero_linger();
            continue;
        };
        let shared = shared.clone();
        actix_rt::spawn(async move {
            serve_connection(client, target, shared).await;
            drop(open);
        });
    }
}

/// Counts a connection while it is open.
struct OpenConnection(Shared);

impl OpenConnection {
    /// Counts a new connection, unless there are too many.
    fn new(shared: &Shared) -> Option<OpenConnection> {
        let mut state = shared.lock();
        if state.max_open.is_some_and(|max| state.open >= max) {
            state.refused += 1;
            return None;
        }
        state.connections += 1;
        state.open += 1;
        Some(OpenConnection(shared.clone()))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

/// Serves one connection until either side closes it or it is reset.
async fn serve_connection(
    client: TcpStream,
    target: SocketAddr,
    shared: Shared,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_zero_linger();
    let _ = server.set_zero_linger();
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let resets = shared.resets();
    let silences = shared.silences();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let forwarded = |from, to, direction| {
        forward(from, to, direction, shared.clone(), silences)
    };
    let up = forwarded(client_in, server_out, Direction::Request);
    let down = forwarded(server_in, client_out, Direction::Answer);
    // Pinned outside of `select!`, so that a silenced connection keeps its
    // sockets open.
    let (mut up, mut down) = (std::pin::pin!(up), std::pin::pin!(down));
    tokio::select! {
        biased;
        () = until_reset(&shared, resets) => {}
        () = until_silent(&shared, silences) => {
            // Neither side learns any more what the other does.
            until_reset(&shared, resets).await;
        }
        () = &mut up => {}
        () = &mut down => {}
    }
}

async fn until_reset(shared: &Shared, resets: u64) {
    while shared.resets() == resets {
        sleep(POLL_INTERVAL).await;
    }
}

async fn until_silent(shared: &Shared, silences: u64) {
    while shared.silences() == silences {
        sleep(POLL_INTERVAL).await;
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    shared: Shared,
    silences: u64,
) {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            return;
        }
        if let ProxyFault::Delay(delay) = shared.fault() {
            sleep(delay).await;
        }
        while shared.fault().blocks(direction) {
            sleep(POLL_INTERVAL).await;
        }
        if let Some(link) = shared.link() {
            sleep_until(link.queue(count, direction).into()).await;
        }
        if shared.silences() != silences {
            // Nothing passes any more, even before the caller notices it.
            std::future::pending::<()>().await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
