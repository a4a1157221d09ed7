//! A virtual time that can be sorted.

use std::cmp::Ordering;

/// Tokens of service, as a place on a scale of virtual time.
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
