//! The version of the active plan never decreases, and its age is never understated.

use std::sync::Arc;

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::active_plan::Offer;
use woodgap_core::relay::{ActivePlan, Table};

use crate::plan::plan;

fn table(version: u64) -> Arc<Table> {
    Arc::new(Table::new(plan(version, vec![])).unwrap())
}

#[rstest]
#[case::newer(6, Offer::Applied, 6)]
#[case::same(5, Offer::Confirmed, 5)]
#[case::older(4, Offer::Outdated, 5)]
fn only_a_newer_plan_is_applied(#[case] version: u64, #[case] offer: Offer, #[case] after: u64) {
    let mut active = ActivePlan::default();
    active.offer(table(5), Millis(100));
    assert_eq!(active.offer(table(version), Millis(200)), offer);
    assert_eq!(active.version(), after);
}

#[test]
fn an_outdated_plan_confirms_nothing() {
    let mut active = ActivePlan::default();
    active.offer(table(5), Millis(100));
    active.offer(table(4), Millis(900));
    assert_eq!(active.age(Millis(1_000)), Millis(900));
}

#[rstest]
#[case::same(5, 700, false, 300)]
#[case::same_but_earlier(5, 50, false, 900)]
#[case::newer(6, 700, true, 900)]
#[case::older(4, 700, false, 900)]
fn only_the_active_version_is_confirmed(
    #[case] version: u64,
    #[case] as_of: u64,
    #[case] is_newer: bool,
    #[case] age: u64,
) {
    let mut active = ActivePlan::default();
    active.offer(table(5), Millis(100));
    assert_eq!(active.confirm(version, Millis(as_of)), is_newer);
    assert_eq!(active.age(Millis(1_000)), Millis(age));
}

#[test]
fn without_a_plan_nothing_is_confirmed() {
    let mut active = ActivePlan::default();
    assert!(!active.confirm(0, Millis(900)));
    assert!(active.table().is_none());
    assert_eq!(active.age(Millis(1_000)), Millis(1_000));
}
