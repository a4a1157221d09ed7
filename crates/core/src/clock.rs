//! Time as the decisions see it: whole milliseconds on one monotonic scale.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, or a span, in milliseconds.
///
/// ```
/// use woodgap_core::clock::Millis;
///
/// let deadline = Millis(1_000) + Millis(250);
/// assert_eq!(deadline, Millis(1_250));
/// // Spans never go below zero: a late reading is a span of nothing.
/// assert_eq!(Millis(5) - Millis(9), Millis(0));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The span of nothing, and the start of every scale.
    pub const ZERO: Self = Self(0);

    /// A span of whole seconds.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// assert_eq!(Millis::from_secs(2), Millis(2_000));
    /// ```
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
