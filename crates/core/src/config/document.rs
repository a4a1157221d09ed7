//! The documents that operators write.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One document as it is submitted, kept and revised.
///
/// ```
/// use woodgap_core::config::Document;
///
/// let text = r#"{"kind": "workspace", "name": "murphy", "template": "family",
///                "values": {"tier": 2}, "keys": []}"#;
/// let document: Document = serde_json::from_str(text).unwrap();
/// assert_eq!(document.key(), "workspace/murphy");
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Document {
    /// A service template.
    Template(Template),
    /// One workspace's values for a template.
    Workspace(Values),
}

impl Document {
    /// The row key of the document: its kind and name.
    pub fn key(&self) -> String {
        match self {
            Self::Template(template) => format!("template/{}", template.name),
            Self::Workspace(values) => format!("workspace/{}", values.name),
        }
    }

    /// The document's own name.
    pub fn name(&self) -> &str {
        match self {
            Self::Template(template) => &template.name,
            Self::Workspace(values) => &values.name,
        }
    }
}

/// A service template: tier and classes, with parameters left open.
///
/// A field of type [`Value`] holds either the value itself or `"$name"`, which
/// stands for the parameter of that name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Unique among templates.
    pub name: String,
    /// What each workspace fills in.
    #[serde(default)]
    pub parameters: BTreeMap<String, Parameter>,
    /// The tier, 1 (highest) to 7, or a parameter.
    pub tier: Value,
    /// The request classes that a workspace may send.
    pub classes: BTreeMap<String, ClassTemplate>,
}

impl Template {
    /// Values that any workspace could have: defaults, else the first allowed.
    pub fn example(&self) -> Values {
        let value = |(name, parameter): (&String, &Parameter)| (name.clone(), parameter.example());
        Values {
            name: "example".to_owned(),
            template: self.name.clone(),
            values: self.parameters.iter().map(value).collect(),
            keys: Vec::new(),
        }
    }
}

impl Parameter {
    fn example(&self) -> Value {
        match self {
            Self::Integer { min, default, .. } => Value::from(default.unwrap_or(*min)),
            Self::Boolean { default } => Value::from(default.unwrap_or_default()),
            Self::Choice { of, default } => {
                Value::from(default.as_ref().or(of.first()).cloned().unwrap_or_default())
            }
        }
    }
}

/// A parameter's type and bounds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Parameter {
    /// A whole number within bounds.
    Integer {
        /// Smallest value allowed.
        min: u64,
        /// Largest value allowed.
        max: u64,
        /// The value where a workspace gives none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        default: Option<u64>,
    },
    /// True or false.
    Boolean {
        /// The value where a workspace gives none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        default: Option<bool>,
    },
    /// One of a list of texts.
    Choice {
        /// The texts allowed.
        of: Vec<String>,
        /// The value where a workspace gives none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        default: Option<String>,
    },
}

/// A class within a template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTemplate {
    /// Models and plain services that the class may use.
    pub targets: Vec<String>,
    /// The latency target in ms, or a parameter.
    pub target_ms: Value,
    /// What the latency target measures.
    #[serde(default)]
    pub measure: Measure,
    /// Whether a request may run more than once; a parameter is allowed.
    #[serde(default = "yes")]
    pub repeatable: Value,
    /// Whether a request may be deferred; a parameter is allowed.
    #[serde(default = "no")]
    pub deferrable: Value,
    /// Weight among the workspace's classes, or a parameter.
    #[serde(default = "one")]
    pub weight: Value,
}

/// What a latency target measures, from the request's arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// The first token or byte of the answer.
    FirstToken,
    /// The end of the whole answer.
    #[default]
    Complete,
}

/// One workspace's values for a template.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Values {
    /// Unique among workspaces.
    pub name: String,
    /// The template that the values fill in.
    pub template: String,
    /// A value per parameter; parameters with a default may be left out.
    #[serde(default)]
    pub values: BTreeMap<String, Value>,
    /// SHA-256 of each key that names this workspace, in hexadecimal.
    pub keys: Vec<String>,
}

fn yes() -> Value {
    Value::Bool(true)
}

fn no() -> Value {
    Value::Bool(false)
}

fn one() -> Value {
    Value::from(1)
}
