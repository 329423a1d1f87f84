/*!
A circuit breaker for executors whose runs keep failing.

An executor may accept orders and answer lease renewals while every run there
fails. Each such run costs its task an attempt, and since the executor is soon
free again it attracts the next one. So consecutive failures trip a circuit
breaker: nothing is started there for a while, then a single run is started as
a trial.
*/

use crate::ids::Millis;

/// The number of consecutive failures that trip the breaker. If one run in ten
/// fails for reasons of its own, this happens by chance once in a thousand
/// runs.
const FAILURE_THRESHOLD: u32 = 3;
/// How long the breaker first rejects all starts: the time of a few runs of
/// urgent work.
const OPEN_MS: Millis = 1_000;
/// How often that time doubles at most; it does with each failed trial.
const MAX_DOUBLINGS: u32 = 3;

/// A circuit breaker for starts on one executor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    /// The number of failed runs since the last one that succeeded.
    consecutive_failures: u32,
    /// The earliest time of the next trial while the breaker is open.
    next_trial: Millis,
}

impl CircuitBreaker {
    /// Records a run that succeeded, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// Records a run that failed. Returns whether that trips the breaker.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.consecutive_failures += 1;
        if !self.is_open() {
            return false;
        }
        self.postpone_trial(now);
        self.consecutive_failures == FAILURE_THRESHOLD
    }

    /// Records the start of a run, which is a trial if the breaker is open.
    pub fn record_start(&mut self, now: Millis) {
        if self.is_open() {
            self.postpone_trial(now);
        }
    }

    /// Whether only trials are started.
    pub fn is_open(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }

    /// Whether a run may be started.
    pub fn admits(&self, now: Millis) -> bool {
        !self.is_open() || now >= self.next_trial
    }

    fn postpone_trial(&mut self, now: Millis) {
        let doublings =
            self.consecutive_failures.saturating_sub(FAILURE_THRESHOLD);
        let time = OPEN_MS << doublings.min(MAX_DOUBLINGS);
        self.next_trial = now + time;
    }
}
