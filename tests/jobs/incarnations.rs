//! Executors that restart under their former name. These tests guard against
//! tasks that start again after their end was acknowledged, and against gangs
//! that never run although most of the capacity is free.
//!
//! Executors crash, and return within a second under their own names, before
//! they are given up. If the leader takes a restarted executor for the one
//! that it was, run ends go wrong: an incarnation numbers its ends from the
//! start again. Those of the next incarnation are dropped as known, and are
//! acknowledged by the number of the former incarnation's last end, so that
//! tasks done there count as missing and start again. If the clock of the next
//! incarnation shows less than that of the former one, all its reports count
//! as late, and what ran on the former one counts as running forever.
//!
//! In production, a third of the executors crashed like this. All tasks that
//! started again after their end had run on such executors, the first two runs
//! of each task on the same one; of 122 incarnations that fell silent on the
//! day when gangs did not run, 121 were never given up.

use puffinknot_core::jobs::message::ExecutorIndex;
use puffinknot_core::jobs::record;
use puffinknot_core::jobs::{
    Event, ExecutorReport, IncarnationEnd, JobState, MaintenanceWave, Service,
    Step, TaskKey,
};

use super::world::{
    job, resources, step, Crashes, World, LEASE, RESTART_DELAY,
};

/// The duration of long tasks.
const LONG: u64 = 5_000;
/// The duration of short tasks.
const SHORT: u64 = 400;
/// By this time the executors have been running for long.
const LONG_LIVED: u64 = 20_000;
/// A loss is found and repaired within this time if the next incarnation
/// answers.
const REPAIR_TIME: u64 = 700;
/// A clock that shows less than that of a former incarnation.
const EARLIER_CLOCK: u64 = 0;
/// A clock that shows more.
const LATER_CLOCK: u64 = 900_000;

fn task(job: u64) -> TaskKey {
    format!("{job:016x}.0.0.0").parse().expect("a task")
}

/// A task that takes most of the capacity of an executor.
fn wide(work: u64) -> Step {
    let mut step = step(1, resources(3_000, 100));
    step.estimate = work;
    step
}

/// A cell of executors that have been running for long. The first one runs a
/// long task.
fn running_long_task(executors: usize) -> World {
    let mut world = World::new(1);
    world.run(LONG_LIVED);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(200);
    assert!(world.executors[0].runs(&task(1)));
    for number in 1..executors {
        world.add_executor(&format!("x{number}"));
        world.list_entry(number);
    }
    world.run(100);
    world
}

/// A cell of one executor, five ends of which were acknowledged.
fn with_five_ends() -> World {
    let mut world = World::new(1);
    for id in 1..=5 {
        world.submit(job(id, "batch", vec![step(1, resources(500, 100))]));
    }
    world.run(4_500);
    world
}

/// Advances time until an order to start a task is in flight. Returns the
/// executor that it is meant for.
fn run_until_ordered(world: &mut World) -> usize {
    for _ in 0..100 {
        world.run(1);
        if let Some(at) = world.starts_in_flight().first() {
            return *at;
        }
    }
    panic!("nothing is started");
}

/// Checks that the long task soon runs again, and ends.
fn check_starts_again_and_ends(mut world: World) {
    world.run(REPAIR_TIME);
    assert_eq!(world.starts[&task(1)], 2, "it starts again");
    check_ends(world);
}

fn check_ends(mut world: World) {
    world.run(LONG + LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// The runs of a former incarnation are lost at once and start again, whatever
/// the clock of the next incarnation shows.
#[test]
fn what_ran_on_a_former_incarnation_starts_again() {
    for clock in [EARLIER_CLOCK, LATER_CLOCK] {
        let mut world = running_long_task(1);
        world.restart(0, clock);
        check_starts_again_and_ends(world);
    }
}

/// Like the test above, but nothing reports the crash: renewals that wait
/// there go unanswered.
#[test]
fn an_incarnation_that_went_in_silence_is_found_by_its_replacement() {
    let mut world = running_long_task(1);
    world.restart_unlisted(0, EARLIER_CLOCK, true);
    world.list_entry(0);
    world.run(2 * REPAIR_TIME);
    check_starts_again_and_ends(world);
}

/// The ends of a next incarnation count although their numbers have been seen
/// before.
#[test]
fn what_is_done_on_a_next_incarnation_stays_done() {
    for clock in [EARLIER_CLOCK, LATER_CLOCK] {
        let mut world = with_five_ends();
        world.restart(0, clock);
        for id in 6..=8 {
            let mut short = step(1, resources(1_000, 100));
            short.estimate = SHORT;
            world.submit(job(id, "batch", vec![short]));
        }
        world.run(2_000);
        world.assert_no_violations();
        for id in 6..=8 {
            assert_eq!(world.state(id), Some(JobState::Succeeded));
            assert_eq!(world.starts[&task(id)], 1, "clock {clock}");
        }
    }
}

/// A start that was meant for a former incarnation is carried out by the next
/// one, where it fails at once: its end is heard, and counts as an attempt.
#[test]
fn an_end_on_an_incarnation_that_is_not_known_yet_is_heard() {
    let mut world = with_five_ends();
    world.restart_unlisted(0, LATER_CLOCK, true);
    let mut short = step(1, resources(1_000, 100));
    short.estimate = 10;
    world.submit(job(6, "batch", vec![short]));
    world.run(4_000);
    world.list_entry(0);
    world.run(1_000);
    world.assert_no_violations();
    assert_eq!(world.state(6), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task(6)], 1);
}

/// A start is in flight when its executor restarts: the next incarnation
/// carries it out, and the run goes on there.
#[test]
fn a_start_that_reaches_the_next_incarnation_goes_on_there() {
    let mut world = World::new(2);
    world.run(LONG_LIVED);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    let ordered = run_until_ordered(&mut world);
    world.restart(ordered, EARLIER_CLOCK);
    world.run(200);
    assert!(world.executors[ordered].runs(&task(1)));
    world.run(REPAIR_TIME);
    check_ends(world);
}

/// A start that is delayed is rejected by the seal of the next incarnation,
/// since its task has started elsewhere.
#[test]
fn a_start_that_comes_late_finds_the_next_incarnation_sealed() {
    let mut world = World::new(1);
    world.run(LONG_LIVED);
    world.executors[0].order_delay = Some(3_000);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(100);
    world.executors[0].order_delay = None;
    world.restart(0, EARLIER_CLOCK);
    world.add_executor("x1");
    world.list_entry(1);
    world.run(REPAIR_TIME);
    assert_eq!(world.starts[&task(1)], 1, "it starts once it is sealed");
    world.run(5_000);
    check_ends(world);
}

/// An executor restarts twice in a row: neither of the two former incarnations
/// keeps its runs.
#[test]
fn two_restarts_in_a_row_are_two_incarnations() {
    let mut world = running_long_task(1);
    world.restart(0, LATER_CLOCK);
    world.run(15);
    world.restart(0, EARLIER_CLOCK);
    check_starts_again_and_ends(world);
}

/// An entry may arrive late: that of a former incarnation says nothing about
/// the next one.
#[test]
fn an_entry_of_a_former_incarnation_changes_nothing() {
    let mut world = running_long_task(1);
    let former = world.executors[0].info.clone();
    world.restart(0, EARLIER_CLOCK);
    world.run(REPAIR_TIME);
    assert_eq!(world.starts[&task(1)], 2);
    world.resize(0, resources(3_000, 8_000));
    world.list_entry(0);
    world.event(Event::Listed(former));
    world.submit(job(2, "batch", vec![step(1, resources(900, 100))]));
    world.run(REPAIR_TIME);
    assert!(!world.executors[0].runs(&task(2)), "it lacks the capacity");
    world.list_entry(0);
    check_ends(world);
}

/// The capacity of the next incarnation may differ: nothing starts there
/// before its entry has been read.
#[test]
fn nothing_starts_on_an_incarnation_whose_capacity_is_unknown() {
    let mut world = running_long_task(1);
    world.restart_unlisted(0, EARLIER_CLOCK, false);
    world.executors[0].info.capacity = resources(3_500, 8_000);
    world.run(REPAIR_TIME);
    assert_eq!(world.starts[&task(1)], 1);
    world.list_entry(0);
    check_starts_again_and_ends(world);
}

/// The entry of the next incarnation may be read before the executor is heard.
#[test]
fn an_entry_that_comes_first_counts_once_the_incarnation_is_heard() {
    let mut world = running_long_task(1);
    world.executors[0].isolated = true;
    world.restart(0, EARLIER_CLOCK);
    world.run(300);
    world.executors[0].isolated = false;
    world.run(1_500);
    check_starts_again_and_ends(world);
}

/// A delayed report of a former incarnation says nothing about the next one.
/// It arrives after the next one was heard, and was requested before.
#[test]
fn a_report_of_a_former_incarnation_that_comes_late_is_passed_over() {
    let mut world = running_long_task(1);
    let (sent_at, born) = (world.now, world.executors[0].info.born);
    world.run(1);
    world.restart(0, EARLIER_CLOCK);
    world.run(REPAIR_TIME);
    assert_eq!(world.starts[&task(1)], 2);
    for executor in 0..2 {
        let answer =
            ExecutorReport { born, clock: LATER_CLOCK, ..Default::default() };
        world.event(Event::RenewalAnswered {
            executor: executor as ExecutorIndex,
            sent_at,
            answer: Ok(answer),
        });
    }
    world.run(100);
    assert!(world.executors[0].runs(&task(1)), "it runs on");
    let incarnations = world.incarnations_over.len();
    assert_eq!(incarnations, 1, "{:?}", world.incarnations_over);
    check_ends(world);
}

/// A successor knows a former incarnation from the store, and hears the next
/// one.
#[test]
fn a_successor_hears_another_incarnation_than_it_has_read_of() {
    for listed in [true, false] {
        let mut world = running_long_task(1);
        let former = world.executors[0].info.clone();
        world.restart_unlisted(0, EARLIER_CLOCK, false);
        world.take_over();
        if listed {
            world.event(Event::Listed(former));
        }
        world.run(REPAIR_TIME);
        world.replace_leader();
        check_starts_again_and_ends(world);
    }
}

/// Operators are told that the answer of the next incarnation shows the former
/// one to be over.
#[test]
fn an_incarnation_that_was_replaced_is_over() {
    let mut world = running_long_task(1);
    world.restart(0, EARLIER_CLOCK);
    world.run(REPAIR_TIME);
    let over = vec![("x0".to_string(), IncarnationEnd::AnotherAnswers)];
    assert_eq!(world.incarnations_over, over);
}

/// A crash is evidence even if the executor has returned before it was missed:
/// tasks that crash executors are given up.
#[test]
fn a_task_that_crashes_executors_that_are_back_at_once_is_given_up() {
    let mut world = World::new(4);
    world.run(LONG_LIVED);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    for _ in 0..3_000 {
        world.run(10);
        if let Some(at) = world.executors_with(1).first() {
            world.restart(*at, EARLIER_CLOCK);
        }
    }
    assert_eq!(world.state(1), Some(JobState::Failed));
    assert!(world.starts[&task(1)] <= 6, "{}", world.starts[&task(1)]);
}

/// If an executor's incarnations have birth times, a report without one counts
/// as a report of none of them.
#[test]
fn a_report_that_names_no_incarnation_counts_as_none() {
    let mut world = running_long_task(1);
    world.restart(0, EARLIER_CLOCK);
    world.run(REPAIR_TIME);
    let answer =
        ExecutorReport { clock: REPAIR_TIME, ..ExecutorReport::default() };
    let sent_at = world.now;
    let event =
        Event::RenewalAnswered { executor: 1, sent_at, answer: Ok(answer) };
    world.run(1);
    world.event(event);
    world.run(200);
    assert!(world.executors[0].runs(&task(1)), "it runs on");
    assert_eq!(world.incarnations_over.len(), 1);
    check_ends(world);
}
/// An entry that is no longer readable names no usable executor. Its runs go
/// on.
#[test]
fn an_entry_that_is_unreadable_now_gets_nothing_new() {
    let mut world = running_long_task(1);
    world.event(Event::EntryUnreadable("x0".into()));
    world.submit(job(2, "batch", vec![step(1, resources(500, 100))]));
    world.run(REPAIR_TIME);
    assert!(!world.executors[0].runs(&task(2)));
    world.run(LONG);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.list_entry(0);
    world.run(REPAIR_TIME);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// Guards against a job that is given up although only one executor has
/// crashed under its task: an order that was in flight when the crash was
/// noticed must not count as a run there.
#[test]
fn an_order_that_never_arrived_was_under_no_crash() {
    let mut world = World::new(4);
    world.run(LONG_LIVED);
    let how = Crashes { after: 10, silent: false };
    world.crashing.insert(task(1), how);
    world.submit(job(1, "batch", vec![step(1, resources(300, 100))]));
    let ordered = run_until_ordered(&mut world);
    world.restart(ordered, LATER_CLOCK);
    world.run(10 * LONG);
    assert_eq!(world.state(1), Some(JobState::Failed));
    world.check_states();
    world.assert_no_violations();
}

/// A machine whose executor returns from maintenance under its name has had
/// its maintenance, and the next machine follows.
#[test]
fn maintenance_is_over_though_the_name_is_the_same() {
    let mut world = World::new(2);
    world.keep_names = true;
    world.run(LONG_LIVED);
    let wave = MaintenanceWave {
        wave: 1,
        machines: vec!["x0".into(), "x1".into()],
        within: 60_000,
        most: 1,
    };
    world.event(Event::Wave(wave));
    world.run(8_000);
    assert_eq!(world.maintained, ["x0", "x1"]);
    assert_eq!(world.waves.get(&1), Some(&true));
    world.assert_no_violations();
}

/// An entry of a service that is not in the policy must not be enrolled: a
/// successor would wait for that executor.
#[test]
fn an_entry_of_an_unknown_service_is_passed_over() {
    let mut world = World::new(1);
    world.set_policy(|policy| {
        let service = Service { name: "s".into(), headroom: false };
        policy.services.insert("s".into(), service);
    });
    let mut other = world.executors[0].info.clone();
    other.id = "other".into();
    other.service = "other".into();
    world.event(Event::Listed(other));
    world.run(1_000);
    assert_eq!(world.scheduler.executor_count(), 1);
}

/// An executor whose incarnations have no birth times, and of which an entry
/// by another writer was read first, is used once its own entry has been read.
#[test]
fn an_entry_of_another_writer_keeps_no_executor_from_use() {
    let mut world = World::new(0);
    world.add_executor("x0");
    let mut other = world.executors[0].info.clone();
    other.born = Some(7);
    world.event(Event::Listed(other));
    world.run(100);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(REPAIR_TIME);
    assert_eq!(world.starts.len(), 0, "its own entry was not read");
    world.list_entry(0);
    world.run(REPAIR_TIME);
    assert_eq!(world.starts[&task(1)], 1);
    check_ends(world);
}

/// A successor does not wait for an incarnation that was replaced before the
/// successor led: the store names only the newest one.
#[test]
fn a_successor_waits_for_no_incarnation_that_was_replaced() {
    let mut world = running_long_task(2);
    world.store_down = true;
    world.restart(0, EARLIER_CLOCK);
    world.run(REPAIR_TIME);
    world.store_up();
    world.run(30);
    world.replace_leader();
    world.run(REPAIR_TIME);
    assert!(world.scheduler.takeover_complete());
    check_ends(world);
}

/// A successor has asked an incarnation that it has not heard yet, and the
/// next incarnation answers first. The answer of the former one arrives
/// afterwards. It was requested before the next one was heard, so it may be
/// from the older of the two.
#[test]
fn a_former_incarnation_that_answers_last_is_not_the_newer_one() {
    let mut world = running_long_task(1);
    world.restart(0, LATER_CLOCK);
    world.run(REPAIR_TIME);
    let born = world.executors[0].info.born;
    world.take_over();
    let sent_at = world.now;
    world.event(Event::EntriesRead);
    world.restart(0, EARLIER_CLOCK);
    world.run(REPAIR_TIME);
    let answer = ExecutorReport {
        born,
        clock: LATER_CLOCK,
        ..ExecutorReport::default()
    };
    let incarnations = world.incarnations_over.len();
    // Whether a renewal is open there or not.
    world.executors[0].isolated = true;
    for _ in 0..200 {
        world.run(10);
        let answer = Ok(answer.clone());
        world.event(Event::RenewalAnswered { executor: 0, sent_at, answer });
    }
    world.executors[0].isolated = false;
    world.run(REPAIR_TIME);
    assert_eq!(
        world.incarnations_over.len(),
        incarnations,
        "{:?}",
        world.incarnations_over
    );
    let known = world.scheduler.executor(0).map(|e| e.info.born);
    assert_eq!(known, Some(world.executors[0].info.born));
    check_ends(world);
}

/// A start was in flight when its executor crashed. The next incarnation has
/// carried it out without an answer, and the run has ended, before the leader
/// knows of that incarnation. The next incarnation must not be sent the number
/// of the former one's last end: it would discard its own end.
#[test]
fn an_end_that_nobody_has_read_is_not_forgotten() {
    for clock in [EARLIER_CLOCK, LATER_CLOCK] {
        let mut world = with_five_ends();
        let mut short = step(1, resources(1_000, 100));
        short.estimate = 10;
        world.executors[0].lost_answers = 1;
        world.submit(job(6, "batch", vec![short]));
        run_until_ordered(&mut world);
        world.restart_unlisted(0, clock, false);
        world.run(1_000);
        world.list_entry(0);
        world.run(1_000);
        world.assert_no_violations();
        assert_eq!(world.state(6), Some(JobState::Succeeded));
        assert_eq!(world.starts[&task(6)], 1, "clock {clock}");
    }
}

/// An executor has died with an order that it had left unanswered, and is back
/// under its name when the order is carried out. The task waits until the
/// order is sealed, although another executor has capacity.
#[test]
fn an_order_that_survives_its_executor_is_sealed_on_the_next_incarnation() {
    let mut world = World::new(1);
    world.keep_names = true;
    world.run(LONG_LIVED);
    world.executors[0].order_delay = Some(RESTART_DELAY + 500);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    run_until_ordered(&mut world);
    world.run(5);
    world.executors[0].order_delay = None;
    world.crash_by_itself(0, false);
    world.add_executor("x1");
    world.list_entry(1);
    check_ends(world);
}

/// Like the test above, but the executor does not return: the task waits no
/// longer than the longest delay of an order.
#[test]
fn an_order_whose_executor_stays_away_holds_its_task_for_a_while_only() {
    let mut world = World::new(1);
    world.run(LONG_LIVED);
    world.executors[0].order_delay = Some(RESTART_DELAY);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(50);
    world.die(0);
    world.powered_off.insert("x0".into());
    world.add_executor("x1");
    world.list_entry(1);
    world.run(2 * LEASE);
    check_ends(world);
}

/// The executors that are in the store.
fn shards(world: &World) -> Vec<(String, Vec<u8>)> {
    let kept = world.store.iter();
    let kept = kept.filter(|(name, _)| name.starts_with(record::SHARD_PREFIX));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// An incarnation that was replaced is not left to a successor, even if it has
/// not been given up yet.
#[test]
fn a_replaced_incarnation_is_left_to_nobody() {
    let mut world = running_long_task(2);
    let before = shards(&world);
    world.restart(0, EARLIER_CLOCK);
    for _ in 0..1_000 {
        world.run(1);
        if shards(&world) != before {
            break;
        }
    }
    world.replace_leader();
    world.run(REPAIR_TIME);
    assert!(world.scheduler.takeover_complete());
    check_ends(world);
}

/// Guards against a job that is given up although only one executor has
/// crashed under its task: an order that the executor had deferred when it
/// crashed must not count as a run there.
#[test]
fn an_order_that_was_left_for_later_was_under_no_crash() {
    let mut world = World::new(4);
    world.run(LONG_LIVED);
    let how = Crashes { after: 10, silent: false };
    world.crashing.insert(task(1), how);
    world.submit(job(1, "batch", vec![step(1, resources(300, 100))]));
    let ordered = run_until_ordered(&mut world);
    world.executors[ordered].order_delay = Some(500);
    world.run(20);
    world.executors[ordered].order_delay = None;
    world.crash_by_itself(ordered, false);
    world.run(10 * LONG);
    assert_eq!(world.state(1), Some(JobState::Failed));
    world.check_states();
    world.assert_no_violations();
}

/// Guards against a task that waits for the longest delay of an order, and
/// against gangs that wait with it, although most of the capacity is free. An
/// executor has crashed with an order that it had left unanswered. The list of
/// machines shows the crash after the executor's replacement, which has
/// another name, was heard: the task starts again at once.
#[test]
fn an_order_that_the_replacement_refuses_holds_no_task() {
    let mut world = World::new(1);
    world.run(LONG_LIVED);
    world.executors[0].order_delay = Some(RESTART_DELAY);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(50);
    world.isolate_and_replace(0, "y1");
    world.run(6_500);
    assert_eq!(world.starts.get(&task(1)), Some(&1));
    check_ends(world);
}
