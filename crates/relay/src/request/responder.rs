//! Where a response comes from: an endpoint, or another entry that has passed on an endpoint's.

use actix_http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::relay::health::HealthSignal;

use crate::request::crash::End;
use crate::request::handover::Handover;
use crate::request::placement::Placement;
use crate::upstream::{Connection, Error};

/// The other side of a request. What its response shows about an endpoint is recorded by the
/// entry that sent the request there.
pub enum Responder {
    /// An endpoint.
    Endpoint(Placement),
    /// Another entry.
    Entry(Handover),
}

impl Responder {
    fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Endpoint(placement) => Some(placement),
            Self::Entry(_) => None,
        }
    }

    /// Records that the endpoint has started the request.
    pub fn record_start(&self) {
        if let Some(placement) = self.placement() {
            placement.record_start();
        }
    }

    /// Records a health signal for the endpoint.
    pub fn record_signal(&self, signal: HealthSignal) {
        if let Some(placement) = self.placement() {
            placement.record_signal(signal);
        }
    }

    /// Records that the endpoint survived the request.
    pub fn record_survival(&self, status: StatusCode) {
        if let Some(placement) = self.placement() {
            placement.record_survival(status);
        }
    }

    /// Checks a response that has ended with its connection. Returns whether it is taken for
    /// complete. Another entry marks the ends of all responses.
    pub async fn is_complete(&self, end: End) -> bool {
        match self {
            Self::Endpoint(placement) => placement.is_complete(end).await,
            Self::Entry(_) => true,
        }
    }

    /// Records that reading the response failed.
    pub fn record_failure(&self, error: &Error) {
        if let Some(placement) = self.placement() {
            placement.record_failure(error);
        }
    }

    /// Records a chunk of the response.
    pub fn event(&self) {
        if let Some(placement) = self.placement() {
            placement.event();
        }
    }

    /// Returns the connection to its pool if it can be reused.
    pub fn return_connection(&self, connection: Connection, max_idle: Millis) {
        match self {
            Self::Endpoint(placement) => placement.return_connection(connection, max_idle),
            Self::Entry(handover) => handover.return_connection(connection),
        }
    }
}
