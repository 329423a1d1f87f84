/*!
What callers see: `POST /call/CLASS`, and `GET /ready` for the balancer.

The headers of a request:

* `Authorization: Bearer TOKEN`, whose SHA-256 stands in the operators' file;
* `Idempotency-Key`, a UUID of version 7, for a class that must not be
  repeated; a resend carries the same key;
* `Puffinknot-Deadline-Ms`, if less than the class's deadline.

Every response says in `Puffinknot-Outcome` whether the call was `answered`,
`not-run` or `unknown`, and but for the first why, in `Puffinknot-Reason`,
and when to come back, in `Retry-After` and `Puffinknot-Retry-After-Ms`.
*/

use std::time::Duration;

use actix_http::header::{HeaderMap, CONTENT_TYPE};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use puffinknot_core::config::{Class, Repeat};
use puffinknot_core::ids::{CallerId, Millis};
use puffinknot_core::keys::Key;
use puffinknot_core::node::Call;
use puffinknot_core::outcome::{Outcome, Reason};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::control::Origin;
use crate::http::{header, read_body, text, BodyError, Reply};
use crate::traffic::Traffic;
use crate::wire::Answer;

/// A body must arrive within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const OUTCOME: &str = "puffinknot-outcome";
const REASON: &str = "puffinknot-reason";
const RETRY_MS: &str = "puffinknot-retry-after-ms";
const DEADLINE: &str = "puffinknot-deadline-ms";

/// Why a request is not a call. Nothing was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Invalid {
    NoToken,
    WrongToken,
    NoSuchClass,
    ClassNotAllowed,
    NoKey,
    BadKey,
    BadDeadline,
    TooLarge,
    TooSlow,
    Broken,
}

impl Invalid {
    fn status(self) -> StatusCode {
        match self {
            Invalid::NoToken | Invalid::WrongToken => StatusCode::UNAUTHORIZED,
            Invalid::NoSuchClass => StatusCode::NOT_FOUND,
            Invalid::ClassNotAllowed => StatusCode::FORBIDDEN,
            Invalid::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Invalid::TooSlow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Invalid::NoToken => "no-token",
            Invalid::WrongToken => "wrong-token",
            Invalid::NoSuchClass => "no-such-class",
            Invalid::ClassNotAllowed => "class-not-allowed",
            Invalid::NoKey => "no-key",
            Invalid::BadKey => "bad-key",
            Invalid::BadDeadline => "bad-deadline",
            Invalid::TooLarge => "body-too-large",
            Invalid::TooSlow => "body-too-slow",
            Invalid::Broken => "body-broken",
        }
    }

    fn remedy(self) -> &'static str {
        match self {
            Invalid::NoToken => "send Authorization: Bearer TOKEN",
            Invalid::WrongToken => "ask the operators for a token",
            Invalid::NoSuchClass => "use a class of the operators' file",
            Invalid::ClassNotAllowed => {
                "ask the operators to allow you the class"
            }
            Invalid::NoKey => {
                "send Idempotency-Key: a UUID of version 7, made anew for \
                 each new call and kept for its resends"
            }
            Invalid::BadKey => "make the key a UUID of version 7",
            Invalid::BadDeadline => {
                "send Puffinknot-Deadline-Ms as a number above zero"
            }
            Invalid::TooLarge => "send a smaller body",
            Invalid::TooSlow => "send the body within 5 s",
            Invalid::Broken => "send the whole body",
        }
    }

    fn reply(self) -> Reply {
        let body = format!("{}: {}\n", self.name(), self.remedy());
        Response::build(self.status())
            .insert_header((OUTCOME, "not-run"))
            .insert_header((REASON, self.name()))
            .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
            .body(body)
            .map_into_boxed_body()
    }
}

/// Answers one request of a caller or of the balancer.
pub async fn handle(
    traffic: Traffic,
    draining: bool,
    mut request: Request,
) -> Reply {
    let path = request.path().to_string();
    if path == "/ready" {
        return ready(&traffic, draining);
    }
    let Some(class) = path.strip_prefix("/call/") else {
        return text(StatusCode::NOT_FOUND, "use /call/CLASS or /ready");
    };
    if request.method() != Method::POST {
        return text(StatusCode::METHOD_NOT_ALLOWED, "use POST");
    }
    if traffic.control().traffic_config().revision == 0 {
        return no_config(request.headers());
    }
    let call = match admit(&traffic, class, request.headers()) {
        Ok(call) => call,
        Err(invalid) => return invalid.reply(),
    };
    let limit = traffic.control().traffic_config().config.policy.body_bytes;
    let payload = request.take_payload();
    let body = match read_body(payload, limit, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => return Invalid::TooLarge.reply(),
        Err(BodyError::TooSlow) => return Invalid::TooSlow.reply(),
        Err(BodyError::Broken) => return Invalid::Broken.reply(),
    };
    run(&traffic, call, body).await
}

fn ready(traffic: &Traffic, draining: bool) -> Reply {
    if draining {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining");
    }
    if traffic.control().traffic_config().revision == 0 {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration");
    }
    text(StatusCode::OK, "ready")
}

fn no_config(headers: &HeaderMap) -> Reply {
    let keyed = headers.contains_key(crate::target::KEY);
    let outcome = Outcome::not_run(Reason::NoConfig, 1_000);
    reply(crate::traffic::unknown_if_keyed(keyed, outcome), None)
}

async fn run(traffic: &Traffic, call: Call, body: Bytes) -> Reply {
    let (outcome, answer) = traffic.run(Origin::Caller, call, body).await;
    reply(outcome, answer)
}

/// Checks who calls and what is wanted.
fn admit(
    traffic: &Traffic,
    class: &str,
    headers: &HeaderMap,
) -> Result<Call, Invalid> {
    let shared = traffic.control().traffic_config();
    let token = header(headers, "authorization").ok_or(Invalid::NoToken)?;
    let token = token.strip_prefix("Bearer ").ok_or(Invalid::NoToken)?;
    let caller =
        shared.caller(&token_hash(token)).ok_or(Invalid::WrongToken)?;
    let class = shared.config.class(class).ok_or(Invalid::NoSuchClass)?;
    let entry = shared.config.caller(caller).ok_or(Invalid::WrongToken)?;
    if !entry.classes.contains(&class.name) {
        return Err(Invalid::ClassNotAllowed);
    }
    Ok(Call {
        caller: caller.clone(),
        class: class.name.clone(),
        remaining: deadline(class, headers)?,
        key: key(class, caller, headers)?,
    })
}

/// The SHA-256 of a token, in lower-case hexadecimal.
pub fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn deadline(class: &Class, headers: &HeaderMap) -> Result<Millis, Invalid> {
    let Some(value) = header(headers, DEADLINE) else {
        return Ok(class.deadline_ms);
    };
    let millis: Millis = value.parse().map_err(|_| Invalid::BadDeadline)?;
    if millis == 0 {
        return Err(Invalid::BadDeadline);
    }
    Ok(millis.min(class.deadline_ms))
}

/// The key of a call that must not be repeated. Other calls need none.
fn key(
    class: &Class,
    caller: &CallerId,
    headers: &HeaderMap,
) -> Result<Option<Key>, Invalid> {
    if class.repeat == Repeat::Allowed {
        return Ok(None);
    }
    let text = header(headers, crate::target::KEY).ok_or(Invalid::NoKey)?;
    let uuid = Uuid::parse_str(text.trim_matches('"'))
        .map_err(|_| Invalid::BadKey)?;
    if uuid.get_version_num() != 7 {
        return Err(Invalid::BadKey);
    }
    let caller = caller.clone();
    Ok(Some(Key { uuid: uuid.as_u128(), caller }))
}

/// The response to a call.
fn reply(outcome: Outcome, answer: Option<Answer>) -> Reply {
    match (&outcome, answer) {
        (Outcome::Answered, Some(answer)) => answered(answer),
        (Outcome::Answered, None) => ended(
            &Outcome::unknown(Reason::ConnectionLost, 1_000),
            StatusCode::BAD_GATEWAY,
        ),
        (Outcome::NotRun { reason, .. }, _) => {
            ended(&outcome, refusal_status(*reason))
        }
        (Outcome::Unknown { reason, .. }, _) => {
            ended(&outcome, unknown_status(*reason))
        }
    }
}

fn answered(answer: Answer) -> Reply {
    let status = StatusCode::from_u16(answer.status);
    let mut response = Response::build(status.unwrap_or(StatusCode::OK));
    response.insert_header((OUTCOME, "answered"));
    if let Some(content_type) = answer.content_type {
        response.insert_header((CONTENT_TYPE, content_type));
    }
    response.body(answer.body).map_into_boxed_body()
}

fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::CallerLimit | Reason::QueueFull => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::KeyTooNew => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn unknown_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::AlreadyRan | Reason::StillRunning | Reason::KeyTooOld => {
            StatusCode::CONFLICT
        }
        Reason::LateAnswer => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

/// The response to a call without an answer.
fn ended(outcome: &Outcome, status: StatusCode) -> Reply {
    let (name, reason, retry_after, advice) = match *outcome {
        Outcome::NotRun { reason, retry_after } => {
            ("not-run", reason, retry_after, "try again")
        }
        Outcome::Unknown { reason, retry_after } => {
            ("unknown", reason, retry_after, "ask again with the same key")
        }
        Outcome::Answered => return text(status, "no answer"),
    };
    let mut response = Response::build(status);
    response
        .insert_header((OUTCOME, name))
        .insert_header((REASON, reason.as_str()))
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"));
    if retry_after == Outcome::NEVER {
        let body = format!("{name}: {reason}: asking again tells no more\n");
        return response.body(body).map_into_boxed_body();
    }
    let body = format!("{name}: {reason}: {advice} in {retry_after} ms\n");
    response
        .insert_header(("retry-after", retry_after.div_ceil(1_000)))
        .insert_header((RETRY_MS, retry_after))
        .body(body)
        .map_into_boxed_body()
}
