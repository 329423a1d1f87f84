/*!
How much capacity to keep free for urgent tasks.

Urgent tasks come in waves and bursts, and can't wait until capacity becomes
free by itself. What they used and waited for at their recent peaks is what
they may demand at any time; what they use now needs no more capacity. The peak
level decays, so that a burst is forgotten.
*/

use crate::config::Resources;
use crate::ids::Millis;

/// The half-life of the peak level. Clients' demand swings within 10 to 15
/// seconds: the next wave finds most of the capacity that the last one needed.
const HALF_LIFE_MS: Millis = 15_000;
/// The typical need in percent of the mean: tasks of one queue differ, and one
/// and a half times the mean covers most of them.
const TYPICAL_NEED_PERCENT: u32 = 150;
/// At most one part in this many of the cell is kept free. The rest stays
/// available to tasks that may wait, whatever urgent queues demand.
pub const MAX_RESERVED_DIVISOR: u64 = 4;

/// The urgent tasks that run or wait at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The number of tasks that run.
    pub running: u32,
    /// The number of tasks that wait for capacity.
    pub waiting: u32,
    /// The resources of all of them together.
    pub resources: Resources,
}

impl Demand {
    /// Adds a task that runs.
    pub fn add_running(&mut self, need: &Resources) {
        self.running += 1;
        self.resources = self.resources.plus(need);
    }

    /// Adds tasks that wait, each with this need.
    pub fn add_waiting(&mut self, count: u32, need: &Resources) {
        self.waiting += count;
        self.resources = self.resources.plus(&need.times(count));
    }

    /// The sum of two demands.
    pub fn plus(self, other: &Demand) -> Demand {
        Demand {
            running: self.running + other.running,
            waiting: self.waiting + other.waiting,
            resources: self.resources.plus(&other.resources),
        }
    }

    fn tasks(&self) -> u32 {
        self.running + self.waiting
    }

    /// The resources that suffice for most single tasks of the demand.
    fn typical_need(&self) -> Resources {
        let tasks = u64::from(self.tasks().max(1)) * 100;
        let mean = |sum: u32| {
            let part = u64::from(sum) * u64::from(TYPICAL_NEED_PERCENT);
            u32::try_from(part.div_ceil(tasks)).unwrap_or(u32::MAX)
        };
        Resources {
            cpu_millis: mean(self.resources.cpu_millis),
            memory_mb: mean(self.resources.memory_mb),
            accelerators: mean(self.resources.accelerators),
        }
    }
}

/// The decaying peak level of urgent demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandPeak {
    /// In tasks.
    level: f64,
    at: Millis,
    typical_need: Resources,
}

impl DemandPeak {
    /// Adds the current demand of urgent tasks.
    pub fn observe(&mut self, demand: &Demand, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = now;
        self.level *= (-passed / HALF_LIFE_MS as f64).exp2();
        let tasks = f64::from(demand.tasks());
        self.level = self.level.max(tasks);
        // A few tasks are no good sample of those that may come.
        if tasks > 0.0 && tasks >= self.level / 2.0 {
            self.typical_need = demand.typical_need();
        }
    }

    /// The resources that suffice for most single tasks of the recent peaks;
    /// `None` if there were no tasks.
    pub fn typical_need(&self) -> Option<Resources> {
        (self.level > 0.0).then_some(self.typical_need)
    }

    /// The number of further urgent tasks for which capacity should be free,
    /// in a cell that fits `total` of them if nothing else runs.
    pub fn wanted_tasks(&self, demand: &Demand, total: u64) -> u64 {
        let more = self.level.ceil() as u64;
        let more = more.saturating_sub(u64::from(demand.running));
        more.min(total / MAX_RESERVED_DIVISOR)
    }
}
