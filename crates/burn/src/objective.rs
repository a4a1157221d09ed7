//! The share of each class's requests that should meet its latency target.

use std::collections::BTreeMap;

use woodgap_core::name;

/// Objectives by class, each above 0 and below 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Objectives {
    /// For classes that are not named.
    pub default: f64,
    /// By class.
    pub classes: BTreeMap<name::Class, f64>,
}

impl Objectives {
    /// The objective where none is set: one request in twenty may be late.
    pub const DEFAULT: f64 = 0.95;

    /// The largest objective: at 1 there is no error budget that could burn.
    pub const MOST: f64 = 0.9999;

    /// The objective of a class.
    ///
    /// ```
    /// use woodgap_burn::objective::Objectives;
    ///
    /// let mut objectives = Objectives::default();
    /// objectives.classes.insert("receipt".into(), 0.999);
    /// assert_eq!(objectives.of(&"receipt".into()), 0.999);
    /// assert_eq!(objectives.of(&"caption".into()), Objectives::DEFAULT);
    /// ```
    pub fn of(&self, class: &name::Class) -> f64 {
        self.classes.get(class).copied().unwrap_or(self.default)
    }
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            default: Self::DEFAULT,
            classes: BTreeMap::new(),
        }
    }
}
