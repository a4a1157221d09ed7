//! A lease that is not ours: watched, and taken once nobody can hold it.

use crate::clock::Millis;
use crate::lease::row::TakeNumbers;
use crate::lease::{
    Expired, Fence, Held, Holder, Lease, Mark, Record, Snapshot, Tenure, Term, Write, WriteOutcome,
};

/// Not ours.
#[derive(Clone, Debug, Default)]
pub struct Free {
    watch: Option<Watch>,
}

/// A take was sent, and nobody knows what became of it.
#[derive(Clone, Debug)]
pub struct Unresolved {
    take: Take,
}

/// The state that the record was last seen in.
#[derive(Clone, Debug)]
struct Watch {
    version: u64,
    /// When this version was first seen without a gap since.
    since: Millis,
    /// When it was last seen.
    last_seen: Millis,
    /// How long it must be seen; nothing for a lease that nobody holds.
    wait: Millis,
    /// The longest time between two looks.
    max_gap: Millis,
}

/// A take that is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Take {
    /// When it was sent; the lease counts from here.
    pub sent: Millis,
    /// What to write.
    pub write: Write,
}

/// What a read made of a lease that was not ours.
#[derive(Clone, Debug)]
pub enum FreeReadOutcome {
    /// It is not ours.
    Free(Lease<Free>),
    /// It is ours after all, by a take that was given up: renew it.
    Expired(Lease<Expired>),
}

/// What became of a take.
#[derive(Clone, Debug)]
pub enum TakeOutcome {
    /// The lease is ours.
    Held(Lease<Held>),
    /// It is ours, but its time is over already.
    Expired(Lease<Expired>),
    /// It is not ours.
    Free(Lease<Free>),
    /// The rows must be read.
    Unresolved(Lease<Unresolved>),
}

impl Lease<Free> {
    /// A lease of which nothing is known. `first_take` is drawn at random, so
    /// that no take of another life of the caller is mistaken for its own.
    pub fn new(own: Holder, term: Term, first_take: u64) -> Self {
        Self {
            own,
            term,
            takes: TakeNumbers::new(first_take),
            state: Free::default(),
        }
    }

    /// Takes in a read, answered now.
    ///
    /// A longer time than `max_gap` between two looks starts the watch again: after
    /// an outage of the table service, its holder may renew first.
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
        let newer_seen = previous.filter(|watch| version < watch.version);
        if newer_seen.is_some_and(|watch| now - watch.last_seen <= watch.max_gap) {
            return;
        }
        let same =
            previous.filter(|watch| watch.version == version && now - watch.last_seen <= max_gap);
        let since = same.map_or(now, |watch| watch.since);
        let wait = match (&seen.record, seen.holder()) {
            (Some(record), Some(_)) => Term::new(record.value.duration).wait(),
            // An older state that stays is all there is: the rows were put back. Somebody may
            // hold the lease by a take that is not among them.
            _ if newer_seen.is_some() => self.term.wait(),
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

    /// When the lease may be taken, if it stays as it was seen.
    pub fn takeover_at(&self) -> Option<Millis> {
        let watch = self.state.watch.as_ref()?;
        Some(watch.since + watch.wait)
    }

    /// A take, if nobody can hold the lease now.
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

    /// Takes in what became of a take.
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
    /// Takes in a read, answered now.
    ///
    /// A take that the read does not show may still take effect; a later read
    /// then finds it.
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
