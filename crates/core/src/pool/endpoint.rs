//! One endpoint as its pool's home sees it: what runs there, and how much more may.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::control::directory;
use crate::instance::Load;
use crate::name;
use crate::pool::speed::{Pace, SLOW};

/// Age from which a load report says nothing about now.
const STALE: Millis = Millis::from_secs(5);
/// Seconds over which the own peak is remembered: a report's age and the way there.
const PEAKS: usize = 8;
/// How long an endpoint rests after its first failure, and at most.
const REST: Millis = Millis(250);
const LONGEST_REST: Millis = Millis::from_secs(8);
/// How long an endpoint rests after its first refusal: it is only full.
const PAUSE: Millis = Millis(100);
/// How often a slow endpoint is tried with whatever comes.
const TRIAL: Millis = Millis::from_secs(5);

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: name::Endpoint,
    /// Where it takes requests, if it was ever listed.
    pub address: Option<SocketAddr>,
    /// Whether it may get new work at all.
    pub listed: bool,
    /// Since when it may get none.
    pub unlisted_at: Millis,
    /// Requests that it runs side by side, by its own word.
    pub slots: u32,
    /// Runs and lent places of this pool.
    pub used: u32,
    /// Till when it rests after a failure.
    pub rests_until: Millis,
    failures: u32,
    /// What it has proved to run at once, where that is less than its word.
    ceiling: u32,
    /// When that last changed.
    moved: Millis,
    /// What others run there, by its last report.
    foreign: u32,
    reported: Option<Millis>,
    pace: Pace,
    /// How many times longer than nearly all of their class its runs take that
    /// have not ended yet.
    overdue: f64,
    tried: Option<Millis>,
    peaks: Peaks,
}

impl Endpoint {
    /// An endpoint of which only the name is known.
    pub fn new(name: name::Endpoint) -> Self {
        Self {
            name,
            address: None,
            listed: false,
            unlisted_at: Millis::ZERO,
            slots: 0,
            used: 0,
            rests_until: Millis::ZERO,
            failures: 0,
            ceiling: u32::MAX,
            moved: Millis::ZERO,
            foreign: 0,
            reported: None,
            pace: Pace::default(),
            overdue: 1.0,
            tried: None,
            peaks: Peaks::default(),
        }
    }

    /// Takes in what the directory knows of it.
    pub fn list(&mut self, now: Millis, known: &directory::Endpoint) {
        if self.address.is_some_and(|address| address != known.address) {
            // Another process under the same name: what was learnt is not its own.
            self.pace = Pace::default();
            self.failures = 0;
            self.ceiling = u32::MAX;
            self.rests_until = Millis::ZERO;
        }
        self.address = Some(known.address);
        self.listed = true;
        self.slots = known.slots;
        match &known.load {
            Some((at, load)) => self.report(now, *at, load),
            None => self.foreign = 0,
        }
    }

    /// It may get no new work.
    pub fn unlist(&mut self, now: Millis) {
        self.listed = false;
        self.unlisted_at = now;
    }

    fn report(&mut self, now: Millis, at: Millis, load: &Load) {
        let age = now - at + load.age;
        if age > STALE {
            self.foreign = 0;
            return;
        }
        if load.slots > 0 {
            self.slots = self.slots.min(load.slots);
        }
        if self.reported == Some(at) {
            return;
        }
        self.reported = Some(at);
        let own = self.peaks.highest(now, age).max(self.used);
        self.foreign = (load.running + load.queued).saturating_sub(own);
        if load.queued > 0 {
            self.lower(now, load.running);
        } else {
            self.raise(now);
        }
    }

    /// A run or a lent place more.
    pub fn take(&mut self, now: Millis) {
        self.used += 1;
        self.peaks.note(now, self.used);
    }

    /// A run or a lent place less.
    pub fn give(&mut self, now: Millis) {
        self.peaks.note(now, self.used);
        self.used = self.used.saturating_sub(1);
    }

    /// A run of an earlier home turned up: it was counted as another's so far.
    pub fn recognise(&mut self) {
        self.foreign = self.foreign.saturating_sub(1);
    }

    /// A run ended well.
    pub fn succeed(&mut self, now: Millis) {
        self.failures /= 2;
        // Where there are reports, these say better whether it can take more.
        if self.reported.is_none() {
            self.raise(now);
        }
    }

    /// A run failed. The rest grows with failures in a row, unless the request
    /// had failed elsewhere before: then the fault may be its own.
    pub fn fail(&mut self, now: Millis, suspect: bool) {
        if suspect {
            self.failures = self.failures.min(8) + 1;
        }
        let times = 1 << self.failures.saturating_sub(1).min(8);
        let rest = Millis(REST.0 * times).min(LONGEST_REST);
        self.rests_until = self.rests_until.max(now + rest);
    }

    /// It refused a run, so that it runs fewer at once than was thought.
    pub fn refuse(&mut self, now: Millis) {
        self.lower(now, self.used);
        self.rests_until = self.rests_until.max(now + PAUSE);
    }

    /// Takes in a run's time beside the expected one, in ms.
    pub fn pace(&mut self, expected: f64, observed: f64) {
        self.pace.add(expected, observed);
    }

    /// Sets how overdue its runs are; 1.0 for not at all. Returns whether
    /// that is a change.
    pub fn set_overdue(&mut self, overdue: f64) -> bool {
        let overdue = overdue.max(1.0);
        let changed = (overdue - self.overdue).abs() > f64::EPSILON;
        self.overdue = overdue;
        changed
    }

    /// Its speed, 1.0 for the pool's usual one.
    pub fn speed(&self) -> f64 {
        self.pace.speed().min(1.0 / self.overdue)
    }

    /// Whether it is so slow that it gets work only where there is time enough.
    pub fn is_slow(&self) -> bool {
        self.speed() < SLOW
    }

    /// Whether a slow endpoint is due to be tried again.
    pub fn may_be_tried(&self, now: Millis) -> bool {
        self.tried.is_none_or(|tried| now - tried >= TRIAL)
    }

    /// It was given work.
    pub fn note_trial(&mut self, now: Millis) {
        if self.is_slow() {
            self.tried = Some(now);
        }
    }

    /// Whether it rests after a failure.
    pub fn rests(&self, now: Millis) -> bool {
        now < self.rests_until
    }

    /// Runs that it may have at once: its slots, fewer if it is slow or has
    /// proved to run fewer, less what others run there; one at least, for what
    /// others run may be counted wrong.
    pub fn limit(&self) -> u32 {
        let slots = self.slots.min(self.ceiling);
        let own = slots.min(self.by_speed());
        own.saturating_sub(self.foreign).max(1).min(self.slots)
    }

    /// Places that could be given away now.
    pub fn room(&self, now: Millis) -> u32 {
        if !self.listed || self.rests(now) {
            return 0;
        }
        self.limit().saturating_sub(self.used)
    }

    /// Its weight among the pool's endpoints: what it serves, beside one usual slot.
    pub fn weight(&self) -> f64 {
        if self.listed {
            f64::from(self.slots) * self.speed().min(1.0)
        } else {
            0.0
        }
    }

    /// Its load with one more run, beside its weight.
    pub fn load(&self) -> f64 {
        f64::from(self.used + self.foreign + 1) / self.weight().max(f64::MIN_POSITIVE)
    }

    fn by_speed(&self) -> u32 {
        if !self.is_slow() {
            return u32::MAX;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let slots = (f64::from(self.slots) * self.speed()).floor() as u32;
        slots.max(1)
    }

    fn lower(&mut self, now: Millis, running: u32) {
        self.ceiling = running.max(1);
        self.moved = now;
    }

    /// Tries one more at once, but not before the last change can be seen in
    /// the reports.
    fn raise(&mut self, now: Millis) {
        if self.ceiling < self.slots && now - self.moved >= STALE {
            self.ceiling += 1;
            self.moved = now;
        }
    }
}

/// The most places in use in each of the last seconds.
#[derive(Debug, Default)]
struct Peaks {
    seconds: [(u64, u32); PEAKS],
}

impl Peaks {
    fn note(&mut self, now: Millis, used: u32) {
        let second = now.0 / 1_000;
        let slot = &mut self.seconds[(second % PEAKS as u64) as usize];
        if slot.0 != second {
            *slot = (second, 0);
        }
        slot.1 = slot.1.max(used);
    }

    /// The most in use since a little before this long ago.
    fn highest(&self, now: Millis, age: Millis) -> u32 {
        let from = (now - age).0 / 1_000;
        let recent = self
            .seconds
            .iter()
            .filter(|(second, _)| *second + 1 >= from);
        recent.map(|(_, used)| *used).max().unwrap_or(0)
    }
}
