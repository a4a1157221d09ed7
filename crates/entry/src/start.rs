//! Starts the entry: control thread, supervised branches, HTTP server.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use actix_web::middleware::from_fn;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{App, HttpServer};
use serde::Serialize;
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::control::Machine;
use woodgap_core::name;
use woodgap_platform::clock::Clock;
use woodgap_settings::entry::Entry as Settings;

use crate::configuration::{Watcher, watcher};
use crate::control::handle::Known;
use crate::control::{Actor, Handle};
use crate::endpoint::Client;
use crate::options::Options;
use crate::recording::Recording;
use crate::request::run::Worker;
use crate::shared::Shared;
use crate::supervisor::supervise;
use crate::{admin, caller, recording, telemetry};

/// Why the entry could not run.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings file can't be read or is wrong.
    #[error("{0}")]
    Settings(String),
    /// A socket could not be opened, or the server failed.
    #[error("option `{option}` of the settings: {source}")]
    Socket {
        /// The option at fault.
        option: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// The server failed.
    #[error("the server failed: {0}")]
    Server(#[source] std::io::Error),
}

impl Error {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 3,
            Self::Socket { .. } | Self::Server(_) => 1,
        }
    }
}

/// The one line on standard output.
#[derive(Debug, Serialize)]
struct Ready<'a> {
    #[serde(rename = "ready")]
    address: SocketAddr,
    peer: SocketAddr,
    role: &'static str,
    name: &'a name::Entry,
}

/// Runs the entry until it is told to stop.
///
/// # Errors
///
/// If the settings are wrong, or a socket could not be opened.
pub fn run(options: &Options) -> Result<(), Error> {
    let settings = woodgap_settings::entry::load(&options.settings)
        .map_err(|problems| Error::Settings(problems.to_string()))?;
    telemetry::logs::start(settings.log_level.as_str());
    actix_rt::System::new().block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let listener = listen(settings.listen)?;
    let address = listener.local_addr().map_err(Error::Server)?;
    let peer = settings.peer_listen;
    let workers = settings.workers;
    let control = Arbiter::new();
    let shared = Arc::new(shared(settings, &control)?);
    let watched = Arc::clone(&shared);
    let _watcher = supervise(&control.handle(), "watcher", move |guard| {
        Watcher::new(Arc::clone(&watched), guard)
    });
    let recorded = Arc::clone(&shared);
    let _recording = supervise(&control.handle(), "recording", move |guard| {
        Recording::new(Arc::clone(&recorded), guard)
    });
    let server = server(&shared, listener, workers)?;
    announce(address, peer, &shared.settings.name);
    server.await.map_err(Error::Server)?;
    recording::finish(&shared, LAST_COUNTS).await;
    Ok(())
}

/// How long the last counts may take to be written at a planned stop.
const LAST_COUNTS: Millis = Millis::from_secs(3);

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Socket {
        option: "listen",
        source,
    })
}

fn shared(settings: Settings, control: &Arbiter) -> Result<Shared, Error> {
    let clock = Clock::start();
    let incarnation = name::Incarnation(rand::random());
    let waiting_per_slot = settings.dispatch.waiting_per_slot;
    let known = Known::default();
    let last = Known::clone(&known);
    let branch = supervise(&control.handle(), "control", move |guard| {
        let machine = Machine::new(rand::random(), waiting_per_slot);
        Actor::new(machine, clock, Known::clone(&last), guard)
    });
    let metrics = telemetry::metrics::client(settings.metrics).map_err(|source| Error::Socket {
        option: "metrics",
        source,
    })?;
    Ok(Shared::new(
        settings,
        incarnation,
        Handle::new(branch, known),
        clock,
        metrics,
    ))
}

/// The HTTP server of an entry.
///
/// # Errors
///
/// If the socket can't be used.
pub fn server(
    shared: &Arc<Shared>,
    listener: TcpListener,
    workers: usize,
) -> Result<actix_web::dev::Server, Error> {
    let limits = &shared.settings.limits;
    let header_timeout = Duration::from_millis(limits.header_timeout.0);
    let caller_timeout = Duration::from_millis(limits.caller_timeout.0);
    let body_bytes = limits.body_bytes;
    let connections = limits.connections;
    let shared = Arc::clone(shared);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(PayloadConfig::new(body_bytes))
            .app_data(Data::new(watcher::platform(&shared)))
            .app_data(Data::new(Worker {
                shared: Arc::clone(&shared),
                client: Client::new(),
            }))
            .configure(caller::routes)
            .configure(admin::routes)
            .wrap(from_fn(caller::guard::guard))
    })
    .workers(workers)
    .max_connections(connections.div_ceil(workers))
    .client_request_timeout(header_timeout)
    // A caller that closes its sending half has given up, as HTTP clients do.
    .h1_allow_half_closed(false)
    .on_connect(caller::presence::watcher(caller_timeout))
    .listen(listener)
    .map_err(Error::Server)?;
    Ok(server.run())
}

fn announce(address: SocketAddr, peer: SocketAddr, name: &name::Entry) {
    let ready = Ready {
        address,
        peer,
        role: "entry",
        name,
    };
    // A plain struct of texts always serialises.
    println!("{}", serde_json::to_string(&ready).unwrap_or_default());
}
