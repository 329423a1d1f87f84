//! How long answers of executors are waited for.

use puffinknot::cell::patience::{Bounds, Patience};

const BOUNDS: Bounds = Bounds { least: 120, first: 300, most: 300 };

fn fresh() -> Patience {
    Patience::new(BOUNDS, true)
}

/// Answers after these times, in milliseconds.
fn after(round_trips: impl IntoIterator<Item = u64>) -> Patience {
    let patience = fresh();
    for took in round_trips {
        patience.answered(took);
    }
    patience
}

/// A lost order left its task in doubt for 300 ms, also where answers take
/// two.
#[test]
fn quick_answers_are_not_waited_for_long() {
    let before = fresh().within();
    let within = after([2; 20]).within();
    assert!(within < before, "{within} is not below {before}");
}

#[test]
fn slow_answers_are_waited_for_longer() {
    let quick = after([2; 20]).within();
    let slow = after([180; 20]).within();
    assert!(slow > quick && slow > 180, "{slow}");
    let uneven = after([10, 250, 10, 250, 10, 250]).within();
    assert!(uneven > 250, "{uneven}");
}

#[test]
fn silence_doubles_the_time_until_an_answer_comes() {
    let patience = after([2; 20]);
    let quick = patience.within();
    patience.unanswered();
    let doubled = patience.within();
    assert_eq!(doubled, 2 * quick);
    for _ in 0..100 {
        patience.unanswered();
    }
    assert_eq!(patience.within(), fresh().within());
    patience.answered(2);
    assert_eq!(patience.within(), quick);
}

#[test]
fn round_trips_are_not_followed_if_that_is_switched_off() {
    let patience = Patience::new(BOUNDS, false);
    patience.answered(2);
    assert_eq!(patience.within(), BOUNDS.first);
}

/// A slow store must not be taken for a silent one.
#[test]
fn what_turns_slow_is_answered_in_the_end() {
    let bounds = Bounds { least: 150, first: 450, most: 1_000 };
    let patience = Patience::new(bounds, true);
    for _ in 0..100 {
        patience.answered(4);
    }
    // Sixty times slower than it was.
    let mut given_up = 0;
    while patience.within() < 240 {
        patience.unanswered();
        given_up += 1;
    }
    assert!(given_up <= 1, "{given_up} calls");
    for _ in 0..3 {
        patience.answered(240);
    }
    assert!(patience.within() > 240, "{}", patience.within());
}
