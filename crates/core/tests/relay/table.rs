//! Look-ups by host, path and key.

use proptest::prelude::*;
use rstest::rstest;
use woodgap_core::relay::plan::{Kind, Route};
use woodgap_core::relay::table::{Denied, Table};

use crate::plan::{plan, route, share, workspace};

fn table() -> Table {
    let routes = vec![
        route("root", "/"),
        route("album", "/album/"),
        route("caption", "/album/caption/"),
        Route {
            public: true,
            ..route("open", "/open/")
        },
    ];
    Table::new(plan(3, routes)).unwrap()
}

#[rstest]
#[case::longest("album.example", "/album/caption/7", Some("caption"))]
#[case::whole_segments_only("album.example", "/album/captions", Some("album"))]
#[case::exactly_the_prefix("album.example", "/album/", Some("album"))]
#[case::without_the_slash("album.example", "/album", Some("root"))]
#[case::with_a_port("album.example:8080", "/album/7", Some("album"))]
#[case::in_capitals("Album.Example", "/album/7", Some("album"))]
#[case::another_host("x.example", "/album/7", None)]
#[case::no_host("", "/album/7", None)]
#[case::no_path("album.example", "", None)]
fn a_request_matches_the_longest_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let route = table.route(host, path);
    assert_eq!(route.map(|route| route.name.as_str()), expected);
}

#[rstest]
#[case::known("album", Some("key-m"), Ok(Some("murphy")))]
#[case::unknown("album", Some("key-x"), Err(Denied))]
#[case::none("album", None, Err(Denied))]
#[case::public("open", None, Ok(None))]
#[case::public_with_a_key("open", Some("key-m"), Ok(None))]
fn a_key_names_the_workspace(
    #[case] name: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<Option<&str>, Denied>,
) {
    let table = table();
    let route = table.route("album.example", &format!("/{name}/"));
    let workspace = table.workspace(route.unwrap(), key);
    assert_eq!(workspace.map(|it| it.map(|it| it.name.as_str())), expected);
}

#[test]
fn a_plan_without_workspaces_asks_for_no_key() {
    let mut plan = plan(1, vec![route("a", "/a/")]);
    plan.workspaces.clear();
    let table = Table::new(plan).unwrap();
    let route = table.route("album.example", "/a/").unwrap();
    assert_eq!(table.workspace(route, None), Ok(None));
}

#[rstest]
#[case(0.0, Some("engines"))]
#[case(0.89, Some("engines"))]
#[case(0.91, Some("others"))]
#[case(0.9999, Some("others"))]
fn services_are_picked_by_weight(#[case] sample: f64, #[case] service: Option<&str>) {
    let weighted = Route {
        shares: vec![share("engines", 90), share("gone", 0), share("others", 10)],
        ..route("a", "/a/")
    };
    let mut plan = plan(1, vec![weighted]);
    plan.services.push(woodgap_core::relay::plan::Service {
        name: "gone".to_owned(),
        connections: 1,
        engine: None,
        scaling: None,
        cold_rate: None,
    });
    let table = Table::new(plan).unwrap();
    let route = table.route("album.example", "/a/").unwrap();
    assert_eq!(table.pick_service(route, sample), service);
}

#[test]
fn route_priority_outranks_workspace_priority() {
    let mut plan = plan(1, vec![]);
    plan.routes = [0, 1, 2]
        .map(|priority| Route {
            priority,
            ..route(&priority.to_string(), &format!("/{priority}/"))
        })
        .to_vec();
    plan.workspaces = vec![workspace("first", "a", 0), workspace("second", "b", 1)];
    let table = Table::new(plan).unwrap();
    let mut levels = Vec::new();
    for path in ["/0/", "/1/", "/2/"] {
        for key in ["a", "b"] {
            let route = table.route("album.example", path).unwrap();
            let workspace = table.workspace(route, Some(key)).unwrap();
            levels.push(table.urgency(workspace.map(AsRef::as_ref), route));
        }
    }
    assert_eq!(levels, [0, 1, 2, 3, 4, 5]);
}

proptest! {
    /// Whatever the number of priority pairs, urgency preserves their order and fits the ten
    /// levels.
    #[test]
    fn urgency_preserves_the_order_of_priorities(priorities in proptest::collection::vec((0_u8..20, 0_u8..20), 1..12)) {
        let mut plan = plan(1, vec![]);
        plan.workspaces.clear();
        for (index, (priority, workspace_priority)) in priorities.iter().enumerate() {
            let name = index.to_string();
            plan.workspaces.push(workspace(&name, &name, *workspace_priority));
            plan.routes.push(Route { priority: *priority, kind: Kind::Stream, ..route(&name, &format!("/{name}/")) });
        }
        let table = Table::new(plan).unwrap();
        let mut levels = Vec::new();
        for (index, pair) in priorities.iter().enumerate() {
            let name = index.to_string();
            let route = table.route("album.example", &format!("/{name}/")).unwrap();
            let workspace = table.workspace(route, Some(&name)).unwrap();
            levels.push((*pair, table.urgency(workspace.map(AsRef::as_ref), route)));
        }
        levels.sort_unstable();
        prop_assert!(levels.is_sorted_by_key(|(_, level)| *level));
        prop_assert!(levels.iter().all(|(_, level)| *level < 10));
    }
}
