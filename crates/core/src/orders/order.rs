//! What operators write, and which order is meant for an endpoint.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::instance::{Instance, Role};
use crate::name;
use crate::orders::Wanted;

/// Which endpoints an order is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// One endpoint.
    Endpoint(name::Endpoint),
    /// All endpoints of a pool that have no order of their own.
    Pool(name::Pool),
}

impl Scope {
    /// Whether an instance is meant.
    pub fn covers(&self, instance: &Instance) -> bool {
        match self {
            Self::Endpoint(name) => name.as_str() == instance.name,
            Self::Pool(pool) => {
                pool.data_centre == instance.data_centre && instance.targets.contains(&pool.target)
            }
        }
    }
}

/// The row's key of an order; operators name orders by it.
impl fmt::Display for Scope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(name) => write!(formatter, "endpoint/{name}"),
            Self::Pool(pool) => write!(formatter, "pool/{}/{}", pool.data_centre, pool.target),
        }
    }
}

/// An order as operators write it.
///
/// ```
/// use woodgap_core::orders::Order;
///
/// let text = r#"{"endpoint": "engine-1", "wanted": {"models": ["story-7b"], "role": "serve"}}"#;
/// let order: Order = serde_json::from_str(text).unwrap();
/// assert_eq!(order.scope.to_string(), "endpoint/engine-1");
///
/// let text = r#"{"pool": {"target": "story-7b", "data_centre": "dub-a"}, "wanted": null}"#;
/// let withdrawal: Order = serde_json::from_str(text).unwrap();
/// assert_eq!(withdrawal.wanted, None);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Written", into = "Written")]
pub struct Order {
    /// The endpoints.
    pub scope: Scope,
    /// What is wanted of them; none withdraws the order.
    pub wanted: Option<Wanted>,
}

/// An order in its written form.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    endpoint: Option<name::Endpoint>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pool: Option<name::Pool>,
    wanted: Option<Wanted>,
}

impl TryFrom<Written> for Order {
    type Error = &'static str;

    fn try_from(written: Written) -> Result<Self, Self::Error> {
        let scope = match (written.endpoint, written.pool) {
            (Some(endpoint), None) => Scope::Endpoint(endpoint),
            (None, Some(pool)) => Scope::Pool(pool),
            _ => return Err("give either `endpoint` or `pool`"),
        };
        Ok(Self {
            scope,
            wanted: written.wanted,
        })
    }
}

impl From<Order> for Written {
    fn from(order: Order) -> Self {
        let (endpoint, pool) = match order.scope {
            Scope::Endpoint(endpoint) => (Some(endpoint), None),
            Scope::Pool(pool) => (None, Some(pool)),
        };
        Self {
            endpoint,
            pool,
            wanted: order.wanted,
        }
    }
}

/// An order as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The order; one that was withdrawn is not kept.
    pub order: Order,
    /// Counts the changes of this order, from 1.
    pub version: u64,
    /// The operator.
    pub operator: String,
    /// The change's identity.
    pub change: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub at: Millis,
}

impl Kept {
    /// The order that is meant for an instance: its own, or the newest of its pools.
    pub fn meant_for<'a>(orders: &'a [Self], instance: &Instance) -> Option<&'a Self> {
        if instance.role == Role::Entry {
            return None;
        }
        let covering = orders
            .iter()
            .filter(|kept| kept.order.wanted.is_some() && kept.order.scope.covers(instance));
        covering.max_by_key(|kept| {
            let own = matches!(kept.order.scope, Scope::Endpoint(_));
            (own, kept.at, kept.order.scope.clone())
        })
    }
}
