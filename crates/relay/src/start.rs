//! Starts a relay: sockets, tasks, and their supervision.

pub mod sockets;

pub use sockets::Sockets;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use woodgap_core::clock::Millis;
use woodgap_settings::relay::Relay as Settings;

use crate::dialect::Dialect;
use crate::follow::usable;
use crate::front::Server;
use crate::front::server::Purpose;
use crate::gossip::{exchange, fetch};
use crate::metrics::Metrics;
use crate::source::Source;
use crate::source::row::UnusableRows;
use crate::state::{Announcement, State};
use crate::{duties, follow, logs, quarantine, scheduling, stop, streams, upkeep};

/// The pause before a task that ended is started again.
const RESTART: Millis = Millis(100);
/// How long after the start, and between two looks, it is seen to whether others
/// answer: the seeds have by then.
const ANNOUNCE: Millis = Millis(1_000);
/// How many entries tell the platform of themselves, for those whose seeds are all
/// gone: any one of them knows the others.
pub const ANNOUNCED: usize = 4;

/// Why the relay could not run.
#[derive(Debug, Error)]
pub enum Error {
    /// The settings are wrong.
    #[error("{0}")]
    Settings(String),
    /// A socket could not be opened.
    #[error("option `{option}` of the settings: {source}")]
    Socket {
        /// The option at fault.
        option: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
    /// Something that every process has could not be had.
    #[error("the process can't run: {0}")]
    Process(#[source] std::io::Error),
    /// Two metrics have one name.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

impl Error {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 3,
            Self::Socket { .. } | Self::Process(_) | Self::Metrics(_) => 1,
        }
    }
}

/// What a deployment brings: how things are said, and where they are learnt.
pub struct Form {
    /// How callers and endpoints say things.
    pub dialect: Box<dyn Dialect>,
    /// Where configuration and endpoints are learnt.
    pub source: Box<dyn Source>,
    /// What the duties of one entry at a time need, where there are any.
    pub duties: Option<duties::Form>,
}

/// Runs a relay until it is told to stop.
///
/// # Errors
///
/// If a socket could not be opened.
pub fn run(
    settings: Settings,
    form: impl FnOnce(&Settings) -> Result<Form, Error>,
) -> Result<(), Error> {
    logs::start(settings.log_level.as_str()).map_err(Error::Process)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Process)?;
    let ended = actix_rt::System::with_tokio_rt(move || runtime).block_on(serve(settings, form));
    // All tasks are gone by now and have said what became of their requests.
    log::logger().flush();
    ended
}

async fn serve(
    settings: Settings,
    form: impl FnOnce(&Settings) -> Result<Form, Error>,
) -> Result<(), Error> {
    let form = form(&settings)?;
    let state = open(settings, form)?;
    stop::stopped(&state).await.map_err(Error::Process)
}

/// Opens a relay's sockets and starts its tasks on this thread.
///
/// # Errors
///
/// If a socket could not be opened.
pub fn open(mut settings: Settings, form: Form) -> Result<Rc<State>, Error> {
    let sockets = Sockets::open(&mut settings)?;
    let state = State::new(
        settings,
        form.dialect,
        form.source,
        form.duties,
        Metrics::new()?,
    );
    let state = Rc::new(state);
    serve_http(&state, &sockets)?;
    talk(&state, sockets)?;
    supervise("configuration", &state, follow::plan);
    supervise("endpoints", &state, follow::endpoints);
    supervise("upkeep", &state, upkeep::run);
    supervise("announce", &state, announce);
    supervise("quarantine", &state, quarantine::run);
    supervise("duties", &state, duties::run);
    supervise("scheduling", &state, scheduling::run);
    supervise("streams", &state, streams::run);
    supervise("stored streams", &state, streams::storage::run);
    let settings = &state.settings;
    log::info!(
        entry = settings.name.as_str(), data_centre = settings.data_centre.as_str(),
        listen = settings.listen.to_string(), directory = settings.directory_listen.to_string(),
        ready = settings.ready_listen.to_string(), peer = settings.peer_listen.to_string(),
        metrics = settings.metrics_listen.map(|it| it.to_string()).unwrap_or_default(),
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    Ok(state)
}

fn serve_http(state: &Rc<State>, sockets: &Sockets) -> Result<(), Error> {
    let servers = [
        (Some(&sockets.requests), Purpose::Requests),
        (Some(&sockets.directory), Purpose::Directory),
        (Some(&sockets.ready), Purpose::Directory),
        (sockets.metrics.as_ref(), Purpose::Metrics),
    ];
    for (listener, purpose) in servers {
        let Some(listener) = listener else { continue };
        let listener = listener.try_clone().map_err(Error::Process)?;
        let server = Server::new(state, listener, purpose).map_err(Error::Process)?;
        actix_rt::spawn(server.run());
    }
    Ok(())
}

/// Takes and answers messages of other entries.
fn talk(state: &Rc<State>, sockets: Sockets) -> Result<(), Error> {
    let socket = UdpSocket::from_std(sockets.messages).map_err(Error::Process)?;
    let socket = Rc::new(socket);
    state.scheduling.set_socket(Rc::clone(&socket));
    state.streams.set_socket(Rc::clone(&socket));
    let listener = TcpListener::from_std(sockets.fetch).map_err(Error::Process)?;
    actix_rt::spawn(fetch::serve(Rc::clone(state), listener));
    supervise("exchange", state, move |state| {
        let socket = Rc::clone(&socket);
        async move {
            if let Err(error) = exchange::run(state, socket).await {
                log::warn!(error = error.to_string(); "messages of other entries can't be read");
            }
        }
    });
    Ok(())
}

/// Runs a task without end; starts it again should it end or panic.
fn supervise<F>(name: &'static str, state: &Rc<State>, task: impl Fn(Rc<State>) -> F + 'static)
where
    F: Future<Output = ()> + 'static,
{
    let state = Rc::clone(state);
    actix_rt::spawn(async move {
        loop {
            let ended = actix_rt::spawn(task(Rc::clone(&state))).await;
            log::error!(task = name, panicked = ended.is_err(); "a task ended and is started again");
            tokio::time::sleep(Duration::from_millis(RESTART.0)).await;
        }
    });
}

/// Tells the platform of this entry, and asks it for others while none answers.
async fn announce(state: Rc<State>) {
    let settings = &state.settings;
    let mut faults = UnusableRows::new("entries");
    loop {
        tokio::time::sleep(Duration::from_millis(ANNOUNCE.0)).await;
        let standing = state.standing();
        // One that stops is the last by its rank.
        let is_first = standing.has_converged() && standing.rank < ANNOUNCED;
        if is_first && state.announcement.get() != Announcement::Taken {
            state.announcement.set(Announcement::Unanswered);
            let announcing = state.source.announce(&settings.name, settings.peer_listen);
            match announcing.await {
                Ok(()) => state.announcement.set(Announcement::Taken),
                Err(error) => log::info!(error = error.to_string(); "not announced yet"),
            }
        }
        let is_alone = state.fleet.borrow().reachable(state.now()).next().is_none();
        if is_alone {
            ask_for_others(&state, &mut faults).await;
        }
    }
}

async fn ask_for_others(state: &Rc<State>, faults: &mut UnusableRows) {
    match state.source.entries().await {
        Ok(entries) => {
            faults.replace(&entries, &state.metrics);
            let own = state.settings.name.as_str();
            let others = entries.into_iter().filter(|row| row.key != own);
            state.hints.replace(others.filter_map(usable).collect());
        }
        Err(error) => log::info!(error = error.to_string(); "other entries are not known yet"),
    }
}
