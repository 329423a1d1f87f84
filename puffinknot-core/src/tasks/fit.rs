/*!
Which worker a task goes to.

Best fit over several dimensions: among the workers that have room, a task
goes to the one of which the least is left over. Tasks without accelerators
keep away from workers with free ones, so that none is stranded, and the
tasks of a service spread over racks first.
*/

use crate::config::Resources;

/// How a worker is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fit {
    /// The worker of which the least is left over.
    #[default]
    Best,
    /// The first worker in the order of names; a baseline.
    First,
    /// Any worker, by a hash of task and worker; a baseline.
    Random,
}

/// A worker that has room for a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// What the worker has, less the room for the old scripts.
    pub capacity: Resources,
    /// What is free of it.
    pub free: Resources,
    /// The number of tasks of the same service in its rack and on itself.
    pub same_service_tasks: (u32, u32),
    /// A number that is as good as random for task and worker.
    pub random_key: u64,
}

/// How good a candidate is; the lowest is best.
pub type Score = (bool, u32, u32, u64);

impl Fit {
    /// The score of a candidate for a task with this need.
    pub fn score(self, candidate: &Candidate, need: &Resources) -> Score {
        match self {
            Fit::Best => best_fit_score(candidate, need),
            Fit::First => (false, 0, 0, 0),
            Fit::Random => (false, 0, 0, candidate.random_key),
        }
    }
}

fn best_fit_score(candidate: &Candidate, need: &Resources) -> Score {
    let left = candidate.free.minus(need);
    let whole = &candidate.capacity;
    let wastes = need.accelerators == 0 && left.accelerators > 0;
    let cpu = per_mille(left.cpu_millis, whole.cpu_millis);
    let memory = per_mille(left.memory_mb, whole.memory_mb);
    // A worker on which one dimension runs out long before another is hard
    // to fill, so a lopsided rest counts against a candidate.
    let mut rest = cpu + memory + cpu.abs_diff(memory);
    if whole.accelerators > 0 {
        let accelerators = per_mille(left.accelerators, whole.accelerators);
        rest += accelerators + accelerators.saturating_sub(cpu.min(memory));
    }
    let (rack, worker) = candidate.same_service_tasks;
    (wastes, rack, worker, rest)
}

/// A part of a whole, in thousandths.
pub(super) fn per_mille(part: u32, whole: u32) -> u64 {
    u64::from(part) * 1_000 / u64::from(whole.max(1))
}
