//! The product's own form of the calls for duties.

use futures_util::FutureExt;
use woodgap_platform::duty::{HOLDER, NUMBER, SIZE_PATH, Size, USE_PATH, Use};

use crate::duties::caller::{Caller, Names};
use crate::duties::outlet::{Answer, Authority, Order, Ordered, Outlet, Report};
use crate::upstream::call::Address;

const NAMES: Names = Names {
    holder: HOLDER,
    number: NUMBER,
};

/// The platform in the product's own form.
pub struct Own(Caller);

impl Own {
    /// The platform at a base URL of the form `http://IP:PORT`.
    ///
    /// ```
    /// use woodgap_relay::duties::own::Own;
    ///
    /// assert!(Own::new("http://127.0.0.1:8080").is_ok());
    /// assert!(Own::new("http://platform").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// If the URL has another form.
    pub fn new(url: &str) -> Result<Self, Address> {
        Caller::new(url, NAMES).map(Self)
    }
}

impl Outlet for Own {
    fn report<'a>(&'a self, by: &'a Authority, report: &'a Report) -> Answer<'a, ()> {
        async move {
            let told = Use {
                window: report.window.0,
                counts: report.counts.clone(),
            };
            self.0.report(USE_PATH, by, &told).await
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, by: &'a Authority, order: &'a Order) -> Answer<'a, Ordered> {
        async move {
            let size = Size {
                service: order.service.clone(),
                data_centre: order.wish.data_centre.clone(),
                reclaimable: order.wish.is_reclaimable,
                count: order.wish.count,
            };
            self.0.order(SIZE_PATH, by, &size).await
        }
        .boxed_local()
    }
}
