//! How many requests a cold endpoint is sent while it warms up.
//!
//! The load pattern: endpoints that have just started, or a whole data centre of them, bear
//! few requests a second at first and fail under more, while each of hundreds of entries
//! sees only its own requests. So the requests of each cold endpoint come from a few entries:
//! as many as it bears requests in a second, each with one in a second. They are those next
//! to it on a ring of hashes, so that entries that know the fleet differently differ only in
//! who is next to a missing one.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::relay::tidings;

/// The span in which requests are counted: a second, and by how much less two may be
/// apart on arrival than they were on sending.
const SPAN: Millis = Millis(1_100);

/// The part of the ring whose cold endpoints an entry may send to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingRange {
    /// Where it ends: at the entry itself.
    through: u64,
    /// How long it is; none for the whole ring, where all entries may.
    span: Option<u64>,
}

impl RingRange {
    /// The part of an entry among the others that it knows, where each cold endpoint is sent
    /// to by so many entries.
    ///
    /// ```
    /// use woodgap_core::name;
    /// use woodgap_core::relay::warming::RingRange;
    ///
    /// let entries: Vec<_> = (0..60).map(|it| name::Entry::from(format!("e-{it}"))).collect();
    /// let endpoint = name::Life::from(name::Endpoint::from("i-1"));
    /// let sector = |own: &name::Entry| {
    ///     RingRange::new(own, entries.iter().filter(|it| *it != own), 8)
    /// };
    /// let senders = entries.iter().filter(|it| sector(it).contains(&endpoint));
    /// assert_eq!(senders.count(), 8);
    /// ```
    pub fn new<'a>(
        own: &name::Entry,
        others: impl Iterator<Item = &'a name::Entry>,
        senders: usize,
    ) -> Self {
        let through = point(own);
        let mut before: Vec<_> = others.map(|it| through.wrapping_sub(point(it))).collect();
        let span = (before.len() >= senders).then(|| {
            let (_, span, _) = before.select_nth_unstable(senders.max(1) - 1);
            *span
        });
        Self { through, span }
    }

    /// Whether an endpoint lies in it.
    pub fn contains(&self, endpoint: &name::Life) -> bool {
        let to_end = self.through.wrapping_sub(tidings::life_hash(endpoint));
        self.span.is_none_or(|span| to_end < span)
    }
}

fn point(entry: &name::Entry) -> u64 {
    tidings::hash(entry.as_str())
}

/// By how many entries each cold endpoint is sent to that bears so many requests a second,
/// and how many requests each of these may send in a second.
///
/// ```
/// use woodgap_core::relay::warming::split_rate;
///
/// assert_eq!(split_rate(8.8, 63), (8, 1));
/// assert_eq!(split_rate(8.8, 3), (3, 2));
/// assert_eq!(split_rate(0.4, 63), (1, 1));
/// ```
pub fn split_rate(per_second: f64, entries: usize) -> (usize, usize) {
    // A number of requests that one endpoint bears in a second.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let all = per_second.max(1.0) as usize;
    let senders = all.min(entries.max(1));
    (senders, all / senders)
}

/// The requests that this entry has sent to cold endpoints.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_core::relay::warming::SendHistory;
///
/// let endpoint = name::Life::from(name::Endpoint::from("i-1"));
/// let mut sent = SendHistory::default();
/// sent.record(&endpoint, Millis(0));
/// assert!(!sent.may_send(&endpoint, 1, Millis(1_000)));
/// assert!(sent.may_send(&endpoint, 2, Millis(1_000)));
/// assert!(sent.may_send(&endpoint, 1, Millis(1_100)));
/// ```
#[derive(Debug, Default)]
pub struct SendHistory {
    endpoints: HashMap<name::Life, VecDeque<Millis>>,
}

impl SendHistory {
    /// Whether one more may be sent to an endpoint, of which this entry may send so many in
    /// a second.
    pub fn may_send(&self, endpoint: &name::Life, per_second: usize, now: Millis) -> bool {
        let sent = self.endpoints.get(endpoint);
        let recent = sent.map_or(0, |sent| sent.iter().filter(|at| now - **at < SPAN).count());
        recent < per_second
    }

    /// Notes that one is sent.
    pub fn record(&mut self, endpoint: &name::Life, now: Millis) {
        let sent = self.endpoints.entry(endpoint.clone()).or_default();
        while sent.front().is_some_and(|at| now - *at >= SPAN) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Forgets endpoints to which nothing was sent of late.
    pub fn expire(&mut self, now: Millis) {
        self.endpoints
            .retain(|_, sent| sent.back().is_some_and(|at| now - *at < SPAN));
    }
}
