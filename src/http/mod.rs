/*!
HTTP servers, and helpers for them.

A server is a function from a request to a response. What its clients send,
how long they take and what they leave unread delays only their own requests:
heads, bodies and answers have timeouts, a connection holds one request at a
time, and the connections and what they buffer are limited, see
[`puffinknot_core::connections`].
*/

mod connection;
mod format;
mod server;

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::error::PayloadError;
use actix_http::header::{HeaderMap, CONTENT_TYPE};
use actix_http::{Payload, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;

pub use self::server::{serve, serve_with, Count, Server, ServerOptions};

/// The response of a server.
pub type Reply = Response<BoxBody>;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    TooLarge,
    /// The body did not arrive before the timeout.
    TooSlow,
    /// The body was cut off or is malformed.
    Broken,
    /// The server has no room for the body.
    NoRoom,
}

/// Reads the body of a request.
///
/// # Errors
///
/// If it is longer than `limit` bytes, takes longer than `time_limit`, is cut
/// off, or the server has no room for it.
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
        let chunk = chunk.map_err(|err| match err {
            PayloadError::Overflow => BodyError::NoRoom,
            _ => BodyError::Broken,
        })?;
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
