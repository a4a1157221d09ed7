//! Requests that are recorded and carried out later.

use woodgap_core::clock::Millis;

use crate::reader::Section;
use crate::rule;

/// The longest pause between two looks for work, in ms.
const LONGEST_POLL: u64 = 60_000;
/// The longest time that an answer can be kept: 30 days, in ms.
const LONGEST_KEPT: u64 = 30 * 24 * 60 * 60 * 1_000;
/// The largest bound on what a workspace may have recorded at once.
const MOST_QUEUED: usize = 1_000_000;
/// The most that can run side by side for each shard and tier.
const MOST_RUNNING: usize = 1_000;

/// Requests that are recorded and carried out later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deferred {
    /// The pause between two looks for recorded work.
    pub poll: Millis,
    /// How long an answer is kept for its caller, and how long work may wait.
    pub kept: Millis,
    /// The most that a workspace may have recorded and not yet answered.
    pub queue_per_workspace: usize,
    /// The most that run side by side for each shard of the work and each tier.
    pub running_per_tier: usize,
}

impl Default for Deferred {
    fn default() -> Self {
        Self {
            poll: Millis(4_000),
            kept: Millis(24 * 60 * 60 * 1_000),
            queue_per_workspace: 4_096,
            running_per_tier: 8,
        }
    }
}

impl Deferred {
    pub(crate) fn read(section: &Section) -> Self {
        let default = Self::default();
        Self {
            poll: section.or("poll_ms", &rule::millis(10, LONGEST_POLL), default.poll),
            kept: section.or("kept_ms", &rule::millis(1_000, LONGEST_KEPT), default.kept),
            queue_per_workspace: section.or(
                "queue_per_workspace",
                &rule::whole(1, MOST_QUEUED),
                default.queue_per_workspace,
            ),
            running_per_tier: section.or(
                "running_per_tier",
                &rule::whole(1, MOST_RUNNING),
                default.running_per_tier,
            ),
        }
    }
}
