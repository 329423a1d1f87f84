/*!
Measures the iterations of the leader's event loop, and how long its inputs
wait.

During an iteration no connection is read and no timer fires, so that to the
leader a slow iteration looks like late peers. Iterations are timed by two
clocks: one that takes long by the monotonic clock but uses little processor
time was not scheduled by the operating system.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::scheduler::PlacementStats;
use puffinknot_core::jobs::Event;

use crate::cell::stats::Stats;
use crate::clock::Micros;

/// The shortest time between two reports of slow iterations.
pub const REPORT_INTERVAL: Millis = 1_000;

/// The kind of an input of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// A client's request.
    Request,
    /// An executor's answer to a lease renewal.
    LeaseRenewal,
    /// An executor's answer to a start.
    Started,
    /// An executor's answer to a stop.
    Stopped,
    /// An answer to a call for advice.
    Advised,
    /// The store's answer to a write.
    Committed,
    /// A change of the executors' entries in the store.
    Listed,
    /// Anything else.
    Other,
}

impl InputKind {
    /// Returns the kind of an event.
    pub fn of(event: &Event) -> InputKind {
        match event {
            Event::Request { .. } => InputKind::Request,
            Event::RenewalAnswered { .. } => InputKind::LeaseRenewal,
            Event::StartAnswered { .. } => InputKind::Started,
            Event::StopAnswered { .. } => InputKind::Stopped,
            Event::Advised { .. } => InputKind::Advised,
            Event::Committed | Event::CommitDeclined(_) => {
                InputKind::Committed
            }
            Event::Listed(_)
            | Event::Unlisted(_)
            | Event::EntryUnreadable(_)
            | Event::EntriesRead => InputKind::Listed,
            Event::Advisors(_)
            | Event::ThrottleAnswered { .. }
            | Event::Wave(_)
            | Event::Machines(_)
            | Event::MaintenanceAnswered { .. }
            | Event::Tick => InputKind::Other,
        }
    }

    /// Returns the name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            InputKind::Request => "request",
            InputKind::LeaseRenewal => "held",
            InputKind::Started => "started",
            InputKind::Stopped => "stopped",
            InputKind::Advised => "advised",
            InputKind::Committed => "committed",
            InputKind::Listed => "listed",
            InputKind::Other => "other",
        }
    }

    /// Returns the name of the metric of the wait in the queue.
    fn wait_metric(self) -> &'static str {
        match self {
            InputKind::Request => "wait_request",
            InputKind::LeaseRenewal => "wait_held",
            InputKind::Started => "wait_started",
            InputKind::Stopped => "wait_stopped",
            InputKind::Advised => "wait_advised",
            InputKind::Committed => "wait_committed",
            InputKind::Listed => "wait_listed",
            InputKind::Other => "wait_other",
        }
    }

    /// Returns the name of the metric of the handling time.
    fn handling_metric(self) -> &'static str {
        match self {
            InputKind::Request => "handle_request",
            InputKind::LeaseRenewal => "handle_held",
            InputKind::Started => "handle_started",
            InputKind::Stopped => "handle_stopped",
            InputKind::Advised => "handle_advised",
            InputKind::Committed => "handle_committed",
            InputKind::Listed => "handle_listed",
            InputKind::Other => "handle_other",
        }
    }
}

/// Readings of the clocks that time an iteration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// The monotonic clock.
    pub mono: Micros,
    /// The processor time of the thread.
    pub cpu: Micros,
}

/// An iteration of the leader's event loop that has not ended.
#[derive(Debug)]
pub struct Iteration {
    started: Clocks,
    placement: PlacementStats,
    inputs: u64,
    /// The longest wait of an input, and the kind of that input.
    longest_wait: (Micros, InputKind),
    /// The input that is being handled, and when that began.
    current: Option<(InputKind, Micros)>,
    advance: Micros,
}

/// The measurements of an iteration. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IterationStats {
    /// When it ended, on the monotonic clock.
    pub ended: Micros,
    /// How long it took by the monotonic clock.
    pub duration: Micros,
    /// The processor time that the thread used.
    pub cpu: Micros,
    /// The time spent in `Scheduler::advance`.
    pub advance: Micros,
    /// The number of inputs that it handled.
    pub inputs: u64,
    /// The longest wait of an input, and the kind of that input.
    pub longest_wait: (Micros, InputKind),
    /// What placement examined.
    pub placement: PlacementStats,
}

impl Iteration {
    /// Starts an iteration. `placement` is what placement has examined so
    /// far.
    pub fn begin(now: Clocks, placement: PlacementStats) -> Iteration {
        Iteration {
            started: now,
            placement,
            inputs: 0,
            longest_wait: (0, InputKind::Other),
            current: None,
            advance: 0,
        }
    }

    /// Records that the handling of an input that was sent at `sent_at`
    /// begins, and that of the previous one ends.
    pub fn begin_input(
        &mut self,
        stats: &Stats,
        kind: InputKind,
        sent_at: Micros,
        now: Micros,
    ) {
        self.finish_input(stats, now);
        let waited = now.saturating_sub(sent_at);
        stats.record_latency(kind.wait_metric(), waited / 1_000);
        if waited >= self.longest_wait.0 {
            self.longest_wait = (waited, kind);
        }
        self.inputs += 1;
        self.current = Some((kind, now));
    }

    /// Records that the current input, if any, has been handled.
    pub fn finish_input(&mut self, stats: &Stats, now: Micros) {
        if let Some((kind, since)) = self.current.take() {
            stats.record_duration(
                kind.handling_metric(),
                now.saturating_sub(since),
            );
        }
    }

    /// Records that `Scheduler::advance` ran from `since` until `now`.
    pub fn record_advance(
        &mut self,
        stats: &Stats,
        since: Micros,
        now: Micros,
    ) {
        self.advance = now.saturating_sub(since);
        stats.record_duration("advance", self.advance);
    }

    /// Ends the iteration and reports its metrics. `placement` is what
    /// placement has examined so far.
    pub fn end(
        self,
        stats: &Stats,
        now: Clocks,
        placement: PlacementStats,
    ) -> IterationStats {
        let measured = IterationStats {
            ended: now.mono,
            duration: now.mono.saturating_sub(self.started.mono),
            cpu: now.cpu.saturating_sub(self.started.cpu),
            advance: self.advance,
            inputs: self.inputs,
            longest_wait: self.longest_wait,
            placement: placement.since(&self.placement),
        };
        stats.record_duration("turn", measured.duration);
        stats.record_duration("turn_cpu", measured.cpu);
        stats.record_size("turn_inputs", measured.inputs);
        if measured.placement.rounds > measured.placement.deferred {
            stats.record_size("round_steps", measured.placement.steps);
            stats.record_size("round_executors", measured.placement.executors);
        }
        measured
    }
}

impl IterationStats {
    /// Returns the duration, or the longest wait if that is longer.
    fn worst(&self) -> Micros {
        self.duration.max(self.longest_wait.0)
    }
}

/// Limits the rate of reports of slow iterations.
#[derive(Debug)]
pub struct SlowIterations {
    /// Iterations and waits of at least this length are slow.
    threshold: Micros,
    /// When the last report was made.
    reported: Option<Micros>,
    /// The number of slow iterations since then.
    slow: u64,
    /// The worst of them.
    worst: Option<IterationStats>,
}

impl SlowIterations {
    /// Treats iterations and waits of at least `threshold` milliseconds as
    /// slow.
    pub fn new(threshold: Millis) -> SlowIterations {
        let threshold = threshold * 1_000;
        SlowIterations { threshold, reported: None, slow: 0, worst: None }
    }

    /// Records an iteration. If a report is due, returns how many iterations
    /// were slow since the last report, and the worst of them.
    pub fn observe(
        &mut self,
        stats: IterationStats,
    ) -> Option<(u64, IterationStats)> {
        if stats.worst() >= self.threshold {
            self.slow += 1;
            if self.worst.is_none_or(|w| w.worst() <= stats.worst()) {
                self.worst = Some(stats);
            }
        }
        let due = |at| stats.ended >= at + REPORT_INTERVAL * 1_000;
        if !self.reported.is_none_or(due) {
            return None;
        }
        let worst = self.worst.take()?;
        self.reported = Some(stats.ended);
        Some((std::mem::take(&mut self.slow), worst))
    }
}
