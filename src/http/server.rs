/*!
Accepts connections and serves them within limits.
*/

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{Request, StatusCode};
use actix_server::Server as WorkerServer;
use actix_service::fn_service;
use puffinknot_core::connections::ConnectionLimits;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::connection::{linger, write_refusal, Connection, HeadError};
use super::Reply;
use crate::registry::{limit_socket_buffers, Registry};

/// The default timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection is kept open by default.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// The default limits of one thread of a server.
const LIMITS: ConnectionLimits =
    ConnectionLimits { connections: 8_192, buffered_bytes: 256 << 20 };
/// How long a graceful stop waits for requests in progress.
const STOP_TIMEOUT_SECS: u64 = 30;
/// The maximum number of refused connections that wait for their clients.
const MAX_REFUSED_OPEN: usize = 32;

/// Counts an event of a server, such as a refused connection.
pub type Count = Arc<dyn Fn(&'static str) + Send + Sync>;

/// The options of a server.
#[derive(Clone)]
pub struct ServerOptions {
    /// The timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// How long an idle connection is kept open.
    pub keep_alive: Duration,
    /// The limits of each thread of the server.
    pub limits: ConnectionLimits,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            head_timeout: HEAD_TIMEOUT,
            keep_alive: KEEP_ALIVE,
            limits: LIMITS,
        }
    }
}

/// Starts a server with default options on `workers` threads. `make_handler`
/// is called on each thread to create its handler.
///
/// # Errors
///
/// If the listener can't be used.
pub fn serve<M, F, Fut>(
    listener: TcpListener,
    workers: usize,
    make_handler: M,
) -> std::io::Result<WorkerServer>
where
    M: Fn() -> F + Send + Clone + 'static,
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let count = Arc::new(|_| {});
    serve_with(
        listener,
        workers,
        ServerOptions::default(),
        count,
        make_handler,
    )
}

/// Starts a server with these options, see [`serve`]. `count` is called for
/// each refusal.
///
/// # Errors
///
/// If the listener can't be used.
pub fn serve_with<M, F, Fut>(
    listener: TcpListener,
    workers: usize,
    options: ServerOptions,
    count: Count,
    make_handler: M,
) -> std::io::Result<WorkerServer>
where
    M: Fn() -> F + Send + Clone + 'static,
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    listener.set_nonblocking(true)?;
    if let Err(err) = limit_socket_buffers(&listener) {
        log::warn!("http: can't limit the buffers of sockets: {err}.");
    }
    let server = WorkerServer::build()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(STOP_TIMEOUT_SECS)
        .listen("http", listener, move || {
            let handler = make_handler();
            let count = count.clone();
            let count = Rc::new(move |what| count(what));
            let server = Rc::new(Server::new(options.clone(), count));
            fn_service(move |tcp: TcpStream| {
                let (server, handler) = (server.clone(), handler.clone());
                async move {
                    server.serve(tcp, handler).await;
                    Ok::<_, Infallible>(())
                }
            })
        })?
        .run();
    Ok(server)
}

/// Serves connections on one thread.
pub struct Server {
    options: ServerOptions,
    registry: Rc<Registry>,
    /// The refused connections that are open.
    refused: Cell<usize>,
}

impl Server {
    /// Creates a server with these options. `count` is called for each
    /// refusal. Call this on a thread with a runtime.
    pub fn new(
        options: ServerOptions,
        count: Rc<dyn Fn(&'static str)>,
    ) -> Server {
        let registry = Registry::new(options.limits, count);
        Server { options, registry, refused: Cell::new(0) }
    }

    /// Serves a connection until it ends. A connection that breaks affects
    /// only its client.
    pub async fn serve<F, Fut>(&self, tcp: TcpStream, handler: F)
    where
        F: Fn(Request) -> Fut,
        Fut: Future<Output = Reply>,
    {
        // Without it, answers are only slower.
        let _ = tcp.set_nodelay(true);
        let Some(registration) = self.registry.open() else {
            return self.refuse(tcp).await;
        };
        let mut connection = Connection::new(tcp, registration);
        let mut idle_timeout = self.options.head_timeout;
        loop {
            let next = timeout(idle_timeout, connection.has_next()).await;
            if next != Ok(true) {
                return;
            }
            let head = connection.read_head();
            let head = timeout(self.options.head_timeout, head).await;
            let request = match head {
                Ok(Ok(request)) => request,
                Ok(Err(error)) => return self.reject(connection, error).await,
                Err(_) => {
                    self.registry.count("heads_late");
                    let status = StatusCode::REQUEST_TIMEOUT;
                    return connection.reject(status).await;
                }
            };
            match connection.answer(request, &handler).await {
                Some(reusable) => connection = reusable,
                None => return,
            }
            idle_timeout = self.options.keep_alive;
        }
    }

    /// Refuses a connection. The first few of those that are refused at the
    /// same time stay open until the client has read that.
    async fn refuse(&self, mut tcp: TcpStream) {
        self.registry.count("connections_refused");
        write_refusal(&mut tcp).await;
        if self.refused.get() < MAX_REFUSED_OPEN {
            self.refused.set(self.refused.get() + 1);
            linger(tcp).await;
            self.refused.set(self.refused.get() - 1);
        }
    }

    /// Refuses a request whose head can't be received.
    async fn reject(&self, connection: Connection, error: HeadError) {
        match error {
            HeadError::Ended | HeadError::Closed => {}
            HeadError::NoRoom => {
                self.registry.count("heads_refused");
                connection.refuse().await;
            }
            HeadError::Invalid(status) => {
                self.registry.count("heads_invalid");
                connection.reject(status).await;
            }
        }
    }
}
