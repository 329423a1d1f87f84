/*!
Messages between two nodes: one HTTP/2 stream each way.

A message is encoded with `bincode` and preceded by its length. Messages that
are sent within one turn of the event loop leave together.
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

/// A connection must be made within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The flow-control window of a stream and of a connection, in bytes.
const WINDOW: u32 = 4 << 20;
/// The bytes of a message's length.
const LENGTH: usize = 4;

/// The sending side of a channel. Clones send on the same channel.
#[derive(Clone)]
pub struct Sender {
    stream: Rc<RefCell<SendStream<Bytes>>>,
}

impl Sender {
    fn new(stream: SendStream<Bytes>) -> Sender {
        Sender { stream: Rc::new(RefCell::new(stream)) }
    }

    /// Sends a message. Returns whether the channel is still open.
    pub fn send<T: Serialize>(&self, message: &T) -> bool {
        let Ok(bytes) = wire::encode(message) else { return false };
        let mut frame = BytesMut::with_capacity(LENGTH + bytes.len());
        frame.put_u32(bytes.len() as u32);
        frame.extend_from_slice(&bytes);
        let mut stream = self.stream.borrow_mut();
        stream.send_data(frame.freeze(), false).is_ok()
    }

    /// Ends the channel.
    pub fn close(&self) {
        let mut stream = self.stream.borrow_mut();
        stream.send_reset(h2::Reason::CANCEL);
    }
}

/// The receiving side of a channel.
pub struct Receiver {
    stream: RecvStream,
    buffer: BytesMut,
}

impl Receiver {
    fn new(stream: RecvStream) -> Receiver {
        Receiver { stream, buffer: BytesMut::new() }
    }

    /// The next message, or `None` if the channel has ended.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Option<T> {
        loop {
            if self.buffer.len() >= LENGTH {
                let length = (&self.buffer[..LENGTH]).get_u32() as usize;
                if length > wire::MAX_MESSAGE {
                    return None;
                }
                if self.buffer.len() >= LENGTH + length {
                    self.buffer.advance(LENGTH);
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

/// Why a channel can't be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// The machine answers, but nobody listens there: the process is gone.
    ConnectionRefused,
    /// There is no answer in time, or it breaks off.
    Unreachable,
}

/// Opens a channel to another node.
///
/// # Errors
///
/// Why it can't be opened.
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
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake(tcp)
        .await
        .map_err(|e| text(&e))?;
    actix_rt::spawn(async move {
        // Whoever uses the channel sees its end.
        let _ = connection.await;
    });
    let mut client = client.ready().await.map_err(|e| text(&e))?;
    let head = http::Request::post("http://node/").body(());
    let head = head.map_err(|e| text(&e))?;
    let (response, stream) =
        client.send_request(head, false).map_err(|e| text(&e))?;
    let response = response.await.map_err(|e| text(&e))?;
    let receiver = Receiver::new(response.into_body());
    Ok((Sender::new(stream), receiver))
}

/// Accepts a channel on a connection, and drives the connection until it
/// ends. `serve` is given the channel.
pub async fn accept<F, Fut>(tcp: TcpStream, serve: F)
where
    F: FnOnce(Sender, Receiver) -> Fut,
    Fut: std::future::Future<Output = ()> + 'static,
{
    let _ = tcp.set_nodelay(true);
    let builder = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
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
    let receiver = Receiver::new(request.into_body());
    actix_rt::spawn(serve(Sender::new(stream), receiver));
    // The channel sees the end of the connection.
    while let Some(Ok(_)) = connection.accept().await {}
}
