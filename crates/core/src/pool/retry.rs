//! A pool's budget of retries.

/// Retries that may follow one another before any fresh request is granted.
const BURST: f64 = 10.0;

/// How many retries may go ahead of fresh requests.
#[derive(Clone, Debug)]
pub struct Budget {
    per_fresh: f64,
    left: f64,
}

impl Budget {
    /// A full budget that earns this share of the grants, 0 to 1.
    pub fn new(share: f64) -> Self {
        let share = share.clamp(0.0, 0.99);
        Self {
            per_fresh: share / (1.0 - share),
            left: BURST,
        }
    }

    /// Whether a retry may go ahead of fresh requests.
    ///
    /// ```
    /// use woodgap_core::pool::retry::Budget;
    ///
    /// let mut budget = Budget::new(0.5);
    /// for _ in 0..10 {
    ///     budget.spend();
    /// }
    /// assert!(!budget.allows());
    /// budget.earn();
    /// assert!(budget.allows());
    /// ```
    pub fn allows(&self) -> bool {
        self.left >= 1.0
    }

    /// A fresh request was granted.
    pub fn earn(&mut self) {
        self.left = (self.left + self.per_fresh).min(BURST);
    }

    /// A retry was granted.
    pub fn spend(&mut self) {
        self.left = (self.left - 1.0).max(0.0);
    }
}
