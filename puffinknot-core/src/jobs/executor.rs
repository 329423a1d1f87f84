/*!
Executors as the leader knows them: what they have, and what is promised.
*/

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::circuit_breaker::CircuitBreaker;
use crate::jobs::message::{AccountIndex, IncarnationEnd};
use crate::jobs::model::{StepKey, TaskKey};
use crate::jobs::record;
use crate::jobs::report_age::ClockLowerBound;
use crate::jobs::speed::Speed;

/// An executor's clock may lose one part in this many.
pub const MAX_CLOCK_DRIFT_DIVISOR: Millis = 33;
/// For the grain of clocks and the way to an executor, in milliseconds.
pub const CLOCK_TOLERANCE_MS: Millis = 150;

/// What an executor says of itself in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutorInfo {
    /// Its name. One that starts again may keep it.
    pub id: String,
    /// When this life of it began, in milliseconds of wall time by its own
    /// clock; nothing where a name names one life only. It tells lives apart
    /// and says nothing of their order, since wall time may jump.
    pub born: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, as IP:PORT.
    pub address: String,
    /// Its data centre.
    pub dc: String,
    /// What it has.
    pub capacity: Resources,
    /// Its labels; racks are among them.
    pub labels: Vec<String>,
    /// It is about to leave.
    pub draining: bool,
    /// The least time left before it leaves, in milliseconds.
    pub remaining: Option<Millis>,
}

/// Where a run is in its life on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Ordered, not answered yet.
    Starting,
    /// The executor has confirmed it.
    Running,
    /// To be stopped; `true` once the executor has confirmed the stop.
    Stopping(bool),
}

/// What a run counts for against the limit of a client account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Charge {
    /// The account, if it is of any.
    pub account: Option<AccountIndex>,
    /// What it has running by that.
    pub amount: Resources,
    /// It is urgent.
    pub urgent: bool,
}

/// A run that takes up room on an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedRun {
    /// The run.
    pub run: u64,
    /// What it needs.
    pub need: Resources,
    /// What it counts for against the limit of its client account.
    pub charge: Charge,
    /// Its queue is urgent, and it is within its account's due.
    pub urgent: bool,
    /// Where it is in its life.
    pub phase: RunPhase,
    /// When it was ordered, or first seen.
    pub placed_at: Millis,
    /// When an answer to a stop is overdue.
    pub stop_retry_at: Millis,
    /// When its start, or its stop, was confirmed.
    pub confirmed_at: Millis,
    /// Since when it is not known whether its start has arrived.
    pub start_unsure_since: Option<Millis>,
    /// Its start was confirmed, by whatever life.
    pub start_confirmed: bool,
    /// What its executor's clock showed when it began, if that is known.
    pub start_clock: Option<Millis>,
    /// An account has listed it, so that it was there in this life. A start
    /// alone may have been carried out by a life that follows.
    pub reported: bool,
    /// When it should end.
    pub expected_end: Millis,
    /// How long it takes tells of its executor: it began there from the start.
    pub measures_speed: bool,
    /// It may crash its executor until that was heard so long after the
    /// order, in milliseconds.
    pub crash_window: Millis,
}

/// A task that may crash executors is tried on one, or is about to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The task.
    pub task: TaskKey,
    /// The run, once it was started.
    pub run: Option<u64>,
    /// When the executor is asked whether it has survived; before the start,
    /// until when the executor is kept for it.
    pub until: Millis,
    /// The task has been alone with a crash before.
    pub crashed_alone: bool,
}

/// Whether an executor can be talked to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It has not answered in this tenure.
    Unseen,
    /// It answers.
    Ready,
    /// It has stopped to answer.
    Silent,
}

/// By what it is known what an executor has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptionSource {
    /// No readable entry says it of this life: its room may be another than
    /// that of a former one, and nothing is started there.
    Unknown,
    /// A predecessor knew it. Its room may be smaller by now.
    Predecessor,
    /// Its entry, as it was read in this tenure.
    Entry,
}

/// An executor.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Its own account in the store.
    pub info: ExecutorInfo,
    /// The machine on which the list of machines has shown it; empty if it
    /// has not yet.
    pub machine: String,
    /// By what, and when, its life was found to be over, if it was.
    pub incarnation_end: Option<(IncarnationEnd, Millis)>,
    /// The shard in which the store keeps it.
    pub shard: u8,
    /// Whether the store lists it.
    pub listed: bool,
    /// By what it is known what it has.
    pub description: DescriptionSource,
    /// What its entry said of another life of it than this one.
    pub other_incarnation: Option<ExecutorInfo>,
    /// Whether the store knows that this cell orders it.
    pub enrolled: bool,
    /// Whether it can be talked to.
    pub liveness: Liveness,
    /// Its capacity less all runs and reservations.
    pub free: Resources,
    /// What has been promised: all runs in any phase.
    pub runs: BTreeMap<TaskKey, PlacedRun>,
    /// What is kept for steps that wait for a ticket.
    pub reserved: BTreeMap<StepKey, Resources>,
    /// Since when it is known to this leader.
    pub known_since: Millis,
    /// Since when it can't be talked to, if it can't.
    pub silent_since: Millis,
    /// When this life was heard first, if it was in this tenure.
    pub first_heard: Option<Millis>,
    /// Since when another life of it may answer what is sent there. Ends of
    /// that one have the same numbers, so that none may be called noted.
    pub incarnation_unsure_since: Option<Millis>,
    /// It was not told which of its ends are noted though some are.
    pub acks_withheld: bool,
    /// What was ordered there, and may have been carried out by the life that
    /// follows it instead.
    pub carried_over: BTreeMap<TaskKey, PlacedRun>,
    /// A reading of its clock, and when it was received.
    pub clock: Option<(Millis, Millis)>,
    /// When the account with that reading was asked for.
    pub clock_requested_at: Millis,
    /// The least that its clock shows.
    pub clock_bound: ClockLowerBound,
    /// How old its last account was when it was taken in, at the least, in
    /// milliseconds.
    pub report_age: Millis,
    /// When its last account was given, at the latest.
    pub reported_at: Option<Millis>,
    /// When everything there has certainly lapsed, if nothing more is sent.
    pub lease_expiry: Millis,
    /// When the last hold was sent that was found unanswered, if that was the
    /// last of all.
    pub missed_renewal: Option<Millis>,
    /// Whether a hold is under way.
    pub renewing: bool,
    /// When the hold that is under way was sent.
    pub renewal_sent_at: Millis,
    /// An account is wanted at once, beside the hold that waits.
    pub probe: bool,
    /// Before this time no account is asked for beside a hold that waits.
    pub next_probe: Millis,
    /// When to send the next hold.
    pub next_renewal: Millis,
    /// The last hold failed this many times in a row.
    pub renewal_failures: u32,
    /// When an order or a hold first went unanswered since it answered last:
    /// by then it may have crashed.
    pub unanswered_since: Option<Millis>,
    /// What waited there was broken off then, so that it crashed then if it
    /// has.
    pub connection_lost: bool,
    /// How long the last hold was to wait there, in milliseconds.
    pub renewal_wait: Millis,
    /// The number of the last end that was taken in.
    pub received_end: u64,
    /// The number of the last end that is written.
    pub acknowledged_end: u64,
    /// When its entry went while it was not known to be silent.
    pub unlisted_at: Option<Millis>,
    /// Nothing but this is started there.
    pub trial: Option<Trial>,
    /// Nothing new is placed there, since its machine goes down soon.
    pub maintenance_due: bool,
    /// Its machine was called for, so that what runs there may be gone.
    pub maintenance_ordered: bool,
    /// When tasks there were slowed or let on last.
    pub throttled_at: Millis,
    /// It has left an order unanswered, and nothing was heard of it since.
    pub unresponsive: bool,
    /// Its whole data centre may be out of reach.
    pub dc_suspected: bool,
    /// Its data centre takes no new work.
    pub cordoned: bool,
    /// Whether runs there end well.
    pub breaker: CircuitBreaker,
    /// How long runs there take.
    pub speed: Speed,
    /// What the store keeps of that, see [`Speed::to_stored`].
    pub stored_speed: i8,
}

impl Executor {
    /// An executor that has just been listed.
    pub fn new(info: ExecutorInfo, now: Millis) -> Executor {
        Executor {
            free: info.capacity,
            shard: record::shard_of(&info.id),
            info,
            machine: String::new(),
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
            breaker: CircuitBreaker::default(),
            speed: Speed::default(),
            stored_speed: 0,
        }
    }

    /// Its clock by now, never ahead of the true reading by more than its
    /// drift since the last one.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (reading, at) = self.clock?;
        Some(reading + now.saturating_sub(at))
    }

    /// Whether a reading of a clock, in an answer to an order of `sent_at`,
    /// may be of its own: a life that follows has a clock of its own.
    pub fn clock_matches(
        &self,
        reading: Millis,
        sent_at: Millis,
        now: Millis,
    ) -> bool {
        let Some((last, at)) = self.clock else { return true };
        let least = sent_at.saturating_sub(at);
        let least = last + least - least / MAX_CLOCK_DRIFT_DIVISOR;
        // The last reading may have been old when it was taken in.
        let waited = at.saturating_sub(self.clock_requested_at);
        let old = if waited > self.renewal_wait + CLOCK_TOLERANCE_MS {
            waited
        } else {
            self.report_age
        };
        let last = last + old;
        let most = now.saturating_sub(at);
        let most = last + most + most / MAX_CLOCK_DRIFT_DIVISOR;
        least <= reading + CLOCK_TOLERANCE_MS
            && reading <= most + CLOCK_TOLERANCE_MS
    }

    /// What its entry has said of a life that was born then, if it was the
    /// last to speak of another life than this one.
    pub fn take_entry_of_incarnation(
        &mut self,
        born: Option<u64>,
    ) -> Option<ExecutorInfo> {
        self.other_incarnation.take().filter(|info| info.born == born)
    }

    /// When it was alive by its last account, if it has given one in this
    /// tenure.
    pub fn last_heard_at(&self) -> Option<Millis> {
        self.reported_at
    }

    /// How long ago it gave its last account, in milliseconds, if it has in
    /// this tenure.
    pub fn silence(&self, now: Millis) -> Option<Millis> {
        self.last_heard_at().map(|at| now.saturating_sub(at))
    }

    /// How long a lease of it may run on, in milliseconds, if it was heard in
    /// this tenure; negative once all have run out.
    pub fn lease_remaining(&self, now: Millis) -> Option<i64> {
        (self.lease_expiry > 0).then(|| self.lease_expiry as i64 - now as i64)
    }

    /// How long a run may have been there when the executor fell silent, in
    /// milliseconds.
    pub fn max_runtime(&self, run: &PlacedRun) -> Millis {
        let until = self.unanswered_since.unwrap_or(Millis::MAX);
        until.saturating_sub(run.placed_at)
    }

    /// How long a run had been there when the executor was heard last, in
    /// milliseconds.
    pub fn min_runtime(&self, run: &PlacedRun) -> Millis {
        self.last_heard_at().unwrap_or(0).saturating_sub(run.placed_at)
    }

    /// Whether it is about to leave: it says so, or it went on to answer when
    /// its entry had gone.
    pub fn is_departing(&self) -> bool {
        let heard = self.last_heard_at().unwrap_or(0);
        self.info.draining || self.unlisted_at.is_some_and(|at| heard > at)
    }

    /// Whether a run is known not to have crashed it when it may have.
    pub fn is_harmless(&self, run: &PlacedRun) -> bool {
        self.min_runtime(run) >= run.crash_window
    }

    /// Whether all of its runs are known to be harmless.
    pub fn all_harmless(&self) -> bool {
        self.runs.values().all(|run| self.is_harmless(run))
    }

    /// From when an answer shows that all of its runs are harmless.
    pub fn harmless_from(&self) -> Millis {
        let runs = self.runs.values();
        runs.map(|run| run.placed_at + run.crash_window).max().unwrap_or(0)
    }

    /// Whether it is kept for the trial of a task that is to begin.
    pub fn is_reserved_for_trial(&self, task: TaskKey, now: Millis) -> bool {
        self.trial.as_ref().is_some_and(|trial| {
            trial.task == task && trial.run.is_none() && now < trial.until
        })
    }

    /// Whether a trial keeps others from being started there.
    pub fn is_closed_by_trial(&self, now: Millis) -> bool {
        self.trial
            .as_ref()
            .is_some_and(|trial| trial.run.is_some() || now < trial.until)
    }

    /// Whether a trial keeps a task from being started there.
    pub fn is_closed_by_trial_to(&self, task: TaskKey, now: Millis) -> bool {
        self.is_closed_by_trial(now) && !self.is_reserved_for_trial(task, now)
    }

    /// The work that would be lost with it, in thousandths of core-seconds.
    pub fn work_at_risk(&self, now: Millis) -> u64 {
        let runs = self.runs.values().map(|run| {
            let cores = u64::from(run.need.cpu_millis);
            cores * now.saturating_sub(run.placed_at) / 1_000
        });
        runs.sum()
    }

    /// It has stopped to answer. Returns whether it answered before.
    pub fn mark_silent(&mut self, now: Millis) -> bool {
        let answered = self.liveness == Liveness::Ready;
        if answered {
            self.liveness = Liveness::Silent;
            self.silent_since = now;
        }
        answered
    }

    /// Whether new tasks may go there.
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

    /// Takes room for a run. Returns an earlier run of the same task there,
    /// in whose place it is.
    pub fn place_run(
        &mut self,
        task: TaskKey,
        run: PlacedRun,
    ) -> Option<PlacedRun> {
        let before = self.runs.insert(task, run);
        self.recompute_free();
        before
    }

    /// What is free for a step: the room that is kept for it counts, unless
    /// runs that are to go still take it up.
    pub fn free_for(&self, step: &StepKey) -> Resources {
        if !self.reserved.contains_key(step) {
            return self.free;
        }
        let runs = self.runs.values().map(|run| &run.need);
        let others = self.reserved.iter();
        let others = others.filter(|(s, _)| *s != step).map(|(_, n)| n);
        let none = Resources::default();
        let used = runs.chain(others).fold(none, |sum, n| sum.plus(n));
        self.info.capacity.minus(&used)
    }

    /// Keeps room for a step until it is given back by [`Self::unreserve`].
    pub fn reserve(&mut self, step: StepKey, need: Resources) {
        self.reserved.insert(step, need);
        self.recompute_free();
    }

    /// Gives the room back that was kept for a step.
    pub fn unreserve(&mut self, step: &StepKey) {
        if self.reserved.remove(step).is_some() {
            self.recompute_free();
        }
    }

    /// Gives the room of a run back.
    pub fn remove_run(&mut self, task: &TaskKey) -> Option<PlacedRun> {
        let run = self.runs.remove(task)?;
        self.recompute_free();
        let tried = self.trial.as_ref().and_then(|trial| trial.run);
        if tried.is_some_and(|run| self.runs.values().all(|r| r.run != run)) {
            self.trial = None;
        }
        Some(run)
    }

    /// Computes the free room anew from what is promised.
    pub fn recompute_free(&mut self) {
        let mut used = Resources::default();
        for run in self.runs.values() {
            used = used.plus(&run.need);
        }
        for need in self.reserved.values() {
            used = used.plus(need);
        }
        self.free = self.info.capacity.minus(&used);
    }

    /// Whether it bears a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.info.labels.iter().any(|l| l == label)
    }
}
