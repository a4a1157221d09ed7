//! Properties of stamps.

use proptest::prelude::*;

use super::{Era, MAX_VERSION, version};

proptest! {
    /// A plan, an endpoint or a lease must never be ordered by numbers that were given out again.
    #[test]
    fn a_stamp_orders_by_era_before_version(
        eras in (0..4_095_u64, 0..4_095_u64),
        versions in (1..=MAX_VERSION, 1..=MAX_VERSION),
    ) {
        let stamps = (Era::new(eras.0).stamp(versions.0), Era::new(eras.1).stamp(versions.1));
        let expected = (eras.0, versions.0).cmp(&(eras.1, versions.1));
        prop_assert_eq!(stamps.0.cmp(&stamps.1), expected);
        prop_assert_eq!((Era::of(stamps.0).number(), version(stamps.0)), (eras.0, versions.0));
    }
}

#[test]
fn an_era_or_version_that_does_not_fit_counts_as_the_last() {
    let last = Era::new(u64::MAX).stamp(u64::MAX);
    assert_eq!(last, u64::MAX);
    assert_eq!(Era::new(u64::MAX).stamp(0), 0);
}
