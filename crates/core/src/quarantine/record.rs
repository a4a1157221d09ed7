//! The crash record of one cause.

use crate::clock::Millis;
use crate::quarantine::message::{CrashHistory, Popularity, ReportedCrash};
use crate::quarantine::{
    CRASH_THRESHOLD, Cause, DOUBTFUL_CRASH_THRESHOLD, DOUBTFUL_HOLD_DURATION, HOLD_DURATION,
    MAX_EARLY_PIECES, MAX_TRIALS, PART_CRASH_THRESHOLD, RETENTION, STORED_CRASHES, TRIAL_TIMEOUT,
    UNCERTAIN_CRASH_THRESHOLD, UNCERTAIN_HOLD_DURATION,
};

/// Maximum number of crashes stored per cause: enough to withhold it for as long as its
/// record is kept, plus a margin.
pub const MAX_CRASHES: usize = 8;
/// How much later than its actual time a crash reported by another entry may appear, due to the
/// message delay.
const MAX_MESSAGE_DELAY: Millis = Millis(30);
/// How far apart two positions in a response, in pieces, may be to count as the same, as
/// several events may arrive in one piece. Long streams have about a hundred pieces.
const PIECES_TOLERANCE: u32 = 4;
/// Reports of one crash that arrive by different paths differ by less than this. An endpoint
/// does not crash twice within this time.
const DUPLICATE_WINDOW: Millis = Millis(2_000);

/// A crash of an endpoint that was running a request with the cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identifies the endpoint and its incarnation: a hash that is the same at all entries.
    pub endpoint: u32,
    /// When the request was sent to the endpoint.
    pub sent: Millis,
    /// When the endpoint crashed.
    pub at: Millis,
    /// Number of pieces of the response received before the crash.
    pub pieces: u32,
}

/// A crash, and the number of runs with the cause that it interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedCrash {
    /// The crash.
    pub crash: Crash,
    /// The number of known runs. An entry may have sent several, as may other entries.
    pub runs: u32,
}

impl Crash {
    /// Returns whether both crashes occurred at the same position of the response. A request that
    /// crashes endpoints does so at the same position each time, whereas unrelated crashes
    /// interrupt a stream anywhere.
    fn is_at_same_position(&self, other: &Self) -> bool {
        self.pieces.abs_diff(other.pieces) <= PIECES_TOLERANCE
    }

    /// Returns whether a response that outlasts its first pieces has passed this position.
    pub fn is_at_beginning(&self) -> bool {
        self.pieces + PIECES_TOLERANCE <= MAX_EARLY_PIECES
    }

    fn is_duplicate_of(&self, other: &Self) -> bool {
        let difference = (self.at - other.at).max(other.at - self.at);
        self.endpoint == other.endpoint && difference < DUPLICATE_WINDOW
    }
}

/// How confident the quarantine is that its crashes are due to a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confidence {
    /// The cause explains the crashes best.
    Certain,
    /// Another cause, or chance, may explain them.
    Uncertain,
    /// It is a part of prompts that many sound requests hold, or may hold.
    Doubtful,
}

/// The number of crashes that a cause may explain, all at the same position of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Count {
    /// Those in sequence: each request was sent after the crash before.
    pub sequential: usize,
    /// All of them.
    pub total: usize,
}

impl Count {
    /// Returns whether a cause with so many crashes is withheld.
    ///
    /// Different requests hold a part, so that several of them may be on their way at each crash:
    /// not all of its crashes are in sequence.
    pub fn suffices(self, cause: Cause, confidence: Confidence) -> bool {
        let (sequential, total) = match (cause, confidence) {
            (_, Confidence::Doubtful) => (UNCERTAIN_CRASH_THRESHOLD, DOUBTFUL_CRASH_THRESHOLD),
            (Cause::Request(_), Confidence::Uncertain) => {
                (UNCERTAIN_CRASH_THRESHOLD, UNCERTAIN_CRASH_THRESHOLD)
            }
            (Cause::Request(_), Confidence::Certain) => (CRASH_THRESHOLD, CRASH_THRESHOLD),
            (Cause::Part(_), _) => (CRASH_THRESHOLD, PART_CRASH_THRESHOLD),
        };
        self.sequential >= sequential && self.total >= total
    }
}

/// The state of a withheld cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldState {
    /// When the hold began.
    pub since: Millis,
    /// The confidence that it is the cause.
    pub confidence: Confidence,
}

/// The crash record of one cause.
#[derive(Debug, Default)]
pub struct Record {
    /// The crashes since the last completed run, earliest first.
    crashes: Vec<CountedCrash>,
    /// How many times a completed run has reset the crash count.
    acquittals: u32,
    /// Whether any run is known to have completed.
    pub popularity: Popularity,
    /// The hold state if the cause is withheld.
    pub held: Option<HoldState>,
    /// When this entry last sent a request with the cause although it had been withheld.
    trial: Option<Millis>,
    /// When the record last changed.
    changed: Millis,
    /// When the record was last sent to other entries.
    last_sent: Millis,
}

impl Record {
    /// Records a run that a crash interrupted. Returns the same as [`Self::add`].
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

    /// Adds a crash. Returns whether the number of sequential crashes has increased beyond one.
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

    /// Removes one crash if there are too many: the earliest one that does not contribute to the
    /// longest sequence. Many overlapping crashes may occur during a single run of the request.
    fn drop_excess_crash(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let length = |reference: &&Crash| {
            count_sequential(
                self.all()
                    .filter(|crash| crash.is_at_same_position(reference)),
            )
        };
        let Some(reference) = self.all().max_by_key(length).copied() else {
            return;
        };
        let mut sequence = CrashSequence::default();
        let is_excess =
            |crash: &Crash| !(crash.is_at_same_position(&reference) && sequence.accepts(crash));
        let excess = self.all().position(is_excess);
        self.crashes.remove(excess.unwrap_or(0));
    }

    /// Removes the crashes up to `moment`, when a run with the cause completed: they had another
    /// cause. Returns whether there were any.
    pub fn clear_until(&mut self, moment: Millis, now: Millis) -> bool {
        self.clear(|crash| crash.at <= moment, now)
    }

    /// Removes the crashes up to `moment` at the beginning of the response, when a response had
    /// outlasted its first pieces: a request crashes endpoints at the same position each time. Returns
    /// whether there were any.
    pub fn clear_early_until(&mut self, moment: Millis, now: Millis) -> bool {
        let is_void = |crash: &Crash| crash.at <= moment && crash.is_at_beginning();
        self.clear(is_void, now)
    }

    fn clear(&mut self, is_void: impl Fn(&Crash) -> bool, now: Millis) -> bool {
        self.popularity = Popularity::Popular;
        let before = self.crashes.len();
        self.crashes.retain(|counted| !is_void(&counted.crash));
        let has_cleared = self.crashes.len() < before;
        if has_cleared {
            self.acquittals += 1;
            self.changed = now;
        }
        has_cleared
    }

    /// Merges a crash history from another entry. Returns the same as [`Self::add`].
    pub fn merge(&mut self, history: &CrashHistory, now: Millis) -> bool {
        self.popularity = self.popularity.max(history.popularity);
        if history.acquittals < self.acquittals {
            return false;
        }
        if history.acquittals > self.acquittals {
            self.acquittals = history.acquittals;
            self.crashes.clear();
            self.changed = now;
        }
        let crashes = history
            .crashes
            .iter()
            .map(|reported| reported.localize(now));
        let added = crashes.map(|counted| self.add(counted, now));
        added.fold(false, |any, added| any | added)
    }

    /// Returns the crash history, and marks it as sent.
    pub fn send_history(&mut self, cause: Cause, now: Millis) -> CrashHistory {
        self.last_sent = now;
        self.history(cause, now)
    }

    /// Returns the crash history.
    pub fn history(&self, cause: Cause, now: Millis) -> CrashHistory {
        let crashes = self.crashes.iter();
        CrashHistory {
            cause,
            acquittals: self.acquittals,
            popularity: self.popularity,
            crashes: crashes
                .map(|counted| ReportedCrash::of(counted, now))
                .collect(),
        }
    }

    /// Returns the number of sequential crashes at the same position of the response, where each
    /// request was sent after the crash before.
    pub fn crashes(&self) -> usize {
        self.count_excluding(|_| false).sequential
    }

    /// Returns whether the cause has crashed enough endpoints to be withheld with others from which
    /// it can't be told apart.
    pub fn is_suspect(&self, cause: Cause) -> bool {
        let count = self.count_excluding(|_| false);
        !self.is_popular() && count.suffices(cause, Confidence::Uncertain)
    }

    /// Returns whether the cause has crashed enough endpoints for its record to be stored, though it
    /// is not withheld.
    pub fn is_stored(&self) -> bool {
        !self.is_popular() && self.crashes() >= STORED_CRASHES
    }

    /// Returns the number of runs that were interrupted.
    pub fn runs(&self) -> u32 {
        let runs = self.crashes.iter().map(|counted| counted.runs);
        runs.fold(0, u32::saturating_add)
    }

    /// Counts the crashes, leaving out those for which `explained` holds.
    pub fn count_excluding(&self, explained: impl Fn(&Crash) -> bool) -> Count {
        let counted = || self.all().filter(|crash| !explained(crash));
        let counts = counted().map(|reference| {
            let same = || counted().filter(|crash| crash.is_at_same_position(reference));
            Count {
                sequential: count_sequential(same()),
                total: same().count(),
            }
        });
        counts.max().unwrap_or_default()
    }

    /// Iterates over all crashes, earliest first.
    pub fn all(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().map(|counted| &counted.crash)
    }

    /// Returns whether the cause was withheld before another one was.
    pub fn is_withheld_earlier(&self, other: &Self) -> bool {
        let held = self.held.map(|held| held.since);
        let other = other.held.map(|held| held.since);
        held.is_some_and(|held| other.is_none_or(|other| held < other))
    }

    /// Returns whether any run with the cause is known to have completed.
    pub fn is_popular(&self) -> bool {
        self.popularity == Popularity::Popular
    }

    /// Returns whether many sound requests may hold the cause, a part of prompts.
    pub fn may_be_popular(&self) -> bool {
        self.popularity != Popularity::Rare
    }

    /// Returns whether the crash interrupted a run with this cause.
    pub fn includes(&self, crash: &Crash) -> bool {
        self.all().any(|own| own.is_duplicate_of(crash))
    }

    /// Returns when the record last changed.
    pub fn changed(&self) -> Millis {
        self.changed
    }

    /// Returns when the record was last sent to other entries.
    pub fn last_sent(&self) -> Millis {
        self.last_sent
    }

    /// Returns the time of the last crash or the last change, whichever is later.
    pub fn last(&self) -> Millis {
        let last = self.all().last().map_or(Millis::ZERO, |crash| crash.at);
        last.max(self.changed)
    }

    /// Returns the rank of the record for eviction. Records with the lowest rank are removed first.
    pub fn eviction_rank(&self) -> (bool, usize, bool, Millis) {
        let is_held = self.held.is_some();
        (is_held, self.crashes(), !self.is_popular(), self.last())
    }

    /// Records that a request with the cause is sent although it was withheld before.
    pub fn begin_trial(&mut self, now: Millis) {
        self.trial = Some(now);
    }

    /// Returns until when a cause of this confidence is withheld, counted from its last crash, or
    /// from the request with which this entry tries whether it is withheld rightly.
    pub fn held_until(&self, confidence: Confidence) -> Option<Millis> {
        let last = self.all().last()?.at;
        let trials = self.crashed_trials();
        let span = match confidence {
            Confidence::Doubtful => {
                let doubled = Millis(DOUBTFUL_HOLD_DURATION.0 << trials);
                doubled.min(UNCERTAIN_HOLD_DURATION)
            }
            _ if trials >= MAX_TRIALS => RETENTION,
            Confidence::Certain => Millis(HOLD_DURATION.0 << trials),
            Confidence::Uncertain => Millis(UNCERTAIN_HOLD_DURATION.0 << trials),
        };
        let trial = self.trial.filter(|trial| *trial > last);
        let trial_end = trial.map(|trial| trial + TRIAL_TIMEOUT);
        Some((last + span).max(trial_end.unwrap_or_default()))
    }

    /// Returns how many endpoints crashed with requests that were sent after the cause was
    /// withheld.
    fn crashed_trials(&self) -> u32 {
        let Some(held) = self.held else { return 0 };
        let trials = self.all().filter(|crash| crash.sent > held.since);
        u32::try_from(trials.count()).unwrap_or(u32::MAX)
    }
}

/// Returns the length of the longest sequence of crashes in which each request was sent after
/// the crash before. Accepting the crash that comes first each time gives the longest sequence.
fn count_sequential<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    let mut sequence = CrashSequence::default();
    crashes.filter(|crash| sequence.accepts(crash)).count()
}

/// A sequence of crashes in which each request was sent after the crash before.
#[derive(Default)]
struct CrashSequence {
    last: Option<Millis>,
}

impl CrashSequence {
    /// Adds a crash if it continues the sequence, and returns whether it did.
    fn accepts(&mut self, crash: &Crash) -> bool {
        let is_next = self.last.is_none_or(|last| is_after(crash, last));
        if is_next {
            self.last = Some(crash.at);
        }
        is_next
    }
}

/// Returns whether the request was sent after the previous crash. A reported crash may appear
/// up to `MAX_MESSAGE_DELAY` late, so a request that appears to be sent slightly before it is
/// accepted too, but only if its crash came distinctly later: two endpoints that crash at the
/// same moment look alike otherwise.
fn is_after(crash: &Crash, last: Millis) -> bool {
    let is_after_with_delay = crash.sent + MAX_MESSAGE_DELAY >= last
        && crash.at >= last + MAX_MESSAGE_DELAY + MAX_MESSAGE_DELAY;
    crash.sent >= last || is_after_with_delay
}
