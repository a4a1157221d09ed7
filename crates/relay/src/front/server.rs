//! HTTP servers that run on the relay's single thread.
//!
//! `actix-web` starts its own worker threads, and state shared with them needs locks and
//! more memory. The relay is one small process per instance and runs on one thread, so it
//! uses the lower-level `actix-http` directly.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{ConnectionType, HttpMessage, HttpService, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpListener;
use woodgap_core::clock::Millis;
use woodgap_core::relay::plan::Limits;
use woodgap_intake::{Connection, Served, Serving};

use crate::front::{Stream, directory};
use crate::request::admit::{self, Origin};
use crate::request::run;
use crate::state::State;

/// How long flushing the rest of a response may take when a caller's connection closes.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The size of the response buffer per connection for slow callers, in bytes.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// How long connections of other entries may rest; longer than these keep them.
const HANDOVER_KEEP_ALIVE: Duration = Duration::from_secs(10);
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// What other entries may add to the header of a request that they hand over, in bytes.
const HANDOVER_HEADER_BYTES: usize = 1024;

/// Which requests a server handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Callers' requests, which are forwarded to endpoints.
    Requests,
    /// Requests that other entries hand over.
    Handovers,
    /// The list of entries, and the entry's readiness.
    Directory,
    /// The entry's metrics.
    Metrics,
}

/// When a caller's connection was accepted; kept as connection data for its requests.
#[derive(Clone, Copy, Debug)]
pub struct ConnectedAt(pub Millis);

type Handler = Rc<dyn Fn(Stream) -> LocalBoxFuture<'static, ()>>;

/// An HTTP server on one listener.
pub struct Server {
    acceptor: Acceptor,
    listener: TcpListener,
}

/// Serves connections that were accepted.
pub struct Acceptor {
    state: Rc<State>,
    purpose: Purpose,
    handler: RefCell<Option<(Limits, Handler)>>,
}

impl Server {
    /// Creates a server on a non-blocking listener.
    ///
    /// # Errors
    ///
    /// If the listener can't be registered with the runtime.
    pub fn new(
        state: &Rc<State>,
        listener: std::net::TcpListener,
        purpose: Purpose,
    ) -> io::Result<Self> {
        Ok(Self {
            acceptor: Acceptor::new(state, purpose),
            listener: TcpListener::from_std(listener)?,
        })
    }

    /// Accepts connections for as long as the process runs.
    pub async fn run(self) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    // One for which there is no place is closed with its request unread.
                    if let Some(connection) = self.acceptor.register() {
                        self.acceptor.take(stream, connection).await;
                    }
                }
                Err(error) => recover(&self.acceptor.state, &error).await,
            }
        }
    }
}

/// Waits until connections may be accepted again: where the process has no descriptor left, those
/// give way that say nothing.
pub async fn recover(state: &State, error: &io::Error) {
    log::warn!(error = error.to_string(); "failed to accept a connection");
    state.intake.close_silent();
    tokio::time::sleep(ACCEPT_PAUSE).await;
}

impl Acceptor {
    /// Serves connections for this purpose.
    pub fn new(state: &Rc<State>, purpose: Purpose) -> Self {
        Self {
            state: Rc::clone(state),
            purpose,
            handler: RefCell::default(),
        }
    }

    /// A place for a connection that was just accepted, if there is one.
    pub fn register(&self) -> Option<Rc<Connection>> {
        let header_bytes = self.limits().header_bytes;
        let header_bytes = match self.purpose {
            Purpose::Handovers => header_bytes + HANDOVER_HEADER_BYTES,
            Purpose::Requests | Purpose::Directory | Purpose::Metrics => header_bytes,
        };
        self.state.intake.open(header_bytes)
    }

    /// Serves a connection that was just accepted, until it ends or has to give way.
    pub async fn take(&self, stream: TcpStream, connection: Rc<Connection>) {
        let Ok(stream) = Stream::new(stream, &connection, &self.state) else {
            return;
        };
        let handler = self.handler().await;
        actix_rt::spawn(async move {
            tokio::select! {
                () = handler(stream) => {}
                () = connection.ended() => {}
            }
        });
    }

    /// The handler for the limits that are in force. Connections that were accepted earlier
    /// keep the limits of that time.
    async fn handler(&self) -> Handler {
        let limits = self.limits();
        let cached = self.handler.borrow().clone();
        if let Some((_, handler)) = cached.filter(|(cached_limits, _)| *cached_limits == limits) {
            return handler;
        }
        let handler = make_handler(&self.state, self.purpose, &limits).await;
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

async fn make_handler(state: &Rc<State>, purpose: Purpose, limits: &Limits) -> Handler {
    let handler_state = Rc::clone(state);
    let service = fn_service(move |request: Request| {
        let state = Rc::clone(&handler_state);
        async move { Ok::<_, Infallible>(respond(state, purpose, request).await) }
    });
    let factory = HttpService::build()
        .on_connect_ext(|stream: &Stream, data| {
            data.insert(ConnectedAt(stream.connected_at()));
            data.insert(Rc::clone(stream.connection()));
        })
        .keep_alive(keep_alive(purpose, limits))
        .client_request_timeout(Duration::from_millis(limits.header_timeout.0))
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        // HTTP clients half-close a connection only when they abandon the request.
        .h1_allow_half_closed(false)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .h1(service);
    match factory.new_service(()).await {
        Ok(service) => {
            let service = Rc::new(service);
            Rc::new(move |stream| {
                let service = Rc::clone(&service);
                Box::pin(async move {
                    // The peer address is not used.
                    if let Err(error) = service.call((stream, None)).await {
                        log::debug!(error = error.to_string(); "caller connection ended with an error");
                    }
                })
            })
        }
        // The factory made by `fn_service` can't fail. If it did, connections would be dropped
        // and the error logged.
        Err(()) => {
            Rc::new(|_| Box::pin(async { log::error!("failed to create the HTTP service") }))
        }
    }
}

fn keep_alive(purpose: Purpose, limits: &Limits) -> Duration {
    match purpose {
        Purpose::Handovers => HANDOVER_KEEP_ALIVE,
        Purpose::Requests | Purpose::Directory | Purpose::Metrics => {
            Duration::from_millis(limits.idle_timeout.0)
        }
    }
}

async fn respond(state: Rc<State>, purpose: Purpose, request: Request) -> Response<BoxBody> {
    let is_stopping = state.stopping_since().is_some();
    let serving = begin(&request);
    let mut response = match purpose {
        Purpose::Requests => run::serve(Rc::clone(&state), request, Origin::Caller, &serving).await,
        Purpose::Handovers => run::serve(Rc::clone(&state), request, Origin::Entry, &serving).await,
        Purpose::Directory => directory::answer(&state, &request),
        Purpose::Metrics => directory::metrics(&state, &request),
    };
    // What is left of a body is no request.
    if is_stopping || state.stopping_since().is_some() || serving.has_rest() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response.map_body(|_, body| BoxBody::new(Served::new(body, serving)))
}

/// Tells the request's connection that its head is complete.
fn begin(request: &Request) -> Serving {
    let connection = request.conn_data::<Rc<Connection>>();
    let connection = connection.expect("every connection is registered when it is accepted");
    connection.begin(admit::has_body(request.headers()))
}
