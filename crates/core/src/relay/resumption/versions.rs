//! The software versions of each service, now and in the recent past.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::relay::resumption::inquiry::Past;
use crate::relay::resumption::{Build, Service};

/// How long a version must have been known before streams begin there while older ones serve: by
/// then the other entries know of it as well.
const NEW_VERSION_HOLD: Millis = Millis(1_000);

/// The versions that may have begun streams of a service, as the platform stores them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: String,
    /// Its versions, in ascending order.
    pub versions: Vec<String>,
}

impl ServiceVersions {
    /// The position of a service among the entries, one of which stores its versions.
    pub fn key(service: &str) -> u64 {
        Service::of(service).0
    }
}

/// When endpoints of a version were known.
#[derive(Clone, Copy, Debug)]
struct Period {
    first: Millis,
    last: Millis,
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
        // Most observations find the version known, so no name is copied for them.
        let versions = self.services.get_mut(service);
        if let Some(period) = versions.and_then(|versions| versions.get_mut(version)) {
            period.last = period.last.max(now);
            return;
        }
        let versions = self.services.entry(service.to_owned()).or_default();
        let period = Period {
            first: now,
            last: now,
        };
        versions.insert(version.to_owned(), period);
    }

    /// Learns from another entry when a version had endpoints.
    pub(super) fn learn(&mut self, past: &Past, now: Millis) {
        let learned = Period {
            first: now - past.first,
            last: now - past.last,
        };
        let versions = self.services.entry(past.service.clone()).or_default();
        let period = versions.entry(past.version.clone()).or_insert(learned);
        period.first = period.first.min(learned.first);
        period.last = period.last.max(learned.last);
    }

    /// The versions of services that have several.
    pub(super) fn past(&self, now: Millis) -> Vec<Past> {
        let mixed = self.services.iter().filter(|(_, known)| known.len() > 1);
        let all = mixed.flat_map(|(service, versions)| {
            versions.iter().map(move |(version, period)| Past {
                service: service.clone(),
                version: version.clone(),
                first: now - period.first,
                last: now - period.last,
            })
        });
        all.collect()
    }

    /// The versions of services that have several, as the platform stores them.
    pub(super) fn to_store(&self) -> Vec<ServiceVersions> {
        let mixed = self.services.iter().filter(|(_, known)| known.len() > 1);
        let all = mixed.map(|(service, versions)| ServiceVersions {
            service: service.clone(),
            versions: versions.keys().cloned().collect(),
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

    /// The builds that streams of these services can have.
    pub(super) fn builds(&self, services: &[Service]) -> BTreeSet<Build> {
        let known = self.services.iter();
        let asked = known.filter(|(name, _)| services.contains(&Service::of(name)));
        asked
            .flat_map(|(name, versions)| builds(name, versions))
            .collect()
    }

    /// The builds of services that have several versions.
    pub(super) fn mixed(&self) -> BTreeSet<Build> {
        let mixed = self.services.iter().filter(|(_, known)| known.len() > 1);
        mixed
            .flat_map(|(name, versions)| builds(name, versions))
            .collect()
    }

    /// The versions of a service at which no streams begin yet, while other ones serve.
    pub(super) fn held(&self, service: &str, now: Millis) -> Vec<&str> {
        let Some(versions) = self.services.get(service) else {
            return Vec::new();
        };
        let new = versions.iter();
        let new = new.filter(|(_, period)| now - period.first < NEW_VERSION_HOLD);
        new.map(|(version, _)| version.as_str()).collect()
    }
}

fn builds(service: &str, versions: &BTreeMap<String, Period>) -> impl Iterator<Item = Build> {
    versions
        .keys()
        .map(move |version| Build::of(service, version))
}
