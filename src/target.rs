/*!
A client of targets: executors, which answer calls, and workers, which run
tasks. docs/TARGETS.md describes the protocol and the assumptions about
targets.
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

/// The header with an epoch.
pub const EPOCH: &str = "puffinknot-epoch";
/// The header with the id of a request to an executor.
pub const REQUEST: &str = "puffinknot-request";
/// The header with the idempotency key of a call.
pub const KEY: &str = "idempotency-key";
/// The timeout of an executor's answer. A slot counts as used until the
/// executor answers, the connection ends, or this time has passed.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3_600);
/// The largest response of a worker, in bytes.
const MAX_SYNC_BYTES: usize = 8 << 20;

/// A call to send to an executor.
#[derive(Clone, Debug)]
pub struct ExecutorCall {
    /// The epoch to send it under.
    pub epoch: Epoch,
    /// The id of this request.
    pub request: String,
    /// The idempotency key of the call, if it has one.
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
        412 => match highest_epoch(&response) {
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

fn highest_epoch<S>(response: &ClientResponse<S>) -> Option<Epoch> {
    response.headers().get(EPOCH)?.to_str().ok()?.parse().ok()
}

/// Sends an epoch to an executor and requests its state.
///
/// # Errors
///
/// If the executor has seen a higher epoch or gives no usable response.
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
    check_status(&response)?;
    response.json().await.map_err(|_| TargetError::Unreachable)
}

/// Sends a sync to a worker.
///
/// # Errors
///
/// If the worker has seen a higher epoch or gives no usable response.
pub async fn sync(
    client: &Client,
    addr: SocketAddr,
    request: &SyncRequest,
) -> Result<SyncReply, TargetError> {
    let url = format!("http://{addr}/sync");
    let response = client.post(url).send_json(request).await;
    let mut response = response.map_err(|_| TargetError::Unreachable)?;
    check_status(&response)?;
    let reply = response.json().limit(MAX_SYNC_BYTES).await;
    reply.map_err(|_| TargetError::Unreachable)
}

fn check_status<S>(response: &ClientResponse<S>) -> Result<(), TargetError> {
    match response.status().as_u16() {
        200 => Ok(()),
        412 => match highest_epoch(response) {
            Some(epoch) => Err(TargetError::Stale(epoch)),
            None => Err(TargetError::Unreachable),
        },
        _ => Err(TargetError::Unreachable),
    }
}
