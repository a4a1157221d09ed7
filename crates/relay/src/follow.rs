//! Follows the configuration and the endpoints at their source.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use woodgap_core::clock::Millis;
use woodgap_core::era::{self, Era};
use woodgap_core::name;
use woodgap_core::relay::active_plan::{Offer, SourcePlan};
use woodgap_core::relay::dating::PlatformClock;
use woodgap_core::relay::duty::{self, CHECK_INTERVAL, PollDecision, Subject};
use woodgap_core::relay::roster::{Absence, Change, Endpoint, Positions, Reading, Stale};
use woodgap_core::relay::{Plan, Table};

use crate::source::row::{Content, Row, UnusableRows};
use crate::source::{Endpoints, Error, Evacuations, OperatorUpdate, Plans, Update};
use crate::state::State;
use crate::streams;
use crate::upkeep;

/// By how much less, at most, a question about the plan is held: entries that ask
/// at different moments confirm the plan to one another in between.
const JITTER: Millis = Millis(300);
/// How long an answer may take beyond the time for which it may be held.
const ANSWER_TIMEOUT: Millis = Millis(1_000);
/// The most changes of one whole list of which each has its line in the log: at a start
/// all of hundreds are new, at each of hundreds of entries.
const MOST_LINES: usize = 16;
/// How long after changes of the endpoints the next ones are asked for: endpoints that
/// fail or leave together are then told of in one answer.
const GATHER: Millis = Millis(100);

/// Who has told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// The platform.
    Platform,
    /// Another entry, by the address at which it takes messages.
    Entry(SocketAddr),
}

impl Teller {
    /// The kind of teller, as logged.
    pub fn source(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Entry(_) => "entry",
        }
    }

    /// Which entry it is, as logged; empty for the platform.
    fn from(self) -> String {
        match self {
            Self::Platform => String::new(),
            Self::Entry(address) => address.to_string(),
        }
    }
}

/// Follows the plan for as long as the process runs.
pub async fn plan(state: Rc<State>) {
    let mut cursor = None;
    let mut link = Link::new("configuration");
    let mut dating = PlatformClock::default();
    let mut at_source = SourcePlan::default();
    let mut told = None;
    loop {
        let held = until_due(&state, Subject::Plan).await;
        let wait = held - Millis(rand::rng().random_range(0..=JITTER.0));
        let asked = state.now();
        let asking = state.source.plan(cursor, wait);
        let limit = Duration::from_millis((wait + ANSWER_TIMEOUT).0);
        let answer = tokio::time::timeout(limit, asking).await;
        match link.settle(&state, answer.unwrap_or_else(late)).await {
            Some(news) => {
                state.is_platform_lost.set(false);
                if held == Millis::ZERO {
                    state.stand_in();
                    state.ask_endpoints.notify_one();
                }
                if cursor.is_some_and(|before| is_set_back(before, news.cursor)) {
                    at_source = SourcePlan::default();
                }
                cursor = Some(news.cursor);
                state.note_era(news.cursor);
                let as_of = dating.date(asked, news.produced_at, state.now());
                let OperatorUpdate { plans, evacuations } = news.content.unwrap_or_default();
                // First, so that no plan is in force without them.
                if let Some(evacuations) = evacuations {
                    take_evacuations(&state, evacuations, "platform");
                }
                tell_plans(&plans, &mut told, &state);
                take_newest(&state, plans, &mut at_source, as_of);
            }
            None if link.lost_history => {
                cursor = None;
                // The platform's clock may have been put back as well.
                dating = PlatformClock::default();
                at_source = SourcePlan::default();
            }
            None => state.is_platform_lost.set(true),
        }
    }
}

/// Whether a source may hold less than at an earlier position.
fn is_set_back(before: u64, now: u64) -> bool {
    now < before || era::is_restored(before, now)
}

/// Tells of plans that can't be used, once where they are read again.
fn tell_plans(plans: &[Row<Plan>], told: &mut Option<u64>, state: &State) {
    let newest = plans.last().map(|row| row.version);
    if newest.is_some() && *told != newest {
        UnusableRows::new("configuration").record(plans, &state.metrics);
        *told = newest;
    }
}

/// Puts the newest sound one of these plans in force, or confirms the one that is.
fn take_newest(state: &State, plans: Plans, at_source: &mut SourcePlan, as_of: Millis) {
    let has_rows = !plans.is_empty();
    for plan in plans.into_iter().rev().filter_map(usable) {
        let version = plan.version;
        if take_plan(state, plan, as_of, "platform") {
            at_source.read(version);
            return;
        }
    }
    if has_rows {
        // The newest can't be used: the one before stays in force.
        at_source.read(state.force.borrow().version());
    }
    if let Some(version) = at_source.newest() {
        state.confirm_plan(version, as_of);
    }
}

/// Takes the data centres that are evacuated, or what has changed of them.
pub fn take_evacuations(state: &State, evacuations: Evacuations, source: &str) {
    let mut known = state.evacuation.borrow_mut();
    let is_news = match evacuations {
        Evacuations::All(whole) => known.replace(whole),
        Evacuations::Changes(changes) => known.apply(&changes),
    };
    drop(known);
    if is_news {
        tell_evacuation(state, source);
    }
}

/// Tells of a change: the log, and the other entries.
fn tell_evacuation(state: &State, source: &str) {
    let evacuation = state.evacuation.borrow();
    let emptied = evacuation.data_centres().iter();
    let emptied: Vec<_> = emptied.map(name::DataCentre::as_str).collect();
    log::info!(
        data_centres = emptied.join(" "), era = Era::of(evacuation.revision()).number(),
        revision = era::version(evacuation.revision()), source = source;
        "the evacuated data centres have changed"
    );
    state.news.notify_one();
}

/// Follows the endpoints for as long as the process runs.
pub async fn endpoints(state: Rc<State>) {
    let mut cursor = None;
    let mut link = Link::new("endpoints");
    let mut faults = UnusableRows::new("endpoints");
    let mut dating = PlatformClock::default();
    loop {
        let wait = tokio::select! {
            wait = until_due(&state, Subject::Endpoints) => wait,
            () = state.ask_endpoints.notified() => Millis::ZERO,
        };
        let asked = state.now();
        let known = state.roster.borrow().revision();
        let asking = state.source.endpoints(cursor, wait);
        let limit = Duration::from_millis((wait + ANSWER_TIMEOUT).0);
        let answer = tokio::select! {
            answer = tokio::time::timeout(limit, asking) => answer,
            // A question that was held while the platform was lost may never be
            // answered, and what came to pass meanwhile may be forgotten.
            () = state.platform_is_back.notified() => continue,
        };
        match link.settle(&state, answer.unwrap_or_else(late)).await {
            Some(Update {
                cursor: at,
                content,
                produced_at,
            }) => {
                let as_of = dating.date(asked, produced_at, state.now());
                if Era::of(at) < Era::of(state.roster.borrow().revision()) {
                    // Others have heard of a later era already.
                    cursor = None;
                    tokio::time::sleep(Duration::from_millis(GATHER.0)).await;
                    continue;
                }
                cursor = Some(at);
                state.note_era(at);
                match content {
                    Some(Endpoints::All(rows)) => {
                        faults.replace(&rows, &state.metrics);
                        let reading = Reading {
                            list: rows.into_iter().filter_map(usable).collect(),
                            position: at,
                            positions: state.source.positions(),
                            known,
                        };
                        if take_reading(&state, reading, as_of) == Err(Stale::Unordered) {
                            cursor = None;
                        }
                    }
                    Some(Endpoints::Changes(rows)) => {
                        faults.record(&rows, &state.metrics);
                        let changes = rows.into_iter().map(change).collect();
                        take_changes(&state, changes, as_of, Teller::Platform);
                        tokio::time::sleep(Duration::from_millis(GATHER.0)).await;
                    }
                    None => {}
                }
                state.record_answer(asked);
            }
            None if link.lost_history => {
                cursor = None;
                // The platform's clock may have been put back as well.
                dating = PlatformClock::default();
            }
            None => {}
        }
    }
}

/// What a row holds, if that can be used.
pub fn usable<T>(row: Row<T>) -> Option<T> {
    match row.content {
        Content::Usable(value) => Some(value),
        Content::Unusable(_) | Content::Removed => None,
    }
}

/// A row that can't be used is as one that is gone.
fn change(row: Row<Endpoint>) -> (u64, Change) {
    let (version, name) = (row.version, name::Endpoint::from(row.key.as_str()));
    let change = usable(row).map_or(Change::Missing(name), Change::Listed);
    (version, change)
}

/// Waits until it is this entry's duty to ask the platform; gives back how long
/// the question is to be held.
async fn until_due(state: &State, subject: Subject) -> Millis {
    loop {
        if let PollDecision::Poll(wait) = state.duty(subject) {
            return wait;
        }
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL.0)).await;
    }
}

fn late<T>(_: tokio::time::error::Elapsed) -> Result<T, Error> {
    Err(Error::Unavailable("no answer in time".to_owned()))
}

/// The way to the source: tells once when it is lost and once when it is back.
struct Link {
    what: &'static str,
    failures: u32,
    lost_history: bool,
}

impl Link {
    fn new(what: &'static str) -> Self {
        Self {
            what,
            failures: 0,
            lost_history: false,
        }
    }

    /// Gives back what an answer brought; after a failure, waits for a while.
    async fn settle<T>(&mut self, state: &State, answer: Result<T, Error>) -> Option<T> {
        let calls = &state.metrics.platform_calls;
        match answer {
            Ok(content) => {
                calls.with_label_values(&["answered"]).inc();
                if self.failures > 0 {
                    log::info!(what = self.what, failures = self.failures; "the platform answers again");
                    state.platform_is_back.notify_waiters();
                }
                self.failures = 0;
                self.lost_history = false;
                Some(content)
            }
            Err(error) => {
                calls.with_label_values(&["failed"]).inc();
                let was_lost = self.lost_history;
                self.lost_history = error == Error::HistoryGone;
                if self.failures == 0 {
                    log::warn!(what = self.what, error = error.to_string(); "the platform is lost");
                }
                self.failures += 1;
                // Also right after an outage: the source answers.
                if was_lost || !self.lost_history {
                    self.pause().await;
                }
                None
            }
        }
    }

    async fn pause(&self) {
        let pause = duty::backoff(self.failures, rand::random());
        tokio::time::sleep(Duration::from_millis(pause.0)).await;
    }
}

/// Puts a plan in force, if it is sound and not older than the one that is. Gives back
/// whether it is sound.
pub fn take_plan(state: &State, plan: Plan, as_of: Millis, source: &str) -> bool {
    let version = plan.version;
    if version == state.force.borrow().version() {
        state.confirm_plan(version, as_of);
        return true;
    }
    let table = match Table::new(plan) {
        Ok(table) => Arc::new(table),
        Err(error) => {
            log::error!(version = version, source = source, error = error.to_string(); "a plan was refused");
            return false;
        }
    };
    let (routes, before) = (table.plan().routes.len(), state.force.borrow().version());
    let offer = state.force.borrow_mut().offer(table, as_of);
    let outcome = match offer {
        Offer::Applied => "applied",
        Offer::Confirmed => "confirmed",
        Offer::Outdated => "outdated",
    };
    if offer == Offer::Applied {
        state.news.notify_one();
    }
    let age = state.now() - as_of;
    log::info!(
        version = version, before = before, routes = routes, source = source,
        age_ms = age.0, outcome = outcome;
        "a plan was learnt"
    );
    true
}

/// Takes a whole list of endpoints that was read at the platform.
fn take_reading(state: &State, reading: Reading, as_of: Millis) -> Result<(), Stale> {
    let now = state.now();
    let position = reading.position;
    let taken = state.roster.borrow_mut().take(reading, as_of, now);
    let changes = taken.inspect_err(|_| {
        // Others may have told of changes while the list was read.
        let known = state.roster.borrow().revision();
        state.metrics.stale_lists.inc();
        log::info!(
            era = Era::of(position).number(), revision = era::version(position),
            known_era = Era::of(known).number(), known_revision = era::version(known);
            "a list of endpoints was read too early to be taken"
        );
    })?;
    let revision = state.roster.borrow().revision();
    tell_list(state, changes, revision, as_of, Teller::Platform);
    Ok(())
}

/// Takes a whole list of endpoints of another entry.
pub fn take_endpoints(
    state: &State,
    all: Vec<Endpoint>,
    revision: u64,
    as_of: Millis,
    teller: Teller,
) {
    let now = state.now();
    let known = state.roster.borrow().revision();
    if state.source.positions() == Positions::Complete && revision <= known {
        // Heard from elsewhere while it was fetched.
        return;
    }
    state.note_era(revision);
    let changes = state.roster.borrow_mut().replace(all, revision, as_of, now);
    tell_list(state, changes, revision, as_of, teller);
}

/// Tells of the changes that a whole list has brought.
fn tell_list(state: &State, changes: Vec<Change>, revision: u64, as_of: Millis, teller: Teller) {
    streams::observe(state);
    upkeep::drop_gone(state, state.now());
    let changes: Vec<_> = changes.into_iter().map(|it| (revision, it)).collect();
    tell_all(state, &changes, as_of, teller);
}

/// Takes changes of the list, each with its revision.
pub fn take_changes(state: &State, changes: Vec<(u64, Change)>, as_of: Millis, teller: Teller) {
    let now = state.now();
    let newer = state.roster.borrow_mut().apply(changes, as_of, now);
    streams::observe(state);
    upkeep::drop_gone(state, now);
    tell_all(state, &newer, as_of, teller);
}

/// Takes over for how long endpoints had been missing at `at`, as another entry tells.
pub fn take_absences(state: &State, absences: &[Absence], at: Millis) {
    state.roster.borrow_mut().merge_absences(absences, at);
    upkeep::drop_gone(state, state.now());
}

/// Tells of changes of the list, each with its revision: the log, and the other entries.
fn tell_all(state: &State, changes: &[(u64, Change)], as_of: Millis, teller: Teller) {
    let Some((newest, _)) = changes.last() else {
        return;
    };
    let age = state.now() - as_of;
    if changes.len() <= MOST_LINES {
        for (revision, change) in changes {
            tell(change, *revision, age, teller);
        }
    } else {
        let listed = state.roster.borrow().listed().count();
        log::info!(
            changes = changes.len(), listed = listed, era = Era::of(*newest).number(),
            revision = era::version(*newest), source = teller.source(), from = teller.from(),
            age_ms = age.0;
            "many endpoints are listed anew"
        );
    }
    state.news.notify_one();
}

/// Tells of one change, by what was known so long ago.
fn tell(change: &Change, revision: u64, age: Millis, teller: Teller) {
    let (source, from) = (teller.source(), teller.from());
    match change {
        Change::Listed(endpoint) => log::info!(
            endpoint = endpoint.life.id.as_str(), service = endpoint.service,
            started_unix_ms = endpoint.life.started_unix.map(|started| started.0),
            address = endpoint.address.to_string(), version = endpoint.version, leaving = endpoint.leaving,
            era = Era::of(revision).number(), revision = era::version(revision), source = source, from = from, age_ms = age.0;
            "an endpoint is listed"
        ),
        Change::Missing(name) => log::info!(
            endpoint = name.as_str(),
            era = Era::of(revision).number(), revision = era::version(revision), source = source, from = from, age_ms = age.0;
            "an endpoint is no longer listed"
        ),
    }
}
