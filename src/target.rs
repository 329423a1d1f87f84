/*!
The client of targets: executors, which answer calls, and workers, which run
tasks. docs/TARGETS.md has the protocol and what is assumed of them.
*/

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::CONTENT_TYPE;
use awc::{Client, ClientResponse};
use bytes::Bytes;
use puffinknot_core::ids::Epoch;
use puffinknot_core::node::{Attempt, ExecutorInfo, TargetError};
use puffinknot_core::tasks::{SyncReply, SyncRequest};

use crate::platform::not_sent;
use crate::wire::Answer;

/// The header that carries an epoch.
pub const EPOCH: &str = "puffinknot-epoch";
/// The header that carries the id of one request.
pub const REQUEST: &str = "puffinknot-request";
/// The header that carries the key of a call.
pub const KEY: &str = "idempotency-key";
/// A slot stays counted until the target answers or closes the connection,
/// or until this time has passed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3_600);
/// The largest answer of a worker, in bytes.
const MAX_SYNC: usize = 8 << 20;

/// A call to send to an executor.
#[derive(Clone, Debug)]
pub struct ExecutorCall {
    /// The epoch to send it under.
    pub epoch: Epoch,
    /// The id of this request.
    pub request: String,
    /// The key of the call, if it has one.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The largest answer, in bytes.
    pub limit: usize,
}

/// Sends a call to an executor and reads the whole answer.
pub async fn call(
    client: &Client,
    addr: SocketAddr,
    call: ExecutorCall,
) -> (Attempt, Option<Answer>) {
    let mut request = client
        .post(format!("http://{addr}/call"))
        .timeout(ANSWER_TIMEOUT)
        .insert_header((EPOCH, call.epoch.to_string()))
        .insert_header((REQUEST, call.request));
    if let Some(key) = call.key {
        request = request.insert_header((KEY, key));
    }
    let mut response = match request.send_body(call.body).await {
        Ok(response) => response.timeout(ANSWER_TIMEOUT),
        Err(err) if not_sent(&err) => return (Attempt::NotSent, None),
        Err(_) => return (Attempt::Lost, None),
    };
    match response.status().as_u16() {
        412 => match highest(&response) {
            Some(epoch) => return (Attempt::Stale(epoch), None),
            None => return (Attempt::Refused, None),
        },
        429 | 503 => return (Attempt::Refused, None),
        _ => {}
    }
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type =
        content_type.and_then(|v| v.to_str().ok()).map(str::to_string);
    match response.body().limit(call.limit).await {
        Ok(body) => {
            let status = response.status().as_u16();
            let body = body.to_vec();
            (Attempt::Answered, Some(Answer { status, content_type, body }))
        }
        Err(_) => (Attempt::Lost, None),
    }
}

fn highest<S>(response: &ClientResponse<S>) -> Option<Epoch> {
    response.headers().get(EPOCH)?.to_str().ok()?.parse().ok()
}

/// Presents an epoch to an executor and asks for its state.
///
/// # Errors
///
/// If it has seen a higher epoch or gives no usable answer.
pub async fn probe(
    client: &Client,
    addr: SocketAddr,
    epoch: &Epoch,
) -> Result<ExecutorInfo, TargetError> {
    let request = client
        .post(format!("http://{addr}/epoch"))
        .insert_header((EPOCH, epoch.to_string()));
    let response = request.send().await;
    let mut response = response.map_err(|_| TargetError::Unreachable)?;
    check(&response)?;
    response.json().await.map_err(|_| TargetError::Unreachable)
}

/// Sends a sync to a worker.
///
/// # Errors
///
/// If it has seen a higher epoch or gives no usable answer.
pub async fn sync(
    client: &Client,
    addr: SocketAddr,
    request: &SyncRequest,
) -> Result<SyncReply, TargetError> {
    let url = format!("http://{addr}/sync");
    let response = client.post(url).send_json(request).await;
    let mut response = response.map_err(|_| TargetError::Unreachable)?;
    check(&response)?;
    let reply = response.json().limit(MAX_SYNC).await;
    reply.map_err(|_| TargetError::Unreachable)
}

fn check<S>(response: &ClientResponse<S>) -> Result<(), TargetError> {
    match response.status().as_u16() {
        200 => Ok(()),
        412 => match highest(response) {
            Some(epoch) => Err(TargetError::Stale(epoch)),
            None => Err(TargetError::Unreachable),
        },
        _ => Err(TargetError::Unreachable),
    }
}
