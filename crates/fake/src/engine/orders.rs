//! Orders: the wanted state in force, under a fencing number.

use actix_web::HttpResponse;
use actix_web::web::{Data, Json};
use woodgap_platform::endpoint::{Order, Wanted};

use super::Engine;

/// The state in force and the highest fencing number seen.
#[derive(Debug)]
pub struct Orders {
    wanted: Wanted,
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
            fence: 0,
            checks_fencing,
        }
    }

    /// The models held.
    pub fn models(&self) -> &[String] {
        &self.wanted.models
    }

    /// Takes an order; false where its fencing number is an old one and that is checked.
    pub fn take(&mut self, order: &Order) -> bool {
        if self.checks_fencing && order.fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(order.fence);
        self.wanted = order.wanted.clone();
        true
    }
}

/// `POST /control/order`.
pub async fn set(engine: Data<Engine>, order: Json<Order>) -> HttpResponse {
    let accepted = engine.lock().orders.take(&order);
    engine.endpoint.ordered(order.into_inner(), accepted);
    if accepted {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::Conflict().body("old fencing number")
    }
}

/// `GET /control/order`.
pub async fn show(engine: Data<Engine>) -> Json<Wanted> {
    Json(engine.lock().orders.wanted.clone())
}
