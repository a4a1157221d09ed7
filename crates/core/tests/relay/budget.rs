//! The fleet-wide retry budget holds in every window.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::relay::budget::{RetryBudget, RetryLimit};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    slack: 52.0,
    window: Millis(10_000),
};

#[test]
fn requests_earn_retries_until_the_window_has_passed() {
    let mut budget = RetryBudget::new(RetryLimit {
        slack: 0.0,
        ..LIMIT
    });
    for _ in 0..100 {
        budget.record_request(Millis(0));
    }
    let spent = (0..100)
        .filter(|_| budget.try_spend(Millis(5_000), 1))
        .count();
    assert_eq!(spent, 16);
    assert!(!budget.try_spend(Millis(10_500), 1));
}

proptest! {
    /// With arbitrary traffic and retries wanted for any request, no window at any position
    /// has more retries than the limit allows for the requests within it or in the window
    /// before.
    #[test]
    fn every_window_is_within_the_limit(
        events in proptest::collection::vec((0_usize..6, 0_u64..60, 0_u32..4), 50..600),
    ) {
        let mut budgets: Vec<RetryBudget> = (0..6).map(|_| RetryBudget::new(LIMIT)).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (entry, pause, wanted) in events {
            now += pause;
            budgets[entry].record_request(Millis(now));
            requests.push(now);
            for _ in 0..wanted {
                if budgets[entry].try_spend(Millis(now), 6) {
                    retries.push(now);
                }
            }
        }
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|at| (from..to).contains(*at)).count() as f64
        };
        for end in (0..now + 1_000).step_by(250) {
            let from = end.saturating_sub(10_000);
            let before = from.saturating_sub(10_000);
            let half = from.saturating_sub(5_000);
            let earned = within(&requests, from, end)
                .max(within(&requests, before, from))
                .max(within(&requests, half, end.saturating_sub(5_000)));
            let allowed = LIMIT.ratio * earned + LIMIT.slack;
            prop_assert!(within(&retries, from, end) <= allowed);
        }
    }
}
