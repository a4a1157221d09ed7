//! What one entry knows about the builds of streams.

use crate::clock::Millis;
use crate::relay::resumption::inquiry::{Notice, Past, Standing};
use crate::relay::resumption::records::Records;
use crate::relay::resumption::versions::{ServiceVersions, Versions};
use crate::relay::resumption::{Build, Service, Stream, TAKE_UP_WINDOW};

/// The longest age of an entry's view at which it may say unasked that there is one version: less
/// than the time for which a new one is known before streams begin there.
const MAX_UNASKED_AGE: Millis = Millis(800);
/// How long what may matter is kept before the first plan says how long streams last: longer than
/// any does.
const UNKNOWN_RETENTION: Millis = Millis::from_secs(24 * 60 * 60);

/// The builds of streams, and the versions that may have begun those that are not known.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::resumption::{Build, Registry, Service, Standing, Stream};
///
/// let mut registry = Registry::new(Millis(0));
/// let stream = Stream::of("murphy", "r1");
/// let services = [Service::of("links")];
/// let standing = |registry: &Registry| registry.standing(Some(stream), &services, Millis(9));
///
/// registry.observe("links", "v1", Millis(0));
/// let old = Build::of("links", "v1");
/// assert_eq!(standing(&registry), Standing::Single(old));
/// registry.observe("links", "v2", Millis(5));
/// assert_eq!(standing(&registry), Standing::Several);
/// registry.record(stream, old, Millis(1_000));
/// assert_eq!(standing(&registry), Standing::Known(old));
/// ```
#[derive(Debug)]
pub struct Registry {
    records: Records,
    versions: Versions,
    /// How long a version is remembered; not known before the first plan.
    retention: Option<Millis>,
    /// Since when all versions are known: the start of the entry, or the end of the last time in
    /// which it may have missed one.
    complete_since: Millis,
}

impl Registry {
    /// The registry of an entry that starts at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            records: Records::default(),
            versions: Versions::default(),
            retention: None,
            complete_since: now,
        }
    }

    /// Sets the longest duration of an attempt at a stream.
    pub fn set_longest_stream(&mut self, longest: Millis) {
        self.retention = Some(longest + TAKE_UP_WINDOW);
    }

    /// Records that a version of a service has endpoints.
    pub fn observe(&mut self, service: &str, version: &str, now: Millis) {
        self.versions.observe(service, version, now);
    }

    /// Records that versions may have come and gone unseen until now.
    pub fn record_gap(&mut self, now: Millis) {
        self.complete_since = now;
    }

    /// Learns from another entry when a version had endpoints.
    pub fn learn(&mut self, past: &Past, now: Millis) {
        self.versions.learn(past, now);
    }

    /// Takes in what the platform has stored: all of these versions may have begun streams.
    pub fn restore(&mut self, stored: &ServiceVersions, now: Millis) {
        for version in &stored.versions {
            self.versions.observe(&stored.service, version, now);
        }
    }

    /// What the platform must store, for entries that start when all others are gone.
    pub fn to_store(&self) -> Vec<ServiceVersions> {
        self.versions.to_store()
    }

    /// What an entry that has just started must learn: the versions of services that have several.
    pub fn past(&self, now: Millis) -> Vec<Past> {
        self.versions.past(now)
    }

    /// Drops what can't matter any more.
    pub fn expire(&mut self, now: Millis) {
        self.versions.expire(self.retention(), now);
        self.records.expire(now);
    }

    /// Records a stream that this entry passes on, in an attempt that ends by `deadline`.
    pub fn record(&mut self, stream: Stream, build: Build, deadline: Millis) {
        let until = deadline + TAKE_UP_WINDOW;
        self.records.insert_own(stream, build, until);
    }

    /// Keeps a stream for another entry, at most for as long as a version is remembered.
    pub fn keep(&mut self, notice: &Notice, now: Millis) {
        let until = now + notice.keep_for.min(self.retention());
        self.records.insert(notice.stream, notice.build, until);
    }

    /// The streams that the keepers must be told of: those whose service has several versions.
    pub fn take_notices(&mut self, now: Millis) -> Vec<Notice> {
        let mixed = self.versions.mixed();
        if mixed.is_empty() {
            return Vec::new();
        }
        let must_know = |build: Build| mixed.contains(&build);
        self.records.take_untold(must_know, now)
    }

    /// All streams whose service has several versions, for keepers that have just become so.
    pub fn notices(&self, now: Millis) -> Vec<Notice> {
        let mixed = self.versions.mixed();
        if mixed.is_empty() {
            return Vec::new();
        }
        self.records.notices(|build| mixed.contains(&build), now)
    }

    /// Whether a service has several versions, so that streams must be told to others and stored.
    pub fn is_mixed(&self) -> bool {
        !self.versions.mixed().is_empty()
    }

    /// For how long after it was written a stored stream can matter.
    pub fn retention(&self) -> Millis {
        self.retention.unwrap_or(UNKNOWN_RETENTION)
    }

    /// Takes at most `limit` streams of this entry that the platform must store: those whose
    /// service has several versions.
    pub fn take_unsaved(&mut self, limit: usize, now: Millis) -> Vec<Notice> {
        let mixed = self.versions.mixed();
        if mixed.is_empty() {
            return Vec::new();
        }
        let must_save = |build: Build| mixed.contains(&build);
        self.records.take_unsaved(must_save, limit, now)
    }

    /// Has all streams of this entry stored again.
    pub fn mark_all_unsaved(&mut self) {
        self.records.mark_all_unsaved();
    }

    /// Takes in a stream that the platform has stored; what is known better stays.
    pub fn restore_stream(&mut self, notice: &Notice, now: Millis) {
        let until = now + notice.keep_for.min(self.retention());
        let Notice { stream, build, .. } = *notice;
        self.records.insert_stored(stream, build, until);
    }

    /// What is known about a stream that one of these services has begun.
    pub fn standing(&self, stream: Option<Stream>, services: &[Service], now: Millis) -> Standing {
        let known = stream.and_then(|stream| self.records.get(stream, now));
        if let Some(build) = known {
            return Standing::Known(build);
        }
        let builds = self.versions.builds(services);
        match (builds.first(), builds.len()) {
            (Some(build), 1) => Standing::Single(*build),
            (None, _) => Standing::Nothing,
            _ => Standing::Several,
        }
    }

    /// Whether this standing needs no answers of others. `age` is that of this entry's view of the
    /// endpoints. An entry that has just started, or was cut off, does not know which versions there were.
    pub fn is_certain(&self, standing: Standing, age: Millis, now: Millis) -> bool {
        match standing {
            Standing::Known(_) => true,
            Standing::Single(_) => {
                age <= MAX_UNASKED_AGE && now - self.complete_since >= self.retention()
            }
            Standing::Unsure(_) | Standing::Several | Standing::Nothing => false,
        }
    }

    /// The versions of a service at which no streams begin yet, while other ones serve.
    pub fn held(&self, service: &str, now: Millis) -> Vec<&str> {
        self.versions.held(service, now)
    }

    /// The number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
