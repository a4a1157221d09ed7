//! Pulls typed fields out of a parsed file; notes what is wrong and goes on.
//!
//! A reading function takes a [`Section`] and must ask for all of its keys
//! before it returns: what was not asked for is an unknown key.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;

use crate::problem::Problems;
use crate::rule::{self, Rule};

mod report;

use report::{OBJECT, Report, kind};

/// How alike an unknown key must be to a known one to be taken for it, from 0
/// to 1: two typing errors in a short word still pass, another word does not.
const LIKENESS: f64 = 0.75;

/// Reads a whole file by a reading function.
pub fn read<T>(
    text: &str,
    file: &str,
    reading: impl FnOnce(&Section) -> Option<T>,
) -> Result<T, Problems> {
    report::with_root(text, file, |report, object| {
        Section::new(report, String::new(), object.start(), Some(object)).run(reading)
    })
}

/// Reads a whole file from its path by a reading function.
pub fn load<T>(path: &Path, reading: impl FnOnce(&Section) -> Option<T>) -> Result<T, Problems> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| Problems::unreadable(&file, &error))?;
    read(&text, &file, reading)
}

/// The keys of the file's object, whatever they are.
pub fn keys(text: &str, file: &str) -> Result<Vec<String>, Problems> {
    report::with_root(text, file, |_, object| {
        let names = object.properties.iter().map(|it| it.name.as_str());
        Some(names.map(str::to_owned).collect())
    })
}

/// One object of the file. A missing one reads like an empty one, so that its
/// defaults apply and its required keys are reported.
pub struct Section<'r> {
    report: &'r Report<'r>,
    path: String,
    at: usize,
    object: Option<&'r Object<'r>>,
    known: RefCell<Vec<&'static str>>,
    lenient: Cell<bool>,
}

impl<'r> Section<'r> {
    fn new(
        report: &'r Report<'r>,
        path: String,
        at: usize,
        object: Option<&'r Object<'r>>,
    ) -> Self {
        Self {
            report,
            path,
            at,
            object,
            known: RefCell::default(),
            lenient: Cell::new(false),
        }
    }

    fn run<T>(self, reading: impl FnOnce(&Self) -> T) -> T {
        let result = reading(&self);
        self.refuse_unknown();
        self.refuse_duplicates();
        result
    }

    /// A key that must be there.
    pub fn required<T>(&self, key: &'static str, rule: &Rule<T>) -> Option<T> {
        if self.value(key).is_none() {
            let fix = if rule.fix.is_empty() {
                format!("Add `{key}`.")
            } else {
                format!("Add `{key}`. {}", rule.fix)
            };
            self.add(self.at, key, "nothing".to_owned(), &rule.expected, &fix);
        }
        self.optional(key, rule)
    }

    /// A key that may be left out.
    pub fn optional<T>(&self, key: &'static str, rule: &Rule<T>) -> Option<T> {
        let value = self.value(key)?;
        self.checked(&self.path_of(key), value, rule)
    }

    /// A key with a default.
    pub fn or<T>(&self, key: &'static str, rule: &Rule<T>, default: T) -> T {
        self.optional(key, rule).unwrap_or(default)
    }

    /// A list of plain values; none where it is left out.
    pub fn list<T>(&self, key: &'static str, rule: &Rule<T>) -> Option<Vec<T>> {
        let expected = format!("a list, each {}", rule.expected);
        let elements = self.elements(key, &expected)?;
        let read = |(index, value)| {
            let path = format!("{}[{index}]", self.path_of(key));
            self.checked(&path, value, rule)
        };
        Some(elements.iter().enumerate().filter_map(read).collect())
    }

    /// A list of plain values that must be there and hold at least one.
    pub fn required_list<T>(&self, key: &'static str, rule: &Rule<T>) -> Option<Vec<T>> {
        let expected = format!("a list, each {}", rule.expected);
        if self.value(key).is_none() {
            let fix = format!("Add `{key}`.");
            self.add(self.at, key, "nothing".to_owned(), &expected, &fix);
        }
        let list = self.list(key, rule)?;
        if self.elements(key, &expected)?.is_empty() {
            self.reject(key, "an empty list".to_owned(), &expected, "");
        }
        Some(list)
    }

    /// An object of plain values under names of the writer's choice.
    pub fn map<T>(&self, key: &'static str, rule: &Rule<T>) -> BTreeMap<String, T> {
        self.members(key, |path, value| self.checked(&path, value, rule))
    }

    /// An object with keys of its own; none where the value is something else.
    pub fn within<T>(
        &self,
        key: &'static str,
        reading: impl FnOnce(&Section<'r>) -> T,
    ) -> Option<T> {
        let object = match self.value(key) {
            Some(_) => Some(self.object_at(key)?),
            None => None,
        };
        let at = object.map_or(self.at, Ranged::start);
        let section = Section::new(self.report, self.path_of(key), at, object);
        Some(section.run(reading))
    }

    /// A list of objects, all read the same way; empty where it is left out.
    pub fn each<T>(
        &self,
        key: &'static str,
        reading: impl Fn(&Section<'r>) -> Option<T>,
    ) -> Vec<T> {
        let elements = self.elements(key, "a list of objects").unwrap_or_default();
        let read = |(index, value)| {
            let path = format!("{}[{index}]", self.path_of(key));
            let object = self.object(&path, value)?;
            Section::new(self.report, path, object.start(), Some(object)).run(&reading)
        };
        elements.iter().enumerate().filter_map(read).collect()
    }

    /// An object of objects under names of the writer's choice, each read the
    /// same way.
    pub fn each_named<T>(
        &self,
        key: &'static str,
        reading: impl Fn(&Section<'r>) -> Option<T>,
    ) -> BTreeMap<String, T> {
        let read = |path: String, value| {
            let object = self.object(&path, value)?;
            Section::new(self.report, path, object.start(), Some(object)).run(&reading)
        };
        self.members(key, read)
    }

    /// Takes all keys for known ones, where too little is known to judge them.
    pub fn accept_all(&self) {
        self.lenient.set(true);
    }

    /// Notes that a key's value does not go with another one.
    pub fn reject(&self, key: &'static str, found: String, expected: &str, fix: &str) {
        let at = self.value(key).map_or(self.at, Ranged::start);
        self.add(at, key, found, expected, fix);
    }

    /// Whether a key is there, whatever its value; the key is thereby known.
    pub fn has(&self, key: &'static str) -> bool {
        self.value(key).is_some()
    }

    /// The value of a key, which is thereby known.
    fn value(&self, key: &'static str) -> Option<&'r Value<'r>> {
        let mut known = self.known.borrow_mut();
        if !known.contains(&key) {
            known.push(key);
        }
        let properties = &self.object?.properties;
        let property = properties.iter().find(|it| it.name.as_str() == key)?;
        Some(&property.value)
    }

    /// Reads each member of an object whose keys are names of the writer's choice.
    fn members<T>(
        &self,
        key: &'static str,
        read: impl Fn(String, &'r Value<'r>) -> Option<T>,
    ) -> BTreeMap<String, T> {
        let Some(object) = self.object_at(key) else {
            return BTreeMap::new();
        };
        let section = Section::new(self.report, self.path_of(key), object.start(), Some(object));
        section.refuse_duplicates();
        let member = |property: &'r ObjectProp<'r>| {
            let name = section.member_name(property)?;
            let value = read(section.path_of(name), &property.value)?;
            Some((name.to_owned(), value))
        };
        object.properties.iter().filter_map(member).collect()
    }

    fn member_name(&self, property: &'r ObjectProp<'r>) -> Option<&'r str> {
        let name = property.name.as_str();
        if rule::is_name(name) {
            return Some(name);
        }
        let found = format!("the key {name:?}");
        self.report.add(
            property.start(),
            &self.path,
            found,
            &rule::name().expected,
            "",
        );
        None
    }

    fn checked<T>(&self, path: &str, value: &Value, rule: &Rule<T>) -> Option<T> {
        let read = rule.read(value);
        if read.is_none() {
            let found = rule.describe(value);
            self.report
                .add(value.start(), path, found, &rule.expected, rule.fix);
        }
        read
    }

    fn elements(&self, key: &'static str, expected: &str) -> Option<&'r [Value<'r>]> {
        let value = self.value(key)?;
        if let Value::Array(array) = value {
            return Some(&array.elements);
        }
        self.add(value.start(), key, kind(value).to_owned(), expected, "");
        None
    }

    fn object_at(&self, key: &'static str) -> Option<&'r Object<'r>> {
        self.object(&self.path_of(key), self.value(key)?)
    }

    fn object(&self, path: &str, value: &'r Value<'r>) -> Option<&'r Object<'r>> {
        if let Value::Object(object) = value {
            return Some(object);
        }
        let found = kind(value).to_owned();
        self.report.add(value.start(), path, found, OBJECT, "");
        None
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn add(&self, at: usize, key: &str, found: String, expected: &str, fix: &str) {
        self.report
            .add(at, &self.path_of(key), found, expected, fix);
    }

    fn refuse_unknown(&self) {
        if self.lenient.get() {
            return;
        }
        let known = self.known.borrow();
        for property in self.properties() {
            let key = property.name.as_str();
            if known.contains(&key) {
                continue;
            }
            let expected = format!("one of the keys {}", known.join(", "));
            let fix = nearest(key, &known)
                .map(|near| format!("Did you mean `{near}`?"))
                .unwrap_or_default();
            self.add(
                property.start(),
                key,
                "an unknown key".to_owned(),
                &expected,
                &fix,
            );
        }
    }

    fn refuse_duplicates(&self) {
        let properties = self.properties();
        for (index, property) in properties.iter().enumerate() {
            let key = property.name.as_str();
            let earlier = &properties[..index];
            let Some(first) = earlier.iter().find(|it| it.name.as_str() == key) else {
                continue;
            };
            let (line, _) = self.report.place(first.start());
            let found = format!("the key again, after line {line}");
            self.add(property.start(), key, found, "it once", "Remove one.");
        }
    }

    fn properties(&self) -> &'r [ObjectProp<'r>] {
        self.object.map_or(&[], |object| &object.properties)
    }
}

fn nearest<'k>(key: &str, known: &[&'k str]) -> Option<&'k str> {
    let likeness = |candidate: &str| strsim::jaro_winkler(key, candidate);
    let best = known
        .iter()
        .max_by(|one, other| likeness(one).total_cmp(&likeness(other)))?;
    (likeness(best) >= LIKENESS).then_some(best)
}
