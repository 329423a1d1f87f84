/*!
The list of machines, served at `GET /v1/machines`. Orders about
machines, which use other methods, are refused.
*/

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_http::{Method, Request, StatusCode};
use puffinknot::http::{json, text, Reply};
use serde_json::{json, Value};
use tokio::time::sleep;

use super::lock;
use crate::server::Running;

#[derive(Default)]
struct State {
    /// Each state of the list with the time from which it holds, oldest first.
    history: Vec<(Instant, Vec<Value>)>,
    /// The age of the state that is shown.
    lag: Duration,
    /// The delay of each answer.
    delay: Duration,
}

/// The list of machines and its earlier states.
#[derive(Clone, Default)]
pub(super) struct List(Arc<Mutex<State>>);

impl List {
    pub(super) fn serve(&self, addr: &str) -> std::io::Result<Running> {
        let list = self.clone();
        Running::start(addr, move || {
            let list = list.clone();
            move |request: Request| {
                let list = list.clone();
                async move { list.answer(&request).await }
            }
        })
    }

    pub(super) fn push(&self, rows: Vec<Value>) {
        lock(&self.0).history.push((Instant::now(), rows));
    }

    pub(super) fn set_fault(&self, lag: Duration, delay: Duration) {
        let mut state = lock(&self.0);
        state.lag = lag;
        state.delay = delay;
    }

    async fn answer(&self, request: &Request) -> Reply {
        if request.method() != Method::GET {
            return text(StatusCode::BAD_REQUEST, "no such machine");
        }
        let delay = lock(&self.0).delay;
        sleep(delay).await;
        json(StatusCode::OK, &json!({ "Machines": self.rows() }))
    }

    fn rows(&self) -> Vec<Value> {
        let state = lock(&self.0);
        let lag = state.lag;
        let shown = state.history.iter().rev();
        let mut shown = shown.skip_while(|(since, _)| since.elapsed() < lag);
        let shown = shown.next().or(state.history.first());
        shown.map(|(_, rows)| rows.clone()).unwrap_or_default()
    }
}
