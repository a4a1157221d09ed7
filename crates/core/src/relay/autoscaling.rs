//! How many endpoints of a service run, where, and of which kind.
//!
//! Apart from placing: what is needed comes in as a number of endpoints at ease, and wanted
//! numbers go out. The load patterns: bursts that are over before a new endpoint has started, so
//! that a reserve has to run before they come; and a platform that takes all reclaimable
//! endpoints of a data centre away at once and has none to give for a while.

pub mod allocation;

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::relay::plan::Scaling;

pub use allocation::cheapest_allocation;

/// For how long a service is kept able to do what it once had to: bursts come in series.
const MEMORY: Millis = Millis(30_000);
/// How often the demand is looked at.
const SAMPLE: Millis = Millis(500);
/// Another number is ordered only if it differs by this part at least.
const STEP: f64 = 0.15;
/// The time between two orders of smaller numbers, at least: endpoints that leave forget what
/// they keep, and their streams have to end.
const SHRINK_PAUSE: Millis = Millis(8_000);
/// For how long the endpoints that are found at first are counted: they list themselves one by
/// one.
const FINDING: Millis = Millis(5_000);
/// After a refusal, how long a data centre is taken to have no reclaimable endpoints.
const DRY: Millis = Millis(3_000);
/// The part of what is needed that is there at any time while endpoints of one kind take the place
/// of others.
const LEAST_PART: f64 = 2.0 / 3.0;
/// The part of the endpoints that are ordered which shows that the platform has started them: some
/// may fail at any time.
const NEARLY_ALL: f64 = 0.9;
/// How many samples tell the demand of this moment.
const RECENT: usize = 4;
/// How long beyond its start an endpoint may take to be listed.
const LISTING: Millis = Millis(2_000);
/// A difference to the last order that is more than this part of it is ordered at once, a smaller
/// one after it has stayed the same for a while.
const LARGE: f64 = 0.5;
const SETTLED: Millis = Millis(700);

/// Endpoints of a service in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCount {
    /// Those that stay for as long as they are ordered.
    pub on_demand: u32,
    /// Those that may be taken away.
    pub reclaimable: u32,
}

impl EndpointCount {
    /// Both kinds.
    pub fn all(self) -> u32 {
        self.on_demand + self.reclaimable
    }

    fn of(self, is_reclaimable: bool) -> u32 {
        if is_reclaimable {
            self.reclaimable
        } else {
            self.on_demand
        }
    }
}

/// By data centre.
pub type EndpointCounts = BTreeMap<name::DataCentre, EndpointCount>;

/// How many are left once the data centre with the most reclaimable endpoints has lost them.
///
/// ```
/// use woodgap_core::relay::autoscaling::{EndpointCount, EndpointCounts, guaranteed};
///
/// let count = |on_demand, reclaimable| EndpointCount { on_demand, reclaimable };
/// let counts = EndpointCounts::from([("a".into(), count(5, 10)), ("b".into(), count(0, 4))]);
/// assert_eq!(guaranteed(&counts), 9);
/// ```
pub fn guaranteed(counts: &EndpointCounts) -> u32 {
    let all: u32 = counts.values().map(|it| it.all()).sum();
    let most = counts.values().map(|it| it.reclaimable).max();
    all - most.unwrap_or_default()
}

/// An order that was made.
#[derive(Clone, Copy, Debug)]
struct Made {
    count: u32,
    at: Millis,
}

/// The sizing of one service.
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// What was needed of late, with the moment of each sample.
    samples: VecDeque<(Millis, f64)>,
    /// How many are to be assured, as long as that costs little.
    needed: u32,
    /// Until when the endpoints that operators began with are counted.
    finding_until: Option<Millis>,
    /// When a smaller number was ordered last.
    shrunk: Millis,
    /// The cheapest endpoints that assure so many, and for what that was found out.
    bought: EndpointCounts,
    bought_for: Option<(u32, Scaling)>,
    made: BTreeMap<(name::DataCentre, bool), Made>,
    /// What was wanted last, and since when.
    wanted: EndpointCounts,
    changed: Millis,
    /// Until when a data centre is taken to have no reclaimable endpoints.
    dry: BTreeMap<name::DataCentre, Millis>,
}

/// What is seen of a service.
#[derive(Clone, Debug)]
pub struct Observation<'a> {
    /// What the operators say.
    pub scaling: &'a Scaling,
    /// Endpoints that are ready.
    pub running: &'a EndpointCounts,
    /// Those of data centres where nothing may be sent, which the scaling does not name.
    pub idle: &'a EndpointCounts,
    /// How many endpoints its requests need at ease.
    pub demand: f64,
    /// How many times that is to be assured.
    pub headroom: f64,
}

impl Autoscaler {
    /// Goes on where an entry left off that had so many assured.
    pub fn resume(needed: u32) -> Self {
        Self {
            needed,
            ..Self::default()
        }
    }

    /// The next order, if one is to be made.
    pub fn next(&mut self, sight: &Observation<'_>, now: Millis) -> Option<ScaleRequest> {
        self.sample(sight, now);
        self.buy(sight.scaling);
        let wanted = self.wanted(sight, now);
        if self.wanted != wanted {
            self.wanted.clone_from(&wanted);
            self.changed = now;
        }
        let all = wanted
            .into_iter()
            .flat_map(|(at, count)| wishes(&at, count));
        let due = all.filter(|wish| self.is_due(sight.scaling, sight.running, wish, now));
        // What is added first, so that nothing is missing while what is too much leaves.
        let next = due.min_by_key(|wish| wish.count < running(sight.running, wish));
        next.or_else(|| self.release(sight, now))
    }

    /// Gives up endpoints that get nothing, once enough run elsewhere.
    fn release(&self, sight: &Observation<'_>, now: Millis) -> Option<ScaleRequest> {
        if guaranteed(sight.running) < self.needed {
            return None;
        }
        let places = sight.idle.keys();
        let mut none = places.flat_map(|at| wishes(at, EndpointCount::default()));
        none.find(|wish| {
            running(sight.idle, wish) > 0 && self.is_due(sight.scaling, sight.idle, wish, now)
        })
    }

    /// Notes that an order was taken.
    pub fn accepted(&mut self, wish: &ScaleRequest, now: Millis) {
        let made = Made {
            count: wish.count,
            at: now,
        };
        if wish.is_reclaimable {
            self.dry.remove(&wish.data_centre);
        }
        self.made
            .insert((wish.data_centre.clone(), wish.is_reclaimable), made);
    }

    /// Notes that there is nothing to be had of this kind.
    pub fn refused(&mut self, wish: &ScaleRequest, now: Millis) {
        if wish.is_reclaimable {
            self.dry.insert(wish.data_centre.clone(), now + DRY);
        }
        self.made
            .remove(&(wish.data_centre.clone(), wish.is_reclaimable));
    }

    /// Finds out what to buy, where that may have changed.
    fn buy(&mut self, scaling: &Scaling) {
        let is_known = self.bought_for.as_ref();
        if is_known.is_some_and(|(needed, known)| *needed == self.needed && known == scaling) {
            return;
        }
        self.bought = cheapest_allocation(self.needed, scaling);
        self.bought_for = Some((self.needed, scaling.clone()));
    }

    /// How many endpoints are assured as long as that costs little.
    pub fn needed(&self) -> u32 {
        self.needed
    }

    fn sample(&mut self, sight: &Observation<'_>, now: Millis) {
        self.find(sight, now);
        let last = self.samples.back();
        if last.is_some_and(|(at, _)| now - *at < SAMPLE) {
            return;
        }
        self.samples.push_back((now, sight.demand));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now - *at > MEMORY)
        {
            self.samples.pop_front();
        }
        let most = self.samples.iter().map(|(_, demand)| *demand);
        let most = most.fold(0.0, f64::max) * sight.headroom;
        let most = most.min(f64::from(allocation::attainable(sight.scaling)));
        let needed = f64::from(self.needed);
        let may_shrink = now - self.shrunk >= SHRINK_PAUSE;
        let is_less = may_shrink && most < needed * (1.0 - STEP);
        if most > needed * (1.0 + STEP) || is_less {
            self.needed = whole(most);
        }
        if is_less {
            self.shrunk = now;
        }
    }

    /// Counts what operators, or a holder before, began with: they know what they need.
    fn find(&mut self, sight: &Observation<'_>, now: Millis) {
        if self.finding_until.is_none() && self.needed == 0 {
            self.needed = guaranteed(sight.running);
        }
        let until = *self.finding_until.get_or_insert(now + FINDING);
        if now < until {
            let on_demand = sight.running.values().map(|it| it.on_demand).sum();
            self.needed = self.needed.max(on_demand);
            // What was found holds for as long as a demand would.
            self.shrunk = now + MEMORY;
        }
    }

    /// What is to run now, on the way to what is wanted. Of the kept endpoints so many stay as
    /// are needed until reclaimable ones run in their place, and these have the room beside them.
    fn wanted(&self, sight: &Observation<'_>, now: Millis) -> EndpointCounts {
        let mut wanted = self.bought.clone();
        if self.dry.values().any(|until| now < *until) {
            self.replace(&mut wanted, sight);
        }
        let there = reclaimable(sight.running);
        let on_demand: u32 = wanted.values().map(|it| it.on_demand).sum();
        let least = self.least(&wanted, sight);
        let mut staying = least.saturating_sub(guaranteed(&there) + on_demand);
        for at in by_price(sight.scaling) {
            let running = sight.running.get(at).copied().unwrap_or_default();
            let count = wanted.entry(at.clone()).or_default();
            let stays = staying.min(running.on_demand.saturating_sub(count.on_demand));
            staying -= stays;
            count.on_demand += stays;
            let room = sight
                .scaling
                .most
                .saturating_sub(count.on_demand.max(running.on_demand));
            count.reclaimable = count.reclaimable.min(room);
        }
        wanted
    }

    /// How many are there at any time while endpoints of one kind take the place of others: all
    /// that are needed, until reclaimable ones run wherever there is room for them.
    fn least(&self, wanted: &EndpointCounts, sight: &Observation<'_>) -> u32 {
        let beside = |(at, count): (&name::DataCentre, &EndpointCount)| {
            let running = sight.running.get(at).copied().unwrap_or_default();
            let room = sight.scaling.most.saturating_sub(running.on_demand);
            (count.reclaimable.min(room), running.reclaimable)
        };
        let (possible, running) = wanted
            .iter()
            .map(beside)
            .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        let has_begun = f64::from(running) >= NEARLY_ALL * f64::from(possible);
        let part = if has_begun { LEAST_PART } else { 1.0 };
        whole(f64::from(self.needed) * part).max(self.of_late())
    }

    /// Adds kept endpoints in place of reclaimable ones that can't be had, as far as the demand
    /// of this moment asks for them.
    fn replace(&self, wanted: &mut EndpointCounts, sight: &Observation<'_>) {
        let there: u32 = reclaimable(sight.running).values().map(|it| it.all()).sum();
        let on_demand: u32 = wanted.values().map(|it| it.on_demand).sum();
        let missing = self.of_late().saturating_sub(there + on_demand);
        allocation::add_on_demand(missing, wanted, sight.scaling);
    }

    /// How many endpoints the requests of this moment need.
    fn of_late(&self) -> u32 {
        let recent = self.samples.iter().rev().take(RECENT);
        let most = recent.map(|(_, demand)| *demand).fold(0.0, f64::max);
        whole(most).min(self.needed)
    }

    /// Whether an order is to be made: it differs from the last one, or that one had no effect.
    /// Small differences wait until no more come.
    fn is_due(
        &self,
        scaling: &Scaling,
        counts: &EndpointCounts,
        wish: &ScaleRequest,
        now: Millis,
    ) -> bool {
        let is_dry = self
            .dry
            .get(&wish.data_centre)
            .is_some_and(|until| now < *until);
        if wish.is_reclaimable && is_dry {
            return false;
        }
        let running = running(counts, wish);
        let made = self
            .made
            .get(&(wish.data_centre.clone(), wish.is_reclaimable));
        let last = made.map_or(running, |made| made.count);
        if wish.count != last {
            let difference = f64::from(wish.count.abs_diff(last));
            let is_large = difference > LARGE * f64::from(last);
            return is_large || now - self.changed >= SETTLED;
        }
        let is_late = |made: &Made| now - made.at > scaling.boot + LISTING;
        wish.count > running && made.is_some_and(is_late)
    }
}

/// The reclaimable ones among these.
fn reclaimable(counts: &EndpointCounts) -> EndpointCounts {
    let counts = counts.iter();
    let without_kept = |count: &EndpointCount| EndpointCount {
        on_demand: 0,
        ..*count
    };
    counts
        .map(|(at, count)| (at.clone(), without_kept(count)))
        .collect()
}

/// The data centres, the cheapest first.
fn by_price(scaling: &Scaling) -> impl Iterator<Item = &name::DataCentre> {
    let mut places: Vec<_> = scaling.prices.iter().collect();
    places.sort_by(|(_, one), (_, other)| one.total_cmp(other));
    places.into_iter().map(|(at, _)| at)
}

/// How many endpoints of one kind are to run in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleRequest {
    /// Where.
    pub data_centre: name::DataCentre,
    /// Whether the platform may take them away at short notice.
    pub is_reclaimable: bool,
    /// How many.
    pub count: u32,
}

fn wishes(at: &name::DataCentre, count: EndpointCount) -> [ScaleRequest; 2] {
    [true, false].map(|is_reclaimable| ScaleRequest {
        data_centre: at.clone(),
        is_reclaimable,
        count: count.of(is_reclaimable),
    })
}

fn running(counts: &EndpointCounts, wish: &ScaleRequest) -> u32 {
    let running = counts.get(&wish.data_centre).copied().unwrap_or_default();
    running.of(wish.is_reclaimable)
}

/// A number of endpoints.
fn whole(number: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = number.ceil() as u32;
    whole
}
