//! Endpoints as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;

/// An endpoint as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Endpoint {
    /// The endpoint's name and start time.
    pub life: name::Life,
    /// The service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// The version of its software; empty if its row names none. What endpoints of different
    /// versions write does not fit together.
    pub version: String,
    /// The data centre in which it runs.
    pub data_centre: name::DataCentre,
    /// How many requests it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests because it is about to leave.
    pub leaving: bool,
    /// Whether the platform may reclaim it at short notice.
    pub reclaimable: bool,
    /// How long it can sustain only a low request rate, counted from when this row was received.
    pub cold_for: Millis,
}

impl Endpoint {
    /// Whether the rows are equal, ignoring `cold_for`.
    pub(super) fn is_same_except_cold_for(&self, other: &Self) -> bool {
        let cold_for = self.cold_for;
        *self
            == Self {
                cold_for,
                ..other.clone()
            }
    }
}

/// Serialized form of an [`Endpoint`]: name and start are separate fields, and the start is the
/// last one, so that rows without it can be read.
#[derive(Serialize, Deserialize)]
struct Row {
    name: name::Endpoint,
    service: String,
    address: SocketAddr,
    data_centre: name::DataCentre,
    slots: u32,
    leaving: bool,
    #[serde(default)]
    version: String,
    #[serde(default)]
    reclaimable: bool,
    #[serde(default)]
    cold_for: Millis,
    #[serde(default)]
    started_unix: Option<Millis>,
}

impl From<Row> for Endpoint {
    fn from(row: Row) -> Self {
        Self {
            life: name::Life {
                id: row.name,
                started_unix: row.started_unix,
            },
            service: row.service,
            address: row.address,
            version: row.version,
            data_centre: row.data_centre,
            slots: row.slots,
            leaving: row.leaving,
            reclaimable: row.reclaimable,
            cold_for: row.cold_for,
        }
    }
}

impl From<Endpoint> for Row {
    fn from(endpoint: Endpoint) -> Self {
        Self {
            name: endpoint.life.id,
            service: endpoint.service,
            address: endpoint.address,
            version: endpoint.version,
            data_centre: endpoint.data_centre,
            slots: endpoint.slots,
            leaving: endpoint.leaving,
            reclaimable: endpoint.reclaimable,
            cold_for: endpoint.cold_for,
            started_unix: endpoint.life.started_unix,
        }
    }
}
