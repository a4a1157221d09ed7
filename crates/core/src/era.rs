//! Versions of a store that may come back from an older copy.
//!
//! A store counts its changes, and each row has the version at which it was written. After a
//! restore from an older copy it gives the same numbers out again, for other changes. It then says
//! so by its era, which rises with each restore. A number alone therefore neither orders nor
//! identifies anything: what is remembered of it is a [stamp](Era::stamp), which holds the era as
//! well. Stamps order by era first, and never repeat.

use serde::{Deserialize, Serialize};

/// How often a store has come back from an older copy, as it counts; 0 if it does not say.
///
/// ```
/// use woodgap_core::era::{self, Era};
///
/// let (old, new) = (Era::new(1), Era::new(2));
/// // A version that is given out again in a new era is later than all of the old one.
/// assert!(new.stamp(7) > old.stamp(9));
/// assert_eq!(Era::of(new.stamp(7)), new);
/// assert_eq!(era::version(new.stamp(7)), 7);
/// // The stamps of a store that names no era are its versions.
/// assert_eq!(Era::default().stamp(7), 7);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(u64);

/// How many bits of a stamp hold the version: also a store that counts in microseconds of the day
/// stays below for decades.
const VERSION_BITS: u32 = 52;
/// The greatest version that a stamp can hold.
pub const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;
/// The greatest era that a stamp can hold.
const MAX_ERA: u64 = u64::MAX >> VERSION_BITS;

impl Era {
    /// An era as a store names it. Stamps hold 4,095 of them; any beyond count as the last.
    pub fn new(era: u64) -> Self {
        Self(era.min(MAX_ERA))
    }

    /// The era in which a stamp was given.
    pub fn of(stamp: u64) -> Self {
        Self(stamp >> VERSION_BITS)
    }

    /// The number of the era.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The stamp of a version of this era, at most [`MAX_VERSION`]. Version 0 stands for "no such
    /// row" in any era, and so does its stamp.
    pub fn stamp(self, version: u64) -> u64 {
        if version == 0 {
            return 0;
        }
        (self.0 << VERSION_BITS) | version.min(MAX_VERSION)
    }
}

/// The store's own number in a stamp.
pub fn version(stamp: u64) -> u64 {
    stamp & MAX_VERSION
}

/// Whether the store has come back from an older copy between two stamps of which each is of some
/// row: the versions in them can't be compared.
///
/// ```
/// use woodgap_core::era::{Era, is_restored};
///
/// assert!(is_restored(Era::new(1).stamp(9), Era::new(2).stamp(9)));
/// assert!(!is_restored(Era::new(1).stamp(9), Era::new(1).stamp(12)));
/// // Where there is no row, there is no era to compare.
/// assert!(!is_restored(0, Era::new(2).stamp(9)));
/// ```
pub fn is_restored(before: u64, now: u64) -> bool {
    before != 0 && now != 0 && Era::of(before) != Era::of(now)
}

#[cfg(test)]
mod tests;
