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
pub const REPORT_EVERY: Millis = 1_000;

/// What an input of the leader is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Of a client.
    Request,
    /// An executor's account of what it runs.
    Held,
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

impl Kind {
    /// The kind of an event.
    pub fn of(event: &Event) -> Kind {
        match event {
            Event::Request { .. } => Kind::Request,
            Event::RenewalAnswered { .. } => Kind::Held,
            Event::StartAnswered { .. } => Kind::Started,
            Event::StopAnswered { .. } => Kind::Stopped,
            Event::Advised { .. } => Kind::Advised,
            Event::Committed | Event::CommitDeclined(_) => Kind::Committed,
            Event::Listed(_)
            | Event::Unlisted(_)
            | Event::EntryUnreadable(_)
            | Event::EntriesRead => Kind::Listed,
            Event::Advisors(_)
            | Event::ThrottleAnswered { .. }
            | Event::Wave(_)
            | Event::Machines(_)
            | Event::MaintenanceAnswered { .. }
            | Event::Tick => Kind::Other,
        }
    }

    /// Its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Request => "request",
            Kind::Held => "held",
            Kind::Started => "started",
            Kind::Stopped => "stopped",
            Kind::Advised => "advised",
            Kind::Committed => "committed",
            Kind::Listed => "listed",
            Kind::Other => "other",
        }
    }

    /// The name of how long it waits.
    fn wait(self) -> &'static str {
        match self {
            Kind::Request => "wait_request",
            Kind::Held => "wait_held",
            Kind::Started => "wait_started",
            Kind::Stopped => "wait_stopped",
            Kind::Advised => "wait_advised",
            Kind::Committed => "wait_committed",
            Kind::Listed => "wait_listed",
            Kind::Other => "wait_other",
        }
    }

    /// The name of how long it takes to be dealt with.
    fn handling(self) -> &'static str {
        match self {
            Kind::Request => "handle_request",
            Kind::Held => "handle_held",
            Kind::Started => "handle_started",
            Kind::Stopped => "handle_stopped",
            Kind::Advised => "handle_advised",
            Kind::Committed => "handle_committed",
            Kind::Listed => "handle_listed",
            Kind::Other => "handle_other",
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
pub struct Turn {
    begun: Clocks,
    looked: PlacementStats,
    inputs: u64,
    /// The longest wait of an input, and of which kind that one was.
    oldest: (Micros, Kind),
    /// The input that is being handled, and since when.
    current: Option<(Kind, Micros)>,
    advance: Micros,
}

/// What a turn took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Took {
    /// When it ended.
    pub ended: Micros,
    /// How long it took.
    pub turn: Micros,
    /// The processor time of the thread in it.
    pub cpu: Micros,
    /// The part of it in which was done what had become possible.
    pub advance: Micros,
    /// How many inputs it took in.
    pub inputs: u64,
    /// The longest wait of an input, and of which kind that one was.
    pub oldest: (Micros, Kind),
    /// What placing looked through in it.
    pub looked: PlacementStats,
}

impl Turn {
    /// Begins a turn; `looked` is what placing has looked through so far.
    pub fn begin(now: Clocks, looked: PlacementStats) -> Turn {
        Turn {
            begun: now,
            looked,
            inputs: 0,
            oldest: (0, Kind::Other),
            current: None,
            advance: 0,
        }
    }

    /// An input that was sent at a time is taken in.
    pub fn take(
        &mut self,
        stats: &Stats,
        kind: Kind,
        sent_at: Micros,
        now: Micros,
    ) {
        self.finish_input(stats, now);
        let waited = now.saturating_sub(sent_at);
        stats.record_latency(kind.wait(), waited / 1_000);
        if waited >= self.oldest.0 {
            self.oldest = (waited, kind);
        }
        self.inputs += 1;
        self.current = Some((kind, now));
    }

    /// The current input, if there is one, has been handled.
    pub fn finish_input(&mut self, stats: &Stats, now: Micros) {
        if let Some((kind, since)) = self.current.take() {
            stats.record_duration(kind.handling(), now.saturating_sub(since));
        }
    }

    /// What has become possible was done, from `since` until now.
    pub fn advanced(&mut self, stats: &Stats, since: Micros, now: Micros) {
        self.advance = now.saturating_sub(since);
        stats.record_duration("advance", self.advance);
    }

    /// The turn ends.
    pub fn end(
        self,
        stats: &Stats,
        now: Clocks,
        looked: PlacementStats,
    ) -> Took {
        let took = Took {
            ended: now.mono,
            turn: now.mono.saturating_sub(self.begun.mono),
            cpu: now.cpu.saturating_sub(self.begun.cpu),
            advance: self.advance,
            inputs: self.inputs,
            oldest: self.oldest,
            looked: looked.since(&self.looked),
        };
        stats.record_duration("turn", took.turn);
        stats.record_duration("turn_cpu", took.cpu);
        stats.record_size("turn_inputs", took.inputs);
        if took.looked.rounds > took.looked.deferred {
            stats.record_size("round_steps", took.looked.steps);
            stats.record_size("round_executors", took.looked.executors);
        }
        took
    }
}

impl Took {
    /// The time of the turn, or the longest wait that ended in it.
    fn worst(&self) -> Micros {
        self.turn.max(self.oldest.0)
    }
}

/// Reports slow turns, the worst in a time.
#[derive(Debug)]
pub struct SlowTurns {
    /// Turns and waits from this length on are slow.
    bound: Micros,
    reported: Option<Micros>,
    /// How many were slow since, and the worst of them.
    slow: u64,
    worst: Option<Took>,
}

impl SlowTurns {
    /// Turns and waits from this length on, in milliseconds, are slow.
    pub fn new(bound: Millis) -> SlowTurns {
        let bound = bound * 1_000;
        SlowTurns { bound, reported: None, slow: 0, worst: None }
    }

    /// Takes in a turn. If a report is due, returns how many were slow since
    /// the last one, and the worst of them.
    pub fn observe(&mut self, took: Took) -> Option<(u64, Took)> {
        if took.worst() >= self.bound {
            self.slow += 1;
            if self.worst.is_none_or(|w| w.worst() <= took.worst()) {
                self.worst = Some(took);
            }
        }
        let due = |at| took.ended >= at + REPORT_EVERY * 1_000;
        if !self.reported.is_none_or(due) {
            return None;
        }
        let worst = self.worst.take()?;
        self.reported = Some(took.ended);
        Some((std::mem::take(&mut self.slow), worst))
    }
}
