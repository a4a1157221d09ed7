//! The actor that owns the control machine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{ActorContext, AsyncContext, Context, Handler, Message, WrapFuture};
use awc::error::PayloadError;
use awc::{Client, ClientResponse};
use bytes::Bytes;
use cadence::prelude::*;
use futures_util::Stream;
use tokio::sync::oneshot;
use woodgap_core::clock::Millis;
use woodgap_core::control::machine::TICK;
use woodgap_core::control::{Action, Ask, Done, Event, Grant, Held, Machine, Outcome, Own};
use woodgap_core::revision::message::parts;
use woodgap_core::{message, name, revision};
use woodgap_platform::endpoint::{LOAD_PATH, Load};

use crate::configuration::in_force::{self, Step};
use crate::control::outbox::Outbox;
use crate::control::{Answer, Snapshot, Socket, meter, stream};
use crate::shared::Shared;
use crate::supervisor::Guard;

/// How long a probe waits for an endpoint's answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often callers' side is shown the members.
const SHOW_PERIOD: Duration = Duration::from_millis(100);
/// How often the control side's counts are sent as gauges.
const REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Wait before a socket that failed is read again.
const SOCKET_BACKOFF: Duration = Duration::from_millis(100);

/// Owns the machine and carries out what it decides.
pub struct Actor {
    machine: Machine,
    shared: Arc<Shared>,
    socket: Arc<Socket>,
    client: Client,
    waiting: HashMap<name::Request, Place>,
    actions: Vec<Action>,
    outbox: Outbox,
    _guard: Guard,
}

impl Actor {
    /// An actor around a new machine.
    pub fn new(machine: Machine, shared: Arc<Shared>, socket: Arc<Socket>, guard: Guard) -> Self {
        let client = Client::builder().timeout(PROBE_TIMEOUT).finish();
        Self {
            machine,
            shared,
            socket,
            client,
            waiting: HashMap::new(),
            actions: Vec::new(),
            outbox: Outbox::default(),
            _guard: guard,
        }
    }

    /// Tells the machine of events and carries out what it wants; what it sends
    /// to one entry goes out together.
    fn tell(&mut self, events: impl IntoIterator<Item = Event>, context: &mut Context<Self>) {
        let mut actions = std::mem::take(&mut self.actions);
        for event in events {
            let now = self.shared.clock.now();
            self.machine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action, context);
            }
        }
        self.actions = actions;
        self.outbox.flush(self.machine.members(), &self.socket);
    }

    fn carry_out(&mut self, action: Action, context: &mut Context<Self>) {
        match action {
            Action::Grant(grant) => {
                let (request, permit) = (grant.request, grant.permit);
                if !self.grant(grant) {
                    context.notify(Tell(Event::Done(unused(request, permit))));
                }
            }
            Action::Refuse(request, refusal) => self.reply(request, Answer::Refuse(refusal)),
            Action::Elsewhere(request, life) => self.reply(request, Answer::Elsewhere(life)),
            Action::Send(to, message) => self.outbox.put(to, message),
            Action::Apply(changes) => {
                let step = self.shared.in_force.apply(&changes);
                stepped(step, context);
            }
            Action::Replace {
                revision,
                documents,
            } => {
                let step = in_force::catalog(revision, &documents)
                    .and_then(|catalog| self.shared.in_force.replace(catalog));
                stepped(step, context);
            }
            Action::SendAll(to) => self.send_all(to),
            Action::Probe(endpoint, address) => self.probe(endpoint, address, context),
            Action::Leave => self.shared.stop(self.shared.clock.now()),
            Action::Stop => {
                log::error!("a later life of this entry has started: stopping this one");
                self.shared.end();
            }
        }
    }

    fn send_all(&mut self, to: SocketAddr) {
        let Some(catalog) = self.shared.in_force.catalog() else {
            return;
        };
        let documents = catalog
            .documents()
            .map(|document| serde_json::to_string(&document));
        let documents: Vec<String> = documents.filter_map(Result::ok).collect();
        for part in parts(catalog.revision(), documents) {
            self.outbox.put(
                to,
                message::Message::Revision(revision::Message::Part(part)),
            );
        }
    }

    /// Hands a grant to its request. False: nobody waits for it any more.
    fn grant(&mut self, grant: Grant) -> bool {
        let Some(Place { ask, reply }) = self.waiting.remove(&grant.request) else {
            return false;
        };
        if grant.degraded {
            // A lost metric is no reason to stop.
            let _ = self.shared.metrics.incr("control.granted_alone");
        }
        let request = grant.request;
        let ledger = self.shared.control.ledger();
        ledger.granted(Held {
            ask,
            permit: grant.permit,
            endpoint: grant.endpoint.clone(),
        });
        let taken = reply.send(Answer::Grant(grant)).is_ok();
        if !taken {
            ledger.ended(request);
        }
        taken
    }

    fn reply(&mut self, request: name::Request, answer: Answer) {
        if let Some(place) = self.waiting.remove(&request) {
            // Whoever asked may have gone meanwhile.
            let _ = place.reply.send(answer);
        }
    }

    fn probe(&self, endpoint: name::Endpoint, address: SocketAddr, context: &mut Context<Self>) {
        let call = self
            .client
            .get(format!("http://{address}{LOAD_PATH}"))
            .send();
        let own = context.address();
        let future = async move {
            let load = match call.await {
                Ok(response) => report(response).await,
                Err(_) => None,
            };
            own.do_send(Tell(Event::Load(endpoint, load)));
        };
        context.spawn(future.into_actor(self));
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let catalog = self.shared.in_force.confirmed(self.shared.clock.now());
        let own = Own {
            revision: catalog.as_ref().map_or(0, |catalog| catalog.revision()),
            ready: catalog.is_some() && !self.shared.stopping(),
            running: self.shared.running.count(),
        };
        self.tell([Event::Own(own), Event::Tick], context);
        if let Some(until) = self.machine.trusted_until() {
            self.shared.in_force.confirm_until(until);
        }
    }

    fn show_members(&self) {
        let members = self.machine.members().iter().cloned().collect();
        self.shared.members.store(Arc::new(members));
    }

    /// Starts reading what other entries send.
    fn listen(&self, context: &mut Context<Self>) {
        let own = context.address();
        let socket = Arc::clone(&self.socket);
        let datagrams = async move {
            if let Err(error) = read_datagrams(&socket, &own).await {
                log::error!(error = error.to_string(); "can't read datagrams");
                tokio::time::sleep(SOCKET_BACKOFF).await;
                own.do_send(Restart);
            }
        };
        context.spawn(datagrams.into_actor(self));
        let own = context.address();
        let socket = Arc::clone(&self.socket);
        let streams = async move {
            if let Err(error) = accept_streams(&socket, &own).await {
                log::error!(error = error.to_string(); "can't accept streams");
                tokio::time::sleep(SOCKET_BACKOFF).await;
                own.do_send(Restart);
            }
        };
        context.spawn(streams.into_actor(self));
    }
}

async fn read_datagrams(socket: &Socket, actor: &actix::Addr<Actor>) -> std::io::Result<()> {
    let udp = socket.datagrams()?;
    loop {
        let frames = socket.receive(&udp).await?;
        let events = frames.into_iter().flat_map(|frame| {
            let from = frame.from;
            let event = move |message| Event::Message(from, message);
            frame.messages.into_iter().map(event)
        });
        actor.do_send(Received(events.collect()));
    }
}

async fn accept_streams(socket: &Arc<Socket>, actor: &actix::Addr<Actor>) -> std::io::Result<()> {
    let listener = socket.listener()?;
    loop {
        let (connection, from) = listener.accept().await?;
        let socket = Arc::clone(socket);
        let actor = actor.clone();
        actix_rt::spawn(async move {
            let hand_on = |life, messages: Vec<message::Message>| {
                let event = |message| Event::Message(life, message);
                actor.do_send(Received(messages.into_iter().map(event).collect()));
            };
            let meter_of = Arc::clone(&socket);
            if let Err(error) = stream::receive(socket, connection, hand_on).await {
                meter_of.meter().refused();
                log::debug!(from = from.to_string(), error = error.to_string(); "stream refused");
            }
        });
    }
}

/// Reports a step that the machine itself wanted.
fn stepped(step: Option<Step>, context: &mut Context<Actor>) {
    if let Some(step) = step {
        context.notify(Tell(step.event()));
    }
}

/// Reads a load report, whatever content type it claims to be.
async fn report<S>(mut response: ClientResponse<S>) -> Option<Load>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let body = response.body().await.ok()?;
    serde_json::from_slice(&body).ok()
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
        self.listen(context);
        // A new machine does not know what an earlier one did, nor that the
        // entry is stopping.
        self.tell(self.shared.control.ledger().events(), context);
        if self.shared.stopping() {
            self.tell([Event::Stop], context);
        }
        // Nor which configuration is in force.
        if let Some(catalog) = self.shared.in_force.catalog() {
            let revision = catalog.revision();
            self.tell(
                [Event::InForce {
                    revision,
                    changes: Vec::new(),
                }],
                context,
            );
        }
        self.show_members();
        context.run_interval(Duration::from_millis(TICK.0), Self::tick);
        context.run_interval(SHOW_PERIOD, |actor, _| actor.show_members());
        context.run_interval(REPORT_PERIOD, |actor, _| {
            meter::report(&actor.socket.meter().read(), &actor.shared.metrics);
        });
    }
}

/// Tells the machine of an event.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Tell(pub Event);

/// Messages that came together.
#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Received(Vec<Event>);

/// Asks for a place; the answer comes through the channel.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Place {
    /// The ask.
    pub ask: Ask,
    /// Takes the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// Asks what the machine knows; the answer comes through the channel.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Look(pub oneshot::Sender<Snapshot>);

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
        self.tell([message.0], context);
    }
}

impl Handler<Received> for Actor {
    type Result = ();

    fn handle(&mut self, message: Received, context: &mut Self::Context) {
        self.tell(message.0, context);
    }
}

impl Handler<Place> for Actor {
    type Result = ();

    fn handle(&mut self, message: Place, context: &mut Self::Context) {
        let ask = message.ask.clone();
        self.waiting.insert(ask.request, message);
        self.tell([Event::Ask(ask)], context);
    }
}

impl Handler<Look> for Actor {
    type Result = ();

    fn handle(&mut self, message: Look, _: &mut Self::Context) {
        let control = self.socket.meter().read();
        // Whoever asked may have gone meanwhile.
        let _ = message.0.send(Snapshot::of(&self.machine, control));
    }
}

impl Handler<Restart> for Actor {
    type Result = ();

    fn handle(&mut self, _: Restart, context: &mut Self::Context) {
        context.stop();
    }
}
