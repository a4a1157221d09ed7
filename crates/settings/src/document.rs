//! Configuration documents as operators write them: templates and workspaces.
//!
//! A document is checked by itself here. Whether it goes with the documents in
//! force is decided where it is applied.

use std::path::Path;

use serde_json::Value;
use woodgap_core::config::document::{ClassTemplate, Measure};
use woodgap_core::config::{Document, Template, Values};

use crate::problem::Problems;
use crate::reader::{self, Section};
use crate::rule;

mod field;
mod parameter;

use field::Field;

/// The longest latency target, in ms: a day.
const LONGEST_TARGET: u64 = 24 * 60 * 60 * 1_000;

/// The largest weight of a class among a workspace's classes.
const MOST_WEIGHT: u64 = 1_000;

/// The two kinds of documents.
#[derive(Clone, Copy)]
enum Kind {
    Template,
    Workspace,
}

const KINDS: &[(&str, Kind)] = &[("template", Kind::Template), ("workspace", Kind::Workspace)];

const MEASURES: &[(&str, Measure)] = &[
    ("first_token", Measure::FirstToken),
    ("complete", Measure::Complete),
];

/// Reads a document; `file` is the name for messages.
///
/// # Errors
///
/// All problems of the text at once.
///
/// ```
/// let text = r#"{"kind": "workspace", "name": "murphy", "template": "family",
///   "values": {"tier": 2}, "keys": []} // comments are allowed"#;
/// let document = woodgap_settings::document::parse(text, "murphy.json").unwrap();
/// assert_eq!(document.key(), "workspace/murphy");
/// ```
pub fn parse(text: &str, file: &str) -> Result<Document, Problems> {
    reader::read(text, file, read)
}

/// Reads a document from a file.
///
/// # Errors
///
/// All problems of the file at once, or the one that kept it from being read.
pub fn load(path: &Path) -> Result<Document, Problems> {
    reader::load(path, read)
}

fn read(section: &Section) -> Option<Document> {
    let Some(kind) = section.required("kind", &rule::choice(KINDS)) else {
        // The other keys can't be judged before the kind is known.
        section.accept_all();
        return None;
    };
    match kind {
        Kind::Template => template(section).map(Document::Template),
        Kind::Workspace => workspace(section).map(Document::Workspace),
    }
}

fn template(section: &Section) -> Option<Template> {
    let name = section.required("name", &rule::name());
    let parameters = section.each_named("parameters", parameter::read);
    let field = Field::new(&parameters);
    let tier = section.required("tier", &field.number(1, 7));
    let classes = section.each_named("classes", |section| class(section, &field));
    if !section.has("classes") {
        section.reject(
            "classes",
            "nothing".to_owned(),
            "an object of classes by name",
            "Add `classes` with the request classes that a workspace may send.",
        );
    }
    Some(Template {
        name: name?,
        parameters,
        tier: tier?,
        classes,
    })
}

fn class(section: &Section, field: &Field) -> Option<ClassTemplate> {
    let targets = section.required_list("targets", &rule::target());
    let target_ms = section.required("target_ms", &field.number(1, LONGEST_TARGET));
    let measure = section.or("measure", &rule::choice(MEASURES), Measure::default());
    let repeatable = section.or("repeatable", &field.boolean(), Value::Bool(true));
    let deferrable = section.or("deferrable", &field.boolean(), Value::Bool(false));
    let weight = section.or("weight", &field.number(1, MOST_WEIGHT), Value::from(1));
    Some(ClassTemplate {
        targets: targets?,
        target_ms: target_ms?,
        measure,
        repeatable,
        deferrable,
        weight,
    })
}

fn workspace(section: &Section) -> Option<Values> {
    let name = section.required("name", &rule::name());
    let template = section.required("template", &rule::name());
    let values = section.map("values", &field::value());
    let keys = section.list("keys", &rule::digest());
    if !section.has("keys") {
        // No default: a key left out by mistake would shut the workspace out.
        section.reject(
            "keys",
            "nothing".to_owned(),
            "a list, each the SHA-256 of a key of the workspace",
            "Add `keys`; an empty list closes the workspace.",
        );
    }
    Some(Values {
        name: name?,
        template: template?,
        values,
        keys: keys?,
    })
}
