//! Request classes of a pool and their measured behaviour.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::pool::estimate::History;
use crate::pool::reserve::{DecayingRate, duration_bucket};
use crate::tier::Tier;

/// How long a class without requests is kept. It covers a break between working
/// shifts.
const CLASS_RETENTION: Millis = Millis::from_secs(3_600);
/// Time without arrivals after which no slots are reserved for a class. It
/// covers the gaps of a class with one or two requests a minute.
const ARRIVAL_WINDOW: Millis = Millis::from_secs(60);
/// Each request lowers a class's target by the difference to its remaining time,
/// divided by this value.
const TARGET_DECAY_DIVISOR: u64 = 256;
/// Duration bucket of a class without completed runs: a middle one.
const DEFAULT_BUCKET: usize = 3;

/// A class within one tier. The same class in two tiers is tracked twice,
/// because each tier has its own minimum share.
#[derive(Clone, Debug)]
pub struct Class {
    /// The tier.
    pub tier: Tier,
    /// Statistics of completed runs.
    pub history: History,
    /// Arrival rate.
    pub rate: DecayingRate,
    /// Bucket by run duration.
    pub bucket: usize,
    /// Number of waiting and running requests.
    pub active: u32,
    /// Time from the arrival of a request to its deadline.
    pub target: Millis,
    /// Factor of its minimum share, more than 0; 1 unless the user of the
    /// waiting list gives classes different ones.
    pub share_weight: f64,
    last_active: Millis,
}

impl Class {
    /// Records a request with this much time left.
    pub fn record_arrival(&mut self, now: Millis, remaining: Millis) {
        self.rate.add(now);
        self.last_active = now;
        // Only a request that has just arrived has the whole target left; others
        // have less. The target decays slowly so that it follows when operators
        // lower it.
        let decayed = self.target - Millis((self.target - remaining).0 / TARGET_DECAY_DIVISOR);
        self.target = decayed.max(remaining);
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, now: Millis) {
        self.active -= 1;
        self.last_active = now;
    }

    /// Returns the time that nearly every request needs from its grant to meet
    /// its target.
    ///
    /// An ask does not say whether the target applies to the first token or to
    /// the whole answer. Where even a short answer takes longer than the
    /// target, it can only apply to the first token. The result is at most half
    /// of the target, so that a class whose long answers miss it anyhow does
    /// not count as late from the start.
    pub fn time_needed(&self) -> Millis {
        self.planned_duration().min(Millis(self.target.0 / 2))
    }

    /// Returns the factor by which a request with this much time left may be
    /// slower than usual and still meet its target.
    pub fn slack_ratio(&self, remaining: Millis) -> f64 {
        remaining.0 as f64 / self.planned_duration().0.max(1) as f64
    }

    fn planned_duration(&self) -> Millis {
        let p25 = self.history.p25().unwrap_or(Millis::ZERO);
        let duration = if p25 <= self.target {
            self.history.p95()
        } else {
            self.history.median_first_token()
        };
        duration.unwrap_or(Millis::ZERO)
    }

    /// Returns the expected number of concurrent runs from the recent arrival
    /// rate (Little's law), or none without recent arrivals.
    pub fn expected_concurrency(&self, now: Millis) -> Option<f64> {
        let mean = self.history.mean()?;
        (now - self.last_active <= ARRIVAL_WINDOW).then(|| self.rate.per_ms(now) * mean.0 as f64)
    }

    /// Updates the duration bucket from the median run.
    pub fn update_bucket(&mut self) {
        if let Some(median) = self.history.median() {
            self.bucket = duration_bucket(median);
        }
    }
}

/// All classes of a pool, by id.
#[derive(Debug, Default)]
pub struct Classes {
    list: Vec<Option<Class>>,
    ids: HashMap<name::Class, Vec<(Tier, u32)>>,
    free: Vec<u32>,
}

impl Classes {
    /// Returns the class's id, assigning one on first use.
    pub fn id(&mut self, now: Millis, tier: Tier, name: &name::Class) -> u32 {
        if let Some(id) = self.find(tier, name) {
            return id;
        }
        let class = Class {
            tier,
            history: History::default(),
            rate: DecayingRate::default(),
            bucket: DEFAULT_BUCKET,
            active: 0,
            target: Millis::ZERO,
            share_weight: 1.0,
            last_active: now,
        };
        let id = self.store(class);
        self.ids.entry(name.clone()).or_default().push((tier, id));
        id
    }

    /// Returns the class with this id.
    ///
    /// # Panics
    ///
    /// If there is none. Ids stay valid while anything refers to them.
    pub fn get(&self, id: u32) -> &Class {
        self.list[id as usize].as_ref().expect("class in use")
    }

    /// Returns the class with this id.
    ///
    /// # Panics
    ///
    /// As [`Self::get`].
    pub fn get_mut(&mut self, id: u32) -> &mut Class {
        self.list[id as usize].as_mut().expect("class in use")
    }

    /// Iterates over all classes.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Class> {
        self.list.iter_mut().flatten()
    }

    /// Removes the classes that have been inactive for `CLASS_RETENTION` and
    /// returns their ids.
    pub fn evict_old(&mut self, now: Millis) -> Vec<u32> {
        let list = &mut self.list;
        let mut gone = Vec::new();
        self.ids.retain(|_, tiers| {
            tiers.retain(|(_, id)| {
                let slot = &mut list[*id as usize];
                let old =
                    |class: &Class| class.active == 0 && now - class.last_active > CLASS_RETENTION;
                if !slot.as_ref().is_some_and(old) {
                    return true;
                }
                *slot = None;
                gone.push(*id);
                false
            });
            !tiers.is_empty()
        });
        // The map's iteration order differs between processes; sorting makes the
        // reuse of ids deterministic.
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
