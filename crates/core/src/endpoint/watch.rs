//! Watches endpoints: each is probed by the home of its pool alone, which tells
//! the other entries what it finds.

mod loads;
mod watched;

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::Directory;
use crate::control::action::Action;
use crate::control::directory::Endpoint;
use crate::endpoint::{Message, State, period};
use crate::instance::Load;
use crate::membership::{Member, Members, Standing};
use crate::message;
use crate::name::{self, Incarnation};
use loads::{Pace, Source};
use watched::{LONGEST_PERIOD, Watched};

/// How often an endpoint is probed on average.
pub const PROBE_PERIOD: Millis = Millis(500);
/// How often periods are computed anew from the lifetimes.
const RENEWAL: Millis = Millis::from_secs(60);
/// A changed state is sent once more after this span, should it have been lost.
const REPEAT: Millis = Millis(300);
/// How often an entry whose digest differs is sent all states.
const SYNC_PERIOD: Millis = Millis(1_000);
/// States or reports in one message: it fits in a datagram with the longest names.
const IN_MESSAGE: usize = 8;

/// One entry's watch over endpoints.
#[derive(Debug, Default)]
pub struct Watch {
    watched: BTreeMap<name::Endpoint, Watched>,
    sources: BTreeMap<name::Endpoint, Source>,
    repeats: Vec<(Millis, State)>,
    synced: BTreeMap<Incarnation, Millis>,
    next_loads: Pace,
    next_renewal: Millis,
}

/// What one step works with.
pub struct Step<'a> {
    /// The time.
    pub now: Millis,
    /// The endpoints.
    pub directory: &'a mut Directory,
    /// The entries.
    pub members: &'a Members,
    /// Takes what is to be done.
    pub out: &'a mut Vec<Action>,
}

impl Step<'_> {
    fn send(&mut self, member: &Member, message: Message) {
        let message = message::Message::Endpoint(message);
        self.out.push(Action::Send(member.peer, message));
    }

    fn send_states(&mut self, member: &Member, states: &[State]) {
        for states in states.chunks(IN_MESSAGE) {
            self.send(member, Message::States(states.to_vec()));
        }
    }

    fn tell_all(&mut self, states: &[State]) {
        let others = self.members.others();
        for member in others.filter(|member| member.standing != Standing::Gone) {
            self.send_states(member, states);
        }
    }
}

impl Watch {
    /// Entries or endpoints have come or gone: who probes which may have changed.
    pub fn assign(
        &mut self,
        now: Millis,
        directory: &Directory,
        members: &Members,
        random: &mut ChaCha8Rng,
    ) {
        let own = members.own().incarnation;
        let mut homes: BTreeMap<name::Pool, Option<&Member>> = BTreeMap::new();
        let mut is_ours = |endpoint: &Endpoint| {
            // Each pool's home is worked out once, as that is a hash for each entry.
            let pool = endpoint.first_pool();
            let home = pool.and_then(|pool| {
                *homes
                    .entry(pool)
                    .or_insert_with_key(|pool| members.home(pool))
            });
            home.is_some_and(|home| home.incarnation == own)
        };
        let mut ours = BTreeMap::new();
        for endpoint in directory.iter().filter(|endpoint| is_ours(endpoint)) {
            let old = self.watched.remove(&endpoint.name);
            // Spread, so that probes do not go out all at once.
            let mut first = || now + Millis(random.random_range(0..PROBE_PERIOD.0));
            let watched = old.unwrap_or_else(|| Watched::new(now, first()));
            ours.insert(endpoint.name.clone(), watched);
        }
        self.watched = ours;
        self.renew_periods(now);
        self.sources.retain(|name, _| directory.get(name).is_some());
        self.synced
            .retain(|life, _| members.by_incarnation(*life).is_some());
    }

    /// Time has passed.
    pub fn tick(&mut self, step: &mut Step<'_>) {
        if step.now >= self.next_renewal {
            self.renew_periods(step.now);
        }
        self.probe(step);
        self.repeat(step);
        self.share_loads(step);
    }

    /// Probes endpoints that fail often more often than others, with as many
    /// probes in all.
    fn renew_periods(&mut self, now: Millis) {
        self.next_renewal = now + RENEWAL;
        let lifetimes: Vec<f64> = self
            .watched
            .values()
            .map(|watched| watched.lifetime(now))
            .collect();
        let per_second = lifetimes.len() as f64 * 1_000.0 / PROBE_PERIOD.0 as f64;
        let periods = period::least_latency(&lifetimes, per_second, LONGEST_PERIOD);
        for (watched, period) in self.watched.values_mut().zip(periods) {
            watched.set_period(period);
        }
    }

    fn probe(&mut self, step: &mut Step<'_>) {
        let now = step.now;
        for (name, watched) in &mut self.watched {
            let Some(endpoint) = step.directory.get(name) else {
                continue;
            };
            if watched.due(now) {
                step.out.push(Action::Probe(name.clone(), endpoint.address));
            }
        }
    }

    /// Takes in a probe's answer, or that there was none.
    pub fn probed(&mut self, name: &name::Endpoint, load: Option<Load>, step: &mut Step<'_>) {
        // The pool may have moved to another home meanwhile.
        let Some(watched) = self.watched.get_mut(name) else {
            return;
        };
        let changed = match load {
            Some(load) => watched.answered(name, load, step),
            None => watched.missed(name, step),
        };
        if changed {
            self.renew_periods(step.now);
            self.changed(std::slice::from_ref(name), step);
        }
    }

    /// Tells all entries of endpoints whose state has changed here.
    pub fn changed(&mut self, names: &[name::Endpoint], step: &mut Step<'_>) {
        let states: Vec<State> = names
            .iter()
            .filter_map(|name| step.directory.get(name))
            .map(Endpoint::state)
            .collect();
        step.tell_all(&states);
        let again = step.now + REPEAT;
        self.repeats
            .extend(states.into_iter().map(|state| (again, state)));
    }

    fn repeat(&mut self, step: &mut Step<'_>) {
        let now = step.now;
        let due: Vec<State> = self
            .repeats
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, state)| state)
            .collect();
        step.tell_all(&due);
    }

    /// Takes in a message of another entry.
    pub fn receive(&mut self, from: Incarnation, message: Message, step: &mut Step<'_>) {
        match message {
            Message::States(states) => {
                for state in states {
                    step.directory.merge(&state);
                }
            }
            Message::Loads { at, reports } => {
                for report in reports {
                    self.report(from, at, report, step);
                }
            }
        }
    }

    /// Sends all states to an entry whose digest differs from ours.
    pub fn compare(&mut self, with: &Member, step: &mut Step<'_>) {
        if with.heartbeat.endpoints == step.members.own().heartbeat.endpoints {
            return;
        }
        let last = self.synced.get(&with.incarnation);
        if last.is_some_and(|last| *last + SYNC_PERIOD > step.now) {
            return;
        }
        self.synced.insert(with.incarnation, step.now);
        let states: Vec<State> = step.directory.states().collect();
        step.send_states(with, &states);
    }
}
