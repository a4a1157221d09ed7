//! The capacity of one service, and the part of it that each request may use.

use crate::clock::Millis;
use crate::relay::scheduling::average::approach;
use crate::relay::scheduling::demand::Demand;
use crate::relay::scheduling::level::{Level, Observation};
use crate::relay::scheduling::report::{self, Report, Totals};
use crate::relay::scheduling::share::Shares;

/// The time over which this entry's demand is averaged, in ms: at ten requests per second, the
/// demand of a single second is random to a third.
const AVERAGE_MS: f64 = 2_000.0;
/// The lowest multiple of its average that this entry's demand is taken to have fallen to.
const MIN_TREND: f64 = 0.1;
/// The longest time between two updates that counts, in ms.
const MAX_INTERVAL: f64 = 1_000.0;
/// The largest cost of one request, so that sums stay finite.
const MAX_COST: f64 = 1e9;

/// What is known of a request when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo<'a> {
    /// The workspace of the caller.
    pub workspace: &'a str,
    /// The weight of the workspace.
    pub weight: f64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The cost, see [`cost`](crate::relay::scheduling::cost).
    pub cost: f64,
}

impl RequestInfo<'_> {
    fn key(&self) -> u32 {
        report::workspace_key(self.workspace, self.priority)
    }
}

/// The fleet and the endpoints of the service.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings {
    /// The number of entries, this one included.
    pub entries: usize,
    /// The usable endpoints, each by its current speed.
    pub endpoint_capacity: f64,
    /// The requests that the usable endpoints can run at once.
    pub slots: f64,
    /// The cost per second that they can serve, as far as is known without a measurement.
    pub nominal: f64,
    /// The shortest latency target of the requests to the service.
    pub target: Millis,
}

/// The state for metrics and logs. Rates are those of all entries together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The cost per second that may be admitted; `None` without a shortage.
    pub level: Option<f64>,
    /// The cost per second that is asked for.
    pub offered: f64,
    /// The cost per second whose answers began.
    pub served: f64,
    /// The cost per second whose answers were late or will not come.
    pub late: f64,
    /// The admitted fraction of each priority with demand.
    pub fractions: Vec<(u8, f64)>,
    /// The number of listed workspaces that are admitted less than their priority.
    pub over_share: usize,
}

/// The view of one entry.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::scheduling::room::{RequestInfo, Room, Surroundings};
///
/// let mut room = Room::default();
/// let request = RequestInfo { workspace: "w-1", weight: 1.0, priority: 0, cost: 30.0 };
/// let around = Surroundings {
///     entries: 1,
///     endpoint_capacity: 2.0,
///     slots: 4.0,
///     nominal: 300.0,
///     target: Millis(200),
/// };
/// for at in 0..100 {
///     room.record_arrival(&request, Millis(at * 10));
///     room.record_admission(&request, Millis(at * 10));
///     // Of ten answers that are due, one comes, and it is late.
///     if at % 10 == 0 {
///         room.record_outcome(30.0, true, Millis(at * 10));
///     }
/// }
/// room.update(std::iter::empty(), 90, &around, Millis(1_000));
/// assert!(room.fraction(0, "w-1") < 0.1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Room {
    demand: Demand,
    level: Level,
    totals: Totals,
    shares: Option<Shares>,
    /// This entry's demand as a multiple of its average, at most 1.
    falling: f64,
    /// This entry's part of the rate that all entries admit.
    portion: Option<f64>,
    updated_at: Millis,
}

impl Room {
    /// Records a request that arrives.
    pub fn record_arrival(&mut self, request: &RequestInfo<'_>, now: Millis) {
        let cost = bounded(request.cost);
        self.demand
            .record_arrival(request.key(), request.weight, cost, now);
    }

    /// Records that a request is admitted.
    pub fn record_admission(&mut self, request: &RequestInfo<'_>, now: Millis) {
        let cost = bounded(request.cost);
        self.demand.record_admission(request.key(), cost, now);
    }

    /// Records the first byte of an answer, or the end of a request that an endpoint has worked
    /// on without answering; counts the cost as served and, if `is_late`, as late.
    pub fn record_outcome(&mut self, cost: f64, is_late: bool, now: Millis) {
        self.demand.record_answer(bounded(cost), is_late, now);
    }

    /// Records an admitted request that no endpoint has worked on: refused there, or given up
    /// by its caller while it waited. It counts as late but not as served, since the served
    /// rate is the measure of the capacity.
    pub fn record_loss(&mut self, cost: f64, now: Millis) {
        self.demand.record_loss(bounded(cost), now);
    }

    /// What this entry reports to the others about the service with this key.
    pub fn report(&self, service: u32, in_flight: u32, now: Millis) -> Report {
        let mut report = self.demand.report(now);
        self.complete(&mut report, in_flight);
        report.service = service;
        report
    }

    /// Renews the level and the shares by the reports of other entries.
    pub fn update<'r>(
        &mut self,
        peers: impl Iterator<Item = &'r Report>,
        in_flight: u32,
        surroundings: &Surroundings,
        now: Millis,
    ) {
        let mut own = self.demand.full_report(now);
        self.complete(&mut own, in_flight);
        self.totals = Totals::new(&own, peers, surroundings.entries);
        let seen = self.observe(in_flight, surroundings, now);
        self.level.update(&seen, surroundings.target, now);
        let limit = self.level.corrected_limit();
        self.shares = limit.map(|limit| Shares::new(limit, &self.totals));
        let interval = ((now - self.updated_at).0 as f64).min(MAX_INTERVAL);
        let weight = approach(interval, AVERAGE_MS);
        self.updated_at = now;
        self.demand.update_averages(interval, now);
        self.update_trends(surroundings.entries, now);
        self.update_portion(&own, surroundings.entries, weight, now);
    }

    /// The admitted fraction for a request, 1.0 without a shortage.
    pub fn fraction(&self, priority: u8, workspace: &str) -> f64 {
        let Some(shares) = &self.shares else {
            return 1.0;
        };
        let key = report::workspace_key(workspace, priority);
        if self.demand.is_exhausted(key) {
            return 0.0;
        }
        (shares.fraction(key) / self.falling).min(1.0)
    }

    /// The admitted fraction of all requests of a priority, 1.0 without a shortage.
    pub fn priority_fraction(&self, priority: u8) -> f64 {
        let shares = self.shares.as_ref();
        shares.map_or(1.0, |it| it.mean(report::priority_index(priority)))
    }

    /// The cost per second that this entry may admit; `None` without a shortage.
    pub fn rate(&self) -> Option<f64> {
        let limit = self.level.limit()?;
        Some(limit * self.portion.unwrap_or(0.0))
    }

    /// The state for metrics and logs.
    pub fn snapshot(&self) -> Snapshot {
        let shares = self.shares.iter();
        let fractions = shares.flat_map(Shares::by_priority);
        Snapshot {
            level: self.level.limit(),
            offered: self.totals.all_offered(),
            served: self.totals.served,
            late: self.totals.late,
            fractions: fractions.collect(),
            over_share: self.shares.as_ref().map_or(0, Shares::over_share),
        }
    }

    fn observe(&self, in_flight: u32, surroundings: &Surroundings, now: Millis) -> Observation {
        let totals = &self.totals;
        let slots = surroundings.slots.max(1.0);
        let own_in_flight = f64::from(in_flight) * surroundings.entries as f64;
        Observation {
            offered: totals.all_offered(),
            admitted: totals.all_admitted(),
            served: totals.served,
            late: totals.late,
            occupancy: totals.in_flight / slots,
            waiting: (totals.in_flight - slots).max(0.0) * self.demand.mean_cost(now),
            nominal: surroundings.nominal,
            slot_cost: slots * self.demand.mean_cost(now),
            own_late: self.demand.late_fraction(now),
            own_occupancy: own_in_flight / slots,
            endpoint_capacity: surroundings.endpoint_capacity,
            heard: totals.heard,
            peer_base: totals.peer_limit,
            limited_peers: totals.limited_peers,
        }
    }

    /// The other entries' reports show a change of the demand late; this entry's own demand shows
    /// it first.
    fn update_trends(&mut self, entries: usize, now: Millis) {
        let Some(shares) = &self.shares else {
            self.demand.clear_budgets();
            self.falling = 1.0;
            return;
        };
        let entries = entries.max(1) as f64;
        let expected = |key| shares.demand(key) / entries;
        let headroom = |key| shares.headroom(key);
        self.demand.update_budgets(headroom, expected, now);
        self.falling = self.demand.trend(now).clamp(MIN_TREND, 1.0);
    }

    fn complete(&self, report: &mut Report, in_flight: u32) {
        report.in_flight = u16::try_from(in_flight).unwrap_or(u16::MAX);
        #[allow(clippy::cast_possible_truncation)]
        let limit = self.level.base().unwrap_or(0.0) as f32;
        report.limit = limit;
    }

    /// An entry that has not observed its own demand for a whole window has an equal part.
    fn update_portion(&mut self, own: &Report, entries: usize, weight: f64, now: Millis) {
        let equal = 1.0 / entries.max(1) as f64;
        let portion = *self.portion.get_or_insert(equal);
        if !self.demand.is_complete(now) {
            self.portion = Some(equal);
            return;
        }
        let all = self.level.limit().unwrap_or(f64::INFINITY);
        let all = all.min(self.totals.all_offered());
        if all <= 0.0 {
            return;
        }
        let current = (self.own_admissible(own) / all).clamp(0.0, 1.0);
        self.portion = Some(portion + weight * (current - portion));
    }

    /// The rate that the shares leave of this entry's own demand.
    fn own_admissible(&self, own: &Report) -> f64 {
        let Some(shares) = &self.shares else {
            return own.demand.iter().map(|it| f64::from(it.offered)).sum();
        };
        let by_priority = own
            .demand
            .iter()
            .map(|it| f64::from(it.offered) * shares.mean(report::priority_index(it.priority)));
        // What the listed workspaces get more or less than their priority.
        let listed = own.heaviest.iter().map(|it| {
            let mean = shares.mean(report::priority_of(it.workspace));
            f64::from(it.offered) * (shares.fraction(it.workspace) - mean)
        });
        (by_priority.sum::<f64>() + listed.sum::<f64>()).max(0.0)
    }
}

/// A cost that can be added up.
fn bounded(cost: f64) -> f64 {
    if cost.is_finite() {
        cost.clamp(0.0, MAX_COST)
    } else {
        0.0
    }
}
