//! Which pools there are, who is home to each, and what short names stand for.

use std::collections::{BTreeMap, BTreeSet};

use crate::control::Directory;
use crate::control::directory::Endpoint;
use crate::membership::Members;
use crate::name;
use crate::permit::Id;

/// One pool as this entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The pool.
    pub pool: name::Pool,
    /// Its home; none while no entry takes part.
    pub home: Option<name::Incarnation>,
    /// Its endpoints, usable or not.
    pub endpoints: Vec<name::Endpoint>,
}

/// All pools, from the directory and the members.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    places: BTreeMap<Id, Place>,
    targets: BTreeMap<name::Target, Vec<Id>>,
    endpoints: BTreeMap<Id, name::Endpoint>,
}

impl Topology {
    /// Looks at the directory again: pools and endpoints may have come and gone.
    pub fn update_pools(&mut self, directory: &Directory, members: &Members) {
        let mut places: BTreeMap<Id, Place> = BTreeMap::new();
        let mut targets: BTreeMap<name::Target, BTreeSet<Id>> = BTreeMap::new();
        self.endpoints.clear();
        for endpoint in directory.iter() {
            self.endpoints
                .insert(Id::of_endpoint(&endpoint.name), endpoint.name.clone());
            for pool in pools(endpoint) {
                let id = Id::of_pool(&pool);
                targets.entry(pool.target.clone()).or_default().insert(id);
                let place = places.entry(id).or_insert_with(|| Place {
                    home: None,
                    pool,
                    endpoints: Vec::new(),
                });
                place.endpoints.push(endpoint.name.clone());
            }
        }
        self.places = places;
        self.targets = targets
            .into_iter()
            .map(|(target, ids)| (target, ids.into_iter().collect()))
            .collect();
        self.update_homes(members);
    }

    /// Looks at the members again: homes may have moved.
    pub fn update_homes(&mut self, members: &Members) {
        for place in self.places.values_mut() {
            let home = members.home(&place.pool);
            place.home = home.map(|member| member.incarnation);
        }
    }

    /// Whether no pool is known.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// A pool by its short name.
    pub fn pool(&self, id: Id) -> Option<&Place> {
        self.places.get(&id)
    }

    /// A pool's home.
    pub fn home(&self, id: Id) -> Option<name::Incarnation> {
        self.places.get(&id)?.home
    }

    /// All pools with their short names.
    pub fn pools(&self) -> impl Iterator<Item = (Id, &Place)> {
        self.places.iter().map(|(id, place)| (*id, place))
    }

    /// The pools that serve a target.
    pub fn of_target(&self, target: &name::Target) -> &[Id] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }

    /// An endpoint by its short name.
    pub fn endpoint(&self, id: Id) -> Option<&name::Endpoint> {
        self.endpoints.get(&id)
    }

    /// A pool's endpoints that may get new work.
    pub fn usable<'a>(
        &'a self,
        id: Id,
        directory: &'a Directory,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let names = self
            .places
            .get(&id)
            .map_or(&[][..], |place| &place.endpoints);
        names
            .iter()
            .filter_map(|name| directory.get(name))
            .filter(|endpoint| endpoint.usable())
    }
}

/// The pools to which an endpoint belongs.
fn pools(endpoint: &Endpoint) -> impl Iterator<Item = name::Pool> {
    endpoint.targets.iter().map(|target| name::Pool {
        target: target.clone(),
        data_centre: endpoint.data_centre.clone(),
    })
}
