//! Tests of what the answers to an order establish.

use puffinknot::cell::order::{certain_answer, Reply};
use puffinknot_core::jobs::{ExecutorReport, OrderFailure};

const FAILURES: [OrderFailure; 10] = [
    OrderFailure::Fenced,
    OrderFailure::Old,
    OrderFailure::Late,
    OrderFailure::Room,
    OrderFailure::Ticket,
    OrderFailure::Unhealthy,
    OrderFailure::Gone,
    OrderFailure::Malformed,
    OrderFailure::NotSent,
    OrderFailure::Unknown,
];

#[test]
fn the_first_answer_is_taken_as_it_is() {
    for failure in FAILURES {
        assert_eq!(certain_answer(Err(failure), false), Err(failure));
    }
    assert_eq!(certain_answer(Ok(Reply::Done), false), Ok(Reply::Done));
}

/// Guards against starting a task twice. A relay is cut off after an executor
/// has started the task. The order is sent again by another route, which does
/// not reach the executor; that this second order was not sent does not show
/// that the first had no effect, so the task must not start elsewhere.
#[test]
fn a_second_try_that_fails_tells_nothing_of_the_first() {
    for failure in FAILURES {
        let expected = match failure {
            OrderFailure::Fenced | OrderFailure::Gone => failure,
            _ => OrderFailure::Unknown,
        };
        assert_eq!(
            certain_answer(Err(failure), true),
            Err(expected),
            "{failure:?}"
        );
    }
    let report = Reply::Account(ExecutorReport::default());
    assert_eq!(certain_answer(Ok(report.clone()), true), Ok(report));
}
