/*!
The client of the platform's key-value service.

It speaks the JSON form of etcd's version 3 interface: compare-and-swap over
several keys in one transaction, leases, and a watch that waits on one
connection. docs/DESIGN.md says why this one was chosen.
*/

use std::net::IpAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use base64::prelude::{Engine, BASE64_STANDARD};
use futures_util::StreamExt;
use puffinknot_core::ids::{Millis, Revision};
use puffinknot_core::store::{Key, Stored, Value, Write, WriteResult};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::clock;
use crate::error::{Error, ErrorKind, Result};

/// A call to the platform must be answered within this time.
const TIMEOUT: Duration = Duration::from_secs(3);
/// A watch may wait as long as this without any change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(24 * 3_600);
/// The largest answer, in bytes: some values of up to a megabyte each.
const MAX_ANSWER: usize = 32 << 20;

pub use awc::Client as HttpClient;

/// An HTTP client that connects from `ip`.
pub fn http_client(ip: IpAddr) -> Client {
    let connector =
        Connector::new().timeout(Duration::from_secs(1)).local_address(ip);
    Client::builder().connector(connector).timeout(TIMEOUT).finish()
}

/// Whether a request failed before any byte of it can have left.
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

/// What was read at one moment.
#[derive(Clone, Debug, Default)]
pub struct Read {
    /// The revision of the service.
    pub revision: Revision,
    /// The values.
    pub stored: Vec<Stored>,
    /// Values that could not be read, with the reason.
    pub unusable: Vec<String>,
}

/// What a watch has seen.
#[derive(Clone, Debug, Default)]
pub struct WatchUpdate {
    /// The revision of the last change.
    pub revision: Revision,
    /// Values that were put.
    pub stored: Vec<Stored>,
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

fn number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

fn encoded(bytes: impl AsRef<[u8]>) -> String {
    BASE64_STANDARD.encode(bytes)
}

fn failed(problem: impl ToString) -> Error {
    Error::new(
        ErrorKind::Platform,
        format!("the key-value service failed: {}", problem.to_string()),
        "check --platform and the service; the call is tried again",
    )
}

impl Platform {
    /// A client of the service at `base` for one cell.
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
            made: !not_sent(&err),
            problem: err.to_string(),
        })?;
        let bytes = response.body().limit(MAX_ANSWER).await;
        let bytes = bytes.map_err(|err| PostError {
            made: true,
            problem: err.to_string(),
        })?;
        if !response.status().is_success() {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let made = response.status().is_server_error();
            return Err(PostError { made, problem: text });
        }
        serde_json::from_slice(&bytes)
            .map_err(|err| PostError { made: true, problem: err.to_string() })
    }

    /// Reads everything of the cell, or only what has been changed at
    /// `since` or later.
    ///
    /// # Errors
    ///
    /// If the service gives no usable answer.
    pub async fn read(&self, since: Revision) -> Result<Read> {
        let (first, end) = self.range();
        let body = json!({
            "key": encoded(first),
            "range_end": encoded(end),
            "min_mod_revision": since.to_string(),
        });
        let answer: RangeJson =
            self.post("/v3/kv/range", &body).await.map_err(failed)?;
        let mut read = Read {
            revision: number(&answer.header.revision),
            ..Read::default()
        };
        for kv in &answer.kvs {
            match self.stored(kv) {
                Ok(Some(stored)) => read.stored.push(stored),
                Ok(None) => {}
                Err(problem) => read.unusable.push(problem),
            }
        }
        Ok(read)
    }

    /// The keys of the cell: the first, and the end of the range.
    fn range(&self) -> (String, String) {
        let first = Key::prefix(&self.cell);
        // The prefix ends with a slash, and zero follows a slash.
        let end = format!("{}0", first.trim_end_matches('/'));
        (first, end)
    }

    fn key(&self, kv: &KvJson) -> Option<Key> {
        let bytes = BASE64_STANDARD.decode(&kv.key).ok()?;
        Key::parse(&self.cell, std::str::from_utf8(&bytes).ok()?)
    }

    fn stored(
        &self,
        kv: &KvJson,
    ) -> std::result::Result<Option<Stored>, String> {
        let Some(key) = self.key(kv) else { return Ok(None) };
        let bytes = BASE64_STANDARD
            .decode(&kv.value)
            .map_err(|err| format!("{key:?}: {err}"))?;
        let value = Value::parse(&key, &bytes)
            .map_err(|err| format!("{key:?}: {err}"))?;
        let revision = number(&kv.mod_revision);
        Ok(Some(Stored { key, value, revision }))
    }

    /// Makes a compare-and-swap.
    pub async fn write(&self, write: &Write) -> WriteResult {
        let mut compare = vec![self.compare(&write.key, write.expect)];
        if let Some(revision) = write.expect_config {
            compare.push(self.compare(&Key::Config, revision));
        }
        let put = json!({
            "key": encoded(write.key.path(&self.cell)),
            "value": encoded(write.value.to_bytes()),
        });
        let body = json!({
            "compare": compare,
            "success": [{ "request_put": put }],
        });
        match self.post::<TxnJson>("/v3/kv/txn", &body).await {
            Ok(answer) if answer.succeeded => {
                WriteResult::Won(number(&answer.header.revision))
            }
            Ok(_) => WriteResult::Lost,
            Err(err) if err.made => WriteResult::Unknown,
            Err(_) => WriteResult::NotMade,
        }
    }

    fn compare(&self, key: &Key, revision: Revision) -> serde_json::Value {
        json!({
            "target": "MOD",
            "result": "EQUAL",
            "key": encoded(key.path(&self.cell)),
            "mod_revision": revision.to_string(),
        })
    }

    /// Takes out a lease of this many seconds and returns its id.
    ///
    /// # Errors
    ///
    /// If the service gives no usable answer.
    pub async fn grant(&self, ttl: u64) -> Result<u64> {
        let body = json!({ "TTL": ttl.to_string() });
        let answer: LeaseJson =
            self.post("/v3/lease/grant", &body).await.map_err(failed)?;
        Ok(number(&answer.id))
    }

    /// Renews a lease. Returns whether it still stood.
    ///
    /// # Errors
    ///
    /// If the service gives no usable answer.
    pub async fn keep_alive(&self, lease: u64) -> Result<bool> {
        let body = json!({ "ID": lease.to_string() });
        let answer: KeepAliveJson =
            self.post("/v3/lease/keepalive", &body).await.map_err(failed)?;
        Ok(number(&answer.result.ttl) > 0)
    }

    /// Gives a lease up, and with it every key under it.
    ///
    /// # Errors
    ///
    /// If the service gives no usable answer.
    pub async fn revoke(&self, lease: u64) -> Result<()> {
        let body = json!({ "ID": lease.to_string() });
        let answer: std::result::Result<serde_json::Value, _> =
            self.post("/v3/lease/revoke", &body).await;
        answer.map(|_| ()).map_err(failed)
    }

    /// Puts a value under a lease.
    ///
    /// # Errors
    ///
    /// If the service gives no usable answer, or the lease has lapsed.
    pub async fn put(
        &self,
        key: &Key,
        value: &Value,
        lease: u64,
    ) -> Result<()> {
        let body = json!({
            "key": encoded(key.path(&self.cell)),
            "value": encoded(value.to_bytes()),
            "lease": lease.to_string(),
        });
        let answer: std::result::Result<serde_json::Value, _> =
            self.post("/v3/kv/put", &body).await;
        answer.map(|_| ()).map_err(failed)
    }

    /// Waits for changes from a revision on and hands each to `seen`, until
    /// the connection ends.
    ///
    /// # Errors
    ///
    /// Why the watch has ended. What happened since has to be read.
    pub async fn watch(
        &self,
        from: Revision,
        mut seen: impl FnMut(WatchUpdate),
    ) -> Result<()> {
        let (first, end) = self.range();
        let body = json!({ "create_request": {
            "key": encoded(first),
            "range_end": encoded(end),
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
                seen(self.watch_line(&line)?);
            }
            if buffer.len() > MAX_ANSWER {
                return Err(failed("a watch event is too large"));
            }
        }
        Err(failed("the watch has ended"))
    }

    fn watch_line(&self, line: &[u8]) -> Result<WatchUpdate> {
        let parsed: WatchJson =
            serde_json::from_slice(line).map_err(failed)?;
        let result = parsed.result;
        if result.canceled {
            return Err(failed("the watch was cancelled"));
        }
        if result.created {
            // Its revision is that of the service, and changes up to it
            // may still be on their way.
            return Ok(WatchUpdate::default());
        }
        let revision = number(&result.header.revision);
        let mut seen = WatchUpdate { revision, ..WatchUpdate::default() };
        for event in &result.events {
            if event.kind == "DELETE" {
                seen.deleted.extend(self.key(&event.kv));
                continue;
            }
            // A value that can't be read is passed over; the read at the
            // start of the next watch reports it.
            seen.stored.extend(self.stored(&event.kv).ok().flatten());
        }
        Ok(seen)
    }
}

/// A call that failed.
#[derive(Debug)]
struct PostError {
    /// Whether the call may have had its effect.
    made: bool,
    problem: String,
}

impl std::fmt::Display for PostError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.problem)
    }
}

/// A lease of this VM with the platform.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// The id.
    pub id: u64,
    /// When the request for it, or for its last renewal, was sent.
    pub sent_at: Millis,
}

impl Lease {
    /// Takes out a lease and puts this VM's entry under it.
    ///
    /// # Errors
    ///
    /// If the service gives no usable answer.
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
