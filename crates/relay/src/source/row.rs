//! Rows as a source reads them. Others write them, so each stands for itself: one that
//! can't be used names nothing, and all others hold.

use std::collections::HashSet;
use std::net::SocketAddr;

use actix_http::header::HeaderValue;
use serde::de::DeserializeOwned;
use thiserror::Error;
use woodgap_core::quarantine::Kept;
use woodgap_core::relay::Plan;
use woodgap_core::relay::roster::Endpoint;

use crate::metrics::Metrics;

/// The longest value of a row that names an endpoint or an entry, in bytes: some hundred
/// times what one holds.
const MOST_BYTES: usize = 64 * 1024;
/// The longest name, in bytes: what a store takes for a key, with room.
const MOST_NAME: usize = 256;
/// The most requests that one endpoint may work on at once: some hundred times what a
/// large engine does.
const MOST_SLOTS: u32 = 65_536;
/// The longest part of a key or a reason that is logged, in characters.
const MOST_LOGGED: usize = 200;
/// The most rows of one answer of which each has its line in the log.
const MOST_LINES: usize = 16;

/// A row that was written or removed.
#[derive(Clone, Debug, PartialEq)]
pub struct Row<T> {
    /// Its key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// What it holds.
    pub content: Content<T>,
}

/// What a row holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Content<T> {
    /// Something that can be used.
    Usable(T),
    /// Something else.
    Unusable(RowError),
    /// Nothing: it was removed.
    Removed,
}

/// Why a row can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// Its value is not encoded as the source's rows are.
    #[error("not encoded as rows are: {0}")]
    Encoding(String),
    /// Its value is no JSON, or lacks a field, or has one of another type or range.
    #[error("not understood: {0}")]
    Format(String),
    /// Its value is too long; the length is in bytes.
    #[error("{0} bytes are too long")]
    Size(usize),
    /// A name in it is empty, too long, or can't be sent as a header.
    #[error("`{0}` is no name")]
    Name(String),
    /// It names something else than its key.
    #[error("it names something else: `{0}`")]
    KeyMismatch(String),
    /// Nothing can be connected to at the address.
    #[error("nothing can be connected to at {0}")]
    Address(SocketAddr),
    /// It tells of more slots than an endpoint has.
    #[error("{0} slots are too many")]
    Slots(u32),
}

/// What a row may hold, with what must be true of it.
pub trait Check: Sized {
    /// The longest value, in bytes.
    const MOST_BYTES: usize;

    /// Whether it can be used under this key.
    ///
    /// # Errors
    ///
    /// Why it can't.
    fn check(&self, key: &str) -> Result<(), RowError>;
}

impl Check for Endpoint {
    const MOST_BYTES: usize = MOST_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        check_name(key)?;
        for text in [&self.service, self.data_centre.as_str()] {
            check_length(text)?;
        }
        if self.life.id.as_str() != key {
            return Err(RowError::KeyMismatch(self.life.id.to_string()));
        }
        if self.slots > MOST_SLOTS {
            return Err(RowError::Slots(self.slots));
        }
        check_address(self.address)
    }
}

impl Check for SocketAddr {
    const MOST_BYTES: usize = MOST_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        check_name(key)?;
        check_address(*self)
    }
}

impl Check for Kept {
    const MOST_BYTES: usize = MOST_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        if self.told.request.to_string() != key {
            return Err(RowError::KeyMismatch(self.told.request.to_string()));
        }
        if !self.is_sound() {
            return Err(RowError::Format(
                "crashes that are not remembered".to_owned(),
            ));
        }
        Ok(())
    }
}

impl Check for Plan {
    // Only the source bounds it; whether it is sound is seen where it comes in force.
    const MOST_BYTES: usize = usize::MAX;

    fn check(&self, _: &str) -> Result<(), RowError> {
        Ok(())
    }
}

fn check_name(text: &str) -> Result<(), RowError> {
    let is_name = !text.is_empty() && text.len() <= MOST_NAME && text.trim() == text;
    if is_name && HeaderValue::from_str(text).is_ok() {
        return Ok(());
    }
    Err(RowError::Name(text.to_owned()))
}

/// Names that are never sent may be any short text.
fn check_length(text: &str) -> Result<(), RowError> {
    if text.len() > MOST_NAME {
        return Err(RowError::Name(text.to_owned()));
    }
    Ok(())
}

fn check_address(address: SocketAddr) -> Result<(), RowError> {
    let ip = address.ip().to_canonical();
    let is_broadcast = ip == std::net::Ipv4Addr::BROADCAST;
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(RowError::Address(address));
    }
    Ok(())
}

impl<T: Check> Row<T> {
    /// A row that holds this, if it can be used.
    pub fn new(key: &str, version: u64, value: Result<T, RowError>) -> Self {
        let checked = value.and_then(|value| value.check(key).map(|()| value));
        let content = checked.map_or_else(Content::Unusable, Content::Usable);
        Self {
            key: key.to_owned(),
            version,
            content,
        }
    }

    /// A row with these bytes as its value: JSON of the source's form `F`.
    ///
    /// ```
    /// use std::net::SocketAddr;
    /// use woodgap_relay::source::row::{Content, Row};
    ///
    /// let read = |bytes: &[u8]| Row::<SocketAddr>::decode("a", 1, Ok(bytes.to_vec()), |it| it);
    /// assert!(matches!(read(b"\"10.0.0.1:80\"").content, Content::Usable(_)));
    /// assert!(matches!(read(b"\"10.0.0.1:0\"").content, Content::Unusable(_)));
    /// ```
    pub fn decode<F: DeserializeOwned>(
        key: &str,
        version: u64,
        bytes: Result<Vec<u8>, RowError>,
        form: impl FnOnce(F) -> T,
    ) -> Self {
        let value = bytes.and_then(|bytes| {
            if bytes.len() > T::MOST_BYTES {
                return Err(RowError::Size(bytes.len()));
            }
            // The decoder would take a list for the values of a form without their names.
            if bytes.trim_ascii_start().starts_with(b"[") {
                return Err(RowError::Format("a list".to_owned()));
            }
            let value = serde_json::from_slice(&bytes);
            value.map_err(|error| RowError::Format(error.to_string()))
        });
        Self::new(key, version, value.map(form))
    }
}

/// The rows of one table that can't be used, each told once until it is sound again.
#[derive(Debug)]
pub struct UnusableRows {
    what: &'static str,
    keys: HashSet<String>,
}

impl UnusableRows {
    /// None yet, in the table of these things.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            keys: HashSet::new(),
        }
    }

    /// Takes a whole table, and forgets rows that are not in it.
    pub fn replace<T>(&mut self, rows: &[Row<T>], metrics: &Metrics) {
        let there: HashSet<_> = rows.iter().map(|row| row.key.as_str()).collect();
        self.keys.retain(|key| there.contains(key.as_str()));
        self.record(rows, metrics);
    }

    /// Takes changes of the table, and tells of rows that have become unusable.
    pub fn record<T>(&mut self, rows: &[Row<T>], metrics: &Metrics) {
        let mut news = Vec::new();
        for row in rows {
            match &row.content {
                Content::Unusable(reason) if self.keys.insert(row.key.clone()) => {
                    news.push((row.key.as_str(), row.version, reason));
                }
                Content::Unusable(_) => {}
                Content::Usable(_) | Content::Removed => {
                    self.keys.remove(&row.key);
                }
            }
        }
        let count = metrics.unusable_rows.with_label_values(&[self.what]);
        count.inc_by(news.len() as u64);
        self.tell(&news);
    }

    fn tell(&self, news: &[(&str, u64, &RowError)]) {
        if news.len() > MOST_LINES {
            log::warn!(what = self.what, rows = news.len(); "many rows can't be used");
            return;
        }
        for (key, version, reason) in news {
            log::warn!(
                what = self.what, key = shortened(key), version = version,
                reason = shortened(&reason.to_string());
                "a row can't be used"
            );
        }
    }
}

fn shortened(text: &str) -> String {
    text.chars().take(MOST_LOGGED).collect()
}
