/*!
Helpers for HTTP servers.

A server is a function from a request to a response, run on its own threads.
Reading a body is limited in size and time, so that a slow or endless sender
delays only its own request.
*/

use std::convert::Infallible;
use std::future::Future;
use std::net::TcpListener;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderMap, CONTENT_TYPE};
use actix_http::{HttpService, Payload, Request, Response, StatusCode};
use actix_server::Server;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;

/// The response of a server.
pub type Reply = Response<BoxBody>;

/// The timeout of receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection is kept open.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long a graceful stop waits for requests in progress.
const STOP_TIMEOUT_SECS: u64 = 30;

/// Starts a server on `workers` threads. `make_handler` is called on each
/// thread to create its handler.
///
/// # Errors
///
/// If the listener can't be used.
pub fn serve<M, F, Fut>(
    listener: TcpListener,
    workers: usize,
    make_handler: M,
) -> std::io::Result<Server>
where
    M: Fn() -> F + Send + Clone + 'static,
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    listener.set_nonblocking(true)?;
    let server = Server::build()
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(STOP_TIMEOUT_SECS)
        .listen("http", listener, move || {
            let handler = make_handler();
            HttpService::build()
                .client_request_timeout(HEAD_TIMEOUT)
                .keep_alive(KEEP_ALIVE)
                .finish(move |request: Request| {
                    let reply = handler(request);
                    async move { Ok::<_, Infallible>(reply.await) }
                })
                .tcp()
        })?
        .run();
    Ok(server)
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The body did not arrive before the timeout.
    TooSlow,
    /// The body was cut off or is malformed.
    Broken,
}

/// Reads the body of a request.
///
/// # Errors
///
/// If it is longer than `limit` bytes, takes longer than `time_limit`, or is
/// cut off.
pub async fn read_body(
    payload: Payload,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyError> {
    let read = collect(payload, limit);
    match tokio::time::timeout(time_limit, read).await {
        Ok(result) => result,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect(
    mut payload: Payload,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// The value of a header, if it is present and visible ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// A plain text response. A newline is appended to `body`.
pub fn text(status: StatusCode, body: &str) -> Reply {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(format!("{body}\n"))
        .map_into_boxed_body()
}
