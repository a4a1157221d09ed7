//! The headers between the relay and endpoints, whatever a dialect calls them.

use actix_http::StatusCode;
use woodgap_core::clock::Millis;
use woodgap_core::relay::engine::Report;

use crate::dialect::{self, Decline, Field, Reply, Stamp};
use crate::upstream::Head;

/// The names of headers in one dialect, in lower case.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_relay::dialect::Stamp;
/// use woodgap_relay::dialect::names::Names;
///
/// let names = Names {
///     left: "left-ms",
///     endpoint: "endpoint",
///     version: Some("version"),
///     workspace: "workspace",
///     urgency: "urgency",
///     source: "source",
///     others: &["patience-ms"],
///     request: "request",
///     seal: "seal",
///     load: "load",
///     rate_limit: "rate-limit",
///     leaving: "leaving",
///     brittle: "brittle",
///     resumes: "resumes",
/// };
/// assert!(names.passes("accept"));
/// assert!(!names.passes("left-ms"));
/// assert!(!names.passes("patience-ms"));
///
/// let stamp = Stamp {
///     left: Millis(800),
///     endpoint: &name::Endpoint::from("e1"),
///     version: Some("v1"),
///     workspace: None,
///     urgency: Some(3),
///     source: None,
/// };
/// let mut added = Vec::new();
/// names.stamp(&stamp, &mut |name, value| added.push(format!("{name}: {value}")));
/// assert_eq!(added, ["left-ms: 800", "endpoint: e1", "version: v1", "urgency: 3"]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Names {
    /// To an endpoint: how long it may work, in milliseconds.
    pub left: &'static str,
    /// To an endpoint: the one that is meant.
    pub endpoint: &'static str,
    /// To an endpoint: the software version that is meant; `None` if an endpoint takes another
    /// name when its version changes.
    pub version: Option<&'static str>,
    /// To an endpoint: the caller's workspace.
    pub workspace: &'static str,
    /// To an endpoint: how urgent the request is, from 0 to 9.
    pub urgency: &'static str,
    /// To an endpoint: another engine, from which to take prompt parts.
    pub source: &'static str,
    /// Further headers of callers that go no further.
    pub others: &'static [&'static str],
    /// From an endpoint: the request that it answers.
    pub request: &'static str,
    /// From an endpoint: with it, it vouches for the body.
    pub seal: &'static str,
    /// From an endpoint: requests running, requests waiting, slots and, optionally, how long work
    /// takes now, in percent of the usual time.
    pub load: &'static str,
    /// From an endpoint: requests per second that it takes from all entries together.
    pub rate_limit: &'static str,
    /// From an endpoint: 1 if it is about to leave.
    pub leaving: &'static str,
    /// From an endpoint: how many requests of all entries it can turn away in a second; it fails
    /// if there are more.
    pub brittle: &'static str,
    /// From a caller that takes a stream up: its attempt that brought the first event.
    pub resumes: &'static str,
}

impl Names {
    /// Whether a caller's header goes on to endpoints: not its key, nor what only the
    /// relay may say.
    pub fn passes(&self, header: &str) -> bool {
        let own = [
            "authorization",
            self.left,
            self.endpoint,
            self.workspace,
            self.urgency,
            self.source,
        ];
        let is_own = own.contains(&header) || self.version == Some(header);
        !is_own && !self.others.contains(&header)
    }

    /// The headers that the relay adds for an endpoint.
    pub fn stamp(&self, stamp: &Stamp<'_>, add: &mut dyn FnMut(&'static str, String)) {
        add(self.left, stamp.left.0.to_string());
        add(self.endpoint, stamp.endpoint.to_string());
        if let (Some(name), Some(version)) = (self.version, stamp.version) {
            add(name, version.to_owned());
        }
        if let Some(workspace) = stamp.workspace {
            add(self.workspace, workspace.to_owned());
        }
        if let Some(urgency) = stamp.urgency {
            add(self.urgency, urgency.to_string());
        }
        if let Some(source) = stamp.source {
            add(self.source, source.to_string());
        }
    }

    /// Reads the head of an answer; how an endpoint declines is the dialect's to know.
    ///
    /// ```
    /// use actix_http::StatusCode;
    /// use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
    /// use woodgap_relay::dialect::own::NAMES;
    /// use woodgap_relay::upstream::Head;
    ///
    /// let mut headers = HeaderMap::new();
    /// let request = HeaderName::from_static(NAMES.request);
    /// headers.insert(request, HeaderValue::from_static("r1"));
    /// let head = Head { status: StatusCode::OK, headers, keeps_alive: true };
    /// let reply = NAMES.reply(&head, None);
    /// assert_eq!(reply.id, Some("r1"));
    /// assert!(!reply.is_sealed);
    /// ```
    pub fn reply<'h>(&self, head: &'h Head, declined: Option<Decline>) -> Reply<'h> {
        Reply {
            id: head.header_str(self.request),
            is_sealed: head.headers.contains_key(self.seal),
            declined,
            load: head.header_str(self.load).and_then(report),
            rate_limit: dialect::decimal(&head.headers, self.rate_limit),
            leaving: dialect::flag(&head.headers, self.leaving),
            brittle: dialect::decimal(&head.headers, self.brittle),
            back_off: back_off(head, declined),
        }
    }
}

/// Any 503 may ask for a back-off, a 429 only if the endpoint itself has turned the request away:
/// else it may be the answer to one caller who asks too often.
fn back_off(head: &Head, declined: Option<Decline>) -> Field<Millis> {
    let is_unavailable = head.status == StatusCode::SERVICE_UNAVAILABLE;
    if is_unavailable || declined == Some(Decline::Full) {
        dialect::retry_after(&head.headers)
    } else {
        Field::Missing
    }
}

/// Whole numbers separated by commas: running, waiting, slots and, optionally, how long work takes
/// in percent of the usual time.
fn report(text: &str) -> Option<Report> {
    let mut figures = text.split(',').map(str::trim);
    let mut count = || figures.next()?.parse().ok();
    Some(Report {
        running: count()?,
        waiting: count()?,
        slots: count()?,
        slowdown_percent: figures.next().and_then(slowdown_percent),
    })
}

/// No work takes no time: 0 is read as no figure.
fn slowdown_percent(figure: &str) -> Option<u16> {
    figure.parse().ok().filter(|percent| *percent > 0)
}
