/*!
Counters and latency histograms, as text in the Prometheus exposition form.

`cadence` pushes to a StatsD server; here the figures are fetched, so that
they are kept in the process (`hdrhistogram`) and rendered when asked for.
*/

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::scheduler::Usage;
use puffinknot_core::jobs::{Cordon, Cordons};

use crate::clock::Micros;

/// The digits of a latency that are kept.
const DIGITS: u8 = 2;
/// The longest latency that is told from longer ones, in milliseconds.
const LONGEST: Millis = 60_000;
/// The largest size that is told from larger ones.
const LARGEST: u64 = 10_000_000;
/// The accounts that are shown at the most: more would make a page that
/// nobody reads and a series for each that somebody keeps.
const MOST_ACCOUNTS: usize = 64;
/// The quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// The figures of one process.
#[derive(Default)]
pub struct Stats {
    counters: RefCell<BTreeMap<&'static str, u64>>,
    /// Counters of the scheduler, while this node leads.
    leading: RefCell<BTreeMap<&'static str, u64>>,
    latencies: RefCell<Family>,
    /// What is too short for milliseconds.
    times: RefCell<Family>,
    sizes: RefCell<Family>,
    /// How long the process's loop has not waited, in microseconds.
    busy: Cell<Micros>,
    /// What client accounts have running, while this node leads.
    accounts: RefCell<Vec<AccountUsage>>,
    cordons: RefCell<Cordons>,
}

/// Distributions of one unit, by their names.
type Family = BTreeMap<&'static str, Distribution>;

/// How a figure is distributed, and its sum: the mean of a time is the sum's
/// growth divided by that of the count.
struct Distribution {
    histogram: Histogram<u64>,
    sum: u64,
}

impl Distribution {
    fn new(most: u64) -> Distribution {
        let histogram = Histogram::new_with_max(most, DIGITS)
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

fn record(
    family: &RefCell<Family>,
    name: &'static str,
    value: u64,
    most: u64,
) {
    let mut family = family.borrow_mut();
    let distribution = family.entry(name);
    distribution.or_insert_with(|| Distribution::new(most)).record(value);
}

/// What a client account has running, and may have, in thousandths of a core.
struct AccountUsage {
    account: String,
    cpu_millis: u32,
    limit: u32,
}

impl Stats {
    /// Counts an event.
    pub fn count(&self, name: &'static str) {
        *self.counters.borrow_mut().entry(name).or_default() += 1;
    }

    /// Takes over the counters of the scheduler.
    pub fn set_leader_counters(&self, counters: &BTreeMap<&'static str, u64>) {
        self.leading.borrow_mut().clone_from(counters);
    }

    /// Takes over what client accounts have running: those with the most, up
    /// to a bound.
    pub fn set_accounts<'a>(&self, all: impl Iterator<Item = Usage<'a>>) {
        let mut all: Vec<Usage> = all.collect();
        all.sort_by_key(|usage| u32::MAX - usage.used.cpu_millis);
        all.truncate(MOST_ACCOUNTS);
        let rows = all.into_iter().map(|usage| AccountUsage {
            account: usage.account.to_string(),
            cpu_millis: usage.used.cpu_millis,
            limit: usage.limit.cpu_millis,
        });
        *self.accounts.borrow_mut() = rows.collect();
    }

    /// Takes over which data centres take no new work.
    pub fn set_cordons(&self, cordons: &Cordons) {
        self.cordons.borrow_mut().clone_from(cordons);
    }

    /// Takes in how long something took.
    pub fn record_latency(&self, name: &'static str, time: Millis) {
        record(&self.latencies, name, time, LONGEST);
    }

    /// Takes in how long something short took.
    pub fn record_duration(&self, name: &'static str, time: Micros) {
        record(&self.times, name, time, LONGEST * 1_000);
    }

    /// Takes in how many there were of something at one time.
    pub fn record_size(&self, name: &'static str, count: u64) {
        record(&self.sizes, name, count, LARGEST);
    }

    /// Takes over for how long the process's loop has not waited.
    pub fn set_busy(&self, busy: Micros) {
        self.busy.set(busy);
    }

    /// All figures as text.
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
        for (name, value) in self.leading.borrow().iter() {
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
        let _ = writeln!(text, "puffinknot_busy_us_total {}", self.busy.get());
        let families = [
            ("latency_ms", &self.latencies),
            ("time_us", &self.times),
            ("size", &self.sizes),
        ];
        for (family, all) in families {
            for (name, distribution) in all.borrow().iter() {
                distribution.render(&mut text, family, name);
            }
        }
        text
    }
}
