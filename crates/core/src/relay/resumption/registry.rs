//! What one entry knows about the builds of streams.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::era::Era;
use crate::relay::resumption::inquiry::{Notice, Past, Standing};
use crate::relay::resumption::records::Records;
use crate::relay::resumption::registration::{Completeness, Reading, ServiceVersions};
use crate::relay::resumption::versions::Versions;
use crate::relay::resumption::{Build, Service, Stream, TAKE_UP_WINDOW};

/// The longest age of an entry's view at which it may say unasked that there is one version: less
/// than the time for which a new one is known before streams begin there.
pub const MAX_UNASKED_AGE: Millis = Millis(800);
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
    /// Since when less is needed.
    lower_since: Option<Millis>,
    /// Since when all versions are known: the start of the entry, or the end of the last time in
    /// which it may have missed one.
    complete_since: Millis,
    /// The last reading of what the platform stores.
    reading: Option<LastReading>,
    /// Whether all versions were known before the last gap in the view.
    was_complete: bool,
}

/// When the platform was read.
#[derive(Clone, Copy, Debug)]
struct LastReading {
    /// When it was asked: what was stored before is in the answer.
    asked: Millis,
    /// For how long by then all versions that began streams had been stored, if that is known.
    complete_for: Option<Millis>,
}

impl LastReading {
    /// For how long all versions that began streams have been stored.
    fn complete_for_at(self, now: Millis) -> Option<Millis> {
        self.complete_for.map(|then| then + (now - self.asked))
    }
}

/// Which streams other entries and the platform must know.
enum Shared {
    All,
    Of(BTreeSet<Build>),
}

impl Shared {
    fn contains(&self, build: Build) -> bool {
        match self {
            Self::All => true,
            Self::Of(builds) => builds.contains(&build),
        }
    }

    fn is_empty(&self) -> bool {
        matches!(self, Self::Of(builds) if builds.is_empty())
    }
}

impl Registry {
    /// The registry of an entry that starts at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            records: Records::default(),
            versions: Versions::default(),
            retention: None,
            lower_since: None,
            complete_since: now,
            reading: None,
            was_complete: false,
        }
    }

    /// Sets the longest duration of an attempt at a stream. Where it falls, what began before is
    /// remembered for as long as it may last.
    pub fn set_longest_stream(&mut self, longest: Millis, now: Millis) {
        let needed = longest + TAKE_UP_WINDOW;
        let Some(retention) = self.retention.filter(|it| *it > needed) else {
            self.retention = Some(needed);
            self.lower_since = None;
            return;
        };
        let since = *self.lower_since.get_or_insert(now);
        if now - since >= retention {
            self.retention = Some(needed);
            self.lower_since = None;
        }
    }

    /// Records that a version of a service has endpoints.
    pub fn observe(&mut self, service: &str, version: &str, now: Millis) {
        self.versions.observe(service, version, now);
    }

    /// Records that versions may have come and gone unseen until now.
    pub fn record_gap(&mut self, now: Millis) {
        self.was_complete |= self.is_complete(now);
        self.complete_since = now;
    }

    /// Records that the view of the endpoints is current.
    pub fn end_gap(&mut self) {
        self.was_complete = false;
    }

    /// Whether all versions were known before the gap that lasts until now.
    pub fn was_complete(&self) -> bool {
        self.was_complete
    }

    /// Learns from another entry when a version had endpoints. Gives back whether streams may begin
    /// there since.
    pub fn learn(&mut self, past: &Past, now: Millis) -> bool {
        self.versions.learn(past, now)
    }

    /// Takes in all that the platform has stored, which was asked for at `asked`: these versions
    /// may have begun streams.
    pub fn take(&mut self, reading: &Reading, asked: Millis, now: Millis) {
        // A version that was seen all the while is known for no longer than that.
        let has_seen_all = self.has_read();
        for stored in &reading.versions {
            for version in &stored.versions {
                let is_known = self.versions.knows(&stored.service, version);
                if has_seen_all && is_known {
                    self.versions.mark_registered(&stored.service, version, now);
                } else {
                    self.versions.register(&stored.service, version, now);
                }
            }
        }
        // A store that has lost rows makes nobody forget.
        if reading.complete_for.is_some() || !self.is_complete(now) {
            self.reading = Some(LastReading {
                asked,
                complete_for: reading.complete_for,
            });
        }
    }

    /// Since when all versions that began streams are registered, to be stored once all of them
    /// are: since now, where this entry can't know of any before.
    pub fn completeness(&self, era: Era, now: Millis, unix: Millis) -> Completeness {
        let read = self.reading.and_then(|it| it.complete_for_at(now));
        let complete_for = if self.is_complete(now) {
            read.unwrap_or_default().max(self.retention())
        } else {
            Millis::ZERO
        };
        Completeness {
            complete_since_unix: unix - complete_for,
            era,
        }
    }

    /// Whether the platform was read since the entry may last have missed a version.
    pub fn has_read(&self) -> bool {
        let reading = self.reading.as_ref();
        reading.is_some_and(|it| it.asked >= self.complete_since)
    }

    /// Whether every version that may have begun a stream is known: by what was read and seen since,
    /// or by a view without a gap for as long as a stream can be taken up.
    pub fn is_complete(&self, now: Millis) -> bool {
        let has_seen_all = now - self.complete_since >= self.retention();
        has_seen_all || (self.has_read() && self.is_reading_complete(now))
    }

    /// The same, but for what came since the platform was read.
    pub fn is_reading_complete(&self, now: Millis) -> bool {
        let complete_for = self.reading.and_then(|it| it.complete_for_at(now));
        complete_for.is_some_and(|it| it >= self.retention())
    }

    /// Records that the platform has stored a version, so that streams may begin there.
    pub fn register(&mut self, service: &str, version: &str, now: Millis) {
        self.versions.register(service, version, now);
    }

    /// Whether streams may begin at a version.
    pub fn is_registered(&self, service: &str, version: &str) -> bool {
        self.versions.is_registered(service, version)
    }

    /// Whether a version of a service is known at which no streams may begin.
    pub fn has_unregistered(&self, service: &str) -> bool {
        self.versions.has_unregistered(service)
    }

    /// Whether streams may begin at all known versions of a service, and all entries know them.
    pub fn is_settled(&self, service: &str, now: Millis) -> bool {
        self.versions.is_settled(service, now)
    }

    /// For how long a version has been known.
    pub fn known_for(&self, service: &str, version: &str, now: Millis) -> Millis {
        self.versions.known_for(service, version, now)
    }

    /// The versions that the platform must have stored, each by itself.
    pub fn registered(&self) -> Vec<ServiceVersions> {
        self.versions.registered()
    }

    /// Whether any of these versions is remembered.
    pub fn knows_any(&self, stored: &ServiceVersions) -> bool {
        let mut versions = stored.versions.iter();
        versions.any(|version| self.versions.knows(&stored.service, version))
    }

    /// The only version that can have begun a stream which was lost before `lost`: the only one
    /// that was stored when the platform was asked later than that.
    pub fn only_stored(&self, services: &[Service], lost: Millis, now: Millis) -> Option<Build> {
        let reading = self.reading.as_ref()?;
        if reading.asked < lost || !self.is_reading_complete(now) {
            return None;
        }
        let builds = self.versions.registered_builds(services);
        builds.first().copied().filter(|_| builds.len() == 1)
    }

    /// Whether the platform has stored a build of these services.
    pub fn is_build_registered(&self, build: Build, services: &[Service]) -> bool {
        self.versions.is_build_registered(build, services)
    }

    /// Whether the platform can tell which version began a stream of these services: it can't where
    /// several are known to be stored.
    pub fn may_be_told(&self, services: &[Service]) -> bool {
        self.versions.registered_builds(services).len() <= 1
    }

    /// What another entry must be told of a version.
    pub fn past_of(&self, service: &str, version: &str, now: Millis) -> Option<Past> {
        self.versions.past_of(service, version, now)
    }

    /// What an entry that has just started must learn: versions that may begin streams, and all of
    /// services that have several.
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

    /// Which streams others must know: those whose service has several versions. All of them while
    /// versions may have been missed, as there may be several then.
    fn shared(&self, now: Millis) -> Shared {
        if self.is_complete(now) {
            Shared::Of(self.versions.mixed())
        } else {
            Shared::All
        }
    }

    /// The streams that the keepers must be told of.
    pub fn take_notices(&mut self, now: Millis) -> Vec<Notice> {
        let shared = self.shared(now);
        if shared.is_empty() {
            return Vec::new();
        }
        let must_know = |build: Build| shared.contains(build);
        self.records.take_untold(must_know, now)
    }

    /// All streams that others must know, for keepers that have just become so.
    pub fn notices(&self, now: Millis) -> Vec<Notice> {
        let shared = self.shared(now);
        if shared.is_empty() {
            return Vec::new();
        }
        self.records.notices(|build| shared.contains(build), now)
    }

    /// Whether streams must be told to others and stored.
    pub fn shares_streams(&self, now: Millis) -> bool {
        !self.shared(now).is_empty()
    }

    /// For how long after it was written a stored stream can matter.
    pub fn retention(&self) -> Millis {
        self.retention.unwrap_or(UNKNOWN_RETENTION)
    }

    /// Takes at most `limit` streams of this entry that the platform must store.
    pub fn take_unsaved(&mut self, limit: usize, now: Millis) -> Vec<Notice> {
        let shared = self.shared(now);
        if shared.is_empty() {
            return Vec::new();
        }
        let must_save = |build: Build| shared.contains(build);
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
            Standing::Unsure(_) | Standing::Aged(_) | Standing::Several | Standing::Nothing => {
                false
            }
        }
    }

    /// Those of a service's usable versions at which streams may begin: registered ones and, while
    /// others serve, none that other entries may not know yet.
    pub fn open<'v>(&self, service: &str, usable: &[&'v str], now: Millis) -> Vec<&'v str> {
        self.versions.open(service, usable, now)
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
