//! What may crash the endpoints that run a request: the request as a whole, or one part of its
//! prompt.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::relay::Work;
use crate::relay::prefix::mix;

/// The maximum number of prompt parts of one request that are considered. Longer prompts are long
/// sessions.
const MAX_PARTS: usize = 256;

/// A possible cause of crashes: what an endpoint crashes on, whatever else it is sent with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// A request, whatever its identity.
    Request(Fingerprint),
    /// A part of prompts, by its ID.
    Part(u64),
}

impl Cause {
    /// Returns everything in a request that may crash endpoints: the request itself, then the
    /// parts of its prompt in order. The last part is left out, as no other prompt holds it.
    ///
    /// ```
    /// use woodgap_core::fingerprint::{Fingerprint, Request};
    /// use woodgap_core::quarantine::Cause;
    /// use woodgap_core::relay::Work;
    /// use woodgap_core::relay::work::Part;
    ///
    /// let request = Request { caller: "", method: "GET", host: "", target: "/", body: b"" };
    /// let request = Fingerprint::of(&request);
    /// assert_eq!(Cause::all(request, None), [Cause::Request(request)]);
    /// let parts = [7, 8, 9].map(|id| Part { id, tokens: 100 }).to_vec();
    /// let work = Work { parts, ..Work::default() };
    /// let all = [Cause::Request(request), Cause::Part(7), Cause::Part(8)];
    /// assert_eq!(Cause::all(request, Some(&work)), all);
    /// ```
    pub fn all(request: Fingerprint, work: Option<&Work>) -> Vec<Self> {
        let parts = work.map(Work::shared_parts).unwrap_or_default();
        let mut all = vec![Self::Request(request)];
        for part in parts.iter().take(MAX_PARTS) {
            let cause = Self::Part(part.id);
            if !all.contains(&cause) {
                all.push(cause);
            }
        }
        all
    }

    /// A uniformly distributed number that is the same at all entries.
    pub fn key(self) -> u64 {
        match self {
            Self::Request(fingerprint) => fingerprint.key(),
            Self::Part(id) => mix(0, id),
        }
    }

    /// Whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

/// As in logs and in the platform's tables: the fingerprint, or `part-` and the ID in hexadecimal.
impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => fingerprint.fmt(formatter),
            Self::Part(id) => write!(formatter, "part-{id:x}"),
        }
    }
}
