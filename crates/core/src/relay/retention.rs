//! What is kept of endpoints that were taken for gone.
//!
//! The row of a running endpoint may lapse while the platform is away, for longer than the endpoint
//! remains a fallback, and come back. What that life has asked for holds then as before. A later
//! life of the endpoint has asked for nothing.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::name;

/// How long a record is kept after its life was given up: as long as a departure, to outlast an
/// outage of the platform.
const LIFETIME: Millis = Millis(600_000);
/// How many records are kept, the latest ones: a third of 5,600 endpoints, the size that is planned
/// for, in about 0.3 MB. Few endpoints ask for anything at a time.
const MAX_RECORDS: usize = 2_048;

#[derive(Debug)]
struct Kept<R> {
    life: name::Life,
    record: R,
    given_up_at: Millis,
}

/// The records of lives that were given up.
#[derive(Debug)]
pub(super) struct Retention<R> {
    /// The oldest first.
    kept: VecDeque<Kept<R>>,
}

impl<R> Default for Retention<R> {
    fn default() -> Self {
        Self {
            kept: VecDeque::new(),
        }
    }
}

impl<R> Retention<R> {
    /// Keeps the record of a life that is given up.
    pub fn keep(&mut self, life: &name::Life, record: R, now: Millis) {
        if self.kept.len() == MAX_RECORDS {
            self.kept.pop_front();
        }
        self.kept.push_back(Kept {
            life: life.clone(),
            record,
            given_up_at: now,
        });
    }

    /// Removes and returns the records of lives that are listed again, and drops those that have
    /// been kept for too long.
    pub fn take_listed(
        &mut self,
        is_listed: impl Fn(&name::Life) -> bool,
        now: Millis,
    ) -> Vec<(name::Life, R)> {
        let is_over = |kept: &Kept<R>| now - kept.given_up_at >= LIFETIME;
        while self.kept.front().is_some_and(is_over) {
            self.kept.pop_front();
        }
        if !self.kept.iter().any(|kept| is_listed(&kept.life)) {
            return Vec::new();
        }
        let kept = std::mem::take(&mut self.kept).into_iter();
        let (listed, others): (VecDeque<_>, _) = kept.partition(|kept| is_listed(&kept.life));
        self.kept = others;
        let listed = listed.into_iter();
        listed.map(|kept| (kept.life, kept.record)).collect()
    }
}
