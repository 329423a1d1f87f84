/*!
Where a task may go, and where it fits best.
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

/// Accelerators left over weigh more than processors and memory together:
/// they are what runs out first where there are any, and wide tasks need them
/// on one executor.
const ACCELERATORS: u64 = 3;

impl Scheduler {
    /// The candidates on which a step may start something now, whatever is
    /// free there: nothing is kept there for others that it would hold up.
    /// They are in order, as the candidates are.
    pub(super) fn eligible_candidates(
        &self,
        opening: &PlacementContext,
        kept: &AdvanceReservations,
        urgent: bool,
        now: Millis,
    ) -> Vec<(ExecutorIndex, bool)> {
        let candidates = opening.candidates.iter().copied();
        if urgent || kept.is_empty() {
            return candidates.collect();
        }
        let times = self.run_times(opening.key);
        let open = candidates.filter(|(at, _)| {
            let ends_by = |needed: &Millis| {
                now + times.on(self.slowness(*at)) <= *needed
            };
            kept.get(at).is_none_or(ends_by)
        });
        open.collect()
    }

    /// What would be left on an executor: less is better, so that large
    /// tasks find room elsewhere. The wrong rack counts as much as a whole
    /// executor.
    pub(super) fn fit_cost(&self, at: ExecutorIndex, step: &Step) -> u64 {
        if !self.is_enabled(Mechanism::BestFit) {
            return 0;
        }
        let Some(executor) = self.executors.get(&at) else { return u64::MAX };
        let left = executor.free.minus(&step.footprint());
        let far = match &step.near {
            Some(rack) if !executor.has_label(rack) => 2_000,
            _ => 0,
        };
        rest(&left, &executor.info.capacity) + far
    }
}

/// What is left of an executor, in thousandths of it: processors, memory, and
/// accelerators by their weight.
pub(super) fn rest(left: &Resources, whole: &Resources) -> u64 {
    let part = |left: u32, whole: u32| {
        u64::from(left) * 1_000 / u64::from(whole.max(1))
    };
    part(left.cpu_millis, whole.cpu_millis)
        + part(left.memory_mb, whole.memory_mb)
        + part(left.accelerators, whole.accelerators) * ACCELERATORS
}

/// How often `need` fits into `room`.
pub(super) fn fit_count(room: &Resources, need: &Resources) -> u32 {
    let fit =
        |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
    fit(room.cpu_millis, need.cpu_millis)
        .min(fit(room.memory_mb, need.memory_mb))
        .min(fit(room.accelerators, need.accelerators))
        .min(100_000)
}
