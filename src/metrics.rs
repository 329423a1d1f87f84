/*!
The counters of a node as StatsD metrics, sent with `cadence`.

Each reason of a refusal, an unknown outcome or a retry has its own counter,
with the same value as in the status. A counter is sent as its increase since
the previous transmission.
*/

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::{
    Counted, MetricSink, NopMetricSink, StatsdClient, UdpMetricSink,
};
use log::warn;
use puffinknot_core::node::Counters;
use puffinknot_core::outcome::Reason;

use crate::settings::Settings;

/// The prefix of every metric name.
const PREFIX: &str = "puffinknot";

/// Counts the events of servers, such as refused connections, on any thread.
#[derive(Debug, Default)]
pub struct EventCounts {
    counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl EventCounts {
    /// Increments the counter of an event.
    pub fn count(&self, what: &'static str) {
        *self.lock().entry(what).or_default() += 1;
    }

    fn get(&self) -> BTreeMap<&'static str, u64> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, u64>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends metrics.
pub struct Metrics {
    client: StatsdClient,
    last_sent: Counters,
    events: Arc<EventCounts>,
    last_events: BTreeMap<&'static str, u64>,
}

impl Metrics {
    /// Creates a sender to the address in the settings. Without an address,
    /// or if the socket can't be opened, metrics are discarded.
    pub fn new(settings: &Settings) -> Metrics {
        let client = match settings.statsd {
            Some(addr) => match udp_sink(settings, addr) {
                Ok(sink) => statsd_client(sink),
                Err(err) => {
                    warn!("metrics: can't open a socket to {addr}: {err}.");
                    statsd_client(NopMetricSink)
                }
            },
            None => statsd_client(NopMetricSink),
        };
        Metrics {
            client,
            last_sent: Counters::default(),
            events: Arc::default(),
            last_events: BTreeMap::new(),
        }
    }

    /// The counters of servers, which are sent, too.
    pub fn events(&self) -> Arc<EventCounts> {
        self.events.clone()
    }

    /// Sends the increase of each counter since the previous call.
    pub fn send(&mut self, counters: &Counters) {
        let events = self.events.get();
        let sent = std::mem::replace(&mut self.last_events, events.clone());
        for (name, after) in events {
            let before = sent.get(name).copied().unwrap_or_default();
            self.send_increase(&format!("server.{name}"), before, after);
        }
        let sent = std::mem::replace(&mut self.last_sent, counters.clone());
        self.send_increase("calls", sent.calls, counters.calls);
        self.send_increase("hops", sent.hops, counters.hops);
        self.send_increase("answered", sent.answered, counters.answered);
        self.send_increase("claims", sent.claims, counters.claims);
        self.send_increase("handovers", sent.handovers, counters.handovers);
        let writes = [
            ("lost", sent.writes_lost, counters.writes_lost),
            ("unknown", sent.writes_unknown, counters.writes_unknown),
            ("not-made", sent.writes_not_made, counters.writes_not_made),
        ];
        for (name, before, after) in writes {
            self.send_increase(&format!("writes.{name}"), before, after);
        }
        self.send_by_reason("refused", &sent.refused, &counters.refused);
        self.send_by_reason("unknown", &sent.unknown, &counters.unknown);
        self.send_by_reason("retries", &sent.retries, &counters.retries);
    }

    fn send_by_reason(
        &self,
        name: &str,
        before: &BTreeMap<Reason, u64>,
        after: &BTreeMap<Reason, u64>,
    ) {
        for (reason, count) in after {
            let earlier = before.get(reason).copied().unwrap_or(0);
            self.send_increase(&format!("{name}.{reason}"), earlier, *count);
        }
    }

    fn send_increase(&self, name: &str, before: u64, after: u64) {
        let increase = after.saturating_sub(before);
        if increase > 0 {
            // A metric that can't be sent is lost; that is no failure.
            let _ = self.client.count(name, increase as i64);
        }
    }
}

fn statsd_client<
    S: MetricSink + Sync + Send + 'static + std::panic::RefUnwindSafe,
>(
    sink: S,
) -> StatsdClient {
    StatsdClient::from_sink(PREFIX, sink)
}

fn udp_sink(
    settings: &Settings,
    addr: std::net::SocketAddr,
) -> Result<UdpMetricSink, cadence::MetricError> {
    let socket = UdpSocket::bind((settings.ip(), 0))?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket)
}
