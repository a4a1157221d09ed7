//! What one entry observes of one service in the last second.

use crate::clock::Millis;
use crate::relay::scheduling::average::Average;
use crate::relay::scheduling::report::{
    self, MAX_PRIORITIES, MAX_WORKSPACES, PRIORITIES, PriorityDemand, Report, WorkspaceDemand,
};

/// Workspaces that are tracked individually.
pub const TRACKED_WORKSPACES: usize = 64;
/// Steps of the sliding window.
const STEPS: usize = 10;
/// The length of a step, in ms.
const STEP: u64 = 100;
/// Late answers that are taken for chance.
const CHANCE_LATE: f64 = 1.0;
/// The multiple of the standard deviation of random arrivals that is taken for chance.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// By how much the budget of a workspace exceeds its share, so that chance leaves little of the share
/// unused.
const BUDGET_MARGIN: f64 = 1.0;
/// The same for an average, which counts so many seconds.
const AVERAGE_DEVIATIONS: f64 = 2.0;
const AVERAGE_SECONDS: f64 = 4.8;
/// Answers in time that are assumed besides those observed.
const PRIOR_IN_TIME: f64 = 3.0;
/// The length of the sliding window.
pub const WINDOW: Millis = Millis(STEP * STEPS as u64);

/// The sum of a quantity over the sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// The sum of each step, at the number of the step modulo their count.
    sums: [f64; STEPS],
    /// The number of the latest step.
    latest: u64,
}

impl Window {
    fn advance(&mut self, now: Millis) {
        let step = now.0 / STEP;
        let passed = step.saturating_sub(self.latest).min(STEPS as u64);
        for back in 0..passed {
            self.sums[index(step - back)] = 0.0;
        }
        self.latest = self.latest.max(step);
    }

    fn add(&mut self, value: f64, now: Millis) {
        self.advance(now);
        self.sums[index(self.latest)] += value;
    }

    fn merge(&mut self, other: &Self, now: Millis) {
        let mut other = *other;
        other.advance(now);
        self.advance(now);
        for (sum, added) in self.sums.iter_mut().zip(other.sums) {
            *sum += added;
        }
    }

    fn sum(&self, now: Millis) -> f64 {
        let mut current = *self;
        current.advance(now);
        current.sums.iter().sum()
    }

    /// The sum per second.
    fn rate(&self, now: Millis) -> f64 {
        let covered = WINDOW.0 - STEP + now.0 % STEP;
        self.sum(now) * 1_000.0 / covered as f64
    }
}

fn index(step: u64) -> usize {
    #[allow(clippy::cast_possible_truncation)]
    let index = (step % STEPS as u64) as usize;
    index
}

/// The demand of one workspace at one priority.
#[derive(Clone, Debug)]
struct Tracked {
    key: u32,
    weight: f64,
    offered: Window,
    usual: Average,
    /// What it may use here; `None` if that is not limited.
    budget: Option<Budget>,
}

/// What a workspace may use at this entry, by what it usually asks for here.
#[derive(Clone, Copy, Debug)]
struct Budget {
    /// Cost per second.
    rate: f64,
    /// What it may use at once.
    max: f64,
    /// What is left of that; below 0 after a request that costs more.
    balance: f64,
    renewed: Millis,
}

impl Budget {
    fn renew(&mut self, now: Millis) {
        let added = self.rate * (now - self.renewed).0 as f64 / 1_000.0;
        self.balance = (self.balance + added).min(self.max);
        self.renewed = now;
    }
}

/// The demand that one entry observes.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    offered: [Window; PRIORITIES],
    admitted: [Window; PRIORITIES],
    served: Window,
    late: Window,
    /// Numbers of requests that ended, and of those among them that were late.
    ended_count: Window,
    late_count: Window,
    workspaces: Vec<Tracked>,
    rest: Window,
    rest_count: Window,
    arrivals: Window,
    usual: Average,
    first: Option<Millis>,
}

impl Demand {
    /// Records a request; `key` is the [`workspace_key`](report::workspace_key) of its workspace.
    pub fn record_arrival(&mut self, key: u32, weight: f64, cost: f64, now: Millis) {
        self.first.get_or_insert(now);
        self.arrivals.add(1.0, now);
        self.offered[report::priority_of(key)].add(cost, now);
        let tracked = self.workspaces.iter_mut().find(|it| it.key == key);
        if let Some(tracked) = tracked {
            tracked.weight = weight;
            tracked.offered.add(cost, now);
            if let Some(budget) = &mut tracked.budget {
                budget.renew(now);
            }
            return;
        }
        if self.workspaces.len() >= TRACKED_WORKSPACES {
            self.evict_lightest(now);
        }
        let mut offered = Window::default();
        offered.add(cost, now);
        self.workspaces.push(Tracked {
            key,
            weight,
            offered,
            usual: Average::default(),
            budget: None,
        });
    }

    /// Records that a request is admitted.
    pub fn record_admission(&mut self, key: u32, cost: f64, now: Millis) {
        self.admitted[report::priority_of(key)].add(cost, now);
        let tracked = self.workspaces.iter_mut().find(|it| it.key == key);
        if let Some(budget) = tracked.and_then(|tracked| tracked.budget.as_mut()) {
            budget.balance -= cost;
        }
    }

    /// Whether a workspace has used up what it may use here.
    pub fn is_exhausted(&self, key: u32) -> bool {
        let tracked = self.workspaces.iter().find(|it| it.key == key);
        let budget = tracked.and_then(|tracked| tracked.budget);
        budget.is_some_and(|budget| budget.balance <= 0.0)
    }

    /// Records the first byte of an answer.
    pub fn record_answer(&mut self, cost: f64, is_late: bool, now: Millis) {
        self.served.add(cost, now);
        self.ended_count.add(1.0, now);
        if is_late {
            self.late.add(cost, now);
            self.late_count.add(1.0, now);
        }
    }

    /// Records an admitted request that ends without an answer in time and was not served.
    pub fn record_loss(&mut self, cost: f64, now: Millis) {
        self.late.add(cost, now);
        self.ended_count.add(1.0, now);
        self.late_count.add(1.0, now);
    }

    /// The fraction of late answers that is beyond chance: low while there are few answers.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::demand::Demand;
    ///
    /// let mut demand = Demand::default();
    /// demand.record_answer(50.0, true, Millis(10));
    /// assert_eq!(demand.late_fraction(Millis(20)), 0.0);
    /// for _ in 0..9 {
    ///     demand.record_answer(50.0, true, Millis(20));
    /// }
    /// assert!(demand.late_fraction(Millis(20)) > 0.6);
    /// ```
    pub fn late_fraction(&self, now: Millis) -> f64 {
        let late = (self.late_count.sum(now) - CHANCE_LATE).max(0.0);
        late / (self.ended_count.sum(now) + PRIOR_IN_TIME)
    }

    /// The mean cost of a request; 0 without any.
    pub fn mean_cost(&self, now: Millis) -> f64 {
        self.all_offered(now) / self.arrivals.rate(now).max(f64::MIN_POSITIVE)
    }

    /// Moves the averages to the current rates after an interval in ms.
    pub fn update_averages(&mut self, interval: f64, now: Millis) {
        self.usual.update(self.all_offered(now), interval);
        for tracked in &mut self.workspaces {
            tracked.usual.update(tracked.offered.rate(now), interval);
        }
    }

    /// The demand of this entry, as a multiple of its average; 1 if the difference may be chance.
    pub fn trend(&self, now: Millis) -> f64 {
        trend(
            self.all_offered(now),
            self.usual.value(),
            self.mean_cost(now),
        )
    }

    /// Sets what each workspace may use: `headroom` times what it usually asks for here.
    /// `expected` is the rate that the other entries' demand suggests for it. The arrivals are
    /// random, so more is allowed for a while after less was used.
    pub fn update_budgets(
        &mut self,
        headroom: impl Fn(u32) -> f64,
        expected: impl Fn(u32) -> f64,
        now: Millis,
    ) {
        let mean_cost = self.mean_cost(now);
        for tracked in &mut self.workspaces {
            let usual = usual(tracked.usual.value(), expected(tracked.key), mean_cost);
            let rate = headroom(tracked.key) * usual * BUDGET_MARGIN;
            if !rate.is_finite() {
                tracked.budget = None;
                continue;
            }
            let max = CHANCE_DEVIATIONS * (rate * mean_cost).sqrt() + mean_cost;
            let mut budget = tracked.budget.unwrap_or(Budget {
                rate,
                max,
                balance: max,
                renewed: now,
            });
            budget.renew(now);
            budget.rate = rate;
            budget.max = max;
            tracked.budget = Some(budget);
        }
    }

    /// Lifts all limits.
    pub fn clear_budgets(&mut self) {
        for tracked in &mut self.workspaces {
            tracked.budget = None;
        }
    }

    fn all_offered(&self, now: Millis) -> f64 {
        self.offered.iter().map(|it| it.rate(now)).sum()
    }

    /// Whether a whole window has been observed.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.first.is_some_and(|first| now >= first + WINDOW)
    }

    /// The number of workspaces that are tracked individually.
    pub fn tracked(&self) -> usize {
        self.workspaces.len()
    }

    /// The demand in the form in which it is sent to other entries, except for the fields that
    /// are not observed here.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::demand::Demand;
    /// use woodgap_core::relay::scheduling::report;
    ///
    /// let mut demand = Demand::default();
    /// for at in 0..20 {
    ///     let key = report::workspace_key("w-1", 2);
    ///     demand.record_arrival(key, 1.0, 5.0, Millis(at * 50));
    /// }
    /// let report = demand.report(Millis(999));
    /// assert_eq!(report.demand[0].priority, 2);
    /// assert!((report.demand[0].offered - 100.0).abs() < 1.0);
    /// ```
    pub fn report(&self, now: Millis) -> Report {
        let mut report = self.summary(MAX_WORKSPACES, now);
        report::merge_priorities(&mut report, MAX_PRIORITIES);
        report
    }

    /// The demand with all workspaces that are tracked.
    pub fn full_report(&self, now: Millis) -> Report {
        self.summary(TRACKED_WORKSPACES, now)
    }

    fn summary(&self, listed: usize, now: Millis) -> Report {
        let mut workspaces = self.workspaces(now);
        let unlisted = workspaces.split_off(listed.min(workspaces.len()));
        let rest: f32 = unlisted.iter().map(|it| it.offered).sum();
        let rest_count = unlisted.len() as f64 + self.rest_count.sum(now);
        Report {
            demand: self.priorities(now),
            served: narrow(self.served.rate(now)),
            late: narrow(self.late.rate(now)),
            heaviest: workspaces,
            rest: rest + narrow(self.rest.rate(now)),
            rest_count: report::saturating_count(rest_count),
            ..Report::default()
        }
    }

    fn priorities(&self, now: Millis) -> Vec<PriorityDemand> {
        let windows = self.offered.iter().zip(&self.admitted);
        let demand = windows.zip(0..).map(|((offered, admitted), priority)| {
            let (offered, admitted) = (offered.rate(now), admitted.rate(now));
            PriorityDemand {
                priority,
                offered: narrow(offered),
                admitted: narrow(admitted),
            }
        });
        let is_used = |it: &PriorityDemand| it.offered > 0.0 || it.admitted > 0.0;
        demand.filter(is_used).collect()
    }

    /// The tracked workspaces with demand, heaviest first.
    fn workspaces(&self, now: Millis) -> Vec<WorkspaceDemand> {
        let demand = self.workspaces.iter().map(|it| WorkspaceDemand {
            workspace: it.key,
            offered: narrow(it.offered.rate(now)),
            weight: narrow(it.weight),
        });
        let mut demand: Vec<_> = demand.filter(|it| it.offered > 0.0).collect();
        demand.sort_by(|a, b| {
            b.offered
                .total_cmp(&a.offered)
                .then(a.workspace.cmp(&b.workspace))
        });
        demand
    }

    /// Adds the lightest workspace to the others that are not tracked individually.
    fn evict_lightest(&mut self, now: Millis) {
        let sums = self.workspaces.iter().map(|it| it.offered.sum(now));
        let lightest = sums.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        let Some((index, sum)) = lightest else {
            return;
        };
        let evicted = self.workspaces.swap_remove(index);
        if sum > 0.0 {
            self.rest.merge(&evicted.offered, now);
            self.rest_count.add(1.0, now);
        }
    }
}

/// What a workspace usually asks for at an entry: its part of what it asks for at all, unless the
/// entry has observed clearly more.
fn usual(own: f64, expected: f64, mean_cost: f64) -> f64 {
    let chance = AVERAGE_DEVIATIONS * (expected * mean_cost / AVERAGE_SECONDS).sqrt();
    if own > expected + chance {
        own
    } else {
        expected
    }
}

/// The ratio of a rate to its average, or 1 if random arrivals may account for the difference.
fn trend(rate: f64, usual: f64, mean_cost: f64) -> f64 {
    let chance = CHANCE_DEVIATIONS * (usual * mean_cost).sqrt() + mean_cost;
    if mean_cost > 0.0 && usual > 0.0 && (rate - usual).abs() > chance {
        rate / usual
    } else {
        1.0
    }
}

fn narrow(value: f64) -> f32 {
    #[allow(clippy::cast_possible_truncation)]
    let narrow = value as f32;
    narrow
}
