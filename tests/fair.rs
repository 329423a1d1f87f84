//! Tests of fair shares among accounts when capacity is scarce.

use puffinknot_core::config::Resources;
use puffinknot_core::jobs::fair_share::{
    dominant_share, fair_shares, Claim, DecayingMean,
};

fn claim(weight: f64, usage: f64, demand: f64) -> Claim {
    Claim { weight, usage, demand }
}

fn assert_close(found: &[f64], expected: &[f64]) {
    let same = found.iter().zip(expected);
    let same = same.into_iter().all(|(one, two)| (one - two).abs() < 1e-9);
    assert!(same && found.len() == expected.len(), "{found:?}");
}

#[test]
fn the_largest_part_of_any_resource_counts() {
    let whole =
        Resources { cpu_millis: 1_000, memory_mb: 100, accelerators: 0 };
    let usage = Resources { cpu_millis: 100, memory_mb: 30, accelerators: 2 };
    assert_close(&[dominant_share(&usage, &whole)], &[0.3]);
}

#[test]
fn all_want_more_than_there_is_and_get_it_by_weight() {
    let claims = [claim(1.0, 0.9, 2.0), claim(2.0, 0.0, 2.0)];
    assert_close(&fair_shares(&claims), &[0.3, 0.6]);
}

#[test]
fn what_one_does_not_want_is_lent_by_weight() {
    let claims =
        [claim(1.0, 0.8, 2.0), claim(3.0, 0.1, 2.0), claim(4.0, 0.1, 0.2)];
    assert_close(&fair_shares(&claims), &[0.2, 0.6, 0.2]);
}

#[test]
fn the_sum_is_what_is_held() {
    let claims: Vec<Claim> = (1..50)
        .map(|at| {
            let at = f64::from(at);
            claim(at, at.sin().abs(), at.sin().abs() + at.cos().abs())
        })
        .collect();
    let usage: f64 = claims.iter().map(|claim| claim.usage).sum();
    assert_close(&[fair_shares(&claims).iter().sum()], &[usage]);
    for (fair, claim) in fair_shares(&claims).iter().zip(&claims) {
        assert!(*fair <= claim.demand);
    }
}

#[test]
fn nobody_holds_anything() {
    assert_close(&fair_shares(&[claim(1.0, 0.0, 1.0)]), &[0.0]);
    assert_close(&fair_shares(&[]), &[]);
}

#[test]
fn what_was_falls_by_half_in_a_period() {
    let mut mean = DecayingMean::default();
    mean.update(1.0, 1_000, 1_000);
    assert_close(&[mean.get()], &[0.5]);
    for now in 0..400 {
        mean.update(0.0, 1_000, 1_000 + 20 * now);
    }
    assert!(mean.get() < 0.001, "{}", mean.get());
}
