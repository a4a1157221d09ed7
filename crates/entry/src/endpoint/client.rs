//! Connections to endpoints.

use std::time::Duration;

use awc::ClientRequest;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use woodgap_platform::connect;

/// Connections that one worker thread keeps to all endpoints together.
const CONNECTIONS: usize = 10_000;
/// How long a connection to an endpoint may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an idle connection is kept: less than the five seconds after which
/// common servers close theirs, so that a request seldom meets the close.
const KEEP_ALIVE: Duration = Duration::from_secs(3);

/// Sends requests to endpoints; an answer that was cut off is an error.
///
/// A kept connection that its endpoint closes at the moment of the next request
/// leaves open whether that request ran. A request that may be repeated is sent
/// again; any other goes over a connection of its own.
#[derive(Clone)]
pub struct Client {
    kept: awc::Client,
    fresh: awc::Client,
}

impl Client {
    /// A client for one thread.
    pub fn new() -> Self {
        Self {
            kept: connections(KEEP_ALIVE),
            fresh: connections(Duration::ZERO),
        }
    }

    /// A request to an endpoint.
    pub fn request(&self, method: Method, url: &str, repeatable: bool) -> ClientRequest {
        if repeatable {
            self.kept.request(method, url)
        } else {
            self.fresh.request(method, url).force_close()
        }
    }
}

fn connections(keep_alive: Duration) -> awc::Client {
    let connector = connect::strict()
        .limit(CONNECTIONS)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(keep_alive);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether a failed request never left, so that no endpoint can have run it.
pub fn unsent(error: &SendRequestError) -> bool {
    match error {
        // The library's name for a connection that was closed after the request
        // was written to it.
        SendRequestError::Connect(ConnectError::Disconnected) => false,
        SendRequestError::Connect(_) => true,
        _ => false,
    }
}
