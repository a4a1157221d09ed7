//! Endpoints that fail if they have to turn away many requests.
//!
//! Such an endpoint says in its answers how many requests it can turn away in a second, from all
//! entries together. An entry learns that an endpoint is full only by a refusal, and entries that
//! send at the same moment get many of them. While a service is brittle, the slots of each of its
//! endpoints are therefore divided between the entries, and no entry has more requests there than
//! its part: then none is refused. If there are more entries than slots, those nearest to the
//! endpoint on a hash ring have one each. A refusal shows that some entry does not know that yet,
//! and keeps the refused one away for a second, so that an entry causes no series of them.
//!
//! The endpoints of a service are brittle together. Entries tell one another, as one that has just
//! started or was idle has heard no answer.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::name;
use crate::relay::load_report;
use crate::relay::warming::Ring;

/// A service counts as brittle for this long after an answer said so.
const LIFETIME: Millis = Millis(3_000);
/// A notice contradicts what is known only if it is newer by more than this: its age does not
/// include the time in transit.
const REORDER_MARGIN: Millis = Millis(50);

/// How long an entry sends nothing to a brittle endpoint that has refused a request.
const REFUSAL_PAUSE: Millis = Millis(1_000);

/// What an entry tells others about a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The [`load_report::name_key`] of the service.
    pub service: u32,
    /// The time since an answer said that its endpoints are brittle.
    pub age: Millis,
}

/// The services whose endpoints are brittle.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::brittle::BrittleServices;
///
/// let mut brittle = BrittleServices::default();
/// assert!(brittle.record("engines", Millis(0)));
/// assert!(brittle.contains("engines", Millis(2_999)));
/// assert!(!brittle.contains("engines", Millis(3_000)));
/// ```
#[derive(Debug, Default)]
pub struct BrittleServices {
    /// When an answer last said so, by [`load_report::name_key`].
    named_at: HashMap<u32, Millis>,
    /// When an endpoint last refused a request of this entry.
    refused_at: HashMap<name::Life, Millis>,
}

impl BrittleServices {
    /// Records that an endpoint of the service says that it is brittle. Returns whether the service
    /// was not brittle before.
    pub fn record(&mut self, service: &str, now: Millis) -> bool {
        let is_new = !self.contains(service, now);
        self.named_at.insert(load_report::name_key(service), now);
        is_new
    }

    /// Whether the endpoints of the service are brittle.
    pub fn contains(&self, service: &str, now: Millis) -> bool {
        let named_at = self.named_at.get(&load_report::name_key(service));
        named_at.is_some_and(|at| now - *at < LIFETIME)
    }

    /// The number of services that are brittle.
    pub fn count(&self, now: Millis) -> usize {
        let named_at = self.named_at.values();
        named_at.filter(|at| now - **at < LIFETIME).count()
    }

    /// What to tell another entry, at most `max` notices: what was said last first.
    pub fn notices(&self, max: usize, now: Millis) -> Vec<Notice> {
        let notices = self.named_at.iter().map(|(service, at)| Notice {
            service: *service,
            age: now - *at,
        });
        let mut notices: Vec<_> = notices.filter(|it| it.age < LIFETIME).collect();
        notices.sort_by_key(|it| (it.age, it.service));
        notices.truncate(max);
        notices
    }

    /// Takes over what another entry tells. Returns whether a service was not brittle before.
    pub fn merge(&mut self, notices: &[Notice], now: Millis) -> bool {
        let mut has_news = false;
        for notice in notices.iter().filter(|it| it.age < LIFETIME) {
            let at = now - notice.age;
            let known = self.named_at.get(&notice.service);
            if known.is_some_and(|known| at <= *known + REORDER_MARGIN) {
                continue;
            }
            has_news |= known.is_none_or(|known| now - *known >= LIFETIME);
            self.named_at.insert(notice.service, at);
        }
        has_news
    }

    /// Records that an endpoint refused a request of this entry.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::name;
    /// use woodgap_core::relay::brittle::BrittleServices;
    ///
    /// let endpoint = name::Life::from(name::Endpoint::from("i-1"));
    /// let mut brittle = BrittleServices::default();
    /// brittle.record_refusal(&endpoint, Millis(0));
    /// assert!(brittle.has_refused(&endpoint, Millis(999)));
    /// assert!(!brittle.has_refused(&endpoint, Millis(1_000)));
    /// ```
    pub fn record_refusal(&mut self, endpoint: &name::Life, now: Millis) {
        self.refused_at.insert(endpoint.clone(), now);
    }

    /// Whether an endpoint has refused a request of this entry just now.
    pub fn has_refused(&self, endpoint: &name::Life, now: Millis) -> bool {
        let refused_at = self.refused_at.get(endpoint);
        refused_at.is_some_and(|at| now - *at < REFUSAL_PAUSE)
    }

    /// Forgets services that are no longer brittle, and earlier refusals.
    pub fn expire(&mut self, now: Millis) {
        self.refused_at.retain(|_, at| now - *at < REFUSAL_PAUSE);
        self.named_at.retain(|_, at| now - *at < LIFETIME);
    }
}

/// This entry's part of an endpoint's slots: the requests that it may have there. The parts of all
/// entries that know the same entries add up to the slots at most.
///
/// ```
/// use woodgap_core::name;
/// use woodgap_core::relay::brittle::own_slots;
/// use woodgap_core::relay::warming::Ring;
///
/// let entries: Vec<_> = (0..10).map(|it| name::Entry::from(format!("e-{it}"))).collect();
/// let endpoint = name::Life::from(name::Endpoint::from("i-1"));
/// let total = |slots| -> usize {
///     let parts = entries.iter().map(|own| {
///         let ring = Ring::new(own, entries.iter().filter(|it| *it != own));
///         own_slots(slots, &ring, &endpoint)
///     });
///     parts.sum()
/// };
/// assert_eq!(total(6), 6);
/// assert_eq!(total(64), 60);
/// ```
pub fn own_slots(slots: u32, ring: &Ring, endpoint: &name::Life) -> usize {
    let slots = slots as usize;
    let senders = slots.min(ring.entries());
    if senders == 0 || !ring.range(senders).contains(endpoint) {
        return 0;
    }
    slots / senders
}
