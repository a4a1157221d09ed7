//! Cost of an ask, its grant and its end at a pool's home.

use std::net::{Ipv4Addr, SocketAddr};

use divan::Bencher;
use woodgap_core::clock::Millis;
use woodgap_core::control::{Ask, Directory, Done, Outcome};
use woodgap_core::instance::{Instance, Role, State};
use woodgap_core::name;
use woodgap_core::pool::{Decision, Limits, Pool, Waiter};
use woodgap_core::tier::Tier;

const WAITING: [usize; 3] = [0, 1_000, 10_000];
const TIERS: [u8; 2] = [3, 7];
const ENDPOINTS: [usize; 2] = [50, 800];
const FLOWS: [usize; 2] = [10, 1_000];
const SLOTS: u32 = 8;
/// Number of classes in all tiers, as many as a site's templates have.
const CLASSES: usize = 40;

/// Parameters of a full pool with this many waiting requests.
struct Case {
    waiting: usize,
    tiers: u8,
    endpoints: usize,
    flows: usize,
}

/// A full pool whose runs end in turn.
struct FullPool {
    pool: Pool,
    case: Case,
    now: Millis,
    next: u64,
    out: Vec<Decision>,
    running: std::collections::VecDeque<(name::Request, u64)>,
}

impl FullPool {
    fn new(case: Case) -> Self {
        let directory = directory(case.endpoints);
        let endpoints: Vec<_> = directory.iter().collect();
        let limits = Limits {
            waiting_per_slot: 1_000,
            ..Limits::default()
        };
        let mut full_pool = Self {
            pool: Pool::new(limits, 1),
            case,
            now: Millis::from_secs(1),
            next: 0,
            out: Vec::new(),
            running: std::collections::VecDeque::new(),
        };
        full_pool
            .pool
            .set_endpoints(full_pool.now, &endpoints, &mut full_pool.out);
        let slots = full_pool.case.endpoints * SLOTS as usize;
        for _ in 0..slots + full_pool.case.waiting {
            full_pool.ask();
        }
        // Fills histories, duration buckets and indexes as in a pool long in use.
        for _ in 0..1_000 {
            full_pool.run_cycle();
        }
        full_pool
    }

    fn ask(&mut self) {
        let flow = usize::try_from(self.next).unwrap_or(0) % self.case.flows;
        let tier = u8::try_from(flow % usize::from(self.case.tiers)).unwrap_or(0) + 1;
        let ask = Ask {
            request: name::Request {
                incarnation: name::Incarnation(1),
                sequence: self.next,
            },
            target: name::Target::from("model"),
            workspace: name::Workspace::from(format!("workspace-{}", flow / CLASSES)),
            tier: Tier::new(tier).expect("tier"),
            class: name::Class::from(format!("class-{}", flow % CLASSES)),
            weight: 1,
            deadline: self.now + Millis(1_000 + self.next % 5_000),
            avoid: Vec::new(),
            prefix: self.next % 7,
            identity: 0,
        };
        self.next += 1;
        let holder = name::Incarnation(1);
        self.pool
            .ask(self.now, Waiter { ask, holder }, &mut self.out);
        self.record_grants();
    }

    fn done(&mut self) {
        let Some((request, permit)) = self.running.pop_front() else {
            return;
        };
        let done = Done {
            request,
            permit,
            outcome: Outcome::Complete,
            tokens: 10 + permit % 100,
            first_token: Some(Millis(50)),
            elapsed: Millis(250 + 20 * (permit % 100)),
        };
        self.pool.done(self.now, &done, &mut self.out);
        self.record_grants();
    }

    /// Runs one ask, one end and the grant that follows.
    fn run_cycle(&mut self) {
        self.now = self.now + Millis(u64::from(self.next.is_multiple_of(8)));
        self.ask();
        self.done();
    }

    fn record_grants(&mut self) {
        for decision in self.out.drain(..) {
            match decision {
                Decision::Grant {
                    request, permit, ..
                } => self.running.push_back((request, permit)),
                other => panic!("{other:?}"),
            }
        }
    }
}

fn directory(count: usize) -> Directory {
    let instance = |index: usize| Instance {
        name: format!("engine-{index}"),
        role: Role::Engine,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        data_centre: name::DataCentre::from("dub-a"),
        state: State::Live,
        targets: vec![name::Target::from("model")],
        slots: SLOTS,
        checks_fencing: false,
        peer_address: None,
    };
    let instances: Vec<_> = (0..count).map(instance).collect();
    let mut directory = Directory::default();
    directory.update(&instances);
    directory
}

fn cases() -> impl Iterator<Item = (usize, u8, usize, usize)> {
    let all = |endpoints| {
        WAITING.into_iter().flat_map(move |waiting| {
            TIERS
                .into_iter()
                .flat_map(move |tiers| FLOWS.map(move |flows| (waiting, tiers, endpoints, flows)))
        })
    };
    ENDPOINTS.into_iter().flat_map(all)
}

/// An ask, the end of another run and the grant that follows.
#[divan::bench(args = cases(), sample_count = 200, sample_size = 50)]
fn ask_grant_done(bencher: Bencher, case: (usize, u8, usize, usize)) {
    let (waiting, tiers, endpoints, flows) = case;
    let mut full_pool = FullPool::new(Case {
        waiting,
        tiers,
        endpoints,
        flows,
    });
    bencher.bench_local(|| full_pool.run_cycle());
}

/// The maintenance that runs once a second, with 800 endpoints and 10,000
/// waiting requests.
#[divan::bench(sample_count = 50, sample_size = 1)]
fn upkeep(bencher: Bencher) {
    let mut full_pool = FullPool::new(Case {
        waiting: 10_000,
        tiers: 7,
        endpoints: 800,
        flows: 1_000,
    });
    bencher.bench_local(|| {
        full_pool.now = full_pool.now + Millis::from_secs(1);
        full_pool.pool.tick(full_pool.now, &mut full_pool.out);
    });
}

/// An update of the load reports of 800 endpoints.
#[divan::bench(sample_count = 50, sample_size = 1)]
fn set_endpoints(bencher: Bencher) {
    let mut full_pool = FullPool::new(Case {
        waiting: 10_000,
        tiers: 7,
        endpoints: 800,
        flows: 1_000,
    });
    let directory = directory(800);
    let endpoints: Vec<_> = directory.iter().collect();
    bencher.bench_local(|| {
        full_pool
            .pool
            .set_endpoints(full_pool.now, &endpoints, &mut full_pool.out);
    });
}

fn main() {
    divan::main();
}
