//! The messages between entries, encoded with postcard.

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine;
use woodgap_core::relay::brittle;
use woodgap_core::relay::claim::Claim;
use woodgap_core::relay::departure;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::load_report::LoadReport;

use woodgap_core::relay::rate_limit;
use woodgap_core::relay::rest;
use woodgap_core::relay::resumption;
use woodgap_core::relay::roster::{Absence, Change, Endpoint};
use woodgap_core::relay::scheduling::returns;
use woodgap_core::relay::usage;
use woodgap_core::relay::{Evacuation, Plan};

/// The first byte of each message: the version of the wire format. Messages of another
/// version are dropped, so that they are never misread.
pub const FORM: u8 = 18;
/// The first byte of a datagram that carries only usage counts.
const COUNTS_FORM: u8 = FORM | 0x80;
/// The first byte of a datagram on the planned retry of a refused caller.
const RETURN_FORM: u8 = FORM | 0x40;
/// The first byte of a datagram on streams that are taken up. Their form has changed since by itself.
const RESUMPTION_FORM: u8 = (FORM + 1) | 0x20;
/// The largest datagram, in bytes: small enough to cross every link without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The maximum number of endpoints whose load one message reports.
pub const MAX_LOADS: usize = 48;
/// The maximum number of requests and parts of prompts that one message reports as suspected of
/// crashing endpoints. A request takes 26 bytes with one crash and 38 bytes with three.
pub const MAX_SUSPECTS: usize = 12;
/// The maximum number of endpoints whose rate limits one message reports. Each takes the place of
/// an endpoint whose load is reported, which is larger.
pub const MAX_RATE_LIMITS: usize = 6;
/// The same for endpoints that say that they are leaving.
pub const MAX_DEPARTURES: usize = 3;
/// The same for services whose endpoints are brittle; what was said last goes first.
pub const MAX_BRITTLE: usize = 1;
/// How many other entries a message describes, unless it answers one that has just started.
pub const MEMBERS_PER_MESSAGE: usize = 1;

/// The number of a message that is neither a query nor an answer: its sender is shutting down
/// and reports no load.
pub const STOP_NOTICE: u64 = 0;

/// A gossip datagram: a query, an answer or a stop notice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Identifies a query among those of its sender; an answer repeats the query's number.
    pub number: u64,
    /// Whether this is the answer to a query.
    pub is_answer: bool,
    /// The sender's membership record.
    pub from: Member,
    /// The versions that the sender has, with the age of their confirmation.
    pub knowledge: Knowledge,
    /// The number of other entries that the sender knows.
    pub known_entries: usize,
    /// Some of these entries.
    pub members: Vec<Member>,
    /// The load that the sender reports, by endpoint and service.
    pub load: LoadReport,
    /// How long connections to endpoints may stay idle, as observed by the sender.
    pub idle_limits: Vec<rest::IdleLimit>,
    /// Rate limits that endpoints name.
    pub rate_limits: Vec<rate_limit::Notice>,
    /// Services whose endpoints are brittle.
    pub brittle: Vec<brittle::Notice>,
    /// Endpoints that say that they are leaving.
    pub departures: Vec<departure::Notice>,
    /// What was running on endpoints when these crashed.
    pub suspects: Vec<quarantine::CrashHistory>,
    /// The sender's time of day, in ms since the Unix epoch.
    pub unix: Millis,
    /// The newest claim to the fleet's duties that the sender knows.
    pub claim: Option<Claim>,
}

/// A datagram with the sender's usage counts: what endpoints began to run for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The name of the sender.
    pub entry: name::Entry,
    /// The sender's incarnation.
    pub incarnation: name::Incarnation,
    /// The counts of one window, by workspace.
    pub window_counts: usage::WindowCounts,
}

/// A message on the planned retry of a refused caller, between an entry that refuses a request and
/// the owner of its promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnMessage {
    /// Asks the owner.
    Claim(returns::Claim),
    /// The owner's answer.
    Answer(returns::Answer),
}

/// The versions of the data that an entry has, and how old their confirmation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The version of the plan in force; 0 for none.
    pub plan: u64,
    /// The time since the plan was last confirmed as the newest.
    pub plan_age: Millis,
    /// The revision of the list of endpoints; 0 for none.
    pub endpoints: u64,
    /// The time since the list was last confirmed as the newest.
    pub endpoints_age: Millis,
    /// The revision of the set of evacuated data centres; 0 if none was ever evacuated.
    pub evacuation: u64,
    /// Whether the entry has the platform's records of withheld requests.
    pub withheld: bool,
}

/// A request over TCP for data newer than the versions named here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The version of the plan that the requesting entry has.
    pub plan: u64,
    /// The revision of the list of endpoints that the requesting entry has.
    pub endpoints: u64,
    /// The revision of the set of evacuated data centres that the requesting entry has.
    pub evacuation: u64,
}

/// The data that is newer than the requesting entry's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchResponse {
    /// The versions that the answering entry has.
    pub knowledge: Knowledge,
    /// The plan, if it is newer.
    pub plan: Option<Plan>,
    /// The endpoints, if the list is newer.
    pub endpoints: Option<Listed>,
    /// For how long endpoints have been missing that are not in it.
    pub absences: Vec<Absence>,
    /// The set of evacuated data centres, if it is newer.
    pub evacuation: Option<Evacuation>,
}

/// The list of endpoints, whole or as changes to an earlier revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Listed {
    /// The whole list.
    All(Vec<Endpoint>),
    /// The changes since the requested revision, each with its own revision.
    Changes(Vec<(u64, Change)>),
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// If a field can't be serialised.
pub fn encode(message: &Message) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = vec![FORM];
    bytes.extend(postcard::to_stdvec(message)?);
    Ok(bytes)
}

/// Adds entries to a message, in the given order, for as long as it fits into a datagram.
///
/// # Errors
///
/// If a field can't be serialised.
pub fn add_members(message: &mut Message, members: &[&Member]) -> Result<(), postcard::Error> {
    let count = count_fitting(message, members)?;
    let added = members.iter().take(count);
    message
        .members
        .extend(added.map(|member| (*member).clone()));
    Ok(())
}

/// Adds suspect requests to a message, the first ones, as many as fit into a datagram.
///
/// # Errors
///
/// If a field can't be serialised.
pub fn add_suspects(
    message: &mut Message,
    mut suspects: Vec<quarantine::CrashHistory>,
) -> Result<(), postcard::Error> {
    let count = count_fitting(message, &suspects)?;
    suspects.truncate(count);
    message.suspects.extend(suspects);
    Ok(())
}

/// Counts how many items, from the first on, fit into the datagram beside the message.
fn count_fitting(message: &Message, items: &[impl Serialize]) -> Result<usize, postcard::Error> {
    let mut bytes = encode(message)?.len();
    for (count, item) in items.iter().enumerate() {
        bytes += postcard::to_stdvec(item)?.len();
        // One byte is left free: the length prefix takes two bytes from 128 items on.
        if bytes >= MAX_DATAGRAM_BYTES {
            return Ok(count);
        }
    }
    Ok(items.len())
}

/// Encodes the counts of a window, split over as many datagrams as they need.
///
/// # Errors
///
/// If a field can't be serialised.
pub fn encode_counts(counts: &Counts) -> Result<Vec<Vec<u8>>, postcard::Error> {
    let mut bytes = vec![COUNTS_FORM];
    bytes.extend(postcard::to_stdvec(counts)?);
    if bytes.len() <= MAX_DATAGRAM_BYTES || counts.window_counts.counts.len() < 2 {
        return Ok(vec![bytes]);
    }
    let half = counts.window_counts.counts.len() / 2;
    let (left, right) = counts.window_counts.counts.split_at(half);
    let with_counts = |part: &[(name::Workspace, u64)]| Counts {
        window_counts: usage::WindowCounts {
            window: counts.window_counts.window,
            counts: part.to_vec(),
        },
        ..counts.clone()
    };
    let mut datagrams = encode_counts(&with_counts(left))?;
    datagrams.extend(encode_counts(&with_counts(right))?);
    Ok(datagrams)
}

/// Decodes a datagram of usage counts; `None` if it is of another kind or malformed.
pub fn decode_counts(bytes: &[u8]) -> Option<Counts> {
    let (version, counts) = bytes.split_first()?;
    if *version != COUNTS_FORM {
        return None;
    }
    postcard::from_bytes(counts).ok()
}

/// Encodes a message on a planned retry.
///
/// # Errors
///
/// If a field can't be serialised.
pub fn encode_return(message: &ReturnMessage) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = vec![RETURN_FORM];
    bytes.extend(postcard::to_stdvec(message)?);
    Ok(bytes)
}

/// Decodes a message on a planned retry; `None` if it is of another kind or malformed.
pub fn decode_return(bytes: &[u8]) -> Option<ReturnMessage> {
    let (version, message) = bytes.split_first()?;
    if *version != RETURN_FORM {
        return None;
    }
    postcard::from_bytes(message).ok()
}

/// Encodes a message on streams that are taken up.
///
/// # Errors
///
/// If a field can't be serialised.
pub fn encode_resumption(message: &resumption::Message) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = vec![RESUMPTION_FORM];
    bytes.extend(postcard::to_stdvec(message)?);
    Ok(bytes)
}

/// Decodes a message on streams that are taken up; `None` if it is of another kind or malformed.
pub fn decode_resumption(bytes: &[u8]) -> Option<resumption::Message> {
    let (version, message) = bytes.split_first()?;
    if *version != RESUMPTION_FORM {
        return None;
    }
    postcard::from_bytes(message).ok()
}

/// Decodes a message; `None` if it has another wire version or is malformed.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (version, message) = bytes.split_first()?;
    if *version != FORM {
        return None;
    }
    postcard::from_bytes(message).ok()
}
