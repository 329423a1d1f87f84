/*!
How long calls for advice wait, and which jobs are refused for that.

The advice service handles one call at a time from each node. Its capacity
shrinks with the number of nodes, and what it can't handle waits, however much
capacity the executors have. A job is refused while the calls that wait already
would take longer than the job can wait, see [`MAX_ADVICE_WAIT`]. All waiting
calls count, also those about steps that come later and those that are made
after the calls of the job: otherwise calls that are made last would wait
without bound, overtaken by the calls of jobs that are accepted meanwhile.

Urgent calls go first. They wait only for each other, and the others have the
part of the capacity that urgent calls have left lately.
*/

use std::collections::BTreeMap;

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::message::Action;
use crate::jobs::model::{JobId, Step};
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::retry_schedule::{retry_interval, RETRY_WINDOW};
use crate::jobs::scheduler::service_backlog::useful_until;
use crate::jobs::scheduler::Scheduler;

/// The longest wait for advice with which a job is accepted. The client of a
/// refused job retries for this long.
const MAX_ADVICE_WAIT: Millis = RETRY_WINDOW;
/// The time constant of the average use by urgent calls, in milliseconds.
const AVERAGING_TIME_MS: f64 = 3_000.0;
/// The smallest part of the capacity that other calls are assumed to have.
/// Urgent calls may take all for a moment, but not for long.
const MIN_SHARE: f64 = 0.1;

/// The use of the advice service.
#[derive(Debug, Default)]
pub(super) struct AdviceLoad {
    /// The exponentially weighted time of the urgent calls made lately, in
    /// milliseconds.
    urgent_time: f64,
    urgent_time_at: Millis,
    /// The time of the calls about steps that are not released yet, in
    /// milliseconds.
    unreleased_time: Millis,
    /// When that was computed.
    unreleased_time_at: Option<Millis>,
}

impl AdviceLoad {
    /// Records an urgent call.
    pub fn record_urgent(&mut self, call_time: Millis, now: Millis) {
        self.urgent_time = self.decayed(now) + call_time as f64;
        self.urgent_time_at = now;
    }

    fn decayed(&self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.urgent_time_at) as f64;
        self.urgent_time * (-elapsed / AVERAGING_TIME_MS).exp()
    }

    /// The number of nodes that urgent calls keep busy.
    fn urgent_nodes(&self, now: Millis) -> f64 {
        self.decayed(now) / AVERAGING_TIME_MS
    }
}

/// The executors of a service: their number, and the largest amount of each
/// resource that one of them has.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceSize {
    executors: usize,
    largest: Resources,
}

impl Scheduler {
    /// Decides whether to refuse a new job because its calls for advice would
    /// wait too long. Returns when the client is to retry.
    pub(super) fn refuse_for_advice(
        &mut self,
        id: JobId,
        now: Millis,
    ) -> Option<Millis> {
        let live = self.jobs.get(&id)?;
        if live.queue.advice.is_none() || !self.are_advisors_scarce() {
            return None;
        }
        let urgent = live.is_urgent();
        let (useful_until, chain) =
            (useful_until(live), self.total_chain_time(id, live));
        self.refresh_unreleased_advice(now);
        let wait = self.advice_wait(urgent, now);
        let latest = useful_until.saturating_sub(now + chain);
        let limit = latest.min(MAX_ADVICE_WAIT);
        if wait <= limit {
            return None;
        }
        self.count("refused_advice_wait");
        let live = self.jobs.get(&id)?;
        let account = live.job.account.clone();
        let time = self.job_advice_time(live, &self.service_sizes(), |_| true);
        let duration = time as f64 / self.advice_capacity(urgent, now);
        let left = useful_until.saturating_sub(now);
        self.actions.push(Action::NotAdmitted {
            job: id,
            account,
            ends_in: Some(wait + chain),
            of_use_for: left,
            over_share: false,
        });
        let from = now + (wait - limit).max(retry_interval(left));
        Some(self.schedule_retry(id, from, duration, now))
    }

    /// How long a new call would wait, in milliseconds.
    fn advice_wait(&self, urgent: bool, now: Millis) -> Millis {
        let waiting = self
            .advice_calls
            .values()
            .filter(|call| call.is_waiting() && (call.is_urgent() || !urgent));
        let waiting: Millis = waiting.map(|call| call.least_time()).sum();
        let later = if urgent { 0 } else { self.advice_load.unreleased_time };
        let ahead = self.advisors.busy_time(now) + waiting + later;
        (ahead as f64 / self.advice_capacity(urgent, now)) as Millis
    }

    /// The number of nodes that calls have to themselves.
    fn advice_capacity(&self, urgent: bool, now: Millis) -> f64 {
        let nodes = self.advisors.len().max(1) as f64;
        if urgent {
            return nodes;
        }
        let left = nodes - self.advice_load.urgent_nodes(now);
        left.max(nodes * MIN_SHARE)
    }

    /// Computes the time of the calls about steps that are not released yet,
    /// if it is too old.
    fn refresh_unreleased_advice(&mut self, now: Millis) {
        let computed_at = self.advice_load.unreleased_time_at;
        let max_age = self.max_backlog_age();
        if computed_at.is_some_and(|at| now < at + max_age) {
            return;
        }
        let sizes = self.service_sizes();
        let jobs = self.jobs.values().filter(|live| {
            live.ended.is_none()
                && !live.is_urgent()
                && live.job.repeats.is_none()
                && !live.steps.is_empty()
        });
        let time = jobs.map(|live| {
            self.job_advice_time(live, &sizes, |number| {
                let state = live.steps.get(&(0, number));
                state.is_none_or(|state| !state.released)
            })
        });
        let time = time.sum();
        self.advice_load.unreleased_time = time;
        self.advice_load.unreleased_time_at = Some(now);
    }

    fn service_sizes(&self) -> BTreeMap<&str, ServiceSize> {
        let mut sizes: BTreeMap<&str, ServiceSize> = BTreeMap::new();
        for executor in self.executors.values() {
            let size = sizes.entry(&executor.info.service).or_default();
            size.executors += 1;
            size.largest = size.largest.component_max(&executor.info.capacity);
        }
        sizes
    }

    /// The time of the calls about those steps of a job that `which` selects
    /// by number.
    fn job_advice_time(
        &self,
        live: &LiveJob,
        sizes: &BTreeMap<&str, ServiceSize>,
        which: impl Fn(u32) -> bool,
    ) -> Millis {
        let Some(cost) = live.queue.advice else { return 0 };
        let size = sizes.get(&*live.queue.service).copied();
        let size = size.unwrap_or_default();
        let steps = (0..).zip(&live.job.steps);
        let steps = steps.filter(|(number, _)| which(*number));
        let time = steps.map(|(_, step): (u32, &Step)| {
            let capacities = std::iter::once(size.largest);
            let queue = &live.job.queue;
            let asked = self.sufficient_executors(queue, step, capacities);
            cost.call_time(asked.min(size.executors))
        });
        time.sum()
    }
}
