//! Jobs with large texts, which leaders have to keep in memory.

use puffinknot_core::jobs::{Job, Outcome};

use super::world::{job, resources, step, World, WORK};

/// The bytes of a label that no executor has.
const LABEL_BYTES: usize = 250_000;
/// The bytes that the texts of jobs may take beyond their allowances, as in
/// the configuration of the scheduler.
const LARGE_TEXT_BYTES: usize = 16 << 20;

/// A job that waits forever, and whose label takes this many bytes.
fn waiting_job(id: u64, bytes: usize) -> Job {
    let mut step = step(1, resources(1_000, 500));
    step.label = Some("x".repeat(bytes));
    job(id, "batch", vec![step])
}

#[test]
fn jobs_with_large_texts_are_refused_beyond_the_limit() {
    let mut world = World::new(2);
    let mut accepted = 0;
    for id in 1..=100 {
        let submitted = world.submit(waiting_job(id, LABEL_BYTES));
        world.run(200);
        match world.answer_to(submitted) {
            Outcome::Accepted => accepted += 1,
            Outcome::Refused(1..) => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(accepted * LABEL_BYTES <= LARGE_TEXT_BYTES + accepted * 8_192);
    assert!(accepted > 1, "several fit");
    let counters = world.scheduler.counters();
    assert_eq!(counters["refused_large_text"], 100 - accepted as u64);
    let ordinary = job(200, "batch", vec![step(1, resources(1_000, 500))]);
    let submitted = world.submit(ordinary);
    world.run(4 * WORK);
    assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    world.assert_no_violations();
}

#[test]
fn a_job_with_a_large_text_fits_if_it_is_the_only_one() {
    let mut world = World::new(2);
    let submitted = world.submit(waiting_job(1, 2 * LARGE_TEXT_BYTES));
    world.run(500);
    assert_eq!(world.answer_to(submitted), Outcome::Accepted);
    let submitted = world.submit(waiting_job(2, LABEL_BYTES));
    world.run(500);
    assert!(matches!(world.answer_to(submitted), Outcome::Refused(1..)));
}
