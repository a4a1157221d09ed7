//! The known pools, their homes, and the names behind the hashes in messages.

use std::collections::{BTreeMap, BTreeSet};

use crate::control::Directory;
use crate::control::directory::Endpoint;
use crate::membership::Members;
use crate::name;
use crate::permit::NameHash;

/// A pool as this entry sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolInfo {
    /// The name of the pool.
    pub pool: name::Pool,
    /// The incarnation of its home, or `None` while no entry is active.
    pub home: Option<name::Incarnation>,
    /// Its endpoints, whether usable or not.
    pub endpoints: Vec<name::Endpoint>,
}

/// All pools, derived from the directory and the members.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    pools: BTreeMap<NameHash, PoolInfo>,
    targets: BTreeMap<name::Target, Vec<NameHash>>,
    endpoints: BTreeMap<NameHash, name::Endpoint>,
}

impl Topology {
    /// Rebuilds the pools and endpoints from the directory.
    pub fn update_pools(&mut self, directory: &Directory, members: &Members) {
        let mut pools: BTreeMap<NameHash, PoolInfo> = BTreeMap::new();
        let mut targets: BTreeMap<name::Target, BTreeSet<NameHash>> = BTreeMap::new();
        self.endpoints.clear();
        for endpoint in directory.iter() {
            self.endpoints
                .insert(NameHash::of_endpoint(&endpoint.name), endpoint.name.clone());
            for pool in pools_of(endpoint) {
                let id = NameHash::of_pool(&pool);
                targets.entry(pool.target.clone()).or_default().insert(id);
                let info = pools.entry(id).or_insert_with(|| PoolInfo {
                    home: None,
                    pool,
                    endpoints: Vec::new(),
                });
                info.endpoints.push(endpoint.name.clone());
            }
        }
        self.pools = pools;
        self.targets = targets
            .into_iter()
            .map(|(target, ids)| (target, ids.into_iter().collect()))
            .collect();
        self.update_homes(members);
    }

    /// Recomputes the home of each pool from the members.
    pub fn update_homes(&mut self, members: &Members) {
        for info in self.pools.values_mut() {
            let home = members.home(&info.pool);
            info.home = home.map(|member| member.incarnation);
        }
    }

    /// Whether no pool is known.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Returns a pool by its hash.
    pub fn pool(&self, id: NameHash) -> Option<&PoolInfo> {
        self.pools.get(&id)
    }

    /// Returns the home of a pool.
    pub fn home(&self, id: NameHash) -> Option<name::Incarnation> {
        self.pools.get(&id)?.home
    }

    /// Iterates over all pools with their hashes.
    pub fn pools(&self) -> impl Iterator<Item = (NameHash, &PoolInfo)> {
        self.pools.iter().map(|(id, info)| (*id, info))
    }

    /// Returns the pools that serve a target.
    pub fn pools_for_target(&self, target: &name::Target) -> &[NameHash] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }

    /// Returns the name of an endpoint by its hash.
    pub fn endpoint(&self, id: NameHash) -> Option<&name::Endpoint> {
        self.endpoints.get(&id)
    }

    /// Iterates over the endpoints of a pool that may get new work.
    pub fn usable_endpoints<'a>(
        &'a self,
        id: NameHash,
        directory: &'a Directory,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let names = self.pools.get(&id).map_or(&[][..], |info| &info.endpoints);
        names
            .iter()
            .filter_map(|name| directory.get(name))
            .filter(|endpoint| endpoint.usable())
    }
}

/// Returns the pools to which an endpoint belongs.
fn pools_of(endpoint: &Endpoint) -> impl Iterator<Item = name::Pool> {
    endpoint.targets.iter().map(|target| name::Pool {
        target: target.clone(),
        data_centre: endpoint.data_centre.clone(),
    })
}
