//! How long answers of executors are waited for.

use puffinknot::cell::lead::patience::Patience;

/// Answers after these times, in milliseconds.
fn after(round_trips: impl IntoIterator<Item = u64>) -> Patience {
    let patience = Patience::new(true);
    for took in round_trips {
        patience.answered(took);
    }
    patience
}

/// A lost order left its task in doubt for 300 ms, also where answers take
/// two.
#[test]
fn quick_answers_are_not_waited_for_long() {
    let before = Patience::new(true).within();
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
    assert_eq!(patience.within(), Patience::new(true).within());
    patience.answered(2);
    assert_eq!(patience.within(), quick);
}
