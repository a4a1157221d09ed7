//! What counting for the burn report costs an entry at the target's rate: time
//! for one count, rows and bytes a minute, and memory while the table service
//! is out for a day. `cargo bench -p woodgap-core --bench recording`.

use std::fs;
use std::time::Instant;

use woodgap_core::burn::{Count, Key, Recorder};
use woodgap_core::clock::Millis;
use woodgap_core::name::Incarnation;
use woodgap_core::tier::Tier;

/// Requests a second at one entry.
const RATE: u64 = 35;
/// Workspaces of the fleet, of which each request is any.
const WORKSPACES: u64 = 25_000;
/// Entries of the fleet.
const ENTRIES: u64 = 400;
/// Classes of a workspace.
const CLASSES: [&str; 3] = ["caption", "chat", "report"];
const SECOND: Millis = Millis(1_000);
const HOUR_SECONDS: u64 = 3_600;

/// Resident memory of this process, in KiB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    figure.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

fn key(number: u64) -> Key {
    let tier = u8::try_from(number % 7 + 1).unwrap_or(1);
    let class = usize::try_from(number % 3).unwrap_or(0);
    Key {
        tier: Tier::new(tier).unwrap_or(Tier::LOWEST),
        class: CLASSES[class].into(),
        workspace: format!("workspace-{:05}", number * 7_919 % WORKSPACES)
            .as_str()
            .into(),
    }
}

/// Counts for a span; the table service takes all rows, or fails them all.
fn run(seconds: u64, takes: bool) {
    let before = resident_kb();
    let mut recorder = Recorder::new("entry-1".into(), Incarnation(1 << 40));
    recorder.resize(ENTRIES);
    let count = Count {
        ended: 1,
        complete: 1,
        met: 1,
        tokens_useful: 450,
        ..Count::default()
    };
    let mut now = Millis(1_785_000_000_000);
    let (mut number, mut rows, mut bytes, mut largest) = (0, 0_u64, 0, 0);
    let begun = Instant::now();
    for _ in 0..seconds {
        for _ in 0..RATE {
            recorder.count(now, &key(number), &count);
            number += 1;
        }
        for row in recorder.due(now) {
            let size = serde_json::to_string(&row).expect("a row").len();
            rows += 1;
            bytes += size;
            largest = largest.max(size);
            if takes {
                recorder.written(&row);
            } else {
                recorder.failed(&row);
            }
        }
        now = now + SECOND;
    }
    let spent = begun.elapsed().as_secs_f64();
    println!(
        "{seconds:7} {takes:5} {:10.1} {:12.2} {:11.0} {largest:13} {:6} {:7} {:10}",
        spent * 1e6 / seconds as f64,
        rows as f64 * 60.0 / seconds as f64,
        bytes as f64 / seconds as f64,
        recorder.held(),
        recorder.cells(),
        resident_kb().saturating_sub(before),
    );
}

fn main() {
    println!(
        "seconds takes  us/second  rows/minute  bytes/second largest bytes minutes cells memory KiB"
    );
    run(HOUR_SECONDS, true);
    run(24 * HOUR_SECONDS, false);
}
