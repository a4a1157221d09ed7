//! Decides which rows to write when, so that counts survive an outage of the table service.
//!
//! A row is a whole state under its own key: writing it again, or twice at
//! once, does no harm. The rows of a minute are written while it runs and once
//! more when it is over; a failed row is written again until it is taken.

use std::collections::BTreeMap;

use crate::burn::pace::Pace;
use crate::burn::{Count, Key, Ledger, MINUTE, Row, minute};
use crate::clock::Millis;
use crate::name;

/// Counts of one row at most; further workspaces are counted together. A row
/// stays near 25 KB, so that writing it a few times a minute costs an entry
/// less than 2 KB a second at the widest.
const ROW_CELLS: usize = 100;

/// Counts held at most, in all minutes: some 3 MB. Over it the oldest minutes
/// lose their detail by workspace.
const CELLS: usize = 16_384;

/// Minutes held at most: an outage of a day is caught up whole, by tier and class.
const MINUTES: u64 = 24 * 60;

/// How long a write that failed may still take effect in a slow table service,
/// and how long a minute stays open for late counts.
const SETTLE: Millis = Millis::from_secs(120);

/// When a row that was handed out and never reported on counts as failed.
const LOST: Millis = Millis::from_secs(60);

/// The size of fleet that is assumed until [`Recorder::resize`] tells it.
const ENTRIES: u64 = 8;

/// Records the counts of one life of an entry.
///
/// ```
/// use woodgap_core::burn::{Count, Key, Recorder};
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_core::tier::Tier;
///
/// let mut recorder = Recorder::new("entry-1".into(), name::Incarnation(1));
/// let key = Key {
///     tier: Tier::HIGHEST,
///     class: "caption".into(),
///     workspace: "stories".into(),
/// };
/// let count = Count { ended: 1, ..Count::default() };
/// recorder.count(Millis(600_000), &key, &count);
///
/// // Ten seconds on, the row of the running minute is due; then it is taken.
/// let rows = recorder.due(Millis(610_001));
/// assert_eq!(rows[0].cells[0].count, count);
/// recorder.written(&rows[0]);
/// assert!(recorder.due(Millis(620_001)).is_empty());
///
/// // At the end, the mark of a clean end is written.
/// let rows = recorder.finish(Millis(630_000));
/// assert!(rows[0].last);
/// ```
#[derive(Clone, Debug)]
pub struct Recorder {
    entry: name::Entry,
    incarnation: name::Incarnation,
    ledger: Ledger,
    progress: BTreeMap<u64, Progress>,
    pace: Pace,
    /// The first minute of this life.
    started: Option<u64>,
    /// The minute that bears the mark of a clean end.
    last: Option<u64>,
    /// Minutes before this one are counted without workspaces.
    merged: u64,
    dropped: u64,
}

/// How far the recording of a minute is.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    /// Whether the minute's counts differ from the last row that was taken.
    dirty: bool,
    /// Whether a row is on its way.
    flying: bool,
    /// When the last row was handed out.
    sent: Millis,
    /// When the last row that failed was handed out: it may still take effect.
    failed: Option<Millis>,
}

impl Recorder {
    /// The recorder of a life that begins now.
    pub fn new(entry: name::Entry, incarnation: name::Incarnation) -> Self {
        Self {
            entry,
            incarnation,
            ledger: Ledger::default(),
            progress: BTreeMap::new(),
            pace: Pace::new(incarnation, ENTRIES),
            started: None,
            last: None,
            merged: 0,
            dropped: 0,
        }
    }

    /// Tells how many entries write to the table service: the more, the less
    /// often each does.
    pub fn resize(&mut self, entries: u64) {
        self.pace.resize(entries);
    }

    /// Adds to the counts, in the minute of `unix`, the milliseconds since the Unix epoch.
    ///
    /// A minute that is over and forgotten is never written again, since its
    /// row would replace the full one: its late counts go to the next that is held.
    pub fn count(&mut self, unix: Millis, key: &Key, count: &Count) {
        self.advance(unix);
        let minute = self.held_from(minute(unix));
        let full = self.ledger.width(minute) >= ROW_CELLS && !self.ledger.has(minute, key);
        if full || minute < self.merged {
            self.ledger.add(minute, &key.merged(), count);
        } else {
            self.ledger.add(minute, key, count);
        }
        self.progress.entry(minute).or_default().dirty = true;
        self.shrink();
    }

    /// The rows to write now, the newest first and no more than a handful.
    ///
    /// Call it every second or so. Each row is to be reported on by
    /// [`Self::written`] or [`Self::failed`]; until then it isn't handed out again.
    pub fn due(&mut self, unix: Millis) -> Vec<Row> {
        self.advance(unix);
        self.settle(unix);
        let tick = self.pace.tick(unix);
        let waits = |(minute, progress): (&u64, &Progress)| {
            let ready = progress.dirty && !progress.flying;
            let began = Millis(minute * MINUTE.0) <= tick;
            (ready && began && progress.sent < tick).then_some(*minute)
        };
        let waiting: Vec<u64> = self.progress.iter().rev().filter_map(waits).collect();
        let mut rows = Vec::new();
        for minute in waiting {
            if !self.pace.take(unix) {
                break;
            }
            rows.extend(self.send(minute, unix));
        }
        rows
    }

    /// The table service took a row.
    pub fn written(&mut self, row: &Row) {
        self.pace.succeeded();
        let current = self.row(row.minute);
        if let Some(progress) = self.progress.get_mut(&row.minute) {
            progress.flying = false;
            // Counts may have come in since the row was handed out.
            progress.dirty = current.as_ref() != Some(row);
        }
    }

    /// A row was not taken, or it isn't known whether it was.
    pub fn failed(&mut self, row: &Row) {
        if let Some(progress) = self.progress.get_mut(&row.minute) {
            progress.flying = false;
            progress.dirty = true;
            progress.failed = Some(progress.sent);
            self.pace.failed(progress.sent);
        }
    }

    /// Ends the life: all rows that are not yet taken, the newest first with
    /// the mark of a clean end.
    ///
    /// Call it again for those that are left, also after further counts.
    pub fn finish(&mut self, unix: Millis) -> Vec<Row> {
        self.advance(unix);
        self.mark(minute(unix));
        let waits = |(minute, progress): (&u64, &Progress)| progress.dirty.then_some(*minute);
        let waiting: Vec<u64> = self.progress.iter().rev().filter_map(waits).collect();
        let rows = waiting.into_iter();
        rows.filter_map(|minute| self.send(minute, unix)).collect()
    }

    /// How many minutes are held in memory.
    pub fn held(&self) -> usize {
        self.progress.len()
    }

    /// How many counts, by minute and key, are held in memory.
    pub fn cells(&self) -> usize {
        self.ledger.cells()
    }

    /// How many minutes were given up unrecorded, for want of memory. The
    /// report shows them as a gap.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The first minute at or after this one that is held.
    fn held_from(&self, minute: u64) -> u64 {
        let held = self.progress.range(minute..).next();
        held.map_or(minute, |(minute, _)| *minute)
    }

    /// Opens the minutes up to now: each has its row, also if nothing is counted.
    fn advance(&mut self, unix: Millis) {
        let now = minute(unix);
        self.started.get_or_insert(now);
        let next = self
            .progress
            .keys()
            .next_back()
            .map_or(now, |last| last + 1);
        // After a pause of days, only what can be held is opened.
        let first = next.max(now.saturating_sub(MINUTES - 1));
        self.dropped += first - next;
        for minute in first..=now {
            self.ledger.open(minute);
            self.progress.entry(minute).or_default().dirty = true;
        }
        while self.progress.len() as u64 > MINUTES {
            self.drop_oldest();
        }
    }

    /// Forgets what is recorded for good; repeats what a late write may have replaced.
    fn settle(&mut self, unix: Millis) {
        let now = minute(unix);
        let mut settled = Vec::new();
        for (minute, progress) in &mut self.progress {
            if progress.flying && unix - progress.sent >= LOST {
                progress.flying = false;
                progress.dirty = true;
                progress.failed = Some(progress.sent);
            }
            let open = *minute >= now || unix - Millis((minute + 1) * MINUTE.0) < SETTLE;
            if open || progress.dirty || progress.flying {
                continue;
            }
            match progress.failed {
                Some(failed) if unix - failed < SETTLE => {}
                Some(failed) if progress.sent - failed < SETTLE => progress.dirty = true,
                _ => settled.push(*minute),
            }
        }
        for minute in settled {
            self.forget(minute);
        }
    }

    /// Keeps within the memory that is allowed.
    fn shrink(&mut self) {
        while self.ledger.cells() > CELLS {
            let newest = self.progress.keys().next_back().copied();
            let oldest = self.progress.range(self.merged..).next();
            match oldest.map(|(minute, _)| *minute) {
                Some(minute) if Some(minute) < newest => {
                    self.ledger.merge(minute);
                    self.merged = minute + 1;
                }
                _ if self.progress.len() > 1 => self.drop_oldest(),
                _ => return,
            }
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((&minute, progress)) = self.progress.iter().next() {
            self.dropped += u64::from(progress.dirty);
            self.forget(minute);
        }
    }

    fn forget(&mut self, minute: u64) {
        self.progress.remove(&minute);
        self.ledger.forget(minute);
    }

    /// Puts the mark of a clean end on a minute, and takes it from an earlier one.
    fn mark(&mut self, minute: u64) {
        if self.last == Some(minute) {
            return;
        }
        for marked in self.last.replace(minute).into_iter().chain([minute]) {
            if let Some(progress) = self.progress.get_mut(&marked) {
                progress.dirty = true;
            }
        }
    }

    fn send(&mut self, minute: u64, unix: Millis) -> Option<Row> {
        let progress = self.progress.get_mut(&minute)?;
        progress.flying = true;
        progress.sent = unix;
        self.row(minute)
    }

    fn row(&self, minute: u64) -> Option<Row> {
        let row = self.ledger.row(minute, &self.entry, self.incarnation)?;
        Some(Row {
            started: self.started,
            last: self.last == Some(minute),
            ..row
        })
    }
}
