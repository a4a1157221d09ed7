//! Autoscaling: how many endpoints of each kind a service runs in each data centre.
//!
//! Independent of request placement: the input is the demand, as the number of endpoints needed at
//! normal utilisation, and the output is the desired endpoint counts. Two load patterns shape the
//! design: bursts that end before a new endpoint has booted, so spare capacity must already be
//! running; and a platform that reclaims all reclaimable endpoints of a data centre at once and
//! can't replace them for a while.

pub mod allocation;

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::relay::plan::Scaling;

pub use allocation::cheapest_allocation;

/// How long a demand peak determines the required capacity: bursts come in series.
const DEMAND_WINDOW: Millis = Millis(30_000);
/// How often the demand is sampled.
const SAMPLE_INTERVAL: Millis = Millis(500);
/// The smallest relative change of the demand peak that changes the required capacity.
const MIN_CHANGE: f64 = 0.15;
/// The minimum time between two scale-downs: a leaving endpoint loses its cache and must finish
/// its streams.
const SCALE_DOWN_COOLDOWN: Millis = Millis(8_000);
/// How long after the autoscaler starts the running endpoints raise the required capacity: they
/// are listed one by one.
const DISCOVERY_PERIOD: Millis = Millis(5_000);
/// How long after a refusal a data centre is assumed to have no reclaimable endpoints available.
const REFUSAL_BACKOFF: Millis = Millis(3_000);
/// The share of the required capacity that stays available while endpoints of one kind replace
/// those of the other.
const MIN_AVAILABLE_SHARE: f64 = 2.0 / 3.0;
/// The share of the ordered endpoints that must run before the platform counts as having started
/// them: some may fail at any time.
const STARTED_SHARE: f64 = 0.9;
/// The utilisation to which the demand refers, about half of what an endpoint can do: 0.4 of its
/// slots and 0.6 of its time for prompts.
const NORMAL_UTILIZATION: f64 = 0.5;
/// The number of samples that determine the current demand.
const RECENT_SAMPLES: usize = 4;
/// How long after booting an endpoint may take to be listed.
const LISTING_DELAY: Millis = Millis(2_000);
/// A change by more than this share of the last order is ordered at once; a smaller one once the
/// desired counts have been stable for [`STABLE_PERIOD`].
const LARGE_CHANGE: f64 = 0.5;
/// How long the desired counts must be stable before a small change is ordered.
const STABLE_PERIOD: Millis = Millis(700);

/// The number of endpoints of a service in one data centre, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCount {
    /// Endpoints that the platform never reclaims.
    pub on_demand: u32,
    /// Endpoints that the platform may reclaim at short notice.
    pub reclaimable: u32,
}

impl EndpointCount {
    /// The endpoints of both kinds.
    pub fn total(self) -> u32 {
        self.on_demand + self.reclaimable
    }

    fn by_kind(self, is_reclaimable: bool) -> u32 {
        if is_reclaimable {
            self.reclaimable
        } else {
            self.on_demand
        }
    }
}

/// Endpoint counts by data centre.
pub type EndpointCounts = BTreeMap<name::DataCentre, EndpointCount>;

/// The capacity that survives any single reclaim: how many endpoints remain after the data centre
/// with the most reclaimable ones has lost them all.
///
/// ```
/// use woodgap_core::relay::sizing::{EndpointCount, EndpointCounts, guaranteed};
///
/// let count = |on_demand, reclaimable| EndpointCount { on_demand, reclaimable };
/// let counts = EndpointCounts::from([("a".into(), count(5, 10)), ("b".into(), count(0, 4))]);
/// assert_eq!(guaranteed(&counts), 9);
/// ```
pub fn guaranteed(counts: &EndpointCounts) -> u32 {
    let all: u32 = counts.values().map(|it| it.total()).sum();
    let largest = counts.values().map(|it| it.reclaimable).max();
    all - largest.unwrap_or_default()
}

/// The last order that the platform accepted for a data centre and kind.
#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    count: u32,
    at: Millis,
}

impl PlacedOrder {
    /// Whether its endpoints should have been listed by now.
    fn is_late(&self, scaling: &Scaling, now: Millis) -> bool {
        now - self.at > scaling.boot + LISTING_DELAY
    }
}

/// The autoscaler of one service.
#[derive(Debug, Default)]
pub struct Autoscaler {
    /// Recent demand samples, each with its time.
    samples: VecDeque<(Millis, f64)>,
    /// The required capacity: how many endpoints must survive a reclaim, see [`guaranteed`].
    needed: u32,
    /// The end of the period in which running endpoints raise `needed`.
    discovery_until: Option<Millis>,
    /// The time of the last scale-down; in the future until a discovered capacity may be reduced.
    scaled_down_at: Millis,
    /// The cheapest allocation that guarantees `needed`, and the inputs it was computed from.
    allocation: EndpointCounts,
    allocated_for: Option<(u32, Scaling)>,
    orders: BTreeMap<(name::DataCentre, bool), PlacedOrder>,
    /// The desired counts, and since when they have been unchanged.
    desired: EndpointCounts,
    desired_since: Millis,
    /// Until when each data centre is assumed to have no reclaimable endpoints available.
    unavailable_until: BTreeMap<name::DataCentre, Millis>,
}

/// The observed state of a service.
#[derive(Clone, Debug)]
pub struct Observation<'a> {
    /// The scaling limits and prices that operators configured.
    pub scaling: &'a Scaling,
    /// Ready endpoints.
    pub running: &'a EndpointCounts,
    /// Ready endpoints in evacuated data centres, which `scaling` does not list.
    pub idle: &'a EndpointCounts,
    /// How many endpoints the current requests need at normal utilisation.
    pub demand: f64,
    /// The factor by which the required capacity exceeds the demand.
    pub headroom: f64,
}

impl Autoscaler {
    /// Resumes from the required capacity of the previous holder.
    pub fn resume(needed: u32) -> Self {
        Self {
            needed,
            ..Self::default()
        }
    }

    /// Returns the next order, if one is due.
    pub fn next(&mut self, observation: &Observation<'_>, now: Millis) -> Option<ScaleRequest> {
        self.sample(observation, now);
        self.update_allocation(observation.scaling);
        let desired = self.desired(observation, now);
        if self.desired != desired {
            self.desired.clone_from(&desired);
            self.desired_since = now;
        }
        let all = desired
            .into_iter()
            .flat_map(|(at, count)| requests_for(&at, count));
        let due = all
            .filter(|request| self.is_due(observation.scaling, observation.running, request, now));
        // Scale-ups come first, so that capacity never drops below the desired one.
        let next = due.min_by_key(|request| request.count < running(observation.running, request));
        next.or_else(|| self.release(observation, now))
    }

    /// Releases endpoints in evacuated data centres once the others provide the required capacity.
    fn release(&self, observation: &Observation<'_>, now: Millis) -> Option<ScaleRequest> {
        if guaranteed(observation.running) < self.needed {
            return None;
        }
        let data_centres = observation.idle.keys();
        let mut none = data_centres.flat_map(|at| requests_for(at, EndpointCount::default()));
        none.find(|request| {
            running(observation.idle, request) > 0
                && self.is_due(observation.scaling, observation.idle, request, now)
        })
    }

    /// Records that the platform accepted an order.
    pub fn accepted(&mut self, request: &ScaleRequest, now: Millis) {
        let order = PlacedOrder {
            count: request.count,
            at: now,
        };
        if request.is_reclaimable {
            self.unavailable_until.remove(&request.data_centre);
        }
        self.orders
            .insert((request.data_centre.clone(), request.is_reclaimable), order);
    }

    /// Records that the platform has no endpoints of this kind available.
    pub fn refused(&mut self, request: &ScaleRequest, now: Millis) {
        if request.is_reclaimable {
            self.unavailable_until
                .insert(request.data_centre.clone(), now + REFUSAL_BACKOFF);
        }
        self.orders
            .remove(&(request.data_centre.clone(), request.is_reclaimable));
    }

    /// Recomputes the allocation if its inputs changed.
    fn update_allocation(&mut self, scaling: &Scaling) {
        let previous = self.allocated_for.as_ref();
        if previous.is_some_and(|(needed, known)| *needed == self.needed && known == scaling) {
            return;
        }
        self.allocation = cheapest_allocation(self.needed, scaling);
        self.allocated_for = Some((self.needed, scaling.clone()));
    }

    /// The required capacity: how many endpoints must survive a reclaim.
    pub fn needed(&self) -> u32 {
        self.needed
    }

    fn sample(&mut self, observation: &Observation<'_>, now: Millis) {
        self.adopt_running(observation, now);
        let last = self.samples.back();
        if last.is_some_and(|(at, _)| now - *at < SAMPLE_INTERVAL) {
            return;
        }
        self.samples.push_back((now, observation.demand));
        while self
            .samples
            .front()
            .is_some_and(|(at, _)| now - *at > DEMAND_WINDOW)
        {
            self.samples.pop_front();
        }
        let peak = self.samples.iter().map(|(_, demand)| *demand);
        let peak = peak.fold(0.0, f64::max) * observation.headroom;
        let peak = peak.min(f64::from(allocation::max_guaranteed(observation.scaling)));
        let needed = f64::from(self.needed);
        let may_shrink = now - self.scaled_down_at >= SCALE_DOWN_COOLDOWN;
        let is_less = may_shrink && peak < needed * (1.0 - MIN_CHANGE);
        if peak > needed * (1.0 + MIN_CHANGE) || is_less {
            self.needed = round_up(peak);
        }
        if is_less {
            self.scaled_down_at = now;
        }
    }

    /// Takes the capacity that operators or a previous holder started as required.
    fn adopt_running(&mut self, observation: &Observation<'_>, now: Millis) {
        if self.discovery_until.is_none() && self.needed == 0 {
            self.needed = guaranteed(observation.running);
        }
        let until = *self.discovery_until.get_or_insert(now + DISCOVERY_PERIOD);
        if now < until {
            let on_demand = observation.running.values().map(|it| it.on_demand).sum();
            self.needed = self.needed.max(on_demand);
            // A discovered capacity is kept for as long as a demand peak.
            self.scaled_down_at = now + DEMAND_WINDOW;
        }
    }

    /// The counts to order now, on the way to the allocation. On-demand endpoints stay until
    /// reclaimable ones replace them; these get the remaining room of the data centre.
    fn desired(&self, observation: &Observation<'_>, now: Millis) -> EndpointCounts {
        let mut desired = self.allocation.clone();
        if self.unavailable_until.values().any(|until| now < *until) {
            if self.is_short(observation) {
                self.omit_unavailable(&mut desired, observation, now);
            }
            self.substitute_on_demand(&mut desired, observation);
        }
        let available = reclaimable(observation.running);
        let on_demand: u32 = desired.values().map(|it| it.on_demand).sum();
        let min_available = self.min_available(&desired, observation);
        let mut to_retain = min_available.saturating_sub(guaranteed(&available) + on_demand);
        for at in by_price(observation.scaling) {
            let present = self.present_on_demand(at, observation, now);
            let count = desired.entry(at.clone()).or_default();
            let retained = to_retain.min(present.saturating_sub(count.on_demand));
            to_retain -= retained;
            count.on_demand += retained;
            let free = observation
                .scaling
                .most
                .saturating_sub(count.on_demand.max(present));
            count.reclaimable = count.reclaimable.min(free);
        }
        desired
    }

    /// The minimum capacity while endpoints of one kind replace those of the other: all of the
    /// required capacity until reclaimable endpoints run wherever there is room for them, then
    /// [`MIN_AVAILABLE_SHARE`] of it, but at least the current demand.
    fn min_available(&self, desired: &EndpointCounts, observation: &Observation<'_>) -> u32 {
        let capacity = |(at, count): (&name::DataCentre, &EndpointCount)| {
            let running = observation.running.get(at).copied().unwrap_or_default();
            let free = observation.scaling.most.saturating_sub(running.on_demand);
            (count.reclaimable.min(free), running.reclaimable)
        };
        let (possible, running) = desired
            .iter()
            .map(capacity)
            .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
        let has_started = f64::from(running) >= STARTED_SHARE * f64::from(possible);
        let share = if has_started {
            MIN_AVAILABLE_SHARE
        } else {
            1.0
        };
        round_up(f64::from(self.needed) * share).max(self.recent_demand())
    }

    /// Whether so few endpoints run that the requests exceed what they can do at full utilisation.
    /// Above that, it is cheaper to wait for reclaimable endpoints than to replace them.
    fn is_short(&self, observation: &Observation<'_>) -> bool {
        let running: u32 = observation.running.values().map(|it| it.total()).sum();
        f64::from(running) < NORMAL_UTILIZATION * self.recent_peak()
    }

    /// Leaves out the reclaimable endpoints that can't be had now: the limit of a data centre counts
    /// both kinds, and on-demand endpoints get their room.
    fn omit_unavailable(
        &self,
        desired: &mut EndpointCounts,
        observation: &Observation<'_>,
        now: Millis,
    ) {
        for (at, count) in desired {
            let until = self.unavailable_until.get(at);
            if until.is_some_and(|until| now < *until) {
                let running = observation.running.get(at).copied().unwrap_or_default();
                count.reclaimable = count.reclaimable.min(running.reclaimable);
            }
        }
    }

    /// The on-demand endpoints of a data centre that run or are still booting.
    fn present_on_demand(
        &self,
        at: &name::DataCentre,
        observation: &Observation<'_>,
        now: Millis,
    ) -> u32 {
        let running = observation.running.get(at).copied().unwrap_or_default();
        let order = self.orders.get(&(at.clone(), false));
        let booting = order.filter(|order| !order.is_late(observation.scaling, now));
        running
            .on_demand
            .max(booting.map_or(0, |order| order.count))
    }

    /// Adds on-demand endpoints for unavailable reclaimable ones, up to the current demand.
    fn substitute_on_demand(&self, desired: &mut EndpointCounts, observation: &Observation<'_>) {
        let available: u32 = reclaimable(observation.running)
            .values()
            .map(|it| it.total())
            .sum();
        let on_demand: u32 = desired.values().map(|it| it.on_demand).sum();
        let missing = self.recent_demand().saturating_sub(available + on_demand);
        allocation::add_on_demand(missing, desired, observation.scaling);
    }

    /// How many endpoints the current requests need, within the required capacity.
    fn recent_demand(&self) -> u32 {
        round_up(self.recent_peak()).min(self.needed)
    }

    /// How many endpoints the current requests need at normal utilisation.
    fn recent_peak(&self) -> f64 {
        let recent = self.samples.iter().rev().take(RECENT_SAMPLES);
        recent.map(|(_, demand)| *demand).fold(0.0, f64::max)
    }

    /// Whether an order is due: it differs from the last one, or that one had no effect in time.
    /// Small changes wait until the desired counts are stable.
    fn is_due(
        &self,
        scaling: &Scaling,
        counts: &EndpointCounts,
        request: &ScaleRequest,
        now: Millis,
    ) -> bool {
        let is_unavailable = self
            .unavailable_until
            .get(&request.data_centre)
            .is_some_and(|until| now < *until);
        if request.is_reclaimable && is_unavailable {
            return false;
        }
        let running = running(counts, request);
        let order = self
            .orders
            .get(&(request.data_centre.clone(), request.is_reclaimable));
        let last = order.map_or(running, |order| order.count);
        if request.count != last {
            let difference = f64::from(request.count.abs_diff(last));
            let is_large = difference > LARGE_CHANGE * f64::from(last);
            return is_large || now - self.desired_since >= STABLE_PERIOD;
        }
        request.count > running && order.is_some_and(|order| order.is_late(scaling, now))
    }
}

/// The same counts without on-demand endpoints.
fn reclaimable(counts: &EndpointCounts) -> EndpointCounts {
    let counts = counts.iter();
    let without_on_demand = |count: &EndpointCount| EndpointCount {
        on_demand: 0,
        ..*count
    };
    counts
        .map(|(at, count)| (at.clone(), without_on_demand(count)))
        .collect()
}

/// The data centres, cheapest first.
fn by_price(scaling: &Scaling) -> impl Iterator<Item = &name::DataCentre> {
    let mut data_centres: Vec<_> = scaling.prices.iter().collect();
    data_centres.sort_by(|(_, one), (_, other)| one.total_cmp(other));
    data_centres.into_iter().map(|(at, _)| at)
}

/// An order: how many endpoints of one kind should run in a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleRequest {
    /// The data centre.
    pub data_centre: name::DataCentre,
    /// Whether the platform may reclaim them at short notice.
    pub is_reclaimable: bool,
    /// The desired total.
    pub count: u32,
}

fn requests_for(at: &name::DataCentre, count: EndpointCount) -> [ScaleRequest; 2] {
    [true, false].map(|is_reclaimable| ScaleRequest {
        data_centre: at.clone(),
        is_reclaimable,
        count: count.by_kind(is_reclaimable),
    })
}

fn running(counts: &EndpointCounts, request: &ScaleRequest) -> u32 {
    let running = counts
        .get(&request.data_centre)
        .copied()
        .unwrap_or_default();
    running.by_kind(request.is_reclaimable)
}

/// Rounds up to a number of endpoints.
fn round_up(number: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rounded = number.ceil() as u32;
    rounded
}
