//! The platform's services that deferred requests are kept in.

use woodgap_platform::object::Store;
use woodgap_platform::table::Table;

/// A table service and an object store.
pub trait Storage: Table + Store + Clone + 'static {}

impl<P: Table + Store + Clone + 'static> Storage for P {}
