//! What the platform stores of versions that may have begun streams.
//!
//! Entries tell one another which versions there have been. The platform is for those that start
//! when all others are gone, and so it stores a version before any stream begins there: else a
//! stream that a version began whose last endpoint has just gone would go on at another one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use woodgap_core::clock::Millis;
use woodgap_core::era::Era;
use woodgap_core::relay::duty;
use woodgap_core::relay::plan::Kind;
use woodgap_core::relay::resumption::inquiry::Past;
use woodgap_core::relay::resumption::registration::{
    COMPLETENESS_KEY, Circumstances, Completeness, Reading, Row, ServiceVersions,
};
use woodgap_core::relay::resumption::{Build, Message, Service};

use crate::follow::usable;
use crate::request::AdmittedRequest;
use crate::source::Error;
use crate::source::row::{self, Content, UnusableRows};
use crate::state::State;
use crate::streams::{MAX_VIEW_AGE, keepers};

/// The time between two looks at what is to be done, if nothing calls for one before.
const CHECK_INTERVAL: Millis = Millis(100);
/// How long a request waits until a version may begin it, or for what is stored.
const PATIENCE: Millis = Millis(1_000);
/// The time between two looks of a request that waits.
const WAIT_INTERVAL: Millis = Millis(20);
/// The time between two questions to other entries while a request waits.
const QUESTION_INTERVAL: Millis = Millis(200);
/// The most readings a second of all entries together.
const MAX_READINGS_PER_S: u64 = 400;
/// The time between two readings while others are to write what is missing.
const REREAD_INTERVAL: Millis = Millis(1_000);
/// How long an entry that can't know of all versions leaves it to others to say since when they are
/// known.
const UNINFORMED_PATIENCE: Millis = Millis(3_000);

/// What this entry knows of the rows, and who waits for them.
#[derive(Debug, Default)]
pub(super) struct History {
    /// The rows, as far as this entry has written or read them.
    rows: RefCell<BTreeMap<String, Row>>,
    /// Since when all versions are stored, if a row says so.
    completeness: Cell<Option<Completeness>>,
    /// Rows that can't be read.
    damaged: RefCell<Vec<String>>,
    /// When the last reading began whose answer has come.
    read: Cell<Option<Millis>>,
    /// Whether streams may have begun before this entry's start.
    had_streams: Cell<bool>,
    /// Whether rows were read in this life.
    has_started: Cell<bool>,
    /// Whether nothing was stored when this entry started, and nothing was lost since.
    is_new_store: Cell<bool>,
    /// The services for which requests wait, and since when.
    wanted: RefCell<BTreeMap<String, Millis>>,
    /// Since when a reading is asked for.
    asked: Cell<Option<Millis>>,
    /// There may be something to do.
    due: Notify,
    /// Something has changed for requests that wait.
    changed: Notify,
}

impl History {
    /// Has all rows stored again: the store may have lost some.
    pub(super) fn store_again(&self) {
        self.rows.borrow_mut().clear();
        self.completeness.set(None);
        self.read.set(None);
        self.is_new_store.set(false);
        self.due.notify_one();
    }

    /// Records that another entry has had a version stored.
    pub(super) fn record_registered(&self, past: &Past) {
        let row = Row::Versions(ServiceVersions::one(&past.service, &past.version));
        self.rows.borrow_mut().entry(row.key()).or_insert(row);
    }

    /// Has the task look at once.
    pub(super) fn look_again(&self) {
        self.due.notify_one();
    }

    /// Has requests that wait look again.
    pub(super) fn tell_waiting(&self) {
        self.changed.notify_waiters();
    }

    /// Records that a request waits for a version of a service.
    fn want(&self, service: &str, now: Millis) {
        let mut wanted = self.wanted.borrow_mut();
        wanted.entry(service.to_owned()).or_insert(now);
    }

    async fn until_changed(&self) {
        let pause = Duration::from_millis(WAIT_INTERVAL.0);
        let _ = tokio::time::timeout(pause, self.changed.notified()).await;
    }
}

/// Waits until a stream may begin at an endpoint of its service, for as long as that may take.
pub async fn until_registered(state: &State, request: &AdmittedRequest) {
    if request.route.kind != Kind::Stream || request.build.is_some() {
        return;
    }
    let history = &state.streams.history;
    let service = request.service.name.as_str();
    let begun = state.now();
    let end = request.deadline.min(begun + PATIENCE);
    let mut next_question = begun;
    while is_waiting(state, service) && state.now() < end {
        history.want(service, begun);
        if state.now() >= next_question {
            next_question = state.now() + QUESTION_INTERVAL;
            ask_others(state);
        }
        history.look_again();
        history.until_changed().await;
    }
}

/// Asks some entries which versions may begin streams: the platform may be out of reach.
fn ask_others(state: &State) {
    for peer in keepers(state, None) {
        state.streams.send(&Message::PastRequest, peer);
    }
}

/// Whether a service has usable endpoints, and none at which streams may begin.
fn is_waiting(state: &State, service: &str) -> bool {
    let registry = state.streams.registry.borrow();
    if !registry.has_unregistered(service) {
        return false;
    }
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let usable = roster.usable(service, &evacuation, state.now());
    let mut versions = usable.iter().map(|it| it.version.as_str());
    !usable.is_empty() && !versions.any(|version| registry.is_registered(service, version))
}

/// The only version that can have begun a stream of these services that was lost before `lost`, by
/// what the platform stores now.
pub(super) async fn only_stored(
    state: &State,
    services: &[Service],
    lost: Millis,
) -> Option<Build> {
    let history = &state.streams.history;
    loop {
        let now = state.now();
        {
            let registry = state.streams.registry.borrow();
            if !registry.may_be_told(services) {
                return None;
            }
            if history.read.get().is_some_and(|read| read >= lost) {
                return registry.only_stored(services, lost, now);
            }
        }
        if now >= lost + PATIENCE || state.is_platform_lost.get() {
            return None;
        }
        if history.asked.get().is_none() {
            history.asked.set(Some(now));
        }
        history.look_again();
        history.until_changed().await;
    }
}

/// Reads and writes rows for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let mut faults = UnusableRows::new("versions");
    let mut failures = 0;
    loop {
        let done = step(&state, &mut faults).await;
        failures = match done {
            Ok(()) => 0,
            Err(error) => {
                log::info!(error = error.to_string(); "versions are not stored or read yet");
                failures + 1
            }
        };
        let history = &state.streams.history;
        if failures > 0 {
            let pause = duty::backoff(failures, rand::random());
            tokio::time::sleep(Duration::from_millis(pause.0)).await;
        } else {
            let pause = Duration::from_millis(CHECK_INTERVAL.0);
            let _ = tokio::time::timeout(pause, history.due.notified()).await;
        }
    }
}

async fn step(state: &State, faults: &mut UnusableRows) -> Result<(), Error> {
    if is_reading_due(state) {
        read(state, faults).await?;
    }
    if state.streams.history.read.get().is_none() {
        return Ok(());
    }
    register(state).await?;
    complete(state).await?;
    delete_outdated(state).await
}

/// Whether rows are to be read: at the start, after a gap in the view, where a request asks for it,
/// or while the row on completeness is missing.
fn is_reading_due(state: &State) -> bool {
    let history = &state.streams.history;
    let Some(read) = history.read.get() else {
        return state.force.borrow().table().is_some();
    };
    let now = state.now();
    let since = now - read;
    if since < reading_interval(state) {
        return false;
    }
    let has_read = state.streams.registry.borrow().has_read();
    let is_current = state.force.borrow().age(now) <= MAX_VIEW_AGE;
    let is_missed = is_current && !has_read;
    let is_incomplete = history.completeness.get().is_none() && since >= REREAD_INTERVAL;
    history.asked.get().is_some() || is_missed || is_incomplete
}

/// The shortest time between two readings of an entry.
fn reading_interval(state: &State) -> Millis {
    let entries = state.fleet.borrow().size() as u64;
    Millis(entries * 1_000 / MAX_READINGS_PER_S)
}

async fn read(state: &State, faults: &mut UnusableRows) -> Result<(), Error> {
    let history = &state.streams.history;
    history.asked.set(None);
    let asked = state.now();
    let rows = state.source.list_versions().await?;
    faults.replace(&rows, &state.metrics);
    let is_first = !history.has_started.replace(true);
    let damaged = rows
        .iter()
        .filter(|row| matches!(row.content, Content::Unusable(_)));
    let damaged: Vec<_> = damaged.map(|row| row.key.clone()).collect();
    let completeness = completeness(state, &rows, !damaged.is_empty());
    let usable: Vec<_> = rows.into_iter().filter_map(usable).collect();
    let versions: Vec<_> = usable.iter().filter_map(versions).cloned().collect();
    let unix = state.clock.unix();
    let reading = Reading {
        complete_for: completeness.map(|it| unix - it.complete_since_unix),
        versions,
    };
    if is_first {
        history.had_streams.set(!reading.versions.is_empty());
        history
            .is_new_store
            .set(usable.is_empty() && damaged.is_empty());
        log::info!(
            versions = reading.versions.len(), damaged = damaged.len(),
            complete_for_ms = reading.complete_for.map(|it| it.0);
            "the versions that may have begun streams are read"
        );
    }
    let now = state.now();
    state
        .streams
        .registry
        .borrow_mut()
        .take(&reading, asked, now);
    let kept = usable.into_iter().map(|row| (row.key(), row));
    history.rows.replace(kept.collect());
    history.damaged.replace(damaged);
    history.completeness.set(completeness);
    history.read.set(Some(asked));
    history.tell_waiting();
    Ok(())
}

fn versions(row: &Row) -> Option<&ServiceVersions> {
    match row {
        Row::Versions(versions) => Some(versions),
        Row::Completeness(_) => None,
    }
}

/// Since when the rows name all versions. What a store holds that has come back from an older copy,
/// or can't be read, does not say so; that nothing is there says so at the first start alone.
fn completeness(state: &State, rows: &[row::Row<Row>], has_damaged: bool) -> Option<Completeness> {
    if has_damaged {
        return None;
    }
    rows.iter().find_map(|row| match &row.content {
        Content::Usable(Row::Completeness(it)) => {
            state.note_era(row.version);
            Some(*it).filter(|it| it.era == Era::of(row.version))
        }
        _ => None,
    })
}

/// Has the platform store versions, and tells the others that streams may begin there.
async fn register(state: &State) -> Result<(), Error> {
    let mut due = due(state);
    due.extend(lost(state));
    if due.is_empty() {
        return Ok(());
    }
    // Else an entry that starts would not know that these are all.
    complete_first_start(state).await?;
    for versions in due {
        let row = Row::Versions(versions);
        save(state, &row).await?;
        if let Row::Versions(versions) = &row {
            announce(state, versions);
        }
    }
    Ok(())
}

/// The versions that this entry registers now.
fn due(state: &State) -> Vec<ServiceVersions> {
    let mut services = stream_services(state);
    let registry = state.streams.registry.borrow();
    services.retain(|service| registry.has_unregistered(service));
    drop(registry);
    let due = services.iter().flat_map(|service| due_of(state, service));
    due.collect()
}

fn due_of(state: &State, service: &str) -> Vec<ServiceVersions> {
    let history = &state.streams.history;
    let now = state.now();
    let roster = state.roster.borrow();
    let evacuation = state.evacuation.borrow();
    let usable = roster.usable(service, &evacuation, now);
    let listed = roster.known().filter(|it| it.service == service);
    let listed: BTreeSet<_> = listed.map(|it| it.version.as_str()).collect();
    let registry = state.streams.registry.borrow();
    let is_registered = |version: &str| registry.is_registered(service, version);
    let registered = usable.iter().filter(|it| is_registered(&it.version));
    let registered_share = registered.count() as f64 / usable.len().max(1) as f64;
    if registered_share > 0.0 {
        history.wanted.borrow_mut().remove(service);
    }
    let entries = state.fleet.borrow().size();
    let is_owner = is_owner(state, ServiceVersions::position(service));
    let is_due = |version: &&str| {
        let circumstances = Circumstances {
            is_owner,
            wanted_for: wanted_for(state, service, now),
            known_for: registry.known_for(service, version, now),
            registered_share,
            had_streams: history.had_streams.get(),
            uptime: state.life(),
            entries,
            turn: state.streams.turn,
        };
        circumstances.is_due()
    };
    let new = listed.into_iter().filter(|version| !is_registered(version));
    let due = new.filter(is_due);
    due.map(|version| ServiceVersions::one(service, version))
        .collect()
}

/// Registered versions that the store has lost.
fn lost(state: &State) -> Vec<ServiceVersions> {
    let registered = state.streams.registry.borrow().registered();
    let rows = state.streams.history.rows.borrow();
    let is_stored = |it: &ServiceVersions| {
        let mut stored = rows.values().filter_map(versions);
        stored.any(|row| {
            row.service == it.service && it.versions.iter().all(|one| row.versions.contains(one))
        })
    };
    let lost = registered.into_iter().filter(|it| !is_stored(it));
    lost.filter(|it| is_owner(state, ServiceVersions::position(&it.service)))
        .collect()
}

/// The services that routes of streams lead to.
fn stream_services(state: &State) -> Vec<String> {
    let force = state.force.borrow();
    let Some(table) = force.table() else {
        return Vec::new();
    };
    let routes = table.plan().routes.iter();
    let routes = routes.filter(|route| route.kind == Kind::Stream);
    let shares = routes.flat_map(|route| route.shares.iter());
    let mut services: Vec<_> = shares.map(|share| share.service.clone()).collect();
    services.sort_unstable();
    services.dedup();
    services
}

fn wanted_for(state: &State, service: &str, now: Millis) -> Option<Millis> {
    let wanted = state.streams.history.wanted.borrow();
    wanted.get(service).map(|since| now - *since)
}

fn is_owner(state: &State, position: u64) -> bool {
    let ring = state.fleet.borrow().ring();
    *ring.owner(position) == state.settings.name
}

async fn save(state: &State, row: &Row) -> Result<(), Error> {
    state.source.save_versions(row).await?;
    let mut rows = state.streams.history.rows.borrow_mut();
    rows.insert(row.key(), row.clone());
    Ok(())
}

/// Lets streams begin at versions that are stored, here and at the other entries.
fn announce(state: &State, stored: &ServiceVersions) {
    let now = state.now();
    let mut registry = state.streams.registry.borrow_mut();
    let mut past = Vec::new();
    for version in &stored.versions {
        let known_for = registry.known_for(&stored.service, version, now);
        registry.register(&stored.service, version, now);
        past.extend(registry.past_of(&stored.service, version, now));
        log::info!(
            service = stored.service, version = version, known_for_ms = known_for.0;
            "streams may begin at a version"
        );
    }
    drop(registry);
    let peers: Vec<_> = state.fleet.borrow().known().map(|it| it.peer).collect();
    for peer in peers {
        state.streams.send(&Message::Past(past.clone()), peer);
    }
    state.streams.history.tell_waiting();
}

/// Stores that no stream has begun before, at the first start of the whole system.
async fn complete_first_start(state: &State) -> Result<(), Error> {
    let history = &state.streams.history;
    let is_known = history.completeness.get().is_some();
    let Some(era) = state.era().filter(|_| !is_known) else {
        return Ok(());
    };
    if !state.settings.first_start || !history.is_new_store.get() {
        return Ok(());
    }
    let completeness = Completeness {
        complete_since_unix: Millis::ZERO,
        era,
    };
    save_completeness(state, completeness).await
}

/// Stores since when all versions are registered, where no row says so.
async fn complete(state: &State) -> Result<(), Error> {
    let history = &state.streams.history;
    let Some(era) = state.era() else {
        return Ok(());
    };
    if history.completeness.get().is_some() || !has_turn_to_complete(state) {
        return Ok(());
    }
    delete_damaged(state).await?;
    // Others may not have stored theirs yet.
    let registered = state.streams.registry.borrow().registered();
    for versions in registered {
        save(state, &Row::Versions(versions)).await?;
    }
    let completeness = {
        let registry = state.streams.registry.borrow();
        registry.completeness(era, state.now(), state.clock.unix())
    };
    save_completeness(state, completeness).await
}

/// Whether this entry says since when all versions are registered: those that know it first.
fn has_turn_to_complete(state: &State) -> bool {
    let is_complete = state.streams.registry.borrow().is_complete(state.now());
    let is_owner = is_owner(state, 0);
    if is_complete {
        is_owner || state.standing().rank == 0
    } else {
        is_owner && state.life() >= UNINFORMED_PATIENCE
    }
}

async fn save_completeness(state: &State, completeness: Completeness) -> Result<(), Error> {
    save(state, &Row::Completeness(completeness)).await?;
    let since = completeness.complete_since_unix;
    log::info!(since_unix_ms = since.0, era = completeness.era.number(); "all versions are stored");
    let history = &state.streams.history;
    history.completeness.set(Some(completeness));
    // It holds from the next reading on.
    history.asked.set(Some(state.now()));
    Ok(())
}

/// Deletes rows that can't be read: what they held counts as lost.
async fn delete_damaged(state: &State) -> Result<(), Error> {
    let damaged = state.streams.history.damaged.take();
    for key in damaged {
        state.source.delete_versions(&key).await?;
        log::warn!(key = key; "a row on versions that can't be read is deleted");
    }
    Ok(())
}

/// Deletes the rows of versions whose streams can't be taken up any more.
async fn delete_outdated(state: &State) -> Result<(), Error> {
    if state.force.borrow().age(state.now()) > MAX_VIEW_AGE {
        return Ok(());
    }
    let outdated = outdated(state);
    for key in outdated {
        state.source.delete_versions(&key).await?;
        log::info!(key = key; "a version is no longer stored");
        state.streams.history.rows.borrow_mut().remove(&key);
    }
    Ok(())
}

fn outdated(state: &State) -> Vec<String> {
    let registry = state.streams.registry.borrow();
    let rows = state.streams.history.rows.borrow();
    let outdated = rows.iter().filter(|(key, row)| {
        let Row::Versions(versions) = row else {
            return false;
        };
        *key != COMPLETENESS_KEY
            && !registry.knows_any(versions)
            && is_owner(state, ServiceVersions::position(&versions.service))
    });
    outdated.map(|(key, _)| key.clone()).collect()
}
