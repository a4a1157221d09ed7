//! The permit protocol of one entry: its broker, its home side, and the messages
//! between them and other entries.

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
use crate::permit::transport::{Loopback, Receipt};
use crate::permit::{Context, NameHash, Topology, Transport};
use crate::pool::Limits;

/// The state outside the protocol that an entry has at one moment.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The current time.
    pub now: Millis,
    /// The entries of the fleet.
    pub members: &'a Members,
    /// The endpoints.
    pub directory: &'a Directory,
}

/// Requests permits for this entry's requests, and grants permits for the pools
/// whose home this entry is.
#[derive(Debug)]
pub struct Agent {
    topology: Topology,
    transport: Transport,
    broker: Broker,
    home: Home,
}

impl Agent {
    /// Creates an agent that knows no pools yet. The generation counts the
    /// restarts of the control branch within this incarnation of the entry.
    pub fn new(own: Incarnation, generation: u32, limits: &Limits) -> Self {
        Self {
            topology: Topology::default(),
            transport: Transport::new(own, generation),
            broker: Broker::new(limits.clone(), generation),
            home: Home::new(limits.clone(), generation),
        }
    }

    /// Returns the requesting side.
    pub fn broker(&self) -> &Broker {
        &self.broker
    }

    /// Returns the home side.
    pub fn home(&self) -> &Home {
        &self.home
    }

    /// Requests a permit for a local request.
    pub fn acquire(&mut self, view: View, ask: Ask, out: &mut Vec<Action>) {
        self.run_broker(view, out, |broker, step| broker.acquire(step, ask));
    }

    /// Restores the permits that were granted before this agent was created.
    pub fn restore(&mut self, view: View, held: Vec<Held>, out: &mut Vec<Action>) {
        self.run_broker(view, out, |broker, step| broker.restore(step, held));
    }

    /// Withdraws a local request that no longer needs a permit.
    pub fn withdraw(&mut self, view: View, request: name::Request, out: &mut Vec<Action>) {
        self.run_broker(view, out, |broker, step| broker.withdraw(step, request));
    }

    /// Releases the permit of a request that has ended.
    pub fn done(&mut self, view: View, done: &Done, out: &mut Vec<Action>) {
        self.run_broker(view, out, |broker, step| broker.done(step, done));
    }

    /// Runs the periodic work: timeouts, retransmissions and messages that are
    /// due.
    pub fn tick(&mut self, view: View, out: &mut Vec<Action>) {
        let context = view.context(&self.topology);
        let unresponsive = self.transport.newly_unresponsive(view.now);
        self.home.tick(&context, &mut self.transport);
        let mut step = Step {
            context,
            transport: &mut self.transport,
            out,
        };
        for peer in unresponsive {
            self.broker.peer_unresponsive(&mut step, peer);
        }
        self.broker.tick(&mut step);
        self.flush(view, out, true);
    }

    /// Rebuilds the topology after the platform's list of endpoints was read.
    pub fn directory_updated(&mut self, view: View, out: &mut Vec<Action>) {
        self.topology.update_pools(view.directory, view.members);
        self.apply_changes(view, out);
    }

    /// Recomputes the homes after entries have joined or left.
    pub fn members_changed(&mut self, view: View, out: &mut Vec<Action>) {
        self.topology.update_homes(view.members);
        self.apply_changes(view, out);
    }

    /// Updates the pools of an endpoint whose state or load has changed.
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
            let id = NameHash::of_pool(&pool);
            self.home
                .update_endpoints(&context, &mut self.transport, Some(id));
        }
        self.flush(view, out, false);
    }

    /// Updates all pools after endpoints have become usable or unusable.
    pub fn endpoints_changed(&mut self, view: View, out: &mut Vec<Action>) {
        let context = view.context(&self.topology);
        self.home
            .update_endpoints(&context, &mut self.transport, None);
        self.flush(view, out, false);
    }

    /// Returns the number of requests running at an endpoint: all of them if
    /// this entry is the home of its pool, otherwise only its own.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        self.home
            .in_flight(endpoint)
            .max(self.broker.in_flight(endpoint))
    }

    /// Processes a message from another entry.
    pub fn handle_message(
        &mut self,
        view: View,
        from: Incarnation,
        message: &Message,
        out: &mut Vec<Action>,
    ) {
        if !view.context(&self.topology).is_alive(from) {
            return;
        }
        let Some(receipt) = self.transport.receive(view.now, from, message) else {
            return;
        };
        for call in &message.calls {
            self.handle_call(view, from, receipt, call);
        }
        // Nothing may be sent before all replies are processed, because each
        // message that is sent acknowledges this one.
        for reply in &message.replies {
            self.handle_reply(view, from, receipt, reply, out);
        }
        if receipt.reconnected {
            self.run_broker(view, out, Broker::leave_fallback);
        }
        self.flush(view, out, false);
    }

    fn apply_changes(&mut self, view: View, out: &mut Vec<Action>) {
        let context = view.context(&self.topology);
        self.transport.retain_peers(|entry| context.is_alive(entry));
        self.home.topology_changed(&context, &mut self.transport);
        self.run_broker(view, out, Broker::topology_changed);
    }

    /// Runs one operation of the broker and then delivers what follows from it.
    fn run_broker(
        &mut self,
        view: View,
        out: &mut Vec<Action>,
        operation: impl FnOnce(&mut Broker, &mut Step),
    ) {
        let mut step = Step {
            context: view.context(&self.topology),
            transport: &mut self.transport,
            out,
        };
        operation(&mut self.broker, &mut step);
        self.flush(view, out, false);
    }

    /// Delivers messages between the two local sides until none is left, then
    /// sends the messages that are due.
    fn flush(&mut self, view: View, out: &mut Vec<Action>, tick: bool) {
        let own = self.transport.own();
        while let Some(loopback) = self.transport.next_loopback() {
            match loopback {
                Loopback::Call(call) => self.handle_call(view, own, Receipt::OWN, &call),
                Loopback::Reply(reply) => self.handle_reply(view, own, Receipt::OWN, &reply, out),
            }
        }
        for (to, message) in self.transport.flush(view.now, tick) {
            if let Some(member) = view.members.by_incarnation(to) {
                out.push(Action::Send(member.peer, message::Message::Permit(message)));
            }
        }
    }

    fn handle_call(&mut self, view: View, from: Incarnation, receipt: Receipt, call: &Call) {
        let context = view.context(&self.topology);
        let (home, transport) = (&mut self.home, &mut self.transport);
        match call {
            Call::Acquire(acquire) => home.acquire(&context, transport, from, acquire),
            Call::Release(release) => home.release(&context, transport, from, release),
            Call::Digest(digest) => home.digest(view.now, transport, from, receipt, *digest),
            Call::Sync(sync) => home.sync(&context, transport, from, receipt, sync),
            Call::Usage(usage) => home.usage(&context, transport, from, receipt, usage),
        }
    }

    fn handle_reply(
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
            transport: &mut self.transport,
            out,
        };
        match reply {
            Reply::Grant(grant) => broker.grant(step, from, receipt, grant),
            Reply::Queued(number) => broker.queued(from, *number),
            Reply::Shed(number, delay) => broker.rejected(step, from, *number, Some(*delay)),
            Reply::NoEndpoint(number) => broker.rejected(step, from, *number, None),
            Reply::NotHome(number, hint) => broker.not_home(step, from, *number, *hint),
            Reply::IdentityInUse(number, at) => broker.identity_in_use(step, from, *number, *at),
            Reply::Unknown(number) => broker.unknown(step, from, *number),
            Reply::DigestMatched(number) => broker.digest_matched(from, *number),
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
