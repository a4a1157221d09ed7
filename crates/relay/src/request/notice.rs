//! Heeds what an endpoint says of itself in its answers, and what other entries were told.

use actix_http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::rate_limit::{self, Change};
use woodgap_core::relay::{brittle, departure, load_report};

use crate::dialect::{Decline, Field, Reply};
use crate::state::State;

/// Records what the head of an answer says about its endpoint, whether or not this entry has asked
/// for that answer.
pub fn record_reply(state: &State, endpoint: &name::Life, reply: &Reply<'_>, status: StatusCode) {
    if reply.declined == Some(Decline::Misdirected) {
        // The answer is from another endpoint at this one's address.
        return;
    }
    record_rate_limit(state, endpoint, reply.rate_limit, status);
    record_brittleness(state, endpoint, reply.brittle);
    if reply.leaving == Field::Valid(true) {
        record_departure(state, endpoint);
    }
    record_back_off(state, endpoint, reply, status);
}

fn record_brittleness(state: &State, endpoint: &name::Life, refusals_per_second: Field<f64>) {
    let Field::Valid(refusals_per_second) = refusals_per_second else {
        return;
    };
    let roster = state.roster.borrow();
    let Some(service) = roster.get(endpoint).map(|it| &it.service) else {
        return;
    };
    if state.brittle.borrow_mut().record(service, state.now()) {
        log::info!(
            service = service.as_str(), endpoint = endpoint.id.as_str(),
            refusals_per_second = refusals_per_second;
            "the endpoints of a service are brittle"
        );
        state.news.notify_one();
    }
}

/// Takes over which services another entry has heard to be brittle.
pub fn merge_brittleness(state: &State, notices: &[brittle::Notice], now: Millis) {
    if state.brittle.borrow_mut().merge(notices, now) {
        log::info!("the endpoints of a service are brittle, as another entry tells");
        // Others hear of it from more than one entry.
        state.news.notify_one();
    }
}

fn record_back_off(state: &State, endpoint: &name::Life, reply: &Reply<'_>, status: StatusCode) {
    let now = state.now();
    let mut back_offs = state.back_offs.borrow_mut();
    if let Field::Valid(span) = reply.back_off {
        if back_offs.record(endpoint, span, rand::random(), now) {
            log::info!(endpoint = endpoint.id.as_str(), for_ms = span.0; "an endpoint asks for a back-off");
        }
        return;
    }
    if reply.declined.is_some() {
        back_offs.record_declined(endpoint, rand::random(), now);
        return;
    }
    let is_taken = status != StatusCode::SERVICE_UNAVAILABLE;
    if is_taken && back_offs.record_taken(endpoint, now) {
        log::info!(endpoint = endpoint.id.as_str(); "an endpoint takes requests again");
    }
}

fn record_departure(state: &State, endpoint: &name::Life) {
    let now = state.now();
    if state.roster.borrow_mut().record_departure(endpoint, now) {
        log_departure(endpoint.id.as_str(), "answer");
        state.news.notify_one();
    }
}

/// Takes over which endpoints another entry has heard to be leaving.
pub fn merge_departures(state: &State, notices: &[departure::Notice], now: Millis) {
    let new = state.roster.borrow_mut().merge_departures(notices, now);
    if new.is_empty() {
        return;
    }
    for key in new {
        log_departure(&listed_name(state, key), "entry");
    }
    // Others hear of it from more than one entry.
    state.news.notify_one();
}

fn log_departure(endpoint: &str, source: &str) {
    log::info!(endpoint = endpoint, source = source; "an endpoint says that it is leaving");
}

/// The name of the endpoint with this [`load_report::life_key`]; empty if none is listed, as
/// another entry may know of it first.
fn listed_name(state: &State, key: u32) -> String {
    let roster = state.roster.borrow();
    let mut listed = roster.listed();
    let endpoint = listed.find(|it| load_report::life_key(&it.life) == key);
    endpoint.map_or_else(String::new, |it| it.life.id.to_string())
}

/// Only a successful answer without a limit shows that there is none: an error may come from a
/// part of the endpoint that does not know of it.
fn record_rate_limit(state: &State, endpoint: &name::Life, limit: Field<f64>, status: StatusCode) {
    let now = state.now();
    let mut limits = state.rate_limits.borrow_mut();
    let change = match limit {
        Field::Valid(per_second) => limits.record(endpoint, Some(per_second), now),
        Field::Missing if status.is_success() => limits.record(endpoint, None, now),
        Field::Missing => None,
        Field::Invalid => {
            if limits.record_invalid(endpoint) {
                log::warn!(endpoint = endpoint.id.as_str(); "an endpoint's rate limit can't be read");
            }
            None
        }
    };
    if let Some(change) = change {
        log_change(endpoint.id.as_str(), change, "answer");
        state.news.notify_one();
    }
}

/// Takes over the rate limits that another entry tells.
pub fn merge_rate_limits(state: &State, notices: &[rate_limit::Notice], now: Millis) {
    let changes = state.rate_limits.borrow_mut().merge(notices, now);
    if changes.is_empty() {
        return;
    }
    for (key, change) in changes {
        log_change(&listed_name(state, key), change, "entry");
    }
    // Others hear of it from more than one entry.
    state.news.notify_one();
}

fn log_change(endpoint: &str, change: Change, source: &str) {
    match change {
        Change::Named(per_second) => log::info!(
            endpoint = endpoint, per_second = per_second, source = source;
            "an endpoint names a rate limit"
        ),
        Change::Lifted => log::info!(
            endpoint = endpoint, source = source;
            "an endpoint names no rate limit any more"
        ),
    }
}
