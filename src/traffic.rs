/*!
The handling of calls on a traffic thread.

The control thread decides what to do with a call, and this module does it: it
sends the call to an executor or to another entry VM, reports the result, and
returns the answer. An attempt at an executor continues after the caller was
told that the deadline has passed, because the executor's slot stays in use
until the attempt ends.
*/

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use bytes::Bytes;
use puffinknot_core::calls::CallId;
use puffinknot_core::idempotency::IdempotencyKey;
use puffinknot_core::node::{Call, Event};
use puffinknot_core::outcome::{Outcome, Reason};
use uuid::Uuid;

use crate::control::{Control, Origin, Step};
use crate::link::Links;
use crate::platform::http_client;
use crate::target::{self, ExecutorCall};
use crate::wire::{Answer, Hello, Hop, Request, Response};

/// The time that a hop may take beyond the call's deadline, so that the peer
/// can report the outcome of the call.
const HOP_GRACE: Duration = Duration::from_millis(500);

/// What a traffic thread needs to handle calls.
#[derive(Clone)]
pub struct Traffic {
    control: Control,
    client: Client,
    links: Links,
}

/// The answer of an executor or peer, until it is returned to the origin of
/// the call.
type AnswerCell = Rc<RefCell<Option<Answer>>>;

impl Traffic {
    /// Creates the clients for a thread that connects from `ip`.
    pub fn new(control: Control, hello: Hello, ip: IpAddr) -> Traffic {
        let links = Links::new(hello, ip);
        Traffic { control, client: http_client(ip), links }
    }

    /// The handle of the control thread.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Handles a call until it ends. Returns its outcome, and the answer if
    /// there is one.
    pub async fn run(
        &self,
        origin: Origin,
        call: Call,
        body: Bytes,
    ) -> (Outcome, Option<Answer>) {
        let key = call.key.clone();
        let Some(mut pending) = self.control.begin(origin, call) else {
            let outcome = Outcome::not_run(Reason::QueueFull, 1_000);
            return (unknown_if_keyed(key.is_some(), outcome), None);
        };
        let id = pending.id();
        let answer_cell = AnswerCell::default();
        while let Some(step) = pending.step().await {
            match step {
                Step::Dispatch { addr, epoch, request } => {
                    let key = key.as_ref().map(format_key);
                    let limit = self.body_limit();
                    let body = body.clone();
                    let call =
                        ExecutorCall { epoch, request, key, body, limit };
                    self.attempt(id, addr, call, answer_cell.clone());
                }
                Step::Forward { addr, scope, call } => {
                    let hop = Hop { scope, call, body: body.to_vec() };
                    self.forward(id, addr, hop, answer_cell.clone());
                }
                Step::Answer(outcome) => {
                    return (outcome, answer_cell.borrow_mut().take());
                }
            }
        }
        let outcome = Outcome::unknown(Reason::ConnectionLost, 1_000);
        (outcome, None)
    }

    fn body_limit(&self) -> usize {
        self.control.traffic_config().config.policy.body_bytes
    }

    fn attempt(
        &self,
        id: CallId,
        addr: SocketAddr,
        call: ExecutorCall,
        answer_cell: AnswerCell,
    ) {
        let client = self.client.clone();
        let control = self.control.clone();
        actix_rt::spawn(async move {
            let (attempt, answer) = target::call(&client, addr, call).await;
            *answer_cell.borrow_mut() = answer;
            control.event(Event::AttemptEnded(id, attempt));
        });
    }

    fn forward(
        &self,
        id: CallId,
        addr: SocketAddr,
        hop: Hop,
        answer_cell: AnswerCell,
    ) {
        let links = self.links.clone();
        let control = self.control.clone();
        let time_limit = Duration::from_millis(hop.call.remaining) + HOP_GRACE;
        actix_rt::spawn(async move {
            let request = Request::Hop(hop);
            let event = match links.request(addr, &request, time_limit).await {
                Ok(Response::Ended(outcome, answer)) => {
                    *answer_cell.borrow_mut() = answer;
                    Event::HopEnded(id, outcome)
                }
                Ok(_) => Event::HopFailed { id, sent: false },
                Err(err) => Event::HopFailed { id, sent: err.sent },
            };
            control.event(event);
        });
    }
}

/// Turns "not run" into "unknown" for a call with a key, because a refusal by
/// this VM says nothing about earlier attempts with the same key.
pub fn unknown_if_keyed(keyed: bool, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::NotRun { reason, retry_after } if keyed => {
            Outcome::unknown(reason, retry_after)
        }
        other => other,
    }
}

fn format_key(key: &IdempotencyKey) -> String {
    Uuid::from_u128(key.uuid).to_string()
}
