//! State of a lease that is not owned: it is observed, and taken once nobody can hold it.

use crate::clock::Millis;
use crate::era;
use crate::lease::row::TakeNumbers;
use crate::lease::{
    Expired, Fence, Held, Holder, Lease, Mark, Record, Snapshot, Tenure, Term, Write, WriteOutcome,
};

/// The lease is not owned.
#[derive(Clone, Debug, Default)]
pub struct Free {
    watch: Option<Watch>,
}

/// A take was sent and its outcome is unknown.
#[derive(Clone, Debug)]
pub struct Unresolved {
    take: Take,
}

/// The version of the record that was last seen, and for how long.
#[derive(Clone, Debug)]
struct Watch {
    version: u64,
    /// When this version was first seen, without a gap in the observation since.
    since: Millis,
    /// When it was last seen.
    last_seen: Millis,
    /// How long it must be seen unchanged before a take; zero if nobody holds the lease.
    wait: Millis,
    /// Longest allowed time between two reads.
    max_gap: Millis,
}

/// A take in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Take {
    /// When it was sent; the lease's time counts from here.
    pub sent: Millis,
    /// The write to perform.
    pub write: Write,
}

/// Result of reading the rows of a lease that was not owned.
#[derive(Clone, Debug)]
pub enum FreeReadOutcome {
    /// It is not owned.
    Free(Lease<Free>),
    /// It is owned by an earlier take of this incarnation whose outcome was unknown: it must be
    /// renewed before use.
    Expired(Lease<Expired>),
}

/// Outcome of a take.
#[derive(Clone, Debug)]
pub enum TakeOutcome {
    /// The lease is held.
    Held(Lease<Held>),
    /// It is owned, but has already expired.
    Expired(Lease<Expired>),
    /// It is not owned.
    Free(Lease<Free>),
    /// The outcome is unknown: the rows must be read.
    Unresolved(Lease<Unresolved>),
}

impl Lease<Free> {
    /// Creates a lease whose state is unknown. `first_take` must be random, so that the takes
    /// of another incarnation of the caller are not mistaken for its own.
    pub fn new(own: Holder, term: Term, first_take: u64) -> Self {
        Self {
            own,
            term,
            takes: TakeNumbers::new(first_take),
            state: Free::default(),
        }
    }

    /// Processes a read that was answered at `now`.
    ///
    /// If more than `gap` passes between two reads, the observation starts over: after an
    /// outage of the table service, the holder gets the chance to renew first.
    pub fn on_read(mut self, now: Millis, seen: &Snapshot, max_gap: Millis) -> FreeReadOutcome {
        let own = seen.take_of(&self.own);
        if let Some((take, fence)) = own.filter(|(take, _)| self.takes.contains(*take)) {
            let tenure = tenure(fence, seen.version(), take);
            return FreeReadOutcome::Expired(self.with(Expired { tenure }));
        }
        self.watch(now, seen, max_gap);
        FreeReadOutcome::Free(self)
    }

    fn watch(&mut self, now: Millis, seen: &Snapshot, max_gap: Millis) {
        let version = seen.version();
        let previous = self.state.watch.as_ref();
        let is_restored = previous.is_some_and(|watch| era::is_restored(watch.version, version));
        let newer_seen = previous.filter(|watch| version < watch.version);
        if newer_seen.is_some_and(|watch| now - watch.last_seen <= watch.max_gap) {
            return;
        }
        let same =
            previous.filter(|watch| watch.version == version && now - watch.last_seen <= max_gap);
        let since = same.map_or(now, |watch| watch.since);
        let wait = match (&seen.record, seen.holder()) {
            (Some(record), Some(_)) => Term::new(record.value.duration).wait(),
            // An older version that persists is not a stale read: the table was restored from
            // an older copy, as one that names another era was. Another holder may own the lease
            // by a take that was lost in the restore.
            _ if newer_seen.is_some() || is_restored => self.term.wait(),
            _ => Millis::ZERO,
        };
        self.state.watch = Some(Watch {
            version,
            since,
            last_seen: now,
            wait,
            max_gap,
        });
    }

    /// When the lease may be taken if the record does not change.
    pub fn takeover_at(&self) -> Option<Millis> {
        let watch = self.state.watch.as_ref()?;
        Some(watch.since + watch.wait)
    }

    /// Creates a take if nobody can hold the lease at `now`.
    pub fn take(&mut self, now: Millis) -> Option<Take> {
        let watch = self.state.watch.as_ref()?;
        let takeover_at = watch.since + watch.wait;
        if now < takeover_at || now - watch.last_seen > watch.max_gap {
            return None;
        }
        let take = self.takes.next();
        let mark = Mark {
            holder: self.own.clone(),
            take,
        };
        let record = Record {
            holder: Some(self.own.clone()),
            take,
            duration: self.term.duration(),
        };
        Some(Take {
            sent: now,
            write: Write {
                over: watch.version,
                record,
                mark: Some(mark),
            },
        })
    }

    /// Processes the outcome of a take, answered at `now`.
    pub fn on_take(mut self, now: Millis, take: Take, answer: WriteOutcome) -> TakeOutcome {
        match answer {
            WriteOutcome::Committed {
                version,
                fence: Some(fence),
            } => {
                let tenure = tenure(fence, version, take.write.record.take);
                TakeOutcome::start(self, now, take.sent, tenure)
            }
            WriteOutcome::Conflict => {
                self.state.watch = None;
                TakeOutcome::Free(self)
            }
            WriteOutcome::Unavailable => TakeOutcome::Free(self),
            WriteOutcome::Unknown | WriteOutcome::Committed { fence: None, .. } => {
                TakeOutcome::Unresolved(self.with(Unresolved { take }))
            }
        }
    }
}

impl TakeOutcome {
    fn start<S>(lease: Lease<S>, now: Millis, sent: Millis, tenure: Tenure) -> Self {
        let held = Held::new(tenure, sent, lease.term);
        match lease.with(held).expire(now) {
            Ok(held) => Self::Held(held),
            Err(expired) => Self::Expired(expired),
        }
    }
}

impl Lease<Unresolved> {
    /// Processes a read that was answered at `now`.
    ///
    /// A take that this read does not show may still take effect; a later read then finds it.
    pub fn on_read(self, now: Millis, seen: &Snapshot, max_gap: Millis) -> TakeOutcome {
        let sent_take = self.state.take.write.record.take;
        let own = seen.take_of(&self.own);
        if let Some((take, fence)) = own.filter(|(take, _)| *take == sent_take) {
            let sent = self.state.take.sent;
            return TakeOutcome::start(self, now, sent, tenure(fence, seen.version(), take));
        }
        match self.with(Free::default()).on_read(now, seen, max_gap) {
            FreeReadOutcome::Free(free) => TakeOutcome::Free(free),
            FreeReadOutcome::Expired(expired) => TakeOutcome::Expired(expired),
        }
    }
}

fn tenure(fence: Fence, version: u64, take: u64) -> Tenure {
    Tenure {
        fence,
        version,
        take,
        unresolved_since: None,
        must_read: false,
    }
}
