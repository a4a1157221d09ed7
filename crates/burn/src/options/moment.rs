//! Points in time as an operator writes them: a span back from now, or a time.

use jiff::Timestamp;
use woodgap_core::clock::Millis;

/// A point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// So long ago.
    Ago(Millis),
    /// Milliseconds since the Unix epoch.
    At(Millis),
}

impl Moment {
    /// Now.
    pub const NOW: Self = Self::Ago(Millis::ZERO);
    /// An hour ago.
    pub const HOUR_AGO: Self = Self::Ago(Millis::from_secs(3_600));

    /// Reads a span (`90m`) or a time (`2026-03-29T06:00Z`).
    ///
    /// # Errors
    ///
    /// Says which forms are understood.
    ///
    /// ```
    /// use woodgap_burn::options::moment::Moment;
    /// use woodgap_core::clock::Millis;
    ///
    /// assert_eq!(Moment::parse("2m"), Ok(Moment::Ago(Millis(120_000))));
    /// assert_eq!(Moment::parse("1970-01-01T00:01Z"), Ok(Moment::At(Millis(60_000))));
    /// assert!(Moment::parse("yesterday").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        if let Some(span) = span(text) {
            return Ok(Self::Ago(span));
        }
        let time: Option<Timestamp> = text.parse().ok();
        let millis = time.and_then(|time| u64::try_from(time.as_millisecond()).ok());
        millis
            .map(|millis| Self::At(Millis(millis)))
            .ok_or_else(|| {
                format!("{text:?} is neither a span (90m, 6h, 2d) nor a time (2026-03-29T06:00Z)")
            })
    }

    /// The moment in milliseconds since the Unix epoch.
    pub fn unix(self, now: Millis) -> Millis {
        match self {
            Self::Ago(span) => now - span,
            Self::At(unix) => unix,
        }
    }
}

/// Reads a whole number with its unit: `s`, `m`, `h` or `d`.
pub fn span(text: &str) -> Option<Millis> {
    let unit = text.chars().last()?;
    let seconds: u64 = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3_600,
        'd' => 86_400,
        _ => return None,
    };
    let number: u64 = text[..text.len() - 1].parse().ok()?;
    let millis = number.checked_mul(seconds)?.checked_mul(1_000)?;
    Some(Millis(millis))
}
