//! The state that a broker keeps for each request and each permit.

use crate::clock::Millis;
use crate::control::event::Ask;
use crate::name::{self, Incarnation};
use crate::permit::NameHash;
use crate::permit::message::{Profile, Run};

/// A request that is waiting for a permit.
#[derive(Debug)]
pub struct PendingRequest {
    /// What the request needs.
    pub ask: Ask,
    /// When the request arrived.
    pub since: Millis,
    /// Pools that have rejected the request.
    pub tried_pools: Vec<NameHash>,
    /// The longest retry delay given by the pools that shed the request.
    pub shed: Option<Millis>,
    /// Number of replies from entries that were not the home.
    pub redirects: u32,
    /// Where the request is waiting.
    pub wait: WaitState,
}

/// Where a request is waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitState {
    /// Not placed yet; to be placed at this time.
    Unplaced(Millis),
    /// At the home of a pool.
    AtHome {
        /// The home.
        home: Incarnation,
        /// The pool.
        pool: NameHash,
        /// Whether the home has confirmed that the request is queued.
        queued: bool,
        /// When to retransmit the request, unless it is queued.
        retry_at: Millis,
        /// The current delay between retransmissions.
        backoff: Millis,
    },
    /// In the local fallback of a pool whose home is unreachable.
    Local(NameHash),
}

/// A permit in use.
#[derive(Clone, Debug)]
pub struct ActivePermit {
    /// The request that uses the permit.
    pub request: name::Request,
    /// The pool.
    pub pool: NameHash,
    /// The endpoint.
    pub endpoint: NameHash,
    /// The workspace, tier and class of the request.
    pub profile: Profile,
    /// Hash of workspace and identity, or 0 if there is no identity.
    pub identity: u64,
    /// Whether the pool was contended when it granted the permit, which is then
    /// released without delay.
    pub contended: bool,
    /// Who counts the permit.
    pub source: Source,
}

/// Who counts a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Not known yet: the permit was granted before the control branch started.
    Unknown,
    /// A pool's home.
    Home(Incarnation),
    /// A loan from a pool's home.
    Loan,
    /// The local fallback of a pool whose home is unreachable, with the permit's
    /// number there.
    Local(u64),
}

/// The release of a permit that its home has not confirmed.
#[derive(Debug)]
pub struct UnconfirmedRelease {
    /// The home.
    pub home: Incarnation,
    /// The result of the run.
    pub result: Run,
    /// The sequence number of the message that carried the release.
    pub sent: u32,
}
