//! What is taken for over, or for done, by something else than its own word:
//! tasks that run on two executors, that are lost, or that wait.

use std::sync::Arc;

use puffinknot_core::jobs::message::StoredValue;
use puffinknot_core::jobs::{
    record, Event, ExecutorReport, JobState, MaintenanceWave, Mechanisms,
    RunReport, Scheduler, SchedulerConfig, Step, TaskKey,
};

use super::world::{job, policy, resources, step, World, LEASE, WORK};

/// After this time the leader has read on which machines executors live.
const SHOWN: u64 = 4_500;

fn task() -> TaskKey {
    "0000000000000001.0.0.0".parse().expect("a task")
}

fn long(work: u64) -> Step {
    Step { estimate: work, ..step(1, resources(3_000, 100)) }
}

fn wave(wave: u64, machine: &str) -> Event {
    Event::Wave(MaintenanceWave {
        wave,
        machines: vec![machine.into()],
        within: 1_000,
        most: 1,
    })
}

/// An account that was given while the first run was at work.
fn earlier_account(world: &World, sent_at: u64) -> Event {
    let row = RunReport {
        task: task(),
        run: 1_000_001,
        checkpoint: String::new(),
        percent: 100,
        usage: 0,
    };
    let answer = ExecutorReport {
        clock: sent_at,
        running: vec![row],
        ..ExecutorReport::default()
    };
    assert_eq!(world.token, 1);
    Event::RenewalAnswered { executor: 0, sent_at, answer: Ok(answer) }
}

/// A task whose first run has failed has just been ordered again, at the same
/// executor, when an account comes that was given while the first one ran.
fn ordered_again_before_an_earlier_account() -> World {
    let mut world = World::new(1);
    world.run(50);
    world.failing.insert(task(), 1);
    world.submit(job(1, "batch", vec![long(WORK)]));
    world.run(200);
    assert!(world.executors[0].runs(&task()));
    let sent_at = world.now;
    while world.scheduler.counters()["starts"] < 2 {
        world.run(1);
        assert!(world.now < sent_at + 2 * WORK);
    }
    let late = earlier_account(&world, sent_at);
    world.event(late);
    world
}

/// A task waited for ever. Its first run had failed, and the order of the
/// second, at the same executor, was lost on the way. Before that was known,
/// an account came late that was given while the first run was at work. The
/// run that had ended was taken up in place of the one that was ordered, so
/// that nobody asked what had become of that one.
#[test]
fn an_earlier_account_does_not_hide_an_order_that_is_lost() {
    let mut world = ordered_again_before_an_earlier_account();
    world.executors[0].isolated = true;
    world.run(20);
    world.executors[0].isolated = false;
    world.run(5 * LEASE);
    world.check();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// The same where the executor crashes before the order arrives: what was on
/// it was given up, but for this run.
#[test]
fn an_earlier_account_does_not_hide_a_run_from_the_end_of_its_executor() {
    let mut world = ordered_again_before_an_earlier_account();
    world.crash(0, "y1");
    world.run(5 * LEASE);
    world.check();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// A task ran on two executors while one node led all the time. The executor
/// that ran it was cut off, and the list of machines lacked its machine, as
/// it may when a page of it was short or machines came and went between two
/// pages. An earlier list had shown it; so the executor was taken for gone
/// before its lease had run out.
#[test]
fn a_machine_that_a_list_lacks_ends_no_life() {
    let mut world = World::new(1);
    world.run(50);
    world.submit(job(1, "batch", vec![long(4 * LEASE)]));
    world.run(200);
    world.add_executor("x9");
    world.list_entry(1);
    world.run(SHOWN);
    assert!(world.executors[0].runs(&task()));
    world.unlisted.insert("x0".into());
    world.executors[0].isolated = true;
    world.run(LEASE - 1_500);
    assert!(world.executors[0].runs(&task()), "its lease runs on");
    world.check();
}

/// The same at a takeover. A successor had read no entries yet when the list
/// of machines came, so that it knew of none that the store lists.
#[test]
fn a_machine_that_a_list_lacks_ends_no_life_before_entries_are_read() {
    let mut world = World::new(1);
    world.run(50);
    world.submit(job(1, "batch", vec![long(4 * LEASE)]));
    world.run(200);
    world.add_executor("x9");
    world.list_entry(1);
    world.run(SHOWN);
    assert!(world.executors[0].runs(&task()));
    world.unlisted.insert("x0".into());
    world.executors[0].isolated = true;
    world.take_over();
    world.list_entry(1);
    world.run(LEASE - 1_500);
    assert!(world.executors[0].runs(&task()), "its lease runs on");
    world.check();
}

/// Tasks waited for a dozen seconds after a change of leaders. A machine had
/// gone off for good, and the leader before had found its executor to be
/// over. Its entry still stood in the store. The successor enrolled it anew,
/// did not know its machine, and took the takeover for settled only when a
/// lease that nobody could have given had run out.
#[test]
fn an_entry_of_an_executor_that_is_over_holds_no_takeover_up() {
    let mut world = World::new(2);
    world.run(SHOWN + 1_000);
    let tasks = Step { count: 5, ..long(2_000) };
    world.submit(job(1, "batch", vec![tasks]));
    world.run(200);
    world.die(0);
    world.powered_off.insert("x0".into());
    world.run(4_000);
    assert_eq!(
        world.incarnations_over.len(),
        1,
        "the leader has found its end"
    );
    world.replace_leader();
    world.list_entry(0);
    // Two tasks are done, and one is at work. Two wait for room.
    world.run(9_000);
    world.check();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// Nothing was ever run on an executor again. A wave had named its machine,
/// and when it was called for, the platform said that it is not of the wave.
/// The executor had been marked as about to go before the call, and stayed so.
#[test]
fn an_executor_whose_machine_is_not_of_the_wave_is_used_again() {
    let mut world = World::new(1);
    world.run(50);
    world.not_in_wave.insert("x0".into());
    world.event(wave(7, "x0"));
    world.run(2_000);
    assert!(world.waves[&7], "the wave is over");
    world.submit(job(1, "batch", vec![step(1, resources(1_000, 100))]));
    world.run(4 * LEASE);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// The same where the operators take the machine out of the wave while a call
/// for it is unanswered that was never carried out.
#[test]
fn an_executor_whose_machine_left_the_wave_is_used_again() {
    let mut world = World::new(1);
    world.run(50);
    world.lost_maintenance_calls = 1;
    world.event(wave(7, "x0"));
    while !world.scheduler.counters().contains_key("upkeeps") {
        world.run(10);
    }
    world.event(Event::Wave(MaintenanceWave {
        wave: 7,
        machines: Vec::new(),
        within: 1_000,
        most: 1,
    }));
    world.run(2_000);
    world.submit(job(1, "batch", vec![step(1, resources(1_000, 100))]));
    world.run(4 * LEASE);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// A wave never came to its end. The call for a machine was lost, so that its
/// executor was marked as about to go though it went on. The task there then
/// counted as away already, and once more as lost by the next call, which the
/// step does not bear.
#[test]
fn a_call_for_upkeep_that_is_lost_is_made_again() {
    let mut world = World::new(2);
    world.run(50);
    let lasting = Step {
        lasting: true,
        may_miss: Some(1),
        max_per_executor: 1,
        ..step(2, resources(1_000, 100))
    };
    world.submit(job(1, "batch", vec![lasting]));
    world.run(500);
    world.lost_maintenance_calls = 1;
    world.event(wave(7, "x0"));
    world.run(30_000);
    assert_eq!(world.lost_maintenance_calls, 0);
    assert_eq!(world.maintained, ["x0"]);
    assert!(world.waves[&7], "the wave has succeeded");
}

/// A wave took a machine down while the only other task of a step had been
/// away for over a second, which was more than the step bears. The executor
/// of that one had fallen silent; as long as it was not known to be over, its
/// task counted as at work.
#[test]
fn a_task_on_a_silent_executor_is_away() {
    let mut world = World::new(2);
    world.run(50);
    let lasting = Step {
        lasting: true,
        may_miss: Some(1),
        max_per_executor: 1,
        ..step(2, resources(1_000, 100))
    };
    world.submit(job(1, "batch", vec![lasting]));
    world.run(500);
    world.die(1);
    world.run(3_600);
    assert_eq!(world.scheduler.counters()["executors_silent"], 1);
    world.event(wave(7, "x0"));
    world.run(1_200);
    let over = world.scheduler.counters().get("executors_over");
    assert_eq!(over, None, "it is not known to be over yet");
    assert!(world.maintained.is_empty(), "{:?}", world.maintained);
}

/// What an upkeep has ended is started elsewhere long before the lease of its
/// executor has run out. Not at once: that the platform has said that it is
/// carried out may be about an earlier call, and the executor may live.
#[test]
fn what_an_upkeep_ends_is_started_elsewhere_soon() {
    let mut world = World::new(2);
    world.run(SHOWN + 1_000);
    let lasting = Step { lasting: true, ..step(2, resources(1_000, 100)) };
    let lasting = Step { max_per_executor: 1, count: 1, ..lasting };
    world.submit(job(1, "batch", vec![lasting]));
    world.run(500);
    let at = usize::from(!world.executors[0].runs(&task()));
    let machine = world.executors[at].info.address.clone();
    world.event(wave(7, &machine));
    while world.maintained.is_empty() {
        world.run(1);
    }
    let ended = world.now;
    while world.starts[&task()] < 2 {
        world.run(1);
    }
    let after = world.now - ended;
    assert!(after < LEASE / 2, "{after} ms");
}

/// A wave showed as succeeded though one of its machines had not had its
/// upkeep. The machine was in two waves; while it was down for the one, the
/// list of machines showed it so, and that was taken for the upkeep of the
/// other.
#[test]
fn the_upkeep_of_one_wave_is_not_that_of_another() {
    let mut world = World::new(1);
    world.run(50);
    world.event(wave(7, "x0"));
    world.event(wave(8, "x0"));
    world.run(20_000);
    assert!(world.waves[&7] && world.waves[&8], "both have succeeded");
    assert_eq!(world.maintained, ["x0", "x0"]);
}

/// Tasks ran once more after they were done. More of them had ended on one
/// executor at a time than an account lists. The rest were neither among what
/// ran nor among what had ended, and were taken for lost.
#[test]
fn ends_that_an_account_has_no_room_for_are_waited_for() {
    let mut world = World::new(1);
    world.run(50);
    let many = Step { count: 600, ..step(600, resources(1, 1)) };
    world.submit(job(1, "batch", vec![many]));
    world.run(20 * WORK);
    let again = world.starts.values().filter(|starts| **starts > 1).count();
    assert_eq!(again, 0, "tasks were started again");
}

/// No node could lead after an upgrade: the list of executors that the
/// version before had left in the store could not be read.
#[test]
fn a_list_of_executors_without_machines_is_readable() {
    let info = World::new(1).executors[0].info.clone();
    let kept = StoredValue {
        name: record::LEGACY_EXECUTORS.into(),
        value: record::encode(&vec![info]),
        revision: 0,
    };
    let config = SchedulerConfig {
        token: 2,
        lease: LEASE,
        ended_retention: 120_000,
        inherited_order_lifetime: 2 * LEASE,
        max_advice_batch: 100,
        min_commit_interval: 20,
        mechanisms: Mechanisms::default(),
    };
    let restored =
        Scheduler::restore(config, Arc::new(policy()), &[kept], 1_000);
    assert_eq!(restored.err(), None);
}

/// An executor was asked hundreds of times in a second. While an account that
/// waits for an end was under way, it was asked for one at once, since another
/// life was listed with its address. It was unhealthy and said so at once, and
/// each such answer had it asked again without a pause.
#[test]
fn an_executor_that_gives_no_account_is_not_asked_again_at_once() {
    let mut world = World::new(1);
    world.run(50);
    world.submit(job(1, "batch", vec![long(4 * LEASE)]));
    world.run(500);
    // An account that waits for an end is under way.
    let at = world.executors[0].info.address.clone();
    let before = world.renewals;
    world.run(100);
    assert_eq!(world.renewals, before);
    world.executors[0].unhealthy = true;
    world.add_executor("former");
    world.executors[1].info.address = at;
    world.executors[1].dead = true;
    world.list_entry(1);
    let before = world.renewals;
    world.run(300);
    let asked = world.renewals - before;
    assert!(asked <= 10, "asked {asked} times in 300 ms");
}
