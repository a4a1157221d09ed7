//! Processes the events of the simulated network.

use std::net::SocketAddr;

use rand::Rng;

use woodgap_core::clock::Millis;
use woodgap_core::control::{Action, Done, Outcome};
use woodgap_core::membership::Standing;
use woodgap_core::message::Message;
use woodgap_core::name;
use woodgap_core::permit::{self, Agent, View};

use super::{Event, Network, Node, Status, TICK, incarnation};

impl Network {
    pub fn schedule(&mut self, delay: Millis, event: Event) {
        self.events_scheduled += 1;
        self.events
            .insert((self.now + delay, self.events_scheduled), event);
    }

    pub fn process(&mut self, event: Event) {
        let (Event::Tick(node)
        | Event::Deliver(node, ..)
        | Event::Finish(node, _)
        | Event::StandingChange(node, ..)) = &event;
        let node = *node;
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen && !matches!(event, Event::Tick(_)) {
            self.nodes[node].backlog.push(event);
            return;
        }
        match event {
            Event::Tick(_) => {
                self.schedule(Millis(TICK), Event::Tick(node));
                if !self.nodes[node].frozen {
                    self.with_agent(node, Agent::tick);
                }
            }
            Event::Deliver(_, from, message) => {
                self.with_agent(node, |agent, view, out| {
                    agent.handle_message(view, from, &message, out);
                });
            }
            Event::Finish(_, permit) => self.finish_run(node, permit),
            Event::StandingChange(_, seen, standing) => self.update_standing(node, seen, standing),
        }
    }

    fn update_standing(&mut self, node: usize, seen: usize, standing: Standing) {
        let alive = self.nodes[seen].alive;
        let members = &mut self.nodes[node].members;
        let mut member = members.by_incarnation(incarnation(seen)).unwrap().clone();
        // A killed entry does not come back.
        member.standing = if alive { standing } else { Standing::Gone };
        members.put(member);
        self.with_agent(node, Agent::members_changed);
    }

    fn finish_run(&mut self, node: usize, permit: u64) {
        let Some((request, engine)) = self.nodes[node].running.remove(&permit) else {
            return;
        };
        let engine = self.engines.get_mut(&engine).unwrap();
        engine.running.remove(&(node, permit));
        self.requests.get_mut(&request).unwrap().status = Status::Complete;
        let done = Done {
            request,
            permit,
            outcome: Outcome::Complete,
            tokens: 120,
            first_token: Some(Millis(40)),
            elapsed: Millis(300),
        };
        self.with_agent(node, |agent, view, out| agent.done(view, &done, out));
    }

    pub(super) fn with_agent(
        &mut self,
        node: usize,
        operation: impl FnOnce(&mut Agent, View, &mut Vec<Action>),
    ) {
        let mut out = Vec::new();
        let Node {
            agent,
            members,
            directory,
            ..
        } = &mut self.nodes[node];
        let view = View {
            now: self.now,
            members,
            directory,
        };
        operation(agent, view, &mut out);
        for action in out {
            self.apply(node, action);
        }
    }

    fn apply(&mut self, node: usize, action: Action) {
        match action {
            Action::Grant(grant) => {
                self.answer(grant.request, Status::Running);
                self.requests.get_mut(&grant.request).unwrap().degraded = grant.degraded;
                let homes = self.homes(&grant.endpoint);
                let engine = self.engines.get_mut(&grant.endpoint).unwrap();
                let fresh = engine.running.insert((node, grant.permit));
                assert!(fresh, "permit {} used twice", grant.permit);
                engine.peak = engine.peak.max(engine.running.len());
                engine.homes = engine.homes.max(homes);
                let run = (grant.request, grant.endpoint);
                self.nodes[node].running.insert(grant.permit, run);
                let span = self.random_between(self.service.0, self.service.1);
                self.schedule(Millis(span), Event::Finish(node, grant.permit));
            }
            Action::Refuse(request, refusal) => self.answer(request, Status::Refused(refusal)),
            Action::Elsewhere(request, life) => self.answer(request, Status::Elsewhere(life)),
            Action::Send(to, Message::Permit(message)) => self.send(node, to, &message),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Each request is answered exactly once.
    fn answer(&mut self, request: name::Request, status: Status) {
        let state = self.requests.get_mut(&request).unwrap();
        assert_eq!(
            state.status,
            Status::Waiting,
            "unexpected answer to {request}: {status:?}"
        );
        state.status = status;
        state.granted_at = (status == Status::Running).then_some(self.now);
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &permit::Message) {
        let to = usize::from(to.port() - 1_000);
        self.sent.0 += postcard::to_stdvec(message).unwrap().len();
        self.sent.1 += 1;
        let lost = self.random.random_bool(self.conditions.loss);
        if lost || self.blocked_links.contains(&(from, to)) || (self.drop_filter)(message) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.conditions.duplicate));
        for _ in 0..copies {
            let delay = self.random_between(self.conditions.delay.0, self.conditions.delay.1);
            let message = Box::new(message.clone());
            let deliver = Event::Deliver(to, incarnation(from), message);
            self.schedule(Millis(delay), deliver);
        }
    }
}
