//! Tells the kinds of files apart by their keys.

use std::fmt;

use crate::problem::Problems;
use crate::reader;

/// What a file is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Settings of a `woodgap-entry`.
    Entry,
    /// Settings of a `woodgap-relay`.
    Relay,
    /// Settings of `woodgap-burn`.
    Burn,
    /// A configuration document: a template or a workspace's values.
    Document,
    /// An order to endpoints.
    Order,
}

impl Kind {
    /// Each kind with keys that no other kind has.
    const SIGNATURES: &[(Self, &[&str])] = &[
        (Self::Document, &["kind", "template", "classes"]),
        (Self::Order, &["wanted", "endpoint", "pool"]),
        (Self::Burn, &["shifts", "objectives", "time_zone"]),
        (Self::Relay, &["directory_listen", "ready_listen", "bounds"]),
        (
            Self::Entry,
            &["listen", "peer_listen", "fleet_key", "operators", "limits"],
        ),
    ];

    /// The kind of a file; none where its keys fit no kind.
    ///
    /// # Errors
    ///
    /// The problem of a text that is no object in JSON with comments.
    ///
    /// ```
    /// use woodgap_settings::Kind;
    ///
    /// let text = r#"{"time_zone": "Europe/Madrid"} // a report"#;
    /// assert_eq!(Kind::of(text, "burn.jsonc").unwrap(), Some(Kind::Burn));
    /// assert_eq!(Kind::of("{}", "empty.jsonc").unwrap(), None);
    /// ```
    pub fn of(text: &str, file: &str) -> Result<Option<Self>, Problems> {
        let keys = reader::keys(text, file)?;
        let fits = |signature: &[&str]| keys.iter().any(|key| signature.contains(&key.as_str()));
        let mut kinds = Self::SIGNATURES.iter();
        let found = kinds.find(|(_, signature)| fits(signature));
        Ok(found.map(|(kind, _)| *kind))
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Entry => "settings of an entry",
            Self::Relay => "settings of a relay",
            Self::Burn => "settings of the burn report",
            Self::Document => "a configuration document",
            Self::Order => "an order to endpoints",
        })
    }
}
