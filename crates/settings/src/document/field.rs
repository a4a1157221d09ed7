//! Fields of a template that hold a value or refer to a parameter.

use std::collections::BTreeMap;

use serde_json::Value;
use woodgap_core::config::Parameter;

use crate::rule::{self, Rule};

/// Makes the rules of a template's fields, which depend on its parameters.
pub struct Field<'a> {
    parameters: &'a BTreeMap<String, Parameter>,
}

impl<'a> Field<'a> {
    pub fn new(parameters: &'a BTreeMap<String, Parameter>) -> Self {
        Self { parameters }
    }

    /// A whole number within bounds, or a parameter that can't leave them.
    pub fn number(&self, least: u64, most: u64) -> Rule<Value> {
        let fits = move |parameter: &Parameter| match parameter {
            Parameter::Integer { min, max, .. } => least <= *min && *max <= most,
            Parameter::Boolean { .. } | Parameter::Choice { .. } => false,
        };
        self.or_parameter(rule::whole(least, most), fits)
    }

    /// True or false, or a parameter that is.
    pub fn boolean(&self) -> Rule<Value> {
        let fits = |parameter: &Parameter| matches!(parameter, Parameter::Boolean { .. });
        self.or_parameter(rule::boolean(), fits)
    }

    fn or_parameter<T: Into<Value> + 'static>(
        &self,
        rule: Rule<T>,
        fits: impl Fn(&Parameter) -> bool + 'static,
    ) -> Rule<Value> {
        let fitting: Vec<String> = self
            .parameters
            .iter()
            .filter(|(_, parameter)| fits(parameter))
            .map(|(name, _)| format!("${name}"))
            .collect();
        let here = if fitting.is_empty() {
            "none".to_owned()
        } else {
            fitting.join(", ")
        };
        let expected = format!(
            "{}, or a parameter that is always one (here: {here})",
            rule.expected
        );
        Rule::new(expected, move |value| {
            if let Some(text) = value.as_string_lit() {
                let known = fitting.iter().any(|name| *name == text.value);
                return known.then(|| Value::from(text.value.as_ref()));
            }
            rule.read(value).map(Into::into)
        })
    }
}

/// A workspace's value for a parameter.
pub fn value() -> Rule<Value> {
    Rule::new("a whole number, true, false or a text", |value| {
        let text = rule::text().read(value).map(Value::from);
        let boolean = || rule::boolean().read(value).map(Value::from);
        let number = || rule::whole(0, u64::MAX).read(value).map(Value::from);
        text.or_else(boolean).or_else(number)
    })
}
