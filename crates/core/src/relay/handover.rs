//! Requests that an entry hands to another one, since it reaches no endpoint itself.
//!
//! The entry that took the request from its caller chooses another one that reaches endpoints, and
//! passes the answer on. A request is handed over once at most: an entry that gets one from
//! another entry sends it to an endpoint or turns it away, so that nothing goes round in a circle.
//!
//! What an entry takes from others is bounded in number and bytes. Where that is used up, or the
//! service has failed for all entries, a request is turned away before it has run, and another
//! entry may be asked.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name;
use crate::relay::fleet::Member;
use crate::relay::load_report;
use crate::relay::prefix;

/// How many other entries may be asked for one request: the first may have just lost its links
/// too, or be stopping.
pub const MAX_ENTRIES: usize = 3;
/// By how many requests an entry of another data centre may be ahead of one in the own one: bytes
/// between data centres are billed.
const REMOTE_PENALTY: usize = 4;
/// How long an entry is not asked for a service again after it turned a request for it away, or
/// for any after it could not be connected to.
const REFUSAL_BACKOFF: Millis = Millis(500);
/// How many entries that can't reach a service in a row show that the service has failed, and not
/// the links of this entry.
const MAX_REFUSALS: usize = 3;
/// The bytes of requests that an entry takes from others, in all.
const MAX_ACCEPTED_BYTES: usize = 8 * 1024 * 1024;

/// What this entry has handed to others, and taken from them.
///
/// ```
/// use woodgap_core::relay::handover::Handovers;
///
/// let mut handovers = Handovers::new(2);
/// assert!(handovers.accept(1_000));
/// assert!(handovers.accept(1_000));
/// assert!(!handovers.accept(1_000));
/// handovers.finish(1_000);
/// assert!(handovers.accept(1_000));
/// ```
#[derive(Debug, Default)]
pub struct Handovers {
    /// Requests at other entries.
    handed: HashMap<name::Entry, usize>,
    /// When an entry last turned a request for a service away.
    refusals: HashMap<(name::Entry, String), Millis>,
    /// When an entry could last not be connected to.
    unreachable: HashMap<name::Entry, Millis>,
    /// Requests of other entries, and their bytes.
    accepted: usize,
    accepted_bytes: usize,
    max_accepted: usize,
}

impl Handovers {
    /// Takes at most `max_accepted` requests of other entries at a time, and hands over as many.
    pub fn new(max_accepted: usize) -> Self {
        Self {
            max_accepted,
            ..Self::default()
        }
    }

    /// The entry to hand a request for this service to: one that reaches endpoints, has few
    /// requests of this one, and preferably runs in the own data centre. `tried` were asked before.
    pub fn choose<'m>(
        &self,
        live: impl Iterator<Item = &'m Member>,
        request: &Request<'_>,
        now: Millis,
    ) -> Option<&'m Member> {
        let is_exhausted = request.tried.len() >= MAX_ENTRIES;
        let has_room = self.handed.values().sum::<usize>() < self.max_accepted;
        if is_exhausted || !has_room || self.has_failed_everywhere(request.service, now) {
            return None;
        }
        let may_ask = |member: &&Member| {
            member.reaches_endpoints
                && !request.tried.contains(&member.name)
                && !self.is_backed_off(&member.name, request.service, now)
        };
        live.filter(may_ask).min_by_key(|member| {
            let handed = self.handed.get(&member.name).copied().unwrap_or_default();
            let is_remote = member.data_centre != *request.data_centre;
            let penalty = if is_remote { REMOTE_PENALTY } else { 0 };
            let key = load_report::name_key(member.name.as_str());
            (handed + penalty, prefix::mix(request.seed, u64::from(key)))
        })
    }

    /// Whether so many entries have turned requests for the service away that it has probably
    /// failed for all.
    fn has_failed_everywhere(&self, service: &str, now: Millis) -> bool {
        let refusals = self.refusals.iter();
        let recent = refusals
            .filter(|((_, refused), at)| refused == service && now - **at < REFUSAL_BACKOFF);
        recent.count() >= MAX_REFUSALS
    }

    fn is_backed_off(&self, entry: &name::Entry, service: &str, now: Millis) -> bool {
        let lost = self.unreachable.get(entry);
        if lost.is_some_and(|at| now - *at < REFUSAL_BACKOFF) {
            return true;
        }
        let mut refusals = self.refusals.iter();
        refusals.any(|((refusing, refused), at)| {
            refusing == entry && refused == service && now - *at < REFUSAL_BACKOFF
        })
    }

    /// Records that a request is handed to an entry.
    pub fn begin(&mut self, entry: &name::Entry) {
        *self.handed.entry(entry.clone()).or_default() += 1;
    }

    /// Records that the request is over.
    pub fn end(&mut self, entry: &name::Entry) {
        if let Some(handed) = self.handed.get_mut(entry) {
            *handed = handed.saturating_sub(1);
            if *handed == 0 {
                self.handed.remove(entry);
            }
        }
    }

    /// Records that an entry turned a request for a service away.
    pub fn record_refusal(&mut self, entry: &name::Entry, service: &str, now: Millis) {
        self.refusals.retain(|_, at| now - *at < REFUSAL_BACKOFF);
        let key = (entry.clone(), service.to_owned());
        self.refusals.insert(key, now);
    }

    /// Records that an entry could not be connected to.
    pub fn record_unreachable(&mut self, entry: &name::Entry, now: Millis) {
        self.unreachable.retain(|_, at| now - *at < REFUSAL_BACKOFF);
        self.unreachable.insert(entry.clone(), now);
    }

    /// Takes a request of this many bytes from another entry, if there is room for it.
    pub fn accept(&mut self, bytes: usize) -> bool {
        let fits = self.accepted_bytes.saturating_add(bytes) <= MAX_ACCEPTED_BYTES;
        if !fits || self.accepted >= self.max_accepted {
            return false;
        }
        self.accepted += 1;
        self.accepted_bytes += bytes;
        true
    }

    /// Records that a request that was taken is over.
    pub fn finish(&mut self, bytes: usize) {
        self.accepted = self.accepted.saturating_sub(1);
        self.accepted_bytes = self.accepted_bytes.saturating_sub(bytes);
    }
}

/// A request to hand over.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its service.
    pub service: &'a str,
    /// The entries that were asked before.
    pub tried: &'a [name::Entry],
    /// The data centre of this entry.
    pub data_centre: &'a name::DataCentre,
    /// Decides between entries that are equally good.
    pub seed: u64,
}
