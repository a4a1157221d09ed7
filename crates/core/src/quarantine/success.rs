//! When causes last ran without a crash.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::quarantine::Cause;

/// The maximum number of requests, and of parts of prompts, that are remembered, at 0.1 kB each.
/// This covers one minute of requests at an entry of the planned size.
const MAX_SUCCESSES: usize = 2_048;

/// The last completed runs of requests and of parts of prompts.
#[derive(Debug, Default)]
pub struct Successes {
    requests: Memory,
    /// Apart from requests: most of these come only once.
    parts: Memory,
}

/// The last completed runs of one kind of cause; at most `MAX_SUCCESSES` of them.
#[derive(Debug, Default)]
struct Memory {
    last: HashMap<Cause, Millis>,
    /// The keys of `last`, in order of insertion.
    order: VecDeque<Cause>,
}

impl Successes {
    /// Records a completed run.
    pub fn record(&mut self, cause: Cause, at: Millis) {
        if cause.is_part() {
            self.parts.record(cause, at);
        } else {
            self.requests.record(cause, at);
        }
    }

    /// Returns when a run last completed, if it is remembered.
    pub fn last(&self, cause: Cause) -> Option<Millis> {
        let memory = if cause.is_part() {
            &self.parts
        } else {
            &self.requests
        };
        memory.last.get(&cause).copied()
    }
}

impl Memory {
    fn record(&mut self, cause: Cause, at: Millis) {
        let last = self.last.entry(cause).or_insert_with(|| {
            self.order.push_back(cause);
            at
        });
        *last = at.max(*last);
        if self.order.len() > MAX_SUCCESSES
            && let Some(oldest) = self.order.pop_front()
        {
            self.last.remove(&oldest);
        }
    }
}
