//! Bytes that may be held for callers, in all.

/// The part of the machine's memory that is for what callers send and leave unread: a quarter.
const MEMORY_DIVISOR: usize = 4;
/// The part of the budget that is kept for small requests: a quarter.
const SMALL_DIVISOR: usize = 4;
/// The largest request that counts as small, in bytes.
pub const SMALL_BYTES: usize = 64 * 1024;

/// The bytes that may be held for callers, and those that are.
///
/// ```
/// use woodgap_core::intake::Budget;
///
/// let mut budget = Budget::of_machine(100_000_000);
/// assert_eq!(budget.largest(), 18_750_000);
/// assert!(budget.take(18_000_000, 18_000_000));
/// // Another large one has to wait, a small one has not.
/// assert!(!budget.take(1_000_000, 1_000_000));
/// assert!(budget.take(10_000, 10_000));
/// budget.give(18_000_000);
/// assert!(budget.take(1_000_000, 1_000_000));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    capacity: usize,
    held: usize,
}

impl Budget {
    /// The budget of a process that has this much memory, in bytes.
    pub fn of_machine(memory_bytes: usize) -> Self {
        Self {
            capacity: memory_bytes / MEMORY_DIVISOR,
            held: 0,
        }
    }

    /// All bytes that may be held.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The bytes of the largest request for which there can ever be room.
    pub fn largest(&self) -> usize {
        self.capacity - self.capacity / SMALL_DIVISOR
    }

    /// By how many bytes room is short for `more` bytes of a request that has `whole` bytes so far,
    /// these included.
    pub fn shortage(&self, more: usize, whole: usize) -> usize {
        let limit = if whole <= SMALL_BYTES {
            self.capacity
        } else {
            self.largest()
        };
        self.held.saturating_add(more).saturating_sub(limit)
    }

    /// Takes room for `more` bytes of a request that has `whole` bytes so far, these included.
    /// Returns whether there is any.
    pub fn take(&mut self, more: usize, whole: usize) -> bool {
        if self.shortage(more, whole) > 0 {
            return false;
        }
        self.held += more;
        true
    }

    /// Counts bytes that are held already, whether there is room or not. Returns whether there is.
    pub fn force(&mut self, bytes: usize) -> bool {
        self.held += bytes;
        self.held <= self.capacity
    }

    /// Gives room back.
    pub fn give(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}
