//! Lasting tasks that fail again and again.

use super::world::{job, resources, step, World, WORK};

/// Guards against progress that grows with each failure of a lasting task
/// until the store refuses it, so that nothing is written any more.
#[test]
fn failures_of_lasting_tasks_are_not_stored() {
    let mut world = World::new(4);
    world.run(200);
    let mut lasting = step(8, resources(1_000, 100));
    lasting.lasting = true;
    world.submit(job(1, "batch", vec![lasting]));
    for executor in &mut world.executors {
        executor.fails_all = true;
    }
    let stored =
        |world: &World| -> usize { world.store.values().map(Vec::len).sum() };
    world.run(4 * WORK);
    let early = stored(&world);
    world.run(40 * WORK);
    world.replace_leader();
    world.run(40 * WORK);
    let ends: u64 = world.executors.iter().map(|e| e.ends()).sum();
    assert!(ends > 200, "{ends} runs have failed");
    let late = stored(&world);
    assert!(late <= early + 500, "{early}, later {late} bytes are stored");
    let open = world.unacknowledged_ends();
    assert!(open < 100, "{open} of {ends} ends are not acknowledged");
    world.assert_no_violations();
}
