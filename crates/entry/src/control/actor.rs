//! The actor that owns the control machine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::{ActorContext, AsyncContext, Context, Handler, Message, WrapFuture};
use awc::Client;
use tokio::sync::oneshot;
use woodgap_core::clock::Millis;
use woodgap_core::control::machine::TICK;
use woodgap_core::control::{Action, Ask, Done, Event, Machine, Outcome};
use woodgap_core::name;
use woodgap_platform::clock::Clock;
use woodgap_platform::endpoint::{LOAD_PATH, Load};

use crate::control::Answer;
use crate::control::handle::Known;
use crate::supervisor::Guard;

/// How long a probe waits for an endpoint's answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Owns the machine and carries out what it decides.
pub struct Actor {
    machine: Machine,
    clock: Clock,
    client: Client,
    waiting: HashMap<name::Request, oneshot::Sender<Answer>>,
    actions: Vec<Action>,
    known: Known,
    _guard: Guard,
}

impl Actor {
    /// An actor around a new machine, which begins with the last instance list
    /// known: requests that come before the next one need not be refused.
    pub fn new(machine: Machine, clock: Clock, known: Known, guard: Guard) -> Self {
        let client = Client::builder().timeout(PROBE_TIMEOUT).finish();
        Self {
            machine,
            clock,
            client,
            waiting: HashMap::new(),
            actions: Vec::new(),
            known,
            _guard: guard,
        }
    }

    fn tell(&mut self, event: Event, context: &mut Context<Self>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.machine.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(action, context);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action, context: &mut Context<Self>) {
        match action {
            Action::Grant(grant) => {
                let (request, permit) = (grant.request, grant.permit);
                if !self.reply(request, Answer::Grant(grant)) {
                    context.notify(Tell(Event::Done(unused(request, permit))));
                }
            }
            Action::Refuse(request, refusal) => {
                self.reply(request, Answer::Refuse(refusal));
            }
            // TODO: there is no socket to other entries yet.
            Action::Send(_, _) => {}
            Action::Probe(endpoint, address) => self.probe(endpoint, address, context),
        }
    }

    fn reply(&mut self, request: name::Request, answer: Answer) -> bool {
        let Some(sender) = self.waiting.remove(&request) else {
            return false;
        };
        sender.send(answer).is_ok()
    }

    fn probe(&self, endpoint: name::Endpoint, address: SocketAddr, context: &mut Context<Self>) {
        let call = self
            .client
            .get(format!("http://{address}{LOAD_PATH}"))
            .send();
        let own = context.address();
        let future = async move {
            let load = match call.await {
                Ok(mut response) => response.json::<Load>().await.ok(),
                Err(_) => None,
            };
            own.do_send(Tell(Event::Load(endpoint, load)));
        };
        context.spawn(future.into_actor(self));
    }
}

/// The end of a grant that nobody waits for any more.
fn unused(request: name::Request, permit: u64) -> Done {
    Done {
        request,
        permit,
        outcome: Outcome::Cancelled,
        tokens: 0,
        first_token: None,
        elapsed: Millis::ZERO,
    }
}

impl actix::Actor for Actor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        if let Some(instances) = self.known.load_full() {
            self.tell(Event::Instances(instances.to_vec()), context);
        }
        context.run_interval(Duration::from_millis(TICK.0), |actor, context| {
            actor.tell(Event::Tick, context);
        });
    }
}

/// Tells the machine of an event.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Tell(pub Event);

/// Asks for a place; the answer comes through the channel.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Place {
    /// The ask.
    pub ask: Ask,
    /// Takes the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// Ends the actor; the supervisor starts a new one.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Restart;

impl Handler<Tell> for Actor {
    type Result = ();

    fn handle(&mut self, message: Tell, context: &mut Self::Context) {
        if let Event::Withdraw(request) = &message.0 {
            self.waiting.remove(request);
        }
        self.tell(message.0, context);
    }
}

impl Handler<Place> for Actor {
    type Result = ();

    fn handle(&mut self, message: Place, context: &mut Self::Context) {
        self.waiting.insert(message.ask.request, message.reply);
        self.tell(Event::Ask(message.ask), context);
    }
}

impl Handler<Restart> for Actor {
    type Result = ();

    fn handle(&mut self, _: Restart, context: &mut Self::Context) {
        context.stop();
    }
}
