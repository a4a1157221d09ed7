//! When causes last ran without a crash.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::quarantine::Cause;

/// The maximum number of requests, and of parts of prompts, that are remembered, at 0.1 kB each.
/// This covers one minute of requests at an entry of the planned size.
const MAX_SUCCESSES: usize = 2_048;

/// The last runs of requests and of parts of prompts without a crash.
#[derive(Debug, Default)]
pub struct Successes {
    requests: Memory,
    /// When responses to requests last outlasted their first pieces.
    progress: Memory,
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

    /// Records a response to a request that has outlasted its first pieces.
    pub fn record_progress(&mut self, request: Cause, at: Millis) {
        self.progress.record(request, at);
    }

    /// Returns when a response to a request last outlasted its first pieces, if it is remembered.
    pub fn last_progress(&self, request: Cause) -> Option<Millis> {
        self.progress.last(request)
    }

    /// Returns when a run last completed, if it is remembered.
    pub fn last(&self, cause: Cause) -> Option<Millis> {
        let memory = if cause.is_part() {
            &self.parts
        } else {
            &self.requests
        };
        memory.last(cause)
    }
}

impl Memory {
    fn last(&self, cause: Cause) -> Option<Millis> {
        self.last.get(&cause).copied()
    }

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
