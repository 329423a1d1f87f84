/*!
The choice of a worker for a task.

The default is best fit over several resources: among the workers with enough
free capacity, the one that would have the least left is chosen. Two rules come
before that. A task that needs no accelerators avoids workers with free ones,
since it could use up the CPU and memory without which these can't be used.
Then the tasks of a service are spread over racks, and within these over
workers.
*/

use crate::config::Resources;

/// The strategy by which a worker is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Fit {
    /// The worker that would have the least left.
    #[default]
    Best,
    /// The first worker in the order of names. A baseline for comparison.
    First,
    /// Any worker, by a hash of task and worker. A baseline for comparison.
    Random,
}

/// A worker with enough free capacity for a task.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The resources of the worker, less those reserved for legacy scripts.
    pub capacity: Resources,
    /// The part of `capacity` that is free for this task, which includes what
    /// is reserved for it.
    pub free: Resources,
    /// The number of tasks of the same service in its rack and on itself.
    pub same_service_tasks: (u32, u32),
    /// A pseudorandom number for the pair of task and worker.
    pub random_key: u64,
}

/// The rank of a candidate; the lowest is best.
pub type Score = (bool, u32, u32, u64);

impl Fit {
    /// The score of a candidate for a task with these needs.
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
    let capacity = &candidate.capacity;
    let strands_accelerators = need.accelerators == 0 && left.accelerators > 0;
    let cpu = per_mille(left.cpu_millis, capacity.cpu_millis);
    let memory = per_mille(left.memory_mb, capacity.memory_mb);
    // A worker on which one resource runs out long before another is hard to
    // fill, so an unbalanced remainder makes the score worse.
    let mut unused = cpu + memory + cpu.abs_diff(memory);
    if capacity.accelerators > 0 {
        let accelerators = per_mille(left.accelerators, capacity.accelerators);
        unused += accelerators + accelerators.saturating_sub(cpu.min(memory));
    }
    let (rack, worker) = candidate.same_service_tasks;
    (strands_accelerators, rack, worker, unused)
}

/// `part` as thousandths of `whole`.
pub(super) fn per_mille(part: u32, whole: u32) -> u64 {
    u64::from(part) * 1_000 / u64::from(whole.max(1))
}
