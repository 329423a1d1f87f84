/*!
The client side of links: HTTP/2 connections to other entry VMs that carry
`bincode` messages.

Each thread has its own connections, which are opened on demand. The error of
an exchange says whether any byte of the request may have been sent, because
only then may the request have taken effect.
*/

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::RecvStream;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::wire::{self, Hello, Request, Response};

/// The timeout of connecting, and of waiting for a free stream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The flow-control window of a stream and of a connection, in bytes.
const WINDOW: u32 = 4 << 20;

/// The value of [`payload_bytes`].
static PAYLOAD_BYTES: AtomicU64 = AtomicU64::new(0);

/// The bytes of messages that this process has sent and received on links,
/// without the framing of HTTP/2.
pub fn payload_bytes() -> u64 {
    PAYLOAD_BYTES.load(Ordering::Relaxed)
}

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkError {
    /// Whether any byte of the request may have been sent.
    pub sent: bool,
    /// The description of the failure.
    pub problem: String,
}

impl LinkError {
    fn unsent(problem: impl ToString) -> LinkError {
        LinkError { sent: false, problem: problem.to_string() }
    }

    fn sent(problem: impl ToString) -> LinkError {
        LinkError { sent: true, problem: problem.to_string() }
    }
}

/// The open links of one thread.
#[derive(Clone)]
pub struct Links {
    hello: Rc<Hello>,
    ip: IpAddr,
    connections: Rc<RefCell<HashMap<SocketAddr, SendRequest<Bytes>>>>,
}

impl Links {
    /// Creates links that send `hello` first and connect from `ip`.
    pub fn new(hello: Hello, ip: IpAddr) -> Links {
        let hello = Rc::new(hello);
        Links { hello, ip, connections: Rc::default() }
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// If connecting fails, the peer refuses the connection, or there is no
    /// response within `time_limit`, which starts once there is a connection.
    pub async fn request(
        &self,
        peer: SocketAddr,
        request: &Request,
        time_limit: Duration,
    ) -> Result<Response, LinkError> {
        let bytes = wire::encode(request).map_err(LinkError::unsent)?;
        let sender = self.sender(peer).await?;
        let exchange = exchange(sender, bytes);
        let result = match timeout(time_limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(LinkError::sent("no response before the timeout")),
        };
        if result.is_err() {
            // The next request opens a new connection. Other exchanges on
            // this one continue.
            self.connections.borrow_mut().remove(&peer);
        }
        result
    }

    /// An open or new connection that is ready to send a request.
    async fn sender(
        &self,
        peer: SocketAddr,
    ) -> Result<SendRequest<Bytes>, LinkError> {
        let open = self.connections.borrow().get(&peer).cloned();
        if let Some(sender) = open {
            if let Ok(Ok(sender)) =
                timeout(CONNECT_TIMEOUT, sender.ready()).await
            {
                return Ok(sender);
            }
        }
        self.connections.borrow_mut().remove(&peer);
        let connect = self.connect(peer);
        let sender = match timeout(CONNECT_TIMEOUT, connect).await {
            Ok(result) => result?,
            Err(_) => {
                return Err(LinkError::unsent(
                    "no connection before the timeout",
                ))
            }
        };
        self.connections.borrow_mut().insert(peer, sender.clone());
        Ok(sender)
    }

    async fn connect(
        &self,
        peer: SocketAddr,
    ) -> Result<SendRequest<Bytes>, LinkError> {
        let stream = self.open_tcp(peer).await.map_err(LinkError::unsent)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = h2::client::Builder::new()
            .initial_window_size(WINDOW)
            .initial_connection_window_size(WINDOW)
            .handshake(stream)
            .await
            .map_err(LinkError::unsent)?;
        actix_rt::spawn(async move {
            // The users of the connection notice when it ends.
            let _ = connection.await;
        });
        let hello = wire::encode(&*self.hello).map_err(LinkError::unsent)?;
        match exchange(sender.clone(), hello).await {
            Ok(Response::Welcome) => Ok(sender),
            Ok(Response::Refused(why)) => Err(LinkError::unsent(why)),
            Ok(_) => {
                Err(LinkError::unsent("unexpected response to the hello"))
            }
            Err(err) => Err(LinkError::unsent(err.problem)),
        }
    }

    async fn open_tcp(&self, peer: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = match peer {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(self.ip, 0))?;
        socket.connect(peer).await
    }
}

async fn exchange(
    sender: SendRequest<Bytes>,
    bytes: Vec<u8>,
) -> Result<Response, LinkError> {
    let mut sender = sender.ready().await.map_err(LinkError::unsent)?;
    PAYLOAD_BYTES.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    let head = http::Request::post("http://link/");
    let head = head.body(()).map_err(LinkError::unsent)?;
    let (response, mut body) =
        sender.send_request(head, false).map_err(LinkError::unsent)?;
    body.send_data(bytes.into(), true).map_err(LinkError::sent)?;
    let response = response.await.map_err(LinkError::sent)?;
    let bytes = read(response.into_body(), wire::MAX_MESSAGE)
        .await
        .map_err(LinkError::sent)?;
    wire::decode(&bytes).map_err(LinkError::sent)
}

/// Reads a message of at most `limit` bytes from a stream.
///
/// # Errors
///
/// If it is longer, or the stream is cut off.
pub async fn read(
    mut stream: RecvStream,
    limit: usize,
) -> Result<Bytes, String> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|err| err.to_string())?;
        if bytes.len() + chunk.len() > limit {
            return Err(format!("message is over {limit} bytes"));
        }
        let released = stream.flow_control().release_capacity(chunk.len());
        released.map_err(|err| err.to_string())?;
        bytes.extend_from_slice(&chunk);
    }
    PAYLOAD_BYTES.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    Ok(bytes.freeze())
}
