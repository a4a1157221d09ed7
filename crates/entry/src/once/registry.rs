//! The identities that an entry knows of, for a while.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::once::Key;
use woodgap_core::once::sightings::{HORIZON, Knowledge};

use crate::once::{Reader, Record};

/// The most identities known at once; some 40 MB without their answers.
const MOST: usize = 100_000;

/// Records by identity.
#[derive(Debug)]
pub struct Registry {
    kept: Millis,
    most: usize,
    records: HashMap<Key, Arc<Record>>,
    /// Records of ended requests, oldest first, with the time at which they go.
    ended: VecDeque<(Millis, Arc<Record>)>,
    /// When a record was forgotten before its time.
    forgot: Option<Millis>,
}

/// What became of a new submission.
#[derive(Debug)]
pub enum Entered {
    /// It is the first: its record is in.
    First(Arc<Record>),
    /// The identity is known. The reader is missing if the request is another, or
    /// its answer is no longer held.
    Known(Arc<Record>, Option<Reader>),
    /// There are too many identities, none of which may be forgotten yet.
    Full,
}

impl Registry {
    /// A registry that keeps ended records for this long, and for as long as
    /// callers may come back in any case.
    pub fn new(kept: Millis) -> Self {
        Self::with_most(kept, MOST)
    }

    fn with_most(kept: Millis, most: usize) -> Self {
        Self {
            kept: kept.max(HORIZON),
            most,
            records: HashMap::new(),
            ended: VecDeque::new(),
            forgot: None,
        }
    }

    /// Puts a submission's record in, or attaches to the one that is known.
    pub fn enter(&mut self, now: Millis, record: Record) -> Entered {
        if let Some(known) = self.records.get(&record.key) {
            let same = known.body == record.body;
            let reader = same.then(|| known.tape.attach()).flatten();
            return Entered::Known(Arc::clone(known), reader);
        }
        if self.records.len() >= self.most && !self.make_room(now) {
            return Entered::Full;
        }
        let record = Arc::new(record);
        self.records.insert(record.key.clone(), Arc::clone(&record));
        Entered::First(record)
    }

    /// Attaches to the record of an identity; the reader is missing if its answer is
    /// no longer held.
    pub fn attach(&self, key: &Key) -> Option<(Arc<Record>, Option<Reader>)> {
        let record = self.records.get(key)?;
        Some((Arc::clone(record), record.tape.attach()))
    }

    /// Takes a record out that nobody reads; false if somebody does. Readers attach
    /// to known records under the registry's lock, so none can come in between.
    pub fn leave(&mut self, record: &Record) -> bool {
        if record.tape.is_read() {
            return false;
        }
        self.remove(&record.key, record.request);
        true
    }

    /// Takes a submission's record out: the next one of the identity is the first.
    pub fn remove(&mut self, key: &Key, request: name::Request) {
        if self
            .records
            .get(key)
            .is_some_and(|record| record.request == request)
        {
            self.records.remove(key);
        }
    }

    /// A request has ended; its record, if it is in, is kept for a while.
    pub fn end(&mut self, now: Millis, record: &Arc<Record>) {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.request == record.request) {
            let until = now + self.kept;
            self.ended.push_back((until, Arc::clone(record)));
        }
    }

    /// Forgets the records whose time has passed.
    pub fn sweep(&mut self, now: Millis) {
        while let Some((until, _)) = self.ended.front()
            && *until <= now
        {
            self.forget_oldest();
        }
    }

    /// What this life can say of an identity.
    pub fn knowledge(&self, now: Millis, key: &Key) -> Knowledge {
        let forgot_of_late = self.forgot.is_some_and(|at| now < at + HORIZON);
        match self.records.get(key) {
            Some(record) => record.knowledge(),
            None if forgot_of_late => Knowledge::Unsure,
            None => Knowledge::None,
        }
    }

    /// Forgets the oldest ended record before its time, if nothing but memory is
    /// lost by it.
    fn make_room(&mut self, now: Millis) -> bool {
        self.sweep(now);
        if self.records.len() < self.most {
            return true;
        }
        match self.ended.front() {
            Some((_, record)) if !record.binding => {
                self.forget_oldest();
                self.forgot = Some(now);
                true
            }
            _ => false,
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, record)) = self.ended.pop_front() {
            self.remove(&record.key, record.request);
        }
    }
}

#[cfg(test)]
mod tests;
