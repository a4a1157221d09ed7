//! What is compared: one home for the pool, and entries that each act alone.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use woodgap_core::clock::Millis;
use woodgap_core::control::alone::Alone;
use woodgap_core::control::{Action, Ask, Directory, Done};
use woodgap_core::name;
use woodgap_core::pool::{Decision, Limits, Pool, Waiter};

/// What a router wants done.
#[derive(Debug)]
pub enum Order {
    Send {
        request: u64,
        permit: u64,
        endpoint: name::Endpoint,
        priority: u8,
    },
    Refuse(u64),
}

pub trait Router {
    fn ask(&mut self, now: Millis, directory: &Directory, ask: Ask) -> Vec<Order>;
    fn done(&mut self, now: Millis, directory: &Directory, done: &Done) -> Vec<Order>;
    /// Time has passed, and load reports have come.
    fn tick(&mut self, now: Millis, directory: &Directory) -> Vec<Order>;
}

/// Ours: the pool's home.
pub struct Home(pub Pool);

impl Home {
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self(Pool::new(limits, seed))
    }
}

impl Router for Home {
    fn ask(&mut self, now: Millis, _: &Directory, ask: Ask) -> Vec<Order> {
        let holder = ask.request.incarnation;
        let mut out = Vec::new();
        self.0.ask(now, Waiter { ask, holder }, &mut out);
        out.into_iter().map(order).collect()
    }

    fn done(&mut self, now: Millis, _: &Directory, done: &Done) -> Vec<Order> {
        let mut out = Vec::new();
        self.0.done(now, done, &mut out);
        out.into_iter().map(order).collect()
    }

    fn tick(&mut self, now: Millis, directory: &Directory) -> Vec<Order> {
        let mut out = Vec::new();
        let endpoints: Vec<_> = directory.iter().filter(|known| known.usable()).collect();
        self.0.set_endpoints(now, &endpoints, &mut out);
        self.0.tick(now, &mut out);
        out.into_iter().map(order).collect()
    }
}

fn order(decision: Decision) -> Order {
    match decision {
        Decision::Grant {
            request,
            permit,
            endpoint,
            priority,
            ..
        } => Order::Send {
            request: request.sequence,
            permit,
            endpoint,
            priority,
        },
        Decision::Shed { request, .. } | Decision::NoEndpoint { request, .. } => {
            Order::Refuse(request.sequence)
        }
    }
}

/// The baseline: each entry for itself; a request goes to the next in turn.
pub struct Entries {
    entries: Vec<(Alone, ChaCha8Rng)>,
}

impl Entries {
    pub fn new(entries: u64, waiting_per_slot: u32, seed: u64) -> Self {
        let entry = |index| {
            let random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(index));
            (Alone::new(waiting_per_slot), random)
        };
        Self {
            entries: (0..entries).map(entry).collect(),
        }
    }

    fn run(
        &mut self,
        index: u64,
        act: impl FnOnce(&mut Alone, &mut ChaCha8Rng, &mut Vec<Action>),
    ) -> Vec<Order> {
        let count = self.entries.len() as u64;
        let entry = usize::try_from(index % count).unwrap_or(0);
        let (alone, random) = &mut self.entries[entry];
        let mut out = Vec::new();
        act(alone, random, &mut out);
        // Permits of different entries must differ here, as they do in the fleet.
        out.into_iter()
            .filter_map(|action| match action {
                Action::Grant(grant) => Some(Order::Send {
                    request: grant.request.sequence,
                    permit: grant.permit * count + index % count,
                    endpoint: grant.endpoint,
                    priority: grant.priority,
                }),
                Action::Refuse(request, _) => Some(Order::Refuse(request.sequence)),
                _ => None,
            })
            .collect()
    }
}

impl Router for Entries {
    fn ask(&mut self, _: Millis, directory: &Directory, ask: Ask) -> Vec<Order> {
        let index = ask.request.sequence;
        self.run(index, |alone, random, out| {
            alone.ask(directory, random, ask, out);
        })
    }

    fn done(&mut self, _: Millis, directory: &Directory, done: &Done) -> Vec<Order> {
        let count = self.entries.len() as u64;
        let index = done.permit % count;
        let mut done = done.clone();
        done.permit /= count;
        self.run(index, |alone, random, out| {
            alone.done(&done);
            alone.dispatch(directory, random, out);
        })
    }

    fn tick(&mut self, _: Millis, directory: &Directory) -> Vec<Order> {
        let count = self.entries.len() as u64;
        (0..count)
            .flat_map(|index| {
                self.run(index, |alone, random, out| {
                    alone.dispatch(directory, random, out);
                })
            })
            .collect()
    }
}
