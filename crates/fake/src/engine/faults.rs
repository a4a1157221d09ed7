//! Ordered faults of the engine, and the one that a run is given.

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;

use crate::faults::take;

/// What goes wrong; `POST /fake/faults` replaces the named ones.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Stretches every time by this factor.
    pub slow: f64,
    /// Added to the time to the first token.
    pub late_ms: Millis,
    /// How long an order takes that loads a model.
    pub load_ms: Millis,
    /// Says so in the load report; requests are still taken.
    pub leaving: bool,
    /// Where the crashed runs are cut: after this many tokens; at 0 before the
    /// first byte, so that the caller can't tell whether it ran.
    pub crash_after_tokens: u64,
    /// Runs whose connection is cut; `crash_after_tokens` alone means one.
    pub crash_runs: u32,
    /// Answers that are no events and no JSON.
    pub garbage: u32,
    /// Answers that carry another request's identity and text.
    pub wrong_id: u32,
    /// Requests that are taken and never answered.
    pub hang: u32,
    /// Requests answered by 503 before they start.
    pub refuse: u32,
    /// Answers that end half-way, without a reason and a mark.
    pub truncate: u32,
    /// Answers that skip an offset half-way.
    pub bad_offset: u32,
    /// Answers that send an event twice half-way.
    pub duplicate_event: u32,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            late_ms: Millis::ZERO,
            load_ms: Millis::ZERO,
            leaving: false,
            crash_after_tokens: 0,
            crash_runs: 0,
            garbage: 0,
            wrong_id: 0,
            hang: 0,
            refuse: 0,
            truncate: 0,
            bad_offset: 0,
            duplicate_event: 0,
        }
    }
}

/// The fault of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Refused before the start.
    Refuse,
    /// Taken, never answered.
    Hang,
    /// Cut after this many tokens.
    Crash(u64),
    /// No events and no JSON.
    Garbage,
    /// Another request's identity and text.
    WrongId,
    /// Ends half-way.
    Truncate,
    /// Skips an offset half-way.
    BadOffset,
    /// Sends an event twice half-way.
    DuplicateEvent,
}

impl Faults {
    /// The fault of the next run; one run has at most one.
    pub fn draw(&mut self) -> Option<Fault> {
        let crash = Fault::Crash(self.crash_after_tokens);
        let counted = [
            (&mut self.crash_runs, crash),
            (&mut self.refuse, Fault::Refuse),
            (&mut self.hang, Fault::Hang),
            (&mut self.garbage, Fault::Garbage),
            (&mut self.wrong_id, Fault::WrongId),
            (&mut self.truncate, Fault::Truncate),
            (&mut self.bad_offset, Fault::BadOffset),
            (&mut self.duplicate_event, Fault::DuplicateEvent),
        ];
        counted
            .into_iter()
            .find_map(|(left, fault)| take(left).then_some(fault))
    }
}
