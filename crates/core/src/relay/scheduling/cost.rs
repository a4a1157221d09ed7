//! The cost of a request: what it takes of the capacity of its service.

use crate::clock::Millis;
use crate::relay::division;
use crate::relay::engine;
use crate::relay::plan::Engine;
use crate::relay::work::Work;

/// The growth of the shortest response time per second, as a part of it: a service that has become
/// slower is followed within a minute, and an overload does not last as long.
const GROWTH_PER_SECOND: f64 = 0.01;
/// The cost of a request to a plain service before any answer has been measured, in ms.
const DEFAULT_SERVICE_TIME: f64 = 20.0;

/// The cost of a request to a model engine, in prompt tokens: those that must be prefilled, and
/// the part of an engine's time for which its answer occupies one of the slots.
///
/// ```
/// use woodgap_core::relay::plan::Engine;
/// use woodgap_core::relay::scheduling::cost;
/// use woodgap_core::relay::work::{Part, Work};
///
/// let engine = Engine { slots: 30, memory_tokens: 290_000, event_tokens: 6, moves_prompts: false };
/// let parts = vec![Part { id: 1, tokens: 1_000 }, Part { id: 2, tokens: 200 }];
/// let work = Work { prompt_tokens: 1_200, output_limit: 50, output_hint: None, parts };
/// // A tenth of the shared part, the own part, and 50 output tokens of 300 / 30 prompt tokens.
/// assert!((cost::engine_cost(&work, &engine) - 800.0).abs() < 1e-6);
/// ```
pub fn engine_cost(work: &Work, engine: &Engine) -> f64 {
    let cached = engine::expected_shared(work.shared_parts());
    let prefill = (f64::from(work.prompt_tokens) - cached).max(0.0);
    prefill + division::decode_time(work) / f64::from(engine.slots.max(1))
}

/// The time for which a request of one route uses a slot of its plain service: the shortest recent
/// response time. In an overload even a low quantile consists of waiting, and the same capacity
/// would seem to be several times as large.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    /// In ms, with when it was measured.
    shortest: Option<(f64, Millis)>,
}

impl ServiceTime {
    /// Records the response time of a request.
    pub fn record(&mut self, took: Millis, now: Millis) {
        let took = (took.0 as f64).max(1.0);
        if self.shortest(now).is_none_or(|shortest| took <= shortest) {
            self.shortest = Some((took, now));
        }
    }

    /// The cost of a request, in ms.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::cost::ServiceTime;
    ///
    /// let mut time = ServiceTime::default();
    /// assert_eq!(time.cost(Millis(1_000)), 20.0);
    /// for took in [30, 31, 250, 400, 900] {
    ///     time.record(Millis(took), Millis(1_000));
    /// }
    /// assert_eq!(time.cost(Millis(1_000)), 30.0);
    /// assert!(time.cost(Millis(61_000)) < 60.0);
    /// ```
    pub fn cost(&self, now: Millis) -> f64 {
        self.shortest(now).unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// The shortest time, which grows with its age until it is measured again.
    fn shortest(&self, now: Millis) -> Option<f64> {
        let (shortest, at) = self.shortest?;
        Some(shortest * (GROWTH_PER_SECOND * (now - at).0 as f64 / 1_000.0).exp())
    }
}
