//! Counts what the entry has taken and not yet ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Requests that were taken and have not ended.
#[derive(Clone, Debug, Default)]
pub struct Running {
    count: Arc<AtomicU32>,
}

/// One of them; its drop is its end.
#[derive(Debug)]
pub struct Guard {
    count: Arc<AtomicU32>,
}

impl Running {
    /// One more, until the guard is dropped.
    ///
    /// ```
    /// use woodgap_entry::running::Running;
    ///
    /// let running = Running::default();
    /// let guard = running.enter();
    /// assert_eq!(running.count(), 1);
    /// drop(guard);
    /// assert_eq!(running.count(), 0);
    /// ```
    pub fn enter(&self) -> Guard {
        self.count.fetch_add(1, Ordering::AcqRel);
        Guard {
            count: Arc::clone(&self.count),
        }
    }

    /// How many there are.
    pub fn count(&self) -> u32 {
        self.count.load(Ordering::Acquire)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}
