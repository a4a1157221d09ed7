//! Who decides where a request goes: the pools' homes, or each entry alone.

use rand_chacha::ChaCha8Rng;

use crate::control::action::Action;
use crate::control::alone::Alone;
use crate::control::event::{Ask, Done, Event, Held};
use crate::control::machine::Start;
use crate::name;
use crate::permit::{self, Agent, View};

/// Who decides where a request goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The pool's home grants permits in tier order.
    #[default]
    Permits,
    /// Each entry alone: the less loaded of two endpoints drawn at random.
    TwoChoices,
}

/// What a step of dispatch works with.
pub struct Step<'a> {
    /// What the entry knows.
    pub view: View<'a>,
    /// Random numbers.
    pub random: &'a mut ChaCha8Rng,
    /// Takes what is to be done.
    pub out: &'a mut Vec<Action>,
}

/// What changed besides requests and permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// Nothing.
    Nothing,
    /// Entries have come or gone.
    Members,
    /// The platform's list was read.
    Listed,
    /// Endpoints came to be usable, or no longer are.
    Endpoints,
    /// An endpoint reported its load.
    Load(name::Endpoint),
}

impl News {
    /// What an event changes by itself.
    pub fn of(event: &Event) -> Self {
        match event {
            Event::Instances(_) => Self::Listed,
            Event::Load(endpoint, _) => Self::Load(endpoint.clone()),
            _ => Self::Nothing,
        }
    }
}

/// The policy in force, with its state.
#[derive(Debug)]
pub enum Dispatch {
    /// Permits of the pools' homes.
    Permits(Box<Agent>),
    /// Each entry alone.
    Alone(Alone),
}

impl Dispatch {
    /// The policy that a machine starts with.
    pub fn new(start: &Start) -> Self {
        match start.policy {
            Policy::Permits => {
                let own = start.own.incarnation;
                Self::Permits(Box::new(Agent::new(own, start.generation, &start.limits)))
            }
            Policy::TwoChoices => Self::Alone(Alone::new(start.limits.waiting_per_slot)),
        }
    }

    /// The agent of the permits, if they are the policy.
    pub fn agent(&self) -> Option<&Agent> {
        match self {
            Self::Permits(agent) => Some(agent),
            Self::Alone(_) => None,
        }
    }

    /// Requests that run at an endpoint, as far as this entry knows.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        match self {
            Self::Permits(agent) => agent.in_flight(endpoint),
            Self::Alone(alone) => alone.in_flight(endpoint),
        }
    }

    /// Takes a request in.
    pub fn ask(&mut self, ask: Ask, step: &mut Step) {
        match self {
            Self::Permits(agent) => agent.acquire(step.view, ask, step.out),
            Self::Alone(alone) => alone.ask(step.view.directory, step.random, ask, step.out),
        }
        self.go_on(step);
    }

    /// Forgets a waiting request.
    pub fn withdraw(&mut self, request: name::Request, step: &mut Step) {
        match self {
            Self::Permits(agent) => agent.withdraw(step.view, request, step.out),
            Self::Alone(alone) => alone.withdraw(request),
        }
        self.go_on(step);
    }

    /// Takes a permit back.
    pub fn done(&mut self, done: &Done, step: &mut Step) {
        match self {
            Self::Permits(agent) => agent.done(step.view, done, step.out),
            Self::Alone(alone) => alone.done(done),
        }
        self.go_on(step);
    }

    /// Takes in the permits that are older than the machine.
    pub fn restore(&mut self, held: Vec<Held>, step: &mut Step) {
        match self {
            Self::Permits(agent) => agent.restore(step.view, held, step.out),
            Self::Alone(alone) => alone.restore(&held),
        }
    }

    /// Takes in a message of another entry.
    pub fn message(&mut self, from: name::Incarnation, message: &permit::Message, step: &mut Step) {
        if let Self::Permits(agent) = self {
            agent.handle_message(step.view, from, message, step.out);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, step: &mut Step) {
        if let Self::Permits(agent) = self {
            agent.tick(step.view, step.out);
        }
        self.go_on(step);
    }

    /// Takes in what changed.
    pub fn news(&mut self, news: &News, step: &mut Step) {
        if let Self::Permits(agent) = self {
            match news {
                News::Nothing => {}
                News::Members => agent.members_changed(step.view, step.out),
                News::Listed => agent.directory_updated(step.view, step.out),
                News::Endpoints => agent.endpoints_changed(step.view, step.out),
                News::Load(endpoint) => agent.endpoint_changed(step.view, endpoint, step.out),
            }
        } else if *news != News::Nothing {
            self.go_on(step);
        }
    }

    /// Sends on what the baseline could not send before.
    fn go_on(&mut self, step: &mut Step) {
        if let Self::Alone(alone) = self {
            alone.dispatch(step.view.directory, step.random, step.out);
        }
    }
}
