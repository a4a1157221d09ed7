//! Holds jobs back whose target refuses them.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::deferred::Job;
use crate::deferred::end::wait;
use crate::name;
use crate::tier::Tier;

/// What was refused last, by target and tier: one job in a while tries again for
/// all that wait behind it, so that a long outage of a target costs few writes.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    refused: BTreeMap<(name::Target, Tier), Refused>,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    /// Refusals in a row.
    count: u32,
    /// Nothing is tried before.
    until: Millis,
    /// Whether one is being tried.
    trying: bool,
}

impl Backoff {
    /// Whether a job is held back now.
    pub fn holds(&self, now: Millis, job: &Job) -> bool {
        let refused = self.refused.get(&place(job));
        refused.is_some_and(|refused| refused.trying || now < refused.until)
    }

    /// A job that was to be started was not.
    pub fn untried(&mut self, job: &Job) {
        if let Some(refused) = self.refused.get_mut(&place(job)) {
            refused.trying = false;
        }
    }

    /// Whether a job may be started now; one that is then not started must be
    /// given to [`Backoff::untried`].
    pub fn try_start(&mut self, now: Millis, job: &Job) -> bool {
        match self.refused.get_mut(&place(job)) {
            None => true,
            Some(refused) if refused.trying || now < refused.until => false,
            Some(refused) => {
                refused.trying = true;
                true
            }
        }
    }

    /// A job was refused for now.
    pub fn refused(&mut self, now: Millis, job: &Job) {
        let refused = self.refused.entry(place(job)).or_insert(Refused {
            count: 0,
            until: now,
            trying: false,
        });
        // Those that were under way together are one refusal.
        if refused.trying || refused.count == 0 {
            refused.count += 1;
            refused.until = now + wait(refused.count);
            refused.trying = false;
        }
    }

    /// A job was not refused, or ended before that was known.
    pub fn passed(&mut self, job: &Job) {
        self.refused.remove(&place(job));
    }

    /// When the next try is due, if something is held back.
    pub fn due(&self) -> Option<Millis> {
        let waiting = self.refused.values().filter(|refused| !refused.trying);
        waiting.map(|refused| refused.until).min()
    }
}

fn place(job: &Job) -> (name::Target, Tier) {
    (job.target.clone(), job.tier)
}
