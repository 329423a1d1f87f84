//! What the leader's state takes in memory, counted at the allocator.

mod allocator;
mod due_repetitions;
mod waiting_work;
#[path = "../jobs/world/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "another test binary uses the rest"
)]
mod world;
