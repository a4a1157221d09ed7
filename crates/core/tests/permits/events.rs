//! What happens in the network, and what entries do about it.

use std::net::SocketAddr;

use rand::Rng;

use woodgap_core::clock::Millis;
use woodgap_core::control::{Action, Done, Outcome};
use woodgap_core::membership::Standing;
use woodgap_core::message::Message;
use woodgap_core::name;
use woodgap_core::permit::{self, Agent, View};

use super::{Fate, Network, Node, TICK, What, incarnation};

impl Network {
    pub fn schedule(&mut self, delay: Millis, what: What) {
        self.scheduled += 1;
        self.agenda.insert((self.now + delay, self.scheduled), what);
    }

    pub fn happen(&mut self, what: What) {
        let (What::Tick(node)
        | What::Deliver(node, ..)
        | What::Finish(node, _)
        | What::See(node, ..)) = &what;
        let node = *node;
        if !self.nodes[node].alive {
            return;
        }
        if self.nodes[node].frozen && !matches!(what, What::Tick(_)) {
            self.nodes[node].backlog.push(what);
            return;
        }
        match what {
            What::Tick(_) => {
                self.schedule(Millis(TICK), What::Tick(node));
                if !self.nodes[node].frozen {
                    self.act(node, Agent::tick);
                }
            }
            What::Deliver(_, from, message) => {
                self.act(node, |agent, view, out| {
                    agent.handle_message(view, from, &message, out);
                });
            }
            What::Finish(_, permit) => self.finish(node, permit),
            What::See(_, seen, standing) => self.seen(node, seen, standing),
        }
    }

    fn seen(&mut self, node: usize, seen: usize, standing: Standing) {
        let alive = self.nodes[seen].alive;
        let members = &mut self.nodes[node].members;
        let mut member = members.by_incarnation(incarnation(seen)).unwrap().clone();
        // A killed entry does not come back.
        member.standing = if alive { standing } else { Standing::Gone };
        members.put(member);
        self.act(node, Agent::members_changed);
    }

    fn finish(&mut self, node: usize, permit: u64) {
        let Some((request, engine)) = self.nodes[node].running.remove(&permit) else {
            return;
        };
        let engine = self.engines.get_mut(&engine).unwrap();
        engine.running.remove(&(node, permit));
        self.requests.get_mut(&request).unwrap().fate = Fate::Complete;
        let done = Done {
            request,
            permit,
            outcome: Outcome::Complete,
            tokens: 120,
            first_token: Some(Millis(40)),
            elapsed: Millis(300),
        };
        self.act(node, |agent, view, out| agent.done(view, &done, out));
    }

    pub(super) fn act(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Agent, View, &mut Vec<Action>),
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
        act(agent, view, &mut out);
        for action in out {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        match action {
            Action::Grant(grant) => {
                self.answer(grant.request, Fate::Running);
                self.requests.get_mut(&grant.request).unwrap().alone = grant.degraded;
                let homes = self.homes(&grant.endpoint);
                let engine = self.engines.get_mut(&grant.endpoint).unwrap();
                let fresh = engine.running.insert((node, grant.permit));
                assert!(fresh, "permit {} used twice", grant.permit);
                engine.peak = engine.peak.max(engine.running.len());
                engine.homes = engine.homes.max(homes);
                let run = (grant.request, grant.endpoint);
                self.nodes[node].running.insert(grant.permit, run);
                let span = self.draw(self.service.0, self.service.1);
                self.schedule(Millis(span), What::Finish(node, grant.permit));
            }
            Action::Refuse(request, refusal) => self.answer(request, Fate::Refused(refusal)),
            Action::Elsewhere(request, life) => self.answer(request, Fate::Elsewhere(life)),
            Action::Send(to, Message::Permit(message)) => self.send(node, to, &message),
            other => panic!("unexpected {other:?}"),
        }
    }

    /// Each ask has one answer.
    fn answer(&mut self, request: name::Request, fate: Fate) {
        let state = self.requests.get_mut(&request).unwrap();
        assert_eq!(state.fate, Fate::Waiting, "{request} is answered {fate:?}");
        state.fate = fate;
        state.granted = (fate == Fate::Running).then_some(self.now);
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &permit::Message) {
        let to = usize::from(to.port() - 1_000);
        self.sent.0 += postcard::to_stdvec(message).unwrap().len();
        self.sent.1 += 1;
        let lost = self.random.random_bool(self.weather.loss);
        if lost || self.cut.contains(&(from, to)) || (self.filter)(message) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.weather.duplicate));
        for _ in 0..copies {
            let delay = self.draw(self.weather.delay.0, self.weather.delay.1);
            let message = Box::new(message.clone());
            let deliver = What::Deliver(to, incarnation(from), message);
            self.schedule(Millis(delay), deliver);
        }
    }
}
