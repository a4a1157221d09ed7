//! Watches endpoints: each is probed by the home of its pool alone, which tells
//! the other entries what it finds.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::Directory;
use crate::control::action::Action;
use crate::control::directory::Endpoint;
use crate::endpoint::{Message, Report, State};
use crate::instance::{self, Load};
use crate::membership::{Member, Members, Standing};
use crate::message;
use crate::name::{self, Incarnation};

/// How often each endpoint is probed.
pub const PROBE_PERIOD: Millis = Millis(500);
/// How long a probe's outcome is waited for; above any timeout of it.
const LOST: Millis = Millis::from_secs(5);
/// Missed probes in a row after which an endpoint gets no new work.
const MISSED_PROBES: u32 = 2;
/// How long an endpoint must say that it is live before a mark that it is
/// leaving is taken back; above the lag of any load report.
const LIVE_AGAIN: Millis = Millis::from_secs(10);
/// A changed state is sent once more after this span, should it have been lost.
const REPEAT: Millis = Millis(300);
/// Load reports go to this many entries each period; with more entries the
/// period grows, so that the bytes a second do not.
const LOAD_RECEIVERS: usize = 16;
/// Load reports that did not change are sent again after this span.
const LOAD_REFRESH: Millis = Millis::from_secs(2);
/// How often an entry whose digest differs is sent all states.
const SYNC_PERIOD: Millis = Millis(1_000);
/// States or reports in one message: it fits in a datagram with the longest names.
const IN_MESSAGE: usize = 8;

/// An endpoint that this entry probes.
#[derive(Debug)]
struct Watched {
    next: Millis,
    /// Until when an answer is waited for.
    waiting: Option<Millis>,
    missed: u32,
    live_since: Option<Millis>,
    sequence: u32,
    shared: Option<(Millis, Load)>,
}

/// Where a load report came from.
#[derive(Clone, Copy, Debug)]
struct Source {
    from: Incarnation,
    sequence: u32,
    at: Millis,
}

/// One entry's watch over endpoints.
#[derive(Debug, Default)]
pub struct Watch {
    watched: BTreeMap<name::Endpoint, Watched>,
    sources: BTreeMap<name::Endpoint, Source>,
    repeats: Vec<(Millis, State)>,
    synced: BTreeMap<Incarnation, Millis>,
    next_loads: Millis,
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
        let is_ours = |endpoint: &Endpoint| {
            let home = endpoint.first_pool().and_then(|pool| members.home(&pool));
            home.is_some_and(|home| home.incarnation == own)
        };
        let mut ours = BTreeMap::new();
        for endpoint in directory.iter().filter(|endpoint| is_ours(endpoint)) {
            let old = self.watched.remove(&endpoint.name);
            let watched = old.unwrap_or_else(|| Watched {
                // Spread, so that probes do not go out all at once.
                next: now + Millis(random.random_range(0..PROBE_PERIOD.0)),
                waiting: None,
                missed: 0,
                live_since: None,
                sequence: 0,
                shared: None,
            });
            ours.insert(endpoint.name.clone(), watched);
        }
        self.watched = ours;
        self.sources.retain(|name, _| directory.get(name).is_some());
        self.synced
            .retain(|life, _| members.by_incarnation(*life).is_some());
    }

    /// Time has passed.
    pub fn tick(&mut self, step: &mut Step<'_>) {
        self.probe(step);
        self.repeat(step);
        if step.now >= self.next_loads {
            self.share_loads(step);
        }
    }

    fn probe(&mut self, step: &mut Step<'_>) {
        let now = step.now;
        for (name, watched) in &mut self.watched {
            let Some(endpoint) = step.directory.get(name) else {
                continue;
            };
            let waits = watched.waiting.is_some_and(|until| now < until);
            if waits || watched.next > now {
                continue;
            }
            watched.waiting = Some(now + LOST);
            watched.next = now + PROBE_PERIOD;
            step.out.push(Action::Probe(name.clone(), endpoint.address));
        }
    }

    /// Takes in a probe's answer, or that there was none.
    pub fn probed(&mut self, name: &name::Endpoint, load: Option<Load>, step: &mut Step<'_>) {
        // The pool may have moved to another home meanwhile.
        let Some(watched) = self.watched.get_mut(name) else {
            return;
        };
        watched.waiting = None;
        let changed = match load {
            Some(load) => watched.answered(name, load, step),
            None => watched.missed(name, step),
        };
        if changed {
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
            Message::Loads(reports) => {
                for report in reports {
                    self.report(from, report, step);
                }
            }
        }
    }

    /// Takes in another entry's load report, unless a newer one is known.
    fn report(&mut self, from: Incarnation, report: Report, step: &mut Step<'_>) {
        if self.watched.contains_key(&report.endpoint) {
            return;
        }
        let known = self.sources.get(&report.endpoint);
        let newer = known.is_none_or(|known| {
            if known.from == from {
                known.sequence < report.sequence
            } else {
                // The pool has another home now, or had: the old one's last
                // words may be on their way still.
                known.at + PROBE_PERIOD <= step.now
            }
        });
        if !newer {
            return;
        }
        let source = Source {
            from,
            sequence: report.sequence,
            at: step.now,
        };
        self.sources.insert(report.endpoint.clone(), source);
        step.directory
            .loaded(step.now, &report.endpoint, report.load);
    }

    /// Sends all states to an entry whose digest differs from ours.
    pub fn compare(&mut self, with: &Member, step: &mut Step<'_>) {
        if with.figures.endpoints == step.members.own().figures.endpoints {
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

    fn share_loads(&mut self, step: &mut Step<'_>) {
        let receivers = receivers(step.members);
        let rounds = receivers.len().div_ceil(LOAD_RECEIVERS).max(1) as u64;
        self.next_loads = step.now + Millis(PROBE_PERIOD.0 * rounds);
        let reports: Vec<Report> = self
            .watched
            .iter_mut()
            .filter_map(|(name, watched)| watched.report(step.now, step.directory.get(name)?))
            .collect();
        for member in receivers {
            for reports in reports.chunks(IN_MESSAGE) {
                step.send(member, Message::Loads(reports.to_vec()));
            }
        }
    }
}

/// Who is told of loads: all entries of a small fleet, those of the own data
/// centre in a large one.
fn receivers(members: &Members) -> Vec<&Member> {
    let all: Vec<&Member> = members.active_others().collect();
    if all.len() <= LOAD_RECEIVERS {
        return all;
    }
    let near = &members.own().data_centre;
    all.into_iter()
        .filter(|member| member.data_centre == *near)
        .collect()
}

impl Watched {
    /// The endpoint answered; says whether its marks changed.
    fn answered(&mut self, name: &name::Endpoint, load: Load, step: &mut Step<'_>) -> bool {
        self.missed = 0;
        let live = load.state == instance::State::Live;
        let since = if live {
            *self.live_since.get_or_insert(step.now)
        } else {
            self.live_since = None;
            step.now
        };
        let listed = step.directory.get(name).map(|endpoint| endpoint.listed);
        let back = live && listed == Some(instance::State::Live) && step.now - since >= LIVE_AGAIN;
        step.directory.loaded(step.now, name, load);
        step.directory.mark(name, |marks| {
            let recovered = marks.failing.set(false);
            let turned = if live {
                back && marks.leaving.set(false)
            } else {
                marks.leaving.set(true)
            };
            recovered || turned
        })
    }

    /// The endpoint did not answer; says whether its marks changed.
    fn missed(&mut self, name: &name::Endpoint, step: &mut Step<'_>) -> bool {
        self.missed += 1;
        self.live_since = None;
        self.missed >= MISSED_PROBES && step.directory.mark(name, |marks| marks.failing.set(true))
    }

    /// The load report to share, if there is something new to say.
    fn report(&mut self, now: Millis, endpoint: &Endpoint) -> Option<Report> {
        let (at, load) = endpoint.load.as_ref()?;
        let stale = |(shared, old): &(Millis, Load)| {
            *shared + LOAD_REFRESH <= now || !same_figures(old, load)
        };
        if !self.shared.as_ref().is_none_or(stale) {
            return None;
        }
        self.shared = Some((now, load.clone()));
        self.sequence += 1;
        Some(Report {
            endpoint: endpoint.name.clone(),
            sequence: self.sequence,
            load: Load {
                age: load.age + (now - *at),
                ..load.clone()
            },
        })
    }
}

/// Whether two reports say the same, their age aside.
fn same_figures(one: &Load, other: &Load) -> bool {
    Load {
        age: other.age,
        ..one.clone()
    } == *other
}
