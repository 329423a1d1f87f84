//! Incarnations of executors that are considered over although they go on.
//! Each test covers one way by which a task may come to run on two executors
//! at once.

use puffinknot_core::jobs::{Event, JobState, MaintenanceWave, Step, TaskKey};

use super::world::{job, resources, step, World, LEASE};

/// The former incarnation at the address of [`LIVE`].
const FORMER: usize = 0;
/// The incarnation that runs the task.
const LIVE: usize = 1;
/// An executor with capacity for the task.
const OTHER: usize = 2;
/// After this time the leader has read which executor each machine hosts.
const MACHINES_LISTED: u64 = 4_500;
/// Within this time the leader looks for a silent executor in the list of
/// machines.
const MACHINE_LOOKUP: u64 = 4_500;
/// The duration of the task.
const LONG: u64 = 5_000;

fn task() -> TaskKey {
    "0000000000000001.0.0.0".parse().expect("a task")
}

fn submit_long(world: &mut World, work: u64) {
    let mut long = step(1, resources(3_000, 100));
    long.estimate = work;
    world.submit(job(1, "batch", vec![long]));
}

/// A cell in which an executor has crashed and its next incarnation runs a
/// long task. Another executor has capacity for that task.
fn next_incarnation_running() -> World {
    let mut world = World::new(1);
    world.run(50);
    world.crash(FORMER, "y1");
    world.run(100);
    submit_long(&mut world, LONG);
    world.run(200);
    world.add_executor("x9");
    world.list_entry(OTHER);
    world.run(200);
    assert!(world.executors[LIVE].runs(&task()));
    world
}

/// Two executors with addresses of their own. The first runs a long task that
/// ends before its lease would expire, and the second has capacity for it.
fn two_executors() -> World {
    let mut world = World::new(1);
    world.run(50);
    submit_long(&mut world, LONG);
    world.run(200);
    world.add_executor("x9");
    world.list_entry(1);
    world.run(200);
    assert!(world.executors[0].runs(&task()));
    world
}

/// Checks that the task runs to its end where it is.
fn check_ends_after_one_start(mut world: World) {
    world.run(LONG + LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task()], 1);
}

/// Isolates the live incarnation while another leader takes over and reads
/// these entries. The task must still end where it is.
fn check_ends_while_isolated(entries: &[usize]) {
    let mut world = next_incarnation_running();
    world.executors[LIVE].isolated = true;
    take_over_and_read(&mut world, entries, 0);
    world.run(2_500);
    world.executors[LIVE].isolated = false;
    check_ends_after_one_start(world);
}

/// Makes another leader take over and tells it of these entries in order.
fn take_over_and_read(world: &mut World, entries: &[usize], pause: u64) {
    world.take_over();
    for at in entries {
        world.list_entry(*at);
        world.run(pause);
    }
}

/// Guards against a task that runs on two executors after a change of leaders.
/// An executor has crashed and restarted at the same address, and its next
/// incarnation runs the task. The entry of the former incarnation is still in
/// the store when the successor reads the list, after that of the live one.
/// The successor must not consider the name that it does not know a newer
/// incarnation: it would give up what the live one runs and no longer wait for
/// its report.
#[test]
fn a_former_entry_read_last_at_a_takeover_ends_no_incarnation() {
    let mut world = next_incarnation_running();
    take_over_and_read(&mut world, &[LIVE, FORMER, OTHER], 0);
    check_ends_after_one_start(world);
}

/// Like the test above, but the entry of the former incarnation is read first:
/// the live one is enrolled anew, and its report has to be waited for.
#[test]
fn a_former_entry_read_first_at_a_takeover_ends_no_incarnation() {
    let mut world = next_incarnation_running();
    take_over_and_read(&mut world, &[FORMER, LIVE, OTHER], 0);
    check_ends_after_one_start(world);
}

/// Guards against the same fault. The successor is told of the former
/// incarnation first, and of the live one shortly after, when the former one
/// has been found to be over and nothing else is waited for.
#[test]
fn a_former_entry_told_before_the_living_one_ends_no_incarnation() {
    let mut world = next_incarnation_running();
    take_over_and_read(&mut world, &[FORMER, OTHER, LIVE], 40);
    check_ends_after_one_start(world);
}

/// Guards against a task that runs on two executors under a single leader. The
/// leader is told of the entry of a former incarnation once more, as it is of
/// all entries after some seconds, and must not consider it a newer
/// incarnation at the address of the live one.
#[test]
fn a_former_entry_told_once_more_ends_no_incarnation() {
    let mut world = next_incarnation_running();
    world.list_entry(FORMER);
    check_ends_after_one_start(world);
}

/// Like the test above, but then both entries are told alternately, many
/// times.
#[test]
fn entries_of_two_incarnations_told_in_turn_end_no_incarnation() {
    let mut world = next_incarnation_running();
    for _ in 0..3 {
        world.run(400);
        world.list_entry(FORMER);
        world.run(400);
        world.list_entry(LIVE);
    }
    check_ends_after_one_start(world);
}

/// Guards against a task that runs on two executors after a change of leaders,
/// while the executor that runs it is isolated. The executor can't show that
/// it is alive. The entry of its former incarnation is read, which must not
/// count as its end.
#[test]
fn a_former_entry_read_last_ends_no_incarnation_that_is_isolated() {
    check_ends_while_isolated(&[LIVE, FORMER, OTHER]);
}

/// Like the test above, but the entry of the former incarnation is read first.
#[test]
fn a_former_entry_read_first_ends_no_incarnation_that_is_isolated() {
    check_ends_while_isolated(&[FORMER, LIVE, OTHER]);
}

/// Like the test above, but only the successor can't reach the executor.
#[test]
fn a_former_entry_ends_no_incarnation_that_a_successor_cannot_reach() {
    let mut world = next_incarnation_running();
    world.executors[LIVE].isolated_from = Some(world.token + 1);
    take_over_and_read(&mut world, &[LIVE, FORMER, OTHER], 0);
    world.run(2_500);
    world.executors[LIVE].isolated_from = None;
    check_ends_after_one_start(world);
}

/// The same under a single leader: it is told of the entry of the former
/// incarnation once more while the live one is isolated from it.
#[test]
fn a_former_entry_told_once_more_ends_no_incarnation_that_is_isolated() {
    let mut world = next_incarnation_running();
    world.executors[LIVE].isolated_from = Some(world.token);
    world.run(300);
    world.list_entry(FORMER);
    world.run(2_000);
    world.executors[LIVE].isolated_from = None;
    check_ends_after_one_start(world);
}

/// Guards against a task that runs on two executors after a change of leaders.
/// The successor hears the executor once, by an answer that arrives after its
/// renewal has timed out. The next renewal is already open then and grants no
/// lease, like the first. Then the executor is isolated. This leader term has
/// granted it no lease, so the end of its lease is still zero; what the
/// predecessor started there must not count as expired.
#[test]
fn silence_before_the_first_lease_is_no_lapse() {
    let mut world = two_executors();
    // An answer takes 900 ms, and a renewal times out after 700 ms.
    world.executors[0].answer_delay = Some(200);
    world.replace_leader();
    world.run(800);
    // The answer to the first renewal is in flight.
    world.executors[0].isolated = true;
    world.run(3_000);
    world.executors[0].isolated = false;
    world.executors[0].answer_delay = None;
    check_ends_after_one_start(world);
}

/// Like the test above, but the executor is no longer in the store when it
/// falls silent. Its incarnation must not be considered over, either.
#[test]
fn silence_of_an_unlisted_executor_before_its_first_lease_is_no_lapse() {
    let mut world = two_executors();
    world.executors[0].answer_delay = Some(200);
    world.replace_leader();
    world.run(800);
    world.executors[0].isolated = true;
    let id = world.executors[0].info.id.clone();
    world.event(Event::Unlisted(id));
    world.run(3_000);
    world.executors[0].isolated = false;
    world.executors[0].answer_delay = None;
    world.list_entry(0);
    check_ends_after_one_start(world);
}

/// Guards against a task that runs on two executors under a single leader. The
/// executor that runs it is isolated, and the list of machines shows its
/// machine as up without an executor. The executor must not be considered gone
/// before its lease has expired.
#[test]
fn a_machine_without_an_executor_ends_no_incarnation() {
    let mut world = two_executors();
    world.listed_executors.insert("x0".into(), String::new());
    world.executors[0].isolated = true;
    world.run(LONG + 2_000);
    world.assert_no_violations();
}

/// Like the test above, but the list still shows the former incarnation on
/// that machine.
#[test]
fn a_machine_that_shows_a_former_incarnation_ends_no_incarnation() {
    let mut world = next_incarnation_running();
    world.listed_executors.insert("x0".into(), "x0".into());
    world.executors[LIVE].isolated = true;
    world.run(LONG + 2_000);
    world.assert_no_violations();
}

/// Guards against a task that runs on two executors after a change of leaders.
/// The executor that runs it is unreachable for a second, and the list of
/// machines shows its former incarnation. If the successor considers it gone
/// before it has heard it, it has nothing left to wait for.
#[test]
fn a_list_that_lags_at_a_takeover_ends_no_incarnation() {
    let mut world = next_incarnation_running();
    world.listed_executors.insert("x0".into(), "x0".into());
    world.executors[LIVE].isolated = true;
    world.replace_leader();
    world.run(2_500);
    world.executors[LIVE].isolated = false;
    check_ends_after_one_start(world);
}

/// Guards against a task that runs on two executors during a maintenance wave.
/// A machine has its maintenance under one leader, whose successor does not
/// know that and makes the call again. The call returns Ok, because it has
/// already been carried out; the incarnation that started after the
/// maintenance must not be considered over.
#[test]
fn maintenance_carried_out_before_ends_no_later_incarnation() {
    let wave = MaintenanceWave {
        wave: 7,
        machines: vec!["x0".into()],
        within: 1_000,
        most: 1,
    };
    let mut world = World::new(1);
    world.run(50);
    world.event(Event::Wave(wave.clone()));
    // The machine is down at once, and its next executor starts after two
    // seconds. The machine is not listed as done by then.
    world.run(600);
    assert_eq!(world.maintained, ["x0"]);
    world.run(1_600);
    let newest = world.executors.len() - 1;
    assert_eq!(newest, LIVE);
    submit_long(&mut world, 3 * LEASE);
    world.run(200);
    assert!(world.executors[LIVE].runs(&task()));
    world.add_executor("x9");
    world.replace_leader();
    world.event(Event::Wave(wave));
    world.run(3 * LEASE + 1_000);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task()], 1);
    assert_eq!(world.maintained, ["x0"]);
}

/// The same under a single leader. Its first call takes effect late and left
/// unanswered, and the list of machines is unavailable until the machine is
/// back. By the time of the second call the task has moved to the machine's
/// new executor, and the wave is late.
#[test]
fn maintenance_carried_out_late_ends_no_later_incarnation() {
    let wave = MaintenanceWave {
        wave: 7,
        machines: vec!["x0".into()],
        within: 1_000,
        most: 1,
    };
    let mut world = World::new(1);
    world.run(50);
    world.late_maintenance_calls = 1;
    world.event(Event::Wave(wave));
    world.run(1_000);
    world.list_unavailable = true;
    // The call is carried out after 1.5 s, and the maintenance takes 2 s.
    world.run(2_700);
    assert_eq!(world.maintained, ["x0"]);
    assert_eq!(world.executors.len() - 1, LIVE);
    submit_long(&mut world, LONG);
    world.run(100);
    assert!(world.executors[LIVE].runs(&task()));
    world.add_executor("x9");
    world.list_entry(OTHER);
    world.list_unavailable = false;
    check_ends_after_one_start(world);
}

/// Guards against a task that runs on two executors after a change of leaders.
/// The former leader considers the executor gone, since the list of machines
/// shows its machine without an executor, and there is no capacity for the
/// task elsewhere. If the executor list that it leaves in the store lacks the
/// executor that runs the task, the successor has nothing to wait for.
#[test]
fn an_executor_that_a_predecessor_took_for_gone_is_waited_for() {
    let mut world = World::new(1);
    world.run(50);
    submit_long(&mut world, LONG);
    world.run(200);
    world.add_executor("x9");
    world.executors[1].info.capacity = resources(1_000, 8_000);
    world.list_entry(1);
    world.run(100);
    assert!(world.executors[0].runs(&task()));
    world.listed_executors.insert("x0".into(), String::new());
    world.executors[0].isolated = true;
    world.run(4_200);
    assert!(world.executors[0].runs(&task()));
    // The entry of the executor has expired; another executor has capacity by
    // now.
    world.add_executor("x10");
    take_over_and_read(&mut world, &[1, 2], 0);
    world.run(400);
    world.listed_executors.clear();
    world.executors[0].isolated = false;
    world.list_entry(0);
    world.run(LONG + LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

/// Like the test above, but the former leader considers the live executor over
/// because of the entry of its former incarnation.
#[test]
fn an_executor_that_a_predecessor_took_for_replaced_is_waited_for() {
    let mut world = World::new(1);
    world.run(50);
    world.crash(FORMER, "y1");
    world.run(100);
    submit_long(&mut world, LONG);
    world.run(200);
    world.list_entry(FORMER);
    world.run(100);
    assert!(world.executors[LIVE].runs(&task()));
    world.add_executor("x9");
    take_over_and_read(&mut world, &[OTHER], 0);
    world.run(400);
    world.list_entry(LIVE);
    check_ends_after_one_start(world);
}

/// The machine of an executor goes down, and the list of machines shows that:
/// its tasks start elsewhere long before its lease expires.
#[test]
fn a_machine_that_is_off_ends_the_incarnation_there() {
    let mut world = two_executors();
    world.run(MACHINES_LISTED);
    world.die(0);
    world.powered_off.insert("x0".into());
    world.run(MACHINE_LOOKUP);
    assert_eq!(world.starts[&task()], 2);
    world.assert_no_violations();
}

/// Like the test above, but a successor takes over at that moment. It knows
/// from its predecessor which machine hosted the executor.
#[test]
fn a_successor_knows_which_machines_executors_are_on() {
    let mut world = two_executors();
    world.run(MACHINES_LISTED);
    world.die(0);
    world.powered_off.insert("x0".into());
    world.replace_leader();
    world.run(MACHINE_LOOKUP);
    assert_eq!(world.starts[&task()], 2);
    world.assert_no_violations();
}

/// An executor that no list of machines has shown yet, and that is no longer
/// in the store, becomes isolated: its tasks go on until its lease has
/// expired.
#[test]
fn an_executor_that_no_list_has_shown_ends_by_its_lease() {
    let mut world = two_executors();
    world.unlisted.insert("x0".into());
    world.run(MACHINES_LISTED - 1_000);
    let id = world.executors[0].info.id.clone();
    world.event(Event::Unlisted(id));
    world.executors[0].isolated = true;
    world.run(LEASE - 1_500);
    world.assert_no_violations();
    assert_eq!(world.starts[&task()], 1, "its lease has not expired");
}

/// A machine returns with another incarnation, which listens elsewhere. Once
/// that one answers, the former incarnation is over.
#[test]
fn another_incarnation_that_answers_on_the_machine_ends_the_former() {
    let mut world = two_executors();
    world.run(MACHINES_LISTED);
    world.die(0);
    world.add_executor("y1");
    let next = world.executors.len() - 1;
    world.listed_executors.insert("x0".into(), "y1".into());
    world.run(MACHINE_LOOKUP);
    assert_eq!(world.starts[&task()], 1, "it has not answered yet");
    world.list_entry(next);
    world.run(MACHINE_LOOKUP);
    assert_eq!(world.starts[&task()], 2);
    world.assert_no_violations();
}

/// An executor remains in use after maintenance that was carried out before:
/// there is no further call for its machine.
#[test]
fn an_executor_is_used_again_after_its_wave() {
    let wave = MaintenanceWave {
        wave: 7,
        machines: vec!["x0".into()],
        within: 1_000,
        most: 1,
    };
    let mut world = World::new(1);
    world.run(50);
    world.event(Event::Wave(wave.clone()));
    world.run(600);
    // The successor does not hear of it, and makes the call again.
    world.replace_leader();
    world.event(Event::Wave(wave));
    world.run(3 * LEASE);
    assert!(world.waves[&7], "the wave has succeeded");
    submit_long(&mut world, LONG);
    world.run(LONG + LEASE);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// An executor whose clock loses two percent runs for longer than it was told,
/// under one leader and under its successor. The leader's calculation of
/// leases covers that.
#[test]
fn a_slow_clock_is_no_reason_to_run_twice() {
    for replaced in [false, true] {
        let mut world = World::new(2);
        world.executors[0].clock_loss = 20;
        world.executors[1].clock_loss = 20;
        world.run(20_000);
        submit_long(&mut world, 3 * LEASE);
        world.run(1_500);
        let at = usize::from(!world.executors[0].runs(&task()));
        world.executors[at].isolated = true;
        if replaced {
            world.replace_leader();
        }
        world.run(5 * LEASE);
        assert_eq!(world.starts[&task()], 2, "it starts elsewhere");
        world.assert_no_violations();
    }
}

/// The first run of a task fails shortly after its executor has made a report
/// that still lists it. That report is delayed. The next one is not, and it
/// makes the leader start the task again on the same executor.
fn late_report_of_a_failed_run() -> World {
    let mut world = World::new(1);
    world.run(50);
    world.failing.insert(task(), 1);
    submit_long(&mut world, 2_500);
    // Answers take 2.2 s, and a renewal times out after 0.7 s.
    world.executors[0].answer_delay = Some(1_500);
    world.run(1_200);
    world.executors[0].answer_delay = None;
    world
}

/// Guards against a run that is stopped needlessly. A late report lists an
/// earlier run of its task on the same executor, which has failed since. If
/// that run replaces the later one among the runs of the executor, the later
/// one is unknown when the next report lists it.
#[test]
fn a_report_that_comes_late_stops_no_later_run() {
    let mut world = late_report_of_a_failed_run();
    world.run(3 * LEASE);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task()], 2, "one failed, one was done");
    world.assert_no_violations();
}

/// Guards against a task that never starts again, so that its job never ends.
/// The events are those of the test above; then the executor crashes before it
/// has listed the later run. That run must be among those that are given up
/// with the executor.
#[test]
fn a_report_that_comes_late_loses_no_later_run() {
    let mut world = late_report_of_a_failed_run();
    world.run(2_020);
    assert_eq!(world.starts[&task()], 2);
    world.crash(0, "y1");
    world.run(3 * LEASE);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// Guards against a task that starts again after its end was written. A
/// superseded leader does not know that it is superseded and has not heard one
/// executor yet. Its successor adopts the task there and writes that it is
/// done. Then the executor crashes, and its next incarnation answers the
/// superseded leader. Nothing is left to wait for, so the superseded leader
/// may start the task on an executor that its successor has not reached yet.
#[test]
fn a_superseded_leader_starts_nothing_for_the_end_of_an_incarnation() {
    let mut world = two_executors();
    world.executors[0].isolated_from = Some(world.token + 1);
    world.replace_leader();
    world.run(100);
    world.executors[1].isolated_from = Some(world.token + 1);
    world.replace_leader();
    // The successor hears of the end.
    world.run(LONG);
    world.crash(0, "y1");
    world.executors[0].isolated_from = None;
    world.run(2_000);
    world.executors[1].isolated_from = None;
    world.run(2 * LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.starts[&task()], 1);
}

/// Guards against a gang member that runs on two executors after a change of
/// leaders. While the successor is still hearing executors, one with a member
/// crashes, so the successor stops the other members. Another member is heard
/// of only then and is stopped. If it is not counted, the whole gang starts
/// again once the members stopped before have ended, while that one is still
/// running.
#[test]
fn a_member_that_is_heard_of_last_is_waited_for() {
    // A stop takes 200 ms; a silent executor is asked again within 1.3 s.
    for crashes_after in (50..1_500).step_by(25) {
        let mut world = World::new(5);
        let gang = Step { gang: true, max_per_executor: 1, ..long_gang() };
        world.submit(job(1, "batch", vec![gang]));
        world.run(200);
        let members = world.executors_with(1);
        assert_eq!(members.len(), 3);
        world.executors[members[0]].isolated_from = Some(world.token + 1);
        world.replace_leader();
        world.run(50);
        world.executors[members[0]].isolated_from = None;
        world.run(crashes_after);
        world.crash(members[1], "y1");
        world.run(3 * LONG);
        world.assert_no_violations();
        assert_eq!(world.state(1), Some(JobState::Succeeded));
    }
}

fn long_gang() -> Step {
    Step { estimate: LONG, ..step(3, resources(3_000, 100)) }
}

/// Guards against a task that starts again, eight seconds in one case, after
/// one of its runs was reported done and that end was acknowledged.
///
/// The executor is silent, and the list shows its machine as down, as it does
/// for an executor that leaves. Its incarnation counts as over, and the task
/// starts elsewhere. The former executor is heard after all and reports that
/// its run is done, and the leader acknowledges that. Then the later run,
/// whose start never arrived, is missing from a report and is lost. If only a
/// failure of an earlier run counts while a later one is placed, the task
/// starts a third time.
#[test]
fn an_earlier_run_that_is_done_ends_its_task() {
    let mut world = two_executors();
    world.run(MACHINES_LISTED);
    submit_second(&mut world);
    world.run(100);
    let first = (0..2).find(|at| world.executors[*at].runs(&second()));
    let first = first.expect("it runs");
    world.executors[first].isolated = true;
    // Its run ends before its machine is shown as down.
    world.run(SECOND);
    world.powered_off.insert(world.executors[first].info.address.clone());
    let other = 1 - first;
    let mut waited = 0;
    while !world.executors[other].runs(&second()) && waited < MACHINE_LOOKUP {
        world.run(10);
        waited += 10;
    }
    assert!(world.executors[other].runs(&second()));
    // It is heard after all, and its run is done by then.
    world.executors[first].isolated = false;
    world.powered_off.clear();
    world.list_entry(first);
    world.run(SECOND / 2);
    world.crash(other, "y8");
    world.run(LONG + LEASE);
    world.assert_no_violations();
    assert_eq!(world.state(2), Some(JobState::Succeeded));
}

fn second() -> TaskKey {
    "0000000000000002.0.0.0".parse().expect("a task")
}

/// The duration of the second task.
const SECOND: u64 = 800;

/// A task that ends while its executor is not heard.
fn submit_second(world: &mut World) {
    let mut work = step(1, resources(900, 100));
    work.estimate = SECOND;
    world.submit(job(2, "batch", vec![work]));
}

/// The name of an executor that the leader has not found on a machine before
/// it is lost.
const NEWCOMER: &str = "x9";

/// A cell whose newest executor is gone before a list of machines has shown
/// it.
fn newcomer_gone() -> World {
    let mut world = World::new(1);
    world.run(MACHINES_LISTED);
    world.add_executor(NEWCOMER);
    world.list_entry(1);
    world.run(500);
    world.executors[1].leave();
    world.unlisted.insert(NEWCOMER.into());
    world
}

/// Replaces the leader after the newest executor has gone, and removes the
/// entry of that executor. Returns once the successor has had time to look for
/// it. `change` is applied before the takeover.
fn newcomer_lost_with_the_leader(change: impl Fn(&mut World)) -> World {
    let mut world = newcomer_gone();
    change(&mut world);
    world.replace_leader();
    world.list_entry(1);
    world.run(1_000);
    world.event(Event::Unlisted(NEWCOMER.into()));
    world.run(MACHINE_LOOKUP);
    world
}

/// Guards against a takeover that holds back all inherited tasks until the
/// orders to an executor have expired, although it has gone for good.
#[test]
fn a_newcomer_that_has_gone_does_not_delay_a_takeover() {
    let world = newcomer_lost_with_the_leader(|_| ());
    assert!(world.scheduler.takeover_complete());
    world.assert_no_violations();
}

/// An executor that is cut off loses its entry, and what it runs goes on.
#[test]
fn a_newcomer_that_is_silent_delays_a_takeover() {
    let world = newcomer_lost_with_the_leader(|world| {
        world.executors[1].dead = false;
        world.executors[1].resets_connections = false;
        world.executors[1].isolated = true;
    });
    assert!(!world.scheduler.takeover_complete());
}

/// Whatever refuses connections at its address, it is on a machine.
#[test]
fn a_newcomer_that_a_list_shows_delays_a_takeover() {
    let world = newcomer_lost_with_the_leader(|world| {
        world.unlisted.clear();
    });
    assert!(!world.scheduler.takeover_complete());
}

/// A list of machines may be incomplete, and an address may be wrong.
#[test]
fn a_newcomer_that_the_store_lists_delays_a_takeover() {
    let mut world = newcomer_gone();
    world.replace_leader();
    world.list_entry(1);
    world.run(MACHINE_LOOKUP);
    assert!(!world.scheduler.takeover_complete());
}
