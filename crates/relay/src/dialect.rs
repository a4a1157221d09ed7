//! How callers and endpoints say things in headers, paths and small bodies.
//!
//! The relay knows what is said; a dialect knows how. [`own::Own`] is the
//! product's; a deployment on another platform brings one of its own.

pub mod names;
pub mod own;

use std::net::SocketAddr;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use thiserror::Error;
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::relay::Work;
use woodgap_core::relay::engine::Report;

use crate::upstream::Head;

/// What a caller says in the head of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// The request's identity, unique to this attempt of the caller.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Millis>,
    /// The key that stands for its workspace.
    pub key: Option<String>,
    /// What it asks of a model engine.
    pub work: Option<Work>,
    /// The stream that it takes up.
    pub resumption: Option<Resumption>,
}

/// A stream that a caller takes up after it has lost the connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// The caller's attempt that brought the first event, if it says so.
    pub first_attempt: Option<String>,
}

/// The last event that a caller has received of a stream that it takes up.
const LAST_EVENT: &str = "last-event-id";

/// The head of a request can't be understood.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("header `{header}`: {reason}")]
pub struct Malformed {
    /// The header at fault.
    pub header: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

/// What the relay says to an endpoint besides what the caller said.
#[derive(Clone, Copy, Debug)]
pub struct Stamp<'a> {
    /// How long the endpoint may work.
    pub left: Millis,
    /// The endpoint that is meant: any other at the address must decline.
    pub endpoint: &'a name::Endpoint,
    /// The software version that is meant, if the endpoint's row names one: an endpoint of any
    /// other must decline.
    pub version: Option<&'a str>,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// How urgent the request is to a model engine, from 0, the most urgent, to 9.
    pub urgency: Option<u8>,
    /// Another engine, which keeps prompt parts that this one is to take from it.
    pub source: Option<SocketAddr>,
}

/// An optional header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field<T> {
    /// The header is missing.
    #[default]
    Missing,
    /// The header has no valid value, or several.
    Invalid,
    /// The header's value.
    Valid(T),
}

impl<T> Field<T> {
    /// Converts the value, if there is one.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Field<U> {
        match self {
            Self::Missing => Field::Missing,
            Self::Invalid => Field::Invalid,
            Self::Valid(value) => Field::Valid(convert(value)),
        }
    }
}

/// What an endpoint says in the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply<'a> {
    /// The request that it answers.
    pub id: Option<&'a str>,
    /// Whether the endpoint vouches for the body.
    pub is_sealed: bool,
    /// Whether it has not run the request, and never will.
    pub declined: Option<Decline>,
    /// Its load.
    pub load: Option<Report>,
    /// How many requests per second it takes from all entries together, for as long as it
    /// says so.
    pub rate_limit: Field<f64>,
    /// Whether it is about to leave, and wants no more requests.
    pub leaving: Field<bool>,
    /// How many requests of all entries it can turn away in a second without failing.
    pub brittle: Field<f64>,
    /// For how long it wants no more requests from this entry, if it turns this one away.
    pub back_off: Field<Millis>,
}

impl Reply<'_> {
    /// Whether the endpoint has turned the request away: it has declined it, or asks for a back-off.
    ///
    /// ```
    /// use actix_http::StatusCode;
    /// use actix_http::header::HeaderMap;
    /// use woodgap_relay::dialect::Decline;
    /// use woodgap_relay::dialect::own::NAMES;
    /// use woodgap_relay::upstream::Head;
    ///
    /// let status = StatusCode::SERVICE_UNAVAILABLE;
    /// let head = Head { status, headers: HeaderMap::new(), keeps_alive: true };
    /// assert!(NAMES.reply(&head, Some(Decline::Full)).is_refusal());
    /// assert!(!NAMES.reply(&head, None).is_refusal());
    /// ```
    pub fn is_refusal(&self) -> bool {
        self.declined.is_some() || matches!(self.back_off, Field::Valid(_))
    }
}

/// Why an endpoint has not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decline {
    /// It takes no more for now.
    Full,
    /// Another endpoint was meant.
    Misdirected,
}

/// A question to the entry itself, not a request to be passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// Which entries should I use? With the data centre of the asking caller.
    Entries(Option<name::DataCentre>),
    /// Do you take requests?
    Ready,
}

/// A way to say things; see the module.
pub trait Dialect {
    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if the request can't be passed on so.
    fn call(&self, headers: &HeaderMap) -> Result<Call, Malformed>;

    /// The header in which a caller says how long it waits, in milliseconds.
    fn patience_header(&self) -> &'static str;

    /// Whether a caller's header goes on to endpoints. Headers that concern one
    /// connection are not asked about.
    fn passes(&self, header: &str) -> bool;

    /// The headers that the relay adds for an endpoint.
    fn stamp(&self, stamp: &Stamp<'_>, add: &mut dyn FnMut(&'static str, String));

    /// Reads the head of an answer.
    fn reply<'h>(&self, head: &'h Head) -> Reply<'h>;

    /// The headers of a refusal that tell the caller to retry after this span.
    fn retry_after(&self, span: Millis, add: &mut dyn FnMut(HeaderName, HeaderValue));

    /// The header that carries a request's identity in answers.
    fn id_header(&self) -> &'static str;

    /// A question to the entry itself; none if path and query are none.
    fn question(&self, path: &str, query: &str) -> Option<Question>;

    /// The answer to [`Question::Entries`], as JSON.
    fn entries(&self, addresses: &[SocketAddr], lifetime: Millis) -> String;
}

/// A header as text; none where it is missing or not text.
pub fn text<'h>(headers: &'h HeaderMap, name: &str) -> Option<&'h str> {
    headers.get(name)?.to_str().ok()
}

/// The key in an `Authorization: Bearer KEY` header.
pub fn key(headers: &HeaderMap) -> Option<String> {
    let value = text(headers, "authorization")?;
    let key = value.strip_prefix("Bearer ")?;
    Some(key.trim().to_owned())
}

/// The identity in this header.
///
/// # Errors
///
/// [`Malformed`] if it is missing or empty.
pub fn identity(headers: &HeaderMap, header: &'static str) -> Result<String, Malformed> {
    let id = text(headers, header).filter(|id| !id.is_empty());
    let missing = Malformed {
        header,
        reason: "missing",
    };
    id.map(str::to_owned).ok_or(missing)
}

/// The stream that a request takes up; `resumes` is the header that names the attempt that brought
/// its first event. Without it, the standard header alone says that a stream is taken up.
///
/// # Errors
///
/// [`Malformed`] if several attempts are named.
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
/// use woodgap_relay::dialect::{Resumption, resumption};
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(resumption(&headers, "resumes"), Ok(None));
/// headers.append(HeaderName::from_static("last-event-id"), HeaderValue::from_static("7"));
/// assert_eq!(resumption(&headers, "resumes"), Ok(Some(Resumption::default())));
/// headers.append(HeaderName::from_static("resumes"), HeaderValue::from_static("r1"));
/// let first_attempt = Some("r1".to_owned());
/// assert_eq!(resumption(&headers, "resumes"), Ok(Some(Resumption { first_attempt })));
/// headers.append(HeaderName::from_static("resumes"), HeaderValue::from_static("r2"));
/// assert!(resumption(&headers, "resumes").is_err());
/// ```
pub fn resumption(
    headers: &HeaderMap,
    resumes: &'static str,
) -> Result<Option<Resumption>, Malformed> {
    let named = field(headers, resumes, |id| Some(id.to_owned()));
    let first_attempt = match named {
        Field::Missing if !headers.contains_key(LAST_EVENT) => return Ok(None),
        Field::Missing => None,
        Field::Valid(id) => Some(id).filter(|id| !id.is_empty()),
        Field::Invalid => {
            return Err(Malformed {
                header: resumes,
                reason: "not the identity of one attempt",
            });
        }
    };
    Ok(Some(Resumption { first_attempt }))
}

/// The span in this header, if it is there.
///
/// # Errors
///
/// [`Malformed`] if it is no whole number.
pub fn span(headers: &HeaderMap, header: &'static str) -> Result<Option<Millis>, Malformed> {
    let wrong = |_| Malformed {
        header,
        reason: "not a number of milliseconds",
    };
    let text = text(headers, header);
    let span = text.map(|text| text.trim().parse().map(Millis).map_err(wrong));
    span.transpose()
}

/// A header that holds a number from 0 on, possibly with decimals. Headers that contradict each
/// other are invalid.
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
/// use woodgap_relay::dialect::{Field, decimal};
///
/// let mut headers = HeaderMap::new();
/// assert_eq!(decimal(&headers, "limit"), Field::Missing);
/// headers.append(HeaderName::from_static("limit"), HeaderValue::from_static("1.5"));
/// assert_eq!(decimal(&headers, "limit"), Field::Valid(1.5));
/// headers.append(HeaderName::from_static("limit"), HeaderValue::from_static("2"));
/// assert_eq!(decimal(&headers, "limit"), Field::Invalid);
/// ```
pub fn decimal(headers: &HeaderMap, name: &str) -> Field<f64> {
    field(headers, name, |text| {
        let number = text.parse().ok();
        number.filter(|number: &f64| number.is_finite() && *number >= 0.0)
    })
}

/// `Retry-After` in seconds, possibly with decimals, rounded up to milliseconds.
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
/// use woodgap_core::clock::Millis;
/// use woodgap_relay::dialect::{Field, retry_after};
///
/// let mut headers = HeaderMap::new();
/// headers.append(HeaderName::from_static("retry-after"), HeaderValue::from_static("1.5"));
/// assert_eq!(retry_after(&headers), Field::Valid(Millis(1_500)));
/// ```
pub fn retry_after(headers: &HeaderMap) -> Field<Millis> {
    decimal(headers, "retry-after").map(|seconds| {
        // Not negative; what is too large becomes the largest number.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let span = (seconds * 1_000.0).ceil() as u64;
        Millis(span)
    })
}

/// A header that is 1 or 0. Headers that contradict each other are invalid.
///
/// ```
/// use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
/// use woodgap_relay::dialect::{Field, flag};
///
/// let mut headers = HeaderMap::new();
/// headers.append(HeaderName::from_static("leaving"), HeaderValue::from_static("1"));
/// assert_eq!(flag(&headers, "leaving"), Field::Valid(true));
/// headers.append(HeaderName::from_static("leaving"), HeaderValue::from_static("0"));
/// assert_eq!(flag(&headers, "leaving"), Field::Invalid);
/// ```
pub fn flag(headers: &HeaderMap, name: &str) -> Field<bool> {
    field(headers, name, |text| match text {
        "1" => Some(true),
        "0" => Some(false),
        _ => None,
    })
}

fn field<T>(headers: &HeaderMap, name: &str, parse: impl Fn(&str) -> Option<T>) -> Field<T> {
    let mut values = headers.get_all(name);
    let Some(first) = values.next() else {
        return Field::Missing;
    };
    if values.any(|other| other != first) {
        return Field::Invalid;
    }
    let text = first.to_str().ok();
    let value = text.and_then(|text| parse(text.trim()));
    value.map_or(Field::Invalid, Field::Valid)
}

/// A parameter of a query, as it stands there.
pub fn parameter<'q>(query: &'q str, name: &str) -> Option<&'q str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(found, _)| *found == name)
        .map(|(_, value)| value)
}
