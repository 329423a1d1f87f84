/*!
The mechanisms that decide, each of which can be switched off.

That is for measuring what each of them is worth; docs/ABLATION.md has the
figures. A cell is run with all of them.
*/

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// A mechanism that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mechanism {
    /// Steps are placed by the end of their objective; else by arrival.
    OrderByObjective,
    /// Tasks go where least is left over; else where there is room.
    BestFit,
    /// Gangs that wait get room kept for them.
    GangReservations,
    /// Tasks that save their progress give way to gangs that would be late.
    GangPreemption,
    /// What comes beyond an account's due goes behind all else, in a cell
    /// without [`CapacityShares`].
    AccountShares,
    /// Gangs that wait get their part of their account's limit in turn.
    LimitForGangs,
    /// Tickets are asked for before the room is free.
    TicketsAhead,
    /// Calls for advice ask about fewer executors when nodes are scarce.
    ShorterAdvice,
    /// Long calls for advice are made in parts by several nodes.
    ParallelAdvice,
    /// Some nodes are kept free of long calls for advice.
    ShortLane,
    /// Overdue calls for advice are made by other nodes.
    OverdueAdvice,
    /// An executor with an unanswered order gets no starts.
    UnresponsiveExecutors,
    /// A data centre that falls silent gets no starts.
    SuspectedDcs,
    /// Executors are asked at once when connections seem to be silent.
    SilenceAlarm,
    /// Executors that fail what they run get no starts.
    Breaker,
    /// Tasks that may have crashed an executor are started on their own, and
    /// given up when they do so again.
    Trials,
    /// A task avoids executors on which its step has failed.
    FailedThere,
    /// Answers of executors are waited for by their round trips.
    OrderPatience,
    /// Answers of executors that come late still count.
    LateAnswers,
    /// In large cells other nodes carry out the leader's orders.
    Relays,
    /// Answers of the store are waited for by their round trips.
    StorePatience,
    /// A node that can serve nobody is not ready.
    Readiness,
    /// A node that is cut off answers at once.
    CutOffAnswers,
    /// What hung while the store was away is made again at its return.
    StoreRetries,
    /// A leader whose process is gone is replaced before its lease ends.
    ReplacedLeader,
    /// A leader that the store turns away offers the lead.
    OfferedLead,
    /// Larger machines are preferred to lead.
    LargerLeader,
    /// In a full cell, room goes by the accounts' shares of what runs.
    CapacityShares,
    /// Steps are ordered by the latest start that meets their objective.
    LatestStart,
    /// Room is kept free for urgent work that should come.
    UrgentHeadroom,
    /// Tasks that save their progress give way to urgent ones.
    UrgentPreemption,
    /// What can't be done while it is of use is refused at once.
    Admission,
    /// Refused clients come back when there should be room.
    ReturnTimes,
    /// The speed of executors and the error of guesses are learnt.
    Speeds,
    /// Nothing starts on an executor that leaves before it should end.
    Leaving,
    /// What waits while the store is away returns in the order of use.
    AfterOutage,
}

use Mechanism::*;

/// All mechanisms and their names.
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
    /// All of them.
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
            format!("no mechanism {text}; give one of {}", names.join(", "))
        })
    }
}

/// Which mechanisms are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mechanisms(BTreeSet<Mechanism>);

impl Mechanisms {
    /// Without these.
    pub fn all_except(off: impl IntoIterator<Item = Mechanism>) -> Mechanisms {
        Mechanisms(off.into_iter().collect())
    }

    /// Without these as well.
    pub fn except(
        mut self,
        off: impl IntoIterator<Item = Mechanism>,
    ) -> Mechanisms {
        self.0.extend(off);
        self
    }

    /// Whether a mechanism is on.
    pub fn enabled(&self, mechanism: Mechanism) -> bool {
        !self.0.contains(&mechanism)
    }
}
