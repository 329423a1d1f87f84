//! Random sequences of jobs and faults, with the oracle of the world.

use proptest::prelude::*;
use puffinknot_core::jobs::{Event, JobId, Request};

use super::world::{job, room, step, World, FREE, LEASE, LIMITED, WORK};

/// Which queue a job is handed in to, with whose key.
#[derive(Clone, Copy, Debug)]
enum Door {
    Open,
    Advised,
    Background,
    Owned(&'static str),
}

#[derive(Clone, Debug)]
enum Move {
    Submit {
        tasks: u32,
        cpu: u32,
        gang: bool,
        steps: u32,
        door: Door,
        work: u64,
    },
    Limit(u32),
    Cancel(u64),
    Run(u64),
    Cut(usize, bool),
    Mute(usize, u32),
    Late(usize, Option<u64>),
    HeldUp(usize, Option<u64>),
    Crash(usize),
    StoreDown(bool),
    Replace,
    Fail(u64, u32),
}

fn moves() -> impl Strategy<Value = Move> {
    prop_oneof![
        6 => submission(),
        1 => (0u64..8).prop_map(Move::Cancel),
        1 => (3_000u32..9_000).prop_map(Move::Limit),
        6 => (1u64..700).prop_map(Move::Run),
        2 => (0usize..4, any::<bool>()).prop_map(|(a, c)| Move::Cut(a, c)),
        1 => (0usize..4, 1u32..3).prop_map(|(a, n)| Move::Mute(a, n)),
        1 => (0usize..4, prop::option::of(200u64..7_000))
            .prop_map(|(a, l)| Move::Late(a, l)),
        1 => (0usize..4, prop::option::of(1u64..7_000))
            .prop_map(|(a, l)| Move::HeldUp(a, l)),
        1 => (0usize..4).prop_map(Move::Crash),
        1 => any::<bool>().prop_map(Move::StoreDown),
        2 => Just(Move::Replace),
        1 => (0u64..8, 1u32..4).prop_map(|(j, n)| Move::Fail(j, n)),
    ]
}

fn submission() -> impl Strategy<Value = Move> {
    let work = prop_oneof![Just(WORK), Just(5 * WORK), Just(12 * WORK)];
    let door = prop_oneof![
        2 => Just(Door::Open),
        4 => Just(Door::Advised),
        3 => Just(Door::Background),
        3 => Just(Door::Owned(LIMITED)),
        1 => Just(Door::Owned(FREE)),
    ];
    let kinds = (any::<bool>(), door);
    (1u32..5, 300u32..2_500, 1u32..3, work, kinds).prop_map(
        |(tasks, cpu, steps, work, (gang, door))| Move::Submit {
            tasks,
            cpu,
            gang,
            steps,
            door,
            work,
        },
    )
}

fn play(sequence: &[Move]) -> World {
    let mut world = World::new(4);
    world.set_limit(6_000);
    world.run(50);
    let mut jobs = 0;
    let mut lives = 0;
    for one in sequence {
        match one.clone() {
            Move::Submit { tasks, cpu, gang, steps, door, work } => {
                jobs += 1;
                // What could never be placed is not asked for.
                let tight = gang && !matches!(door, Door::Open);
                let tasks = if tight { tasks.min(2) } else { tasks };
                let cpu = if gang { cpu.min(1_900) } else { cpu };
                let steps = (0..steps).map(|number| {
                    let mut step = step(tasks, room(cpu, 100));
                    step.gang = gang;
                    step.checkpoints = matches!(door, Door::Background);
                    step.estimate = work;
                    step.after = (0..number).collect();
                    step
                });
                let steps = steps.collect();
                match door {
                    Door::Open => world.submit(job(jobs, "batch", steps)),
                    Door::Background => {
                        world.submit(job(jobs, "background", steps))
                    }
                    Door::Advised => world.submit(job(jobs, "advised", steps)),
                    Door::Owned(account) => {
                        world.submit_as(account, job(jobs, "owned", steps))
                    }
                };
            }
            Move::Limit(cpu) => world.set_limit(cpu),
            Move::Cancel(id) => {
                for queue in ["batch", "advised", "owned", "background"] {
                    let queue = queue.to_string();
                    let job = JobId(id);
                    world.request_as(LIMITED, Request::Cancel { queue, job });
                }
            }
            Move::Run(time) => world.run(time),
            Move::Cut(at, cut) => world.executors[at].cut = cut,
            Move::Mute(at, orders) => world.executors[at].mute = orders,
            Move::Late(at, late) => world.executors[at].late = late,
            Move::HeldUp(at, late) => world.executors[at].held_up = late,
            Move::Crash(at) => {
                lives += 1;
                let id = format!("y{lives}");
                if !world.executors[at].dead {
                    world.crash(at, &id);
                }
            }
            Move::StoreDown(true) => world.store_down = true,
            Move::StoreDown(false) => world.store_up(),
            Move::Replace => world.replace_leader(),
            Move::Fail(id, times) => {
                let step = puffinknot_core::jobs::model::StepKey {
                    job: JobId(id),
                    time: 0,
                    step: 0,
                };
                world.failing.insert(step.task(0), times);
            }
        }
    }
    // All faults end; then everything that was accepted has to end too.
    for executor in &mut world.executors {
        executor.cut = false;
        executor.mute = 0;
        executor.late = None;
        executor.held_up = None;
    }
    world.store_up();
    // A limit may have fallen below what a gang needs.
    world.set_limit(0);
    world.run(2 * LEASE + 160 * WORK);
    world.event(Event::Tick);
    world.check_states();
    world
}

fn config() -> ProptestConfig {
    let number = |name: &str, default: u64| {
        let set = std::env::var(name).ok();
        set.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: number("PUFFINKNOT_FUZZ_CASES", 60) as u32,
        rng_seed: proptest::test_runner::RngSeed::Fixed(number(
            "PUFFINKNOT_FUZZ_SEED",
            1,
        )),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_rule_breaks_under_any_sequence_of_faults(
        sequence in prop::collection::vec(moves(), 1..45),
    ) {
        let mut world = play(&sequence);
        prop_assert!(world.broken.is_empty(), "{:#?}", world.broken);
        let left = world.unfinished();
        prop_assert!(left.is_empty(), "not ended: {left:?}");
    }
}
