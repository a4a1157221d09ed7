//! Parses a file and gathers what is wrong with it, by place.

use std::cell::RefCell;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::problem::{Problem, Problems};

/// What is expected in place of a value of another type.
pub const OBJECT: &str = "an object `{...}`";

/// JSON with `//` and `/* */` comments and trailing commas, and nothing more.
const DIALECT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Hands the object of a file to a function; what it returns counts only if no
/// problem was found.
pub fn with_root<T>(
    text: &str,
    file: &str,
    reading: impl FnOnce(&Report, &Object) -> Option<T>,
) -> Result<T, Problems> {
    let report = Report {
        text,
        problems: RefCell::default(),
    };
    let parsed = report.parse();
    let object = parsed.as_ref().and_then(|value| report.root(value));
    let result = object.and_then(|object| reading(&report, object));
    report.close(file, result)
}

/// The problems found so far, and the text that places them.
pub struct Report<'t> {
    text: &'t str,
    problems: RefCell<Vec<Problem>>,
}

impl<'t> Report<'t> {
    fn parse(&self) -> Option<Value<'t>> {
        let parsed = match parse_to_ast(self.text, &CollectOptions::default(), &DIALECT) {
            Ok(parsed) => parsed,
            Err(error) => {
                let found = format!("a syntax error ({})", error.kind());
                self.add(error.range().start, "", found, "JSON with comments", "");
                return None;
            }
        };
        if parsed.value.is_none() {
            self.add(0, "", "nothing".to_owned(), OBJECT, "");
        }
        parsed.value
    }

    fn root<'v>(&self, value: &'v Value<'t>) -> Option<&'v Object<'t>> {
        if let Value::Object(object) = value {
            return Some(object);
        }
        let found = kind(value).to_owned();
        self.add(value.start(), "", found, OBJECT, "");
        None
    }

    /// Line and column of a byte, both counted from 1, the column in characters.
    pub fn place(&self, at: usize) -> (usize, usize) {
        let before = &self.text[..at];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        (line, before[start..].chars().count() + 1)
    }

    fn close<T>(self, file: &str, result: Option<T>) -> Result<T, Problems> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| (problem.line, problem.column));
        match result {
            Some(value) if problems.is_empty() => Ok(value),
            _ => Err(Problems {
                file: file.to_owned(),
                problems,
            }),
        }
    }

    pub fn add(&self, at: usize, path: &str, found: String, expected: &str, fix: &str) {
        let (line, column) = self.place(at);
        self.problems.borrow_mut().push(Problem {
            line,
            column,
            path: path.to_owned(),
            found,
            expected: expected.to_owned(),
            fix: fix.to_owned(),
        });
    }
}

/// The type of a value in words.
pub fn kind(value: &Value) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a boolean",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}
