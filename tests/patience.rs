//! Tests of the adaptive timeout of calls to executors and the store.

use puffinknot::cell::call_timeout::{CallTimeout, TimeoutBounds};

const BOUNDS: TimeoutBounds =
    TimeoutBounds { min: 120, initial: 300, max: 300 };

fn new_timeout() -> CallTimeout {
    CallTimeout::new(BOUNDS, true)
}

/// A timeout that has seen these round trips, in milliseconds.
fn timeout_after(round_trips: impl IntoIterator<Item = u64>) -> CallTimeout {
    let timeout = new_timeout();
    for took in round_trips {
        timeout.record_answer(took);
    }
    timeout
}

/// Guards against waiting the full 300 ms for a lost order, with the state of
/// its task unknown, where answers take 2 ms.
#[test]
fn quick_answers_are_not_waited_for_long() {
    let before = new_timeout().current();
    let within = timeout_after([2; 20]).current();
    assert!(within < before, "{within} is not below {before}");
}

#[test]
fn slow_answers_are_waited_for_longer() {
    let quick = timeout_after([2; 20]).current();
    let slow = timeout_after([180; 20]).current();
    assert!(slow > quick && slow > 180, "{slow}");
    let uneven = timeout_after([10, 250, 10, 250, 10, 250]).current();
    assert!(uneven > 250, "{uneven}");
}

#[test]
fn silence_doubles_the_time_until_an_answer_comes() {
    let timeout = timeout_after([2; 20]);
    let quick = timeout.current();
    timeout.record_timeout();
    let doubled = timeout.current();
    assert_eq!(doubled, 2 * quick);
    for _ in 0..100 {
        timeout.record_timeout();
    }
    assert_eq!(timeout.current(), new_timeout().current());
    timeout.record_answer(2);
    assert_eq!(timeout.current(), quick);
}

#[test]
fn round_trips_are_not_followed_if_that_is_switched_off() {
    let timeout = CallTimeout::new(BOUNDS, false);
    timeout.record_answer(2);
    assert_eq!(timeout.current(), BOUNDS.initial);
}

/// A slow store must not be mistaken for one that does not answer.
#[test]
fn what_turns_slow_is_answered_in_the_end() {
    let bounds = TimeoutBounds { min: 150, initial: 450, max: 1_000 };
    let timeout = CallTimeout::new(bounds, true);
    for _ in 0..100 {
        timeout.record_answer(4);
    }
    // Answers take sixty times as long as before.
    let mut timed_out = 0;
    while timeout.current() < 240 {
        timeout.record_timeout();
        timed_out += 1;
    }
    assert!(timed_out <= 1, "{timed_out} calls");
    for _ in 0..3 {
        timeout.record_answer(240);
    }
    assert!(timeout.current() > 240, "{}", timeout.current());
}
