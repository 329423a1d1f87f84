//! Cancellations that overtake the submission of their job.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{JobId, JobState, Outcome, Request};

use super::world::{account, job, resources, step, World, WORK};

/// How long a cancellation is remembered, as long as an ended job.
const RETENTION: Millis = 120_000;
/// The most cancellations of unknown jobs that a leader remembers of one
/// account.
const MAX_EARLY_CANCELS: u64 = 20_000;

fn cancel(queue: &str, job: u64) -> Request {
    Request::Cancel { queue: queue.into(), job: JobId(job) }
}

impl World {
    /// Cancels a job that has not arrived, and waits for the answer.
    fn cancel_before_arrival(&mut self, job: u64) {
        let id = self.request(cancel("batch", job));
        self.run(200);
        assert_eq!(self.answer_to(id), Outcome::NoSuchJob);
    }

    /// Submits a job with one task, and checks whether it runs.
    fn check_arrival(&mut self, id: u64, queue: &str, runs: bool) {
        let step = step(1, resources(1_000, 500));
        let submitted = self.submit(job(id, queue, vec![step]));
        self.run(4 * WORK);
        assert_eq!(self.answer_to(submitted), Outcome::Accepted);
        let state = match runs {
            true => JobState::Succeeded,
            false => JobState::Cancelled,
        };
        assert_eq!(self.state(id), Some(state));
        let starts = self.starts.keys();
        let starts = starts.filter(|task| task.step.job == JobId(id)).count();
        assert_eq!(starts, usize::from(runs));
    }
}

/// Guards against a job that starts after its client was told that there is
/// no such job.
#[test]
fn a_job_that_arrives_after_its_cancellation_never_runs() {
    let mut world = World::new(2);
    world.cancel_before_arrival(1);
    let queue = "batch".to_string();
    let id = world.request(Request::State { queue, job: JobId(1) });
    assert_eq!(world.answer_to(id), Outcome::NoSuchJob);
    world.check_arrival(1, "batch", false);
    world.check_arrival(2, "batch", true);
    world.assert_no_violations();
}

/// Guards against a leader that dies right after its answer, with what it has
/// promised.
#[test]
fn a_successor_knows_what_was_cancelled_before_it_arrived() {
    let mut world = World::new(2);
    world.cancel_before_arrival(1);
    for _ in 0..2 {
        world.replace_leader();
        world.run(WORK);
    }
    world.check_arrival(1, "batch", false);
    world.assert_no_violations();
}

/// Guards against an answer that a successor does not know of.
#[test]
fn an_early_cancellation_is_answered_once_it_is_stored() {
    let mut world = World::new(2);
    world.store_down = true;
    let ids = [1, 1, 2].map(|job| world.request(cancel("batch", job)));
    world.run(300);
    for id in ids {
        assert!(!world.replies.contains_key(&id), "not stored yet");
    }
    world.store_up();
    world.run(300);
    for id in ids {
        assert_eq!(world.answer_to(id), Outcome::NoSuchJob);
    }
    let again = world.request(cancel("batch", 1));
    assert_eq!(world.answer_to(again), Outcome::NoSuchJob);
    world.assert_no_violations();
}

/// Guards against a client that waits in vain for a store in trouble.
#[test]
fn an_early_cancellation_is_refused_while_the_store_is_in_trouble() {
    let mut world = World::new(2);
    world.store_down = true;
    world.request(cancel("batch", 1));
    world.run(2_000);
    let id = world.request(cancel("batch", 2));
    assert!(matches!(world.answer_to(id), Outcome::Refused(1..)));
    world.store_up();
    world.run(300);
    world.check_arrival(2, "batch", true);
    world.assert_no_violations();
}

/// Guards against cancellations of one client that end the jobs of another.
#[test]
fn an_early_cancellation_concerns_its_own_account_and_address_only() {
    let mut world = World::new(2);
    world.set_policy(|policy| {
        for name in ["one", "two"] {
            policy.accounts.insert(name.into(), account(name, 0));
        }
    });
    world.cancel_before_arrival(1);
    world.check_arrival(1, "urgent", true);
    let id = world.request_as("one", cancel("owned", 2));
    world.run(200);
    assert_eq!(world.answer_to(id), Outcome::NoSuchJob);
    let tasks = vec![step(1, resources(1_000, 500))];
    world.submit_as("two", job(2, "owned", tasks));
    world.run(4 * WORK);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// Guards against an account that takes the room for the cancellations of all
/// others.
#[test]
fn an_account_leaves_room_for_the_cancellations_of_others() {
    let mut world = World::new(2);
    world.set_policy(|policy| {
        for name in ["one", "two"] {
            policy.accounts.insert(name.into(), account(name, 0));
        }
    });
    let mut last = 0;
    for job in 1..=MAX_EARLY_CANCELS + 1 {
        last = world.request_as("one", cancel("owned", job));
        if job % 2_000 == 0 {
            world.run(500);
        }
    }
    world.run(500);
    assert!(matches!(world.answer_to(last), Outcome::Refused(1..)));
    for job in 1..=MAX_EARLY_CANCELS / 10 {
        last = world.request_as("two", cancel("owned", job));
    }
    world.run(500);
    assert_eq!(world.answer_to(last), Outcome::NoSuchJob);
    world.cancel_before_arrival(1);
    world.run(RETENTION);
    let id = world.request_as("one", cancel("owned", MAX_EARLY_CANCELS));
    world.run(500);
    assert_eq!(world.answer_to(id), Outcome::NoSuchJob);
    world.assert_no_violations();
}

/// Guards against memory that grows with the ids that clients make up, and
/// against a promise that is broken to keep it small.
#[test]
fn early_cancellations_beyond_the_limit_are_refused() {
    let mut world = World::new(2);
    let mut last = 0;
    for job in 1..=MAX_EARLY_CANCELS {
        last = world.request(cancel("batch", job));
        if job % 2_000 == 0 {
            world.run(500);
        }
    }
    world.run(500);
    assert_eq!(world.answer_to(last), Outcome::NoSuchJob);
    let id = world.request(cancel("batch", MAX_EARLY_CANCELS + 1));
    assert!(matches!(world.answer_to(id), Outcome::Refused(1..)));
    world.check_arrival(1, "batch", false);
    let largest = world.store.values().map(Vec::len).max();
    assert!(largest.is_some_and(|bytes| bytes < 100_000), "{largest:?}");
    world.run(RETENTION);
    world.check_arrival(2, "batch", true);
    world.cancel_before_arrival(MAX_EARLY_CANCELS + 1);
    world.run(RETENTION);
    let kept = world.store.keys().filter(|key| key.starts_with("cancelled/"));
    assert!(kept.count() <= 1, "the store is cleaned up");
    world.assert_no_violations();
}
