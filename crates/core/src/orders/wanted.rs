//! The state that is wanted of an endpoint.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The roles that an endpoint may have.
const ROLES: [&str; 4] = ["serve", "prefill", "decode", "idle"];
/// The longest name of a model, in bytes.
const NAME_LENGTH: usize = 200;

/// The state wanted of an endpoint; orders are whole states, so repeating one is harmless.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Models to hold, with adapters as `model+adapter` and versions as `model@version`.
    pub models: Vec<String>,
    /// The role: `serve`, `prefill`, `decode` or `idle`.
    pub role: String,
}

impl Wanted {
    /// Whether two states are the same; the order of the models says nothing.
    ///
    /// ```
    /// use woodgap_core::orders::Wanted;
    ///
    /// let state = |models: [&str; 2]| Wanted {
    ///     models: models.map(str::to_owned).to_vec(),
    ///     role: "serve".to_owned(),
    /// };
    /// assert!(state(["a", "b"]).same(&state(["b", "a"])));
    /// ```
    pub fn same(&self, other: &Self) -> bool {
        self.role == other.role && self.set() == other.set()
    }

    /// Whether an endpoint in another state must load something to come to this one.
    pub fn loads(&self, from: &Self) -> bool {
        !self.set().is_subset(&from.set())
    }

    fn set(&self) -> BTreeSet<&str> {
        self.models.iter().map(String::as_str).collect()
    }

    /// What is wrong with the state, one sentence each.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !ROLES.contains(&self.role.as_str()) {
            let roles = ROLES.join(", ");
            problems.push(format!(
                "`role` is `{}`, expected one of {roles}",
                self.role
            ));
        }
        for model in &self.models {
            let fits = (1..=NAME_LENGTH).contains(&model.len());
            if !fits || !model.bytes().all(|byte| byte.is_ascii_graphic()) {
                problems.push(format!(
                    "`models` has `{model}`, expected 1 to {NAME_LENGTH} visible ASCII characters"
                ));
            }
        }
        if self.set().len() < self.models.len() {
            problems.push("`models` names one more than once".to_owned());
        }
        problems
    }
}
