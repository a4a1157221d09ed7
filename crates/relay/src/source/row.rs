//! Rows as a source reads them, with their validation. Other programs write them, so each row is
//! checked on its own: an unusable row is ignored and does not affect the others.

use std::collections::HashSet;
use std::net::SocketAddr;

use actix_http::header::HeaderValue;
use serde::de::DeserializeOwned;
use thiserror::Error;
use woodgap_core::quarantine::StoredHistory;
use woodgap_core::relay::Plan;
use woodgap_core::relay::resumption::registration;
use woodgap_core::relay::resumption::stored::Batch;
use woodgap_core::relay::roster::Endpoint;

use crate::metrics::Metrics;
use crate::source::batch_number;

/// The longest value of a row of an endpoint, an entry or a withheld request, in bytes: about a
/// hundred times the usual length.
const MAX_BYTES: usize = 64 * 1024;
/// The longest name, in bytes: somewhat more than a store allows for a key.
const MAX_NAME_BYTES: usize = 256;
/// The maximum number of concurrent requests of one endpoint: about a hundred times that of a
/// large engine.
const MAX_SLOTS: u32 = 65_536;
/// The maximum number of characters of a key or a reason that is logged.
const MAX_LOGGED_CHARS: usize = 200;
/// The maximum number of unusable rows of one answer that are logged one by one.
const MAX_LOGGED_ROWS: usize = 16;

/// A row of a table, or the removal of one.
#[derive(Clone, Debug, PartialEq)]
pub struct Row<T> {
    /// The key of the row.
    pub key: String,
    /// The version at which the row was written or removed.
    pub version: u64,
    /// The decoded value, or why there is none.
    pub content: Content<T>,
}

/// The content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Content<T> {
    /// A valid value.
    Usable(T),
    /// A value that failed decoding or validation.
    Unusable(RowError),
    /// The row was removed.
    Removed,
}

/// Why a row can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// The value does not have the encoding that the source uses.
    #[error("invalid encoding: {0}")]
    Encoding(String),
    /// The value is not JSON, lacks a field, or has a field of the wrong type or range.
    #[error("malformed value: {0}")]
    Format(String),
    /// The value exceeds the maximum length; the length is in bytes.
    #[error("a value of {0} bytes exceeds the limit")]
    Size(usize),
    /// A name in it is empty, too long, or can't be sent as a header.
    #[error("invalid name: `{0}`")]
    Name(String),
    /// The name in the value differs from the row's key.
    #[error("the name in the value differs from the key: `{0}`")]
    KeyMismatch(String),
    /// The address can't be the target of a connection.
    #[error("{0} is not an address to connect to")]
    Address(SocketAddr),
    /// The number of slots exceeds the maximum for an endpoint.
    #[error("{0} slots exceed the limit")]
    Slots(u32),
}

/// A type of value that a row may hold, with its validation.
pub trait Check: Sized {
    /// The longest value, in bytes.
    const MAX_BYTES: usize;

    /// Validates the value for a row with this key.
    ///
    /// # Errors
    ///
    /// If the value can't be used.
    fn check(&self, key: &str) -> Result<(), RowError>;
}

impl Check for Endpoint {
    const MAX_BYTES: usize = MAX_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        check_name(key)?;
        for text in [&self.service, self.data_centre.as_str()] {
            check_length(text)?;
        }
        check_version(&self.version)?;
        if self.life.id.as_str() != key {
            return Err(RowError::KeyMismatch(self.life.id.to_string()));
        }
        if self.slots > MAX_SLOTS {
            return Err(RowError::Slots(self.slots));
        }
        check_address(self.address)
    }
}

impl Check for SocketAddr {
    const MAX_BYTES: usize = MAX_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        check_name(key)?;
        check_address(*self)
    }
}

impl Check for StoredHistory {
    const MAX_BYTES: usize = MAX_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        if self.told.cause.to_string() != key {
            return Err(RowError::KeyMismatch(self.told.cause.to_string()));
        }
        if !self.is_sound() {
            return Err(RowError::Format("invalid crash records".to_owned()));
        }
        Ok(())
    }
}

impl Check for registration::Row {
    const MAX_BYTES: usize = MAX_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        let registration::Row::Versions(it) = self else {
            return check_key(key, &self.key());
        };
        // Earlier entries wrote all versions of a service under its name.
        if it.service != key {
            check_key(key, &it.key())?;
        }
        it.versions.iter().try_for_each(|it| check_version(it))
    }
}

fn check_key(key: &str, expected: &str) -> Result<(), RowError> {
    if key == expected {
        return Ok(());
    }
    Err(RowError::KeyMismatch(expected.to_owned()))
}

impl Check for Batch {
    const MAX_BYTES: usize = MAX_BYTES;

    fn check(&self, key: &str) -> Result<(), RowError> {
        if batch_number(key).is_none() {
            return Err(RowError::Name(key.to_owned()));
        }
        if !self.is_sound() {
            return Err(RowError::Format(
                "more streams than a batch holds".to_owned(),
            ));
        }
        Ok(())
    }
}

impl Check for Plan {
    // Only the source limits its size. The plan is validated when it comes into force.
    const MAX_BYTES: usize = usize::MAX;

    fn check(&self, _: &str) -> Result<(), RowError> {
        Ok(())
    }
}

fn check_name(text: &str) -> Result<(), RowError> {
    let is_name = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.trim() == text;
    if is_name && HeaderValue::from_str(text).is_ok() {
        return Ok(());
    }
    Err(RowError::Name(text.to_owned()))
}

/// Checks the length of a name that is never sent as a header; any short text is valid.
fn check_length(text: &str) -> Result<(), RowError> {
    if text.len() > MAX_NAME_BYTES {
        return Err(RowError::Name(text.to_owned()));
    }
    Ok(())
}

/// Checks a version, which may be sent as a header; it may be empty.
fn check_version(text: &str) -> Result<(), RowError> {
    check_length(text)?;
    if text.trim() != text || text.chars().any(char::is_control) {
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
    /// Creates a row with this value, which becomes unusable if the validation fails.
    pub fn new(key: &str, version: u64, value: Result<T, RowError>) -> Self {
        let checked = value.and_then(|value| value.check(key).map(|()| value));
        let content = checked.map_or_else(Content::Unusable, Content::Usable);
        Self {
            key: key.to_owned(),
            version,
            content,
        }
    }

    /// Decodes a row whose value is JSON of the source's type `F`, which `convert` converts.
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
        convert: impl FnOnce(F) -> T,
    ) -> Self {
        let value = bytes.and_then(|bytes| {
            if bytes.len() > T::MAX_BYTES {
                return Err(RowError::Size(bytes.len()));
            }
            // Serde would accept an array as a struct's fields in order.
            if bytes.trim_ascii_start().starts_with(b"[") {
                return Err(RowError::Format("an array instead of an object".to_owned()));
            }
            let value = serde_json::from_slice(&bytes);
            value.map_err(|error| RowError::Format(error.to_string()))
        });
        Self::new(key, version, value.map(convert))
    }
}

/// The unusable rows of one table. Each is logged and counted once until it is valid again.
#[derive(Debug)]
pub struct UnusableRows {
    what: &'static str,
    keys: HashSet<String>,
}

impl UnusableRows {
    /// Creates an empty set; `what` names the kind of rows in logs and metrics.
    pub fn new(what: &'static str) -> Self {
        Self {
            what,
            keys: HashSet::new(),
        }
    }

    /// Records a whole table and drops the rows that are no longer in it.
    pub fn replace<T>(&mut self, rows: &[Row<T>], metrics: &Metrics) {
        let present: HashSet<_> = rows.iter().map(|row| row.key.as_str()).collect();
        self.keys.retain(|key| present.contains(key.as_str()));
        self.record(rows, metrics);
    }

    /// Records changes of the table; logs and counts the rows that have become unusable.
    pub fn record<T>(&mut self, rows: &[Row<T>], metrics: &Metrics) {
        let mut new_faults = Vec::new();
        for row in rows {
            match &row.content {
                Content::Unusable(reason) if self.keys.insert(row.key.clone()) => {
                    new_faults.push((row.key.as_str(), row.version, reason));
                }
                Content::Unusable(_) => {}
                Content::Usable(_) | Content::Removed => {
                    self.keys.remove(&row.key);
                }
            }
        }
        let count = metrics.unusable_rows.with_label_values(&[self.what]);
        count.inc_by(new_faults.len() as u64);
        self.log(&new_faults);
    }

    fn log(&self, new_faults: &[(&str, u64, &RowError)]) {
        if new_faults.len() > MAX_LOGGED_ROWS {
            log::warn!(what = self.what, rows = new_faults.len(); "many rows can't be used");
            return;
        }
        for (key, version, reason) in new_faults {
            log::warn!(
                what = self.what, key = truncated(key), version = version,
                reason = truncated(&reason.to_string());
                "a row can't be used"
            );
        }
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
