//! Every sample file is valid.

use std::fs;
use std::path::{Path, PathBuf};

use rstest::rstest;
use woodgap_core::config::{Catalog, Document};
use woodgap_core::relay::Plan;
use woodgap_settings::relay::{Scheduling, Services};
use woodgap_settings::{Kind, burn, document, entry, relay};

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

/// The documents of a site fit together, and are what serde makes of them.
#[rstest]
#[case("dublin", 4)]
#[case("navarra-aragon", 4)]
fn documents(#[case] site: &str, #[case] workspaces: usize) {
    let site = Path::new("../../samples").join(site);
    let mut catalog = Catalog::default();
    let mut revision = 0;
    for kind in ["templates", "workspaces"] {
        for file in fs::read_dir(site.join(kind)).unwrap() {
            let document = document::load(&file.unwrap().path()).unwrap();
            let json = serde_json::to_value(&document).unwrap();
            assert_eq!(serde_json::from_value::<Document>(json).unwrap(), document);
            assert_eq!(catalog.check(&document), []);
            revision += 1;
            assert!(catalog.apply(revision, document));
        }
    }
    assert_eq!(catalog.workspaces().count(), workspaces);
}

#[rstest]
#[case("samples/dublin/entry-dub-a.jsonc", Some(Kind::Entry))]
#[case("samples/dublin/relay-dub-a.jsonc", Some(Kind::Relay))]
#[case("samples/navarra-aragon/burn.jsonc", Some(Kind::Burn))]
#[case("samples/dublin/templates/family.json", Some(Kind::Document))]
#[case("samples/dublin/workspaces/murphy.json", Some(Kind::Document))]
#[case("rustfmt.toml", None)]
fn kinds(#[case] file: &str, #[case] kind: Option<Kind>) {
    let text = fs::read_to_string(Path::new("../..").join(file)).unwrap();
    assert_eq!(Kind::of(&text, file).ok().flatten(), kind);
}

#[test]
fn the_sample_of_a_relay() {
    let path = Path::new("../../samples/dublin/relay-dub-a.jsonc");
    insta::assert_debug_snapshot!(relay::load(path).unwrap());
}

/// The sample's workspaces show a weight that is given, and one that is left out.
#[test]
fn the_sample_of_a_plan() {
    let text = fs::read_to_string("../../samples/dublin/relay-plan.json").unwrap();
    let plan: Plan = serde_json::from_str(&text).unwrap();
    assert_eq!(plan.check(), Ok(()));
    let weights: Vec<_> = plan.workspaces.iter().map(|it| it.weight).collect();
    assert_eq!(weights, [2.0, 1.0]);
}

#[test]
fn a_relays_settings_are_checked_whole() {
    let text = r#"{"name": "a 1", "data_centre": "dub-a", "listen": "dublin:80",
        "directory_listen": "127.0.0.1:0", "ready_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0", "seeds": ["127.0.0.1:0"],
        "platform": {"url": "http://127.0.0.1:8080/"},
        "bounds": {"revoke_ms": 0, "leave_ms": 2000, "grace_s": "8",
            "entries_lifetime_s": 5, "repeat_ratio": 2, "repeat_slack": 52}}"#;
    let problems = relay::parse(text, "relay.jsonc").unwrap_err();
    insta::assert_snapshot!(problems);
}

#[test]
fn what_one_relay_does_at_a_time_is_checked_whole() {
    let text = r#"{"name": "a1", "data_centre": "dub-a", "listen": "127.0.0.1:0",
        "directory_listen": "127.0.0.1:0", "ready_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": {"url": "http://127.0.0.1:8080/"},
        "duties": {"url": "platform", "tasks": ["metering", "billing"],
            "window_s": 0, "apart_ms": -1, "headroom": 99, "lease_ms": 4000},
        "bounds": {"revoke_ms": 5000, "leave_ms": 2000, "grace_s": 8,
            "entries_lifetime_s": 5, "repeat_ratio": 0.2, "repeat_slack": 52,
            "repeat_window_s": 10}}"#;
    let problems = relay::parse(text, "relay.jsonc").unwrap_err();
    insta::assert_snapshot!(problems);
}

/// The least settings of a relay, with this section `scheduling` beside them.
fn with_scheduling(section: &str) -> String {
    format!(
        r#"{{"name": "a1", "data_centre": "dub-a", "listen": "127.0.0.1:0",
        "directory_listen": "127.0.0.1:0", "ready_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": {{"url": "http://127.0.0.1:8080/"}},
        "bounds": {{"revoke_ms": 5000, "leave_ms": 2000, "grace_s": 8,
            "entries_lifetime_s": 5, "repeat_ratio": 0.2, "repeat_slack": 52,
            "repeat_window_s": 10}}{section}}}"#
    )
}

/// Requests are scheduled only where the section is there, and each key has its default.
#[rstest]
#[case::none("", None)]
#[case::defaults(r#", "scheduling": {}"#, Some((Services::Uneven, 1_048_576)))]
#[case::uneven(r#", "scheduling": {"services": "uneven"}"#, Some((Services::Uneven, 1_048_576)))]
#[case::all_and_least(
    r#", "scheduling": {"services": "all", "waiting_bytes": 4096}"#,
    Some((Services::All, 4_096))
)]
#[case::most(
    r#", "scheduling": {"waiting_bytes": 1073741824}"#,
    Some((Services::Uneven, 1_073_741_824))
)]
fn scheduling_is_optional(#[case] section: &str, #[case] expected: Option<(Services, usize)>) {
    let relay = relay::parse(&with_scheduling(section), "relay.jsonc").unwrap();
    let expected = expected.map(|(services, waiting_bytes)| Scheduling {
        services,
        admission: true,
        waiting_bytes,
    });
    assert_eq!(relay.scheduling, expected);
}

#[test]
fn scheduling_without_admission() {
    let section = r#", "scheduling": {"admission": false}"#;
    let relay = relay::parse(&with_scheduling(section), "relay.jsonc").unwrap();
    assert!(relay.scheduling.is_some_and(|it| !it.admission));
}

#[rstest]
#[case::values(
    "scheduling-values",
    r#"{"services": "some", "waiting_bytes": 4095, "waiting_ms": 100}"#
)]
#[case::too_many_bytes("scheduling-too-many-bytes", r#"{"waiting_bytes": 1073741825}"#)]
#[case::no_object("scheduling-no-object", r#""all""#)]
fn scheduling_is_checked_whole(#[case] name: &str, #[case] section: &str) {
    let section = format!(r#", "scheduling": {section}"#);
    let problems = relay::parse(&with_scheduling(&section), "relay.jsonc").unwrap_err();
    insta::assert_snapshot!(name, problems);
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
