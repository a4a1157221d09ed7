//! Requests about the entry itself: the list of entries to use, readiness and metrics.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::fleet::MIN_LOCAL_ENTRIES;

use crate::dialect::Question;
use crate::state::State;

/// How long callers may cache a list of entries. It is short, since callers use an entry that
/// stops for up to three times as long.
const MAX_LIFETIME: Millis = Millis(1_000);
/// The maximum number of entries in a list.
const MAX_ENTRIES: usize = 64;
/// The path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Responds to readiness and directory requests, and with 404 to any other.
pub fn answer(state: &Rc<State>, request: &Request) -> Response<BoxBody> {
    let query = request.uri().query().unwrap_or_default();
    match state.dialect.question(request.path(), query) {
        Some(Question::Ready) if state.is_ready() => {
            Response::with_body(StatusCode::OK, BoxBody::new(""))
        }
        Some(Question::Ready) => {
            Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new(""))
        }
        Some(Question::Entries(near)) => {
            let addresses = entries(state, near.as_ref());
            let lifetime = MAX_LIFETIME.min(state.settings.bounds.entries_lifetime);
            json(state.dialect.entries(&addresses, lifetime))
        }
        None => Response::with_body(StatusCode::NOT_FOUND, BoxBody::new("")),
    }
}

/// Responds with all metrics as text, and with 404 to any other path.
pub fn metrics(state: &Rc<State>, request: &Request) -> Response<BoxBody> {
    if request.path() != METRICS_PATH {
        return Response::with_body(StatusCode::NOT_FOUND, BoxBody::new(""));
    }
    Response::with_body(StatusCode::OK, BoxBody::new(state.metrics.text()))
}

fn json(body: String) -> Response<BoxBody> {
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(body));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// The entries that a caller should use: the live ones of its data centre, or all live ones if
/// there are fewer than [`MIN_LOCAL_ENTRIES`]. Those that reach no endpoint are left out, unless
/// none does.
fn entries(state: &State, near: Option<&name::DataCentre>) -> Vec<SocketAddr> {
    let now = state.now();
    let own = state.member();
    let fleet = state.fleet.borrow();
    let mut live: Vec<_> = fleet
        .live(now)
        .chain((!own.stopping).then_some(&own))
        .collect();
    if live.iter().any(|member| member.reaches_endpoints) {
        live.retain(|member| member.reaches_endpoints);
    }
    let is_near = |data_centre: &name::DataCentre| near == Some(data_centre);
    let near: Vec<_> = live
        .iter()
        .filter(|member| is_near(&member.data_centre))
        .map(|member| member.front)
        .collect();
    if near.len() >= MIN_LOCAL_ENTRIES {
        return near.into_iter().take(MAX_ENTRIES).collect();
    }
    let all: Vec<_> = live.iter().map(|member| member.front).collect();
    if !all.is_empty() {
        return all.into_iter().take(MAX_ENTRIES).collect();
    }
    // No entry is known to be live: return every known entry, since some may still respond.
    let known = fleet.known().map(|member| member.front);
    known.chain([own.front]).take(MAX_ENTRIES).collect()
}
