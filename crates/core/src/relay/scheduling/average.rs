//! An average that lags as the reports of other entries do.

/// The time constant of both stages, in ms: half of the mean age of what reports say, the
/// window over which they are counted included.
const STAGE_MS: f64 = 1_200.0;

/// A rate as the reports of other entries show it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    value: f64,
    leading: f64,
}

impl Average {
    /// Moves the average towards a rate after an interval in ms.
    pub fn update(&mut self, rate: f64, interval: f64) {
        let weight = approach(interval, STAGE_MS);
        self.value += weight * (self.leading - self.value);
        self.leading += weight * (rate - self.leading);
    }

    pub fn value(&self) -> f64 {
        self.value
    }
}

/// The part of a distance that is covered in an interval.
pub(super) fn approach(interval: f64, time_constant: f64) -> f64 {
    1.0 - (-interval / time_constant).exp()
}
