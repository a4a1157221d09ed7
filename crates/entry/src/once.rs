//! What one entry does for requests that carry an identity: it claims those that
//! may not be repeated, records the answers, and lets every submission of the
//! same identity follow them, from this entry and from the others.
//!
//! What decides is in [`woodgap_core::once`]; here is what carries it out.

pub mod batch;
pub mod claims;
pub mod find;
pub mod follow;
pub mod internal;
pub mod kept;
pub mod message;
pub mod peer;
pub mod record;
pub mod recorder;
pub mod registry;
pub mod room;
pub mod seal;
pub mod submit;
pub mod sweep;
pub mod table;
pub mod tape;

pub use find::find;
pub use record::{Kind, Record};
pub use recorder::Recorder;
pub use room::Room;
pub use submit::submit;
pub use tape::{Reader, Tape};

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use woodgap_core::name;
use woodgap_core::once::sightings::Reply;
use woodgap_core::once::{AbandonedRequests, Issuer, Key, Sightings};
use woodgap_settings::entry::Entry as Settings;

use crate::once::registry::Registry;
use crate::once::seal::Sealer;
use crate::shared::Shared;

/// What all threads of an entry share for requests that carry an identity.
pub struct Once {
    /// Where this entry takes HTTP requests, as claims and identities name it.
    pub address: SocketAddr,
    /// The claims' table.
    pub table: table::Handle,
    /// Issues and checks identities.
    pub issuer: Issuer,
    /// Authenticates calls between entries.
    pub sealer: Sealer,
    room: Arc<Room>,
    answer_bytes: usize,
    registry: Mutex<Registry>,
    notes: Mutex<AbandonedRequests>,
    sightings: Mutex<Sightings>,
    closings: AtomicUsize,
}

impl Once {
    /// The state of a life that has just begun.
    pub fn new(settings: &Settings, life: name::Incarnation, address: SocketAddr) -> Self {
        let limits = &settings.limits;
        Self {
            address,
            table: table::Handle::default(),
            issuer: Issuer::new(&settings.fleet_key.0),
            sealer: Sealer::new(&settings.fleet_key.0),
            room: Arc::new(Room::new(limits.answers_kept_bytes)),
            answer_bytes: limits.answer_bytes,
            registry: Mutex::new(Registry::new(limits.answers_kept)),
            notes: Mutex::new(AbandonedRequests::new(life)),
            sightings: Mutex::new(Sightings::new(life)),
            closings: AtomicUsize::new(0),
        }
    }

    /// An empty recording for a request's answer.
    pub fn tape(&self, request: name::Request) -> Tape {
        Tape::new(request, Arc::clone(&self.room), self.answer_bytes)
    }

    /// The identities that are known.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        lock(&self.registry)
    }

    /// The submissions that were given up unsent.
    pub fn notes(&self) -> MutexGuard<'_, AbandonedRequests> {
        lock(&self.notes)
    }

    /// The other lives that were seen.
    pub fn sightings(&self) -> MutexGuard<'_, Sightings> {
        lock(&self.sightings)
    }

    /// What this life answers to the question whether it knows an identity.
    pub fn reply(&self, shared: &Shared, key: &Key) -> Reply {
        see(shared);
        Reply {
            life: shared.incarnation,
            knowledge: self.registry().knowledge(shared.clock.now(), key),
            seen: self.sightings().seen(),
        }
    }
}

/// Looks at which entries are there, and forgets what is too old; to be called
/// every second or so.
pub fn tick(shared: &Shared) {
    see(shared);
    let now = shared.clock.now();
    shared.once.registry().sweep(now);
}

fn see(shared: &Shared) {
    let members = shared.members.load();
    let there = members
        .iter()
        .filter(|member| member.standing != woodgap_core::membership::Standing::Gone);
    let lives = there.map(|member| (member.incarnation, member.http));
    let now = shared.clock.now();
    shared.once.sightings().record(now, lives);
}

/// All that is kept under these locks is whole at any time.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
