//! The relay's configuration as operators write it: routes, services, workspaces.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::clock::Millis;
use crate::name;

/// One version of the configuration, whole.
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
    /// Grows with each change; a lower one never replaces a higher one.
    pub version: u64,
    /// Where requests go.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// What the routes lead to.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Who may call; empty where no key is asked for.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Bounds on what callers send.
    #[serde(default)]
    pub limits: Limits,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It may run again after any failure.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// Its answer is a stream of events; it may run again only if the route is
    /// resumable.
    Stream,
}

/// A route: which requests it takes and how they are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Unique in the plan.
    pub name: String,
    /// The host that callers name, without a port.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// Whether its requests may run again.
    pub kind: Kind,
    /// How long a request may be held at most.
    pub timeout: Millis,
    /// Within this time an answer is on time; for a stream, its first event.
    pub target: Millis,
    /// For a stream: the longest pause between two events that is on time.
    #[serde(default)]
    pub gap: Option<Millis>,
    /// 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The services that share its requests.
    pub shares: Vec<Share>,
    /// To how many endpoints one request may be sent.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether no key is asked for.
    #[serde(default)]
    pub public: bool,
    /// For a stream: whether another endpoint may go on after an event.
    #[serde(default)]
    pub resumable: bool,
}

impl Route {
    /// Whether a request that may have run may be sent to another endpoint.
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

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: String,
    /// Its part, relative to the others of the route.
    pub weight: u32,
}

/// A service: endpoints that are alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique in the plan.
    pub name: String,
    /// How many connections an endpoint accepts from all entries together.
    pub connections: u32,
    /// For model engines: what one engine has.
    #[serde(default)]
    pub engine: Option<Engine>,
    /// How many endpoints it may have, where that can be ordered.
    #[serde(default)]
    pub scaling: Option<Scaling>,
    /// How many requests a second a cold endpoint bears from all entries together; none where
    /// that is not bounded.
    #[serde(default)]
    pub cold_rate: Option<f64>,
}

/// How many endpoints a service may have in each data centre, and what they cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// At least so many of both kinds together.
    pub least: u32,
    /// At most so many.
    pub most: u32,
    /// How long a new endpoint takes until it serves.
    pub boot: Millis,
    /// What an endpoint that may be taken away costs, as a part of the price of the others; none
    /// where there are none of that kind.
    pub reclaimable_price: Option<f64>,
    /// The price of an endpoint for a time in each data centre, one against another.
    pub prices: BTreeMap<name::DataCentre, f64>,
}

/// What one model engine has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// How many requests it works on at once.
    pub slots: u32,
    /// How many tokens its memory holds.
    pub memory_tokens: u32,
    /// How many tokens an event of a stream holds.
    pub event_tokens: u32,
    /// Whether it takes kept prompt parts from another engine.
    #[serde(default)]
    pub moves_prompts: bool,
}

/// A workspace and its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique in the plan.
    pub name: String,
    /// The keys that stand for it.
    pub keys: Vec<String>,
    /// Comes after the route's priority at model engines; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest header, in bytes.
    pub header_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The longest time for a header to arrive.
    pub header_timeout: Millis,
    /// The longest rest of a connection between two requests.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// What holds where a plan says nothing: the defaults of the entry's own
    /// settings.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Millis(5_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// Why a plan can't be in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// Two routes take the same requests.
    #[error("routes `{0}` and `{1}` have the same host and prefix")]
    DuplicateRoute(String, String),
    /// A prefix does not begin and end with a slash.
    #[error("route `{0}`: the prefix must begin and end with a slash")]
    InvalidPrefix(String),
    /// A route leads nowhere.
    #[error("route `{0}` has no service with a weight above 0")]
    NoWeightedService(String),
    /// A route leads to a service that the plan does not have.
    #[error("route `{0}` names the unknown service `{1}`")]
    UnknownService(String, String),
    /// A key stands for two workspaces.
    #[error("workspaces `{0}` and `{1}` have a key in common")]
    DuplicateKey(String, String),
}

impl Plan {
    /// Checks that each part is sound on its own and that they fit together.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong.
    pub fn check(&self) -> Result<(), Error> {
        self.routes
            .iter()
            .try_for_each(|route| self.check_route(route))
    }

    fn check_route(&self, route: &Route) -> Result<(), Error> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(Error::InvalidPrefix(name()));
        }
        if route.shares.iter().all(|share| share.weight == 0) {
            return Err(Error::NoWeightedService(name()));
        }
        let known = |share: &&Share| self.services.iter().all(|it| it.name != share.service);
        match route.shares.iter().find(known) {
            Some(share) => Err(Error::UnknownService(name(), share.service.clone())),
            None => Ok(()),
        }
    }
}
