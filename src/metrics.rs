/*!
Counters over StatsD, by `cadence`.

Each refusal and retry reason has a counter of its own, with the same figures
as in the status. Counters are sent as their increase since the last time.
*/

use std::collections::BTreeMap;
use std::net::UdpSocket;

use cadence::{
    Counted, MetricSink, NopMetricSink, StatsdClient, UdpMetricSink,
};
use log::warn;
use puffinknot_core::node::Counters;
use puffinknot_core::outcome::Reason;

use crate::settings::Settings;

/// The prefix of every metric.
const PREFIX: &str = "puffinknot";

/// The sender of metrics.
pub struct Metrics {
    client: StatsdClient,
    sent: Counters,
}

impl Metrics {
    /// Metrics that go where the settings say, or nowhere.
    pub fn new(settings: &Settings) -> Metrics {
        let client = match settings.statsd {
            Some(addr) => match udp(settings, addr) {
                Ok(sink) => client(sink),
                Err(err) => {
                    warn!("metrics: can't send to {addr}: {err}.");
                    client(NopMetricSink)
                }
            },
            None => client(NopMetricSink),
        };
        Metrics { client, sent: Counters::default() }
    }

    /// Sends what has been counted since the last time.
    pub fn send(&mut self, counters: &Counters) {
        let sent = std::mem::replace(&mut self.sent, counters.clone());
        self.count("calls", sent.calls, counters.calls);
        self.count("hops", sent.hops, counters.hops);
        self.count("answered", sent.answered, counters.answered);
        self.count("claims", sent.claims, counters.claims);
        self.count("handovers", sent.handovers, counters.handovers);
        let writes = [
            ("lost", sent.writes_lost, counters.writes_lost),
            ("unknown", sent.writes_unknown, counters.writes_unknown),
            ("not-made", sent.writes_not_made, counters.writes_not_made),
        ];
        for (name, before, after) in writes {
            self.count(&format!("writes.{name}"), before, after);
        }
        self.by_reason("refused", &sent.refused, &counters.refused);
        self.by_reason("unknown", &sent.unknown, &counters.unknown);
        self.by_reason("retries", &sent.retries, &counters.retries);
    }

    fn by_reason(
        &self,
        name: &str,
        before: &BTreeMap<Reason, u64>,
        after: &BTreeMap<Reason, u64>,
    ) {
        for (reason, count) in after {
            let earlier = before.get(reason).copied().unwrap_or(0);
            self.count(&format!("{name}.{reason}"), earlier, *count);
        }
    }

    fn count(&self, name: &str, before: u64, after: u64) {
        let increase = after.saturating_sub(before);
        if increase > 0 {
            // A lost metric is no reason to stop.
            let _ = self.client.count(name, increase as i64);
        }
    }
}

fn client<
    S: MetricSink + Sync + Send + 'static + std::panic::RefUnwindSafe,
>(
    sink: S,
) -> StatsdClient {
    StatsdClient::from_sink(PREFIX, sink)
}

fn udp(
    settings: &Settings,
    addr: std::net::SocketAddr,
) -> Result<UdpMetricSink, cadence::MetricError> {
    let socket = UdpSocket::bind((settings.ip(), 0))?;
    socket.set_nonblocking(true)?;
    UdpMetricSink::from(addr, socket)
}
