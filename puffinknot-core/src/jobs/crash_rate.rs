/*!
How often executors crash by something else than a given task.

A crash for which several tasks are under suspicion is evidence against each
of them, and counts as chance for every other task. Counting only crashes of
executors on which nothing is under suspicion would miss nearly all of them in
a busy cell. Once a task is known to crash executors, what it may have done
counts for nobody else any more.
*/

use std::collections::{BTreeSet, VecDeque};

use crate::ids::Millis;
use crate::jobs::model::TaskKey;

/// Executors are taken to crash at least so often, in crashes a second and
/// executor: a quarter of them every five seconds. Trouble that begins is not
/// known from what was before.
pub const MIN_CRASH_RATE: f64 = 0.05;
/// The prior: as if executors had been watched for so long, in
/// executor-seconds, and one had crashed. While hardly anything is known,
/// they may crash so often that a loss says little.
const PRIOR_TIME: f64 = 10.0;
/// The rate is counted over each of these times, in milliseconds, and the
/// highest counts: trouble that has just begun is diluted in a long one, and
/// a short one misses what comes in turns.
const COUNTED_OVER: [Millis; 2] = [5_000, 20_000];
/// For so long what was seen of a crash may still be explained by a task that
/// is found out later, in milliseconds.
const EXPLAINED_WITHIN: Millis = 40_000;
/// How long crashes are remembered, in milliseconds: so that the rate at each
/// moment within that time is known.
const REMEMBERED: Millis = EXPLAINED_WITHIN + 20_000;
/// The time between two counts of the executors that live, in milliseconds.
const COUNT_GAP: Millis = 200;

/// The crashes of executors that were seen lately.
#[derive(Clone, Debug, Default)]
pub struct CrashRate {
    /// How long executors have lived up to each count, in
    /// executor-milliseconds.
    lived: VecDeque<(Millis, u64)>,
    crashes: VecDeque<Crash>,
}

/// An executor has crashed.
#[derive(Clone, Debug)]
struct Crash {
    at: Millis,
    /// The tasks that may have done it, each as it is counted.
    suspects: BTreeSet<TaskKey>,
}

impl CrashRate {
    /// Whether the executors that live should be counted again.
    pub fn is_due(&self, now: Millis) -> bool {
        self.lived.back().is_none_or(|(at, _)| now >= at + COUNT_GAP)
    }

    /// So many executors have lived since the last count.
    pub fn record_alive(&mut self, living: usize, now: Millis) {
        let since = self.lived.back().map_or(now, |(at, _)| *at);
        let passed = now.saturating_sub(since);
        self.lived.push_back((now, passed * living as u64));
        while self.lived.front().is_some_and(|(at, _)| at + REMEMBERED < now) {
            self.lived.pop_front();
        }
    }

    /// An executor has crashed, and these tasks may have done it, be it among
    /// others.
    pub fn record_crash(&mut self, suspects: BTreeSet<TaskKey>, now: Millis) {
        self.crashes.push_back(Crash { at: now, suspects });
        while self.crashes.front().is_some_and(|c| c.at + REMEMBERED < now) {
            self.crashes.pop_front();
        }
    }

    /// A task crashes executors: what it may have done is explained.
    pub fn explain(&mut self, task: TaskKey) {
        self.crashes.retain(|crash| !crash.suspects.contains(&task));
    }

    /// How often executors crashed around some moment by something else than
    /// this task, in crashes a second and executor.
    pub fn rate_without(&self, task: TaskKey, at: Millis) -> f64 {
        let rates = COUNTED_OVER.into_iter().map(|over| {
            let within = |when: Millis| when.abs_diff(at) <= over;
            let lived = self.lived.iter().filter(|(when, _)| within(*when));
            let lived: u64 = lived.map(|(_, time)| time).sum();
            let seconds = lived as f64 / 1_000.0;
            let others = self.crashes.iter().filter(|crash| {
                within(crash.at) && !crash.suspects.contains(&task)
            });
            (1 + others.count()) as f64 / (PRIOR_TIME + seconds)
        });
        rates.fold(MIN_CRASH_RATE, f64::max)
    }

    /// The same, unless what happened around that moment is forgotten by now.
    pub fn known_rate_without(
        &self,
        task: TaskKey,
        at: Millis,
        now: Millis,
    ) -> Option<f64> {
        let remembered = at + EXPLAINED_WITHIN >= now;
        remembered.then(|| self.rate_without(task, at))
    }
}
