/*!
A client of the platform's key-value service.

It uses the JSON form of the etcd v3 API: transactions that compare and swap
several keys, leases, and a watch that streams changes over one connection.
docs/DESIGN.md explains the choice of this API.
*/

use std::net::IpAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use base64::prelude::{Engine, BASE64_STANDARD};
use futures_util::StreamExt;
use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::store::{Key, StoredEntry, Value, Write, WriteResult};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::clock;
use crate::error::{Error, ErrorKind, Result};

/// The timeout of a request to the platform, except for a watch.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a watch. It is long because a watch receives nothing
/// while there are no changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);
/// The largest response, in bytes: some values of up to a megabyte each.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

pub use awc::Client as HttpClient;

/// An HTTP client that connects from `ip`.
pub fn http_client(ip: IpAddr) -> Client {
    let connector =
        Connector::new().timeout(Duration::from_secs(1)).local_address(ip);
    Client::builder().connector(connector).timeout(REQUEST_TIMEOUT).finish()
}

/// Whether a request failed before any byte of it can have been sent.
pub fn not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(error) => {
            !matches!(error, ConnectError::Disconnected)
        }
        SendRequestError::Url(_) => true,
        _ => false,
    }
}

/// A client of the key-value service.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    base: String,
    cell: String,
}

/// Values of a cell, read at one revision.
#[derive(Clone, Debug, Default)]
pub struct Read {
    /// The revision of the service at the time of the read.
    pub revision: Revision,
    /// The values.
    pub stored: Vec<StoredEntry>,
    /// The reasons for values that could not be decoded, each with its key.
    pub undecodable: Vec<String>,
}

/// Changes that a watch has received.
#[derive(Clone, Debug, Default)]
pub struct WatchUpdate {
    /// The revision of the last change.
    pub revision: Revision,
    /// Values that were put.
    pub stored: Vec<StoredEntry>,
    /// Keys that were deleted.
    pub deleted: Vec<Key>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Header {
    revision: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct KvJson {
    key: String,
    value: String,
    mod_revision: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RangeJson {
    header: Header,
    kvs: Vec<KvJson>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct TxnJson {
    header: Header,
    succeeded: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LeaseJson {
    #[serde(rename = "ID")]
    id: String,
    #[serde(rename = "TTL")]
    ttl: String,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct KeepAliveJson {
    result: LeaseJson,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WatchJson {
    result: WatchResult,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WatchResult {
    header: Header,
    created: bool,
    canceled: bool,
    events: Vec<EventJson>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct EventJson {
    #[serde(rename = "type")]
    kind: String,
    kv: KvJson,
}

fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn base64(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn failed(problem: impl ToString) -> Error {
    Error::new(
        ErrorKind::Platform,
        format!(
            "the key-value service request failed: {}",
            problem.to_string()
        ),
        "check --platform and the service; the request is retried",
    )
}

impl Platform {
    /// Creates a client for one cell of the service at the URL `base`.
    pub fn new(client: Client, base: &str, cell: &str) -> Platform {
        let base = base.trim_end_matches('/').to_string();
        Platform { client, base, cell: cell.to_string() }
    }

    async fn post<T: for<'a> Deserialize<'a>>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> std::result::Result<T, PostError> {
        let url = format!("{}{path}", self.base);
        let sent = self.client.post(url).send_json(body).await;
        let mut response = sent.map_err(|err| PostError {
            may_have_applied: !not_sent(&err),
            problem: err.to_string(),
        })?;
        let bytes = response.body().limit(MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|err| PostError {
            may_have_applied: true,
            problem: err.to_string(),
        })?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let may_have_applied = response.status().is_server_error();
            return Err(PostError { may_have_applied, problem: text });
        }
        serde_json::from_slice(&bytes).map_err(|err| PostError {
            may_have_applied: true,
            problem: err.to_string(),
        })
    }

    /// Reads the values of the cell that were changed at revision `since` or
    /// later; all of them for zero.
    ///
    /// # Errors
    ///
    /// If the service gives no usable response.
    pub async fn read(&self, since: Revision) -> Result<Read> {
        let (first, end) = self.key_range();
        let body = json!({
            "key": base64(first),
            "range_end": base64(end),
            "min_mod_revision": since.to_string(),
        });
        let response: RangeJson =
            self.post("/v3/kv/range", &body).await.map_err(failed)?;
        let mut read = Read {
            revision: parse_number(&response.header.revision),
            ..Read::default()
        };
        for kv in &response.kvs {
            match self.decode_stored(kv) {
                Ok(Some(stored)) => read.stored.push(stored),
                Ok(None) => {}
                Err(problem) => read.undecodable.push(problem),
            }
        }
        Ok(read)
    }

    /// The key range of the cell: its start, and its exclusive end.
    fn key_range(&self) -> (String, String) {
        let first = Key::prefix(&self.cell);
        // The prefix ends with a slash, and `0` is the next ASCII character
        // after `/`.
        let end = format!("{}0", first.trim_end_matches('/'));
        (first, end)
    }

    fn decode_key(&self, kv: &KvJson) -> Option<Key> {
        let bytes = BASE64_STANDARD.decode(&kv.key).ok()?;
        Key::parse(&self.cell, std::str::from_utf8(&bytes).ok()?)
    }

    fn decode_stored(
        &self,
        kv: &KvJson,
    ) -> std::result::Result<Option<StoredEntry>, String> {
        let Some(key) = self.decode_key(kv) else { return Ok(None) };
        let bytes = BASE64_STANDARD
            .decode(&kv.value)
            .map_err(|err| format!("{key:?}: {err}"))?;
        let value = Value::parse(&key, &bytes)
            .map_err(|err| format!("{key:?}: {err}"))?;
        let revision = parse_number(&kv.mod_revision);
        Ok(Some(StoredEntry { key, value, revision }))
    }

    /// Writes a value if its key, and the configuration if `expect_config`
    /// is set, are still at the expected revisions.
    pub async fn write(&self, write: &Write) -> WriteResult {
        let mut compare =
            vec![self.revision_equals(&write.key, write.expected_revision)];
        if let Some(revision) = write.expected_config_revision {
            compare.push(self.revision_equals(&Key::Config, revision));
        }
        let put = json!({
            "key": base64(write.key.path(&self.cell)),
            "value": base64(write.value.to_bytes()),
        });
        let body = json!({
            "compare": compare,
            "success": [{ "request_put": put }],
        });
        match self.post::<TxnJson>("/v3/kv/txn", &body).await {
            Ok(response) if response.succeeded => {
                WriteResult::Written(parse_number(&response.header.revision))
            }
            Ok(_) => WriteResult::Conflict,
            Err(err) if err.may_have_applied => WriteResult::Unknown,
            Err(_) => WriteResult::Failed,
        }
    }

    fn revision_equals(
        &self,
        key: &Key,
        revision: Revision,
    ) -> serde_json::Value {
        json!({
            "target": "MOD",
            "result": "EQUAL",
            "key": base64(key.path(&self.cell)),
            "mod_revision": revision.to_string(),
        })
    }

    /// Creates a lease with a TTL in seconds and returns its id.
    ///
    /// # Errors
    ///
    /// If the service gives no usable response.
    pub async fn grant(&self, ttl: u64) -> Result<u64> {
        let body = json!({ "TTL": ttl.to_string() });
        let response: LeaseJson =
            self.post("/v3/lease/grant", &body).await.map_err(failed)?;
        Ok(parse_number(&response.id))
    }

    /// Renews a lease. Returns whether it was still valid.
    ///
    /// # Errors
    ///
    /// If the service gives no usable response.
    pub async fn keep_alive(&self, lease: u64) -> Result<bool> {
        let body = json!({ "ID": lease.to_string() });
        let response: KeepAliveJson =
            self.post("/v3/lease/keepalive", &body).await.map_err(failed)?;
        Ok(parse_number(&response.result.ttl) > 0)
    }

    /// Revokes a lease, which deletes every key attached to it.
    ///
    /// # Errors
    ///
    /// If the service gives no usable response.
    pub async fn revoke(&self, lease: u64) -> Result<()> {
        let body = json!({ "ID": lease.to_string() });
        let response: std::result::Result<serde_json::Value, _> =
            self.post("/v3/lease/revoke", &body).await;
        response.map(|_| ()).map_err(failed)
    }

    /// Writes a value and attaches its key to a lease.
    ///
    /// # Errors
    ///
    /// If the service gives no usable response, or the lease has expired.
    pub async fn put(
        &self,
        key: &Key,
        value: &Value,
        lease: u64,
    ) -> Result<()> {
        let body = json!({
            "key": base64(key.path(&self.cell)),
            "value": base64(value.to_bytes()),
            "lease": lease.to_string(),
        });
        let response: std::result::Result<serde_json::Value, _> =
            self.post("/v3/kv/put", &body).await;
        response.map(|_| ()).map_err(failed)
    }

    /// Passes all changes from revision `from` on to `on_update`, until the
    /// connection ends.
    ///
    /// # Errors
    ///
    /// Why the watch ended; it always ends with an error. Later changes have
    /// to be read.
    pub async fn watch(
        &self,
        from: Revision,
        mut on_update: impl FnMut(WatchUpdate),
    ) -> Result<()> {
        let (first, end) = self.key_range();
        let body = json!({ "create_request": {
            "key": base64(first),
            "range_end": base64(end),
            "start_revision": from.to_string(),
        }});
        let url = format!("{}/v3/watch", self.base);
        let response = self.client.post(url).send_json(&body).await;
        let mut response = response.map_err(failed)?.timeout(WATCH_TIMEOUT);
        let mut buffer = Vec::new();
        while let Some(chunk) = response.next().await {
            buffer.extend_from_slice(&chunk.map_err(failed)?);
            while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                on_update(self.parse_watch_line(&line)?);
            }
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(failed("a watch event is too large"));
            }
        }
        Err(failed("the watch connection ended"))
    }

    fn parse_watch_line(&self, line: &[u8]) -> Result<WatchUpdate> {
        let parsed: WatchJson =
            serde_json::from_slice(line).map_err(failed)?;
        let result = parsed.result;
        if result.canceled {
            return Err(failed("the watch was cancelled"));
        }
        if result.created {
            // The revision in this line is that of the service; changes up
            // to it may still be in transit, so it must not be reported.
            return Ok(WatchUpdate::default());
        }
        let revision = parse_number(&result.header.revision);
        let mut update = WatchUpdate { revision, ..WatchUpdate::default() };
        for event in &result.events {
            if event.kind == "DELETE" {
                update.deleted.extend(self.decode_key(&event.kv));
                continue;
            }
            // A value that can't be decoded is skipped; the read before the
            // next watch reports it.
            update.stored.extend(self.decode_stored(&event.kv).ok().flatten());
        }
        Ok(update)
    }
}

/// A failed request.
#[derive(Debug)]
struct PostError {
    /// Whether the request may have taken effect.
    may_have_applied: bool,
    problem: String,
}

impl std::fmt::Display for PostError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.problem)
    }
}

/// A lease that this VM has from the platform.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// The id of the lease.
    pub id: u64,
    /// When the request for the lease or its last renewal was sent, by the
    /// monotonic clock.
    pub sent_at: Millis,
}

impl Lease {
    /// Creates a lease of `ttl` seconds and attaches this VM's entry to it.
    ///
    /// # Errors
    ///
    /// If the service gives no usable response.
    pub async fn acquire(
        platform: &Platform,
        ttl: u64,
        key: &Key,
        value: &Value,
    ) -> Result<Lease> {
        let sent_at = clock::mono();
        let id = platform.grant(ttl).await?;
        platform.put(key, value, id).await?;
        Ok(Lease { id, sent_at })
    }
}
