//! How often an entry may write its rows, so that the fleet leaves the table service room.

use crate::clock::Millis;
use crate::name::Incarnation;

/// The shortest time between two writes of the minute that is still running:
/// what a killed entry loses at most, as long as the fleet is small.
const SHORTEST_REFRESH: Millis = Millis::from_secs(10);

/// The longest: beyond a minute, a row would be written once only anyway.
const LONGEST_REFRESH: Millis = Millis::from_secs(60);

/// Added to the refresh by each entry: the fleet then refreshes about ten rows
/// a second, a few percent of the several hundred writes that the service takes.
const REFRESH_PER_ENTRY: Millis = Millis(100);

/// Added to the time between two late rows by each entry: the fleet then catches
/// up by about a hundred rows a second, and claims keep the greater part.
const SPACING_PER_ENTRY: Millis = Millis(10);

/// The most rows that are handed out at once, so that a catch-up comes as a
/// steady stream and not in bursts.
const BATCH: u64 = 8;

/// Decides when the next row may go.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    /// Drawn from the incarnation, so that the entries' writes are spread out.
    phase: u64,
    refresh: Millis,
    spacing: Millis,
    /// The rate limit: the next row may go one spacing after this.
    spent: Millis,
    /// The tick of the last attempt, while the table service fails.
    probe: Option<Millis>,
}

impl Pace {
    /// The pace of an entry in a fleet of this many.
    pub(super) fn new(incarnation: Incarnation, entries: u64) -> Self {
        let mut pace = Self {
            phase: incarnation.0,
            refresh: Millis::ZERO,
            spacing: Millis::ZERO,
            spent: Millis::ZERO,
            probe: None,
        };
        pace.resize(entries);
        pace
    }

    /// Takes the size of the fleet into account.
    pub(super) fn resize(&mut self, entries: u64) {
        let refresh = REFRESH_PER_ENTRY.0.saturating_mul(entries);
        let refresh = refresh.clamp(SHORTEST_REFRESH.0, LONGEST_REFRESH.0);
        self.refresh = Millis(refresh);
        self.spacing = Millis(SPACING_PER_ENTRY.0.saturating_mul(entries.max(1)));
    }

    /// The last time at which this entry's rows fell due.
    pub(super) fn tick(&self, unix: Millis) -> Millis {
        let phase = self.phase % self.refresh.0;
        let since = (unix.0 + self.refresh.0 - phase) % self.refresh.0;
        unix - Millis(since)
    }

    /// Whether one more row may go now; a yes is spent.
    pub(super) fn take(&mut self, unix: Millis) -> bool {
        let tick = self.tick(unix);
        match &mut self.probe {
            Some(probe) if *probe >= tick => return false,
            Some(probe) => *probe = tick,
            None => {}
        }
        let allowance = Millis(self.spacing.0.saturating_mul(BATCH));
        let spent = self.spent.max(unix - allowance) + self.spacing;
        if spent > unix {
            return false;
        }
        self.spent = spent;
        true
    }

    /// The table service took a row: it is there.
    pub(super) fn succeeded(&mut self) {
        self.probe = None;
    }

    /// It did not: from now on, one attempt at each tick.
    pub(super) fn failed(&mut self, sent: Millis) {
        let tick = self.tick(sent);
        self.probe.get_or_insert(tick);
    }
}
