//! The permit protocol of one entry: both sides, and what goes between them.

use crate::clock::Millis;
use crate::control::Directory;
use crate::control::action::Action;
use crate::control::event::{Ask, Done, Held};
use crate::membership::Members;
use crate::message;
use crate::name::{self, Incarnation};
use crate::permit::broker::{Broker, Step};
use crate::permit::home::Home;
use crate::permit::message::{Call, Message, Reply};
use crate::permit::post::{Local, Receipt};
use crate::permit::{Context, Id, Post, Topology};
use crate::pool::Limits;

/// What an entry knows at one moment, besides the protocol's own state.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The time.
    pub now: Millis,
    /// The entries.
    pub members: &'a Members,
    /// The endpoints.
    pub directory: &'a Directory,
}

/// Asks for places, and grants those of the pools that this entry is home to.
#[derive(Debug)]
pub struct Agent {
    topology: Topology,
    post: Post,
    broker: Broker,
    home: Home,
}

impl Agent {
    /// An agent that knows no pools yet. The generation counts the restarts of
    /// the control branch within this life of the entry.
    pub fn new(own: Incarnation, generation: u32, limits: &Limits) -> Self {
        Self {
            topology: Topology::default(),
            post: Post::new(own, generation),
            broker: Broker::new(limits.clone(), generation),
            home: Home::new(limits.clone(), generation),
        }
    }

    /// The asking side.
    pub fn broker(&self) -> &Broker {
        &self.broker
    }

    /// The home side.
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// A local request asks for a place.
    pub fn acquire(&mut self, view: View, ask: Ask, out: &mut Vec<Action>) {
        self.step(view, out, |broker, step| broker.ask(step, ask));
    }

    /// Takes in the permits that are older than this agent.
    pub fn restore(&mut self, view: View, held: Vec<Held>, out: &mut Vec<Action>) {
        self.step(view, out, |broker, step| broker.restore(step, held));
    }

    /// A local request no longer wants a place.
    pub fn withdraw(&mut self, view: View, request: name::Request, out: &mut Vec<Action>) {
        self.step(view, out, |broker, step| broker.withdraw(step, request));
    }

    /// A granted request ended.
    pub fn done(&mut self, view: View, done: &Done, out: &mut Vec<Action>) {
        self.step(view, out, |broker, step| broker.done(step, done));
    }

    /// Time has passed.
    pub fn tick(&mut self, view: View, out: &mut Vec<Action>) {
        let context = view.context(&self.topology);
        let silent = self.post.newly_silent(view.now);
        self.home.tick(&context, &mut self.post);
        let mut step = Step {
            context,
            post: &mut self.post,
            out,
        };
        for peer in silent {
            self.broker.silent(&mut step, peer);
        }
        self.broker.tick(&mut step);
        self.finish(view, out, true);
    }

    /// The platform's list was read: endpoints may have come, gone or moved.
    pub fn directory_updated(&mut self, view: View, out: &mut Vec<Action>) {
        self.topology.update_pools(view.directory, view.members);
        self.update(view, out);
    }

    /// Entries have come or gone.
    pub fn members_changed(&mut self, view: View, out: &mut Vec<Action>) {
        self.topology.update_homes(view.members);
        self.update(view, out);
    }

    /// The state or the load of an endpoint has changed.
    pub fn endpoint_changed(
        &mut self,
        view: View,
        endpoint: &name::Endpoint,
        out: &mut Vec<Action>,
    ) {
        let Some(endpoint) = view.directory.get(endpoint) else {
            return;
        };
        let context = view.context(&self.topology);
        for target in &endpoint.targets {
            let pool = name::Pool {
                target: target.clone(),
                data_centre: endpoint.data_centre.clone(),
            };
            let id = Id::of_pool(&pool);
            self.home
                .update_endpoints(&context, &mut self.post, Some(id));
        }
        self.finish(view, out, false);
    }

    /// Some endpoints came to be usable, or no longer are.
    pub fn endpoints_changed(&mut self, view: View, out: &mut Vec<Action>) {
        let context = view.context(&self.topology);
        self.home.update_endpoints(&context, &mut self.post, None);
        self.finish(view, out, false);
    }

    /// Requests that run at an endpoint: all of them if this entry is home to
    /// its pool, else the own ones.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        self.home
            .in_flight(endpoint)
            .max(self.broker.in_flight(endpoint))
    }

    /// Takes in a message of another entry.
    pub fn handle_message(
        &mut self,
        view: View,
        from: Incarnation,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        if !view.context(&self.topology).alive(from) {
            return;
        }
        let Some(receipt) = self.post.receive(view.now, from, message) else {
            return;
        };
        for call in &message.calls {
            self.call(view, from, receipt, call);
        }
        // Nothing may be sent before all replies are taken in: what is sent
        // says that this message was seen.
        for reply in &message.replies {
            self.reply(view, from, receipt, reply, out);
        }
        if receipt.back {
            self.step(view, out, Broker::rejoin);
        }
        self.finish(view, out, false);
    }

    fn update(&mut self, view: View, out: &mut Vec<Action>) {
        let context = view.context(&self.topology);
        self.post.forget_all_but(|entry| context.alive(entry));
        self.home.update(&context, &mut self.post);
        self.step(view, out, Broker::update);
    }

    /// One step of the asking side, and what follows from it.
    fn step(
        &mut self,
        view: View,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut Broker, &mut Step),
    ) {
        let mut step = Step {
            context: view.context(&self.topology),
            post: &mut self.post,
            out,
        };
        act(&mut self.broker, &mut step);
        self.finish(view, out, false);
    }

    /// Carries out what the two sides say to one another, then sends what is due.
    fn finish(&mut self, view: View, out: &mut Vec<Action>, tick: bool) {
        let own = self.post.own();
        while let Some(local) = self.post.next_local() {
            match local {
                Local::Call(call) => self.call(view, own, Receipt::OWN, &call),
                Local::Reply(reply) => self.reply(view, own, Receipt::OWN, &reply, out),
            }
        }
        for (to, message) in self.post.flush(view.now, tick) {
            if let Some(member) = view.members.by_incarnation(to) {
                out.push(Action::Send(member.peer, message::Message::Permit(message)));
            }
        }
    }

    fn call(&mut self, view: View, from: Incarnation, receipt: Receipt, call: &Call) {
        let context = view.context(&self.topology);
        let (home, post) = (&mut self.home, &mut self.post);
        match call {
            Call::Ask(ask) => home.ask(&context, post, from, ask),
            Call::End(end) => home.end(&context, post, from, end),
            Call::Digest(digest) => home.digest(view.now, post, from, receipt, *digest),
            Call::Sync(sync) => home.sync(&context, post, from, receipt, sync),
            Call::Usage(usage) => home.usage(&context, post, from, receipt, usage),
        }
    }

    fn reply(
        &mut self,
        view: View,
        from: Incarnation,
        receipt: Receipt,
        reply: &Reply,
        out: &mut Vec<Action>,
    ) {
        let broker = &mut self.broker;
        let step = &mut Step {
            context: view.context(&self.topology),
            post: &mut self.post,
            out,
        };
        match reply {
            Reply::Grant(grant) => broker.grant(step, from, receipt, grant),
            Reply::Queued(number) => broker.queued(from, *number),
            Reply::Shed(number, span) => broker.turned_down(step, from, *number, Some(*span)),
            Reply::NoEndpoint(number) => broker.turned_down(step, from, *number, None),
            Reply::NotHome(number, hint) => broker.not_home(step, from, *number, *hint),
            Reply::Elsewhere(number, at) => broker.elsewhere(step, from, *number, *at),
            Reply::Unknown(number) => broker.unknown(step, from, *number),
            Reply::Agreed(number) => broker.agreed(from, *number),
            Reply::Resync => broker.resync(step, from),
            Reply::Claim(pool) => broker.claim(step, from, *pool),
            Reply::Loan(loan) => broker.loan(step, from, receipt, loan),
            Reply::Recall(pool, loan) => broker.recall(step, from, *pool, *loan),
        }
    }
}

impl<'a> View<'a> {
    fn context(self, topology: &'a Topology) -> Context<'a> {
        Context {
            now: self.now,
            members: self.members,
            directory: self.directory,
            topology,
        }
    }
}
