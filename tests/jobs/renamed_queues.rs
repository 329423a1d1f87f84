//! Accepted jobs whose queue gets another name, address or service.

use puffinknot_core::jobs::{
    CallCredentials, JobId, JobState, Outcome, Policy, Request, Step,
};

use super::world::{job, queue, resources, step, World, WORK};

/// A step whose task runs until the job is cancelled.
fn lasting() -> Step {
    let mut step = step(1, resources(1_000, 500));
    step.lasting = true;
    step
}

/// Gives a queue another name; its address and its service stay.
fn rename(policy: &mut Policy, from: &str, to: &str) {
    let mut queue = policy.queues.remove(from).expect("a queue");
    queue.name = to.into();
    policy.queues.insert(to.into(), queue);
}

/// Swaps the names of two queues; their addresses and services stay.
fn swap_names(policy: &mut Policy, one: &str, other: &str) {
    rename(policy, one, "swapped");
    rename(policy, other, one);
    rename(policy, "swapped", other);
}

impl World {
    /// The answer to a request through a queue, by the newest policy.
    fn ask(&mut self, request: Request) -> Outcome {
        let policy = self.scheduler_policy();
        let id = self.call(CallCredentials { key: None, policy }, request);
        self.run(200);
        self.answer_to(id)
    }

    fn state_in(&mut self, queue: &str, job: u64) -> Outcome {
        let queue = queue.into();
        self.ask(Request::State { queue, job: JobId(job) })
    }

    fn cancel_in(&mut self, queue: &str, job: u64) -> Outcome {
        let queue = queue.into();
        self.ask(Request::Cancel { queue, job: JobId(job) })
    }

    fn pending_in(&mut self, queue: &str) -> Outcome {
        self.ask(Request::Pending { queue: queue.into() })
    }

    fn cancels_in(&mut self, queue: &str, job: u64) {
        assert_eq!(self.cancel_in(queue, job), Outcome::Cancelled);
        self.run(500);
        assert_eq!(self.executors_with(job), [0; 0]);
    }
}

const RUNNING: Outcome = Outcome::State(JobState::Running);

/// Guards against a job that its client can neither see nor cancel after
/// operators have renamed its queue.
#[test]
fn a_job_is_found_and_cancelled_after_its_queue_was_renamed() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![lasting()]));
    world.run(WORK);
    world.set_policy(|policy| rename(policy, "batch", "renamed"));
    assert_eq!(world.state_in("renamed", 1), RUNNING);
    assert_eq!(world.state_in("urgent", 1), Outcome::NoSuchJob);
    world.cancels_in("renamed", 1);
    world.assert_no_violations();
}

/// Guards against a successor that reads the former name of a queue.
#[test]
fn a_renamed_queue_keeps_its_jobs_after_a_change_of_leader() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![lasting()]));
    world.run(WORK);
    world.set_policy(|policy| rename(policy, "batch", "renamed"));
    world.replace_leader();
    world.run(WORK);
    assert_eq!(world.state_in("renamed", 1), RUNNING);
    world.cancels_in("renamed", 1);
    world.assert_no_violations();
}

/// Guards against jobs that follow the name of their queue to an address
/// where they were not submitted.
#[test]
fn jobs_stay_at_their_address_when_queues_swap_names() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![lasting()]));
    world.submit(job(2, "background", vec![lasting()]));
    world.run(WORK);
    world.set_policy(|policy| swap_names(policy, "batch", "background"));
    for leader in 0..2 {
        assert_eq!(world.state_in("background", 1), RUNNING, "{leader}");
        assert_eq!(world.state_in("batch", 2), RUNNING, "{leader}");
        assert_eq!(world.state_in("batch", 1), Outcome::NoSuchJob);
        assert_eq!(world.cancel_in("background", 2), Outcome::NoSuchJob);
        world.replace_leader();
        world.run(WORK);
    }
    world.cancels_in("background", 1);
    assert_eq!(world.state_in("batch", 2), RUNNING);
    world.assert_no_violations();
}

/// Guards against waiting jobs that are missing from the count of their queue,
/// and against tasks that start in a service that their queue never had.
#[test]
fn waiting_jobs_are_counted_and_started_where_their_address_leads() {
    let mut world = World::new(1);
    world.set_policy(|policy| {
        let mut other = queue("other", 1, false);
        other.service = "elsewhere".into();
        policy.queues.insert("other".into(), other);
    });
    let full = step(1, resources(4_000, 500));
    world.submit(job(1, "batch", vec![full.clone()]));
    world.submit(job(2, "batch", vec![full]));
    world.run(WORK / 2);
    world.set_policy(|policy| swap_names(policy, "batch", "other"));
    assert_eq!(world.pending_in("other"), Outcome::Pending(1));
    assert_eq!(world.pending_in("batch"), Outcome::Pending(0));
    world.run(4 * WORK);
    let succeeded = Outcome::State(JobState::Succeeded);
    assert_eq!(world.state_in("other", 2), succeeded);
    world.assert_no_violations();
}

/// Guards against a job that is lost while its queue is away for some time.
#[test]
fn a_queue_that_returns_under_another_name_has_its_jobs() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![lasting()]));
    world.run(WORK);
    world.set_policy(|policy| {
        policy.queues.remove("batch");
    });
    assert_eq!(world.state_in("batch", 1), Outcome::NoSuchQueue);
    assert_eq!(world.executors_with(1).len(), 1, "it goes on");
    world.set_policy(|policy| {
        let mut back = queue("batch", 1, false);
        back.name = "back".into();
        policy.queues.insert("back".into(), back);
    });
    assert_eq!(world.state_in("back", 1), RUNNING);
    world.cancels_in("back", 1);
    world.assert_no_violations();
}

/// Guards against a queue that loses its jobs when operators move it, or when
/// it is moved back under another name.
#[test]
fn a_queue_that_moves_takes_its_jobs_along() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![lasting()]));
    world.run(WORK);
    let moved = |policy: &mut Policy| {
        let queue = policy.queues.get_mut("batch").expect("a queue");
        queue.prefix = "/moved/".into();
    };
    world.set_policy(moved);
    assert_eq!(world.state_in("batch", 1), RUNNING);
    world.replace_leader();
    world.run(WORK);
    assert_eq!(world.state_in("batch", 1), RUNNING);
    world.set_policy(|policy| {
        let mut back = queue("batch", 1, false);
        back.name = "back".into();
        policy.queues.insert("back".into(), back);
    });
    assert_eq!(world.state_in("back", 1), RUNNING, "submitted there");
    world.cancels_in("back", 1);
    world.assert_no_violations();
}

/// Guards against a node with an older policy that tells its client that a
/// renamed queue is gone, or that names another queue by what it knows.
#[test]
fn a_name_from_an_older_policy_is_asked_again() {
    let mut world = World::new(2);
    world.submit(job(1, "batch", vec![lasting()]));
    world.run(WORK);
    let older = world.scheduler_policy();
    world.set_policy(|policy| {
        rename(policy, "batch", "renamed");
        swap_names(policy, "urgent", "background");
    });
    let caller = CallCredentials { key: None, policy: older };
    for queue in ["batch", "urgent", "background"] {
        let queue = queue.to_string();
        let id = world.call(caller, Request::State { queue, job: JobId(1) });
        assert_eq!(world.answer_to(id), Outcome::Refused(0));
    }
    let queue = "advised".to_string();
    let id = world.call(caller, Request::Pending { queue });
    assert_eq!(world.answer_to(id), Outcome::Pending(0), "it is the same");
    world.assert_no_violations();
}
