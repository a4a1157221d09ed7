//! Orders: the wanted state in force, under a fencing number. Loads take time.

use actix_web::HttpResponse;
use actix_web::web::{Data, Json};
use woodgap_core::clock::Millis;
use woodgap_platform::endpoint::{Order, Wanted};

use super::Engine;

/// The state in force and the highest fencing number seen.
#[derive(Debug)]
pub struct Orders {
    wanted: Wanted,
    /// What is in force once it is loaded, and when that is.
    loading: Option<(Wanted, Millis)>,
    fence: u64,
    checks_fencing: bool,
}

impl Orders {
    /// The state at the start.
    pub fn new(models: Vec<String>, checks_fencing: bool) -> Self {
        Self {
            wanted: Wanted {
                models,
                role: "serve".to_owned(),
            },
            loading: None,
            fence: 0,
            checks_fencing,
        }
    }

    /// The models held.
    pub fn models(&mut self, now: Millis) -> &[String] {
        &self.in_force(now).models
    }

    /// Takes an order; false where its fencing number is an old one and that is
    /// checked. A load takes its time; the same order again does not begin it anew.
    pub fn take(&mut self, now: Millis, load: Millis, order: &Order) -> bool {
        if self.checks_fencing && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        let loading = self.loading.as_ref();
        if loading.is_some_and(|(wanted, _)| *wanted == order.wanted) {
            return true;
        }
        self.loading = None;
        if load > Millis::ZERO && order.wanted.loads(&self.wanted) {
            self.loading = Some((order.wanted.clone(), now + load));
        } else {
            self.wanted = order.wanted.clone();
        }
        true
    }

    /// The state in force.
    pub fn in_force(&mut self, now: Millis) -> &Wanted {
        if self.loading.as_ref().is_some_and(|(_, due)| now >= *due) {
            let loaded = self.loading.take();
            self.wanted = loaded.map(|(wanted, _)| wanted).unwrap_or_default();
        }
        &self.wanted
    }
}

/// `POST /control/order`.
pub async fn set(engine: Data<Engine>, order: Json<Order>) -> HttpResponse {
    let now = engine.endpoint.unix();
    let accepted = {
        let mut state = engine.lock();
        let load = state.faults.load_ms;
        state.orders.in_force(now);
        state.orders.take(now, load, &order)
    };
    engine.endpoint.ordered(order.into_inner(), accepted);
    if accepted {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::Conflict().body("old fencing number")
    }
}

/// `GET /control/order`.
pub async fn show(engine: Data<Engine>) -> Json<Wanted> {
    let now = engine.endpoint.unix();
    Json(engine.lock().orders.in_force(now).clone())
}
