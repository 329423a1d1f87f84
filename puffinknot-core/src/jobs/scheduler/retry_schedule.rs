/*!
Retry times of refused jobs.

Each refused client is given its own retry time: when the backlog should have
capacity for its job, after the jobs of the same account and queue that were
refused before it. A job that is refused again keeps its retry time, or gets a
later one. A retried job is as old as its first attempt, so that it ranks ahead
of newer jobs of the same kind while its objective can still be met. After
that, a job that was refused for lack of capacity stays as old as its first
attempt. A job that was refused for another reason counts as new, because it
would otherwise rank behind all new jobs.

The schedule is lost on a takeover. Retried jobs then count as new once.
*/

use std::collections::{BTreeMap, VecDeque};

use crate::ids::Millis;
use crate::jobs::message::AccountIndex;
use crate::jobs::model::JobId;

/// The maximum time until a retry, and the time after it until the refusal is
/// dropped. Clients keep retrying for this long: four more attempts of up to
/// 3 s each.
pub(super) const RETRY_WINDOW: Millis = 12_000;
/// The retries of a client.
const RETRIES: Millis = 4;
/// The maximum number of refusals remembered. The oldest refusal is dropped
/// first. A job whose last refusal is dropped counts as new.
const MAX_REFUSALS: usize = 20_000;

const SECOND: Millis = 1_000;
/// How many clients are told to return for each job that there should be
/// capacity for. Some don't return, or are no longer of use by then.
const RETURNS_PER_PLACE: f64 = 2.0;

/// A refused job.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    /// When it was first submitted.
    first_attempt: Millis,
    /// Whether it was refused for lack of capacity.
    for_capacity: bool,
    /// When its client is to retry.
    retry_at: Millis,
    /// When the refusal may be dropped.
    forget_at: Millis,
}

/// An account and a queue, whose refused jobs retry one after another.
type QueueOfAccount = (Option<AccountIndex>, String);

/// The refused jobs and their retry times.
#[derive(Clone, Debug, Default)]
pub(super) struct RetrySchedule {
    jobs: BTreeMap<JobId, Refusal>,
    /// When each refusal may be dropped, in the order of refusals. A job that
    /// was refused several times has several entries.
    forget_order: VecDeque<(Millis, JobId)>,
    /// For each account and queue, the earliest retry time of the next refused
    /// job, in milliseconds. Small jobs in a large cell are less apart.
    next_retry_times: BTreeMap<QueueOfAccount, f64>,
}

/// The time until a retry that spreads the retries of a client over the time
/// in which its job is useful, as far as clients keep retrying.
pub(super) fn retry_interval(useful_for: Millis) -> Millis {
    useful_for.min(RETRY_WINDOW) / RETRIES
}

impl RetrySchedule {
    /// When a refused job was first submitted, and whether it was refused for
    /// lack of capacity.
    pub fn first_attempt(&self, job: JobId) -> Option<(Millis, bool)> {
        let refused = self.jobs.get(&job)?;
        Some((refused.first_attempt, refused.for_capacity))
    }

    /// Records the refusal of a job.
    pub fn record(
        &mut self,
        job: JobId,
        first_attempt: Millis,
        for_capacity: bool,
        retry_at: Millis,
    ) {
        while self.forget_order.len() >= MAX_REFUSALS {
            self.drop_oldest();
        }
        let forget_at = retry_at + RETRY_WINDOW;
        self.jobs.insert(
            job,
            Refusal { first_attempt, for_capacity, retry_at, forget_at },
        );
        self.forget_order.push_back((forget_at, job));
    }

    /// Returns the retry time of a job for which there should be capacity from
    /// `from` on, in whole seconds from now, since clients are told whole
    /// seconds. If the job is not known, also reserves the capacity of its
    /// account and queue for `duration` milliseconds from the second of the
    /// retry time on. The caller records the retry time with
    /// [`RetrySchedule::record`].
    pub fn schedule(
        &mut self,
        job: JobId,
        key: QueueOfAccount,
        from: Millis,
        duration: f64,
        now: Millis,
    ) -> Millis {
        let latest = now + RETRY_WINDOW;
        let in_seconds =
            |at: Millis| now + at.saturating_sub(now).next_multiple_of(SECOND);
        if let Some(known) = self.jobs.get(&job) {
            return in_seconds(known.retry_at.max(from)).min(latest);
        }
        let next = self.next_retry_times.entry(key).or_default();
        let second = |at: Millis| at / SECOND * SECOND;
        let retry_at = in_seconds(from.max(second(*next as Millis)));
        let retry_at = retry_at.min(latest);
        *next = next.max(second(retry_at) as f64);
        *next += duration / RETURNS_PER_PLACE;
        retry_at
    }

    /// Removes a job that is accepted.
    pub fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }

    /// Drops refusals whose retry time passed at least [`RETRY_WINDOW`] ago,
    /// the oldest refusals first.
    pub fn drop_expired(&mut self, now: Millis) {
        while self.forget_order.front().is_some_and(|(at, _)| *at <= now) {
            self.drop_oldest();
        }
        self.next_retry_times.retain(|_, next| *next > now as f64);
    }

    fn drop_oldest(&mut self) {
        let Some((at, job)) = self.forget_order.pop_front() else { return };
        // A job that was refused again since is remembered for longer.
        if self.jobs.get(&job).is_some_and(|known| known.forget_at <= at) {
            self.jobs.remove(&job);
        }
    }
}
