//! What a broker keeps of each ask and of each permit.

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name::{self, Incarnation};
use crate::permit::Id;
use crate::permit::message::{Profile, Run};

/// A request that waits for a place.
#[derive(Debug)]
pub struct Wanted {
    /// What it asks for.
    pub ask: Ask,
    /// When it asked first.
    pub since: Millis,
    /// Pools that had no place for it.
    pub tried: Vec<Id>,
    /// When to come back, as the pools that shed it said.
    pub shed: Option<Millis>,
    /// Answers of entries that are not home.
    pub misses: u32,
    /// Where it waits.
    pub place: Place,
}

/// Where a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Nowhere until then.
    Unplaced(Millis),
    /// At a pool's home.
    Asked {
        /// The home.
        home: Incarnation,
        /// The pool.
        pool: Id,
        /// The home said that it keeps the ask.
        queued: bool,
        /// When it is repeated, unless it is queued.
        again: Millis,
        /// The wait before that.
        backoff: Millis,
    },
    /// At this entry, for its own fraction of a pool whose home is unreachable.
    Alone(Id),
}

/// A permit in use.
#[derive(Clone, Debug)]
pub struct Holding {
    /// The request that uses it.
    pub request: name::Request,
    /// The pool.
    pub pool: Id,
    /// The endpoint.
    pub endpoint: Id,
    /// Who uses it.
    pub profile: Profile,
    /// Hash of workspace and identity; 0 for none.
    pub identity: u64,
    /// Others wait for the place.
    pub contended: bool,
    /// Who counts it.
    pub source: Source,
}

/// Who counts a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Nobody yet: it is older than the control branch.
    Unknown,
    /// A pool's home.
    Home(Incarnation),
    /// A loan of a pool's home.
    Loan,
    /// The own fraction of a pool whose home is unreachable, with its number there.
    Alone(u64),
}

/// The end of a permit that its home has not confirmed.
#[derive(Debug)]
pub struct Unconfirmed {
    /// The home.
    pub home: Incarnation,
    /// How the run went.
    pub result: Run,
    /// The message that carried it.
    pub sent: u32,
}
