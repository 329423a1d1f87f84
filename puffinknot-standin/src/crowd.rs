/*!
Crowds of clients that send raw bytes on many connections at once, and what
they cost the process that they come to.
*/

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// How long a client waits for an answer, or for the end of its connection.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// How long a client that reads no answers keeps its connection open once it
/// has sent all that the node takes.
const HOLD_TIME: Duration = Duration::from_secs(2);

/// What each client of a crowd does.
#[derive(Clone, Debug)]
pub struct Client {
    /// Where the client connects to.
    pub address: SocketAddr,
    /// The bytes to send.
    pub bytes: Bytes,
    /// The size of the pieces in which they are sent.
    pub piece: usize,
    /// What the client reads.
    pub reads: Reads,
}

/// What a client reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reads {
    /// The first bytes of an answer.
    Answer,
    /// All that comes until the connection ends.
    UntilEnd,
    /// Nothing, while it keeps the connection open.
    Nothing,
}

impl Client {
    /// A client that sends everything in one piece and waits for the answer.
    pub fn new(address: SocketAddr, bytes: Vec<u8>) -> Client {
        let bytes = Bytes::from(bytes);
        let piece = bytes.len().max(1);
        Client { address, bytes, piece, reads: Reads::Answer }
    }

    async fn play(self) {
        // Whatever the node does to a client of the crowd is allowed.
        let Ok(mut tcp) = TcpStream::connect(self.address).await else {
            return;
        };
        if self.reads == Reads::Nothing {
            let _ = timeout(HOLD_TIME, self.send(&mut tcp)).await;
            return sleep(HOLD_TIME).await;
        }
        let _ = timeout(ANSWER_LIMIT, self.send(&mut tcp)).await;
        let _ = timeout(ANSWER_LIMIT, self.read(&mut tcp)).await;
    }

    async fn read(&self, tcp: &mut TcpStream) {
        let mut buffer = [0; 1_024];
        while let Ok(1..) = tcp.read(&mut buffer).await {
            if self.reads == Reads::Answer {
                return;
            }
        }
    }

    async fn send(&self, tcp: &mut TcpStream) -> std::io::Result<()> {
        for piece in self.bytes.chunks(self.piece) {
            tcp.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }
}

/// Plays all clients at once, and waits until each is done.
///
/// # Panics
///
/// If a client does.
pub async fn play(clients: impl IntoIterator<Item = Client>) {
    let played: Vec<_> = clients
        .into_iter()
        .map(|client| actix_rt::spawn(client.play()))
        .collect();
    for result in join_all(played).await {
        result.expect("a client does not panic");
    }
}

/// How often open descriptors are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// The largest resident memory of a process so far, in bytes, according to the
/// kernel.
///
/// # Panics
///
/// If there is no such process.
pub fn peak_memory(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
    let status = status.expect("the process lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.expect("a peak").trim().trim_end_matches(" kB");
    kilobytes.parse::<usize>().expect("a number") << 10
}

fn open_descriptors(pid: u32) -> usize {
    let entries = std::fs::read_dir(format!("/proc/{pid}/fd"));
    entries.map_or(0, Iterator::count)
}

/// Counts the open descriptors of a process again and again.
#[derive(Debug)]
pub struct DescriptorPeak {
    peak: Rc<Cell<usize>>,
    task: actix_rt::task::JoinHandle<()>,
}

impl DescriptorPeak {
    /// Starts to count.
    pub fn watch(pid: u32) -> DescriptorPeak {
        let peak = Rc::new(Cell::new(0));
        let observed = peak.clone();
        let task = actix_rt::spawn(async move {
            loop {
                observed.set(observed.get().max(open_descriptors(pid)));
                tokio::time::sleep(SAMPLE_INTERVAL).await;
            }
        });
        DescriptorPeak { peak, task }
    }

    /// The largest count so far.
    pub fn get(&self) -> usize {
        self.peak.get()
    }
}

impl Drop for DescriptorPeak {
    fn drop(&mut self) {
        self.task.abort();
    }
}
