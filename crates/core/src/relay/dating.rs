//! Estimates when the platform generated a response, on the local monotonic clock.
//!
//! A response may have been held by the platform (long polling) and delayed in transit. It was
//! certainly generated after it was requested; where the platform reports its own monotonic clock,
//! earlier responses give a tighter bound.

use crate::clock::Millis;

/// Tracks the offset of the platform's monotonic clock.
#[derive(Debug, Default)]
pub struct PlatformClock {
    /// A lower bound on how many ms the platform's clock is behind the local one.
    offset: Option<i128>,
}

impl PlatformClock {
    /// Returns a lower bound on the local time at which a response was generated, between
    /// `requested_at` and `received_at`.
    ///
    /// `generated_at` is the platform's monotonic clock when it generated the response.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::dating::PlatformClock;
    ///
    /// let mut clock = PlatformClock::default();
    /// // A fast response gives a tight bound on the clock offset.
    /// assert_eq!(
    ///     clock.date(Millis(100), Some(Millis(5_000)), Millis(104)),
    ///     Millis(100),
    /// );
    /// // With it, a response that the platform held for two seconds is known to be fresh.
    /// assert_eq!(
    ///     clock.date(Millis(110), Some(Millis(7_005)), Millis(2_109)),
    ///     Millis(2_105),
    /// );
    /// // The estimate is never later than the time of receipt.
    /// assert_eq!(
    ///     clock.date(Millis(2_110), Some(Millis(99_000)), Millis(2_114)),
    ///     Millis(2_114),
    /// );
    /// ```
    pub fn date(
        &mut self,
        requested_at: Millis,
        generated_at: Option<Millis>,
        received_at: Millis,
    ) -> Millis {
        let Some(generated_at) = generated_at else {
            return requested_at;
        };
        let generated_at = i128::from(generated_at.0);
        let lower_bound = i128::from(requested_at.0) - generated_at;
        let offset = self
            .offset
            .map_or(lower_bound, |known| known.max(lower_bound));
        self.offset = Some(offset);
        let estimate = u64::try_from(generated_at + offset).unwrap_or(0);
        Millis(estimate).clamp(requested_at, received_at.max(requested_at))
    }
}
