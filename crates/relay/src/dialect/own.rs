//! The product's own dialect.

use std::net::SocketAddr;

use actix_http::header::{HeaderMap, HeaderValue};
use serde::Serialize;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::Work;
use woodgap_core::relay::engine::Report;

use crate::dialect::{self, Call, Decline, Dialect, Malformed, Question, Reply, Stamp};
use crate::upstream::Head;

const REQUEST: &str = "x-woodgap-request";
const PATIENCE: &str = "x-woodgap-patience-ms";
const WORK: &str = "x-woodgap-work";
const LEFT: &str = "x-woodgap-left-ms";
const ENDPOINT: &str = "x-woodgap-endpoint";
const WORKSPACE: &str = "x-woodgap-workspace";
const URGENCY: &str = "x-woodgap-urgency";
const SOURCE: &str = "x-woodgap-prompt-source";
const VERDICT: &str = "x-woodgap-verdict";
const SEAL: &str = "x-woodgap-seal";
const LOAD: &str = "x-woodgap-load";

/// Headers of callers that go no further: the relay sets them itself.
const KEPT: &[&str] = &[
    "authorization",
    PATIENCE,
    LEFT,
    ENDPOINT,
    WORKSPACE,
    URGENCY,
    SOURCE,
];

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
            id: dialect::identity(headers, REQUEST)?,
            patience: dialect::span(headers, PATIENCE)?,
            key: dialect::key(headers),
            work: work.transpose()?,
        })
    }

    fn passes(&self, header: &str) -> bool {
        !KEPT.contains(&header)
    }

    fn stamp(&self, stamp: &Stamp<'_>, add: &mut dyn FnMut(&'static str, String)) {
        add(LEFT, stamp.left.0.to_string());
        add(ENDPOINT, stamp.endpoint.to_string());
        if let Some(workspace) = stamp.workspace {
            add(WORKSPACE, workspace.to_owned());
        }
        if let Some(urgency) = stamp.urgency {
            add(URGENCY, urgency.to_string());
        }
        if let Some(source) = stamp.source {
            add(SOURCE, source.to_string());
        }
    }

    fn reply<'h>(&self, head: &'h Head) -> Reply<'h> {
        let declined = match (head.status.as_u16(), head.text(VERDICT)) {
            (421, _) => Some(Decline::Misdirected),
            (429 | 503, Some("not_run")) => Some(Decline::Full),
            _ => None,
        };
        Reply {
            id: head.text(REQUEST),
            is_sealed: head.headers.contains_key(SEAL),
            declined,
            load: head.text(LOAD).and_then(report),
        }
    }

    fn retry_after(&self, span: Millis) -> HeaderValue {
        HeaderValue::from(span.0.div_ceil(1_000))
    }

    fn id_header(&self) -> &'static str {
        REQUEST
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

/// Three whole numbers separated by commas: running, waiting, slots.
pub fn report(text: &str) -> Option<Report> {
    let mut figures = text.split(',').map(|figure| figure.trim().parse().ok());
    Some(Report {
        running: figures.next()??,
        waiting: figures.next()??,
        slots: figures.next()??,
    })
}
