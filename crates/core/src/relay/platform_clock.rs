//! When an answer of the platform was made, on our own clock.
//!
//! An answer may have been held for a while, and may have been long on its way.
//! It was certainly made after it was asked for; where the platform tells its own
//! steady clock, earlier answers say more.

use crate::clock::Millis;

/// How far the platform's steady clock is behind ours, at least.
#[derive(Debug, Default)]
pub struct PlatformClock {
    behind: Option<i128>,
}

impl PlatformClock {
    /// The latest moment at which an answer is known not to have been made yet:
    /// between the one at which it was asked for and the one at which it came.
    ///
    /// `made` is the platform's steady clock when it made the answer.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::platform_clock::PlatformClock;
    ///
    /// let mut dating = PlatformClock::default();
    /// // An answer that came at once shows how the clocks stand.
    /// assert_eq!(dating.response_time(Millis(100), Some(Millis(5_000)), Millis(104)), Millis(100));
    /// // So one that was held for two seconds is known to be fresh.
    /// assert_eq!(dating.response_time(Millis(110), Some(Millis(7_005)), Millis(2_109)), Millis(2_105));
    /// // Nothing is dated later than it came.
    /// assert_eq!(dating.response_time(Millis(2_110), Some(Millis(99_000)), Millis(2_114)), Millis(2_114));
    /// ```
    pub fn response_time(&mut self, asked: Millis, made: Option<Millis>, came: Millis) -> Millis {
        let Some(made) = made else {
            return asked;
        };
        let made = i128::from(made.0);
        let least = i128::from(asked.0) - made;
        let behind = self.behind.map_or(least, |known| known.max(least));
        self.behind = Some(behind);
        let dated = u64::try_from(made + behind).unwrap_or(0);
        Millis(dated).clamp(asked, came.max(asked))
    }
}
