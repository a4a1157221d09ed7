//! The software versions of each service, now and in the recent past.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Millis;
use crate::relay::resumption::inquiry::Past;
use crate::relay::resumption::registration::ServiceVersions;
use crate::relay::resumption::{Build, Service};

/// How long a version must have been known before streams begin there while older ones serve: by
/// then the other entries know of it as well.
const NEW_VERSION_HOLD: Millis = Millis(1_000);
/// How long a version may have no endpoints and still counts as stored when it has some again: less
/// than the time after which its row is deleted.
const ABSENCE: Millis = Millis(5_000);

/// When endpoints of a version were known.
#[derive(Clone, Copy, Debug)]
struct Period {
    first: Millis,
    last: Millis,
    /// Whether the platform has stored that it may begin streams.
    is_registered: bool,
    /// When endpoints of it were last seen, or it was last known to be stored.
    confirmed: Millis,
}

/// The versions of all services by name, each for as long as a stream that it began may be taken
/// up.
#[derive(Debug, Default)]
pub(super) struct Versions {
    services: BTreeMap<String, BTreeMap<String, Period>>,
}

impl Versions {
    /// Records that a version of a service has endpoints.
    pub(super) fn observe(&mut self, service: &str, version: &str, now: Millis) {
        let period = self.period(service, version, now);
        if now - period.confirmed > ABSENCE {
            // Its row may be gone by now.
            period.is_registered = false;
        }
        period.last = period.last.max(now);
        period.confirmed = now;
    }

    /// Records that the platform has stored a version. It may have begun streams until now.
    pub(super) fn register(&mut self, service: &str, version: &str, now: Millis) {
        let period = self.period(service, version, now);
        period.last = period.last.max(now);
        period.confirmed = now;
        period.is_registered = true;
    }

    /// Records that the platform has stored a version that is remembered.
    pub(super) fn mark_registered(&mut self, service: &str, version: &str, now: Millis) {
        let versions = self.services.get_mut(service);
        if let Some(period) = versions.and_then(|versions| versions.get_mut(version)) {
            period.is_registered = true;
            period.confirmed = now;
        }
    }

    fn period(&mut self, service: &str, version: &str, now: Millis) -> &mut Period {
        // Most calls find the version known, so no name is copied for them.
        if !self.knows(service, version) {
            let period = Period {
                first: now,
                last: now,
                is_registered: false,
                confirmed: now,
            };
            let versions = self.services.entry(service.to_owned()).or_default();
            versions.insert(version.to_owned(), period);
        }
        let versions = self.services.get_mut(service);
        let period = versions.and_then(|versions| versions.get_mut(version));
        period.expect("it is known by now")
    }

    fn get(&self, service: &str, version: &str) -> Option<&Period> {
        self.services.get(service)?.get(version)
    }

    /// Whether a version is remembered.
    pub(super) fn knows(&self, service: &str, version: &str) -> bool {
        self.get(service, version).is_some()
    }

    /// Whether the platform has stored a version.
    pub(super) fn is_registered(&self, service: &str, version: &str) -> bool {
        let period = self.get(service, version);
        period.is_some_and(|period| period.is_registered)
    }

    /// Whether a version of a service is known that the platform has not stored.
    pub(super) fn has_unregistered(&self, service: &str) -> bool {
        let versions = self.services.get(service);
        let mut versions = versions.into_iter().flat_map(BTreeMap::values);
        versions.any(|period| !period.is_registered)
    }

    /// Whether streams may begin at all known versions of a service.
    pub(super) fn is_settled(&self, service: &str, now: Millis) -> bool {
        let Some(versions) = self.services.get(service) else {
            return false;
        };
        let mut periods = versions.values();
        periods.all(|period| period.is_registered && now - period.first >= NEW_VERSION_HOLD)
    }

    /// For how long a version has been known.
    pub(super) fn known_for(&self, service: &str, version: &str, now: Millis) -> Millis {
        let period = self.get(service, version);
        period.map_or(Millis::ZERO, |period| now - period.first)
    }

    /// Learns from another entry when a version had endpoints. Gives back whether streams may begin
    /// there since.
    pub(super) fn learn(&mut self, past: &Past, now: Millis) -> bool {
        let learned = Period {
            first: now - past.first,
            last: now - past.last,
            // Of one that had gone the row may be gone as well.
            is_registered: past.is_registered && past.last <= ABSENCE,
            confirmed: now - past.last,
        };
        let was_registered = self.is_registered(&past.service, &past.version);
        let versions = self.services.entry(past.service.clone()).or_default();
        let period = versions.entry(past.version.clone()).or_insert(learned);
        period.first = period.first.min(learned.first);
        period.last = period.last.max(learned.last);
        period.is_registered |= learned.is_registered;
        period.confirmed = period.confirmed.max(learned.confirmed);
        learned.is_registered && !was_registered
    }

    /// The versions that others must know of: those that may begin streams, and all of services that
    /// have several.
    pub(super) fn past(&self, now: Millis) -> Vec<Past> {
        let all = self.services.iter().flat_map(|(service, versions)| {
            let is_mixed = versions.len() > 1;
            let told = versions.iter();
            let told = told.filter(move |(_, period)| is_mixed || period.is_registered);
            told.map(move |(version, period)| past(service, version, period, now))
        });
        all.collect()
    }

    /// What others must know of one version; `None` if it is not remembered.
    pub(super) fn past_of(&self, service: &str, version: &str, now: Millis) -> Option<Past> {
        let period = self.get(service, version)?;
        Some(past(service, version, period, now))
    }

    /// The versions that the platform has stored, each by itself.
    pub(super) fn registered(&self) -> Vec<ServiceVersions> {
        let all = self.services.iter().flat_map(|(service, versions)| {
            let registered = versions.iter().filter(|(_, period)| period.is_registered);
            registered.map(|(version, _)| ServiceVersions::one(service, version))
        });
        all.collect()
    }

    /// Drops the versions that were last known longer ago than `retention`.
    pub(super) fn expire(&mut self, retention: Millis, now: Millis) {
        for versions in self.services.values_mut() {
            versions.retain(|_, period| now - period.last < retention);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// The builds that streams of these services can have, as far as this entry has seen.
    pub(super) fn builds(&self, services: &[Service]) -> BTreeSet<Build> {
        let asked = self.of(services);
        let builds = asked.map(|(name, version, _)| Build::of(name, version));
        builds.collect()
    }

    /// The builds of these services that the platform has stored.
    pub(super) fn registered_builds(&self, services: &[Service]) -> BTreeSet<Build> {
        let registered = self
            .of(services)
            .filter(|(_, _, period)| period.is_registered);
        let builds = registered.map(|(name, version, _)| Build::of(name, version));
        builds.collect()
    }

    fn of<'s>(
        &'s self,
        services: &'s [Service],
    ) -> impl Iterator<Item = (&'s str, &'s str, &'s Period)> {
        let known = self.services.iter();
        let asked = known.filter(|(name, _)| services.contains(&Service::of(name)));
        asked.flat_map(|(name, versions)| {
            let versions = versions.iter();
            versions.map(move |(version, period)| (name.as_str(), version.as_str(), period))
        })
    }

    /// Whether the platform has stored a build.
    pub(super) fn is_build_registered(&self, build: Build, services: &[Service]) -> bool {
        self.registered_builds(services).contains(&build)
    }

    /// The builds of services that have several versions.
    pub(super) fn mixed(&self) -> BTreeSet<Build> {
        let mixed = self.services.iter().filter(|(_, known)| known.len() > 1);
        let builds = mixed.flat_map(|(name, versions)| {
            let versions = versions.keys();
            versions.map(move |version| Build::of(name, version))
        });
        builds.collect()
    }

    /// Those of a service's usable versions at which streams may begin.
    pub(super) fn open<'v>(&self, service: &str, usable: &[&'v str], now: Millis) -> Vec<&'v str> {
        let registered = usable.iter().copied();
        let registered: Vec<_> = registered
            .filter(|version| self.is_registered(service, version))
            .collect();
        let settled = registered.iter().copied();
        let settled: Vec<_> = settled
            .filter(|version| self.known_for(service, version, now) >= NEW_VERSION_HOLD)
            .collect();
        if settled.is_empty() {
            registered
        } else {
            settled
        }
    }
}

fn past(service: &str, version: &str, period: &Period, now: Millis) -> Past {
    Past {
        service: service.to_owned(),
        version: version.to_owned(),
        first: now - period.first,
        last: now - period.last,
        is_registered: period.is_registered,
    }
}
