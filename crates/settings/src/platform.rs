//! Where the platform is and how it is asked, the same in every settings file.

use woodgap_core::clock::Millis;

use crate::reader::Section;
use crate::rule;

/// The longest wait for one answer of the platform, in ms.
const LONGEST_TIMEOUT: u64 = 60_000;

/// The longest pause between two looks at the platform, in ms: beyond it a
/// change would not be in force within seconds.
const LONGEST_POLL: u64 = 10_000;

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of table service, object store and instance list, without a
    /// slash at its end.
    pub url: String,
    /// The longest wait for one answer.
    pub timeout: Millis,
    /// The pause between two looks at the change log and the instance list.
    pub poll: Millis,
}

impl Platform {
    pub(crate) fn read(section: &Section) -> Option<Self> {
        let url = section.required("url", &rule::url());
        let timeout = section.or(
            "timeout_ms",
            &rule::millis(1, LONGEST_TIMEOUT),
            Millis(2_000),
        );
        let poll = section.or("poll_ms", &rule::millis(10, LONGEST_POLL), Millis(1_000));
        Some(Self {
            url: url?,
            timeout,
            poll,
        })
    }
}
