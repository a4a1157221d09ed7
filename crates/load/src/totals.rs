//! Sums over a run, as one JSON line for scripts.

use serde::{Deserialize, Serialize};

use crate::event::{End, Event, How};

/// Counts of requests by what became of them.
///
/// `sent` is `complete` + `refused_not_run` + `may_have_run` + `lost`; the
/// others count requests that stand in one of these too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// All requests.
    pub sent: u64,
    /// Answered whole.
    pub complete: u64,
    /// Refused in the end, and did not run.
    pub refused_not_run: u64,
    /// Ended with the verdict `may_have_run` or `ran`.
    pub may_have_run: u64,
    /// Had a connection that broke, whatever became of the request then.
    pub broken_by_kill: u64,
    /// Ended without answer or verdict.
    pub lost: u64,
    /// Got tokens twice in one answer, or (with records) ran twice though not repeatable.
    pub doubled: u64,
    /// Got another request's tokens.
    pub crossed: u64,
    /// Had an answer that ended without its mark and without an error.
    pub cut: u64,
}

impl Totals {
    /// Counts one request.
    pub fn add(&mut self, event: &Event) {
        self.sent += 1;
        match event.end {
            End::Complete => self.complete += 1,
            End::RefusedNotRun => self.refused_not_run += 1,
            End::MayHaveRun => self.may_have_run += 1,
            End::Lost => self.lost += 1,
        }
        self.broken_by_kill += u64::from(event.any(How::Broken));
        self.cut += u64::from(event.any(How::Cut));
        self.doubled += u64::from(event.faults.doubled);
        self.crossed += u64::from(event.faults.crossed);
    }

    /// The counts of these events.
    pub fn of<'a>(events: impl IntoIterator<Item = &'a Event>) -> Self {
        let mut totals = Self::default();
        for event in events {
            totals.add(event);
        }
        totals
    }

    /// Whether each request got its own whole answer, once.
    pub fn all_well(&self) -> bool {
        let bad = self.lost + self.doubled + self.crossed + self.cut;
        self.complete == self.sent && bad == 0
    }
}
