//! The product's own dialect.

use std::net::SocketAddr;

use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::Work;

use crate::dialect::names::Names;
use crate::dialect::{self, Call, Decline, Dialect, Malformed, Question, Reply, Stamp};
use crate::upstream::Head;

const PATIENCE: &str = "x-woodgap-patience-ms";
const WORK: &str = "x-woodgap-work";
const VERDICT: &str = "x-woodgap-verdict";
/// `Retry-After` in whole milliseconds.
const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");

/// The names of the headers that every dialect has.
pub const NAMES: Names = Names {
    left: "x-woodgap-left-ms",
    endpoint: "x-woodgap-endpoint",
    version: Some("x-woodgap-version"),
    workspace: "x-woodgap-workspace",
    urgency: "x-woodgap-urgency",
    source: "x-woodgap-prompt-source",
    others: &[PATIENCE],
    request: "x-woodgap-request",
    seal: "x-woodgap-seal",
    load: "x-woodgap-load",
    rate_limit: "x-woodgap-rate-limit",
    leaving: "x-woodgap-leaving",
    brittle: "x-woodgap-brittle",
    resumes: "x-woodgap-resumes",
};

/// The product's own dialect: headers that begin with `X-Woodgap-`, and the
/// work for a model engine as JSON in one of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own;

#[derive(Serialize)]
struct Entries<'a> {
    entries: &'a [SocketAddr],
    lifetime_ms: Millis,
}

impl Dialect for Own {
    fn call(&self, headers: &HeaderMap) -> Result<Call, Malformed> {
        let work = dialect::text(headers, WORK).map(|text| {
            serde_json::from_str::<Work>(text).map_err(|_| Malformed {
                header: WORK,
                reason: "not a description of work as JSON",
            })
        });
        Ok(Call {
            id: dialect::identity(headers, NAMES.request)?,
            patience: dialect::span(headers, PATIENCE)?,
            key: dialect::key(headers),
            work: work.transpose()?,
            resumption: dialect::resumption(headers, NAMES.resumes)?,
        })
    }

    fn patience_header(&self) -> &'static str {
        PATIENCE
    }

    fn passes(&self, header: &str) -> bool {
        NAMES.passes(header)
    }

    fn stamp(&self, stamp: &Stamp<'_>, add: &mut dyn FnMut(&'static str, String)) {
        NAMES.stamp(stamp, add);
    }

    fn reply<'h>(&self, head: &'h Head) -> Reply<'h> {
        let declined = match (head.status.as_u16(), head.header_str(VERDICT)) {
            (421, _) => Some(Decline::Misdirected),
            (429 | 503, Some("not_run")) => Some(Decline::Full),
            _ => None,
        };
        NAMES.reply(head, declined)
    }

    /// `Retry-After` is for callers that know only whole seconds, the other header for those that
    /// wait for less than a second altogether.
    fn retry_after(&self, span: Millis, add: &mut dyn FnMut(HeaderName, HeaderValue)) {
        add(header::RETRY_AFTER, span.0.div_ceil(1_000).into());
        add(RETRY_AFTER_MS, span.0.into());
    }

    fn id_header(&self) -> &'static str {
        NAMES.request
    }

    fn question(&self, path: &str, query: &str) -> Option<Question> {
        match path {
            "/v1/ready" => Some(Question::Ready),
            "/v1/entries" => {
                let near = dialect::parameter(query, "data_centre");
                let near = near.map(name::DataCentre::from);
                Some(Question::Entries(near))
            }
            _ => None,
        }
    }

    fn entries(&self, addresses: &[SocketAddr], lifetime: Millis) -> String {
        let entries = Entries {
            entries: addresses,
            lifetime_ms: lifetime,
        };
        // A list of addresses and a number always serialise.
        serde_json::to_string(&entries).unwrap_or_default()
    }
}
