//! Rate limits for cold endpoints while they warm up.
//!
//! Endpoints that have just started, or a whole data centre of them, sustain only a few requests
//! per second at first and fail above that rate, while each of hundreds of entries sees only its
//! own requests. The requests to a cold endpoint therefore come from a few entries: as many as the
//! endpoint sustains requests per second, each sending one per second. These are the entries
//! nearest to the endpoint on a hash ring, so that entries with different views of the fleet
//! disagree only about the neighbours of the missing entries.

use std::collections::{HashMap, VecDeque};

use crate::clock::Millis;
use crate::name;
use crate::relay::load_report;
use crate::relay::prefix;

/// The window in which requests are counted: one second, plus the time by which two requests may be
/// closer together on arrival than when they were sent.
const SPAN: Millis = Millis(1_100);

/// The entries on a hash ring, as seen from one of them.
///
/// ```
/// use woodgap_core::name;
/// use woodgap_core::relay::warming::Ring;
///
/// let entries: Vec<_> = (0..60).map(|it| name::Entry::from(format!("e-{it}"))).collect();
/// let endpoint = name::Life::from(name::Endpoint::from("i-1"));
/// let ring = |own: &name::Entry| Ring::new(own, entries.iter().filter(|it| *it != own));
/// let senders = entries.iter().filter(|it| ring(it).range(8).contains(&endpoint));
/// assert_eq!(senders.count(), 8);
/// ```
#[derive(Clone, Debug)]
pub struct Ring {
    /// The position of the entry itself.
    own: u64,
    /// All entries, each with how far it precedes the entry itself, in ascending order. The first
    /// distance is that of the entry itself, 0.
    entries: Vec<(u64, name::Entry)>,
}

/// The range of the hash ring whose endpoints an entry may send to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingRange {
    /// The end of the range: the position of the entry itself.
    end: u64,
    /// The length of the range; `None` for the whole ring, if every entry may send to every
    /// endpoint.
    length: Option<u64>,
}

impl Ring {
    /// The ring of an entry and the others that it knows.
    pub fn new<'a>(own: &name::Entry, others: impl Iterator<Item = &'a name::Entry>) -> Self {
        let position = ring_position(own);
        let mut entries: Vec<_> = others
            .map(|it| (position.wrapping_sub(ring_position(it)), it.clone()))
            .collect();
        entries.push((0, own.clone()));
        entries.sort_unstable();
        Self {
            own: position,
            entries,
        }
    }

    /// The number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// The owner of a key, by rendezvous hashing of the positions. All entries that know the same
    /// entries name the same owner, and those that differ by one disagree about its keys only.
    ///
    /// The first entry after the key would own up to eight times the mean: positions on the ring
    /// are random.
    ///
    /// ```
    /// use woodgap_core::name;
    /// use woodgap_core::relay::warming::Ring;
    ///
    /// let (first, second) = (name::Entry::from("e-1"), name::Entry::from("e-2"));
    /// let seen_by_first = Ring::new(&first, [&second].into_iter());
    /// let seen_by_second = Ring::new(&second, [&first].into_iter());
    /// assert_eq!(seen_by_first.owner(7), seen_by_second.owner(7));
    /// ```
    pub fn owner(&self, key: u64) -> &name::Entry {
        let owner = self.scores(key).max();
        owner.map_or(&self.entries[0].1, |(_, entry)| entry)
    }

    /// The first `count` owners of a key, if each one that is gone is succeeded by the next.
    ///
    /// ```
    /// use woodgap_core::name;
    /// use woodgap_core::relay::warming::Ring;
    ///
    /// let (first, second) = (name::Entry::from("e-1"), name::Entry::from("e-2"));
    /// let ring = Ring::new(&first, [&second].into_iter());
    /// assert_eq!(ring.owners(7, 5).len(), 2);
    /// assert_eq!(ring.owners(7, 1), [ring.owner(7)]);
    /// ```
    pub fn owners(&self, key: u64, count: usize) -> Vec<&name::Entry> {
        // There are few owners among many entries, so most are passed over at once.
        let mut first: Vec<(u64, &name::Entry)> = Vec::with_capacity(count + 1);
        for scored in self.scores(key) {
            let is_full = first.len() == count;
            if is_full && first.last().is_none_or(|last| *last > scored) {
                continue;
            }
            let at = first.partition_point(|it| *it > scored);
            first.insert(at, scored);
            first.truncate(count);
        }
        first.into_iter().map(|(_, entry)| entry).collect()
    }

    fn scores(&self, key: u64) -> impl Iterator<Item = (u64, &name::Entry)> {
        self.entries.iter().map(move |(distance, entry)| {
            let position = self.own.wrapping_sub(*distance);
            (prefix::mix(position, key), entry)
        })
    }

    /// The range of the entry if `senders` entries may send to each endpoint.
    pub fn range(&self, senders: usize) -> RingRange {
        RingRange {
            end: self.own,
            length: self.entries.get(senders.max(1)).map(|(it, _)| *it),
        }
    }
}

impl RingRange {
    /// Whether the endpoint lies in the range.
    pub fn contains(&self, endpoint: &name::Life) -> bool {
        let distance = self.end.wrapping_sub(load_report::life_hash(endpoint));
        self.length.is_none_or(|length| distance < length)
    }
}

fn ring_position(entry: &name::Entry) -> u64 {
    load_report::name_hash(entry.as_str())
}

/// How many entries send to each cold endpoint that sustains `per_second` requests, and how many
/// requests per second each of these entries may send.
///
/// ```
/// use woodgap_core::relay::warming::split_rate;
///
/// assert_eq!(split_rate(8.8, 63), (8, 1));
/// assert_eq!(split_rate(8.8, 3), (3, 2));
/// assert_eq!(split_rate(0.4, 63), (1, 1));
/// ```
pub fn split_rate(per_second: f64, entries: usize) -> (usize, usize) {
    // A number of requests per second at one endpoint, which is small and positive.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let total = per_second.max(1.0) as usize;
    let senders = total.min(entries.max(1));
    (senders, total / senders)
}

/// The recent requests of this entry to cold endpoints.
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
    /// Whether this entry may send another request to an endpoint, given its rate limit there.
    pub fn may_send(&self, endpoint: &name::Life, per_second: usize, now: Millis) -> bool {
        let sent = self.endpoints.get(endpoint);
        let recent = sent.map_or(0, |sent| sent.iter().filter(|at| now - **at < SPAN).count());
        recent < per_second
    }

    /// Records that a request is sent.
    pub fn record(&mut self, endpoint: &name::Life, now: Millis) {
        let sent = self.endpoints.entry(endpoint.clone()).or_default();
        while sent.front().is_some_and(|at| now - *at >= SPAN) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Drops the endpoints to which no request was sent recently.
    pub fn expire(&mut self, now: Millis) {
        self.endpoints
            .retain(|_, sent| sent.back().is_some_and(|at| now - *at < SPAN));
    }
}
