//! One endpoint that this entry probes.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::control::directory::Endpoint;
use crate::endpoint::watch::{PROBE_PERIOD, Step};
use crate::endpoint::{Lifetime, Report};
use crate::instance::{self, Load};
use crate::name;

/// The longest period, for endpoints that hardly ever fail: a leave that only
/// the endpoint itself tells of is known well within two seconds.
pub(super) const LONGEST_PERIOD: Millis = Millis(1_000);
/// The shortest period, for endpoints that fail all the time: two ticks, and
/// above the time that an answer takes.
const SHORTEST_PERIOD: Millis = Millis(100);
/// Wait before a missed probe is repeated.
const RETRY: Millis = Millis(100);
/// Missed probes in a row after which an endpoint gets no new work.
const MISSED_PROBES: u32 = 2;
/// How long an endpoint must say that it is live before a mark that it is
/// leaving is taken back; above the lag of any load report.
const LIVE_AGAIN: Millis = Millis::from_secs(10);
/// Load reports that did not change are sent again after this span.
const LOAD_REFRESH: Millis = Millis::from_secs(2);
/// How long a probe's outcome is waited for; above any timeout of it.
const LOST: Millis = Millis::from_secs(5);

/// An endpoint that this entry probes.
#[derive(Debug)]
pub(super) struct Watched {
    next: Millis,
    period: Millis,
    lifetime: Lifetime,
    /// Until when an answer is waited for.
    waiting: Option<Millis>,
    missed: u32,
    live_since: Option<Millis>,
    /// What each audience was told last, and when.
    told: BTreeMap<Audience, (Millis, Load)>,
}

/// Who is told of loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Audience {
    /// The homes of the endpoint's other pools.
    Homes,
    /// The other entries.
    Others,
}

impl Watched {
    /// An endpoint that is to be probed first at a time.
    pub(super) fn new(now: Millis, first: Millis) -> Self {
        Self {
            next: first,
            period: PROBE_PERIOD,
            lifetime: Lifetime::new(now),
            waiting: None,
            missed: 0,
            live_since: None,
            told: BTreeMap::new(),
        }
    }

    /// How long it stays up, as far as is known, in milliseconds.
    pub(super) fn lifetime(&self, now: Millis) -> f64 {
        self.lifetime.estimate(now)
    }

    /// Sets the period, in milliseconds, within its bounds.
    pub(super) fn set_period(&mut self, period: f64) {
        let bounded = period.clamp(SHORTEST_PERIOD.0 as f64, LONGEST_PERIOD.0 as f64);
        // In range by the line before.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let whole = bounded as u64;
        self.period = Millis(whole);
    }

    /// Whether it is to be probed now; if so, the probe counts as sent.
    pub(super) fn due(&mut self, now: Millis) -> bool {
        let waits = self.waiting.is_some_and(|until| now < until);
        if waits || self.next > now {
            return false;
        }
        self.waiting = Some(now + LOST);
        self.next = now + self.period;
        true
    }

    /// The endpoint answered; says whether its marks changed.
    pub(super) fn answered(
        &mut self,
        name: &name::Endpoint,
        load: Load,
        step: &mut Step<'_>,
    ) -> bool {
        self.waiting = None;
        self.missed = 0;
        self.lifetime.begin(step.now);
        let live = load.state == instance::State::Live;
        let since = if live {
            *self.live_since.get_or_insert(step.now)
        } else {
            self.live_since = None;
            step.now
        };
        let listed = step.directory.get(name).map(|endpoint| endpoint.listed);
        let back = live && listed == Some(instance::State::Live) && step.now - since >= LIVE_AGAIN;
        step.directory.loaded(step.now, name, load);
        step.directory.mark(name, |marks| {
            let recovered = marks.failing.set(false);
            let turned = if live {
                back && marks.leaving.set(false)
            } else {
                marks.leaving.set(true)
            };
            recovered || turned
        })
    }

    /// The endpoint did not answer; says whether its marks changed.
    pub(super) fn missed(&mut self, name: &name::Endpoint, step: &mut Step<'_>) -> bool {
        self.waiting = None;
        self.missed += 1;
        self.live_since = None;
        if self.missed < MISSED_PROBES {
            self.next = step.now + RETRY;
            return false;
        }
        self.lifetime.end(step.now);
        step.directory.mark(name, |marks| marks.failing.set(true))
    }

    /// The load report for an audience, if there is something new to say.
    pub(super) fn report(
        &mut self,
        now: Millis,
        audience: Audience,
        endpoint: &Endpoint,
    ) -> Option<Report> {
        let (at, load) = endpoint.load.as_ref()?;
        let stale =
            |(told, old): &(Millis, Load)| *told + LOAD_REFRESH <= now || !same_figures(old, load);
        if !self.told.get(&audience).is_none_or(stale) {
            return None;
        }
        self.told.insert(audience, (now, load.clone()));
        Some(Report {
            endpoint: endpoint.name.clone(),
            load: Load {
                age: load.age + (now - *at),
                ..load.clone()
            },
        })
    }
}

/// Whether two reports say the same, their age aside.
fn same_figures(one: &Load, other: &Load) -> bool {
    Load {
        age: other.age,
        ..one.clone()
    } == *other
}
