//! Invariants of a pool under arbitrary sequences of events.

#[path = "pool/fixture.rs"]
mod fixture;
#[path = "pool/model.rs"]
mod model;
#[path = "pool/saturated.rs"]
mod saturated;
#[path = "pool/step.rs"]
mod step;

use proptest::prelude::*;

use model::Model;
use saturated::SaturatedPool;
use step::steps;

proptest! {
    /// Each step checks that no request is lost, granted twice, granted at an
    /// unlisted endpoint or beyond an endpoint's slots, or shed before a lower
    /// tier.
    #[test]
    fn invariants_hold_for_any_sequence_of_steps(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
    }

    /// After any sequence of steps, all waiting requests are served while
    /// endpoints work.
    #[test]
    fn every_waiting_request_is_eventually_served(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
        model.drain();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Each waiting class of a lower tier is served while the highest tier
    /// always has waiting requests, and the highest tier keeps at least three
    /// quarters of the service.
    #[test]
    fn every_class_is_served_while_the_highest_tier_is_saturated(
        lower_tier in prop::collection::btree_set(0..60_u64, 1..30),
        lengths in prop::collection::vec(1..60_u64, 1..40),
    ) {
        let mut saturated = SaturatedPool::new(&lower_tier);
        for round in 0..4_000 {
            if saturated.waiting.is_empty() {
                break;
            }
            saturated.complete_one_run(round, lengths[round % lengths.len()]);
        }
        prop_assert!(saturated.waiting.is_empty(), "never served: {:?}", saturated.waiting);
        prop_assert!(saturated.lower_tier_tokens * 4 <= saturated.tokens + 4 * 60 * 30);
    }
}
