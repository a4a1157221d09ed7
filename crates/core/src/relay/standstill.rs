//! What an entry knows after its process stood still.
//!
//! A process that was frozen, or got no processor, goes on as if no time had passed: requests that
//! waited for it would be sent by what it knew before. After a standstill it first asks others what is
//! new, for a short time at most, since all others may be gone.

use crate::clock::Millis;

/// A gap in the process's own work from which on it counts as a standstill: several times the longest
/// time between two looks.
pub const MIN_STANDSTILL: Millis = Millis(1_000);
/// How long the process then waits for an answer: a round of messages.
pub const MAX_WAIT: Millis = Millis(300);

/// Notices standstills, and whether the process has caught up since the last one.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::standstill::Watch;
///
/// let mut watch = Watch::new(Millis(0));
/// assert_eq!(watch.look(Millis(250)), Millis(0));
/// // It was frozen for some seconds, and waits for an answer.
/// assert_eq!(watch.look(Millis(5_000)), Millis(300));
/// // An answer to what was asked before tells nothing.
/// watch.record_answer(Millis(200));
/// assert_eq!(watch.look(Millis(5_010)), Millis(290));
/// watch.record_answer(Millis(5_001));
/// assert_eq!(watch.look(Millis(5_020)), Millis(0));
/// ```
#[derive(Debug)]
pub struct Watch {
    looked: Millis,
    /// When it woke up, until it has caught up.
    woken: Option<Millis>,
}

impl Watch {
    /// A process that runs now.
    pub fn new(now: Millis) -> Self {
        Self {
            looked: now,
            woken: None,
        }
    }

    /// Notes that the process runs. Returns for how long at most what it knows is not to be relied
    /// on; zero if it has caught up.
    pub fn look(&mut self, now: Millis) -> Millis {
        if now - self.looked > MIN_STANDSTILL {
            self.woken = Some(now);
        }
        self.looked = now;
        let left = self
            .woken
            .map_or(Millis::ZERO, |woken| woken + MAX_WAIT - now);
        if left == Millis::ZERO {
            self.woken = None;
        }
        left
    }

    /// Records that a question asked at `asked` has brought all that is new. Returns whether the
    /// process has caught up by it.
    pub fn record_answer(&mut self, asked: Millis) -> bool {
        let has_caught_up = self.woken.is_some_and(|woken| asked >= woken);
        if has_caught_up {
            self.woken = None;
        }
        has_caught_up
    }
}
