//! Tests of inferring the store's limit on changes per watch answer.

use puffinknot::cell::watch_limit::WatchLimit;

/// The number of probes that answers with these numbers of changes cause.
fn probes(limit: &mut WatchLimit, answers: &[usize]) -> usize {
    answers.iter().filter(|changes| limit.observe(**changes)).count()
}

#[test]
fn answers_that_are_cut_are_asked_on_until_one_is_not() {
    let mut limit = WatchLimit::default();
    assert_eq!(probes(&mut limit, &[500, 500, 500, 120]), 3);
    assert_eq!(probes(&mut limit, &[500, 300, 499, 500, 500]), 3);
}

/// A probe that finds no further changes does not show the limit; a later
/// probe does.
#[test]
fn a_store_that_falls_behind_later_is_found_out() {
    let mut limit = WatchLimit::default();
    assert_eq!(probes(&mut limit, &[500, 200]), 1);
    assert_eq!(probes(&mut limit, &[500; 5]), 1);
    assert_eq!(probes(&mut limit, &[500; 20]), 20);
}

#[test]
fn what_is_gathered_in_a_small_cell_is_asked_on_seldom() {
    let mut limit = WatchLimit::default();
    let mut probe_count = 0;
    for _ in 0..100 {
        // A probe returns only the changes made since the last answer.
        while limit.observe(10) {
            probe_count += 1;
            if !limit.observe(1) {
                break;
            }
        }
    }
    assert!(probe_count <= 21, "{probe_count}");
    assert_eq!(probes(&mut limit, &[1; 100]), 0);
}

#[test]
fn a_larger_answer_refutes_a_bound() {
    let mut limit = WatchLimit::default();
    assert_eq!(probes(&mut limit, &[7, 7, 7]), 3);
    assert_eq!(probes(&mut limit, &[12, 3]), 1);
    assert_eq!(probes(&mut limit, &[7, 8, 9, 7]), 0);
}
