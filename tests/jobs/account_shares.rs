//! A full cell in which one account sends many times its usual load, and how
//! the other accounts are served. These tests simulate the decisions in
//! virtual time.

use std::collections::BTreeMap;
use std::ops::Range;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{
    Job, Mechanism, Mechanisms, Outcome, Queue, TaskKey,
};

use super::world::{account, job, owned_queue, resources, step, World};

const EXECUTORS: usize = 40;
/// The number of accounts. Their weights differ; the first is the largest.
const ACCOUNTS: usize = 20;
/// The durations of urgent (`SHORT`) and normal (`LONG`) tasks.
const SHORT: Millis = 600;
const LONG: Millis = 2_700;
/// The rates of jobs under normal load, which take four fifths of the cell.
const URGENT_PER_S: f64 = 15.0;
const NORMAL_PER_S: f64 = 3.7;
/// During a flood, the largest account sends this many times its usual load.
const FLOOD: f64 = 6.0;
/// The slack of an urgent job beyond its run time.
const TARGET: Millis = 250;
/// A normal job may wait for this long and meet its objective, since its queue
/// adds a second to four times the run time.
const SLACK: Millis = 3 * LONG + 1_000;
/// The interval at which the cell is observed.
const OBSERVATION_INTERVAL: Millis = 10;

fn name(at: usize) -> String {
    format!("a{at:02}")
}

fn weight(at: usize) -> f64 {
    1.0 / ((at + 1) as f64).powf(1.2)
}

/// A cell with accounts, an urgent queue and a normal queue.
fn world(executors: usize, mechanisms: Mechanisms) -> World {
    let mut world = World::with_mechanisms(executors, mechanisms);
    world.set_policy(|policy| {
        let urgent = Queue {
            priority: 0,
            stretch: 1.5,
            target: TARGET,
            ..owned_queue("preview")
        };
        let normal = Queue { stretch: 4.0, ..owned_queue("patient") };
        for queue in [urgent, normal] {
            policy.queues.insert(queue.name.clone(), queue);
        }
        for at in 0..ACCOUNTS {
            let mut account = account(&name(at), 0);
            account.weight = weight(at);
            policy.accounts.insert(account.name.clone(), account);
        }
    });
    world.run(200);
    world
}

fn job_of(id: u64, queue: &str, count: u32, time: Millis) -> Job {
    let mut work = step(count, resources(1_000, 100));
    work.estimate = time;
    job(id, queue, vec![work])
}

fn first_task(id: u64) -> TaskKey {
    format!("{id:016x}.0.0.0").parse().expect("a task")
}

/// A simulated load: the jobs that accounts submit, and their waits.
struct Simulation {
    world: World,
    /// The kinds of jobs that each account submits, and the fraction of the
    /// next job that is due.
    due: BTreeMap<(usize, bool), f64>,
    next: u64,
    /// Jobs that have not started: the account, whether it is urgent, and the
    /// time of submission.
    waiting: BTreeMap<u64, (usize, bool, Millis)>,
    /// How long jobs have waited for their first start.
    waited: BTreeMap<(usize, bool), Vec<Millis>>,
}

impl Simulation {
    fn new(mechanisms: Mechanisms) -> Simulation {
        Simulation {
            world: world(EXECUTORS, mechanisms),
            due: BTreeMap::new(),
            next: 1,
            waiting: BTreeMap::new(),
            waited: BTreeMap::new(),
        }
    }

    /// Simulates this much time, in which the first account sends `times` its
    /// usual load.
    fn simulate(&mut self, time: Millis, times: f64) {
        let sum: f64 = (0..ACCOUNTS).map(weight).sum();
        let end = self.world.now + time;
        while self.world.now < end {
            for at in 0..ACCOUNTS {
                for (urgent, per_s) in
                    [(true, URGENT_PER_S), (false, NORMAL_PER_S)]
                {
                    let times = if at == 0 { times } else { 1.0 };
                    let part = per_s * times * weight(at) / sum;
                    let due = self.due.entry((at, urgent)).or_default();
                    *due += part * OBSERVATION_INTERVAL as f64 / 1_000.0;
                    if *due >= 1.0 {
                        *due -= 1.0;
                        self.submit(at, urgent);
                    }
                }
            }
            self.world.run(OBSERVATION_INTERVAL);
            self.record_starts();
        }
    }

    fn submit(&mut self, at: usize, urgent: bool) {
        let id = self.next;
        self.next += 1;
        let job = match urgent {
            true => job_of(id, "preview", 3, SHORT),
            false => job_of(id, "patient", 10, LONG),
        };
        let request = self.world.submit_as(&name(at), job);
        let answer = self.world.replies.get(&request);
        if !matches!(answer, Some(Outcome::Refused(_))) {
            self.waiting.insert(id, (at, urgent, self.world.now));
        }
    }

    fn record_starts(&mut self) {
        let now = self.world.now;
        let starts = &self.world.starts;
        let waited = &mut self.waited;
        self.waiting.retain(|id, (at, urgent, since)| {
            let started = starts.contains_key(&first_task(*id));
            if started {
                let waited = waited.entry((*at, *urgent)).or_default();
                waited.push(now - *since);
            }
            !started
        });
    }

    /// The 90th percentile of the waits of all accounts but the first since
    /// the last call, including the jobs that still wait.
    fn others_waited(&mut self, urgent: bool) -> Millis {
        let kind = |at: usize, is: bool| at > 0 && is == urgent;
        let started = self.waited.iter();
        let started = started.filter(|((at, is), _)| kind(*at, *is));
        let started = started.flat_map(|(_, waited)| waited.iter().copied());
        let waiting = self.waiting.values();
        let waiting = waiting.filter(|(at, is, _)| kind(*at, *is));
        let now = self.world.now;
        let waiting = waiting.map(|(_, _, since)| now - since);
        let mut all: Vec<Millis> = started.chain(waiting).collect();
        all.sort_unstable();
        let p90 = all[all.len() * 9 / 10];
        self.waited.retain(|(at, is), _| !kind(*at, *is));
        p90
    }
}

/// Without any protection.
fn unprotected() -> Mechanisms {
    Mechanisms::all_except([
        Mechanism::CapacityShares,
        Mechanism::AccountShares,
    ])
}

/// Whether the urgent jobs of the others wait no longer than under normal load
/// plus the slack of their objective, and normal ones at most `longer` more.
fn others_are_served(
    simulation: &mut Simulation,
    baseline: (Millis, Millis),
    longer: Millis,
) -> bool {
    let (urgent, normal) =
        (simulation.others_waited(true), simulation.others_waited(false));
    urgent <= baseline.0 + TARGET && normal <= baseline.1 + longer
}

#[test]
fn a_flood_of_one_account_spares_the_others() {
    for (mechanisms, protected) in
        [(Mechanisms::default(), true), (unprotected(), false)]
    {
        let mut simulation = Simulation::new(mechanisms);
        simulation.simulate(8_000, 1.0);
        let baseline =
            (simulation.others_waited(true), simulation.others_waited(false));
        simulation.simulate(LONG, FLOOD);
        simulation.others_waited(false);
        simulation.simulate(8_000, FLOOD);
        // Lent capacity is returned as runs end.
        assert_eq!(
            others_are_served(&mut simulation, baseline, LONG),
            protected
        );
        let over_share =
            simulation.world.scheduler.counters().get("accounts_over_share");
        assert_eq!(over_share.is_some(), protected);
        simulation.world.assert_no_violations();
    }
}

/// A successor starts its averages at zero, and knows what accounts have
/// running once executors have answered.
#[test]
fn a_takeover_amid_a_flood_spares_the_others_again() {
    let mut simulation = Simulation::new(Mechanisms::default());
    simulation.simulate(8_000, 1.0);
    let baseline =
        (simulation.others_waited(true), simulation.others_waited(false));
    simulation.simulate(LONG, FLOOD);
    simulation.world.replace_leader();
    simulation.simulate(LONG, FLOOD);
    simulation.others_waited(true);
    simulation.others_waited(false);
    simulation.simulate(6_000, FLOOD);
    assert!(others_are_served(&mut simulation, baseline, SLACK));
    simulation.world.assert_no_violations();
}

#[test]
fn executors_that_leave_amid_a_flood_take_from_the_flood() {
    let mut simulation = Simulation::new(Mechanisms::default());
    simulation.simulate(8_000, 1.0);
    let baseline =
        (simulation.others_waited(true), simulation.others_waited(false));
    simulation.simulate(LONG, FLOOD);
    for at in 0..EXECUTORS / 8 {
        simulation.world.executors[at].dead = true;
    }
    simulation.simulate(2 * LONG, FLOOD);
    simulation.others_waited(true);
    simulation.others_waited(false);
    simulation.simulate(6_000, FLOOD);
    assert!(others_are_served(&mut simulation, baseline, SLACK));
    simulation.world.assert_no_violations();
}

/// Nothing is accepted during a store outage. The jobs that arrive in the
/// meantime must not let the flood overtake the others.
#[test]
fn a_store_that_was_away_amid_a_flood_leaves_the_shares() {
    let mut simulation = Simulation::new(Mechanisms::default());
    simulation.simulate(8_000, 1.0);
    let baseline =
        (simulation.others_waited(true), simulation.others_waited(false));
    simulation.simulate(LONG, FLOOD);
    simulation.world.store_down = true;
    simulation.simulate(1_000, FLOOD);
    simulation.world.store_up();
    simulation.simulate(LONG, FLOOD);
    simulation.others_waited(true);
    simulation.others_waited(false);
    simulation.simulate(6_000, FLOOD);
    assert!(others_are_served(&mut simulation, baseline, SLACK));
    simulation.world.assert_no_violations();
}

/// The processor time in use by the tasks of these jobs, in thousandths of a
/// core.
fn cpu_in_use(world: &World, jobs: impl Iterator<Item = u64>) -> usize {
    jobs.map(|id| world.executors_with(id).len() * 1_000).sum()
}

/// Two accounts of equal weight; the first has more jobs than there is
/// capacity.
fn two_accounts(executors: usize, jobs: u64) -> World {
    let mut world = world(executors, Mechanisms::default());
    world.set_policy(|policy| {
        for at in 0..2 {
            let account = account(&name(at), 0);
            policy.accounts.insert(account.name.clone(), account);
        }
    });
    for id in 1..=jobs {
        world.submit_as(&name(0), job_of(id, "patient", 1, LONG));
        world.run(OBSERVATION_INTERVAL);
    }
    world
}

#[test]
fn what_is_lent_comes_back_within_a_run_and_is_lent_again() {
    let mut world = two_accounts(10, 400);
    world.run(LONG);
    assert!(cpu_in_use(&world, 1..=400) >= 38_000, "all is lent");
    for id in 500..700 {
        world.submit_as(&name(1), job_of(id, "patient", 1, LONG));
    }
    world.run(LONG + LONG / 2);
    let back = cpu_in_use(&world, 500..700);
    assert!((16_000..=24_000).contains(&back), "half: {back}");
    world.run(40 * LONG);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

#[test]
fn urgent_work_of_an_account_over_its_share_goes_before_what_may_wait() {
    let mut world = two_accounts(2, 30);
    for id in 100..110 {
        world.submit_as(&name(1), job_of(id, "patient", 1, LONG));
    }
    // An account whose normal runs exceed its share has urgent jobs.
    world.submit_as(&name(0), job_of(200, "preview", 1, SHORT));
    while !world.starts.contains_key(&first_task(200)) {
        assert!(!world.starts.contains_key(&first_task(100)));
        world.run(OBSERVATION_INTERVAL);
    }
    world.run(40 * LONG);
    assert!(world.unfinished().is_empty());
}

#[test]
fn a_flood_of_urgent_work_goes_behind_what_may_wait_within_its_share() {
    for (mechanisms, protected) in
        [(Mechanisms::default(), true), (unprotected(), false)]
    {
        let mut world = world(4, mechanisms);
        world.set_policy(|policy| {
            for at in 0..2 {
                let account = account(&name(at), 0);
                policy.accounts.insert(account.name.clone(), account);
            }
        });
        for id in 1..=300 {
            world.submit_as(&name(0), job_of(id, "preview", 1, SHORT));
        }
        world.run(2 * SHORT);
        // The urgent jobs of the account alone use more than half of the
        // urgent total.
        world.submit_as(&name(1), job_of(400, "preview", 1, SHORT));
        for id in 500..510 {
            world.submit_as(&name(1), job_of(id, "patient", 1, LONG));
        }
        world.run(3 * SHORT);
        let start = |id: u64| world.starts.contains_key(&first_task(id));
        assert!(start(400));
        let normal = (500..510).filter(|id| start(*id)).count();
        assert_eq!(normal > 0, protected);
    }
}

/// Two accounts of equal weight, the first of which submits this many urgent
/// jobs at one moment. Returns the cell at the time by which the first of
/// these jobs could have run twice.
fn flooded(executors: usize, jobs: u64, start: Millis) -> World {
    let mut world = two_accounts(executors, 0);
    world.run(start);
    for id in 1..=jobs {
        world.submit_as(&name(0), job_of(id, "preview", 1, SHORT));
    }
    world.run(2 * SHORT);
    world
}

/// The number of these jobs that have started.
fn started(world: &World, jobs: Range<u64>) -> usize {
    let started = |id: &u64| world.starts.contains_key(&first_task(*id));
    jobs.filter(started).count()
}

/// Guards against a flood that occupies the whole cell until it has ended: its
/// tasks end together, so its account has nothing running whenever starts are
/// decided.
#[test]
fn patient_work_starts_in_a_flood_of_any_size_at_any_moment() {
    let mut late = Vec::new();
    for executors in [3, 4, 6, 10] {
        for jobs in [150, 300, 400, 600] {
            for start in (0..50).step_by(10) {
                let mut world = flooded(executors, jobs, start);
                for id in 5_000..5_010 {
                    world.submit_as(&name(1), job_of(id, "patient", 1, LONG));
                }
                world.run(3 * SHORT);
                if started(&world, 5_000..5_010) == 0 {
                    late.push((executors, jobs, start));
                }
            }
        }
    }
    assert!(late.is_empty(), "{} floods: {late:?}", late.len());
}

/// Guards against an account within its share that receives less than its
/// share during a flood. The share is half, give or take a task.
#[test]
fn an_account_gets_its_share_of_the_capacity_in_a_flood() {
    let mut short = Vec::new();
    for executors in [4, 10] {
        for start in (0..50).step_by(10) {
            let mut world = flooded(executors, 1_500, start);
            for id in 5_000..5_100 {
                world.submit_as(&name(1), job_of(id, "patient", 1, LONG));
            }
            world.run(3 * SHORT);
            let mut sum = 0;
            let observations = 2 * LONG / OBSERVATION_INTERVAL;
            for _ in 0..observations {
                world.run(OBSERVATION_INTERVAL);
                sum += cpu_in_use(&world, 5_000..5_100);
            }
            let part =
                sum as f64 / observations as f64 / (4_000 * executors) as f64;
            if !(0.4..=0.6).contains(&part) {
                short.push((executors, start, part));
            }
        }
    }
    assert!(short.is_empty(), "{short:?}");
}

/// The part of its share that an account can't use because of its limit is
/// lent.
#[test]
fn a_share_beyond_a_limit_is_lent() {
    let mut world = two_accounts(10, 0);
    world.set_policy(|policy| {
        let mut limited = account(&name(0), 4_000);
        limited.weight = 1.0;
        policy.accounts.insert(limited.name.clone(), limited);
    });
    for id in 1..=300 {
        let at = usize::from(id > 100);
        world.submit_as(&name(at), job_of(id, "patient", 1, LONG));
    }
    world.run(3 * LONG);
    assert_eq!(cpu_in_use(&world, 1..=100), 4_000);
    assert!(cpu_in_use(&world, 101..=300) >= 35_000);
    world.run(40 * LONG);
    assert!(world.unfinished().is_empty());
    world.assert_no_violations();
}

/// A gang of a small account obtains its capacity although a flood fills the
/// cell.
#[test]
fn a_gang_within_its_share_gets_capacity_in_a_flood() {
    let mut simulation = Simulation::new(Mechanisms::default());
    simulation.simulate(2_000, 1.0);
    simulation.simulate(LONG, FLOOD);
    let mut work = step(12, resources(2_000, 100));
    work.gang = true;
    work.estimate = LONG;
    let gang = job(100_000, "patient", vec![work]);
    simulation.world.submit_as(&name(1), gang);
    let since = simulation.world.now;
    while !simulation.world.starts.contains_key(&first_task(100_000)) {
        simulation.simulate(OBSERVATION_INTERVAL, FLOOD);
        let waited = simulation.world.now - since;
        assert!(waited < 3 * LONG, "its objective allows this wait");
    }
    simulation.world.assert_no_violations();
}

/// Without accounts, and in a cell with free capacity, all jobs start as
/// before.
#[test]
fn shares_change_nothing_where_nothing_competes() {
    let starts = |mechanisms: Mechanisms, owned: bool, jobs: u64| {
        let mut world = world(10, mechanisms);
        let mut starts = Vec::new();
        for id in 1..=jobs {
            let queue = match (owned, id % 3) {
                (true, 0) => "preview",
                (true, _) => "patient",
                (false, 0) => "urgent",
                (false, _) => "batch",
            };
            let job = job_of(id, queue, 1 + (id % 5) as u32, SHORT);
            match owned {
                true => world.submit_as(&name(id as usize % 3), job),
                false => world.submit(job),
            };
            for _ in 0..5 {
                world.run(OBSERVATION_INTERVAL);
                starts.push(world.starts.clone());
            }
        }
        starts
    };
    for (owned, jobs) in [(false, 120), (true, 10)] {
        let with = starts(Mechanisms::default(), owned, jobs);
        assert!(with == starts(unprotected(), owned, jobs));
    }
}
