//! The difference between two documents, field by field.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::Value;
use woodgap_core::config::Document;

/// Fields that differ, by path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    fields: Vec<Field>,
}

/// A field that differs: what it was and what it shall be, as JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    path: String,
    old: Option<String>,
    new: Option<String>,
}

impl Difference {
    /// What turns the old document, if there is one, into the new one.
    ///
    /// ```
    /// use woodgap_ctl::difference::Difference;
    ///
    /// let text = r#"{"kind": "workspace", "name": "murphy", "template": "family",
    ///   "values": {"tier": 2}, "keys": []}"#;
    /// let old = serde_json::from_str(text).unwrap();
    /// let new = serde_json::from_str(&text.replace('2', "3")).unwrap();
    /// let difference = Difference::between(Some(&old), &new);
    /// assert_eq!(difference.to_string(), "- values.tier: 2\n+ values.tier: 3");
    /// assert!(Difference::between(Some(&old), &old).is_empty());
    /// ```
    pub fn between(old: Option<&Document>, new: &Document) -> Self {
        let old = old.map(leaves).unwrap_or_default();
        let new = leaves(new);
        let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
        paths.sort();
        paths.dedup();
        let field = |path: &String| Field {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        };
        let fields = paths.into_iter().map(field);
        Self {
            fields: fields.filter(|field| field.old != field.new).collect(),
        }
    }

    /// Whether the documents are the same.
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for field in &self.fields {
            for (sign, value) in [('-', &field.old), ('+', &field.new)] {
                if let Some(value) = value {
                    write!(formatter, "{separator}{sign} {}: {value}", field.path)?;
                    separator = "\n";
                }
            }
        }
        Ok(())
    }
}

/// The document's values by path; a list of plain values is one value.
fn leaves(document: &Document) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(document) {
        descend("", &value, &mut leaves);
    }
    leaves
}

fn descend(path: &str, value: &Value, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (key, value) in members {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                descend(&path, value, leaves);
            }
        }
        _ => {
            leaves.insert(path.to_owned(), value.to_string());
        }
    }
}
