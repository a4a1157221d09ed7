//! Which changes are accepted, and what is in force after them.

use std::sync::Arc;

use rstest::rstest;

use super::Catalog;
use crate::config::Document;

fn document(text: &str) -> Document {
    serde_json::from_str(text).unwrap()
}

fn template(tier: &str, parameters: &str) -> Document {
    document(&format!(
        r#"{{"kind": "template", "name": "family", "parameters": {parameters}, "tier": {tier},
             "classes": {{"caption": {{"targets": ["story-7b"], "target_ms": 60000}}}}}}"#
    ))
}

const TIER: &str = r#"{"tier": {"type": "integer", "min": 1, "max": 7}}"#;

fn workspace(name: &str, values: &str, keys: &[&str]) -> Document {
    let keys = serde_json::to_string(keys).unwrap();
    document(&format!(
        r#"{{"kind": "workspace", "name": "{name}", "template": "family",
             "values": {values}, "keys": {keys}}}"#
    ))
}

fn digest(digit: char) -> String {
    digit.to_string().repeat(64)
}

fn catalog() -> Catalog {
    let murphy = workspace("murphy", r#"{"tier": 2}"#, &[&digest('a')]);
    Catalog::of(2, vec![murphy, template("\"$tier\"", TIER)])
}

#[rstest]
#[case::a_free_key(workspace("walsh", r#"{"tier": 3}"#, &[&digest('b')]), &[])]
#[case::its_own_key(workspace("murphy", r#"{"tier": 3}"#, &[&digest('a')]), &[])]
#[case::a_taken_key(workspace("walsh", r#"{"tier": 3}"#, &[&digest('a')]),
    &["workspace `walsh`: one of its keys is already that of workspace `murphy`"])]
#[case::no_digest(workspace("walsh", r#"{"tier": 3}"#, &["secret"]),
    &["workspace `walsh`: key `secret` is no SHA-256 in lower-case hexadecimal, 64 digits"])]
#[case::no_value(workspace("walsh", "{}", &[]),
    &["workspace `walsh`: parameter `tier` has no value and no default"])]
#[case::out_of_bounds(workspace("walsh", r#"{"tier": 8}"#, &[]),
    &["workspace `walsh`: `tier` is 8, expected a whole number from 1 to 7"])]
#[case::unknown_parameter(workspace("walsh", r#"{"tier": 1, "speed": 2}"#, &[]),
    &["workspace `walsh`: the template has no parameter `speed`"])]
#[case::a_template_that_breaks_a_workspace(template("3", "{}"),
    &["workspace `murphy`: the template has no parameter `tier`"])]
#[case::a_template_with_a_slip(template("\"$teir\"", TIER),
    &["template `family`: `tier` refers to `$teir`, which is not declared"])]
fn checked(#[case] document: Document, #[case] expected: &[&str]) {
    let problems: Vec<String> = catalog()
        .check(&document)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(problems, expected);
}

#[test]
fn a_slip_shows_in_a_template_that_nobody_uses_yet() {
    let problems = Catalog::default().check(&template("\"$teir\"", TIER));
    assert_eq!(problems.len(), 1);
}

#[test]
fn a_revised_template_takes_hold_in_its_workspaces() {
    let mut catalog = catalog();
    let parameters = r#"{"tier": {"type": "integer", "min": 1, "max": 7}}"#;
    assert!(catalog.apply(3, template("5", parameters)));
    assert_eq!(catalog.workspace("murphy").unwrap().tier.number(), 5);
    assert_eq!(catalog.by_key(&digest('a')).unwrap().tier.number(), 5);
}

#[test]
fn a_key_that_was_taken_out_names_nobody() {
    let mut catalog = catalog();
    catalog.apply(3, workspace("murphy", r#"{"tier": 2}"#, &[&digest('c')]));
    assert!(catalog.by_key(&digest('a')).is_none());
    assert!(catalog.by_key(&digest('c')).is_some());
}

#[test]
fn an_old_revision_changes_nothing() {
    let mut catalog = catalog();
    assert!(!catalog.apply(2, workspace("murphy", r#"{"tier": 7}"#, &[])));
    assert_eq!(catalog.workspace("murphy").unwrap().tier.number(), 2);
}

#[test]
fn workspaces_with_the_same_classes_share_them() {
    let mut catalog = catalog();
    catalog.apply(3, workspace("walsh", r#"{"tier": 5}"#, &[]));
    let classes = |name| &catalog.workspace(name).unwrap().classes;
    assert!(Arc::ptr_eq(classes("murphy"), classes("walsh")));
}

#[test]
fn a_clone_stays_as_it_was() {
    let mut catalog = catalog();
    let before = catalog.clone();
    catalog.apply(3, workspace("murphy", r#"{"tier": 7}"#, &[&digest('c')]));
    assert_eq!(before.workspace("murphy").unwrap().tier.number(), 2);
    assert!(before.by_key(&digest('a')).is_some());
    assert_eq!(catalog.workspace("murphy").unwrap().tier.number(), 7);
}
