//! One small HTTP server for each stand-in, and how it cuts a connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::body::{SizedStream, to_bytes};
use actix_web::dev::Server;
use actix_web::web::{self, Bytes, ServiceConfig};
use actix_web::{App, HttpResponse, HttpServer};
use futures_util::{StreamExt, stream};
use thiserror::Error;

/// The largest body taken, in bytes: the largest deferred payload fits.
const BODY_LIMIT: usize = 64 * 1024 * 1024;

/// How long an idle connection stays open: longer than clients keep theirs, so
/// that a reused one is not closed under a request.
const KEEP_ALIVE: Duration = Duration::from_mins(2);

/// Between the last bytes sent and a cut: the server writes out what it has
/// whenever a body pauses, and drops it when a body fails.
pub const FLUSH: Duration = Duration::from_millis(1);

/// A bound stand-in.
pub struct Bound {
    /// Serves while it is awaited; SIGTERM and SIGINT end it.
    pub server: Server,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it stands in for.
    pub role: &'static str,
}

impl Bound {
    /// The line that tells the caller of the program where it listens.
    pub fn ready(&self) -> String {
        format!(r#"{{"ready":"{}","role":"{}"}}"#, self.address, self.role)
    }
}

/// Why a body ends: the connection is closed without the rest of the answer.
#[derive(Clone, Copy, Debug, Error)]
#[error("the connection is cut on purpose")]
pub struct Cut;

/// An answer that closes the connection before its first byte.
pub fn cut() -> HttpResponse {
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, Cut>(Cut)]))
}

/// The answer with its whole length announced, cut half-way.
pub async fn cut_half(response: HttpResponse) -> HttpResponse {
    let (response, body) = response.into_parts();
    let body = to_bytes(body).await.unwrap_or_default();
    let half = body.slice(..body.len() / 2);
    let end = stream::once(async {
        actix_web::rt::time::sleep(FLUSH).await;
        Err(Cut)
    });
    let parts = stream::iter([Ok(half)]).chain(end).boxed_local();
    let body = SizedStream::new(body.len() as u64, parts);
    response.set_body(body).map_into_boxed_body()
}

/// Binds a server with one worker: many stand-ins share one machine.
///
/// # Errors
///
/// When the address can't be bound.
pub fn bind<F>(listen: SocketAddr, role: &'static str, configure: F) -> io::Result<Bound>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let app = move || {
        App::new()
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
            .configure(configure.clone())
    };
    let server = HttpServer::new(app)
        .workers(1)
        .worker_max_blocking_threads(1)
        .keep_alive(KEEP_ALIVE)
        // A busy machine must not turn into refused requests.
        .client_request_timeout(Duration::ZERO)
        // A caller that closes its connection ends its run at once.
        .h1_allow_half_closed(false)
        // Each event goes out when it is due.
        .tcp_nodelay(true)
        .shutdown_timeout(0)
        .bind(listen)?;
    let address = server.addrs()[0];
    Ok(Bound {
        server: server.run(),
        address,
        role,
    })
}
