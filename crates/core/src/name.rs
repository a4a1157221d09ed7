//! Names of the things that woodgap decides about, each a type of its own.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

macro_rules! name {
    ($(#[$documentation:meta])* $type:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(Arc<str>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $type {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

name! {
    /// An entry instance, by the name in its settings.
    Entry
}
name! {
    /// An endpoint instance: a model engine or a plain service.
    Endpoint
}
name! {
    /// A data centre.
    DataCentre
}
name! {
    /// A workspace.
    Workspace
}
name! {
    /// A request class.
    Class
}
name! {
    /// What a request asks for: a model, or a plain service.
    Target
}

/// A pool: the endpoints of one data centre that serve one target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Pool {
    /// The model or plain service.
    pub target: Target,
    /// The data centre of its endpoints.
    pub data_centre: DataCentre,
}

/// One life of an endpoint: it may start again under its name, and then knows nothing
/// of before.
///
/// All that is remembered of an endpoint is kept by its life, so that nothing of an
/// earlier one counts for a later one. Only what is said to the endpoint itself names
/// it by `id` alone; a life has no text form of its own.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name::{Endpoint, Life};
///
/// let first = Life { id: Endpoint::from("e-1"), started_unix: Some(Millis(1_000)) };
/// let second = Life { started_unix: Some(Millis(2_000)), ..first.clone() };
/// assert_ne!(first, second);
/// assert!(first.is_before(&second));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    /// The endpoint's name, which all its lives share.
    pub id: Endpoint,
    /// When it started, in ms since the Unix epoch; none where the endpoint does not
    /// say: it is then taken for one life.
    pub started_unix: Option<Millis>,
}

impl Life {
    /// Whether both are known to be lives of one endpoint, and this the earlier one.
    ///
    /// A life of unknown start is neither earlier nor later than another.
    pub fn is_before(&self, other: &Self) -> bool {
        let starts = self.started_unix.zip(other.started_unix);
        self.id == other.id && starts.is_some_and(|(own, others)| own < others)
    }
}

/// A life of unknown start.
impl From<Endpoint> for Life {
    fn from(id: Endpoint) -> Self {
        Self {
            id,
            started_unix: None,
        }
    }
}

/// One life of an entry: a restart gives the same entry a larger number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One request as one entry knows it; unique across the fleet and over time.
///
/// ```
/// use woodgap_core::name::{Incarnation, Request};
///
/// let request = Request { incarnation: Incarnation(0xab), sequence: 7 };
/// assert_eq!(request.to_string(), "00000000000000ab-7");
/// assert_eq!(Request::parse("00000000000000ab-7"), Some(request));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Request {
    /// The life of the entry that took the request. Incarnations are drawn so
    /// that no two entries share one.
    pub incarnation: Incarnation,
    /// Counts the requests of that life.
    pub sequence: u64,
}

impl Request {
    /// Reads what `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let (incarnation, sequence) = text.split_once('-')?;
        let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
        let sequence = sequence.parse().ok()?;
        Some(Self {
            incarnation: Incarnation(incarnation),
            sequence,
        })
    }
}

impl fmt::Display for Request {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}-{}", self.incarnation.0, self.sequence)
    }
}
