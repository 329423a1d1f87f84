//! What is known from answers to orders.

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

/// A relay was cut off after an executor had begun a task. The order was given
/// again by another way, which did not reach the executor, and the task was
/// started elsewhere since this one order had not been sent.
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
    let account = Reply::Account(ExecutorReport::default());
    assert_eq!(certain_answer(Ok(account.clone()), true), Ok(account));
}
