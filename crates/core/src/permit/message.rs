//! Messages for requesting, granting and releasing permits.
//!
//! The requesting entry drives the exchange: it retransmits whatever was not
//! answered, so that a home needs no timers for its replies. Each permit request
//! has a number that its entry uses only once, and the permit that answers it
//! has the same number. A delayed grant can therefore never be mistaken for the
//! answer to a newer request.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::control::event::{Done, Outcome};
use crate::name;
use crate::permit::NameHash;
use crate::tier::Tier;

/// A message between two entries. It carries what the sender has to say both as
/// a requesting entry and as a home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identifies this message among those of the sender to the receiver.
    pub id: MessageId,
    /// The newest message from the receiver that the sender has received.
    pub acked: MessageId,
    /// Calls from a requesting entry to a pool's home.
    pub calls: Vec<Call>,
    /// Replies from a pool's home to a requesting entry.
    pub replies: Vec<Reply>,
}

/// Orders the messages from one entry to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageId {
    /// Incremented by each restart of the sender's control branch.
    pub generation: u32,
    /// Sequence number within the generation, starting at 1.
    pub number: u32,
}

/// A call from a requesting entry to a pool's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Requests a permit.
    Acquire(Acquire),
    /// Withdraws a permit request or returns a permit.
    Release(Release),
    /// Summarises the sender's requests and permits, for comparison.
    Digest(Digest),
    /// Lists the sender's requests and permits in full.
    Sync(Sync),
    /// Reports the use of a loan.
    Usage(Usage),
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// The number of the request and of the permit that answers it.
    pub permit: u64,
    /// The pool.
    pub pool: NameHash,
    /// The workspace, tier and class that request the permit.
    pub profile: Profile,
    /// The class's weight within the workspace.
    pub weight: u64,
    /// Milliseconds left until the class's latency target passes; negative if it
    /// has passed.
    pub slack: i64,
    /// Endpoints that have already failed this request.
    pub avoid: Vec<NameHash>,
    /// Hash of the start of the prompt, or 0 if there is none.
    pub prefix: u32,
    /// Hash of workspace and identity, or 0 if there is no identity.
    pub identity: u64,
}

/// The properties of a request that determine its fair share and its order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The workspace's tier.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
}

/// The end of a permit request or of a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The number of the request or permit.
    pub permit: u64,
    /// The result of the run.
    pub result: Run,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// How the run ended.
    pub outcome: Outcome,
    /// Number of tokens (or calls) that the endpoint produced.
    pub tokens: u64,
    /// Time from dispatch to the first token, if there was one.
    pub first_token: Option<Millis>,
    /// Time from dispatch to the end.
    pub elapsed: Millis,
}

impl Run {
    /// Converts the result into the event that pools take.
    pub fn done(self, request: name::Request, permit: u64) -> Done {
        Done {
            request,
            permit,
            outcome: self.outcome,
            tokens: self.tokens,
            first_token: self.first_token,
            elapsed: self.elapsed,
        }
    }

    /// The result of a run that never started: the request was withdrawn or its
    /// grant was not used.
    pub const UNUSED: Self = Self {
        outcome: Outcome::Cancelled,
        tokens: 0,
        first_token: None,
        elapsed: Millis::ZERO,
    };
}

/// A checksum of an entry's requests and permits at one home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The number of requests and permits.
    pub count: u32,
    /// The wrapping sum of their hashes.
    pub hash: u32,
}

impl Digest {
    /// Adds a request that the home has confirmed as queued, or a permit.
    pub fn add(&mut self, permit: u64, held: bool) {
        self.count += 1;
        self.hash = self.hash.wrapping_add(hash_permit(permit, held));
    }
}

/// Hashes a number to 32 bits with the finaliser of `SplitMix64`.
fn hash_permit(permit: u64, held: bool) -> u32 {
    let mut hash = (permit << 1 | u64::from(held)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    u32::try_from((hash ^ (hash >> 31)) >> 32).unwrap_or(u32::MAX)
}

/// The sender's requests and permits at the receiver, within a range of numbers.
///
/// Any request or permit of the sender that the receiver knows, that lies within
/// the scope and the range and that is not listed, has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The only pool that is covered, or `None` for all pools of the receiver.
    pub scope: Option<NameHash>,
    /// The first number of the range.
    pub from: u64,
    /// The last number of the range, inclusive.
    pub to: u64,
    /// Requests that have not been granted.
    pub waiting: Vec<u64>,
    /// Permits in use.
    pub held: Vec<HeldPermit>,
}

/// A permit in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldPermit {
    /// The number of the permit.
    pub permit: u64,
    /// The pool.
    pub pool: NameHash,
    /// The endpoint.
    pub endpoint: NameHash,
    /// The workspace, tier and class that hold the permit.
    pub profile: Profile,
    /// Hash of workspace and identity, or 0 if there is no identity.
    pub identity: u64,
}

/// The use of a loan since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool.
    pub pool: NameHash,
    /// The number of the loan.
    pub loan: u32,
    /// Slots that the borrower keeps, by endpoint. It has returned all others.
    pub kept_slots: Vec<(NameHash, u32)>,
    /// The profiles that the records refer to.
    pub profiles: Vec<Profile>,
    /// Runs that have ended.
    pub records: Vec<RunRecord>,
    /// Runs that continue as ordinary permits after the end of the loan.
    pub held: Vec<HeldPermit>,
    /// Whether the loan has ended. Earlier messages may carry further parts of
    /// [`Self::held`].
    pub finished: bool,
}

/// A run under a loan that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// An index into [`Usage::profiles`].
    pub profile: u32,
    /// The endpoint.
    pub endpoint: NameHash,
    /// The result of the run.
    pub result: Run,
}

/// A reply from a pool's home to a requesting entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Grants a permit.
    Grant(Grant),
    /// The request with this number is queued at the home.
    Queued(u64),
    /// The queue is full: the request with this number may be retried after this
    /// time.
    Shed(u64, Millis),
    /// No endpoint of the pool accepts work.
    NoEndpoint(u64),
    /// The sender is not the pool's home. The second field names the home that
    /// the sender knows, if any.
    NotHome(u64, Option<name::Incarnation>),
    /// Another request with the same identity is waiting or running at this
    /// entry.
    IdentityInUse(u64, name::Incarnation),
    /// The home does not know this request, although the entry reported it as
    /// queued.
    Unknown(u64),
    /// The digest in the message with this number matched.
    DigestMatched(u32),
    /// A digest did not match: send a [`Sync`] of all pools.
    Resync,
    /// The sender is now the home of this pool: send a [`Sync`] of it.
    Claim(NameHash),
    /// Lends slots.
    Loan(Loan),
    /// Ends this loan of a pool immediately.
    Recall(NameHash, u32),
}

/// A permit to use one slot of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the request.
    pub permit: u64,
    /// The endpoint.
    pub endpoint: NameHash,
    /// The priority inside the engine, from 0 (first) to 9 (last).
    pub priority: u8,
    /// Whether the pool is contended; the permit must then be returned without
    /// delay.
    pub contended: bool,
}

/// Slots that an entry may use without requesting permits, up to the stated
/// number at a time.
///
/// Each message states the complete loan and replaces what was stated before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The pool.
    pub pool: NameHash,
    /// Distinguishes this loan from earlier ones of the same home.
    pub loan: u32,
    /// How long the loan lasts, counted from when the borrower sent the message
    /// that [`Message::acked`] names.
    pub lifetime: Millis,
    /// The number of slots at each endpoint.
    pub slots: Vec<(NameHash, u32)>,
}
