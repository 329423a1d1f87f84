/*!
Executors as the leader knows them: their capacity, and its allocation.
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::circuit_breaker::CircuitBreaker;
use crate::jobs::message::{AccountIndex, IncarnationEnd};
use crate::jobs::model::{StepKey, TaskKey};
use crate::jobs::record;
use crate::jobs::report_age::ClockLowerBound;
use crate::jobs::speed::Speed;

/// An executor's clock may lose one part in this many, so that it lags behind
/// true time by at most the elapsed time divided by this.
pub const MAX_CLOCK_DRIFT_DIVISOR: Millis = 33;
/// Tolerance for the resolution of clocks and the latency to an executor.
pub const CLOCK_TOLERANCE_MS: Millis = 150;

/// An executor's entry in the store, written by the executor itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorInfo {
    /// Its name, which may survive a restart.
    pub id: String,
    /// When this incarnation started, in milliseconds of wall time by its own
    /// clock; `None` where a name is used for one incarnation only. It
    /// distinguishes incarnations but does not order them: wall time may jump.
    pub born: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// The address on which it listens, as IP:PORT.
    pub address: String,
    /// Its data centre.
    pub dc: String,
    /// Its total resources.
    pub capacity: Resources,
    /// Its labels, including its rack.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub draining: bool,
    /// The least time before it leaves, in milliseconds.
    pub remaining: Option<Millis>,
}

/// The state of a run on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start was ordered and not answered yet.
    Starting,
    /// The executor has confirmed the start.
    Running,
    /// It is to be stopped; `true` once the executor has confirmed the stop.
    Stopping(bool),
}

/// The most starts whose orders to one executor have no outcome yet. A node
/// has few calls to an executor open at a time, and drops those that wait for
/// too long.
pub const MAX_OPEN_STARTS: usize = 32;
/// How many of them are left to jobs of which nothing runs, so that a job of
/// many tasks does not delay the first tasks of others.
const RESERVED_FIRST_STARTS: usize = 8;

/// A sum of resources. Unlike [`Resources`], it does not saturate, so that
/// what was added can be subtracted again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ResourceSum {
    cpu_millis: u64,
    memory_mb: u64,
    accelerators: u64,
}

impl ResourceSum {
    fn add(&mut self, more: &Resources) {
        self.cpu_millis += u64::from(more.cpu_millis);
        self.memory_mb += u64::from(more.memory_mb);
        self.accelerators += u64::from(more.accelerators);
    }

    /// Subtracts what was added before.
    fn subtract(&mut self, less: &Resources) {
        self.cpu_millis -= u64::from(less.cpu_millis);
        self.memory_mb -= u64::from(less.memory_mb);
        self.accelerators -= u64::from(less.accelerators);
    }

    fn plus(&self, other: &ResourceSum) -> ResourceSum {
        ResourceSum {
            cpu_millis: self.cpu_millis + other.cpu_millis,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// What is left of a capacity, at least zero.
    fn remaining_of(&self, capacity: &Resources) -> Resources {
        let left = |whole: u32, used: u64| {
            whole.saturating_sub(u32::try_from(used).unwrap_or(u32::MAX))
        };
        Resources {
            cpu_millis: left(capacity.cpu_millis, self.cpu_millis),
            memory_mb: left(capacity.memory_mb, self.memory_mb),
            accelerators: left(capacity.accelerators, self.accelerators),
        }
    }
}

/// The resources that a run counts for against the limit of a client account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// The account, if the run belongs to one.
    pub account: Option<AccountIndex>,
    /// The resources that count.
    pub amount: Resources,
    /// Whether the run is urgent.
    pub urgent: bool,
}

/// A run that takes up capacity on an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRun {
    /// The run.
    pub run: u64,
    /// The resources that it needs.
    pub need: Resources,
    /// Its charge against the limit of its client account.
    pub charge: Charge,
    /// Whether its queue is urgent and it is within what its account is
    /// entitled to.
    pub urgent: bool,
    /// Its state.
    pub phase: RunPhase,
    /// When its start was ordered, or it was first reported.
    pub placed_at: Millis,
    /// When a stop that has failed is sent again; zero if none is due.
    pub stop_retry_at: Millis,
    /// When its start or its stop was confirmed.
    pub confirmed_at: Millis,
    /// Since when it is unknown whether its start has arrived.
    pub start_unsure_since: Option<Millis>,
    /// Whether its start was confirmed, by any incarnation.
    pub start_confirmed: bool,
    /// The reading of its executor's clock when it started, if known.
    pub start_clock: Option<Millis>,
    /// Whether a report has listed it, which shows that this incarnation has
    /// run it. A confirmed start may have been carried out by a later
    /// incarnation.
    pub reported: bool,
    /// When it is expected to end.
    pub expected_end: Millis,
    /// Whether its run time is evidence of its executor's speed: it started
    /// there from the beginning, its placement does not slow it, and its end
    /// is learned without delay.
    pub measures_speed: bool,
    /// How long after the order the executor has to be heard until the run is
    /// known not to crash it, in milliseconds.
    pub crash_window: Millis,
}

/// A trial of a task that may crash executors: the task runs on one executor,
/// or is about to, and nothing else is started there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The task.
    pub task: TaskKey,
    /// The run, once it is started.
    pub run: Option<u64>,
    /// When the executor is asked whether it has survived; before the start,
    /// until when the executor is reserved for the trial.
    pub until: Millis,
    /// Whether an executor has crashed before while this task was the only
    /// suspect.
    pub crashed_alone: bool,
}

/// Whether an executor answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has not answered in this leader term.
    Unseen,
    /// It answers.
    Ready,
    /// It has stopped answering.
    Silent,
}

/// The source of what the leader knows about an executor's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptionSource {
    /// There is no readable entry of this incarnation. Its capacity may differ
    /// from that of an earlier one, so nothing is started there.
    Unknown,
    /// It was known to a previous leader. The capacity may have shrunk since.
    Predecessor,
    /// Its entry, as read in this term.
    Entry,
}

/// The leader's state for one incarnation of an executor.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Its entry in the store.
    pub info: ExecutorInfo,
    /// The machine on which the list of machines has shown it; empty if it
    /// has not been shown yet.
    pub machine: String,
    /// How and when the incarnation was found to have ended, if it was.
    pub incarnation_end: Option<(IncarnationEnd, Millis)>,
    /// The shard in which the store keeps it.
    pub shard: u8,
    /// Whether the store lists it.
    pub listed: bool,
    /// The source of its description.
    pub description: DescriptionSource,
    /// Its entry when that described another incarnation than this one.
    pub other_incarnation: Option<ExecutorInfo>,
    /// Whether the store records that this cell sends it orders.
    pub enrolled: bool,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Its capacity less all runs and reservations.
    pub free: Resources,
    /// The sum of what its runs need.
    used_by_runs: ResourceSum,
    /// The sum of its reservations.
    used_by_reservations: ResourceSum,
    /// The starts that were ordered and whose orders have no outcome yet.
    open_starts: BTreeSet<(TaskKey, u64)>,
    /// All runs that take up capacity, in any phase.
    pub runs: BTreeMap<TaskKey, PlacedRun>,
    /// Capacity reserved for steps that wait for a ticket.
    pub reserved: BTreeMap<StepKey, Resources>,
    /// Since when it is known to this leader.
    pub known_since: Millis,
    /// Since when it is silent, if it is.
    pub silent_since: Millis,
    /// When this incarnation was first heard in this term, if it was.
    pub first_heard: Option<Millis>,
    /// Since when another incarnation may be the one that answers. The numbers
    /// of its ends overlap with those of this one, so no end is acknowledged
    /// meanwhile.
    pub incarnation_unsure_since: Option<Millis>,
    /// Whether acknowledgements of ends were withheld from it.
    pub acks_withheld: bool,
    /// Runs that were ordered here, but that a later incarnation may have
    /// started instead.
    pub carried_over: BTreeMap<TaskKey, PlacedRun>,
    /// The last reading of its clock, and when it was received.
    pub clock: Option<(Millis, Millis)>,
    /// When the report with that reading was requested.
    pub clock_requested_at: Millis,
    /// A lower bound on its clock.
    pub clock_bound: ClockLowerBound,
    /// The least age of its last report when that was processed, in
    /// milliseconds.
    pub report_age: Millis,
    /// The latest time at which its last report can have been made.
    pub reported_at: Option<Millis>,
    /// When all leases there have certainly lapsed, if nothing more is sent.
    pub lease_expiry: Millis,
    /// When the last renewal was sent, if it went unanswered.
    pub missed_renewal: Option<Millis>,
    /// Whether the last renewal could not be sent. An address that is cut off
    /// does not say so: then the result is unknown first.
    pub refuses_connections: bool,
    /// Whether a renewal is in flight.
    pub renewing: bool,
    /// When the renewal in flight was sent.
    pub renewal_sent_at: Millis,
    /// Whether a report is wanted at once, in addition to the renewal in
    /// flight.
    pub probe: bool,
    /// The earliest time for the next probe while a renewal is in flight.
    pub next_probe: Millis,
    /// When to send the next renewal.
    pub next_renewal: Millis,
    /// The number of renewals that have failed in a row.
    pub renewal_failures: u32,
    /// When the first order or renewal was missed since its last answer: it
    /// may have crashed by then.
    pub unanswered_since: Option<Millis>,
    /// Whether a renewal broke off at that time, before its wait was over: if
    /// the executor has crashed, it did so then.
    pub connection_lost: bool,
    /// How long the executor was to keep the last renewal waiting, in
    /// milliseconds.
    pub renewal_wait: Millis,
    /// The number of the last end that was received.
    pub received_end: u64,
    /// The number of the last end that is written to the store, and so may be
    /// acknowledged.
    pub acknowledged_end: u64,
    /// When its entry disappeared while it was not known to be silent.
    pub unlisted_at: Option<Millis>,
    /// The trial that excludes all other starts there, if any.
    pub trial: Option<Trial>,
    /// Whether nothing new is placed there since its machine goes down for
    /// maintenance soon.
    pub maintenance_due: bool,
    /// Whether maintenance of its machine was ordered, so that the runs there
    /// may be gone.
    pub maintenance_ordered: bool,
    /// When tasks there were last throttled or unthrottled.
    pub throttled_at: Millis,
    /// Whether it left an order unanswered and has not been heard since.
    pub unresponsive: bool,
    /// Whether its whole data centre may be unreachable.
    pub dc_suspected: bool,
    /// Whether its data centre is cordoned.
    pub cordoned: bool,
    /// The version of all descriptions since which its own holds.
    pub described_at: u64,
    /// The circuit breaker for starts there.
    pub breaker: CircuitBreaker,
    /// How long runs there take.
    pub speed: Speed,
    /// The speed as kept in the store, see [`Speed::to_stored`].
    pub stored_speed: i8,
}

impl Executor {
    /// Creates the state of an executor that was just listed.
    pub fn new(info: ExecutorInfo, now: Millis) -> Executor {
        Executor {
            free: info.capacity,
            shard: record::shard_of(&info.id),
            info,
            machine: String::new(),
            used_by_runs: ResourceSum::default(),
            used_by_reservations: ResourceSum::default(),
            open_starts: BTreeSet::new(),
            incarnation_end: None,
            listed: true,
            description: DescriptionSource::Entry,
            other_incarnation: None,
            first_heard: None,
            incarnation_unsure_since: None,
            acks_withheld: false,
            carried_over: BTreeMap::new(),
            enrolled: false,
            liveness: Liveness::Unseen,
            known_since: now,
            silent_since: now,
            runs: BTreeMap::new(),
            reserved: BTreeMap::new(),
            clock: None,
            clock_requested_at: 0,
            clock_bound: ClockLowerBound::default(),
            report_age: 0,
            reported_at: None,
            lease_expiry: 0,
            missed_renewal: None,
            refuses_connections: false,
            renewing: false,
            renewal_sent_at: 0,
            probe: false,
            next_probe: now,
            next_renewal: now,
            renewal_failures: 0,
            unanswered_since: None,
            connection_lost: false,
            renewal_wait: 0,
            received_end: 0,
            acknowledged_end: 0,
            unlisted_at: None,
            trial: None,
            maintenance_due: false,
            maintenance_ordered: false,
            throttled_at: 0,
            unresponsive: false,
            dc_suspected: false,
            cordoned: false,
            described_at: 0,
            breaker: CircuitBreaker::default(),
            speed: Speed::default(),
            stored_speed: 0,
        }
    }

    /// An estimate of its clock at `now`, which exceeds the true reading by at
    /// most the drift since the last reading.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.clock?;
        Some(reading + now.saturating_sub(at))
    }

    /// Whether a clock reading in the answer to an order sent at `sent_at` can
    /// come from this incarnation. A later incarnation has a different clock.
    pub fn clock_matches(
        &self,
        reading: Millis,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let Some((last, at)) = self.clock else { return true };
        let least = sent_at.saturating_sub(at);
        let least = last + least - least / MAX_CLOCK_DRIFT_DIVISOR;
        // The last reading may have been old when it was processed.
        let waited = at.saturating_sub(self.clock_requested_at);
        let age = if waited > self.renewal_wait + CLOCK_TOLERANCE_MS {
            waited
        } else {
            self.report_age
        };
        let last = last + age;
        let most = now.saturating_sub(at);
        let most = last + most + most / MAX_CLOCK_DRIFT_DIVISOR;
        least <= reading + CLOCK_TOLERANCE_MS
            && reading <= most + CLOCK_TOLERANCE_MS
    }

    /// Describes the incarnation born at this time: by the stored entry of
    /// another incarnation if it is that one, which is dropped otherwise, or
    /// like this incarnation, as long as there is no entry of it.
    pub fn describe_incarnation(
        &mut self,
        born: Option<u64>,
    ) -> (ExecutorInfo, DescriptionSource) {
        let entry = self.other_incarnation.take();
        match entry.filter(|info| info.born == born) {
            Some(info) => (info, DescriptionSource::Entry),
            None => {
                let info = ExecutorInfo { born, ..self.info.clone() };
                (info, DescriptionSource::Unknown)
            }
        }
    }

    /// When it was alive by its last report, if it has made one in this term.
    pub fn last_heard_at(&self) -> Option<Millis> {
        self.reported_at
    }

    /// How long ago it made its last report, in milliseconds, if it has made
    /// one in this term.
    pub fn silence(&self, now: Millis) -> Option<Millis> {
        self.last_heard_at().map(|at| now.saturating_sub(at))
    }

    /// How long a lease there may still be valid, in milliseconds, if it was
    /// heard in this term; negative once all leases have expired.
    pub fn lease_remaining(&self, now: Millis) -> Option<i64> {
        (self.lease_expiry > 0).then(|| self.lease_expiry as i64 - now as i64)
    }

    /// The longest time that a run can have been there when the executor fell
    /// silent, in milliseconds.
    pub fn max_runtime(&self, run: &PlacedRun) -> Millis {
        let until = self.unanswered_since.unwrap_or(Millis::MAX);
        until.saturating_sub(run.placed_at)
    }

    /// The least time that a run has been there: until the executor was last
    /// heard, in milliseconds.
    pub fn min_runtime(&self, run: &PlacedRun) -> Millis {
        self.last_heard_at().unwrap_or(0).saturating_sub(run.placed_at)
    }

    /// Whether it is about to leave: its entry says so, or it has answered
    /// since its entry disappeared.
    pub fn is_departing(&self) -> bool {
        let heard = self.last_heard_at().unwrap_or(0);
        self.info.draining || self.unlisted_at.is_some_and(|at| heard > at)
    }

    /// Whether a run has lasted long enough to be known not to crash it.
    pub fn is_harmless(&self, run: &PlacedRun) -> bool {
        self.min_runtime(run) >= run.crash_window
    }

    /// Whether all ends that were received may be acknowledged.
    pub fn is_all_acknowledged(&self) -> bool {
        self.acknowledged_end == self.received_end
    }

    /// Whether all of its runs are known to be harmless.
    pub fn all_harmless(&self) -> bool {
        self.runs.values().all(|run| self.is_harmless(run))
    }

    /// The earliest time at which an answer shows all its runs to be harmless.
    pub fn harmless_from(&self) -> Millis {
        let runs = self.runs.values();
        runs.map(|run| run.placed_at + run.crash_window).max().unwrap_or(0)
    }

    /// Whether it is reserved for the trial of a task that has not started.
    pub fn is_reserved_for_trial(&self, task: TaskKey, now: Millis) -> bool {
        self.trial.as_ref().is_some_and(|trial| {
            trial.task == task && trial.run.is_none() && now < trial.until
        })
    }

    /// Whether a trial excludes other starts there.
    pub fn is_closed_by_trial(&self, now: Millis) -> bool {
        self.trial
            .as_ref()
            .is_some_and(|trial| trial.run.is_some() || now < trial.until)
    }

    /// Whether a trial excludes the start of a task there.
    pub fn is_closed_by_trial_to(&self, task: TaskKey, now: Millis) -> bool {
        self.is_closed_by_trial(now) && !self.is_reserved_for_trial(task, now)
    }

    /// The work that a crash would lose, in thousandths of core-seconds.
    pub fn work_at_risk(&self, now: Millis) -> u64 {
        let runs = self.runs.values().map(|run| {
            let cpu_millis = u64::from(run.need.cpu_millis);
            cpu_millis * now.saturating_sub(run.placed_at) / 1_000
        });
        runs.sum()
    }

    /// Records that it has stopped answering. Returns whether it answered
    /// before.
    pub fn mark_silent(&mut self, now: Millis) -> bool {
        let answered = self.liveness == Liveness::Ready;
        if answered {
            self.liveness = Liveness::Silent;
            self.silent_since = now;
        }
        answered
    }

    /// Whether new tasks may be placed there.
    pub fn usable(&self) -> bool {
        self.liveness == Liveness::Ready
            && self.enrolled
            && self.description != DescriptionSource::Unknown
            && self.incarnation_end.is_none()
            && !self.info.draining
            && !self.maintenance_due
            && !self.maintenance_ordered
            && !self.unresponsive
            && !self.dc_suspected
            && !self.cordoned
            && self.clock.is_some()
    }

    /// Takes capacity for a run. Returns the earlier run of the same task that
    /// it replaces, if any.
    pub fn place_run(
        &mut self,
        task: TaskKey,
        run: PlacedRun,
    ) -> Option<PlacedRun> {
        self.used_by_runs.add(&run.need);
        let before = self.runs.insert(task, run);
        if let Some(before) = &before {
            self.used_by_runs.subtract(&before.need);
        }
        self.recompute_free();
        before
    }

    /// Records that the start of a run was ordered.
    pub fn start_ordered(&mut self, task: TaskKey, run: u64) {
        self.open_starts.insert((task, run));
    }

    /// Records the outcome of the order to start a run. Returns whether more
    /// starts may be ordered only now.
    pub fn start_concluded(&mut self, task: TaskKey, run: u64) -> bool {
        let full = !self.may_order_start(false);
        self.open_starts.remove(&(task, run)) && full
    }

    /// Whether another start may be ordered. If `first`, the task belongs to a
    /// job of which nothing runs.
    pub fn may_order_start(&self, first: bool) -> bool {
        let most = match first {
            true => MAX_OPEN_STARTS,
            false => MAX_OPEN_STARTS - RESERVED_FIRST_STARTS,
        };
        self.open_starts.len() < most
    }

    /// The free capacity for a step. Its own reservation counts as free,
    /// unless runs that are being stopped still take it up.
    pub fn free_for(&self, step: &StepKey) -> Resources {
        let Some(own) = self.reserved.get(step) else { return self.free };
        let mut used = self.used();
        used.subtract(own);
        used.remaining_of(&self.info.capacity)
    }

    /// Reserves capacity for a step until [`Self::unreserve`].
    pub fn reserve(&mut self, step: StepKey, need: Resources) {
        self.used_by_reservations.add(&need);
        if let Some(before) = self.reserved.insert(step, need) {
            self.used_by_reservations.subtract(&before);
        }
        self.recompute_free();
    }

    /// Releases the capacity reserved for a step.
    pub fn unreserve(&mut self, step: &StepKey) {
        if let Some(before) = self.reserved.remove(step) {
            self.used_by_reservations.subtract(&before);
            self.recompute_free();
        }
    }

    /// Removes a run and releases its capacity.
    pub fn remove_run(&mut self, task: &TaskKey) -> Option<PlacedRun> {
        let run = self.runs.remove(task)?;
        self.used_by_runs.subtract(&run.need);
        self.recompute_free();
        let tried = self.trial.as_ref().and_then(|trial| trial.run);
        if tried.is_some_and(|run| self.runs.values().all(|r| r.run != run)) {
            self.trial = None;
        }
        Some(run)
    }

    /// Recomputes the free capacity after a change of the capacity or of what
    /// is in use.
    pub fn recompute_free(&mut self) {
        self.free = self.used().remaining_of(&self.info.capacity);
    }

    /// The sum of what its runs need and of its reservations.
    fn used(&self) -> ResourceSum {
        self.used_by_runs.plus(&self.used_by_reservations)
    }

    /// Whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|l| l == label)
    }
}
