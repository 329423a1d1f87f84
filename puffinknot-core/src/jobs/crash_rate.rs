/*!
How often executors crash by causes other than a given task.

If several tasks are suspected of a crash, it is evidence against each of them,
and counts as unrelated to every other task. Counting only crashes of executors
without suspected tasks would miss nearly all of them in a busy cell. Once a
task is known to crash executors, the crashes that it may have caused no longer
count for any other task.
*/

use std::collections::{BTreeSet, VecDeque};

use crate::ids::Millis;
use crate::jobs::model::TaskKey;

/// The lowest rate that is assumed, in crashes per second and executor: a
/// quarter of the executors every five seconds. The past does not show trouble
/// that is just beginning.
pub const MIN_CRASH_RATE: f64 = 0.05;
/// The prior, in executor-seconds: as if executors had been observed for this
/// long and one had crashed. With little data they may well crash so often
/// that the loss of a run is weak evidence.
const PRIOR_EXECUTOR_SECONDS: f64 = 10.0;
/// The half-widths of the windows around a moment over which the rate is
/// computed. The highest rate counts: a long window dilutes trouble that has
/// just begun, and a short one misses crashes that come at intervals.
const WINDOWS_MS: [Millis; 2] = [5_000, 20_000];
/// How long a crash may still be attributed to a task that is identified
/// later.
const ATTRIBUTION_MS: Millis = 40_000;
/// How long crashes are kept: long enough to compute the rate at any moment
/// within [`ATTRIBUTION_MS`] with the widest window.
const RETENTION_MS: Millis = ATTRIBUTION_MS + 20_000;
/// The time between two counts of the live executors.
const COUNT_INTERVAL_MS: Millis = 200;

/// Recent crashes of executors, and how long executors were alive meanwhile.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    /// The time of each count, and how long executors were alive since the
    /// count before, in executor-milliseconds.
    alive: VecDeque<(Millis, u64)>,
    crashes: VecDeque<Crash>,
}

/// A crash of an executor.
#[derive(Clone, Debug)]
struct Crash {
    at: Millis,
    /// The tasks that may have caused it, each by its representative.
    suspects: BTreeSet<TaskKey>,
}

impl CrashRate {
    /// Whether the next count of live executors is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.alive.back().is_none_or(|(at, _)| now >= at + COUNT_INTERVAL_MS)
    }

    /// Records how many executors were alive since the last count.
    pub fn record_alive(&mut self, count: usize, now: Millis) {
        let since = self.alive.back().map_or(now, |(at, _)| *at);
        let passed = now.saturating_sub(since);
        self.alive.push_back((now, passed * count as u64));
        while self.alive.front().is_some_and(|(at, _)| at + RETENTION_MS < now)
        {
            self.alive.pop_front();
        }
    }

    /// Records a crash of an executor that these tasks may have caused,
    /// possibly among others.
    pub fn record_crash(&mut self, suspects: BTreeSet<TaskKey>, now: Millis) {
        self.crashes.push_back(Crash { at: now, suspects });
        while self.crashes.front().is_some_and(|c| c.at + RETENTION_MS < now) {
            self.crashes.pop_front();
        }
    }

    /// Attributes to a task, which is known to crash executors, all crashes
    /// that it may have caused.
    pub fn explain(&mut self, task: TaskKey) {
        self.crashes.retain(|crash| !crash.suspects.contains(&task));
    }

    /// How often executors crashed around a moment by causes other than a
    /// task, in crashes per second and executor.
    pub fn rate_without(&self, task: TaskKey, at: Millis) -> f64 {
        let rates = WINDOWS_MS.into_iter().map(|window| {
            let within = |when: Millis| when.abs_diff(at) <= window;
            let alive = self.alive.iter().filter(|(when, _)| within(*when));
            let alive: u64 = alive.map(|(_, time)| time).sum();
            let seconds = alive as f64 / 1_000.0;
            let others = self.crashes.iter().filter(|crash| {
                within(crash.at) && !crash.suspects.contains(&task)
            });
            (1 + others.count()) as f64 / (PRIOR_EXECUTOR_SECONDS + seconds)
        });
        rates.fold(MIN_CRASH_RATE, f64::max)
    }

    /// Like [`CrashRate::rate_without`], but `None` if crashes around that
    /// moment are no longer kept.
    pub fn known_rate_without(
        &self,
        task: TaskKey,
        at: Millis,
        now: Millis,
    ) -> Option<f64> {
        let kept = at + ATTRIBUTION_MS >= now;
        kept.then(|| self.rate_without(task, at))
    }
}
