//! The platform's list of live and leaving instances; it lags.

use futures_util::future::LocalBoxFuture;
pub use woodgap_core::instance::{Instance, Role, State};

use crate::Error;

/// Path of the list: `GET` returns a JSON array of [`Instance`].
pub const PATH: &str = "/instances/v1";

/// The instance list.
pub trait List {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Instance>, Error>>;
}
