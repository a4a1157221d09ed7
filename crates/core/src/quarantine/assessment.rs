//! Which of the causes that were running explain the crashes best. The rules are those of the
//! documentation of [`crate::quarantine`].

use std::collections::HashMap;

use crate::quarantine::record::{Confidence, Crash, Record};
use crate::quarantine::{Cause, MAX_EARLY_PIECES};

/// Returns whether the crashes of a cause are due to it, and with which confidence. `companions`
/// are not considered as alternatives.
pub fn confidence(
    records: &HashMap<Cause, Record>,
    cause: Cause,
    record: &Record,
    companions: &[Cause],
) -> Option<Confidence> {
    let crash_count = record.count_excluding(|_| false);
    if !crash_count.suffices(cause, Confidence::Certain) {
        return None;
    }
    let alternatives = Alternatives {
        records,
        cause,
        record,
        crashes: crash_count.sequential,
        companions,
    };
    let unexplained = record
        .count_excluding(|crash| alternatives.explain(crash) || crash.pieces > MAX_EARLY_PIECES);
    let is_certain = unexplained.suffices(cause, Confidence::Certain)
        && alternatives.leave_one_out(record)
        && !record.is_popular;
    if is_certain {
        return Some(Confidence::Certain);
    }
    let unexplained =
        record.count_excluding(|crash| alternatives.explain(crash) || alternatives.tie(crash));
    unexplained
        .suffices(cause, Confidence::Uncertain)
        .then_some(Confidence::Uncertain)
}

/// What else may explain the crashes of a cause.
struct Alternatives<'a> {
    records: &'a HashMap<Cause, Record>,
    cause: Cause,
    record: &'a Record,
    /// Its crashes in sequence.
    crashes: usize,
    companions: &'a [Cause],
}

impl Alternatives<'_> {
    /// Iterates over the other causes that were running at a crash.
    fn beside(&self, crash: &Crash) -> impl Iterator<Item = (Cause, &Record)> {
        let others = self
            .records
            .iter()
            .filter(|(other, _)| **other != self.cause && !self.companions.contains(other));
        let crash = *crash;
        let beside = others.filter(move |(_, record)| record.includes(&crash));
        beside.map(|(other, record)| (*other, record))
    }

    /// Returns whether another cause explains the crash better.
    fn explain(&self, crash: &Crash) -> bool {
        self.beside(crash).any(|(_, other)| {
            let crashes = other.crashes();
            crashes > self.crashes
                || (crashes == self.crashes && self.record.is_popular && !other.is_popular)
                || other.is_withheld_earlier(self.record)
        })
    }

    /// Returns whether another cause explains the crash as well, and is no less likely. Of two
    /// parts that are alike neither is withheld on its own.
    fn tie(&self, crash: &Crash) -> bool {
        let runs = self.record.runs();
        self.beside(crash).any(|(other_cause, other)| {
            let are_alike = self.cause.is_part() && other_cause.is_part() && other.runs() == runs;
            let is_less_likely = other.is_popular && !self.record.is_popular;
            other.crashes() == self.crashes && !is_less_likely && (other.runs() < runs || are_alike)
        })
    }

    /// Returns whether one of the crashes interrupted no other cause with as many crashes.
    fn leave_one_out(&self, record: &Record) -> bool {
        record.all().any(|crash| {
            self.beside(crash)
                .all(|(_, other)| other.crashes() < self.crashes)
        })
    }
}
