//! What is missing from the counts: minutes that an entry lived and did not record.

use serde::Serialize;
use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::span::{Span, start};
use crate::tally::{Life, Presence, Tally};

/// How many minutes before the running one a live entry's newest row may lie:
/// entries write at least once a minute, one write may fail, and one be late.
const ALLOWANCE: u64 = 3;

/// Something that the report's counts lack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Gap {
    /// An entry's rows stop without the mark of a clean end.
    Stopped {
        /// The entry.
        entry: name::Entry,
        /// Its life, in hexadecimal.
        life: String,
        /// The start of the last minute it recorded, in milliseconds since the Unix epoch.
        at: Millis,
    },
    /// An entry has no rows for some minutes of its life.
    Hole {
        /// The entry.
        entry: name::Entry,
        /// Its life, in hexadecimal.
        life: String,
        /// Where the hole begins, in milliseconds since the Unix epoch.
        from: Millis,
        /// Where it ends.
        until: Millis,
    },
    /// The table service failed: what is newer was not read.
    Unread {
        /// From here on, in milliseconds since the Unix epoch.
        from: Millis,
        /// How it failed.
        cause: String,
    },
    /// A row that could not be understood.
    Unreadable {
        /// The row's key in the table.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Requests whose workspace was not recorded, in a report on one workspace.
    Merged {
        /// How many, of all workspaces.
        requests: u64,
    },
}

/// What the lives' rows of a span lack, by entry and time.
pub fn find(tally: &Tally, span: Span) -> Vec<Gap> {
    let span = tally.known(span);
    let lives = tally.lives().iter();
    let mut gaps: Vec<Gap> = lives
        .flat_map(|(life, presence)| of_life(life, presence, span))
        .collect();
    if tally.merged() > 0 {
        gaps.push(Gap::Merged {
            requests: tally.merged(),
        });
    }
    gaps
}

fn of_life(life: &Life, presence: &Presence, span: Span) -> Vec<Gap> {
    if span.is_empty() {
        return Vec::new();
    }
    let recorded: Vec<u64> = presence
        .minutes
        .range(span.first..span.end)
        .copied()
        .collect();
    let (Some(&oldest), Some(&newest)) = (recorded.first(), recorded.last()) else {
        return Vec::new();
    };
    let (entry, incarnation) = life;
    let hole = |first: u64, end: u64| Gap::Hole {
        entry: entry.clone(),
        life: hexadecimal(*incarnation),
        from: start(first),
        until: start(end),
    };
    let mut gaps = Vec::new();
    let began = presence
        .started
        .map_or(oldest, |minute| minute.max(span.first));
    if began < oldest {
        gaps.push(hole(began, oldest));
    }
    let pairs = recorded.windows(2).filter(|pair| pair[1] > pair[0] + 1);
    gaps.extend(pairs.map(|pair| hole(pair[0] + 1, pair[1])));
    // A mark that newer rows follow was taken back.
    let running = span.end - 1;
    if presence.last != Some(newest) && newest + ALLOWANCE < running {
        gaps.push(Gap::Stopped {
            entry: entry.clone(),
            life: hexadecimal(*incarnation),
            at: start(newest),
        });
    }
    gaps
}

fn hexadecimal(incarnation: name::Incarnation) -> String {
    format!("{:016x}", incarnation.0)
}
