//! What an endpoint offers beside requests: load report, cancel and orders.

use serde::{Deserialize, Serialize};
pub use woodgap_core::instance::Load;
pub use woodgap_core::orders::Wanted;

/// Path of the load report: `GET` returns a [`Load`].
pub const LOAD_PATH: &str = "/control/load";
/// Path of cancellations: `POST` takes a [`Cancel`].
pub const CANCEL_PATH: &str = "/control/cancel";
/// Path of orders: `POST` takes an [`Order`]; `GET` returns the [`Wanted`] in force.
pub const ORDER_PATH: &str = "/control/order";

/// Header that carries the run's identity to an endpoint; the answer repeats it.
pub const REQUEST_HEADER: &str = "x-woodgap-request";
/// Header that carries the engine priority, 0 (first) to 9 (last).
pub const PRIORITY_HEADER: &str = "x-woodgap-priority";
/// Header that asks an engine to go on after an offset: the standard one of server-sent events.
pub const RESUME_HEADER: &str = "last-event-id";

/// Stops a run at an endpoint; one that is not there is no error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The run's identity, as in [`REQUEST_HEADER`].
    pub request: String,
}

/// An order under a fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Grows with each holder of the lease for the endpoint's data centre. Endpoints
    /// that check it answer 409 to a lower one than they have seen.
    pub fence: u64,
    /// The state wanted.
    pub wanted: Wanted,
}
