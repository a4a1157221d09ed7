//! Heeds what an endpoint says of itself in its answers, and what other entries were told.

use actix_http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::load_report;
use woodgap_core::relay::rate_limit::{Change, Notice};

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
pub fn merge_rate_limits(state: &State, notices: &[Notice], now: Millis) {
    let changes = state.rate_limits.borrow_mut().merge(notices, now);
    if changes.is_empty() {
        return;
    }
    let roster = state.roster.borrow();
    for (key, change) in changes {
        let mut listed = roster.listed();
        let endpoint = listed.find(|it| load_report::life_key(&it.life) == key);
        // Another entry may know of an endpoint first.
        let name = endpoint.map_or("", |it| it.life.id.as_str());
        log_change(name, change, "entry");
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
