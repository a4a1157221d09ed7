//! What must hold of a pool, whatever happens to it in whichever order.

#[path = "pool/endless.rs"]
mod endless;
#[path = "pool/fixture.rs"]
mod fixture;
#[path = "pool/model.rs"]
mod model;
#[path = "pool/step.rs"]
mod step;

use proptest::prelude::*;

use endless::Endless;
use model::Model;
use step::steps;

proptest! {
    /// Each step checks that no request is lost, granted twice, granted where
    /// it may not run or beyond an endpoint's slots, or shed before a lower tier.
    #[test]
    fn any_order_keeps_the_promises(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
    }

    /// Whatever happened before, all who wait are served while endpoints work.
    #[test]
    fn all_who_wait_are_served_in_the_end(steps in steps()) {
        let mut model = Model::new();
        for step in &steps {
            model.step(step);
        }
        model.drain();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Each lower class that waits gets its turn, however much comes from above,
    /// and the highest tier keeps three quarters of the service at least.
    #[test]
    fn every_class_is_served_under_endless_load_from_above(
        low in prop::collection::btree_set(0..60_u64, 1..30),
        lengths in prop::collection::vec(1..60_u64, 1..40),
    ) {
        let mut endless = Endless::new(&low);
        for round in 0..4_000 {
            if endless.waiting.is_empty() {
                break;
            }
            endless.turn(round, lengths[round % lengths.len()]);
        }
        prop_assert!(endless.waiting.is_empty(), "never served: {:?}", endless.waiting);
        prop_assert!(endless.low_tokens * 4 <= endless.tokens + 4 * 60 * 30);
    }
}
