//! Short identifiers of pools and endpoints for use in messages.

use serde::{Deserialize, Serialize};

use crate::name;

/// Length of a hash. Among 10,000 names the probability of a collision is below
/// one in a million.
const HASH_BYTES: usize = 6;

/// A truncated hash of a pool's or an endpoint's name.
///
/// ```
/// use woodgap_core::name;
/// use woodgap_core::permit::NameHash;
///
/// let pool = |target: &str, data_centre: &str| name::Pool {
///     target: target.into(),
///     data_centre: data_centre.into(),
/// };
/// assert_eq!(NameHash::of_pool(&pool("m", "a")), NameHash::of_pool(&pool("m", "a")));
/// assert_ne!(NameHash::of_pool(&pool("m", "ab")), NameHash::of_pool(&pool("ma", "b")));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NameHash([u8; HASH_BYTES]);

impl NameHash {
    /// Hashes the name of a pool.
    pub fn of_pool(pool: &name::Pool) -> Self {
        Self::of(&[pool.target.as_str(), pool.data_centre.as_str()])
    }

    /// Hashes the name of an endpoint.
    pub fn of_endpoint(endpoint: &name::Endpoint) -> Self {
        Self::of(&[endpoint.as_str()])
    }

    /// Returns the score of this endpoint for a prompt prefix in rendezvous
    /// hashing. The endpoint with the highest score is preferred, and every
    /// entry computes the same scores.
    pub fn affinity(self, prefix: u64) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&prefix.to_le_bytes());
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        u64::from_le_bytes(bytes)
    }

    /// Returns a number that varies between names and is the same at every
    /// entry.
    pub fn rotation_offset(self) -> u32 {
        let [a, b, ..] = self.0;
        u32::from(u16::from_le_bytes([a, b]))
    }

    fn of(parts: &[&str]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut bytes = [0; HASH_BYTES];
        hasher.finalize_xof().fill(&mut bytes);
        Self(bytes)
    }
}
