/*!
A proxy on loopback that harms the connections through it.

Bytes that a fault holds back are kept and go on once it is over, as on a
network that was cut; a reset ends connections at once.

Several proxies may lie behind one [`Link`], whose bytes wait for each other.
*/

use std::net::{SocketAddr, TcpListener as StdListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, sleep_until};

/// How often bytes that are held back are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// The most bytes that are passed on at once.
const CHUNK: usize = 16 << 10;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Nothing.
    #[default]
    None,
    /// All that is sent arrives this much later.
    Delay(Duration),
    /// Nothing that is sent arrives, in either direction.
    Silent,
    /// Requests arrive; answers don't.
    AnswersLost,
    /// Requests don't arrive.
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
    fn holds(self, direction: Direction) -> bool {
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

/// What a link carries each way, and until when it is busy.
#[derive(Debug)]
struct LinkState {
    bytes_per_ms: u32,
    busy: [Instant; 2],
}

/// A link with a bandwidth and a queue, which the connections through some
/// proxies share. Bytes wait as long as it takes; none are dropped.
#[derive(Clone, Debug)]
pub struct Link(Arc<Mutex<LinkState>>);

impl Link {
    /// A link that carries so many bytes a millisecond each way.
    pub fn new(bytes_per_ms: u32) -> Link {
        let busy = [Instant::now(); 2];
        Link(Arc::new(Mutex::new(LinkState { bytes_per_ms, busy })))
    }

    /// Lets the link carry so many bytes a millisecond from now on.
    pub fn set_bytes_per_ms(&self, bytes_per_ms: u32) {
        self.lock().bytes_per_ms = bytes_per_ms;
    }

    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Queues so many bytes, and returns when they are through.
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
    harm: ProxyFault,
    /// Grows with each reset; connections from before are over.
    resets: u64,
    /// Grows each time open connections fall silent; those from before never
    /// carry a byte again.
    silences: u64,
    /// The number of connections so far.
    connections: u64,
    link: Option<Link>,
}

#[derive(Clone, Debug, Default)]
struct Shared(Arc<Mutex<State>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn harm(&self) -> ProxyFault {
        self.lock().harm
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
    /// Starts a proxy to `target` at any free port of loopback.
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
        let own = shared.clone();
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                tokio::select! {
                    () = accept(listener, target, own) => {}
                    _ = stopped => {}
                }
            });
        });
        Ok(Proxy { addr, shared, _stop: stop })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what happens to connections from now on.
    pub fn set_fault(&self, harm: ProxyFault) {
        self.shared.lock().harm = harm;
    }

    /// Puts the proxy behind a link.
    pub fn set_link(&self, link: &Link) {
        self.shared.lock().link = Some(link.clone());
    }

    /// The number of connections so far.
    pub fn connections(&self) -> u64 {
        self.shared.lock().connections
    }

    /// Lets all open connections fall silent for good, in both directions
    /// and without a reset. New ones work.
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
        if shared.harm() != ProxyFault::Refuse {
            shared.lock().connections += 1;
            actix_rt::spawn(pass(client, target, shared.clone()));
        }
    }
}

/// Serves one connection until either side closes it or it is reset.
async fn pass(client: TcpStream, target: SocketAddr, shared: Shared) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = client.set_zero_linger();
    let _ = server.set_zero_linger();
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let resets = shared.resets();
    let silences = shared.silences();
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = server.into_split();
    let up = carry(client_in, server_out, Direction::Request, shared.clone());
    let down = carry(server_in, client_out, Direction::Answer, shared.clone());
    // A connection that falls silent stays open, and its sockets with it.
    let (mut up, mut down) = (std::pin::pin!(up), std::pin::pin!(down));
    tokio::select! {
        biased;
        () = until_reset(&shared, resets) => {}
        () = until_silent(&shared, silences) => {
            // Neither side hears of the other any more.
            until_reset(&shared, resets).await;
        }
        () = &mut up => {}
        () = &mut down => {}
    }
}

async fn until_reset(shared: &Shared, resets: u64) {
    while shared.resets() == resets {
        sleep(LOOK).await;
    }
}

async fn until_silent(shared: &Shared, silences: u64) {
    while shared.silences() == silences {
        sleep(LOOK).await;
    }
}

async fn carry(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    shared: Shared,
) {
    let mut bytes = vec![0; CHUNK];
    loop {
        let Ok(count) = from.read(&mut bytes).await else { return };
        if count == 0 {
            return;
        }
        if let ProxyFault::Delay(delay) = shared.harm() {
            sleep(delay).await;
        }
        while shared.harm().holds(direction) {
            sleep(LOOK).await;
        }
        if let Some(link) = shared.link() {
            sleep_until(link.queue(count, direction).into()).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
