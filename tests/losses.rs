//! Tests of the weight of executor crashes as evidence against a task.

use puffinknot_core::jobs::crash_evidence::CrashEvidence;
use puffinknot_core::jobs::RunLoss;

/// The loss of a run that was alone on its executor, `ran` milliseconds after
/// its start.
fn loss(run: u64, address: &str, ran: u64, executors: u32) -> RunLoss {
    RunLoss {
        run,
        alone: true,
        confirmed: true,
        seen: true,
        executors,
        ran,
        survived: 0,
        address: address.to_string(),
    }
}

fn weight(losses: &[RunLoss]) -> u32 {
    let mut evidence = CrashEvidence::default();
    for loss in losses {
        assert!(evidence.add(loss, 1_000));
        evidence.weigh(|_| Some(0.05));
    }
    evidence.weight
}

/// Guards against giving up a gang after one power failure: its members are
/// lost at the same age, which is no evidence against the task.
#[test]
fn a_run_that_is_lost_with_two_executors_weighs_as_one() {
    let one = weight(&[loss(1, "x0", 20, 2)]);
    let two = weight(&[loss(1, "x0", 20, 2), loss(1, "x1", 20, 2)]);
    assert_eq!(one, two);
}

#[test]
fn losses_at_one_age_weigh_more_than_at_others() {
    let alike = weight(&[loss(1, "x0", 20, 1), loss(2, "x1", 21, 1)]);
    let other = weight(&[loss(1, "x0", 20, 1), loss(2, "x1", 90, 1)]);
    assert!(alike > other, "{alike}, {other}");
}

#[test]
fn losses_weigh_less_once_more_crashes_are_known_of_then() {
    let mut losses = CrashEvidence::default();
    losses.add(&loss(1, "x0", 20, 1), 1_000);
    losses.weigh(|_| Some(0.05));
    let before = losses.weight;
    losses.weigh(|_| Some(0.5));
    assert!(losses.weight < before);
    let known = losses.weight;
    losses.weigh(|_| None);
    assert_eq!(
        losses.weight, known,
        "the weight stays if no rate is known any more"
    );
}
