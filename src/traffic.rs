/*!
The way of one call through a traffic thread.

The control thread decides; this module does what it says: it sends the call
to an executor or to another entry VM, reports how that ended, and hands the
answer back. An attempt at an executor goes on after the caller was told that
its deadline has passed, since only its end frees the slot.
*/

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use bytes::Bytes;
use puffinknot_core::calls::CallId;
use puffinknot_core::keys::Key;
use puffinknot_core::node::{Call, Event};
use puffinknot_core::outcome::{Outcome, Reason};
use uuid::Uuid;

use crate::control::{Control, Origin, Step};
use crate::link::Links;
use crate::platform::http_client;
use crate::target::{self, ExecutorCall};
use crate::wire::{Answer, Hello, Hop, Request, Response};

/// A hop gets this much longer than the call's deadline, so that the peer
/// can say what became of the call.
const HOP_GRACE: Duration = Duration::from_millis(500);

/// What one traffic thread works with.
#[derive(Clone)]
pub struct Traffic {
    control: Control,
    client: Client,
    links: Links,
}

/// Where the answer of an attempt is left for the caller.
type Slot = Rc<RefCell<Option<Answer>>>;

impl Traffic {
    /// The means of a thread that connects from `ip`.
    pub fn new(control: Control, hello: Hello, ip: IpAddr) -> Traffic {
        let links = Links::new(hello, ip);
        Traffic { control, client: http_client(ip), links }
    }

    /// The way to the control thread.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Leads a call to its end.
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
        let slot = Slot::default();
        while let Some(step) = pending.step().await {
            match step {
                Step::Dispatch { addr, epoch, request } => {
                    let key = key.as_ref().map(key_text);
                    let limit = self.body_limit();
                    let body = body.clone();
                    let out =
                        ExecutorCall { epoch, request, key, body, limit };
                    self.attempt(id, addr, out, slot.clone());
                }
                Step::Forward { addr, scope, call } => {
                    let hop = Hop { scope, call, body: body.to_vec() };
                    self.forward(id, addr, hop, slot.clone());
                }
                Step::Answer(outcome) => {
                    return (outcome, slot.borrow_mut().take());
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
        out: ExecutorCall,
        slot: Slot,
    ) {
        let client = self.client.clone();
        let control = self.control.clone();
        actix_rt::spawn(async move {
            let (attempt, answer) = target::call(&client, addr, out).await;
            *slot.borrow_mut() = answer;
            control.event(Event::Attempted(id, attempt));
        });
    }

    fn forward(&self, id: CallId, addr: SocketAddr, hop: Hop, slot: Slot) {
        let links = self.links.clone();
        let control = self.control.clone();
        let within = Duration::from_millis(hop.call.remaining) + HOP_GRACE;
        actix_rt::spawn(async move {
            let request = Request::Hop(hop);
            let event = match links.request(addr, &request, within).await {
                Ok(Response::Ended(outcome, answer)) => {
                    *slot.borrow_mut() = answer;
                    Event::HopEnded(id, outcome)
                }
                Ok(_) => Event::HopFailed { id, sent: false },
                Err(err) => Event::HopFailed { id, sent: err.sent },
            };
            control.event(event);
        });
    }
}

/// A refusal of this VM says nothing about earlier attempts of a call with
/// a key.
pub fn unknown_if_keyed(keyed: bool, outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::NotRun { reason, retry_after } if keyed => {
            Outcome::unknown(reason, retry_after)
        }
        other => other,
    }
}

fn key_text(key: &Key) -> String {
    Uuid::from_u128(key.uuid).to_string()
}
