//! The loads and speeds that endpoints report, and their exchange between entries.
//!
//! An endpoint reports in its answers to one entry; the others learn of it from that entry's
//! messages. Only endpoints of scheduled services take part.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::engine::LoadBalancer;
use crate::relay::engine::load::Load;
use crate::relay::load_report;
use crate::relay::roster::Endpoint;

/// The most notices in one message.
pub const MAX_NOTICES: usize = 24;
/// The age from which a reported load is ignored.
pub(super) const REPORT_LIFETIME: Millis = Millis(1_000);
/// The age from which a reported speed is ignored. An endpoint keeps its speed for 600 ms, so a
/// report of age `a` still holds with a probability of 1 - `a`/600; after that it says no more
/// than the mean of all endpoints.
const SPEED_LIFETIME: Millis = Millis(600);
/// How long a service counts as one whose endpoints report their speed.
const SPEED_REPORTING_LIFETIME: Millis = Millis(10_000);
/// The range of a reported slowdown, as of a measured slowness: a wrong report must neither
/// attract all requests nor exclude an endpoint.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 20.0);

/// The load that an endpoint reported in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there now, in percent of the usual time.
    pub slowdown_percent: Option<u16>,
}

/// An endpoint's last report, as entries tell it to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportNotice {
    /// The [`life_key`](load_report::life_key) of the endpoint.
    pub endpoint: u32,
    /// Requests running and waiting.
    pub in_flight: u16,
    /// How long work takes there, in percent of the usual time; 0 if it is not reported.
    pub slowdown_percent: u16,
    /// The age of the report, in ms.
    pub age_ms: u16,
}

/// The last report of an endpoint, made to this entry or to another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastReport {
    in_flight: u16,
    /// 0 if it is not reported.
    slowdown_percent: u16,
    pub made_at: Millis,
    /// This entry's requests there at that time, if the report was made to it.
    pub own: Option<usize>,
}

impl LastReport {
    /// The requests that it counted.
    pub fn in_flight(&self) -> f64 {
        f64::from(self.in_flight)
    }

    /// The expected slowdown, which approaches 1 with the age of the report.
    pub fn slowdown(&self, now: Millis) -> f64 {
        if self.slowdown_percent == 0 {
            return 1.0;
        }
        let reported = f64::from(self.slowdown_percent) / 100.0;
        let reported = reported.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let age = (now - self.made_at).0 as f64;
        let still_holds = load_report::remaining_part(age, SPEED_LIFETIME.0 as f64);
        1.0 + (reported - 1.0) * still_holds
    }

    fn is_live(&self, now: Millis) -> bool {
        now - self.made_at < REPORT_LIFETIME
    }
}

/// The last reports of the endpoints of scheduled services.
#[derive(Debug, Default)]
pub(super) struct EndpointReports {
    scheduled: HashSet<String>,
    /// By [`load_report::life_key`].
    last: HashMap<u32, LastReport>,
    /// When a service was last heard to report its speed.
    speed_reported_at: HashMap<String, Millis>,
}

impl EndpointReports {
    pub fn is_scheduled(&self, service: &str) -> bool {
        self.scheduled.contains(service)
    }

    fn set_scheduled(&mut self, service: &str, is_scheduled: bool) {
        if is_scheduled {
            self.scheduled.insert(service.to_owned());
        } else {
            self.scheduled.remove(service);
        }
        if self.scheduled.is_empty() {
            self.last.clear();
        }
    }

    /// Records a report that was made to this entry now.
    pub fn record(&mut self, key: u32, load: &Load, report: Report, now: Millis) {
        let service = load.service.as_str();
        if report.slowdown_percent.is_some() {
            self.speed_reported_at.insert(service.to_owned(), now);
        }
        if !self.is_scheduled(service) {
            return;
        }
        let in_flight = report.running.saturating_add(report.waiting);
        let report = LastReport {
            in_flight: u16::try_from(in_flight).unwrap_or(u16::MAX),
            slowdown_percent: report.slowdown_percent.unwrap_or_default(),
            made_at: now,
            own: Some(load.running()),
        };
        self.last.insert(key, report);
    }

    /// Records reports that were made to other entries, where they are the most recent.
    pub fn record_notices(&mut self, notices: &[ReportNotice], now: Millis) {
        if self.scheduled.is_empty() {
            return;
        }
        self.last.retain(|_, report| report.is_live(now));
        for notice in notices {
            let age = Millis(u64::from(notice.age_ms));
            // A time before the start of the clock can't be represented.
            if age >= REPORT_LIFETIME || age > now {
                continue;
            }
            let made_at = now - age;
            let known = self.last.get(&notice.endpoint);
            if known.is_none_or(|known| known.made_at < made_at) {
                let report = LastReport {
                    in_flight: notice.in_flight,
                    slowdown_percent: notice.slowdown_percent,
                    made_at,
                    own: None,
                };
                self.last.insert(notice.endpoint, report);
            }
        }
    }

    /// The most recent reports for other entries, the most recent first.
    pub fn notices(&self, max: usize, now: Millis) -> Vec<ReportNotice> {
        let live = self.last.iter().filter(|(_, report)| report.is_live(now));
        let mut live: Vec<_> = live.collect();
        live.sort_unstable_by_key(|(key, report)| (Reverse(report.made_at), **key));
        live.truncate(max);
        let notice = |(key, report): (&u32, &LastReport)| ReportNotice {
            endpoint: *key,
            in_flight: report.in_flight,
            slowdown_percent: report.slowdown_percent,
            age_ms: u16::try_from((now - report.made_at).0).unwrap_or(u16::MAX),
        };
        live.into_iter().map(notice).collect()
    }

    /// The last report of an endpoint, if it is recent.
    pub fn get(&self, key: u32, now: Millis) -> Option<&LastReport> {
        self.last.get(&key).filter(|report| report.is_live(now))
    }

    /// Records that a service reports its speed, if an endpoint of it that is in use has done so
    /// to any entry.
    fn record_use(&mut self, key: u32, service: &str, now: Millis) {
        let report = self.get(key, now).filter(|it| it.slowdown_percent > 0);
        let Some(made_at) = report.map(|report| report.made_at) else {
            return;
        };
        if let Some(at) = self.speed_reported_at.get_mut(service) {
            *at = made_at.max(*at);
        } else {
            self.speed_reported_at.insert(service.to_owned(), made_at);
        }
    }

    pub fn forget(&mut self, key: u32) {
        self.last.remove(&key);
    }
}

impl LoadBalancer {
    /// Sets whether a service is scheduled. For one that is, the choice of endpoints and the
    /// forecasts use what its endpoints report to any entry.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::engine::{LoadBalancer, ReportNotice};
    /// use woodgap_core::relay::load_report::LoadReport;
    ///
    /// let report = ReportNotice { endpoint: 7, in_flight: 5, slowdown_percent: 250, age_ms: 20 };
    /// let report = LoadReport { reports: vec![report], ..LoadReport::default() };
    /// let other = name::Entry::from("r2");
    /// let mut balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    /// balancer.apply_gossip(&other, &report, Millis(5_000));
    /// assert!(balancer.gossip(48, Millis(5_010)).reports.is_empty());
    ///
    /// balancer.set_scheduled("ocr", true);
    /// balancer.apply_gossip(&other, &report, Millis(5_000));
    /// assert_eq!(balancer.gossip(48, Millis(5_010)).reports[0].age_ms, 30);
    /// ```
    pub fn set_scheduled(&mut self, service: &str, is_scheduled: bool) {
        self.reports.set_scheduled(service, is_scheduled);
    }

    /// Whether any endpoint of a service has reported its speed in the last 10 s.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::engine::LoadBalancer;
    ///
    /// let balancer = LoadBalancer::new(name::DataCentre::from("dub-a"), 1);
    /// assert!(!balancer.reports_speed("ocr", Millis(5_000)));
    /// ```
    pub fn reports_speed(&self, service: &str, now: Millis) -> bool {
        let at = self.reports.speed_reported_at.get(service);
        at.is_some_and(|at| now - *at < SPEED_REPORTING_LIFETIME)
    }

    /// Records that an endpoint is used, whose reports to other entries then count for
    /// [`LoadBalancer::reports_speed`].
    pub(super) fn record_use(&mut self, endpoint: &Endpoint, now: Millis) {
        if self.reports.is_scheduled(&endpoint.service) {
            let key = load_report::life_key(&endpoint.life);
            self.reports.record_use(key, &endpoint.service, now);
        }
    }

    /// The current slowdown of an endpoint; 1 without a recent report.
    pub(super) fn slowdown(&self, endpoint: &name::Life, now: Millis) -> f64 {
        let report = self.reports.get(load_report::life_key(endpoint), now);
        report.map_or(1.0, |report| report.slowdown(now))
    }
}
