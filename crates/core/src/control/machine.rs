//! The machine: events in, actions out.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::clock::Millis;
use crate::control::action::Action;
use crate::control::alone::Alone;
use crate::control::directory::Directory;
use crate::control::event::Event;

/// How often each endpoint is probed.
const PROBE_PERIOD: Millis = Millis(500);
/// How often the machine wants to be told that time has passed.
pub const TICK: Millis = Millis(50);

/// The control side of one entry.
#[derive(Debug)]
pub struct Machine {
    random: ChaCha8Rng,
    directory: Directory,
    alone: Alone,
    next_probe: Millis,
}

impl Machine {
    /// A machine that knows nothing yet.
    pub fn new(seed: u64, waiting_per_slot: u32) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            directory: Directory::default(),
            alone: Alone::new(waiting_per_slot),
            next_probe: Millis::ZERO,
        }
    }

    /// The endpoints that the machine knows.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Ask(ask) => self.alone.ask(&self.directory, &mut self.random, ask, out),
            Event::Withdraw(request) => self.alone.withdraw(request),
            Event::Done(done) => self.alone.done(&done),
            Event::Restore(held) => self.alone.restore(&held),
            Event::Instances(instances) => self.directory.update(&instances),
            Event::Load(endpoint, load) => self.directory.probed(now, &endpoint, load),
            // TODO: entries do not talk to one another yet.
            Event::Message(_, _) => {}
            Event::Drain(name) => self.directory.drain(&name),
        }
        self.alone.dispatch(&self.directory, &mut self.random, out);
    }

    fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + PROBE_PERIOD;
        let probes = self
            .directory
            .iter()
            .map(|endpoint| Action::Probe(endpoint.name.clone(), endpoint.address));
        out.extend(probes);
    }
}
