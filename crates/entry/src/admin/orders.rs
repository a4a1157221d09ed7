//! Operators' orders to endpoints.

use std::collections::BTreeSet;

use actix_web::HttpRequest;
use actix_web::web::{Data, Json};
use futures_util::future::join_all;
use woodgap_core::admin::{AppliedOrder, ApplyOrder, OrderHolder, OrderState, Ordered, Orders};
use woodgap_core::instance::Instance;
use woodgap_core::lease::Fence;
use woodgap_core::name;
use woodgap_core::orders::{self, Kept, Wanted};
use woodgap_platform::http::Platform;
use woodgap_platform::instance::List;
use woodgap_platform::lease::rows;

use crate::admin::authority::{Failure, operator};
use crate::orders::Store;
use crate::orders::store::Refusal;
use crate::orders::wire::Wire;
use crate::request::run::Worker;
use crate::shared::Shared;

/// `POST /admin/v1/orders`.
pub(crate) async fn apply(
    worker: Data<Worker>,
    request: HttpRequest,
    body: Json<ApplyOrder>,
) -> Result<Json<AppliedOrder>, Failure> {
    let shared = &worker.shared;
    let operator = operator(shared, &request)?;
    let store = Store::new(worker.platform.clone());
    let applied = store.apply(&body, operator, shared.clock.unix()).await?;
    log::info!(
        operator = operator,
        order = body.order.scope.to_string(),
        version = applied.version,
        already = applied.already;
        "order accepted"
    );
    Ok(Json(applied))
}

/// `GET /admin/v1/orders`: the orders, and what the endpoints say of themselves now.
pub(crate) async fn show(
    worker: Data<Worker>,
    request: HttpRequest,
) -> Result<Json<Orders>, Failure> {
    let shared = &worker.shared;
    operator(shared, &request)?;
    let platform = &worker.platform;
    let orders = Store::new(platform.clone()).all().await;
    let orders = orders.map_err(Refusal::from)?;
    let instances = platform.list().await.map_err(Refusal::from)?;
    let endpoints = endpoints(shared, &orders, &instances).await;
    let holders = holders(platform, &endpoints).await?;
    Ok(Json(Orders {
        orders,
        endpoints,
        holders,
    }))
}

async fn endpoints(shared: &Shared, orders: &[Kept], instances: &[Instance]) -> Vec<Ordered> {
    let wire = Wire::new(shared.settings.orders.send_timeout);
    let meant = instances
        .iter()
        .filter_map(|instance| Some((instance, Kept::meant_for(orders, instance)?)));
    let reads = meant.map(|(instance, kept)| {
        let wire = &wire;
        async move { ordered(shared, instance, kept, wire.read(instance.address).await) }
    });
    let mut endpoints = join_all(reads).await;
    endpoints.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
    endpoints
}

fn ordered(shared: &Shared, instance: &Instance, kept: &Kept, in_force: Option<Wanted>) -> Ordered {
    let wanted = kept.order.wanted.as_ref();
    let state = match (&in_force, wanted) {
        (None, _) => OrderState::Unreachable,
        (Some(in_force), Some(wanted)) if in_force.same(wanted) => OrderState::InForce,
        _ => OrderState::Pending,
    };
    let exempt = &shared.settings.dispatch.fencing_exempt;
    Ordered {
        endpoint: instance.name.as_str().into(),
        data_centre: instance.data_centre.clone(),
        order: kept.order.scope.to_string(),
        state,
        in_force,
        checks_fencing: instance.checks_fencing && !exempt.contains(&instance.name),
    }
}

async fn holders(platform: &Platform, endpoints: &[Ordered]) -> Result<Vec<OrderHolder>, Refusal> {
    let data_centres = endpoints
        .iter()
        .map(|endpoint| endpoint.data_centre.clone());
    let data_centres: BTreeSet<name::DataCentre> = data_centres.collect();
    let mut holders = Vec::new();
    for data_centre in data_centres {
        let seen = rows::read(platform, &orders::lease(&data_centre)).await?;
        holders.push(OrderHolder {
            data_centre,
            entry: seen.holder().map(|holder| holder.entry.clone()),
            fence: seen
                .mark
                .map_or(Fence::default(), |mark| Fence(mark.version)),
        });
    }
    Ok(holders)
}
