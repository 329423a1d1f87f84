//! Repeating jobs whose repetitions are due long before they can start.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use puffinknot_core::jobs::number_set::NumberSet;
use puffinknot_core::jobs::record::{self, Progress, Record, StepProgress};
use puffinknot_core::jobs::{Job, JobId, JobState, Repeats, Step};

use super::world::{job, resources, step, World, LIMITED, WORK};

fn due_at_once(id: u64, times: u32, steps: Vec<Step>) -> Job {
    let repeats = Some(Repeats { first: 0, every: 0, times });
    Job { repeats, ..job(id, "batch", steps) }
}

/// Steps one after the other: single tasks, a gang, a single task.
fn chain() -> Vec<Step> {
    let single = step(2, resources(1_000, 100));
    let mut gang = step(2, resources(1_000, 100));
    gang.gang = true;
    gang.after = vec![0];
    let mut last = step(1, resources(1_000, 100));
    last.after = vec![1];
    vec![single, gang, last]
}

/// Each repetition runs, and none runs twice, whoever leads meanwhile.
#[test]
fn all_repetitions_run_once_across_takeovers() {
    let mut world = World::new(16);
    world.run(200);
    let ids = 1..=4;
    for id in ids.clone() {
        world.submit(due_at_once(id, 60, chain()));
    }
    for round in 0..8 {
        world.run(700 + 130 * round);
        if round == 3 {
            world.crash(5, "next");
        }
        world.replace_leader();
    }
    world.run(120 * WORK);
    for id in ids {
        assert_eq!(world.state(id), Some(JobState::Succeeded), "job {id}");
        let own = world.starts.keys().filter(|t| t.step.job == JobId(id));
        assert_eq!(own.count(), 60 * 5, "job {id}");
    }
    world.assert_no_violations();
}

/// Steps of a repetition that runs do not wait for the repetitions before it
/// that a successor has not released yet.
#[test]
fn a_successor_goes_on_with_the_repetitions_that_run() {
    let mut world = World::new(8);
    world.run(200);
    world.submit(due_at_once(1, 2_000, chain()));
    for _ in 0..4 {
        world.run(3 * WORK);
        world.replace_leader();
    }
    world.run(10 * WORK);
    let last = |time| {
        let of_time = world.starts.keys().filter(|t| t.step.time == time);
        of_time.map(|t| t.step.step).max()
    };
    let begun = world.starts.keys().map(|t| t.step.time).max();
    let begun = begun.expect("some have begun");
    let behind = (0..begun.saturating_sub(40)).filter(|t| last(*t) < Some(2));
    assert_eq!(behind.count(), 0, "of {begun} repetitions");
    world.assert_no_violations();
}

/// A successor does not know what its predecessor has started of the
/// repetitions that it has not released itself.
#[test]
fn the_limit_of_an_account_covers_repetitions_that_are_not_released() {
    let mut world = World::new(32);
    world.set_limit(50_000);
    world.run(200);
    let mut repeating =
        due_at_once(1, 2_000, vec![step(1, resources(1_000, 100))]);
    repeating.queue = "owned".into();
    world.submit_as(LIMITED, repeating);
    for _ in 0..6 {
        world.run(WORK + 130);
        assert!(world.limited_runs() > 0, "some run");
        world.replace_leader();
    }
    world.run(4 * WORK);
    world.assert_no_violations();
}

/// The stored progress of a job does not grow with the repetitions that are
/// done.
#[test]
fn progress_of_done_repetitions_is_stored_as_ranges() {
    let mut world = World::new(32);
    world.run(200);
    let steps = vec![step(1, resources(1_000, 100))];
    world.submit(due_at_once(1, 10_000, steps));
    world.run(30 * WORK);
    let done = world.starts.len();
    assert!(done > 1_000, "{done} have started");
    let largest = world.store.values().map(Vec::len).max();
    assert!(largest < Some(done), "{largest:?} bytes for {done} repetitions");
}

/// Records of earlier versions are read, and records without repetitions that
/// are done are still written as earlier versions read them.
#[test]
fn records_of_earlier_versions_are_compatible() {
    let mut progress = Progress::default();
    let done = StepProgress { done: vec![1, 2], ..StepProgress::default() };
    progress.steps.insert((0, 1), done);
    let mut written = Record {
        accepted: Vec::new(),
        progress: vec![(JobId(7), progress)],
        done_repetitions: Vec::new(),
    };
    let earlier = record::encode(&(&written.accepted, &written.progress));
    assert_eq!(written.write(), earlier);
    assert_eq!(Record::read(&earlier).as_ref(), Ok(&written));
    written.done_repetitions = vec![(JobId(7), vec![0..5, 9..10])];
    assert_eq!(Record::read(&written.write()), Ok(written));
    assert!(Record::read(&earlier[..earlier.len() - 1]).is_err());
}

/// Ranges are joined wherever they meet or overlap.
#[test]
fn sets_of_numbers_agree_with_ordinary_sets() {
    let mut runner = TestRunner::deterministic();
    let ranges = proptest::collection::vec((0..60_u32, 0..12_u32), 1..30);
    let checked = runner.run(&ranges, |ranges| {
        let mut set = NumberSet::default();
        let mut expected = BTreeSet::new();
        for (start, length) in ranges {
            set.insert(start..start + length);
            expected.extend(start..start + length);
            let all: Vec<u32> = set.ranges().flatten().collect();
            prop_assert!(all.iter().eq(&expected));
            let ends: Vec<u32> = set.ranges().map(|r| r.end).collect();
            let starts: Vec<u32> = set.ranges().map(|r| r.start).collect();
            prop_assert!(ends
                .iter()
                .zip(starts.iter().skip(1))
                .all(|(e, s)| e < s));
            prop_assert_eq!(
                set.count_in(&(10..30)) as usize,
                expected.range(10..30).count()
            );
            prop_assert!(
                (0..80).all(|n| set.contains(n) == expected.contains(&n))
            );
        }
        Ok(())
    });
    checked.expect("the same numbers");
}
