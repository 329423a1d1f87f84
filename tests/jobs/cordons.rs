//! Data centres that accept no new work.

use puffinknot_core::jobs::{
    Cordon, CordonSource, Cordons, Event, JobState, MaintenanceWave, Outcome,
};

use super::world::{job, resources, step, World, LEASE, WORK};

const HALF: u32 = 2_000;

/// Whether all of these executors are in the first data centre.
fn all_in_first_dc(places: &[usize]) -> bool {
    places.iter().all(|at| at % 2 == 0)
}

fn cordons(dc: &str, since: u64) -> Cordons {
    let cordon = Cordon { dc: dc.into(), by: CordonSource::Platform };
    Cordons::default().with(cordon, since)
}

#[test]
fn the_set_of_the_higher_revision_is_right() {
    let none = Cordons::default();
    let read = none.read(Default::default(), 7);
    assert_eq!(read.since(), 7, "the absence of cordons is known now");
    let one = read
        .clone()
        .with(Cordon { dc: "d".into(), by: CordonSource::Command }, 9);
    assert!(one.covers("d") && !one.covers("e"));
    // Reading the same set again later changes nothing.
    let same = one.iter().map(|(cordon, at)| (cordon.clone(), at)).collect();
    assert_eq!(one.read(same, 30), one);
    // A page that is newer than the first page of its range.
    let newer =
        cordons("e", 50).iter().map(|(c, at)| (c.clone(), at)).collect();
    assert_eq!(one.read(newer, 40).since(), 50);
    let cordon = Cordon { dc: "d".into(), by: CordonSource::Platform };
    let both = one.with(cordon.clone(), 12);
    let less = both.less(&cordon, 20);
    assert!(less.covers("d"), "the cordon of the command remains");
    assert_eq!(less.since(), 20);
    // An absent cordon can't be removed.
    assert_eq!(less.clone().less(&cordon, 25), less);
}

#[test]
fn an_older_set_changes_nothing() {
    let mut world = World::in_two_dcs(4);
    world.scheduler.set_cordons(cordons("e", 5));
    world
        .scheduler
        .set_cordons(Cordons::default().read(Default::default(), 4));
    world.submit(job(1, "batch", vec![step(4, resources(HALF, 100))]));
    world.run(100);
    assert!(all_in_first_dc(&world.executors_with(1)));
    world.run(3 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
}

#[test]
fn new_work_goes_elsewhere_and_what_runs_runs_on() {
    let mut world = World::in_two_dcs(4);
    world.run(100);
    world.submit(job(1, "batch", vec![step(8, resources(HALF, 100))]));
    world.run(200);
    assert_eq!(world.executors_with(1), [0, 1, 2, 3]);
    world.set_cordoned("e", true);
    world.submit(job(2, "batch", vec![step(8, resources(HALF, 100))]));
    world.submit(job(3, "advised", vec![step(4, resources(HALF, 100))]));
    world.run(100);
    assert_eq!(world.executors_with(1), [0, 1, 2, 3], "it runs on");
    world.run(6 * WORK);
    for id in 1..=3 {
        assert_eq!(world.state(id), Some(JobState::Succeeded), "{id}");
    }
    assert_eq!(world.starts.values().sum::<u32>(), 20, "nothing starts again");
    world.set_cordoned("e", false);
    world.submit(job(4, "batch", vec![step(8, resources(HALF, 100))]));
    world.run(100);
    assert_eq!(world.executors_with(4), [0, 1, 2, 3]);
    world.assert_no_violations();
}

/// The job is accepted, and nobody knows for how long the data centre will be
/// away: the job waits, and others use the capacity in the meantime.
#[test]
fn a_gang_that_no_longer_fits_waits_for_the_data_centre() {
    let mut world = World::in_two_dcs(4);
    world.run(100);
    world.set_cordoned("e", true);
    let mut gang = step(6, resources(HALF, 100));
    gang.gang = true;
    world.submit(job(1, "batch", vec![gang]));
    world.submit(job(2, "batch", vec![step(4, resources(HALF, 100))]));
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Queued));
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    world.set_cordoned("e", false);
    world.run(4 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_gang_that_runs_across_the_border_runs_on() {
    let mut world = World::in_two_dcs(4);
    world.run(100);
    let mut gang = step(6, resources(HALF, 100));
    gang.gang = true;
    world.submit(job(1, "batch", vec![gang]));
    world.run(200);
    world.set_cordoned("e", true);
    world.run(2 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.starts.values().sum::<u32>(), 6, "nothing starts again");
    world.assert_no_violations();
}

#[test]
fn with_nowhere_left_jobs_are_refused_and_kept_ones_wait() {
    let mut world = World::in_two_dcs(2);
    world.run(100);
    world.store_down = true;
    let kept =
        world.submit(job(1, "batch", vec![step(4, resources(HALF, 100))]));
    world.run(10);
    for dc in ["d", "e"] {
        world.set_cordoned(dc, true);
    }
    world.store_up();
    let late =
        world.submit(job(2, "batch", vec![step(1, resources(HALF, 100))]));
    assert!(
        matches!(world.answer_to(late), Outcome::Refused(after) if after > 0)
    );
    world.run(10 * WORK);
    assert_eq!(world.answer_to(kept), Outcome::Accepted);
    assert_eq!(world.state(1), Some(JobState::Queued));
    world.set_cordoned("d", false);
    world.run(8 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_successor_starts_nothing_there() {
    let mut world = World::in_two_dcs(4);
    world.run(100);
    world.submit(job(1, "batch", vec![step(8, resources(HALF, 100))]));
    world.run(100);
    world.set_cordoned("e", true);
    world.submit(job(2, "batch", vec![step(8, resources(HALF, 100))]));
    world.run(20);
    world.replace_leader();
    world.run(8 * WORK);
    for id in 1..=2 {
        assert_eq!(world.state(id), Some(JobState::Succeeded), "{id}");
    }
    world.assert_no_violations();
}

/// An order that was lost is withdrawn where it may still arrive, and its task
/// goes elsewhere. An order whose answer was lost is waited for.
#[test]
fn an_order_in_flight_is_settled_with_its_executor() {
    let mut world = World::in_two_dcs(2);
    world.run(100);
    world.executors[1].isolated = true;
    world.submit(job(1, "batch", vec![step(4, resources(HALF, 100))]));
    world.run(5);
    world.set_cordoned("e", true);
    world.run(1_000);
    world.executors[1].isolated = false;
    world.run(6 * WORK);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.set_cordoned("e", false);
    world.run(LEASE);
    world.executors[1].lost_answers = 2;
    world.submit(job(2, "batch", vec![step(4, resources(HALF, 100))]));
    world.run(20);
    assert_eq!(world.executors_with(2), [0, 1]);
    world.set_cordoned("e", true);
    world.run(4 * WORK);
    assert_eq!(world.state(2), Some(JobState::Succeeded));
    assert_eq!(world.starts.values().sum::<u32>(), 8, "each task once");
    world.assert_no_violations();
}

#[test]
fn a_lasting_task_is_replaced_elsewhere() {
    let mut world = World::in_two_dcs(2);
    world.run(100);
    let mut lasting = step(2, resources(3_000, 100));
    lasting.lasting = true;
    world.submit(job(1, "batch", vec![lasting]));
    world.run(2 * WORK);
    assert_eq!(world.executors_with(1), [0, 1]);
    world.set_cordoned("e", true);
    world.run(2 * WORK);
    assert_eq!(world.executors_with(1), [0, 1], "it runs on");
    world.crash(1, "y1");
    world.executors[2].info.dc = "e".into();
    world.list_entry(2);
    world.run(4 * WORK);
    assert_eq!(
        world.executors_with(1),
        [0],
        "only the cordoned data centre has capacity"
    );
    world.set_cordoned("e", false);
    world.run(4 * WORK);
    assert_eq!(world.executors_with(1), [0, 2]);
    world.assert_no_violations();
}

#[test]
fn maintenance_goes_on_there() {
    let mut world = World::in_two_dcs(2);
    world.run(100);
    world.set_cordoned("e", true);
    world.event(Event::Wave(MaintenanceWave {
        wave: 1,
        machines: vec!["x1".into()],
        within: 3_000,
        most: 1,
    }));
    world.run(20_000);
    assert_eq!(world.maintained, ["x1"]);
    world.assert_no_violations();
}
