//! Planned retries of refused callers.
//!
//! A refusal tells its caller when to retry. The [`Planner`] of the refusing entry chooses that
//! time and, where it can, promises capacity for it. The [`Registry`] of the promise's owner
//! ([`Ring::owner`](crate::relay::warming::Ring::owner)) decides what a refused request is worth
//! when it arrives again, at whichever entry.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// The part of an entry's rate that is kept free for promises.
pub const RESERVED_PART: f64 = 0.25;
/// The part of its remaining time after which a caller retries at the latest.
const LATEST_RETRY_DIVISOR: u64 = 3;
/// The earliest announced time: an immediate retry meets the same shortage.
const MIN_DELAY: Millis = Millis(50);
/// The part of the remaining time over which callers without a promise are spread.
const SPREAD: f64 = 0.2;
/// How much earlier than announced a retry may arrive.
const MAX_EARLINESS: Millis = Millis(100);
/// How much later than announced a retry may arrive.
pub const MAX_LATENESS: Millis = Millis(500);
/// How long the owner keeps a promise.
const RETENTION: Millis = Millis::from_secs(5);
/// The most promises that an owner keeps: 2.4 MB.
const MAX_PROMISES: usize = 20_000;
/// The most gaps between promises that a planner keeps for reuse. Each stems from a refusal whose
/// claim is being answered, of which an entry has a few at a time.
const MAX_GAPS: usize = 32;

/// A reserved part of the rate kept free for promises, in ms on the scale of [`Millis`].
#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    start: f64,
    end: f64,
}

/// What a refusal announces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Return {
    /// The time after which the caller is to retry.
    pub after: Millis,
    /// Whether capacity is reserved for the retry.
    pub is_promised: bool,
    slot: Option<Slot>,
}

/// Chooses the announced times of one service at one entry.
#[derive(Debug, Default)]
pub struct Planner {
    /// Reserved up to here, except the gaps.
    reserved_until: f64,
    /// Gaps left by cancelled promises, by time; they don't touch one another.
    gaps: Vec<Slot>,
}

impl Planner {
    /// Chooses when a refused request of this cost is to be retried. `remaining` is the time for
    /// which its caller still waits, `rate` the cost per second that the entry may admit of the
    /// request's priority, and `sample` a uniform random number from 0 to 1.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::returns::Planner;
    ///
    /// let mut planner = Planner::default();
    /// // A quarter of 40 per second: one request of cost 1 each 100 ms.
    /// let mut plan = || planner.plan(1.0, Millis(600), 40.0, 0.5, Millis(0));
    /// assert_eq!((plan().after, plan().after), (Millis(50), Millis(150)));
    /// let last = plan();
    /// assert!(!last.is_promised);
    /// assert_eq!(last.after, Millis(540));
    /// ```
    pub fn plan(
        &mut self,
        cost: f64,
        remaining: Millis,
        rate: f64,
        sample: f64,
        now: Millis,
    ) -> Return {
        let third = Millis(remaining.0 / LATEST_RETRY_DIVISOR);
        // A promise must still be kept by its owner when a late retry arrives.
        let latest = now + third.min(RETENTION - MAX_LATENESS);
        let span = cost.max(0.0) / (rate * RESERVED_PART) * 1_000.0;
        if rate > 0.0
            && span.is_finite()
            && let Some(slot) = self.reserve(span, now + MIN_DELAY, latest)
        {
            return Return {
                after: whole_millis(slot.start.ceil()) - now,
                is_promised: true,
                slot: Some(slot),
            };
        }
        unpromised(remaining, sample)
    }

    /// Gives back a promise that was not announced because the owner knew the request.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::returns::Planner;
    ///
    /// let mut planner = Planner::default();
    /// let first = planner.plan(1.0, Millis(600), 40.0, 0.5, Millis(0));
    /// planner.cancel(&first);
    /// assert_eq!(planner.plan(1.0, Millis(600), 40.0, 0.5, Millis(0)), first);
    /// ```
    pub fn cancel(&mut self, planned: &Return) {
        let Some(slot) = planned.slot else {
            return;
        };
        self.gaps.push(slot);
        self.normalize();
    }

    fn reserve(&mut self, span: f64, earliest: Millis, latest: Millis) -> Option<Slot> {
        let (earliest, latest) = (earliest.0 as f64, latest.0 as f64);
        self.gaps.retain(|gap| gap.end > earliest);
        let fitting = self.gaps.iter().position(|gap| {
            let start = gap.start.max(earliest);
            start <= latest && start + span <= gap.end
        });
        if let Some(at) = fitting {
            let gap = self.gaps.remove(at);
            let start = gap.start.max(earliest);
            let slot = Slot {
                start,
                end: start + span,
            };
            self.gaps.push(Slot {
                start: slot.end,
                end: gap.end,
            });
            self.normalize();
            return Some(slot);
        }
        let start = self.reserved_until.max(earliest);
        (start <= latest).then(|| {
            self.reserved_until = start + span;
            Slot {
                start,
                end: start + span,
            }
        })
    }

    /// Sorts and joins the gaps, and gives back those at the end.
    fn normalize(&mut self) {
        self.gaps.retain(|gap| gap.end > gap.start);
        self.gaps
            .sort_by(|one, two| one.start.total_cmp(&two.start));
        self.gaps.dedup_by(|next, gap| {
            let touches = next.start <= gap.end;
            if touches {
                gap.end = gap.end.max(next.end);
            }
            touches
        });
        if let Some(last) = self.gaps.pop_if(|gap| gap.end >= self.reserved_until) {
            self.reserved_until = last.start;
        }
        let excess = self.gaps.len().saturating_sub(MAX_GAPS);
        self.gaps.drain(..excess);
    }
}

/// What a caller is told that still waits for `remaining` and gets no promise: about the time at
/// which it gives up, as there is no room for it before. `sample` is as for [`Planner::plan`].
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::scheduling::returns::unpromised;
///
/// assert_eq!(unpromised(Millis(600), 0.0).after, Millis(600));
/// assert_eq!(unpromised(Millis(600), 1.0).after, Millis(480));
/// ```
pub fn unpromised(remaining: Millis, sample: f64) -> Return {
    let spread = remaining.0 as f64 * SPREAD * sample.clamp(0.0, 1.0);
    Return {
        after: remaining - whole_millis(spread),
        is_promised: false,
        slot: None,
    }
}

/// Asks the owner of a request's promise what the request is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Tells claims apart; no two claims of the fleet share one.
    pub number: u64,
    /// The first eight bytes of the request's fingerprint.
    pub key: u64,
    /// The time from now to that which is announced if the request is new.
    pub due: Millis,
    /// Whether the retry is promised if the request is new.
    pub is_promised: bool,
}

/// The owner's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The claim's number.
    pub number: u64,
    /// What the request is worth.
    pub standing: Standing,
}

/// What a refused request is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It was not known before and is now recorded. Also if the owner does not answer in time.
    New,
    /// It was promised and is on time: it is admitted before new ones.
    AsTold,
    /// It was promised and is early: it is refused again, with this time left.
    Early(Millis),
    /// Its promise is used up or has lapsed, or it had none: it is refused without a promise.
    Repeated,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Promised,
    /// Without a promise, or with one that is used up.
    Unpromised,
}

#[derive(Debug)]
struct Record {
    due: Millis,
    state: State,
    /// The number of the claim that was answered with [`Standing::New`].
    first: u64,
    last: Answer,
}

impl Record {
    fn answer(&mut self, number: u64, now: Millis) -> Answer {
        let standing = self.standing(number, now);
        let answer = Answer { number, standing };
        // The answer to the first claim is known without it.
        if number != self.first {
            self.last = answer;
        }
        answer
    }

    fn standing(&mut self, number: u64, now: Millis) -> Standing {
        if number == self.first {
            return Standing::New;
        }
        if number == self.last.number {
            return self.last.standing;
        }
        if self.state == State::Unpromised || now > self.due + MAX_LATENESS {
            return Standing::Repeated;
        }
        if now + MAX_EARLINESS < self.due {
            return Standing::Early(self.due - now);
        }
        self.state = State::Unpromised;
        Standing::AsTold
    }
}

/// The promises that one entry owns.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::relay::scheduling::returns::{Claim, Registry, Standing};
///
/// let mut registry = Registry::default();
/// let claim = |number| Claim { number, key: 7, due: Millis(300), is_promised: true };
/// let mut standing = |number, now| registry.claim(&claim(number), Millis(now)).standing;
/// assert_eq!(standing(1, 0), Standing::New);
/// assert_eq!(standing(2, 120), Standing::Early(Millis(180)));
/// assert_eq!(standing(3, 310), Standing::AsTold);
/// assert_eq!(standing(4, 320), Standing::Repeated);
/// ```
#[derive(Debug, Default)]
pub struct Registry {
    records: HashMap<u64, Record>,
    /// The keys of the records, by the time at which they were recorded.
    order: VecDeque<(Millis, u64)>,
}

impl Registry {
    /// Answers a claim. A duplicate of the first or of the latest claim for a request gets the same
    /// answer again and changes nothing.
    ///
    /// ```
    /// use woodgap_core::clock::Millis;
    /// use woodgap_core::relay::scheduling::returns::{Claim, Registry};
    ///
    /// let mut registry = Registry::default();
    /// let claim = Claim { number: 1, key: 7, due: Millis(300), is_promised: true };
    /// let answer = registry.claim(&claim, Millis(0));
    /// assert_eq!(registry.claim(&claim, Millis(310)), answer);
    /// ```
    pub fn claim(&mut self, claim: &Claim, now: Millis) -> Answer {
        self.expire(now);
        if let Some(record) = self.records.get_mut(&claim.key) {
            return record.answer(claim.number, now);
        }
        if self.records.len() >= MAX_PROMISES {
            self.evict_oldest();
        }
        self.record(claim, now)
    }

    /// The number of requests on record.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::returns::Registry;
    ///
    /// assert_eq!(Registry::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is on record.
    ///
    /// ```
    /// use woodgap_core::relay::scheduling::returns::Registry;
    ///
    /// assert!(Registry::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn record(&mut self, claim: &Claim, now: Millis) -> Answer {
        let answer = Answer {
            number: claim.number,
            standing: Standing::New,
        };
        let state = if claim.is_promised {
            State::Promised
        } else {
            State::Unpromised
        };
        let record = Record {
            due: now + claim.due,
            state,
            first: claim.number,
            last: answer,
        };
        self.records.insert(claim.key, record);
        self.order.push_back((now, claim.key));
        answer
    }

    fn expire(&mut self, now: Millis) {
        while let Some((at, _)) = self.order.front()
            && now - *at >= RETENTION
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.order.pop_front() {
            self.records.remove(&key);
        }
    }
}

fn whole_millis(value: f64) -> Millis {
    // Positive, and far below 2^53.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Millis(value as u64)
}
