//! The configuration that this entry serves by: it only ever moves forward.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use woodgap_core::clock::Millis;
use woodgap_core::config::{Catalog, Document};
use woodgap_core::control::Event;
use woodgap_core::revision::message::Change;

/// What is in force, read by every request, moved forward by whoever learns more.
#[derive(Debug, Default)]
pub struct InForce {
    catalog: ArcSwapOption<Catalog>,
    /// Held while a newer catalog is made, so that two sources don't race.
    moving: Mutex<()>,
    /// Until when it may be served by, on the entry's clock.
    confirmed_until: AtomicU64,
}

/// A step forward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The revision now in force.
    pub revision: u64,
    /// The changes that led to it; empty if everything was replaced.
    pub changes: Vec<Change>,
}

impl Step {
    /// The step as the control machine is told of it.
    pub fn event(self) -> Event {
        Event::InForce {
            revision: self.revision,
            changes: self.changes,
        }
    }
}

impl InForce {
    /// The configuration in force, whether or not it is confirmed.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// The configuration to serve by; none if nobody confirmed it for too long.
    pub fn confirmed(&self, now: Millis) -> Option<Arc<Catalog>> {
        let until = Millis(self.confirmed_until.load(Ordering::Acquire));
        if now > until { None } else { self.catalog() }
    }

    /// Says until when the configuration may be served by.
    pub fn confirm_until(&self, until: Millis) {
        self.confirmed_until.store(until.0, Ordering::Release);
    }

    /// Puts changes in force that follow the present revision without a gap.
    ///
    /// Changes that are in force already are passed over; none if nothing new
    /// remains, there is a gap, or a document can't be read.
    pub fn apply(&self, changes: &[Change]) -> Option<Step> {
        let _moving = self.moving.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.catalog()?;
        let mut catalog = Catalog::clone(&current);
        let mut applied = Vec::new();
        for change in changes
            .iter()
            .filter(|change| change.revision > current.revision())
        {
            if change.revision != catalog.revision() + 1 {
                return None;
            }
            catalog.apply(change.revision, read(&change.document)?);
            applied.push(change.clone());
        }
        self.store(catalog, applied)
    }

    /// Puts everything in force at once, unless what is in force is as new.
    pub fn replace(&self, catalog: Catalog) -> Option<Step> {
        let _moving = self.moving.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = self
            .catalog()
            .is_none_or(|current| catalog.revision() > current.revision());
        if newer {
            self.store(catalog, Vec::new())
        } else {
            None
        }
    }

    fn store(&self, catalog: Catalog, changes: Vec<Change>) -> Option<Step> {
        let revision = catalog.revision();
        if changes.is_empty()
            && self
                .catalog()
                .is_some_and(|current| current.revision() >= revision)
        {
            return None;
        }
        self.catalog.store(Some(Arc::new(catalog)));
        log::info!(revision = revision; "configuration in force");
        Some(Step { revision, changes })
    }
}

/// Makes a catalog of all documents of one revision; none if one can't be read.
pub fn catalog(revision: u64, documents: &[String]) -> Option<Catalog> {
    let documents: Option<Vec<Document>> = documents.iter().map(|text| read(text)).collect();
    Some(Catalog::of(revision, documents?))
}

fn read(document: &str) -> Option<Document> {
    match serde_json::from_str(document) {
        Ok(document) => Some(document),
        Err(error) => {
            log::error!(error = error.to_string(); "a document can't be read, the change is not applied");
            None
        }
    }
}

#[cfg(test)]
mod tests;
