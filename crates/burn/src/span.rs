//! Spans of whole minutes, the grain of the counts.

use woodgap_core::burn::{MINUTE, minute};
use woodgap_core::clock::Millis;

/// Minutes since the Unix epoch, the end not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// The first minute.
    pub first: u64,
    /// The minute after the last.
    pub end: u64,
}

impl Span {
    /// The minutes that these times touch.
    ///
    /// ```
    /// use woodgap_burn::span::Span;
    /// use woodgap_core::clock::Millis;
    ///
    /// let span = Span::touched(Millis(59_999), Millis(120_001));
    /// assert_eq!(span, Span { first: 0, end: 3 });
    /// ```
    pub fn touched(from: Millis, until: Millis) -> Self {
        let first = minute(from);
        Self {
            first,
            end: until.0.div_ceil(MINUTE.0).max(first),
        }
    }

    /// The span that ends with this one and is so many minutes long.
    #[must_use]
    pub fn tail(self, minutes: u64) -> Self {
        Self {
            first: self.end.saturating_sub(minutes),
            end: self.end,
        }
    }

    /// Whether a minute lies within.
    pub fn contains(self, minute: u64) -> bool {
        (self.first..self.end).contains(&minute)
    }

    /// How many minutes there are.
    pub fn len(self) -> u64 {
        self.end.saturating_sub(self.first)
    }

    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Its start, in milliseconds since the Unix epoch.
    pub fn from(self) -> Millis {
        start(self.first)
    }

    /// Its end, in milliseconds since the Unix epoch.
    pub fn until(self) -> Millis {
        start(self.end)
    }
}

/// The start of a minute, in milliseconds since the Unix epoch.
pub fn start(minute: u64) -> Millis {
    Millis(minute.saturating_mul(MINUTE.0))
}
