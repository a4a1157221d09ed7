//! The messages between entries, in postcard.

use serde::{Deserialize, Serialize};
use woodgap_core::clock::Millis;
use woodgap_core::name;
use woodgap_core::quarantine;
use woodgap_core::relay::claim::Claim;
use woodgap_core::relay::fleet::Member;
use woodgap_core::relay::load_report::LoadReport;
use woodgap_core::relay::rest;
use woodgap_core::relay::roster::{Change, Endpoint};
use woodgap_core::relay::usage;
use woodgap_core::relay::{Evacuation, Plan};

/// The first byte of each message: the version of this form. Entries of another form
/// are not heard, so that nothing is read for what it is not.
pub const FORM: u8 = 9;
/// The first byte of a message that only tells counts.
const COUNTS_FORM: u8 = FORM | 0x80;
/// The largest datagram, in bytes: what passes every link whole.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The most endpoints whose load one message tells of.
pub const MAX_LOADS: usize = 48;
/// The most requests that one message tells of, as endpoints crashed with them: 25 bytes for one
/// with one crash, 37 with three.
pub const MAX_SUSPECTS: usize = 12;
/// How many other entries a message tells of, unless it answers one that has just started.
pub const MEMBERS_PER_MESSAGE: usize = 1;

/// The number of a message that asks and answers nothing: its sender stops, and tells no load.
pub const STOP_NOTICE: u64 = 0;

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Tells questions of one entry apart; an answer repeats its question's.
    pub number: u64,
    /// Whether it answers a question.
    pub is_answer: bool,
    /// The sender.
    pub from: Member,
    /// What the sender knows.
    pub knowledge: Knowledge,
    /// How many other entries the sender knows.
    pub known_entries: usize,
    /// Some of these.
    pub members: Vec<Member>,
    /// The sender's load.
    pub load: LoadReport,
    /// How long connections to endpoints may rest, as the sender has found out.
    pub idle_limits: Vec<rest::IdleLimit>,
    /// Requests that endpoints crashed with.
    pub suspects: Vec<quarantine::Told>,
    /// The sender's time of day, in ms since the Unix epoch.
    pub unix: Millis,
    /// Who has the duties, as far as the sender knows.
    pub claim: Option<Claim>,
}

/// A datagram that only tells counts: what endpoints began to run for the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The sender.
    pub entry: name::Entry,
    /// Its life.
    pub incarnation: name::Incarnation,
    /// What it has counted.
    pub window_counts: usage::WindowCounts,
}

/// What an entry knows, and how old the confirmation of it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// The version of the plan in force; 0 for none.
    pub plan: u64,
    /// How long ago that was known to be the newest.
    pub plan_age: Millis,
    /// The revision of the list of endpoints; 0 for none.
    pub endpoints: u64,
    /// How long ago that was known to be the newest.
    pub endpoints_age: Millis,
    /// The revision of the data centres that are evacuated; 0 where none ever was.
    pub evacuation: u64,
    /// Whether the entry knows what the platform keeps of requests that are withheld.
    pub withheld: bool,
}

/// Asks for what is newer, over TCP.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The version of the plan that the asker has.
    pub plan: u64,
    /// The revision of the endpoints that the asker has.
    pub endpoints: u64,
    /// The revision of the evacuated data centres that the asker has.
    pub evacuation: u64,
}

/// What is newer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FetchResponse {
    /// What the answering entry knows.
    pub knowledge: Knowledge,
    /// The plan, if it is newer.
    pub plan: Option<Plan>,
    /// The endpoints, if the list is newer.
    pub endpoints: Option<Listed>,
    /// The data centres that are evacuated, if that is newer.
    pub evacuation: Option<Evacuation>,
}

/// Endpoints that an entry lacks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Listed {
    /// The whole list.
    All(Vec<Endpoint>),
    /// The changes that it lacks, each with its revision.
    Changes(Vec<(u64, Change)>),
}

/// Writes a datagram.
///
/// # Errors
///
/// If a field can't be written.
pub fn encode(message: &Message) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = vec![FORM];
    bytes.extend(postcard::to_stdvec(message)?);
    Ok(bytes)
}

/// Adds as many of these entries to a message as still fit into its datagram.
///
/// # Errors
///
/// If a field can't be written.
pub fn add_members(message: &mut Message, members: &[&Member]) -> Result<(), postcard::Error> {
    let count = fitting(message, members)?;
    let told = members.iter().take(count);
    message.members.extend(told.map(|member| (*member).clone()));
    Ok(())
}

/// The same for requests that endpoints crashed with.
///
/// # Errors
///
/// If a field can't be written.
pub fn add_suspects(
    message: &mut Message,
    mut suspects: Vec<quarantine::Told>,
) -> Result<(), postcard::Error> {
    let count = fitting(message, &suspects)?;
    suspects.truncate(count);
    message.suspects = suspects;
    Ok(())
}

/// How many of these, from the first on, fit into a message's datagram beside the rest.
fn fitting(message: &Message, items: &[impl Serialize]) -> Result<usize, postcard::Error> {
    let mut bytes = encode(message)?.len();
    for (count, item) in items.iter().enumerate() {
        bytes += postcard::to_stdvec(item)?.len();
        // The number of items takes a second byte from 128 on.
        if bytes >= MAX_DATAGRAM_BYTES {
            return Ok(count);
        }
    }
    Ok(items.len())
}

/// Writes what an entry counted of a window, as so many datagrams as that takes.
///
/// # Errors
///
/// If a field can't be written.
pub fn encode_counts(counts: &Counts) -> Result<Vec<Vec<u8>>, postcard::Error> {
    let mut bytes = vec![COUNTS_FORM];
    bytes.extend(postcard::to_stdvec(counts)?);
    if bytes.len() <= MAX_DATAGRAM_BYTES || counts.window_counts.counts.len() < 2 {
        return Ok(vec![bytes]);
    }
    let half = counts.window_counts.counts.len() / 2;
    let (one, other) = counts.window_counts.counts.split_at(half);
    let part = |part: &[(name::Workspace, u64)]| Counts {
        window_counts: usage::WindowCounts {
            window: counts.window_counts.window,
            counts: part.to_vec(),
        },
        ..counts.clone()
    };
    let mut all = encode_counts(&part(one))?;
    all.extend(encode_counts(&part(other))?);
    Ok(all)
}

/// Reads a datagram that only tells counts; none if it is another one.
pub fn decode_counts(bytes: &[u8]) -> Option<Counts> {
    let (form, counts) = bytes.split_first()?;
    if *form != COUNTS_FORM {
        return None;
    }
    postcard::from_bytes(counts).ok()
}

/// Reads a datagram; none if it has another form.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let (form, message) = bytes.split_first()?;
    if *form != FORM {
        return None;
    }
    postcard::from_bytes(message).ok()
}
