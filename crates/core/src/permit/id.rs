//! Short names of pools and endpoints inside messages.

use serde::{Deserialize, Serialize};

use crate::name;

/// Bytes of a short name. At 10,000 names two of them collide with a
/// probability below one in a million.
const BYTES: usize = 6;

/// A hash of a pool's or an endpoint's name.
///
/// ```
/// use woodgap_core::name;
/// use woodgap_core::permit::Id;
///
/// let pool = |target: &str, data_centre: &str| name::Pool {
///     target: target.into(),
///     data_centre: data_centre.into(),
/// };
/// assert_eq!(Id::of_pool(&pool("m", "a")), Id::of_pool(&pool("m", "a")));
/// assert_ne!(Id::of_pool(&pool("m", "ab")), Id::of_pool(&pool("ma", "b")));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id([u8; BYTES]);

impl Id {
    /// The short name of a pool.
    pub fn of_pool(pool: &name::Pool) -> Self {
        Self::of(&[pool.target.as_str(), pool.data_centre.as_str()])
    }

    /// The short name of an endpoint.
    pub fn of_endpoint(endpoint: &name::Endpoint) -> Self {
        Self::of(&[endpoint.as_str()])
    }

    /// How well an endpoint goes with a prompt: the largest value wins, at every
    /// entry alike.
    pub fn affinity(self, prefix: u64) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&prefix.to_le_bytes());
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    /// A number that differs between names, but is the same at every entry.
    pub fn spread(self) -> u32 {
        let [a, b, ..] = self.0;
        u32::from(u16::from_le_bytes([a, b]))
    }

    fn of(parts: &[&str]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut bytes = [0; BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}
