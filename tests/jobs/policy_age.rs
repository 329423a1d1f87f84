//! How old a node's knowledge of the policy is.

use proptest::prelude::*;
use puffinknot_core::ids::Millis;
use puffinknot_core::jobs::policy_age::{
    watched_until, MIN_TRUNCATED_CHANGES,
};
use puffinknot_core::jobs::{PolicyAge, PolicyLimits};

/// The time within which a version must be in effect.
const BOUND: Millis = 2_000;

/// A node's policy version, and the age of that knowledge.
#[derive(Clone, Copy, Debug, Default)]
struct Knowledge {
    version: u64,
    age: PolicyAge,
}

/// One source of knowledge. Times are delays from the previous event.
#[derive(Clone, Debug)]
enum Source {
    /// The store writes a new version.
    Write { after: Millis },
    /// A node watches the store, which answers late.
    Watch { after: Millis, leader: bool, wait: Millis, late: Millis },
    /// The node sends a heartbeat, which the leader handles late, and whose
    /// answer arrives late.
    Heartbeat { after: Millis, handled: Millis, late: Millis },
}

fn source() -> impl Strategy<Value = Source> {
    let late = prop_oneof![0..20u64, 0..6_000u64];
    let wait = prop_oneof![Just(1u64), Just(500), Just(4_000)];
    prop_oneof![
        (0..1_500u64).prop_map(|after| Source::Write { after }),
        (0..500u64, any::<bool>(), wait, late.clone()).prop_map(
            |(after, leader, wait, late)| {
                Source::Watch { after, leader, wait, late }
            }
        ),
        (0..500u64, late.clone(), late).prop_map(|(after, handled, late)| {
            Source::Heartbeat { after, handled, late }
        }),
    ]
}

/// What a node learns, and when.
enum Lesson {
    /// The answer to a watch: a version, and until when it holds all changes.
    Watched { leader: bool, version: u64, until: Millis },
    /// The leader gets a heartbeat that was sent at this time.
    Pinged { sent_at: Millis, late: Millis },
    /// The answer to a heartbeat that was sent at this time.
    Confirmed { version: u64, sent_at: Millis },
}

/// The version at a time, given the times of the writes.
fn version_at(writes: &[Millis], at: Millis) -> u64 {
    writes.iter().filter(|write| **write <= at).count() as u64
}

/// The answer to a watch that begins at `sent_at`, and when it arrives.
fn watch(
    writes: &[Millis],
    sent_at: Millis,
    leader: bool,
    wait: Millis,
    late: Millis,
) -> (Millis, Lesson) {
    let in_time = sent_at + 1..=sent_at + wait;
    let change = writes.iter().find(|write| in_time.contains(write));
    let given_at = change.copied().unwrap_or(sent_at + wait);
    let at = given_at + late;
    let changes = usize::from(change.is_some());
    let until = watched_until(sent_at, wait, at, changes);
    let until = until.expect("the answer is complete");
    let version = version_at(writes, given_at);
    (at, Lesson::Watched { leader, version, until })
}

proptest! {
    /// Guards against knowledge that counts as younger than it is: whatever
    /// is late, no newer version existed before the age that a node reckons.
    #[test]
    fn no_version_is_older_than_its_age(
        sources in prop::collection::vec(source(), 1..60)
    ) {
        let mut now = 1_000;
        let mut writes = vec![0];
        let mut lessons: Vec<(Millis, Lesson)> = Vec::new();
        let mut calls = Vec::new();
        for source in &sources {
            match *source {
                Source::Write { after } => {
                    now += after;
                    writes.push(now);
                }
                Source::Watch { after, leader, wait, late } => {
                    now += after;
                    calls.push((now, leader, wait, late));
                }
                Source::Heartbeat { after, handled, late } => {
                    now += after;
                    let pinged = Lesson::Pinged { sent_at: now, late };
                    lessons.push((now + handled, pinged));
                }
            }
        }
        for (sent_at, leader, wait, late) in calls {
            lessons.push(watch(&writes, sent_at, leader, wait, late));
        }
        let limits = PolicyLimits::new(BOUND);
        let (mut leader, mut node) =
            (Knowledge::default(), Knowledge::default());
        while !lessons.is_empty() {
            lessons.sort_by_key(|lesson| lesson.0);
            let (at, lesson) = lessons.remove(0);
            match lesson {
                Lesson::Watched { leader: leads, version, until } => {
                    let knows = if leads { &mut leader } else { &mut node };
                    knows.version = knows.version.max(version);
                    knows.age.observe(knows.version, until);
                }
                Lesson::Pinged { sent_at, late } => {
                    let age = leader.age.of(leader.version, at);
                    let version = leader.version;
                    if age.is_some_and(|age| age <= limits.max_confirmed_age())
                    {
                        let answer = Lesson::Confirmed { version, sent_at };
                        lessons.push((at + late, answer));
                    }
                }
                Lesson::Confirmed { version, sent_at } => {
                    let age = limits.max_confirmed_age();
                    node.age.observe(version, sent_at.saturating_sub(age));
                }
            }
            for knows in [leader, node] {
                if let Some(age) = knows.age.of(knows.version, at) {
                    let newest = version_at(&writes, at - age);
                    prop_assert!(newest <= knows.version, "{knows:?} {at}");
                }
            }
        }
    }
}

#[test]
fn a_version_is_not_current_once_a_newer_one_is_known() {
    let mut age = PolicyAge::default();
    assert_eq!(age.of(1, 100), None);
    age.observe(1, 100);
    assert_eq!(age.of(1, 350), Some(250));
    age.observe(2, 50);
    assert_eq!(age.of(1, 350), None);
    assert_eq!(age.of(2, 350), Some(250));
}

/// Guards against an answer that the network held back and that counts as
/// given when it arrived.
#[test]
fn a_watch_without_changes_shows_that_there_were_none_while_it_waited() {
    assert_eq!(watched_until(100, 500, 605, 0), Some(600));
    assert_eq!(watched_until(100, 500, 9_000, 0), Some(600));
    assert_eq!(watched_until(100, 500, 400, 0), Some(100));
    assert_eq!(watched_until(100, 500, 400, 1), Some(100));
    assert_eq!(watched_until(100, 500, 9_000, 1), Some(100));
}

/// Guards against an answer that holds only the first of many changes and that
/// counts as showing all.
#[test]
fn a_watch_with_many_changes_does_not_show_that_there_are_no_more() {
    assert_eq!(watched_until(100, 500, 400, MIN_TRUNCATED_CHANGES), None);
}

#[test]
fn the_limits_leave_time_for_what_they_wait_for() {
    let limits = PolicyLimits::new(BOUND);
    assert!(limits.leader_watch() < limits.max_confirmed_age());
    assert!(limits.max_confirmed_age() < limits.recheck_age());
    assert!(limits.recheck_age() < limits.max_age());
    assert_eq!(limits.max_age(), BOUND);
}

/// Guards against a node that asks the store without a pause, since the
/// settings give no time for an answer.
#[test]
fn a_bound_of_zero_leaves_time_between_two_watches() {
    let limits = PolicyLimits::new(0);
    assert!(limits.leader_watch() > 0);
    assert!(limits.recheck_age() > limits.leader_watch());
}
