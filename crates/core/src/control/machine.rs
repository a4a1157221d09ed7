//! The machine: events in, actions out.

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::action::Action;
use crate::control::directory::Directory;
use crate::control::dispatch::{self, Dispatch, News, Policy};
use crate::control::event::{Event, Own};
use crate::endpoint::{self, Watch};
use crate::instance::Instance;
use crate::membership::{Change, Detector, Heartbeat, Member, Members, detector};
use crate::message::Message;
use crate::name;
use crate::permit::View;
use crate::pool::Limits;
use crate::revision::{self, Exchange};

/// How often the machine wants to be told that time has passed.
pub const TICK: Millis = Millis(50);

/// Entries that are told at once of a revision. Three make an epidemic that
/// reaches 400 entries in six or seven steps; whom it misses hears of it by
/// membership's news.
const ANNOUNCED: usize = 3;

/// What a machine starts with.
#[derive(Clone, Debug)]
pub struct Start {
    /// The own entry.
    pub own: Member,
    /// Counts the machines of this life of the entry, from 1: a later one
    /// knows nothing of what an earlier one had told the other entries.
    pub generation: u32,
    /// Where random numbers start.
    pub seed: u64,
    /// Who decides where a request goes.
    pub policy: Policy,
    /// The numbers that shape a pool's decisions.
    pub limits: Limits,
    /// How long a configuration that nobody confirms is served by.
    pub unconfirmed_limit: Millis,
}

/// The control side of one entry.
#[derive(Debug)]
pub struct Machine {
    random: ChaCha8Rng,
    detector: Detector,
    directory: Directory,
    watch: Watch,
    dispatch: Dispatch,
    exchange: Exchange,
}

impl Machine {
    /// A machine that knows nothing yet.
    pub fn new(start: Start) -> Self {
        let dispatch = Dispatch::new(&start);
        Self {
            random: ChaCha8Rng::seed_from_u64(start.seed),
            detector: Detector::new(start.own),
            directory: Directory::default(),
            watch: Watch::default(),
            dispatch,
            exchange: Exchange::new(start.unconfirmed_limit),
        }
    }

    /// The endpoints that the machine knows.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The entries that the machine knows.
    pub fn members(&self) -> &Members {
        self.detector.members()
    }

    /// Requests that run at an endpoint, as far as this entry knows.
    pub fn in_flight(&self, endpoint: &name::Endpoint) -> u32 {
        self.dispatch.in_flight(endpoint)
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let mut changes = Vec::new();
        let states = self.members().own().heartbeat.endpoints;
        let news = News::of(&event);
        self.take(now, event, out, &mut changes);
        let moved = !changes.is_empty();
        for change in changes {
            self.changed(change, out);
        }
        if moved {
            // Once for all changes: when regions meet again, many come together.
            self.assign(now);
            self.dispatch(now, out, |dispatch, step| {
                dispatch.news(&News::Members, step);
            });
        }
        let news = if states == self.members().own().heartbeat.endpoints {
            news
        } else {
            News::Endpoints
        };
        self.dispatch(now, out, |dispatch, step| dispatch.news(&news, step));
    }

    fn take(
        &mut self,
        now: Millis,
        event: Event,
        out: &mut Vec<Action>,
        changes: &mut Vec<Change>,
    ) {
        match event {
            Event::Tick => {
                self.step(now, out, changes, Detector::tick);
                self.watch(now, out, Watch::tick);
                self.dispatch(now, out, Dispatch::tick);
                self.follow(now, out);
            }
            Event::Ask(ask) => self.dispatch(now, out, |dispatch, step| dispatch.ask(ask, step)),
            Event::Withdraw(request) => {
                self.dispatch(now, out, |dispatch, step| dispatch.withdraw(request, step));
            }
            Event::Done(done) => {
                self.dispatch(now, out, |dispatch, step| dispatch.done(&done, step));
            }
            Event::Restore(held) => {
                self.dispatch(now, out, |dispatch, step| dispatch.restore(held, step));
            }
            Event::Instances(instances) => self.listed(now, &instances, out, changes),
            Event::Load(name, load) => {
                self.watch(now, out, |watch, step| watch.probed(&name, load, step));
            }
            Event::Message(from, message) => self.receive(now, from, message, out, changes),
            Event::Drain(name) => self.drain(now, &name, out, changes),
            Event::InForce { revision, changes } => {
                self.exchange.in_force(revision, &changes);
                self.announce(revision, out);
            }
            Event::LogRead(asked) => self.exchange.log_read(asked),
            Event::Own(own) => self.own(own),
            Event::Stop => self.step(now, out, changes, Detector::leave),
            Event::End => self.step(now, out, changes, Detector::end),
        }
    }

    fn step(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
        changes: &mut Vec<Change>,
        act: impl FnOnce(&mut Detector, &mut detector::Step<'_>),
    ) {
        let mut step = detector::Step {
            now,
            random: &mut self.random,
            out,
            changes,
        };
        act(&mut self.detector, &mut step);
    }

    fn dispatch(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut Dispatch, &mut dispatch::Step<'_>),
    ) {
        let mut step = dispatch::Step {
            view: View {
                now,
                members: self.detector.members(),
                directory: &self.directory,
            },
            random: &mut self.random,
            out,
        };
        act(&mut self.dispatch, &mut step);
    }

    /// Lets the watch act, and tells the detector what came of it.
    fn watch(
        &mut self,
        now: Millis,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut Watch, &mut endpoint::watch::Step<'_>),
    ) {
        let mut step = endpoint::watch::Step {
            now,
            directory: &mut self.directory,
            members: self.detector.members(),
            out,
        };
        act(&mut self.watch, &mut step);
        self.renew_digest();
    }

    fn renew_digest(&mut self) {
        let heartbeat = self.members().own().heartbeat;
        let endpoints = self.directory.digest();
        self.detector.set_heartbeat(Heartbeat {
            endpoints,
            ..heartbeat
        });
    }

    fn own(&mut self, own: Own) {
        let heartbeat = self.members().own().heartbeat;
        self.detector.set_heartbeat(Heartbeat {
            revision: own.revision,
            ready: own.ready,
            running: own.running,
            ..heartbeat
        });
    }

    fn listed(
        &mut self,
        now: Millis,
        instances: &[Instance],
        out: &mut Vec<Action>,
        changes: &mut Vec<Change>,
    ) {
        self.step(now, out, changes, |detector, step| {
            detector.update_listed(instances, step);
        });
        let leaving = self.directory.update(instances);
        self.assign(now);
        self.watch(now, out, |watch, step| watch.changed(&leaving, step));
    }

    fn receive(
        &mut self,
        now: Millis,
        from: name::Incarnation,
        message: Message,
        out: &mut Vec<Action>,
        changes: &mut Vec<Change>,
    ) {
        match message {
            Message::Membership(message) => {
                if let Some(sender) = message.first_hand(from) {
                    self.exchange
                        .peer_heard(now, from, sender.heartbeat.revision);
                }
                self.step(now, out, changes, |detector, step| {
                    detector.receive(from, message, step);
                });
                if let Some(member) = self.members().by_incarnation(from).cloned() {
                    self.watch(now, out, |watch, step| watch.compare(&member, step));
                }
            }
            // Only lives that are known are heard on anything but membership.
            _ if self.members().by_incarnation(from).is_none() => {}
            Message::Endpoint(message) => {
                self.watch(now, out, |watch, step| watch.receive(from, message, step));
            }
            Message::Revision(message) => {
                let mut wanted = Vec::new();
                self.exchange.on_message(now, from, message, &mut wanted);
                self.pass_on(wanted, out);
            }
            Message::Permit(message) => {
                self.dispatch(now, out, |dispatch, step| {
                    dispatch.message(from, &message, step);
                });
            }
        }
    }

    fn drain(&mut self, now: Millis, name: &str, out: &mut Vec<Action>, changes: &mut Vec<Change>) {
        let endpoint = name::Endpoint::from(name);
        let drained = self.directory.mark(&endpoint, |marks| {
            let before = marks.drained;
            marks.drained = true;
            !before
        });
        if drained {
            self.watch(now, out, |watch, step| watch.changed(&[endpoint], step));
        }
        let entry = name::Entry::from(name);
        self.step(now, out, changes, |detector, step| {
            detector.drain(&entry, step);
        });
    }

    /// Tells some entries what has just come in force here; each that lacks it
    /// fetches it and tells some in turn.
    fn announce(&mut self, revision: u64, out: &mut Vec<Action>) {
        let members = self.detector.members();
        let own = members.own().incarnation;
        let others: Vec<&Member> = members
            .active()
            .filter(|member| member.incarnation != own)
            .collect();
        for member in others.choose_multiple(&mut self.random, ANNOUNCED) {
            let message = revision::Message::InForce(revision);
            out.push(Action::Send(member.peer, Message::Revision(message)));
        }
    }

    /// Goes after a revision that another entry has and this one lacks.
    fn follow(&mut self, now: Millis, out: &mut Vec<Action>) {
        let members = self.detector.members();
        let own = members.own().incarnation;
        for member in members.active().filter(|member| member.incarnation != own) {
            self.exchange
                .peer_reported(now, member.incarnation, member.heartbeat.revision);
        }
        let mut wanted = Vec::new();
        self.exchange.tick(now, &mut wanted);
        self.pass_on(wanted, out);
    }

    fn pass_on(&self, wanted: Vec<revision::exchange::Action>, out: &mut Vec<Action>) {
        use revision::exchange::Action as Wanted;
        let address = |life| {
            self.members()
                .by_incarnation(life)
                .map(|member| member.peer)
        };
        out.extend(wanted.into_iter().filter_map(|wanted| match wanted {
            Wanted::Send(to, message) => {
                address(to).map(|to| Action::Send(to, Message::Revision(message)))
            }
            Wanted::SendSnapshot(to) => address(to).map(Action::SendAll),
            Wanted::Apply(changes) => Some(Action::Apply(changes)),
            Wanted::Replace {
                revision,
                documents,
            } => Some(Action::Replace {
                revision,
                documents,
            }),
        }));
    }

    /// Until when the configuration in force may be served by.
    pub fn trusted_until(&self) -> Option<Millis> {
        self.exchange.tracker().trusted_until()
    }

    /// Carries out what follows from a change among the entries.
    fn changed(&mut self, change: Change, out: &mut Vec<Action>) {
        let own = self.members().own().incarnation;
        match change {
            Change::Leaving(life) if life == own => out.push(Action::Leave),
            Change::Superseded => out.push(Action::Stop),
            Change::Gone(life) => self.exchange.gone(life),
            Change::Joined(_) | Change::Leaving(_) | Change::Refuted => {}
        }
    }

    fn assign(&mut self, now: Millis) {
        let members = self.detector.members();
        self.watch
            .assign(now, &self.directory, members, &mut self.random);
    }
}
