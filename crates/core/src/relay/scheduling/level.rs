//! The limit on the cost per second that all entries together admit.
//!
//! While requests wait at the endpoints, the rate that is served shows their capacity, whether
//! answers are late or not. The limit is that rate, its *base*. When answers are late, a part of
//! it, the *cut*, is left free for as long as the requests that wait take to be worked off. Late
//! answers are reported for some seconds after that; they are disregarded for that time, since
//! they say nothing about the requests that were admitted since.

use crate::clock::Millis;
use crate::relay::scheduling::average::{Average, approach};

/// The part of late answers that random arrivals cause near the capacity.
const LATE_TOLERANCE: f64 = 0.05;
/// The occupancy from which late answers begin to count, and from which they count fully: below,
/// they come from single slow endpoints. Engines that can't read all prompts in time are short of
/// capacity although half of their slots are free.
const OCCUPANCY_RANGE: (f64, f64) = (0.2, 0.35);
/// The part of the base that is left free when all answers are late.
const MAX_CUT: f64 = 0.5;
/// The longest time for which a part is left free.
const MAX_CUT_TIME: Millis = Millis(3_000);
/// The part of the waiting cost at whose excess a cut is renewed when it ends.
const MAX_LEFT: f64 = 0.5;
/// The time after a cut in which late answers are disregarded: the age of the oldest reports.
const BLIND_TIME: Millis = Millis(2_000);
/// How much the base falls with each cut when all answers are late.
const FALL_STEP: f64 = 0.1;
/// The range of the correction by what is admitted at a limit.
const CORRECTION: (f64, f64) = (0.85, 1.1);
/// The part of the limit that its average must reach first.
const MIN_KNOWN: f64 = 0.8;
/// The time in which the correction is learnt, in ms.
const CORRECTION_MS: f64 = 3_000.0;
/// The least difference between the admitted and the served rate, as a part of the latter, that
/// shows requests to be waiting at the endpoints.
const MIN_IMBALANCE: f64 = 0.1;
/// The difference of the endpoint capacity from its average, as a part of it, from which the
/// served rate does not show the capacity.
const MAX_CHANGE: f64 = 0.1;
/// The growth of the waiting cost from which a cut is extended.
const MIN_GROWTH: f64 = 1.1;
/// The part of the measured capacity that is used: with random arrivals, the wait grows without
/// bound as the use approaches the capacity, and as the demand of single workspaces is known only
/// roughly, up to a tenth more than the limit is admitted.
const USED_PART: f64 = 0.95;
/// The time in which the base follows the measured capacity, in ms.
const CAPACITY_MS: f64 = 1_000.0;
/// The time over which served and admitted rates are averaged, in ms. At 100 requests per second
/// and with half of the entries heard, one value is random to a seventh.
const AVERAGE_MS: f64 = 1_500.0;
/// The rise of the base per second, per unit of free occupancy up to the maximum. It slows as the
/// endpoints fill, so that it ends before answers are late.
const RISE_PER_SECOND: f64 = 0.2;
const MAX_ROOM: f64 = 0.2;
/// The same at the beginning of an overload, below what the endpoints can serve as far as is known:
/// it undoes what was measured too low while the rates were still rising.
const QUICK_RISE_PER_SECOND: f64 = 3.0;
const BEGINNING: Millis = Millis(3_000);
/// The occupancy at which it ends if no request waits, and the mean wait that random arrivals may
/// cause besides, as a part of the latency target.
const MAX_OCCUPANCY: f64 = 0.95;
const ALLOWED_WAIT: f64 = 0.05;
/// The wait, as a part of the latency target, that shows a lack of capacity.
const LONG_WAIT: f64 = 0.25;
/// The part of the base that is left free when requests wait at the endpoints for the whole
/// latency target. At a target of 400 ms and with reports two seconds late, three times as much
/// makes the product of gain and delay large enough for an oscillation.
const EASE: f64 = 0.1;
/// The part of the demand whose refusal lets the base rise.
const MIN_REFUSED: f64 = 0.01;
/// The time in which the base approaches those of other entries, in ms. As these are up to two
/// seconds old, a shorter time would hold the base back when all of them rise.
const PEER_MS: f64 = 3_000.0;
/// The longest time between two updates that counts, in ms.
const MAX_INTERVAL: f64 = 1_000.0;
/// The interval at which entries exchange reports.
const GOSSIP_ROUND: Millis = Millis(300);
/// The limit ends at this multiple of the demand.
const RELEASE_RATIO: f64 = 1.5;
/// The part of the other entries with a limit from which this entry takes theirs.
const MIN_LIMITED_PEERS: f64 = 0.5;

/// What all entries observe together. Rates are cost per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// The rate that is asked for.
    pub offered: f64,
    /// The rate that is admitted.
    pub admitted: f64,
    /// The rate of the requests whose answers began.
    pub served: f64,
    /// The rate of the answers that were late or will not come.
    pub late: f64,
    /// Requests in flight, per slot of the usable endpoints.
    pub occupancy: f64,
    /// The cost of the requests in flight for which there is no slot.
    pub waiting: f64,
    /// The rate that the usable endpoints can serve, as far as is known without a measurement; 0 if
    /// it is not.
    pub nominal: f64,
    /// The cost of as many requests as there are slots.
    pub slot_cost: f64,
    /// The late fraction of this entry's own answers, which is known without delay.
    pub own_late: f64,
    /// The occupancy by this entry's own requests in flight.
    pub own_occupancy: f64,
    /// The usable endpoints, each by its current speed.
    pub endpoint_capacity: f64,
    /// The part of the entries that was heard.
    pub heard: f64,
    /// The mean base of the other entries that have a limit.
    pub peer_base: Option<f64>,
    /// The part of the other entries that have a limit.
    pub limited_peers: f64,
}

/// The limit.
#[derive(Clone, Debug, Default)]
pub struct Level {
    /// The cost per second that can be served, per unit of endpoint capacity.
    base: Option<f64>,
    /// When there was last no limit.
    began_at: Millis,
    cut: Option<Cut>,
    /// The part of the base that is left free because requests wait.
    ease: f64,
    /// When late answers count again after a cut.
    blind_until: Millis,
    updated_at: Option<Millis>,
    endpoint_capacity: f64,
    /// The served and the admitted rate, averaged over some time.
    served: f64,
    admitted: f64,
    occupancy: f64,
    /// The limit, averaged as the reports on what it admits are.
    average_limit: Average,
    /// The limit per admitted cost.
    correction: f64,
    /// The endpoint capacity, averaged over the same time.
    average_capacity: f64,
}

/// The part of the base that is left free for some time.
#[derive(Clone, Copy, Debug)]
struct Cut {
    part: f64,
    /// The cost that waited when it was last adjusted.
    waiting: f64,
    adjusted_at: Millis,
    ends_at: Millis,
}

impl Level {
    /// The cost per second that all entries together may admit; `None` without a shortage.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::level::{Level, Observation};
    ///
    /// let mut level = Level::default();
    /// let mut seen = Observation {
    ///     offered: 300.0, admitted: 300.0, served: 100.0, late: 60.0,
    ///     occupancy: 0.1, endpoint_capacity: 4.0, heard: 1.0, ..Observation::default()
    /// };
    /// level.update(&seen, Millis(400), Millis(1_000));
    /// assert_eq!(level.limit(), None); // The endpoints have room.
    /// seen.occupancy = 2.0;
    /// level.update(&seen, Millis(400), Millis(1_300));
    /// assert!(level.limit().is_some_and(|limit| limit < 100.0 && limit > 50.0));
    /// ```
    pub fn limit(&self) -> Option<f64> {
        let base = self.base?;
        let cut = self.cut.map_or(self.ease, |cut| cut.part);
        let limit = base * (1.0 - cut) * self.endpoint_capacity;
        Some(limit.max(self.floor()))
    }

    /// What is to be divided so that the limit is admitted: the demand of single workspaces is
    /// known only roughly, so that the shares of all differ from their sum by some percent.
    pub fn corrected_limit(&self) -> Option<f64> {
        Some(self.limit()? * self.correction.clamp(CORRECTION.0, CORRECTION.1))
    }

    /// Half of the served rate, without what endpoints served that are lost by now.
    fn floor(&self) -> f64 {
        let left = self.endpoint_capacity / self.average_capacity.max(f64::MIN_POSITIVE);
        MAX_CUT * self.served * left.min(1.0)
    }

    /// The limit per unit of endpoint capacity without the part that is left free to work off
    /// waiting requests.
    pub fn base(&self) -> Option<f64> {
        self.base
    }

    /// Adjusts the limit to an observation; `target` is the latency target.
    pub fn update(&mut self, seen: &Observation, target: Millis, now: Millis) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let interval = ((now - updated_at).0 as f64).min(MAX_INTERVAL);
        self.endpoint_capacity = seen.endpoint_capacity;
        self.served += (seen.served - self.served) * approach(interval, AVERAGE_MS);
        self.admitted += (seen.admitted - self.admitted) * approach(interval, AVERAGE_MS);
        let change = seen.endpoint_capacity - self.average_capacity;
        self.average_capacity += change * approach(interval, AVERAGE_MS);
        if seen.endpoint_capacity <= 0.0 {
            return;
        }
        self.occupancy += (seen.occupancy - self.occupancy) * approach(interval, AVERAGE_MS);
        self.correct(seen, interval);
        if self.base.is_none() {
            self.begin(seen, target);
            self.began_at = now;
        }
        if let Some(base) = self.base {
            self.adjust(base, seen, target, interval, now);
        }
        if self.is_superfluous(seen) {
            self.base = None;
            self.cut = None;
        }
    }

    fn correct(&mut self, seen: &Observation, interval: f64) {
        let Some(limit) = self.limit() else {
            self.average_limit = Average::default();
            self.correction = 1.0;
            return;
        };
        self.average_limit.update(limit, interval);
        let is_known = self.average_limit.value() > MIN_KNOWN * limit;
        if is_known && is_refusing(seen) && self.admitted > 0.0 {
            let current = self.correction * self.average_limit.value() / self.admitted;
            let current = current.clamp(CORRECTION.0, CORRECTION.1);
            self.correction += (current - self.correction) * approach(interval, CORRECTION_MS);
        }
    }

    fn begin(&mut self, seen: &Observation, target: Millis) {
        let peers = seen.peer_base.filter(|base| {
            seen.limited_peers >= MIN_LIMITED_PEERS && base * seen.endpoint_capacity < seen.offered
        });
        let capacity = seen.endpoint_capacity.max(self.average_capacity);
        let served = seen.served / capacity;
        let nominal = USED_PART * seen.nominal / seen.endpoint_capacity;
        let is_short = pressure(seen) > 0.0 || has_long_wait(seen, target);
        let own = is_short.then_some(served.max(nominal));
        self.base = peers.or(own).filter(|base| *base > 0.0);
    }

    fn adjust(
        &mut self,
        base: f64,
        seen: &Observation,
        target: Millis,
        interval: f64,
        now: Millis,
    ) {
        let pressure = if now < self.blind_until {
            0.0
        } else {
            pressure(seen)
        };
        let base = self.follow_capacity(base, pressure, seen, interval);
        let base = self.fall(base, pressure, seen, target, now);
        self.ease = ease(base, seen, target);
        let is_beginning = now < self.began_at + BEGINNING;
        let rise = rise(base, self.occupancy, seen, target, is_beginning, interval);
        let base = base * rise;
        let base = base + approach_peers(base, seen, interval);
        self.base = Some(base.max(self.floor() / seen.endpoint_capacity));
    }

    /// Moves the base to the served rate while that shows the capacity: answers are late, and
    /// what is served is not just what is admitted.
    fn follow_capacity(&self, base: f64, pressure: f64, seen: &Observation, interval: f64) -> f64 {
        let difference = (self.admitted - self.served).abs();
        let change = (seen.endpoint_capacity - self.average_capacity).abs();
        // Served rates are reported some time after the endpoints have changed.
        let has_changed = change > MAX_CHANGE * seen.endpoint_capacity;
        if pressure <= 0.0 || has_changed || difference < MIN_IMBALANCE * self.served {
            return base;
        }
        // The average follows a rate that has just risen too late.
        let served = seen.served.max(self.served);
        let measured = USED_PART * served / seen.endpoint_capacity;
        base + (measured - base) * approach(interval, CAPACITY_MS) * seen.heard
    }

    /// Begins, extends or ends a cut.
    fn fall(
        &mut self,
        base: f64,
        pressure: f64,
        seen: &Observation,
        target: Millis,
        now: Millis,
    ) -> f64 {
        let reaction_time = target + GOSSIP_ROUND;
        match &mut self.cut {
            Some(cut) if now >= cut.ends_at && seen.waiting > MAX_LEFT * cut.waiting => {
                *cut = Cut::new(cut.part, base, seen, reaction_time, now);
                base
            }
            Some(cut) if now >= cut.ends_at => {
                self.cut = None;
                self.blind_until = now + BLIND_TIME;
                base
            }
            Some(cut) => {
                let has_grown = seen.waiting > MIN_GROWTH * cut.waiting;
                if has_grown && now >= cut.adjusted_at + reaction_time {
                    let part = cut.part.max(MAX_CUT * pressure);
                    *cut = Cut::new(part, base, seen, reaction_time, now);
                }
                base
            }
            None if pressure > 0.0 => {
                let part = MAX_CUT * pressure;
                self.cut = Some(Cut::new(part, base, seen, reaction_time, now));
                base * (1.0 - FALL_STEP * pressure * seen.heard)
            }
            None => base,
        }
    }

    fn is_superfluous(&self, seen: &Observation) -> bool {
        let limit = self.base.map(|base| base * seen.endpoint_capacity);
        limit.is_some_and(|limit| limit > RELEASE_RATIO * seen.offered)
            && (pressure(seen) <= 0.0 || self.cut.is_none())
    }
}

impl Cut {
    fn new(part: f64, base: f64, seen: &Observation, least: Millis, now: Millis) -> Self {
        let freed = part * base * seen.endpoint_capacity;
        let seconds = seen.waiting / freed.max(f64::MIN_POSITIVE);
        // Clamped to the range of the limits.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let time =
            (seconds * 1_000.0).clamp(least.0 as f64, MAX_CUT_TIME.0.max(least.0) as f64) as u64;
        Self {
            part,
            waiting: seen.waiting,
            adjusted_at: now,
            ends_at: now + Millis(time),
        }
    }
}

/// How far answers are late because the endpoints are full, 0 to 1. This entry's own answers
/// show it first.
fn pressure(seen: &Observation) -> f64 {
    let all = pressure_of(late_fraction(seen), seen.occupancy);
    all.max(pressure_of(seen.own_late, seen.own_occupancy))
}

fn pressure_of(late_fraction: f64, occupancy: f64) -> f64 {
    let late = (late_fraction - LATE_TOLERANCE) / (1.0 - LATE_TOLERANCE);
    let (first, all) = OCCUPANCY_RANGE;
    let full = (occupancy - first) / (all - first);
    late.clamp(0.0, 1.0) * full.clamp(0.0, 1.0)
}

/// Requests that end without an answer count as late and not as served.
fn late_fraction(seen: &Observation) -> f64 {
    let ended = seen.served.max(seen.late);
    if ended > 0.0 { seen.late / ended } else { 0.0 }
}

/// What is left free so that the wait at the endpoints does not grow to the latency target.
/// Whether requests wait at the endpoints for so long that answers will be late: that shows a lack
/// of capacity before the first answer is.
fn has_long_wait(seen: &Observation, target: Millis) -> bool {
    let wait = seen.waiting * 1_000.0 / seen.nominal.max(f64::MIN_POSITIVE);
    seen.nominal > 0.0 && wait > LONG_WAIT * target.0 as f64
}

fn ease(base: f64, seen: &Observation, target: Millis) -> f64 {
    let wait = seen.waiting * 1_000.0 / (base * seen.endpoint_capacity).max(f64::MIN_POSITIVE);
    EASE * (wait / target.0.max(1) as f64).min(1.0)
}

/// The factor by which the base rises.
fn rise(
    base: f64,
    occupancy: f64,
    seen: &Observation,
    target: Millis,
    is_beginning: bool,
    interval: f64,
) -> f64 {
    if late_fraction(seen) > LATE_TOLERANCE || !is_refusing(seen) {
        return 1.0;
    }
    let waiting = ALLOWED_WAIT * target.0 as f64 / 1_000.0 * base * seen.endpoint_capacity;
    let full = MAX_OCCUPANCY + waiting / seen.slot_cost.max(1.0);
    let room = (full - occupancy).clamp(0.0, MAX_ROOM);
    let is_below = base * seen.endpoint_capacity < USED_PART * seen.nominal;
    let rise = if is_below && is_beginning {
        QUICK_RISE_PER_SECOND
    } else {
        RISE_PER_SECOND
    };
    1.0 + rise * room * interval / 1_000.0
}

fn is_refusing(seen: &Observation) -> bool {
    seen.offered - seen.admitted > MIN_REFUSED * seen.offered
}

fn approach_peers(base: f64, seen: &Observation, interval: f64) -> f64 {
    let Some(peers) = seen.peer_base else {
        return 0.0;
    };
    (peers - base) * approach(interval, PEER_MS) * seen.limited_peers
}
