//! Usage metering: the number of requests that endpoints began to run, by workspace and time
//! window.
//!
//! Each entry counts the requests that it sent and broadcasts its cumulative counts repeatedly. The
//! highest count per entry and window wins, so messages may be lost, duplicated or delayed. The
//! entry that reports usage adds up the counts of all entries.
//!
//! The load pattern: dozens of entries are killed while they count, and a window must be reported
//! within a few seconds of its end with a small error.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// The maximum number of unsettled windows kept: more than can still be due.
const MAX_OPEN_WINDOWS: usize = 16;
/// How long after its end a window is settled: endpoint responses still arrive, and each entry has
/// to broadcast its final counts a few times.
pub const SETTLE_DELAY: Millis = Millis(1_700);
/// How far in the future the window of a received report may begin.
const MAX_LEAD: Millis = Millis(10_000);

/// A time window, numbered from the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// The window of the given length that contains a time, in ms since the Unix epoch.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::usage::Window;
    ///
    /// let window = Window::at(Millis(12_000), Millis(5_000));
    /// assert_eq!(window, Window(2));
    /// assert_eq!(window.end(Millis(5_000)), Millis(15_000));
    /// ```
    pub fn at(unix: Millis, length: Millis) -> Self {
        Self(unix.0 / length.0.max(1))
    }

    /// The end of the window, in ms since the Unix epoch.
    pub fn end(self, length: Millis) -> Millis {
        Millis((self.0 + 1) * length.0)
    }

    /// The window before this one; `None` for the first.
    pub fn previous(self) -> Option<Self> {
        self.0.checked_sub(1).map(Self)
    }

    /// The window after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Request counts by workspace.
pub type Counts = BTreeMap<name::Workspace, u64>;

/// One entry's cumulative counts for a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// The requests of the window so far, for some or all workspaces.
    pub counts: Vec<(name::Workspace, u64)>,
}

/// A value for each unsettled window, up to [`MAX_OPEN_WINDOWS`].
#[derive(Debug)]
struct OpenWindows<T> {
    windows: BTreeMap<Window, T>,
    /// The last settled window; updates to it and to earlier ones are ignored.
    settled: Option<Window>,
}

impl<T> Default for OpenWindows<T> {
    fn default() -> Self {
        Self {
            windows: BTreeMap::new(),
            settled: None,
        }
    }
}

impl<T: Default> OpenWindows<T> {
    /// Updates the value of a window unless it is settled. Drops the oldest window if there are too
    /// many.
    fn update(&mut self, window: Window, update: impl FnOnce(&mut T)) {
        if self.settled.is_some_and(|settled| window <= settled) {
            return;
        }
        update(self.windows.entry(window).or_default());
        if self.windows.len() > MAX_OPEN_WINDOWS {
            self.windows.pop_first();
        }
    }

    fn settle(&mut self, through: Window) {
        self.settled = self.settled.max(Some(through));
        self.windows.retain(|window, _| *window > through);
    }
}

/// An entry's own counts of unsettled windows.
#[derive(Debug, Default)]
pub struct Meter(OpenWindows<Counts>);

impl Meter {
    /// Counts a request that an endpoint began to run in a window.
    pub fn count(&mut self, window: Window, workspace: &name::Workspace) {
        self.0.update(window, |counts| {
            *counts.entry(workspace.clone()).or_default() += 1;
        });
    }

    /// The counts of all unsettled windows.
    pub fn snapshot(&self) -> impl Iterator<Item = WindowCounts> {
        self.0.windows.iter().map(|(window, counts)| WindowCounts {
            window: *window,
            counts: counts
                .iter()
                .map(|(workspace, count)| (workspace.clone(), *count))
                .collect(),
        })
    }

    /// Settles all windows up to and including this one.
    pub fn settle_through(&mut self, through: Window) {
        self.0.settle(through);
    }
}

/// An entry and its incarnation.
type Source = (name::Entry, name::Incarnation);

/// The counts that entries reported, for unsettled windows.
#[derive(Debug, Default)]
pub struct UsageTotals(OpenWindows<BTreeMap<Source, Counts>>);

impl UsageTotals {
    /// Records the counts reported by an entry's incarnation; `unix` is the current wall-clock time
    /// and `length` the window length.
    pub fn record(&mut self, from: &Source, report: WindowCounts, unix: Millis, length: Millis) {
        if report.window > Window::at(unix + MAX_LEAD, length) {
            return;
        }
        self.0.update(report.window, |sources| {
            let counts = sources.entry(from.clone()).or_default();
            for (workspace, count) in report.counts {
                let current = counts.entry(workspace).or_default();
                *current = count.max(*current);
            }
        });
    }

    /// The totals of all entries for a window.
    pub fn total(&self, window: Window) -> Counts {
        let mut total = Counts::new();
        let sources = self.0.windows.get(&window).into_iter().flatten();
        for (workspace, count) in sources.flat_map(|(_, counts)| counts) {
            *total.entry(workspace.clone()).or_default() += count;
        }
        total
    }

    /// The number of entry incarnations that reported a window.
    pub fn source_count(&self, window: Window) -> usize {
        self.0.windows.get(&window).map_or(0, BTreeMap::len)
    }

    /// Settles all windows up to and including this one.
    pub fn settle_through(&mut self, through: Window) {
        self.0.settle(through);
    }
}

/// Returns the next window to settle, if it is due. Windows are settled in order and only once;
/// `first` is the window to start with if none has been settled.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::usage::{Window, due_window};
///
/// let length = Millis(5_000);
/// assert_eq!(due_window(Some(Window(1)), Window(0), Millis(16_000), length), None);
/// assert_eq!(due_window(Some(Window(1)), Window(0), Millis(17_000), length), Some(Window(2)));
/// assert_eq!(due_window(None, Window(0), Millis(17_000), length), Some(Window(0)));
/// ```
pub fn due_window(
    settled: Option<Window>,
    first: Window,
    unix: Millis,
    length: Millis,
) -> Option<Window> {
    let next = settled.map_or(first, Window::next);
    (unix >= next.end(length) + SETTLE_DELAY).then_some(next)
}
