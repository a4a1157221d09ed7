//! Orders to endpoints as operators write them.

use std::path::Path;

use woodgap_core::name;
use woodgap_core::orders::{Order, Scope, Wanted};

use crate::problem::Problems;
use crate::reader::{self, Section};
use crate::rule;

/// The roles that an endpoint may have.
const ROLES: &[(&str, &str)] = &[
    ("serve", "serve"),
    ("prefill", "prefill"),
    ("decode", "decode"),
    ("idle", "idle"),
];

/// Reads an order; `file` is the name for messages.
///
/// # Errors
///
/// All problems of the text at once.
///
/// ```
/// let text = r#"{"endpoint": "engine-1", // the oldest one
///   "wanted": {"models": ["story-7b"], "role": "serv"}}"#;
/// let problems = woodgap_settings::order::parse(text, "order.jsonc").unwrap_err();
/// assert_eq!(problems.problems[0].path, "wanted.role");
/// ```
pub fn parse(text: &str, file: &str) -> Result<Order, Problems> {
    reader::read(text, file, read)
}

/// Reads an order from a file.
///
/// # Errors
///
/// All problems of the file at once, or the one that kept it from being read.
pub fn load(path: &Path) -> Result<Order, Problems> {
    reader::load(path, read)
}

fn read(section: &Section) -> Option<Order> {
    let both = section.has("endpoint") == section.has("pool");
    if both {
        section.reject(
            "endpoint",
            "`endpoint` and `pool` both or neither".to_owned(),
            "the name of an endpoint, or a pool",
            "Give one of them.",
        );
    }
    let endpoint = section.optional("endpoint", &rule::name());
    let pool = if section.has("pool") {
        section.within("pool", pool).flatten()
    } else {
        None
    };
    let wanted = section.within("wanted", wanted).flatten();
    let scope = match (endpoint, pool) {
        (Some(endpoint), None) => Scope::Endpoint(endpoint.into()),
        (None, Some(pool)) => Scope::Pool(pool),
        _ => return None,
    };
    Some(Order {
        scope,
        wanted: Some(wanted?),
    })
}

fn pool(section: &Section) -> Option<name::Pool> {
    let target = section.required("target", &rule::target());
    let data_centre = section.required("data_centre", &rule::name());
    Some(name::Pool {
        target: target?.into(),
        data_centre: data_centre?.into(),
    })
}

fn wanted(section: &Section) -> Option<Wanted> {
    let models = section.list("models", &rule::target()).unwrap_or_default();
    let role = section.required("role", &rule::choice(ROLES));
    let mut known = models.clone();
    known.sort_unstable();
    known.dedup();
    if known.len() < models.len() {
        section.reject("models", "one more than once".to_owned(), "each once", "");
    }
    Some(Wanted {
        models,
        role: role?.to_owned(),
    })
}
