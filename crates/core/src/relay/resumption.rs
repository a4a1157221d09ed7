//! Which software version began a stream.
//!
//! Endpoints of several software versions may serve one service side by side, and what two of them
//! write does not fit together. A stream that its caller takes up after a lost connection may
//! therefore go on only at its [`Build`]: the service and version that began it. Endpoints don't
//! check this, and a caller only names its attempt that brought the first event.
//!
//! Each entry remembers the builds of its own streams and, while several versions serve, tells
//! them to a few others, its keepers ([`Ring::owners`](crate::relay::warming::Ring::owners)). An
//! entry that does not know a stream asks the keepers. Where nobody knows, the stream goes on only
//! if there has been no other version that could have begun it. For entries that start when all
//! others are gone the platform stores which versions [may have begun](registration) streams, before
//! any does, and the [streams](stored) themselves while several serve.

pub mod inquiry;
mod keepers;
mod records;
pub mod registration;
pub mod registry;
pub mod stored;
mod versions;

pub use inquiry::{Inquiry, Message, Standing};
pub use keepers::Keepers;
pub use registration::ServiceVersions;
pub use registry::Registry;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// How long after the deadline of its last attempt a stream may be taken up.
pub const TAKE_UP_WINDOW: Millis = Millis::from_secs(30);
/// The number of entries that keep the build of a stream for others, where there are few: a fault
/// takes a large part of them.
pub const KEEPERS: usize = 5;
/// The same from [`LARGE_FLEET`] entries on.
pub const KEEPERS_OF_MANY: usize = 3;
/// The number of entries from which on few keepers are enough.
pub const LARGE_FLEET: usize = 24;

/// Key derivation contexts that separate these hashes from other uses of the same hash function.
const STREAM_CONTEXT: &str = "woodgap 2026-12 first attempts of streams";
const BUILD_CONTEXT: &str = "woodgap 2026-12 builds of streams";
const SERVICE_CONTEXT: &str = "woodgap 2026-12 services of streams";

/// A stream, by the attempt of its caller that brought the first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stream(u64);

impl Stream {
    /// The stream that began with this attempt of a workspace. Attempts of different workspaces
    /// never begin the same stream.
    ///
    /// ```
    /// use woodgap_core::relay::resumption::Stream;
    ///
    /// assert_eq!(Stream::of("murphy", "r1"), Stream::of("murphy", "r1"));
    /// assert_ne!(Stream::of("murphy", "r1"), Stream::of("byrne", "r1"));
    /// ```
    pub fn of(workspace: &str, attempt: &str) -> Self {
        Self(hash(STREAM_CONTEXT, workspace, attempt))
    }

    /// The position of the stream among its keepers.
    pub fn key(self) -> u64 {
        self.0
    }
}

/// The service and software version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Build(u64);

impl Build {
    /// A version of a service.
    pub fn of(service: &str, version: &str) -> Self {
        Self(hash(BUILD_CONTEXT, service, version))
    }
}

/// A service, as entries name it to one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Service(u64);

impl Service {
    /// The service with this name.
    pub fn of(name: &str) -> Self {
        Self(hash(SERVICE_CONTEXT, name, ""))
    }
}

/// A hash of two texts. Callers choose a part of them, so it must be hard to find two that share
/// one.
fn hash(context: &str, scope: &str, text: &str) -> u64 {
    let key = blake3::derive_key(context, scope.as_bytes());
    let hash = blake3::keyed_hash(&key, text.as_bytes());
    let first = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(first)
}
