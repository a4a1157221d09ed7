//! Sortable keys for virtual times and loads.

use std::cmp::Ordering;

/// A start or finish tag of fair queueing, in tokens of virtual time. Tags are
/// totally ordered, which `f64` is not.
///
/// ```
/// use woodgap_core::pool::tag::Tag;
///
/// assert!(Tag(1.5) < Tag(2.0));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Tag(pub f64);

impl PartialEq for Tag {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
