//! How fast a body comes.

use crate::clock::Millis;

/// The least pace at which a body has to come, in bytes a millisecond: far below any line of today.
const LEAST_PACE: usize = 16;
/// How far a body that comes fast may be ahead of the least pace: one that stops must not hold its
/// room for long, however much of it has come.
const MAX_LEAD: Millis = Millis(1_000);

/// The progress of a body that is being read.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::intake::Pace;
///
/// let mut pace = Pace::start(Millis(1_000));
/// pace.receive(8_000, Millis(1_000));
/// // What has come is enough for half a second, and as much is granted beyond that.
/// assert_eq!(pace.due(Millis(500)), Millis(2_000));
/// pace.receive(4_000_000, Millis(1_200));
/// assert_eq!(pace.due(Millis(500)), Millis(2_700));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Until when the bytes that have come are enough.
    enough_until: Millis,
    /// Bytes that are not counted there yet.
    uncounted: usize,
}

impl Pace {
    /// A body of which nothing has come yet.
    pub fn start(now: Millis) -> Self {
        Self {
            enough_until: now,
            uncounted: 0,
        }
    }

    /// Counts bytes of the body.
    pub fn receive(&mut self, bytes: usize, now: Millis) {
        let bytes = self.uncounted.saturating_add(bytes);
        self.uncounted = bytes % LEAST_PACE;
        let earned = Millis((bytes / LEAST_PACE) as u64);
        self.enough_until = (self.enough_until + earned).min(now + MAX_LEAD);
    }

    /// By when more must come, if a body may come later by `grace`.
    pub fn due(&self, grace: Millis) -> Millis {
        self.enough_until + grace
    }
}
