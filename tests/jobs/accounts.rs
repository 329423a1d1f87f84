//! Client accounts: who may call, which account owns a job, and how much of an
//! account may run.

use puffinknot_core::jobs::{
    CallCredentials, Event, JobId, JobState, KeyDigest, Mechanism, Mechanisms,
    Outcome, Request,
};

use super::world::{
    account, job, resources, step, World, FREE, LEASE, LIMITED, WORK,
};

fn state_of(id: u64) -> Request {
    Request::State { queue: "owned".into(), job: JobId(id) }
}

fn cancel_of(id: u64) -> Request {
    Request::Cancel { queue: "owned".into(), job: JobId(id) }
}

#[test]
fn a_key_that_no_account_has_is_refused_and_nothing_runs() {
    let mut world = World::new(2);
    world.run(50);
    for caller in [
        CallCredentials::default(),
        CallCredentials { key: Some(KeyDigest::of(b"guessed")), policy: 1 },
    ] {
        let submit = job(1, "owned", vec![step(1, resources(500, 100))]);
        let id = world.call(caller, Request::Submit(submit));
        assert_eq!(world.answer_to(id), Outcome::NoSuchKey);
        for request in [
            state_of(1),
            cancel_of(1),
            Request::Pending { queue: "owned".into() },
        ] {
            let id = world.call(caller, request);
            assert_eq!(world.answer_to(id), Outcome::NoSuchKey);
        }
    }
    world.run(3 * WORK);
    assert!(world.starts.is_empty());
}

#[test]
fn an_account_finds_nothing_of_another() {
    let mut world = World::new(2);
    world.run(50);
    world.submit_as(FREE, job(1, "owned", vec![step(1, resources(500, 100))]));
    world.run(100);
    for ended in [false, true] {
        for (request, id) in [(state_of(1), 7), (cancel_of(1), 7)] {
            let about = world.request_as(LIMITED, request.clone());
            let nothing = match request {
                Request::State { .. } => state_of(id),
                _ => cancel_of(id),
            };
            let about_nothing = world.request_as(LIMITED, nothing);
            let at_once = [about, about_nothing]
                .map(|id| world.replies.get(&id).copied());
            assert_eq!(at_once[0], at_once[1], "the time tells nothing");
            world.run(100);
            let answer = world.answer_to(about);
            assert_eq!(answer, Outcome::NoSuchJob);
            assert_eq!(answer, world.answer_to(about_nothing));
        }
        let again = job(1, "owned", vec![step(1, resources(500, 100))]);
        let id = world.request_as(LIMITED, Request::Submit(again));
        assert!(matches!(world.answer_to(id), Outcome::Refused(_)));
        let own = world.request_as(FREE, state_of(1));
        let state =
            if ended { JobState::Succeeded } else { JobState::Running };
        assert_eq!(world.answer_to(own), Outcome::State(state));
        world.run(3 * WORK);
    }
    world.replace_leader();
    world.run(1_000);
    let id = world.request_as(LIMITED, state_of(1));
    assert_eq!(world.answer_to(id), Outcome::NoSuchJob);
    let id = world.request_as(FREE, state_of(1));
    assert_eq!(world.answer_to(id), Outcome::State(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_key_that_was_taken_away_is_refused_from_then_on() {
    let mut world = World::new(2);
    world.run(50);
    world.submit_as(FREE, job(1, "owned", vec![step(1, resources(500, 100))]));
    world.run(100);
    world.set_policy(|policy| {
        policy.accounts.get_mut(FREE).expect("it is there").keys.clear();
    });
    let id = world.request_as(FREE, state_of(1));
    assert_eq!(world.answer_to(id), Outcome::NoSuchKey);
    // Accepted jobs go on.
    world.run(3 * WORK);
    world.set_policy(|policy| {
        let fresh = account(FREE, 0);
        policy.accounts.insert(FREE.into(), fresh);
    });
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_leader_that_lags_neither_admits_nor_refuses() {
    let mut world = World::new(2);
    world.run(50);
    let newer = world.scheduler_policy() + 1;
    for key in [LIMITED, "new"] {
        let key = Some(KeyDigest::of(key.as_bytes()));
        let caller = CallCredentials { key, policy: newer };
        let submit = job(1, "owned", vec![step(1, resources(500, 100))]);
        let id = world.call(caller, Request::Submit(submit));
        assert_eq!(world.answer_to(id), Outcome::Refused(0));
    }
    world.set_policy(|policy| {
        let fresh = account("new", 0);
        policy.accounts.insert(fresh.name.clone(), fresh);
    });
    world
        .submit_as("new", job(2, "owned", vec![step(1, resources(500, 100))]));
    world.run(100);
    assert_eq!(world.starts.len(), 1);
}

#[test]
fn a_step_wider_than_its_account_may_run_goes_in_waves() {
    let mut world = World::new(4);
    world.set_limit(3_000);
    world.run(50);
    let wide = step(10, resources(1_000, 100));
    world.submit_as(LIMITED, job(1, "owned", vec![wide]));
    world.run(100);
    assert_eq!(world.limited_runs(), 3_000);
    world.run(6 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

#[test]
fn a_gang_that_can_never_run_is_refused_at_once() {
    let mut world = World::new(4);
    world.set_limit(3_000);
    world.run(50);
    let mut gang = step(4, resources(1_000, 100));
    gang.gang = true;
    let job = job(1, "owned", vec![gang]);
    let id = world.submit_as(LIMITED, job);
    assert_eq!(world.answer_to(id), Outcome::OverLimit);
}

/// Guards against a gang that waits until all small tasks of its own account
/// are done, because they take everything that becomes free below the limit of
/// the account.
#[test]
fn a_gang_gets_its_part_of_the_limit_in_its_turn() {
    let mut world = World::new(4);
    world.set_limit(4_000);
    world.run(50);
    for id in 0..4 {
        let mut one = step(1, resources(1_000, 100));
        one.estimate = WORK + id * 100;
        world.submit_as(LIMITED, job(10 + id, "owned", vec![one]));
        world.run(10);
    }
    let mut gang = step(4, resources(1_000, 100));
    gang.gang = true;
    world.submit_as(LIMITED, job(1, "owned", vec![gang]));
    for id in 0..20 {
        let one = step(1, resources(1_000, 100));
        world.submit_as(LIMITED, job(20 + id, "owned", vec![one]));
    }
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_limit_that_falls_stops_new_starts_and_nothing_else() {
    let mut world = World::new(4);
    world.set_limit(6_000);
    world.run(50);
    let wide = step(12, resources(1_000, 100));
    world.submit_as(LIMITED, job(1, "owned", vec![wide]));
    world.run(100);
    assert_eq!(world.limited_runs(), 6_000);
    world.set_limit(2_000);
    world.run(100);
    assert_eq!(world.limited_runs(), 6_000, "nothing is stopped");
    world.run(WORK);
    assert_eq!(world.limited_runs(), 2_000);
    world.run(4 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// A cell in which the limited account runs as much as it may, on executors
/// that are isolated.
fn limit_in_use_on_isolated_executors() -> (World, Vec<usize>) {
    let mut world = World::new(4);
    world.set_limit(4_000);
    world.run(50);
    let mut long = step(4, resources(1_000, 100));
    long.estimate = 6 * WORK;
    world.submit_as(LIMITED, job(1, "owned", vec![long]));
    world.run(100);
    let holders = world.executors_with(1);
    for at in &holders {
        world.executors[*at].isolated = true;
    }
    (world, holders)
}

/// What a predecessor has started on an executor that does not answer counts
/// against the limit, although the successor does not see it.
#[test]
fn what_a_takeover_has_not_found_counts_against_the_limit() {
    let (mut world, _) = limit_in_use_on_isolated_executors();
    assert_eq!(world.limited_runs(), 4_000);
    world.replace_leader();
    world.run(100);
    world.submit_as(
        LIMITED,
        job(2, "owned", vec![step(4, resources(1_000, 100))]),
    );
    world.run(WORK);
    world.assert_no_violations();
    for executor in &mut world.executors {
        executor.isolated = false;
    }
    world.run(2 * LEASE + 10 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// Tasks of a cancelled job keep running where the order to stop has not
/// arrived. No stored job tells a successor of them.
#[test]
fn what_runs_on_of_a_cancelled_job_counts_after_a_takeover() {
    let (mut world, holders) = limit_in_use_on_isolated_executors();
    world.request_as(LIMITED, cancel_of(1));
    world.run(100);
    world.replace_leader();
    world.run(100);
    world.submit_as(
        LIMITED,
        job(2, "owned", vec![step(4, resources(1_000, 100))]),
    );
    world.run(2 * WORK);
    world.assert_no_violations();
    for at in holders {
        world.executors[at].isolated = false;
    }
    world.run(2 * LEASE + 10 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// Guards against a successor that cancels a job and forgets its tasks before
/// it has heard of them. What a predecessor has started then runs beside the
/// tasks that replace it.
#[test]
fn what_a_successor_cancels_unseen_counts_until_it_is_found() {
    let (mut world, holders) = limit_in_use_on_isolated_executors();
    world.replace_leader();
    world.run(100);
    world.request_as(LIMITED, cancel_of(1));
    world.submit_as(
        LIMITED,
        job(2, "owned", vec![step(4, resources(1_000, 100))]),
    );
    world.run(2 * WORK);
    world.assert_no_violations();
    for at in holders {
        world.executors[at].isolated = false;
    }
    world.run(2 * LEASE + 10 * WORK);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

#[test]
fn the_sum_of_an_account_is_that_of_its_runs() {
    let mut world = World::new(4);
    world.run(50);
    for id in 1..=6 {
        let name = if id % 2 == 0 { LIMITED } else { FREE };
        let steps = vec![step(2, resources(500, 100))];
        world.submit_as(name, job(id, "owned", steps));
    }
    world.run(100);
    let in_use: u32 = world
        .scheduler
        .usage()
        .filter(|usage| usage.account == LIMITED)
        .map(|usage| usage.used.cpu_millis)
        .sum();
    assert_eq!(in_use, world.limited_runs());
    world.run(4 * WORK);
    world.event(Event::Tick);
    let mut usage = world.scheduler.usage();
    assert!(usage.all(|usage| usage.used == resources(0, 0)));
}

/// Guards against an account that sends far more than its share and makes
/// others miss their objectives, because all jobs are ordered by their
/// objectives alone.
#[test]
fn what_exceeds_its_account_s_share_waits_for_others() {
    for (mechanisms, first) in [
        (Mechanisms::default(), true),
        (Mechanisms::all_except([Mechanism::CapacityShares]), true),
        (
            Mechanisms::all_except([
                Mechanism::CapacityShares,
                Mechanism::AccountShares,
            ]),
            false,
        ),
    ] {
        let mut world = World::with_mechanisms(2, mechanisms);
        world.run(50);
        // Its share is a job a second, and half of a full cell.
        for id in 1..=40 {
            let one = step(1, resources(4_000, 100));
            world.submit_as(LIMITED, job(id, "owned", vec![one]));
        }
        world.run(10);
        let late = job(90, "owned", vec![step(1, resources(4_000, 100))]);
        world.submit_as(FREE, late);
        world.run(5 * WORK);
        let done = world.state(90) == Some(JobState::Succeeded);
        assert_eq!(done, first);
        world.run(40 * WORK);
        assert!(world.unfinished().is_empty(), "nothing is lost");
        world.assert_no_violations();
    }
}
