//! What the leader's state takes in memory, counted at the allocator.

#[allow(dead_code, reason = "another test binary uses the rest")]
mod allocator;
mod due_repetitions;
mod runs;
mod waiting_work;
#[path = "../jobs/world/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "another test binary uses the rest"
)]
mod world;

use self::allocator::heap_bytes;
use self::world::World;

/// What the leader's state takes, in bytes. The world has an empty one then.
fn leader_bytes(world: &mut World) -> usize {
    let empty = World::new(0).scheduler;
    heap_bytes(std::mem::replace(&mut world.scheduler, empty))
}
