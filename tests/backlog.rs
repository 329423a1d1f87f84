//! Whether the store may have more changes than it has told.

use puffinknot::cell::watch_limit::WatchLimit;

/// How often the store is asked on at once, by the sizes of its answers.
fn asked_on(backlog: &mut WatchLimit, answers: &[usize]) -> usize {
    answers.iter().filter(|changes| backlog.observe(**changes)).count()
}

#[test]
fn answers_that_are_cut_are_asked_on_until_one_is_not() {
    let mut backlog = WatchLimit::default();
    assert_eq!(asked_on(&mut backlog, &[500, 500, 500, 120]), 3);
    assert_eq!(asked_on(&mut backlog, &[500, 300, 499, 500, 500]), 3);
}

/// A try that came when nothing was left shows no bound; a later one does.
#[test]
fn a_store_that_falls_behind_later_is_found_out() {
    let mut backlog = WatchLimit::default();
    assert_eq!(asked_on(&mut backlog, &[500, 200]), 1);
    assert_eq!(asked_on(&mut backlog, &[500; 5]), 1);
    assert_eq!(asked_on(&mut backlog, &[500; 20]), 20);
}

#[test]
fn what_is_gathered_in_a_small_cell_is_asked_on_seldom() {
    let mut backlog = WatchLimit::default();
    let mut asked = 0;
    for _ in 0..100 {
        // What is asked on is answered with what has changed since.
        while backlog.observe(10) {
            asked += 1;
            if !backlog.observe(1) {
                break;
            }
        }
    }
    assert!(asked <= 21, "{asked}");
    assert_eq!(asked_on(&mut backlog, &[1; 100]), 0);
}

#[test]
fn a_larger_answer_refutes_a_bound() {
    let mut backlog = WatchLimit::default();
    assert_eq!(asked_on(&mut backlog, &[7, 7, 7]), 3);
    assert_eq!(asked_on(&mut backlog, &[12, 3]), 1);
    assert_eq!(asked_on(&mut backlog, &[7, 8, 9, 7]), 0);
}
