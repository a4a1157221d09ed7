//! Assigns each pool to its home entry by rendezvous hashing over the active entries.

use crate::membership::{Member, Members};
use crate::name;

impl Members {
    /// Returns the home of a pool: an active entry in the pool's data centre, or any active entry
    /// if that data centre has none. Entries with the same view of the membership choose the same
    /// home. When an entry goes away, only its own pools are reassigned.
    pub fn home(&self, pool: &name::Pool) -> Option<&Member> {
        let in_data_centre = self
            .active()
            .filter(|member| member.data_centre == pool.data_centre);
        in_data_centre
            .max_by_key(|member| score(member, pool))
            .or_else(|| self.active().max_by_key(|member| score(member, pool)))
    }
}

/// Returns the rendezvous score of a member for a pool. The score depends on the name rather
/// than the incarnation, so a restarted entry gets the same pools.
fn score(member: &Member, pool: &name::Pool) -> (u64, name::Entry) {
    let mut hasher = blake3::Hasher::new();
    for part in [
        member.name.as_str(),
        pool.target.as_str(),
        pool.data_centre.as_str(),
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    (u64::from_le_bytes(bytes), member.name.clone())
}
