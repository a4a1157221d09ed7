//! Starts the entry: control thread, supervised branches, HTTP server.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use actix_rt::Arbiter;
use actix_web::middleware::from_fn;
use actix_web::web::{Data, PayloadConfig};
use actix_web::{App, HttpServer};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Machine, Policy, Start};
use woodgap_core::membership::{Heartbeat, Member, Standing};
use woodgap_core::name;
use woodgap_core::pool::Limits;
use woodgap_platform::clock::Clock;
use woodgap_settings::entry::{Dispatch, Entry as Settings, dispatch};
use woodgap_wire::Key;

use crate::configuration::watcher;
use crate::control::socket::Bound;
use crate::control::{Actor, Handle, Socket};
use crate::endpoint::Client;
use crate::once::internal;
use crate::once::table::Table;
use crate::options::Options;
use crate::request::run::Worker;
use crate::shared::Shared;
use crate::supervisor::{Branch, keep_doing, supervise};
use crate::{admin, caller, deferred, housekeeping, orders, recording, stop, telemetry};

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
    let peers = Bound::new(settings.peer_listen).map_err(|source| Error::Socket {
        option: "peer_listen",
        source,
    })?;
    let peer = peers.address().map_err(Error::Server)?;
    let workers = settings.workers;
    let control = Arbiter::new();
    let life = incarnation(Clock::start());
    let Parts { shared, .. } = Parts::start(settings, life, address, peers, &control)?;
    // Its answers pass through this thread: kept apart from the control's.
    let background = Arbiter::new();
    let deferring = Arc::clone(&shared);
    supervise(&background.handle(), "deferred", move |guard| {
        deferred::Branch::new(Arc::clone(&deferring), guard)
    });
    let server = server(&shared, listener, workers)?;
    let stopping = actix_rt::spawn(stop::on_signal(Arc::clone(&shared), server.handle()));
    announce(address, peer, &shared.settings.name);
    server.await.map_err(Error::Server)?;
    if let Ok(stopped) = stopping.await {
        stopped.map_err(Error::Server)?;
    }
    deferred::branch::finish(&shared).await;
    orders::branch::finish(&shared).await;
    recording::finish(&shared, stop::left(&shared, LAST_COUNTS)).await;
    Ok(())
}

/// The parts of an entry behind its HTTP server.
pub struct Parts {
    /// What they share.
    pub shared: Arc<Shared>,
    /// The branch that decides.
    pub control: Branch<Actor>,
}

impl Parts {
    /// Starts them on the control thread, for one life of an entry whose server
    /// takes requests at this address.
    ///
    /// # Errors
    ///
    /// If a socket of the settings could not be opened.
    pub fn start(
        settings: Settings,
        life: name::Incarnation,
        address: SocketAddr,
        peers: Bound,
        thread: &Arbiter,
    ) -> Result<Self, Error> {
        let peer = peers.address().map_err(Error::Server)?;
        let control = Branch::default();
        let shared = Arc::new(shared(
            settings,
            life,
            Handle::new(control.clone()),
            address,
        )?);
        let own = own(&shared, peer);
        control_branch(&shared, thread, &control, own, peers);
        let claimed = Arc::clone(&shared);
        let table = shared.once.table.branch.clone();
        table.start(&thread.handle(), "claims", move |guard| {
            Table::new(Arc::clone(&claimed), guard)
        });
        let keep = |name, begin: fn(Arc<Shared>) -> LocalBoxFuture<'static, ()>| {
            let shared = Arc::clone(&shared);
            keep_doing(&thread.handle(), name, move || begin(Arc::clone(&shared)));
        };
        keep("watcher", |shared| watcher::watch(shared).boxed_local());
        keep("recording", |shared| {
            recording::keep_writing(shared).boxed_local()
        });
        keep("housekeeping", |shared| {
            housekeeping::keep_house(shared).boxed_local()
        });
        keep("orders", |shared| orders::branch::run(shared).boxed_local());
        Ok(Self { shared, control })
    }
}

/// How long the last counts may take to be written at a planned stop.
const LAST_COUNTS: Millis = Millis::from_secs(3);

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Socket {
        option: "listen",
        source,
    })
}

/// Random bits of an incarnation, below the milliseconds at which it began: a
/// later life has a larger number, and two entries that start in the same
/// millisecond share one with a probability of one in four million.
const RANDOM_BITS: u32 = 22;

fn incarnation(clock: Clock) -> name::Incarnation {
    let random: u64 = rand::random::<u64>() >> (u64::BITS - RANDOM_BITS);
    name::Incarnation(clock.unix().0 << RANDOM_BITS | random)
}

fn shared(
    settings: Settings,
    incarnation: name::Incarnation,
    control: Handle,
    bound: SocketAddr,
) -> Result<Shared, Error> {
    let clock = Clock::start();
    let metrics = telemetry::metrics::client(settings.metrics).map_err(|source| Error::Socket {
        option: "metrics",
        source,
    })?;
    let address = settings.advertise.unwrap_or(bound);
    Ok(Shared::new(
        settings,
        incarnation,
        control,
        clock,
        metrics,
        address,
    ))
}

/// The own entry, as the others are to know it.
fn own(shared: &Shared, peer: SocketAddr) -> Member {
    Member {
        name: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        data_centre: shared.settings.data_centre.clone(),
        peer,
        http: shared.once.address,
        standing: Standing::Live,
        version: 0,
        heartbeat: Heartbeat::default(),
        heard: Millis::ZERO,
    }
}

/// Starts the control branch; the sockets outlive its restarts.
fn control_branch(
    shared: &Arc<Shared>,
    control: &Arbiter,
    branch: &Branch<Actor>,
    own: Member,
    peers: Bound,
) {
    let key = Key::new(&shared.settings.fleet_key.0);
    let socket = Arc::new(Socket::new(peers, key, shared.incarnation));
    let shared = Arc::clone(shared);
    let generation = AtomicU32::new(1);
    branch.start(&control.handle(), "control", move |guard| {
        let machine = Machine::new(Start {
            own: own.clone(),
            generation: generation.fetch_add(1, Ordering::Relaxed),
            seed: rand::random(),
            policy: policy(&shared.settings.dispatch),
            limits: limits(&shared.settings.dispatch),
            unconfirmed_limit: shared.settings.dispatch.unconfirmed_limit,
        });
        Actor::new(machine, Arc::clone(&shared), Arc::clone(&socket), guard)
    });
}

fn policy(dispatch: &Dispatch) -> Policy {
    match dispatch.policy {
        dispatch::Policy::Permits => Policy::Permits,
        dispatch::Policy::TwoChoices => Policy::TwoChoices,
    }
}

fn limits(dispatch: &Dispatch) -> Limits {
    Limits {
        waiting_per_slot: dispatch.waiting_per_slot,
        share: dispatch.share,
        ..Limits::default()
    }
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
    let last_bytes = stop::last_bytes(shared.settings.grace);
    let shared = Arc::clone(shared);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(PayloadConfig::new(body_bytes))
            .app_data(Data::new(watcher::platform(&shared)))
            .app_data(Data::new(Worker {
                shared: Arc::clone(&shared),
                client: Client::new(),
                platform: watcher::platform(&shared),
            }))
            .configure(caller::routes)
            .configure(|config| internal::routes(config, body_bytes))
            .configure(admin::routes)
            .wrap(from_fn(caller::guard::guard))
    })
    .workers(workers)
    .disable_signals()
    .shutdown_timeout(last_bytes.as_secs())
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
