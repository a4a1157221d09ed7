//! One endpoint as seen by its pool's home: its active runs and how many more
//! it may take.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::control::directory;
use crate::instance::Load;
use crate::name;
use crate::pool::speed::{RelativeSpeed, SLOW_THRESHOLD};

/// Age from which a load report is outdated.
const REPORT_MAX_AGE: Millis = Millis::from_secs(5);
/// Seconds for which peaks of this pool's own use are kept: the age of a load
/// report plus its transit time.
const PEAK_SECONDS: usize = 8;
/// Backoff after the first failure. It doubles with each further failure, up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Millis = Millis(250);
const MAX_BACKOFF: Millis = Millis::from_secs(8);
/// Backoff after a refusal. It is short because the endpoint is only full.
const REFUSAL_BACKOFF: Millis = Millis(100);
/// How often a slow endpoint gets a request regardless of its deadline, as a
/// trial.
const TRIAL_INTERVAL: Millis = Millis::from_secs(5);

/// State of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// The endpoint.
    pub name: name::Endpoint,
    /// Address for requests, if it was ever listed.
    pub address: Option<SocketAddr>,
    /// Whether it may get new work.
    pub listed: bool,
    /// When it was last unlisted.
    pub unlisted_at: Millis,
    /// Number of concurrent requests that it reports to support.
    pub slots: u32,
    /// Slots in use by runs and loans of this pool.
    pub used: u32,
    /// End of the backoff after a failure or refusal.
    pub backoff_until: Millis,
    failures: u32,
    /// Observed limit of concurrent runs, where it is below the reported one.
    ceiling: u32,
    /// When the ceiling last changed.
    ceiling_changed_at: Millis,
    /// Runs of other clients, according to its last report.
    external: u32,
    reported: Option<Millis>,
    relative_speed: RelativeSpeed,
    /// Mean ratio of the active runs' time to the 95th percentile of their
    /// class; at least 1.0.
    overdue: f64,
    last_trial: Option<Millis>,
    peaks: UsagePeaks,
}

impl Endpoint {
    /// Creates an endpoint of which only the name is known.
    pub fn new(name: name::Endpoint) -> Self {
        Self {
            name,
            address: None,
            listed: false,
            unlisted_at: Millis::ZERO,
            slots: 0,
            used: 0,
            backoff_until: Millis::ZERO,
            failures: 0,
            ceiling: u32::MAX,
            ceiling_changed_at: Millis::ZERO,
            external: 0,
            reported: None,
            relative_speed: RelativeSpeed::default(),
            overdue: 1.0,
            last_trial: None,
            peaks: UsagePeaks::default(),
        }
    }

    /// Updates the endpoint from the directory and marks it as listed.
    pub fn mark_listed(&mut self, now: Millis, known: &directory::Endpoint) {
        if self.address.is_some_and(|address| address != known.address) {
            // Another process has taken over the name, so what was measured does
            // not apply to it.
            self.relative_speed = RelativeSpeed::default();
            self.failures = 0;
            self.ceiling = u32::MAX;
            self.backoff_until = Millis::ZERO;
        }
        self.address = Some(known.address);
        self.listed = true;
        self.slots = known.slots;
        match &known.load {
            Some((at, load)) => self.update_load(now, *at, load),
            None => self.external = 0,
        }
    }

    /// Marks the endpoint as closed to new work.
    pub fn mark_unlisted(&mut self, now: Millis) {
        self.listed = false;
        self.unlisted_at = now;
    }

    fn update_load(&mut self, now: Millis, at: Millis, load: &Load) {
        let age = now - at + load.age;
        if age > REPORT_MAX_AGE {
            self.external = 0;
            return;
        }
        if load.slots > 0 {
            self.slots = self.slots.min(load.slots);
        }
        if self.reported == Some(at) {
            return;
        }
        self.reported = Some(at);
        let own = self.peaks.max_since(now, age).max(self.used);
        self.external = (load.running + load.queued).saturating_sub(own);
        if load.queued > 0 {
            self.lower_ceiling(now, load.running);
        } else {
            self.raise_ceiling(now);
        }
    }

    /// Counts a new run or loan.
    pub fn acquire(&mut self, now: Millis) {
        self.used += 1;
        self.peaks.record(now, self.used);
    }

    /// Counts the end of a run or loan.
    pub fn release(&mut self, now: Millis) {
        self.peaks.record(now, self.used);
        self.used = self.used.saturating_sub(1);
    }

    /// Counts an adopted run of an earlier home as this pool's own. It was
    /// counted as external until now.
    pub fn reclassify_external(&mut self) {
        self.external = self.external.saturating_sub(1);
    }

    /// Records a successful run.
    pub fn succeed(&mut self, now: Millis) {
        self.failures /= 2;
        // Load reports, where available, tell better whether it can take more.
        if self.reported.is_none() {
            self.raise_ceiling(now);
        }
    }

    /// Records a failed run. The backoff grows with consecutive failures. A
    /// failure is not counted if the request had failed elsewhere before
    /// (`suspect` is false), because the request itself may be at fault.
    pub fn fail(&mut self, now: Millis, suspect: bool) {
        if suspect {
            self.failures = self.failures.min(8) + 1;
        }
        let factor = 1 << self.failures.saturating_sub(1).min(8);
        let backoff = Millis(INITIAL_BACKOFF.0 * factor).min(MAX_BACKOFF);
        self.backoff_until = self.backoff_until.max(now + backoff);
    }

    /// Records a refused run and lowers the ceiling to what the endpoint runs
    /// now.
    pub fn refuse(&mut self, now: Millis) {
        self.lower_ceiling(now, self.used);
        self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
    }

    /// Records a run's expected and observed duration, in ms.
    pub fn record_duration(&mut self, expected: f64, observed: f64) {
        self.relative_speed.add(expected, observed);
    }

    /// Sets the factor by which active runs are overdue; 1.0 if they are not.
    /// Returns whether the factor changed.
    pub fn set_overdue(&mut self, overdue: f64) -> bool {
        let overdue = overdue.max(1.0);
        let changed = (overdue - self.overdue).abs() > f64::EPSILON;
        self.overdue = overdue;
        changed
    }

    /// Returns the speed relative to the pool's baseline, which is 1.0.
    pub fn speed(&self) -> f64 {
        self.relative_speed.speed().min(1.0 / self.overdue)
    }

    /// Returns whether it is so slow that it only gets requests with enough
    /// time left.
    pub fn is_slow(&self) -> bool {
        self.speed() < SLOW_THRESHOLD
    }

    /// Returns whether a slow endpoint is due for a trial.
    pub fn is_trial_due(&self, now: Millis) -> bool {
        self.last_trial
            .is_none_or(|last_trial| now - last_trial >= TRIAL_INTERVAL)
    }

    /// Records that a slow endpoint got work.
    pub fn record_trial(&mut self, now: Millis) {
        if self.is_slow() {
            self.last_trial = Some(now);
        }
    }

    /// Returns whether it is backing off after a failure or refusal.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns how many runs of this pool it may have at once: its slots, or
    /// fewer if it is slow or its observed ceiling is lower, minus external
    /// runs. At least one, because the count of external runs may be wrong.
    pub fn limit(&self) -> u32 {
        let slots = self.slots.min(self.ceiling);
        let own = slots.min(self.slots_at_speed());
        own.saturating_sub(self.external).max(1).min(self.slots)
    }

    /// Returns the number of slots that can be allocated now.
    pub fn available(&self, now: Millis) -> u32 {
        if !self.listed || self.is_backing_off(now) {
            return 0;
        }
        self.limit().saturating_sub(self.used)
    }

    /// Returns its capacity in slots of baseline speed; 0 if it is not listed.
    pub fn weight(&self) -> f64 {
        if self.listed {
            f64::from(self.slots) * self.speed().min(1.0)
        } else {
            0.0
        }
    }

    /// Returns its load with one more run, relative to its weight.
    pub fn load(&self) -> f64 {
        f64::from(self.used + self.external + 1) / self.weight().max(f64::MIN_POSITIVE)
    }

    fn slots_at_speed(&self) -> u32 {
        if !self.is_slow() {
            return u32::MAX;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let slots = (f64::from(self.slots) * self.speed()).floor() as u32;
        slots.max(1)
    }

    fn lower_ceiling(&mut self, now: Millis, running: u32) {
        self.ceiling = running.max(1);
        self.ceiling_changed_at = now;
    }

    /// Raises the ceiling by one, but only once the effect of the last change
    /// shows in the load reports.
    fn raise_ceiling(&mut self, now: Millis) {
        if self.ceiling < self.slots && now - self.ceiling_changed_at >= REPORT_MAX_AGE {
            self.ceiling += 1;
            self.ceiling_changed_at = now;
        }
    }
}

/// Peak number of slots in use in each of the last seconds.
#[derive(Debug, Default)]
struct UsagePeaks {
    seconds: [(u64, u32); PEAK_SECONDS],
}

impl UsagePeaks {
    fn record(&mut self, now: Millis, used: u32) {
        let second = now.0 / 1_000;
        let slot = &mut self.seconds[(second % PEAK_SECONDS as u64) as usize];
        if slot.0 != second {
            *slot = (second, 0);
        }
        slot.1 = slot.1.max(used);
    }

    /// Returns the peak since `age` ago, with a margin of one second.
    fn max_since(&self, now: Millis, age: Millis) -> u32 {
        let from = (now - age).0 / 1_000;
        let recent = self
            .seconds
            .iter()
            .filter(|(second, _)| *second + 1 >= from);
        recent.map(|(_, used)| *used).max().unwrap_or(0)
    }
}
