use std::time::Duration;

use rstest::rstest;

use super::{Arrival, Bounds, plan};
use crate::traffic::Traffic;

fn traffic(classes: &[(&str, f64, &str)]) -> Traffic {
    let class = |(name, rate, extra): &(&str, f64, &str)| {
        format!(
            r#"{{"name": "{name}", "workspace": "murphy", "key": "k", "class": "c",
                "target": "story-7b", "rate_per_s": {rate}, "tier": 1, "target_ms": 500 {extra}}}"#
        )
    };
    let classes: Vec<_> = classes.iter().map(class).collect();
    Traffic::parse(&format!(r#"{{"classes": [{}]}}"#, classes.join(","))).unwrap()
}

fn seconds(traffic: &Traffic, seed: u64, seconds: u64) -> Vec<Arrival> {
    let bounds = Bounds {
        duration: Some(Duration::from_secs(seconds)),
        count: None,
    };
    plan(traffic, seed, bounds).unwrap()
}

#[test]
fn the_seed_fixes_the_plan() {
    let tokens = r#", "tokens": {"lognormal": {"median": 50, "sigma": 1, "max": 400}}"#;
    let traffic = traffic(&[("links", 4.0, ""), ("captions", 2.0, tokens)]);
    let plan = seconds(&traffic, 7, 2);
    assert_eq!(plan, seconds(&traffic, 7, 2));
    assert_ne!(plan, seconds(&traffic, 8, 2));
    let shown: Vec<_> = plan
        .iter()
        .map(|arrival| (arrival.at.as_millis(), arrival.class, arrival.length))
        .collect();
    insta::assert_compact_debug_snapshot!(shown);
}

#[test]
fn another_class_leaves_arrivals_alone() {
    let alone = seconds(&traffic(&[("links", 4.0, "")]), 7, 5);
    let beside = seconds(&traffic(&[("links", 4.0, ""), ("captions", 9.0, "")]), 7, 5);
    let of_links: Vec<_> = beside.into_iter().filter(|a| a.class == 0).collect();
    assert_eq!(alone, of_links);
}

#[rstest]
#[case::steady("", 0, 100, 1_000)]
#[case::burst(
    r#", "bursts": [{"from_ms": 20000, "to_ms": 40000, "factor": 10}]"#,
    20,
    40,
    2_000
)]
#[case::overlap(
    r#", "bursts": [{"from_ms": 0, "to_ms": 40000, "factor": 10},
                    {"from_ms": 20000, "to_ms": 60000, "factor": 0.5}]"#,
    20,
    40,
    1_000
)]
#[case::pause(
    r#", "bursts": [{"from_ms": 20000, "to_ms": 40000, "factor": 0}]"#,
    20,
    40,
    0
)]
fn rates_change_over_time(
    #[case] bursts: &str,
    #[case] from: u64,
    #[case] to: u64,
    #[case] expected: i64,
) {
    let plan = seconds(&traffic(&[("links", 10.0, bursts)]), 3, 100);
    let span = Duration::from_secs(from)..Duration::from_secs(to);
    let found = plan
        .iter()
        .filter(|arrival| span.contains(&arrival.at))
        .count();
    let found = i64::try_from(found).unwrap();
    // Four standard deviations of the Poisson count; the seed is fixed.
    let spread = 4 * expected.isqrt();
    assert!(
        (found - expected).abs() <= spread,
        "{found} against {expected}"
    );
}

#[test]
fn a_count_ends_the_plan() {
    let bounds = Bounds {
        duration: None,
        count: Some(200),
    };
    let plan = plan(
        &traffic(&[("links", 4.0, ""), ("idle", 0.0, "")]),
        1,
        bounds,
    )
    .unwrap();
    assert_eq!(plan.len(), 200);
    assert!(plan.is_sorted_by_key(|arrival| arrival.at));
}

#[test]
fn a_boundless_plan_is_refused() {
    let traffic = traffic(&[("links", 1e6, "")]);
    let bounds = Bounds {
        duration: Some(Duration::from_secs(100)),
        count: None,
    };
    assert!(plan(&traffic, 1, bounds).is_err());
}
