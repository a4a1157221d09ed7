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
use woodgap_core::relay::resumption::Message;
use woodgap_core::relay::resumption::inquiry::Past;
use woodgap_core::relay::resumption::registration::{
    Circumstances, Completeness, Reading, Row, ServiceVersions,
};

use crate::follow::usable;
use crate::source::Error;
use crate::source::row::{self, Content, UnusableRows};
use crate::state::State;
use crate::streams::MAX_VIEW_AGE;

/// The time between two looks at what is to be done, if nothing calls for one before.
const CHECK_INTERVAL: Millis = Millis(100);
/// By how much the clocks of entries may differ: a row on completeness that another one wrote counts
/// so much later.
const CLOCK_MARGIN: Millis = Millis(60_000);
/// The time between two looks of a request that waits.
pub(super) const WAIT_INTERVAL: Millis = Millis(20);
/// The most readings a second of all entries together.
const MAX_READINGS_PER_S: u64 = 400;
/// The time between two readings while others are to write what is missing.
const REREAD_INTERVAL: Millis = Millis(1_000);
/// How long an entry that can't know of all versions leaves it to others to say since when they are
/// known.
const UNINFORMED_PATIENCE: Millis = Millis(3_000);

/// A row that is stored.
#[derive(Clone, Debug)]
struct Stored {
    row: Row,
    /// The version of the store at which it was written, if it was read.
    version: Option<u64>,
}

/// What this entry knows of the rows, and who waits for them.
#[derive(Debug, Default)]
pub(super) struct History {
    /// The rows, as far as this entry has written or read them, by key.
    rows: RefCell<BTreeMap<String, Stored>>,
    /// Rows that others have written, as they say.
    told: RefCell<BTreeMap<String, ServiceVersions>>,
    /// The keys of rows that this entry has written.
    own: RefCell<BTreeSet<String>>,
    /// Since when all versions are stored, if a row says so.
    completeness: Cell<Option<Completeness>>,
    /// Since when this entry knows that row.
    completeness_seen: Cell<Option<(Completeness, Millis)>>,
    /// The keys and versions of rows that can't be read.
    damaged: RefCell<Vec<(String, u64)>>,
    /// When the last reading began whose answer has come.
    pub(super) read: Cell<Option<Millis>>,
    /// Whether streams may have begun before this entry's start.
    had_streams: Cell<bool>,
    /// Whether rows were read in this life.
    has_started: Cell<bool>,
    /// Whether nothing was stored when this entry started, and nothing was lost since.
    is_new_store: Cell<bool>,
    /// The services for which requests wait, and since when.
    pub(super) wanted: RefCell<BTreeMap<String, Millis>>,
    /// Whether requests wait for a service, as of a moment.
    pub(super) waiting: RefCell<BTreeMap<String, (Millis, bool)>>,
    /// When other entries were last asked.
    pub(super) questioned: Cell<Option<Millis>>,
    /// Whether a reading is asked for.
    pub(super) is_asked: Cell<bool>,
    /// There may be something to do.
    due: Notify,
    /// Something has changed for requests that wait.
    changed: Notify,
}

impl History {
    /// Has all rows stored again: the store may have lost some.
    pub(super) fn store_again(&self) {
        self.rows.borrow_mut().clear();
        self.told.borrow_mut().clear();
        self.completeness.set(None);
        self.read.set(None);
        self.is_new_store.set(false);
        self.due.notify_one();
    }

    /// Records that another entry has had a version stored.
    pub(super) fn record_registered(&self, past: &Past) {
        let one = ServiceVersions::one(&past.service, &past.version);
        self.told.borrow_mut().insert(one.key(), one);
    }

    /// Has the rows read again.
    pub(super) fn ask_for_reading(&self) {
        self.is_asked.set(true);
        self.due.notify_one();
    }

    /// Has the task look at once.
    pub(super) fn look_again(&self) {
        self.due.notify_one();
    }

    /// Has requests that wait look again.
    pub(super) fn tell_waiting(&self) {
        self.waiting.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// Records that a request waits for a version of a service.
    pub(super) fn want(&self, service: &str, now: Millis) {
        let mut wanted = self.wanted.borrow_mut();
        wanted.entry(service.to_owned()).or_insert(now);
    }

    pub(super) async fn until_changed(&self) {
        let pause = Duration::from_millis(WAIT_INTERVAL.0);
        let _ = tokio::time::timeout(pause, self.changed.notified()).await;
    }
}

/// Reads and writes rows for as long as the process runs.
pub async fn run(state: Rc<State>) {
    let mut faults = UnusableRows::new("versions");
    let mut failures = 0;
    loop {
        match step(&state, &mut faults).await {
            Ok(()) => {
                if failures > 0 {
                    log::info!("versions are stored and read again");
                }
                failures = 0;
                let pause = Duration::from_millis(CHECK_INTERVAL.0);
                let due = state.streams.history.due.notified();
                let _ = tokio::time::timeout(pause, due).await;
            }
            Err(error) => {
                if failures == 0 {
                    log::info!(error = error.to_string(); "versions are not stored or read yet");
                }
                failures += 1;
                let pause = duty::backoff(failures, rand::random());
                tokio::time::sleep(Duration::from_millis(pause.0)).await;
            }
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
    history.is_asked.get() || is_missed || is_incomplete
}

/// The shortest time between two readings of an entry.
fn reading_interval(state: &State) -> Millis {
    let entries = state.fleet.borrow().size() as u64;
    Millis(entries * 1_000 / MAX_READINGS_PER_S)
}

async fn read(state: &State, faults: &mut UnusableRows) -> Result<(), Error> {
    let history = &state.streams.history;
    history.is_asked.set(false);
    let asked = state.now();
    let rows = state.source.list_versions().await?;
    faults.replace(&rows, &state.metrics);
    let is_first = !history.has_started.replace(true);
    let damaged = rows
        .iter()
        .filter(|row| matches!(row.content, Content::Unusable(_)));
    let damaged: Vec<_> = damaged.map(|row| (row.key.clone(), row.version)).collect();
    let completeness = completeness(state, &rows, !damaged.is_empty());
    let usable: BTreeMap<_, _> = rows.into_iter().filter_map(stored).collect();
    let versions = usable.values().filter_map(|stored| versions(&stored.row));
    let reading = Reading {
        versions: versions.cloned().collect(),
        complete_for: completeness.map(|it| complete_for(state, it, asked)),
    };
    if is_first {
        history.had_streams.set(!reading.versions.is_empty());
        let is_empty = usable.is_empty() && damaged.is_empty();
        history.is_new_store.set(is_empty);
        log::info!(
            versions = reading.versions.len(), damaged = damaged.len(),
            complete_for_ms = reading.complete_for.map(|it| it.0);
            "the versions that may have begun streams are read"
        );
    }
    let now = state.now();
    let mut registry = state.streams.registry.borrow_mut();
    registry.take(&reading, asked, now);
    drop(registry);
    history.rows.replace(usable);
    history.damaged.replace(damaged);
    history.completeness.set(completeness);
    history.read.set(Some(asked));
    history.tell_waiting();
    Ok(())
}

fn stored(row: row::Row<Row>) -> Option<(String, Stored)> {
    let version = Some(row.version);
    let key = row.key.clone();
    usable(row).map(|row| (key, Stored { row, version }))
}

/// For how long the rows have named all versions: by the clock of whoever wrote so, less what that
/// may be wrong by, or for as long as this entry knows it.
fn complete_for(state: &State, completeness: Completeness, now: Millis) -> Millis {
    let history = &state.streams.history;
    let seen = history.completeness_seen.get();
    let seen = seen.filter(|(known, _)| *known == completeness);
    let (_, since) = seen.unwrap_or((completeness, now));
    history.completeness_seen.set(Some((completeness, since)));
    let written = state.unix() - completeness.complete_since_unix;
    (written - CLOCK_MARGIN).max(now - since)
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

/// Has the platform store versions, and tells the others that streams may begin there. One that is
/// not taken holds none of the others up.
async fn register(state: &State) -> Result<(), Error> {
    let mut due = due(state);
    due.extend(lost(state));
    if due.is_empty() {
        return Ok(());
    }
    if is_first_start(state) {
        // Else an entry that starts would not know that these are all.
        store_completeness(state).await?;
    }
    let mut done = Ok(());
    for versions in due {
        let row = Row::Versions(versions.clone());
        match save(state, row).await {
            Ok(()) => announce(state, &versions),
            Err(error) => done = done.and(Err(error)),
        }
    }
    // A row is deleted only as it was read.
    state.streams.history.ask_for_reading();
    done
}

/// The versions that this entry registers now.
fn due(state: &State) -> Vec<ServiceVersions> {
    let services = services_to_register(state);
    let due = services.iter().flat_map(|service| due_of(state, service));
    due.collect()
}

/// The services that routes of streams lead to, and at a version of which no streams may begin.
fn services_to_register(state: &State) -> BTreeSet<String> {
    let force = state.force.borrow();
    let registry = state.streams.registry.borrow();
    let routes = force
        .table()
        .into_iter()
        .flat_map(|it| it.plan().routes.iter());
    let routes = routes.filter(|route| route.kind == Kind::Stream);
    let services = routes.flat_map(|route| route.shares.iter().map(|share| &share.service));
    let new = services.filter(|service| registry.has_unregistered(service));
    new.cloned().collect()
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

/// Registered versions that the store has lost, or of which earlier entries wrote several into a row.
fn lost(state: &State) -> Vec<ServiceVersions> {
    let registered = state.streams.registry.borrow().registered();
    let history = &state.streams.history;
    let (rows, own) = (history.rows.borrow(), history.own.borrow());
    let lost = registered.into_iter().filter(|it| {
        let key = it.key();
        let is_responsible =
            || own.contains(&key) || is_owner(state, ServiceVersions::position(&it.service));
        !rows.contains_key(&key) && is_responsible()
    });
    lost.collect()
}

fn wanted_for(state: &State, service: &str, now: Millis) -> Option<Millis> {
    let wanted = state.streams.history.wanted.borrow();
    wanted.get(service).map(|since| now - *since)
}

fn is_owner(state: &State, position: u64) -> bool {
    let ring = state.fleet.borrow().ring();
    *ring.owner(position) == state.settings.name
}

async fn save(state: &State, row: Row) -> Result<(), Error> {
    state.source.save_versions(&row).await?;
    let history = &state.streams.history;
    let key = row.key();
    history.own.borrow_mut().insert(key.clone());
    let stored = Stored { row, version: None };
    history.rows.borrow_mut().insert(key, stored);
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

/// Whether no stream has begun before, as the whole system starts for the first time.
fn is_first_start(state: &State) -> bool {
    state.settings.first_start && state.streams.history.is_new_store.get()
}

/// Stores since when all versions are registered, if it is this entry's turn.
async fn complete(state: &State) -> Result<(), Error> {
    let is_known = state.streams.history.completeness.get().is_some();
    if is_known || !has_turn_to_complete(state) {
        return Ok(());
    }
    store_completeness(state).await
}

/// Stores since when all versions are registered, where no row says so.
async fn store_completeness(state: &State) -> Result<(), Error> {
    let history = &state.streams.history;
    let is_known = history.completeness.get().is_some();
    let Some(era) = state.era().filter(|_| !is_known) else {
        return Ok(());
    };
    // Others may not have stored theirs yet.
    let registered = state.streams.registry.borrow().registered();
    for versions in registered {
        save(state, Row::Versions(versions)).await?;
    }
    let completeness = if is_first_start(state) {
        Completeness::ever(era)
    } else {
        let registry = state.streams.registry.borrow();
        registry.completeness(era, state.now(), state.unix())
    };
    save_completeness(state, completeness).await?;
    // Not before: what was stored earlier would pass for complete without them.
    delete_damaged(state).await
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
    save(state, Row::Completeness(completeness)).await?;
    let since = completeness.complete_since_unix;
    log::info!(since_unix_ms = since.0, era = completeness.era.number(); "all versions are stored");
    let history = &state.streams.history;
    history.completeness.set(Some(completeness));
    // It holds from the next reading on.
    history.ask_for_reading();
    Ok(())
}

/// Deletes rows that can't be read, if they were not written anew: what they held counts as lost.
async fn delete_damaged(state: &State) -> Result<(), Error> {
    let history = &state.streams.history;
    let mut damaged = history.damaged.take();
    damaged.retain(|(key, _)| !history.rows.borrow().contains_key(key));
    for (key, version) in damaged {
        delete(state, &key, version).await?;
        log::warn!(key = key; "a row on versions that can't be read is deleted");
    }
    Ok(())
}

/// Deletes the rows of versions whose streams can't be taken up any more.
async fn delete_outdated(state: &State) -> Result<(), Error> {
    if state.force.borrow().age(state.now()) > MAX_VIEW_AGE {
        return Ok(());
    }
    let history = &state.streams.history;
    for key in outdated(state) {
        let version = history.rows.borrow().get(&key).map(|it| it.version);
        history.told.borrow_mut().remove(&key);
        match version {
            Some(Some(version)) if outdated(state).contains(&key) => {
                delete(state, &key, version).await?;
                log::info!(key = key; "a version is no longer stored");
                history.rows.borrow_mut().remove(&key);
                history.own.borrow_mut().remove(&key);
            }
            // Nothing is deleted that may have been written since.
            _ => history.ask_for_reading(),
        }
    }
    Ok(())
}

/// Deletes a row as it was read. Where that fails the rows are read again, as it may be deleted.
async fn delete(state: &State, key: &str, version: u64) -> Result<(), Error> {
    let deleted = state.source.delete_versions(key, version).await;
    deleted.inspect_err(|_| state.streams.history.ask_for_reading())
}

fn outdated(state: &State) -> Vec<String> {
    let registry = state.streams.registry.borrow();
    let history = &state.streams.history;
    let (rows, told) = (history.rows.borrow(), history.told.borrow());
    let is_needed = |key: &String, it: &ServiceVersions| {
        let versions = it.versions.iter();
        let mut remembered = versions
            .map(|version| ServiceVersions::one(&it.service, version))
            .filter(|one| registry.knows_any(one));
        // A row of several versions is needed until each has its own.
        remembered.any(|one| one.key() == *key || !rows.contains_key(&one.key()))
    };
    let stored = rows.iter();
    let stored = stored.filter_map(|(key, it)| Some((key, versions(&it.row)?)));
    let outdated = stored
        .chain(told.iter())
        .filter(|(key, it)| !is_needed(key, it))
        .filter(|(_, it)| is_owner(state, ServiceVersions::position(&it.service)));
    outdated.map(|(key, _)| key.clone()).collect()
}
