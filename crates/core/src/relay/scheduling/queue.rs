//! The waiting list of one service at one entry.
//!
//! Requests are admitted at the entry's rate, in the order of [`Waiting`]. A request that can't be
//! admitted within a quarter of its latency target is refused at once.

mod bucket;
mod offered;
mod selection;

use std::collections::{BTreeSet, HashMap};

use crate::clock::Millis;
use crate::control::event::{Ask, Done, Outcome};
use crate::name;
use crate::pool::Waiter;
use crate::pool::class::Classes;
use crate::pool::reserve::BUCKETS;
use crate::pool::share::Shares;
use crate::pool::waiting::{Terms, Waiting};
use crate::relay::scheduling::returns::{MAX_LATENESS, RESERVED_PART};
use crate::tier::Tier;
use bucket::Bucket;
use offered::Offered;
use selection::Selection;

/// The most requests that wait.
pub const MAX_WAITING: usize = 64;
/// The most bytes of requests that wait, unless the settings say otherwise.
pub const DEFAULT_WAITING_BYTES: usize = 1_048_576;
/// The part of its latency target for which a request may wait.
const WAIT_DIVISOR: u64 = 4;
/// The burst that the bucket allows, as a span of its rate: what four endpoints of 25 ms per
/// request work off before the wait of the last is a quarter of a target of 400 ms.
const BURST: Millis = Millis(100);
/// The part of the service that is divided among classes in proportion to what is asked of them,
/// so that each is served at least at this part of the mean admitted fraction. A quarter is
/// required; the rest is a margin for random arrivals.
const SHARED_PART: f64 = 0.3;
/// How many requests in the order of their priority count towards the later share of a class.
/// Without it, a less urgent class overtakes each burst of urgent requests although it is served
/// well in between.
const SHARE_ADVANCE: f64 = 8.0;
/// How far requests within the share of their workspace may be ahead of the rate, in ms: one round
/// of messages, after which the shares are renewed.
const MAX_ADVANCE_MS: f64 = 300.0;
/// The smallest factor of a class's minimum share.
const MIN_SHARE_WEIGHT: f64 = 1e-6;
/// The largest cost or rate that is computed with, far above any real one.
const MAX_VALUE: f64 = 1e12;
/// The interval at which idle state is removed.
const MAINTENANCE_INTERVAL: Millis = Millis::from_secs(1);

/// A request that is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Applicant<'a> {
    /// Identifies it among the waiting requests.
    pub number: u64,
    /// Its workspace.
    pub workspace: &'a str,
    /// The weight of the workspace relative to others, at least 1.
    pub weight: u64,
    /// Its priority; 0 is the most urgent. Those above 6 are treated as 6.
    pub priority: u8,
    /// Its class.
    pub class: &'a str,
    /// Its cost.
    pub cost: f64,
    /// The memory that it takes while it waits.
    pub bytes: usize,
    /// The span of its latency target that is left.
    pub target: Millis,
    /// Whether it was promised capacity and is on time.
    pub has_returned: bool,
    /// Whether its workspace asks for no more than its share, so that all of it is to be admitted.
    pub is_within_share: bool,
}

/// A decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent to an endpoint.
    Admit(u64),
    /// It is refused.
    Refuse(u64, Reason),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its workspace asks for more than its share.
    OverShare,
    /// It, or another that goes before it, can't be admitted in time.
    NoRoom,
    /// Too many requests wait, or they take too much memory.
    QueueFull,
    /// It waited for a quarter of its latency target.
    WaitedTooLong,
}

impl Reason {
    /// The reason as written in logs and metrics.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::queue::Reason;
    ///
    /// assert_eq!(Reason::NoRoom.as_str(), "no_room");
    /// ```
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OverShare => "over_share",
            Self::NoRoom => "no_room",
            Self::QueueFull => "queue_full",
            Self::WaitedTooLong => "waited_too_long",
        }
    }

    /// The reason as told to the caller.
    pub const fn message(self) -> &'static str {
        match self {
            Self::OverShare => "the workspace asks for more than its share of the service",
            Self::NoRoom => "the service has no room for the request in time",
            Self::QueueFull => "too many requests wait for the service",
            Self::WaitedTooLong => "the service had no room for the request in time",
        }
    }
}

/// What is known of a waiting request beside its place in the order.
#[derive(Clone, Copy, Debug)]
struct Held {
    cost: f64,
    bytes: usize,
    /// When it must be admitted at the latest.
    latest: Millis,
    is_within_share: bool,
}

/// The waiting list of one service at one entry.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::scheduling::queue::{Applicant, Decision, Queue, Reason};
///
/// let applicant = |number| Applicant {
///     number,
///     workspace: "murphy",
///     weight: 100,
///     priority: 0,
///     class: "captions",
///     cost: 1.0,
///     bytes: 900,
///     target: Millis(400),
///     has_returned: false,
///     is_within_share: false,
/// };
/// let mut queue = Queue::default();
/// let mut out = Vec::new();
/// // 10 requests per second: one waits until the first is paid for, the next can't be in time.
/// queue.set_rate(Some(10.0), Millis(0), &mut out);
/// for number in 1..=3 {
///     queue.offer(&applicant(number), 1.0, Millis(1), &mut out);
/// }
/// assert_eq!(out, [Decision::Admit(1), Decision::Refuse(3, Reason::NoRoom)]);
/// assert_eq!(queue.next_deadline(), Some(Millis(101)));
/// out.clear();
/// queue.advance(Millis(101), &mut out);
/// assert_eq!(out, [Decision::Admit(2)]);
/// ```
#[derive(Debug)]
pub struct Queue {
    max_bytes: usize,
    has_rate: bool,
    bucket: Bucket,
    /// Limits the returned requests that go first.
    returns: Bucket,
    waiting: Waiting,
    classes: Classes,
    /// The waiting requests, by their number.
    held: HashMap<u64, Held>,
    /// The same, by when they must be admitted.
    latest: BTreeSet<(Millis, u64)>,
    bytes: usize,
    selection: Selection,
    offered: Offered,
    next_maintenance: Millis,
}

impl Default for Queue {
    fn default() -> Self {
        Self::new(DEFAULT_WAITING_BYTES)
    }
}

impl Queue {
    /// Creates an empty list without a rate, whose requests may take `max_bytes` of memory.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// assert_eq!(Queue::new(4_096).backlog(), 0.0);
    /// ```
    pub fn new(max_bytes: usize) -> Self {
        let shares = Shares::new(SHARED_PART, f64::INFINITY).with_advance(SHARE_ADVANCE);
        Self {
            max_bytes,
            has_rate: false,
            bucket: Bucket::new(BURST),
            returns: Bucket::new(MAX_LATENESS),
            waiting: Waiting::new(shares),
            classes: Classes::default(),
            held: HashMap::new(),
            latest: BTreeSet::new(),
            bytes: 0,
            selection: Selection::default(),
            offered: Offered::default(),
            next_maintenance: Millis::ZERO,
        }
    }

    /// Offers a request, whose number must not be that of a waiting one. `fraction` is the part of
    /// its workspace's requests that is let through: 1.0 if the admitted fraction of the workspace
    /// is that of its priority.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::queue::{Applicant, Decision, Queue, Reason};
    ///
    /// let applicant = Applicant {
    ///     number: 1,
    ///     workspace: "murphy",
    ///     weight: 100,
    ///     priority: 0,
    ///     class: "captions",
    ///     cost: 1.0,
    ///     bytes: 900,
    ///     target: Millis(400),
    ///     has_returned: false,
    ///     is_within_share: false,
    /// };
    /// let (mut queue, mut out) = (Queue::default(), Vec::new());
    /// queue.set_rate(Some(100.0), Millis(0), &mut out);
    /// queue.offer(&applicant, 0.0, Millis(5), &mut out);
    /// assert_eq!(out, [Decision::Refuse(1, Reason::OverShare)]);
    /// ```
    pub fn offer(
        &mut self,
        applicant: &Applicant<'_>,
        fraction: f64,
        now: Millis,
        out: &mut Vec<Decision>,
    ) {
        if !self.has_rate {
            out.push(Decision::Admit(applicant.number));
            return;
        }
        // A returned request was let through when it came first.
        let is_selected = applicant.has_returned || self.is_selected(applicant, fraction, now);
        if !is_selected {
            out.push(Decision::Refuse(applicant.number, Reason::OverShare));
            return;
        }
        self.insert(applicant, now);
        self.settle(now, out);
    }

    /// Withdraws a request whose caller has gone. It gets no decision.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// let mut queue = Queue::default();
    /// queue.withdraw(1, Millis(5));
    /// assert_eq!(queue.backlog(), 0.0);
    /// ```
    pub fn withdraw(&mut self, number: u64, now: Millis) {
        self.remove(number, false, now);
    }

    /// Sets the cost per second that the entry may admit; `None` without a shortage.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// let (mut queue, mut out) = (Queue::default(), Vec::new());
    /// queue.set_rate(Some(40.0), Millis(5), &mut out);
    /// queue.set_rate(None, Millis(25), &mut out);
    /// assert_eq!(out, []);
    /// ```
    pub fn set_rate(&mut self, rate: Option<f64>, now: Millis, out: &mut Vec<Decision>) {
        self.has_rate = rate.is_some();
        let per_second = rate.map_or(0.0, finite);
        self.bucket.set_rate(per_second, now);
        self.returns.set_rate(per_second * RESERVED_PART, now);
        if self.has_rate {
            self.settle(now, out);
        } else {
            self.admit_all(now, out);
        }
    }

    /// Admits and refuses what time has decided.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// let mut out = Vec::new();
    /// Queue::default().advance(Millis(5), &mut out);
    /// assert_eq!(out, []);
    /// ```
    pub fn advance(&mut self, now: Millis, out: &mut Vec<Decision>) {
        if self.has_rate {
            self.settle(now, out);
        }
    }

    /// When [`Self::advance`] must be called at the latest; `None` while no request waits.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// assert_eq!(Queue::default().next_deadline(), None);
    /// ```
    pub fn next_deadline(&self) -> Option<Millis> {
        let (latest, _) = self.latest.first()?;
        let admission = self.bucket.positive_at();
        Some(admission.map_or(*latest, |admission| admission.min(*latest)))
    }

    /// Records a completed run for the estimates of its class.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// let mut queue = Queue::default();
    /// queue.record_run("captions", 0, 40.0, Millis(38), Millis(1_000));
    /// assert_eq!(queue.backlog(), 0.0);
    /// ```
    pub fn record_run(&mut self, class: &str, priority: u8, cost: f64, took: Millis, now: Millis) {
        let class = self.classes.id(now, tier(priority), &class.into());
        // Costs are positive and far below 2^53.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let tokens = cost.max(0.0).round() as u64;
        self.classes.get_mut(class).history.add(&Done {
            request: request(0),
            permit: 0,
            outcome: Outcome::Complete,
            tokens,
            first_token: None,
            elapsed: took,
        });
    }

    /// The cost of the waiting requests.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::queue::Queue;
    ///
    /// assert_eq!(Queue::default().backlog(), 0.0);
    /// ```
    pub fn backlog(&self) -> f64 {
        self.held.values().map(|held| held.cost).sum()
    }

    fn is_selected(&mut self, applicant: &Applicant<'_>, fraction: f64, now: Millis) -> bool {
        let (workspace, priority) = (applicant.workspace, applicant.priority);
        let number = applicant.number;
        self.selection
            .lets_through(workspace, priority, fraction, number, now)
    }

    fn insert(&mut self, applicant: &Applicant<'_>, now: Millis) {
        self.returns.refill(now);
        let cost = finite(applicant.cost);
        let goes_first = applicant.has_returned && self.returns.is_positive();
        if goes_first {
            self.returns.take(cost);
        }
        let terms = Terms {
            cost: Some(cost),
            workspace_weight: applicant.weight.max(1) as f64,
            goes_first,
        };
        let class = self.record_arrival(applicant, now);
        let waiter = waiter(applicant, now);
        self.waiting
            .insert_with(now, &self.classes, class, waiter, terms);
        let held = Held {
            cost,
            bytes: applicant.bytes,
            latest: now + Millis(applicant.target.0 / WAIT_DIVISOR),
            is_within_share: applicant.is_within_share,
        };
        self.held.insert(applicant.number, held);
        self.latest.insert((held.latest, applicant.number));
        self.bytes += held.bytes;
    }

    fn record_arrival(&mut self, applicant: &Applicant<'_>, now: Millis) -> u32 {
        let tier = tier(applicant.priority);
        let id = self.classes.id(now, tier, &applicant.class.into());
        let share_weight = self.offered.record(id, finite(applicant.cost), now);
        let class = self.classes.get_mut(id);
        class.record_arrival(now, applicant.target);
        class.active += 1;
        class.share_weight = share_weight.max(MIN_SHARE_WEIGHT);
        id
    }

    fn settle(&mut self, now: Millis, out: &mut Vec<Decision>) {
        self.maintain(now);
        self.bucket.refill(now);
        self.refuse_overdue(now, out);
        self.admit(now, out);
        self.refuse_hopeless(now, out);
        self.refuse_excess(now, out);
    }

    /// Refuses requests whose time has passed. At its very last moment a request may still be
    /// admitted.
    fn refuse_overdue(&mut self, now: Millis, out: &mut Vec<Decision>) {
        while let Some((latest, number)) = self.latest.first().copied()
            && latest < now
        {
            self.refuse(number, Reason::WaitedTooLong, now, out);
        }
    }

    fn admit(&mut self, now: Millis, out: &mut Vec<Decision>) {
        while self.bucket.is_positive()
            && let Some((number, from_class_share)) = self.next(now)
        {
            self.admit_one(number, from_class_share, now, out);
        }
    }

    /// The next request in the order of service, and whether its class is due by its share.
    fn next(&mut self, now: Millis) -> Option<(u64, bool)> {
        if let Some(number) = self.waiting.due().next() {
            return Some((number, true));
        }
        let (tier, _) = self.waiting.tiers().next()?;
        let next = self
            .waiting
            .next_requests(now, &self.classes, tier, [true; BUCKETS], 1);
        next.first().map(|number| (*number, false))
    }

    fn admit_one(
        &mut self,
        queued: u64,
        from_class_share: bool,
        now: Millis,
        out: &mut Vec<Decision>,
    ) {
        let number = self.number(queued);
        let queued = self.waiting.get(queued);
        let (class, flow) = (queued.class, queued.flow);
        let cost = queued.terms.cost.unwrap_or(0.0);
        let classes = &self.classes;
        self.waiting
            .charge(now, classes, class, flow, cost, from_class_share);
        if from_class_share {
            self.waiting.rotate(now, classes, class, flow);
        }
        // Runs are not followed: what the flow is ahead of its share is kept from now on.
        self.waiting.end(now, flow);
        self.bucket.take(cost);
        self.remove(number, from_class_share, now);
        out.push(Decision::Admit(number));
    }

    /// Admits all waiting requests because the shortage has ended.
    fn admit_all(&mut self, now: Millis, out: &mut Vec<Decision>) {
        for queued in self.waiting.service_order(now, &self.classes) {
            let number = self.number(queued);
            self.remove(number, false, now);
            out.push(Decision::Admit(number));
        }
    }

    /// Removes a request. Its class keeps the share that it has not received, unless it was served
    /// in the order of its priority.
    fn remove(&mut self, number: u64, keeps_share: bool, now: Millis) {
        let (waiting, classes, request) = (&mut self.waiting, &self.classes, request(number));
        let queued = if keeps_share {
            waiting.remove_keeping_share(now, classes, request)
        } else {
            waiting.remove_request(now, classes, request)
        };
        let Some(queued) = queued else {
            return;
        };
        self.classes.get_mut(queued.class).record_end(now);
        if let Some(held) = self.held.remove(&number) {
            self.latest.remove(&(held.latest, number));
            self.bytes -= held.bytes;
        }
    }

    /// The number of the request that the waiting list knows by this one.
    fn number(&self, queued: u64) -> u64 {
        self.waiting.get(queued).waiter.ask.request.sequence
    }

    /// Refuses requests until each of the others is expected to be admitted in time.
    fn refuse_hopeless(&mut self, now: Millis, out: &mut Vec<Decision>) {
        while let Some(number) = self.hopeless(now) {
            let queued = number;
            let number = self.number(queued);
            if self.may_exceed_rate(number) {
                self.admit_one(queued, false, now, out);
                continue;
            }
            let is_over = self.held[&number].latest <= now;
            let reason = if is_over {
                Reason::WaitedTooLong
            } else {
                Reason::NoRoom
            };
            self.refuse(number, reason, now, out);
        }
    }

    /// Whether a request is admitted ahead of the rate. What workspaces within their share ask for
    /// is known only as a mean, and others wait for it.
    fn may_exceed_rate(&self, number: u64) -> bool {
        self.held[&number].is_within_share && self.bucket.wait_after(0.0) < MAX_ADVANCE_MS
    }

    /// The request to refuse if one can't be admitted in time: the shed candidate of its tier if
    /// that goes before it and belongs to a flow with more waiting requests, else the request
    /// itself. Without the latter condition, the newest request of a small workspace would be
    /// refused for the only two of a heavy one, as one of these is exempt from shedding.
    fn hopeless(&mut self, now: Millis) -> Option<u64> {
        let order = self.waiting.service_order(now, &self.classes);
        let mut cost = 0.0;
        let position = order.iter().position(|number| {
            let held = self.held[&self.number(*number)];
            let wait = self.bucket.wait_after(cost);
            cost += held.cost;
            wait >= (held.latest - now).0 as f64
        })?;
        let number = order[position];
        let tier = self.waiting.get(number).waiter.ask.tier;
        let candidate = self.waiting.shed_candidate_in(now, &self.classes, tier);
        let helps = |it: &u64| {
            let waiting = &self.waiting;
            let is_longer = waiting.weighted_flow_len(*it) > waiting.weighted_flow_len(number);
            is_longer && order[..position].contains(it)
        };
        Some(candidate.filter(helps).unwrap_or(number))
    }

    /// Refuses requests above the bounds on their number and bytes.
    fn refuse_excess(&mut self, now: Millis, out: &mut Vec<Decision>) {
        while self.held.len() > MAX_WAITING || self.bytes > self.max_bytes {
            let candidate = self.waiting.shed_candidate(now, &self.classes);
            // The next requests of all classes are exempt there, but not from these bounds.
            let last = || self.waiting.service_order(now, &self.classes).pop();
            let Some(number) = candidate.or_else(last) else {
                return;
            };
            let number = self.number(number);
            self.refuse(number, Reason::QueueFull, now, out);
        }
    }

    fn refuse(&mut self, number: u64, reason: Reason, now: Millis, out: &mut Vec<Decision>) {
        self.remove(number, true, now);
        out.push(Decision::Refuse(number, reason));
    }

    fn maintain(&mut self, now: Millis) {
        if now < self.next_maintenance {
            return;
        }
        self.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.waiting.forget_idle(now);
        for class in self.classes.evict_old(now) {
            self.waiting.forget_class(class);
            self.offered.forget(class);
        }
    }
}

/// Limits a cost or rate, so that none blocks the bucket forever. What is no number counts as 0.
fn finite(value: f64) -> f64 {
    if value.is_nan() {
        0.0
    } else {
        value.clamp(0.0, MAX_VALUE)
    }
}

fn tier(priority: u8) -> Tier {
    Tier::new(priority.saturating_add(1)).unwrap_or(Tier::LOWEST)
}

fn request(number: u64) -> name::Request {
    name::Request {
        incarnation: name::Incarnation(0),
        sequence: number,
    }
}

/// The request as the waiting list knows it; the entry's name and the target are its own.
fn waiter(applicant: &Applicant<'_>, now: Millis) -> Waiter {
    Waiter {
        ask: Ask {
            request: request(applicant.number),
            target: "".into(),
            workspace: applicant.workspace.into(),
            tier: tier(applicant.priority),
            class: applicant.class.into(),
            weight: 1,
            deadline: now + applicant.target,
            avoid: Vec::new(),
            prefix: 0,
            identity: 0,
        },
        holder: name::Incarnation(0),
    }
}
