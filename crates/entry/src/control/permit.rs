//! A granted place at an endpoint, given back when it is dropped.

use std::net::SocketAddr;

use woodgap_core::clock::Millis;
use woodgap_core::control::{Done, Event, Grant, Outcome};
use woodgap_core::name;
use woodgap_platform::clock::Clock;

use crate::control::Handle;

/// A granted place. Dropping it unfinished gives it back as cancelled.
pub struct Permit {
    grant: Grant,
    handle: Handle,
    clock: Clock,
    granted: Millis,
    first_token: Option<Millis>,
    tokens: u64,
    outcome: Outcome,
}

impl Permit {
    /// Holds a grant.
    pub fn new(grant: Grant, handle: Handle, clock: Clock) -> Self {
        let granted = clock.now();
        Self {
            grant,
            handle,
            clock,
            granted,
            first_token: None,
            tokens: 0,
            outcome: Outcome::Cancelled,
        }
    }

    /// The endpoint.
    pub fn endpoint(&self) -> &name::Endpoint {
        &self.grant.endpoint
    }

    /// Where the endpoint takes requests.
    pub fn address(&self) -> SocketAddr {
        self.grant.address
    }

    /// The priority inside the engine.
    pub fn priority(&self) -> u8 {
        self.grant.priority
    }

    /// Counts a token (or a call) that the endpoint produced.
    pub fn count_token(&mut self) {
        if self.first_token.is_none() {
            self.first_token = Some(self.clock.now() - self.granted);
        }
        self.tokens += 1;
    }

    /// Tokens (or calls) counted so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// When the first token came, on the entry's clock.
    pub fn first_token_at(&self) -> Option<Millis> {
        self.first_token.map(|span| self.granted + span)
    }

    /// Gives the place back with the outcome.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.handle.ledger().ended(self.grant.request);
        self.handle.tell(Event::Done(Done {
            request: self.grant.request,
            permit: self.grant.permit,
            outcome: self.outcome,
            tokens: self.tokens,
            first_token: self.first_token,
            elapsed: self.clock.now() - self.granted,
        }));
    }
}
