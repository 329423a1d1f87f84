/*!
Event lag: how far the leader lags behind the events that it processes.

An event may have happened some time before the leader processes it: events
wait in the leader's queue and, before that, unread in its connections. This
delay is caused by the leader, not by the executors. So intervals are measured
from the time at which a report was made where that is known, rather than from
the time at which it was processed, and an executor does not count as silent
while its answers may only be waiting.

The event loop passes the time at which it received an event to
[`Scheduler::handle_received`]. The delay before that is estimated from the
reports, see [`crate::jobs::report_age`]. A leader that has stalled knows
nothing of what happened in the meantime until it has asked again.

The lag only ever delays a conclusion.
*/

use crate::ids::Millis;
use crate::jobs::executor::{Executor, PlacedRun};
use crate::jobs::message::{Action, Event, ExecutorIndex};
use crate::jobs::scheduler::renewals::FAILURES_UNTIL_SILENT;
use crate::jobs::scheduler::Scheduler;

/// Each report contributes one part in this many to the smoothed lag.
const LAG_SMOOTHING: Millis = 8;
/// If no report has been processed for this long, none is waiting: an executor
/// delays its answer to a renewal by less than this.
const LAG_RESET_AFTER: Millis = 2_000;
/// A leader that has processed no event for this long has stalled: this is
/// many times as long as it waits for anything.
const STALL_THRESHOLD: Millis = 1_000;
/// The duration of a run is accurate enough if no renewal was waiting at the
/// executor for at most one part in this many of the expected duration.
const UNWATCHED_FRACTION: Millis = 8;

/// When an executor made a report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportTiming {
    /// The reading of the executor's clock in the report.
    clock: Millis,
    /// The report was made at this time or earlier.
    made_at: Millis,
    /// For at most this long before the report, no renewal was waiting at the
    /// executor. A run end in the report is older than the report by at most
    /// this.
    unwatched: Millis,
}

impl ReportTiming {
    /// The timing of a report that was received at `received_at`. Must be
    /// called before anything else in the report is applied to the executor.
    pub fn new(
        executor: &Executor,
        clock: Millis,
        received_at: Millis,
    ) -> ReportTiming {
        let clock_bound = executor.clock_bound.at(received_at).unwrap_or(0);
        let made_at =
            received_at.saturating_sub(clock_bound.saturating_sub(clock));
        let unwatched = match (executor.reported_at, executor.clock) {
            (Some(last_report_at), Some((reading, _))) => {
                let unsent =
                    executor.renewal_sent_at.saturating_sub(last_report_at);
                let between = clock.saturating_sub(reading);
                unsent.max(between.saturating_sub(executor.renewal_wait))
            }
            _ => Millis::MAX,
        };
        ReportTiming { clock, made_at, unwatched }
    }

    /// The time at or before which the report was made.
    pub fn made_at(&self) -> Millis {
        self.made_at
    }

    /// How long a run had been on the executor when the report was made.
    pub fn elapsed(&self, run: &PlacedRun) -> Millis {
        match run.start_clock {
            Some(began) => self.clock.saturating_sub(began),
            None => self.made_at.saturating_sub(run.placed_at),
        }
    }

    /// The duration of a run whose end is in the report, if it is known
    /// accurately enough. Accuracy is judged by the expected duration and not
    /// the measured one, which would leave out short runs and keep long ones.
    pub fn duration(&self, run: &PlacedRun) -> Option<Millis> {
        let expected = run.expected_end.saturating_sub(run.placed_at);
        let known =
            expected >= self.unwatched.saturating_mul(UNWATCHED_FRACTION);
        known.then(|| self.elapsed(run))
    }
}

/// The lag of the leader, estimated from the reports that it processes.
#[derive(Debug, Default)]
pub(super) struct EventLag {
    /// When the event that is being processed was received.
    received_at: Millis,
    /// How old reports are when they are processed, smoothed.
    lag: Millis,
    /// When the last report was processed.
    last_report_at: Millis,
    /// When the leader last began to process an event.
    last_called_at: Millis,
    /// When the leader resumed after it had stalled.
    resumed_at: Millis,
}

impl EventLag {
    /// When the event that is being processed was received.
    pub fn received_at(&self) -> Millis {
        self.received_at
    }

    /// Records that the leader processes an event. If it stalls again within
    /// `max_gap`, the time at which it resumed stays that of the first stall,
    /// so that repeated stalls don't put off conclusions forever.
    fn record_call(
        &mut self,
        received_at: Millis,
        now: Millis,
        max_gap: Millis,
    ) {
        let stalled = now > self.last_called_at + STALL_THRESHOLD
            && self.last_called_at > 0;
        if stalled && now > self.resumed_at + max_gap {
            self.resumed_at = now;
        }
        self.last_called_at = now;
        self.received_at = received_at.min(now);
    }

    /// Records how old a report was, counting `max_lag` at most.
    fn record_lag(&mut self, lag: Millis, max_lag: Millis, now: Millis) {
        let weighted = self.current_lag(now) * (LAG_SMOOTHING - 1);
        self.lag = (weighted + lag.min(max_lag)) / LAG_SMOOTHING;
        self.last_report_at = now;
    }

    /// How old reports are when they are processed.
    fn current_lag(&self, now: Millis) -> Millis {
        if now > self.last_report_at + LAG_RESET_AFTER {
            0
        } else {
            self.lag
        }
    }
}

impl Scheduler {
    /// Handles an event that was received before now and has since waited for
    /// the leader.
    pub fn handle_received(
        &mut self,
        event: Event,
        received_at: Millis,
        now: Millis,
    ) -> Vec<Action> {
        self.event_lag.record_call(received_at, now, self.config.lease);
        self.apply_event(event, now);
        std::mem::take(&mut self.actions)
    }

    /// Records how old a report was. The age of an executor's first report is
    /// not known, but the report is no older than its request, which was to be
    /// answered at once.
    pub(super) fn record_report_lag(
        &mut self,
        index: ExecutorIndex,
        is_first: bool,
        sent_at: Millis,
        now: Millis,
    ) {
        let report_age =
            self.executors.get(&index).map_or(0, |e| e.report_age);
        let lag = match is_first {
            true => now.saturating_sub(sent_at),
            false => report_age,
        };
        self.event_lag.record_lag(lag, self.config.lease, now);
    }

    /// The time up to which the leader has probably processed everything that
    /// it was sent. Silence counts up to this time only.
    pub(super) fn processed_until(&self, now: Millis) -> Millis {
        now.saturating_sub(self.event_lag.current_lag(now))
    }

    /// The time up to which the leader has probably processed everything that
    /// one executor has sent.
    pub(super) fn reports_processed_until(
        &self,
        executor: &Executor,
        now: Millis,
    ) -> Millis {
        let own =
            now.saturating_sub(executor.report_age.min(self.config.lease));
        own.min(self.processed_until(now))
    }

    /// Whether an executor has left the last renewals unanswered, the latest
    /// of them sent since the leader resumed from a stall. An incarnation that
    /// has ended counts as such.
    pub(super) fn missed_last_renewals(&self, executor: &Executor) -> bool {
        let missed_at = executor
            .missed_renewal
            .filter(|_| executor.renewal_failures >= FAILURES_UNTIL_SILENT);
        executor.incarnation_end.is_some()
            || missed_at >= Some(self.event_lag.resumed_at)
    }
}
