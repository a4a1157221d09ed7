//! The description of the traffic: JSON with comments.

use std::collections::BTreeSet;
use std::path::Path;

use jsonc_parser::ParseOptions;
use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
pub use woodgap_core::config::document::Measure;

use crate::Error;

/// Everything that is sent in one run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// What is sent side by side.
    pub classes: Vec<Class>,
}

/// One stream of like requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique within the file; the report's rows go by it.
    pub name: String,
    /// The workspace, for the report.
    pub workspace: String,
    /// The workspace's key.
    pub key: String,
    /// Sent as `X-Woodgap-Class`.
    pub class: String,
    /// A model or a plain service.
    pub target: String,
    /// The form of the request.
    #[serde(default)]
    pub kind: Kind,
    /// Path below a plain service.
    #[serde(default = "default_path")]
    pub path: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Mean arrivals a second, outside bursts.
    pub rate_per_s: f64,
    /// Length of the answers.
    #[serde(default)]
    pub tokens: Tokens,
    /// Text that all prompts of the class begin with.
    #[serde(default)]
    pub prompt_prefix: String,
    /// Whether a request may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Whether an `Idempotency-Key` is sent; by default for what may not be repeated.
    #[serde(default)]
    pub identity: Option<bool>,
    /// The workspace's tier, for the report only: callers never state it.
    pub tier: u8,
    /// The latency target.
    pub target_ms: Millis,
    /// What the latency target measures.
    #[serde(default)]
    pub measure: Measure,
    /// Times at which the rate is multiplied.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// The form of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// `/v1/chat/completions`.
    #[default]
    Chat,
    /// `/v1/completions`.
    Completion,
    /// `/v1/services/{name}/{path}`.
    Service,
}

/// How many tokens an answer has; the router is not told.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Tokens {
    /// Always the same.
    Fixed(u32),
    /// Drawn from a log-normal distribution.
    Lognormal {
        /// Half of the answers are longer.
        median: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
        /// Longer ones are cut to this.
        max: u32,
    },
}

impl Default for Tokens {
    fn default() -> Self {
        Self::Fixed(1)
    }
}

/// A span of time with another rate; spans that overlap multiply.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, from the start of the run.
    pub from_ms: u64,
    /// End, from the start of the run.
    pub to_ms: u64,
    /// What the rate is multiplied by; 0 is a pause.
    pub factor: f64,
}

impl Class {
    /// Whether requests carry an `Idempotency-Key`.
    pub fn has_identity(&self) -> bool {
        self.identity.unwrap_or(!self.repeatable)
    }
}

impl Traffic {
    /// Reads a description.
    ///
    /// # Errors
    ///
    /// A message with line and column, or what makes no sense.
    ///
    /// ```
    /// use woodgap_load::traffic::Traffic;
    ///
    /// let text = r#"{"classes": [ // one class
    ///     {"name": "links", "workspace": "murphy", "key": "k", "class": "share-link",
    ///      "target": "story-7b", "rate_per_s": 5, "tier": 1, "target_ms": 500}]}"#;
    /// assert_eq!(Traffic::parse(text).unwrap().classes.len(), 1);
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let traffic: Self = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| error.to_string())?;
        traffic.problem().map_or(Ok(traffic), Err)
    }

    /// Reads a description from a file.
    ///
    /// # Errors
    ///
    /// An unreadable file, or what [`Traffic::parse`] says.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| Error::File {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(&text).map_err(|message| Error::Traffic {
            path: path.to_owned(),
            message,
        })
    }

    /// The names of the classes that have bursts.
    pub fn bursting(&self) -> BTreeSet<String> {
        let bursting = self.classes.iter().filter(|class| !class.bursts.is_empty());
        bursting.map(|class| class.name.clone()).collect()
    }

    /// Leaves out all bursts; classes are still known as those that had some.
    pub fn calm(&mut self) {
        for class in &mut self.classes {
            for burst in &mut class.bursts {
                burst.factor = 1.0;
            }
        }
    }

    fn problem(&self) -> Option<String> {
        for (index, class) in self.classes.iter().enumerate() {
            let twice = self.classes[..index]
                .iter()
                .any(|other| other.name == class.name);
            if twice {
                return Some(format!("two classes are named `{}`", class.name));
            }
            if let Some(problem) = class.problem() {
                return Some(format!("class `{}`: {problem}", class.name));
            }
        }
        self.classes
            .is_empty()
            .then(|| "there are no classes".to_owned())
    }
}

impl Class {
    fn problem(&self) -> Option<&'static str> {
        if !is_rate(self.rate_per_s) {
            return Some("`rate_per_s` must be 0 or more");
        }
        if self.bursts.iter().any(|burst| !is_rate(burst.factor)) {
            return Some("a burst's `factor` must be 0 or more");
        }
        if self.bursts.iter().any(|burst| burst.from_ms >= burst.to_ms) {
            return Some("a burst's `from_ms` must lie before its `to_ms`");
        }
        match self.tokens {
            Tokens::Fixed(0) => Some("`tokens` must be at least 1"),
            Tokens::Lognormal { median, sigma, max }
                if !(median >= 1.0 && is_rate(sigma) && max >= 1) =>
            {
                Some("`lognormal` needs a median and a max of 1 or more and a sigma of 0 or more")
            }
            _ => None,
        }
    }
}

fn is_rate(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn default_path() -> String {
    "run".to_owned()
}

fn yes() -> bool {
    true
}

#[cfg(test)]
mod tests;
