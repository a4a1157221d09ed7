//! What is remembered of one request.

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;
use crate::quarantine::message::{CrashHistory, ReportedCrash};
use crate::quarantine::{
    CRASH_THRESHOLD, HOLD_DURATION, Hold, MAX_TRIALS, RETENTION, UNCERTAIN_CRASH_THRESHOLD,
    UNCERTAIN_HOLD_DURATION,
};

/// The most crashes that are remembered of one request: those that withhold it for as long as
/// it is remembered, and some.
pub const MAX_CRASHES: usize = 8;
/// By how much later than it was a crash may seem that another entry has told of: messages are
/// under way for so long.
const MAX_MESSAGE_DELAY: Millis = Millis(30);
/// By how many pieces the same place of an answer may differ: several events may come as one
/// piece. Long streams have a hundred.
const PIECES_TOLERANCE: u32 = 4;
/// News of one crash that come by several ways differ by less than this; the same endpoint does
/// not crash twice within it.
const DUPLICATE_WINDOW: Millis = Millis(2_000);

/// A crash of an endpoint that had the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Which life of which endpoint: a hash that is the same in all entries.
    pub endpoint: u32,
    /// When the request was sent to it.
    pub sent: Millis,
    /// When it crashed.
    pub at: Millis,
    /// How many pieces of its answer had come by then.
    pub pieces: u32,
}

/// A crash, and how many runs of the request it cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedCrash {
    /// The crash.
    pub crash: Crash,
    /// The runs that are known of; one entry may have sent several, and others too.
    pub runs: u32,
}

impl Crash {
    /// Whether both came at the same place of the answer. What crashes endpoints does so there each
    /// time; a stream that others cut off is cut off anywhere.
    fn is_at_same_position(&self, other: &Self) -> bool {
        self.pieces.abs_diff(other.pieces) <= PIECES_TOLERANCE
    }

    fn is_duplicate_of(&self, other: &Self) -> bool {
        let apart = (self.at - other.at).max(other.at - self.at);
        self.endpoint == other.endpoint && apart < DUPLICATE_WINDOW
    }
}

/// Why a request is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confidence {
    /// It must be the cause of its crashes.
    Certain,
    /// Something else may be.
    Uncertain,
}

/// That a request is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldState {
    /// Since when.
    pub since: Millis,
    /// Why.
    pub confidence: Confidence,
}

/// What is remembered of one request.
#[derive(Debug, Default)]
pub struct Record {
    /// The crashes since a run of it last ended well, the earliest first.
    crashes: Vec<CountedCrash>,
    /// How often a run that ended well has ended the count of crashes.
    acquittals: u32,
    /// Whether a run of it has ended well at all, as far as is remembered.
    pub is_popular: bool,
    /// Whether it is withheld.
    pub held: Option<HoldState>,
    /// When something was last learnt.
    changed: Millis,
    /// When other entries were last told.
    last_sent: Millis,
}

impl Record {
    /// Takes in that a run was cut off by a crash; gives back what [`Self::add`] does.
    pub fn record_run(&mut self, crash: Crash, now: Millis) -> bool {
        if let Some(known) = self.find(&crash) {
            known.runs += 1;
            return false;
        }
        self.add(CountedCrash { crash, runs: 1 }, now)
    }

    fn find(&mut self, crash: &Crash) -> Option<&mut CountedCrash> {
        let mut known = self.crashes.iter_mut();
        known.find(|known| known.crash.is_duplicate_of(crash))
    }

    /// Adds a crash; gives back whether there are now more in a row, and not the first.
    fn add(&mut self, counted: CountedCrash, now: Millis) -> bool {
        if let Some(known) = self.find(&counted.crash) {
            known.runs = known.runs.max(counted.runs);
            return false;
        }
        let before = self.crashes();
        self.crashes.push(counted);
        self.crashes.sort_by_key(|counted| counted.crash.at);
        self.drop_excess_crash();
        self.changed = now;
        self.crashes() > before && before > 0
    }

    /// Drops one crash of too many: the earliest of those that add nothing to the longest row, as
    /// many may come in the time that one run of the request takes.
    fn drop_excess_crash(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let length = |position: &&Crash| {
            count_sequential(
                self.all()
                    .filter(|crash| crash.is_at_same_position(position)),
            )
        };
        let Some(position) = self.all().max_by_key(length).copied() else {
            return;
        };
        let mut sequence = CrashSequence::default();
        let is_excess =
            |crash: &Crash| !(crash.is_at_same_position(&position) && sequence.accepts(crash));
        let excess = self.all().position(is_excess);
        self.crashes.remove(excess.unwrap_or(0));
    }

    /// Takes in that a run ended well at this moment: it was not the cause of crashes before.
    pub fn clear_until(&mut self, moment: Millis, now: Millis) {
        self.is_popular = true;
        let before = self.crashes.len();
        self.crashes.retain(|counted| counted.crash.at > moment);
        if self.crashes.len() < before {
            self.acquittals += 1;
            self.changed = now;
        }
    }

    /// Takes in what another entry tells; gives back what [`Self::add`] does.
    pub fn merge(&mut self, told: &CrashHistory, now: Millis) -> bool {
        self.is_popular |= told.is_popular;
        if told.acquittals < self.acquittals {
            return false;
        }
        if told.acquittals > self.acquittals {
            self.acquittals = told.acquittals;
            self.crashes.clear();
            self.changed = now;
        }
        let crashes = told.crashes.iter().map(|heard| heard.counted(now));
        let added = crashes.map(|counted| self.add(counted, now));
        added.fold(false, |any, added| any | added)
    }

    /// Tells other entries.
    pub fn send_history(&mut self, request: Fingerprint, now: Millis) -> CrashHistory {
        self.last_sent = now;
        self.history(request, now)
    }

    /// What other entries are told.
    pub fn history(&self, request: Fingerprint, now: Millis) -> CrashHistory {
        let crashes = self.crashes.iter();
        CrashHistory {
            request,
            acquittals: self.acquittals,
            is_popular: self.is_popular,
            crashes: crashes
                .map(|counted| ReportedCrash::of(counted, now))
                .collect(),
        }
    }

    /// How many endpoints have crashed with it, one after the other and at the same place of its
    /// answer: each was sent it after the one before had crashed.
    pub fn crashes(&self) -> usize {
        self.crashes_excluding(|_| false)
    }

    /// How many runs of it were cut off.
    pub fn runs(&self) -> u32 {
        let runs = self.crashes.iter().map(|counted| counted.runs);
        runs.fold(0, u32::saturating_add)
    }

    /// The same without some of the crashes.
    pub fn crashes_excluding(&self, explained: impl Fn(&Crash) -> bool) -> usize {
        let counted = || self.all().filter(|crash| !explained(crash));
        let rows = counted().map(|position| {
            count_sequential(counted().filter(|crash| crash.is_at_same_position(position)))
        });
        rows.max().unwrap_or(0)
    }

    /// All its crashes.
    pub fn all(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().map(|counted| &counted.crash)
    }

    /// Whether it was known for a cause before another one.
    pub fn is_withheld_earlier(&self, other: &Self) -> bool {
        let held = self.held.map(|held| held.since);
        let other = other.held.map(|held| held.since);
        held.is_some_and(|held| other.is_none_or(|other| held < other))
    }

    /// Whether it was cut off by the same crash.
    pub fn includes(&self, crash: &Crash) -> bool {
        self.all().any(|own| own.is_duplicate_of(crash))
    }

    /// When something was last learnt.
    pub fn changed(&self) -> Millis {
        self.changed
    }

    /// When other entries were last told.
    pub fn last_sent(&self) -> Millis {
        self.last_sent
    }

    /// When an endpoint last crashed with it, or something was learnt.
    pub fn last(&self) -> Millis {
        let last = self.all().last().map_or(Millis::ZERO, |crash| crash.at);
        last.max(self.changed)
    }

    /// What is remembered longest.
    pub fn eviction_rank(&self) -> (bool, usize, Millis) {
        (self.held.is_some(), self.crashes(), self.last())
    }

    /// For how long it is withheld, if it is.
    pub fn hold(&self) -> Option<Hold> {
        let (needed, span) = match self.held?.confidence {
            Confidence::Certain => (CRASH_THRESHOLD, HOLD_DURATION),
            Confidence::Uncertain => (UNCERTAIN_CRASH_THRESHOLD, UNCERTAIN_HOLD_DURATION),
        };
        let crashes = self.crashes();
        let since = self.all().last()?.at;
        let trials = u32::try_from(crashes.saturating_sub(needed)).unwrap_or(u32::MAX);
        let span = if trials < MAX_TRIALS {
            Millis(span.0 << trials)
        } else {
            RETENTION
        };
        Some(Hold {
            crashes,
            since,
            until: since + span,
        })
    }
}

/// How many of these crashes there are of which each began after the one before: as many as can
/// be, which is by taking the one that ends first.
fn count_sequential<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut sequence = CrashSequence::default();
    crashes.filter(|crash| sequence.accepts(crash)).count()
}

/// Crashes of which each began after the one before.
#[derive(Default)]
struct CrashSequence {
    last: Option<Millis>,
}

impl CrashSequence {
    /// Takes the next crash, if it belongs to the row.
    fn accepts(&mut self, crash: &Crash) -> bool {
        let is_next = self.last.is_none_or(|last| is_after(crash, last));
        if is_next {
            self.last = Some(crash.at);
        }
        is_next
    }
}

/// Whether the request was sent after the crash before. Where it seems that it was sent a little
/// sooner, two endpoints that crash at the same moment would look so too.
fn is_after(crash: &Crash, last: Millis) -> bool {
    let seems_after = crash.sent + MAX_MESSAGE_DELAY >= last
        && crash.at >= last + MAX_MESSAGE_DELAY + MAX_MESSAGE_DELAY;
    crash.sent >= last || seems_after
}
