//! Fills a template's parameters with a workspace's values.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::Value;
use thiserror::Error;

use crate::clock::Millis;
use crate::config::catalog::{Class, Workspace};
use crate::config::document::{ClassTemplate, Parameter, Template, Values};
use crate::name;
use crate::tier::Tier;

/// Why a workspace's values and its template do not fit together.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// The workspace names a template that does not exist.
    #[error("workspace `{workspace}`: there is no template `{template}`")]
    NoTemplate {
        /// The workspace.
        workspace: String,
        /// The template it names.
        template: String,
    },
    /// A value is given for a parameter that the template does not have.
    #[error("workspace `{workspace}`: the template has no parameter `{parameter}`")]
    UnknownParameter {
        /// The workspace.
        workspace: String,
        /// The parameter it names.
        parameter: String,
    },
    /// A parameter without default has no value.
    #[error("workspace `{workspace}`: parameter `{parameter}` has no value and no default")]
    MissingValue {
        /// The workspace.
        workspace: String,
        /// The parameter without value.
        parameter: String,
    },
    /// A value is of the wrong type or out of bounds.
    #[error("workspace `{workspace}`: `{field}` is {found}, expected {expected}")]
    BadValue {
        /// The workspace.
        workspace: String,
        /// The parameter or field.
        field: String,
        /// The value found, as JSON.
        found: String,
        /// What would be accepted.
        expected: String,
    },
    /// A key is no SHA-256 in lower-case hexadecimal.
    #[error(
        "workspace `{workspace}`: key `{found}` is no SHA-256 in lower-case hexadecimal, 64 digits"
    )]
    BadKey {
        /// The workspace.
        workspace: String,
        /// What stands in place of the key.
        found: String,
    },
    /// A key is another workspace's.
    #[error("workspace `{workspace}`: one of its keys is already that of workspace `{other}`")]
    KeyTaken {
        /// The workspace.
        workspace: String,
        /// The workspace that has the key.
        other: String,
    },
    /// A field refers to a parameter that is not declared.
    #[error("template `{template}`: `{field}` refers to `${parameter}`, which is not declared")]
    Undeclared {
        /// The template.
        template: String,
        /// The field that refers to it.
        field: String,
        /// The parameter referred to.
        parameter: String,
    },
}

/// Resolves a workspace, or says everything that is wrong with it.
///
/// # Errors
///
/// All the problems found, in the order of the template's fields.
///
/// ```
/// use woodgap_core::config::{Document, resolve};
///
/// let template = r#"{"kind": "template", "name": "family",
///   "parameters": {"tier": {"type": "integer", "min": 1, "max": 7}},
///   "tier": "$tier",
///   "classes": {"caption": {"targets": ["story-7b"], "target_ms": 60000}}}"#;
/// let Document::Template(template) = serde_json::from_str(template).unwrap() else { panic!() };
/// let values = r#"{"kind": "workspace", "name": "murphy", "template": "family",
///   "values": {"tier": 2}, "keys": []}"#;
/// let Document::Workspace(values) = serde_json::from_str(values).unwrap() else { panic!() };
/// let workspace = resolve(&template, &values).unwrap();
/// assert_eq!(workspace.tier.number(), 2);
/// ```
pub fn resolve(template: &Template, values: &Values) -> Result<Workspace, Vec<Problem>> {
    let mut resolver = Resolver::new(template, values);
    let tier = resolver.tier();
    let classes = resolver.classes();
    if resolver.problems.is_empty() {
        Ok(Workspace {
            name: name::Workspace::from(values.name.as_str()),
            tier: tier.unwrap_or(Tier::LOWEST),
            classes: Arc::new(classes),
            keys: values.keys.clone(),
        })
    } else {
        Err(resolver.problems)
    }
}

struct Resolver<'a> {
    template: &'a Template,
    values: &'a Values,
    filled: BTreeMap<&'a str, Value>,
    problems: Vec<Problem>,
}

impl<'a> Resolver<'a> {
    fn new(template: &'a Template, values: &'a Values) -> Self {
        let mut resolver = Self {
            template,
            values,
            filled: BTreeMap::new(),
            problems: Vec::new(),
        };
        resolver.refuse_unknown();
        resolver.fill();
        resolver
    }

    fn refuse_unknown(&mut self) {
        for parameter in self.values.values.keys() {
            if !self.template.parameters.contains_key(parameter) {
                self.problems.push(Problem::UnknownParameter {
                    workspace: self.values.name.clone(),
                    parameter: parameter.clone(),
                });
            }
        }
    }

    fn fill(&mut self) {
        for (name, parameter) in &self.template.parameters {
            let given = self.values.values.get(name).cloned();
            let Some(value) = given.or_else(|| parameter.default_value()) else {
                self.problems.push(Problem::MissingValue {
                    workspace: self.values.name.clone(),
                    parameter: name.clone(),
                });
                continue;
            };
            if parameter.accepts(&value) {
                self.filled.insert(name, value);
            } else {
                self.bad(name, &value, parameter.expected());
            }
        }
    }

    fn tier(&mut self) -> Option<Tier> {
        let value = self.lookup("tier", &self.template.tier)?;
        let tier = value
            .as_u64()
            .and_then(|number| u8::try_from(number).ok())
            .and_then(Tier::new);
        if tier.is_none() {
            self.bad("tier", &value, "a whole number from 1 to 7".to_owned());
        }
        tier
    }

    fn classes(&mut self) -> BTreeMap<name::Class, Class> {
        let template = self.template;
        let mut classes = BTreeMap::new();
        for (name, class) in &template.classes {
            if let Some(resolved) = self.class(name, class) {
                classes.insert(name::Class::from(name.as_str()), resolved);
            }
        }
        classes
    }

    fn class(&mut self, name: &str, class: &ClassTemplate) -> Option<Class> {
        let target = self.positive(&format!("classes.{name}.target_ms"), &class.target_ms);
        let weight = self.positive(&format!("classes.{name}.weight"), &class.weight);
        let repeatable = self.boolean(&format!("classes.{name}.repeatable"), &class.repeatable);
        let deferrable = self.boolean(&format!("classes.{name}.deferrable"), &class.deferrable);
        Some(Class {
            targets: class
                .targets
                .iter()
                .map(|target| name::Target::from(target.as_str()))
                .collect(),
            target: Millis(target?),
            measure: class.measure,
            repeatable: repeatable?,
            deferrable: deferrable?,
            weight: weight?,
        })
    }

    fn positive(&mut self, field: &str, value: &Value) -> Option<u64> {
        let value = self.lookup(field, value)?;
        let number = value.as_u64().filter(|number| *number > 0);
        if number.is_none() {
            self.bad(field, &value, "a whole number above 0".to_owned());
        }
        number
    }

    fn boolean(&mut self, field: &str, value: &Value) -> Option<bool> {
        let value = self.lookup(field, value)?;
        let boolean = value.as_bool();
        if boolean.is_none() {
            self.bad(field, &value, "true or false".to_owned());
        }
        boolean
    }

    fn lookup(&mut self, field: &str, value: &Value) -> Option<Value> {
        let Some(parameter) = value.as_str().and_then(|text| text.strip_prefix('$')) else {
            return Some(value.clone());
        };
        if !self.template.parameters.contains_key(parameter) {
            self.problems.push(Problem::Undeclared {
                template: self.template.name.clone(),
                field: field.to_owned(),
                parameter: parameter.to_owned(),
            });
        }
        // A declared parameter without a usable value was reported by `fill`.
        self.filled.get(parameter).cloned()
    }

    fn bad(&mut self, field: &str, found: &Value, expected: String) {
        self.problems.push(Problem::BadValue {
            workspace: self.values.name.clone(),
            field: field.to_owned(),
            found: found.to_string(),
            expected,
        });
    }
}

impl Parameter {
    fn default_value(&self) -> Option<Value> {
        match self {
            Self::Integer { default, .. } => default.map(Value::from),
            Self::Boolean { default } => default.map(Value::from),
            Self::Choice { default, .. } => default.clone().map(Value::from),
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match self {
            Self::Integer { min, max, .. } => value
                .as_u64()
                .is_some_and(|number| (*min..=*max).contains(&number)),
            Self::Boolean { .. } => value.is_boolean(),
            Self::Choice { of, .. } => value
                .as_str()
                .is_some_and(|text| of.iter().any(|choice| choice == text)),
        }
    }

    fn expected(&self) -> String {
        match self {
            Self::Integer { min, max, .. } => format!("a whole number from {min} to {max}"),
            Self::Boolean { .. } => "true or false".to_owned(),
            Self::Choice { of, .. } => format!("one of {}", of.join(", ")),
        }
    }
}
