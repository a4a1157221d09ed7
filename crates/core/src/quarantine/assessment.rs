//! Which of the causes that were running explain the crashes best. The rules are those of the
//! documentation of [`crate::quarantine`].

use std::collections::HashMap;

use crate::quarantine::record::{Confidence, Crash, Record};
use crate::quarantine::{CRASH_THRESHOLD, Cause, MAX_EARLY_PIECES};

/// Returns whether the crashes of a cause are due to it, and with which confidence. `companions`
/// are not considered as alternatives.
pub fn confidence(
    records: &HashMap<Cause, Record>,
    cause: Cause,
    record: &Record,
    companions: &[Cause],
) -> Option<Confidence> {
    let count = record.count_excluding(|_| false);
    if !count.suffices(cause, Confidence::Certain) {
        return None;
    }
    let suspect = Suspect {
        cause,
        record,
        crashes: count.sequential,
    };
    let rivals = suspect.rivals(records, companions);
    let explained = suspect.explained_crashes(&rivals);
    let unexplained = record
        .count_excluding(|crash| explained.contains(crash) || crash.pieces > MAX_EARLY_PIECES);
    let is_doubtful = cause.is_part() && record.may_be_popular();
    let is_certain = unexplained.suffices(cause, Confidence::Certain)
        && suspect.stands_alone_once(&rivals)
        && !record.is_popular()
        && !is_doubtful;
    if is_certain {
        return Some(Confidence::Certain);
    }
    let tied = suspect.tied_crashes(&rivals);
    let unexplained =
        record.count_excluding(|crash| explained.contains(crash) || tied.contains(crash));
    let confidence = if is_doubtful {
        Confidence::Doubtful
    } else {
        Confidence::Uncertain
    };
    unexplained
        .suffices(cause, confidence)
        .then_some(confidence)
}

/// A cause with enough crashes.
struct Suspect<'a> {
    cause: Cause,
    record: &'a Record,
    /// Its crashes in sequence.
    crashes: usize,
}

/// Another cause that was running at some of the crashes.
struct Rival<'a> {
    cause: Cause,
    record: &'a Record,
    /// Its crashes in sequence.
    crashes: usize,
}

impl<'a> Suspect<'a> {
    fn rivals(&self, records: &'a HashMap<Cause, Record>, companions: &[Cause]) -> Vec<Rival<'a>> {
        let others = records
            .iter()
            .filter(|(other, _)| **other != self.cause && !companions.contains(other));
        let beside = others.filter(|(_, other)| self.record.all().any(|it| other.includes(it)));
        beside
            .map(|(cause, record)| Rival {
                cause: *cause,
                record,
                crashes: record.crashes(),
            })
            .collect()
    }

    /// Returns the crashes at which some rival meets a condition.
    fn crashes_where(&self, rivals: &[Rival], condition: impl Fn(&Rival) -> bool) -> Vec<Crash> {
        let rivals: Vec<_> = rivals.iter().filter(|rival| condition(rival)).collect();
        let crashes = self.record.all().copied();
        crashes
            .filter(|crash| rivals.iter().any(|rival| rival.record.includes(crash)))
            .collect()
    }

    /// Returns the crashes that another cause explains better.
    fn explained_crashes(&self, rivals: &[Rival]) -> Vec<Crash> {
        self.crashes_where(rivals, |rival| {
            rival.record.is_withheld_earlier(self.record) || self.is_outranked_by(rival)
        })
    }

    fn is_outranked_by(&self, rival: &Rival) -> bool {
        // What many sound requests hold, or are, stands beside most crashes, whatever causes them.
        if self.is_less_likely_than(rival) {
            return rival.crashes >= CRASH_THRESHOLD;
        }
        !self.is_more_likely_than(rival) && rival.crashes > self.crashes
    }

    /// What has completed lately is less likely to be the cause.
    fn is_less_likely_than(&self, rival: &Rival) -> bool {
        self.record.is_popular() && !rival.record.is_popular()
    }

    fn is_more_likely_than(&self, rival: &Rival) -> bool {
        !self.record.is_popular() && rival.record.is_popular()
    }

    /// Returns the crashes that another cause explains as well, if it is no less likely. Of two
    /// parts that are alike neither is withheld on its own.
    fn tied_crashes(&self, rivals: &[Rival]) -> Vec<Crash> {
        let runs = self.record.runs();
        self.crashes_where(rivals, |rival| {
            let are_parts = self.cause.is_part() && rival.cause.is_part();
            let are_alike = are_parts && rival.record.runs() == runs;
            rival.crashes == self.crashes
                && !self.is_more_likely_than(rival)
                && (rival.record.runs() < runs || are_alike)
        })
    }

    /// Returns whether one of the crashes interrupted no other cause with as many crashes.
    fn stands_alone_once(&self, rivals: &[Rival]) -> bool {
        let shared = self.crashes_where(rivals, |rival| rival.crashes >= self.crashes);
        self.record.all().any(|crash| !shared.contains(crash))
    }
}
