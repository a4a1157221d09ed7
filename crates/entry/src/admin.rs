//! The side that operators see: configuration, status, drain, orders.

pub mod authority;
pub mod change;
pub mod orders;
pub mod status;

use actix_web::web;
use woodgap_core::admin::{
    APPLY_PATH, DOCUMENTS_PATH, DRAIN_PATH, HISTORY_PATH, ORDERS_PATH, STATUS_PATH,
};

/// Adds the operators' routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route(APPLY_PATH, web::post().to(change::apply))
        .route(
            &format!("{DOCUMENTS_PATH}{{key:.*}}"),
            web::get().to(change::get),
        )
        .route(HISTORY_PATH, web::get().to(change::history))
        .route(STATUS_PATH, web::get().to(status::status))
        .route(DRAIN_PATH, web::post().to(status::drain))
        .route(ORDERS_PATH, web::post().to(orders::apply))
        .route(ORDERS_PATH, web::get().to(orders::show));
}
