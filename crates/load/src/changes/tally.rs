//! Compares what was accepted with what was seen and what is in the history.

use std::collections::BTreeMap;

use woodgap_core::admin::Change;
use woodgap_core::clock::Millis;

use crate::changes::Findings;
use crate::changes::operator::End;
use crate::changes::watch::Sight;

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: u64,
    /// When the operator knew.
    pub at: Millis,
}

/// How the changes ended.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    accepted: BTreeMap<String, Accepted>,
    conflicts: usize,
    unknown: usize,
    both_won: usize,
}

impl Tally {
    /// A change ended.
    pub fn ended(&mut self, change: &str, end: End, at: Millis) {
        match end {
            End::Accepted(applied) => {
                let accepted = Accepted {
                    revision: applied.revision,
                    at,
                };
                self.accepted.insert(change.to_owned(), accepted);
            }
            End::Conflict => self.conflicts += 1,
            End::Refused | End::Unknown => self.unknown += 1,
        }
    }

    /// Both changes of a race were accepted.
    pub fn both_won(&mut self) {
        self.both_won += 1;
    }

    /// The newest revision accepted.
    pub fn newest(&self) -> u64 {
        self.accepted
            .values()
            .map(|accepted| accepted.revision)
            .max()
            .unwrap_or(0)
    }

    /// Compares with what each entry showed, and the history.
    pub fn findings(&self, observed: &[Vec<Sight>], history: &[Change]) -> Findings {
        let stale = observed.iter().map(|sights| self.stale(sights)).max();
        let reverted = observed.iter().map(|sights| reverted(sights)).sum();
        let behind = observed
            .iter()
            .filter(|sights| self.ends_behind(sights))
            .count();
        let times = |change: &String| history.iter().filter(|kept| kept.change == *change).count();
        let missing = self
            .accepted
            .keys()
            .filter(|change| times(change) == 0)
            .count();
        let twice = self
            .accepted
            .keys()
            .filter(|change| times(change) > 1)
            .count();
        Findings {
            changes: self.accepted.len(),
            conflicts: self.conflicts,
            in_force_ms_max: stale.unwrap_or_default().0,
            reverted,
            lost: missing + behind,
            double_applied: twice + self.both_won,
            unknown: self.unknown,
        }
    }

    /// Longest time after an acceptance at which an older revision was served.
    fn stale(&self, sights: &[Sight]) -> Millis {
        let after = |accepted: &Accepted| {
            let older = sights
                .iter()
                .filter(|sight| sight.revision < accepted.revision);
            older
                .map(|sight| sight.asked - accepted.at)
                .max()
                .unwrap_or_default()
        };
        self.accepted.values().map(after).max().unwrap_or_default()
    }

    fn ends_behind(&self, sights: &[Sight]) -> bool {
        sights
            .last()
            .is_none_or(|last| last.revision < self.newest())
    }
}

fn reverted(sights: &[Sight]) -> usize {
    sights
        .windows(2)
        .filter(|pair| pair[1].revision < pair[0].revision)
        .count()
}

#[cfg(test)]
mod tests;
