/*!
The one order in which steps are looked at, wherever they compete.

Urgent queues come first. What would take an account beyond its share of a full
cell comes behind all else, see [`super::account_shares`].

Within a class, what can still meet its objective comes first, by the latest
start that does: the end of the objective less what is left of the job. Then
comes what can be done while it is of some use, then the rest. Ordered by
objectives alone, a cell that has too much to do would go on with what is
already lost, and lose what it could have kept.

So that what is late is not starved, the one that came first gets a turn every
so often: it goes first in its class until all of it has started.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::model::{Step, StepKey};
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::Scheduler;

/// A job that takes longer than so many times its objective is of little use.
const OF_USE: Millis = 3;
/// A late step gets a turn at most so often in each class, in milliseconds, so
/// that nearly all room goes to what can be in time.
const TURN_GAP: Millis = 1_000;

/// What a step competes with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PriorityClass {
    /// Its queue is urgent.
    Urgent,
    /// The same, but its account has more than its share of what is urgent.
    UrgentOverShare,
    /// It may wait.
    Normal,
    /// It is beyond what is its account's.
    OverShare,
}

/// What use it can be if it starts now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    /// Its objective can be met.
    InTime,
    /// It would be late, but of some use.
    Late,
    /// It would be of little use.
    TooLate,
}

/// The place of a step in the order; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub class: PriorityClass,
    pub timeliness: Timeliness,
    /// What it is ordered by among its like, in milliseconds.
    pub sort_key: Millis,
    /// The order in which jobs came.
    pub arrival: u64,
}

impl Rank {
    /// Whether it goes before all that may wait.
    pub fn urgent(&self) -> bool {
        self.class <= PriorityClass::UrgentOverShare
    }

    /// Whether it goes behind all that is within an account's share.
    pub fn beyond(&self) -> bool {
        self.class == PriorityClass::OverShare
    }
}

/// A late step that goes first in its class.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    holder: Option<StepKey>,
    /// When the next one may get a turn.
    next: Millis,
}

/// The turns of all classes.
#[derive(Clone, Debug, Default)]
pub(super) struct LateBoosts(BTreeMap<PriorityClass, Turn>);

impl Scheduler {
    /// The place of a step in the order, if its job is live.
    pub(super) fn rank(&self, key: StepKey, now: Millis) -> Option<Rank> {
        let live = self.jobs.get(&key.job)?;
        let class = self.class(live);
        let arrival = live.arrival_seq;
        let (reach, by) = if !self.is_enabled(Mechanism::OrderByObjective) {
            (Timeliness::InTime, 0)
        } else if self.is_enabled(Mechanism::LatestStart) {
            self.timeliness(key, live, now)
        } else {
            (reach_by_deadline(live, now), live.deadline)
        };
        Some(Rank { class, timeliness: reach, sort_key: by, arrival })
    }

    fn class(&self, live: &LiveJob) -> PriorityClass {
        let beyond = live.over_rate || self.over_share(live.account);
        if live.queue.priority > 0 {
            return if beyond {
                PriorityClass::OverShare
            } else {
                PriorityClass::Normal
            };
        }
        let urgent = self.over_urgent_share(live.account);
        let beyond =
            beyond && urgent || self.urgent_over_total_share(live.account);
        match (live.over_rate || beyond, urgent) {
            (true, _) => PriorityClass::OverShare,
            (false, true) => PriorityClass::UrgentOverShare,
            (false, false) => PriorityClass::Urgent,
        }
    }

    /// The place of a step that has fallen behind since it was ranked: its
    /// account has got more of the room meanwhile.
    pub(super) fn behind(&self, key: StepKey, rank: &Rank) -> Option<Rank> {
        let class = self.class(self.jobs.get(&key.job)?);
        (class > rank.class).then_some(Rank { class, ..*rank })
    }

    /// What use a step can be if it starts now, and its latest start.
    fn timeliness(
        &self,
        key: StepKey,
        live: &LiveJob,
        now: Millis,
    ) -> (Timeliness, Millis) {
        let step = &live.job.steps[key.step as usize];
        let left = self.remaining_chain_time(key)
            + self.rounds_before(key, step, live);
        let latest = live.deadline.saturating_sub(left);
        // What goes on for long, or comes again, has no one end.
        if step.lasting || live.job.repeats.is_some() {
            return (reach_by_deadline(live, now), latest);
        }
        let whole = live.deadline.saturating_sub(live.arrived_at);
        let of_use = live.arrived_at + OF_USE * whole;
        let reach = if now <= latest {
            Timeliness::InTime
        } else if now + left <= of_use {
            Timeliness::Late
        } else {
            Timeliness::TooLate
        };
        (reach, latest)
    }

    /// How long all but the last tasks of a step take that is wider than the
    /// room, or than its account may run: it goes in several rounds.
    fn rounds_before(
        &self,
        key: StepKey,
        step: &Step,
        live: &LiveJob,
    ) -> Millis {
        if step.gang || step.count == 1 {
            return 0;
        }
        let whole = self.account_shares.total_capacity();
        let room = whole.least(&self.ledger.limit_of(live.account));
        let waiting = live.steps.get(&(key.time, key.step));
        let waiting = waiting.map_or(0, |run| run.waiting.len()) as u32;
        let rounds = waiting.div_ceil(fit_count(&room, &step.need).max(1));
        if rounds < 2 || *whole == Default::default() {
            return 0;
        }
        self.nominal_run_time(key) * Millis::from(rounds - 1)
    }

    /// Puts those late steps first in their classes whose turn it is.
    pub(super) fn give_turns(
        &mut self,
        order: &mut [(Rank, StepKey)],
        now: Millis,
    ) {
        if !self.is_enabled(Mechanism::LatestStart) {
            return;
        }
        let mut first: BTreeMap<PriorityClass, (u64, StepKey)> =
            BTreeMap::new();
        for (rank, key) in order.iter() {
            if rank.timeliness > Timeliness::InTime {
                let came = (rank.arrival, *key);
                let first = first.entry(rank.class).or_insert(came);
                *first = came.min(*first);
            }
        }
        let turns = &mut self.late_boosts.0;
        for (class, turn) in turns.iter_mut() {
            let mut steps = order.iter();
            let holds = |(rank, key): &(Rank, StepKey)| {
                Some(*key) == turn.holder && rank.class == *class
            };
            if turn.holder.is_some() && !steps.any(holds) {
                turn.holder = None;
                turn.next = now + TURN_GAP;
            }
        }
        let mut given = 0;
        for (class, (_, key)) in first {
            let turn = turns.entry(class).or_default();
            if turn.holder.is_none() && now >= turn.next {
                turn.holder = Some(key);
                given += 1;
            }
        }
        let holders: Vec<StepKey> =
            turns.values().filter_map(|turn| turn.holder).collect();
        for (rank, key) in order.iter_mut() {
            if holders.contains(key) {
                rank.timeliness = Timeliness::InTime;
                rank.sort_key = 0;
            }
        }
        for _ in 0..given {
            self.count("late_turns");
        }
    }
}

fn reach_by_deadline(live: &LiveJob, now: Millis) -> Timeliness {
    if live.deadline < now {
        Timeliness::Late
    } else {
        Timeliness::InTime
    }
}
