//! What an endpoint has run, for tests to compare with what callers were told.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_platform::endpoint::Order;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Not yet.
    Running,
    /// With its whole answer.
    Complete,
    /// By a call to `/control/cancel`.
    Cancelled,
    /// The caller closed the connection.
    Disconnected,
    /// By an ordered fault, or with the whole process.
    Crashed,
}

/// One run; times are Unix milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run<D> {
    /// The request's identity, empty if the caller gave none.
    pub request: String,
    /// What was asked for.
    #[serde(flatten)]
    pub detail: D,
    /// When the request came.
    pub arrived_ms: Millis,
    /// When it got its slot; none if it never ran.
    pub started_ms: Option<Millis>,
    /// When it ended.
    pub ended_ms: Option<Millis>,
    /// Tokens sent to the caller; 1 for a whole call of a plain service.
    pub tokens_sent: u64,
    /// The offset that it went on after.
    pub resumed_from: Option<u64>,
    /// Whether the endpoint was leaving when the request came.
    pub while_leaving: bool,
    /// How it ended.
    pub end: End,
}

/// An order that came.
#[derive(Clone, Debug, Serialize)]
pub struct Ordered {
    /// The order.
    pub order: Order,
    /// When it came, in Unix milliseconds.
    pub at_ms: Millis,
    /// Whether it took effect.
    pub accepted: bool,
}

/// Counts over all runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Requests that came.
    pub requests: u64,
    /// Requests that got a slot.
    pub started: u64,
    /// By their end.
    pub ends: HashMap<End, u64>,
    /// Tokens sent in all.
    pub tokens_sent: u64,
    /// Runs that went on after an offset.
    pub resumed: u64,
    /// Requests that came while the endpoint was leaving.
    pub while_leaving: u64,
    /// Identities with more than one run started from the beginning.
    pub started_twice: u64,
    /// Orders that came.
    pub orders: u64,
}

/// Counts the runs.
pub fn summary<D>(runs: &[Run<D>], orders: &[Ordered]) -> Summary {
    let mut summary = Summary {
        orders: orders.len() as u64,
        ..Summary::default()
    };
    let mut starts = HashMap::<&str, u64>::new();
    for run in runs {
        summary.requests += 1;
        summary.tokens_sent += run.tokens_sent;
        summary.resumed += u64::from(run.resumed_from.is_some());
        summary.while_leaving += u64::from(run.while_leaving);
        *summary.ends.entry(run.end).or_default() += 1;
        if run.started_ms.is_some() {
            summary.started += 1;
        }
        if run.started_ms.is_some() && run.resumed_from.is_none() && !run.request.is_empty() {
            *starts.entry(&run.request).or_default() += 1;
        }
    }
    summary.started_twice = starts.values().filter(|starts| **starts > 1).count() as u64;
    summary
}
