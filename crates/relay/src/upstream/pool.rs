//! Connections to endpoints that rest between two requests.

use std::collections::HashMap;

use woodgap_core::clock::Millis;
use woodgap_core::name;

use crate::upstream::{Connection, Head};

/// How long a connection rests at most where the endpoint names no time.
const DEFAULT_REST: Millis = Millis(4_000);
/// The part of the endpoint's own time that a connection rests at most, in
/// hundredths: so that it is not used at the moment at which it is closed.
const REST_PART: u64 = 75;
/// The most connections that rest for one endpoint.
const MOST_RESTING: usize = 16;

/// Connections by an endpoint's life: one that starts again under its name never gets
/// a request on a connection of its former life.
#[derive(Debug, Default)]
pub struct Pool {
    lines: HashMap<name::Life, Line>,
}

#[derive(Debug, Default)]
struct Line {
    resting: Vec<Resting>,
    busy: usize,
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    since: Millis,
    until: Millis,
}

impl Pool {
    /// A resting connection that is still sound, the one used last, and how long it
    /// has rested; `most` is the longest rest, where there is a bound.
    pub fn take(
        &mut self,
        endpoint: &name::Life,
        most: Option<Millis>,
        now: Millis,
    ) -> Option<(Connection, Millis)> {
        let line = self.lines.get_mut(endpoint)?;
        while let Some(resting) = line.resting.pop() {
            let rested = now - resting.since;
            let is_short = most.is_none_or(|most| rested <= most);
            if is_short && now < resting.until && resting.connection.is_reusable() {
                return Some((resting.connection, rested));
            }
        }
        None
    }

    /// Counts a connection that is taken or opened for a request.
    pub fn acquire(&mut self, endpoint: &name::Life) {
        self.lines.entry(endpoint.clone()).or_default().busy += 1;
    }

    /// Counts it off again.
    pub fn release(&mut self, endpoint: &name::Life) {
        if let Some(line) = self.lines.get_mut(endpoint) {
            line.busy = line.busy.saturating_sub(1);
        }
    }

    /// How many connections requests are using.
    pub fn busy(&self, endpoint: &name::Life) -> usize {
        self.lines.get(endpoint).map_or(0, |line| line.busy)
    }

    /// Keeps a connection for later, if it can be used again.
    pub fn put(
        &mut self,
        endpoint: &name::Life,
        mut connection: Connection,
        rest: Millis,
        now: Millis,
    ) {
        if rest == Millis::ZERO || !connection.is_reusable() {
            return;
        }
        let line = self.lines.entry(endpoint.clone()).or_default();
        if line.resting.len() < MOST_RESTING {
            connection.release_buffer();
            line.resting.push(Resting {
                connection,
                since: now,
                until: now + rest,
            });
        }
    }

    /// Closes the resting connections to an endpoint.
    pub fn close(&mut self, endpoint: &name::Life) {
        if let Some(line) = self.lines.get_mut(endpoint) {
            line.resting.clear();
        }
    }

    /// Closes connections that have rested long enough or were closed by the
    /// endpoint, and forgets endpoints of which nothing is left.
    pub fn sweep(&mut self, now: Millis) {
        for line in self.lines.values_mut() {
            line.resting
                .retain(|resting| now < resting.until && resting.connection.is_reusable());
        }
        self.lines
            .retain(|_, line| line.busy > 0 || !line.resting.is_empty());
    }
}

/// How long a connection may rest after this answer.
pub fn keep_alive_duration(head: &Head) -> Millis {
    if !head.keeps_alive {
        return Millis::ZERO;
    }
    let Some(text) = head.header_str("keep-alive") else {
        return DEFAULT_REST;
    };
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters
        .filter_map(|parameter| parameter.strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse::<u64>().ok());
    seconds.map_or(DEFAULT_REST, |seconds| {
        Millis(seconds.saturating_mul(1_000) * REST_PART / 100)
    })
}
