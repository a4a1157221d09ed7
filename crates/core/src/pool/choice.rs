//! Selects the endpoint that a request is sent to.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::clock::Millis;
use crate::control::directory;
use crate::name;
use crate::pool::endpoint::Endpoint;
use crate::pool::tag::Tag;

/// Points of each endpoint on the consistent-hash ring. With 32 points, the
/// endpoints' portions of the ring differ by about a fifth.
const POINTS_PER_ENDPOINT: usize = 32;
/// Ring points examined before falling back to the least loaded endpoint.
const MAX_RING_STEPS: usize = 16;
/// Share of its slots up to which an endpoint counts as idle. When the whole
/// pool is idle, the bound derived from the mean load is too low to keep
/// recurring prompts on one endpoint.
const IDLE_SHARE: f64 = 0.5;
/// Open endpoints examined for a suitable one.
const MAX_CANDIDATES: usize = 16;
/// How long the speed of an endpoint without work is kept. It covers a restart
/// of its process or a network partition.
const ENDPOINT_RETENTION: Millis = Millis::from_secs(600);

/// A request's criteria for an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Endpoints that failed the request.
    pub avoid: &'a [name::Endpoint],
    /// Whether the endpoints in `avoid` may be used.
    pub allow_avoided: bool,
    /// Hash of the prompt's prefix; 0 for none.
    pub prefix: u64,
    /// Factor by which the run may be slower than usual and still meet its
    /// target; below 1 if the target can't be met.
    pub slack_ratio: f64,
}

/// An endpoint's last computed contribution to the pool's totals.
#[derive(Clone, Copy, Debug, Default)]
struct Contribution {
    open_key: Option<(Tag, u64)>,
    available: u32,
    slots: u32,
    used: u32,
    weight: f64,
    listed: bool,
}

/// Endpoints of a pool, indexed for selection.
#[derive(Debug)]
pub struct Endpoints {
    affinity: f64,
    seed: u64,
    list: Vec<Endpoint>,
    counted: Vec<Contribution>,
    ids: HashMap<name::Endpoint, u32>,
    free: Vec<u32>,
    open: BTreeSet<(Tag, u64, u32)>,
    ring: BTreeMap<u64, u32>,
    backing_off: BTreeSet<(Millis, u32)>,
    available: u32,
    slots: u32,
    used: u32,
    listed: usize,
    weight: f64,
}

impl Endpoints {
    /// Creates an empty set. Requests with equal prompt prefixes go to one
    /// endpoint while its load is at most `affinity` times the mean.
    pub fn new(affinity: f64, seed: u64) -> Self {
        Self {
            affinity,
            seed,
            list: Vec::new(),
            counted: Vec::new(),
            ids: HashMap::new(),
            free: Vec::new(),
            open: BTreeSet::new(),
            ring: BTreeMap::new(),
            backing_off: BTreeSet::new(),
            available: 0,
            slots: 0,
            used: 0,
            listed: 0,
            weight: 0.0,
        }
    }

    /// Returns the endpoint with this id.
    pub fn get(&self, id: u32) -> &Endpoint {
        &self.list[id as usize]
    }

    /// Changes an endpoint and updates the indexes and totals.
    pub fn update(&mut self, now: Millis, id: u32, change: impl FnOnce(&mut Endpoint)) {
        change(&mut self.list[id as usize]);
        self.refresh(now, id);
    }

    /// Returns the ids of the endpoints that are listed or in use.
    pub fn ids(&self) -> Vec<u32> {
        let known = (0..).zip(&self.list);
        let relevant = known.filter(|(_, endpoint)| endpoint.listed || endpoint.used > 0);
        relevant.map(|(id, _)| id).collect()
    }

    /// Sets the factor by which an endpoint's active runs are overdue; 1.0 if
    /// they are not.
    pub fn set_overdue(&mut self, now: Millis, id: u32, overdue: f64) {
        if self.list[id as usize].set_overdue(overdue) {
            self.refresh(now, id);
        }
    }

    /// Returns the endpoints with runs or loans.
    pub fn in_use(&self) -> impl Iterator<Item = &Endpoint> {
        self.list.iter().filter(|endpoint| endpoint.used > 0)
    }

    /// Returns the number of slots that can be allocated now.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Returns the number of slots of all listed endpoints.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the endpoint's id, assigning one on first use.
    ///
    /// # Panics
    ///
    /// Above 2^32 endpoints.
    pub fn id(&mut self, name: &name::Endpoint) -> u32 {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let endpoint = Endpoint::new(name.clone());
        let id = if let Some(id) = self.free.pop() {
            self.list[id as usize] = endpoint;
            id
        } else {
            self.list.push(endpoint);
            self.counted.push(Contribution::default());
            u32::try_from(self.list.len() - 1).expect("fewer than 2^32 endpoints")
        };
        self.ids.insert(name.clone(), id);
        for point in ring_points(name) {
            self.ring.entry(point).or_insert(id);
        }
        id
    }

    /// Replaces the set of endpoints that may get new work.
    pub fn set_listed(&mut self, now: Millis, known: &[&directory::Endpoint]) {
        let mut listed = BTreeSet::new();
        for known in known {
            let id = self.id(&known.name);
            listed.insert(id);
            self.update(now, id, |endpoint| endpoint.mark_listed(now, known));
        }
        for id in 0..self.list.len() {
            let id = u32::try_from(id).unwrap_or(u32::MAX);
            if self.get(id).listed && !listed.contains(&id) {
                self.update(now, id, |endpoint| endpoint.mark_unlisted(now));
            }
        }
    }

    /// Removes endpoints that have been unlisted and unused for
    /// `ENDPOINT_RETENTION`.
    pub fn evict_old(&mut self, now: Millis) {
        let list = &self.list;
        let is_expired = |id: u32| {
            let endpoint = &list[id as usize];
            let away = !endpoint.listed && endpoint.used == 0;
            away && now - endpoint.unlisted_at > ENDPOINT_RETENTION
        };
        let mut gone: Vec<u32> = self
            .ids
            .values()
            .copied()
            .filter(|id| is_expired(*id))
            .collect();
        // The map's iteration order differs between processes; sorting makes the
        // reuse of ids deterministic.
        gone.sort_unstable();
        for id in &gone {
            self.ids.remove(&self.list[*id as usize].name);
        }
        self.ring.retain(|_, id| gone.binary_search(id).is_err());
        self.free.append(&mut gone);
    }

    /// Reopens the endpoints whose backoff has ended.
    pub fn end_backoffs(&mut self, now: Millis) {
        while let Some((until, id)) = self.backing_off.first().copied() {
            if now < until {
                return;
            }
            self.backing_off.pop_first();
            self.refresh(now, id);
        }
    }

    /// Returns the best suitable endpoint for a request.
    pub fn choose(&self, now: Millis, criteria: &Criteria) -> Option<u32> {
        let avoid = if criteria.allow_avoided || self.all_avoided(criteria.avoid) {
            &[]
        } else {
            criteria.avoid
        };
        let is_suitable = |id: &u32| self.is_suitable(now, *id, avoid, criteria.slack_ratio);
        let preferred = self.by_prefix(criteria.prefix).filter(is_suitable);
        preferred.or_else(|| self.least_loaded().find(is_suitable))
    }

    /// Returns open endpoints, the least loaded first.
    pub fn least_loaded(&self) -> impl Iterator<Item = u32> {
        self.open.iter().take(MAX_CANDIDATES).map(|(_, _, id)| *id)
    }

    fn is_suitable(
        &self,
        now: Millis,
        id: u32,
        avoid: &[name::Endpoint],
        slack_ratio: f64,
    ) -> bool {
        let endpoint = self.get(id);
        let in_time = !endpoint.is_slow() || slack_ratio * endpoint.speed() >= 1.0;
        (in_time || endpoint.is_trial_due(now)) && !avoid.contains(&endpoint.name)
    }

    /// Returns whether every listed endpoint is to be avoided. Then the list is
    /// ignored.
    fn all_avoided(&self, avoid: &[name::Endpoint]) -> bool {
        if avoid.len() < self.listed {
            return false;
        }
        let known = avoid.iter().filter_map(|name| self.ids.get(name));
        let listed: BTreeSet<_> = known.filter(|id| self.get(**id).listed).collect();
        listed.len() == self.listed
    }

    /// Returns the first endpoint on the ring, starting at the prompt prefix,
    /// that is open and below its load bound.
    fn by_prefix(&self, prefix: u64) -> Option<u32> {
        if prefix == 0 || self.affinity <= 1.0 {
            return None;
        }
        let around = self.ring.range(prefix..).chain(self.ring.range(..prefix));
        let mut points = around.take(MAX_RING_STEPS).map(|(_, id)| *id);
        points.find(|id| self.is_open(*id) && self.below_bound(*id))
    }

    fn is_open(&self, id: u32) -> bool {
        self.counted[id as usize].open_key.is_some()
    }

    fn below_bound(&self, id: u32) -> bool {
        let endpoint = self.get(id);
        if endpoint.is_slow() {
            return false;
        }
        let mean = f64::from(self.used + 1) / self.weight.max(f64::MIN_POSITIVE);
        let bound = (self.affinity * mean * endpoint.weight()).ceil();
        let idle = IDLE_SHARE * f64::from(endpoint.slots);
        f64::from(endpoint.used + 1) <= bound.max(idle)
    }

    fn refresh(&mut self, now: Millis, id: u32) {
        let endpoint = &self.list[id as usize];
        let available = endpoint.available(now);
        let tie_breaker = splitmix64(self.seed ^ u64::from(id));
        let contribution = Contribution {
            open_key: (available > 0).then(|| (Tag(endpoint.load()), tie_breaker)),
            available,
            slots: if endpoint.listed { endpoint.slots } else { 0 },
            used: if endpoint.listed { endpoint.used } else { 0 },
            weight: endpoint.weight(),
            listed: endpoint.listed,
        };
        if endpoint.is_backing_off(now) {
            self.backing_off.insert((endpoint.backoff_until, id));
        }
        let old = std::mem::replace(&mut self.counted[id as usize], contribution);
        if let Some((load, tie_breaker)) = old.open_key {
            self.open.remove(&(load, tie_breaker, id));
        }
        if let Some((load, tie_breaker)) = contribution.open_key {
            self.open.insert((load, tie_breaker, id));
        }
        self.available = self.available - old.available + contribution.available;
        self.slots = self.slots - old.slots + contribution.slots;
        self.used = self.used - old.used + contribution.used;
        self.listed = self.listed - usize::from(old.listed) + usize::from(contribution.listed);
        self.weight += contribution.weight - old.weight;
    }
}

/// Returns the endpoint's points on the ring. They are equal at every home, so
/// that a prompt finds its cached prefix after the home has changed.
fn ring_points(name: &name::Endpoint) -> impl Iterator<Item = u64> {
    let mut reader = blake3::Hasher::new()
        .update(name.as_str().as_bytes())
        .finalize_xof();
    (0..POINTS_PER_ENDPOINT).map(move |_| {
        let mut bytes = [0; 8];
        reader.fill(&mut bytes);
        u64::from_le_bytes(bytes)
    })
}

/// Mixes the bits of a number with the finalizer of `SplitMix64`.
pub fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
