//! One request, as it goes over the wire.

use serde_json::json;

use crate::arrival::Arrival;
use crate::traffic::{Class, Kind};

/// A request of the plan, with all that its attempts share.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The class that it belongs to.
    pub class: &'a Class,
    /// Unique among all requests of all runs.
    pub tag: String,
    /// When it arrives and how long its answer is.
    pub arrival: Arrival,
}

impl<'a> Request<'a> {
    /// The request of an arrival; the run's name keeps its tags apart from other runs'.
    pub fn new(run: &str, index: usize, class: &'a Class, arrival: Arrival) -> Self {
        Self {
            class,
            tag: format!("{run}-{index}"),
            arrival,
        }
    }

    /// The path and query of the call.
    pub fn path(&self) -> String {
        let Class { target, path, .. } = self.class;
        match self.class.kind {
            Kind::Chat => "/v1/chat/completions".to_owned(),
            Kind::Completion => "/v1/completions".to_owned(),
            // The stand-in for a service records and repeats the tag of the query.
            Kind::Service => format!("/v1/services/{target}/{path}?tag={}", self.tag),
        }
    }

    /// The body of the call, in JSON.
    pub fn body(&self) -> String {
        let Class { target, stream, .. } = self.class;
        let prompt = self.prompt();
        let body = match self.class.kind {
            Kind::Chat => json!({
                "model": target,
                "stream": stream,
                "messages": [{"role": "user", "content": prompt}],
            }),
            Kind::Completion => json!({"model": target, "stream": stream, "prompt": prompt}),
            Kind::Service => json!({"input": prompt}),
        };
        body.to_string()
    }

    /// The identity sent as `Idempotency-Key`, if any.
    pub fn identity(&self) -> Option<&str> {
        self.class.has_identity().then_some(self.tag.as_str())
    }

    fn prompt(&self) -> String {
        let Self { tag, arrival, .. } = self;
        let prefix = &self.class.prompt_prefix;
        let separator = if prefix.is_empty() { "" } else { " " };
        format!("{prefix}{separator}echo={tag} len={}", arrival.length)
    }
}

#[cfg(test)]
mod tests;
