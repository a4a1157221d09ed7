//! The parameters that a template declares.

use woodgap_core::config::Parameter;

use crate::reader::Section;
use crate::rule;

/// The types of parameters.
#[derive(Clone, Copy)]
enum Type {
    Integer,
    Boolean,
    Choice,
}

const TYPES: &[(&str, Type)] = &[
    ("integer", Type::Integer),
    ("boolean", Type::Boolean),
    ("choice", Type::Choice),
];

pub fn read(section: &Section) -> Option<Parameter> {
    let Some(kind) = section.required("type", &rule::choice(TYPES)) else {
        // The other keys can't be judged before the type is known.
        section.accept_all();
        return None;
    };
    match kind {
        Type::Integer => integer(section),
        Type::Boolean => Some(Parameter::Boolean {
            default: section.optional("default", &rule::boolean()),
        }),
        Type::Choice => choice(section),
    }
}

fn integer(section: &Section) -> Option<Parameter> {
    let any = rule::whole(0, u64::MAX);
    let min = section.required("min", &any);
    let max = section.required("max", &any);
    let default = section.optional("default", &any);
    let (min, max) = (min?, max?);
    if min > max {
        section.reject(
            "max",
            max.to_string(),
            &format!("at least min = {min}"),
            "Exchange them.",
        );
    } else if let Some(default) = default.filter(|value| !(min..=max).contains(value)) {
        section.reject(
            "default",
            default.to_string(),
            &format!("a whole number from {min} to {max}"),
            "Change it, or the bounds.",
        );
    }
    Some(Parameter::Integer { min, max, default })
}

fn choice(section: &Section) -> Option<Parameter> {
    let of = section.required_list("of", &rule::text());
    let default = section.optional("default", &rule::text());
    let of = of?;
    if let Some(default) = default.as_ref().filter(|text| !of.contains(text)) {
        section.reject(
            "default",
            format!("{default:?}"),
            &format!("one of {}", of.join(", ")),
            "Change it, or add it to `of`.",
        );
    }
    Some(Parameter::Choice { of, default })
}
