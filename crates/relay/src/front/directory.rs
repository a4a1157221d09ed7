//! Questions to the entry itself: which entries to use, whether it takes requests.

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

/// How long callers may keep a list of entries: short, since an entry that stops
/// is used for up to three times as long.
const LIFETIME: Millis = Millis(1_000);
/// The most entries in one list.
const MOST_ENTRIES: usize = 64;
/// The path at which metrics are served.
const METRICS: &str = "/metrics";

/// Answers a question; 404 for anything else.
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
            let lifetime = LIFETIME.min(state.settings.bounds.entries_lifetime);
            json(state.dialect.entries(&addresses, lifetime))
        }
        None => Response::with_body(StatusCode::NOT_FOUND, BoxBody::new("")),
    }
}

/// Answers with all metrics as text.
pub fn metrics(state: &Rc<State>, request: &Request) -> Response<BoxBody> {
    if request.path() != METRICS {
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

/// The entries that a caller should use: those of its data centre, or all where
/// these are too few.
fn entries(state: &State, near: Option<&name::DataCentre>) -> Vec<SocketAddr> {
    let now = state.now();
    let own = state.member();
    let fleet = state.fleet.borrow();
    let live: Vec<_> = fleet
        .live(now)
        .chain((!own.stopping).then_some(&own))
        .collect();
    let is_near = |data_centre: &name::DataCentre| near == Some(data_centre);
    let near: Vec<_> = live
        .iter()
        .filter(|member| is_near(&member.data_centre))
        .map(|member| member.front)
        .collect();
    if near.len() >= MIN_LOCAL_ENTRIES {
        return near.into_iter().take(MOST_ENTRIES).collect();
    }
    let all: Vec<_> = live.iter().map(|member| member.front).collect();
    if !all.is_empty() {
        return all.into_iter().take(MOST_ENTRIES).collect();
    }
    // None is known to be live: whoever asks is better off with all that there were.
    let known = fleet.known().map(|member| member.front);
    known.chain([own.front]).take(MOST_ENTRIES).collect()
}
