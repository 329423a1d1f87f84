/*!
What the cell of a leader that is measured has to do.
*/

use puffinknot_core::config::Resources;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{AdviceCost, Job, JobId, Policy, Queue, Step};
use rand::rngs::StdRng;
use rand::Rng;

/// One job in so many is a wide gang.
const GANG_ONE_IN: u64 = 7;
/// One job in so many of a mixed load is wide; each other one is a gang.
pub(super) const WIDE_ONE_IN: u64 = 14;
/// One gang in so many has a second step.
const CHAIN_ONE_IN: u64 = 4;
/// Guesses at run times are off by up to this factor.
const OFF: f64 = 1.6;
/// How long runs take on quick and on slow executors.
const QUICK: f64 = 0.6;
/// See [`QUICK`].
const SLOW: f64 = 1.8;

/// Jobs, and executors that run them.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Load {
    /// Equal jobs and equal executors.
    Even,
    /// Urgent jobs beside wide gangs and wide steps, on executors of unlike
    /// speed.
    Mixed,
}

fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/"),
        service: "s".into(),
        priority,
        max_attempts: 3,
        stretch: 2.0,
        target: 1_000,
        timeout: 3_000,
        advice: Some(AdviceCost { call_ms: 20.0, each_ms: 1.0, valid: 2_000 }),
        open: true,
    }
}

fn step(count: u32, cpu_millis: u32, gang: bool) -> Step {
    let need = Resources { cpu_millis, memory_mb: 256, accelerators: 0 };
    Step { count, need, gang, ..Step::default() }
}

impl Load {
    pub fn policy(self) -> Policy {
        let mut queues = vec![queue("q", 1)];
        if self == Load::Mixed {
            let patient = Queue { target: 30_000, ..queue("patient", 1) };
            queues = vec![queue("urgent", 0), patient];
        }
        let queues = queues.into_iter().map(|q| (q.name.clone(), q));
        let queues = queues.collect();
        Policy { version: 1, queues, ..Policy::default() }
    }

    /// How long runs take on an executor, beside the usual one.
    pub fn slowness(self, executor: usize) -> f64 {
        match (self, executor % 8) {
            (Load::Even, _) => 1.0,
            (_, 0 | 4) => QUICK,
            (_, 1) => SLOW,
            _ => 1.0,
        }
    }

    /// The next job, and how long tasks of each of its steps take.
    pub fn job(self, number: u64, random: &mut StdRng) -> (Job, Vec<Millis>) {
        let (queue, steps) = match self {
            Load::Even => even(number),
            Load::Mixed => mixed(number, random),
        };
        let works = steps.iter().map(|(_, work)| *work).collect();
        let steps = steps.into_iter().enumerate();
        let steps = steps.map(|(at, (step, work))| Step {
            after: (0..at as u32).collect(),
            estimate: self.guess(work, random),
            ..step
        });
        let job = Job {
            id: JobId(number),
            account: None,
            queue: queue.into(),
            service: "s".into(),
            spec: "a text of some bytes".into(),
            steps: steps.collect(),
            repeats: None,
        };
        (job, works)
    }

    fn guess(self, work: Millis, random: &mut StdRng) -> Millis {
        let off = match self {
            Load::Even => 1.0,
            Load::Mixed => OFF.powf(random.random_range(-1.0..1.0)),
        };
        (work as f64 * off) as Millis
    }
}

type Steps = Vec<(Step, Millis)>;

fn even(number: u64) -> (&'static str, Steps) {
    let step = match number % GANG_ONE_IN {
        0 => (step(40, 4_500, true), 3_000),
        _ => (step(4, 3_500, false), 1_000),
    };
    ("q", vec![step])
}

fn mixed(number: u64, random: &mut StdRng) -> (&'static str, Steps) {
    if number % WIDE_ONE_IN != 0 {
        return ("urgent", vec![(step(4, 3_900, false), 1_000)]);
    }
    let wide = number / WIDE_ONE_IN;
    if wide % 2 == 1 {
        return ("patient", vec![(step(40, 3_900, false), 3_000)]);
    }
    let members = random.random_range(40..=240);
    let mut steps = vec![(step(members, 4_500, true), 4_000)];
    if (wide / 2) % CHAIN_ONE_IN == 0 {
        steps.push((step(40, 4_500, true), 4_000));
    }
    ("patient", steps)
}
