//! Values of options and arguments, checked before anything is called.

use std::fmt;
use std::str::FromStr;

use awc::http::Uri;
use woodgap_core::name;

/// The longest identity of a change, in characters.
const IDENTITY_LENGTH: usize = 200;

/// The base URL of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Base(String);

impl Base {
    /// The URL of a path at this entry.
    pub fn join(&self, path: &str) -> String {
        format!("{}{path}", self.0)
    }
}

impl FromStr for Base {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let expected = || "--entry: expected a URL such as http://10.1.1.11:8080".to_owned();
        let uri: Uri = text.parse().map_err(|_| expected())?;
        let plain = uri.scheme_str() == Some("http") && uri.host().is_some();
        let bare = uri.path() == "/" && uri.query().is_none();
        if plain && bare {
            Ok(Self(text.trim_end_matches('/').to_owned()))
        } else {
            Err(expected())
        }
    }
}

impl fmt::Display for Base {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A document's key: its kind and name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentKey(String);

impl DocumentKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for DocumentKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let good = text.split_once('/').is_some_and(|(kind, name)| {
            matches!(kind, "template" | "workspace") && woodgap_settings::is_name(name)
        });
        if good {
            Ok(Self(text.to_owned()))
        } else {
            Err("KEY: expected template/NAME or workspace/NAME".to_owned())
        }
    }
}

/// Checks the identity of a change.
///
/// # Errors
///
/// What is expected, for the operator.
pub fn identity(text: String) -> Result<String, String> {
    let fits = (1..=IDENTITY_LENGTH).contains(&text.len());
    if fits && text.bytes().all(|byte| byte.is_ascii_graphic()) {
        Ok(text)
    } else {
        Err(format!(
            "--identity: expected 1 to {IDENTITY_LENGTH} visible ASCII characters"
        ))
    }
}

/// Reads the id of a request.
///
/// # Errors
///
/// What is expected, for the operator.
pub fn request(text: &str) -> Result<name::Request, String> {
    name::Request::parse(text).ok_or_else(|| {
        "ID: expected an id as in X-Woodgap-Request, such as 00000000000000ab-7".to_owned()
    })
}
