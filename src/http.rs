/*!
The little that every HTTP server here needs beyond its library.

A server is a function from a request to a response, run on a number of
threads of its own. Bodies are read up to a limit in size and time, so that a
sender that is slow or never ends holds up nothing but itself.
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

/// A sender has this long for the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection without requests is kept for this long.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Requests in progress get this long when a server is stopped gracefully.
const STOP_TIMEOUT_SECS: u64 = 30;

/// Runs a server on `workers` threads. `make` builds the handler for each.
///
/// # Errors
///
/// If the listener can't be used.
pub fn serve<M, F, Fut>(
    listener: TcpListener,
    workers: usize,
    make: M,
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
            let handler = make();
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
    /// It is longer than the limit.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// It was cut or is not well formed.
    Broken,
}

/// Reads the body of a request.
///
/// # Errors
///
/// If it is longer than `limit` bytes, takes longer than `within`, or is
/// cut.
pub async fn read_body(
    payload: Payload,
    limit: usize,
    within: Duration,
) -> Result<Bytes, BodyError> {
    let read = collect(payload, limit);
    match tokio::time::timeout(within, read).await {
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

/// The value of a header, if it is there and is text.
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

/// A response with a line of text.
pub fn text(status: StatusCode, body: &str) -> Reply {
    Response::build(status)
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(format!("{body}\n"))
        .map_into_boxed_body()
}
