/*!
Which executors a task may use, and how well it fits there.
*/

use crate::config::Resources;
use crate::ids::Millis;
use crate::jobs::mechanism::Mechanism;
use crate::jobs::message::ExecutorIndex;
use crate::jobs::model::Step;
use crate::jobs::scheduler::placement::{
    AdvanceReservations, PlacementContext,
};
use crate::jobs::scheduler::Scheduler;

/// The weight of leftover accelerators, more than that of processors and
/// memory together. Where executors have accelerators, these run out first,
/// and wide tasks need several on one executor.
const ACCELERATOR_WEIGHT: u64 = 3;

impl Scheduler {
    /// The candidates on which a step may start tasks now, if enough capacity
    /// is free there: those that are not reserved in advance, and those on
    /// which the tasks should end before the reservation begins. Urgent steps
    /// may use all candidates. Keeps the order of the candidates.
    pub(super) fn eligible_candidates(
        &self,
        context: &PlacementContext,
        reserved_from: &AdvanceReservations,
        urgent: bool,
        now: Millis,
    ) -> Vec<(ExecutorIndex, bool)> {
        let candidates = context.candidates.iter().copied();
        if urgent || reserved_from.is_empty() {
            return candidates.collect();
        }
        let times = self.run_times(context.key);
        let open = candidates.filter(|(at, _)| {
            let ends_by = |needed: &Millis| {
                now + times.on(self.slowness(*at)) <= *needed
            };
            reserved_from.get(at).is_none_or(ends_by)
        });
        open.collect()
    }

    /// The cost of placing a task of a step on an executor: what would be left
    /// over there, see [`weighted_leftover`]. Lower is better, so that large
    /// tasks find capacity elsewhere. The wrong rack costs as much as an
    /// executor whose processors and memory are all left over.
    pub(super) fn fit_cost(&self, at: ExecutorIndex, step: &Step) -> u64 {
        if !self.is_enabled(Mechanism::BestFit) {
            return 0;
        }
        let Some(executor) = self.executors.get(&at) else { return u64::MAX };
        let left = executor.free.minus(&step.footprint());
        let rack_cost = match &step.near {
            Some(rack) if !executor.has_label(rack) => 2_000,
            _ => 0,
        };
        weighted_leftover(&left, &executor.info.capacity) + rack_cost
    }
}

/// The leftover capacity of an executor, in thousandths of the whole, summed
/// over processors, memory and, by their weight, accelerators.
pub(super) fn weighted_leftover(left: &Resources, whole: &Resources) -> u64 {
    let part = |left: u32, whole: u32| {
        u64::from(left) * 1_000 / u64::from(whole.max(1))
    };
    part(left.cpu_millis, whole.cpu_millis)
        + part(left.memory_mb, whole.memory_mb)
        + part(left.accelerators, whole.accelerators) * ACCELERATOR_WEIGHT
}

/// How many times `need` fits into `available`, up to 100,000.
pub(super) fn fit_count(available: &Resources, need: &Resources) -> u32 {
    let fit = |available: u32, need: u32| {
        available.checked_div(need).unwrap_or(u32::MAX)
    };
    fit(available.cpu_millis, need.cpu_millis)
        .min(fit(available.memory_mb, need.memory_mb))
        .min(fit(available.accelerators, need.accelerators))
        .min(100_000)
}
