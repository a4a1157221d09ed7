//! What two readings of an entry say, and what follows for the target.

use rstest::rstest;
use woodgap_core::admin::Control;
use woodgap_core::clock::Millis;

use super::reading::{Cost, Reading};
use super::target::{BUDGET, Size, TARGET, extrapolate};

fn reading(at: u64, cpu_us: u64, bytes_sent: u64) -> Reading {
    Reading {
        at: Millis(at),
        endpoints: 50,
        control: Control {
            cpu_us,
            bytes_sent,
            messages_sent: bytes_sent / 100,
            bytes_received: bytes_sent * 2,
            rss_kb: 10_000,
            ..Control::default()
        },
    }
}

#[test]
fn rates_are_those_between_the_readings() {
    let cost = Cost::between(&reading(1_000, 5_000, 700), &reading(3_000, 25_000, 6_700));
    let expected = Cost {
        core_share: 0.01,
        rss_mb: 10.24,
        bytes_per_s: 3_000.0,
        received_per_s: 6_000.0,
        messages_per_s: 30.0,
    };
    assert_eq!(cost, expected);
}

#[test]
fn an_entry_that_started_anew_between_them_has_no_negative_rate() {
    let cost = Cost::between(&reading(1_000, 9_000, 9_000), &reading(2_000, 1_000, 1_000));
    assert_eq!((cost.core_share, cost.bytes_per_s), (0.0, 0.0));
}

#[rstest]
#[case::within(0.017, 64.0, 11_000.0, true)]
#[case::processor(0.018, 64.0, 11_000.0, false)]
#[case::memory(0.017, 65.0, 11_000.0, false)]
#[case::bytes(0.017, 64.0, 11_001.0, false)]
fn budget(#[case] core: f64, #[case] rss: f64, #[case] bytes: f64, #[case] holds: bool) {
    let cost = Cost {
        core_share: core,
        rss_mb: rss,
        bytes_per_s: bytes,
        ..Cost::default()
    };
    assert_eq!(BUDGET.holds(&cost), holds);
}

#[test]
fn at_the_target_itself_nothing_is_added() {
    let cost = Cost::between(&reading(1_000, 5_000, 700), &reading(3_000, 25_000, 6_700));
    assert_eq!(extrapolate(&cost, &TARGET), cost);
    let smaller = Size {
        entries: 6.0,
        ..TARGET
    };
    assert!(extrapolate(&cost, &smaller).core_share > cost.core_share);
}
