//! Orders to endpoints: what operators want, and what is sent next.
//!
//! An [`Order`] is a whole wanted state, for one endpoint or for all of a pool.
//! Nothing of it is done once and for all: the endpoints' states are read again
//! and again, and whatever differs is ordered under the lease of the endpoints'
//! data centre ([`Progress`]). An endpoint is in one data centre for all its life,
//! and may be in several pools, or in none: so it meets the numbers of one lease.

pub mod order;
pub mod progress;
pub mod wanted;

pub use order::{Kept, Order, Scope};
pub use progress::{Answer, Bounds, Place, Progress};
pub use wanted::Wanted;

use crate::name;

/// The name of the lease under which a data centre's endpoints get orders.
pub fn lease(data_centre: &name::DataCentre) -> String {
    format!("orders/{data_centre}")
}

#[cfg(test)]
mod tests;
