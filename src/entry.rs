/*!
The HTTP interface for callers: `POST /call/CLASS`, and `GET /ready` for the
load balancer.

The headers of a call:

* `Authorization: Bearer TOKEN`; the operators' file has the token's SHA-256.
* `Idempotency-Key`, a version 7 UUID, for a class whose calls must not be
  repeated. A retry carries the same key.
* `Puffinknot-Deadline-Ms`, optional, for a shorter deadline than that of the
  class.

The response has the outcome of the call in `Puffinknot-Outcome`: `answered`,
`not-run` or `unknown`. Unless the call was answered, `Puffinknot-Reason` has
the reason, and `Retry-After` and `Puffinknot-Retry-After-Ms` the delay before
a retry. A call that is invalid or whose retry is pointless has no delay.
*/

use std::time::Duration;

use actix_http::header::{HeaderMap, CONTENT_TYPE};
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use bytes::Bytes;
use puffinknot_core::config::{Class, Repeat};
use puffinknot_core::idempotency::IdempotencyKey;
use puffinknot_core::ids::{CallerId, Millis};
use puffinknot_core::node::Call;
use puffinknot_core::outcome::{Outcome, Reason};
use sha2::{Digest, Sha256};
use uuid::Uuid;

use crate::control::Origin;
use crate::http::{header, read_body, text, BodyError, Reply};
use crate::traffic::Traffic;
use crate::wire::Answer;

/// The timeout of reading the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const OUTCOME_HEADER: &str = "puffinknot-outcome";
const REASON_HEADER: &str = "puffinknot-reason";
const RETRY_AFTER_MS_HEADER: &str = "puffinknot-retry-after-ms";
const DEADLINE_HEADER: &str = "puffinknot-deadline-ms";

/// Why a request is not a valid call. Such a request is never run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidCall {
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

impl InvalidCall {
    fn status(self) -> StatusCode {
        match self {
            InvalidCall::NoToken | InvalidCall::WrongToken => {
                StatusCode::UNAUTHORIZED
            }
            InvalidCall::NoSuchClass => StatusCode::NOT_FOUND,
            InvalidCall::ClassNotAllowed => StatusCode::FORBIDDEN,
            InvalidCall::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidCall::TooSlow => StatusCode::REQUEST_TIMEOUT,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    fn name(self) -> &'static str {
        match self {
            InvalidCall::NoToken => "no-token",
            InvalidCall::WrongToken => "wrong-token",
            InvalidCall::NoSuchClass => "no-such-class",
            InvalidCall::ClassNotAllowed => "class-not-allowed",
            InvalidCall::NoKey => "no-key",
            InvalidCall::BadKey => "bad-key",
            InvalidCall::BadDeadline => "bad-deadline",
            InvalidCall::TooLarge => "body-too-large",
            InvalidCall::TooSlow => "body-too-slow",
            InvalidCall::Broken => "body-broken",
        }
    }

    fn remedy(self) -> &'static str {
        match self {
            InvalidCall::NoToken => "send Authorization: Bearer TOKEN",
            InvalidCall::WrongToken => "ask the operators for a token",
            InvalidCall::NoSuchClass => "use a class of the operators' file",
            InvalidCall::ClassNotAllowed => {
                "ask the operators to allow you the class"
            }
            InvalidCall::NoKey => {
                "send Idempotency-Key: a UUID of version 7, made anew for \
                 each new call and kept for its resends"
            }
            InvalidCall::BadKey => "make the key a UUID of version 7",
            InvalidCall::BadDeadline => {
                "send Puffinknot-Deadline-Ms as a number above zero"
            }
            InvalidCall::TooLarge => "send a smaller body",
            InvalidCall::TooSlow => "send the body within 5 s",
            InvalidCall::Broken => "send the whole body",
        }
    }

    /// Whether a newer operators' file might allow the call.
    fn depends_on_file(self) -> bool {
        match self {
            InvalidCall::WrongToken
            | InvalidCall::NoSuchClass
            | InvalidCall::ClassNotAllowed
            | InvalidCall::NoKey
            | InvalidCall::TooLarge => true,
            InvalidCall::NoToken
            | InvalidCall::BadKey
            | InvalidCall::BadDeadline
            | InvalidCall::TooSlow
            | InvalidCall::Broken => false,
        }
    }

    fn reply(self) -> Reply {
        let body = format!("{}: {}\n", self.name(), self.remedy());
        Response::build(self.status())
            .insert_header((OUTCOME_HEADER, "not-run"))
            .insert_header((REASON_HEADER, self.name()))
            .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"))
            .body(body)
            .map_into_boxed_body()
    }
}

/// Handles a request of a caller or of the load balancer.
pub async fn handle(
    traffic: Traffic,
    draining: bool,
    mut request: Request,
) -> Reply {
    let path = request.path().to_string();
    if path == "/ready" {
        return readiness(&traffic, draining);
    }
    let Some(class) = path.strip_prefix("/call/") else {
        return text(StatusCode::NOT_FOUND, "use /call/CLASS or /ready");
    };
    if request.method() != Method::POST {
        return text(StatusCode::METHOD_NOT_ALLOWED, "use POST");
    }
    if traffic.control().traffic_config().revision == 0 {
        return no_config_reply(request.headers());
    }
    let call = match parse_call(&traffic, class, request.headers()) {
        Ok(call) => call,
        Err(invalid) => return reject(&traffic, &request, invalid),
    };
    let limit = traffic.control().traffic_config().config.policy.body_bytes;
    let payload = request.take_payload();
    let body = match read_body(payload, limit, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(BodyError::TooLarge) => {
            return reject(&traffic, &request, InvalidCall::TooLarge);
        }
        Err(BodyError::TooSlow) => return InvalidCall::TooSlow.reply(),
        Err(BodyError::Broken) => return InvalidCall::Broken.reply(),
        Err(BodyError::NoRoom) => {
            return not_run_reply(request.headers(), Reason::NoRoom)
        }
    };
    run(&traffic, call, body).await
}

fn readiness(traffic: &Traffic, draining: bool) -> Reply {
    if draining {
        return text(StatusCode::SERVICE_UNAVAILABLE, "draining");
    }
    if traffic.control().traffic_config().revision == 0 {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no configuration");
    }
    text(StatusCode::OK, "ready")
}

/// The response to an invalid call. A file that may be outdated rules nothing
/// out for good.
fn reject(traffic: &Traffic, request: &Request, why: InvalidCall) -> Reply {
    if why.depends_on_file() && !traffic.control().is_config_current() {
        return no_config_reply(request.headers());
    }
    why.reply()
}

fn no_config_reply(headers: &HeaderMap) -> Reply {
    not_run_reply(headers, Reason::NoConfig)
}

fn not_run_reply(headers: &HeaderMap, reason: Reason) -> Reply {
    let keyed = headers.contains_key(crate::target::KEY);
    let outcome = Outcome::not_run(reason, 1_000);
    reply(crate::traffic::unknown_if_keyed(keyed, outcome), None)
}

async fn run(traffic: &Traffic, call: Call, body: Bytes) -> Reply {
    let (outcome, answer) = traffic.run(Origin::Caller, call, body).await;
    reply(outcome, answer)
}

/// Authenticates the caller and builds the call from the headers, or says
/// what is invalid.
fn parse_call(
    traffic: &Traffic,
    class: &str,
    headers: &HeaderMap,
) -> Result<Call, InvalidCall> {
    let traffic_config = traffic.control().traffic_config();
    let token =
        header(headers, "authorization").ok_or(InvalidCall::NoToken)?;
    let token = token.strip_prefix("Bearer ").ok_or(InvalidCall::NoToken)?;
    let caller = traffic_config
        .caller(&token_hash(token))
        .ok_or(InvalidCall::WrongToken)?;
    let class =
        traffic_config.config.class(class).ok_or(InvalidCall::NoSuchClass)?;
    let caller_config =
        traffic_config.config.caller(caller).ok_or(InvalidCall::WrongToken)?;
    if !caller_config.classes.contains(&class.name) {
        return Err(InvalidCall::ClassNotAllowed);
    }
    Ok(Call {
        caller: caller.clone(),
        class: class.name.clone(),
        remaining: deadline(class, headers)?,
        key: idempotency_key(class, caller, headers)?,
    })
}

/// The SHA-256 of a token, in lower-case hexadecimal.
pub fn token_hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn deadline(
    class: &Class,
    headers: &HeaderMap,
) -> Result<Millis, InvalidCall> {
    let Some(value) = header(headers, DEADLINE_HEADER) else {
        return Ok(class.deadline_ms);
    };
    let millis: Millis =
        value.parse().map_err(|_| InvalidCall::BadDeadline)?;
    if millis == 0 {
        return Err(InvalidCall::BadDeadline);
    }
    Ok(millis.min(class.deadline_ms))
}

/// The idempotency key, if the class requires one.
fn idempotency_key(
    class: &Class,
    caller: &CallerId,
    headers: &HeaderMap,
) -> Result<Option<IdempotencyKey>, InvalidCall> {
    if class.repeat == Repeat::Allowed {
        return Ok(None);
    }
    let text =
        header(headers, crate::target::KEY).ok_or(InvalidCall::NoKey)?;
    let uuid = Uuid::parse_str(text.trim_matches('"'))
        .map_err(|_| InvalidCall::BadKey)?;
    if uuid.get_version_num() != 7 {
        return Err(InvalidCall::BadKey);
    }
    let caller = caller.clone();
    Ok(Some(IdempotencyKey { uuid: uuid.as_u128(), caller }))
}

/// The response to a call.
fn reply(outcome: Outcome, answer: Option<Answer>) -> Reply {
    match (&outcome, answer) {
        (Outcome::Answered, Some(answer)) => answered(answer),
        (Outcome::Answered, None) => unanswered(
            &Outcome::unknown(Reason::ConnectionLost, 1_000),
            StatusCode::BAD_GATEWAY,
        ),
        (Outcome::NotRun { reason, .. }, _) => {
            unanswered(&outcome, refusal_status(*reason))
        }
        (Outcome::Unknown { reason, .. }, _) => {
            unanswered(&outcome, unknown_status(*reason))
        }
    }
}

fn answered(answer: Answer) -> Reply {
    let status = StatusCode::from_u16(answer.status);
    let mut response = Response::build(status.unwrap_or(StatusCode::OK));
    response.insert_header((OUTCOME_HEADER, "answered"));
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

/// The response to a call that was not answered.
fn unanswered(outcome: &Outcome, status: StatusCode) -> Reply {
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
        .insert_header((OUTCOME_HEADER, name))
        .insert_header((REASON_HEADER, reason.as_str()))
        .insert_header((CONTENT_TYPE, "text/plain; charset=utf-8"));
    if retry_after == Outcome::NEVER {
        let body = format!("{name}: {reason}: asking again tells no more\n");
        return response.body(body).map_into_boxed_body();
    }
    let body = format!("{name}: {reason}: {advice} in {retry_after} ms\n");
    response
        .insert_header(("retry-after", retry_after.div_ceil(1_000)))
        .insert_header((RETRY_AFTER_MS_HEADER, retry_after))
        .body(body)
        .map_into_boxed_body()
}
