//! The sum of the reports of all entries.

use std::collections::BTreeMap;

use crate::relay::scheduling::report::{PRIORITIES, Report, priority_index, priority_of};

/// Workspaces of the whole fleet that are considered individually.
const MAX_LISTED: usize = 64;
/// The range of a workspace's weight.
const WEIGHT_RANGE: (f64, f64) = (0.01, 100.0);

/// The sum of the reports of all entries, extrapolated to those that were not heard. Rates are
/// cost per second.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// What is asked for, by priority.
    pub offered: [f64; PRIORITIES],
    /// What is admitted, by priority.
    pub admitted: [f64; PRIORITIES],
    /// The rate of the requests whose answers began.
    pub served: f64,
    /// The rate of the answers that were late or will not come.
    pub late: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// The part of the fleet whose reports are in the sum, at most 1.
    pub heard: f64,
    /// The mean limit of the other entries that have one, per unit of endpoint capacity.
    pub peer_limit: Option<f64>,
    /// The part of the other entries that have a limit.
    pub limited_peers: f64,
    /// The heaviest workspaces.
    pub workspaces: Vec<Workspace>,
    /// The workspaces that are not listed, by priority.
    pub rest: [Group; PRIORITIES],
}

/// The demand of one workspace at one priority, at all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Its [`workspace_key`](super::workspace_key).
    pub key: u32,
    /// The rate that it asks for.
    pub offered: f64,
    /// Its weight.
    pub weight: f64,
}

/// The demand of several workspaces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Group {
    /// The rate that they ask for together.
    pub offered: f64,
    /// Their number.
    pub count: f64,
}

impl Totals {
    /// Adds up an entry's own report and those received from others, in a fleet of `entries`.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::report::{PriorityDemand, Report, Totals};
    ///
    /// let demand = vec![PriorityDemand { priority: 0, offered: 10.0, admitted: 9.0 }];
    /// let report = Report { demand, ..Report::default() };
    /// // Two of four entries are known.
    /// let totals = Totals::new(&report, [&report].into_iter(), 4);
    /// assert_eq!(totals.offered[0], 40.0);
    /// ```
    pub fn new<'r>(own: &Report, peers: impl Iterator<Item = &'r Report>, entries: usize) -> Self {
        let mut totals = Self::default();
        let mut listed = Listed::default();
        totals.add(own);
        listed.add(own);
        let mut count = 1_usize;
        let mut limits = Vec::new();
        for report in peers {
            totals.add(report);
            listed.add(report);
            count += 1;
            limits.extend(Some(rate(report.limit)).filter(|limit| *limit > 0.0));
        }
        let peers = (count - 1).max(1) as f64;
        totals.limited_peers = limits.len() as f64 / peers;
        totals.peer_limit = mean(&limits);
        totals.heard = (count as f64 / entries.max(1) as f64).min(1.0);
        listed.complete(&mut totals);
        totals.scale(entries.max(1) as f64 / count as f64);
        totals
    }

    /// What is asked for at all priorities.
    pub fn all_offered(&self) -> f64 {
        self.offered.iter().sum()
    }

    /// What is admitted at all priorities.
    pub fn all_admitted(&self) -> f64 {
        self.admitted.iter().sum()
    }

    fn add(&mut self, report: &Report) {
        for demand in &report.demand {
            let index = priority_index(demand.priority);
            self.offered[index] += rate(demand.offered);
            self.admitted[index] += rate(demand.admitted);
        }
        self.served += rate(report.served);
        self.late += rate(report.late);
        self.in_flight += f64::from(report.in_flight);
    }

    fn scale(&mut self, factor: f64) {
        let by_priority = self.offered.iter_mut().chain(&mut self.admitted);
        let groups = self.rest.iter_mut().map(|group| &mut group.offered);
        let workspaces = self.workspaces.iter_mut().map(|it| &mut it.offered);
        for value in by_priority.chain(groups).chain(workspaces) {
            *value *= factor;
        }
        self.served *= factor;
        self.late *= factor;
        self.in_flight *= factor;
    }

    fn unlist_lightest(&mut self) {
        let order = |a: &Workspace, b: &Workspace| b.offered.total_cmp(&a.offered);
        self.workspaces.sort_by(order);
        let kept = MAX_LISTED.min(self.workspaces.len());
        for unlisted in self.workspaces.split_off(kept) {
            let group = &mut self.rest[priority_of(unlisted.key)];
            group.offered += unlisted.offered;
            group.count += 1.0;
        }
    }
}

/// The workspaces that at least one report lists.
#[derive(Debug, Default)]
struct Listed {
    workspaces: BTreeMap<u32, Sum>,
    /// The most that a workspace can ask for at the entries that do not list it, by priority.
    hidden: [f64; PRIORITIES],
    rest_count: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    offered: f64,
    weight: f64,
    /// The part of `hidden` that belongs to the reports that list it.
    shown: f64,
}

impl Listed {
    fn add(&mut self, report: &Report) {
        let lightest = report.heaviest.iter().map(|it| rate(it.offered));
        let lightest = lightest.fold(f64::INFINITY, f64::min);
        let mut rest = [0.0; PRIORITIES];
        for demand in &report.demand {
            rest[priority_index(demand.priority)] += rate(demand.offered);
        }
        for listed in &report.heaviest {
            rest[priority_of(listed.workspace)] -= rate(listed.offered);
        }
        let most = rest.map(|rest| lightest.min(rest).max(0.0));
        for listed in &report.heaviest {
            let sum = self.workspaces.entry(listed.workspace).or_default();
            sum.offered += rate(listed.offered);
            sum.weight = rate(listed.weight).clamp(WEIGHT_RANGE.0, WEIGHT_RANGE.1);
            sum.shown += most[priority_of(listed.workspace)];
        }
        for (hidden, most) in self.hidden.iter_mut().zip(most) {
            *hidden += most;
        }
        self.rest_count += f64::from(report.rest_count);
    }

    /// Estimates the demand of the listed workspaces at the entries that do not list them, and
    /// the rest.
    fn complete(self, totals: &mut Totals) {
        let mut rest = totals.offered;
        let mut hidden = [0.0; PRIORITIES];
        for (key, sum) in &self.workspaces {
            let priority = priority_of(*key);
            rest[priority] -= sum.offered;
            hidden[priority] += self.hidden[priority] - sum.shown;
        }
        let all_rest: f64 = rest.iter().map(|rest| rest.max(0.0)).sum();
        let mut used = [0.0; PRIORITIES];
        for (key, sum) in &self.workspaces {
            let priority = priority_of(*key);
            let scale = (rest[priority] / hidden[priority].max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
            let elsewhere = (self.hidden[priority] - sum.shown).max(0.0) * scale;
            used[priority] += elsewhere;
            totals.workspaces.push(Workspace {
                key: *key,
                offered: sum.offered + elsewhere,
                weight: sum.weight,
            });
        }
        for (index, group) in totals.rest.iter_mut().enumerate() {
            group.offered = (rest[index] - used[index]).max(0.0);
            group.count = self.rest_count * group.offered / all_rest.max(f64::MIN_POSITIVE);
        }
        totals.unlist_lightest();
    }
}

/// A received rate; one that is no number counts as none.
fn rate(value: f32) -> f64 {
    if value.is_finite() {
        f64::from(value).max(0.0)
    } else {
        0.0
    }
}

fn mean(values: &[f64]) -> Option<f64> {
    let sum: f64 = values.iter().sum();
    (!values.is_empty()).then(|| sum / values.len() as f64)
}
