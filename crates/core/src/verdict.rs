//! Whether a request may have run: the part of an error that a caller acts on.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request that got no whole answer; the
/// greater one has run more.
///
/// ```
/// use woodgap_core::verdict::Verdict;
///
/// assert!(Verdict::NotRun.safe_to_repeat());
/// assert!(!Verdict::MayHaveRun.safe_to_repeat());
/// assert_eq!(Verdict::NotRun.as_str(), "not_run");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// No endpoint has started it, and none will.
    NotRun,
    /// It was sent to an endpoint, and what became of it is not known.
    MayHaveRun,
    /// An endpoint ran it, wholly or in part.
    Ran,
}

impl Verdict {
    /// Whether repeating the request can never run it twice.
    pub const fn safe_to_repeat(self) -> bool {
        matches!(self, Self::NotRun)
    }

    /// The verdict as it stands in error bodies, headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}
