//! Executors that start again under the name that they had. Operators saw a
//! task started again after its end was noted, and gangs that ran nowhere for
//! the rest of a day while most of the room was free.
//!
//! The order of events: a third of the executors crashed, and were back within
//! a second under their own names, before they were given up. The leader took
//! each for the executor that it had been. Numbers of ends begin anew with a
//! life, so that those of the next life were dropped as known, and were taken
//! note of by the number of the former one's last end: what was done there
//! counted as missing, and started again. Where the clock of the next life
//! showed less than the former one's, all that it said counted as late, so
//! that what had run on the former one counted as running for ever.
//!
//! The evidence: of each day all tasks that were started again after their end
//! had run on executors that had crashed and were not given up, the first two
//! runs of each on the same one; on the day of the gangs 121 of the 122 lives
//! that had fallen silent were never given up. These tests failed before.

use puffinknot_core::jobs::message::ExecutorIndex;
use puffinknot_core::jobs::record;
use puffinknot_core::jobs::{
    Event, ExecutorReport, IncarnationEnd, JobState, MaintenanceWave, Service,
    Step, TaskKey,
};

use super::world::{
    job, resources, step, Crashes, World, LEASE, RESTART_DELAY,
};

/// How long long tasks work.
const LONG: u64 = 5_000;
/// How long short tasks work.
const SHORT: u64 = 400;
/// By this time executors have lived for long.
const OLD: u64 = 20_000;
/// Within this time a loss is found and mended, if the next life answers.
const SOON: u64 = 700;
/// A clock that shows less than that of a former life.
const EARLIER: u64 = 0;
/// A clock that shows more.
const LATER: u64 = 900_000;

fn task(job: u64) -> TaskKey {
    format!("{job:016x}.0.0.0").parse().expect("a task")
}

/// A task that takes most of an executor's room.
fn wide(work: u64) -> Step {
    let mut step = step(1, resources(3_000, 100));
    step.estimate = work;
    step
}

/// So many executors that have lived for long; the first runs a long task.
fn at_work(executors: usize) -> World {
    let mut world = World::new(1);
    world.run(OLD);
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

/// One executor, five ends of which were taken note of.
fn with_five_ends() -> World {
    let mut world = World::new(1);
    for id in 1..=5 {
        world.submit(job(id, "batch", vec![step(1, resources(500, 100))]));
    }
    world.run(4_500);
    world
}

/// Lets time pass until an order to start a task is on its way. Returns the
/// executor that it is for.
fn run_until_ordered(world: &mut World) -> usize {
    for _ in 0..100 {
        world.run(1);
        if let Some(at) = world.starts_in_flight().first() {
            return *at;
        }
    }
    panic!("nothing is started");
}

/// The long task is soon at work again, and ends.
fn starts_again_and_ends(mut world: World) {
    world.run(SOON);
    assert_eq!(world.starts[&task(1)], 2, "it starts again");
    ends(world);
}

fn ends(mut world: World) {
    world.run(LONG + LEASE);
    world.check();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// What ran on a former life is lost at once, and starts again, whatever the
/// clock of the next one shows.
#[test]
fn what_ran_on_a_former_life_starts_again() {
    for clock in [EARLIER, LATER] {
        let mut world = at_work(1);
        world.restart(0, clock);
        starts_again_and_ends(world);
    }
}

/// The same if nothing tells of the crash: what waits there is silent.
#[test]
fn a_life_that_went_in_silence_is_found_by_its_follower() {
    let mut world = at_work(1);
    world.restart_unlisted(0, EARLIER, true);
    world.list_entry(0);
    world.run(2 * SOON);
    starts_again_and_ends(world);
}

/// Ends of a next life count though their numbers have been seen before.
#[test]
fn what_is_done_on_a_next_life_stays_done() {
    for clock in [EARLIER, LATER] {
        let mut world = with_five_ends();
        world.restart(0, clock);
        for id in 6..=8 {
            let mut short = step(1, resources(1_000, 100));
            short.estimate = SHORT;
            world.submit(job(id, "batch", vec![short]));
        }
        world.run(2_000);
        world.check();
        for id in 6..=8 {
            assert_eq!(world.state(id), Some(JobState::Succeeded));
            assert_eq!(world.starts[&task(id)], 1, "clock {clock}");
        }
    }
}

/// A start that was meant for a former life is carried out by the next one,
/// which fails it at once: its end is heard, and counts as an attempt.
#[test]
fn an_end_on_a_life_that_is_not_known_yet_is_heard() {
    let mut world = with_five_ends();
    world.restart_unlisted(0, LATER, true);
    let mut short = step(1, resources(1_000, 100));
    short.estimate = 10;
    world.submit(job(6, "batch", vec![short]));
    world.run(4_000);
    world.list_entry(0);
    world.run(1_000);
    world.check();
    assert_eq!(world.state(6), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task(6)], 1);
}

/// A start is under way when its executor starts again: it is carried out by
/// the next life, and goes on there.
#[test]
fn a_start_that_reaches_the_next_life_goes_on_there() {
    let mut world = World::new(2);
    world.run(OLD);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    let ordered = run_until_ordered(&mut world);
    world.restart(ordered, EARLIER);
    world.run(200);
    assert!(world.executors[ordered].runs(&task(1)));
    world.run(SOON);
    ends(world);
}

/// A start that is delayed finds the next life sealed: its task has been
/// started elsewhere.
#[test]
fn a_start_that_comes_late_finds_the_next_life_sealed() {
    let mut world = World::new(1);
    world.run(OLD);
    world.executors[0].order_delay = Some(3_000);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(100);
    world.executors[0].order_delay = None;
    world.restart(0, EARLIER);
    world.add_executor("x1");
    world.list_entry(1);
    world.run(SOON);
    assert_eq!(world.starts[&task(1)], 1, "it starts once it is sealed");
    world.run(5_000);
    ends(world);
}

/// An executor that starts again twice in a row: neither of the two former
/// lives keeps what ran there.
#[test]
fn two_restarts_in_a_row_are_two_lives() {
    let mut world = at_work(1);
    world.restart(0, LATER);
    world.run(15);
    world.restart(0, EARLIER);
    starts_again_and_ends(world);
}

/// Entries come late: that of a former life says nothing of the next one.
#[test]
fn an_entry_of_a_former_life_changes_nothing() {
    let mut world = at_work(1);
    let former = world.executors[0].info.clone();
    world.restart(0, EARLIER);
    world.run(SOON);
    assert_eq!(world.starts[&task(1)], 2);
    world.resize(0, resources(3_000, 8_000));
    world.list_entry(0);
    world.event(Event::Listed(former));
    world.submit(job(2, "batch", vec![step(1, resources(900, 100))]));
    world.run(SOON);
    assert!(!world.executors[0].runs(&task(2)), "it has no room for it");
    world.list_entry(0);
    ends(world);
}

/// The room of the next life may be another: nothing is started there before
/// its entry was read.
#[test]
fn nothing_starts_on_a_life_whose_room_is_unknown() {
    let mut world = at_work(1);
    world.restart_unlisted(0, EARLIER, false);
    world.executors[0].info.capacity = resources(3_500, 8_000);
    world.run(SOON);
    assert_eq!(world.starts[&task(1)], 1);
    world.list_entry(0);
    starts_again_and_ends(world);
}

/// The entry of the next life may be read before the executor is heard.
#[test]
fn an_entry_that_comes_first_counts_once_the_life_is_heard() {
    let mut world = at_work(1);
    world.executors[0].isolated = true;
    world.restart(0, EARLIER);
    world.run(300);
    world.executors[0].isolated = false;
    world.run(1_500);
    starts_again_and_ends(world);
}

/// An account of a former life that was held up says nothing of the next one:
/// it comes after the next life was heard, and was asked for before.
#[test]
fn an_account_of_a_former_life_that_comes_late_is_passed_over() {
    let mut world = at_work(1);
    let (sent_at, born) = (world.now, world.executors[0].info.born);
    world.run(1);
    world.restart(0, EARLIER);
    world.run(SOON);
    assert_eq!(world.starts[&task(1)], 2);
    for executor in 0..2 {
        let answer =
            ExecutorReport { born, clock: LATER, ..Default::default() };
        world.event(Event::RenewalAnswered {
            executor: executor as ExecutorIndex,
            sent_at,
            answer: Ok(answer),
        });
    }
    world.run(100);
    assert!(world.executors[0].runs(&task(1)), "it runs on");
    let lives = world.incarnations_over.len();
    assert_eq!(lives, 1, "{:?}", world.incarnations_over);
    ends(world);
}

/// A successor knows a former life from the store, and hears the next one.
#[test]
fn a_successor_hears_another_life_than_it_has_read_of() {
    for told in [true, false] {
        let mut world = at_work(1);
        let former = world.executors[0].info.clone();
        world.restart_unlisted(0, EARLIER, false);
        world.take_over();
        if told {
            world.event(Event::Listed(former));
        }
        world.run(SOON);
        world.replace_leader();
        starts_again_and_ends(world);
    }
}

/// Executors that were lost with what they ran are told by their follower.
#[test]
fn a_life_that_has_a_follower_is_over() {
    let mut world = at_work(1);
    world.restart(0, EARLIER);
    world.run(SOON);
    let over = vec![("x0".to_string(), IncarnationEnd::AnotherAnswers)];
    assert_eq!(world.incarnations_over, over);
}

/// A crash is weighed also if the executor was back before it was missed:
/// tasks that crash executors are given up.
#[test]
fn a_task_that_crashes_executors_that_are_back_at_once_is_given_up() {
    let mut world = World::new(4);
    world.run(OLD);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    for _ in 0..3_000 {
        world.run(10);
        if let Some(at) = world.executors_with(1).first() {
            world.restart(*at, EARLIER);
        }
    }
    assert_eq!(world.state(1), Some(JobState::Failed));
    assert!(world.starts[&task(1)] <= 6, "{}", world.starts[&task(1)]);
}

/// What an executor says without naming its life, where its lives are told
/// apart, is no account of any.
#[test]
fn an_account_that_names_no_life_counts_as_none() {
    let mut world = at_work(1);
    world.restart(0, EARLIER);
    world.run(SOON);
    let answer = ExecutorReport { clock: SOON, ..ExecutorReport::default() };
    let sent_at = world.now;
    let event =
        Event::RenewalAnswered { executor: 1, sent_at, answer: Ok(answer) };
    world.run(1);
    world.event(event);
    world.run(200);
    assert!(world.executors[0].runs(&task(1)), "it runs on");
    assert_eq!(world.incarnations_over.len(), 1);
    ends(world);
}
/// An entry that can't be read any more names no executor to use. What runs
/// there goes on.
#[test]
fn an_entry_that_is_unreadable_now_gets_nothing_new() {
    let mut world = at_work(1);
    world.event(Event::EntryUnreadable("x0".into()));
    world.submit(job(2, "batch", vec![step(1, resources(500, 100))]));
    world.run(SOON);
    assert!(!world.executors[0].runs(&task(2)));
    world.run(LONG);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.list_entry(0);
    world.run(SOON);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.check();
}

/// A job was given up though only one executor had crashed under its task: an
/// order that was on its way when the crash was seen counted as having been
/// there.
#[test]
fn an_order_that_never_arrived_was_under_no_crash() {
    let mut world = World::new(4);
    world.run(OLD);
    let how = Crashes { after: 10, silent: false };
    world.crashing.insert(task(1), how);
    world.submit(job(1, "batch", vec![step(1, resources(300, 100))]));
    let ordered = run_until_ordered(&mut world);
    world.restart(ordered, LATER);
    world.run(10 * LONG);
    assert_eq!(world.state(1), Some(JobState::Failed));
    world.check_states();
    world.check();
}

/// A machine whose executor comes back from its upkeep under its name has had
/// it, and the next one takes its turn.
#[test]
fn an_upkeep_is_over_though_the_name_is_the_same() {
    let mut world = World::new(2);
    world.keep_names = true;
    world.run(OLD);
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
    world.check();
}

/// An entry of a service that no policy names is nobody to ask: a successor
/// would wait for it.
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

/// An executor whose lives are not told apart, and of which an entry by
/// another writer was read first, is used once its own entry is read.
#[test]
fn an_entry_of_another_writer_keeps_no_executor_from_use() {
    let mut world = World::new(0);
    world.add_executor("x0");
    let mut other = world.executors[0].info.clone();
    other.born = Some(7);
    world.event(Event::Listed(other));
    world.run(100);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(SOON);
    assert_eq!(world.starts.len(), 0, "its own entry was not read");
    world.list_entry(0);
    world.run(SOON);
    assert_eq!(world.starts[&task(1)], 1);
    ends(world);
}

/// A successor waits for no life that was followed before it led: what it was
/// left in the store names the newest one only.
#[test]
fn a_successor_waits_for_no_life_that_was_followed() {
    let mut world = at_work(2);
    world.store_down = true;
    world.restart(0, EARLIER);
    world.run(SOON);
    world.store_up();
    world.run(30);
    world.replace_leader();
    world.run(SOON);
    assert!(world.scheduler.takeover_complete());
    ends(world);
}

/// A successor has asked a life that it has not heard yet, and the next one
/// answers first. The answer of the former one comes after that: it was asked
/// for before the next one was heard, so that it may be the older.
#[test]
fn a_former_life_that_answers_last_is_not_the_newer_one() {
    let mut world = at_work(1);
    world.restart(0, LATER);
    world.run(SOON);
    let born = world.executors[0].info.born;
    world.take_over();
    let sent_at = world.now;
    world.event(Event::EntriesRead);
    world.restart(0, EARLIER);
    world.run(SOON);
    let answer =
        ExecutorReport { born, clock: LATER, ..ExecutorReport::default() };
    let lives = world.incarnations_over.len();
    // Whether a hold is open there or not.
    world.executors[0].isolated = true;
    for _ in 0..200 {
        world.run(10);
        let answer = Ok(answer.clone());
        world.event(Event::RenewalAnswered { executor: 0, sent_at, answer });
    }
    world.executors[0].isolated = false;
    world.run(SOON);
    assert_eq!(
        world.incarnations_over.len(),
        lives,
        "{:?}",
        world.incarnations_over
    );
    let known = world.scheduler.executor(0).map(|e| e.info.born);
    assert_eq!(known, Some(world.executors[0].info.born));
    ends(world);
}

/// A start was on its way when its executor crashed, and the next life has
/// carried it out, unanswered, and ended it before anybody knew of that life.
/// It is not told the number of a former life's last end: it would forget its
/// own.
#[test]
fn an_end_that_nobody_has_read_is_not_forgotten() {
    for clock in [EARLIER, LATER] {
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
        world.check();
        assert_eq!(world.state(6), Some(JobState::Succeeded));
        assert_eq!(world.starts[&task(6)], 1, "clock {clock}");
    }
}

/// An executor has gone with an order that it had left unanswered, and is back
/// under its name when the order is carried out: the task waits until that is
/// sealed, though another executor has room.
#[test]
fn an_order_that_outlives_its_executor_is_sealed_on_the_next_life() {
    let mut world = World::new(1);
    world.keep_names = true;
    world.run(OLD);
    world.executors[0].order_delay = Some(RESTART_DELAY + 500);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    run_until_ordered(&mut world);
    world.run(5);
    world.executors[0].order_delay = None;
    world.crash_by_itself(0, false);
    world.add_executor("x1");
    world.list_entry(1);
    ends(world);
}

/// The same if nobody comes back: the task waits no longer than any order.
#[test]
fn an_order_whose_executor_stays_away_holds_its_task_for_a_while_only() {
    let mut world = World::new(1);
    world.run(OLD);
    world.executors[0].order_delay = Some(RESTART_DELAY);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(50);
    world.die(0);
    world.powered_off.insert("x0".into());
    world.add_executor("x1");
    world.list_entry(1);
    world.run(2 * LEASE);
    ends(world);
}

/// What the store keeps of executors.
fn shards(world: &World) -> Vec<(String, Vec<u8>)> {
    let kept = world.store.iter();
    let kept = kept.filter(|(name, _)| name.starts_with(record::SHARD_PREFIX));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// A life that was followed is not in what a successor is left, though it is
/// not given up yet.
#[test]
fn a_followed_life_is_left_to_nobody() {
    let mut world = at_work(2);
    let before = shards(&world);
    world.restart(0, EARLIER);
    for _ in 0..1_000 {
        world.run(1);
        if shards(&world) != before {
            break;
        }
    }
    world.replace_leader();
    world.run(SOON);
    assert!(world.scheduler.takeover_complete());
    ends(world);
}

/// A job was given up though only one executor had crashed under its task:
/// an order that an executor had left for later when it crashed counted as
/// having been there. A soak of processes had shown such a job once.
#[test]
fn an_order_that_was_left_for_later_was_under_no_crash() {
    let mut world = World::new(4);
    world.run(OLD);
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
    world.check();
}

/// An executor has crashed with an order that it had left unanswered, and the
/// list of machines tells so after its follower, under another name, was
/// heard: the task starts again at once. It had waited for as long as any
/// order may be late, and gangs with it, though most of the room was free.
#[test]
fn an_order_that_the_follower_refuses_holds_no_task() {
    let mut world = World::new(1);
    world.run(OLD);
    world.executors[0].order_delay = Some(RESTART_DELAY);
    world.submit(job(1, "batch", vec![wide(LONG)]));
    world.run(50);
    world.isolate_and_replace(0, "y1");
    world.run(6_500);
    assert_eq!(world.starts.get(&task(1)), Some(&1));
    ends(world);
}
