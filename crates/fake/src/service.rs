//! Stands in for a plain service that echoes what it was called with.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use actix_web::dev::AppConfig;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_web::web::{self, Bytes, Data, Json, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tokio::time::sleep;
use woodgap_core::clock::Millis;
use woodgap_platform::endpoint::{CANCEL_PATH, Cancel, LOAD_PATH, Load, REQUEST_HEADER};
use woodgap_platform::instance::{Instance, Role};

use crate::endpoint::{Arrival, Endpoint, Question, Record, header, identity};
use crate::faults::{merge, take};
use crate::record::End;
use crate::server::{self, Bound, cut, cut_half};

/// Header that says that a refused call did not run.
const VERDICT_HEADER: &str = "x-woodgap-verdict";

/// What the command line says.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the service.
    pub name: String,
    /// Time that a call takes, in milliseconds.
    pub latency_ms: u64,
    /// Calls that run side by side; the rest waits.
    pub slots: u32,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Data centre, as in the instance list.
    pub data_centre: String,
}

/// What goes wrong; `POST /fake/faults` replaces the named ones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Stretches the latency by this factor.
    slow: f64,
    /// Says so in the load report; calls are still taken.
    leaving: bool,
    /// Calls answered by 503 before they run.
    refuse: u32,
    /// Calls that are taken and never answered.
    hang: u32,
    /// Calls answered by 500 after they ran.
    fail_after_run: u32,
    /// Calls whose connection is cut after they ran, before the first byte.
    cut_after_run: u32,
    /// Calls whose answer announces its length and is cut half-way.
    cut_answer: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            leaving: false,
            refuse: 0,
            hang: 0,
            fail_after_run: 0,
            cut_after_run: 0,
            cut_answer: 0,
        }
    }
}

/// What a call is recorded by.
#[derive(Clone, Debug, Serialize)]
struct Detail {
    method: String,
    path: String,
    tag: Option<String>,
    idempotency_key: Option<String>,
}

/// The echo that answers a call.
#[derive(Clone, Debug, Serialize)]
struct Echo<'a> {
    service: &'a str,
    method: &'a str,
    path: &'a str,
    query: &'a str,
    body_length: usize,
    tag: Option<&'a str>,
}

struct Service {
    options: Options,
    endpoint: Arc<Endpoint<Detail>>,
    faults: Mutex<Faults>,
}

impl Service {
    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("no call panics under the lock")
    }

    fn latency(&self) -> Duration {
        let slow = self.faults().slow;
        Duration::from_millis(self.options.latency_ms).mul_f64(slow)
    }
}

/// Binds the stand-in.
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind(listen: SocketAddr, options: Options) -> io::Result<Bound> {
    let lag = Millis(options.report_lag_ms);
    let service = Data::new(Service {
        endpoint: Arc::new(Endpoint::new(options.slots, lag)),
        options,
        faults: Mutex::default(),
    });
    server::bind(listen, "service", move |config| {
        config.app_data(service.clone());
        routes(config);
    })
}

fn routes(config: &mut ServiceConfig) {
    config
        .route(LOAD_PATH, web::get().to(load))
        .route(CANCEL_PATH, web::post().to(cancel))
        .route("/fake/record", web::get().to(record))
        .route("/fake/instance", web::get().to(instance))
        .route("/fake/faults", web::post().to(set_faults))
        .default_service(web::to(call));
}

async fn call(service: Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    if take(&mut service.faults().refuse) {
        return HttpResponse::ServiceUnavailable()
            .insert_header((VERDICT_HEADER, "not_run"))
            .body("refused before the start");
    }
    let headers = request.headers();
    let id = identity(headers);
    let detail = Detail {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        tag: tag(headers, request.query_string()),
        idempotency_key: header(headers, "idempotency-key"),
    };
    let mut ticket = service.endpoint.enter(Arrival {
        request: id.clone(),
        detail: detail.clone(),
        priority: 0,
        resumed_from: None,
    });
    if ticket.start().await.is_err() {
        return cut();
    }
    if take(&mut service.faults().hang) {
        let _ = ticket.wait(std::future::pending::<()>()).await;
        return cut();
    }
    if ticket.wait(sleep(service.latency())).await.is_err() {
        return cut();
    }
    ticket.token();
    if take(&mut service.faults().fail_after_run) {
        ticket.end(End::Crashed);
        return HttpResponse::InternalServerError().body("failed after it ran");
    }
    if take(&mut service.faults().cut_after_run) {
        ticket.end(End::Crashed);
        return cut();
    }
    let echo = HttpResponse::Ok().json(Echo {
        service: &service.options.name,
        method: &detail.method,
        path: &detail.path,
        query: request.query_string(),
        body_length: body.len(),
        tag: detail.tag.as_deref(),
    });
    let answer = identified(echo, &id);
    if take(&mut service.faults().cut_answer) {
        ticket.end(End::Crashed);
        return cut_half(answer).await;
    }
    ticket.end(End::Complete);
    answer
}

fn identified(mut response: HttpResponse, id: &str) -> HttpResponse {
    if let Ok(value) = HeaderValue::from_str(id)
        && !id.is_empty()
    {
        let name = HeaderName::from_static(REQUEST_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

fn tag(headers: &HeaderMap, query: &str) -> Option<String> {
    let named = || {
        let query = Query::<HashMap<String, String>>::from_query(query).ok()?;
        query.into_inner().remove("tag")
    };
    header(headers, "x-tag").or_else(named)
}

async fn load(service: Data<Service>) -> Json<Load> {
    Json(service.endpoint.load())
}

async fn cancel(service: Data<Service>, cancel: Json<Cancel>) -> HttpResponse {
    service.endpoint.cancel(&cancel.request);
    HttpResponse::NoContent().finish()
}

async fn record(service: Data<Service>, question: Query<Question>) -> Json<Record<Detail>> {
    Json(service.endpoint.record(&question))
}

async fn instance(service: Data<Service>, request: HttpRequest) -> Json<Instance> {
    let config: &AppConfig = request.app_config();
    let options = &service.options;
    let targets = [options.name.clone()];
    let data_centre = &options.data_centre;
    let address = config.local_addr();
    Json(
        service
            .endpoint
            .instance(Role::Service, address, data_centre, &targets),
    )
}

async fn set_faults(service: Data<Service>, change: Json<Map<String, Value>>) -> HttpResponse {
    let mut faults = service.faults();
    if let Err(error) = merge(&mut *faults, change.into_inner()) {
        return HttpResponse::BadRequest().body(error.to_string());
    }
    service.endpoint.set_leaving(faults.leaving);
    HttpResponse::NoContent().finish()
}
