//! Broken files and the problems that are reported for them.

use std::fs;
use std::path::PathBuf;

use rstest::rstest;
use woodgap_settings::{Problems, burn, document, entry, order};

#[rstest]
fn entry_problems(#[files("tests/broken/entry-*.jsonc")] path: PathBuf) {
    report(&path, |text, file| entry::parse(text, file).err());
}

#[rstest]
fn burn_problems(#[files("tests/broken/burn-*.jsonc")] path: PathBuf) {
    report(&path, |text, file| burn::parse(text, file).err());
}

#[rstest]
fn document_problems(#[files("tests/broken/document-*.json")] path: PathBuf) {
    report(&path, |text, file| document::parse(text, file).err());
}

#[rstest]
fn order_problems(#[files("tests/broken/order-*.jsonc")] path: PathBuf) {
    report(&path, |text, file| order::parse(text, file).err());
}

fn report(path: &PathBuf, parse: impl Fn(&str, &str) -> Option<Problems>) {
    let text = fs::read_to_string(path).unwrap();
    let file = path.file_name().unwrap().to_string_lossy();
    let problems = parse(&text, &file).expect("a broken file is refused");
    let name = path.file_stem().unwrap().to_string_lossy().into_owned();
    insta::assert_snapshot!(name, problems);
}

#[test]
fn no_such_file() {
    let problems = entry::load(&PathBuf::from("tests/broken/none.jsonc")).unwrap_err();
    insta::assert_snapshot!(problems, @"tests/broken/none.jsonc:1:1: found no readable file (No such file or directory (os error 2)), expected a text file in UTF-8. Check the path and its permissions.");
}

/// A pasted secret must not reach a terminal or a log.
#[test]
fn secrets_stay_hidden() {
    let text = r#"{"platform": {"url": "http://a:not-to-be-shown@b"},
        "fleet_key": "not-to-be-shown", "operators": [{"key_sha256": "not-to-be-shown"}]}"#;
    let problems = entry::parse(text, "secret.jsonc").unwrap_err();
    assert!(!format!("{problems} {problems:?}").contains("not-to-be-shown"));
}
