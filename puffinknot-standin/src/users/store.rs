/*!
The metadata store of the users' platform: keys with revisions, leases and
watches.
*/

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_http::{Method, Request, StatusCode};
use puffinknot::http::{json, read_body, text, Reply};
use serde_json::{json, Value};
use tokio::time::sleep;

use crate::server::Running;
use crate::users::{MAX_BODY, POLL_INTERVAL};

/// A fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Every call is refused and has no effect.
    Busy,
    /// Calls get no answer and have no effect.
    Silent,
    /// Answers to range reads take this much longer.
    SlowRanges(Duration),
}

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    /// The revision at which the key was created.
    made: u64,
    /// The lease of the key; zero for none.
    lease: u64,
}

#[derive(Clone, Debug)]
struct Lease {
    ttl_ms: u64,
    until: Instant,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change in order: the revision, the key, and the item, which is
    /// `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    fault: Option<StoreFault>,
    calls: u64,
    /// The number of watches so far, by their prefix.
    watches: BTreeMap<String, u64>,
    /// How many times all waiting watches were aborted.
    watch_aborts: u64,
    /// The most changes in one answer to a watch; `None` for no limit.
    max_changes: Option<usize>,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |i| i.made);
        let revision = self.revision;
        let item = Item { value, revision, made, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    /// Ends leases that have run out and removes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until < now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "made": item.made,
        "lease": item.lease,
    })
}

/// The metadata store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    /// Serves at an address; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let store = self.clone();
        Running::start(addr, move || {
            let store = store.clone();
            move |request: Request| {
                let store = store.clone();
                async move { store.answer(request).await }
            }
        })
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sets the fault of the store; `None` ends it.
    pub fn set_fault(&self, fault: Option<StoreFault>) {
        self.lock().fault = fault;
    }

    /// Whether a fault makes the store unavailable to everyone.
    pub fn is_unavailable(&self) -> bool {
        let fault = self.lock().fault;
        matches!(fault, Some(StoreFault::Busy | StoreFault::Silent))
    }

    /// Limits the number of changes in one answer to a watch.
    pub fn bound_watches(&self, max: usize) {
        self.lock().max_changes = Some(max);
    }

    /// Aborts every watch that is waiting.
    pub fn cut_watches(&self) {
        self.lock().watch_aborts += 1;
    }

    /// The number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// The number of watches of a prefix so far.
    pub fn watches(&self, prefix: &str) -> u64 {
        self.lock().watches.get(prefix).copied().unwrap_or_default()
    }

    /// Writes a value, as the operator or an executor does.
    pub fn write(&self, key: &str, value: &Value) {
        self.write_text(key, &value.to_string());
    }

    /// Like [`Store::write`], with a value that need not be JSON.
    pub fn write_text(&self, key: &str, value: &str) {
        use base64::prelude::{Engine, BASE64_STANDARD};
        let mut state = self.lock();
        state.revision += 1;
        let value = BASE64_STANDARD.encode(value);
        state.put(key, value, 0);
    }

    /// Removes a key. Watches report the removal.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.remove(key);
        }
    }

    /// Removes a key without reporting it to watches.
    pub fn revoke(&self, key: &str) {
        self.lock().items.remove(key);
    }

    /// The value of a key as text, or `None` if the key is absent or its value
    /// is not text.
    pub fn read(&self, key: &str) -> Option<String> {
        use base64::prelude::{Engine, BASE64_STANDARD};
        let state = self.lock();
        let bytes = BASE64_STANDARD.decode(&state.items.get(key)?.value);
        String::from_utf8(bytes.ok()?).ok()
    }

    /// The time to live of the lease of a key, in milliseconds, or `None` if
    /// the key is absent or has no lease.
    pub fn lease_of(&self, key: &str) -> Option<u64> {
        let state = self.lock();
        let item = state.items.get(key)?;
        state.leases.get(&item.lease).map(|lease| lease.ttl_ms)
    }

    async fn answer(&self, mut request: Request) -> Reply {
        let method = request.method().clone();
        let path = request.path().to_string();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let payload = request.take_payload();
        let timeout = Duration::from_secs(5);
        let body = read_body(payload, MAX_BODY, timeout).await;
        let body = body.unwrap_or_default();
        self.lock().calls += 1;
        if let Some(reply) = self.apply_fault().await {
            return reply;
        }
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| field(name).parse().unwrap_or(0);
        match (method, path.as_str()) {
            (Method::GET, "/v1/kv-key") => self.key(&field("Key")),
            (Method::GET, "/v1/kv-range") => {
                self.delay_range().await;
                self.range(&field("PathPrefix"), &field("DependsOn"))
            }
            (Method::GET, "/v1/kv-watch") => {
                let (after, wait) = (number("DependsOn"), number("WaitMs"));
                self.watch(&field("PathPrefix"), after, wait).await
            }
            (Method::POST, "/v1/kv-txn") => self.transact(&body),
            (Method::POST, "/v1/kv-lease") => self.grant(&body),
            (Method::POST, path) => self.keep_alive(path),
            (Method::DELETE, path) => self.revoke_lease(path),
            _ => text(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    async fn apply_fault(&self) -> Option<Reply> {
        let fault = self.lock().fault?;
        match fault {
            StoreFault::Busy => {
                Some(text(StatusCode::SERVICE_UNAVAILABLE, "busy"))
            }
            StoreFault::Silent => {
                sleep(Duration::from_secs(3_600)).await;
                None
            }
            StoreFault::SlowRanges(_) => None,
        }
    }

    async fn delay_range(&self) {
        let fault = self.lock().fault;
        if let Some(StoreFault::SlowRanges(delay)) = fault {
            sleep(delay).await;
        }
    }

    fn key(&self, key: &str) -> Reply {
        let mut state = self.lock();
        state.expire();
        match state.items.get(key) {
            Some(item) => {
                let mut value = item_json(key, item);
                value["at"] = state.revision.into();
                json(StatusCode::OK, &value)
            }
            None => text(StatusCode::NOT_FOUND, "no such key"),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        const PAGE: usize = 50;
        let mut state = self.lock();
        state.expire();
        let all: Vec<Value> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = all.len() > PAGE;
        let items: Vec<Value> = all.into_iter().take(PAGE).collect();
        let at = state.revision;
        let body = json!({ "items": items, "more": more, "at": at });
        json(StatusCode::OK, &body)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait);
        let watch_aborts = {
            let mut state = self.lock();
            *state.watches.entry(prefix.to_string()).or_default() += 1;
            state.watch_aborts
        };
        loop {
            {
                let mut state = self.lock();
                state.expire();
                if state.watch_aborts != watch_aborts {
                    return text(StatusCode::SERVICE_UNAVAILABLE, "cut");
                }
                let known = |change: &(u64, String, _)| change.0 <= after;
                let new = state.history.partition_point(known);
                let changes = state.history[new..].iter();
                let changes =
                    changes.filter(|(_, key, _)| key.starts_with(prefix));
                let max = state.max_changes.unwrap_or(usize::MAX);
                let sent: Vec<_> = changes.take(max).collect();
                // A client continues after the last change of a full answer.
                let at = match sent.last() {
                    Some((last, ..)) if sent.len() == max => *last,
                    _ => state.revision,
                };
                let events = sent.into_iter().map(|change| match change {
                    (_, key, Some(item)) => item_json(key, item),
                    (revision, key, None) => json!({
                        "Key": key, "Revision": revision, "gone": true,
                    }),
                });
                let events: Vec<Value> = events.collect();
                if !events.is_empty() || Instant::now() >= until {
                    let body = json!({ "events": events, "at": at });
                    return json(StatusCode::OK, &body);
                }
            }
            sleep(POLL_INTERVAL).await;
            if let Some(reply) = self.apply_fault().await {
                return reply;
            }
        }
    }

    fn transact(&self, body: &Value) -> Reply {
        let mut state = self.lock();
        state.expire();
        let rows =
            |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("ExpectedRev");
        let key = |row: &Value| row["Key"].as_str().unwrap_or("").to_string();
        let matches = expected.iter().all(|row| {
            let now = state.items.get(&key(row)).map_or(0, |i| i.revision);
            row["Revision"].as_u64() == Some(now)
        });
        if !matches {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    Some(item_json(&key, state.items.get(&key)?))
                })
                .collect();
            let body = json!({ "items": items });
            return json(StatusCode::PRECONDITION_FAILED, &body);
        }
        let puts = rows("put");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let expired = puts
            .iter()
            .map(lease)
            .any(|id| id != 0 && !state.leases.contains_key(&id));
        if expired {
            return text(StatusCode::NOT_FOUND, "no such lease");
        }
        state.revision += 1;
        for row in &puts {
            let value = row["Value"].as_str().unwrap_or("").to_string();
            state.put(&key(row), value, lease(row));
        }
        for row in rows("Remove") {
            state.remove(row.as_str().unwrap_or(""));
        }
        json(StatusCode::OK, &json!({ "Revision": state.revision }))
    }

    fn grant(&self, body: &Value) -> Reply {
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        state.leases.insert(id, Lease { ttl_ms, until });
        json(StatusCode::OK, &json!({ "lease": id, "ttl_ms": ttl_ms }))
    }

    fn keep_alive(&self, path: &str) -> Reply {
        let id = path.strip_prefix("/v1/kv-keep/");
        let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        state.expire();
        let Some(lease) = state.leases.get_mut(&id) else {
            return text(StatusCode::NOT_FOUND, "no such lease");
        };
        lease.until = Instant::now() + Duration::from_millis(lease.ttl_ms);
        json(StatusCode::OK, &json!({ "ttl_ms": lease.ttl_ms }))
    }

    fn revoke_lease(&self, path: &str) -> Reply {
        let id = path.strip_prefix("/v1/kv-lease-end/");
        let id = id.and_then(|id| id.parse().ok()).unwrap_or(0);
        self.lock().end_lease(id);
        json(StatusCode::OK, &json!({}))
    }
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (decode(key), decode(value))).collect()
}

/// The text that a percent-encoded one stands for.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let byte = part.get(..2).map(|hex| u8::from_str_radix(hex, 16));
        match byte {
            Some(Ok(byte)) => {
                bytes.push(byte);
                bytes.extend_from_slice(&part.as_bytes()[2..]);
            }
            _ => {
                bytes.push(b'%');
                bytes.extend_from_slice(part.as_bytes());
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
