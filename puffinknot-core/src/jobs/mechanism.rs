/*!
The scheduling mechanisms, each of which can be disabled.

Disabling one serves to measure what it is worth; docs/ABLATION.md has the
figures. A production cell runs with all of them.
*/

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A scheduling mechanism that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Places steps in the order in which their objectives end, instead of
    /// arrival.
    OrderByObjective,
    /// Places tasks where least capacity is left over, instead of anywhere
    /// that they fit.
    BestFit,
    /// Reserves capacity for gangs that wait.
    GangReservations,
    /// Preempts tasks with checkpoints for gangs that would be late.
    GangPreemption,
    /// Ranks submissions beyond an account's entitlement behind all others, in
    /// a cell without [`CapacityShares`].
    AccountShares,
    /// Reserves a part of their account's limit for gangs that wait, in turn.
    LimitForGangs,
    /// Requests tickets before capacity is free.
    TicketsAhead,
    /// Asks for advice on fewer executors when nodes are scarce.
    ShorterAdvice,
    /// Splits long advice calls among several nodes.
    ParallelAdvice,
    /// Keeps some nodes free of long advice calls.
    ShortLane,
    /// Repeats overdue advice calls from other nodes.
    OverdueAdvice,
    /// Starts nothing on an executor with an unanswered order.
    UnresponsiveExecutors,
    /// Starts nothing in a data centre that has fallen silent.
    SuspectedDcs,
    /// Probes executors at once when connections seem to be silent.
    SilenceAlarm,
    /// Starts nothing on executors whose runs keep failing.
    Breaker,
    /// Starts tasks that may have crashed an executor in isolation, and gives
    /// them up if they do so again.
    Trials,
    /// Avoids executors on which tasks of the same step have failed.
    FailedThere,
    /// Derives timeouts for executors from round-trip times.
    OrderPatience,
    /// Uses answers of executors that arrive late.
    LateAnswers,
    /// Has other nodes send the leader's orders in large cells.
    Relays,
    /// Derives timeouts for the store from round-trip times.
    StorePatience,
    /// Reports a node that cannot serve clients as not ready.
    Readiness,
    /// Answers at once on a node that is cut off.
    CutOffAnswers,
    /// Retries calls to the store that hung during an outage once it is back.
    StoreRetries,
    /// Replaces a leader whose process is gone before its lease expires.
    ReplacedLeader,
    /// Has a leader that the store rejects offer the lead to another node.
    OfferedLead,
    /// Prefers larger machines as leaders.
    LargerLeader,
    /// Divides a full cell by the accounts' shares of what runs.
    CapacityShares,
    /// Orders steps by the latest start that meets their objective.
    LatestStart,
    /// Keeps capacity free for expected urgent work.
    UrgentHeadroom,
    /// Preempts tasks with checkpoints for urgent ones.
    UrgentPreemption,
    /// Refuses jobs at once that cannot end while they are useful.
    Admission,
    /// Tells refused clients to retry when capacity should be free.
    ReturnTimes,
    /// Learns the speed of executors and the error of run time estimates.
    Speeds,
    /// Starts no run on an executor that leaves before the run should end.
    Leaving,
    /// Decides for each new job during an outage of the store whether it waits
    /// or is refused, by its slack and the expected length of the outage.
    AfterOutage,
}

use Mechanism::*;

/// All mechanisms, with their names on the command line.
const NAMES: [(Mechanism, &str); 36] = [
    (OrderByObjective, "order-by-objective"),
    (BestFit, "best-fit"),
    (GangReservations, "room-for-gangs"),
    (GangPreemption, "displacing"),
    (AccountShares, "account-shares"),
    (LimitForGangs, "limit-for-gangs"),
    (TicketsAhead, "tickets-ahead"),
    (ShorterAdvice, "shorter-advice"),
    (ParallelAdvice, "parallel-advice"),
    (ShortLane, "short-lane"),
    (OverdueAdvice, "overdue-advice"),
    (UnresponsiveExecutors, "doubted-executors"),
    (SuspectedDcs, "suspected-dcs"),
    (SilenceAlarm, "silence-alarm"),
    (Breaker, "breaker"),
    (Trials, "trials"),
    (FailedThere, "failed-there"),
    (OrderPatience, "order-patience"),
    (LateAnswers, "late-answers"),
    (Relays, "relays"),
    (StorePatience, "store-patience"),
    (Readiness, "readiness"),
    (CutOffAnswers, "cut-off-answers"),
    (StoreRetries, "made-again"),
    (ReplacedLeader, "replaced-leader"),
    (OfferedLead, "offered-lead"),
    (LargerLeader, "larger-leader"),
    (CapacityShares, "room-shares"),
    (LatestStart, "latest-start"),
    (UrgentHeadroom, "urgent-room"),
    (UrgentPreemption, "giving-way"),
    (Admission, "admission"),
    (ReturnTimes, "return-times"),
    (Speeds, "speeds"),
    (Leaving, "leaving"),
    (AfterOutage, "after-outage"),
];

impl Mechanism {
    /// All mechanisms.
    pub fn all() -> impl Iterator<Item = Mechanism> {
        NAMES.iter().map(|(mechanism, _)| *mechanism)
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = NAMES.iter().find(|(mechanism, _)| mechanism == self);
        f.write_str(name.map_or("unnamed", |(_, name)| name))
    }
}

impl FromStr for Mechanism {
    type Err = String;

    fn from_str(text: &str) -> Result<Mechanism, String> {
        let known = NAMES.iter().find(|(_, name)| *name == text);
        known.map(|(mechanism, _)| *mechanism).ok_or_else(|| {
            let names: Vec<&str> = NAMES.iter().map(|(_, n)| *n).collect();
            format!(
                "unknown mechanism {text}; use one of {}",
                names.join(", ")
            )
        })
    }
}

/// The set of enabled mechanisms; by default all. Stores the disabled ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms(BTreeSet<Mechanism>);

impl Mechanisms {
    /// All mechanisms except these.
    pub fn all_except(
        disabled: impl IntoIterator<Item = Mechanism>,
    ) -> Mechanisms {
        Mechanisms(disabled.into_iter().collect())
    }

    /// Disables these as well.
    pub fn except(
        mut self,
        disabled: impl IntoIterator<Item = Mechanism>,
    ) -> Mechanisms {
        self.0.extend(disabled);
        self
    }

    /// Whether a mechanism is enabled.
    pub fn enabled(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }
}
