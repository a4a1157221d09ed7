//! Stands in for a model engine with deterministic answers.

mod answer;
mod chunk;
mod faults;
mod orders;
mod prefixes;
mod prompt;
mod run;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};

use actix_web::dev::AppConfig;
use actix_web::web::{self, Data, Json, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use woodgap_core::clock::Millis;
use woodgap_platform::endpoint::{CANCEL_PATH, Cancel, LOAD_PATH, Load, ORDER_PATH};
use woodgap_platform::instance::{Instance, Role};

use crate::endpoint::{Endpoint, Question, Record};
use crate::faults::merge;
use crate::server::{self, Bound};
use faults::Faults;
use orders::Orders;
use prefixes::Prefixes;

/// What the command line says.
#[derive(Clone, Debug)]
pub struct Options {
    /// Models held at the start.
    pub models: Vec<String>,
    /// Requests that run side by side; the rest waits inside the engine.
    pub slots: u32,
    /// Tokens a second of each stream.
    pub tokens_per_second: f64,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Added to it where the prompt's prefix is not cached, in milliseconds.
    pub prefill_ms: u64,
    /// Prefixes that the cache holds.
    pub prefix_cache_entries: usize,
    /// How far a token's time strays from the rate, in percent of it.
    pub jitter_percent: u32,
    /// Draws the jitter.
    pub seed: u64,
    /// Age of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Answers 409 to a request to resume.
    pub no_resume: bool,
    /// Data centre, as in the instance list.
    pub data_centre: String,
    /// Where the record is kept, to outlive the process.
    pub record_file: Option<PathBuf>,
}

/// What a run is recorded by.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Detail {
    /// The model asked for.
    pub model: String,
    /// The tag that the answer's tokens carry.
    pub prompt_tag: String,
    /// The engine priority.
    pub priority: u8,
    /// The fault that the run was given.
    pub fault: Option<faults::Fault>,
}

struct Engine {
    options: Options,
    endpoint: Arc<Endpoint<Detail>>,
    state: Mutex<State>,
}

struct State {
    faults: Faults,
    orders: Orders,
    prefixes: Prefixes,
}

impl Engine {
    fn new(options: Options) -> io::Result<Self> {
        let state = State {
            faults: Faults::default(),
            orders: Orders::new(options.models.clone(), options.checks_fencing),
            prefixes: Prefixes::new(options.prefix_cache_entries),
        };
        let endpoint = Endpoint::new(options.slots, Millis(options.report_lag_ms));
        let endpoint = match &options.record_file {
            Some(path) => endpoint.recorded(path)?,
            None => endpoint,
        };
        Ok(Self {
            endpoint: Arc::new(endpoint),
            options,
            state: Mutex::new(state),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no call panics under the lock")
    }
}

/// Binds the stand-in.
///
/// # Errors
///
/// When the address can't be bound, or the record's file can't be opened.
pub fn bind(listen: SocketAddr, options: Options) -> io::Result<Bound> {
    let engine = Data::new(Engine::new(options)?);
    server::bind(listen, "engine", move |config| {
        config.app_data(engine.clone());
        routes(config);
    })
}

fn routes(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(answer::chat))
        .route("/v1/completions", web::post().to(answer::text))
        .route(LOAD_PATH, web::get().to(load))
        .route(CANCEL_PATH, web::post().to(cancel))
        .route(ORDER_PATH, web::post().to(orders::set))
        .route(ORDER_PATH, web::get().to(orders::show))
        .route("/fake/record", web::get().to(record))
        .route("/fake/instance", web::get().to(instance))
        .route("/fake/faults", web::post().to(set_faults))
        .route("/fake/faults", web::get().to(show_faults));
}

async fn load(engine: Data<Engine>) -> Json<Load> {
    Json(engine.endpoint.load())
}

async fn cancel(engine: Data<Engine>, cancel: Json<Cancel>) -> HttpResponse {
    engine.endpoint.cancel(&cancel.request);
    HttpResponse::NoContent().finish()
}

async fn record(engine: Data<Engine>, question: Query<Question>) -> Json<Record<Detail>> {
    Json(engine.endpoint.record(&question))
}

async fn instance(engine: Data<Engine>, request: HttpRequest) -> Json<Instance> {
    let config: &AppConfig = request.app_config();
    let now = engine.endpoint.unix();
    let models = engine.lock().orders.models(now).to_vec();
    let options = &engine.options;
    let data_centre = &options.data_centre;
    let address = config.local_addr();
    let instance = engine
        .endpoint
        .instance(Role::Engine, address, data_centre, &models);
    Json(Instance {
        checks_fencing: options.checks_fencing,
        ..instance
    })
}

async fn set_faults(engine: Data<Engine>, change: Json<Map<String, Value>>) -> HttpResponse {
    let mut change = change.into_inner();
    if change.contains_key("crash_after_tokens") {
        change.entry("crash_runs").or_insert(Value::from(1));
    }
    let mut state = engine.lock();
    if let Err(error) = merge(&mut state.faults, change) {
        return HttpResponse::BadRequest().body(error.to_string());
    }
    engine.endpoint.set_leaving(state.faults.leaving);
    HttpResponse::NoContent().finish()
}

async fn show_faults(engine: Data<Engine>) -> Json<Faults> {
    Json(engine.lock().faults.clone())
}
