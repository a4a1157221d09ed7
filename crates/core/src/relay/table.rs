//! A plan made ready for look-ups by host, path and key.

use std::collections::HashMap;
use std::sync::Arc;

use crate::relay::plan::{Error, Kind, Limits, Plan, Route, Service, Workspace};

/// The levels of urgency that model engines tell apart.
const LEVELS: usize = 10;

/// A plan made ready for look-ups.
#[derive(Debug)]
pub struct Table {
    plan: Plan,
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    keys: HashMap<String, Arc<Workspace>>,
    services: HashMap<String, Arc<Service>>,
    /// Pairs of a route's and a workspace's priority, most urgent first.
    ranks: Vec<(u8, u8)>,
}

/// The key of a request is missing or unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied;

impl Table {
    /// Makes a plan ready.
    ///
    /// # Errors
    ///
    /// What is wrong with the plan; it must not be put in force then.
    ///
    /// ```
    /// use woodgap_core::relay::{Plan, Table};
    ///
    /// let table = Table::new(Plan::default()).unwrap();
    /// assert!(table.route("album.example", "/caption/").is_none());
    /// ```
    pub fn new(plan: Plan) -> Result<Self, Error> {
        plan.check()?;
        let hosts = by_host(&plan.routes)?;
        let keys = by_key(&plan.workspaces)?;
        let services = plan.services.iter();
        let services = services
            .map(|service| (service.name.clone(), Arc::new(service.clone())))
            .collect();
        let ranks = ranks(&plan);
        Ok(Self {
            plan,
            hosts,
            keys,
            services,
            ranks,
        })
    }

    /// The plan as it was given.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The plan's version.
    pub fn version(&self) -> u64 {
        self.plan.version
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> &Limits {
        &self.plan.limits
    }

    /// The route with the longest prefix of the path, without a copy.
    ///
    /// `host` may carry a port; `path` is without the query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        let mut ends = path.rmatch_indices('/');
        ends.find_map(|(end, _)| prefixes.get(&path[..=end]))
    }

    /// The workspace that calls; none on a public route, or where the plan has
    /// no workspaces.
    ///
    /// # Errors
    ///
    /// [`Denied`] if the route asks for a key and this one is not known.
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

    /// Whether the requests of a route need a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        !route.public && !self.plan.workspaces.is_empty()
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The service of a route for a number drawn from 0 up to, and without, 1.
    pub fn pick_service<'r>(&self, route: &'r Route, drawn: f64) -> Option<&'r str> {
        let total: u32 = route.shares.iter().map(|share| share.weight).sum();
        let mut left = drawn * f64::from(total);
        let weighted = route.shares.iter().filter(|share| share.weight > 0);
        let mut last = None;
        for share in weighted {
            last = Some(share.service.as_str());
            left -= f64::from(share.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }

    /// How urgent a request is to a model engine, from 0, the most urgent, to 9.
    ///
    /// The route's priority goes before the workspace's: an engine that lacks memory
    /// puts the least urgent back, and a kind of request that is needed sooner must
    /// not give way to one that can wait. Only pairs that the plan can bring about
    /// take up a level.
    pub fn urgency(&self, workspace: Option<&Workspace>, route: &Route) -> u8 {
        let pair = (route.priority, workspace.map_or(0, |it| it.priority));
        let rank = self.ranks.partition_point(|it| *it < pair);
        let most = self.ranks.len().max(1) - 1;
        let level = if most < LEVELS {
            rank
        } else {
            rank * (LEVELS - 1) / most
        };
        u8::try_from(level.min(LEVELS - 1)).unwrap_or(u8::MAX)
    }
}

fn by_host(routes: &[Route]) -> Result<HashMap<String, HashMap<String, Arc<Route>>>, Error> {
    let mut hosts: HashMap<String, HashMap<String, Arc<Route>>> = HashMap::new();
    for route in routes {
        let prefixes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
        let before = prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        if let Some(before) = before {
            return Err(Error::Overlap(before.name.clone(), route.name.clone()));
        }
    }
    Ok(hosts)
}

fn by_key(workspaces: &[Workspace]) -> Result<HashMap<String, Arc<Workspace>>, Error> {
    let mut keys: HashMap<String, Arc<Workspace>> = HashMap::new();
    for workspace in workspaces {
        let shared = Arc::new(workspace.clone());
        for key in &workspace.keys {
            let before = keys.insert(key.clone(), Arc::clone(&shared));
            if let Some(before) = before.filter(|before| before.name != workspace.name) {
                let names = (before.name.clone(), workspace.name.clone());
                return Err(Error::SharedKey(names.0, names.1));
            }
        }
    }
    Ok(keys)
}

/// All pairs of a route's and a workspace's priority that requests to model engines
/// can have, most urgent first.
fn ranks(plan: &Plan) -> Vec<(u8, u8)> {
    let streams = plan.routes.iter().filter(|it| it.kind == Kind::Stream);
    let routes: Vec<u8> = streams.map(|route| route.priority).collect();
    let workspaces = plan.workspaces.iter().map(|it| it.priority).chain([0]);
    let mut pairs: Vec<_> = workspaces
        .flat_map(|workspace| routes.iter().map(move |route| (*route, workspace)))
        .collect();
    pairs.sort_unstable();
    pairs.dedup();
    pairs
}
