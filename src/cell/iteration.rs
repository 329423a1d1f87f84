/*!
How long the leader's inputs wait, and what a turn of its loop takes.

While a turn goes on, nothing is read from any connection, and no timer fires:
what is slow here looks to the leader as if others were late. Times are taken
on two clocks. A turn that takes long by the monotonic clock, and little
processor time, was not given its processor.
*/

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::scheduler::PlacementStats;
use puffinknot_core::jobs::Event;

use crate::cell::stats::Stats;
use crate::clock::Micros;

/// The time between two reports of slow turns, in milliseconds.
pub const REPORT_INTERVAL: Millis = 1_000;

/// What an input of the leader is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputKind {
    /// Of a client.
    Request,
    /// An executor's account of what it runs.
    LeaseRenewal,
    /// An executor's answer to a start.
    Started,
    /// An executor's answer to a stop.
    Stopped,
    /// Advice.
    Advised,
    /// The store's answer to a write.
    Committed,
    /// Executors' entries in the store.
    Listed,
    /// Anything else.
    Other,
}

impl InputKind {
    /// The kind of an event.
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

    /// Its name in log lines.
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

    /// The name of how long it waits.
    fn wait(self) -> &'static str {
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

    /// The name of how long it takes to be dealt with.
    fn handling(self) -> &'static str {
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

/// The clocks that a turn is measured by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clocks {
    /// The monotonic clock.
    pub mono: Micros,
    /// The processor time of the thread.
    pub cpu: Micros,
}

/// A turn of the leader's loop that goes on.
#[derive(Debug)]
pub struct Iteration {
    begun: Clocks,
    looked: PlacementStats,
    inputs: u64,
    /// The longest wait of an input, and of which kind that one was.
    oldest: (Micros, InputKind),
    /// The input that is being handled, and since when.
    current: Option<(InputKind, Micros)>,
    advance: Micros,
}

/// What a turn took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IterationStats {
    /// When it ended.
    pub ended: Micros,
    /// How long it took.
    pub duration: Micros,
    /// The processor time of the thread in it.
    pub cpu: Micros,
    /// The part of it in which was done what had become possible.
    pub advance: Micros,
    /// How many inputs it took in.
    pub inputs: u64,
    /// The longest wait of an input, and of which kind that one was.
    pub longest_wait: (Micros, InputKind),
    /// What placing looked through in it.
    pub placement: PlacementStats,
}

impl Iteration {
    /// Begins a turn; `looked` is what placing has looked through so far.
    pub fn begin(now: Clocks, looked: PlacementStats) -> Iteration {
        Iteration {
            begun: now,
            looked,
            inputs: 0,
            oldest: (0, InputKind::Other),
            current: None,
            advance: 0,
        }
    }

    /// An input that was sent at a time is taken in.
    pub fn begin_input(
        &mut self,
        stats: &Stats,
        kind: InputKind,
        sent_at: Micros,
        now: Micros,
    ) {
        self.finish_input(stats, now);
        let waited = now.saturating_sub(sent_at);
        stats.took(kind.wait(), waited / 1_000);
        if waited >= self.oldest.0 {
            self.oldest = (waited, kind);
        }
        self.inputs += 1;
        self.current = Some((kind, now));
    }

    /// The current input, if there is one, has been handled.
    pub fn finish_input(&mut self, stats: &Stats, now: Micros) {
        if let Some((kind, since)) = self.current.take() {
            stats.took_micros(kind.handling(), now.saturating_sub(since));
        }
    }

    /// What has become possible was done, from `since` until now.
    pub fn record_advance(
        &mut self,
        stats: &Stats,
        since: Micros,
        now: Micros,
    ) {
        self.advance = now.saturating_sub(since);
        stats.took_micros("advance", self.advance);
    }

    /// The turn ends.
    pub fn end(
        self,
        stats: &Stats,
        now: Clocks,
        looked: PlacementStats,
    ) -> IterationStats {
        let took = IterationStats {
            ended: now.mono,
            duration: now.mono.saturating_sub(self.begun.mono),
            cpu: now.cpu.saturating_sub(self.begun.cpu),
            advance: self.advance,
            inputs: self.inputs,
            longest_wait: self.oldest,
            placement: looked.since(&self.looked),
        };
        stats.took_micros("turn", took.duration);
        stats.took_micros("turn_cpu", took.cpu);
        stats.saw("turn_inputs", took.inputs);
        if took.placement.rounds > took.placement.deferred {
            stats.saw("round_steps", took.placement.steps);
            stats.saw("round_executors", took.placement.executors);
        }
        took
    }
}

impl IterationStats {
    /// The time of the turn, or the longest wait that ended in it.
    fn worst(&self) -> Micros {
        self.duration.max(self.longest_wait.0)
    }
}

/// Reports slow turns, the worst in a time.
#[derive(Debug)]
pub struct SlowIterations {
    /// Turns and waits from this length on are slow.
    bound: Micros,
    reported: Option<Micros>,
    /// How many were slow since, and the worst of them.
    slow: u64,
    worst: Option<IterationStats>,
}

impl SlowIterations {
    /// Turns and waits from this length on, in milliseconds, are slow.
    pub fn new(bound: Millis) -> SlowIterations {
        let bound = bound * 1_000;
        SlowIterations { bound, reported: None, slow: 0, worst: None }
    }

    /// Takes in a turn. If a report is due, returns how many were slow since
    /// the last one, and the worst of them.
    pub fn observe(
        &mut self,
        took: IterationStats,
    ) -> Option<(u64, IterationStats)> {
        if took.worst() >= self.bound {
            self.slow += 1;
            if self.worst.is_none_or(|w| w.worst() <= took.worst()) {
                self.worst = Some(took);
            }
        }
        let due = |at| took.ended >= at + REPORT_INTERVAL * 1_000;
        if !self.reported.is_none_or(due) {
            return None;
        }
        let worst = self.worst.take()?;
        self.reported = Some(took.ended);
        Some((std::mem::take(&mut self.slow), worst))
    }
}
