//! Overload: which jobs are refused, when refused clients retry, and how
//! accepted jobs are served.

use std::collections::BTreeMap;

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{JobId, Mechanism, Mechanisms, Outcome, Repeats};

use super::world::{
    account, job, owned_queue, resources, step, World,
    INHERITED_ORDER_LIFETIME, WORK,
};

/// The objective of each job here: twice its work plus a second.
const OBJECTIVE: Millis = 2 * WORK + 1_000;
/// An end later than this is not useful.
const USEFUL_FOR: Millis = 3 * OBJECTIVE;
/// The number of tasks of a job. Each needs one core.
const TASKS: u32 = 4;
/// Each executor has four cores, so the cell does this many jobs a second.
const EXECUTORS: usize = 8;
const JOBS_PER_S: u64 = 1_000 / WORK * (EXECUTORS as u64) * 4 / TASKS as u64;
/// The most retries of a client.
const RETRIES: u32 = 4;

/// A job that clients submit.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    id: u64,
    queue: &'static str,
    account: Option<&'static str>,
}

/// The result of a job.
#[derive(Clone, Copy, Debug, Default)]
struct JobResult {
    first: Millis,
    accepted: Option<Millis>,
    refusals: u32,
    ended: Option<Millis>,
}

impl JobResult {
    fn response_time(&self) -> Option<Millis> {
        Some(self.ended?.saturating_sub(self.first))
    }

    fn in_time(&self) -> bool {
        self.response_time()
            .is_some_and(|response_time| response_time <= OBJECTIVE)
    }

    fn useful(&self) -> bool {
        self.response_time()
            .is_some_and(|response_time| response_time <= USEFUL_FOR)
    }
}

/// The results of all jobs of a simulation.
struct Results(BTreeMap<u64, (Arrival, JobResult)>);

impl Results {
    fn count(&self, which: impl Fn(&Arrival, &JobResult) -> bool) -> usize {
        self.0
            .values()
            .filter(|(arrival, result)| which(arrival, result))
            .count()
    }

    fn in_time(&self) -> usize {
        self.count(|_, result| result.in_time())
    }

    fn useful(&self) -> usize {
        self.count(|_, result| result.useful())
    }

    /// Jobs that were accepted while they were useful, and not done while they
    /// were.
    fn wrongly_accepted(&self) -> usize {
        self.count(|_, result| {
            let since = result.accepted.map(|at| at - result.first);
            since.is_some_and(|since| since <= USEFUL_FOR) && !result.useful()
        })
    }

    fn refused(&self) -> usize {
        self.count(|_, result| result.accepted.is_none())
    }
}

/// Simulates arrivals, with clients that retry when they are told to, in whole
/// seconds, until everything accepted is done.
struct Simulation {
    world: World,
    due: BTreeMap<(Millis, u64), Arrival>,
    results: BTreeMap<u64, (Arrival, JobResult)>,
    open_requests: BTreeMap<u64, u64>,
}

impl Simulation {
    fn new(world: World, arrivals: &[Arrival]) -> Simulation {
        let due = arrivals.iter().map(|a| ((a.at, a.id), *a)).collect();
        let result = |a: &Arrival| {
            (*a, JobResult { first: a.at, ..JobResult::default() })
        };
        let results = arrivals.iter().map(|a| (a.id, result(a))).collect();
        Simulation { world, due, results, open_requests: BTreeMap::new() }
    }

    fn submit(&mut self, arrival: Arrival) {
        let work = vec![step(TASKS, resources(1_000, 100))];
        let job = job(arrival.id, arrival.queue, work);
        let request = match arrival.account {
            Some(account) => self.world.submit_as(account, job),
            None => self.world.submit(job),
        };
        self.open_requests.insert(request, arrival.id);
    }

    fn process_answers(&mut self) {
        let (world, now) = (&self.world, self.world.now);
        let answered =
            self.open_requests.iter().filter_map(|(request, id)| {
                Some((*request, *id, *world.replies.get(request)?))
            });
        let answered: Vec<(u64, u64, Outcome)> = answered.collect();
        for (request, id, outcome) in answered {
            self.open_requests.remove(&request);
            let (arrival, result) = self.results.get_mut(&id).expect("known");
            match outcome {
                Outcome::Accepted => result.accepted = Some(now),
                Outcome::Refused(after) => {
                    result.refusals += 1;
                    if result.refusals <= RETRIES {
                        let wait = after.div_ceil(1_000) * 1_000;
                        self.due.insert((now + wait, id), *arrival);
                    }
                }
                other => panic!("{id}: {other:?}"),
            }
        }
    }

    fn run_until(&mut self, end: Millis) {
        while self.world.now < end {
            let now = self.world.now;
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                let arrival = entry.remove();
                self.submit(arrival);
            }
            self.world.run(10);
            self.process_answers();
        }
    }

    fn finish(mut self, end: Millis) -> Results {
        self.run_until(end);
        self.world.assert_no_violations();
        for (id, (_, result)) in &mut self.results {
            result.ended = self.world.ended_at.get(&JobId(*id)).copied();
        }
        Results(self.results)
    }
}

fn all_except(disabled: &[Mechanism]) -> Mechanisms {
    Mechanisms::all_except(disabled.iter().copied())
}

/// A cell with four accounts of equal weight, `a0` to `a3`.
fn world(disabled: &[Mechanism]) -> World {
    let mut world = World::with_mechanisms(EXECUTORS, all_except(disabled));
    world.set_policy(|policy| {
        for name in ACCOUNTS {
            let mut account = account(name, 0);
            account.weight = JOBS_PER_S as f64 / 4.0;
            policy.accounts.insert(name.into(), account);
        }
        let mut urgent = owned_queue("owned-urgent");
        urgent.priority = 0;
        policy.queues.insert(urgent.name.clone(), urgent);
    });
    world.run(200);
    world
}

const ACCOUNTS: [&str; 4] = ["a0", "a1", "a2", "a3"];

/// Arrivals at an even rate per second, starting at `from`, for `lasting`.
fn stream(
    first_id: u64,
    per_s: u64,
    from: Millis,
    lasting: Millis,
    queue: &'static str,
    account: Option<&'static str>,
) -> Vec<Arrival> {
    let jobs = per_s * lasting / 1_000;
    let arrivals = (0..jobs).map(|n| Arrival {
        at: from + n * 1_000 / per_s,
        id: first_id + n,
        queue,
        account,
    });
    arrivals.collect()
}

#[test]
fn nothing_is_refused_while_there_is_capacity() {
    let mut arrivals =
        stream(1, JOBS_PER_S * 8 / 10, 2_000, 8_000, "batch", None);
    // A burst that is worked off within the objectives.
    arrivals.extend(stream(10_000, 40, 4_000, 500, "batch", None));
    let results = Simulation::new(world(&[]), &arrivals).finish(20_000);
    assert_eq!(results.refused(), 0);
    assert_eq!(results.useful(), arrivals.len());
}

/// Three times the cell's throughput, for a time of several objectives, with
/// and without refusals. With refusals, at most a few percent fewer jobs are
/// served, and most of the accepted ones are.
#[test]
fn what_cannot_be_served_is_refused_and_what_can_is_not() {
    let arrivals = stream(1, 3 * JOBS_PER_S, 2_000, 16_000, "batch", None);
    let disabled = [Mechanism::Admission, Mechanism::ReturnTimes];
    let end = 80_000;
    let with = Simulation::new(world(&[]), &arrivals).finish(end);
    let all = Simulation::new(world(&disabled), &arrivals).finish(end);
    println!(
        "with: {} in time, {} of use, {} wrongly accepted, {} refused; \
         without: {}, {}, {}, {}; of {}",
        with.in_time(),
        with.useful(),
        with.wrongly_accepted(),
        with.refused(),
        all.in_time(),
        all.useful(),
        all.wrongly_accepted(),
        all.refused(),
        arrivals.len(),
    );
    assert_eq!(all.refused(), 0);
    assert!(with.useful() * 100 >= all.useful() * 98);
    assert!(with.in_time() * 100 >= all.in_time() * 98);
    assert!(with.wrongly_accepted() * 4 <= all.wrongly_accepted());
}

/// Simulates overloads of several strengths, lengths and beginnings, and fails
/// if too few jobs are served or too many are wrongly accepted.
fn assert_overloads_served(
    queue: &'static str,
    account: Option<&'static str>,
) {
    let overloads =
        [(2, 16_000), (3, 8_000), (3, 16_000), (3, 30_000), (5, 16_000)];
    let beginnings = [2_000, 2_130, 2_370];
    let disabled = [Mechanism::Admission, Mechanism::ReturnTimes];
    let mut failed = Vec::new();
    for (times, lasting) in overloads {
        for from in beginnings {
            let rate = times * JOBS_PER_S;
            let arrivals = stream(1, rate, from, lasting, queue, account);
            let end = from + lasting + 60_000;
            let with = Simulation::new(world(&[]), &arrivals).finish(end);
            let all = Simulation::new(world(&disabled), &arrivals).finish(end);
            let row = format!(
                "{times} times the throughput for {lasting} ms from {from}: \
                 with: {} in time, {} useful, {} wrongly accepted, {} \
                 refused; without: {}, {}, {}; of {}",
                with.in_time(),
                with.useful(),
                with.wrongly_accepted(),
                with.refused(),
                all.in_time(),
                all.useful(),
                all.wrongly_accepted(),
                arrivals.len(),
            );
            println!("{row}");
            if with.useful() * 100 < all.useful() * 98
                || with.in_time() * 100 < all.in_time() * 98
                || with.wrongly_accepted() * 4 > all.wrongly_accepted()
            {
                failed.push(row);
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against jobs that are accepted and never useful, and against refused
/// clients that return when they can't be served any more, for overloads other
/// than the one above.
#[test]
fn overloads_of_other_strengths_and_lengths_are_served() {
    assert_overloads_served("batch", None);
}

/// The same for the jobs of a client account.
#[test]
fn overloads_of_one_account_are_served() {
    assert_overloads_served("owned", Some(ACCOUNTS[0]));
}

/// One account sends six times its share. Its own jobs are refused, none of
/// the others' are, and the others are served as if it did not.
#[test]
fn an_account_over_its_share_is_refused_first() {
    let quiet = JOBS_PER_S / 8;
    let mut arrivals = Vec::new();
    for (number, name) in ACCOUNTS[1..].iter().enumerate() {
        let first = 100_000 * (number as u64 + 1);
        let some = stream(first, quiet, 2_000, 16_000, "owned", Some(*name));
        arrivals.extend(some);
    }
    let hot = JOBS_PER_S * 6 / 4;
    let flood = stream(1, hot, 4_000, 10_000, "owned", Some("a0"));
    arrivals.extend(flood);
    let results = Simulation::new(world(&[]), &arrivals).finish(60_000);
    let hot = |arrival: &Arrival| arrival.account == Some("a0");
    let refused = results.count(|_, f| f.refusals > 0);
    let refused_hot = results.count(|a, f| hot(a) && f.refusals > 0);
    println!(
        "{refused_hot} of {refused} refused at first are of the hot account; \
         {} wrongly accepted of {}",
        results.wrongly_accepted(),
        arrivals.len()
    );
    assert!(refused_hot > 0);
    assert_eq!(refused, refused_hot);
    let late = results.count(|a, f| !hot(a) && !f.in_time());
    assert_eq!(late, 0);
}

/// Jobs that run at fixed times, or that last, are accepted whatever the
/// backlog.
#[test]
fn timed_and_lasting_jobs_are_never_refused() {
    let flood = stream(1, 6 * JOBS_PER_S, 2_000, 6_000, "batch", None);
    let mut simulation = Simulation::new(world(&[]), &flood);
    simulation.run_until(7_000);
    let refused = |simulation: &Simulation| {
        simulation
            .results
            .values()
            .filter(|(_, result)| result.refusals > 0)
            .count()
    };
    assert!(refused(&simulation) > 0);
    let mut timed = job(50_000, "batch", vec![step(1, resources(100, 10))]);
    timed.repeats = Some(Repeats { first: 9_000, every: 500, times: 2 });
    let mut lasting = step(1, resources(100, 10));
    lasting.lasting = true;
    let lasting = job(50_001, "batch", vec![lasting]);
    for job in [timed, lasting] {
        let id = simulation.world.submit(job);
        simulation.world.run(200);
        assert_eq!(simulation.world.answer_to(id), Outcome::Accepted);
    }
}

/// Refused clients retry spread over the time in which there is capacity, in
/// the order in which they came.
#[test]
fn refused_clients_come_back_in_turn() {
    let flood = stream(1, 6 * JOBS_PER_S, 2_000, 4_000, "batch", None);
    let mut simulation = Simulation::new(world(&[]), &flood);
    simulation.run_until(6_100);
    let returns: Vec<(u64, Millis)> = simulation
        .due
        .iter()
        .filter(|(_, arrival)| simulation.results[&arrival.id].1.refusals == 1)
        .map(|((at, id), _)| (*id, *at))
        .collect();
    assert!(returns.len() > 100, "{}", returns.len());
    // Retry times in whole seconds, and counted from each arrival, change the
    // order by up to this much.
    let tolerance = 1_000;
    for (id, at) in &returns {
        let earlier = returns.iter().filter(|(other, _)| other < id);
        let latest = earlier.map(|(_, at)| *at).max().unwrap_or(0);
        assert!(
            *at + tolerance > latest,
            "{id} retries before earlier clients"
        );
    }
    let mut per_second: BTreeMap<Millis, u64> = BTreeMap::new();
    for (_, at) in &returns {
        *per_second.entry(at / 1_000).or_default() += 1;
    }
    let most = per_second.values().max().copied().unwrap_or(0);
    assert!(most <= 2 * JOBS_PER_S + 2, "{per_second:?}");
}

/// When a client that was refused during a store outage retries, its job is as
/// old as its first attempt: it precedes newer jobs.
#[test]
fn who_returned_goes_before_who_is_new() {
    // With this mechanism, jobs would wait for the store, and none would be
    // refused.
    let mut world = world(&[Mechanism::AfterOutage]);
    world.store_down = true;
    let old = job(1, "batch", vec![step(TASKS, resources(1_000, 100))]);
    world.submit(job(2, "batch", vec![step(1, resources(100, 100))]));
    // The commit of this job is found to be stuck.
    world.run(1_000);
    let refused = world.submit(old.clone());
    assert!(matches!(world.answer_to(refused), Outcome::Refused(_)));
    world.store_up();
    world.run(1_000);
    // The cell is full for a while.
    for id in 100..100 + EXECUTORS as u64 {
        world.submit(job(id, "batch", vec![step(4, resources(1_000, 100))]));
    }
    world.run(100);
    for id in 200..220 {
        world.submit(job(id, "batch", vec![step(4, resources(1_000, 100))]));
    }
    world.submit(old);
    world.run(8 * WORK);
    world.assert_no_violations();
    let ended = |id: u64| world.ended_at.get(&JobId(id)).copied();
    let old = ended(1).expect("done");
    assert!((200..220).all(|id| ended(id).is_none_or(|new| old <= new)));
}

/// The leader is replaced in the middle of an overload. The successor knows
/// the accepted jobs, refuses those that they leave no capacity for, and
/// everything accepted is done.
#[test]
fn a_successor_refuses_by_what_was_accepted() {
    let arrivals = stream(1, 3 * JOBS_PER_S, 2_000, 12_000, "batch", None);
    let mut simulation = Simulation::new(world(&[]), &arrivals);
    simulation.run_until(9_000);
    simulation.world.replace_leader();
    // Nobody answers the requests that the predecessor received.
    let lost: Vec<u64> = simulation.open_requests.values().copied().collect();
    simulation.open_requests.clear();
    for id in lost {
        let arrival = simulation.results[&id].0;
        simulation.submit(arrival);
    }
    simulation.run_until(9_000 + INHERITED_ORDER_LIFETIME);
    let counters = simulation.world.scheduler.counters();
    let refused = counters.get("refused_no_room_in_time").copied();
    assert!(refused.unwrap_or(0) > 0);
    let results = simulation.finish(80_000);
    let undone =
        results.count(|_, f| f.accepted.is_some() && f.ended.is_none());
    assert_eq!(undone, 0);
}

/// A store outage is reported as such, not as a lack of capacity, and the jobs
/// that were refused never run.
#[test]
fn a_store_that_is_away_refuses_without_the_backlog() {
    let arrivals = stream(1, 2 * JOBS_PER_S, 2_000, 9_000, "batch", None);
    let mut simulation = Simulation::new(world(&[]), &arrivals);
    simulation.run_until(4_000);
    simulation.world.store_down = true;
    simulation.run_until(8_000);
    let counters = simulation.world.scheduler.counters();
    assert!(counters.get("refused_store_trouble").copied() > Some(0));
    simulation.world.store_up();
    let results = simulation.finish(80_000);
    let undone =
        results.count(|_, f| f.accepted.is_some() && f.ended.is_none());
    assert_eq!(undone, 0);
    let ran = results.count(|_, f| f.accepted.is_none() && f.ended.is_some());
    assert_eq!(ran, 0);
}
