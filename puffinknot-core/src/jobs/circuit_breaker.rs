/*!
Whether an executor can be trusted with runs, by how its runs have ended.

An executor may accept orders and answer holds while every run there fails.
Each such run costs its task an attempt, and since the executor is soon free
again it attracts the next one. So runs that fail in a row trip a circuit
breaker: nothing is started there for a while, then a single run tries it.
*/

use crate::ids::Millis;

/// So many runs that fail in a row trip the breaker. With one run in ten that
/// fails by itself, a thousand runs pass until that happens by chance.
const TRIPPED_BY: u32 = 3;
/// How long nothing is started there at first, in milliseconds: a few runs of
/// urgent work.
const OPEN_FOR: Millis = 1_000;
/// It doubles with each trial that fails, so often at most.
const MOST_DOUBLINGS: u32 = 3;

/// A circuit breaker for starts on one executor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CircuitBreaker {
    /// Runs that have failed since the last one that was done.
    in_a_row: u32,
    /// When the next run may try it, once it is tripped.
    next_trial: Millis,
}

impl CircuitBreaker {
    /// A run was done.
    pub fn record_success(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// A run has failed. Returns whether that trips the breaker.
    pub fn record_failure(&mut self, now: Millis) -> bool {
        self.in_a_row += 1;
        if !self.is_open() {
            return false;
        }
        self.wait(now);
        self.in_a_row == TRIPPED_BY
    }

    /// A run is started: if the breaker is tripped, it is a trial.
    pub fn record_start(&mut self, now: Millis) {
        if self.is_open() {
            self.wait(now);
        }
    }

    /// Whether nothing but trials is started.
    pub fn is_open(&self) -> bool {
        self.in_a_row >= TRIPPED_BY
    }

    /// Whether a run may be started.
    pub fn admits(&self, now: Millis) -> bool {
        !self.is_open() || now >= self.next_trial
    }

    fn wait(&mut self, now: Millis) {
        let doublings = self.in_a_row.saturating_sub(TRIPPED_BY);
        let time = OPEN_FOR << doublings.min(MOST_DOUBLINGS);
        self.next_trial = now + time;
    }
}
