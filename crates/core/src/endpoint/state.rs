//! What all entries must agree on of one endpoint.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::endpoint::Flag;
use crate::name;

/// Why an endpoint gets no new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// It is about to go, by its own word or the platform's.
    pub leaving: Flag,
    /// It fails its probes.
    pub failing: Flag,
    /// An operator took it out of use, which holds until it has another address.
    pub drained: bool,
}

impl Marks {
    /// Whether it may get new work.
    pub const fn usable(&self) -> bool {
        !self.gone_for_good() && !self.failing.is_set()
    }

    /// Whether it is about to go or was taken out of use.
    pub const fn gone_for_good(&self) -> bool {
        self.leaving.is_set() || self.drained
    }

    /// Takes in another entry's word; says whether anything changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let drained = other.drained && !self.drained;
        self.drained |= drained;
        let leaving = self.leaving.merge(other.leaving);
        let failing = self.failing.merge(other.failing);
        drained || leaving || failing
    }
}

/// The marks of an endpoint at one address; at another they mean nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Its address.
    pub address: SocketAddr,
    /// Its marks.
    pub marks: Marks,
}
