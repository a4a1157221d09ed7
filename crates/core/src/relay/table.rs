//! A routing table: a plan indexed by host, path and key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;
use crate::relay::plan::{Error, Kind, Limits, Plan, Route, Service, Share, Workspace};

/// The number of priority levels that model engines distinguish.
const URGENCY_LEVELS: usize = 10;

/// A plan indexed for look-ups.
#[derive(Debug)]
pub struct Table {
    plan: Plan,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    keys: HashMap<String, Arc<Workspace>>,
    services: HashMap<String, Arc<Service>>,
    /// Pairs of route priority and workspace priority of streams, most urgent first.
    priority_pairs: Vec<(u8, u8)>,
    /// The same of all requests to each service.
    service_pairs: HashMap<String, Vec<(u8, u8)>>,
}

/// The key of a request is missing or unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied;

impl Table {
    /// Validates and indexes a plan.
    ///
    /// # Errors
    ///
    /// If the plan is invalid; it must not be put in force then.
    ///
    /// ```
    /// use woodgap_core::relay::{Plan, Table};
    ///
    /// let table = Table::new(Plan::default()).unwrap();
    /// assert!(table.route("album.example", "/caption/").is_none());
    /// ```
    pub fn new(plan: Plan) -> Result<Self, Error> {
        plan.check()?;
        let hosts = index_routes(&plan.routes)?;
        let keys = index_keys(&plan.workspaces)?;
        let services = plan.services.iter();
        let services = services
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        let priority_pairs = priority_pairs(&plan, |route| route.kind == Kind::Stream);
        let service_pairs = plan.services.iter();
        let service_pairs = service_pairs
            .map(|service| (service.name.clone(), service_pairs_of(&plan, &service.name)))
            .collect();
        Ok(Self {
            plan,
            hosts,
            keys,
            services,
            priority_pairs,
            service_pairs,
        })
    }

    /// The plan as given.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The plan's version.
    pub fn version(&self) -> u64 {
        self.plan.version
    }

    /// Limits on requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.plan.limits
    }

    /// The route with the longest prefix that matches the path, found without allocation unless the
    /// host contains upper-case letters.
    ///
    /// `host` may include a port; `path` is without the query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        let mut ends = path.rmatch_indices('/');
        ends.find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// The workspace that sends the request; `None` on a public route, or if the plan has no
    /// workspaces.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the route requires a key and this one is unknown.
    pub fn workspace(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Arc<Workspace>>, Denied> {
        if !self.requires_key(route) {
            return Ok(None);
        }
        let workspace = key.and_then(|key| self.keys.get(key));
        workspace.map(Some).ok_or(Denied)
    }

    /// Whether requests of the route require a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        !route.public && !self.plan.workspaces.is_empty()
    }

    /// The longest duration of an attempt at a stream.
    pub fn longest_stream(&self) -> Millis {
        let streams = self.plan.routes.iter().filter(|it| it.kind == Kind::Stream);
        let timeouts = streams.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Picks a service of the route by weight, given a random sample from 0 (inclusive) to 1
    /// (exclusive).
    pub fn pick_service<'r>(&self, route: &'r Route, sample: f64) -> Option<&'r str> {
        let total: u32 = route.shares.iter().map(|share| share.weight).sum();
        let mut remaining = sample * f64::from(total);
        let weighted = route.shares.iter().filter(|share| share.weight > 0);
        let mut last = None;
        for share in weighted {
            last = Some(share.service.as_str());
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                break;
            }
        }
        last
    }

    /// The priority of a request among those to its service; 0 is the most urgent. The route's
    /// priority takes precedence over the workspace's.
    pub fn priority(&self, service: &str, workspace: Option<&Workspace>, route: &Route) -> u8 {
        let pairs = self.service_pairs.get(service);
        let rank = pairs.map_or(0, |pairs| rank(pairs, workspace, route));
        u8::try_from(rank).unwrap_or(u8::MAX)
    }

    /// The urgency of a request for a model engine, from 0, the most urgent, to 9.
    ///
    /// The route's priority takes precedence over the workspace's: an engine that is short of
    /// memory preempts the least urgent requests, and an urgent kind of request must not give way
    /// to one that can wait. Only pairs of priorities that occur in the plan take up a level.
    pub fn urgency(&self, workspace: Option<&Workspace>, route: &Route) -> u8 {
        let rank = rank(&self.priority_pairs, workspace, route);
        let max_rank = self.priority_pairs.len().max(1) - 1;
        let level = if max_rank < URGENCY_LEVELS {
            rank
        } else {
            rank * (URGENCY_LEVELS - 1) / max_rank
        };
        u8::try_from(level.min(URGENCY_LEVELS - 1)).unwrap_or(u8::MAX)
    }
}

/// The position of a request among these pairs of priorities.
fn rank(pairs: &[(u8, u8)], workspace: Option<&Workspace>, route: &Route) -> usize {
    let pair = (route.priority, workspace.map_or(0, |it| it.priority));
    pairs.partition_point(|it| *it < pair)
}

fn index_routes(routes: &[Route]) -> Result<HashMap<String, HashMap<String, Arc<Route>>>, Error> {
    let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
    for route in routes {
        let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
        let previous = prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        if let Some(previous) = previous {
            return Err(Error::DuplicateRoute(
                previous.name.clone(),
                route.name.clone(),
            ));
        }
    }
    Ok(hosts)
}

fn index_keys(workspaces: &[Workspace]) -> Result<HashMap<String, Arc<Workspace>>, Error> {
    let mut keys: HashMap<String, Arc<Workspace>> = HashMap::new();
    for workspace in workspaces {
        let shared = Arc::new(workspace.clone());
        for key in &workspace.keys {
            let previous = keys.insert(key.clone(), Arc::clone(&shared));
            if let Some(previous) = previous.filter(|previous| previous.name != workspace.name) {
                let names = (previous.name.clone(), workspace.name.clone());
                return Err(Error::DuplicateKey(names.0, names.1));
            }
        }
    }
    Ok(keys)
}

fn service_pairs_of(plan: &Plan, service: &str) -> Vec<(u8, u8)> {
    let sends_to = |it: &Share| it.service == service && it.weight > 0;
    priority_pairs(plan, |route| route.shares.iter().any(sends_to))
}

/// All pairs of route priority and workspace priority that requests on some routes can have, most
/// urgent first.
fn priority_pairs(plan: &Plan, is_counted: impl Fn(&Route) -> bool) -> Vec<(u8, u8)> {
    let routes = plan.routes.iter().filter(|it| is_counted(it));
    let routes: Vec<u8> = routes.map(|route| route.priority).collect();
    let workspaces = plan.workspaces.iter().map(|it| it.priority).chain([0]);
    let mut pairs: Vec<_> = workspaces
        .flat_map(|workspace| routes.iter().map(move |route| (*route, workspace)))
        .collect();
    pairs.sort_unstable();
    pairs.dedup();
    pairs
}
