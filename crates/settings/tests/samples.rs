//! Every sample file is valid.

use std::path::PathBuf;

use rstest::rstest;
use woodgap_settings::{burn, entry};

#[rstest]
fn entry_sample(#[files("../../samples/*/entry-*.jsonc")] path: PathBuf) {
    let entry = entry::load(&path).unwrap_or_else(|problems| panic!("{problems}"));
    let file = path.file_stem().unwrap().to_string_lossy().into_owned();
    assert_eq!(format!("entry-{}", entry.data_centre), file);
}

#[rstest]
fn burn_sample(#[files("../../samples/*/burn.jsonc")] path: PathBuf) {
    let burn = burn::load(&path).unwrap_or_else(|problems| panic!("{problems}"));
    assert!(burn.objectives.of("share-link") >= burn.objectives.default);
}

/// What a file that gives only the required keys gets.
#[test]
fn defaults() {
    let text = r#"{"name": "a1", "data_centre": "dub-a",
        "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
        "platform": {"url": "http://127.0.0.1:8080/"},
        "fleet_key": "00000000000000000000000000000000000000000000000000000000000000ff"}"#;
    insta::assert_debug_snapshot!(entry::parse(text, "a1.jsonc"));
}
