//! Pool of idle connections to endpoints, or to other entries.

use std::collections::HashMap;
use std::hash::Hash;

use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::upstream::{Connection, Head};

/// How long a connection may stay idle if the endpoint sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Millis = Millis(4_000);
/// The share of the endpoint's keep-alive timeout for which a connection is kept, in
/// percent. The margin avoids sending a request while the endpoint closes the connection.
const KEEP_ALIVE_PERCENT: u64 = 75;
/// The maximum number of idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Connections keyed by an endpoint's life, so that an endpoint that restarts under the same
/// name never gets a request on a connection to its previous life.
#[derive(Debug)]
pub struct Pool<Key = name::Life> {
    lines: HashMap<Key, EndpointConnections>,
}

impl<Key> Default for Pool<Key> {
    fn default() -> Self {
        Self {
            lines: HashMap::new(),
        }
    }
}

#[derive(Debug, Default)]
struct EndpointConnections {
    idle: Vec<IdleConnection>,
    busy: usize,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Millis,
    expires_at: Millis,
}

impl<Key: Clone + Eq + Hash> Pool<Key> {
    /// Takes the most recently used idle connection that is still reusable, and returns it
    /// with its idle time. `max_idle` limits the idle time, if given. Idle connections that
    /// don't qualify are closed on the way.
    pub fn take(
        &mut self,
        endpoint: &Key,
        max_idle: Option<Millis>,
        now: Millis,
    ) -> Option<(Connection, Millis)> {
        let connections = self.lines.get_mut(endpoint)?;
        while let Some(idle) = connections.idle.pop() {
            let idle_time = now - idle.since;
            let is_within_limit = max_idle.is_none_or(|max_idle| idle_time <= max_idle);
            if is_within_limit && now < idle.expires_at && idle.connection.is_reusable() {
                return Some((idle.connection, idle_time));
            }
        }
        None
    }

    /// Counts a pooled or new connection as in use by a request.
    pub fn acquire(&mut self, endpoint: &Key) {
        self.lines.entry(endpoint.clone()).or_default().busy += 1;
    }

    /// Reverts [`Self::acquire`] when the request is done with its connection.
    pub fn release(&mut self, endpoint: &Key) {
        if let Some(connections) = self.lines.get_mut(endpoint) {
            connections.busy = connections.busy.saturating_sub(1);
        }
    }

    /// The number of connections in use by requests.
    pub fn busy(&self, endpoint: &Key) -> usize {
        self.lines
            .get(endpoint)
            .map_or(0, |connections| connections.busy)
    }

    /// Keeps a connection idle for up to `keep_alive`. It is closed instead if it is not
    /// reusable, if `keep_alive` is zero or if the endpoint has enough idle connections.
    pub fn put(
        &mut self,
        endpoint: &Key,
        mut connection: Connection,
        keep_alive: Millis,
        now: Millis,
    ) {
        if keep_alive == Millis::ZERO || !connection.is_reusable() {
            return;
        }
        let connections = self.lines.entry(endpoint.clone()).or_default();
        if connections.idle.len() < MAX_IDLE_CONNECTIONS {
            connection.release_buffer();
            connections.idle.push(IdleConnection {
                connection,
                since: now,
                expires_at: now + keep_alive,
            });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&mut self, endpoint: &Key) {
        if let Some(connections) = self.lines.get_mut(endpoint) {
            connections.idle.clear();
        }
    }

    /// Closes idle connections that have expired or were closed by the endpoint, and removes
    /// endpoints without connections.
    pub fn sweep(&mut self, now: Millis) {
        for connections in self.lines.values_mut() {
            connections
                .idle
                .retain(|idle| now < idle.expires_at && idle.connection.is_reusable());
        }
        self.lines
            .retain(|_, connections| connections.busy > 0 || !connections.idle.is_empty());
    }
}

/// How long a connection may stay idle after this response; zero if it must be closed.
pub fn keep_alive_duration(head: &Head) -> Millis {
    if !head.keeps_alive {
        return Millis::ZERO;
    }
    let Some(text) = head.header_str("keep-alive") else {
        return DEFAULT_KEEP_ALIVE;
    };
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters
        .filter_map(|parameter| parameter.strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse::<u64>().ok());
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| {
        Millis(seconds.saturating_mul(1_000) * KEEP_ALIVE_PERCENT / 100)
    })
}
