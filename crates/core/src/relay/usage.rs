//! How many requests endpoints began to run, by workspace and window of time.
//!
//! Each entry counts what it sent, and tells all that it has counted again and again: of an
//! entry and a window the greatest count stands, so a message may be lost, come twice or come
//! late. Whoever reports sums up what the entries told.
//!
//! The load pattern: entries that are killed by the dozen while they count, and a window that
//! must be reported a few seconds after its end, within a small part of the truth.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// How many windows are remembered that were not reported yet: more than are still due.
const MOST_WINDOWS: usize = 16;
/// How long after its end a window is reported: endpoints' answers are under way, and each entry
/// has told its last counts some times.
pub const SETTLE_DELAY: Millis = Millis(1_700);
/// How far ahead of the own time a window may begin of which another entry tells.
const MOST_AHEAD: Millis = Millis(10_000);

/// A window of time: windows are numbered from the Unix epoch on.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Window(pub u64);

impl Window {
    /// The window that a moment lies in, where windows are so long.
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

    /// The moment at which it ends, in ms since the Unix epoch.
    pub fn end(self, length: Millis) -> Millis {
        Millis((self.0 + 1) * length.0)
    }

    /// The window after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Requests by workspace.
pub type Counts = BTreeMap<name::Workspace, u64>;

/// What one entry has counted of a window so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// All requests of the window up to now, for some or all workspaces.
    pub counts: Vec<(name::Workspace, u64)>,
}

/// Something of each window that is not settled, a bounded number of them.
#[derive(Debug)]
struct Open<T> {
    windows: BTreeMap<Window, T>,
    /// Up to this window nothing is taken any more.
    settled: Option<Window>,
}

impl<T> Default for Open<T> {
    fn default() -> Self {
        Self {
            windows: BTreeMap::new(),
            settled: None,
        }
    }
}

impl<T: Default> Open<T> {
    /// Changes what there is of a window, if that is open. Where there are too many, the oldest
    /// is dropped.
    fn change(&mut self, window: Window, change: impl FnOnce(&mut T)) {
        if self.settled.is_some_and(|settled| window <= settled) {
            return;
        }
        change(self.windows.entry(window).or_default());
        if self.windows.len() > MOST_WINDOWS {
            self.windows.pop_first();
        }
    }

    fn settle(&mut self, through: Window) {
        self.settled = self.settled.max(Some(through));
        self.windows.retain(|window, _| *window > through);
    }
}

/// An entry's own counts.
#[derive(Debug, Default)]
pub struct Meter(Open<Counts>);

impl Meter {
    /// Counts a request that an endpoint began to run in a window.
    pub fn count(&mut self, window: Window, workspace: &name::Workspace) {
        self.0.change(window, |counts| {
            *counts.entry(workspace.clone()).or_default() += 1;
        });
    }

    /// All that was counted of windows that are not settled.
    pub fn snapshot(&self) -> impl Iterator<Item = WindowCounts> {
        self.0.windows.iter().map(|(window, counts)| WindowCounts {
            window: *window,
            counts: counts
                .iter()
                .map(|(of, count)| (of.clone(), *count))
                .collect(),
        })
    }

    /// Notes that all windows up to this one are settled.
    pub fn settle_through(&mut self, through: Window) {
        self.0.settle(through);
    }
}

/// One life of an entry.
type Teller = (name::Entry, name::Incarnation);

/// What the entries told, of windows that are not settled.
#[derive(Debug, Default)]
pub struct UsageTotals(Open<BTreeMap<Teller, Counts>>);

impl UsageTotals {
    /// Takes in what a life of an entry told; `unix` is the time of day now, and windows are so
    /// long.
    pub fn record(&mut self, from: &Teller, told: WindowCounts, unix: Millis, length: Millis) {
        if told.window > Window::at(unix + MOST_AHEAD, length) {
            return;
        }
        self.0.change(told.window, |tellers| {
            let counts = tellers.entry(from.clone()).or_default();
            for (workspace, count) in told.counts {
                let known = counts.entry(workspace).or_default();
                *known = count.max(*known);
            }
        });
    }

    /// The sum of all entries for a window.
    pub fn total(&self, window: Window) -> Counts {
        let mut sum = Counts::new();
        let tellers = self.0.windows.get(&window).into_iter().flatten();
        for (workspace, count) in tellers.flat_map(|(_, counts)| counts) {
            *sum.entry(workspace.clone()).or_default() += count;
        }
        sum
    }

    /// How many lives of entries have told of a window.
    pub fn source_count(&self, window: Window) -> usize {
        self.0.windows.get(&window).map_or(0, BTreeMap::len)
    }

    /// Notes that all windows up to this one are settled.
    pub fn settle_through(&mut self, through: Window) {
        self.0.settle(through);
    }
}

/// The window to settle now, if one is due: each in turn, and none twice. `first` is the window
/// in which the system began to be reported on, for a system of which none is settled.
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
