//! The request classes of a pool, and what is known of each.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::pool::estimate::History;
use crate::pool::reserve::{Rate, lane};
use crate::tier::Tier;

/// How long a class without requests is remembered: over a break in a shift.
const REMEMBERED: Millis = Millis::from_secs(3_600);
/// Span without arrivals after which nothing is kept for a class: over the
/// gaps of a class with a request or two a minute.
const LATELY: Millis = Millis::from_secs(60);
/// Share of the difference by which a class's target falls with each request.
const FALL: u64 = 256;
/// The lane of a class that has never run: the middle one.
const UNKNOWN_LANE: usize = 3;

/// A class of one tier. The same class of two tiers counts as two, for each
/// tier is owed its service by itself.
#[derive(Clone, Debug)]
pub struct Class {
    /// The tier.
    pub tier: Tier,
    /// What its ended runs tell.
    pub history: History,
    /// Its arrivals.
    pub rate: Rate,
    /// Its lane by length.
    pub lane: usize,
    /// Requests that wait or run.
    pub busy: u32,
    /// The time that its requests have when they come.
    pub target: Millis,
    seen: Millis,
}

impl Class {
    /// Notes a request that has this much time left.
    pub fn arrive(&mut self, now: Millis, left: Millis) {
        self.rate.add(now);
        self.seen = now;
        // The target is what one has that has just come; others have less.
        // It falls slowly, in case operators set a lower one.
        let fallen = self.target - Millis((self.target - left).0 / FALL);
        self.target = fallen.max(left);
    }

    /// Notes the end of a run.
    pub fn end(&mut self, now: Millis) {
        self.busy -= 1;
        self.seen = now;
    }

    /// Time that nearly every request needs from its grant to meet its target.
    ///
    /// An ask does not say whether the target is the first token or the whole
    /// answer. Where even a short answer takes longer than the target, it can
    /// only be the first token. Half of the target at most, so that a class
    /// whose long answers miss it anyhow does not count as late from the start.
    pub fn need(&self) -> Millis {
        self.usual().min(Millis(self.target.0 / 2))
    }

    /// How many times slower than usual a request with this much time left may
    /// run and meet its target.
    pub fn spare(&self, left: Millis) -> f64 {
        left.0 as f64 / self.usual().0.max(1) as f64
    }

    fn usual(&self) -> Millis {
        let short = self.history.short().unwrap_or(Millis::ZERO);
        let usual = if short <= self.target {
            self.history.long()
        } else {
            self.history.first_token()
        };
        usual.unwrap_or(Millis::ZERO)
    }

    /// Runs to be expected at once, by the arrivals of late (Little's law);
    /// none if nothing came for long.
    pub fn runs_at_once(&self, now: Millis) -> Option<f64> {
        let mean = self.history.mean()?;
        (now - self.seen <= LATELY).then(|| self.rate.per_ms(now) * mean.0 as f64)
    }

    /// Puts the class into the lane that its runs' length calls for.
    pub fn renew_lane(&mut self) {
        if let Some(median) = self.history.median() {
            self.lane = lane(median);
        }
    }
}

/// All classes of a pool.
#[derive(Debug, Default)]
pub struct Classes {
    list: Vec<Option<Class>>,
    ids: HashMap<name::Class, Vec<(Tier, u32)>>,
    free: Vec<u32>,
}

impl Classes {
    /// The class's number, given on first sight.
    pub fn id(&mut self, now: Millis, tier: Tier, name: &name::Class) -> u32 {
        if let Some(id) = self.find(tier, name) {
            return id;
        }
        let class = Class {
            tier,
            history: History::default(),
            rate: Rate::default(),
            lane: UNKNOWN_LANE,
            busy: 0,
            target: Millis::ZERO,
            seen: now,
        };
        let id = self.store(class);
        self.ids.entry(name.clone()).or_default().push((tier, id));
        id
    }

    /// The class of this number.
    ///
    /// # Panics
    ///
    /// If there is none: numbers are kept while anything refers to them.
    pub fn get(&self, id: u32) -> &Class {
        self.list[id as usize].as_ref().expect("class in use")
    }

    /// The class of this number.
    ///
    /// # Panics
    ///
    /// As [`Self::get`].
    pub fn get_mut(&mut self, id: u32) -> &mut Class {
        self.list[id as usize].as_mut().expect("class in use")
    }

    /// All classes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Class> {
        self.list.iter_mut().flatten()
    }

    /// Forgets the classes that have not been seen for long; returns their numbers.
    pub fn forget_old(&mut self, now: Millis) -> Vec<u32> {
        let list = &mut self.list;
        let mut gone = Vec::new();
        self.ids.retain(|_, tiers| {
            tiers.retain(|(_, id)| {
                let slot = &mut list[*id as usize];
                let old = |class: &Class| class.busy == 0 && now - class.seen > REMEMBERED;
                if !slot.as_ref().is_some_and(old) {
                    return true;
                }
                *slot = None;
                gone.push(*id);
                false
            });
            !tiers.is_empty()
        });
        // The map's order is not the same in each process; numbers should be.
        gone.sort_unstable();
        self.free.extend(&gone);
        gone
    }

    fn find(&self, tier: Tier, name: &name::Class) -> Option<u32> {
        let tiers = self.ids.get(name)?;
        let found = tiers.iter().find(|(known, _)| *known == tier)?;
        Some(found.1)
    }

    fn store(&mut self, class: Class) -> u32 {
        if let Some(id) = self.free.pop() {
            self.list[id as usize] = Some(class);
            return id;
        }
        self.list.push(Some(class));
        u32::try_from(self.list.len() - 1).expect("fewer than 2^32 classes")
    }
}
