//! Rows to report on.

use woodgap_core::burn::{Cell, Count, Key, Row, minute};
use woodgap_core::clock::Millis;
use woodgap_core::name::{Entry, Incarnation};
use woodgap_core::tier::Tier;

/// 2026-03-29 12:00 UTC.
pub const NOON: Millis = Millis(1_774_785_600_000);

/// So many minutes after (or, if negative, before) noon.
pub fn at(minutes: i64) -> u64 {
    minute(NOON).strict_add_signed(minutes)
}

/// The time of [`at`].
pub fn time(minutes: i64) -> Millis {
    Millis(at(minutes) * 60_000)
}

/// A row of an entry's only life.
pub fn row(entry: &str, minute: u64, cells: &[Cell]) -> Row {
    Row {
        entry: Entry::from(entry),
        incarnation: Incarnation(7),
        minute,
        cells: cells.to_vec(),
        started: None,
        last: false,
    }
}

/// Rows of an entry for a range of minutes after noon, all alike.
pub fn rows(entry: &str, minutes: std::ops::Range<i64>, cells: &[Cell]) -> Vec<Row> {
    minutes
        .map(|minute| row(entry, at(minute), cells))
        .collect()
}

/// A count of requests of a class, of which so many met their target.
pub fn cell(tier: u8, class: &str, ended: u64, met: u64) -> Cell {
    Cell {
        key: Key {
            tier: Tier::new(tier).unwrap(),
            class: class.into(),
            workspace: "stories".into(),
        },
        count: Count {
            ended,
            complete: ended,
            met,
            tokens_useful: ended * 100,
            ..Count::default()
        },
    }
}

/// An hour and a half of two entries, the second of which dies at 12:40.
pub fn fleet() -> Vec<Row> {
    let mut caption = cell(2, "caption", 10, 9);
    caption.count = Count {
        complete: 8,
        met: 7,
        not_run: 1,
        uncertain: 1,
        abandoned: 1,
        tokens_wasted: 20,
        ..caption.count
    };
    let receipt = cell(1, "receipt", 20, 20);
    let mut rows = rows("entry-1", -30..60, &[receipt.clone(), caption.clone()]);
    rows.extend(self::rows("entry-2", 0..41, &[receipt, caption]));
    rows
}
