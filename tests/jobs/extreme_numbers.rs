//! Numbers at the limits of what others may write.

use puffinknot_core::config::Resources;
use puffinknot_core::ids::{Millis, MAX_MILLIS};
use puffinknot_core::jobs::{
    EndKind, EndReport, Event, ExecutorReport, JobState, MaintenanceWave,
    Repeats, RunReport,
};

use super::world::{job, resources, step, World, WORK};

impl World {
    /// Lists another executor with numbers at their limits, and has it report
    /// such numbers.
    fn add_extreme_executor(&mut self, id: &str, remaining: Option<Millis>) {
        let mut info = self.executors[0].info.clone();
        info.id = id.into();
        info.address = format!("{id}:1");
        info.born = Some(u64::MAX);
        info.capacity = Resources {
            cpu_millis: u32::MAX,
            memory_mb: u32::MAX,
            accelerators: u32::MAX,
        };
        info.draining = remaining.is_some();
        info.remaining = remaining;
        self.event(Event::Listed(info));
    }

    /// Has an executor answer a renewal with numbers at their limits.
    fn report_extremes(&mut self, index: u32) {
        let task = "0000000000000001.0.0.0".parse().expect("a task");
        let (run, checkpoint) = (u64::MAX, String::new());
        let report = ExecutorReport {
            born: Some(u64::MAX),
            clock: MAX_MILLIS,
            running: vec![RunReport {
                task,
                run,
                checkpoint: checkpoint.clone(),
                percent: u32::MAX,
                usage: u64::MAX,
            }],
            ended: vec![EndReport {
                number: u64::MAX,
                task,
                run,
                how: EndKind::Stopped,
                checkpoint,
            }],
            more_ended: false,
        };
        let sent_at = self.now;
        let answer = Ok(report);
        let event =
            Event::RenewalAnswered { executor: index, sent_at, answer };
        self.event(event);
    }
}

/// Guards against a leader that ends, or stops starting tasks, when a sum of
/// such numbers overflows.
#[test]
fn numbers_at_their_limits_stop_no_leader() {
    let mut world = World::new(2);
    for (number, remaining) in
        [None, Some(0), Some(MAX_MILLIS), Some(Millis::MAX)]
            .into_iter()
            .enumerate()
    {
        world.add_extreme_executor(&format!("x{number}"), remaining);
    }
    for index in 0..6 {
        let executor = world.scheduler.executor(index);
        if executor.is_some_and(|executor| executor.info.draining) {
            world.report_extremes(index);
        }
    }
    world.event(Event::Wave(MaintenanceWave {
        wave: u64::MAX,
        machines: vec!["no such machine".into()],
        within: MAX_MILLIS,
        most: u32::MAX,
    }));
    // Its tasks run for ever, and leave room for others.
    let mut late = step(1, resources(10, 1));
    late.estimate = MAX_MILLIS;
    late.target = MAX_MILLIS;
    let mut repeating = job(2, "batch", vec![late.clone()]);
    repeating.repeats =
        Some(Repeats { first: MAX_MILLIS, every: MAX_MILLIS, times: 10_000 });
    world.submit(job(1, "advised", vec![late; 64]));
    world.submit(repeating);
    world.submit(job(3, "batch", vec![step(1, resources(1_000, 500))]));
    world.run(20 * WORK);
    assert_eq!(world.state(3), Some(JobState::Succeeded));
    world.set_policy(|policy| {
        let queue = policy.queues.get_mut("batch").expect("a queue");
        queue.stretch = 1e300;
        queue.target = MAX_MILLIS;
        queue.timeout = MAX_MILLIS;
    });
    world.replace_leader();
    world.submit(job(4, "batch", vec![step(1, resources(1_000, 500))]));
    world.run(40 * WORK);
    assert_eq!(world.state(4), Some(JobState::Succeeded));
}
