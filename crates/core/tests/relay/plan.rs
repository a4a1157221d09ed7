//! Validation of plans, and plans for the other tests.

use rstest::rstest;
use woodgap_core::clock::Millis;
use woodgap_core::relay::Table;
use woodgap_core::relay::plan::{Error, Kind, Plan, Route, Service, Share, Workspace};

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
