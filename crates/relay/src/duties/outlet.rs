//! What the platform takes of one entry at a time.

use futures_util::future::LocalBoxFuture;
use woodgap_core::name;
use woodgap_core::relay::sizing::ScaleRequest;
use woodgap_core::relay::usage::{Counts, Window};
use woodgap_platform::Error;

/// Who makes a call, and under which number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The entry that has the duties.
    pub holder: name::Entry,
    /// Greater than that of every holder before it.
    pub number: u64,
}

/// The requests that endpoints began to run in a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: Window,
    /// Requests by workspace.
    pub counts: Counts,
}

/// How many endpoints are to run somewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Of which service.
    pub service: String,
    /// Where, of which kind, and how many.
    pub wish: ScaleRequest,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// It will be carried out.
    Taken,
    /// There are no such endpoints to be had now.
    NoneToBeHad,
}

/// An answer to come.
pub type Answer<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;

/// The platform, as far as it takes calls of one entry at a time.
pub trait Outlet {
    /// Reports use. A report that is repeated changes nothing.
    fn report<'a>(&'a self, by: &'a Authority, report: &'a Report) -> Answer<'a, ()>;

    /// Orders how many endpoints run somewhere.
    fn order<'a>(&'a self, by: &'a Authority, order: &'a Order) -> Answer<'a, Ordered>;
}
