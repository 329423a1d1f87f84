/*!
Counters and histograms in the Prometheus text exposition format.

Metrics are scraped here, while `cadence` pushes to a StatsD server. The
process therefore keeps the values, distributions with `hdrhistogram`, and
renders them on request.
*/

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::scheduler::Usage;
use puffinknot_core::jobs::{Cordon, Cordons};

use crate::cell::ports::ConnectionCounts;
use crate::clock::Micros;

/// The significant digits that histograms keep of a value.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Longer latencies are recorded as this value.
const MAX_LATENCY_MS: Millis = 60_000;
/// Larger sizes are recorded as this value.
const MAX_SIZE: u64 = 10_000_000;
/// The maximum number of client accounts on the page. Each one adds time
/// series that the scraper has to keep, and a longer page is not read.
const MAX_ACCOUNTS: usize = 64;
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// The metrics of one process.
#[derive(Default)]
pub struct Stats {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    /// Counters of the scheduler, set while this node leads.
    leader_counters: RefCell<BTreeMap<&'static str, u64>>,
    latencies: RefCell<Family>,
    /// Durations that need microsecond resolution.
    durations: RefCell<Family>,
    sizes: RefCell<Family>,
    /// How long the event loop has been busy in total.
    busy_time: Cell<Micros>,
    /// The usage of client accounts, set while this node leads.
    accounts: RefCell<Vec<AccountUsage>>,
    cordons: RefCell<Cordons>,
    /// The policy version in effect, and the age of that knowledge.
    policy: Cell<(Option<u64>, Option<Millis>)>,
    connections: Cell<ConnectionCounts>,
}

/// Distributions of values in one unit, by name.
type Family = BTreeMap<&'static str, Distribution>;

/// A histogram and the sum of its values. The mean over an interval is the
/// increase of the sum divided by the increase of the count.
struct Distribution {
    histogram: Histogram<u64>,
    sum: u64,
}

impl Distribution {
    fn new(max: u64) -> Distribution {
        let histogram = Histogram::new_with_max(max, SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("the bounds are constant"));
        Distribution { histogram, sum: 0 }
    }

    fn record(&mut self, value: u64) {
        self.histogram.saturating_record(value);
        self.sum += value;
    }

    fn render(&self, text: &mut String, family: &str, name: &str) {
        for quantile in QUANTILES {
            let value = self.histogram.value_at_quantile(quantile);
            let _ = writeln!(
                text,
                "puffinknot_{family}{{what=\"{name}\",\
                 quantile=\"{quantile}\"}} {value}"
            );
        }
        let (sum, count) = (self.sum, self.histogram.len());
        for (total, value) in [("sum", sum), ("count", count)] {
            let _ = writeln!(
                text,
                "puffinknot_{family}_{total}{{what=\"{name}\"}} {value}"
            );
        }
    }
}

fn record(family: &RefCell<Family>, name: &'static str, value: u64, max: u64) {
    let mut family = family.borrow_mut();
    let distribution = family.entry(name);
    distribution.or_insert_with(|| Distribution::new(max)).record(value);
}

/// The processor time that the running tasks of a client account use, and its
/// limit, in thousandths of a core.
struct AccountUsage {
    account: String,
    cpu_millis: u32,
    limit: u32,
}

impl Stats {
    /// Increments the counter of an event.
    pub fn count(&self, name: &'static str) {
        *self.counters.borrow_mut().entry(name).or_default() += 1;
    }

    /// Replaces the counters of the scheduler.
    pub fn set_leader_counters(&self, counters: &BTreeMap<&'static str, u64>) {
        self.leader_counters.borrow_mut().clone_from(counters);
    }

    /// Replaces the usage of client accounts. Only those that use the most
    /// processor time are kept, up to a fixed number.
    pub fn set_accounts<'a>(&self, usages: impl Iterator<Item = Usage<'a>>) {
        let mut usages: Vec<Usage> = usages.collect();
        usages.sort_by_key(|usage| u32::MAX - usage.used.cpu_millis);
        usages.truncate(MAX_ACCOUNTS);
        let rows = usages.into_iter().map(|usage| AccountUsage {
            account: usage.account.to_string(),
            cpu_millis: usage.used.cpu_millis,
            limit: usage.limit.cpu_millis,
        });
        *self.accounts.borrow_mut() = rows.collect();
    }

    /// Replaces the set of cordoned data centres.
    pub fn set_cordons(&self, cordons: &Cordons) {
        self.cordons.borrow_mut().clone_from(cordons);
    }

    /// Sets the policy version in effect, and for how long it has been unknown
    /// whether there is a newer one.
    pub fn set_policy(&self, version: Option<u64>, age: Option<Millis>) {
        self.policy.set((version, age));
    }

    /// Sets the counts of connections to executors and to the platform's
    /// services.
    pub fn set_connections(&self, counts: ConnectionCounts) {
        self.connections.set(counts);
    }

    /// Adds a value to a histogram of latencies, in milliseconds.
    pub fn record_latency(&self, name: &'static str, latency: Millis) {
        record(&self.latencies, name, latency, MAX_LATENCY_MS);
    }

    /// Adds a value to a histogram of durations, in microseconds.
    pub fn record_duration(&self, name: &'static str, duration: Micros) {
        record(&self.durations, name, duration, MAX_LATENCY_MS * 1_000);
    }

    /// Adds a value to a histogram of sizes.
    pub fn record_size(&self, name: &'static str, size: u64) {
        record(&self.sizes, name, size, MAX_SIZE);
    }

    /// Sets how long the event loop has been busy since the process started.
    pub fn set_busy(&self, busy_time: Micros) {
        self.busy_time.set(busy_time);
    }

    /// All metrics in the Prometheus text exposition format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut counter = |kind: &str, name: &str, value: u64| {
            let _ = writeln!(
                text,
                "puffinknot_{kind}_total{{what=\"{name}\"}} {value}"
            );
        };
        for (name, value) in self.counters.borrow().iter() {
            counter("node", name, *value);
        }
        for (name, value) in self.leader_counters.borrow().iter() {
            counter("leader", name, *value);
        }
        for row in self.accounts.borrow().iter() {
            let AccountUsage { account, cpu_millis, limit } = row;
            for (what, value) in [("held", cpu_millis), ("limit", limit)] {
                let _ = writeln!(
                    text,
                    "puffinknot_account_cpu_millis{{account={account:?},\
                     what=\"{what}\"}} {value}"
                );
            }
        }
        for (Cordon { dc, by }, revision) in self.cordons.borrow().iter() {
            let _ = writeln!(
                text,
                "puffinknot_cordon_revision{{dc={dc:?},by=\"{by:?}\"}} \
                 {revision}"
            );
        }
        let (version, age) = self.policy.get();
        for (name, value) in [("version", version), ("age_ms", age)] {
            if let Some(value) = value {
                let _ = writeln!(text, "puffinknot_policy_{name} {value}");
            }
        }
        let ConnectionCounts { open, opened, reset } = self.connections.get();
        let _ = writeln!(text, "puffinknot_connections_open {open}");
        for (what, count) in [("opened", opened), ("reset", reset)] {
            let _ = writeln!(
                text,
                "puffinknot_connections_total{{what=\"{what}\"}} {count}"
            );
        }
        let _ = writeln!(
            text,
            "puffinknot_busy_us_total {}",
            self.busy_time.get()
        );
        let families = [
            ("latency_ms", &self.latencies),
            ("time_us", &self.durations),
            ("size", &self.sizes),
        ];
        for (family, distributions) in families {
            for (name, distribution) in distributions.borrow().iter() {
                distribution.render(&mut text, family, name);
            }
        }
        text
    }
}
