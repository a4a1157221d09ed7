//! What of a request, and of an answer, goes on to the other side of the relay.

use actix_http::header::HeaderMap;
use bytes::BytesMut;
use woodgap_core::relay::engine::Choice;

use crate::dialect::Stamp;
use crate::request::Admitted;
use crate::state::State;
use crate::upstream::connection;

/// Headers that concern one connection, or that are set anew.
const HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Whether a header goes on to the other side of the relay.
pub fn is_end_to_end(name: &str, named_by_connection: &[String]) -> bool {
    !HOP.contains(&name) && !named_by_connection.iter().any(|it| it == name)
}

/// The headers that a `Connection` header names, in lower case.
pub fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection");
    let values = values.filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// The head of a request, as the chosen endpoint is to get it.
pub fn head(state: &State, request: &Admitted, choice: &Choice) -> BytesMut {
    let named = named_by_connection(&request.headers);
    let passed = request.headers.iter().filter(|(name, _)| {
        is_end_to_end(name.as_str(), &named) && state.dialect.passes(name.as_str())
    });
    let mut headers: Vec<(&str, Vec<u8>)> = passed
        .map(|(name, value)| (name.as_str(), value.as_bytes().to_vec()))
        .collect();
    let has_body = !request.body.is_empty() || request.headers.contains_key("content-length");
    if has_body {
        let length = request.body.len().to_string();
        headers.push(("content-length", length.into_bytes()));
    }
    let stamp = Stamp {
        left: request.deadline - state.now(),
        endpoint: &choice.endpoint.life.id,
        workspace: request.workspace.as_deref().map(|it| it.name.as_str()),
        urgency: request.urgency,
        source: choice.prompt_source.as_ref().map(|it| it.address),
    };
    state.dialect.stamp(&stamp, &mut |name, value| {
        headers.push((name, value.into_bytes()));
    });
    let headers = headers
        .iter()
        .map(|(name, value)| (*name, value.as_slice()));
    connection::request_head(&request.method, &request.target, headers)
}
