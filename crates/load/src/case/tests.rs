use std::collections::BTreeMap;

use rstest::rstest;

use super::{Kind, Measured, Side, Sides};
use crate::check::Findings;
use crate::inversion;
use crate::report::{Delays, Report, Row};
use crate::totals::Totals;

fn row(class: &str, bursts: bool, sent: u64, met: u64) -> Row {
    Row {
        class: class.to_owned(),
        tier: 2,
        bursts,
        totals: Totals {
            sent,
            complete: met,
            ..Totals::default()
        },
        met,
        attainment: 0.0,
        goodput: 0.0,
        first_token: Delays::default(),
        complete_after: Delays::default(),
        between_tokens: Delays::default(),
    }
}

fn measured(others_met: u64, inversions: u64) -> Measured {
    Measured {
        report: Report {
            run: "r".to_owned(),
            seed: 7,
            span_ms: 10_000,
            totals: Totals {
                sent: 200,
                complete: 150,
                ..Totals::default()
            },
            attainment: BTreeMap::from([(1, 1.0), (3, 0.25)]),
            goodput: 15.0,
            rows: vec![
                row("burst", true, 100, 50),
                row("other", false, 100, others_met),
            ],
        },
        check: Some(Findings {
            wasted: 0.125,
            inversion: inversion::Count {
                shed: 50,
                preempted: 0,
                inversions,
                beyond_share: inversions / 2,
            },
            ..Findings::default()
        }),
    }
}

#[rstest]
#[case::tiers(Kind::Tiers)]
#[case::burst(Kind::Burst)]
#[case::unequal(Kind::Unequal)]
fn lines(#[case] kind: Kind) {
    let side = |met, inversions| Side {
        run: measured(met, inversions),
        calm: Some(measured(100, 0)),
    };
    let sides = Sides {
        ours: Some(side(99, 0)),
        baseline: side(40, 30),
    };
    let line = serde_json::to_string(&kind.line(&sides)).unwrap();
    insta::assert_snapshot!(format!("line_{kind:?}"), line);
}

#[test]
fn without_our_run_only_the_baseline_is_told() {
    let sides = Sides {
        ours: None,
        baseline: Side {
            run: measured(40, 30),
            calm: None,
        },
    };
    let line = serde_json::to_value(Kind::Unequal.line(&sides)).unwrap();
    assert!(line.get("goodput").is_none());
    assert_eq!(line["baseline_goodput"], 15.0);
}
