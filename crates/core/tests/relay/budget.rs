//! The budget of repeats holds for the whole fleet in every window.

use proptest::prelude::*;
use woodgap_core::clock::Millis;
use woodgap_core::relay::budget::{Bound, Budget};

const BOUND: Bound = Bound {
    ratio: 0.2,
    slack: 52.0,
    window: Millis(10_000),
};

#[test]
fn requests_earn_repeats_and_old_ones_no_longer() {
    let mut budget = Budget::new(Bound {
        slack: 0.0,
        ..BOUND
    });
    for _ in 0..100 {
        budget.request(Millis(0));
    }
    let spent = (0..100).filter(|_| budget.spend(Millis(5_000), 1)).count();
    assert_eq!(spent, 16);
    assert!(!budget.spend(Millis(10_500), 1));
}

proptest! {
    /// With any traffic, and each request asking to be repeated, no window of any
    /// position has more repeats than the bound allows for the requests within it
    /// or within the window before.
    #[test]
    fn every_window_is_within_the_bound(
        events in proptest::collection::vec((0_usize..6, 0_u64..60, 0_u32..4), 50..600),
    ) {
        let mut budgets: Vec<Budget> = (0..6).map(|_| Budget::new(BOUND)).collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now = 0;
        for (entry, pause, wanted) in events {
            now += pause;
            budgets[entry].request(Millis(now));
            requests.push(now);
            for _ in 0..wanted {
                if budgets[entry].spend(Millis(now), 6) {
                    repeats.push(now);
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
            let most = BOUND.ratio * earned + BOUND.slack;
            prop_assert!(within(&repeats, from, end) <= most);
        }
    }
}
