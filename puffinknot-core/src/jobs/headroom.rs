/*!
How much room should stay free for urgent tasks.

Urgent tasks come in waves and bursts, and can't wait until room comes free by
itself. What they held and waited for at their recent peaks is what they may
want at any time; what they hold now needs no more room. The level of the
peaks decays, so that a burst is forgotten.
*/

use crate::config::Resources;
use crate::ids::Millis;

/// The level of a peak halves in this time, in milliseconds. Clients' demand
/// swings within 10 to 15 seconds: the next wave finds most of the room that
/// the last one needed.
const HALVES_IN: Millis = 15_000;
/// Tasks of one queue differ: what holds one of half as much again as the
/// mean holds most of them. In parts of a hundred.
const SLOT: u32 = 150;
/// At most one part in this many of the cell is kept free: the rest remains
/// for what may wait, whatever urgent queues ask for.
pub const MAX_RESERVED_DIVISOR: u64 = 4;

/// What urgent tasks hold or wait for at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// The number of tasks that run.
    pub running: u32,
    /// The number of tasks that wait for room.
    pub waiting: u32,
    /// What all of them take.
    pub resources: Resources,
}

impl Demand {
    /// A task that runs.
    pub fn add_running(&mut self, need: &Resources) {
        self.running += 1;
        self.resources = self.resources.plus(need);
    }

    /// Tasks that wait, each with this need.
    pub fn add_waiting(&mut self, count: u32, need: &Resources) {
        self.waiting += count;
        self.resources = self.resources.plus(&need.times(count));
    }

    /// The sum.
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

    /// The room for one task that holds most of them.
    fn slot(&self) -> Resources {
        let tasks = u64::from(self.tasks().max(1)) * 100;
        let mean = |sum: u32| {
            let part = u64::from(sum) * u64::from(SLOT);
            u32::try_from(part.div_ceil(tasks)).unwrap_or(u32::MAX)
        };
        Resources {
            cpu_millis: mean(self.resources.cpu_millis),
            memory_mb: mean(self.resources.memory_mb),
            accelerators: mean(self.resources.accelerators),
        }
    }
}

/// The decaying level of the peaks of urgent demand.
#[derive(Clone, Copy, Debug, Default)]
pub struct Headroom {
    /// In tasks.
    level: f64,
    at: Millis,
    slot: Resources,
}

impl Headroom {
    /// Takes in what urgent tasks hold and wait for now.
    pub fn observe(&mut self, demand: &Demand, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        self.at = now;
        self.level *= (-passed / HALVES_IN as f64).exp2();
        let tasks = f64::from(demand.tasks());
        self.level = self.level.max(tasks);
        // Few tasks say little of those that may come.
        if tasks > 0.0 && tasks >= self.level / 2.0 {
            self.slot = demand.slot();
        }
    }

    /// The room for one task that holds most of those at the recent peaks;
    /// none if there were none.
    pub fn typical_need(&self) -> Option<Resources> {
        (self.level > 0.0).then_some(self.slot)
    }

    /// How many further urgent tasks should find room at once, in a cell that
    /// holds so many of them if nothing else runs.
    pub fn wanted_tasks(&self, demand: &Demand, whole: u64) -> u64 {
        let more = self.level.ceil() as u64;
        let more = more.saturating_sub(u64::from(demand.running));
        more.min(whole / MAX_RESERVED_DIVISOR)
    }
}
