/*!
Synthetic jobs and executor speeds for the leader experiments.
*/

use puffinknot_core::config::Resources;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{AdviceCost, Job, JobId, Policy, Queue, Step};
use rand::rngs::StdRng;
use rand::Rng;

/// In an even load, one of this many jobs is a wide gang.
const JOBS_PER_GANG: u64 = 7;
/// In a mixed load, one of this many jobs is wide; every second wide job is a
/// gang.
pub(super) const JOBS_PER_WIDE_JOB: u64 = 14;
/// In a mixed load, one of this many gangs has a second step.
const GANGS_PER_CHAIN: u64 = 4;
/// Estimated run times deviate from the real ones by up to this factor, in
/// both directions.
const MAX_ESTIMATE_ERROR: f64 = 1.6;
/// The run time on a fast executor, relative to a normal one.
const FAST_EXECUTOR_FACTOR: f64 = 0.6;
/// The run time on a slow executor, relative to a normal one.
const SLOW_EXECUTOR_FACTOR: f64 = 1.8;

/// A pattern of jobs and executor speeds.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Load {
    /// Plain jobs and wide gangs in one queue, on executors of equal speed.
    Even,
    /// Urgent jobs together with wide gangs and wide steps, on executors of
    /// different speeds.
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

    /// Returns the run time on an executor, relative to a normal one.
    pub fn slowness(self, executor: usize) -> f64 {
        match (self, executor % 8) {
            (Load::Even, _) => 1.0,
            (_, 0 | 4) => FAST_EXECUTOR_FACTOR,
            (_, 1) => SLOW_EXECUTOR_FACTOR,
            _ => 1.0,
        }
    }

    /// Creates a job, and returns it with the task run time of each step.
    pub fn job(self, number: u64, random: &mut StdRng) -> (Job, Vec<Millis>) {
        let (queue, steps) = match self {
            Load::Even => even(number),
            Load::Mixed => mixed(number, random),
        };
        let durations = steps.iter().map(|(_, duration)| *duration).collect();
        let steps = steps.into_iter().enumerate();
        let steps = steps.map(|(index, (step, duration))| Step {
            after: (0..index as u32).collect(),
            estimate: self.estimate_run_time(duration, random),
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
        (job, durations)
    }

    fn estimate_run_time(
        self,
        duration: Millis,
        random: &mut StdRng,
    ) -> Millis {
        let error_factor = match self {
            Load::Even => 1.0,
            Load::Mixed => {
                MAX_ESTIMATE_ERROR.powf(random.random_range(-1.0..1.0))
            }
        };
        (duration as f64 * error_factor) as Millis
    }
}

/// Steps with the run time of their tasks.
type Steps = Vec<(Step, Millis)>;

fn even(number: u64) -> (&'static str, Steps) {
    let step = match number % JOBS_PER_GANG {
        0 => (step(40, 4_500, true), 3_000),
        _ => (step(4, 3_500, false), 1_000),
    };
    ("q", vec![step])
}

fn mixed(number: u64, random: &mut StdRng) -> (&'static str, Steps) {
    if number % JOBS_PER_WIDE_JOB != 0 {
        return ("urgent", vec![(step(4, 3_900, false), 1_000)]);
    }
    let wide_number = number / JOBS_PER_WIDE_JOB;
    if wide_number % 2 == 1 {
        return ("patient", vec![(step(40, 3_900, false), 3_000)]);
    }
    let members = random.random_range(40..=240);
    let mut steps = vec![(step(members, 4_500, true), 4_000)];
    if (wide_number / 2) % GANGS_PER_CHAIN == 0 {
        steps.push((step(40, 4_500, true), 4_000));
    }
    ("patient", steps)
}
