//! What is known of one endpoint name.

use crate::clock::Millis;
use crate::name;
use crate::relay::roster::Endpoint;

/// How long a row with an earlier start is held unconfirmed: a few times the interval of about one
/// second at which a running endpoint rewrites its row.
const CONFIRMATION_DELAY: Millis = Millis(4_000);

/// Whether an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Availability {
    /// It may be used.
    Ready,
    /// Its row is missing. Until the given time it is used if no other endpoint is ready.
    Unlisted(Millis),
    /// It must not be used.
    Leaving,
    /// Another endpoint answers at its address. Until the given time, or until its row changes, it
    /// is used only if no other endpoint is ready.
    AddressReused(Millis),
}

/// State of one endpoint name.
#[derive(Debug)]
pub(super) struct Record {
    pub endpoint: Endpoint,
    pub availability: Availability,
    /// Until when it can sustain only a low request rate.
    pub cold_until: Millis,
    /// The listed life with the latest start. A row without a start does not reset it.
    pub latest_life: name::Life,
    /// A row with an earlier start that was listed after this one, and when it will be accepted.
    pub unconfirmed: Option<(Endpoint, Millis)>,
}

impl Record {
    pub fn new(endpoint: &Endpoint, now: Millis) -> Self {
        let availability = if endpoint.leaving {
            Availability::Leaving
        } else {
            Availability::Ready
        };
        Self {
            endpoint: endpoint.clone(),
            availability,
            cold_until: now + endpoint.cold_for,
            latest_life: endpoint.life.clone(),
            unconfirmed: None,
        }
    }

    /// The row as last listed.
    pub fn listed(&self) -> &Endpoint {
        self.unconfirmed
            .as_ref()
            .map_or(&self.endpoint, |(row, _)| row)
    }

    pub fn is_ready(&self, now: Millis) -> bool {
        match self.availability {
            Availability::Ready => true,
            Availability::AddressReused(until) => until <= now,
            Availability::Unlisted(_) | Availability::Leaving => false,
        }
    }

    pub fn is_fallback(&self, now: Millis) -> bool {
        match self.availability {
            Availability::Unlisted(until) => until > now,
            Availability::AddressReused(_) => true,
            Availability::Ready | Availability::Leaving => false,
        }
    }

    /// Whether a row of it is listed. An unlisted endpoint has one only while an unconfirmed row is
    /// held.
    pub fn is_listed(&self) -> bool {
        !matches!(self.availability, Availability::Unlisted(_)) || self.unconfirmed.is_some()
    }

    /// Whether it can be dropped. An unconfirmed row outlasts the fallback period of the life
    /// before it: it may be of a running endpoint whose clock was set back.
    pub fn is_expired(&self, now: Millis) -> bool {
        let has_lapsed = matches!(self.availability, Availability::Unlisted(until) if until <= now);
        has_lapsed && self.unconfirmed.is_none()
    }

    /// When a row that is listed now will be accepted. A repeated row keeps its first deadline: a
    /// running endpoint writes its row every second, and would never be accepted otherwise.
    pub fn confirmation_time(&self, row: &Endpoint, now: Millis) -> Millis {
        let pending = self.unconfirmed.as_ref();
        let pending = pending.filter(|(unconfirmed, _)| unconfirmed.life == row.life);
        pending.map_or(now + CONFIRMATION_DELAY, |(_, until)| *until)
    }
}
