//! The endpoints that an entry knows, from whichever source spoke last.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::clock::Millis;
use crate::instance::{Instance, Load, Role, State};
use crate::name;

/// Failed probes in a row after which an endpoint gets no new work.
const FAILED_PROBES: u32 = 2;

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
    failed_probes: u32,
    leaving: bool,
}

impl Endpoint {
    /// Whether it may get new work.
    pub fn usable(&self) -> bool {
        !self.leaving && self.failed_probes < FAILED_PROBES
    }

    /// Whether it serves the target.
    pub fn serves(&self, target: &name::Target) -> bool {
        self.targets.contains(target)
    }
}

/// All endpoints, by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    endpoints: BTreeMap<name::Endpoint, Endpoint>,
    drained: BTreeSet<String>,
}

impl Directory {
    /// Takes in the platform's list. The list lags, so that an endpoint once
    /// known as leaving stays so until the list no longer names it.
    pub fn update(&mut self, instances: &[Instance]) {
        let listed: BTreeSet<&str> = instances
            .iter()
            .map(|instance| instance.name.as_str())
            .collect();
        self.endpoints
            .retain(|name, _| listed.contains(name.as_str()));
        self.drained.retain(|name| listed.contains(name.as_str()));
        for instance in instances
            .iter()
            .filter(|instance| instance.role != Role::Entry)
        {
            self.update_one(instance);
        }
    }

    fn update_one(&mut self, instance: &Instance) {
        let name = name::Endpoint::from(instance.name.as_str());
        let old = self.endpoints.remove(&name);
        let same = old.filter(|old| old.address == instance.address);
        let drained = self.drained.contains(&instance.name);
        let was_leaving = same.as_ref().is_some_and(|old| old.leaving);
        let endpoint = Endpoint {
            name: name.clone(),
            address: instance.address,
            data_centre: instance.data_centre.clone(),
            targets: instance.targets.clone(),
            slots: instance.slots,
            checks_fencing: instance.checks_fencing,
            load: same.as_ref().and_then(|old| old.load.clone()),
            failed_probes: same.as_ref().map_or(0, |old| old.failed_probes),
            leaving: instance.state == State::Leaving || drained || was_leaving,
        };
        self.endpoints.insert(name, endpoint);
    }

    /// Takes in a probe's answer, or that there was none.
    pub fn probed(&mut self, now: Millis, name: &name::Endpoint, load: Option<Load>) {
        let Some(endpoint) = self.endpoints.get_mut(name) else {
            return;
        };
        match load {
            Some(load) => {
                endpoint.failed_probes = 0;
                endpoint.leaving |= load.state == State::Leaving;
                endpoint.load = Some((now, load));
            }
            None => endpoint.failed_probes += 1,
        }
    }

    /// Takes an instance out of use, whatever its list entry says.
    pub fn drain(&mut self, name: &str) {
        self.drained.insert(name.to_owned());
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.leaving = true;
        }
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
}
