//! Tells of what was refused or closed so that all other callers are served.

use std::cell::RefCell;

use woodgap_core::clock::Millis;
use woodgap_intake::intake::Event;

use crate::state::State;

/// The shortest time between two lines.
const LINE_INTERVAL: Millis = Millis(10_000);

/// What was told of so far.
#[derive(Debug, Default)]
pub struct Report {
    known: RefCell<[u64; Event::ALL.len()]>,
    logged: RefCell<Logged>,
}

/// What the last line told of, and when that was.
#[derive(Clone, Copy, Debug, Default)]
struct Logged {
    total: u64,
    at: Millis,
}

impl Report {
    /// Brings the metrics up to date, and logs a line if there is something new.
    pub fn update(&self, state: &State, now: Millis) {
        let level = state.intake.level();
        let metrics = &state.metrics.intake;
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.connections.set(gauge(level.connections));
        metrics.held_bytes.set(gauge(level.bytes));
        let mut known = self.known.borrow_mut();
        for (event, known) in Event::ALL.into_iter().zip(known.iter_mut()) {
            let count = state.intake.count_of(event);
            let counter = metrics.events.with_label_values(&[event.as_str()]);
            counter.inc_by(count - *known);
            *known = count;
        }
        let total = known.iter().sum();
        let mut logged = self.logged.borrow_mut();
        if total == logged.total || (logged.total > 0 && now - logged.at < LINE_INTERVAL) {
            return;
        }
        log::warn!(
            gave_way = total - logged.total, connections = level.connections,
            held_bytes = level.bytes;
            "connections or requests gave way, as callers use more than there is room for"
        );
        *logged = Logged { total, at: now };
    }
}
