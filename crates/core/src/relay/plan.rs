//! The relay's configuration: routes, services and workspaces.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;
use crate::name;

/// A complete version of the relay's configuration.
///
/// ```
/// use woodgap_core::relay::Plan;
///
/// let plan: Plan = serde_json::from_str(r#"{"version": 7}"#).unwrap();
/// assert_eq!(plan.version, 7);
/// assert!(plan.check().is_ok());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Increases with each change; a plan never replaces one with a higher version.
    pub version: u64,
    /// The routes that match requests.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The services that routes refer to.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The workspaces whose keys are accepted; empty if no key is required.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It may be retried after any failure.
    Idempotent,
    /// It may be executed at most once.
    NonIdempotent,
    /// Its response is an event stream; it may be executed again only if the route is resumable.
    Stream,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Unique in the plan.
    pub name: String,
    /// The host in the request, without a port.
    pub host: String,
    /// The path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may be executed more than once.
    pub kind: Kind,
    /// The maximum duration of a request.
    pub timeout: Millis,
    /// The latency target of the response, or of the first event of a stream.
    pub target: Millis,
    /// For a stream: the target for the time between two events.
    #[serde(default)]
    pub gap: Option<Millis>,
    /// The priority of its requests; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The services that its requests are distributed to.
    pub shares: Vec<Share>,
    /// The maximum number of endpoints that a request is sent to.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// For a stream: whether another endpoint may resume it after an event.
    #[serde(default)]
    pub resumable: bool,
}

impl Route {
    /// Whether a request that may have been executed may be sent to another endpoint.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

const fn one() -> u32 {
    1
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// A service: a group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique in the plan.
    pub name: String,
    /// The maximum number of connections to an endpoint from all entries together.
    pub connections: u32,
    /// For model engines: the capacity of one engine.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// The autoscaling limits, if its endpoints can be ordered.
    #[serde(default)]
    pub scaling: Option<Scaling>,
    /// The maximum rate of requests to a cold endpoint from all entries together, per second; none
    /// if unlimited.
    #[serde(default)]
    pub cold_rate: Option<f64>,
}

/// The autoscaling limits of a service per data centre, and the prices of its endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// The minimum number of endpoints, of both kinds together.
    pub least: u32,
    /// The maximum number of endpoints, of both kinds together.
    pub most: u32,
    /// How long a new endpoint takes to become ready.
    pub boot: Millis,
    /// The price of a reclaimable endpoint as a fraction of the on-demand price; none if the
    /// platform offers no reclaimable endpoints.
    pub reclaimable_price: Option<f64>,
    /// The relative price of an on-demand endpoint in each data centre.
    pub prices: BTreeMap<name::DataCentre, f64>,
}

/// The capacity and features of one model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The capacity of its KV cache, in tokens.
    pub memory_tokens: u32,
    /// The number of tokens per stream event.
    pub event_tokens: u32,
    /// Whether it can load cached prompt prefixes from another engine.
    #[serde(default)]
    pub moves_prompts: bool,
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique in the plan.
    pub name: String,
    /// The API keys that identify it.
    pub keys: Vec<String>,
    /// Orders requests of equal route priority at model engines; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// Its share of a service with too little capacity, relative to other workspaces; from
    /// [`MIN_WEIGHT`] to [`MAX_WEIGHT`].
    #[serde(default = "default_weight")]
    pub weight: f64,
}

/// The smallest weight of a workspace: waiting lists take weights in whole hundredths.
pub const MIN_WEIGHT: f64 = 0.01;
/// The largest weight of a workspace.
pub const MAX_WEIGHT: f64 = 100.0;
/// The weight of a workspace whose share is not configured.
pub const DEFAULT_WEIGHT: f64 = 1.0;

const fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

impl Workspace {
    fn check(&self) -> Result<(), Error> {
        if (MIN_WEIGHT..=MAX_WEIGHT).contains(&self.weight) {
            Ok(())
        } else {
            Err(Error::InvalidWeight(self.name.clone()))
        }
    }
}

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of the header, in bytes.
    pub header_bytes: usize,
    /// The maximum size of the body, in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive the header.
    pub header_timeout: Millis,
    /// The maximum idle time of a connection between two requests.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// The limits if a plan sets none: the defaults of the entry's own settings.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Millis(5_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// Why a plan is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// Two routes match the same requests.
    #[error("routes `{0}` and `{1}` have the same host and prefix")]
    DuplicateRoute(String, String),
    /// A prefix does not begin and end with a slash.
    #[error("route `{0}`: the prefix must begin and end with a slash")]
    InvalidPrefix(String),
    /// A route has no service to send requests to.
    #[error("route `{0}` has no service with a weight above 0")]
    NoWeightedService(String),
    /// A route refers to a service that the plan does not define.
    #[error("route `{0}` names the unknown service `{1}`")]
    UnknownService(String, String),
    /// A key identifies two workspaces.
    #[error("workspaces `{0}` and `{1}` have a key in common")]
    DuplicateKey(String, String),
    /// The weight of a workspace is out of range, or not a number.
    #[error("workspace `{0}`: the weight must be a number from {MIN_WEIGHT} to {MAX_WEIGHT}")]
    InvalidWeight(String),
}

impl Plan {
    /// Checks each route, that the services it refers to exist, and the weights of workspaces.
    ///
    /// # Errors
    ///
    /// The first error found.
    pub fn check(&self) -> Result<(), Error> {
        self.routes
            .iter()
            .try_for_each(|route| self.check_route(route))?;
        self.workspaces.iter().try_for_each(Workspace::check)
    }

    fn check_route(&self, route: &Route) -> Result<(), Error> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(Error::InvalidPrefix(name()));
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            return Err(Error::NoWeightedService(name()));
        }
        let is_unknown = |share: &&Share| self.services.iter().all(|it| it.name != share.service);
        match route.shares.iter().find(is_unknown) {
            Some(share) => Err(Error::UnknownService(name(), share.service.clone())),
            None => Ok(()),
        }
    }
}
