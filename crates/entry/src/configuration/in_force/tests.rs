//! The configuration in force never goes back and never skips a change.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::config::Catalog;
use woodgap_core::revision::message::Change;

use super::{InForce, Step, catalog};

fn template(name: &str) -> String {
    format!(r#"{{"kind": "template", "name": "{name}", "tier": 1, "classes": {{}}}}"#)
}

fn change(revision: u64) -> Change {
    Change {
        revision,
        document: template(&format!("t{revision}")),
    }
}

fn at(revision: u64) -> InForce {
    let in_force = InForce::default();
    in_force.replace(Catalog::of(revision, Vec::new()));
    in_force
}

#[rstest]
#[case::the_next(&[4], Some(4), 4)]
#[case::several(&[4, 5, 6], Some(6), 6)]
#[case::some_known_already(&[2, 3, 4], Some(4), 4)]
#[case::all_known_already(&[1, 2, 3], None, 3)]
#[case::a_gap(&[5], None, 3)]
#[case::a_gap_within(&[4, 6], None, 3)]
#[case::none(&[], None, 3)]
fn changes(#[case] revisions: &[u64], #[case] step: Option<u64>, #[case] after: u64) {
    let in_force = at(3);
    let changes: Vec<Change> = revisions.iter().copied().map(change).collect();
    let taken = in_force.apply(&changes);
    assert_eq!(taken.map(|step| step.revision), step);
    assert_eq!(in_force.catalog().unwrap().revision(), after);
}

#[test]
fn changes_need_a_whole_to_start_from() {
    assert_eq!(InForce::default().apply(&[change(1)]), None);
}

#[test]
fn an_unreadable_document_is_not_applied() {
    let in_force = at(3);
    let broken = Change {
        revision: 4,
        document: "{".to_owned(),
    };
    assert_eq!(in_force.apply(&[broken]), None);
    assert_eq!(in_force.catalog().unwrap().revision(), 3);
}

#[rstest]
#[case::newer(4, Some(Step { revision: 4, changes: vec![] }))]
#[case::the_same(3, None)]
#[case::older(2, None)]
fn a_whole(#[case] revision: u64, #[case] step: Option<Step>) {
    let in_force = at(3);
    assert_eq!(
        in_force.replace(catalog(revision, &[template("a")]).unwrap()),
        step
    );
}

#[test]
fn it_is_served_by_only_while_confirmed() {
    let in_force = at(3);
    in_force.confirm_until(Millis(100));
    assert!(in_force.confirmed(Millis(100)).is_some());
    assert!(in_force.confirmed(Millis(101)).is_none());
}
