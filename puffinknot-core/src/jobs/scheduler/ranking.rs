/*!
The order in which steps are considered, wherever they compete.

Steps are ranked by priority class first. Steps of urgent queues come first,
and steps of accounts that hold more than their share of a full cell come last,
see [`super::account_shares`].

Within a class, steps that can still meet their objective come first, ordered
by latest start: the deadline less the remaining run time of the job. Steps
that can still complete while they are useful come next, then the rest. In an
overloaded cell, an order by deadline alone would start steps that are already
late, and make the others late as well.

To prevent starvation, the late step that arrived first is boosted from time
to time: it goes first in its class until all of its tasks have started.
*/

use std::collections::BTreeMap;

use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::model::{Step, StepKey};
use crate::jobs::scheduler::fit::fit_count;
use crate::jobs::scheduler::live_job::LiveJob;
use crate::jobs::scheduler::Scheduler;

/// A job that takes longer than this many times its objective is of little
/// use.
const USEFUL_OBJECTIVE_MULTIPLE: Millis = 3;
/// The time between two boosts in a class, so that nearly all capacity goes to
/// steps that can be in time.
const BOOST_INTERVAL: Millis = 1_000;

/// The priority classes, in descending order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PriorityClass {
    /// The queue is urgent.
    Urgent,
    /// The queue is urgent, but the account's urgent runs hold more than
    /// their share of the capacity that urgent runs hold.
    UrgentOverShare,
    /// The queue is not urgent.
    Normal,
    /// The account holds more than its share, or the job was submitted over
    /// the account's rate. An urgent step within that rate is in this class
    /// only if the account's urgent runs hold more than a share as well.
    OverShare,
}

/// Whether a step that starts now meets its objective or is still useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    /// It can meet its objective.
    InTime,
    /// It would be late, but still useful.
    Late,
    /// It would be of little use.
    TooLate,
}

/// The rank of a step. Lower ranks come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub class: PriorityClass,
    pub timeliness: Timeliness,
    /// The latest start or the deadline, by which steps of the same class and
    /// timeliness are ordered.
    pub sort_key: Millis,
    /// The sequence number of the job's arrival.
    pub arrival_seq: u64,
}

impl Rank {
    /// Whether it comes before all steps that are not urgent.
    pub fn is_urgent(&self) -> bool {
        self.class <= PriorityClass::UrgentOverShare
    }

    /// Whether it comes after all steps that are within their account's share.
    pub fn is_over_share(&self) -> bool {
        self.class == PriorityClass::OverShare
    }
}

/// The boost of one priority class: its step goes first.
#[derive(Clone, Copy, Debug, Default)]
struct Boost {
    step: Option<StepKey>,
    /// When the next step may be boosted.
    next_at: Millis,
}

/// The boosts by priority class.
#[derive(Clone, Debug, Default)]
pub(super) struct LateBoosts(BTreeMap<PriorityClass, Boost>);

impl Scheduler {
    /// The rank of a step, if its job has not ended.
    pub(super) fn rank(&self, key: StepKey, now: Millis) -> Option<Rank> {
        let live = self.jobs.get(&key.job)?;
        let class = self.priority_class(live);
        let arrival_seq = live.arrival_seq;
        let (timeliness, sort_key) =
            if !self.is_enabled(Mechanism::OrderByObjective) {
                (Timeliness::InTime, 0)
            } else if self.is_enabled(Mechanism::LatestStart) {
                self.timeliness(key, live, now)
            } else {
                (timeliness_by_deadline(live, now), live.deadline)
            };
        Some(Rank { class, timeliness, sort_key, arrival_seq })
    }

    fn priority_class(&self, live: &LiveJob) -> PriorityClass {
        let over_share = live.over_rate || self.over_share(live.account);
        if live.queue.priority > 0 {
            return if over_share {
                PriorityClass::OverShare
            } else {
                PriorityClass::Normal
            };
        }
        let over_urgent_share = self.over_urgent_share(live.account);
        let over_share = over_share && over_urgent_share
            || self.urgent_over_total_share(live.account);
        match (live.over_rate || over_share, over_urgent_share) {
            (true, _) => PriorityClass::OverShare,
            (false, true) => PriorityClass::UrgentOverShare,
            (false, false) => PriorityClass::Urgent,
        }
    }

    /// The new rank of a step whose priority class has become lower since it
    /// was ranked, because its account holds more capacity by now.
    pub(super) fn demoted_rank(
        &self,
        key: StepKey,
        rank: &Rank,
    ) -> Option<Rank> {
        let class = self.priority_class(self.jobs.get(&key.job)?);
        (class > rank.class).then_some(Rank { class, ..*rank })
    }

    /// The timeliness of a step and its latest start.
    fn timeliness(
        &self,
        key: StepKey,
        live: &LiveJob,
        now: Millis,
    ) -> (Timeliness, Millis) {
        let step = &live.job.steps[key.step as usize];
        let remaining = self.remaining_critical_path(key)
            + self.earlier_batches_time(key, step, live);
        let latest_start = live.deadline.saturating_sub(remaining);
        // Lasting steps and jobs that repeat have no single completion time.
        if step.lasting || live.job.repeats.is_some() {
            return (timeliness_by_deadline(live, now), latest_start);
        }
        let objective = live.deadline.saturating_sub(live.arrived_at);
        let useful_until =
            live.arrived_at + USEFUL_OBJECTIVE_MULTIPLE * objective;
        let timeliness = if now <= latest_start {
            Timeliness::InTime
        } else if now + remaining <= useful_until {
            Timeliness::Late
        } else {
            Timeliness::TooLate
        };
        (timeliness, latest_start)
    }

    /// If a step has more waiting tasks than the whole cell or the account's
    /// limit can hold at once, they run in batches. Returns how long all
    /// batches but the last should take.
    fn earlier_batches_time(
        &self,
        key: StepKey,
        step: &Step,
        live: &LiveJob,
    ) -> Millis {
        if step.gang || step.count == 1 {
            return 0;
        }
        let cell = self.account_shares.total_capacity();
        let capacity = cell.component_min(&self.ledger.limit_of(live.account));
        let waiting = live.steps.get(&(key.time, key.step));
        let waiting = waiting.map_or(0, |run| run.waiting.len()) as u32;
        let batches =
            waiting.div_ceil(fit_count(&capacity, &step.need).max(1));
        if batches < 2 || *cell == Default::default() {
            return 0;
        }
        self.nominal_run_time(key) * Millis::from(batches - 1)
    }

    /// Boosts late steps: puts the one that holds the boost of its class
    /// first. A boost ends once its step is no longer waiting in that class.
    pub(super) fn boost_late_steps(
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
                let arrival = (rank.arrival_seq, *key);
                let first = first.entry(rank.class).or_insert(arrival);
                *first = arrival.min(*first);
            }
        }
        let boosts = &mut self.late_boosts.0;
        for (class, boost) in boosts.iter_mut() {
            let mut steps = order.iter();
            let is_waiting = |(rank, key): &(Rank, StepKey)| {
                Some(*key) == boost.step && rank.class == *class
            };
            if boost.step.is_some() && !steps.any(is_waiting) {
                boost.step = None;
                boost.next_at = now + BOOST_INTERVAL;
            }
        }
        let mut boosted = 0;
        for (class, (_, key)) in first {
            let boost = boosts.entry(class).or_default();
            if boost.step.is_none() && now >= boost.next_at {
                boost.step = Some(key);
                boosted += 1;
            }
        }
        let boosted_steps: Vec<StepKey> =
            boosts.values().filter_map(|boost| boost.step).collect();
        for (rank, key) in order.iter_mut() {
            if boosted_steps.contains(key) {
                rank.timeliness = Timeliness::InTime;
                rank.sort_key = 0;
            }
        }
        for _ in 0..boosted {
            self.count("late_turns");
        }
    }
}

fn timeliness_by_deadline(live: &LiveJob, now: Millis) -> Timeliness {
    if live.deadline < now {
        Timeliness::Late
    } else {
        Timeliness::InTime
    }
}
