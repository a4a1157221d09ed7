//! Messages by which places are asked for, granted and given back.
//!
//! The asking side drives: it repeats what was not answered, so that a home
//! keeps no timers for its answers. An ask is named by a number that its entry
//! draws once; the permit that answers it has the same number, so that an old
//! grant can never serve a newer ask.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::control::event::{Done, Outcome};
use crate::name;
use crate::permit::Id;
use crate::tier::Tier;

/// What one entry says to another at one moment, in both of its roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Which message of the sender this is.
    pub sent: Stamp,
    /// The newest message of the receiver that the sender has seen.
    pub seen: Stamp,
    /// From a request's entry to its pool's home.
    pub calls: Vec<Call>,
    /// From a pool's home to a request's entry.
    pub replies: Vec<Reply>,
}

/// Counts the messages from one entry to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// Counts the restarts of the sender's control branch.
    pub generation: u32,
    /// Counts the messages since then, from 1.
    pub number: u32,
}

/// From a request's entry to its pool's home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Asks for a place.
    Ask(Ask),
    /// A request no longer waits, nor holds a place.
    End(End),
    /// What the sender waits for and holds, to be compared.
    Digest(Digest),
    /// What the sender waits for and holds, in full.
    Sync(Sync),
    /// How a loan was used.
    Usage(Usage),
}

/// Asks for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The number of the ask and of its permit.
    pub permit: u64,
    /// The pool.
    pub pool: Id,
    /// Who asks.
    pub profile: Profile,
    /// The class's weight within the workspace.
    pub weight: u64,
    /// Milliseconds until the class's latency target passes; negative: since.
    pub slack: i64,
    /// Endpoints that failed this request already.
    pub avoid: Vec<Id>,
    /// Hash of the prompt's start; 0 for none.
    pub prefix: u32,
    /// Hash of workspace and identity; 0 for none.
    pub identity: u64,
}

/// What shares and order go by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// The workspace.
    pub workspace: name::Workspace,
    /// The workspace's tier.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
}

/// The end of an ask or of a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The number.
    pub permit: u64,
    /// What became of it.
    pub result: Run,
}

/// How a run went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens (or calls) that the endpoint produced.
    pub tokens: u64,
    /// From dispatch to the first token, if one came.
    pub first_token: Option<Millis>,
    /// From dispatch to the end.
    pub elapsed: Millis,
}

impl Run {
    /// The end in the form that pools take.
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

    /// A run that never was: the ask was withdrawn, or its grant not used.
    pub const NONE: Self = Self {
        outcome: Outcome::Cancelled,
        tokens: 0,
        first_token: None,
        elapsed: Millis::ZERO,
    };
}

/// A short form of what an entry waits for and holds at one home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// How many asks and permits.
    pub count: u32,
    /// The sum of their hashes.
    pub hash: u32,
}

impl Digest {
    /// Adds an ask that the home said it keeps, or a permit.
    pub fn add(&mut self, permit: u64, held: bool) {
        self.count += 1;
        self.hash = self.hash.wrapping_add(mix(permit, held));
    }
}

/// Spreads a number over 32 bits (the finaliser of `SplitMix64`).
fn mix(permit: u64, held: bool) -> u32 {
    let mut word = (permit << 1 | u64::from(held)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    u32::try_from((word ^ (word >> 31)) >> 32).unwrap_or(u32::MAX)
}

/// All that the sender waits for and holds at the receiver, within a range of numbers.
///
/// What the receiver knows of the sender within scope and range and is not
/// listed has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// One pool, or all of the receiver's.
    pub scope: Option<Id>,
    /// The first number of the range.
    pub from: u64,
    /// The last number of the range.
    pub to: u64,
    /// Asks without an answer.
    pub waiting: Vec<u64>,
    /// Permits.
    pub held: Vec<Held>,
}

/// A permit in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Its number.
    pub permit: u64,
    /// The pool.
    pub pool: Id,
    /// The endpoint.
    pub endpoint: Id,
    /// Who holds it.
    pub profile: Profile,
    /// Hash of workspace and identity; 0 for none.
    pub identity: u64,
}

/// How a loan was used since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The pool.
    pub pool: Id,
    /// The loan.
    pub loan: u32,
    /// Places that the borrower keeps, by endpoint; it gave back all others.
    pub keep: Vec<(Id, u32)>,
    /// What the records refer to.
    pub profiles: Vec<Profile>,
    /// Runs that ended.
    pub records: Vec<Record>,
    /// Runs that go on as permits, now that the loan is over.
    pub held: Vec<Held>,
    /// The loan is over; earlier messages may carry more of [`Self::held`].
    pub over: bool,
}

/// A run under a loan that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// An index into [`Usage::profiles`].
    pub profile: u32,
    /// The endpoint.
    pub endpoint: Id,
    /// How it went.
    pub result: Run,
}

/// From a pool's home to a request's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A place.
    Grant(Grant),
    /// The home keeps the ask.
    Queued(u64),
    /// The waiting list is full; come back after the span.
    Shed(u64, Millis),
    /// No endpoint of the pool takes work.
    NoEndpoint(u64),
    /// The sender is not home to the pool; this entry is, as far as it knows.
    NotHome(u64, Option<name::Incarnation>),
    /// Another request with the same identity waits or runs at this entry.
    Elsewhere(u64, name::Incarnation),
    /// The home does not know the ask that it is said to keep.
    Unknown(u64),
    /// The digest in the message with this number was right.
    Agreed(u32),
    /// A digest was wrong: send a [`Sync`] of everything.
    Resync,
    /// The sender is now home to this pool: send a [`Sync`] of it.
    Claim(Id),
    /// Places to use without asking.
    Loan(Loan),
    /// This loan of a pool is to end now.
    Recall(Id, u32),
}

/// A place at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the ask.
    pub permit: u64,
    /// The endpoint.
    pub endpoint: Id,
    /// The priority inside the engine, 0 (first) to 9 (last).
    pub priority: u8,
    /// Others wait for the place: give it back without delay.
    pub contended: bool,
}

/// Places to use without asking, as many at a time as the loan names.
///
/// Each message states the whole loan, in place of what was stated before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The pool.
    pub pool: Id,
    /// Tells this loan from earlier ones of the same home.
    pub loan: u32,
    /// How long it lasts, from the sending of the newest message that
    /// [`Message::seen`] names.
    pub life: Millis,
    /// How many places at which endpoint.
    pub places: Vec<(Id, u32)>,
}
