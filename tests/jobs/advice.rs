//! Advice: which executors the leader asks about for a step, and asks about
//! again.

use puffinknot_core::jobs::{
    Event, Job, JobState, Mechanism, Mechanisms, Outcome,
};

use super::world::{job, queue, resources, step, World, WORK};

/// A bound on the time in which a job with room and approval is done: several
/// times its objective.
const DONE_WITHIN: u64 = 20_000;

/// Three times the objective of the jobs here, which is twice their work plus
/// a second. An end later than this is not useful.
const USEFUL_FOR: u64 = 3 * (2 * WORK + 1_000);

fn advised(id: u64, tasks: u32) -> Job {
    job(id, "advised", vec![step(tasks, resources(500, 100))])
}

/// A cell in which only the last `approved` executors are approved.
fn mostly_refused(executors: usize, approved: usize) -> World {
    let mut world = World::new(executors);
    world.run(50);
    let ids = world.executors.iter().map(|e| e.info.id.clone());
    world.not_permitted = ids.take(executors - approved).collect();
    world
}

/// A job that is refused on the only executor.
fn refused_on_one() -> World {
    let mut world = mostly_refused(1, 0);
    world.submit(advised(1, 1));
    world.run(5_000);
    assert_eq!(world.state(1), Some(JobState::Queued));
    world.not_permitted.clear();
    world
}

fn assert_done(world: &mut World) {
    assert!(world.unfinished().is_empty(), "{:?}", world.unfinished());
    world.assert_no_violations();
}

/// Guards against steps that never start, for calls of other sizes, losses and
/// loads than the shortest sequence in `faults`.
#[test]
fn lost_calls_leave_no_executor_out() {
    for executors in [24, 40, 90, 150] {
        for lost in [1, 2, 4] {
            for others in [4, 11, 40] {
                for replaced in [false, true] {
                    let mut world = mostly_refused(executors, 3);
                    world.lost_advice = lost;
                    world.submit(advised(1, 1));
                    world.run(20);
                    for id in 2..2 + others {
                        world.submit(advised(id, 1));
                    }
                    if replaced {
                        world.run(80);
                        world.replace_leader();
                    }
                    world.run(60_000);
                    let stuck = world.unfinished();
                    assert!(
                        stuck.is_empty(),
                        "{stuck:?} of {executors} executors, {lost} lost, \
                         {others} others, leader replaced: {replaced}"
                    );
                    world.assert_no_violations();
                }
            }
        }
    }
}

/// Guards against an executor that is never asked about again after it was
/// refused, although its description has changed since.
#[test]
fn executors_are_asked_about_again_once_their_description_changes() {
    let mut world = refused_on_one();
    world.run(DONE_WITHIN);
    assert_eq!(world.state(1), Some(JobState::Queued));
    let mut info = world.executors[0].info.clone();
    info.labels.push("disk".into());
    world.executors[0].info = info.clone();
    world.event(Event::Listed(info));
    world.run(DONE_WITHIN);
    assert_done(&mut world);
}

/// Guards against the same for an executor that was to leave and stays.
#[test]
fn executors_that_stay_after_all_are_asked_about() {
    let mut world = World::new(1);
    world.run(50);
    let leaving = |world: &mut World, draining: bool| {
        world.executors[0].info.draining = draining;
        let info = world.executors[0].info.clone();
        world.event(Event::Listed(info));
    };
    leaving(&mut world, true);
    world.submit(advised(1, 1));
    world.run(5_000);
    leaving(&mut world, false);
    world.run(DONE_WITHIN);
    assert_done(&mut world);
}

/// Guards against the same for an executor that joins the service later.
#[test]
fn executors_that_move_to_the_service_are_asked_about() {
    let mut world = mostly_refused(2, 1);
    let mut elsewhere = world.executors[1].info.clone();
    elsewhere.service = "other".into();
    world.event(Event::Listed(elsewhere));
    world.submit(advised(1, 1));
    world.run(5_000);
    let info = world.executors[1].info.clone();
    world.event(Event::Listed(info));
    world.run(DONE_WITHIN);
    assert_done(&mut world);
}

/// Guards against the same for an executor that returns under its name, also
/// if the leader knows its previous incarnation from its entry alone.
#[test]
fn executors_that_return_under_their_name_are_asked_about() {
    for heard in [true, false] {
        let mut world = mostly_refused(2, 0);
        world.executors[0].isolated = !heard;
        world.replace_leader();
        world.submit(advised(1, 1));
        world.run(2_000);
        world.not_permitted.clear();
        world.not_permitted.insert(world.executors[1].info.id.clone());
        world.restart_unlisted(0, 0, false);
        world.executors[0].isolated = false;
        world.run(3_000);
        world.list_entry(0);
        world.run(DONE_WITHIN);
        assert_done(&mut world);
    }
}

/// A ticket that an executor rejects is replaced.
#[test]
fn rejected_tickets_are_renewed() {
    let mut world = mostly_refused(8, 2);
    world.rejected_tickets = 6;
    world.submit(advised(1, 3));
    world.run(DONE_WITHIN);
    assert_eq!(world.rejected_tickets, 0);
    assert_done(&mut world);
}

/// Guards against a gang that never has all of its tickets at the same time,
/// because calls that renew them are shortened while many calls wait.
#[test]
fn gangs_renew_all_their_tickets_under_load() {
    const EXECUTORS: u32 = 45;
    const MEMBERS: u32 = 30;
    const FULL_FOR: u64 = 8_000;
    let disabled = [Mechanism::Admission, Mechanism::ReturnTimes];
    let mechanisms = Mechanisms::all_except(disabled);
    let mut world = World::with_mechanisms(EXECUTORS as usize, mechanisms);
    world.run(50);
    // All cores are in use; later, one on each executor is free.
    let mut lasting = step(EXECUTORS, resources(3_000, 100));
    lasting.estimate = 100 * WORK;
    lasting.max_per_executor = 1;
    let mut passing = step(EXECUTORS, resources(1_000, 100));
    passing.estimate = FULL_FOR;
    passing.max_per_executor = 1;
    world.submit(job(1, "batch", vec![lasting]));
    world.submit(job(2, "batch", vec![passing]));
    world.run(500);
    let mut gang = step(MEMBERS, resources(1_000, 100));
    gang.gang = true;
    world.submit(job(3, "advised", vec![gang]));
    // Tasks for which there is no room keep asking for advice.
    for id in 100..300 {
        let mut wide = step(1, resources(2_000, 100));
        wide.estimate = 10 * WORK;
        world.submit(job(id, "advised", vec![wide]));
    }
    world.run(FULL_FOR + USEFUL_FOR);
    assert_eq!(world.state(3), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// How long an advice call of the queue "dear" takes. One node makes one at a
/// time.
const DEAR_CALL: u64 = 620;
/// The time between two jobs in an overload, a fraction of [`DEAR_CALL`].
const OVERLOAD_GAP: u64 = DEAR_CALL / 4;
/// How long the overload lasts.
const OVERLOAD: u64 = 30_000;
/// All accepted jobs have ended this long after the last one was submitted.
const FINISHED_WITHIN: u64 = 14_000;

/// A job that the executors could start at once.
fn dear(id: u64) -> Job {
    job(id, "dear", vec![step(1, resources(100, 100))])
}

/// Submits jobs to the queue "dear", four times as many as one node can get
/// advice for, and between any two of them `others`. Returns the number of
/// accepted jobs of that queue.
fn overload_advice(
    world: &mut World,
    mut others: impl FnMut(&mut World, u64),
) -> usize {
    world.advice_takes = DEAR_CALL;
    let mut requests = Vec::new();
    for id in 1..=OVERLOAD / OVERLOAD_GAP {
        requests.push(world.submit(dear(id)));
        others(world, id);
        world.run(OVERLOAD_GAP);
    }
    world.run(FINISHED_WITHIN);
    let accepted = |id: &u64| world.answer_to(*id) == Outcome::Accepted;
    requests.iter().filter(|id| accepted(id)).count()
}

/// Guards against jobs that are accepted and wait for advice without bound,
/// while the executors have room for them.
#[test]
fn jobs_whose_advice_would_take_too_long_are_refused() {
    let mut world = World::new(8);
    world.run(50);
    let accepted = overload_advice(&mut world, |_, _| ());
    assert_done(&mut world);
    let possible = (OVERLOAD / DEAR_CALL) as usize;
    assert!(accepted >= possible, "{accepted} accepted, {possible} possible");
}

/// Like the test above, while urgent calls go first and take half of the time.
#[test]
fn jobs_behind_urgent_advice_are_refused_in_time() {
    let mut world = World::new(8);
    world.set_policy(|policy| {
        let mut quick = queue("quick", 0, true);
        if let Some(cost) = &mut quick.advice {
            cost.call_ms = DEAR_CALL as f64;
        }
        policy.queues.insert(quick.name.clone(), quick);
    });
    world.run(50);
    overload_advice(&mut world, |world, id| {
        if id % 8 == 0 {
            let steps = vec![step(1, resources(100, 100))];
            world.submit(job(10_000 + id, "quick", steps));
        }
    });
    assert_done(&mut world);
}

/// Guards against refusals while nodes keep up with the calls.
#[test]
fn jobs_are_not_refused_while_nodes_keep_up() {
    let mut world = World::new(8);
    world.run(50);
    let nodes = (0..8).map(|number| format!("node-{number}")).collect();
    world.event(Event::Advisors(nodes));
    let accepted = overload_advice(&mut world, |_, _| ());
    assert_eq!(accepted as u64, OVERLOAD / OVERLOAD_GAP);
    assert_done(&mut world);
}
