//! A pool with a clock, for tests of single decisions.

use std::net::{Ipv4Addr, SocketAddr};

use woodgap_core::clock::Millis;
use woodgap_core::control::directory::Endpoint;
use woodgap_core::control::{Ask, Directory, Done, Outcome};
use woodgap_core::instance::{Instance, Role, State};
use woodgap_core::name::{self, Incarnation, Request};
use woodgap_core::pool::{Decision, Limits, Pool, Waiter};
use woodgap_core::tier::Tier;

pub const HOLDER: Incarnation = Incarnation(9);

/// A pool of endpoints `e0`, `e1`, … with its clock.
pub struct TestPool {
    pub pool: Pool,
    pub endpoints: Vec<Endpoint>,
    pub now: Millis,
    pub out: Vec<Decision>,
}

impl TestPool {
    pub fn new(endpoints: usize, slots: u32, waiting_per_slot: u32) -> Self {
        let limits = Limits {
            waiting_per_slot,
            ..Limits::default()
        };
        let mut directory = Directory::default();
        let instances: Vec<_> = (0..endpoints).map(|index| instance(index, slots)).collect();
        directory.update(&instances);
        let mut test_pool = Self {
            pool: Pool::new(limits, 1),
            endpoints: directory.iter().cloned().collect(),
            now: Millis(10_000),
            out: Vec::new(),
        };
        test_pool.set_endpoints();
        test_pool
    }

    pub fn set_endpoints(&mut self) {
        let usable: Vec<_> = self.endpoints.iter().collect();
        self.pool.set_endpoints(self.now, &usable, &mut self.out);
    }

    pub fn ask(&mut self, ask: Ask) -> Vec<Decision> {
        let waiter = Waiter {
            ask,
            holder: HOLDER,
        };
        self.pool.ask(self.now, waiter, &mut self.out);
        std::mem::take(&mut self.out)
    }

    /// Asks and expects a grant at once.
    pub fn ask_granted(&mut self, ask: Ask) -> (u64, String) {
        match self.ask(ask).as_slice() {
            [
                Decision::Grant {
                    permit, endpoint, ..
                },
            ] => (*permit, endpoint.to_string()),
            other => panic!("{other:?}"),
        }
    }

    pub fn done(&mut self, permit: u64, outcome: Outcome, elapsed: u64) -> Vec<Decision> {
        let done = Done {
            request: request(0),
            permit,
            outcome,
            tokens: 1,
            first_token: None,
            elapsed: Millis(elapsed),
        };
        self.pool.done(self.now, &done, &mut self.out);
        std::mem::take(&mut self.out)
    }

    pub fn advance(&mut self, ms: u64) -> Vec<Decision> {
        self.now = self.now + Millis(ms);
        self.pool.tick(self.now, &mut self.out);
        std::mem::take(&mut self.out)
    }
}

pub fn instance(index: usize, slots: u32) -> Instance {
    Instance {
        name: name(index).to_string(),
        role: Role::Service,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9_000)),
        data_centre: name::DataCentre::from("tudela"),
        state: State::Live,
        targets: vec![name::Target::from("bath")],
        slots,
        checks_fencing: false,
        peer_address: None,
    }
}

pub fn name(index: usize) -> name::Endpoint {
    name::Endpoint::from(format!("e{index}"))
}

pub fn request(sequence: u64) -> Request {
    Request {
        incarnation: HOLDER,
        sequence,
    }
}

/// Parses an ask from `number tier workspace/class deadline`.
pub fn ask(text: &str) -> Ask {
    let parts: Vec<&str> = text.split(' ').collect();
    let (workspace, class) = parts[2].split_once('/').expect("class");
    Ask {
        request: request(parts[0].parse().expect("number")),
        target: name::Target::from("bath"),
        workspace: name::Workspace::from(workspace),
        tier: Tier::new(parts[1].parse().expect("tier")).expect("tier"),
        class: name::Class::from(class),
        weight: 1,
        deadline: Millis(parts[3].parse().expect("deadline")),
        avoid: Vec::new(),
        prefix: 0,
        identity: 0,
    }
}

pub fn avoiding(text: &str, endpoints: &[usize]) -> Ask {
    let avoid = endpoints.iter().map(|index| name(*index)).collect();
    Ask { avoid, ..ask(text) }
}
