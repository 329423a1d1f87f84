//! Requests that have waited while their node was suspended.

use puffinknot_core::jobs::Suspensions;

const MAX_AGE: u64 = 60_000;

#[test]
fn what_is_read_after_a_long_suspension_may_be_outdated_for_some_time() {
    let mut suspensions = Suspensions::new(10_000);
    for now in [10_000, 11_000, 71_000] {
        assert_eq!(suspensions.observe(now, MAX_AGE), None);
        assert!(!suspensions.may_be_outdated(now));
    }
    assert_eq!(suspensions.observe(131_001, MAX_AGE), Some(60_001));
    assert_eq!(suspensions.observe(131_002, MAX_AGE), None);
    assert!(suspensions.may_be_outdated(131_002));
    assert!(suspensions.may_be_outdated(136_000));
    assert!(!suspensions.may_be_outdated(136_001));
}
