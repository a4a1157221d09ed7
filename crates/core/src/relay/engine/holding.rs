//! The time for which a request holds a slot, and the wait for a slot that follows from it.

/// The weight of one sample: about the last twenty requests count.
const SAMPLE_WEIGHT: f64 = 0.05;

/// The mean time for which the requests of one service hold a slot.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HoldingTime {
    samples: u32,
    /// In ms.
    mean: f64,
}

impl HoldingTime {
    /// Adds the time for which a request held a slot, in ms.
    pub fn record(&mut self, held: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first samples have equal weights, so that the mean converges quickly.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean += weight * (held - self.mean);
    }

    /// The mean, in ms, if any request has ended.
    pub fn mean(self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }
}

/// The wait for a slot, in ms, of a request that comes to `running` others at an endpoint where
/// each holds a slot for `holding` ms on average: slots become free at regular intervals, and the
/// requests without one are served in turn.
pub(super) fn slot_wait(running: f64, slots: u32, holding: f64) -> f64 {
    let slots = f64::from(slots.max(1));
    let excess = (running + 1.0 - slots).max(0.0);
    excess * holding / slots
}
