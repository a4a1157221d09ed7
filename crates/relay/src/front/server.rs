//! HTTP servers on the thread that all of the relay runs on.
//!
//! `actix-web` starts threads of its own for its workers, and state shared with
//! them needs locks and more memory; one small process per instance wants one
//! thread. So this goes one floor down in the same family, to `actix-http`.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpService, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpListener;
use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::Limits;

use crate::front::{Stream, directory};
use crate::request::run;
use crate::state::State;

/// How long the last bytes of an answer may take to reach a caller that closes.
const DISCONNECT: Duration = Duration::from_secs(1);
/// How much of an answer waits for a slow caller, in bytes.
const WRITE_BUFFER: usize = 16 * 1024;
/// Descriptors that are left for endpoints, other entries and the platform: the
/// others are for callers.
const CALLERS_PART: usize = 2;

/// What a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' requests.
    Requests,
    /// Questions to the entry itself.
    Directory,
    /// Metrics.
    Metrics,
}

/// When a caller opened its connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectedAt(pub Millis);

type Handler = Rc<dyn Fn(Stream) -> LocalBoxFuture<'static, ()>>;

/// An HTTP server.
pub struct Server {
    state: Rc<State>,
    purpose: Purpose,
    listener: TcpListener,
    handler: RefCell<Option<(Limits, Handler)>>,
}

impl Server {
    /// A server on a listener that does not block.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn new(
        state: &Rc<State>,
        listener: std::net::TcpListener,
        purpose: Purpose,
    ) -> io::Result<Self> {
        Ok(Self {
            state: Rc::clone(state),
            purpose,
            listener: TcpListener::from_std(listener)?,
            handler: RefCell::default(),
        })
    }

    /// Takes connections for as long as the process runs.
    pub async fn run(self) {
        let most = self.state.settings.descriptors / CALLERS_PART;
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if self.state.connections.get() < most => {
                    self.take(stream).await;
                }
                Ok(_) => {
                    log::warn!(connections = most; "a connection was closed: too many are open");
                }
                Err(error) => {
                    log::warn!(error = error.to_string(); "a connection can't be taken");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn take(&self, stream: TcpStream) {
        let Ok(stream) = Stream::new(stream, &self.state) else {
            return;
        };
        let handler = self.handler().await;
        let state = Rc::clone(&self.state);
        actix_rt::spawn(async move {
            state.connections.set(state.connections.get() + 1);
            handler(stream).await;
            state.connections.set(state.connections.get() - 1);
        });
    }

    /// The handler for the limits that are in force; connections that were taken
    /// earlier keep theirs.
    async fn handler(&self) -> Handler {
        let limits = self.limits();
        let made = self.handler.borrow().clone();
        if let Some((_, handler)) = made.filter(|(made_for, _)| *made_for == limits) {
            return handler;
        }
        let handler = make(&self.state, self.purpose, &limits).await;
        *self.handler.borrow_mut() = Some((limits, Rc::clone(&handler)));
        handler
    }

    fn limits(&self) -> Limits {
        let force = self.state.force.borrow();
        force
            .table()
            .map_or_else(Limits::default, |table| *table.limits())
    }
}

async fn make(state: &Rc<State>, purpose: Purpose, limits: &Limits) -> Handler {
    let serving = Rc::clone(state);
    let service = fn_service(move |request: Request| {
        let state = Rc::clone(&serving);
        async move { Ok::<_, Infallible>(respond(state, purpose, request).await) }
    });
    let factory = HttpService::build()
        .on_connect_ext(|stream: &Stream, data| {
            data.insert(ConnectedAt(stream.connected_at()));
        })
        .keep_alive(Duration::from_millis(limits.idle_timeout.0))
        .client_request_timeout(Duration::from_millis(limits.header_timeout.0))
        .client_disconnect_timeout(DISCONNECT)
        // A caller that closes its sending half has given up, as HTTP clients do.
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER)
        .h1(service);
    match factory.new_service(()).await {
        Ok(service) => {
            let service = Rc::new(service);
            Rc::new(move |stream| {
                let service = Rc::clone(&service);
                Box::pin(async move {
                    // Nothing here asks for the caller's address.
                    if let Err(error) = service.call((stream, None)).await {
                        log::debug!(error = error.to_string(); "a caller's connection ended");
                    }
                })
            })
        }
        // The factory of a function can't fail; a dropped connection tells if it did.
        Err(()) => Rc::new(|_| Box::pin(async { log::error!("no HTTP service could be made") })),
    }
}

async fn respond(state: Rc<State>, purpose: Purpose, request: Request) -> Response<BoxBody> {
    let is_stopping = state.stopping_since().is_some();
    let mut response = match purpose {
        Purpose::Requests => run::serve(Rc::clone(&state), request).await,
        Purpose::Directory => directory::answer(&state, &request),
        Purpose::Metrics => directory::metrics(&state, &request),
    };
    if is_stopping || state.stopping_since().is_some() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
