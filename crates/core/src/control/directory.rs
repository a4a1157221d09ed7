//! The endpoints that an entry knows, from whichever source spoke last.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::endpoint::{Marks, State};
use crate::instance::{self, Instance, Load, Role};
use crate::name;

/// One endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: name::Endpoint,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// What it serves.
    pub targets: Vec<name::Target>,
    /// Requests that it runs side by side.
    pub slots: u32,
    /// Whether it checks fencing numbers.
    pub checks_fencing: bool,
    /// Its last load report and when it came.
    pub load: Option<(Millis, Load)>,
    /// What the platform's list says of it.
    pub listed: instance::State,
    /// What all entries agree on.
    pub marks: Marks,
}

impl Endpoint {
    /// Whether it may get new work.
    pub fn usable(&self) -> bool {
        self.marks.usable()
    }

    /// Whether it serves the target.
    pub fn serves(&self, target: &name::Target) -> bool {
        self.targets.contains(target)
    }

    /// The pools that it is of, in the order of its targets.
    pub fn pools(&self) -> impl Iterator<Item = name::Pool> {
        self.targets.iter().map(|target| name::Pool {
            target: target.clone(),
            data_centre: self.data_centre.clone(),
        })
    }

    /// The pool whose home probes it: that of the first target.
    pub fn first_pool(&self) -> Option<name::Pool> {
        self.pools().next()
    }

    /// What other entries are told of it.
    pub fn state(&self) -> State {
        State {
            endpoint: self.name.clone(),
            address: self.address,
            marks: self.marks,
        }
    }
}

/// All endpoints, by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: BTreeMap<name::Endpoint, Endpoint>,
    /// Made anew where marks change: it is asked for at every event, and
    /// thousands of endpoints would have to be looked at.
    digest: u32,
}

impl Directory {
    /// Takes in the platform's list; returns the endpoints that it newly says
    /// are leaving. The list lags, so that a mark stays until the list no longer
    /// names the endpoint, or names another address.
    pub fn update(&mut self, instances: &[Instance]) -> Vec<name::Endpoint> {
        let listed: BTreeSet<&str> = instances
            .iter()
            .map(|instance| instance.name.as_str())
            .collect();
        self.endpoints
            .retain(|name, _| listed.contains(name.as_str()));
        let leaving = instances
            .iter()
            .filter(|instance| instance.role != Role::Entry)
            .filter(|instance| self.update_one(instance))
            .map(|instance| name::Endpoint::from(instance.name.as_str()))
            .collect();
        self.digest = self.compute_digest();
        leaving
    }

    fn update_one(&mut self, instance: &Instance) -> bool {
        let name = name::Endpoint::from(instance.name.as_str());
        let old = self.endpoints.remove(&name);
        let same = old.filter(|old| old.address == instance.address);
        let mut marks = same.as_ref().map(|old| old.marks).unwrap_or_default();
        let leaves = instance.state == instance::State::Leaving && marks.leaving.set(true);
        let endpoint = Endpoint {
            name: name.clone(),
            address: instance.address,
            data_centre: instance.data_centre.clone(),
            targets: instance.targets.clone(),
            slots: instance.slots,
            checks_fencing: instance.checks_fencing,
            load: same.and_then(|old| old.load),
            listed: instance.state,
            marks,
        };
        self.endpoints.insert(name, endpoint);
        leaves
    }

    /// Takes in a load report.
    pub fn loaded(&mut self, now: Millis, name: &name::Endpoint, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.load = Some((now, load));
        }
    }

    /// Changes an endpoint's marks; says whether that changed any. An endpoint
    /// that is not listed has none.
    pub fn mark(&mut self, name: &name::Endpoint, change: impl FnOnce(&mut Marks) -> bool) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return false;
        };
        let before = endpoint.marks;
        let changed = change(&mut endpoint.marks);
        if endpoint.marks != before {
            self.digest = self.compute_digest();
        }
        changed
    }

    /// Takes in what another entry knows; says whether that changed anything.
    pub fn merge(&mut self, state: &State) -> bool {
        let same = self
            .endpoints
            .get(&state.endpoint)
            .is_some_and(|endpoint| endpoint.address == state.address);
        same && self.mark(&state.endpoint, |marks| marks.merge(&state.marks))
    }

    /// An endpoint by name.
    pub fn get(&self, name: &name::Endpoint) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// All endpoints, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// The endpoints that may get new work for a target.
    pub fn usable(&self, target: &name::Target) -> impl Iterator<Item = &Endpoint> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.usable() && endpoint.serves(target))
    }

    /// The states that are not as at the start, in the order of names.
    pub fn states(&self) -> impl Iterator<Item = State> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.marks != Marks::default())
            .map(Endpoint::state)
    }

    /// A digest of which endpoints get no new work and why; 0 if all do.
    pub fn digest(&self) -> u32 {
        self.digest
    }

    fn compute_digest(&self) -> u32 {
        let mut hasher = blake3::Hasher::new();
        let mut any = false;
        for endpoint in self.endpoints.values() {
            let marks = &endpoint.marks;
            if marks.usable() {
                continue;
            }
            any = true;
            hasher.update(endpoint.name.as_str().as_bytes());
            hasher.update(endpoint.address.to_string().as_bytes());
            hasher.update(&[
                u8::from(marks.leaving.is_set()),
                u8::from(marks.failing.is_set()),
                u8::from(marks.drained),
            ]);
        }
        let mut bytes = [0; 4];
        hasher.finalize_xof().fill(&mut bytes);
        if any { u32::from_le_bytes(bytes) } else { 0 }
    }
}
