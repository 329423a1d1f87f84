//! The JSON form of etcd's version 3 interface.
//!
//! As in the JSON gateway of etcd, 64-bit numbers are strings and bytes are
//! base64.

use std::convert::Infallible;
use std::pin::Pin;

use actix_http::body::BodyStream;
use actix_http::header::CONTENT_TYPE;
use actix_http::{Response, StatusCode};
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use futures_util::stream::{self, Stream, StreamExt};
use puffinknot::http::{json, Reply};
use serde_json::{json, Value};
use tokio::sync::mpsc;

use super::store::{Change, Compare, Kv, Put, Range, Store, Watcher};
use super::{Platform, State};

/// A response whose connection is aborted before the body is complete.
pub(super) fn abort_connection() -> Reply {
    let broken = stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::Error::other("cut"))
    });
    Response::build(StatusCode::OK)
        .body(BodyStream::new(Box::pin(broken)))
        .map_into_boxed_body()
}

impl Platform {
    pub(super) fn kv(&self, path: &str, body: &[u8], source: &str) -> Reply {
        let Ok(request) = serde_json::from_slice::<Value>(body) else {
            return error(StatusCode::BAD_REQUEST, 3, "not JSON");
        };
        let mut state = self.lock();
        let write = !matches!(path, "/v3/kv/range" | "/v3/watch");
        if !state.allow(write) {
            let message = "etcdserver: too many requests";
            return error(StatusCode::TOO_MANY_REQUESTS, 8, message);
        }
        match path {
            "/v3/kv/range" => state.calls.reads += 1,
            "/v3/watch" => state.calls.watches += 1,
            "/v3/lease/keepalive" => state.calls.renewals += 1,
            _ => state.calls.writes += 1,
        }
        let reply = match path {
            "/v3/kv/range" => range(&state.store, &request),
            "/v3/kv/put" => put(&mut state.store, &request),
            "/v3/kv/txn" => txn(&mut state.store, &request),
            "/v3/lease/grant" => grant(&mut state, &request),
            "/v3/lease/keepalive" => keep_alive(&mut state, &request),
            "/v3/lease/revoke" => {
                let id = parse_number(&request["ID"]);
                state.store.revoke(id);
                Ok(json!({ "header": header(&state.store) }))
            }
            "/v3/watch" => return watch(&mut state, &request, source),
            _ => Err((StatusCode::NOT_FOUND, 5, "not found")),
        };
        if matches!(path, "/v3/kv/put" | "/v3/kv/txn")
            && state.faults.lose_answers > 0
        {
            state.faults.lose_answers -= 1;
            return abort_connection();
        }
        match reply {
            Ok(value) => {
                state.calls.bytes += value.to_string().len() as u64;
                json(StatusCode::OK, &value)
            }
            Err((status, code, message)) => error(status, code, message),
        }
    }
}

type KvResult = Result<Value, (StatusCode, u32, &'static str)>;

fn error(status: StatusCode, code: u32, message: &str) -> Reply {
    let body = json!({ "error": message, "code": code, "message": message });
    json(status, &body)
}

fn header(store: &Store) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": store.revision.to_string(),
        "raft_term": "1",
    })
}

fn parse_number(value: &Value) -> u64 {
    match value {
        Value::String(s) => s.parse().unwrap_or(0),
        other => other.as_u64().unwrap_or(0),
    }
}

fn decode_bytes(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

/// A field by its name in snake case or, if that is absent, in camel case.
fn field<'a>(value: &'a Value, snake: &str, camel: &str) -> &'a Value {
    match &value[snake] {
        Value::Null => &value[camel],
        found => found,
    }
}

fn kv_json(kv: &Kv) -> Value {
    let mut value = json!({
        "key": BASE64_STANDARD.encode(&kv.key),
        "create_revision": kv.create.to_string(),
        "mod_revision": kv.modified.to_string(),
        "version": kv.version.to_string(),
        "value": BASE64_STANDARD.encode(&kv.value),
    });
    if kv.lease > 0 {
        value["lease"] = json!(kv.lease.to_string());
    }
    value
}

fn parse_range(request: &Value) -> Range {
    Range {
        key: decode_bytes(&request["key"]),
        end: decode_bytes(field(request, "range_end", "rangeEnd")),
    }
}

fn range(store: &Store, request: &Value) -> KvResult {
    let min = field(request, "min_mod_revision", "minModRevision");
    let kvs = store.range(&parse_range(request), parse_number(min));
    let kvs: Vec<Value> = kvs.iter().map(kv_json).collect();
    Ok(json!({
        "header": header(store),
        "count": kvs.len().to_string(),
        "kvs": kvs,
    }))
}

fn parse_put(request: &Value) -> Put {
    Put {
        key: decode_bytes(&request["key"]),
        value: decode_bytes(&request["value"]),
        lease: parse_number(&request["lease"]),
    }
}

fn put(store: &mut Store, request: &Value) -> KvResult {
    let put = parse_put(request);
    match store.txn(&[], &[put]) {
        Ok(_) => Ok(json!({ "header": header(store) })),
        Err(message) => Err((StatusCode::NOT_FOUND, 5, message)),
    }
}

fn txn(store: &mut Store, request: &Value) -> KvResult {
    let none = Vec::new();
    let compare = request["compare"].as_array().unwrap_or(&none);
    let compare: Vec<Compare> = compare
        .iter()
        .map(|c| Compare {
            key: decode_bytes(&c["key"]),
            modified: parse_number(field(c, "mod_revision", "modRevision")),
        })
        .collect();
    let success = request["success"].as_array().unwrap_or(&none);
    let puts: Vec<Put> = success
        .iter()
        .map(|op| parse_put(field(op, "request_put", "requestPut")))
        .collect();
    match store.txn(&compare, &puts) {
        Ok(true) => Ok(json!({ "header": header(store), "succeeded": true })),
        Ok(false) => Ok(json!({ "header": header(store) })),
        Err(message) => Err((StatusCode::NOT_FOUND, 5, message)),
    }
}

fn grant(state: &mut State, request: &Value) -> KvResult {
    let ttl = parse_number(&request["TTL"]).max(1);
    let now = state.now();
    let id = state.store.grant(now, ttl * 1_000);
    Ok(json!({
        "header": header(&state.store),
        "ID": id.to_string(),
        "TTL": ttl.to_string(),
    }))
}

fn keep_alive(state: &mut State, request: &Value) -> KvResult {
    let id = parse_number(&request["ID"]);
    let now = state.now();
    let ttl = state.store.keep_alive(now, id) / 1_000;
    let mut result = json!({
        "header": header(&state.store),
        "ID": id.to_string(),
    });
    if ttl > 0 {
        result["TTL"] = json!(ttl.to_string());
    }
    Ok(json!({ "result": result }))
}

fn watch(state: &mut State, request: &Value, source: &str) -> Reply {
    let create = field(request, "create_request", "createRequest");
    let range = parse_range(create);
    let from = parse_number(field(create, "start_revision", "startRevision"));
    let (tx, rx) = mpsc::unbounded_channel();
    let watcher = Watcher { range, tx, source: source.to_string() };
    let first = match state.store.watch(watcher, from) {
        Ok(()) => json!({ "result": {
            "header": header(&state.store),
            "created": true,
        }}),
        Err(oldest) => json!({ "result": {
            "header": header(&state.store),
            "canceled": true,
            "compact_revision": oldest.to_string(),
        }}),
    };
    let first_line = stream::once(async move { line(&first) });
    let changes = stream::unfold(rx, |mut rx| async move {
        let (revision, changes) = rx.recv().await?;
        Some((line(&changes_json(revision, &changes)), rx))
    });
    let all: Pin<Box<dyn Stream<Item = Result<Bytes, Infallible>>>> =
        Box::pin(first_line.chain(changes));
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(BodyStream::new(all))
        .map_into_boxed_body()
}

fn line(value: &Value) -> Result<Bytes, Infallible> {
    Ok(Bytes::from(format!("{value}\n")))
}

fn changes_json(revision: u64, changes: &[Change]) -> Value {
    let event = |change: &Change| {
        let mut event = json!({ "kv": kv_json(&change.kv) });
        if change.deleted {
            event["type"] = json!("DELETE");
        }
        event
    };
    let events: Vec<Value> = changes.iter().map(event).collect();
    json!({ "result": {
        "header": { "revision": revision.to_string() },
        "events": events,
    }})
}
