//! What the machine is told.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::instance::{Instance, Load};
use crate::message::Message;
use crate::name;
use crate::revision;
use crate::tier::Tier;

/// A request's ask to be sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub request: name::Request,
    /// The model or service.
    pub target: name::Target,
    /// The workspace.
    pub workspace: name::Workspace,
    /// The workspace's tier.
    pub tier: Tier,
    /// The request's class.
    pub class: name::Class,
    /// The class's weight within the workspace.
    pub weight: u64,
    /// When the class's latency target passes.
    pub deadline: Millis,
    /// Endpoints that failed this request already.
    pub avoid: Vec<name::Endpoint>,
    /// Hash of the prompt's start, so that equal prompts can meet a warm cache; 0 for none.
    pub prefix: u64,
    /// Hash of workspace and identity, the same at every entry; 0 for none.
    pub identity: u64,
}

/// How a granted request ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer came.
    Complete,
    /// The endpoint refused before starting.
    Refused,
    /// The endpoint failed, hung or answered garbage.
    Failed,
    /// The caller went away, or the request was withdrawn.
    Cancelled,
}

/// The end of a granted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// The request.
    pub request: name::Request,
    /// The permit under which it ran.
    pub permit: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens (or calls) that the endpoint produced.
    pub tokens: u64,
    /// From dispatch to the first token, if one came.
    pub first_token: Option<Millis>,
    /// From dispatch to the end.
    pub elapsed: Millis,
}

/// A permit that a request of this entry still uses, as the entry noted it
/// outside the control branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// What was asked for.
    pub ask: Ask,
    /// The permit.
    pub permit: u64,
    /// Where the request runs.
    pub endpoint: name::Endpoint,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A local request asks for an endpoint.
    Ask(Ask),
    /// A local request no longer wants its grant.
    Withdraw(name::Request),
    /// A granted request ended.
    Done(Done),
    /// The control branch was started again: these permits are in use. To be
    /// told after a list of instances, as what is not listed can't be counted.
    Restore(Vec<Held>),
    /// The platform's instance list was read.
    Instances(Vec<Instance>),
    /// An endpoint was probed; none if it did not answer.
    Load(name::Endpoint, Option<Load>),
    /// A message of another entry, named by the life that sent it.
    Message(name::Incarnation, Message),
    /// A configuration was put in force here.
    InForce {
        /// Its revision.
        revision: u64,
        /// The changes that led to it; empty if everything was replaced.
        changes: Vec<revision::message::Change>,
    },
    /// The change log was read to its end, by a read sent at this time.
    LogRead(Millis),
    /// An operator wants an instance to take no new work.
    Drain(String),
    /// What the other entries shall know of this one.
    Own(Own),
    /// A planned stop begins: no new work.
    Stop,
    /// The planned stop is done; the process ends.
    End,
}

/// What the other entries shall know of this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// The revision of the configuration in force; 0 before the first.
    pub revision: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Requests that it has taken and not yet ended.
    pub running: u32,
}
