//! Parts of the deferred work, and which entries are preferred for them.

use std::fmt;

use crate::lease;
use crate::name;
use crate::once::Key;

/// How many parts the work is cut into. Enough that seven entries share it
/// evenly; few enough that an idle fleet's looks are a few reads a second. The
/// number is part of the rows' keys, and can't change while work is recorded.
pub const SHARDS: u16 = 32;

/// One part of the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard(u16);

impl Shard {
    /// The shard that a request belongs to.
    ///
    /// # Panics
    ///
    /// Never: the rest of a division by their number is the number of a shard.
    pub fn of(key: &Key) -> Self {
        let rest = key.hash() % u64::from(SHARDS);
        Self(u16::try_from(rest).expect("below the number of shards"))
    }

    /// All shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SHARDS).map(Self)
    }

    /// The shard's number, from 0.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The name of the shard's lease.
    pub fn lease(self) -> String {
        format!("deferred/{self}")
    }

    /// What the keys of the shard's rows begin with.
    pub fn prefix(self) -> String {
        format!("{self}/")
    }

    /// How many of the entries are preferred to this one: 0 for the first.
    pub fn rank(self, own: &name::Entry, entries: &[name::Entry]) -> usize {
        lease::rank(&self.lease(), own, entries)
    }
}

impl fmt::Display for Shard {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:02}", self.0)
    }
}
