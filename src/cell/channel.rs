/*!
Message channels between two nodes, over one bidirectional HTTP/2 stream.

Each message is encoded with `bincode` and prefixed with its length. Messages
sent within one iteration of the event loop leave together.
*/

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use crate::wire;

/// The timeout for opening a channel, and for each step of accepting one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The initial flow-control window of a stream and of a connection.
const WINDOW_BYTES: u32 = 4 << 20;
/// The largest message of a known peer, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// The largest list of headers of a peer, in bytes. Channels use none.
const MAX_HEADER_BYTES: u32 = 4 << 10;
/// The size of the length prefix of a message.
const PREFIX_BYTES: usize = 4;

/// The sending half of a channel. Clones send on the same channel.
#[derive(Clone)]
pub struct Sender {
    stream: Rc<RefCell<SendStream<Bytes>>>,
}

impl Sender {
    fn new(stream: SendStream<Bytes>) -> Sender {
        Sender { stream: Rc::new(RefCell::new(stream)) }
    }

    /// Queues a message. Returns `false` if it cannot be sent, usually because
    /// the channel is closed.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        let Ok(bytes) = wire::encode(message) else { return false };
        let mut frame = BytesMut::with_capacity(PREFIX_BYTES + bytes.len());
        frame.put_u32(bytes.len() as u32);
        frame.extend_from_slice(&bytes);
        let mut stream = self.stream.borrow_mut();
        stream.send_data(frame.freeze(), false).is_ok()
    }

    /// Resets the stream, which closes the channel in both directions.
    pub fn close(&self) {
        let mut stream = self.stream.borrow_mut();
        stream.send_reset(h2::Reason::CANCEL);
    }
}

/// The receiving half of a channel.
pub struct Receiver {
    stream: RecvStream,
    buffer: BytesMut,
    /// The largest message that is received, in bytes.
    limit: usize,
}

impl Receiver {
    fn new(stream: RecvStream, limit: usize) -> Receiver {
        Receiver { stream, buffer: BytesMut::new(), limit }
    }

    /// Receives larger messages from now on, since the peer is known.
    pub fn trust(&mut self) {
        self.limit = MAX_MESSAGE_BYTES;
    }

    /// Waits for the next message. Returns `None` if the channel is closed, or
    /// the message is too long or can't be decoded.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Option<T> {
        loop {
            if self.buffer.len() >= PREFIX_BYTES {
                let length = (&self.buffer[..PREFIX_BYTES]).get_u32() as usize;
                if length > self.limit {
                    return None;
                }
                if self.buffer.len() >= PREFIX_BYTES + length {
                    self.buffer.advance(PREFIX_BYTES);
                    let message = self.buffer.split_to(length);
                    return wire::decode(&message).ok();
                }
            }
            let chunk = self.stream.data().await?.ok()?;
            let flow = self.stream.flow_control();
            flow.release_capacity(chunk.len()).ok()?;
            self.buffer.extend_from_slice(&chunk);
        }
    }
}

/// Why a channel could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The machine answers, but nothing listens on the port: the process is
    /// gone.
    ConnectionRefused,
    /// The peer did not answer in time, or the connection failed.
    Unreachable,
}

/// Opens a channel to another node.
///
/// # Errors
///
/// Fails if the peer refuses the connection or can't be reached.
pub async fn open(peer: SocketAddr) -> Result<(Sender, Receiver), OpenError> {
    let opened = timeout(CONNECT_TIMEOUT, connect(peer)).await;
    opened.unwrap_or(Err(OpenError::Unreachable))
}

async fn connect(peer: SocketAddr) -> Result<(Sender, Receiver), OpenError> {
    let tcp = TcpStream::connect(peer).await.map_err(|err| {
        if err.kind() == std::io::ErrorKind::ConnectionRefused {
            OpenError::ConnectionRefused
        } else {
            OpenError::Unreachable
        }
    })?;
    handshake(tcp).await.map_err(|problem| {
        debug!(%peer, problem, "channel_not_opened");
        OpenError::Unreachable
    })
}

async fn handshake(tcp: TcpStream) -> Result<(Sender, Receiver), String> {
    let text = |err: &dyn std::fmt::Display| err.to_string();
    tcp.set_nodelay(true).map_err(|e| text(&e))?;
    let (client, connection) = h2::client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake(tcp)
        .await
        .map_err(|e| text(&e))?;
    actix_rt::spawn(async move {
        // The user of the channel notices that the connection has ended.
        let _ = connection.await;
    });
    let mut client = client.ready().await.map_err(|e| text(&e))?;
    let head = http::Request::post("http://node/").body(());
    let head = head.map_err(|e| text(&e))?;
    let (response, stream) =
        client.send_request(head, false).map_err(|e| text(&e))?;
    let response = response.await.map_err(|e| text(&e))?;
    let receiver = Receiver::new(response.into_body(), MAX_MESSAGE_BYTES);
    Ok((Sender::new(stream), receiver))
}

/// Accepts a channel on a connection, passes it to `serve`, and closes the
/// connection when that is done. The first message must be short; after it,
/// `serve` may [trust](Receiver::trust) the peer.
pub async fn accept<F, Fut>(tcp: TcpStream, serve: F)
where
    F: FnOnce(Sender, Receiver) -> Fut,
    Fut: std::future::Future<Output = ()>,
{
    // Without it, messages are only slower.
    let _ = tcp.set_nodelay(true);
    let builder = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(1)
        .handshake(tcp);
    let Ok(Ok(mut connection)) = timeout(CONNECT_TIMEOUT, builder).await
    else {
        return;
    };
    let first = timeout(CONNECT_TIMEOUT, connection.accept()).await;
    let Ok(Some(Ok((request, mut respond)))) = first else { return };
    let head = http::Response::new(());
    let Ok(stream) = respond.send_response(head, false) else { return };
    let receiver = Receiver::new(request.into_body(), wire::MAX_HELLO);
    let served = serve(Sender::new(stream), receiver);
    tokio::pin!(served);
    loop {
        tokio::select! {
            () = &mut served => break,
            next = connection.accept() => {
                if !matches!(next, Some(Ok(_))) {
                    // The channel notices that the connection has ended.
                    return served.await;
                }
            }
        }
    }
    connection.graceful_shutdown();
    let closed =
        async { while let Some(Ok(_)) = connection.accept().await {} };
    // A peer that does not close its side is disconnected.
    let _ = timeout(CONNECT_TIMEOUT, closed).await;
}
