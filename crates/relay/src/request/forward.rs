//! Selects the request and response headers to forward.

use actix_http::header::HeaderMap;
use bytes::BytesMut;
use woodgap_core::relay::engine::Choice;

use crate::dialect::Stamp;
use crate::request::AdmittedRequest;
use crate::state::State;
use crate::upstream::connection;

/// Hop-by-hop headers, and headers that the relay sets itself.
const HOP_BY_HOP: &[&str] = &[
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

/// Whether a header is forwarded.
pub fn is_end_to_end(name: &str, connection_options: &[String]) -> bool {
    !HOP_BY_HOP.contains(&name) && !connection_options.iter().any(|it| it == name)
}

/// The header names listed in `Connection` headers, in lower case.
pub fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all("connection");
    let values = values.filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .map(|token| token.trim().to_ascii_lowercase())
        .collect()
}

/// The headers of the caller that concern more than one connection and pass this filter, with the
/// length of the body.
pub fn end_to_end_headers(
    request: &AdmittedRequest,
    passes: impl Fn(&str) -> bool,
) -> Vec<(&str, Vec<u8>)> {
    let connection_options = connection_options(&request.headers);
    let forwarded = request.headers.iter().filter(|(name, _)| {
        is_end_to_end(name.as_str(), &connection_options) && passes(name.as_str())
    });
    let mut headers: Vec<(&str, Vec<u8>)> = forwarded
        .map(|(name, value)| (name.as_str(), value.as_bytes().to_vec()))
        .collect();
    let has_body = !request.body.is_empty() || request.headers.contains_key("content-length");
    if has_body {
        let length = request.body.len().to_string();
        headers.push(("content-length", length.into_bytes()));
    }
    headers
}

/// Builds the request head for the chosen endpoint.
pub fn head(state: &State, request: &AdmittedRequest, choice: &Choice) -> BytesMut {
    let mut headers = end_to_end_headers(request, |name| state.dialect.passes(name));
    let stamp = Stamp {
        left: request.deadline - state.now(),
        endpoint: &choice.endpoint.life.id,
        version: Some(choice.endpoint.version.as_str()).filter(|it| !it.is_empty()),
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
