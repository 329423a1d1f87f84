//! How long answers of executors are waited for.

use puffinknot::cell::call_timeout::{CallTimeout, TimeoutBounds};

const BOUNDS: TimeoutBounds =
    TimeoutBounds { min: 120, initial: 300, max: 300 };

fn fresh() -> CallTimeout {
    CallTimeout::new(BOUNDS, true)
}

/// Answers after these times, in milliseconds.
fn after(round_trips: impl IntoIterator<Item = u64>) -> CallTimeout {
    let patience = fresh();
    for took in round_trips {
        patience.record_answer(took);
    }
    patience
}

/// A lost order left its task in doubt for 300 ms, also where answers take
/// two.
#[test]
fn quick_answers_are_not_waited_for_long() {
    let before = fresh().current();
    let within = after([2; 20]).current();
    assert!(within < before, "{within} is not below {before}");
}

#[test]
fn slow_answers_are_waited_for_longer() {
    let quick = after([2; 20]).current();
    let slow = after([180; 20]).current();
    assert!(slow > quick && slow > 180, "{slow}");
    let uneven = after([10, 250, 10, 250, 10, 250]).current();
    assert!(uneven > 250, "{uneven}");
}

#[test]
fn silence_doubles_the_time_until_an_answer_comes() {
    let patience = after([2; 20]);
    let quick = patience.current();
    patience.record_timeout();
    let doubled = patience.current();
    assert_eq!(doubled, 2 * quick);
    for _ in 0..100 {
        patience.record_timeout();
    }
    assert_eq!(patience.current(), fresh().current());
    patience.record_answer(2);
    assert_eq!(patience.current(), quick);
}

#[test]
fn round_trips_are_not_followed_if_that_is_switched_off() {
    let patience = CallTimeout::new(BOUNDS, false);
    patience.record_answer(2);
    assert_eq!(patience.current(), BOUNDS.initial);
}

/// A slow store must not be taken for a silent one.
#[test]
fn what_turns_slow_is_answered_in_the_end() {
    let bounds = TimeoutBounds { min: 150, initial: 450, max: 1_000 };
    let patience = CallTimeout::new(bounds, true);
    for _ in 0..100 {
        patience.record_answer(4);
    }
    // Sixty times slower than it was.
    let mut given_up = 0;
    while patience.current() < 240 {
        patience.record_timeout();
        given_up += 1;
    }
    assert!(given_up <= 1, "{given_up} calls");
    for _ in 0..3 {
        patience.record_answer(240);
    }
    assert!(patience.current() > 240, "{}", patience.current());
}
