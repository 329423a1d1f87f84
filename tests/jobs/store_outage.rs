//! How jobs are handled during a store outage and after it.

use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::{
    Job, JobState, Mechanism, Mechanisms, Outcome, Step, TaskKey,
};

use super::world::{job, resources, step, World, WORK};

/// The delay after which a refused client retries.
const RETRY_DELAY: Millis = 1_000;
/// How long a client waits for an answer in all, and how often it asks.
const CLIENT_TIMEOUT: Millis = 3_000;
const MAX_ATTEMPTS: u32 = 5;

fn small() -> Step {
    step(1, resources(500, 100))
}

fn lookup(id: u64) -> Job {
    job(id, "urgent", vec![small()])
}

fn starts_of(world: &World, id: u64) -> u32 {
    let of_job = |task: &&TaskKey| task.step.job.0 == id;
    let tasks = world.starts.keys().filter(of_job);
    tasks.map(|task| world.starts[task]).sum()
}

#[test]
fn what_the_store_has_declined_is_refused_at_once_and_never_runs() {
    let mut world = World::new(2);
    world.run(100);
    world.store_declines = true;
    let first = world.submit(lookup(1));
    world.run(30);
    let second = world.submit(lookup(2));
    world.run(RETRY_DELAY / 2 + 60);
    for request in [first, second] {
        assert_eq!(world.answer_to(request), Outcome::Refused(RETRY_DELAY));
    }
    world.run(RETRY_DELAY / 2);
    let at_once = world.submit(lookup(3));
    assert_eq!(world.answer_to(at_once), Outcome::Refused(RETRY_DELAY));
    world.run(2_000);
    world.store_declines = false;
    world.run(2_000);
    assert!(world.starts.is_empty());
    let again = world.submit(lookup(1));
    world.run(WORK + 200);
    assert_eq!(world.answer_to(again), Outcome::Accepted);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    assert_eq!(world.state(2), None);
    world.assert_no_violations();
}

#[test]
fn a_short_outage_is_waited_out() {
    let mut world = World::new(2);
    world.run(100);
    world.store_declines = true;
    let request = world.submit(lookup(1));
    world.run(150);
    world.store_declines = false;
    world.run(100);
    assert_eq!(world.answer_to(request), Outcome::Accepted);
    world.run(WORK + 100);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

/// The store may reject this leader only. The next leader then serves its
/// clients sooner than if they retried.
#[test]
fn nobody_is_refused_before_another_node_could_lead() {
    let mut world = World::new(2);
    world.set_policy(|policy| {
        let queue = policy.queues.get_mut("urgent").expect("a queue");
        (queue.stretch, queue.target) = (1.0, 100);
    });
    world.run(100);
    world.store_declines = true;
    let request = world.submit(lookup(1));
    world.run(400);
    assert!(!world.replies.contains_key(&request));
    world.run(200);
    assert_eq!(world.answer_to(request), Outcome::Refused(RETRY_DELAY));
    world.assert_no_violations();
}

/// The commit may still be written, so the client can't be told that it was
/// not.
#[test]
fn what_may_be_written_yet_is_not_refused() {
    let mut world = World::new(2);
    world.run(100);
    world.store_down = true;
    let in_doubt = world.submit(lookup(1));
    world.run(30);
    let waits = world.submit(lookup(2));
    world.run(1_500);
    assert!(!world.replies.contains_key(&in_doubt));
    assert_eq!(world.answer_to(waits), Outcome::Refused(RETRY_DELAY));
    world.store_up();
    world.run(WORK + 200);
    assert_eq!(world.answer_to(in_doubt), Outcome::Accepted);
    assert_eq!(starts_of(&world, 1), 1);
    assert_eq!(starts_of(&world, 2), 0);
    world.assert_no_violations();
}

/// Once the leader knows that outages end before a retry would be due, a job
/// waits for the end of the outage instead.
#[test]
fn how_long_outages_last_is_learnt() {
    for (learns, answer) in
        [(true, Outcome::Accepted), (false, Outcome::Refused(RETRY_DELAY))]
    {
        let mut world = World::new(2);
        world.run(100);
        let mut request = 0;
        for outage in 0..2 {
            if outage == 0 && !learns {
                continue;
            }
            world.store_declines = true;
            world.submit(lookup(10 + outage));
            world.run(2_200);
            request = world.submit(lookup(20 + outage));
            world.run(300);
            world.store_declines = false;
            world.run(1_000);
        }
        assert_eq!(world.answer_to(request), answer);
        world.assert_no_violations();
    }
}

#[test]
fn what_was_accepted_goes_on_but_no_end_is_told_before_it_is_written() {
    let mut world = World::new(2);
    world.run(100);
    let mut second = small();
    second.after = vec![0];
    world.submit(job(1, "batch", vec![small(), second]));
    world.run(100);
    world.store_declines = true;
    world.run(3 * WORK);
    assert_eq!(starts_of(&world, 1), 2, "both steps have run");
    assert_eq!(world.state(1), Some(JobState::Running));
    world.store_declines = false;
    world.run(100);
    assert_eq!(world.state(1), Some(JobState::Succeeded));
    world.assert_no_violations();
}

#[test]
fn a_takeover_in_the_middle_knows_nothing_of_what_was_declined() {
    let mut world = World::new(2);
    world.run(100);
    world.store_declines = true;
    let request = world.submit(lookup(1));
    world.run(RETRY_DELAY);
    assert_eq!(world.answer_to(request), Outcome::Refused(RETRY_DELAY));
    world.store_declines = false;
    world.replace_leader();
    world.run(500);
    assert_eq!(world.state(1), None);
    let again = world.submit(lookup(1));
    world.run(WORK + 200);
    assert_eq!(world.answer_to(again), Outcome::Accepted);
    assert_eq!(starts_of(&world, 1), 1);
    world.assert_no_violations();
}

/// A client that submits a job, and retries when told to.
struct Client {
    id: u64,
    since: Millis,
    next_attempt_at: Millis,
    attempts: u32,
    request: Option<u64>,
    /// How long its latest attempt has waited for an answer.
    waited: Millis,
    accepted: bool,
}

/// Simulates an outage: the store declines every commit for four seconds, and
/// a client arrives every `gap`. Returns the clients.
fn outage(mechanisms: Mechanisms, gap: Millis) -> Vec<Client> {
    let mut world = World::with_mechanisms(20, mechanisms);
    world.run(100);
    let begin = world.now;
    let mut clients: Vec<Client> = Vec::new();
    while world.now < begin + 8_000 {
        world.store_declines =
            (begin + 1_000..begin + 5_000).contains(&world.now);
        if (world.now - begin) % gap == 0 && world.now < begin + 6_000 {
            clients.push(Client {
                id: clients.len() as u64 + 1,
                since: world.now,
                next_attempt_at: world.now,
                attempts: 0,
                request: None,
                waited: 0,
                accepted: false,
            });
        }
        for client in &mut clients {
            client.advance(&mut world);
        }
        world.run(10);
    }
    for client in clients.iter().filter(|client| client.accepted) {
        assert_eq!(starts_of(&world, client.id), 1, "job {}", client.id);
    }
    world.assert_no_violations();
    clients
}

impl Client {
    fn advance(&mut self, world: &mut World) {
        let Some(request) = self.request else {
            let timed_out = world.now > self.since + CLIENT_TIMEOUT;
            if !self.accepted
                && world.now >= self.next_attempt_at
                && !timed_out
            {
                self.attempts += 1;
                self.next_attempt_at = world.now;
                self.request = Some(world.submit(lookup(self.id)));
            }
            return;
        };
        let Some(answer) = world.replies.get(&request) else { return };
        self.waited = self.waited.max(world.now - self.next_attempt_at);
        self.request = None;
        match answer {
            Outcome::Accepted => self.accepted = true,
            Outcome::Refused(after) if self.attempts < MAX_ATTEMPTS => {
                self.next_attempt_at = world.now + after;
            }
            _ => self.next_attempt_at = Millis::MAX,
        }
    }
}

/// No client waits for longer than half of its retry delay, and everything
/// that can still be served after the outage is served.
#[test]
fn under_load_nobody_is_held_in_vain_and_all_that_come_back_are_served() {
    let clients = outage(Mechanisms::default(), 20);
    let began = clients[0].since;
    for client in &clients {
        let (from, waited) = (client.since - began, client.waited);
        assert!(waited <= RETRY_DELAY / 2 + 60, "{from}: waited {waited}");
        // The last attempt is at most a second before the client gives up.
        if from + CLIENT_TIMEOUT - RETRY_DELAY > 5_000 {
            assert!(client.accepted, "from {from} ms on");
        }
    }
    // The jobs in a declined commit would be held until the outage ends.
    let clients = outage(Mechanisms::all_except([Mechanism::AfterOutage]), 20);
    let longest = clients.iter().map(|client| client.waited).max();
    assert!(longest > Some(CLIENT_TIMEOUT), "waited {longest:?}");
}
