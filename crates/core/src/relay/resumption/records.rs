//! The builds of streams that an entry remembers.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::clock::Millis;
use crate::relay::resumption::inquiry::Notice;
use crate::relay::resumption::{Build, Stream};

/// The most streams that an entry remembers: about 6 MB.
const MAX_RECORDS: usize = 65_536;

#[derive(Clone, Copy, Debug)]
struct Record {
    build: Build,
    until: Millis,
    /// Whether this entry passes the stream on.
    is_own: bool,
}

impl Record {
    fn notice(&self, stream: Stream, now: Millis) -> Notice {
        Notice {
            stream,
            build: self.build,
            keep_for: self.until - now,
        }
    }
}

/// Streams with their builds, each until it can't be taken up any more.
#[derive(Debug, Default)]
pub(super) struct Records {
    streams: HashMap<Stream, Record>,
    by_end: BTreeSet<(Millis, Stream)>,
    /// Own streams that no other entry was told of yet.
    untold: HashSet<Stream>,
    /// Own streams that are not stored at the platform yet.
    unsaved: HashSet<Stream>,
}

impl Records {
    pub(super) fn get(&self, stream: Stream, now: Millis) -> Option<Build> {
        let record = self.streams.get(&stream);
        let record = record.filter(|record| record.until > now);
        record.map(|record| record.build)
    }

    /// Remembers a stream of this entry.
    pub(super) fn insert_own(&mut self, stream: Stream, build: Build, until: Millis) {
        self.insert(stream, build, until);
        if let Some(record) = self.streams.get_mut(&stream) {
            record.is_own = true;
            self.untold.insert(stream);
            self.unsaved.insert(stream);
        }
    }

    /// Remembers a stream that was stored, unless it is known better.
    pub(super) fn insert_stored(&mut self, stream: Stream, build: Build, until: Millis) {
        if !self.streams.contains_key(&stream) {
            self.insert(stream, build, until);
        }
    }

    /// Remembers a stream, for longer if it is known already. The most that are remembered are
    /// those that can be taken up for the longest time.
    pub(super) fn insert(&mut self, stream: Stream, build: Build, until: Millis) {
        let mut record = Record {
            build,
            until,
            is_own: false,
        };
        if let Some(known) = self.streams.get(&stream) {
            record.until = record.until.max(known.until);
            record.is_own = known.is_own;
            self.by_end.remove(&(known.until, stream));
        }
        self.streams.insert(stream, record);
        self.by_end.insert((record.until, stream));
        while self.streams.len() > MAX_RECORDS {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.by_end.pop_first() {
            self.streams.remove(&stream);
            self.untold.remove(&stream);
            self.unsaved.remove(&stream);
        }
    }

    pub(super) fn expire(&mut self, now: Millis) {
        while self.by_end.first().is_some_and(|(until, _)| *until <= now) {
            self.remove_first();
        }
    }

    /// All streams whose builds others must know.
    pub(super) fn notices(&self, must_know: impl Fn(Build) -> bool, now: Millis) -> Vec<Notice> {
        let streams = self.streams.iter();
        let wanted = streams.filter(|(_, record)| record.until > now && must_know(record.build));
        let notices = wanted.map(|(stream, record)| record.notice(*stream, now));
        notices.collect()
    }

    /// Takes the own streams that no other entry was told of, if their build is one of those that
    /// others must know.
    pub(super) fn take_untold(
        &mut self,
        must_know: impl Fn(Build) -> bool,
        now: Millis,
    ) -> Vec<Notice> {
        let mut notices = Vec::new();
        let streams = &self.streams;
        self.untold.retain(|stream| {
            let Some(record) = streams.get(stream) else {
                return false;
            };
            if !must_know(record.build) {
                return true;
            }
            notices.push(record.notice(*stream, now));
            false
        });
        notices
    }

    /// Takes at most `limit` of the own streams that are not stored, if their build is one of those
    /// that must be.
    pub(super) fn take_unsaved(
        &mut self,
        must_save: impl Fn(Build) -> bool,
        limit: usize,
        now: Millis,
    ) -> Vec<Notice> {
        let mut notices = Vec::new();
        let streams = &self.streams;
        self.unsaved.retain(|stream| {
            let Some(record) = streams.get(stream).filter(|record| record.until > now) else {
                return false;
            };
            if notices.len() >= limit || !must_save(record.build) {
                return true;
            }
            notices.push(record.notice(*stream, now));
            false
        });
        notices
    }

    /// Has all own streams stored again.
    pub(super) fn mark_all_unsaved(&mut self) {
        let own = self.streams.iter().filter(|(_, record)| record.is_own);
        self.unsaved.extend(own.map(|(stream, _)| *stream));
    }

    pub(super) fn len(&self) -> usize {
        self.streams.len()
    }
}
