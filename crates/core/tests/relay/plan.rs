//! Validation of plans, and plans for the other tests.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::Table;
use woodgap_core::relay::plan::{self, Error, Kind, Plan, Route, Service, Share, Workspace};

pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "album.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Stream,
        timeout: Millis(4_000),
        target: Millis(500),
        gap: Some(Millis(250)),
        priority: 1,
        shares: vec![share("engines", 1)],
        attempts: 2,
        public: false,
        resumable: false,
    }
}

pub fn share(service: &str, weight: u32) -> Share {
    Share {
        service: service.to_owned(),
        weight,
    }
}

pub fn workspace(name: &str, key: &str, priority: u8) -> Workspace {
    Workspace {
        name: name.to_owned(),
        keys: vec![key.to_owned()],
        priority,
        weight: plan::DEFAULT_WEIGHT,
    }
}

pub fn plan(version: u64, routes: Vec<Route>) -> Plan {
    let service = |name: &str| Service {
        name: name.to_owned(),
        connections: 100,
        engine: None,
        scaling: None,
        cold_rate: None,
    };
    Plan {
        version,
        routes,
        services: vec![service("engines"), service("others")],
        workspaces: vec![
            workspace("murphy", "key-m", 1),
            workspace("byrne", "key-b", 0),
        ],
        limits: woodgap_core::relay::plan::Limits::default(),
    }
}

#[rstest]
#[case::prefix_without_end(vec![route("a", "/a")], Error::InvalidPrefix("a".to_owned()))]
#[case::prefix_without_beginning(vec![route("a", "a/")], Error::InvalidPrefix("a".to_owned()))]
#[case::same_prefix(
    vec![route("a", "/a/"), route("b", "/a/")],
    Error::DuplicateRoute("a".to_owned(), "b".to_owned())
)]
#[case::no_weighted_service(
    vec![Route { shares: vec![share("engines", 0)], ..route("a", "/a/") }],
    Error::NoWeightedService("a".to_owned())
)]
#[case::unknown_service(
    vec![Route { shares: vec![share("x", 1)], ..route("a", "/a/") }],
    Error::UnknownService("a".to_owned(), "x".to_owned())
)]
fn an_invalid_plan_is_rejected(#[case] routes: Vec<Route>, #[case] error: Error) {
    assert_eq!(Table::new(plan(1, routes)).unwrap_err(), error);
}

#[test]
fn a_key_identifies_one_workspace() {
    let mut plan = plan(1, vec![]);
    plan.workspaces = vec![workspace("a", "same", 0), workspace("b", "same", 0)];
    let error = Error::DuplicateKey("a".to_owned(), "b".to_owned());
    assert_eq!(Table::new(plan).unwrap_err(), error);
}

/// A weight of 0 or one that is no number would leave its workspace, or all others, without a
/// share.
#[rstest]
#[case::least(0.01, true)]
#[case::default(1.0, true)]
#[case::most(100.0, true)]
#[case::too_small(0.009, false)]
#[case::zero(0.0, false)]
#[case::negative(-1.0, false)]
#[case::too_large(100.1, false)]
#[case::not_a_number(f64::NAN, false)]
#[case::infinite(f64::INFINITY, false)]
fn a_weight_has_a_range(#[case] weight: f64, #[case] is_valid: bool) {
    let mut plan = plan(1, vec![]);
    plan.workspaces[1].weight = weight;
    let error = Error::InvalidWeight("byrne".to_owned());
    assert_eq!(plan.check(), if is_valid { Ok(()) } else { Err(error) });
}

/// The message names the workspace and the range.
#[test]
fn an_invalid_weight_is_explained() {
    let error = Error::InvalidWeight("byrne".to_owned()).to_string();
    let expected = "workspace `byrne`: the weight must be a number from 0.01 to 100";
    assert_eq!(error, expected);
}

/// Plans that were written before there were weights stay valid.
#[rstest]
#[case::without(r#"{"name": "byrne", "keys": []}"#, 1.0)]
#[case::with(r#"{"name": "byrne", "keys": [], "weight": 2.5}"#, 2.5)]
fn a_weight_may_be_left_out(#[case] text: &str, #[case] weight: f64) {
    let workspace: Workspace = serde_json::from_str(text).unwrap();
    assert!((workspace.weight - weight).abs() < f64::EPSILON);
}

#[rstest]
#[case::idempotent(Kind::Idempotent, false, true)]
#[case::not_idempotent(Kind::NonIdempotent, false, false)]
#[case::not_idempotent_but_resumable(Kind::NonIdempotent, true, false)]
#[case::stream(Kind::Stream, false, false)]
#[case::resumable_stream(Kind::Stream, true, true)]
fn which_requests_are_repeatable(
    #[case] kind: Kind,
    #[case] resumable: bool,
    #[case] repeatable: bool,
) {
    let route = Route {
        kind,
        resumable,
        ..route("a", "/a/")
    };
    assert_eq!(route.repeatable(), repeatable);
}
