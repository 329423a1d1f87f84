/*!
The server side of links, which accepts connections from other entry VMs.

A connection that does not start with a valid hello is refused with a reason
and closed. Nothing that a peer sends can affect any connection but its own.
*/

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::{Connection, SendResponse};
use h2::RecvStream;
use log::{debug, warn};
use puffinknot_core::node::Event;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::control::{Input, Origin};
use crate::link::read;
use crate::registry::{Registration, Registry};
use crate::traffic::Traffic;
use crate::wire::{self, Handover, Hop, Request, Response};

/// The timeout of the handshake, including the hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum number of concurrent exchanges on one connection.
const MAX_STREAMS: u32 = 4_096;
/// The largest list of headers of a request, in bytes. Links use none.
const MAX_HEADER_BYTES: u32 = 4 << 10;
/// The flow-control window of a stream and of a connection of a known peer, in
/// bytes.
const WINDOW: u32 = 4 << 20;

/// What the hello of a peer must match.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// The cell that the peer must belong to.
    pub cell: String,
    /// The proof that the peer knows the cell's secret.
    pub proof: [u8; 32],
}

/// Accepts links forever, within the limits of a registry.
pub async fn accept(
    listener: TcpListener,
    credentials: Credentials,
    traffic: Traffic,
    registry: Rc<Registry>,
) {
    let credentials = Rc::new(credentials);
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let peer = PeerConnection {
                    credentials: credentials.clone(),
                    traffic: traffic.clone(),
                    from,
                };
                match registry.open() {
                    Some(registration) => {
                        actix_rt::spawn(peer.serve(stream, registration));
                    }
                    None => registry.count("peers_refused"),
                }
            }
            Err(err) => {
                warn!("link: can't accept a connection: {err}.");
                actix_rt::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

#[derive(Clone)]
struct PeerConnection {
    credentials: Rc<Credentials>,
    traffic: Traffic,
    from: SocketAddr,
}

impl PeerConnection {
    async fn serve(self, stream: TcpStream, mut registration: Registration) {
        // Without it, messages are only slower.
        let _ = stream.set_nodelay(true);
        let from = self.from;
        let handshake = timeout(HELLO_TIMEOUT, self.handshake(stream));
        let handshake = tokio::select! {
            result = handshake => result,
            () = registration.closed() => return,
        };
        match handshake {
            Ok(Ok(mut connection)) => {
                registration.set_pinned(true);
                connection.set_target_window_size(WINDOW);
                if let Err(err) = connection.set_initial_window_size(WINDOW) {
                    debug!("link: {from} keeps its small window: {err}.");
                }
                self.serve_exchanges(connection).await;
            }
            Ok(Err(problem)) => {
                warn!("link: refused {from}: {problem}.");
            }
            Err(_) => {
                warn!("link: refused {from}: no hello before the timeout.")
            }
        }
    }

    /// Completes the handshake: reads the hello and responds to it.
    async fn handshake(
        &self,
        stream: TcpStream,
    ) -> Result<Connection<TcpStream, Bytes>, String> {
        let mut connection = h2::server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .max_header_list_size(MAX_HEADER_BYTES)
            .handshake(stream)
            .await
            .map_err(|err| err.to_string())?;
        let first = connection.accept().await;
        let (request, respond) = first
            .ok_or("closed before the hello")?
            .map_err(|err| err.to_string())?;
        let body = request.into_body();
        let checked = {
            let hello = read(body, wire::MAX_HELLO);
            tokio::pin!(hello);
            // A stream makes progress only while its connection is polled.
            loop {
                tokio::select! {
                    bytes = &mut hello => break self.check_hello(bytes),
                    more = connection.accept() => {
                        if more.is_none() {
                            return Err("closed during the hello".into());
                        }
                    }
                }
            }
        };
        match checked {
            Ok(()) => {
                send(respond, &Response::Welcome);
                Ok(connection)
            }
            Err(problem) => {
                send(respond, &Response::Refused(problem.clone()));
                connection.graceful_shutdown();
                while connection.accept().await.is_some() {}
                Err(problem)
            }
        }
    }

    fn check_hello(&self, bytes: Result<Bytes, String>) -> Result<(), String> {
        let hello = wire::decode_hello(&bytes?)?;
        hello.check(&self.credentials.cell, &self.credentials.proof)
    }

    async fn serve_exchanges(
        self,
        mut connection: Connection<TcpStream, Bytes>,
    ) {
        while let Some(accepted) = connection.accept().await {
            match accepted {
                Ok((request, respond)) => {
                    let peer = self.clone();
                    let body = request.into_body();
                    actix_rt::spawn(peer.serve_exchange(body, respond));
                }
                Err(err) => {
                    debug!(
                        "link: connection from {} ended: {err}.",
                        self.from
                    );
                    return;
                }
            }
        }
    }

    async fn serve_exchange(
        self,
        body: RecvStream,
        respond: SendResponse<Bytes>,
    ) {
        let request = match read(body, wire::MAX_MESSAGE).await {
            Ok(bytes) => wire::decode::<Request>(&bytes),
            Err(problem) => Err(problem),
        };
        let response = match request {
            Ok(request) => self.answer(request).await,
            Err(problem) => {
                warn!("link: invalid request from {}: {problem}.", self.from);
                Response::Refused(problem)
            }
        };
        send(respond, &response);
    }

    async fn answer(&self, request: Request) -> Response {
        let control = self.traffic.control();
        let stopping = || Response::Refused("stopping".into());
        match request {
            Request::Summary(theirs) => {
                let ask = |tx| Input::Summary(theirs, tx);
                match control.query(ask).await {
                    Ok(ours) => Response::Summary(ours),
                    Err(_) => stopping(),
                }
            }
            Request::Fetch => match control.query(Input::Export).await {
                Ok(stored) => Response::Stored(stored),
                Err(_) => stopping(),
            },
            Request::Hop(Hop { scope, call, body }) => {
                let origin = Origin::Hop(scope);
                let run = self.traffic.run(origin, call, body.into());
                let (outcome, answer) = run.await;
                Response::Ended(outcome, answer)
            }
            Request::Bequest(Handover { scope, epoch, memory }) => {
                control.event(Event::HandoverReceived {
                    scope,
                    epoch,
                    memory,
                });
                Response::Noted
            }
        }
    }
}

fn send(mut respond: SendResponse<Bytes>, response: &Response) {
    let bytes = wire::encode(response).unwrap_or_default();
    let head = http::Response::new(());
    if let Ok(mut stream) = respond.send_response(head, false) {
        // An error means that the peer has disconnected.
        let _ = stream.send_data(bytes.into(), true);
    }
}
