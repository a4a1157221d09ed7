//! What a planned stop promises to requests, judged when all is over.

use std::time::{Duration, Instant};

use crate::caller::LIST_LIFE;
use crate::process::GRACE;
use crate::record::{End, Kind, Outcome, Problem, Record, Run, Sent};

/// After so much of its grace, five sixths, a process may cut off what it had taken early.
const SAFE_PART: (u32, u32) = (5, 6);
/// How much sooner than callers reckon a deadline may pass at a relay, which counts whole ms.
const ROUNDING: Duration = Duration::from_millis(1);

/// What a stop has done to a request that ran at an endpoint.
pub struct Case<'a> {
    pub id: &'a str,
    pub sent: &'a Sent,
    pub runs: &'a [Run],
    /// When the process was first told to stop.
    pub told: Instant,
    /// Whether the way to an endpoint of its runs held back or delayed bytes meanwhile.
    pub was_slowed: bool,
}

impl Case<'_> {
    /// The promise that was broken, if one was.
    pub fn judge(&self, record: &Record) -> Option<Problem> {
        let (end, ended) = self.sent.end.zip(self.sent.ended)?;
        if end == End::Answered(503) && self.sent.kind == Kind::Read && !self.runs.is_empty() {
            // Other kinds are held to this wherever they are refused.
            return Some(Problem::RanAfterAll(self.id.to_owned(), 503));
        }
        let is_over = ended + ROUNDING >= self.sent.at + self.sent.patience;
        if self.runs.is_empty() || ended < self.told || is_over || self.broke_off(record, ended) {
            return None;
        }
        let since = |at: Instant| at.saturating_duration_since(self.told).as_millis();
        let id = self.id.to_owned();
        let outcomes = self.runs.iter().map(|run| run.outcome).collect();
        let is_cut = matches!(end, End::Cut | End::Nothing);
        if self.sent.at > self.told + LIST_LIFE {
            let is_whole = end == End::Answered(200) || (!is_cut && self.was_slowed);
            let (came, ended) = (since(self.sent.at), since(ended));
            return (!is_whole).then_some(Problem::CutLate(id, came, ended, end, outcomes));
        }
        let is_soon = ended < self.told + GRACE * SAFE_PART.0 / SAFE_PART.1;
        (is_cut && is_soon).then_some(Problem::CutSoon(id, since(ended), end, outcomes))
    }

    /// Whether an endpoint itself, or the way to it, broke off a run.
    fn broke_off(&self, record: &Record, ended: Instant) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|run| run.outcome == Outcome::Badly || record.was_reset(run, ended))
    }
}

#[cfg(test)]
mod tests {
    use std::time::{Duration, Instant};

    use super::Case;
    use crate::record::{End, Kind, Outcome, Problem, Record, Run, Sent};

    const WAY: ([u8; 4], u16) = ([127, 0, 0, 1], 1);

    /// A long stream of 3 s that came and ended so many ms after the order to stop.
    fn judged(
        came: u64,
        ended: u64,
        end: End,
        outcome: Outcome,
        is_reset: bool,
    ) -> Option<Problem> {
        judged_of(Kind::Long, (came, ended), end, outcome, is_reset)
    }

    fn judged_of(
        kind: Kind,
        (came, ended): (u64, u64),
        end: End,
        outcome: Outcome,
        is_reset: bool,
    ) -> Option<Problem> {
        let told = Instant::now();
        let record = Record::default();
        if is_reset {
            record.reset(WAY.into());
        }
        let sent = Sent {
            kind,
            key: "key",
            life: 0,
            at: told + Duration::from_millis(came),
            patience: Duration::from_secs(3),
            end: Some(end),
            ended: Some(told + Duration::from_millis(ended)),
        };
        let run = Run {
            endpoint: "e".to_owned(),
            life: 0,
            way: WAY.into(),
            at: told,
            outcome,
        };
        let asked = Case {
            id: "r",
            sent: &sent,
            runs: &[run],
            told,
            was_slowed: false,
        };
        asked.judge(&record)
    }

    #[test]
    fn a_late_request_gets_its_whole_answer() {
        let cut = judged(3_100, 4_500, End::Cut, Outcome::Left, false);
        assert!(matches!(
            cut,
            Some(Problem::CutLate(_, 3_100, 4_500, End::Cut, _))
        ));
        let unsaid = judged(3_100, 4_500, End::Answered(502), Outcome::Well, false);
        assert!(matches!(unsaid, Some(Problem::CutLate(..))));
        let whole = judged(3_100, 4_400, End::Answered(200), Outcome::Well, false);
        assert_eq!(whole, None);
    }

    #[test]
    fn an_early_request_is_cut_only_at_the_last() {
        let soon = judged(100, 2_500, End::Cut, Outcome::Left, false);
        assert!(matches!(
            soon,
            Some(Problem::CutSoon(_, 2_500, End::Cut, _))
        ));
        assert_eq!(judged(2_000, 4_500, End::Cut, Outcome::Left, false), None);
    }

    #[test]
    fn others_faults_are_not_the_entrys() {
        assert_eq!(judged(3_100, 4_500, End::Cut, Outcome::Badly, false), None);
        assert_eq!(judged(3_100, 4_500, End::Cut, Outcome::Left, true), None);
        assert_eq!(judged(3_100, 6_100, End::Cut, Outcome::Left, false), None);
    }

    #[test]
    fn a_refused_read_has_not_run() {
        let refused = End::Answered(503);
        let read = judged_of(Kind::Read, (100, 200), refused, Outcome::Badly, false);
        assert_eq!(read, Some(Problem::RanAfterAll("r".to_owned(), 503)));
    }
}
