//! Bounds on what callers and endpoints may send, and on what is kept for them.

use woodgap_core::clock::Millis;

use crate::reader::Section;
use crate::rule;

/// One KiB, in bytes.
const KIB: usize = 1024;
/// One MiB, in bytes.
const MIB: usize = 1024 * KIB;
/// The largest bound on bytes: above it an instance of usual size runs out of memory.
const MOST_BYTES: usize = 1024 * MIB;
/// The most open connections that can be asked for: the ports of one address.
const MOST_CONNECTIONS: usize = 65_535;
/// The longest time that an answer can be kept: a day, in ms.
const LONGEST_KEPT: u64 = 24 * 60 * 60 * 1_000;
/// The longest time for a request's header, in ms.
const LONGEST_HEADER: u64 = 60_000;
/// The largest header that the HTTP library takes, in bytes.
const MOST_HEADER_BYTES: usize = 128 * KIB;
/// The longest time that a caller may take nothing, in ms: its endpoint's slot
/// is held all the while.
const LONGEST_CALLER: u64 = 600_000;

/// Bounds on what callers and endpoints may send, and on what is kept for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub body_bytes: usize,
    /// The largest request header, in bytes.
    pub header_bytes: usize,
    /// The longest time for a request's header to arrive, and the longest pause
    /// within its body.
    pub header_timeout: Millis,
    /// The longest time for which a caller takes nothing of its answer.
    pub caller_timeout: Millis,
    /// The largest answer that is gathered whole, in bytes.
    pub answer_bytes: usize,
    /// The most connections that are open at once.
    pub connections: usize,
    /// How long a whole answer is kept for a repeated submission.
    pub answers_kept: Millis,
    /// The memory for kept answers, in bytes; the oldest go first.
    pub answers_kept_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: MIB,
            header_bytes: 16 * KIB,
            header_timeout: Millis(5_000),
            caller_timeout: Millis(30_000),
            answer_bytes: 8 * MIB,
            connections: 10_000,
            answers_kept: Millis(600_000),
            answers_kept_bytes: 64 * MIB,
        }
    }
}

impl Limits {
    pub(crate) fn read(section: &Section) -> Self {
        let default = Self::default();
        let bytes = rule::whole(KIB, MOST_BYTES);
        let limits = Self {
            body_bytes: section.or("body_bytes", &bytes, default.body_bytes),
            header_bytes: section.or(
                "header_bytes",
                &rule::whole(KIB, MOST_HEADER_BYTES),
                default.header_bytes,
            ),
            header_timeout: section.or(
                "header_timeout_ms",
                &rule::millis(10, LONGEST_HEADER),
                default.header_timeout,
            ),
            caller_timeout: section.or(
                "caller_timeout_ms",
                &rule::millis(100, LONGEST_CALLER),
                default.caller_timeout,
            ),
            answer_bytes: section.or("answer_bytes", &bytes, default.answer_bytes),
            connections: section.or(
                "connections",
                &rule::whole(1, MOST_CONNECTIONS),
                default.connections,
            ),
            answers_kept: section.or(
                "answers_kept_ms",
                &rule::millis(1_000, LONGEST_KEPT),
                default.answers_kept,
            ),
            answers_kept_bytes: section.or(
                "answers_kept_bytes",
                &bytes,
                default.answers_kept_bytes,
            ),
        };
        limits.check(section);
        limits
    }

    fn check(&self, section: &Section) {
        if self.answers_kept_bytes < self.answer_bytes {
            section.reject(
                "answers_kept_bytes",
                self.answers_kept_bytes.to_string(),
                &format!("at least answer_bytes = {}", self.answer_bytes),
                "Raise it, or lower `answer_bytes`.",
            );
        }
    }
}
