//! Calls that the platform takes of one entry at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use woodgap_core::name;

/// Path of [`Use`] calls.
pub const USE_PATH: &str = "/duties/v1/use";
/// Path of [`Size`] calls.
pub const SIZE_PATH: &str = "/duties/v1/size";
/// The header that names the entry that calls.
pub const HOLDER: &str = "x-woodgap-holder";
/// The header with the number under which it calls: it rises with each holder.
pub const NUMBER: &str = "x-woodgap-number";

/// Reports the requests that endpoints began to run in a window of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The window: windows are numbered from the Unix epoch on.
    pub window: u64,
    /// Requests by workspace.
    pub counts: BTreeMap<name::Workspace, u64>,
}

/// Orders how many endpoints of a service run in a data centre. 409 says that there are none to
/// be had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// The service.
    pub service: String,
    /// Where.
    pub data_centre: name::DataCentre,
    /// Whether the platform may take them away at short notice.
    pub reclaimable: bool,
    /// How many.
    pub count: u32,
}
