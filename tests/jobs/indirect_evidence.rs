//! Executors and maintenance that are considered over, or done, on evidence
//! other than their own: tasks then run on two executors, are lost, or wait.

use std::sync::Arc;

use puffinknot_core::jobs::message::StoredValue;
use puffinknot_core::jobs::{
    record, Event, ExecutorReport, JobState, MaintenanceWave, Mechanisms,
    RunReport, Scheduler, SchedulerConfig, Step, TaskKey,
};

use super::world::{job, policy, resources, step, World, LEASE, WORK};

/// After this time the leader has read which executor each machine hosts.
const MACHINES_LISTED: u64 = 4_500;

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

/// A report that was made while the first run was running.
fn earlier_report(world: &World, sent_at: u64) -> Event {
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

/// A task whose first run has failed was just ordered again on the same
/// executor when a report arrives that was made during the first run.
fn ordered_again_before_an_earlier_report() -> World {
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
    let late = earlier_report(&world, sent_at);
    world.event(late);
    world
}

/// Guards against a task that waits forever. Its first run has failed, and the
/// order of its second run on the same executor is lost. Before that is known,
/// a report from the time of the first run arrives late. If the ended run
/// replaces the ordered one, nobody asks what has become of the ordered one.
#[test]
fn an_earlier_report_does_not_hide_an_order_that_is_lost() {
    let mut world = ordered_again_before_an_earlier_report();
    world.executors[0].isolated = true;
    world.run(20);
    world.executors[0].isolated = false;
    world.run(5 * LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// Like the test above, but the executor crashes before the order arrives.
/// Everything on it is given up, and the ordered run must be, too.
#[test]
fn an_earlier_report_does_not_hide_a_run_from_the_end_of_its_executor() {
    let mut world = ordered_again_before_an_earlier_report();
    world.crash(0, "y1");
    world.run(5 * LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// Guards against a task that runs on two executors under a single leader. Its
/// executor is isolated and missing from the list of machines, which happens
/// when a page of the list is short or when machines come and go between two
/// pages. An earlier list has shown the machine. The executor must not be
/// considered gone before its lease has expired.
#[test]
fn a_machine_that_a_list_lacks_ends_no_incarnation() {
    let mut world = World::new(1);
    world.run(50);
    world.submit(job(1, "batch", vec![long(4 * LEASE)]));
    world.run(200);
    world.add_executor("x9");
    world.list_entry(1);
    world.run(MACHINES_LISTED);
    assert!(world.executors[0].runs(&task()));
    world.unlisted.insert("x0".into());
    world.executors[0].isolated = true;
    world.run(LEASE - 1_500);
    assert!(world.executors[0].runs(&task()), "its lease has not expired");
    world.assert_no_violations();
}

/// Like the test above, but at a takeover. The successor has read no entries
/// yet when the list of machines arrives, so it knows none of those that are
/// in the store.
#[test]
fn a_machine_that_a_list_lacks_ends_no_incarnation_before_entries_are_read() {
    let mut world = World::new(1);
    world.run(50);
    world.submit(job(1, "batch", vec![long(4 * LEASE)]));
    world.run(200);
    world.add_executor("x9");
    world.list_entry(1);
    world.run(MACHINES_LISTED);
    assert!(world.executors[0].runs(&task()));
    world.unlisted.insert("x0".into());
    world.executors[0].isolated = true;
    world.take_over();
    world.list_entry(1);
    world.run(LEASE - 1_500);
    assert!(world.executors[0].runs(&task()), "its lease has not expired");
    world.assert_no_violations();
}

/// Guards against tasks that wait for a dozen seconds after a change of
/// leaders. A machine is down for good, and the former leader has found its
/// executor to be over, but the entry of the executor is still in the store.
/// If the successor enrolls the executor anew without knowing its machine, the
/// takeover completes only when a lease that nobody can have granted has
/// expired.
#[test]
fn an_entry_of_an_executor_that_is_over_delays_no_takeover() {
    let mut world = World::new(2);
    world.run(MACHINES_LISTED + 1_000);
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
    // Two tasks are done, and one is running. Two wait for capacity.
    world.run(9_000);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// Guards against an executor that is never used again. A wave names its
/// machine, and the platform answers the maintenance call by saying that the
/// machine is not in the wave. The executor is marked as departing before the
/// call and must not stay so.
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

/// Like the test above, but operators remove the machine from the wave while a
/// call for it is unanswered, and the call is never carried out.
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

/// Guards against a wave that never completes. A maintenance call is lost, so
/// its executor is marked as departing although it goes on. If its task counts
/// as away already, and once more as lost by the next call, the step can't
/// afford the next call.
#[test]
fn a_maintenance_call_that_is_lost_is_made_again() {
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

/// Guards against a wave that takes a machine down while the only other task
/// of a step has been away for over a second, which exceeds what the step
/// allows. The executor of that task is silent but not known to be over; its
/// task must not count as running.
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

/// Runs that maintenance has ended start elsewhere long before the lease of
/// their executor expires. They don't start at once: the platform's statement
/// that maintenance was done may refer to an earlier call, and the executor
/// may be alive.
#[test]
fn what_maintenance_ends_is_started_elsewhere_soon() {
    let mut world = World::new(2);
    world.run(MACHINES_LISTED + 1_000);
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

/// Guards against a wave that is reported as succeeded although one of its
/// machines has not had its maintenance. The machine is in two waves. While it
/// is down for one of them, the list of machines shows it as down; that must
/// not count as maintenance for the other wave.
#[test]
fn the_maintenance_of_one_wave_is_not_that_of_another() {
    let mut world = World::new(1);
    world.run(50);
    world.event(wave(7, "x0"));
    world.event(wave(8, "x0"));
    world.run(20_000);
    assert!(world.waves[&7] && world.waves[&8], "both have succeeded");
    assert_eq!(world.maintained, ["x0", "x0"]);
}

/// Guards against tasks that run again after they were done. More tasks end on
/// one executor at a time than one report lists. The rest are listed neither
/// as running nor as ended, and must not be considered lost.
#[test]
fn ends_that_exceed_a_report_are_waited_for() {
    let mut world = World::new(1);
    world.run(50);
    let many = Step { count: 600, ..step(600, resources(1, 1)) };
    world.submit(job(1, "batch", vec![many]));
    world.run(20 * WORK);
    let again = world.starts.values().filter(|starts| **starts > 1).count();
    assert_eq!(again, 0, "tasks were started again");
}

/// Guards against an upgrade after which no node can lead: the executor list
/// that the previous version has left in the store must be readable.
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
        large_text_bytes: 16 << 20,
        max_waiting_tasks: 100_000,
        max_runs: 100_000,
        inherited_order_lifetime: 2 * LEASE,
        max_advice_batch: 100,
        min_commit_interval: 20,
        mechanisms: Mechanisms::default(),
    };
    let restored =
        Scheduler::restore(config, Arc::new(policy()), &[kept], 1_000);
    assert_eq!(restored.err(), None);
}

/// Guards against hundreds of renewals a second to one executor. While a
/// renewal that waits for an end is open, another incarnation is listed at the
/// executor's address, so the executor is asked again at once. It is unhealthy
/// and answers at once; an answer like that must not cause another renewal
/// without delay.
#[test]
fn an_executor_that_makes_no_report_is_not_asked_again_at_once() {
    let mut world = World::new(1);
    world.run(50);
    world.submit(job(1, "batch", vec![long(4 * LEASE)]));
    world.run(500);
    // A renewal that waits for an end is open.
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
    let sent = world.renewals - before;
    assert!(sent <= 10, "asked {sent} times in 300 ms");
}
