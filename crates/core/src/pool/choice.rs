//! Which endpoint a request goes to.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::clock::Millis;
use crate::control::directory;
use crate::name;
use crate::pool::endpoint::Endpoint;
use crate::pool::tag::Tag;

/// Points of each endpoint on the ring: their shares differ by a fifth or so.
const POINTS: usize = 32;
/// Points of the ring that are looked at before the least loaded endpoint is taken.
const STEPS: usize = 16;
/// Share of its slots up to which an endpoint counts as idle: with the whole
/// pool idle, the mean is too low a bound for prompts that recur.
const IDLE: f64 = 0.5;
/// Open endpoints that are looked at for one that suits.
const LOOK: usize = 16;
/// How long the pace of an endpoint without work is remembered: over a restart
/// of its process or a cut of the network.
const REMEMBERED: Millis = Millis::from_secs(600);

/// What a request wants of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
    /// Endpoints that failed it.
    pub avoid: &'a [name::Endpoint],
    /// Whether these are taken if no other is open.
    pub avoided_too: bool,
    /// Hash of the prompt's start; 0 for none.
    pub prefix: u64,
    /// How many times slower than usual it may run and meet its target; below
    /// 1 if it can't be met anyhow.
    pub spare: f64,
}

/// What an endpoint counts for in the pool's sums, as last computed.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    place: Option<(Tag, u64)>,
    room: u32,
    slots: u32,
    used: u32,
    weight: f64,
    listed: bool,
}

/// The endpoints of a pool.
#[derive(Debug)]
pub struct Endpoints {
    affinity: f64,
    seed: u64,
    list: Vec<Endpoint>,
    counted: Vec<Counted>,
    ids: HashMap<name::Endpoint, u32>,
    free: Vec<u32>,
    open: BTreeSet<(Tag, u64, u32)>,
    ring: BTreeMap<u64, u32>,
    resting: BTreeSet<(Millis, u32)>,
    room: u32,
    slots: u32,
    used: u32,
    listed: usize,
    weight: f64,
}

impl Endpoints {
    /// No endpoints yet. Equal prompts go to one endpoint while its load is at
    /// most `affinity` times the mean.
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
            resting: BTreeSet::new(),
            room: 0,
            slots: 0,
            used: 0,
            listed: 0,
            weight: 0.0,
        }
    }

    /// The endpoint of this number.
    pub fn get(&self, id: u32) -> &Endpoint {
        &self.list[id as usize]
    }

    /// Changes an endpoint and brings the orders up to date.
    pub fn change(&mut self, now: Millis, id: u32, change: impl FnOnce(&mut Endpoint)) {
        change(&mut self.list[id as usize]);
        self.renew(now, id);
    }

    /// The numbers of the endpoints that may get new work or have some.
    pub fn ids(&self) -> Vec<u32> {
        let known = (0..).zip(&self.list);
        let about = known.filter(|(_, endpoint)| endpoint.listed || endpoint.used > 0);
        about.map(|(id, _)| id).collect()
    }

    /// Sets how overdue an endpoint's runs are; 1.0 for not at all.
    pub fn set_overdue(&mut self, now: Millis, id: u32, overdue: f64) {
        if self.list[id as usize].set_overdue(overdue) {
            self.renew(now, id);
        }
    }

    /// Endpoints with something in use.
    pub fn in_use(&self) -> impl Iterator<Item = &Endpoint> {
        self.list.iter().filter(|endpoint| endpoint.used > 0)
    }

    /// Places that could be given away now.
    pub fn room(&self) -> u32 {
        self.room
    }

    /// Slots of the endpoints that may get new work.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The number of the endpoint, given on first sight.
    ///
    /// # Panics
    ///
    /// Never in practice: above 2^32 endpoints.
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
            self.counted.push(Counted::default());
            u32::try_from(self.list.len() - 1).expect("fewer than 2^32 endpoints")
        };
        self.ids.insert(name.clone(), id);
        for point in points(name) {
            self.ring.entry(point).or_insert(id);
        }
        id
    }

    /// Takes in the endpoints that may get new work, in place of those before.
    pub fn list(&mut self, now: Millis, known: &[&directory::Endpoint]) {
        let mut listed = BTreeSet::new();
        for known in known {
            let id = self.id(&known.name);
            listed.insert(id);
            self.change(now, id, |endpoint| endpoint.list(now, known));
        }
        for id in 0..self.list.len() {
            let id = u32::try_from(id).unwrap_or(u32::MAX);
            if self.get(id).listed && !listed.contains(&id) {
                self.change(now, id, |endpoint| endpoint.unlist(now));
            }
        }
    }

    /// Forgets the endpoints that have been away for long.
    pub fn forget_old(&mut self, now: Millis) {
        let list = &self.list;
        let old = |id: u32| {
            let endpoint = &list[id as usize];
            let away = !endpoint.listed && endpoint.used == 0;
            away && now - endpoint.unlisted_at > REMEMBERED
        };
        let mut gone: Vec<u32> = self.ids.values().copied().filter(|id| old(*id)).collect();
        // The map's order is not the same in each process; numbers should be.
        gone.sort_unstable();
        for id in &gone {
            self.ids.remove(&self.list[*id as usize].name);
        }
        self.ring.retain(|_, id| gone.binary_search(id).is_err());
        self.free.append(&mut gone);
    }

    /// Opens the endpoints whose rest is over.
    pub fn wake(&mut self, now: Millis) {
        while let Some((until, id)) = self.resting.first().copied() {
            if now < until {
                return;
            }
            self.resting.pop_first();
            self.renew(now, id);
        }
    }

    /// The best endpoint for a request, if one suits.
    pub fn choose(&self, now: Millis, want: &Want) -> Option<u32> {
        let avoid = if want.avoided_too || self.all_avoided(want.avoid) {
            &[]
        } else {
            want.avoid
        };
        let fits = |id: &u32| self.fits(now, *id, avoid, want.spare);
        let near = self.near(want.prefix).filter(fits);
        near.or_else(|| self.least_loaded().find(fits))
    }

    /// Open endpoints, the least loaded first.
    pub fn least_loaded(&self) -> impl Iterator<Item = u32> {
        self.open.iter().take(LOOK).map(|(_, _, id)| *id)
    }

    fn fits(&self, now: Millis, id: u32, avoid: &[name::Endpoint], spare: f64) -> bool {
        let endpoint = self.get(id);
        let in_time = !endpoint.is_slow() || spare * endpoint.speed() >= 1.0;
        (in_time || endpoint.may_be_tried(now)) && !avoid.contains(&endpoint.name)
    }

    /// Whether the list leaves no endpoint: then it is as good as none.
    fn all_avoided(&self, avoid: &[name::Endpoint]) -> bool {
        if avoid.len() < self.listed {
            return false;
        }
        let known = avoid.iter().filter_map(|name| self.ids.get(name));
        let listed: BTreeSet<_> = known.filter(|id| self.get(**id).listed).collect();
        listed.len() == self.listed
    }

    /// The first endpoint from the prompt's point on the ring that is open and
    /// not loaded above its bound.
    fn near(&self, prefix: u64) -> Option<u32> {
        if prefix == 0 || self.affinity <= 1.0 {
            return None;
        }
        let around = self.ring.range(prefix..).chain(self.ring.range(..prefix));
        let mut points = around.take(STEPS).map(|(_, id)| *id);
        points.find(|id| self.is_open(*id) && self.below_bound(*id))
    }

    fn is_open(&self, id: u32) -> bool {
        self.counted[id as usize].place.is_some()
    }

    fn below_bound(&self, id: u32) -> bool {
        let endpoint = self.get(id);
        if endpoint.is_slow() {
            return false;
        }
        let mean = f64::from(self.used + 1) / self.weight.max(f64::MIN_POSITIVE);
        let bound = (self.affinity * mean * endpoint.weight()).ceil();
        let idle = IDLE * f64::from(endpoint.slots);
        f64::from(endpoint.used + 1) <= bound.max(idle)
    }

    fn renew(&mut self, now: Millis, id: u32) {
        let endpoint = &self.list[id as usize];
        let room = endpoint.room(now);
        let tie = splitmix64(self.seed ^ u64::from(id));
        let counted = Counted {
            place: (room > 0).then(|| (Tag(endpoint.load()), tie)),
            room,
            slots: if endpoint.listed { endpoint.slots } else { 0 },
            used: if endpoint.listed { endpoint.used } else { 0 },
            weight: endpoint.weight(),
            listed: endpoint.listed,
        };
        if endpoint.rests(now) {
            self.resting.insert((endpoint.rests_until, id));
        }
        let old = std::mem::replace(&mut self.counted[id as usize], counted);
        if let Some((load, tie)) = old.place {
            self.open.remove(&(load, tie, id));
        }
        if let Some((load, tie)) = counted.place {
            self.open.insert((load, tie, id));
        }
        self.room = self.room - old.room + counted.room;
        self.slots = self.slots - old.slots + counted.slots;
        self.used = self.used - old.used + counted.used;
        self.listed = self.listed - usize::from(old.listed) + usize::from(counted.listed);
        self.weight += counted.weight - old.weight;
    }
}

/// The endpoint's points on the ring: the same at every home, so that a prompt
/// meets its warm cache under a new home too.
fn points(name: &name::Endpoint) -> impl Iterator<Item = u64> {
    let mut reader = blake3::Hasher::new()
        .update(name.as_str().as_bytes())
        .finalize_xof();
    (0..POINTS).map(move |_| {
        let mut bytes = [0; 8];
        reader.fill(&mut bytes);
        u64::from_le_bytes(bytes)
    })
}

/// Spreads the bits of a number (the finisher of `SplitMix64`).
pub fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
