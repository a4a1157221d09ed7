//! The states of a request; only the moves that make sense exist.

use std::rc::Rc;

use woodgap_core::clock::Millis;
use woodgap_core::config::catalog::{Class, Workspace};
use woodgap_core::config::document::Measure;
use woodgap_core::control::{Ask, Grant, Outcome};
use woodgap_core::name;
use woodgap_core::tier::Tier;

use crate::control::{Answer, Permit};
use crate::request::{Call, Problem};
use crate::shared::Shared;

/// What stays the same through a request's life.
#[derive(Clone, Debug)]
pub struct Head {
    /// The request's name.
    pub id: name::Request,
    /// The workspace that sent it.
    pub workspace: name::Workspace,
    /// The workspace's tier when it came.
    pub tier: Tier,
    /// Its class.
    pub class: name::Class,
    /// The class's weight.
    pub weight: u64,
    /// The model or service.
    pub target: name::Target,
    /// When it came.
    pub arrived: Millis,
    /// The class's latency target.
    pub latency: Millis,
    /// What the target measures.
    pub measure: Measure,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Hash of the prompt's start; 0 for none.
    pub prefix: u64,
    /// Hash of workspace and identity; 0 for none.
    pub identity: u64,
    /// What is sent to the endpoint.
    pub call: Call,
}

impl Head {
    /// The head of a request that has just come, without prefix and identity.
    pub fn new(
        shared: &Shared,
        workspace: &Workspace,
        class: (&name::Class, &Class),
        target: name::Target,
        call: Call,
    ) -> Self {
        let (name, class) = class;
        Self {
            id: shared.next_request(),
            workspace: workspace.name.clone(),
            tier: workspace.tier,
            class: name.clone(),
            weight: class.weight,
            target,
            arrived: shared.clock.now(),
            latency: class.target,
            measure: class.measure,
            repeatable: class.repeatable,
            prefix: 0,
            identity: 0,
            call,
        }
    }
}

/// Endpoints that a request avoids at most, the last ones that failed it: they
/// travel with each ask.
const AVOIDED: usize = 8;

/// Why there is no place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Declined {
    /// The pool refused.
    Refused(Problem),
    /// The identity waits or runs at this life of an entry.
    Elsewhere(name::Incarnation),
}

/// A request in one of its states.
pub struct Request<S> {
    /// What stays the same.
    pub head: Rc<Head>,
    /// Endpoints that failed it.
    avoid: Vec<name::Endpoint>,
    state: S,
}

/// Waits for a place.
pub struct Received;

/// Has a place at an endpoint.
pub struct Granted {
    permit: Permit,
}

impl Request<Received> {
    /// A request that has just come.
    pub fn new(head: Head) -> Self {
        Self {
            head: Rc::new(head),
            avoid: Vec::new(),
            state: Received,
        }
    }

    /// Asks for a place.
    ///
    /// # Errors
    ///
    /// The request as it was, and why there is none.
    pub async fn ask(self, shared: &Shared) -> Result<Request<Granted>, (Self, Declined)> {
        let head = &self.head;
        let ask = Ask {
            request: head.id,
            target: head.target.clone(),
            workspace: head.workspace.clone(),
            tier: head.tier,
            class: head.class.clone(),
            weight: head.weight,
            deadline: head.arrived + head.latency,
            avoid: self.avoid.clone(),
            prefix: head.prefix,
            identity: head.identity,
        };
        match shared.control.ask(ask).await {
            Answer::Grant(grant) => Ok(self.granted(grant, shared)),
            Answer::Refuse(refusal) => Err((self, Declined::Refused(refusal.into()))),
            Answer::Elsewhere(life) => Err((self, Declined::Elsewhere(life))),
        }
    }

    fn granted(self, grant: Grant, shared: &Shared) -> Request<Granted> {
        let permit = Permit::new(grant, shared.control.clone(), shared.clock);
        Request {
            head: self.head,
            avoid: self.avoid,
            state: Granted { permit },
        }
    }
}

impl Request<Granted> {
    /// The place, for the attempt that uses it.
    pub fn permit(&mut self) -> &mut Permit {
        &mut self.state.permit
    }

    /// Gives the place back after an attempt; the request can wait again.
    pub fn give_back(mut self, outcome: Outcome) -> Request<Received> {
        let permit = self.state.permit;
        if matches!(outcome, Outcome::Refused | Outcome::Failed) {
            avoid(&mut self.avoid, permit.endpoint());
        }
        permit.finish(outcome);
        Request {
            head: self.head,
            avoid: self.avoid,
            state: Received,
        }
    }
}

/// Adds an endpoint to those avoided, the oldest of which may go.
fn avoid(avoided: &mut Vec<name::Endpoint>, endpoint: &name::Endpoint) {
    avoided.retain(|known| known != endpoint);
    avoided.push(endpoint.clone());
    if avoided.len() > AVOIDED {
        avoided.remove(0);
    }
}
