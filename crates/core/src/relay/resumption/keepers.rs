//! Which entries keep the builds of streams for others.

use std::collections::BTreeMap;

use crate::name;
use crate::relay::fleet::Fleet;
use crate::relay::resumption::{KEEPERS, KEEPERS_OF_MANY, LARGE_FLEET, Stream};
use crate::relay::warming::Ring;

/// The entries among which streams are kept, as one of them sees them at a moment.
///
/// ```
/// use woodgap_core::clock::Millis;
/// use woodgap_core::name;
/// use woodgap_core::relay::fleet::Fleet;
/// use woodgap_core::relay::resumption::{Keepers, Stream};
///
/// let (own, data_centre) = (name::Entry::from("e-1"), name::DataCentre::from("dub-a"));
/// let fleet = Fleet::new(own, data_centre, Millis(300));
/// assert!(Keepers::new(&fleet).of(Stream::of("murphy", "r1")).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Keepers {
    ring: Ring,
    /// The other entries, each with the life that is known.
    lives: BTreeMap<name::Entry, name::Incarnation>,
}

impl Keepers {
    /// The entries of a fleet. Those that are stopping still know streams.
    pub fn new(fleet: &Fleet) -> Self {
        let lives = fleet.known().map(|it| (it.name.clone(), it.incarnation));
        Self {
            ring: fleet.ring_with_stopping(),
            lives: lives.collect(),
        }
    }

    /// Whether the same lives of the same entries are known.
    pub fn is_same(&self, other: &Self) -> bool {
        self.lives == other.lives
    }

    /// The other entries that keep a stream.
    pub fn of(&self, stream: Stream) -> Vec<&name::Entry> {
        let count = if self.ring.entries() < LARGE_FLEET {
            KEEPERS
        } else {
            KEEPERS_OF_MANY
        };
        let owners = self.ring.owners(stream.key(), count);
        let others = owners.into_iter();
        others.filter(|it| self.lives.contains_key(*it)).collect()
    }

    /// Those of them that were not told of a stream while the entries were the earlier ones: they
    /// were no keepers, or have started again since.
    pub fn new_since(&self, earlier: &Self, stream: Stream) -> Vec<&name::Entry> {
        let before = earlier.of(stream);
        let was_told = |it: &&name::Entry| {
            before.contains(it) && earlier.lives.get(*it) == self.lives.get(*it)
        };
        let now = self.of(stream).into_iter();
        now.filter(|it| !was_told(it)).collect()
    }
}
