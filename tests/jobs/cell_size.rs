//! Work and writes per event that must not grow with the size of the cell.

use std::collections::BTreeMap;

use puffinknot_core::jobs::record::{self, LegacyEnrolled, Shard};
use puffinknot_core::jobs::{JobState, Step};

use super::world::{job, resources, step, World, LEASE, WORK};

fn counted(world: &World, name: &str) -> u64 {
    world.scheduler.counters().get(name).copied().unwrap_or(0)
}

const EXECUTORS: usize = 320;

/// The executors that are in the store.
fn shards(world: &World) -> BTreeMap<String, Vec<u8>> {
    let kept = world.store.iter();
    let kept = kept.filter(|(name, _)| name.starts_with(record::SHARD_PREFIX));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Guards against a leader that writes the whole executor list in one value
/// whenever one executor comes or goes. In a cell of some ten thousand
/// executors the store would refuse that value.
#[test]
fn an_executor_that_comes_has_a_part_of_the_list_written() {
    let mut world = World::new(EXECUTORS);
    world.run(200);
    let before = shards(&world);
    assert_eq!(before.len(), usize::from(record::SHARD_COUNT));
    let all: usize = before.values().map(Vec::len).sum();
    let largest = before.values().map(Vec::len).max();
    assert!(largest.is_some_and(|bytes| bytes < all / 8), "{largest:?}");
    world.add_executor("comes");
    world.list_entry(EXECUTORS);
    world.run(200);
    let after = shards(&world);
    let written =
        after.iter().filter(|(name, v)| before.get(*name) != Some(v));
    assert_eq!(written.count(), 1);
}

/// Sharding forgets no executor: a successor asks each of them.
#[test]
fn a_successor_knows_the_executors_of_all_shards() {
    let mut world = World::new(EXECUTORS);
    world.run(200);
    let wide = step(2 * EXECUTORS as u32, resources(2_000, 100));
    world.submit(job(1, "batch", vec![wide]));
    world.run(100);
    world.take_over();
    assert_eq!(world.scheduler.executor_count(), EXECUTORS);
    world.list_all();
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    let again = world.starts.values().filter(|starts| **starts > 1).count();
    assert_eq!(again, 0, "tasks were started again");
    world.assert_no_violations();
}

/// A leader of this version takes over from one of an earlier version: the
/// whole list is removed once all of it is in shards.
#[test]
fn a_whole_list_of_an_earlier_version_becomes_shards() {
    let mut world = World::new(8);
    world.run(200);
    let mut executors = Vec::new();
    for value in shards(&world).values() {
        let shard: Shard = record::decode(value).expect("a shard");
        executors.extend(shard.executors.into_iter().map(|e| e.info));
    }
    assert_eq!(executors.len(), 8);
    world.store.retain(|name, _| !name.starts_with(record::SHARD_PREFIX));
    let whole = record::encode(&LegacyEnrolled { executors });
    world.store.insert(record::LEGACY_EXECUTORS.into(), whole);
    world.replace_leader();
    assert_eq!(world.scheduler.executor_count(), 8);
    world.run(LEASE);
    assert!(!world.store.contains_key(record::LEGACY_EXECUTORS));
    let kept = shards(&world);
    let kept = kept.values().map(|value| {
        let shard: Shard = record::decode(value).expect("a shard");
        shard.executors.len()
    });
    assert_eq!(kept.sum::<usize>(), 8);
}

/// Guards against placement that examines all executors for each waiting step.
#[test]
fn steps_that_wait_do_not_search_executors_that_were_all_asked_about() {
    let mut world = World::new(8);
    world.run(200);
    let mut full = step(8, resources(4_000, 100));
    full.lasting = true;
    world.submit(job(1, "batch", vec![full]));
    world.run(200);
    for id in 2..42 {
        let gang = step(4, resources(4_000, 100));
        let gang = Step { gang: true, ..gang };
        world.submit(job(id, "advised", vec![gang]));
    }
    world.run(4_000);
    let before = counted(&world, "advice_searches");
    world.run(2_000);
    assert_eq!(counted(&world, "advice_searches"), before);
    // New executors are found.
    for number in 8..12 {
        world.add_executor(&format!("comes-{number}"));
        world.list_entry(number);
    }
    world.run(4_000);
    let states = (2..42).map(|id| world.state(id));
    let done = states.filter(|s| *s == Some(JobState::Succeeded)).count();
    assert!(done > 0, "no advice on new executors");
}
