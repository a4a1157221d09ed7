//! Reads the bodies of requests into the room that there is.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{FutureExt, Stream, StreamExt};
use woodgap_core::clock::Millis;

use crate::connection::{Connection, Serving};
use crate::intake::Event;

/// The first room of a body whose length is not known, in bytes. Its chunks need room of their own
/// before they are joined.
const FIRST_ROOM: usize = 32 * 1024;

/// The bounds of one body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Its length, if it is announced.
    pub announced: Option<usize>,
    /// The most bytes that it may have.
    pub max_bytes: usize,
    /// By how much it may be later than the least pace.
    pub grace: Millis,
    /// How long it may take in all.
    pub timeout: Millis,
}

/// Why a body was not read. The request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal<E> {
    /// It is too large.
    TooLarge,
    /// There is no room for it now.
    NoRoom,
    /// It comes too slowly.
    TooSlow,
    /// It can't be read.
    Broken(E),
}

/// No more of the body is read once this is dropped.
struct Reading<'c> {
    connection: &'c Connection,
    is_complete: bool,
}

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.connection.end_body(self.is_complete);
    }
}

impl Serving {
    /// Reads the complete body, so that the request can be retried.
    ///
    /// # Errors
    ///
    /// Why it was not read; what is left of it must not be taken for a request.
    pub async fn read<E>(
        &self,
        payload: impl Stream<Item = Result<Bytes, E>> + Unpin,
        bounds: &Bounds,
    ) -> Result<Bytes, Refusal<E>> {
        if bounds
            .announced
            .is_some_and(|length| length > bounds.max_bytes)
        {
            return Err(Refusal::TooLarge);
        }
        let mut reader = Reader::start(&self.connection, bounds)?;
        let mut reading = Reading {
            connection: &self.connection,
            is_complete: false,
        };
        let body = reader.read(payload).await?;
        reading.is_complete = true;
        Ok(body)
    }
}

/// A body that is being read.
struct Reader<'c> {
    connection: &'c Connection,
    bounds: Bounds,
    body: Vec<u8>,
    room: usize,
    until: Millis,
}

impl<'c> Reader<'c> {
    /// Takes room for the body.
    fn start<E>(connection: &'c Connection, bounds: &Bounds) -> Result<Self, Refusal<E>> {
        let intake = connection.intake();
        let room = bounds.announced.unwrap_or(FIRST_ROOM);
        let taken = intake.change(|registry, now| registry.read(connection.id(), room, now));
        taken.map_err(|_| no_room(connection))?;
        // An earlier body may have been given up in the moment in which it was complete.
        let _ = connection.signal().give_up.notified().now_or_never();
        connection.read_body(bounds.announced.is_some());
        Ok(Self {
            connection,
            bounds: *bounds,
            body: Vec::with_capacity(bounds.announced.unwrap_or(0)),
            room,
            until: Millis(intake.now().0.saturating_add(bounds.timeout.0)),
        })
    }

    async fn read<E>(
        &mut self,
        mut payload: impl Stream<Item = Result<Bytes, E>> + Unpin,
    ) -> Result<Bytes, Refusal<E>> {
        let mut due = self.count(0);
        while let Some(piece) = self.next(&mut payload, due).await? {
            self.reserve(piece.len())?;
            self.body.extend_from_slice(&piece);
            due = self.count(piece.len());
        }
        let mut body = std::mem::take(&mut self.body);
        body.shrink_to_fit();
        Ok(Bytes::from(body))
    }

    /// The next bytes, if they come in time.
    async fn next<E>(
        &self,
        payload: &mut (impl Stream<Item = Result<Bytes, E>> + Unpin),
        due: Millis,
    ) -> Result<Option<Bytes>, Refusal<E>> {
        let left = due.min(self.until) - self.connection.intake().now();
        let piece = tokio::time::timeout(Duration::from_millis(left.0), payload.next());
        tokio::select! {
            biased;
            () = self.connection.signal().give_up.notified() => Err(Refusal::TooSlow),
            piece = piece => match piece {
                Ok(piece) => piece.transpose().map_err(Refusal::Broken),
                Err(_) => Err(Refusal::TooSlow),
            },
        }
    }

    /// Counts bytes that have come, and returns by when more must.
    fn count(&self, bytes: usize) -> Millis {
        let (id, grace) = (self.connection.id(), self.bounds.grace);
        let intake = self.connection.intake();
        let due = intake.change(|registry, now| registry.receive(id, bytes, grace, now));
        due.unwrap_or(self.until)
    }

    /// Sees to it that there is room for more bytes.
    fn reserve<E>(&mut self, bytes: usize) -> Result<(), Refusal<E>> {
        let length = self.body.len() + bytes;
        if length > self.bounds.max_bytes {
            return Err(Refusal::TooLarge);
        }
        if length <= self.room {
            return Ok(());
        }
        let room = length.max(self.room * 2).min(self.bounds.max_bytes);
        let (id, more) = (self.connection.id(), room.saturating_sub(self.room));
        let intake = self.connection.intake();
        let taken = intake.change(|registry, now| registry.grow(id, more, now));
        taken.map_err(|_| no_room(self.connection))?;
        self.room = room;
        self.body.reserve_exact(room - self.body.len());
        Ok(())
    }
}

fn no_room<E>(connection: &Connection) -> Refusal<E> {
    connection.intake().count(Event::Full);
    Refusal::NoRoom
}
